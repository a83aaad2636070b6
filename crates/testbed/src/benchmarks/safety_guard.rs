//! The safety guard: the time that it takes, and the rules that it keeps when commands are corrupted.

use super::figures::{print_figure, TimeHistogram};
use super::fixtures::{quiet_scenario, ScenarioSize};
use super::BenchmarkResult;
use crate::command_corruption;
use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::testbed::Testbed;
use runloom_controller::{Command, ListedState};
use runloom_guard::{GuardConfig, SafetyGuard};
use std::path::Path;
use std::time::{Duration, Instant};

/// Proxies and servers of each measured size.
const SIZES: [(usize, usize); 4] = [(45, 32), (150, 107), (592, 544), (2368, 2176)];
/// Servers that share one table.
const SERVERS_PER_TABLE: usize = 10;
const BATCH_COUNT: u64 = 2000;
/// One proxy in this many is late: it acknowledges only one batch in [`LATE_PROXY_BATCHES`].
const LATE_PROXY_PERIOD: usize = 50;
const LATE_PROXY_BATCHES: u64 = 20;
/// Corruptions whose scenarios are played in parallel, since each takes a small part of a core.
const PARALLEL_CORRUPTIONS: usize = 4;
const CORRUPTED_SEED: u64 = 3;
const CORRUPTED_SIZE: ScenarioSize =
    ScenarioSize { proxies: 8, servers: 9, request_rate: 160.0, seconds: 14 };

/// Measures the guard's time for a batch with one entry of each table, while a tenth of the servers is cold.
pub(super) fn measure() -> BenchmarkResult {
    SIZES.into_iter().try_for_each(|(proxies, servers)| measure_size(proxies, servers))
}

fn measure_size(proxies: usize, servers: usize) -> BenchmarkResult {
    let now = Duration::from_secs(100);
    let tables = servers.div_ceil(SERVERS_PER_TABLE);
    let mut guard = guard_with_tables(now, proxies, servers, tables)?;
    let mut times = TimeHistogram::new()?;
    for round in 0..BATCH_COUNT {
        let weight = 1.0 + 0.001 * (round % 100) as f64;
        let batch = (0..tables).map(|server| set_entry(server, tables, weight)).collect();
        let start = Instant::now();
        guard.validate(now, batch);
        times.record(start.elapsed());
        acknowledge(&mut guard, proxies, round);
    }
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let figure = format!("guard_batch_{proxies}x{servers}_{name}");
        print_figure(&figure, times.quantile_ms(share), "ms");
    }
    Ok(())
}

/// Creates a guard that has accepted the weights of all servers and the table assignments of all proxies.
fn guard_with_tables(
    now: Duration,
    proxies: usize,
    servers: usize,
    tables: usize,
) -> Result<SafetyGuard, String> {
    let is_cold = |server: usize| server % 10 == 9;
    let mut guard = SafetyGuard::new(GuardConfig {
        class_count: 3,
        planner_count: 1.0,
        initial_capacity: 0.2,
        warm_up: Duration::from_secs(15),
        overload_multiple: 4.0,
        only_draining_binds: false,
    });
    for server in 0..servers {
        guard.update_endpoint(server, ListedState::Ready, 1.0, is_cold(server).then_some(now));
    }
    for proxy in 0..proxies {
        guard.connect_proxy(proxy, 4.0);
    }
    let initial_weight = |server: usize| if is_cold(server) { 0.1 } else { 1.0 };
    let mut commands: Vec<Command> =
        (0..servers).map(|server| set_entry(server, tables, initial_weight(server))).collect();
    commands.extend((0..proxies).map(|proxy| Command::AssignTable {
        proxy,
        table: (proxy % tables) as u16,
        class_mask: 0,
    }));
    let accepted = guard.validate(now, commands).accepted.len();
    if accepted != servers + proxies {
        return Err(format!("the guard accepted {accepted} of {} initial commands", servers + proxies));
    }
    Ok(guard)
}

fn set_entry(server: usize, tables: usize, weight: f64) -> Command {
    Command::SetEntry { table: (server % tables) as u16, server, weight }
}

