//! The accuracy of a replay's estimates. Each scenario is played with its own settings and with changed ones. From the
//! event log of the first run, a replay estimates the service with the changed settings; this is compared with the
//! service of the second run over the same time.

use super::BenchmarkResult;
use crate::scenario::BUNDLED_SCENARIOS;
use runloom_event_log::{read_run, Entry, RecordedEvent};
use runloom_replay::what_if::{compare, WhatIfSettings};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Scenarios that are played, without their planner kills, since an estimate covers one start of a planner.
const SCENARIOS: [&str; 5] = ["deploy", "bad-day", "edits-under-failure", "restart-storm", "surge"];

/// Scenarios that are played in parallel, since each keeps about half a core busy.
const PARALLEL_SCENARIOS: usize = 4;

/// A change of a scenario's settings: its name, and the text replacements in the `fleet` element in order.
struct SettingsChange {
    name: &'static str,
    replacements: &'static [Replacement],
}

/// A text, and what replaces each occurrence of it.
struct Replacement {
    from: &'static str,
    to: &'static str,
}

const CHANGES: [SettingsChange; 5] = [
    SettingsChange {
        name: "zone z1 at 0.6",
        replacements: &[Replacement { from: "<name>z1</name>", to: "<name>z1</name><share>0.6</share>" }],
    },
    SettingsChange {
        name: "s2 and s5 at a weight of 0.3",
        replacements: &[Replacement {
            from: "<grace>",
            to: "<server><name>s2</name><weight>0.3</weight></server>\
                 <server><name>s5</name><weight>0.3</weight></server><grace>",
        }],
    },
    SettingsChange {
        name: "levels the other way",
        replacements: &[
            Replacement { from: "<levels>none", to: "<levels>pa-ce" },
            Replacement { from: "<levels>pace", to: "<levels>none" },
            Replacement { from: "pa-ce", to: "pace" },
        ],
    },
    SettingsChange {
        name: "what the list drops, the other way",
        replacements: &[
            Replacement { from: "bind>true<", to: "bind>not<" },
            Replacement { from: "bind>false<", to: "bind>true<" },
            Replacement { from: "bind>not<", to: "bind>false<" },
        ],
    },
    SettingsChange {
        name: "zone z0 at 1.5",
        replacements: &[Replacement { from: "<name>z0</name>", to: "<name>z0</name><share>1.5</share>" }],
    },
];

impl SettingsChange {
    fn apply(&self, fleet_xml: &str) -> String {
        let replace =
            |text: String, replacement: &Replacement| text.replace(replacement.from, replacement.to);
        self.replacements.iter().fold(fleet_xml.to_string(), replace)
    }
}

/// A run of a scenario in a process of its own.
struct Run<'a> {
    program: &'a Path,
    scenario_file: &'a Path,
    /// Folder of its event log; a log that exists is used as it is.
    folder: &'a Path,
    /// The settings, if they are not the scenario's own.
    fleet_file: Option<&'a Path>,
    seed: u64,
}

impl Run<'_> {
    /// Plays the scenario unless its event log exists, and returns the log.
    fn event_log(&self) -> Result<Vec<Entry>, String> {
        let log = self.folder.join("record-0");
        if !log.exists() {
            self.play()?;
        }
        read_run(&log, 0).map_err(|e| e.to_string())
    }

    fn play(&self) -> BenchmarkResult {
        let mut command = Command::new(self.program);
        command.arg("day").arg(self.scenario_file);
        command.args(["--seed", &self.seed.to_string()]);
        command.arg("--keep").arg(self.folder);
        if let Some(file) = self.fleet_file {
            command.arg("--fleet").arg(file);
        }
        // Exit code 1 means that a rule was broken; the event log exists all the same.
        let status = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
        status.map(|_| ()).map_err(|e| e.to_string())
    }
}

/// The `fleet` element with which an event log begins.
fn recorded_fleet(entries: &[Entry]) -> Result<String, String> {
    match entries.first().map(|entry| &entry.event) {
        Some(RecordedEvent::PlannerStarted { fleet, .. }) => Ok(fleet.clone()),
        _ => Err("the event log does not begin with a planner's start".into()),
    }
}

