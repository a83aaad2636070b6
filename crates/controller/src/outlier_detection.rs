//! Outlier detection: which endpoints are ejected, and how they come back.

use crate::command::Command;
use crate::controller::Controller;
use crate::ejection_report::EjectionReport;
use crate::endpoint::{slot, Endpoint, HealthState};
use crate::event::ServerId;
use crate::statistics::{median, LatencyHistogram};
use std::time::Duration;

/// Endpoints with fewer attempts than this say nothing of what is usual.
const MIN_BASELINE_ATTEMPTS: f32 = 2.0;
/// Time between two health checks of one endpoint: two in a row tell of a silent one, and several planners may ask.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// Failures in a row that eject an endpoint, unless its peers fail as often.
const CONSECUTIVE_FAILURE_LIMIT: f32 = 4.0;
/// A row of failures ejects if its probability at the usual failure rate is below this.
const CONSECUTIVE_FAILURE_PROBABILITY: f32 = 1e-4;
/// The usual failure rate (0 to 1) is taken to be at least this.
const MIN_USUAL_FAILURE_RATE: f32 = 0.02;
/// An endpoint is silent after this many times the usual time without a success, and at least this many seconds.
const SILENCE_MULTIPLE: f32 = 6.0;
const MIN_SILENCE_SECONDS: f32 = 2.5;
/// Unanswered health checks eject an endpoint that has been without a success for this long.
const UNANSWERED_CHECK_LIMIT: u32 = 2;
const UNANSWERED_SILENCE_SECONDS: f32 = 1.5;

/// Attempts from which a failure rate counts.
const MIN_FAILURE_RATE_ATTEMPTS: f32 = 14.0;
/// The failure rate (0 to 1) that ejects: this times the usual rate plus a margin, and at least a minimum. Half of
/// the attempts also fail in a burst of timeouts at an overloaded endpoint.
const FAILURE_RATE_MULTIPLE: f32 = 2.0;
const FAILURE_RATE_MARGIN: f32 = 0.2;
const MIN_FAILURE_RATE_THRESHOLD: f32 = 0.65;

/// Time in probation before slow start.
const PROBATION_TIME: Duration = Duration::from_secs(10);
/// This many ejections within the window eject for long.
const LONG_EJECTION_COUNT: usize = 3;
const LONG_EJECTION_WINDOW: Duration = Duration::from_secs(60);
/// Time that a long ejection lasts.
const LONG_EJECTION_TIME: Duration = Duration::from_secs(60);

/// What is usual among the endpoints in service.
struct FleetBaseline {
    /// Median failure rate, 0 to 1.
    failure_rate: f32,
    /// Median time since the last success, in seconds.
    silence_seconds: f32,
}

impl FleetBaseline {
    fn measure(endpoints: &[Endpoint], now: Duration) -> FleetBaseline {
        let counts = |endpoint: &&Endpoint| {
            endpoint.is_in_service() && !endpoint.is_isolated && endpoint.attempts >= MIN_BASELINE_ATTEMPTS
        };
        let reported = endpoints.iter().filter(counts);
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

/// What an evaluation makes of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It was listed by mistake: it is not there.
    Absent,
    /// Nothing succeeds there.
    Dead,
    /// Too many of its attempts fail.
    Failing,
    /// Its state stays, or goes on by time alone.
    Unremarkable,
}

impl Endpoint {
    fn health_check_is_due(&self, now: Duration) -> bool {
        self.is_listed() && now >= self.last_health_check + HEALTH_CHECK_INTERVAL
    }

    fn verdict(&self, fleet: &FleetBaseline, now: Duration) -> Verdict {
        if !self.is_in_service() {
            return Verdict::Unremarkable;
        }
        if self.is_absent(fleet, now) {
            Verdict::Absent
        } else if self.is_dead(fleet, now) {
            Verdict::Dead
        } else if self.is_failing(fleet) {
            Verdict::Failing
        } else {
            Verdict::Unremarkable
        }
    }

    fn is_silent(&self, fleet: &FleetBaseline, now: Duration) -> bool {
        self.silence_seconds(now) >= fleet.silence_threshold_seconds()
    }

    /// Missing from the list and without a success, or never with one.
    fn is_absent(&self, fleet: &FleetBaseline, now: Duration) -> bool {
        let lost = self.missing_from_list && self.is_silent(fleet, now);
        self.consecutive_failures >= 1.0 && (self.unverified || lost)
    }

