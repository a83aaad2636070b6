//! `runloom replay`: replays an event log with its recorded settings or with others, or infers a scenario of the
//! testbed from it.

use super::error::{file_error, CommandError};
use crate::planner_runtime::BUILD;
use runloom_event_log::{for_each_entry, read_run, read_runs, Entry};
use runloom_replay::exact::{Replay, ReplaySummary};
use runloom_replay::html_report;
use runloom_replay::what_if::{compare, Comparison, SideSummary, WhatIfSettings};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings of a replay that differ from the recorded ones.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplayOverrides {
    /// A file with a `<fleet>` in place of the recorded one.
    pub fleet: Option<PathBuf>,
    /// A seed of the random choices in place of the recorded one.
    pub seed: Option<u64>,
    /// Whether commands are not checked by the guard.
    pub skip_guard: bool,
    /// The time since the planner's start at which the replay ends; `None` for the end of the log.
    pub until: Option<Duration>,
}

/// Options of a replay.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// The folder of the event log.
    pub folder: PathBuf,
    /// The start of the planner to replay: 0 for the latest, 1 for the one before.
    pub starts_back: usize,
    /// Settings in place of the recorded ones.
    pub overrides: ReplayOverrides,
    /// The file for an HTML page with plots of the comparison.
    pub page: Option<PathBuf>,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

/// Writes a scenario of the testbed that is inferred from all starts in an event log.
pub fn infer_scenario(folder: &Path, file: &Path) -> Result<(), CommandError> {
    let runs = read_runs(folder)?;
    let scenario = runloom_replay::scenario_inference::infer(&runs)?;
    std::fs::write(file, scenario.to_xml()).map_err(file_error(file))?;
    println!("{}: {} faults, {} edits", file.display(), scenario.faults.len(), scenario.edits.len());
    for omission in &scenario.omissions {
        println!("left out: {omission}");
    }
    Ok(())
}

/// Replays an event log. With the recorded settings the commands have to be the same; with others they are compared.
pub fn replay(options: &ReplayOptions) -> Result<(), CommandError> {
    if options.overrides == ReplayOverrides::default() && options.page.is_none() {
        verify(options)
    } else {
        compare_alternative(options)
    }
}

/// Replays with the recorded settings, and fails if any command differs.
fn verify(options: &ReplayOptions) -> Result<(), CommandError> {
    let summary = replay_exactly(&options.folder, options.starts_back)?;
    if options.json {
        println!("{}", serde_json::to_value(&summary)?);
    } else if let Some(difference) = &summary.first_difference {
        println!(
            "differs from {:.3} s on, after {} equal turns: {} ({})",
            difference.at_seconds, difference.equal_steps, difference.description, difference.cause
        );
    } else {
        println!("the same: {} turns, {} messages, byte for byte", summary.steps, summary.messages);
        println!("sha-256 {}", summary.digest);
    }
    match summary.first_difference {
        None => Ok(()),
        Some(difference) => Err(CommandError::Diverged(difference.description)),
    }
}

/// Replays one start of the planner, with one segment in memory at a time.
fn replay_exactly(folder: &Path, starts_back: usize) -> Result<ReplaySummary, CommandError> {
    let mut replay: Option<Replay> = None;
    let mut failure = None;
    let mut replay_entry = |entry: Entry| {
        let result = match &mut replay {
            Some(replay) => replay.replay_entry(&entry),
            None => Replay::new(&entry, BUILD).map(|started| {
                replay = Some(started);
                true
            }),
        };
        result.unwrap_or_else(|error| {
            failure = Some(error);
            false
        })
    };
    for_each_entry(folder, starts_back, &mut replay_entry)?;
    match (failure, replay) {
        (Some(error), _) => Err(error.into()),
        (None, Some(replay)) => Ok(replay.finish()),
        (None, None) => Err(CommandError::NoSuchStart),
    }
}

/// Replays with other settings, and prints how commands and service quality would have differed.
fn compare_alternative(options: &ReplayOptions) -> Result<(), CommandError> {
    let entries = read_run(&options.folder, options.starts_back)?;
    let settings = what_if_settings(&options.overrides)?;
    let comparison = compare(&entries, &settings)?;
    if let Some(file) = &options.page {
        let title = format!("{}, start {}", options.folder.display(), options.starts_back);
        let page = html_report::render(&title, &comparison).map_err(CommandError::Page)?;
        std::fs::write(file, page).map_err(file_error(file))?;
    }
    if options.json {
        println!("{}", serde_json::to_value(&comparison)?);
    } else {
        print_commands("as it was", &comparison.recorded);
        print_commands("as it would be", &comparison.changed);
        print_service(&comparison);
    }
    Ok(())
}

fn what_if_settings(overrides: &ReplayOverrides) -> Result<WhatIfSettings, CommandError> {
    let fleet = match &overrides.fleet {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(file_error(file))?;
            Some(runloom_replay::parse_fleet(&text)?)
        }
        None => None,
    };
    Ok(WhatIfSettings {
        fleet,
        seed: overrides.seed,
        is_unguarded: overrides.skip_guard,
        until: overrides.until,
    })
}

fn print_commands(name: &str, side: &SideSummary) {
    println!(
        "{name}: {} messages, {} entries, at most {} queued, {} commands rejected",
        side.messages, side.entries, side.max_queued_entries, side.rejected
    );
    if side.violations.is_empty() {
        println!("  no rule violated");
    } else {
        println!("  {}", side.violations.join("; "));
    }
}

fn print_service(comparison: &Comparison) {
    let service = &comparison.service;
    println!(
        "service, share of queries answered within their soft limit, weighted by payoff: was {:.4}",
        service.recorded
    );
    match service.changed {
        Some(estimate) => {
            let (value, low, high) = estimate.into();
            println!("  would be {value:.4}, 95% prediction interval {low:.4} to {high:.4}");
        }
        None => println!("  would be unknown: the event log shows too few outcomes under the other settings"),
    }
    for class in &service.classes {
        let would = class.changed.map_or("unknown".into(), |would| format!("{would:.4}"));
        println!(
            "  {}: was {:.4}, would be {would}, of {} queries",
            class.class, class.recorded, class.requests
        );
    }
    println!(
        "  support {:.3}; the estimate is valid for the first {:.0} of {:.0} s",
        service.support, service.valid_seconds, comparison.seconds
    );
}
