//! Outlier detection: ejects endpoints that fail, and readmits them through probation and slow start.

use crate::command::Command;
use crate::controller::Controller;
use crate::ejection_report::EjectionReport;
use crate::endpoint::{slot, Endpoint, HealthState};
use crate::event::ServerId;
use crate::statistics::{median, LatencyHistogram};
use std::time::Duration;

/// Endpoints with fewer attempts than this are left out of the fleet's baseline.
const MIN_BASELINE_ATTEMPTS: f32 = 2.0;
/// Time between two health checks of one endpoint. It is long enough for several planners to check, and two unanswered
/// checks already show a dead endpoint.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// Consecutive failures that eject an endpoint, unless its peers fail as often.
const CONSECUTIVE_FAILURE_LIMIT: f32 = 4.0;
/// Consecutive failures eject only if their probability at the baseline failure rate is below this.
const CONSECUTIVE_FAILURE_PROBABILITY: f32 = 1e-4;
/// Lower bound of the baseline failure rate (0 to 1).
const MIN_BASELINE_FAILURE_RATE: f32 = 0.02;
/// An endpoint is silent after this many times the baseline time without a success, and at least this many seconds.
const SILENCE_MULTIPLE: f32 = 6.0;
const MIN_SILENCE_SECONDS: f32 = 2.5;
/// This many consecutive unanswered health checks eject an endpoint that had no success for this long.
const UNANSWERED_CHECK_LIMIT: u32 = 2;
const UNANSWERED_SILENCE_SECONDS: f32 = 1.5;

/// A failure rate counts from this many attempts on.
const MIN_FAILURE_RATE_ATTEMPTS: f32 = 14.0;
/// The failure rate (0 to 1) that ejects: the baseline times a factor plus a margin, and at least the minimum. The
/// minimum is above a half, since half of the attempts also fail in a burst of timeouts at an overloaded endpoint.
const FAILURE_RATE_MULTIPLE: f32 = 2.0;
const FAILURE_RATE_MARGIN: f32 = 0.2;
const MIN_FAILURE_RATE_THRESHOLD: f32 = 0.65;

/// Time that an endpoint spends in probation before slow start.
const PROBATION_TIME: Duration = Duration::from_secs(10);
/// This many ejections within the window make the last of them a long one.
const LONG_EJECTION_COUNT: usize = 3;
const LONG_EJECTION_WINDOW: Duration = Duration::from_secs(60);
/// Duration of a long ejection, before the endpoint is an ordinary ejected one.
const LONG_EJECTION_TIME: Duration = Duration::from_secs(60);

/// The typical failures of the endpoints in service, which outliers are compared with.
struct FleetBaseline {
    /// Median failure rate, 0 to 1.
    failure_rate: f32,
    /// Median time since the last success, in seconds.
    silence_seconds: f32,
}

impl FleetBaseline {
    fn measure(endpoints: &[Endpoint], now: Duration) -> FleetBaseline {
        let has_enough_attempts = |endpoint: &&Endpoint| {
            endpoint.is_in_service() && !endpoint.is_isolated && endpoint.attempts >= MIN_BASELINE_ATTEMPTS
        };
        let reported = endpoints.iter().filter(has_enough_attempts);
        FleetBaseline {
            failure_rate: median(reported.clone().map(Endpoint::failure_rate).collect()),
            silence_seconds: median(reported.map(|endpoint| endpoint.silence_seconds(now)).collect()),
        }
    }

    fn failure_rate_threshold(&self) -> f32 {
        let threshold = FAILURE_RATE_MULTIPLE * self.failure_rate + FAILURE_RATE_MARGIN;
        threshold.max(MIN_FAILURE_RATE_THRESHOLD)
    }

    fn silence_threshold_seconds(&self) -> f32 {
        (SILENCE_MULTIPLE * self.silence_seconds).max(MIN_SILENCE_SECONDS)
    }
}

/// The result of one evaluation of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Assessment {
    /// It does not exist, although it is or was listed.
    Absent,
    /// It is down: all of its recent attempts fail, or its health checks do.
    Dead,
    /// Too many of its attempts fail.
    Failing,
    /// It is no outlier: its health state changes by time alone.
    Normal,
}

impl Endpoint {
    fn health_check_is_due(&self, now: Duration) -> bool {
        self.is_listed() && now >= self.last_health_check + HEALTH_CHECK_INTERVAL
    }

    fn assess(&self, baseline: &FleetBaseline, now: Duration) -> Assessment {
        if !self.is_in_service() {
            return Assessment::Normal;
        }
        if self.is_absent(baseline, now) {
            Assessment::Absent
        } else if self.is_dead(baseline, now) {
            Assessment::Dead
        } else if self.is_failing(baseline) {
            Assessment::Failing
        } else {
            Assessment::Normal
        }
    }

    fn is_silent(&self, baseline: &FleetBaseline, now: Duration) -> bool {
        self.silence_seconds(now) >= baseline.silence_threshold_seconds()
    }

    /// Whether it failed since its last success, and is either unverified or both missing from the list and silent.
    fn is_absent(&self, baseline: &FleetBaseline, now: Duration) -> bool {
        let lost = self.missing_from_list && self.is_silent(baseline, now);
        self.consecutive_failures >= 1.0 && (self.unverified || lost)
    }

    /// Whether all of its attempts fail, for longer than chance or a short overload explains, or health checks show
    /// that it is gone. A time without a success is not enough: the endpoint may have had no attempts.
    fn is_dead(&self, baseline: &FleetBaseline, now: Duration) -> bool {
        let unanswered = self.unanswered_checks >= UNANSWERED_CHECK_LIMIT
            && self.silence_seconds(now) >= UNANSWERED_SILENCE_SECONDS;
        self.only_fails(baseline, now) || self.connection_refused || unanswered
    }

