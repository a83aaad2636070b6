//! The planner's shell: staff's sessions, proxies that called home, probes; one driver, one desk, one loop.

use crate::config_service::{schema, Desk};
use crate::http::{write_answer, Reader};
use crate::persistence::{PersistenceResult, PersistenceWorker, RestoredState};
use crate::proxy_sessions::{Bodies, Home, Joined, Stream};
use crate::state_file::StateFile;
use crate::tls_credentials::{server_name, CertificateHolder, TlsPolicy, PROXY};
use crate::{earliest, wall_ms, wall_text};
use hdrhistogram::Histogram;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use runloom_control_session::{
    Action, CommandTamper, ControlSession, LearnedServerState, ServerHint, CLOCK_LEAD,
};
use runloom_controller::{EndpointUpdate, HealthCheckResult};
use runloom_distribution::{Distributor, Transport};
use runloom_event_log::{RecordedEvent as Recorded, Recorder, Writer};
use runloom_event_loop::{BufferLimits, CloseReason, ConnectionId, EventLoop, IoEvent, Security};
use runloom_guard::Rejection;
use runloom_identity::access::RequestedAccess;
use runloom_inventory::edit_history::{EditHistory, StoredEdit};
use runloom_inventory::{Change, Inventory};
use runloom_model::fleet::{Fleet, PlannerSettings};
use runloom_model::{FLEET, STATE, YANG};
use runloom_netconf::service::{Limits, Service, CAPABILITIES};
use runloom_netconf::session::{Role, Session, SessionError, SessionEvent, SessionLimits as SessionBounds};
use runloom_netconf::tree::Element;
use runloom_store::learned::{LearnedServer, LearnedServers};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A probe waits so long for an answer: longer than any server in order takes for its own word.
const PROBE_PATIENCE: Duration = Duration::from_secs(1);
/// Probes out at a time; further ones say nothing about their server.
const PROBES_MOST: usize = 1024;
/// The list is written to disk at most this often: a restart may know it that much late.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// The same refusal is logged again after this: it comes with each look while its cause lasts.
const REFUSED_AGAIN: Duration = Duration::from_secs(5);
/// Refusals in the state: the newest.
const REFUSED_SHOWN: usize = 20;
/// What was learned is written so often: a restart knows it that much late.
const LEARN_EVERY: Duration = Duration::from_secs(5);
/// The end of one's own identity is told of so often.
const WARN_EVERY: Duration = Duration::from_secs(60);
/// Staff's sessions that say nothing for so long are closed.
const STAFF_IDLE: Duration = Duration::from_secs(3600);

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Papers(#[from] crate::tls_credentials::Unusable),
    #[error("{0}")]
    Data(String),
}

/// A staff session, or a tool's, or the feed's.
pub(crate) struct Staff {
    id: u32,
    session: Session,
    closing: bool,
    /// The batch of edits that has to be on disk before it is answered.
    needs: u64,
}

pub(crate) struct Probe {
    server: usize,
    sent: Duration,
    reader: Reader,
}

pub(crate) enum Peer {
    Staff(Box<Staff>),
    Home(Box<Home>),
    Stream(Box<Stream>),
    Probe(Probe),
    /// Someone who reads the metrics.
    Reader(Reader),
}

pub struct Planner {
    pub(crate) name: String,
    pub(crate) driver: ControlSession,
    pub(crate) front: Distributor,
    pub(crate) desk: Desk,
    roster: Inventory,
    service: Service,
    shelf: StateFile,
    keeper: PersistenceWorker,
    /// Batches of edits that were given to be kept, and those that are.
    given: u64,
    durable: u64,
    /// When what was learned is written down next, and what was last.
    learn_at: Duration,
    book: LearnedServers,
    /// Microseconds that keeping a batch took.
    keeping: Histogram<u64>,
    pub(crate) peers: BTreeMap<ConnectionId, Peer>,
    pub(crate) joined: BTreeMap<usize, Joined>,
    /// Published parts as text, as long as several proxies may get them.
    pub(crate) bodies: Bodies,
    /// When streams that have gone silent were looked for.
    pub(crate) swept: Duration,
    /// Reports that could not be read.
    pub(crate) unread_reports: u64,
    listeners: Listeners,
    terms: TlsPolicy,
    /// Streams by identities: when each ends, and the certificate.
    pub(crate) ends: BTreeMap<ConnectionId, (CertificateHolder, Vec<u8>)>,
    /// When one's own identity's end was last told of.
    warned: Option<Duration>,
    security: Security,
    seed: u64,
    list_saved: Option<Duration>,
    list_dirty: bool,
    try_disk: Duration,
    recorder: (PrometheusRecorder, PrometheusHandle),
    pub stopping: bool,
    /// Where the process ends without a word, once: for tests of what survives that.
    dies: Option<CrashPoint>,
    /// Something was accepted in this turn.
    kept: bool,
    /// Microseconds from a decision until its orders are handed to the sockets, and until each is confirmed.
    written: Histogram<u64>,
    pub(crate) confirmed: Histogram<u64>,
    /// Refusals that were logged, and when.
    refused: BTreeMap<(&'static str, u16, Option<usize>), Duration>,
    refusals_until: Duration,
    record: Option<Writer>,
    /// Whether the record was stopped when last looked at, to tell of it once.
    record_stopped: bool,
}

/// A point of the way of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    BeforeKept,
    Kept,
    Replied,
}

/// What is done to a planner on purpose, for tests and trials.
#[derive(Default)]
pub struct TestHooks {
    pub dies: Option<CrashPoint>,
    /// Orders go out unjudged.
    pub unguarded: bool,
    pub spoil: Option<CommandTamper>,
}

