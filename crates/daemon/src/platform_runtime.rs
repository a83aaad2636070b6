//! A planner on the platform: sockets, signals, files and clocks round [`runloom_platform_protocol::Platform`], on the
//! one loop. Nothing here decides on servers.

use crate::{earliest, wall_ms};
use runloom_controller::HealthCheckResult;
use runloom_event_loop::{BufferLimits, ConnectionId, EventLoop, IoEvent, Security};
use runloom_platform_protocol::bootstrap::{BootstrapConfig, Told};
use runloom_platform_protocol::endpoint_list;
use runloom_platform_protocol::endpoint_watch::EndpointWatch;
use runloom_platform_protocol::health_check::{self, HealthCheck, HealthCheckOutcome};
use runloom_platform_protocol::{Action, Platform};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The decisions' clock begins an hour before the process: servers that started before it have a place on it,
/// and an hour is longer than any of them stays cold.
const BEFORE: Duration = Duration::from_secs(3600);
/// Descriptors that are no connection of proxies, collectors or strangers: standard streams, the loop's own
/// three, signals, the listener, the file that is read again, discovery's watch and the next one; and some to
/// spare.
const OWN: usize = 24;
/// Newcomers taken in a turn: many enough for a storm of joins, few against the descriptors that there are.
const ACCEPTS: usize = 16;
/// How often it is told what was counted: seldom enough for a log that somebody reads.
const TOLD_EVERY: Duration = Duration::from_secs(30);
/// Bytes that may wait for a proxy that does not read: some hundred messages; the platform resets at as many.
const UNREAD_MOST: usize = 128 << 10;

/// A file that can't be read at SIGHUP may be half written: it is looked at again this often, for so long.
const REREAD: Duration = Duration::from_millis(250);
const REREAD_MOST: Duration = Duration::from_secs(10);
/// The planner before this one may still hold the address: it is tried again this often, for so long. Who is
/// not ready after thirty seconds has failed.
const REBIND: Duration = Duration::from_millis(50);
const REBIND_MOST: Duration = Duration::from_secs(10);

/// The file could not be read at SIGHUP.
struct Unread {
    next: Duration,
    until: Duration,
}

struct Shell {
    turn: EventLoop,
    listener: ConnectionId,
    file: PathBuf,
    platform: Platform,
    watching: EndpointWatch,
    unread: Option<Unread>,
    probes: BTreeMap<ConnectionId, HealthCheck>,
    /// Probes that wait for room.
    asked: VecDeque<(u64, SocketAddr)>,
    told: Duration,
}

