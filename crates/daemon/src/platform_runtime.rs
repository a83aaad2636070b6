//! The runtime of a planner on the platform: sockets, signals, the bootstrap file and the clock around
//! [`runloom_platform_protocol::Platform`], on one event loop. It makes no decision about servers.

use crate::{earliest, wall_ms};
use runloom_controller::HealthCheckResult;
use runloom_event_loop::{BufferLimits, ConnectionId, EventLoop, IoEvent, Security};
use runloom_platform_protocol::bootstrap::{BootstrapConfig, BootstrapError, EnvironmentDefaults};
use runloom_platform_protocol::endpoint_list;
use runloom_platform_protocol::endpoint_watch::EndpointWatch;
use runloom_platform_protocol::health_check::{self, HealthCheck, HealthCheckOutcome};
use runloom_platform_protocol::session::SessionCounts;
use runloom_platform_protocol::{Action, Platform};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
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
/// Bytes that may wait for a client that does not read: some hundred updates.
const MAX_UNSENT_BYTES: usize = 128 << 10;

/// A bootstrap file that cannot be read after SIGHUP may be half written: it is read again this often, for so long.
const RELOAD_INTERVAL: Duration = Duration::from_millis(250);
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The preceding process may still hold the address: listening is tried again this often, for so long. The platform
/// gives a planner thirty seconds to become ready.
const LISTEN_INTERVAL: Duration = Duration::from_millis(50);
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a planner could not start or had to stop.
#[derive(Debug, thiserror::Error)]
enum RuntimeError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("EDGE_CONFIG is not set")]
    NoBootstrapFile,
    #[error("{}: {source}", .path.display())]
    ReadBootstrap { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", .path.display())]
    InvalidBootstrap { path: PathBuf, source: BootstrapError },
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
}

/// Whether the runtime goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Running,
    Stopped,
}

/// A reload of the bootstrap file that is to be tried again.
struct PendingReload {
    next_attempt: Duration,
    deadline: Duration,
}

/// A health check that waits for a free connection.
struct QueuedHealthCheck {
    ticket: u64,
    address: SocketAddr,
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
        event_loop.signal(signal)?;
    }
    let path = PathBuf::from(environment("EDGE_CONFIG").ok_or(RuntimeError::NoBootstrapFile)?);
    let bootstrap = read_bootstrap(&path)?;
    let Some(mut runtime) = PlatformRuntime::start(event_loop, path, &bootstrap)? else { return Ok(()) };
    while runtime.poll()? == Progress::Running {}
    runtime.log_counters();
    Ok(())
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_bootstrap(path: &Path) -> Result<BootstrapConfig, RuntimeError> {
    let defaults = EnvironmentDefaults {
        name: environment("EDGE_NAME"),
        listen: environment("EDGE_LISTEN"),
        discovery: environment("EDGE_DISCOVERY"),
    };
    let text = std::fs::read_to_string(path)
        .map_err(|source| RuntimeError::ReadBootstrap { path: path.into(), source })?;
    BootstrapConfig::parse(&text, defaults)
        .map_err(|source| RuntimeError::InvalidBootstrap { path: path.into(), source })
}

/// A bound listener.
struct BoundListener {
    id: ConnectionId,
    address: SocketAddr,
}

/// Listens for clients, again for a while as long as the address is in use; `None` if a signal ended that.
fn listen(event_loop: &mut EventLoop, address: SocketAddr) -> Result<Option<BoundListener>, RuntimeError> {
    let limits = BufferLimits {
        max_unsent_bytes: MAX_UNSENT_BYTES,
        max_connections: usize::MAX,
        ..BufferLimits::default()
    };
    let mut has_warned = false;
    loop {
        match event_loop.listen(address, Security::Plain, limits) {
            Ok((id, address)) => return Ok(Some(BoundListener { id, address })),
            Err(error) if error.kind() == ErrorKind::AddrInUse && event_loop.now() < LISTEN_TIMEOUT => {
                if !has_warned {
                    tracing::warn!("{address}: in use, tried again");
                    has_warned = true;
                }
            }
            Err(source) => return Err(RuntimeError::Listen { address, source }),
        }
        let next_attempt = event_loop.now() + LISTEN_INTERVAL;
        if event_loop.wait(Some(next_attempt))?.iter().any(is_stop_signal) {
            return Ok(None);
        }
    }
}

