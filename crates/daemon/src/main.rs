//! The command line: its arguments, and which command they run.

use clap::{Args, Parser, Subcommand, ValueEnum};
use runloom_daemon::commands::connection::ConnectionOptions;
use runloom_daemon::commands::edit::{self, FleetChange};
use runloom_daemon::commands::record::{self, RecordView};
use runloom_daemon::commands::replay::{self, ReplayOptions, ReplayOverrides};
use runloom_daemon::commands::{check, guard, show, state, CommandError};
use runloom_daemon::planner_runtime::TestHooks;
use runloom_daemon::{platform_runtime, run};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "runloom", version, about = "A control plane for a service's proxies")]
struct Arguments {
    /// Format of the log.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    /// What is logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Json,
    Text,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a planner.
    Planner {
        #[arg(long)]
        settings: PathBuf,
        /// Seed of the decisions' random choices; by default the time of the start.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a planner on the platform, configured by `EDGE_CONFIG`, `EDGE_NAME`, `EDGE_LISTEN` and `EDGE_DISCOVERY`.
    Platform,
    /// Runs a proxy.
    #[command(name = "forwarder")]
    Proxy {
        #[arg(long)]
        settings: PathBuf,
        /// Seed of the random choices; by default the time of the start.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Validates settings files: prints a line for each fault, and exits with 1 if there is any.
    Check { files: Vec<PathBuf> },
    /// Edits a planner's fleet: `--file` holds what `<config>` holds, or one of the short forms.
    Edit(EditArguments),
    /// Explains what the guard rejected.
    Guard {
        #[command(subcommand)]
        command: GuardCommand,
    },
    /// Prints a planner's event log.
    Record {
        #[command(subcommand)]
        command: RecordCommand,
    },
    /// Prints or prunes a planner's state folder.
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Replays a recorded day: the same commands, or those under other settings.
    Replay(ReplayArguments),
    /// Shows a planner's `state`, `fleet` or `roster`, or one edit.
    Show {
        #[command(flatten)]
        connection: ConnectionArguments,
        #[arg(value_name = "WHAT", default_value = "state")]
        subject: String,
        /// Id of one edit.
        #[arg(long = "edit", value_name = "EDIT")]
        edit_id: Option<String>,
    },
}

#[derive(Args)]
struct EditArguments {
    #[command(flatten)]
    connection: ConnectionArguments,
    /// Id of the edit: sent again under the same id, it takes effect once.
    #[arg(long)]
    id: Option<String>,
    /// A `<fleet>` with what to change; `nc:operation` attributes are supported.
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
    /// Waits until the edit is in force.
    #[arg(long)]
    wait: bool,
}

#[derive(Args)]
struct ReplayArguments {
    /// Folder of the event log.
    #[arg(long)]
    folder: PathBuf,
    /// Which start of the planner: 0 for the last, 1 for the one before.
    #[arg(long = "back", value_name = "BACK", default_value_t = 0)]
    starts_back: usize,
    /// File with another `<fleet>`, in place of the recorded one.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// Another seed of the random choices.
    #[arg(long)]
    seed: Option<u64>,
    /// Without the guard.
    #[arg(long)]
    unguarded: bool,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
    /// Writes the comparison as a page with plots.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Ends at this second of the record.
    #[arg(long = "until", value_name = "UNTIL")]
    until_seconds: Option<f64>,
    /// Writes the event log as a scenario of runloom-testbed: sizes, traffic, edits, and the faults that it shows.
    #[arg(long = "day", value_name = "DAY")]
    scenario: Option<PathBuf>,
}

#[derive(Subcommand)]
enum StateCommand {
    /// Lists the files: version, generation, entries, and bytes that cannot be read.
    Ls { folder: PathBuf },
    /// Shows the stored fleet and edits, and what was learned, with how much of it counts now.
    Show { folder: PathBuf },
    /// Exits with 1 if something cannot be read back.
    Verify { folder: PathBuf },
    /// Removes all but the newest generations. Not while a planner uses the folder.
    Prune { folder: PathBuf },
}

#[derive(Subcommand)]
enum RecordCommand {
    /// Lists the segments.
    Ls { folder: PathBuf },
    /// Prints the entries, a line each.
    Show {
        folder: PathBuf,
        /// Only of this kind: start, listed, refit, joined, left, applied, report, probed, edit, turn, lost.
        #[arg(long)]
        kind: Option<String>,
        /// Only about this proxy, server or edit.
        #[arg(long)]
        name: Option<String>,
    },
    /// Prints all entries as JSON, a line each.
    Export { folder: PathBuf },
    /// Reads all of it, and exits with 1 if anything cannot be read.
    Verify { folder: PathBuf },
}

#[derive(Subcommand)]
enum GuardCommand {
    /// Checks a rejection of a log again, step by step.
    Explain {
        /// A planner's log, text or JSON; `-` for standard input.
        #[arg(long)]
        log: PathBuf,
        /// Number of the rejection in the log, from 1; by default the last.
        #[arg(long)]
        number: Option<usize>,
    },
}

#[derive(Args)]
struct ConnectionArguments {
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
    #[arg(long = "patience", value_name = "PATIENCE", default_value_t = 10)]
    timeout_seconds: u64,
}

impl From<ConnectionArguments> for ConnectionOptions {
    fn from(arguments: ConnectionArguments) -> ConnectionOptions {
        ConnectionOptions {
            planner: arguments.planner,
            certificate: arguments.certificate,
            key: arguments.key,
            trust: arguments.trust,
            planner_id: arguments.planner_id,
            timeout: Duration::from_secs(arguments.timeout_seconds),
        }
    }
}

impl From<ReplayArguments> for ReplayOptions {
    fn from(arguments: ReplayArguments) -> ReplayOptions {
        let until = arguments.until_seconds;
        ReplayOptions {
            folder: arguments.folder,
            starts_back: arguments.starts_back,
            overrides: ReplayOverrides {
                fleet: arguments.fleet,
                seed: arguments.seed,
                skip_guard: arguments.unguarded,
                until: until.map(|seconds| Duration::from_secs_f64(seconds.max(0.0))),
            },
            page: arguments.page,
            json: arguments.json,
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_log(arguments.log, &arguments.log_level);
    match run_command(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("runloom: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_log(format: LogFormat, level: &str) {
    let filter = tracing_subscriber::EnvFilter::new(level);
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Json => log.json().init(),
        LogFormat::Text => log.with_ansi(false).init(),
    }
}

/// Code 0, or 1 for a check that found faults.
fn exit_code(is_valid: bool) -> ExitCode {
    if is_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_command(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Planner { settings, seed } => run::planner(&settings, seed, TestHooks::default())?,
        Command::Platform => platform_runtime::run()?,
        Command::Proxy { settings, seed } => run::proxy(&settings, seed)?,
        Command::Check { files } => return Ok(exit_code(check::check(&files))),
        Command::Edit(arguments) => run_edit(arguments)?,
        Command::Guard { command: GuardCommand::Explain { log, number } } => guard::explain(&log, number)?,
        Command::Record { command } => run_record(command)?,
        Command::State { command } => return Ok(run_state(command)?),
        Command::Replay(arguments) => run_replay(arguments)?,
        Command::Show { connection, subject, edit_id } => {
            show::show(&connection.into(), &subject, edit_id.as_deref())?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn run_edit(arguments: EditArguments) -> Result<(), CommandError> {
    let EditArguments { connection, id, file, drain, undrain, share, wait } = arguments;
    let change = FleetChange::from_options(file, drain, undrain, share)?;
    edit::edit(&connection.into(), id, &change, wait)
}

fn run_record(command: RecordCommand) -> Result<(), CommandError> {
    match command {
        RecordCommand::Ls { folder } | RecordCommand::Verify { folder } => {
            record::record(&folder, &RecordView::Segments)
        }
        RecordCommand::Show { folder, kind, name } => {
            record::record(&folder, &RecordView::Entries { kind, name })
        }
        RecordCommand::Export { folder } => record::record(&folder, &RecordView::Json),
    }
}

fn run_state(command: StateCommand) -> Result<ExitCode, CommandError> {
    match command {
        StateCommand::Ls { folder } => state::list(&folder)?,
        StateCommand::Show { folder } => state::show(&folder)?,
        StateCommand::Verify { folder } => return Ok(exit_code(state::verify(&folder)?)),
        StateCommand::Prune { folder } => state::prune(&folder)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn run_replay(mut arguments: ReplayArguments) -> Result<(), CommandError> {
    match arguments.scenario.take() {
        Some(file) => replay::infer_scenario(&arguments.folder, &file),
        None => replay::replay(&arguments.into()),
    }
}
