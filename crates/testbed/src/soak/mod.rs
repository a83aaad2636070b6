//! Soak of the built `runloom platform`: seeded runs of restarts, signals, moved discovery, floods of unidentified clients and lists
//! that misbehave, checked from the sockets alone.
//!
//! Each seed draws a plan, which is played against one process after the other at one address.

mod checker;
mod discovery_agent;
mod endpoint_list;
mod plan;
mod platform_process;
mod proxy_client;
mod run;
mod stand_ins;
#[cfg(test)]
mod tests;
mod unidentified_clients;

use run::RunReport;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// What a soak is asked to do.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The built program.
    pub program: PathBuf,
    /// The first seed.
    pub first_seed: u64,
    /// The last seed.
    pub last_seed: u64,
    /// Runs at a time.
    pub jobs: usize,
    /// Logs of the processes stay here.
    pub folder: PathBuf,
}

/// Plays all seeds and prints a line for each; returns whether no check failed.
///
/// # Errors
/// Returns the cause if a stand-in or a process cannot be started.
pub fn soak(options: &SoakOptions) -> Result<bool, String> {
    std::fs::create_dir_all(&options.folder).map_err(|e| e.to_string())?;
    let next_seed = AtomicU64::new(options.first_seed);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed > options.last_seed {
                    return;
                }
                let report = play_seed(options, seed);
                lock(&reports).push(report);
            });
        }
    });
    let reports = reports.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let failed = reports.iter().filter(|report| !report.violations.is_empty()).count();
    let sum = |count: fn(&RunReport) -> u64| reports.iter().map(count).sum::<u64>();
    println!(
        "soak: {} runs, {failed} failed; {} starts, {} SIGHUPs, {} moves, {} unidentified clients, {} streams, {} list changes",
        reports.len(),
        sum(|report| report.starts),
        sum(|report| report.hangups),
        sum(|report| report.moves),
        sum(|report| report.unidentified_clients),
        sum(|report| report.streams),
        sum(|report| report.list_changes),
    );
    Ok(failed == 0)
}

fn play_seed(options: &SoakOptions, seed: u64) -> RunReport {
    let plan = plan::RunPlan::draw(seed);
    let log = log_file(&options.folder, seed);
    let _ = std::fs::remove_file(&log);
    let report = run::play(&plan, &options.program, &log).unwrap_or_else(RunReport::not_played);
    println!("seed {seed}: {}: {}", plan.summary(), report.verdict());
    report.violations.iter().for_each(|violation| println!("seed {seed}: BROKEN {violation}"));
    if !report.violations.is_empty() {
        println!("seed {seed}: log {}", log.display());
    }
    report
}

fn log_file(folder: &Path, seed: u64) -> PathBuf {
    folder.join(format!("seed-{seed}.log"))
}

/// Locks a value that no thread leaves half changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
