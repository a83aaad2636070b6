//! The rig's command line.

use clap::{Parser, Subcommand, ValueEnum};
use runloom_daemon::planner_runtime::{CrashPoint, TestHooks};
use runloom_testbed::scenario;
use runloom_testbed::world::{Outcomes, Testbed};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "runloom-testbed",
    version,
    about = "Scripted days on loopback, and a checker of the five rules"
)]
struct Line {
    #[arg(long, global = true, default_value = "warn")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Report {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// The main job in one command: a planner, forwarders, servers, clients, and a drain that an operator edits.
    Demo,
    /// Plays a scripted day: a file, or quiet, bad-day, edits-under-failure, restart-storm, deploy, surge. Code 1 if a rule broke.
    Day {
        file: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// With json, the last line is one JSON object.
        #[arg(long, value_enum, default_value_t = Report::Text)]
        report: Report,
        /// Keeps settings, logs and state here.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Breaks the decisions in this way, as `measure spoilt` does.
        #[arg(long)]
        spoil: Option<String>,
        /// Without the guard.
        #[arg(long)]
        unguarded: bool,
        /// Another `<fleet>` for the planners than the day's own, as `runloom replay --fleet` takes it.
        #[arg(long)]
        fleet: Option<PathBuf>,
        /// How forwarders are told their tables.
        #[arg(long, value_enum, default_value_t)]
        front: scenario::Fronts,
        /// Planners and forwarders have SPIFFE identities that live so many seconds, and get new ones at half of it.
        #[arg(long)]
        lives: Option<u64>,
    },
    /// Takes a measurement: edits, overhead, small, large, alone, unrecorded, recording, guard, spoilt, pairs, fronts, slow, storm, restart, keeping, identity; one figure a line, `name value unit`.
    Measure {
        name: String,
        /// Works in this folder and leaves it; pairs does not play anew what it finds there.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Of the days that pairs plays.
        #[arg(long, default_value_t = 5)]
        seed: u64,
    },
    /// The digest of a record's orders, replayed.
    #[command(hide = true)]
    Again { folder: PathBuf, back: usize },
    /// Writes a record without end, for a test that kills it.
    #[command(hide = true)]
    Writes {
        #[arg(long)]
        folder: PathBuf,
    },
    /// A planner's process, for the rig's own use.
    #[command(hide = true)]
    Planner {
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        seed: u64,
        /// Ends without a word at this point of an edit's way: before-kept, kept, replied.
        #[arg(long)]
        dies: Option<String>,
        /// Orders are spoilt in this way.
        #[arg(long)]
        spoil: Option<String>,
        #[arg(long)]
        unguarded: bool,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let level = if matches!(line.command, Command::Planner { .. }) { "info" } else { &line.log_level };
    let filter = tracing_subscriber::EnvFilter::new(level);
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    let outcome = match line.command {
        Command::Demo => read("demo", None).and_then(|day| play("demo", day, 1, Report::Text, None, &[])),
        Command::Day { file, seed, report, keep, spoil, unguarded, fleet, front, lives } => {
            let mut trial: Vec<String> = spoil.map(|way| format!("--spoil={way}")).into_iter().collect();
            trial.extend(unguarded.then(|| "--unguarded".to_string()));
            let day = read(&file, fleet).map(|day| scenario::Scenario {
                fronts: front,
                lives: lives.map(Duration::from_secs),
                ..day
            });
            day.and_then(|day| play(&file, day, seed, report, keep, &trial))
        }
        Command::Measure { name, keep, seed } => measured(&name, keep, seed),
        Command::Again { folder, back } => again(&folder, back),
        Command::Writes { folder } => runloom_testbed::measure::writes(&folder).map(|()| true),
        Command::Planner { settings, seed, dies, spoil, unguarded } => {
            let dies = dies.as_deref().and_then(CrashPoint::from_name);
            let spoil = spoil.as_deref().and_then(runloom_testbed::command_corruption::named);
            let trial = TestHooks { crash_point: dies, skip_guard: unguarded, command_tamper: spoil };
            runloom_daemon::run::planner(&settings, Some(seed), trial)
                .map(|()| true)
                .map_err(|e| e.to_string())
        }
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("runloom-testbed: {why}");
            ExitCode::FAILURE
        }
    }
}

