//! Overload pressure: the load on a pool of endpoints relative to the highest load that is acceptable.

use crate::statistics::LatencyHistogram;

/// A failure rate of this share of the attempts is a pressure of 1: it is more than a few bad endpoints cause.
const OVERLOAD_FAILURE_RATE: f64 = 0.15;
/// Latencies count as pressure from this many samples on; with fewer, only failures count.
const MIN_LATENCY_SAMPLES: f32 = 10.0;

/// The load on a pool of endpoints: the shared ones, or those for isolated classes.
#[derive(Debug, Default)]
pub(crate) struct PoolLoad {
    /// The pressure of latency and failures; above 1 the pool is overloaded.
    pub overload_pressure: f64,
    /// The pressure of latency alone or, with too few latencies, that of failures.
    pub latency_pressure: f64,
    /// Latencies of successful attempts, halved at each tick.
    pub latencies: LatencyHistogram,
    /// Attempts and failed attempts, halved at each tick.
    pub attempts: f64,
    pub failures: f64,
}

impl PoolLoad {
    /// Updates the pressure, once per tick, and returns the pressure of failures alone.
    ///
    /// A mean latency of `overload_latency_seconds` is a pressure of 1. Failures count up to `failure_pressure_cap`
    /// times the latency pressure: failures while other answers are quick are no overload.
    pub fn update_pressure(&mut self, overload_latency_seconds: f64, failure_pressure_cap: f64) -> f64 {
        let failure_pressure = self.failures / (self.attempts + 1.0) / OVERLOAD_FAILURE_RATE;
        self.attempts *= 0.5;
        self.failures *= 0.5;
        self.latency_pressure = if self.latencies.count() < MIN_LATENCY_SAMPLES {
            failure_pressure
        } else {
            self.latencies.mean() / overload_latency_seconds
        };
        let capped_failures = failure_pressure.min(self.latency_pressure * failure_pressure_cap);
        self.overload_pressure = self.latency_pressure.max(capped_failures);
        self.latencies.halve();
        failure_pressure
    }
}
