//! Handles connections and their messages according to each connection's role.

use crate::action::Action;
use crate::framing;
use crate::message::{self, MalformedMessage, Message};
use crate::platform::PlatformPlanner;
use crate::session::{ConnectionId, Role};
use runloom_controller::{Event, ProxyId};
use std::time::Duration;

const PONG: &[u8] = br#"{"t":"PONG"}"#;
const NACK: &[u8] = br#"{"t":"NACK"}"#;

impl PlatformPlanner {
    /// Adds an accepted connection, which has yet to identify itself.
    pub fn handle_opened(&mut self, conn: ConnectionId, now: Duration) {
        self.sessions.open(conn, now);
    }

    /// Handles the end of a connection: disconnects its proxy, if it was a stream.
    pub fn handle_closed(&mut self, conn: ConnectionId) {
        if let Some(Role::Stream(proxy)) = self.sessions.remove(conn) {
            self.disconnect_proxy(proxy);
        }
    }

    /// Handles received bytes, which may end anywhere within a frame.
    pub fn handle_bytes(&mut self, conn: ConnectionId, bytes: &[u8], now: Duration) {
        match self.sessions.get_mut(conn) {
            Some(session) => session.reader.push(bytes),
            None => return,
        }
        let mut has_completed_message = false;
        while let Some(session) = self.sessions.get_mut(conn) {
            match session.reader.next_message() {
                Ok(None) => break,
                Ok(Some(value)) => {
                    has_completed_message = true;
                    let role = session.role;
                    if let Role::Stream(proxy) = role {
                        self.tables.note_received(proxy, now);
                    }
                    let message = message::parse(&value, &self.names);
                    self.handle_message(conn, role, message, now);
                }
                Err(_) => self.reject(conn),
            }
        }
        self.sessions.update_deadline(conn, has_completed_message, now);
    }

    /// Replies `NACK` and closes a connection that violated the protocol or missed a deadline, or that is evicted.
    pub(crate) fn reject(&mut self, conn: ConnectionId) {
        self.counters.rejected += 1;
        self.reply(conn, NACK);
        self.actions.push(Action::Close { conn });
        self.handle_closed(conn);
    }

    fn reply(&mut self, conn: ConnectionId, body: &[u8]) {
        let mut bytes = Vec::new();
        framing::write_frame(&mut bytes, body);
        self.actions.push(Action::Write { conn, bytes });
    }

    fn handle_message(
        &mut self,
        conn: ConnectionId,
        role: Role,
        message: Result<Message, MalformedMessage>,
        now: Duration,
    ) {
        match (role, message) {
            (_, Ok(Message::Ping)) => self.reply(conn, PONG),
            (Role::Unidentified, Ok(Message::RegisterCollector { zone })) => {
                if let Some(replaced) = self.sessions.register_collector(conn, zone) {
                    self.actions.push(Action::Close { conn: replaced });
                }
            }
            (Role::Unidentified, Ok(Message::Event(event @ Event::ProxyConnected { proxy, .. }))) => {
                self.connect_proxy(conn, proxy, event, now);
            }
            // Clients of this planner identify themselves with their first message, pings aside.
            (Role::Unidentified, _) => self.reject(conn),
            (_, Ok(Message::Event(event))) => self.handle_event(role, event, now),
            (_, Ok(Message::RegisterCollector { .. }) | Err(_)) => self.counters.malformed += 1,
        }
    }

    /// Handles an event from an identified connection; one that its role may not send counts as malformed.
    fn handle_event(&mut self, role: Role, event: Event, now: Duration) {
        match event {
            Event::OutcomeReport { .. } if matches!(role, Role::Collector(_)) => self.events.push(event),
            Event::ArrivalReport { proxy, .. } if self.may_report_arrivals(role, proxy) => {
                self.events.push(event);
            }
            Event::UpdateAcknowledged { proxy, ack_token, .. } if role == Role::Stream(proxy) => {
                if self.tables.acknowledge(proxy, ack_token) {
                    let wait = self.tables.take_table_wait(proxy, now).unwrap_or_default();
                    self.counters.longest_table_wait = self.counters.longest_table_wait.max(wait);
                    self.events.push(event);
                } else {
                    self.counters.unexpected_acks += 1;
                }
            }
            _ => self.counters.malformed += 1,
        }
    }

    /// Whether a connection may report arrivals at a proxy: the proxy is connected, and the connection is its own
    /// stream or a collector of any zone.
    fn may_report_arrivals(&self, role: Role, proxy: ProxyId) -> bool {
        let is_connected = self.sessions.stream(proxy).is_some();
        is_connected && (role == Role::Stream(proxy) || matches!(role, Role::Collector(_)))
    }

    /// Makes a connection the stream of a proxy. It replaces an older stream whose end was not yet seen; input from
    /// that one is ignored from then on.
    fn connect_proxy(&mut self, conn: ConnectionId, proxy: ProxyId, connected: Event, now: Duration) {
        if let Some(replaced) = self.sessions.register_stream(conn, proxy) {
            self.counters.taken_over += 1;
            self.actions.push(Action::Close { conn: replaced });
            self.disconnect_proxy(proxy);
        }
        self.counters.connected += 1;
        self.tables.connect(proxy, now);
        self.events.push(connected);
    }

    fn disconnect_proxy(&mut self, proxy: ProxyId) {
        self.counters.disconnected += 1;
        self.tables.disconnect(proxy);
        self.events.push(Event::ProxyDisconnected { proxy });
    }
}
