//! Sessions of connections: their roles, deadlines and limits.

use crate::framing::{FrameReader, MAX_FIRST_MESSAGE_BYTES, MAX_MESSAGE_BYTES};
use runloom_controller::{ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifier of a connection; newer connections have higher ones.
pub type ConnectionId = usize;

/// A connection has to identify itself within this time.
///
/// The protocol allows closing after one second and requires it within three.
pub const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// The age from which an unidentified connection without a partial message may be evicted to make room.
const MIN_SILENT_AGE: Duration = Duration::from_millis(100);
/// The age from which an unidentified connection with a partial message may be evicted to make room.
const MIN_PARTIAL_AGE: Duration = Duration::from_millis(400);
/// The time within which an identified connection has to complete a message that it has begun.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Unidentified connections that are accepted even at the connection limit, so that a proxy can replace a dead
/// connection.
const MIN_UNIDENTIFIED: usize = 4;
/// Maximum number of concurrent collectors of one zone: the current one and its successor.
const MAX_COLLECTORS_PER_ZONE: usize = 2;

/// The role in which a connection has identified itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The connection has not identified itself yet.
    Unidentified,
    /// Sends outcome and arrival reports of a zone.
    Collector(ZoneId),
    /// Receives updates for a proxy; sends its acknowledgements and arrival reports.
    Stream(ProxyId),
}

/// The state of one connection.
#[derive(Debug)]
pub struct Session {
    /// Splits the received bytes into messages.
    pub reader: FrameReader,
    /// The role in which it has identified itself.
    pub role: Role,
    opened_at: Duration,
    /// When its incomplete message began; `None` if there is none.
    partial_since: Option<Duration>,
}

impl Session {
    fn is_unidentified(&self) -> bool {
        self.role == Role::Unidentified
    }

    fn has_partial_message(&self) -> bool {
        self.partial_since.is_some()
    }

    /// When it is closed unless it identifies itself or completes its message.
    fn deadline(&self) -> Option<Duration> {
        match self.role {
            Role::Unidentified => Some(self.opened_at + IDENTIFICATION_TIMEOUT),
            Role::Collector(_) | Role::Stream(_) => self.partial_since.map(|since| since + MESSAGE_TIMEOUT),
        }
    }

    fn is_expired(&self, now: Duration) -> bool {
        self.deadline().is_some_and(|deadline| now >= deadline)
    }

    /// The time from which it may be evicted to make room, unless it has identified itself.
    fn evictable_at(&self) -> Duration {
        self.opened_at + if self.has_partial_message() { MIN_PARTIAL_AGE } else { MIN_SILENT_AGE }
    }

    fn is_evictable(&self, now: Duration) -> bool {
        self.is_unidentified() && !self.is_expired(now) && now >= self.evictable_at()
    }
}

/// Numbers of open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionCounts {
    /// Streams, one for each connected proxy.
    pub streams: usize,
    /// Connections that have not identified themselves.
    pub unidentified: usize,
}

/// The sessions of all connections.
#[derive(Debug, Default)]
pub struct Sessions {
    by_connection: BTreeMap<ConnectionId, Session>,
    streams: BTreeMap<ProxyId, ConnectionId>,
    unidentified: usize,
    /// Connections that may have a deadline: unidentified ones, and those with part of a message.
    with_deadline: BTreeSet<ConnectionId>,
    max_connections: usize,
}

impl Sessions {
    /// Sessions for at most `max_connections` connections of all roles.
    pub fn new(max_connections: usize) -> Sessions {
        Sessions { max_connections, ..Sessions::default() }
    }

    /// The number of unidentified connections that the limit allows now.
    fn max_unidentified(&self) -> usize {
        let identified = self.by_connection.len() - self.unidentified;
        self.max_connections.saturating_sub(identified).max(MIN_UNIDENTIFIED)
    }

    /// Whether the connection limit is reached, so that no connection may be accepted now.
    pub fn is_full(&self) -> bool {
        self.unidentified >= self.max_unidentified()
    }

    /// Adds an accepted connection.
    pub fn open(&mut self, conn: ConnectionId, now: Duration) {
        let session = Session {
            reader: FrameReader::new(MAX_FIRST_MESSAGE_BYTES),
            role: Role::Unidentified,
            opened_at: now,
            partial_since: None,
        };
        self.by_connection.insert(conn, session);
        self.unidentified += 1;
        self.with_deadline.insert(conn);
    }

    /// The session of a connection.
    pub fn get_mut(&mut self, conn: ConnectionId) -> Option<&mut Session> {
        self.by_connection.get_mut(&conn)
    }

    /// The connection that is a proxy's stream; `None` while the proxy is not connected.
    pub fn stream(&self, proxy: ProxyId) -> Option<ConnectionId> {
        self.streams.get(&proxy).copied()
    }

