//! The command line of `runloom-testbed`.

use clap::{Args, Parser, Subcommand, ValueEnum};
use runloom_daemon::planner_runtime::{CrashPoint, TestHooks};
use runloom_testbed::management_clients::EditOutcome;
use runloom_testbed::scenario::{self, DeliveryMode, Scenario};
use runloom_testbed::soak::{self, SoakOptions};
use runloom_testbed::testbed::{ScenarioOutcome, Testbed};
use runloom_testbed::{benchmarks, command_corruption};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "runloom-testbed",
    version,
    about = "Runs scripted scenarios on loopback and checks the five safety rules"
)]
struct Arguments {
    #[arg(long, global = true, default_value = "warn")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum ReportFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a short demonstration: a planner, proxies, servers, clients, and a drain by an operator's edit.
    Demo,
    /// Runs a scenario: a file, or quiet, bad-day, edits-under-failure, restart-storm, deploy, surge. Exit code 1 if a rule was violated.
    #[command(name = "day")]
    RunScenario(ScenarioArguments),
    /// Runs a benchmark: edits, overhead, small, large, alone, unrecorded, recording, guard, spoilt, pairs, fronts, slow, storm, restart, keeping, identity. Prints one figure per line as `name value unit`.
    Measure {
        name: String,
        /// Works in this folder and keeps it; pairs reuses the event logs that it finds there.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Seed of the scenarios that pairs runs.
        #[arg(long, default_value_t = 5)]
        seed: u64,
    },
    /// Runs seeded sequences of restarts, signals, floods of clients and faulty endpoint lists against the built `runloom platform`, and checks what is observed at the sockets. Exit code 1 if a check failed.
    Soak(SoakArguments),
    /// Replays a run of an event log, counted back from the latest, and prints the digest of its commands.
    #[command(name = "again", hide = true)]
    ReplayDigest {
        folder: PathBuf,
        #[arg(value_name = "BACK")]
        runs_back: usize,
    },
    /// Writes an event log until the process is killed, for a test.
    #[command(name = "writes", hide = true)]
    WriteEventLog {
        #[arg(long)]
        folder: PathBuf,
    },
    /// Runs a planner, for the testbed's own use.
    #[command(hide = true)]
    Planner {
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        seed: u64,
        /// Aborts the process at this point of an edit: before-kept, kept, replied.
        #[arg(long = "dies", value_name = "DIES")]
        crash_point: Option<String>,
        /// Corrupts commands in this way.
        #[arg(long = "spoil", value_name = "SPOIL")]
        corruption: Option<String>,
        #[arg(long)]
        unguarded: bool,
    },
}

#[derive(Args)]
struct ScenarioArguments {
    file: String,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Format of the report; json adds one JSON object as the last line.
    #[arg(long, value_enum, default_value_t = ReportFormat::Text)]
    report: ReportFormat,
    /// Keeps settings, logs and state in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Corrupts the planners' commands in this way, as `measure spoilt` does.
    #[arg(long = "spoil", value_name = "SPOIL")]
    corruption: Option<String>,
    /// Runs the planners without the safety guard.
    #[arg(long)]
    unguarded: bool,
    /// File with the planners' `<fleet>`, instead of the scenario's own; in the format of `runloom replay --fleet`.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// How proxies receive their tables.
    #[arg(long = "front", value_name = "FRONT", value_enum, default_value_t)]
    delivery: DeliveryMode,
    /// Gives planners and proxies SPIFFE identities with this lifetime in seconds, renewed at half of it.
    #[arg(long = "lives", value_name = "LIVES")]
    identity_seconds: Option<u64>,
}

