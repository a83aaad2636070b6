//! The forwarder's shell: queries in and out by HTTP/1.1, tables by NETCONF from a planner that it dials.

use crate::http::{write_answer, write_query, Bad, Message, Reader};
use crate::tls_credentials::{server_name, CertificateHolder, TlsPolicy, Unusable, PLANNER};
use crate::{earliest, wall_ms, wall_text};
use nanorand::{Rng, WyRand};
use runloom_event_loop::{BufferLimits, CloseReason, ConnectionId, EventLoop, IoEvent, Security};
use runloom_model::forwarder::{ProxySettings, TableDelivery};
use runloom_model::schema::derive;
use runloom_model::{Schema, PROXY, PROXY_XSD, YANG};
use runloom_mqtt::client::{Client, Told as Say, Wish};
use runloom_mqtt::report;
use runloom_mqtt::session::Hello;
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::service::{Access, Change, EditLookup, Host, Limits, Service, CAPABILITIES};
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits as SessionBounds};
use runloom_netconf::tree::Element;
use runloom_proxy::balancer::SelectionMethod;
use runloom_proxy::circuit_breaker::CircuitBreakerConfig;
use runloom_proxy::published_tables;
use runloom_proxy::route_tables::TableError;
use runloom_proxy::{
    AttemptOutcome, Proxy, ProxyConfig, RejectionReason, RequestAction, RequestId, RouteTables,
};
use runloom_versioned_publisher::reader::{ReadOutcome, UpdateReader as Published};
use runloom_versioned_publisher::{Topic, UpdatePart, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Waits between dials to a planner: drawn between these, so that a fleet does not dial in step.
const REDIAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Connections kept open to one server while no query needs them.
const POOL_MOST: usize = 8;
/// A connection to a server stands within this time, or is refused.
const CONNECT: Duration = Duration::from_millis(250);
/// How often certificates and the planner's identity are looked at; before each order besides.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Bytes of a client's further queries that wait while one is out: the client's own bound, not ours.
const AHEAD_MOST: usize = 64 << 10;

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Papers(#[from] Unusable),
    #[error("{0}")]
    Schema(String),
}

/// The datastore that a planner edits: checked and taken whole.
struct Store {
    data: Arc<Element>,
    held: Option<RouteTables>,
    about: Element,
    edits: u64,
}

fn held_of(data: &Element) -> Result<RouteTables, TableError> {
    data.child("tables").map_or_else(|| Ok(RouteTables::default()), RouteTables::read)
}

impl Host for Store {
    fn running(&self) -> Arc<Element> {
        self.data.clone()
    }

    fn state(&mut self) -> Vec<Element> {
        vec![self.about.clone()]
    }

    fn check(&mut self, wanted: &Arc<Element>) -> Result<(), Vec<RpcError>> {
        let error =
            |why: TableError| vec![RpcError::application(Tag::InvalidValue, why.to_string()).at("/tables")];
        held_of(wanted).map(|_| ()).map_err(error)
    }

    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>> {
        let error =
            |why: TableError| vec![RpcError::application(Tag::InvalidValue, why.to_string()).at("/tables")];
        self.held = Some(held_of(change.wanted).map_err(error)?);
        self.data = change.wanted.clone();
        self.edits += 1;
        Ok(())
    }

    fn known(&self, _: &str, _: &str) -> EditLookup {
        EditLookup::New
    }

    fn may(&mut self, _: &str, _: Access) -> Result<(), RpcError> {
        Ok(())
    }

    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)] {
        &YANG
    }
}

struct Caller {
    reader: Reader,
    query: Option<RequestId>,
    close: bool,
}

/// A try on its way: what is sent once the connection stands, and what was.
struct Upstream {
    address: SocketAddr,
    reader: Reader,
    query: Option<RequestId>,
    open: bool,
    dialled: Duration,
}

/// How the planner tells this forwarder its tables.
enum Way {
    /// It edits them.
    Edits { session: Box<Session>, id: u32 },
    /// It publishes them.
    Publishes(Box<Client>),
}

