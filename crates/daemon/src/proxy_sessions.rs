//! Proxies at a planner, on either front: those that called home and are edited, and those that subscribe. What they
//! are told and what is in force at them is the front's core matter; here are their connections.

use crate::planner_runtime::{Peer, Planner};
use crate::tls_credentials::CertificateHolder;
use crate::wall_ms;
use runloom_distribution::suspicion::Verdict;
use runloom_distribution::{Outgoing, PendingProxy, Transport};
use runloom_event_loop::{CloseReason, ConnectionId, EventLoop};
use runloom_model::order::Report;
use runloom_model::PROXY as PROXY_NS;
use runloom_mqtt::session::{Session as Subscription, SessionEvent as Said};
use runloom_mqtt::{body, report, ConnectionEnd, ProxyInfo};
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits as SessionBounds};
use runloom_netconf::tree::Element;
use runloom_netconf::{BASE, NOTIFY};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter, UpdatePart, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often silent streams are looked for: the protocol's own time is 15 s.
const SWEEP: Duration = Duration::from_millis(250);
/// Parts kept as text: a table of 8,192 lines in all the steps that some proxies are behind.
const BODIES_MOST: usize = 1024;

/// Parts as text: proxies at one position get the same bytes.
pub(crate) type Bodies = BTreeMap<(u64, Topic, Option<Version>, Version, usize), Arc<[u8]>>;

/// A joined proxy.
pub(crate) struct Joined {
    pub conn: ConnectionId,
    pub name: String,
    pub zone: String,
    pub rate: f64,
    pub way: Transport,
}

/// A proxy that called home.
pub(crate) struct Home {
    pub holder: CertificateHolder,
    pub session: Session,
    /// The message that asks for what it is.
    asked: Option<String>,
    pub proxy: Option<usize>,
    /// Messages that it has yet to confirm, by their id: the front's number, and when it was sent.
    orders: BTreeMap<String, (u64, Duration)>,
}

impl Home {
    pub fn new(holder: CertificateHolder) -> Home {
        let session = Session::new(Role::Client, &[], SessionBounds::default());
        Home { holder, session, asked: None, proxy: None, orders: BTreeMap::new() }
    }
}

/// A proxy that subscribes.
pub(crate) struct Stream {
    pub holder: CertificateHolder,
    session: Subscription,
    hello: ProxyInfo,
    wanted: Vec<TopicFilter>,
    pub proxy: Option<usize>,
    /// When messages that it has yet to confirm were sent.
    sent: BTreeMap<u64, Duration>,
}

impl Stream {
    pub fn new(now: Duration, planner: &str, holder: CertificateHolder) -> Stream {
        let session = Subscription::new(now, planner, &holder.name);
        Stream {
            holder,
            session,
            hello: ProxyInfo::default(),
            wanted: vec![],
            proxy: None,
            sent: BTreeMap::new(),
        }
    }
}

impl Planner {
    pub(crate) fn home_heard(&mut self, turn: &mut EventLoop, conn: ConnectionId, heard: SessionEvent) {
        let now = turn.now();
        let Some(Peer::Home(home)) = self.peers.get_mut(&conn) else { return };
        match heard {
            SessionEvent::Open { .. } => {
                home.session.ask(Element::new(NOTIFY, "create-subscription"));
                let wish = Element::new(BASE, "filter").with(Element::new(PROXY_NS, "proxy"));
                home.asked = Some(home.session.ask(Element::new(BASE, "get").with(wish)));
                self.write_out(turn, conn);
            }
            SessionEvent::Reply { message_id, reply } if home.asked.as_ref() == Some(&message_id) => {
                home.asked = None;
                self.home_came(turn, conn, &reply);
            }
            SessionEvent::Reply { message_id, reply } => {
                let Some((number, sent)) = home.orders.remove(&message_id) else { return };
                let Some(proxy) = home.proxy else { return };
                if let Some(error) = reply.child("rpc-error") {
                    // What a proxy refuses it does not hold: it joins anew and is told everything.
                    let why = error.text_of("error-message").unwrap_or_default();
                    tracing::error!(proxy = %home.holder.name, why, "a proxy refused an order");
                    turn.cut(conn);
                    return self.closed(turn, conn, CloseReason::Broken);
                }
                self.confirmed.saturating_record(now.saturating_sub(sent).as_micros() as u64);
                let order = self.front.acknowledged(now, proxy, number);
                self.in_force(now, proxy, order);
            }
            SessionEvent::Notified(event) => {
                if let (Some(proxy), Some(report)) = (home.proxy, Report::read(&event)) {
                    self.reported(turn, conn, proxy, &report);
                }
            }
            SessionEvent::Rpc(_) => {}
        }
    }

