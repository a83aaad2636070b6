//! The effect of warm-start hints when a planner restarts while servers fail.

use super::figures::print_figure;
use super::fixtures::{quiet_scenario, ScenarioSize};
use super::BenchmarkResult;
use crate::scenario::{DeliveryMode, FaultKind, Scenario, ScheduledFault};
use crate::testbed::{ScenarioOutcome, Testbed};
use runloom_daemon::persistence::LEARNED;
use runloom_netconf::tree::Element;
use runloom_store::{Folder, LearnedServer, LearnedServers, Store};
use statrs::statistics::Statistics;
use std::path::Path;

const SIZE: ScenarioSize = ScenarioSize { proxies: 24, servers: 24, request_rate: 240.0, seconds: 46 };
const SEEDS: [u64; 4] = [21, 22, 23, 24];
/// The age of outdated hints in milliseconds: six hours.
const OUTDATED_AGE_MS: u64 = 6 * 3600 * 1000;
/// Healthy servers that wrong hints suspect.
const WRONGLY_SUSPECTED_SERVERS: usize = 5;
/// The speed factor below which a hint says that a server is slow.
const SLOW_SPEED_FACTOR: f64 = 0.8;
/// The speed factor that wrong hints give to healthy servers.
const WRONG_SPEED_FACTOR: f64 = 0.5;

/// A kind of warm-start hints that a planner finds in its state folder when it restarts.
struct HintCase {
    name: &'static str,
    /// Changes the hints that the planner wrote into its state folder.
    prepare: fn(&Path),
}

const CASES: [HintCase; 4] = [
    HintCase { name: "wrong", prepare: write_wrong_hints },
    HintCase { name: "cold", prepare: remove_hints },
    HintCase { name: "fresh", prepare: |_| () },
    HintCase { name: "six_hours", prepare: age_hints },
];

/// Replaces the hints in a state folder by what `change` returns. A folder that cannot be read is left unchanged.
fn change_hints(state: &Path, change: impl FnOnce(Option<LearnedServers>) -> Option<LearnedServers>) {
    let Ok(folder) = Folder::open(state) else { return };
    let Ok((mut store, opened)) = Store::open(folder, LEARNED) else { return };
    let hints = opened.state.and_then(|bytes| LearnedServers::decode(&bytes).ok());
    if let Some(hints) = change(hints) {
        let _ = store.snapshot(&hints.encode());
    }
}

fn remove_hints(state: &Path) {
    change_hints(state, |_| Some(LearnedServers::default()));
}

fn age_hints(state: &Path) {
    change_hints(state, |hints| {
        let mut hints = hints?;
        hints.written_ms -= OUTDATED_AGE_MS;
        for server in &mut hints.servers {
            server.last_ejected_ms = server.last_ejected_ms.map(|at| at - OUTDATED_AGE_MS);
        }
        Some(hints)
    });
}

/// Replaces the hints by ones that suspect healthy servers, without entries for the others.
fn write_wrong_hints(state: &Path) {
    // The endpoint list is taken from the planner's settings, since it does not change in this scenario.
    let Some(settings) = state.parent().map(|folder| folder.join("planner-0.xml")) else { return };
    let text = std::fs::read_to_string(settings).unwrap_or_default();
    let Ok(planner) = Element::parse(&text) else { return };
    let Some(roster) = planner.child("roster") else { return };
    change_hints(state, |hints| {
        let hints = hints?;
        let is_suspected = |listed: &Element| {
            let name = listed.text_of("name").unwrap_or_default();
            hints.servers.iter().any(|server| server.name == name && is_faulty(server))
        };
        let healthy = roster.named("server").filter(|listed| !is_suspected(listed));
        let servers = healthy
            .take(WRONGLY_SUSPECTED_SERVERS)
            .map(|listed| wrong_hint(listed, hints.written_ms))
            .collect();
        Some(LearnedServers { written_ms: hints.written_ms, servers })
    });
}

