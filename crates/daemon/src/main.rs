//! The command line: parses the arguments and runs the command.

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
    /// Format of the log on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    /// Log level: error, warn, info, debug or trace.
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
        /// Seed of the controller's random choices; by default the start time.
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
        /// Seed of the random choices; by default the start time.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Validates settings files: prints each fault on a line, and exits with 1 if there is any.
    Check { files: Vec<PathBuf> },
    /// Edits a planner's fleet: applies a file, drains or undrains a server, or sets a zone's share.
    Edit(EditArguments),
    /// Explains rejections of the guard.
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
    /// Replays an event log: verifies its commands, or compares them with those under other settings.
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
    /// Id of the edit; an edit sent again under the same id takes effect once.
    #[arg(long)]
    id: Option<String>,
    /// File with the content of `<config>`: a `<fleet>` with the changes; `nc:operation` attributes are supported.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Server to drain.
    #[arg(long)]
    drain: Option<String>,
    /// Server whose drain to end.
    #[arg(long)]
    undrain: Option<String>,
    /// Share of a zone, as `zone=0.5`.
    #[arg(long)]
    share: Option<String>,
    /// Waits until the edit is in force at the proxies.
    #[arg(long)]
    wait: bool,
}

#[derive(Args)]
struct ReplayArguments {
    /// Folder of the event log.
    #[arg(long)]
    folder: PathBuf,
    /// Start of the planner to replay: 0 for the latest, 1 for the one before.
    #[arg(long = "back", value_name = "BACK", default_value_t = 0)]
    starts_back: usize,
    /// File with another `<fleet>`, in place of the recorded one.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// Seed of the random choices, in place of the recorded one.
    #[arg(long)]
    seed: Option<u64>,
    /// Does not check commands with the guard.
    #[arg(long)]
    unguarded: bool,
    /// Prints the result as JSON.
    #[arg(long)]
    json: bool,
    /// HTML page to write the comparison to, with plots.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Second of the event log at which the replay ends.
    #[arg(long = "until", value_name = "UNTIL")]
    until_seconds: Option<f64>,
    /// Writes a scenario file for runloom-testbed instead of replaying: the sizes, traffic, edits and faults that the
    /// event log shows.
    #[arg(long = "day", value_name = "DAY")]
    scenario: Option<PathBuf>,
}

#[derive(Subcommand)]
enum StateCommand {
    /// Lists the files with version, generation, number of intact entries, and bytes after the last of these.
    Ls { folder: PathBuf },
    /// Shows the stored fleet and edits, and the learned state of servers with the hints that it gives now.
    Show { folder: PathBuf },
    /// Reads all files, and exits with 1 if anything is corrupt.
    Verify { folder: PathBuf },
    /// Removes all but the newest generations. Fails while a planner uses the folder.
    Prune { folder: PathBuf },
}

#[derive(Subcommand)]
enum RecordCommand {
    /// Lists the segments.
    Ls { folder: PathBuf },
    /// Prints the entries, one per line.
    Show {
        folder: PathBuf,
        /// Only entries of this kind: start, listed, refit, joined, left, applied, report, probed, edit, turn, lost.
        #[arg(long)]
        kind: Option<String>,
        /// Only entries about this proxy, server or edit.
        #[arg(long)]
        name: Option<String>,
    },
    /// Prints all entries as JSON, one per line.
    Export { folder: PathBuf },
    /// Reads all segments, and exits with 1 if any is corrupt or cannot be read.
    Verify { folder: PathBuf },
}

#[derive(Subcommand)]
enum GuardCommand {
    /// Checks a logged rejection again, and prints what it was based on.
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
    /// The planner's NETCONF address for edits.
    #[arg(long)]
    planner: SocketAddr,
    #[arg(long)]
    certificate: PathBuf,
    #[arg(long)]
    key: PathBuf,
    #[arg(long)]
    trust: PathBuf,
    /// The planner's SPIFFE identity; without it, certificates identify their holders by DNS names.
    #[arg(long)]
    planner_id: Option<String>,
    /// Seconds to wait for each reply.
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

/// Exit code 0, or 1 for a check that found faults.
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