    /// Only failures come from it, beyond chance and for longer than an overloaded endpoint fails; or health checks
    /// confirm that it is gone. Silence alone is no failure.
    fn is_dead(&self, fleet: &FleetBaseline, now: Duration) -> bool {
        let unanswered = self.unanswered_checks >= UNANSWERED_CHECK_LIMIT
            && self.silence_seconds(now) >= UNANSWERED_SILENCE_SECONDS;
        self.only_fails(fleet, now) || self.connection_refused || unanswered
    }

    /// Endpoints of isolated classes are meant to be overloaded: their failures say nothing.
    fn only_fails(&self, fleet: &FleetBaseline, now: Duration) -> bool {
        let row = self.consecutive_failures;
        let chance = fleet.failure_rate.max(MIN_USUAL_FAILURE_RATE).powf(row);
        row >= CONSECUTIVE_FAILURE_LIMIT
            && chance < CONSECUTIVE_FAILURE_PROBABILITY
            && self.is_silent(fleet, now)
            && !self.is_isolated
    }

    fn is_failing(&self, fleet: &FleetBaseline) -> bool {
        self.attempts >= MIN_FAILURE_RATE_ATTEMPTS && self.failure_rate() > fleet.failure_rate_threshold()
    }

    /// Failing, and slow in what succeeds: too much load and no fault.
    fn is_overloaded(&self, overload_latency_seconds: f64) -> bool {
        let is_slow = self.latencies.count() >= 1.0 && self.latencies.mean() > overload_latency_seconds;
        self.is_isolated || is_slow
    }

    /// Moves on to the next state where time alone decides.
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
                // Latencies at a fraction of the load say nothing of those at all of it.
                self.latencies = LatencyHistogram::default();
                self.service_times = LatencyHistogram::default();
            }
            _ => {}
        }
    }

    fn eject(&mut self, on_hard_evidence: bool, now: Duration) {
        self.ejected_on_hard_evidence = on_hard_evidence;
        self.ejections.push_back(now);
        self.ejections.retain(|at| now < *at + LONG_EJECTION_WINDOW);
        let is_long = self.ejections.len() >= LONG_EJECTION_COUNT;
        self.enter(if is_long { HealthState::LongEjected } else { HealthState::Ejected }, now);
    }
}

impl Controller {
    /// Settles every endpoint's health state by its outcomes and health checks, and asks for health checks that are
    /// due. To be called at each evaluation.
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
            match endpoint.verdict(&baseline, now) {
                Verdict::Absent => endpoint.remove_from_list(false, now),
                Verdict::Dead => self.eject(server, true, commands),
                Verdict::Failing => {
                    endpoint.is_weight_halved = endpoint.is_overloaded(overload_latency);
                    failing.push(server);
                }
                Verdict::Unremarkable => endpoint.advance(is_warm, health_checks_allowed, now),
            }
        }
        self.eject_failing(&failing, commands);
    }

    /// Ejects endpoints that fail on their own. Where most of a zone fails, the cause is shared: its endpoints get
    /// half of their weight and stay.
    fn eject_failing(&mut self, failing: &[ServerId], commands: &mut Vec<Command>) {
        let zones_at_fault = self.zones_mostly_failing(failing);
        for &server in failing {
            let endpoint = &mut self.endpoints[server];
            endpoint.is_weight_halved |= zones_at_fault[endpoint.zone];
            if !endpoint.is_weight_halved {
                self.eject(server, false, commands);
            }
        }
    }

    /// Whether more than half of the listed endpoints fail, by zone.
    fn zones_mostly_failing(&self, failing: &[ServerId]) -> Vec<bool> {
        let mut listed: Vec<usize> = Vec::new();
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.is_listed()) {
            *slot(&mut listed, endpoint.zone) += 1;
        }
        let mut failing_here = vec![0; listed.len()];
        for &server in failing {
            failing_here[self.endpoints[server].zone] += 1;
        }
        listed.iter().zip(failing_here).map(|(listed, failing)| 2 * failing > *listed).collect()
    }

    /// Ejects an endpoint and tells the operators.
    pub(crate) fn eject(&mut self, server: ServerId, on_hard_evidence: bool, commands: &mut Vec<Command>) {
        let endpoint = &mut self.endpoints[server];
        endpoint.eject(on_hard_evidence, self.now);
        commands.push(Command::LogEjection(EjectionReport::new(server, endpoint)));
    }
}