fn read(name: &str, fleet: Option<PathBuf>) -> Result<scenario::Scenario, String> {
    let text = fleet.map(|f| std::fs::read_to_string(&f).map_err(|e| format!("{}: {e}", f.display())));
    Ok(scenario::Scenario { fleet: text.transpose()?, ..scenario::read(name)? })
}

fn play(
    name: &str,
    day: scenario::Scenario,
    seed: u64,
    report: Report,
    keep: Option<PathBuf>,
    trial: &[String],
) -> Result<bool, String> {
    let trial: Vec<&str> = trial.iter().map(String::as_str).collect();
    let kept = keep.is_some();
    let own = std::env::temp_dir().join(format!("runloom-testbed-{}", std::process::id()));
    let folder = keep.unwrap_or(own);
    println!(
        "{name}, seed {seed}: {} planners, {} forwarders, {} servers, {} queries/s, {} s",
        day.planners,
        day.forwarders,
        day.servers,
        day.rate,
        day.lasts.as_secs_f64()
    );
    let edits = day.edits.len() * day.planners;
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let outcome = Testbed::new(day, seed, &folder, &own, &trial).and_then(|mut world| world.play());
    if !kept {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let outcome = outcome?;
    told(&outcome);
    let settled = outcome.edits.iter().filter(|e| e.in_force).count();
    if report == Report::Json {
        let json = serde_json::json!({
            "queries": outcome.queries, "handled": outcome.handled, "doubled": outcome.doubled,
            "rules_broken": outcome.broken, "lines": outcome.lines, "edits": edits,
            "edits_in_force": settled, "service": outcome.service, "further_tries": outcome.further,
            "messages": outcome.messages, "in_time": outcome.in_time, "fell_over": outcome.fell,
            "lines_waiting_most": outcome.lines_waiting,
        });
        println!("{json}");
    }
    Ok(outcome.broken.is_empty() && outcome.doubled == 0)
}

fn again(folder: &std::path::Path, back: usize) -> Result<bool, String> {
    let entries = runloom_event_log::read_run(folder, back).map_err(|e| e.to_string())?;
    let same = runloom_replay::exact::replay(&entries, runloom_daemon::planner_runtime::BUILD);
    println!("{}", same.map_err(|e| e.to_string())?.digest);
    Ok(true)
}

fn measured(name: &str, keep: Option<PathBuf>, seed: u64) -> Result<bool, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let passing = std::env::temp_dir().join(format!("runloom-measure-{}", std::process::id()));
    let place = keep.as_ref().unwrap_or(&passing);
    let outcome = match name {
        "pairs" => runloom_testbed::pairs::pairs(place, &own, seed),
        _ => runloom_testbed::measure::measure(name, place, &own),
    };
    let _ = std::fs::remove_dir_all(&passing);
    outcome.map(|()| true)
}

fn told(o: &Outcomes) {
    println!("queries {}  handled {}  within the soft limit {}", o.queries, o.handled, o.in_time);
    println!("service {:.3}  p50 {} ms  p99 {} ms", o.service, o.took_p50 / 1000, o.took_p99 / 1000);
    println!(
        "further tries {}  over a level {}  without a line {}",
        o.further, o.counts.over_admission_rate, o.counts.no_endpoint
    );
    println!("refused or failed, by cause: {:?}", o.refused);
    println!("messages {}  lines {}  lines waiting at the most {}", o.messages, o.lines, o.lines_waiting);
    for e in &o.edits {
        let accepted = e
            .accepted
            .map_or("-".into(), |at| format!("{:.0} ms", (at.saturating_sub(e.sent)).as_secs_f64() * 1e3));
        let in_force = e.in_force_ms.map_or("-".into(), |ms| format!("{ms} ms"));
        let refused = e.refused.as_deref().unwrap_or("");
        println!(
            "edit {}: accepted after {accepted} ({} sent), in force after {in_force} {refused}",
            e.id, e.tries
        );
    }
    println!("servers pushed over {}  checkouts doubled {}", o.fell, o.doubled);
    match o.broken.as_slice() {
        [] => println!("rules kept"),
        broken => broken.iter().for_each(|b| println!("BROKEN {b}")),
    }
}