fn told(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn station(file: &Path) -> Result<BootstrapConfig, String> {
    let environment =
        Told { name: told("EDGE_NAME"), listen: told("EDGE_LISTEN"), discovery: told("EDGE_DISCOVERY") };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    BootstrapConfig::read(&text, environment).map_err(|e| format!("{}: {e}", file.display()))
}

/// Runs until a signal ends it.
pub fn run() -> Result<(), String> {
    let mut turn = EventLoop::new().map_err(|e| e.to_string())?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        turn.signal(signal).map_err(|e| e.to_string())?;
    }
    let file = PathBuf::from(told("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?);
    let station = station(&file)?;
    let Some(mut shell) = Shell::start(turn, file, &station)? else { return Ok(()) };
    loop {
        if shell.step().map_err(|e| e.to_string())? {
            shell.tell_counts();
            return Ok(());
        }
    }
}

impl Shell {
    /// `None`: a signal ended it before there was an address to listen on.
    fn start(mut turn: EventLoop, file: PathBuf, station: &BootstrapConfig) -> Result<Option<Shell>, String> {
        let room = station.bounds.sockets.saturating_sub(OWN + health_check::AT_ONCE + ACCEPTS);
        turn.accepts = ACCEPTS;
        let bounds = BufferLimits { unread: UNREAD_MOST, connections: usize::MAX, ..BufferLimits::default() };
        let mut told = Duration::ZERO;
        let (listener, at) = loop {
            match turn.listen(station.listen, Security::Plain, bounds) {
                Ok(listener) => break listener,
                Err(e) if e.kind() == ErrorKind::AddrInUse && turn.now() < REBIND_MOST => {
                    if turn.now() >= told {
                        tracing::warn!("{}: in use, tried again", station.listen);
                        told = REBIND_MOST;
                    }
                    let until = turn.now() + REBIND;
                    let happened = turn.wait(Some(until)).map_err(|e| e.to_string())?;
                    if happened.iter().any(|h| matches!(h, IoEvent::Signal(SIGTERM | SIGINT))) {
                        return Ok(None);
                    }
                }
                Err(e) => return Err(format!("{}: {e}", station.listen)),
            }
        };
        let epoch = wall_ms().saturating_sub((turn.now() + BEFORE).as_millis() as u64);
        let platform = Platform::new(station, epoch, room);
        tracing::info!(name = station.name, %at, room, "started");
        let watching = EndpointWatch::new(station.discovery);
        let (probes, asked) = (BTreeMap::new(), VecDeque::new());
        Ok(Some(Shell {
            turn,
            listener,
            file,
            platform,
            watching,
            unread: None,
            probes,
            asked,
            told: BEFORE,
        }))
    }

    fn now(&self) -> Duration {
        self.turn.now() + BEFORE
    }

    /// All that had come by then has been told: whoever is late by this time is late.
    fn looked(&self) -> Duration {
        self.turn.looked() + BEFORE
    }

    fn tell_counts(&self) {
        let (streams, newcomers) = self.platform.connected();
        let servers = self.platform.servers();
        tracing::info!(streams, newcomers, servers, "counted {:?}", self.platform.counts);
    }

    /// One turn; true: a signal ends the planner.
    fn step(&mut self) -> std::io::Result<bool> {
        self.look_at_file();
        self.look_at_discovery();
        self.look_at_probes();
        if self.now() >= self.told + TOLD_EVERY {
            self.told = self.now();
            self.tell_counts();
        }
        let deeds = self.platform.turn(self.now(), self.looked());
        deeds.into_iter().for_each(|deed| self.carry_out(deed));
        self.ask();
        self.turn.hold_listener(self.listener, self.platform.is_full());
        let probes = self.probes.values().map(|p| p.since + health_check::PATIENCE).min();
        let unread = self.unread.as_ref().map(|unread| unread.next);
        let until = earliest([self.platform.wake(), Some(self.watching.wake()), probes, unread]);
        let happened = self.turn.wait(until.map(|at| at.saturating_sub(BEFORE)))?;
        // A change of the list counts as told once it is written: it is taken ahead of all else.
        let of_discovery = |h: &IoEvent| match h {
            IoEvent::Open { conn, .. } | IoEvent::Bytes { conn, .. } | IoEvent::Closed { conn, .. } => {
                self.watching.has(*conn)
            }
            IoEvent::Signal(_) => false,
        };
        let (first, rest): (Vec<_>, Vec<_>) = happened.into_iter().partition(of_discovery);
        first.into_iter().for_each(|h| self.discovery(h));
        Ok(rest.into_iter().any(|h| self.rest(h)))
    }

    /// True: a signal that ends the planner.
    fn rest(&mut self, happened: IoEvent) -> bool {
        let now = self.now();
        match happened {
            IoEvent::Signal(SIGHUP) => self.read_again(),
            IoEvent::Signal(_) => return true,
            IoEvent::Open { conn, listener: Some(_), .. } => self.platform.opened(conn, now),
            IoEvent::Open { conn, .. } => {
                if let Some(probe) = self.probes.get_mut(&conn) {
                    probe.open = true;
                }
            }
            IoEvent::Bytes { conn, bytes } => match self.probes.get_mut(&conn) {
                Some(probe) => {
                    if let Some(ending) = probe.push(&bytes, self.platform.fields()) {
                        self.probed(conn, ending);
                    }
                }
                None => self.platform.bytes(conn, &bytes, now),
            },
            IoEvent::Closed { conn, .. } => match self.probes.remove(&conn) {
                Some(mut probe) => match probe.cut() {
                    Some(ending) => self.ended(probe, ending),
                    None => self.dial(probe),
                },
                None => self.platform.closed(conn),
            },
        }
        false
    }

    fn carry_out(&mut self, deed: Action) {
        match deed {
            Action::Write { conn, bytes } => self.turn.write(conn, &bytes),
            Action::Close { conn } => self.turn.cut(conn),
            Action::Probe { ticket, to } => self.asked.push_back((ticket, to)),
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    /// Sends the probes that there is room for.
    fn ask(&mut self) {
        while self.probes.len() < health_check::AT_ONCE {
            let Some((ticket, to)) = self.asked.pop_front() else { return };
            self.dial(HealthCheck::new(ticket, to, self.now()));
        }
    }

    fn dial(&mut self, probe: HealthCheck) {
        let bounds = BufferLimits { handshake: health_check::PATIENCE * 2, ..BufferLimits::default() };
        match self.turn.dial(probe.to, &Security::Plain, bounds) {
            Ok(conn) => {
                // What is written before the connection stands goes out with it.
                self.turn.write(conn, &health_check::query(probe.to, self.platform.with_load()));
                self.probes.insert(conn, probe);
            }
            // No descriptor, or no way at all from here: that says nothing about the server.
            Err(_) => self.ended(probe, HealthCheckResult::Inconclusive.into()),
        }
    }

    fn look_at_probes(&mut self) {
        let looked = self.looked();
        let late = |p: &HealthCheck| looked >= p.since + health_check::PATIENCE;
        let late: Vec<(ConnectionId, HealthCheckOutcome)> =
            self.probes.iter().filter(|(_, p)| late(p)).map(|(conn, p)| (*conn, p.late())).collect();
        late.into_iter().for_each(|(conn, ending)| self.probed(conn, ending));
    }

    fn probed(&mut self, conn: ConnectionId, ending: HealthCheckOutcome) {
        if let Some(probe) = self.probes.remove(&conn) {
            self.turn.cut(conn);
            self.ended(probe, ending);
        }
    }

    fn ended(&mut self, probe: HealthCheck, ending: HealthCheckOutcome) {
        let after = self.now().saturating_sub(probe.since);
        if ending.found != HealthCheckResult::Success {
            tracing::info!(to = %probe.to, found = ?ending.found, ?after, "probed");
        }
        self.platform.probed(probe.ticket, ending, after);
    }

    /// Dials where there is no watch, and gives up one that is silent.
    fn look_at_discovery(&mut self) {
        let looked = self.looked();
        if self.platform.is_counted_anew(looked) {
            tracing::info!(at = %self.watching.at, "the list is counted anew");
            self.ask_again();
        }
        for conn in self.watching.late(looked) {
            tracing::info!(at = %self.watching.at, "the watch is silent");
            self.turn.cut(conn);
        }
        let now = self.now();
        if self.watching.is_to_dial(now) {
            let at = self.watching.at;
            let conn = self.turn.dial(at, &Security::Plain, BufferLimits::default()).ok();
            if let Some(conn) = conn {
                self.turn.write(conn, &endpoint_list::watch(&at.to_string(), self.platform.revision()));
            }
            self.watching.dialled(conn, now);
        }
    }

    fn ask_again(&mut self) {
        if let Some(conn) = self.watching.ask_again(self.now()) {
            self.turn.cut(conn);
        }
    }

    fn discovery(&mut self, happened: IoEvent) {
        let (now, at) = (self.now(), self.watching.at);
        match happened {
            IoEvent::Bytes { conn, bytes } => {
                let brought = self.watching.bytes(conn, &bytes, now);
                let read = brought.lines.iter().try_for_each(|line| self.platform.line(line, now));
                if brought.first {
                    tracing::info!(%at, "watching");
                }
                if brought.unreadable || read.is_err() {
                    tracing::info!(%at, "the watch can't be read");
                }
                if brought.cut {
                    self.turn.cut(conn);
                }
                if read.is_err() {
                    self.ask_again();
                }
            }
            IoEvent::Closed { conn, why } => {
                tracing::info!(%at, ?why, "the watch has ended");
                self.watching.closed(conn, now);
            }
            IoEvent::Open { .. } | IoEvent::Signal(_) => {}
        }
    }

    /// Reads the file once more where it could not be read.
    fn look_at_file(&mut self) {
        let now = self.now();
        if let Some(unread) = self.unread.take_if(|unread| now >= unread.next) {
            match station(&self.file) {
                Ok(station) => self.take(&station),
                Err(_) if now < unread.until => self.unread = Some(Unread { next: now + REREAD, ..unread }),
                Err(why) => tracing::warn!("not looked at any more: {why}"),
            }
        }
    }

    /// Reads the file again. What can't be read is told, and all goes on as it is.
    fn read_again(&mut self) {
        let now = self.now();
        self.unread = None;
        match station(&self.file) {
            Ok(station) => self.take(&station),
            Err(why) => {
                tracing::warn!("kept as it is: {why}");
                self.unread = Some(Unread { next: now + REREAD, until: now + REREAD_MOST });
            }
        }
    }

    /// Takes what of a new file counts while the planner runs: where discovery is.
    fn take(&mut self, station: &BootstrapConfig) {
        if station.discovery == self.watching.at {
            tracing::info!("read again, nothing new");
            return;
        }
        tracing::info!(at = %station.discovery, "discovery has moved");
        if let Some(conn) = self.watching.moved(station.discovery, self.now()) {
            self.turn.cut(conn);
        }
    }
}