impl CrashPoint {
    pub fn named(word: &str) -> Option<CrashPoint> {
        match word {
            "before-kept" => Some(CrashPoint::BeforeKept),
            "kept" => Some(CrashPoint::Kept),
            "replied" => Some(CrashPoint::Replied),
            _ => None,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Listeners {
    edits: ConnectionId,
    home: ConnectionId,
    pubsub: Option<ConnectionId>,
    metrics: Option<ConnectionId>,
}

/// Where a planner can be reached; ports that were asked as 0 are told here.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddresses {
    pub edits: SocketAddr,
    pub home: SocketAddr,
    pub pubsub: Option<SocketAddr>,
    pub metrics: Option<SocketAddr>,
}

impl Planner {
    /// Starts on a loop: what was accepted before is taken from the folder, else the fleet of the settings.
    pub fn start(
        turn: &mut EventLoop,
        place: &PlannerSettings,
        seed: u64,
    ) -> Result<(Planner, ListenAddresses), Failed> {
        let shelf = StateFile::open(&place.folder)?;
        let terms = TlsPolicy::load(&place.papers)?;
        let mut desk = None;
        let (keeper, found) = PersistenceWorker::open(&place.folder, turn.waker(), |found| {
            let first = open_desk(&shelf, place, found)?;
            let accepted = first.accepted();
            desk = Some(first);
            Ok(accepted)
        })?;
        let mut desk = desk.ok_or_else(|| Failed::Data("nothing to start from".into()))?;
        desk.rules.clone_from(&place.papers.rules);
        shelf.set_aside("accepted.xml")?;
        shelf.set_aside("roster.xml")?;
        let staff =
            BufferLimits { idle_timeout: Some(STAFF_IDLE), max_connections: 64, ..BufferLimits::default() };
        let (edits, edits_at) =
            turn.listen(place.edits, Security::TlsServer(terms.answers.clone()), staff)?;
        // A proxy reports every period; one that is silent for several is gone without a word.
        let silence = (desk.fleet().report * 4).max(Duration::from_secs(3));
        // RFC 8071: who called home is the server; this side starts TLS.
        let security = Security::TlsClient(terms.starts.clone(), server_name(PROXY));
        let proxies = BufferLimits { idle_timeout: Some(silence), ..BufferLimits::default() };
        let (home, home_at) = turn.listen(place.home, security.clone(), proxies)?;
        let pubsub = place.pubsub.map(|at| {
            // Its own silence is reckoned by the protocol; what waits to be read is a window of parts.
            let bounds = BufferLimits { max_unsent_bytes: 4 << 20, ..BufferLimits::default() };
            turn.listen(at, Security::TlsServer(terms.answers.clone()), bounds)
        });
        let pubsub = pubsub.transpose()?;
        let metrics = place.metrics.map(|at| {
            let bounds = BufferLimits {
                idle_timeout: Some(Duration::from_secs(10)),
                max_connections: 16,
                ..BufferLimits::default()
            };
            turn.listen(at, Security::Plain, bounds)
        });
        let metrics = metrics.transpose()?;
        let epoch = wall_ms().saturating_sub(turn.now().as_millis() as u64);
        let front = Distributor::new(next_epoch(&shelf)?, desk.fleet().grace.drain, longest(desk.fleet()));
        let mut driver = ControlSession::new(desk.fleet().clone(), seed, epoch);
        let mut roster = Inventory::default();
        let known = roster.update(desk.fleet(), desk.listed());
        let record = open_record(place, &mut driver, &desk, seed, epoch)?;
        driver.update_endpoints(EndpointUpdate::Cached, known);
        let hints = hints(&found, &roster);
        if !hints.is_empty() {
            tracing::info!(servers = hints.len(), "what an earlier start learned is taken as hints");
            driver.warm_start(&hints);
        }
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let planner = Planner {
            name: place.name.clone(),
            driver,
            front,
            desk,
            roster,
            service: Service::new(schema().map_err(Failed::Data)?, Limits::default()),
            shelf,
            keeper,
            given: 0,
            durable: 0,
            learn_at: LEARN_EVERY,
            book: found.learned.unwrap_or_default(),
            keeping: histogram()?,
            peers: BTreeMap::new(),
            joined: BTreeMap::new(),
            bodies: Bodies::default(),
            swept: Duration::ZERO,
            unread_reports: 0,
            listeners: Listeners { edits, home, pubsub: pubsub.map(|p| p.0), metrics: metrics.map(|m| m.0) },
            terms,
            ends: BTreeMap::new(),
            warned: None,
            security,
            seed,
            list_saved: None,
            list_dirty: false,
            try_disk: Duration::ZERO,
            recorder: (recorder, handle),
            stopping: false,
            dies: None,
            kept: false,
            written: histogram()?,
            confirmed: histogram()?,
            refused: BTreeMap::new(),
            refusals_until: Duration::ZERO,
            record,
            record_stopped: false,
        };
        let (pubsub, metrics) = (pubsub.map(|p| p.1), metrics.map(|m| m.1));
        let reachable = ListenAddresses { edits: edits_at, home: home_at, pubsub, metrics };
        tracing::info!(planner = %place.name, edits = %edits_at, home = %home_at, "planner started");
        Ok((planner, reachable))
    }

    /// Runs until it is told to stop.
    pub fn run(&mut self, turn: &mut EventLoop) -> io::Result<()> {
        let mut end: Option<Duration> = None;
        loop {
            let happened = turn.wait(earliest([self.wakes_at(), end]))?;
            for h in happened {
                self.happened(turn, h);
            }
            self.turned(turn);
            if self.stopping && end.is_none() {
                tracing::info!("stopping: proxies keep their tables");
                turn.close_listeners();
                let conns: Vec<ConnectionId> = self.peers.keys().copied().collect();
                conns.into_iter().for_each(|c| turn.finish(c));
                end = Some(turn.now() + Duration::from_secs(2));
            }
            if end.is_some_and(|end| turn.now() >= end || self.peers.is_empty()) {
                self.learn();
                if let Some(record) = self.record.take() {
                    record.finish();
                }
                return Ok(());
            }
        }
    }

    pub fn wakes_at(&self) -> Option<Duration> {
        let list = self.list_dirty.then(|| self.list_saved.map_or(Duration::ZERO, |at| at + LIST_EVERY));
        let cores = [self.driver.next_wakeup(), self.front.wakes_at(), self.service.wakes_at()];
        earliest(cores.into_iter().chain([self.desk.ledger.next_wakeup(), list, Some(self.learn_at)]))
    }

    pub fn try_out(&mut self, trial: TestHooks) {
        self.dies = trial.dies;
        self.driver.is_guarded = !trial.unguarded;
        self.driver.tamper = trial.spoil;
    }

    pub fn driver(&self) -> &ControlSession {
        &self.driver
    }

    /// Takes in one thing that happened.
    pub fn happened(&mut self, turn: &mut EventLoop, happened: IoEvent) {
        match happened {
            IoEvent::Signal(_) => self.stopping = true,
            IoEvent::Open { conn, listener, certificate } => self.opened(turn, conn, listener, certificate),
            IoEvent::Bytes { conn, bytes } => self.bytes(turn, conn, &bytes),
            IoEvent::Closed { conn, reason } => self.closed(turn, conn, reason),
        }
    }

    fn opened(
        &mut self,
        turn: &mut EventLoop,
        conn: ConnectionId,
        listener: Option<ConnectionId>,
        certificate: Option<Vec<u8>>,
    ) {
        let who = certificate.as_deref().map(|c| self.terms.holder(c));
        let who = match who {
            Some(Err(why)) => {
                tracing::warn!(why, "turned away: the certificate names nobody");
                return turn.cut(conn);
            }
            Some(Ok(who)) => Some(who),
            None => None,
        };
        if let (Some(who), Some(certificate)) = (who.as_ref().filter(|w| w.id.is_some()), &certificate) {
            self.ends.insert(conn, (who.clone(), certificate.clone()));
        }
        match (listener, who) {
            (Some(l), _) if Some(l) == self.listeners.metrics => {
                self.peers.insert(conn, Peer::Reader(Reader::queries()));
            }
            (Some(l), Some(who)) if l == self.listeners.edits => self.staff(turn, conn, &who),
            (Some(l), Some(who)) if l == self.listeners.home && who.proxy => {
                self.peers.insert(conn, Peer::Home(Box::new(Home::new(who))));
                self.write_out(turn, conn);
            }
            (Some(l), Some(who)) if Some(l) == self.listeners.pubsub && who.proxy => {
                let stream = Stream::new(turn.now(), &self.name, who);
                self.peers.insert(conn, Peer::Stream(Box::new(stream)));
            }
            (None, _) => {
                // A probe's connection: the shortest query there is.
                turn.write(conn, b"GET /health HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\r\n");
            }
            (_, who) => {
                if let Some((id, _)) = who.as_ref().and_then(|w| w.id.as_ref()) {
                    self.desk.refused(id, RequestedAccess::Join { name: id.name().unwrap_or_default() });
                }
                tracing::warn!(?who, "turned away: the certificate names nobody who has business here");
                self.ends.remove(&conn);
                turn.cut(conn);
            }
        }
    }

    fn staff(&mut self, turn: &mut EventLoop, conn: ConnectionId, who: &CertificateHolder) {
        let Some(id) = self.service.open(&who.name, turn.now()) else {
            tracing::warn!(who = %who.name, "turned away: too many sessions");
            turn.cut(conn);
            return;
        };
        self.desk.met(who);
        tracing::info!(who = %who.name, session = id, "session opened");
        let names: Vec<String> = YANG
            .iter()
            .map(|(n, v, _)| format!("urn:{}?module={n}&revision={v}", n.replace('-', ":")))
            .collect();
        let all: Vec<&str> = CAPABILITIES.into_iter().chain(names.iter().map(String::as_str)).collect();
        let session = Session::new(Role::Server { id }, &all, SessionBounds::default());
        self.peers.insert(conn, Peer::Staff(Box::new(Staff { id, session, closing: false, needs: 0 })));
        self.write_out(turn, conn);
    }

    fn bytes(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let heard = match self.peers.get_mut(&conn) {
            Some(Peer::Staff(staff)) => staff.session.take(bytes),
            Some(Peer::Home(home)) => home.session.take(bytes),
            Some(Peer::Stream(_)) => return self.stream_bytes(turn, conn, bytes),
            Some(Peer::Probe(_)) => return self.probe_answered(turn, conn, bytes),
            Some(Peer::Reader(_)) => return self.read_metrics(turn, conn, bytes),
            None => return,
        };
        self.heard(turn, conn, heard);
    }

    fn heard(
        &mut self,
        turn: &mut EventLoop,
        conn: ConnectionId,
        heard: Result<Vec<SessionEvent>, SessionError>,
    ) {
        let heard = match heard {
            Ok(heard) => heard,
            Err(broken) => {
                tracing::warn!(reason = %broken, "session ends");
                self.write_out(turn, conn);
                turn.finish(conn);
                return self.closed(turn, conn, CloseReason::Broken);
            }
        };
        let mut count = heard.len();
        let mut batch = heard;
        loop {
            for h in batch {
                match self.peers.get(&conn) {
                    Some(Peer::Staff(_)) => self.staff_heard(turn, conn, h),
                    Some(Peer::Home(_)) => self.home_heard(turn, conn, h),
                    _ => return,
                }
            }
            // Messages that one read held beyond the share; the read itself is bounded.
            let more = match self.peers.get_mut(&conn) {
                Some(Peer::Staff(s)) if s.session.may_hold_more(count) => s.session.more(),
                Some(Peer::Home(h)) if h.session.may_hold_more(count) => h.session.more(),
                _ => return,
            };
            match more {
                Ok(next) => (count, batch) = (next.len(), next),
                Err(broken) => return self.heard(turn, conn, Err(broken)),
            }
        }
    }

    fn staff_heard(&mut self, turn: &mut EventLoop, conn: ConnectionId, heard: SessionEvent) {
        let SessionEvent::Rpc(rpc) = heard else { return };
        let now = turn.now();
        (self.desk.now, self.desk.wall) = (now, wall_ms());
        if rpc.operation().name == "get" {
            self.desk.state = vec![self.state(now)];
        }
        let Some(Peer::Staff(staff)) = self.peers.get_mut(&conn) else { return };
        let answer = self.service.handle(now, staff.id, &rpc, &mut self.desk);
        let refused = answer.content.first().filter(|c| c.name == "rpc-error");
        if let Some(error) = refused {
            let (tag, why) = (error.text_of("error-tag"), error.text_of("error-message"));
            tracing::info!(session = staff.id, operation = %rpc.operation().name, tag, why, "refused");
        }
        staff.session.reply(&rpc, answer.content);
        // What it was told may rest on what is not on disk yet.
        staff.needs = match () {
            () if self.desk.is_dirty() => self.given + 1,
            () if self.desk.is_sending() => self.given,
            () => staff.needs,
        };
        staff.closing |= answer.close;
        for killed in answer.kill {
            let of =
                |(c, p): (&ConnectionId, &Peer)| matches!(p, Peer::Staff(s) if s.id == killed).then_some(*c);
            if let Some(other) = self.peers.iter().find_map(of) {
                turn.cut(other);
                self.closed(turn, other, CloseReason::Finished);
            }
        }
    }

    pub(crate) fn closed(&mut self, turn: &mut EventLoop, conn: ConnectionId, why: CloseReason) {
        self.ends.remove(&conn);
        match self.peers.remove(&conn) {
            Some(Peer::Staff(staff)) => {
                tracing::info!(session = staff.id, ?why, "session closed");
                (self.desk.now, self.desk.wall) = (turn.now(), wall_ms());
                self.service.left(staff.id, &mut self.desk);
            }
            Some(Peer::Home(home)) => self.proxy_closed(conn, &home.holder.name, home.proxy, why),
            Some(Peer::Stream(stream)) => self.proxy_closed(conn, &stream.holder.name, stream.proxy, why),
            Some(Peer::Probe(probe)) => {
                let found = match why {
                    CloseReason::Slow | CloseReason::Idle => HealthCheckResult::Timeout,
                    _ => HealthCheckResult::ConnectionFailed,
                };
                self.driver.record_health_check(
                    probe.server,
                    found,
                    turn.now().saturating_sub(probe.sent),
                    vec![],
                );
            }
            Some(Peer::Reader(_)) | None => {}
        }
    }

    fn probe_answered(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let Some(Peer::Probe(probe)) = self.peers.get_mut(&conn) else { return };
        probe.reader.push(bytes);
        let (found, load) = match probe.reader.next_message() {
            Ok(None) => return,
            Ok(Some(answer)) => match answer.code {
                200..=299 => (HealthCheckResult::Success, answer.numbers("runloom-load")),
                503 => (HealthCheckResult::Rejected, vec![]),
                _ => (HealthCheckResult::ErrorResponse, vec![]),
            },
            Err(_) => (HealthCheckResult::ErrorResponse, vec![]),
        };
        self.driver.record_health_check(probe.server, found, turn.now().saturating_sub(probe.sent), load);
        self.peers.remove(&conn);
        turn.cut(conn);
    }

    /// After all that happened in a turn: accepts, decides, orders, writes.
    pub fn turned(&mut self, turn: &mut EventLoop) {
        let now = turn.now();
        (self.desk.now, self.desk.wall) = (now, wall_ms());
        self.service.due(now, &mut self.desk);
        self.keep(turn, now);
        self.tell_decisions(now);
        self.patience(turn, now);
        self.admit(turn, now);
        let (deeds, ordered) = self.driver.step(now);
        self.desk.ledger.record_published(&ordered.servers, &ordered.messages);
        let sends = deeds.iter().filter(|d| matches!(d, Action::Send { .. })).count();
        deeds.into_iter().for_each(|deed| self.carry(turn, deed));
        self.tell(turn);
        if sends > 0 {
            self.written.saturating_record(turn.now().saturating_sub(now).as_micros() as u64);
        }
        self.refusals(now);
        self.settle();
        self.reply(turn);
        self.keep_list(now);
        self.recorded(turn.now(), now);
        for e in std::mem::take(&mut self.desk.audited) {
            tracing::warn!(who = %e.who, wish = %e.wish, reason = e.reason, more = e.more, "not allowed");
        }
    }

    /// Certificates that changed are read again; streams whose identity has ended, or whose authority was struck, end.
    pub(crate) fn identities(&mut self, turn: &mut EventLoop, now: Duration) {
        let renewed = match self.terms.renew() {
            Ok(renewed) => renewed,
            Err(why) => {
                tracing::error!(%why, "new certificates cannot be used: the ones before stay in force");
                false
            }
        };
        let wall = (wall_ms() / 1000) as i64;
        if renewed {
            tracing::info!("new certificates are in force, for connections from now on");
        }
        if let Some(own) = self.terms.own() {
            // By now a new one should have come: operators are told while there is time.
            let late = own.until - wall < (own.until - own.from) / 3;
            if late && self.warned.is_none_or(|at| now >= at + WARN_EVERY) {
                self.warned = Some(now);
                tracing::warn!(identity = %own.id, seconds = own.until - wall, "this planner's identity ends soon");
            }
        }
        let over = |(conn, (holder, der)): (&ConnectionId, &(CertificateHolder, Vec<u8>))| {
            let over = holder.has_ended(wall) || (renewed && !self.terms.vouches(der));
            over.then(|| (*conn, holder.name.clone()))
        };
        let over: Vec<(ConnectionId, String)> = self.ends.iter().filter_map(over).collect();
        for (conn, who) in over {
            tracing::warn!(who, "its identity has ended, or its authority was struck: the stream ends");
            self.cut_off(turn, conn);
        }
    }

    /// Ends a stream at once: nothing that is on its way counts.
    pub(crate) fn cut_off(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        turn.cut(conn);
        self.closed(turn, conn, CloseReason::Untrusted);
    }

    /// Writes down what the driver was told and ordered in this turn.
    fn recorded(&mut self, now: Duration, from: Duration) {
        let (Some(record), Some(witness)) = (&mut self.record, &mut self.driver.recorded_events) else {
            return;
        };
        let mut batch = std::mem::take(witness);
        for (_, what) in &mut batch {
            if let Recorded::Turn { took, .. } = what {
                *took = now.saturating_sub(from).as_micros() as u64;
            }
        }
        record.push(now, batch);
        let standing = record.standing();
        let stopped = standing.stopped.is_some();
        if stopped && !self.record_stopped {
            tracing::error!(why = standing.stopped, "recording stopped; planning goes on");
        } else if !stopped && self.record_stopped {
            tracing::info!(lost = standing.lost, "recording goes on");
        }
        self.record_stopped = stopped;
    }

    /// What was accepted is on disk before any reply leaves; all edits that come while a batch is written share the next.
    fn keep(&mut self, turn: &mut EventLoop, now: Duration) {
        while let Some(done) = self.keeper.done() {
            match done {
                PersistenceResult::Edits(Ok(took)) => {
                    self.keeping.saturating_record(took.as_micros() as u64);
                    self.desk.saved();
                    self.durable = self.given;
                    self.kept = true;
                    self.die(CrashPoint::Kept);
                }
                PersistenceResult::Edits(Err(why)) => self.not_kept(turn, why),
                PersistenceResult::Tried(Ok(())) if self.desk.refuses.take().is_some() => {
                    tracing::info!("edits can be kept again");
                }
                PersistenceResult::Tried(_) => {}
                PersistenceResult::Lost(what, why) => tracing::warn!(what, why, "could not be written"),
            }
        }
        if let Some(patch) = self.desk.unsaved() {
            self.die(CrashPoint::BeforeKept);
            self.given += 1;
            if !self.keeper.edits(patch) {
                self.not_kept(turn, "the disk is behind".into());
            }
        } else if self.desk.refuses.is_some() && now >= self.try_disk {
            // Whether the disk is back is tried once a second.
            self.try_disk = now + Duration::from_secs(1);
            self.keeper.try_again();
        }
        if now >= self.learn_at {
            self.learn_at = now + LEARN_EVERY;
            self.learn();
        }
    }

    /// Nobody was told that these were accepted; their sessions end, and a client asks again.
    fn not_kept(&mut self, turn: &mut EventLoop, why: String) {
        tracing::error!(why, "edits cannot be kept: none is accepted until they can");
        self.desk.take_back(why);
        let unsure = |(c, p): (&ConnectionId, &Peer)| {
            matches!(p, Peer::Staff(s) if s.session.waiting() > 0 && s.needs > self.durable).then_some(*c)
        };
        let unsure: Vec<ConnectionId> = self.peers.iter().filter_map(unsure).collect();
        self.durable = self.given;
        for conn in unsure {
            turn.cut(conn);
            self.closed(turn, conn, CloseReason::Broken);
        }
    }

    /// Writes down what the decisions have learned of servers.
    fn learn(&mut self) {
        let servers = self.roster.servers();
        let learned = self.driver.learned_states().into_iter().filter_map(|state| {
            let LearnedServerState {
                name,
                speed_factor: swift,
                last_ejected_ms: failed,
                is_long_ejected: held,
            } = state;
            let server = servers.get(&name)?;
            let (address, started) = (server.address.to_string(), server.started_ms);
            Some(LearnedServer { name, address, started, swift, failed, held })
        });
        let book = LearnedServers { written: self.desk.wall, servers: learned.collect() };
        self.book = book.renewed(&self.book);
        if !self.keeper.learned(self.book.clone()) {
            tracing::warn!("what was learned could not be written: the disk is behind");
        }
    }

    fn tell_decisions(&mut self, now: Duration) {
        if !std::mem::take(&mut self.desk.list_changed) {
            // An edit that changes nothing is decided all the same.
            self.desk.ledger.record_decided(now, &BTreeSet::new());
            return;
        }
        let changes = self.roster.update(self.desk.kept_fleet(), self.desk.listed());
        let names: BTreeSet<String> = changes.iter().map(|(name, _)| name.clone()).collect();
        self.list_dirty |= !changes.is_empty();
        self.seed = self.seed.wrapping_add(1);
        self.refit_noted(now);
        if self.driver.reconfigure(self.desk.kept_fleet().clone(), self.seed) {
            tracing::warn!(
                "new facts: the decisions start over, proxies keep their tables until bound again"
            );
            let all = self.roster.servers().iter().map(|(n, s)| (n.clone(), Change::Updated(s.clone())));
            self.driver.update_endpoints(EndpointUpdate::Cached, all.collect());
            let fleet = self.desk.kept_fleet();
            self.front.restart(self.front.publisher().epoch() + 1, fleet.grace.drain, longest(fleet));
            if let Err(e) = keep_epoch(&self.shelf, self.front.publisher().epoch()) {
                tracing::warn!(error = %e, "the epoch could not be written");
            }
            for (proxy, joined) in &self.joined {
                self.driver.connect_proxy(&joined.name, &joined.zone, joined.rate, false);
                self.desk.ledger.disconnect_proxy(*proxy);
            }
        } else if !changes.is_empty() {
            self.driver.update_endpoints(EndpointUpdate::Delta, changes);
        }
        self.desk.ledger.record_decided(now, &names);
    }

    fn refit_noted(&mut self, now: Duration) {
        if self.driver.fleet() != self.desk.kept_fleet() {
            let what = Recorded::Refit { fleet: self.desk.fleet_text(), seed: self.seed };
            if let Some(witness) = &mut self.driver.recorded_events {
                witness.push((now, what));
            }
        }
    }

    /// A proxy that does not confirm in time holds up what others need: it is let go, and may join again.
    fn patience(&mut self, turn: &mut EventLoop, now: Duration) {
        let patience = self.desk.fleet().grace.reply;
        let members = self.driver.members().iter();
        let late: Vec<usize> = members
            .filter(|(_, m)| m.oldest_in_flight(now).is_some_and(|age| age >= patience))
            .map(|(p, _)| *p)
            .collect();
        for proxy in late {
            tracing::warn!(proxy = self.driver.proxy_name(proxy), "let go: it does not confirm its orders");
            if let Some(conn) = self.joined.get(&proxy).map(|j| j.conn) {
                turn.cut(conn);
                self.closed(turn, conn, CloseReason::Unread);
            }
        }
        self.sweep(turn, now);
        let overdue = |(c, p): (&ConnectionId, &Peer)| match p {
            Peer::Probe(probe) if now >= probe.sent + PROBE_PATIENCE => Some(*c),
            _ => None,
        };
        let overdue: Vec<ConnectionId> = self.peers.iter().filter_map(overdue).collect();
        for conn in overdue {
            turn.cut(conn);
            self.closed(turn, conn, CloseReason::Slow);
        }
    }

    fn carry(&mut self, turn: &mut EventLoop, deed: Action) {
        match deed {
            Action::UpdateTable { table, edit } => self.front.update_table(table, &edit),
            Action::UpdateEjections { servers } => self.front.update_ejections(&servers),
            Action::Send { proxy, number, message, entries: lines } => {
                tracing::debug!(proxy, number, lines, "ordered");
                self.front.issue_command(proxy, number, &message);
            }
            Action::CheckHealth { server, address } => {
                let out = self.peers.values().filter(|p| matches!(p, Peer::Probe(_))).count();
                let sent = turn.now();
                let conn = if out < PROBES_MOST {
                    turn.dial(address, &Security::Plain, BufferLimits::default()).ok()
                } else {
                    None
                };
                match conn {
                    Some(conn) => {
                        let probe = Probe { server, sent, reader: Reader::answers() };
                        self.peers.insert(conn, Peer::Probe(probe));
                    }
                    None => self.driver.record_health_check(
                        server,
                        HealthCheckResult::Inconclusive,
                        Duration::ZERO,
                        vec![],
                    ),
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    /// Refusals since the last turn, to the log; the same one at most every few seconds.
    fn refusals(&mut self, now: Duration) {
        let guard = self.driver.guard();
        let since = std::mem::replace(&mut self.refusals_until, CLOCK_LEAD + now);
        self.refused.retain(|_, at| now < *at + REFUSED_AGAIN);
        for refusal in guard.rejections().filter(|r| r.at > since) {
            let key = (refusal.reason.tag(), refusal.table, refusal.servers.first().copied());
            if self.refused.contains_key(&key) {
                continue;
            }
            self.refused.insert(key, now);
            let (why, safe) = self.told(refusal);
            let case = refusal.case.as_ref().and_then(|c| serde_json::to_string(c).ok()).unwrap_or_default();
            tracing::warn!(reason = refusal.reason.tag(), rule = refusal.reason.rule(), why, safe, %case, "refused");
        }
    }

    /// Why, and what would have been safe.
    fn told(&self, refusal: &Rejection) -> (String, String) {
        let server = |s: usize| self.driver.server_name(s).to_string();
        let proxy = |p: usize| self.driver.proxy_name(p).to_string();
        (refusal.describe(&server, &proxy), refusal.suggest_safe_change(&server))
    }

    /// What the guard refused, for the state.
    fn guard_state(&self, now: Duration) -> Element {
        let guard = self.driver.guard();
        let mut e = Element::new(STATE, "guard").with_leaf("judged", guard.validated_batches);
        if let Some((_, until)) = self.desk.fleet().raised.filter(|(_, until)| *until > self.desk.wall) {
            e = e.with_leaf("raised-until", until);
        }
        for (reason, count) in guard.rejection_counts() {
            e = e.with(Element::new(STATE, "count").with_leaf("reason", reason).with_leaf("refused", count));
        }
        for refusal in guard.rejections().collect::<Vec<_>>().into_iter().rev().take(REFUSED_SHOWN) {
            let (why, safe) = self.told(refusal);
            let case = refusal.case.as_ref().and_then(|c| serde_json::to_string(c).ok()).unwrap_or_default();
            let one = Element::new(STATE, "refusal")
                .with_leaf("ago-ms", (CLOCK_LEAD + now).saturating_sub(refusal.at).as_millis())
                .with_leaf("reason", refusal.reason.tag())
                .with_leaf("rule", refusal.reason.rule())
                .with_leaf("why", why);
            e = e.with(one.with_leaf("safe", safe).with_leaf("case", case));
        }
        e
    }

    /// Edits that came in force, told to those who subscribed.
    fn settle(&mut self) {
        let now = self.desk.now;
        for edit in self.desk.ledger.take_completed(now) {
            if let Some(witness) = &mut self.driver.recorded_events {
                witness.push((
                    now,
                    Recorded::Edit { id: edit.stored.id.clone(), who: edit.stored.author.clone() },
                ));
            }
            let after = now.saturating_sub(edit.stored_at.unwrap_or(now)).as_millis();
            tracing::info!(edit = %edit.stored.id, who = %edit.stored.author, at = edit.acknowledged_count(), of = edit.proxy_count, after_ms = after as u64, "in force");
            let event = Element::new(STATE, "edit-in-force")
                .with_leaf("id", &edit.stored.id)
                .with_leaf("at", edit.acknowledged_count())
                .with_leaf("of", edit.proxy_count)
                .with_leaf("after-ms", after);
            let told = self.service.subscribers(&event);
            for peer in self.peers.values_mut() {
                if let Peer::Staff(staff) = peer {
                    if told.contains(&staff.id) {
                        staff.session.notify(&wall_text(), event.clone());
                    }
                }
            }
        }
    }

    /// Replies to staff leave only now: what they tell of is on disk.
    fn reply(&mut self, turn: &mut EventLoop) {
        let staff = |(c, p): (&ConnectionId, &Peer)| match p {
            Peer::Staff(s) if (s.session.waiting() > 0 || s.closing) && s.needs <= self.durable => {
                Some((*c, s.closing))
            }
            _ => None,
        };
        let staff: Vec<(ConnectionId, bool)> = self.peers.iter().filter_map(staff).collect();
        for (conn, closing) in staff {
            self.write_out(turn, conn);
            if closing {
                turn.finish(conn);
            }
        }
        if std::mem::take(&mut self.kept) {
            self.die(CrashPoint::Replied);
        }
    }

    fn die(&self, point: CrashPoint) {
        if self.dies == Some(point) {
            std::process::abort();
        }
    }

    pub(crate) fn write_out(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        let session = match self.peers.get_mut(&conn) {
            Some(Peer::Staff(staff)) => &mut staff.session,
            Some(Peer::Home(home)) => &mut home.session,
            _ => return,
        };
        let bytes = session.output(usize::MAX);
        turn.write(conn, &bytes);
    }

    fn keep_list(&mut self, now: Duration) {
        let rested = self.list_saved.is_none_or(|at| now >= at + LIST_EVERY);
        if self.list_dirty && rested {
            self.list_saved = Some(now);
            self.list_dirty = !self.keeper.roster(self.desk.roster().to_text());
        }
    }

    /// What the planner believes and has sent.
    fn state(&self, now: Duration) -> Element {
        let ms = |at: Option<Duration>| at.map(|at| now.saturating_sub(at).as_millis());
        let mut state = Element::new(STATE, "state")
            .with_leaf("planner", &self.name)
            .with_leaf("up-ms", now.as_millis())
            .with_leaf("joined", self.joined.len())
            .with_leaf("lines-waiting", self.driver.queued_entries());
        let mut lines = BTreeMap::new();
        for (table, laid) in self.driver.published_tables() {
            laid.entries.iter().for_each(|(s, w)| _ = lines.insert(*s, (*table, *w)));
        }
        for (server, listed) in self.driver.endpoint_states() {
            let mut e = Element::new(STATE, "server")
                .with_leaf("name", self.driver.server_name(*server))
                .with_leaf("standing", listed);
            if let Some((table, weight)) = lines.get(server) {
                e = e.with_leaf("table", table).with_leaf("weight", format!("{weight:.6}"));
            }
            state = state.with(e);
        }
        for (proxy, member) in self.driver.members() {
            let told = self.joined.get(proxy).map(|j| j.way).map_or("edits", |way| match way {
                Transport::Edits => "edits",
                Transport::Published => "published",
            });
            let mut e = Element::new(STATE, "proxy")
                .with_leaf("name", self.driver.proxy_name(*proxy))
                .with_leaf("zone", &member.zone)
                .with_leaf("told", told);
            let ages = [
                ("ordered-ms", ms(member.last_sent_at)),
                ("applied-ms", ms(member.last_acknowledged_at)),
                ("report-ms", ms(member.last_report_at)),
            ];
            for (name, age) in ages {
                e = age.map_or(e.clone(), |age| e.with_leaf(name, age));
            }
            state = state.with(e.with_leaf("waiting", member.in_flight_messages()));
        }
        for edit in self.desk.ledger.edits() {
            let after = |at: Option<Duration>| {
                at.map(|at| at.saturating_sub(edit.stored_at.unwrap_or(at)).as_millis())
            };
            let mut e = Element::new(STATE, "edit")
                .with_leaf("id", &edit.stored.id)
                .with_leaf("who", &edit.stored.author)
                .with_leaf("accepted", edit.stored.accepted_ms)
                .with_leaf("state", edit.state());
            for (name, after) in
                [("decided-ms", after(edit.decided_at)), ("in-force-ms", after(edit.in_force_at))]
            {
                e = after.map_or(e.clone(), |after| e.with_leaf(name, after));
            }
            state =
                state.with(e.with_leaf("at", edit.acknowledged_count()).with_leaf("of", edit.proxy_count));
        }
        state.with(self.guard_state(now))
    }

    fn read_metrics(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let Some(Peer::Reader(reader)) = self.peers.get_mut(&conn) else { return };
        reader.push(bytes);
        match reader.next_message() {
            Ok(None) => return,
            Ok(Some(query)) if query.path == "/metrics" => {
                let text = self.metrics(turn);
                let kind = [("content-type".to_string(), "text/plain; version=0.0.4".to_string())];
                turn.write(conn, &write_answer(200, &kind, text.as_bytes()));
            }
            Ok(Some(_)) => turn.write(conn, &write_answer(404, &[], b"")),
            Err(_) => turn.write(conn, &write_answer(400, &[], b"")),
        }
        turn.finish(conn);
    }

    fn metrics(&self, turn: &EventLoop) -> String {
        metrics::with_local_recorder(&self.recorder.0, || {
            let gauge = |name: &'static str, value: f64| metrics::gauge!(name).set(value);
            gauge("runloom_proxies_joined", self.joined.len() as f64);
            let published = self.joined.values().filter(|j| j.way == Transport::Published).count();
            gauge("runloom_proxies_published_to", published as f64);
            gauge("runloom_proxies_to_be_let_in", self.front.waiting_count() as f64);
            gauge("runloom_messages_flying", self.front.publisher().messages_in_flight() as f64);
            if let Some(own) = self.terms.own() {
                gauge("runloom_identity_ends_seconds", (own.until - (wall_ms() / 1000) as i64) as f64);
            }
            metrics::counter!("runloom_not_allowed_total").absolute(self.desk.audit.refused);
            metrics::counter!("runloom_proxies_doubted_total").absolute(self.front.resync_count());
            metrics::counter!("runloom_reports_unread_total").absolute(self.unread_reports);
            gauge("runloom_lines_waiting", self.driver.queued_entries() as f64);
            gauge("runloom_lines_waiting_most", self.driver.max_queued_entries as f64);
            metrics::counter!("runloom_lines_sent_total").absolute(self.driver.entries_sent);
            metrics::counter!("runloom_messages_sent_total").absolute(self.driver.messages_sent);
            gauge("runloom_edits_kept_seconds_p99", self.keeping.value_at_quantile(0.99) as f64 / 1e6);
            gauge("runloom_edits_can_be_kept", f64::from(u8::from(self.desk.refuses.is_none())));
            for (name, times, quantile) in [
                ("runloom_order_written_seconds_p99", &self.written, 0.99),
                ("runloom_order_confirmed_seconds_p50", &self.confirmed, 0.5),
                ("runloom_order_confirmed_seconds_p99", &self.confirmed, 0.99),
            ] {
                gauge(name, times.value_at_quantile(quantile) as f64 / 1e6);
            }
            gauge("runloom_turn_seconds_p99", turn.iteration_micros.value_at_quantile(0.99) as f64 / 1e6);
            gauge("runloom_turn_seconds_max", turn.iteration_micros.max() as f64 / 1e6);
            for (reason, count) in self.driver.guard().rejection_counts() {
                metrics::counter!("runloom_refused_total", "reason" => *reason).absolute(*count);
            }
            let standings =
                self.driver.endpoint_states().values().fold(BTreeMap::new(), |mut m: BTreeMap<_, f64>, s| {
                    *m.entry(*s).or_default() += 1.0;
                    m
                });
            for (standing, count) in standings {
                metrics::gauge!("runloom_servers", "listed" => standing).set(count);
            }
        });
        self.recorder.1.render()
    }

    pub fn call_home_security(&self) -> &Security {
        &self.security
    }
}

/// The longest that a query may be out.
fn longest(fleet: &Fleet) -> Duration {
    fleet.classes.iter().map(|c| c.outer_limit).max().unwrap_or_default()
}

/// A number that rises with each start, whatever the clock says: what an earlier start published is told apart by it.
fn next_epoch(shelf: &StateFile) -> io::Result<u64> {
    let last = shelf.read("epoch.xml")?.and_then(|e| e.text.parse::<u64>().ok()).unwrap_or(0);
    let epoch = wall_ms().max(last + 1);
    keep_epoch(shelf, epoch)?;
    Ok(epoch)
}

fn keep_epoch(shelf: &StateFile, epoch: u64) -> io::Result<()> {
    shelf.write("epoch.xml", &Element::leaf("", "epoch", epoch))
}

/// The build, for a record: another one may decide otherwise.
pub const BUILD: &str = concat!("runloom ", env!("CARGO_PKG_VERSION"));

/// Opens the record, if the settings name a folder for it, and begins with the start itself.
fn open_record(
    place: &PlannerSettings,
    driver: &mut ControlSession,
    desk: &Desk,
    seed: u64,
    epoch: u64,
) -> Result<Option<Writer>, Failed> {
    let Some(folder) = &place.record else { return Ok(None) };
    let terms = runloom_event_log::RecorderConfig {
        most: place.record_bytes,
        ..runloom_event_log::RecorderConfig::default()
    };
    let recorder = Recorder::open(folder, terms)?;
    let (build, planner, fleet) = (BUILD.to_string(), place.name.clone(), desk.fleet_text());
    driver.recorded_events =
        Some(vec![(Duration::ZERO, Recorded::Start { build, planner, seed, epoch, fleet })]);
    Ok(Some(Writer::new(recorder)))
}

/// Up to a minute, two digits.
fn histogram() -> Result<Histogram<u64>, Failed> {
    Histogram::new_with_bounds(1, 60_000_000, 2).map_err(|e| Failed::Data(e.to_string()))
}

/// What was accepted before, if anything was; else what the settings say. Folders of before this form are taken over.
fn open_desk(shelf: &StateFile, place: &PlannerSettings, found: &mut RestoredState) -> Result<Desk, Failed> {
    let mut data = (*place.data).clone();
    let mut ledger = EditHistory::default();
    let mut put = |name: &str, element: Element| {
        data.children.retain(|c| c.name != name);
        data.children.push(Arc::new(element));
    };
    if let Some(accepted) = found.accepted.take() {
        // A confirmed commit that a restart left unconfirmed is taken back (RFC 6241, section 8.4.1).
        if accepted.before.is_some() {
            tracing::warn!("a confirmed commit was never confirmed: back to what stood before");
        }
        let entries = accepted.before.unwrap_or(accepted.entries);
        let text = format!("<fleet xmlns=\"{FLEET}\">{}</fleet>", entries.concat());
        put(
            "fleet",
            Element::parse(&text).map_err(|e| Failed::Data(format!("the fleet as kept: {}", e.reason)))?,
        );
        ledger = EditHistory::restore(accepted.noted.into_iter().map(|n| StoredEdit {
            id: n.id,
            author: n.who,
            digest: n.digest,
            accepted_ms: n.accepted,
        }));
    } else if let Some(accepted) = shelf.read("accepted.xml")? {
        if let Some(fleet) = accepted.child("before").unwrap_or(&accepted).child("fleet") {
            put("fleet", fleet.clone());
        }
        let text = |e: &Element, name: &str| e.text_of(name).unwrap_or_default().to_string();
        let edit = |e: &Arc<Element>| {
            let at = text(e, "accepted").parse().unwrap_or(0);
            StoredEdit {
                id: text(e, "id"),
                author: text(e, "who"),
                digest: text(e, "digest"),
                accepted_ms: at,
            }
        };
        let edits = accepted.child("ledger").map(|l| l.named("edit").map(edit).collect::<Vec<_>>());
        ledger = EditHistory::restore(edits.unwrap_or_default().into_iter());
    }
    let roster = match &found.roster {
        Some(text) => Element::parse(text).ok(),
        None => shelf.read("roster.xml")?,
    };
    if let Some(roster) = roster {
        put("roster", roster);
    }
    Desk::new(Arc::new(data), ledger).map_err(Failed::Data)
}

/// What an earlier start learned of servers that are listed as they were, as far as it still counts.
fn hints(found: &RestoredState, roster: &Inventory) -> Vec<ServerHint> {
    let Some(book) = &found.learned else { return vec![] };
    let hint = |(name, server): (&String, &runloom_inventory::Server)| {
        let hint = book.hint(wall_ms(), name, &server.address.to_string(), server.started_ms)?;
        Some(ServerHint { name: name.clone(), speed_factor: hint.swift, suspicion: hint.doubt })
    };
    roster.servers().iter().filter_map(hint).collect()
}