fn acknowledge(guard: &mut SafetyGuard, proxies: usize, round: u64) {
    for proxy in 0..proxies {
        guard.record_sent(proxy, round + 1);
        if proxy % LATE_PROXY_PERIOD != 7 || round % LATE_PROXY_BATCHES == 0 {
            guard.acknowledge(proxy, round + 1);
        }
    }
}

/// The result of a scenario with corrupted commands.
#[derive(Debug, Clone)]
pub struct CorruptedRun {
    /// One violation of each rule that was broken.
    pub violations: Vec<String>,
    /// Value of the answers, as a share (0 to 1) of what answers to all requests in time would be worth.
    pub service: f64,
}

/// Measures broken rules and service for each way to corrupt commands, with the guard and without it. Fails if a rule
/// is broken with the guard.
pub(super) fn measure_corrupted_commands(folder: &Path, program: &Path) -> BenchmarkResult {
    let play = |corruption: &str, is_guarded: bool| {
        let run_folder = folder.join(format!("{corruption}-{is_guarded}"));
        play_corrupted_scenario(&run_folder, program, corruption, is_guarded)
    };
    let play_both = |corruption: &str| -> Result<[CorruptedRun; 2], String> {
        Ok([play(corruption, true)?, play(corruption, false)?])
    };
    let mut guarded_violations = Vec::new();
    for corruptions in command_corruption::NAMES.chunks(PARALLEL_CORRUPTIONS) {
        let results: Vec<Result<[CorruptedRun; 2], String>> = std::thread::scope(|scope| {
            let threads: Vec<_> =
                corruptions.iter().map(|corruption| scope.spawn(|| play_both(corruption))).collect();
            let panicked = |_| Err("a scenario panicked".into());
            threads.into_iter().map(|thread| thread.join().unwrap_or_else(panicked)).collect()
        });
        for (corruption, result) in corruptions.iter().zip(results) {
            let [guarded, unguarded] = result?;
            print_corrupted_run(corruption, "guarded", &guarded);
            print_corrupted_run(corruption, "unguarded", &unguarded);
            let violations = guarded.violations.into_iter();
            guarded_violations.extend(violations.map(|violation| format!("{corruption}: {violation}")));
        }
    }
    if guarded_violations.is_empty() {
        Ok(())
    } else {
        Err(guarded_violations.join("; "))
    }
}

fn print_corrupted_run(corruption: &str, name: &str, run: &CorruptedRun) {
    let rules = run.violations.len() as f64;
    print_figure(&format!("{corruption}.{name}.rules_broken"), rules, "rules");
    print_figure(&format!("{corruption}.{name}.service"), run.service, "of_1");
    eprintln!("{corruption} {name}: {:?}", run.violations);
}

/// Plays a short scenario with a crash, a cold start and a drain, whose planner corrupts its commands.
///
/// # Errors
/// Returns the cause if the testbed fails.
pub fn play_corrupted_scenario(
    folder: &Path,
    program: &Path,
    corruption: &str,
    is_guarded: bool,
) -> Result<CorruptedRun, String> {
    let corrupt_argument = format!("--spoil={corruption}");
    let mut arguments = vec![corrupt_argument.as_str()];
    if !is_guarded {
        arguments.push("--unguarded");
    }
    let outcome = Testbed::new(corrupted_scenario(), CORRUPTED_SEED, folder, program, &arguments)?.run()?;
    let mut violations = outcome.violations;
    // A rule counts once, even if it was broken at several proxies.
    violations.sort();
    violations.dedup_by_key(|violation| violation.split(':').next().unwrap_or_default().to_string());
    Ok(CorruptedRun { violations, service: outcome.service })
}

fn corrupted_scenario() -> Scenario {
    Scenario {
        service_time: Duration::from_millis(40),
        // Servers are cold for most of the scenario, so that commands can overload them.
        warm_up: Duration::from_secs(10),
        edits: vec![],
        faults: vec![
            ScheduledFault::new(1, FaultKind::Crash, 2, 3),
            ScheduledFault::new(6, FaultKind::Replace, 2, 6),
        ],
        ..quiet_scenario(CORRUPTED_SIZE)
    }
}
