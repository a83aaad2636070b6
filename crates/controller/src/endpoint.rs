//! An endpoint: its health state, its counters and what is published of it.

use crate::event::{HealthCheckResult, KindId, TableId, ZoneId};
use crate::statistics::LatencyHistogram;
use std::collections::VecDeque;
use std::time::Duration;

/// The element at `index`; the list grows with default elements as far as needed.
pub(crate) fn slot<T: Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize_with(index + 1, T::default);
    }
    &mut list[index]
}

/// The health state of an endpoint, which decides whether it may be in tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HealthState {
    /// Not on the list, or no longer.
    #[default]
    Unknown,
    /// In service with its full weight.
    Healthy,
    /// In service with a growing share of its weight.
    SlowStart,
    /// Out of service after failures.
    Ejected,
    /// Out of service; no health check failed since it entered this state.
    Probation,
    /// Out of service for a longer time after repeated ejections.
    LongEjected,
    /// Out of service: it accepts no new requests.
    Draining,
}

/// An endpoint's entry in a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TableEntry {
    pub table: TableId,
    pub weight: f64,
}

/// The histogram of service times is halved once it has more samples than this.
const MAX_SERVICE_TIME_SAMPLES: f32 = 20.0;

/// One endpoint as the planner's list, health checks and proxies show it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub zone: ZoneId,
    pub kind: KindId,
    /// Its weight according to the list.
    pub configured_weight: f64,
    /// Whether it disappeared from the list and stays in service all the same.
    pub missing_from_list: bool,
    /// Whether a list other than the first added it without a start time, and no attempt has succeeded shortly before
    /// that or since: the list may be wrong about it.
    pub unverified: bool,
    pub health: HealthState,
    /// When it entered its health state. An endpoint that became healthy keeps the time at which its slow start began.
    pub health_since: Duration,
    /// When its process started; `None` for long ago.
    pub started_at: Option<Duration>,
    /// Attempts and failed attempts, halved together periodically.
    pub attempts: f32,
    pub failures: f32,
    /// Failures since the last success.
    pub consecutive_failures: f32,
    /// When the last success, and the last outcome of any kind, was reported. Both are set to the present time when
    /// the endpoint is put into service.
    pub last_success: Duration,
    pub last_report: Duration,
    /// Successes per second, by zone of the proxies.
    pub success_rates: Vec<f64>,
    /// Latencies that the proxies measure, queueing included.
    pub latencies: LatencyHistogram,
    /// Service times that the endpoint reports.
    pub service_times: LatencyHistogram,
    /// Utilization that the endpoint reports, 0 to 1.
    pub utilization: f64,
    /// Whether a health check could not connect, and none has succeeded since.
    pub connection_refused: bool,
    /// Consecutive health checks without an answer.
    pub unanswered_checks: u32,
    pub last_health_check: Duration,
    /// Whether its ejection had hard evidence: it looked dead rather than failing in part.
    pub ejected_on_hard_evidence: bool,
    /// Whether it gets half of its weight, since its failures point at overload or at its zone.
    pub is_weight_halved: bool,
    /// Times of its last ejection and of those within the window for long ejections before it.
    pub ejections: VecDeque<Duration>,
    /// Its speed relative to its configured weight; 1 if nothing is known, 0 before it is first in service.
    pub speed_factor: f64,
    /// Whether it serves the isolated classes of its subset.
    pub is_isolated: bool,
    /// Its subset; `None` until it is assigned to one.
    pub subset: Option<usize>,
    /// The entry that proxies hold for it; `None` for none.
    pub published: Option<TableEntry>,
    /// Since when its removal from the tables is due; `None` if it is in service or in no table.
    pub removal_due_at: Option<Duration>,
}

impl Endpoint {
    /// Whether it may be in tables.
    pub fn is_in_service(&self) -> bool {
        matches!(self.health, HealthState::Healthy | HealthState::SlowStart)
    }

    /// Whether the list has it as ready, whether or not it is in service. An endpoint that stayed in service when it
    /// disappeared from the list counts as listed.
    pub fn is_listed(&self) -> bool {
        !matches!(self.health, HealthState::Unknown | HealthState::Draining)
    }

    /// Whether failures keep it out of service.
    pub fn is_ejected(&self) -> bool {
        matches!(self.health, HealthState::Ejected | HealthState::Probation | HealthState::LongEjected)
    }

    /// Enters a health state. Slow start resets everything that counts towards an ejection.
    pub fn enter(&mut self, health: HealthState, now: Duration) {
        self.health = health;
        self.health_since = now;
        if health == HealthState::SlowStart {
            self.attempts = 0.0;
            self.failures = 0.0;
            self.consecutive_failures = 0.0;
            self.unanswered_checks = 0;
            self.connection_refused = false;
            self.ejected_on_hard_evidence = false;
        }
    }

    /// Takes an endpoint off the list.
    ///
    /// Lists can be wrong: with `may_stay`, an endpoint in service stays in service while it answers.
    pub fn remove_from_list(&mut self, may_stay: bool, now: Duration) {
        self.missing_from_list = may_stay && self.is_in_service();
        if !self.missing_from_list {
            self.enter(HealthState::Unknown, now);
        }
    }

    /// Records a health check, and moves an ejected endpoint into or out of probation.
    ///
    /// An error response counts as a failed attempt in the failure rate, but not as a consecutive failure.
    pub fn record_health_check(&mut self, result: HealthCheckResult, now: Duration) {
        match result {
            HealthCheckResult::Success => {
                self.unanswered_checks = 0;
                self.connection_refused = false;
            }
            HealthCheckResult::ConnectionFailed => self.connection_refused = true,
            HealthCheckResult::Timeout => self.unanswered_checks += 1,
            HealthCheckResult::ErrorResponse => {
                self.attempts += 1.0;
                self.failures += 1.0;
            }
            HealthCheckResult::Rejected | HealthCheckResult::Inconclusive => return,
        }
        let succeeded = result == HealthCheckResult::Success;
        match self.health {
            HealthState::Ejected if succeeded => self.enter(HealthState::Probation, now),
            HealthState::Probation if !succeeded => self.enter(HealthState::Ejected, now),
            _ => {}
        }
    }

    /// Halves the counters, so that recent outcomes count most.
    pub fn decay_counters(&mut self) {
        self.attempts *= 0.5;
        self.failures *= 0.5;
        self.latencies.halve();
        self.service_times.halve_above(MAX_SERVICE_TIME_SAMPLES);
    }

    /// Seconds since the last success.
    pub fn silence_seconds(&self, now: Duration) -> f32 {
        now.saturating_sub(self.last_success).as_secs_f32()
    }

    /// The share of attempts that failed, 0 to 1.
    pub fn failure_rate(&self) -> f32 {
        self.failures / self.attempts
    }
}
