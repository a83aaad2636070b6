//! Benchmarks, which print one figure per line as `name value unit`. Names of figures that depend on the size of the
//! fleet contain it: `592x544` stands for 592 proxies and 544 servers.

mod edit_throughput;
mod end_to_end;
mod estimate_accuracy;
mod figures;
mod fixtures;
mod identity;
mod persistence;
mod proxy_overhead;
mod recording;
mod restart;
mod safety_guard;
mod table_delivery;

pub use estimate_accuracy::measure as measure_estimate_accuracy;
pub use recording::write_until_killed;
pub use safety_guard::{play_corrupted_scenario, CorruptedRun};

use std::path::Path;

/// The result of a measurement; the error says why it failed.
pub(crate) type BenchmarkResult = Result<(), String>;

/// Runs one measurement in `folder`; `program` is the testbed's own program.
///
/// # Errors
/// Returns the cause if the measurement fails, a rule is broken, or the name is unknown.
pub fn run(name: &str, folder: &Path, program: &Path) -> BenchmarkResult {
    match name {
        "edits" => edit_throughput::measure(),
        "overhead" => proxy_overhead::measure(folder),
        "small" => end_to_end::measure_small(folder, program),
        "large" => end_to_end::measure_large(folder, program),
        "alone" => end_to_end::measure_without_sockets(folder, program),
        "unrecorded" => end_to_end::measure_unrecorded(folder, program),
        "recording" => recording::measure(folder),
        "guard" => safety_guard::measure(),
        "spoilt" => safety_guard::measure_corrupted_commands(folder, program),
        "fronts" => table_delivery::measure(),
        "slow" => table_delivery::measure_slow_readers(folder, program),
        "storm" => table_delivery::measure_reconnects(folder, program),
        "restart" => restart::measure(folder, program),
        "keeping" => persistence::measure(folder, program),
        "identity" => identity::measure(folder, program),
        other => Err(format!("unknown measurement {other}; the names are {}", NAMES.join(", "))),
    }
}

/// The names of all measurements; `pairs` is [`measure_estimate_accuracy`], which [`run`] does not start.
const NAMES: [&str; 16] = [
    "edits",
    "overhead",
    "small",
    "large",
    "alone",
    "unrecorded",
    "recording",
    "guard",
    "spoilt",
    "pairs",
    "fronts",
    "slow",
    "storm",
    "restart",
    "keeping",
    "identity",
];