struct Stream {
    conn: ConnectionId,
    planner: SocketAddr,
    way: Way,
    /// Who the planner is, and its certificate.
    holder: CertificateHolder,
    certificate: Vec<u8>,
    /// When to dial anew, before either side's identity ends; seconds since 1970.
    anew_at: Option<i64>,
}

impl Stream {
    fn is_joined(&self) -> bool {
        match &self.way {
            Way::Edits { session, .. } => session.is_open(),
            Way::Publishes(client) => client.is_joined(),
        }
    }
}

struct Out {
    caller: ConnectionId,
    text: Vec<u8>,
    upstream: ConnectionId,
    until: Duration,
}

pub struct ProxyRuntime {
    stand: ProxySettings,
    proxy: Proxy,
    store: Store,
    service: Service,
    security: Security,
    terms: TlsPolicy,
    looked: Duration,
    chance: WyRand,
    stream: Option<Stream>,
    /// What was published to it, and by which planner.
    published: (Published, String),
    dialling: Option<ConnectionId>,
    dial_at: Duration,
    next_planner: usize,
    callers: BTreeMap<ConnectionId, Caller>,
    upstreams: BTreeMap<ConnectionId, Upstream>,
    pool: BTreeMap<SocketAddr, Vec<ConnectionId>>,
    out: BTreeMap<RequestId, Out>,
    limits: BTreeSet<(Duration, RequestId)>,
    next_query: RequestId,
    report_at: Duration,
    reported: Duration,
    listener: ConnectionId,
    /// Queries a second, over some ten seconds.
    rate: f64,
    /// Connections made since a host asked, who has several forwarders on one loop.
    pub made: Vec<ConnectionId>,
    /// Edits and parts taken since a host asked: lines, and which version of a table a part made whole.
    pub taken: Vec<(usize, Option<(Topic, Version)>)>,
    /// Streams that stood since the start.
    pub streams: u64,
    /// Reads nothing that a planner sends, for days on which that happens; what was read before it went deaf waits.
    deaf: bool,
    unheard: Vec<u8>,
    pub stopping: bool,
}

impl ProxyRuntime {
    pub fn start(
        turn: &mut EventLoop,
        stand: ProxySettings,
        seed: u64,
    ) -> Result<(ProxyRuntime, SocketAddr), Failed> {
        let terms = TlsPolicy::load(&stand.papers)?;
        let bounds = BufferLimits {
            idle_timeout: Some(Duration::from_secs(60)),
            max_unsent_bytes: 4 << 20,
            ..BufferLimits::default()
        };
        let (listener, at) = turn.listen(stand.listen, Security::Plain, bounds)?;
        let schema = Schema::root(derive(PROXY_XSD, &["tables"]).map_err(Failed::Schema)?);
        let manner = ProxyConfig {
            selection: SelectionMethod::from_settings(&stand.pick),
            circuit_breaker: CircuitBreakerConfig {
                failure_limit: stand.shun_after,
                open_duration: stand.shun_for,
            },
        };
        let proxy = Proxy::new(manner, stand.classes.clone(), &stand.standing, seed);
        let data = Arc::new(Element::new("", "data"));
        let store = Store { data, held: None, about: Element::default(), edits: 0 };
        tracing::info!(forwarder = %stand.name, listen = %at, "forwarder started");
        let now = turn.now();
        let forwarder = ProxyRuntime {
            report_at: now + stand.report,
            reported: now,
            proxy,
            store,
            service: Service::new(schema, Limits::default()),
            security: match stand.front {
                // RFC 8071: it dials, and is the server all the same.
                TableDelivery::Edits => Security::TlsServer(terms.answers.clone()),
                TableDelivery::Weights | TableDelivery::Subsets => {
                    Security::TlsClient(terms.starts.clone(), server_name(PLANNER))
                }
            },
            stand,
            terms,
            looked: now,
            chance: WyRand::new_seed(seed ^ 0x5151),
            stream: None,
            published: Default::default(),
            dialling: None,
            dial_at: now,
            next_planner: 0,
            callers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            pool: BTreeMap::new(),
            out: BTreeMap::new(),
            limits: BTreeSet::new(),
            next_query: 0,
            listener,
            rate: 0.0,
            made: vec![listener],
            taken: vec![],
            streams: 0,
            deaf: false,
            unheard: vec![],
            stopping: false,
        };
        Ok((forwarder, at))
    }