#[derive(Args)]
struct SoakArguments {
    /// The seeds to run, such as 1..50; both ends are included.
    #[arg(long, value_parser = parse_seeds, default_value = "1..50")]
    seeds: (u64, u64),
    /// Number of runs in parallel.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
    /// The built `runloom` program; by default the one in this program's folder.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for the logs of the processes; by default a temporary folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Parses seeds as `first..last`, both included; a single number stands for itself.
fn parse_seeds(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    Ok((number(first)?, number(last)?))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let is_planner = matches!(arguments.command, Command::Planner { .. });
    let level = if is_planner { "info" } else { &arguments.log_level };
    let filter = tracing_subscriber::EnvFilter::new(level);
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    match run_command(arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("runloom-testbed: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command. Returns false if a rule was violated or a check failed.
fn run_command(command: Command) -> Result<bool, String> {
    match command {
        Command::Demo => run_scenario(ScenarioRun {
            name: "demo",
            scenario: scenario::read("demo")?,
            seed: 1,
            report: ReportFormat::Text,
            keep: None,
            planner_arguments: vec![],
        }),
        Command::RunScenario(arguments) => run_scenario_command(arguments),
        Command::Measure { name, keep, seed } => run_benchmark(&name, keep, seed),
        Command::Soak(arguments) => run_soak(arguments),
        Command::ReplayDigest { folder, runs_back } => print_replay_digest(&folder, runs_back),
        Command::WriteEventLog { folder } => benchmarks::write_until_killed(&folder).map(|()| true),
        Command::Planner { settings, seed, crash_point, corruption, unguarded } => {
            let crash_point = crash_point.as_deref().and_then(CrashPoint::from_name);
            let command_tamper = corruption.as_deref().and_then(command_corruption::tamper_by_name);
            let hooks = TestHooks { crash_point, skip_guard: unguarded, command_tamper };
            runloom_daemon::run::planner(&settings, Some(seed), hooks)
                .map(|()| true)
                .map_err(|e| e.to_string())
        }
    }
}

fn run_soak(arguments: SoakArguments) -> Result<bool, String> {
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let (first_seed, last_seed) = arguments.seeds;
    soak::soak(&SoakOptions {
        program: arguments.program.unwrap_or_else(|| own_program.with_file_name("runloom")),
        first_seed,
        last_seed,
        jobs: arguments.jobs,
        folder: arguments.keep.unwrap_or_else(|| std::env::temp_dir().join("runloom-soak")),
    })
}

fn run_scenario_command(arguments: ScenarioArguments) -> Result<bool, String> {
    let scenario = read_scenario(&arguments.file, arguments.fleet)?;
    run_scenario(ScenarioRun {
        name: &arguments.file,
        scenario: Scenario {
            delivery: arguments.delivery,
            identity_lifetime: arguments.identity_seconds.map(Duration::from_secs),
            ..scenario
        },
        seed: arguments.seed,
        report: arguments.report,
        keep: arguments.keep,
        planner_arguments: planner_arguments(arguments.corruption, arguments.unguarded),
    })
}

fn planner_arguments(corruption: Option<String>, unguarded: bool) -> Vec<String> {
    let corruption = corruption.map(|corruption| format!("--spoil={corruption}"));
    let unguarded = unguarded.then(|| "--unguarded".to_string());
    corruption.into_iter().chain(unguarded).collect()
}

/// Reads a scenario, with the planners' `<fleet>` from a file if one is given.
fn read_scenario(name: &str, fleet_file: Option<PathBuf>) -> Result<Scenario, String> {
    let read = |file: PathBuf| std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()));
    let fleet_xml = fleet_file.map(read).transpose()?;
    Ok(Scenario { fleet_xml, ..scenario::read(name)? })
}

/// A scenario to run, and how to run and report it.
struct ScenarioRun<'a> {
    name: &'a str,
    scenario: Scenario,
    seed: u64,
    report: ReportFormat,
    /// Where settings, logs and state are kept; `None`: in a temporary folder that is removed.
    keep: Option<PathBuf>,
    planner_arguments: Vec<String>,
}

/// Runs a scenario and prints its outcome. Returns whether no rule was violated.
fn run_scenario(run: ScenarioRun) -> Result<bool, String> {
    let arguments: Vec<&str> = run.planner_arguments.iter().map(String::as_str).collect();
    let temporary = std::env::temp_dir().join(format!("runloom-testbed-{}", std::process::id()));
    let folder = run.keep.as_ref().unwrap_or(&temporary);
    print_header(run.name, run.seed, &run.scenario);
    let edit_count = run.scenario.edits.len() * run.scenario.planner_count;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let outcome = Testbed::new(run.scenario, run.seed, folder, &program, &arguments)
        .and_then(|mut testbed| testbed.run());
    if run.keep.is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let outcome = outcome?;
    print_outcome(&outcome);
    if run.report == ReportFormat::Json {
        println!("{}", outcome_json(&outcome, edit_count));
    }
    Ok(outcome.violations.is_empty() && outcome.duplicated_effects == 0)
}

fn print_header(name: &str, seed: u64, scenario: &Scenario) {
    println!(
        "{name}, seed {seed}: {} planners, {} proxies, {} servers, {} requests/s, {} s",
        scenario.planner_count,
        scenario.proxy_count,
        scenario.server_count,
        scenario.request_rate,
        scenario.duration.as_secs_f64()
    );
}

fn outcome_json(outcome: &ScenarioOutcome, edit_count: usize) -> serde_json::Value {
    serde_json::json!({
        "queries": outcome.requests,
        "handled": outcome.succeeded,
        "doubled": outcome.duplicated_effects,
        "rules_broken": outcome.violations,
        "lines": outcome.entries,
        "edits": edit_count,
        "edits_in_force": outcome.edits.iter().filter(|edit| edit.is_in_force).count(),
        "service": outcome.service,
        "further_tries": outcome.retries,
        "messages": outcome.messages,
        "in_time": outcome.within_objective,
        "fell_over": outcome.overloaded_servers,
        "lines_waiting_most": outcome.max_queued_entries,
    })
}

fn print_replay_digest(folder: &Path, runs_back: usize) -> Result<bool, String> {
    let entries = runloom_event_log::read_run(folder, runs_back).map_err(|e| e.to_string())?;
    let replay = runloom_replay::exact::replay(&entries, runloom_daemon::planner_runtime::BUILD);
    println!("{}", replay.map_err(|e| e.to_string())?.digest);
    Ok(true)
}

fn run_benchmark(name: &str, keep: Option<PathBuf>, seed: u64) -> Result<bool, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let temporary = std::env::temp_dir().join(format!("runloom-measure-{}", std::process::id()));
    let folder = keep.as_ref().unwrap_or(&temporary);
    let result = match name {
        "pairs" => benchmarks::measure_estimate_accuracy(folder, &program, seed),
        _ => benchmarks::run(name, folder, &program),
    };
    let _ = std::fs::remove_dir_all(&temporary);
    result.map(|()| true)
}

