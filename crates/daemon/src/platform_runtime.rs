//! The runtime of a planner on the platform: connects [`runloom_platform_protocol::PlatformPlanner`], which does no I/O,
//! to sockets, signals, the bootstrap file and the clock, on one event loop. It makes no decision about servers.

mod bootstrap_file;
mod error;
mod health_checks;
mod list_watch;
mod listen;

use crate::{earliest, wall_ms};
use bootstrap_file::{environment, read_bootstrap, PendingReload};
use error::RuntimeError;
use health_checks::QueuedHealthCheck;
use listen::listen;
use runloom_event_loop::{ConnectionId, EventLoop, IoEvent};
use runloom_platform_protocol::bootstrap::BootstrapConfig;
use runloom_platform_protocol::endpoint_watch::EndpointWatch;
use runloom_platform_protocol::health_check::{self, HealthCheck};
use runloom_platform_protocol::session::SessionCounts;
use runloom_platform_protocol::{Action, PlatformPlanner};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::time::Duration;

/// Time of the platform's clock at the start of the process, so that servers that started earlier have a start time on
/// it. It is longer than the warm-up of any server.
const CLOCK_OFFSET: Duration = Duration::from_secs(3600);
/// File descriptors other than those of clients: standard streams, the event loop's three, signals, the listener, the
/// bootstrap file, two watches, and a reserve.
const RESERVED_DESCRIPTORS: usize = 24;
/// Connections accepted in one iteration: enough when all proxies connect at once, and few compared to the file
/// descriptors.
const MAX_ACCEPTS: usize = 16;
/// Time between two log lines of the counters.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(30);

/// Whether the runtime continues after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Running,
    Stopped,
}

/// A running planner: the platform's state machine with its connections and its bootstrap file.
struct PlatformRuntime {
    event_loop: EventLoop,
    listener: ConnectionId,
    bootstrap_path: PathBuf,
    platform: PlatformPlanner,
    watch: EndpointWatch,
    pending_reload: Option<PendingReload>,
    health_checks: BTreeMap<ConnectionId, HealthCheck>,
    queued_health_checks: VecDeque<QueuedHealthCheck>,
    counters_logged_at: Duration,
}

/// Runs a planner until SIGTERM or SIGINT.
pub fn run() -> Result<(), String> {
    run_planner().map_err(|error| error.to_string())
}

fn run_planner() -> Result<(), RuntimeError> {
    let mut event_loop = EventLoop::new()?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        event_loop.register_signal(signal)?;
    }
    let path = PathBuf::from(environment("EDGE_CONFIG").ok_or(RuntimeError::NoBootstrapFile)?);
    let bootstrap = read_bootstrap(&path)?;
    let Some(mut runtime) = PlatformRuntime::start(event_loop, path, &bootstrap)? else { return Ok(()) };
    while runtime.run_iteration()? == Progress::Running {}
    runtime.log_counters();
    Ok(())
}

impl PlatformRuntime {
    /// Opens the listener and creates the platform; `None` if a signal came before the address was free.
    fn start(
        mut event_loop: EventLoop,
        bootstrap_path: PathBuf,
        bootstrap: &BootstrapConfig,
    ) -> Result<Option<PlatformRuntime>, RuntimeError> {
        event_loop.max_accepts = MAX_ACCEPTS;
        let Some(listener) = listen(&mut event_loop, bootstrap.listen)? else { return Ok(None) };
        let reserved = RESERVED_DESCRIPTORS + health_check::MAX_CONCURRENT + MAX_ACCEPTS;
        let max_connections = bootstrap.limits.sockets.saturating_sub(reserved);
        let epoch_ms = wall_ms().saturating_sub((event_loop.now() + CLOCK_OFFSET).as_millis() as u64);
        let platform = PlatformPlanner::new(bootstrap, epoch_ms, max_connections);
        tracing::info!(name = bootstrap.name, at = %listener.address, room = max_connections, "started");
        Ok(Some(PlatformRuntime {
            event_loop,
            listener: listener.id,
            bootstrap_path,
            platform,
            watch: EndpointWatch::new(bootstrap.discovery),
            pending_reload: None,
            health_checks: BTreeMap::new(),
            queued_health_checks: VecDeque::new(),
            counters_logged_at: CLOCK_OFFSET,
        }))
    }