    pub fn run(&mut self, turn: &mut EventLoop) -> io::Result<()> {
        let mut end: Option<Duration> = None;
        loop {
            for h in turn.wait(earliest([self.wakes_at(), end]))? {
                self.happened(turn, h);
            }
            self.turned(turn);
            if self.stopping && end.is_none() {
                turn.close_listeners();
                // Queries that are out are answered; the longest takes its outer limit.
                let longest = self.stand.classes.iter().map(|c| c.outer_limit).max();
                end = Some(turn.now() + longest.unwrap_or_default());
            }
            if end.is_some_and(|end| turn.now() >= end || self.out.is_empty()) {
                return Ok(());
            }
        }
    }

    pub fn name(&self) -> &str {
        &self.stand.name
    }

    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    pub fn is_joined(&self) -> bool {
        self.stream.as_ref().is_some_and(Stream::is_joined)
    }

    /// A query that came and ended well without a socket, for planners measured at size.
    pub fn meets(&mut self, now: Duration, class: usize, work: Duration) {
        self.next_query += 1;
        if let RequestAction::Send { .. } =
            self.proxy.request_arrived(now.saturating_sub(work), self.next_query, class)
        {
            self.proxy.attempt_ended(now, self.next_query, AttemptOutcome::Success { load: vec![1.0] });
        }
    }

    /// The planner that it is joined to.
    pub fn planner(&self) -> Option<SocketAddr> {
        self.stream.as_ref().filter(|s| s.is_joined()).map(|s| s.planner)
    }

    /// Reads nothing of its stream, or reads again.
    pub fn set_deaf(&mut self, turn: &mut EventLoop, deaf: bool) {
        self.deaf = deaf;
        if let Some(conn) = self.stream.as_ref().filter(|_| !deaf).map(|s| s.conn) {
            turn.hold(conn, false);
            let unheard = std::mem::take(&mut self.unheard);
            self.read_stream(turn, &unheard);
        }
    }

    /// Breaks its stream, for days on which that happens.
    pub fn break_stream(&mut self, turn: &mut EventLoop) {
        if let Some(stream) = self.stream.take() {
            turn.cut(stream.conn);
            self.lost(turn.now(), stream);
        }
    }