    /// A proxy that called home said what it is.
    fn home_came(&mut self, turn: &mut EventLoop, conn: ConnectionId, reply: &Element) {
        let Some(Peer::Home(home)) = self.peers.get(&conn) else { return };
        let empty = Element::default();
        let told = reply.child("data").and_then(|d| d.child("proxy")).unwrap_or(&empty);
        let name = told.text_of("name").unwrap_or_default();
        if name != home.holder.name {
            // An instance may report only about itself.
            tracing::warn!(holder = %home.holder.name, name, "a proxy goes by another's name");
            turn.cut(conn);
            return self.closed(turn, conn, CloseReason::Untrusted);
        }
        let newcomer = PendingProxy {
            connection: conn,
            name: name.to_string(),
            zone: told.text_of("zone").unwrap_or_default().to_string(),
            request_rate: told.text_of("rate").and_then(|r| r.parse().ok()).unwrap_or(0.0),
            has_no_table: told.text_of("fresh") == Some("true"),
            transport: Transport::Edits,
            filters: vec![TopicFilter::ALL],
            held: vec![],
        };
        self.came(turn, newcomer);
    }

    fn came(&mut self, turn: &mut EventLoop, newcomer: PendingProxy) {
        let conn = newcomer.connection;
        if let Some(other) = self.front.waiting_connection(&newcomer.name).filter(|other| *other != conn) {
            self.taken_over(turn, other);
        }
        if !self.front.enqueue(turn.now(), newcomer) {
            tracing::warn!("turned away: too many proxies wait to be let in");
            turn.cut(conn);
            self.closed(turn, conn, CloseReason::Refused);
        }
    }

    /// Lets in those whose turn it is.
    pub(crate) fn admit(&mut self, turn: &mut EventLoop, now: Duration) {
        while let Some(newcomer) = self.front.admit_next(now) {
            let PendingProxy {
                connection: conn,
                transport: way,
                has_no_table: fresh,
                request_rate: rate,
                ..
            } = newcomer;
            let (name, zone) = (newcomer.name.clone(), newcomer.zone.clone());
            let place = match self.peers.get_mut(&conn) {
                Some(Peer::Home(home)) => &mut home.proxy,
                Some(Peer::Stream(stream)) => &mut stream.proxy,
                _ => continue,
            };
            let proxy = self.driver.connect_proxy(&name, &zone, rate, fresh);
            *place = Some(proxy);
            self.front.connect(proxy, newcomer);
            self.desk.ledger.disconnect_proxy(proxy);
            tracing::info!(proxy = %name, zone = %zone, rate, fresh, published = way == Transport::Published, "joined");
            let joined = Joined { conn, name, zone, rate, way };
            if let Some(old) = self.joined.insert(proxy, joined).filter(|old| old.conn != conn) {
                // The same proxy on a newer stream; the old one is half open, or another holder of its certificate.
                self.taken_over(turn, old.conn);
            }
        }
    }

    /// Another connection of the same name stands in a connection's place.
    fn taken_over(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        if let Some(Peer::Stream(mut stream)) = self.peers.remove(&conn) {
            tracing::warn!(proxy = %stream.holder.name, "another connection of this name took over");
            stream.session.take_over(turn.now());
            turn.write(conn, &stream.session.output());
            turn.finish(conn);
        } else {
            turn.cut(conn);
        }
    }

    /// A proxy's connection ended.
    pub(crate) fn proxy_closed(
        &mut self,
        conn: ConnectionId,
        name: &str,
        proxy: Option<usize>,
        why: CloseReason,
    ) {
        self.front.cancel_waiting(name, conn);
        if let Some(proxy) = proxy.filter(|p| self.joined.get(p).is_some_and(|j| j.conn == conn)) {
            tracing::info!(proxy = %name, ?why, "left");
            self.joined.remove(&proxy);
            self.driver.disconnect_proxy(proxy);
            self.front.disconnect(proxy);
            self.desk.ledger.disconnect_proxy(proxy);
        }
    }

