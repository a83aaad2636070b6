//! Soak test of a built `runloom platform`: seeded runs with restarts, signals, discovery moves, floods of unidentified
//! clients and a discovery agent that misbehaves. The checks see the process only from outside: its sockets, its exit
//! status, and its descriptors and memory in `/proc`.
//!
//! Each seed determines a plan, which runs against several processes in succession at the same address.

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

/// Options of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Path of the built `runloom` program.
    pub program: PathBuf,
    /// The first seed.
    pub first_seed: u64,
    /// The last seed, inclusive.
    pub last_seed: u64,
    /// Runs in parallel; 0 counts as 1.
    pub jobs: usize,
    /// Folder of the logs, one for each seed, which are kept after the soak.
    pub folder: PathBuf,
}

/// Runs all seeds and prints a line for each, and a summary; returns whether no check failed. A run that cannot be
/// started counts as failed.
///
/// # Errors
/// Returns the cause if the folder cannot be created.
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
                let report = run_seed(options, seed);
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
        sum(|report| report.sighups),
        sum(|report| report.discovery_moves),
        sum(|report| report.unidentified_clients),
        sum(|report| report.streams),
        sum(|report| report.list_changes),
    );
    Ok(failed == 0)
}

fn run_seed(options: &SoakOptions, seed: u64) -> RunReport {
    let plan = plan::RunPlan::draw(seed);
    let log = log_file(&options.folder, seed);
    let _ = std::fs::remove_file(&log);
    let report = run::run_plan(&plan, &options.program, &log).unwrap_or_else(RunReport::not_run);
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

/// Locks a value, also after a thread that held the lock panicked: no thread leaves it half changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
