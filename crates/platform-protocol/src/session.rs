//! Connections by role: which may stay, for how long, and how many.

use crate::framing::{FrameReader, MAX_FIRST_MESSAGE_BYTES, MAX_MESSAGE_BYTES};
use runloom_controller::{ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of a connection; higher numbers are newer.
pub type ConnectionId = usize;

/// A connection has to identify itself within this time.
///
/// The protocol allows closing after one second and requires it within three.
pub const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Where connections run short, one that has sent nothing is evicted from this age on.
const MIN_SILENT_AGE: Duration = Duration::from_millis(100);
/// Where connections run short, one that has sent part of a message is evicted from this age on.
const MIN_PARTIAL_AGE: Duration = Duration::from_millis(400);
/// A message of an identified connection has to be complete within this time.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Unidentified connections that are accepted at any time, so that a proxy can replace a dead connection.
const MIN_UNIDENTIFIED: usize = 4;
/// Collectors of one zone at a time: the current one and its successor.
const MAX_COLLECTORS_PER_ZONE: usize = 2;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It has not identified itself.
    Unidentified,
    /// It carries the reports of a zone.
    Collector(ZoneId),
    /// It carries updates to a proxy.
    Stream(ProxyId),
}

/// One connection.
#[derive(Debug)]
pub struct Session {
    /// Splits what it sends into messages.
    pub reader: FrameReader,
    /// What it is used for.
    pub role: Role,
    opened_at: Duration,
    /// Since when a message is incomplete.
    partial_since: Option<Duration>,
}

impl Session {
    fn is_unidentified(&self) -> bool {
        self.role == Role::Unidentified
    }

    fn has_partial_message(&self) -> bool {
        self.partial_since.is_some()
    }

    /// When it is closed for lack of progress.
    fn deadline(&self) -> Option<Duration> {
        match self.role {
            Role::Unidentified => Some(self.opened_at + IDENTIFICATION_TIMEOUT),
            Role::Collector(_) | Role::Stream(_) => self.partial_since.map(|since| since + MESSAGE_TIMEOUT),
        }
    }

    fn is_expired(&self, now: Duration) -> bool {
        self.deadline().is_some_and(|deadline| now >= deadline)
    }

    /// From when on it may be evicted to make room, if it does not identify itself before.
    fn evictable_at(&self) -> Duration {
        self.opened_at + if self.has_partial_message() { MIN_PARTIAL_AGE } else { MIN_SILENT_AGE }
    }

    fn is_evictable(&self, now: Duration) -> bool {
        self.is_unidentified() && !self.is_expired(now) && now >= self.evictable_at()
    }
}

/// How many connections there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionCounts {
    /// Connected proxies.
    pub streams: usize,
    /// Connections that have not identified themselves.
    pub unidentified: usize,
}

/// All connections.
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

    /// Unidentified connections that there is room for.
    fn max_unidentified(&self) -> usize {
        let identified = self.by_connection.len() - self.unidentified;
        self.max_connections.saturating_sub(identified).max(MIN_UNIDENTIFIED)
    }

    /// Whether no further connection can be accepted now.
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

    /// The connection of a proxy.
    pub fn stream(&self, proxy: ProxyId) -> Option<ConnectionId> {
        self.streams.get(&proxy).copied()
    }

    /// How many connections there are.
    pub fn counts(&self) -> SessionCounts {
        SessionCounts { streams: self.streams.len(), unidentified: self.unidentified }
    }

    /// Updates a connection's deadline after bytes were read. `has_completed_message`: they completed a message, so
    /// that an incomplete one has just begun.
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

    /// Makes a connection the stream of a proxy; returns the stream that it replaces.
    pub fn register_stream(&mut self, conn: ConnectionId, proxy: ProxyId) -> Option<ConnectionId> {
        self.identify(conn, Role::Stream(proxy));
        let replaced = self.streams.insert(proxy, conn);
        replaced.inspect(|replaced| self.forget(*replaced))
    }

    /// Makes a connection a collector of a zone; returns the zone's oldest collector if there are too many.
    pub fn register_collector(&mut self, conn: ConnectionId, zone: ZoneId) -> Option<ConnectionId> {
        self.identify(conn, Role::Collector(zone));
        let of_zone = self.by_connection.iter().filter(|(_, session)| session.role == Role::Collector(zone));
        let of_zone: Vec<ConnectionId> = of_zone.map(|(conn, _)| *conn).collect();
        let replaced = of_zone.first().copied().filter(|_| of_zone.len() > MAX_COLLECTORS_PER_ZONE);
        replaced.inspect(|replaced| self.forget(*replaced))
    }

    fn identify(&mut self, conn: ConnectionId, role: Role) {
        if let Some(session) = self.by_connection.get_mut(&conn) {
            self.unidentified -= usize::from(session.is_unidentified());
            session.role = role;
            session.reader.set_max_bytes(MAX_MESSAGE_BYTES);
        }
    }

    /// Removes a replaced connection, whose place in the other indices is already taken.
    fn forget(&mut self, conn: ConnectionId) {
        self.by_connection.remove(&conn);
        self.with_deadline.remove(&conn);
    }

    /// Removes a connection and returns what it was used for.
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

    /// Connections to close: those past their deadline, then those evicted to make room.
    pub fn connections_to_close(&self, now: Duration) -> Vec<ConnectionId> {
        let expired = self.sessions_with_deadline().filter(|(_, session)| session.is_expired(now));
        let mut overdue: Vec<ConnectionId> = expired.map(|(conn, _)| conn).collect();
        // One place is kept free: a full planner accepts nobody, and would not see who waits.
        let mut max_unidentified = self.max_unidentified() - 1;
        for has_partial_message in [false, true] {
            let excess = self.unidentified.saturating_sub(max_unidentified);
            let evicted = self.evictable(has_partial_message, excess, now);
            max_unidentified += evicted.len();
            overdue.extend(evicted);
        }
        overdue
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

    /// When a connection may next be overdue.
    pub fn next_timeout(&self) -> Option<Duration> {
        let is_full = self.is_full();
        let deadline = |session: &Session| match session.role {
            Role::Unidentified if is_full => Some(session.evictable_at()),
            _ => session.deadline(),
        };
        self.sessions_with_deadline().filter_map(|(_, session)| deadline(session)).min()
    }
}