    /// Whether its consecutive failures eject it. Endpoints of isolated classes are overloaded on purpose, so their
    /// failures do not count.
    fn only_fails(&self, baseline: &FleetBaseline, now: Duration) -> bool {
        let failures = self.consecutive_failures;
        let probability = baseline.failure_rate.max(MIN_BASELINE_FAILURE_RATE).powf(failures);
        failures >= CONSECUTIVE_FAILURE_LIMIT
            && probability < CONSECUTIVE_FAILURE_PROBABILITY
            && self.is_silent(baseline, now)
            && !self.is_isolated
    }

    fn is_failing(&self, baseline: &FleetBaseline) -> bool {
        self.attempts >= MIN_FAILURE_RATE_ATTEMPTS && self.failure_rate() > baseline.failure_rate_threshold()
    }

    /// Whether a failing endpoint has too much load rather than a fault: its successes are slow, or it serves isolated
    /// classes.
    fn is_overloaded(&self, overload_latency_seconds: f64) -> bool {
        let is_slow = self.latencies.count() >= 1.0 && self.latencies.mean() > overload_latency_seconds;
        self.is_isolated || is_slow
    }

    /// Enters the next health state if only time, or being warm, is required for it. Without health checks, an ejected
    /// endpoint enters probation at once.
    fn advance(&mut self, is_warm: bool, health_checks_allowed: bool, now: Duration) {
        let elapsed = now.saturating_sub(self.health_since);
        match self.health {
            HealthState::LongEjected if elapsed >= LONG_EJECTION_TIME => {
                self.enter(HealthState::Ejected, now)
            }
            HealthState::Ejected if !health_checks_allowed => self.enter(HealthState::Probation, now),
            HealthState::Probation if elapsed >= PROBATION_TIME => self.enter(HealthState::SlowStart, now),
            HealthState::SlowStart if is_warm => {
                self.health = HealthState::Healthy;
                // Latencies at a fraction of the load do not predict those at full load.
                self.latencies = LatencyHistogram::default();
                self.service_times = LatencyHistogram::default();
            }
            _ => {}
        }
    }

    /// Ejects the endpoint, for a longer time if it was ejected repeatedly within [`LONG_EJECTION_WINDOW`].
    fn eject(&mut self, on_hard_evidence: bool, now: Duration) {
        self.ejected_on_hard_evidence = on_hard_evidence;
        self.ejections.push_back(now);
        self.ejections.retain(|at| now < *at + LONG_EJECTION_WINDOW);
        let is_long = self.ejections.len() >= LONG_EJECTION_COUNT;
        self.enter(if is_long { HealthState::LongEjected } else { HealthState::Ejected }, now);
    }
}

impl Controller {
    /// Updates the health state of every endpoint from its outcomes and health checks, and requests health checks that
    /// are due. To be called at each evaluation.
    pub(crate) fn detect_outliers(&mut self, commands: &mut Vec<Command>) {
        let now = self.now;
        let overload_latency = self.overload_latency_seconds();
        let health_checks_allowed = self.config.health_checks_allowed;
        let baseline = FleetBaseline::measure(&self.endpoints, now);
        let mut failing = Vec::new();
        for server in 0..self.endpoints.len() {
            let is_warm = self.warm_fraction(server) >= 1.0;
            let endpoint = &mut self.endpoints[server];
            endpoint.is_weight_halved = false;
            if health_checks_allowed && endpoint.health_check_is_due(now) {
                endpoint.last_health_check = now;
                commands.push(Command::CheckHealth { server });
            }
            match endpoint.assess(&baseline, now) {
                Assessment::Absent => endpoint.remove_from_list(false, now),
                Assessment::Dead => self.eject(server, true, commands),
                Assessment::Failing => {
                    endpoint.is_weight_halved = endpoint.is_overloaded(overload_latency);
                    failing.push(server);
                }
                Assessment::Normal => endpoint.advance(is_warm, health_checks_allowed, now),
            }
        }
        self.eject_failing(&failing, commands);
    }

    /// Ejects failing endpoints, except overloaded ones and those of a zone in which most endpoints fail, since these
    /// have a shared cause: both stay in service with half of their weight.
    fn eject_failing(&mut self, failing: &[ServerId], commands: &mut Vec<Command>) {
        let mostly_failing = self.zones_mostly_failing(failing);
        for &server in failing {
            let endpoint = &mut self.endpoints[server];
            endpoint.is_weight_halved |= mostly_failing[endpoint.zone];
            if !endpoint.is_weight_halved {
                self.eject(server, false, commands);
            }
        }
    }

    /// For each zone, whether more than half of its listed endpoints fail.
    fn zones_mostly_failing(&self, failing: &[ServerId]) -> Vec<bool> {
        let mut listed_by_zone: Vec<usize> = Vec::new();
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.is_listed()) {
            *slot(&mut listed_by_zone, endpoint.zone) += 1;
        }
        let mut failing_by_zone = vec![0; listed_by_zone.len()];
        for &server in failing {
            failing_by_zone[self.endpoints[server].zone] += 1;
        }
        listed_by_zone.iter().zip(failing_by_zone).map(|(listed, failing)| 2 * failing > *listed).collect()
    }

    /// Ejects an endpoint and reports it to the operators.
    pub(crate) fn eject(&mut self, server: ServerId, on_hard_evidence: bool, commands: &mut Vec<Command>) {
        let endpoint = &mut self.endpoints[server];
        endpoint.eject(on_hard_evidence, self.now);
        commands.push(Command::LogEjection(EjectionReport::new(server, endpoint)));
    }
}
