//! End-to-end scenarios: the path from an operator's edit to the proxies, and from the clients to the servers.

use super::figures::{print_figure, print_path_figures};
use super::fixtures::{quiet_scenario, ScenarioSize};
use super::BenchmarkResult;
use crate::scenario::Scenario;
use crate::testbed::Testbed;
use std::path::Path;

/// Synthetic requests per second, which pass no socket, at the largest size.
const SYNTHETIC_REQUEST_RATE: f64 = 2600.0;
const SECONDS: u64 = 20;
const SEED: u64 = 1;
const SMALL: ScenarioSize = ScenarioSize { proxies: 45, servers: 32, request_rate: 240.0, seconds: SECONDS };
const LARGE: ScenarioSize =
    ScenarioSize { proxies: 150, servers: 107, request_rate: 850.0, seconds: SECONDS };
const LARGEST: ScenarioSize =
    ScenarioSize { proxies: 592, servers: 544, request_rate: 0.0, seconds: SECONDS };

pub(super) fn measure_small(folder: &Path, program: &Path) -> BenchmarkResult {
    measure_with_clients("45x32", quiet_scenario(SMALL), folder, program)
}

pub(super) fn measure_large(folder: &Path, program: &Path) -> BenchmarkResult {
    measure_with_clients("150x107", quiet_scenario(LARGE), folder, program)
}

/// Measures the largest size, with synthetic requests that pass no socket.
pub(super) fn measure_without_sockets(folder: &Path, program: &Path) -> BenchmarkResult {
    measure_synthetic("592x544", quiet_scenario(LARGEST), folder, program)
}

/// As [`measure_without_sockets`], without an event log.
pub(super) fn measure_unrecorded(folder: &Path, program: &Path) -> BenchmarkResult {
    let scenario = Scenario { is_recorded: false, ..quiet_scenario(LARGEST) };
    measure_synthetic("592x544.unrecorded", scenario, folder, program)
}

fn measure_with_clients(size: &str, scenario: Scenario, folder: &Path, program: &Path) -> BenchmarkResult {
    let seconds = scenario.duration.as_secs_f64();
    let outcome = Testbed::new(scenario, SEED, folder, program, &[])?.run()?;
    print_path_figures(size, seconds, &outcome)?;
    print_figure(&format!("{size}.queries"), outcome.requests as f64, "queries");
    print_figure(&format!("{size}.service"), outcome.service, "of_1");
    Ok(())
}

fn measure_synthetic(size: &str, scenario: Scenario, folder: &Path, program: &Path) -> BenchmarkResult {
    let seconds = scenario.duration.as_secs_f64();
    let mut testbed = Testbed::new(scenario, SEED, folder, program, &[])?;
    testbed.set_synthetic_request_rate(SYNTHETIC_REQUEST_RATE);
    let outcome = testbed.run()?;
    print_path_figures(size, seconds, &outcome)
}
