//! A proxy's own state of one endpoint, and the attempts that it counts between two reports.

use crate::circuit_breaker::CircuitBreaker;
use runloom_model::report::{latency_bucket, ClassOutcomes, LatencyBuckets, ServerOutcomes};
use runloom_model::traffic_class::ClassSettings;
use std::collections::BTreeMap;
use std::time::Duration;

/// State of an endpoint, from this proxy's own attempts only.
#[derive(Debug, Clone, Default)]
pub(crate) struct Endpoint {
    pub(crate) circuit_breaker: CircuitBreaker,
    /// Number of this proxy's attempts in flight.
    pub(crate) in_flight: u32,
    pub(crate) statistics: EndpointStatistics,
}

impl Endpoint {
    /// Whether no attempt is in flight and none is left to report.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.statistics.attempts == 0
    }
}

/// Result of an attempt that ended, for the statistics.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRecord<'a> {
    pub(crate) class: usize,
    pub(crate) is_success: bool,
    /// Whether it succeeded within the latency objective of its class, measured from the request's arrival.
    pub(crate) within_objective: bool,
    pub(crate) latency: Duration,
    /// The load report in the response; empty if there is none.
    pub(crate) load: &'a [f64],
}

/// Attempts at one endpoint since the last report.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointStatistics {
    attempts: u64,
    failures: u64,
    within_objective: u64,
    /// Sum of the latencies of successful attempts.
    total_latency: Duration,
    /// The latest load report.
    load: Vec<f64>,
    classes: BTreeMap<usize, ClassStatistics>,
}

/// Attempts of one class at one endpoint since the last report.
#[derive(Debug, Clone, Default)]
struct ClassStatistics {
    attempts: u64,
    within_objective: u64,
    /// Latencies of successful attempts.
    latencies: LatencyBuckets,
}

impl EndpointStatistics {
    pub(crate) fn record(&mut self, attempt: &AttemptRecord) {
        self.attempts += 1;
        self.within_objective += u64::from(attempt.within_objective);
        if attempt.is_success {
            self.total_latency += attempt.latency;
        } else {
            self.failures += 1;
        }
        if !attempt.load.is_empty() {
            self.load = attempt.load.to_vec();
        }
        self.classes.entry(attempt.class).or_default().record(attempt);
    }

    /// Returns the counts for a report and resets them; `None` if there was no attempt.
    pub(crate) fn take_report(&mut self, server: &str, classes: &[ClassSettings]) -> Option<ServerOutcomes> {
        if self.attempts == 0 {
            return None;
        }
        let counted = std::mem::take(self);
        let successes = (counted.attempts - counted.failures).max(1) as u32;
        let class_outcomes =
            counted.classes.into_iter().map(|(class, counts)| counts.into_report(&classes[class].name));
        Some(ServerOutcomes {
            server: server.to_string(),
            attempts: counted.attempts,
            failures: counted.failures,
            mean_latency: counted.total_latency / successes,
            within_objective: counted.within_objective,
            load: counted.load,
            classes: class_outcomes.collect(),
        })
    }
}

impl ClassStatistics {
    fn record(&mut self, attempt: &AttemptRecord) {
        self.attempts += 1;
        self.within_objective += u64::from(attempt.within_objective);
        if attempt.is_success {
            *self.latencies.entry(latency_bucket(attempt.latency)).or_default() += 1;
        }
    }

    fn into_report(self, class: &str) -> ClassOutcomes {
        ClassOutcomes {
            class: class.to_string(),
            attempts: self.attempts,
            within_objective: self.within_objective,
            latencies: self.latencies,
        }
    }
}
