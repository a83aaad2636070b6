//! Output of measured figures, and histograms of times.

use super::BenchmarkResult;
use crate::testbed::ScenarioOutcome;
use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest time that histograms record, in microseconds; a longer one counts as this.
const MAX_TIME_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROSECONDS_PER_MS: f64 = 1e3;
/// A scenario's planners run this much longer than the clients send, in seconds.
const SCENARIO_DRAIN_SECONDS: f64 = 5.0;

/// Prints one figure as `name value unit`, with three decimals.
pub(crate) fn print_figure(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// A duration in milliseconds.
pub(crate) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// A histogram of times in microseconds.
pub(crate) struct TimeHistogram(Histogram<u64>);

impl TimeHistogram {
    /// An empty histogram.
    pub fn new() -> Result<TimeHistogram, String> {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS);
        histogram.map(TimeHistogram).map_err(|e| e.to_string())
    }

    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        self.record_us(time.as_micros() as u64);
    }

    /// Adds a time in microseconds.
    pub fn record_us(&mut self, microseconds: u64) {
        self.0.saturating_record(microseconds);
    }

    /// The quantile for a share (0 to 1) of all times, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.0, share)
    }
}

/// The quantile for a share (0 to 1) of all times, in milliseconds; the histogram is in microseconds.
pub(crate) fn quantile_ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    histogram.value_at_quantile(share) as f64 / MICROSECONDS_PER_MS
}

/// Prints what a scenario measured on the path from an edit to the proxies. Clients sent requests for `seconds`.
///
/// # Errors
/// Returns the violations of rules, if there are any.
pub(crate) fn print_path_figures(size: &str, seconds: f64, outcome: &ScenarioOutcome) -> BenchmarkResult {
    let print = |name: &str, value: f64, unit: &str| print_figure(&format!("{size}.{name}"), value, unit);
    let mut times: Vec<u64> = outcome.edits.iter().filter_map(|edit| edit.in_force_ms).collect();
    times.sort_unstable();
    print("edits", outcome.edits.len() as f64, "edits");
    print("edits_in_force", times.len() as f64, "edits");
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        print(&format!("edit_in_force_{name}"), quantile(&times, share) as f64, "ms");
    }
    let metric = |name: &str| outcome.metrics.get(name).copied().unwrap_or(f64::NAN);
    for (name, metric_name) in [
        ("order_written_p99", "runloom_order_written_seconds_p99"),
        ("order_confirmed_p50", "runloom_order_confirmed_seconds_p50"),
        ("order_confirmed_p99", "runloom_order_confirmed_seconds_p99"),
        ("turn_p99", "runloom_turn_seconds_p99"),
        ("turn_max", "runloom_turn_seconds_max"),
    ] {
        print(name, metric(metric_name) * 1e3, "ms");
    }
    print("lines_waiting_most", outcome.max_queued_entries as f64, "lines");
    print("lines", outcome.entries as f64, "lines");
    print("messages", outcome.messages as f64, "messages");
    print("planner_memory", outcome.planner_usage.resident_kib as f64 / 1024.0, "MiB");
    let planner_seconds = seconds + SCENARIO_DRAIN_SECONDS;
    print("planner_core", outcome.planner_usage.cpu.as_secs_f64() / planner_seconds, "cores");
    print("joined_all", milliseconds(outcome.settle_time), "ms");
    if !outcome.violations.is_empty() {
        return Err(outcome.violations.join("; "));
    }
    Ok(())
}

/// The quantile for a share (0 to 1) of sorted values; 0 if there are none.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let position = (sorted.len() as f64 * share) as usize;
    sorted.get(position.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