    pub fn wakes_at(&self) -> Option<Duration> {
        let dial =
            (self.stream.is_none() && self.dialling.is_none() && !self.stopping).then_some(self.dial_at);
        let limit = self.limits.first().map(|(at, _)| *at);
        let connecting = self.upstreams.values().filter(|u| !u.open).map(|u| u.dialled + CONNECT).min();
        let stream = match self.stream.as_ref().map(|s| &s.way) {
            Some(Way::Publishes(client)) => client.wakes_at(),
            _ => None,
        };
        earliest([dial, limit, connecting, stream, Some(self.report_at), Some(self.looked + LOOK_EVERY)])
    }

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
        if listener == Some(self.listener) {
            self.callers.insert(conn, Caller { reader: Reader::queries(), query: None, close: false });
            self.made.push(conn);
        } else if self.dialling == Some(conn) {
            self.dialling = None;
            let certificate = certificate.unwrap_or_default();
            let who = self.terms.holder(&certificate);
            let Some(who) = who.ok().filter(|w| w.planner) else {
                // Orders are taken from its own planners only.
                tracing::warn!(forwarder = %self.stand.name, "who answered is no planner of this forwarder's");
                turn.cut(conn);
                return self.redial(turn.now());
            };
            let Some(way) = self.way(turn.now(), &who.name) else {
                turn.cut(conn);
                return self.redial(turn.now());
            };
            let planner = self.stand.planners[self.next_planner % self.stand.planners.len()];
            self.unheard.clear();
            let anew_at = self.anew_at(&who);
            // One that was dialled before the old one's identity ends takes its place.
            if let Some(old) = self.stream.take() {
                turn.cut(old.conn);
                if let Way::Edits { id, .. } = old.way {
                    self.service.left(id, &mut self.store);
                }
            }
            self.stream = Some(Stream { conn, planner, way, holder: who, certificate, anew_at });
            self.streams += 1;
            // What was met while nobody listened is old by now.
            self.proxy.take_report(Duration::ZERO);
            self.reported = turn.now();
            self.write_stream(turn);
        } else if let Some(upstream) = self.upstreams.get_mut(&conn) {
            upstream.open = true;
            self.send(turn, conn);
        }
    }

    /// A stream is made anew at two thirds of the time that is left to it: an issuer has put new files there by then, and no
    /// drain is missed between the old stream and the new one.
    fn anew_at(&self, planner: &CertificateHolder) -> Option<i64> {
        let own = self.terms.own()?.until;
        let ends = planner.id.as_ref().map_or(own, |(_, until)| own.min(*until));
        let now = (wall_ms() / 1000) as i64;
        // Not in the very next second, whatever the certificates say.
        Some(now + ((ends - now) * 2 / 3).max(1))
    }

    /// The session with a planner, by its certificate's name.
    fn way(&mut self, now: Duration, planner: &str) -> Option<Way> {
        let wish = match self.stand.front {
            TableDelivery::Edits => {
                let id = self.service.open(planner, now)?;
                let session = Session::new(Role::Server { id }, &CAPABILITIES, SessionBounds::default());
                return Some(Way::Edits { session: Box::new(session), id });
            }
            TableDelivery::Weights => Wish::Weights,
            TableDelivery::Subsets => Wish::Subsets,
        };
        let (reader, of) = &mut self.published;
        reader.broke();
        // Another planner counts its starts and versions for itself.
        let holds = match of == planner {
            true => reader.topics().filter_map(|t| reader.holds(t).map(|(e, v)| (t, e, v))).collect(),
            false => vec![],
        };
        *of = planner.to_string();
        let fresh = !self.proxy.tables().is_from_planner();
        let hello = Hello { zone: self.stand.zone.clone(), rate: self.rate, fresh };
        let client = Client::new(now, planner, &self.stand.name, &hello, wish, holds);
        Some(Way::Publishes(Box::new(client)))
    }

    /// Writes the query that a connection to a server is for.
    fn send(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        let query = self.upstreams.get(&conn).and_then(|u| u.query);
        if let Some(out) = query.and_then(|q| self.out.get(&q)) {
            turn.write(conn, &out.text);
        }
    }

    fn bytes(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.reader.push(bytes);
            self.read_caller(turn, conn);
        } else if self.upstreams.contains_key(&conn) {
            self.read_upstream(turn, conn, bytes);
        } else if self.stream.as_ref().is_some_and(|s| s.conn == conn) {
            if self.deaf {
                // One turn's share at the most: nothing more is read.
                self.unheard.extend_from_slice(bytes);
                turn.hold(conn, true);
                return;
            }
            self.read_stream(turn, bytes);
        }
    }

    fn read_caller(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        if caller.query.is_some() {
            // One query at a time; what comes early waits, within a bound.
            if caller.reader.held() > AHEAD_MOST {
                turn.hold(conn, true);
            }
            return;
        }
        match caller.reader.next_message() {
            Ok(None) => {}
            Ok(Some(query)) => self.came(turn, conn, query),
            Err(bad) => {
                let code = if bad == Bad::Malformed { 400 } else { 413 };
                turn.write(conn, &write_answer(code, &[], b""));
                turn.finish(conn);
                self.callers.remove(&conn);
            }
        }
    }

    /// A query: its class is the first part of its path.
    fn came(&mut self, turn: &mut EventLoop, conn: ConnectionId, mut query: Message) {
        let now = turn.now();
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.close = query.close;
        }
        let class = query.path.split('/').nth(1).and_then(|name| self.proxy.class_index(name));
        let Some(class) = class else {
            return self.answer(turn, conn, &write_answer(404, &[], b"no such class\n"));
        };
        self.next_query += 1;
        let id = self.next_query;
        query.headers.push(("runloom-proxy".into(), self.stand.name.clone()));
        let text = write_query(&query);
        match self.proxy.request_arrived(now, id, class) {
            RequestAction::Send { address, deadline: until, .. } => {
                if let Some(caller) = self.callers.get_mut(&conn) {
                    caller.query = Some(id);
                }
                self.limits.insert((until, id));
                self.out.insert(id, Out { caller: conn, text, upstream: 0, until });
                self.try_at(turn, id, address);
            }
            RequestAction::Reject { reason: why, retry_after: after } => self.refuse(turn, conn, why, after),
            RequestAction::Respond => {}
        }
    }

    /// Sends a query to a server, on a connection that is open already if there is one.
    fn try_at(&mut self, turn: &mut EventLoop, id: RequestId, address: SocketAddr) {
        let pooled = self.pool.get_mut(&address).and_then(Vec::pop);
        let conn = match pooled {
            Some(conn) => conn,
            None => {
                let bounds = BufferLimits {
                    idle_timeout: Some(Duration::from_secs(15)),
                    handshake_timeout: CONNECT,
                    ..BufferLimits::default()
                };
                match turn.dial(address, &Security::Plain, bounds) {
                    Ok(conn) => {
                        let reader = Reader::answers();
                        let dialled = turn.now();
                        self.upstreams
                            .insert(conn, Upstream { address, reader, query: None, open: false, dialled });
                        self.made.push(conn);
                        conn
                    }
                    // No socket to be had: nothing was written.
                    Err(_) => return self.ended(turn, id, AttemptOutcome::ConnectionFailed),
                }
            }
        };
        if let Some(out) = self.out.get_mut(&id) {
            out.upstream = conn;
        }
        let Some(upstream) = self.upstreams.get_mut(&conn) else { return };
        upstream.query = Some(id);
        if upstream.open {
            self.send(turn, conn);
        }
    }

    fn read_upstream(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let Some(upstream) = self.upstreams.get_mut(&conn) else { return };
        upstream.reader.push(bytes);
        let answer = upstream.reader.next_message();
        let Some(id) = upstream.query else {
            // A server that speaks unasked is out of step.
            turn.cut(conn);
            self.drop_upstream(conn);
            return;
        };
        match answer {
            Ok(None) => {}
            Ok(Some(answer)) => {
                upstream.query = None;
                let (address, reusable) = (upstream.address, !answer.close && upstream.reader.held() == 0);
                let pool = self.pool.entry(address).or_default();
                if reusable && pool.len() < POOL_MOST {
                    pool.push(conn);
                } else {
                    turn.cut(conn);
                    self.drop_upstream(conn);
                }
                let load = answer.numbers("runloom-load");
                let how = match answer.code {
                    503 if answer.header("runloom-turned-away").is_some() => {
                        AttemptOutcome::Rejected { load }
                    }
                    500..=599 => AttemptOutcome::ErrorResponse { load },
                    _ => AttemptOutcome::Success { load },
                };
                let text = write_answer(answer.code, &answer.headers, &answer.body);
                self.ended_with(turn, id, how, Some(text));
            }
            Err(_) => {
                turn.cut(conn);
                self.drop_upstream(conn);
                self.ended(turn, id, AttemptOutcome::ClosedAfterWrite);
            }
        }
    }

    fn drop_upstream(&mut self, conn: ConnectionId) {
        if let Some(upstream) = self.upstreams.remove(&conn) {
            if let Some(pool) = self.pool.get_mut(&upstream.address) {
                pool.retain(|c| *c != conn);
            }
        }
    }

    fn ended(&mut self, turn: &mut EventLoop, id: RequestId, how: AttemptOutcome) {
        self.ended_with(turn, id, how, None);
    }

    fn ended_with(
        &mut self,
        turn: &mut EventLoop,
        id: RequestId,
        how: AttemptOutcome,
        text: Option<Vec<u8>>,
    ) {
        let Some(step) = self.proxy.attempt_ended(turn.now(), id, how) else { return };
        match step {
            RequestAction::Send { address, .. } => self.try_at(turn, id, address),
            RequestAction::Respond => {
                if let Some(caller) = self.over(id) {
                    self.answer(turn, caller, &text.unwrap_or_default());
                }
            }
            RequestAction::Reject { reason: why, retry_after: after } => {
                let Some(caller) = self.over(id) else { return };
                match text {
                    // A server's own word of failure goes to the client as it is.
                    Some(text) => self.answer(turn, caller, &text),
                    None => self.refuse(turn, caller, why, after),
                }
            }
        }
    }

    /// The query is over: who asked.
    fn over(&mut self, id: RequestId) -> Option<ConnectionId> {
        let out = self.out.remove(&id)?;
        self.limits.remove(&(out.until, id));
        Some(out.caller)
    }

    fn refuse(
        &mut self,
        turn: &mut EventLoop,
        caller: ConnectionId,
        why: RejectionReason,
        after: Option<Duration>,
    ) {
        let mut headers = vec![("runloom-refused".to_string(), why.header_value().to_string())];
        if let Some(after) = after {
            headers.push(("retry-after".into(), format!("{}", after.as_secs_f64().ceil() as u64)));
            headers.push(("retry-after-ms".into(), after.as_millis().to_string()));
        }
        let code = if why == RejectionReason::DeadlineExceeded { 504 } else { 503 };
        self.answer(turn, caller, &write_answer(code, &headers, b""));
    }

    fn answer(&mut self, turn: &mut EventLoop, conn: ConnectionId, text: &[u8]) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        turn.write(conn, text);
        caller.query = None;
        if caller.close {
            self.callers.remove(&conn);
            turn.finish(conn);
            return;
        }
        turn.hold(conn, false);
        self.read_caller(turn, conn);
    }

    fn closed(&mut self, turn: &mut EventLoop, conn: ConnectionId, why: CloseReason) {
        if let Some(caller) = self.callers.remove(&conn) {
            if let Some(id) = caller.query {
                self.give_up(turn, id);
            }
        } else if let Some(upstream) = self.upstreams.get(&conn) {
            let (query, open) = (upstream.query, upstream.open);
            self.drop_upstream(conn);
            if let Some(id) = query {
                // A connection that never stood carried nothing; one that did may have carried all of it.
                self.ended(
                    turn,
                    id,
                    if open { AttemptOutcome::ClosedAfterWrite } else { AttemptOutcome::ConnectionFailed },
                );
            }
        } else if self.dialling == Some(conn) {
            self.dialling = None;
            tracing::debug!(forwarder = %self.stand.name, ?why, "no planner answered");
            self.redial(turn.now());
        } else if let Some(stream) = self.stream.take_if(|s| s.conn == conn) {
            tracing::info!(forwarder = %self.stand.name, ?why, "stream lost; tables stay in force");
            self.lost(turn.now(), stream);
        }
    }

    fn lost(&mut self, now: Duration, stream: Stream) {
        if let Way::Edits { id, .. } = stream.way {
            self.service.left(id, &mut self.store);
        }
        self.published.0.broke();
        self.redial(now);
    }

    fn redial(&mut self, now: Duration) {
        let (least, most) = (REDIAL.0.as_millis() as u64, REDIAL.1.as_millis() as u64);
        // The next in the list, whether the last one broke off or never answered.
        self.next_planner += 1;
        self.dial_at = now + Duration::from_millis(self.chance.generate_range(least..=most));
    }

    /// Given up on: by the client, or since the outer limit passed.
    fn give_up(&mut self, turn: &mut EventLoop, id: RequestId) {
        let upstream = self.out.get(&id).map(|o| o.upstream);
        self.over(id);
        self.proxy.cancel_request(turn.now(), id);
        if let Some(conn) = upstream.filter(|c| self.upstreams.get(c).is_some_and(|u| u.query == Some(id))) {
            // Its answer would be taken for the next query's.
            turn.cut(conn);
            self.drop_upstream(conn);
        }
    }

    /// Ends a stream whose planner's identity has ended, or is vouched for no more: nothing of it is taken from then on,
    /// and tables stay in force.
    fn ended_identity(&mut self, turn: &mut EventLoop, renewed: bool) -> bool {
        let now = (wall_ms() / 1000) as i64;
        let Some(stream) = &self.stream else { return false };
        let over = stream.holder.has_ended(now) || (renewed && !self.terms.vouches(&stream.certificate));
        if over {
            tracing::warn!(forwarder = %self.stand.name, "the planner's identity has ended, or is trusted no more");
            self.break_stream(turn);
        }
        over
    }

    /// Certificates that changed are read again.
    fn identities(&mut self, turn: &mut EventLoop) {
        let renewed = match self.terms.renew() {
            Ok(renewed) => renewed,
            Err(why) => {
                tracing::error!(forwarder = %self.stand.name, %why, "new certificates cannot be used");
                false
            }
        };
        self.ended_identity(turn, renewed);
    }

    fn read_stream(&mut self, turn: &mut EventLoop, bytes: &[u8]) {
        if self.ended_identity(turn, false) {
            return;
        }
        let Some(stream) = self.stream.as_mut() else { return };
        let mut heard = match &mut stream.way {
            Way::Edits { session, .. } => session.take(bytes),
            Way::Publishes(_) => return self.read_published(turn, bytes),
        };
        loop {
            let batch = match heard {
                Ok(batch) => batch,
                Err(broken) => {
                    tracing::warn!(forwarder = %self.stand.name, reason = %broken, "stream ends");
                    self.write_stream(turn);
                    return self.break_stream(turn);
                }
            };
            let count = batch.len();
            for h in batch {
                self.stream_heard(turn, h);
            }
            match self.stream.as_mut().map(|s| &mut s.way) {
                Some(Way::Edits { session, .. }) if session.may_hold_more(count) => heard = session.more(),
                _ => break,
            }
        }
        self.write_stream(turn);
    }

    fn stream_heard(&mut self, turn: &mut EventLoop, heard: SessionEvent) {
        let SessionEvent::Rpc(rpc) = heard else { return };
        if rpc.operation().name == "get" {
            self.store.about = Element::new(PROXY, "proxy")
                .with_leaf("name", &self.stand.name)
                .with_leaf("zone", &self.stand.zone)
                .with_leaf("rate", format!("{:.3}", self.rate))
                .with_leaf("fresh", !self.proxy.tables().is_from_planner());
        }
        let Some(Way::Edits { session, id }) = self.stream.as_mut().map(|s| &mut s.way) else { return };
        let answer = self.service.handle(turn.now(), *id, &rpc, &mut self.store);
        session.reply(&rpc, answer.content);
        if let Some(held) = self.store.held.take() {
            let lines =
                rpc.operation().child("config").and_then(|c| c.child("tables")).map_or(0, count_lines);
            self.taken.push((lines, None));
            self.proxy.replace_tables(held);
        }
    }

    fn write_stream(&mut self, turn: &mut EventLoop) {
        let Some(stream) = self.stream.as_mut() else { return };
        let bytes = match &mut stream.way {
            Way::Edits { session, .. } => session.output(usize::MAX),
            Way::Publishes(client) => client.output(),
        };
        turn.write(stream.conn, &bytes);
    }

    fn read_published(&mut self, turn: &mut EventLoop, bytes: &[u8]) {
        let now = turn.now();
        let Some(Way::Publishes(client)) = self.stream.as_mut().map(|s| &mut s.way) else { return };
        for told in client.take(now, bytes) {
            if let Say::Part(id, part) = told {
                let good = self.take_part(&part);
                if let Some(Way::Publishes(client)) = self.stream.as_mut().map(|s| &mut s.way) {
                    client.answer(now, id, good);
                }
            }
        }
        self.end_published(turn);
    }

    /// Takes a part of a table. False: it was of no use, and the table is to be told anew.
    fn take_part(&mut self, part: &UpdatePart) -> bool {
        let reader = &mut self.published.0;
        match reader.take(part) {
            ReadOutcome::Waits => true,
            ReadOutcome::Lacks | ReadOutcome::Stale => false,
            ReadOutcome::Now(version) => match published_tables::tables_after_update(reader, part.topic) {
                Ok(held) => {
                    self.taken.push((part.changes.len(), Some((part.topic, version))));
                    held.into_iter().for_each(|held| self.proxy.replace_tables(held));
                    true
                }
                Err(unusable) => {
                    let (name, why) = (&self.stand.name, unusable.error.to_string());
                    tracing::warn!(forwarder = %name, table = ?unusable.topic, why, "a table cannot be used");
                    reader.forget(unusable.topic);
                    false
                }
            },
        }
    }

    /// Writes what the subscription has to say, and ends the stream with it.
    fn end_published(&mut self, turn: &mut EventLoop) {
        self.write_stream(turn);
        let Some(Way::Publishes(client)) = self.stream.as_ref().map(|s| &s.way) else { return };
        if let Some(over) = client.over() {
            tracing::info!(forwarder = %self.stand.name, ?over, "stream ends; tables stay in force");
            self.break_stream(turn);
        }
    }

    /// After all that happened in a turn: limits, reports, dials.
    pub fn turned(&mut self, turn: &mut EventLoop) {
        let now = turn.now();
        while let Some((at, id)) = self.limits.first().copied().filter(|(at, _)| *at <= now) {
            self.limits.remove(&(at, id));
            let caller = self.out.get(&id).map(|o| o.caller);
            self.give_up(turn, id);
            if let Some(caller) = caller {
                self.refuse(turn, caller, RejectionReason::DeadlineExceeded, None);
            }
        }
        let stalled =
            |(c, u): (&ConnectionId, &Upstream)| (!u.open && now >= u.dialled + CONNECT).then_some(*c);
        let stalled: Vec<ConnectionId> = self.upstreams.iter().filter_map(stalled).collect();
        for conn in stalled {
            turn.cut(conn);
            self.closed(turn, conn, CloseReason::Slow);
        }
        if now >= self.looked + LOOK_EVERY {
            self.looked = now;
            self.identities(turn);
        }
        if now >= self.report_at {
            self.report(turn, now);
        }
        if let Some(Way::Publishes(client)) = self.stream.as_mut().map(|s| &mut s.way) {
            if client.wakes_at().is_some_and(|at| now >= at) {
                client.wake(now);
                self.end_published(turn);
            }
        }
        let wall = (wall_ms() / 1000) as i64;
        let anew = self.stream.as_ref().is_some_and(|s| s.anew_at.is_some_and(|at| wall >= at));
        let idle = (self.stream.is_none() || anew) && self.dialling.is_none() && !self.stopping;
        if idle && now >= self.dial_at && !self.stand.planners.is_empty() {
            let to = self.stand.planners[self.next_planner % self.stand.planners.len()];
            let bounds = BufferLimits::default();
            match turn.dial(to, &self.security, bounds) {
                Ok(conn) => {
                    self.made.push(conn);
                    self.dialling = Some(conn);
                    // The old one's planner is tried again only after a pause, like any other.
                    self.dial_at = now + REDIAL.1;
                }
                Err(_) => self.redial(now),
            }
        }
    }

    fn report(&mut self, turn: &mut EventLoop, now: Duration) {
        self.report_at = now + self.stand.report;
        if let Some(Way::Publishes(client)) = self.stream.as_ref().map(|s| &s.way) {
            if client.is_joined() && !client.can_report() {
                // The planner has not taken the last ones yet: this one comes with the next.
                return;
            }
        }
        let span = now.saturating_sub(self.reported).max(Duration::from_millis(1));
        self.reported = now;
        let report = self.proxy.take_report(span);
        let came: u64 = report.came.iter().map(|c| c.queries).sum();
        let pace = came as f64 / span.as_secs_f64();
        let part = (span.as_secs_f64() / 10.0).min(1.0);
        self.rate += (pace - self.rate) * if self.rate == 0.0 { 1.0 } else { part };
        match self.stream.as_mut().map(|s| &mut s.way) {
            Some(Way::Edits { session, id }) => {
                let event = report.element();
                if self.service.subscribers(&event).contains(id) {
                    session.notify(&wall_text(), event);
                }
            }
            Some(Way::Publishes(client)) if client.is_joined() => client.report(now, report::write(&report)),
            _ => {}
        }
        self.write_stream(turn);
    }
}

fn count_lines(tables: &Element) -> usize {
    let table = |t: &Arc<Element>| t.children.iter().filter(|c| c.name != "id").count();
    let others = tables.children.iter().filter(|c| c.name != "table").count();
    tables.named("table").map(table).sum::<usize>() + others
}