    fn now(&self) -> Duration {
        self.event_loop.now() + CLOCK_OFFSET
    }

    /// Time up to which all input that arrived was handled. Deadlines of peers are compared with this time.
    fn read_until(&self) -> Duration {
        self.event_loop.read_until() + CLOCK_OFFSET
    }

    /// Handles timeouts, steps the platform, performs its actions, and waits for events and handles them.
    fn run_iteration(&mut self) -> std::io::Result<Progress> {
        self.handle_timeouts();
        for action in self.platform.step(self.now(), self.read_until()) {
            self.perform(action);
        }
        self.start_queued_health_checks();
        self.event_loop.pause_accepting(self.listener, self.platform.is_full());
        let until = self.next_timeout().map(|at| at.saturating_sub(CLOCK_OFFSET));
        let events = self.event_loop.wait(until)?;
        // A change of the endpoint list counts from the time it is sent, so events of the watch are handled first.
        let (watch_events, other_events): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|event| self.is_watch_event(event));
        for event in watch_events {
            self.handle_watch_event(event);
        }
        for event in other_events {
            if self.handle_event(event) == Progress::Stopped {
                return Ok(Progress::Stopped);
            }
        }
        Ok(Progress::Running)
    }

    fn handle_timeouts(&mut self) {
        self.retry_reload();
        self.maintain_watch();
        self.end_overdue_health_checks();
        if self.now() >= self.counters_logged_at + COUNTERS_INTERVAL {
            self.counters_logged_at = self.now();
            self.log_counters();
        }
    }

    fn next_timeout(&self) -> Option<Duration> {
        let health_check = self.health_checks.values().map(HealthCheck::deadline).min();
        let reload = self.pending_reload.as_ref().map(|reload| reload.next_attempt);
        let watch = Some(self.watch.next_timeout());
        earliest([self.platform.next_timeout(), watch, health_check, reload])
    }

    fn log_counters(&self) {
        let SessionCounts { streams, unidentified } = self.platform.session_counts();
        let servers = self.platform.server_count();
        tracing::info!(streams, newcomers = unidentified, servers, "counted {}", self.platform.counters);
    }

    /// Handles an event of a client, a health check or a signal.
    fn handle_event(&mut self, event: IoEvent) -> Progress {
        let now = self.now();
        match event {
            IoEvent::Signal(SIGHUP) => self.reload(),
            IoEvent::Signal(_) => return Progress::Stopped,
            IoEvent::Open { conn, listener: Some(_), .. } => self.platform.handle_opened(conn, now),
            IoEvent::Open { conn, .. } => {
                if let Some(check) = self.health_checks.get_mut(&conn) {
                    check.is_connected = true;
                }
            }
            IoEvent::Bytes { conn, bytes } => self.handle_bytes(conn, &bytes),
            IoEvent::Closed { conn, .. } => self.handle_closed(conn),
        }
        Progress::Running
    }

    fn handle_bytes(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let now = self.now();
        let Some(check) = self.health_checks.get_mut(&conn) else {
            return self.platform.handle_bytes(conn, bytes, now);
        };
        if let Some(outcome) = check.handle_bytes(bytes, self.platform.load_metrics()) {
            self.finish_health_check(conn, outcome);
        }
    }

    fn handle_closed(&mut self, conn: ConnectionId) {
        let Some(mut check) = self.health_checks.remove(&conn) else {
            return self.platform.handle_closed(conn);
        };
        match check.handle_closed() {
            Some(outcome) => self.report_health_check(&check, outcome),
            // The connection failed before an outcome was known: the check is repeated on a new connection.
            None => self.dial_health_check(check),
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Write { conn, bytes } => self.event_loop.write(conn, &bytes),
            Action::Close { conn } => self.event_loop.abort(conn),
            Action::CheckHealth { ticket, address } => {
                self.queued_health_checks.push_back(QueuedHealthCheck { ticket, address });
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }
}
