//! A planner on the platform: sockets, signals, files and clocks round [`runloom_platform::Platform`], on the
//! one loop. Nothing here decides on servers.

use crate::{earliest, wall_ms};
use runloom::interface::Found;
use runloom_platform::discovery::{self, Watch};
use runloom_platform::probe::{self, Ending, Probe};
use runloom_platform::station::{Station, Told};
use runloom_platform::{Deed, Platform};
use runloom_turn::{Bounds, Conn, Happened, Security, Turn};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, VecDeque};
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

/// The watch of discovery, or the wait for the next.
struct Watching {
    at: SocketAddr,
    conn: Option<Conn>,
    watch: Watch,
    heard: bool,
    /// When it is given up, or dialled.
    due: Duration,
}

struct Shell {
    turn: Turn,
    listener: Conn,
    file: PathBuf,
    platform: Platform,
    watching: Watching,
    probes: BTreeMap<Conn, Probe>,
    /// Probes that wait for room.
    asked: VecDeque<(u64, SocketAddr)>,
    told: Duration,
}

fn told(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn station(file: &Path) -> Result<Station, String> {
    let environment =
        Told { name: told("EDGE_NAME"), listen: told("EDGE_LISTEN"), discovery: told("EDGE_DISCOVERY") };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Station::read(&text, environment).map_err(|e| format!("{}: {e}", file.display()))
}

/// Runs until a signal ends it.
pub fn run() -> Result<(), String> {
    let mut turn = Turn::new().map_err(|e| e.to_string())?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        turn.signal(signal).map_err(|e| e.to_string())?;
    }
    let file = PathBuf::from(told("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?);
    let station = station(&file)?;
    let mut shell = Shell::start(turn, file, &station)?;
    loop {
        if shell.step().map_err(|e| e.to_string())? {
            shell.tell_counts();
            return Ok(());
        }
    }
}

impl Shell {
    fn start(mut turn: Turn, file: PathBuf, station: &Station) -> Result<Shell, String> {
        let room = station.bounds.sockets.saturating_sub(OWN + probe::AT_ONCE + ACCEPTS);
        turn.accepts = ACCEPTS;
        let bounds = Bounds { unread: UNREAD_MOST, connections: usize::MAX, ..Bounds::default() };
        let listener = turn.listen(station.listen, Security::Plain, bounds);
        let (listener, at) = listener.map_err(|e| format!("{}: {e}", station.listen))?;
        let epoch = wall_ms().saturating_sub((turn.now() + BEFORE).as_millis() as u64);
        let platform = Platform::new(station, epoch, room);
        tracing::info!(name = station.name, %at, room, "started");
        let watch = Watch::default();
        let watching =
            Watching { at: station.discovery, conn: None, watch, heard: false, due: Duration::ZERO };
        let (probes, asked) = (BTreeMap::new(), VecDeque::new());
        Ok(Shell { turn, listener, file, platform, watching, probes, asked, told: BEFORE })
    }

    fn now(&self) -> Duration {
        self.turn.now() + BEFORE
    }

    fn tell_counts(&self) {
        let (streams, newcomers) = self.platform.connected();
        let servers = self.platform.servers();
        tracing::info!(streams, newcomers, servers, "counted {:?}", self.platform.counts);
    }

    /// One turn; true: a signal ends the planner.
    fn step(&mut self) -> std::io::Result<bool> {
        self.look_at_discovery();
        self.look_at_probes();
        if self.now() >= self.told + TOLD_EVERY {
            self.told = self.now();
            self.tell_counts();
        }
        let deeds = self.platform.turn(self.now());
        deeds.into_iter().for_each(|deed| self.carry_out(deed));
        self.ask();
        self.turn.hold_listener(self.listener, self.platform.is_full());
        let probes = self.probes.values().map(|p| p.since + probe::PATIENCE).min();
        let until = earliest([self.platform.wake(), Some(self.watching.due), probes]);
        let happened = self.turn.wait(until.map(|at| at.saturating_sub(BEFORE)))?;
        // A change of the list counts as told once it is written: it is taken ahead of all else.
        let of_discovery = |h: &Happened| match h {
            Happened::Open { conn, .. } | Happened::Bytes { conn, .. } | Happened::Closed { conn, .. } => {
                Some(*conn) == self.watching.conn
            }
            Happened::Signal(_) => false,
        };
        let (first, rest): (Vec<_>, Vec<_>) = happened.into_iter().partition(of_discovery);
        first.into_iter().for_each(|h| self.discovery(h));
        Ok(rest.into_iter().any(|h| self.rest(h)))
    }

    /// True: a signal that ends the planner.
    fn rest(&mut self, happened: Happened) -> bool {
        let now = self.now();
        match happened {
            Happened::Signal(SIGHUP) => self.read_again(),
            Happened::Signal(_) => return true,
            Happened::Open { conn, listener: Some(_), .. } => self.platform.opened(conn, now),
            Happened::Open { conn, .. } => {
                if let Some(probe) = self.probes.get_mut(&conn) {
                    probe.open = true;
                }
            }
            Happened::Bytes { conn, bytes } => match self.probes.get_mut(&conn) {
                Some(probe) => {
                    if let Some(ending) = probe.push(&bytes, self.platform.fields()) {
                        self.probed(conn, ending);
                    }
                }
                None => self.platform.bytes(conn, &bytes, now),
            },
            Happened::Closed { conn, .. } => match self.probes.remove(&conn) {
                Some(mut probe) => match probe.cut() {
                    Some(ending) => self.ended(probe, ending),
                    None => self.dial(probe),
                },
                None => self.platform.closed(conn),
            },
        }
        false
    }

    fn carry_out(&mut self, deed: Deed) {
        match deed {
            Deed::Write { conn, bytes } => self.turn.write(conn, &bytes),
            Deed::Close { conn } => self.turn.cut(conn),
            Deed::Probe { ticket, to } => self.asked.push_back((ticket, to)),
            Deed::Log { text } => tracing::info!("{text}"),
        }
    }

    /// Sends the probes that there is room for.
    fn ask(&mut self) {
        while self.probes.len() < probe::AT_ONCE {
            let Some((ticket, to)) = self.asked.pop_front() else { return };
            self.dial(Probe::new(ticket, to, self.now()));
        }
    }

    fn dial(&mut self, probe: Probe) {
        let bounds = Bounds { handshake: probe::PATIENCE * 2, ..Bounds::default() };
        match self.turn.dial(probe.to, &Security::Plain, bounds) {
            Ok(conn) => {
                // What is written before the connection stands goes out with it.
                self.turn.write(conn, &probe::query(probe.to, self.platform.with_load()));
                self.probes.insert(conn, probe);
            }
            // No descriptor, or no way at all from here: that says nothing about the server.
            Err(_) => self.ended(probe, Found::Nothing.into()),
        }
    }

    fn look_at_probes(&mut self) {
        let now = self.now();
        let late = |p: &Probe| now >= p.since + probe::PATIENCE;
        let late: Vec<(Conn, Ending)> =
            self.probes.iter().filter(|(_, p)| late(p)).map(|(conn, p)| (*conn, p.late())).collect();
        late.into_iter().for_each(|(conn, ending)| self.probed(conn, ending));
    }

    fn probed(&mut self, conn: Conn, ending: Ending) {
        if let Some(probe) = self.probes.remove(&conn) {
            self.turn.cut(conn);
            self.ended(probe, ending);
        }
    }

    fn ended(&mut self, probe: Probe, ending: Ending) {
        let after = self.now().saturating_sub(probe.since);
        if ending.found != Found::Handled {
            tracing::info!(to = %probe.to, found = ?ending.found, ?after, "probed");
        }
        self.platform.probed(probe.ticket, ending, after);
    }

    /// Dials where there is no watch, and gives up one that is silent.
    fn look_at_discovery(&mut self) {
        if self.now() < self.watching.due {
            return;
        }
        match self.watching.conn {
            Some(_) => {
                tracing::info!(at = %self.watching.at, "the watch is silent");
                self.watch_again(Duration::ZERO);
                self.look_at_discovery();
            }
            None => {
                let due = self.now() + discovery::FIRST_WAIT;
                let dialled = self.turn.dial(self.watching.at, &Security::Plain, Bounds::default());
                let conn = dialled.ok();
                if let Some(conn) = conn {
                    let query = discovery::watch(&self.watching.at.to_string(), self.platform.revision());
                    self.turn.write(conn, &query);
                }
                let due = if conn.is_some() { due } else { self.now() + discovery::REDIAL };
                self.watching =
                    Watching { at: self.watching.at, conn, watch: Watch::default(), heard: false, due };
            }
        }
    }

    /// Ends the watch; the next is dialled after a while.
    fn watch_again(&mut self, after: Duration) {
        if let Some(conn) = self.watching.conn.take() {
            self.turn.cut(conn);
        }
        self.watching.due = self.now() + after;
    }

    fn discovery(&mut self, happened: Happened) {
        match happened {
            Happened::Bytes { bytes, .. } => {
                self.watching.due = self.now() + discovery::SILENCE_MOST;
                match self.watching.watch.push(&bytes) {
                    Ok(lines) => lines.iter().for_each(|line| self.platform.line(line)),
                    Err(discovery::Unreadable) => {
                        tracing::info!(at = %self.watching.at, "the watch can't be read");
                        self.watch_again(discovery::REDIAL);
                    }
                }
                if !self.watching.heard && self.watching.conn.is_some() {
                    self.watching.heard = true;
                    tracing::info!(at = %self.watching.at, "watching");
                }
                if self.watching.watch.is_over() {
                    self.watch_again(discovery::REDIAL);
                }
            }
            Happened::Closed { why, .. } => {
                tracing::info!(at = %self.watching.at, ?why, "the watch has ended");
                self.watch_again(discovery::REDIAL);
            }
            Happened::Open { .. } | Happened::Signal(_) => {}
        }
    }

    /// Reads the file again. What can't be read is told, and all goes on as it is.
    fn read_again(&mut self) {
        match station(&self.file) {
            Err(why) => tracing::warn!("kept as it is: {why}"),
            Ok(station) if station.discovery != self.watching.at => {
                tracing::info!(at = %station.discovery, "discovery has moved");
                self.watching.at = station.discovery;
                self.watch_again(Duration::ZERO);
            }
            Ok(_) => tracing::info!("read again, nothing new"),
        }
    }
}
