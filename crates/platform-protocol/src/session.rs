//! Who is connected: newcomers, collectors and streams; who may stay, for how long, and how many.

use crate::framing::{Reader, FIRST_MOST, MESSAGE_MOST};
use runloom_controller::{ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A connection's number.
pub type ConnectionId = usize;

/// Who has not joined after one second may be closed, and must hear of it within three. Half of that leaves
/// both sides room for a busy second.
pub const JOIN_WITHIN: Duration = Duration::from_millis(1500);
/// Where descriptors run short, who has said nothing goes first: a proxy's joining is there with its
/// connection.
const SILENT_LEAST: Duration = Duration::from_millis(100);
/// Half of a message, too; pieces of a joining follow each other at once.
const HALF_LEAST: Duration = Duration::from_millis(400);
/// A message of a joined connection that has not ended after so long never will.
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);
const NEWCOMERS_LEAST: usize = 4;
/// Collectors of one zone: the one that is there, and the one that takes over from it.
const COLLECTORS_MOST: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Has not joined.
    Newcomer,
    Collector(ZoneId),
    Stream(ProxyId),
}

#[derive(Debug)]
pub struct Session {
    pub reader: Reader,
    pub who: Role,
    since: Duration,
    /// Since when a message is not whole.
    half_since: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct Sessions {
    clients: BTreeMap<ConnectionId, Session>,
    streams: BTreeMap<ProxyId, ConnectionId>,
    newcomers: usize,
    /// Newcomers, and those of whom half of a message is here: whose time may be over some day.
    timed: BTreeSet<ConnectionId>,
    /// Connections that there is room for, of all kinds.
    room: usize,
}

impl Sessions {
    pub fn new(room: usize) -> Sessions {
        Sessions { room, ..Sessions::default() }
    }

    /// Newcomers that there is room for: what proxies and collectors don't have, and a few at any time, or
    /// nobody could take over from a connection that is dead.
    fn newcomers_most(&self) -> usize {
        self.room.saturating_sub(self.clients.len() - self.newcomers).max(NEWCOMERS_LEAST)
    }

    /// Nobody more can be taken now.
    pub fn is_full(&self) -> bool {
        self.newcomers >= self.newcomers_most()
    }

    pub fn open(&mut self, conn: ConnectionId, now: Duration) {
        let reader = Reader::new(FIRST_MOST);
        self.clients.insert(conn, Session { reader, who: Role::Newcomer, since: now, half_since: None });
        self.newcomers += 1;
        self.timed.insert(conn);
    }

    pub fn get(&mut self, conn: ConnectionId) -> Option<&mut Session> {
        self.clients.get_mut(&conn)
    }

    pub fn stream(&self, proxy: ProxyId) -> Option<ConnectionId> {
        self.streams.get(&proxy).copied()
    }

    pub fn count(&self) -> (usize, usize) {
        (self.streams.len(), self.newcomers)
    }

    /// Notes whether a message is waited for, after bytes were read; `whole`: others came to their end with
    /// them, so that it is not the one of before.
    pub fn read(&mut self, conn: ConnectionId, whole: bool, now: Duration) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let before = client.half_since.filter(|_| !whole);
        client.half_since = (client.reader.held() > 0).then(|| before.unwrap_or(now));
        if client.half_since.is_some() || client.who == Role::Newcomer {
            self.timed.insert(conn);
        } else {
            self.timed.remove(&conn);
        }
    }

    /// A proxy's stream. Gives the stream that it takes over from.
    pub fn join(&mut self, conn: ConnectionId, proxy: ProxyId) -> Option<ConnectionId> {
        self.settle(conn, Role::Stream(proxy));
        let old = self.streams.insert(proxy, conn);
        old.inspect(|old| self.drop_quietly(*old))
    }

    fn drop_quietly(&mut self, conn: ConnectionId) {
        self.clients.remove(&conn);
        self.timed.remove(&conn);
    }

    /// A zone's collector. Gives the one that is one too many: the oldest of its zone.
    pub fn collect(&mut self, conn: ConnectionId, zone: ZoneId) -> Option<ConnectionId> {
        self.settle(conn, Role::Collector(zone));
        let same = self.clients.iter().filter(|(_, c)| c.who == Role::Collector(zone));
        let same: Vec<ConnectionId> = same.map(|(conn, _)| *conn).collect();
        let old = same.first().copied().filter(|_| same.len() > COLLECTORS_MOST);
        old.inspect(|old| self.drop_quietly(*old))
    }

    fn settle(&mut self, conn: ConnectionId, who: Role) {
        if let Some(client) = self.clients.get_mut(&conn) {
            self.newcomers -= usize::from(client.who == Role::Newcomer);
            client.who = who;
            client.reader.allow(MESSAGE_MOST);
        }
    }

    /// Forgets a connection. Gives who it was.
    pub fn remove(&mut self, conn: ConnectionId) -> Option<Role> {
        let who = self.clients.remove(&conn)?.who;
        self.timed.remove(&conn);
        match who {
            Role::Newcomer => self.newcomers -= 1,
            Role::Stream(proxy) => _ = self.streams.remove(&proxy),
            Role::Collector(_) => {}
        }
        Some(who)
    }

    fn timed(&self) -> impl Iterator<Item = (ConnectionId, &Session)> {
        self.timed.iter().filter_map(|conn| Some((*conn, self.clients.get(conn)?)))
    }

    /// Those whose time is over, and those that must make room.
    pub fn overdue(&self, now: Duration) -> Vec<ConnectionId> {
        let late = |c: &Session| match c.who {
            Role::Newcomer => now >= c.since + JOIN_WITHIN,
            _ => c.half_since.is_some_and(|since| now >= since + MESSAGE_WITHIN),
        };
        let mut overdue: Vec<ConnectionId> = self.timed().filter(|(_, c)| late(c)).map(|(k, _)| k).collect();
        // One place is kept free: a full house takes nobody, and would not see who waits at the door.
        let mut most = self.newcomers_most() - 1;
        // Numbers rise: the first are the oldest.
        for half in [false, true] {
            let least = if half { HALF_LEAST } else { SILENT_LEAST };
            let goes = |c: &Session| {
                c.who == Role::Newcomer
                    && !late(c)
                    && c.half_since.is_some() == half
                    && now >= c.since + least
            };
            let over = self.newcomers.saturating_sub(most);
            let going: Vec<ConnectionId> =
                self.timed().filter(|(_, c)| goes(c)).take(over).map(|(k, _)| k).collect();
            most += going.len();
            overdue.extend(going);
        }
        overdue
    }

    /// When someone may next be overdue.
    pub fn wake(&self) -> Option<Duration> {
        let short = self.is_full();
        let due = |c: &Session| match c.who {
            Role::Newcomer if short => {
                Some(c.since + if c.half_since.is_some() { HALF_LEAST } else { SILENT_LEAST })
            }
            Role::Newcomer => Some(c.since + JOIN_WITHIN),
            _ => c.half_since.map(|since| since + MESSAGE_WITHIN),
        };
        self.timed().filter_map(|(_, c)| due(c)).min()
    }
}
