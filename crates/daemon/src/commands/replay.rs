//! `runloom replay`: replays a recorded day with its own settings or with others, or turns it into a scenario of the
//! testbed.

use super::error::{file_error, CommandError};
use crate::planner_runtime::BUILD;
use runloom_event_log::{for_each_entry, read_run, read_runs, Entry};
use runloom_replay::exact::{Replay, ReplaySummary};
use runloom_replay::html_report;
use runloom_replay::what_if::{compare, Comparison, SideSummary, WhatIfSettings};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a replay changes of the recorded settings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplayOverrides {
    /// A file with another `<fleet>`.
    pub fleet: Option<PathBuf>,
    /// Another seed of the random choices.
    pub seed: Option<u64>,
    /// Commands are not checked by the guard.
    pub skip_guard: bool,
    /// The replay ends at this time of the record.
    pub until: Option<Duration>,
}

/// Options of a replay.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// The event log.
    pub folder: PathBuf,
    /// Which start of the planner: 0 for the last, 1 for the one before.
    pub starts_back: usize,
    /// What is changed.
    pub overrides: ReplayOverrides,
    /// A file for a page with plots of the comparison.
    pub page: Option<PathBuf>,
    /// Prints JSON.
    pub json: bool,
}

/// Writes an event log as a scenario of the testbed.
pub fn infer_scenario(folder: &Path, file: &Path) -> Result<(), CommandError> {
    let days = read_runs(folder)?;
    let scenario = runloom_replay::scenario_inference::infer(&days)?;
    std::fs::write(file, scenario.to_xml()).map_err(file_error(file))?;
    println!("{}: {} troubles, {} edits", file.display(), scenario.faults.len(), scenario.edits.len());
    for omission in &scenario.omissions {
        println!("left out: {omission}");
    }
    Ok(())
}

/// Replays a recorded day: with its own settings its commands have to be the same, with others they are compared.
pub fn replay(options: &ReplayOptions) -> Result<(), CommandError> {
    if options.overrides == ReplayOverrides::default() && options.page.is_none() {
        verify(options)
    } else {
        compare_alternative(options)
    }
}

/// Replays with the recorded settings, and fails if a command differs.
fn verify(options: &ReplayOptions) -> Result<(), CommandError> {
    let same = replay_exactly(&options.folder, options.starts_back)?;
    if options.json {
        println!("{}", serde_json::to_value(&same)?);
    } else if let Some(difference) = &same.first_difference {
        println!(
            "other from {:.3} s on, after {} turns: {} ({})",
            difference.at_seconds, difference.equal_steps, difference.description, difference.cause
        );
    } else {
        println!("the same: {} turns, {} messages, byte for byte", same.steps, same.messages);
        println!("sha-256 {}", same.digest);
    }
    match same.first_difference {
        None => Ok(()),
        Some(difference) => Err(CommandError::Diverged(difference.description)),
    }
}

/// Replays with one segment in memory at a time.
fn replay_exactly(folder: &Path, starts_back: usize) -> Result<ReplaySummary, CommandError> {
    let mut replay: Option<Replay> = None;
    let mut failure = None;
    let mut take_entry = |entry: Entry| {
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
    for_each_entry(folder, starts_back, &mut take_entry)?;
    match (failure, replay) {
        (Some(error), _) => Err(error.into()),
        (None, Some(replay)) => Ok(replay.finish()),
        (None, None) => Err(CommandError::NoSuchStart),
    }
}

/// Replays with other settings, and prints how commands and service would have differed.
fn compare_alternative(options: &ReplayOptions) -> Result<(), CommandError> {
    let entries = read_run(&options.folder, options.starts_back)?;
    let setting = read_setting(&options.overrides)?;
    let compared = compare(&entries, &setting)?;
    if let Some(file) = &options.page {
        let title = format!("{}, start {}", options.folder.display(), options.starts_back);
        let page = html_report::render(&title, &compared).map_err(CommandError::Page)?;
        std::fs::write(file, page).map_err(file_error(file))?;
    }
    if options.json {
        println!("{}", serde_json::to_value(&compared)?);
    } else {
        print_commands("as it was", &compared.recorded);
        print_commands("as it would be", &compared.changed);
        print_service(&compared);
    }
    Ok(())
}

fn read_setting(overrides: &ReplayOverrides) -> Result<WhatIfSettings, CommandError> {
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
        "{name}: {} messages, {} lines, {} waiting at the most, {} refused",
        side.messages, side.entries, side.max_queued_entries, side.rejected
    );
    if side.violations.is_empty() {
        println!("  rules kept");
    } else {
        println!("  {}", side.violations.join("; "));
    }
}

fn print_service(compared: &Comparison) {
    let service = &compared.service;
    println!("service, queries answered within their soft limit, by payoff: was {:.4}", service.recorded);
    match service.changed {
        Some(estimate) => {
            let (value, low, high) = estimate.into();
            println!("  would be {value:.4}, 95% of such days from {low:.4} to {high:.4}");
        }
        None => println!("  would be unknown: the record does not say"),
    }
    for class in &service.classes {
        let would = class.changed.map_or("unknown".into(), |would| format!("{would:.4}"));
        println!(
            "  {}: was {:.4}, would be {would}, of {} queries",
            class.class, class.recorded, class.requests
        );
    }
    println!(
        "  support {:.3}; the estimate carries {:.0} of {:.0} s",
        service.support, service.valid_seconds, compared.seconds
    );
}