fn is_faulty(server: &LearnedServer) -> bool {
    server.last_ejected_ms.is_some() || server.speed_factor < SLOW_SPEED_FACTOR
}

fn wrong_hint(listed: &Element, written_ms: u64) -> LearnedServer {
    LearnedServer {
        name: listed.text_of("name").unwrap_or_default().to_string(),
        address: listed.text_of("address").unwrap_or_default().to_string(),
        started_ms: listed.text_of("started").and_then(|text| text.parse().ok()),
        speed_factor: WRONG_SPEED_FACTOR,
        last_ejected_ms: Some(written_ms),
        is_long_ejected: true,
    }
}

/// 24 servers, of which three fail all requests from 3 s on and two are three times slower from 4 s on; the planner is
/// killed at 14 s and restarted a second later.
fn scenario() -> Scenario {
    let slow = ScheduledFault { magnitude: 3.0, ..ScheduledFault::new(4, FaultKind::Slow, 2, 42) };
    Scenario {
        delivery: DeliveryMode::Mixed,
        selection: "chance".into(),
        edits: vec![],
        faults: vec![
            ScheduledFault::new(3, FaultKind::Errors, 3, 43),
            slow,
            ScheduledFault::new(14, FaultKind::PlannerKill, 1, 1),
        ],
        ..quiet_scenario(SIZE)
    }
}

/// The result of one run.
struct RestartRun {
    requests_to_failing_servers: usize,
    requests_to_slow_servers: usize,
    outcome: ScenarioOutcome,
}

fn run(folder: &Path, program: &Path, case: &HintCase, seed: u64) -> Result<RestartRun, String> {
    let run_folder = folder.join(format!("{}-{seed}", case.name));
    let mut testbed = Testbed::new(scenario(), seed, &run_folder, program, &[])?;
    testbed.set_before_restart(case.prepare);
    let outcome = testbed.run()?;
    let restart = testbed.restart();
    Ok(RestartRun {
        requests_to_failing_servers: restart.requests_to_failing_servers,
        requests_to_slow_servers: restart.requests_to_slow_servers,
        outcome,
    })
}

/// Runs all seeds in parallel, since each takes a small part of a core.
fn run_all_seeds(folder: &Path, program: &Path, case: &HintCase) -> Result<Vec<RestartRun>, String> {
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            SEEDS.into_iter().map(|seed| scope.spawn(move || run(folder, program, case, seed))).collect();
        let panicked = |_| Err("a scenario panicked".into());
        threads.into_iter().map(|thread| thread.join().unwrap_or_else(panicked)).collect()
    })
}

/// Restarts a planner while three servers fail and two are slow, without hints and with fresh, outdated and wrong ones.
/// Prints the requests that failing and slow servers received in the half minute after the restart, and the service
/// over the whole scenario, each as mean and standard error over the seeds.
pub(super) fn measure(folder: &Path, program: &Path) -> BenchmarkResult {
    let mut violations = vec![];
    for case in &CASES {
        let runs = run_all_seeds(folder, program, case)?;
        let found = runs.iter().flat_map(|run| &run.outcome.violations);
        violations.extend(found.map(|violation| format!("{}: {violation}", case.name)));
        let print = |figure: &str, unit: &str, value: fn(&RestartRun) -> f64| {
            let values: Vec<f64> = runs.iter().map(value).collect();
            print_mean(&format!("restart.{}.{figure}", case.name), &values, unit);
        };
        print("queries_to_failing_servers", "queries", |run| run.requests_to_failing_servers as f64);
        print("queries_to_slow_servers", "queries", |run| run.requests_to_slow_servers as f64);
        print("service", "of_1", |run| run.outcome.service);
    }
    if violations.is_empty() {
        Ok(())
    } else {
        Err(violations.join("; "))
    }
}

fn print_mean(name: &str, values: &[f64], unit: &str) {
    let standard_error = values.iter().std_dev() / (values.len() as f64).sqrt();
    print_figure(name, values.iter().mean(), unit);
    print_figure(&format!("{name}_standard_error"), standard_error, unit);
}