fn print_outcome(outcome: &ScenarioOutcome) {
    println!(
        "requests {}  succeeded {}  within the latency objective {}",
        outcome.requests, outcome.succeeded, outcome.within_objective
    );
    println!(
        "service {:.3}  p50 {} ms  p99 {} ms",
        outcome.service,
        outcome.latency_p50_us / 1000,
        outcome.latency_p99_us / 1000
    );
    println!(
        "retries {}  over the admission limit {}  without a table entry {}",
        outcome.retries, outcome.counts.over_admission_rate, outcome.counts.no_endpoint
    );
    println!("rejected or failed, by cause: {:?}", outcome.failures);
    println!(
        "messages {}  table entries {}  most entries queued {}",
        outcome.messages, outcome.entries, outcome.max_queued_entries
    );
    outcome.edits.iter().for_each(print_edit);
    println!(
        "servers overloaded {}  requests that took effect twice {}",
        outcome.overloaded_servers, outcome.duplicated_effects
    );
    if outcome.violations.is_empty() {
        println!("rules kept");
    }
    outcome.violations.iter().for_each(|violation| println!("BROKEN {violation}"));
}

fn print_edit(edit: &EditOutcome) {
    let since_sent = |at: Duration| format!("{:.0} ms", at.saturating_sub(edit.sent_at).as_secs_f64() * 1e3);
    let accepted = edit.accepted_at.map_or("-".into(), since_sent);
    let in_force = edit.in_force_ms.map_or("-".into(), |ms| format!("{ms} ms"));
    let rejection = edit.rejection.as_deref().unwrap_or("");
    println!(
        "edit {}: accepted after {accepted} ({} sent), in force after {in_force} {rejection}",
        edit.id, edit.attempts
    );
}
