//! Overload pressure: how much more than it can handle a pool of endpoints has to do.

use crate::statistics::LatencyHistogram;

/// Failures among this share of the attempts are a pressure of 1: more than a few endpoints' trouble.
const OVERLOAD_FAILURE_RATE: f64 = 0.15;
/// Latencies count as pressure from this many on; below it failures alone do.
const MIN_LATENCY_SAMPLES: f32 = 10.0;

/// The load on a part of the endpoints.
#[derive(Debug, Default)]
pub(crate) struct PoolLoad {
    /// Above 1 the pool has too much to do.
    pub overload_pressure: f64,
    /// The part of the pressure that is latency.
    pub latency_pressure: f64,
    pub latencies: LatencyHistogram,
    /// Attempts and failed attempts, halved at each tick.
    pub attempts: f64,
    pub failures: f64,
}

impl PoolLoad {
    /// Settles the pressure of one tick and returns the pressure of failures alone.
    ///
    /// A mean latency of `overload_latency_seconds` is a pressure of 1. Failures count up to `failure_pressure_cap`
    /// times the latency pressure: beside quick answers they are no overload.
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