    /// An order, and so all before it, is in force at a proxy.
    fn in_force(&mut self, now: Duration, proxy: usize, order: Option<u64>) {
        if let Some(order) = order {
            self.driver.acknowledge(now, proxy, order);
            self.desk.ledger.acknowledge(proxy, order);
        }
    }

    fn reported(&mut self, turn: &mut EventLoop, conn: ConnectionId, proxy: usize, report: &Report) {
        let now = turn.now();
        self.driver.handle_report(now, proxy, report);
        let tried = report.met.iter().filter(|m| m.tries > 0).map(|m| m.server.as_str());
        match self.front.check_report(now, proxy, report.span, tried) {
            Verdict::Trusted => {}
            Verdict::Resync => {
                let proxy = self.driver.proxy_name(proxy);
                tracing::warn!(proxy, "it tries servers that it confirmed to be out: told its tables anew");
            }
            Verdict::Disconnect => {
                let name = self.driver.proxy_name(proxy);
                tracing::error!(proxy = name, "let go: it does not do what it confirms");
                turn.cut(conn);
                self.closed(turn, conn, CloseReason::Refused);
            }
        }
    }

    // Those that subscribe.

    pub(crate) fn stream_bytes(&mut self, turn: &mut EventLoop, conn: ConnectionId, bytes: &[u8]) {
        let now = turn.now();
        let Some(Peer::Stream(stream)) = self.peers.get_mut(&conn) else { return };
        for said in stream.session.receive(now, bytes) {
            self.said(turn, conn, said);
        }
        self.stream_out(turn, conn);
    }

    fn said(&mut self, turn: &mut EventLoop, conn: ConnectionId, said: Said) {
        let now = turn.now();
        let Some(Peer::Stream(stream)) = self.peers.get_mut(&conn) else { return };
        match said {
            Said::Connected(hello) => stream.hello = hello,
            Said::Subscribed { filters: wanted, held: holds } => {
                stream.wanted.extend(wanted);
                if stream.proxy.is_none() {
                    self.stream_came(turn, conn, holds);
                }
            }
            Said::Unsubscribed { filters: wanted } => {
                stream.wanted.retain(|w| !wanted.contains(w));
                // Without its tables it cannot be ordered, and would be taken for one that is.
                tracing::warn!(proxy = %stream.holder.name, "let go: it wants its tables no more");
                turn.finish(conn);
                self.closed(turn, conn, CloseReason::Ended);
            }
            Said::Report(bytes) => {
                let (proxy, read) = (stream.proxy, report::decode(&bytes));
                match (proxy, read) {
                    (Some(proxy), Ok(report)) => self.reported(turn, conn, proxy, &report),
                    (None, _) => {}
                    (_, Err(why)) => {
                        self.unread_reports += 1;
                        tracing::debug!(proxy = %stream.holder.name, why = why.to_string(), "a report cannot be read");
                    }
                }
            }
            Said::Acknowledged(number) => {
                let sent = stream.sent.remove(&number);
                let Some(proxy) = stream.proxy else { return };
                if let Some(sent) = sent {
                    self.confirmed.saturating_record(now.saturating_sub(sent).as_micros() as u64);
                }
                let order = self.front.acknowledged(now, proxy, number);
                self.in_force(now, proxy, order);
            }
            Said::Rejected(number, topic) => {
                stream.sent.remove(&number);
                let Some(proxy) = stream.proxy else { return };
                let rejection = self.front.rejected(now, proxy, number, topic);
                self.in_force(now, proxy, rejection.in_force);
                if rejection.verdict == Verdict::Disconnect {
                    tracing::error!(proxy = self.driver.proxy_name(proxy), "let go: it can use no message");
                    turn.finish(conn);
                    self.closed(turn, conn, CloseReason::Refused);
                }
            }
        }
    }

    fn stream_came(&mut self, turn: &mut EventLoop, conn: ConnectionId, holds: Vec<(Topic, HeldVersion)>) {
        let Some(Peer::Stream(stream)) = self.peers.get(&conn) else { return };
        let newcomer = PendingProxy {
            connection: conn,
            name: stream.holder.name.clone(),
            zone: stream.hello.zone.clone(),
            request_rate: stream.hello.request_rate,
            has_no_table: stream.hello.has_no_table,
            transport: Transport::Published,
            filters: stream.wanted.clone(),
            held: holds,
        };
        if newcomer.can_apply_tables() {
            self.came(turn, newcomer);
        }
    }

