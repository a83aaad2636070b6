//! The runtime of a planner on the platform: sockets, signals, the bootstrap file and the clock around
//! [`runloom_platform_protocol::Platform`], on one event loop. It makes no decision about servers.

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
use runloom_platform_protocol::{Action, Platform};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::time::Duration;

/// The core's clock is at this time when the process starts, so that earlier starts of servers have a place on it.
/// It is longer than any server warms up.
const CLOCK_OFFSET: Duration = Duration::from_secs(3600);
/// File descriptors other than those of clients: standard streams, the event loop's three, signals, the listener, the
/// bootstrap file, two watches, and a reserve.
const RESERVED_DESCRIPTORS: usize = 24;
/// Connections accepted in one poll iteration: enough when all proxies connect at once, few against the descriptors.
const MAX_ACCEPTS: usize = 16;
/// How often the counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(30);

/// Whether the runtime goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Running,
    Stopped,
}

struct PlatformRuntime {
    event_loop: EventLoop,
    listener: ConnectionId,
    bootstrap_path: PathBuf,
    platform: Platform,
    watch: EndpointWatch,
    pending_reload: Option<PendingReload>,
    health_checks: BTreeMap<ConnectionId, HealthCheck>,
    queued_health_checks: VecDeque<QueuedHealthCheck>,
    counters_logged_at: Duration,
}

/// Runs a planner until a signal ends it.
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
    while runtime.poll()? == Progress::Running {}
    runtime.log_counters();
    Ok(())
}

impl PlatformRuntime {
    /// Listens and starts the core; `None` if a signal ended it before the address was free.
    fn start(
        mut event_loop: EventLoop,
        bootstrap_path: PathBuf,
        bootstrap: &BootstrapConfig,
    ) -> Result<Option<PlatformRuntime>, RuntimeError> {
        event_loop.max_accepts = MAX_ACCEPTS;
        let Some(listener) = listen(&mut event_loop, bootstrap.listen)? else { return Ok(None) };
        let reserved = RESERVED_DESCRIPTORS + health_check::MAX_CONCURRENT + MAX_ACCEPTS;
        let room = bootstrap.limits.sockets.saturating_sub(reserved);
        let epoch_ms = wall_ms().saturating_sub((event_loop.now() + CLOCK_OFFSET).as_millis() as u64);
        let platform = Platform::new(bootstrap, epoch_ms, room);
        tracing::info!(name = bootstrap.name, at = %listener.address, room, "started");
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

    /// All input that arrived before this time was handled: a peer is late only by this time.
    fn read_until(&self) -> Duration {
        self.event_loop.read_until() + CLOCK_OFFSET
    }

    /// One iteration: handles timeouts, steps the core, carries out its actions, and waits for events.
    fn poll(&mut self) -> std::io::Result<Progress> {
        self.handle_timeouts();
        for action in self.platform.step(self.now(), self.read_until()) {
            self.carry_out(action);
        }
        self.start_queued_health_checks();
        self.event_loop.pause_accepting(self.listener, self.platform.is_full());
        let until = self.next_timeout().map(|at| at.saturating_sub(CLOCK_OFFSET));
        let events = self.event_loop.wait(until)?;
        // A change of the list counts from the time it is sent: the watch goes before all else.
        let (watch_events, other_events): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|event| self.is_of_watch(event));
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
            None => self.dial_health_check(check),
        }
    }

    fn carry_out(&mut self, action: Action) {
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