/// Calls `work` with each number below `count`, on [`PARALLEL_SCENARIOS`] threads, and returns the results in order.
fn run_in_parallel<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let run_worker = || {
        let mut results = vec![];
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= count {
                return results;
            }
            results.push((number, work(number)));
        }
    };
    let mut results: Vec<(usize, T)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..PARALLEL_SCENARIOS).map(|_| scope.spawn(run_worker)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Returns a row of the table: the estimate from the base run's event log, and the service of a run with the change.
fn compare_with_estimate(base: &[Entry], run: &Run, change: &SettingsChange) -> Result<String, String> {
    let fleet_xml = change.apply(&recorded_fleet(base)?);
    std::fs::create_dir_all(run.folder).map_err(|e| e.to_string())?;
    let fleet_file = run.folder.join("fleet.xml");
    std::fs::write(&fleet_file, &fleet_xml).map_err(|e| e.to_string())?;
    let fleet = runloom_replay::parse_fleet(&fleet_xml).map_err(|e| e.to_string())?;
    let what_if = WhatIfSettings { fleet: Some(fleet), ..WhatIfSettings::default() };
    let estimated = compare(base, &what_if).map_err(|e| e.to_string())?.service;
    let entries = Run { fleet_file: Some(&fleet_file), ..*run }.event_log()?;
    let until = (estimated.valid_seconds > 0.0).then(|| Duration::from_secs_f64(estimated.valid_seconds));
    let same_period = WhatIfSettings { until, ..WhatIfSettings::default() };
    let actual = compare(&entries, &same_period).map_err(|e| e.to_string())?.service.recorded;
    let (estimate, verdict) = match estimated.changed {
        None => ("unknown".to_string(), "unknown"),
        Some(estimate) => {
            let (value, low, high) = estimate.into();
            let is_within = low <= actual && actual <= high;
            (format!("{value:.4} ({low:.4} to {high:.4})"), if is_within { "held" } else { "missed" })
        }
    };
    let (recorded, valid_seconds, support) = (estimated.recorded, estimated.valid_seconds, estimated.support);
    Ok(format!("{recorded:.4} | {estimate} | {support:.2} | {valid_seconds:.0} | {actual:.4} | {verdict} |"))
}

/// Writes the scenarios without their planner kills into `folder`, and returns the files.
fn write_scenarios(folder: &Path) -> Result<Vec<PathBuf>, String> {
    let mut files = vec![];
    for name in SCENARIOS {
        let text = BUNDLED_SCENARIOS.iter().find(|(known, _)| *known == name).map_or("", |(_, text)| text);
        let lines: Vec<&str> = text.lines().filter(|line| !line.contains("planner-kill")).collect();
        let file = folder.join(format!("{name}.xml"));
        std::fs::write(&file, lines.join("\n")).map_err(|e| e.to_string())?;
        files.push(file);
    }
    Ok(files)
}

/// Plays all scenarios with their own settings and with each change, and prints a table. Event logs that exist in
/// `folder` are used as they are.
///
/// # Errors
/// Returns the cause if a scenario cannot be played or a log cannot be read.
pub fn measure(folder: &Path, program: &Path, seed: u64) -> BenchmarkResult {
    std::fs::create_dir_all(folder).map_err(|e| e.to_string())?;
    let files = write_scenarios(folder)?;
    let base_logs = run_in_parallel(SCENARIOS.len(), |scenario| {
        let run_folder = folder.join(SCENARIOS[scenario]);
        Run { program, scenario_file: &files[scenario], folder: &run_folder, fleet_file: None, seed }
            .event_log()
    });
    let base_logs = base_logs.into_iter().collect::<Result<Vec<_>, _>>()?;
    let rows = run_in_parallel(SCENARIOS.len() * CHANGES.len(), |number| {
        let (scenario, change) = (number / CHANGES.len(), number % CHANGES.len());
        let run_folder = folder.join(format!("{}-{change}", SCENARIOS[scenario]));
        let run =
            Run { program, scenario_file: &files[scenario], folder: &run_folder, fleet_file: None, seed };
        compare_with_estimate(&base_logs[scenario], &run, &CHANGES[change])
    });
    println!("| day | other setting | was | would be, with bars | support | carries s | came to | |");
    for (number, row) in rows.into_iter().enumerate() {
        let (scenario, change) = (number / CHANGES.len(), number % CHANGES.len());
        println!("| {} | {} | {}", SCENARIOS[scenario], CHANGES[change].name, row?);
    }
    Ok(())
}