    /// Writes what a subscription has to say, and closes one that is over.
    fn stream_out(&mut self, turn: &mut EventLoop, conn: ConnectionId) {
        let Some(Peer::Stream(stream)) = self.peers.get_mut(&conn) else { return };
        turn.write(conn, &stream.session.output());
        let why = match stream.session.end() {
            None => return,
            Some(ConnectionEnd::Disconnected) => CloseReason::Ended,
            Some(ConnectionEnd::TimedOut) => CloseReason::Idle,
            Some(ConnectionEnd::Rejected(reason)) => {
                tracing::warn!(proxy = %stream.holder.name, reason, "stream ends");
                CloseReason::Broken
            }
        };
        turn.finish(conn);
        self.closed(turn, conn, why);
    }

    /// Streams that are silent, and proxies that leave a message without a word.
    pub(crate) fn sweep(&mut self, turn: &mut EventLoop, now: Duration) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        self.identities(turn, now);
        let silent = |(conn, peer): (&ConnectionId, &mut Peer)| {
            let Peer::Stream(stream) = peer else { return None };
            stream.session.handle_timeout(now);
            stream.session.end().map(|_| *conn)
        };
        let silent: Vec<ConnectionId> = self.peers.iter_mut().filter_map(silent).collect();
        silent.into_iter().for_each(|conn| self.stream_out(turn, conn));
        let patience = self.desk.fleet().grace.reply;
        for (name, _) in self.front.publisher().overdue(now, patience) {
            let conn = self.driver.proxy(&name).and_then(|p| self.joined.get(&p)).map(|j| j.conn);
            if let Some(conn) = conn {
                tracing::warn!(proxy = %name, "let go: it does not confirm what it is told");
                turn.cut(conn);
                self.closed(turn, conn, CloseReason::Unread);
            }
        }
    }

    /// Tells proxies what they lack.
    pub(crate) fn tell(&mut self, turn: &mut EventLoop) {
        let now = turn.now();
        for (proxy, order) in self.front.take_completed() {
            self.in_force(now, proxy, Some(order));
        }
        if self.bodies.len() > BODIES_MOST {
            self.bodies.clear();
        }
        let wall = (wall_ms() / 1000) as i64;
        for proxy in self.front.take_ready() {
            let Some(conn) = self.joined.get(&proxy).map(|j| j.conn) else { continue };
            // No order passes on an identity that has ended, however short ago.
            if self.ends.get(&conn).is_some_and(|(holder, _)| holder.has_ended(wall)) {
                self.cut_off(turn, conn);
                continue;
            }
            while self.has_room(conn) {
                match self.front.next_message(now, proxy) {
                    Some(Outgoing::Edit { number, text, .. }) => self.tell_home(now, conn, number, &text),
                    Some(Outgoing::Part { number, part }) => self.tell_stream(now, conn, number, &part),
                    None => break,
                }
            }
            match self.peers.get(&conn) {
                Some(Peer::Stream(_)) => self.stream_out(turn, conn),
                _ => self.write_out(turn, conn),
            }
        }
    }

    /// A front that has no room is told more with its next confirmation.
    fn has_room(&self, conn: ConnectionId) -> bool {
        match self.peers.get(&conn) {
            Some(Peer::Stream(stream)) => stream.session.available_messages() > 0,
            Some(Peer::Home(_)) => true,
            _ => false,
        }
    }

    fn tell_home(&mut self, now: Duration, conn: ConnectionId, number: u64, text: &str) {
        let Some(Peer::Home(home)) = self.peers.get_mut(&conn) else { return };
        let message_id = home.session.ask_text(text);
        home.orders.insert(message_id, (number, now));
    }

    fn tell_stream(&mut self, now: Duration, conn: ConnectionId, number: u64, part: &UpdatePart) {
        let Some(Peer::Stream(stream)) = self.peers.get_mut(&conn) else { return };
        let key = (part.epoch, part.topic, part.base_version, part.version, part.part);
        let text = self.bodies.entry(key).or_insert_with(|| body::encode(part).into());
        stream.session.publish(now, number, part.topic, text.clone());
        stream.sent.insert(number, now);
    }
}