    /// The numbers of streams and of unidentified connections.
    pub fn counts(&self) -> SessionCounts {
        SessionCounts { streams: self.streams.len(), unidentified: self.unidentified }
    }

    /// Updates a connection's deadline after bytes were read. `has_completed_message` says that they completed a
    /// message, so that any remaining partial message began just now.
    pub fn update_deadline(&mut self, conn: ConnectionId, has_completed_message: bool, now: Duration) {
        let Some(session) = self.by_connection.get_mut(&conn) else { return };
        let before = session.partial_since.filter(|_| !has_completed_message);
        session.partial_since = (session.reader.buffered() > 0).then(|| before.unwrap_or(now));
        if session.has_partial_message() || session.is_unidentified() {
            self.with_deadline.insert(conn);
        } else {
            self.with_deadline.remove(&conn);
        }
    }

    /// Makes a connection the stream of a proxy; removes and returns the stream that it replaces.
    pub fn register_stream(&mut self, conn: ConnectionId, proxy: ProxyId) -> Option<ConnectionId> {
        self.identify(conn, Role::Stream(proxy));
        let replaced = self.streams.insert(proxy, conn);
        replaced.inspect(|replaced| self.remove_replaced(*replaced))
    }

    /// Makes a connection a collector of a zone; removes and returns the zone's oldest collector if there are too many.
    pub fn register_collector(&mut self, conn: ConnectionId, zone: ZoneId) -> Option<ConnectionId> {
        self.identify(conn, Role::Collector(zone));
        let of_zone = self.by_connection.iter().filter(|(_, session)| session.role == Role::Collector(zone));
        let of_zone: Vec<ConnectionId> = of_zone.map(|(conn, _)| *conn).collect();
        let replaced = of_zone.first().copied().filter(|_| of_zone.len() > MAX_COLLECTORS_PER_ZONE);
        replaced.inspect(|replaced| self.remove_replaced(*replaced))
    }

    fn identify(&mut self, conn: ConnectionId, role: Role) {
        if let Some(session) = self.by_connection.get_mut(&conn) {
            self.unidentified -= usize::from(session.is_unidentified());
            session.role = role;
            session.reader.set_max_bytes(MAX_MESSAGE_BYTES);
        }
    }

    /// Removes a connection that another one has replaced as a stream or collector; `streams` no longer contains it.
    fn remove_replaced(&mut self, conn: ConnectionId) {
        self.by_connection.remove(&conn);
        self.with_deadline.remove(&conn);
    }

    /// Removes a connection and returns its role; `None` if it is not known.
    pub fn remove(&mut self, conn: ConnectionId) -> Option<Role> {
        let role = self.by_connection.remove(&conn)?.role;
        self.with_deadline.remove(&conn);
        match role {
            Role::Unidentified => self.unidentified -= 1,
            Role::Stream(proxy) => _ = self.streams.remove(&proxy),
            Role::Collector(_) => {}
        }
        Some(role)
    }

    fn sessions_with_deadline(&self) -> impl Iterator<Item = (ConnectionId, &Session)> {
        self.with_deadline.iter().filter_map(|conn| Some((*conn, self.by_connection.get(conn)?)))
    }

    /// The connections to close: those past their deadline, then those to evict to make room.
    pub fn connections_to_close(&self, now: Duration) -> Vec<ConnectionId> {
        let expired = self.sessions_with_deadline().filter(|(_, session)| session.is_expired(now));
        let mut to_close: Vec<ConnectionId> = expired.map(|(conn, _)| conn).collect();
        // One place is kept free: at the limit, the planner would not accept, and so not see, a waiting connection.
        let mut max_unidentified = self.max_unidentified() - 1;
        for has_partial_message in [false, true] {
            let excess = self.unidentified.saturating_sub(max_unidentified);
            let evicted = self.evictable(has_partial_message, excess, now);
            max_unidentified += evicted.len();
            to_close.extend(evicted);
        }
        to_close
    }

    /// Up to `limit` unidentified connections that may be evicted, the oldest first.
    fn evictable(&self, has_partial_message: bool, limit: usize, now: Duration) -> Vec<ConnectionId> {
        self.sessions_with_deadline()
            .filter(|(_, session)| session.has_partial_message() == has_partial_message)
            .filter(|(_, session)| session.is_evictable(now))
            .take(limit)
            .map(|(conn, _)| conn)
            .collect()
    }

    /// When a connection may next have to be closed.
    pub fn next_timeout(&self) -> Option<Duration> {
        let is_full = self.is_full();
        let deadline = |session: &Session| match session.role {
            Role::Unidentified if is_full => Some(session.evictable_at()),
            _ => session.deadline(),
        };
        self.sessions_with_deadline().filter_map(|(_, session)| deadline(session)).min()
    }
}
