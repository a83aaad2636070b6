//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::planner_runtime::{TestHooks, BUILD};
use runloom_daemon::settings::read;
use runloom_daemon::state;
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_daemon::{run, wall_ms};
use runloom_event_log::Entry;
use runloom_guard::{replay_case, RejectionCase};
use runloom_identity::access::{Permission, Principal, Rule};
use runloom_identity::id::Id;
use runloom_model::fleet::TlsFiles;
use runloom_model::{FLEET, STATE};
use runloom_netconf::tree::Element;
use runloom_netconf::{BASE, NOTIFY};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "runloom", version, about = "A control plane for a service's proxies")]
struct Line {
    /// How the log is written.
    #[arg(long, global = true, value_enum, default_value_t = Log::Text)]
    log: Log,
    /// What is logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Json,
    Text,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a planner.
    Planner {
        #[arg(long)]
        settings: PathBuf,
        /// For the decisions' draws; without it, by the time of the start.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a planner on the platform: what it needs is told by `EDGE_CONFIG`, `EDGE_NAME`, `EDGE_LISTEN` and
    /// `EDGE_DISCOVERY`.
    Platform,
    /// Runs a forwarder.
    Forwarder {
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Says of each file whether it is valid: one line a fault, code 1 if there is any.
    Check { files: Vec<PathBuf> },
    /// Edits a planner's fleet: `--file` holds what `<config>` holds, or one of the short forms.
    Edit {
        #[command(flatten)]
        to: To,
        /// The edit's id: the same id again is answered as before, and takes effect once.
        #[arg(long)]
        id: Option<String>,
        /// A `<fleet>` with what to change; `nc:operation` attributes are taken.
        #[arg(long)]
        file: Option<PathBuf>,
        /// A server to drain.
        #[arg(long)]
        drain: Option<String>,
        /// A server whose drain ends.
        #[arg(long)]
        undrain: Option<String>,
        /// A zone and its share, as `zone=0.5`.
        #[arg(long)]
        share: Option<String>,
        /// Waits until it is in force.
        #[arg(long)]
        wait: bool,
    },
    /// What the guard refused.
    Guard {
        #[command(subcommand)]
        command: GuardCommand,
    },
    /// What a planner recorded.
    Record {
        #[command(subcommand)]
        command: RecordCommand,
    },
    /// What outlasts a planner, in its folder.
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// A recorded day again: the same orders, or those under another setting.
    Replay {
        /// The record's folder.
        #[arg(long)]
        folder: PathBuf,
        /// The planner's last start but so many.
        #[arg(long, default_value_t = 0)]
        back: usize,
        /// Another `<fleet>`, in place of the recorded one.
        #[arg(long)]
        fleet: Option<PathBuf>,
        #[arg(long)]
        seed: Option<u64>,
        /// Without the guard.
        #[arg(long)]
        unguarded: bool,
        #[arg(long)]
        json: bool,
        /// Writes the comparison as a page with plots.
        #[arg(long)]
        page: Option<PathBuf>,
        /// Looks at the day up to this second.
        #[arg(long)]
        until: Option<f64>,
        /// Writes the whole record as a day that runloom-testbed plays: sizes, traffic, edits, and the troubles it shows.
        #[arg(long)]
        day: Option<PathBuf>,
    },
    /// Shows a planner's `state`, `fleet` or `roster`, or one edit.
    Show {
        #[command(flatten)]
        to: To,
        #[arg(default_value = "state")]
        what: String,
        /// One edit by its id.
        #[arg(long)]
        edit: Option<String>,
    },
}

#[derive(Subcommand)]
enum StateCommand {
    /// The files: version, generation, entries, and bytes that cannot be read.
    Ls { folder: PathBuf },
    /// The fleet and the edits as they are kept, and what is learned, with how much of it counts now.
    Show { folder: PathBuf },
    /// Code 1 if something cannot be read back.
    Verify { folder: PathBuf },
    /// Removes all but the newest generations. Not while a planner has the folder.
    Prune { folder: PathBuf },
}

#[derive(Subcommand)]
enum RecordCommand {
    /// The segments.
    Ls { folder: PathBuf },
    /// The entries, a line each.
    Show {
        folder: PathBuf,
        /// Only of this kind: start, listed, refit, joined, left, applied, report, probed, edit, turn, lost.
        #[arg(long)]
        kind: Option<String>,
        /// Only about this proxy, server or edit.
        #[arg(long)]
        name: Option<String>,
    },
    /// All entries as JSON, a line each.
    Export { folder: PathBuf },
    /// Reads all of it: code 1 if anything cannot be read.
    Verify { folder: PathBuf },
}

#[derive(Subcommand)]
enum GuardCommand {
    /// Judges a refusal of a log anew, step by step.
    Explain {
        /// A planner's log, text or JSON; `-` for standard input.
        #[arg(long)]
        log: PathBuf,
        /// Which of its refusals, from 1; without it, the last.
        #[arg(long)]
        number: Option<usize>,
    },
}

#[derive(Args)]
struct To {
    /// The planner's address for edits.
    #[arg(long)]
    planner: SocketAddr,
    #[arg(long)]
    certificate: PathBuf,
    #[arg(long)]
    key: PathBuf,
    #[arg(long)]
    trust: PathBuf,
    /// The planner's SPIFFE identity; without it certificates name their holders by DNS names.
    #[arg(long)]
    planner_id: Option<String>,
    /// Seconds to wait for an answer.
    #[arg(long, default_value_t = 10)]
    patience: u64,
}

impl To {
    fn open(&self) -> Result<Client, String> {
        let (certificate, key, trust) = (self.certificate.clone(), self.key.clone(), self.trust.clone());
        let rule =
            |id: &String| Id::read(id).map(|id| Rule { whom: Principal::One(id), may: Permission::Order });
        let rules = self.planner_id.iter().map(rule).collect::<Result<_, _>>().map_err(|e| e.to_string())?;
        let papers = TlsFiles { certificate, key, trust, rules, federated: vec![] };
        let terms = TlsPolicy::load(&papers).map_err(|e| e.to_string())?;
        let patience = Duration::from_secs(self.patience);
        Client::open(self.planner, &terms, patience).map_err(|e| e.to_string())
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let filter = tracing_subscriber::EnvFilter::new(&line.log_level);
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match line.log {
        Log::Json => log.json().init(),
        Log::Text => log.with_ansi(false).init(),
    }
    let outcome = match line.command {
        Command::Planner { settings, seed } => run::planner(&settings, seed, TestHooks::default()),
        Command::Platform => runloom_daemon::platform_runtime::run(),
        Command::Forwarder { settings, seed } => run::forwarder(&settings, seed),
        Command::Check { files } => return check(&files),
        Command::Edit { to, id, file, drain, undrain, share, wait } => {
            change(file.as_deref(), drain.as_deref(), undrain.as_deref(), share.as_deref())
                .and_then(|config| edit(&to, id.as_deref(), config, wait))
        }
        Command::Guard { command: GuardCommand::Explain { log, number } } => explain(&log, number),
        Command::Record { command } => record(&command),
        Command::State { command: StateCommand::Ls { folder } } => state::ls(&folder),
        Command::State { command: StateCommand::Show { folder } } => state::show(&folder),
        Command::State { command: StateCommand::Verify { folder } } => match state::verify(&folder) {
            Ok(false) => return ExitCode::FAILURE,
            read => read.map(|_| ()),
        },
        Command::State { command: StateCommand::Prune { folder } } => state::prune(&folder),
        Command::Replay { folder, day: Some(file), .. } => inferred(&folder, &file),
        Command::Replay { folder, back, fleet, seed, unguarded, json, page, until, .. } => {
            let until = until.map(|s| Duration::from_secs_f64(s.max(0.0)));
            replayed(&folder, back, Other { fleet, seed, unguarded, page, until }, json)
        }
        Command::Show { to, what, edit } => show(&to, &what, edit.as_deref()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("runloom: {why}");
            ExitCode::FAILURE
        }
    }
}

fn record(command: &RecordCommand) -> Result<(), String> {
    match told_record(command, &mut std::io::stdout().lock()) {
        // Who read it has seen enough.
        Err(Told::Out(e)) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        Err(Told::Out(e)) => Err(e.to_string()),
        Err(Told::Record(why)) => Err(why),
        Ok(()) => Ok(()),
    }
}

enum Told {
    Out(std::io::Error),
    Record(String),
}

impl From<std::io::Error> for Told {
    fn from(e: std::io::Error) -> Told {
        Told::Out(e)
    }
}

fn told_record(command: &RecordCommand, out: &mut impl Write) -> Result<(), Told> {
    let (RecordCommand::Ls { folder }
    | RecordCommand::Show { folder, .. }
    | RecordCommand::Export { folder }
    | RecordCommand::Verify { folder }) = command;
    let told = |e: std::io::Error| Told::Record(format!("{}: {e}", folder.display()));
    let mut bad = 0;
    for segment in runloom_event_log::folder::segments(folder).map_err(told)? {
        let (entries, torn) = match runloom_event_log::folder::read(&segment) {
            Ok(read) => read,
            Err(e) => {
                bad += 1;
                writeln!(out, "{e}")?;
                continue;
            }
        };
        let span = entries.first().zip(entries.last()).map_or((0, 0), |(a, b)| (a.at, b.at));
        let seconds = |at: u64| at as f64 / 1e6;
        match command {
            RecordCommand::Ls { .. } | RecordCommand::Verify { .. } => {
                let kind = if segment.columnar { "parquet" } else { "journal" };
                let (from, to) = (seconds(span.0), seconds(span.1));
                let tail =
                    if torn > 0 { format!(", a torn tail of {torn} bytes left out") } else { String::new() };
                writeln!(
                    out,
                    "{:08} {kind} {} bytes, {} entries, {from:.1} to {to:.1} s{tail}",
                    segment.number,
                    segment.bytes,
                    entries.len()
                )?;
            }
            RecordCommand::Show { kind, name, .. } => {
                let fits = |e: &&Entry| {
                    kind.as_ref().is_none_or(|k| e.what.kind() == k)
                        && name.as_ref().is_none_or(|n| e.what.name() == n)
                };
                for e in entries.iter().filter(fits) {
                    let (queries, failed, lines) = runloom_event_log::columns::sums(&e.what);
                    let sums = format!("queries {queries} failed {failed} lines {lines}");
                    writeln!(out, "{:>12.6} {:8} {:16} {sums}", seconds(e.at), e.what.kind(), e.what.name())?;
                }
            }
            RecordCommand::Export { .. } => {
                for e in &entries {
                    writeln!(out, "{}", serde_json::to_string(e).map_err(|e| Told::Record(e.to_string()))?)?;
                }
            }
        }
    }
    if bad == 0 {
        Ok(())
    } else {
        Err(Told::Record(format!("{bad} segments cannot be read")))
    }
}

/// What is other than recorded, and where the page goes.
struct Other {
    fleet: Option<PathBuf>,
    seed: Option<u64>,
    unguarded: bool,
    page: Option<PathBuf>,
    until: Option<Duration>,
}

/// The record as a day of the rig.
fn inferred(folder: &Path, file: &Path) -> Result<(), String> {
    let days = runloom_event_log::folder::days(folder).map_err(|e| e.to_string())?;
    let found = runloom_replay::scenario_inference::infer(&days).map_err(|e| e.to_string())?;
    std::fs::write(file, found.to_xml()).map_err(|e| format!("{}: {e}", file.display()))?;
    println!("{}: {} troubles, {} edits", file.display(), found.faults.len(), found.edits.len());
    found.omissions.iter().for_each(|what| println!("left out: {what}"));
    Ok(())
}

/// Replays a day with its own setting, a segment in memory at a time.
fn same_again(folder: &Path, back: usize) -> Result<runloom_replay::exact::ReplaySummary, String> {
    use runloom_replay::exact::Replay;
    let (mut replay, mut broken) = (None, None);
    let mut take = |entry: Entry| {
        let went = match &mut replay {
            None => Replay::new(&entry, BUILD).map(|fresh| replay = Some(fresh)).map(|()| true),
            Some(replay) => replay.replay_entry(&entry),
        };
        went.unwrap_or_else(|e| {
            broken = Some(e.to_string());
            false
        })
    };
    runloom_event_log::folder::each(folder, back, &mut take).map_err(|e| e.to_string())?;
    match (broken, replay) {
        (Some(why), _) => Err(why),
        (None, Some(replay)) => Ok(replay.finish()),
        (None, None) => Err("there is no such start in the record".into()),
    }
}

fn replayed(folder: &Path, back: usize, other: Other, json: bool) -> Result<(), String> {
    let Other { fleet, seed, unguarded, page, until } = other;
    let print = |value: serde_json::Value| println!("{value}");
    if fleet.is_none() && seed.is_none() && !unguarded && page.is_none() && until.is_none() {
        let same = same_again(folder, back)?;
        match (&same.first_difference, json) {
            (_, true) => print(serde_json::to_value(&same).map_err(|e| e.to_string())?),
            (None, _) => {
                println!("the same: {} turns, {} messages, byte for byte", same.steps, same.messages);
                println!("sha-256 {}", same.digest);
            }
            (Some(d), _) => {
                println!("other from {:.3} s on, after {} turns: {} ({})", d.at_seconds, d.equal_steps, d.description, d.cause)
            }
        }
        return same.first_difference.map_or(Ok(()), |d| Err(format!("it differs: {}", d.description)));
    }
    let entries = runloom_event_log::folder::day(folder, back).map_err(|e| e.to_string())?;
    let read = |f: &PathBuf| std::fs::read_to_string(f).map_err(|e| format!("{}: {e}", f.display()));
    let text = fleet.as_ref().map(read).transpose()?;
    let fleet = text.map(|t| runloom_replay::parse_fleet(&t)).transpose().map_err(|e| e.to_string())?;
    let setting = runloom_replay::what_if::WhatIfSettings { fleet, seed, is_unguarded: unguarded, until };
    let compared = runloom_replay::what_if::compare(&entries, &setting).map_err(|e| e.to_string())?;
    if let Some(file) = page {
        let page = runloom_replay::html_report::render(&format!("{}, start {back}", folder.display()), &compared)?;
        std::fs::write(&file, page).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    if json {
        print(serde_json::to_value(&compared).map_err(|e| e.to_string())?);
        return Ok(());
    }
    for (name, came) in [("as it was", &compared.recorded), ("as it would be", &compared.changed)] {
        println!(
            "{name}: {} messages, {} lines, {} waiting at the most, {} refused",
            came.messages, came.entries, came.max_queued_entries, came.rejected
        );
        let broken = &came.violations;
        println!("  {}", if broken.is_empty() { "rules kept".into() } else { broken.join("; ") });
    }
    let s = &compared.service;
    println!("service, queries answered within their soft limit, by payoff: was {:.4}", s.recorded);
    match s.changed {
        Some(estimate) => {
            let (value, low, high) = estimate.into();
            println!("  would be {value:.4}, 95% of such days from {low:.4} to {high:.4}")
        }
        None => println!("  would be unknown: the record does not say"),
    }
    for c in &s.classes {
        let would = c.changed.map_or("unknown".into(), |w| format!("{w:.4}"));
        println!("  {}: was {:.4}, would be {would}, of {} queries", c.class, c.recorded, c.requests);
    }
    println!(
        "  support {:.3}; the estimate carries {:.0} of {:.0} s",
        s.support, s.valid_seconds, compared.seconds
    );
    Ok(())
}

/// Cases stand in the log as JSON, in a JSON log once more escaped.
fn cases(log: &str) -> Vec<RejectionCase> {
    let case = |line: &str| {
        let plain = line.replace("\\\"", "\"");
        let from = plain.find("{\"reason\"")?;
        serde_json::Deserializer::from_str(&plain[from..]).into_iter::<RejectionCase>().next()?.ok()
    };
    log.lines().filter_map(case).collect()
}

fn explain(log: &Path, number: Option<usize>) -> Result<(), String> {
    let text = if log == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(log)
    };
    let cases = cases(&text.map_err(|e| format!("{}: {e}", log.display()))?);
    let place = number.unwrap_or(cases.len()).checked_sub(1);
    let case =
        place.and_then(|p| cases.get(p)).ok_or_else(|| format!("{} refusals are in it", cases.len()))?;
    println!("refused: {} ({})", case.command, case.reason);
    println!(
        "table {}, {:.1} queries/s on it; a unit of weight is known to take {:.2}",
        case.table, case.request_rate, case.capacity_per_weight
    );
    for line in &case.entries {
        let state = if line.is_open { "open" } else { "not open" };
        let age = line.age_seconds.map_or("warm".into(), |a| format!("{a:.1} s old"));
        println!(
            "  server {}: weight {}, {state}, listed at {}, {age}",
            line.server, line.weight, line.configured_weight
        );
    }
    let name = |s: usize| format!("server {s}");
    match replay_case(case) {
        Some(r) => {
            println!(
                "judged anew: {}\nsafe: {}",
                r.describe(&name, &|p| format!("proxy {p}")),
                r.suggest_safe_change(&name)
            )
        }
        None => println!(
            "judged anew on this table alone it would pass: other tables or orders of the batch weighed in"
        ),
    }
    Ok(())
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut bad = false;
    for file in files {
        match read(file) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(faults) => {
                bad = true;
                faults.iter().for_each(|f| println!("{f}"));
            }
        }
    }
    ExitCode::from(u8::from(bad))
}

/// What `<config>` is to hold.
fn change(
    file: Option<&Path>,
    drain: Option<&str>,
    undrain: Option<&str>,
    share: Option<&str>,
) -> Result<Element, String> {
    let fleet = Element::new(FLEET, "fleet");
    let server =
        |name: &str, drain| Element::new(FLEET, "server").with_leaf("name", name).with_leaf("drain", drain);
    match (file, drain, undrain, share) {
        (Some(file), None, None, None) => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            Element::parse(&text)
                .map_err(|e| format!("{}:{}:{}: {}", file.display(), e.line, e.column, e.reason))
        }
        (None, Some(name), None, None) => Ok(fleet.with(server(name, true))),
        (None, None, Some(name), None) => Ok(fleet.with(server(name, false))),
        (None, None, None, Some(share)) => {
            let (zone, share) = share.split_once('=').ok_or("a share is told as zone=0.5")?;
            Ok(fleet.with(Element::new(FLEET, "zone").with_leaf("name", zone).with_leaf("share", share)))
        }
        _ => Err("one of --file, --drain, --undrain and --share is wanted".into()),
    }
}

fn edit(to: &To, id: Option<&str>, config: Element, wait: bool) -> Result<(), String> {
    let told = |e: runloom_daemon::client::Failed| e.to_string();
    let mut client = to.open()?;
    if wait {
        client.ask(Element::new(NOTIFY, "create-subscription"), None).map_err(told)?;
    }
    // To wait for it, it must have a name.
    let made = format!("{}-{}", std::process::id(), wall_ms());
    let id = id.or(wait.then_some(made.as_str()));
    client.ask(edit_config("running", config), id).map_err(|e| match (&e, id) {
        (runloom_daemon::client::Failed::Refused(_), _) | (_, None) => e.to_string(),
        (_, Some(id)) => format!("{e}; whether it took is not known: send it again with --id {id}"),
    })?;
    println!("accepted{}", id.map(|id| format!(" {id}")).unwrap_or_default());
    if wait {
        let event = client
            .notice(|e| e.name == "edit-in-force" && e.text_of("id") == id)
            .or_else(|e| settled_before(&mut client, id).ok_or(e))
            .map_err(told)?;
        let part = |name| event.text_of(name).unwrap_or("?").to_string();
        println!("in force at {} of {} proxies", part("at"), part("of"));
    }
    client.close().map_err(told)
}

/// An edit that was in force before: no event comes of it any more.
fn settled_before(client: &mut Client, id: Option<&str>) -> Option<Element> {
    let state = client.get(Element::new(STATE, "state")).ok()?;
    let state = state.child("data")?.child("state")?;
    let found = state.named("edit").find(|e| e.text_of("id") == id && e.text_of("state") == Some("in-force"));
    found.map(|e| (**e).clone())
}

fn show(to: &To, what: &str, edit: Option<&str>) -> Result<(), String> {
    let wish = match what {
        "state" => Element::new(STATE, "state"),
        "fleet" | "roster" => Element::new(FLEET, what),
        other => return Err(format!("there is no {other} to show")),
    };
    let mut client = to.open()?;
    let reply = client.get(wish).map_err(|e| e.to_string())?;
    let data = reply.child("data").cloned().unwrap_or_else(|| Element::new(BASE, "data"));
    for top in &data.children {
        match edit {
            None => print!("{}", top.to_pretty()),
            Some(id) => {
                let found = top.named("edit").find(|e| e.text_of("id") == Some(id));
                print!("{}", found.ok_or_else(|| format!("no edit {id} is known"))?.to_pretty());
            }
        }
    }
    client.close().map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use runloom_controller::{Command, ListedState};
    use runloom_guard::{GuardConfig as GuardTerms, SafetyGuard};

    /// A refusal stands in a text log as it is, in a JSON log once more escaped; both are found and judged anew.
    #[test]
    fn refusals_are_found_in_logs_of_both_kinds_and_judged_anew() {
        let mut guard = SafetyGuard::new(GuardTerms {
            class_count: 1,
            planner_count: 1.0,
            initial_capacity: 0.2,
            warm_up: Duration::from_secs(9),
            overload_multiple: 4.0,
            only_draining_binds: false,
        });
        guard.update_endpoint(0, ListedState::Ready, 1.0, None);
        guard.connect_proxy(0, 5.0);
        let line = |weight| Command::SetEntry { table: 1, server: 0, weight };
        guard.validate(
            Duration::ZERO,
            vec![line(1.0), Command::AssignTable { proxy: 0, table: 1, class_mask: 0 }],
        );
        guard.validate(Duration::ZERO, vec![line(0.0)]);
        let case = serde_json::to_string(guard.rejections().last().unwrap().case.as_ref().unwrap()).unwrap();
        let text =
            format!("2026-12-01T00:00:00Z  WARN runloom: refused reason=\"empties-table\" case={case}");
        let json = format!(
            "{{\"level\":\"WARN\",\"fields\":{{\"case\":{}}}}}",
            serde_json::to_string(&case).unwrap()
        );
        let found = cases(&format!("another line\n{text}\n{json}\n"));
        assert_eq!(found.len(), 2);
        assert_eq!(found[0], found[1]);
        assert_eq!(replay_case(&found[0]).map(|r| r.reason.tag()), Some("empties-table"));
    }
}