fn is_stop_signal(event: &IoEvent) -> bool {
    matches!(event, IoEvent::Signal(SIGTERM | SIGINT))
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

    fn is_of_watch(&self, event: &IoEvent) -> bool {
        match event {
            IoEvent::Open { conn, .. } | IoEvent::Bytes { conn, .. } | IoEvent::Closed { conn, .. } => {
                self.watch.owns(*conn)
            }
            IoEvent::Signal(_) => false,
        }
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
            Action::Close { conn } => self.event_loop.cut(conn),
            Action::CheckHealth { ticket, address } => {
                self.queued_health_checks.push_back(QueuedHealthCheck { ticket, address });
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    fn start_queued_health_checks(&mut self) {
        while self.health_checks.len() < health_check::MAX_CONCURRENT {
            let Some(queued) = self.queued_health_checks.pop_front() else { return };
            self.dial_health_check(HealthCheck::new(queued.ticket, queued.address, self.now()));
        }
    }

    fn dial_health_check(&mut self, check: HealthCheck) {
        let limits = BufferLimits { handshake_timeout: health_check::TIMEOUT * 2, ..BufferLimits::default() };
        match self.event_loop.dial(check.address, &Security::Plain, limits) {
            Ok(conn) => {
                // What is written before the connection is established is sent with it.
                let request = health_check::request(check.address, self.platform.wants_load());
                self.event_loop.write(conn, &request);
                self.health_checks.insert(conn, check);
            }
            // No file descriptor or no route from here: that says nothing about the server.
            Err(_) => self.report_health_check(&check, HealthCheckResult::Inconclusive.into()),
        }
    }

    fn end_overdue_health_checks(&mut self) {
        let read_until = self.read_until();
        let overdue = self.health_checks.iter().filter(|(_, check)| read_until >= check.deadline());
        let overdue: Vec<(ConnectionId, HealthCheckOutcome)> =
            overdue.map(|(conn, check)| (*conn, check.timeout_outcome())).collect();
        for (conn, outcome) in overdue {
            self.finish_health_check(conn, outcome);
        }
    }

    fn finish_health_check(&mut self, conn: ConnectionId, outcome: HealthCheckOutcome) {
        if let Some(check) = self.health_checks.remove(&conn) {
            self.event_loop.cut(conn);
            self.report_health_check(&check, outcome);
        }
    }

    fn report_health_check(&mut self, check: &HealthCheck, outcome: HealthCheckOutcome) {
        let elapsed = self.now().saturating_sub(check.started_at);
        if outcome.result != HealthCheckResult::Success {
            tracing::info!(to = %check.address, found = ?outcome.result, after = ?elapsed, "probed");
        }
        self.platform.handle_health_check(check.ticket, outcome, elapsed);
    }

    /// Closes watches that have expired, and dials where there is none.
    fn maintain_watch(&mut self) {
        let read_until = self.read_until();
        let address = self.watch.address();
        if self.platform.reset_outdated_revision(read_until) {
            tracing::info!(at = %address, "the list is counted anew");
            self.restart_watch();
        }
        for conn in self.watch.take_expired(read_until) {
            tracing::info!(at = %address, "the watch is silent");
            self.event_loop.cut(conn);
        }
        let now = self.now();
        if self.watch.should_dial(now) {
            let conn = self.event_loop.dial(address, &Security::Plain, BufferLimits::default()).ok();
            if let Some(conn) = conn {
                let revision = self.platform.list_revision();
                let request = endpoint_list::watch_request(&address.to_string(), revision);
                self.event_loop.write(conn, &request);
            }
            self.watch.handle_dialed(conn, now);
        }
    }

    fn restart_watch(&mut self) {
        if let Some(conn) = self.watch.restart(self.now()) {
            self.event_loop.cut(conn);
        }
    }

    fn handle_watch_event(&mut self, event: IoEvent) {
        match event {
            IoEvent::Bytes { conn, bytes } => self.handle_watch_bytes(conn, &bytes),
            IoEvent::Closed { conn, reason: why } => {
                tracing::info!(at = %self.watch.address(), ?why, "the watch has ended");
                self.watch.handle_closed(conn, self.now());
            }
            IoEvent::Open { .. } | IoEvent::Signal(_) => {}
        }
    }

    fn handle_watch_bytes(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let now = self.now();
        let at = self.watch.address();
        let output = self.watch.handle_bytes(conn, bytes, now);
        let mut lines = output.lines.iter();
        let has_unreadable_line = lines.any(|line| self.platform.handle_list_line(line, now).is_err());
        if output.is_first {
            tracing::info!(%at, "watching");
        }
        if output.is_unreadable || has_unreadable_line {
            tracing::info!(%at, "the watch can't be read");
        }
        if output.should_close {
            self.event_loop.cut(conn);
        }
        if has_unreadable_line {
            self.restart_watch();
        }
    }

    /// Reads the bootstrap file again after one that could not be read.
    fn retry_reload(&mut self) {
        let now = self.now();
        let Some(reload) = self.pending_reload.take_if(|reload| now >= reload.next_attempt) else { return };
        match read_bootstrap(&self.bootstrap_path) {
            Ok(bootstrap) => self.apply(&bootstrap),
            Err(_) if now < reload.deadline => {
                self.pending_reload = Some(PendingReload { next_attempt: now + RELOAD_INTERVAL, ..reload });
            }
            Err(why) => tracing::warn!("not looked at any more: {why}"),
        }
    }

    /// Reads the bootstrap file again on SIGHUP. One that cannot be read is logged and changes nothing.
    fn reload(&mut self) {
        let now = self.now();
        self.pending_reload = None;
        match read_bootstrap(&self.bootstrap_path) {
            Ok(bootstrap) => self.apply(&bootstrap),
            Err(why) => {
                tracing::warn!("kept as it is: {why}");
                self.pending_reload = Some(PendingReload {
                    next_attempt: now + RELOAD_INTERVAL,
                    deadline: now + RELOAD_TIMEOUT,
                });
            }
        }
    }

    /// Applies what of a changed file takes effect while the planner runs: the address of discovery.
    fn apply(&mut self, bootstrap: &BootstrapConfig) {
        if bootstrap.discovery == self.watch.address() {
            tracing::info!("read again, nothing new");
            return;
        }
        tracing::info!(at = %bootstrap.discovery, "discovery has moved");
        if let Some(conn) = self.watch.change_address(bootstrap.discovery, self.now()) {
            self.event_loop.cut(conn);
        }
    }
}
