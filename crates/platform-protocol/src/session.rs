//! Who is connected: newcomers, collectors and streams; who may stay, for how long, and how many.

use crate::framing::{Reader, FIRST_MOST, MESSAGE_MOST};
use runloom_controller::{ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A connection's number.
pub type Conn = usize;

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
pub enum Who {
    /// Has not joined.
    Newcomer,
    Collector(ZoneId),
    Stream(ProxyId),
}

#[derive(Debug)]
pub struct Client {
    pub reader: Reader,
    pub who: Who,
    since: Duration,
    /// Since when a message is not whole.
    half_since: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct Clients {
    clients: BTreeMap<Conn, Client>,
    streams: BTreeMap<ProxyId, Conn>,
    newcomers: usize,
    /// Newcomers, and those of whom half of a message is here: whose time may be over some day.
    timed: BTreeSet<Conn>,
    /// Connections that there is room for, of all kinds.
    room: usize,
}

impl Clients {
    pub fn new(room: usize) -> Clients {
        Clients { room, ..Clients::default() }
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

    pub fn open(&mut self, conn: Conn, now: Duration) {
        let reader = Reader::new(FIRST_MOST);
        self.clients.insert(conn, Client { reader, who: Who::Newcomer, since: now, half_since: None });
        self.newcomers += 1;
        self.timed.insert(conn);
    }

    pub fn get(&mut self, conn: Conn) -> Option<&mut Client> {
        self.clients.get_mut(&conn)
    }

    pub fn stream(&self, proxy: ProxyId) -> Option<Conn> {
        self.streams.get(&proxy).copied()
    }

    pub fn count(&self) -> (usize, usize) {
        (self.streams.len(), self.newcomers)
    }

    /// Notes whether a message is waited for, after bytes were read; `whole`: others came to their end with
    /// them, so that it is not the one of before.
    pub fn read(&mut self, conn: Conn, whole: bool, now: Duration) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let before = client.half_since.filter(|_| !whole);
        client.half_since = (client.reader.held() > 0).then(|| before.unwrap_or(now));
        if client.half_since.is_some() || client.who == Who::Newcomer {
            self.timed.insert(conn);
        } else {
            self.timed.remove(&conn);
        }
    }

    /// A proxy's stream. Gives the stream that it takes over from.
    pub fn join(&mut self, conn: Conn, proxy: ProxyId) -> Option<Conn> {
        self.settle(conn, Who::Stream(proxy));
        let old = self.streams.insert(proxy, conn);
        old.inspect(|old| self.drop_quietly(*old))
    }

    fn drop_quietly(&mut self, conn: Conn) {
        self.clients.remove(&conn);
        self.timed.remove(&conn);
    }

    /// A zone's collector. Gives the one that is one too many: the oldest of its zone.
    pub fn collect(&mut self, conn: Conn, zone: ZoneId) -> Option<Conn> {
        self.settle(conn, Who::Collector(zone));
        let same = self.clients.iter().filter(|(_, c)| c.who == Who::Collector(zone));
        let same: Vec<Conn> = same.map(|(conn, _)| *conn).collect();
        let old = same.first().copied().filter(|_| same.len() > COLLECTORS_MOST);
        old.inspect(|old| self.drop_quietly(*old))
    }

    fn settle(&mut self, conn: Conn, who: Who) {
        if let Some(client) = self.clients.get_mut(&conn) {
            self.newcomers -= usize::from(client.who == Who::Newcomer);
            client.who = who;
            client.reader.allow(MESSAGE_MOST);
        }
    }

    /// Forgets a connection. Gives who it was.
    pub fn remove(&mut self, conn: Conn) -> Option<Who> {
        let who = self.clients.remove(&conn)?.who;
        self.timed.remove(&conn);
        match who {
            Who::Newcomer => self.newcomers -= 1,
            Who::Stream(proxy) => _ = self.streams.remove(&proxy),
            Who::Collector(_) => {}
        }
        Some(who)
    }

    fn timed(&self) -> impl Iterator<Item = (Conn, &Client)> {
        self.timed.iter().filter_map(|conn| Some((*conn, self.clients.get(conn)?)))
    }

    /// Those whose time is over, and those that must make room.
    pub fn overdue(&self, now: Duration) -> Vec<Conn> {
        let late = |c: &Client| match c.who {
            Who::Newcomer => now >= c.since + JOIN_WITHIN,
            _ => c.half_since.is_some_and(|since| now >= since + MESSAGE_WITHIN),
        };
        let mut overdue: Vec<Conn> = self.timed().filter(|(_, c)| late(c)).map(|(k, _)| k).collect();
        // One place is kept free: a full house takes nobody, and would not see who waits at the door.
        let mut most = self.newcomers_most() - 1;
        // Numbers rise: the first are the oldest.
        for half in [false, true] {
            let least = if half { HALF_LEAST } else { SILENT_LEAST };
            let goes = |c: &Client| {
                c.who == Who::Newcomer && !late(c) && c.half_since.is_some() == half && now >= c.since + least
            };
            let over = self.newcomers.saturating_sub(most);
            let going: Vec<Conn> = self.timed().filter(|(_, c)| goes(c)).take(over).map(|(k, _)| k).collect();
            most += going.len();
            overdue.extend(going);
        }
        overdue
    }

    /// When someone may next be overdue.
    pub fn wake(&self) -> Option<Duration> {
        let short = self.is_full();
        let due = |c: &Client| match c.who {
            Who::Newcomer if short => {
                Some(c.since + if c.half_since.is_some() { HALF_LEAST } else { SILENT_LEAST })
            }
            Who::Newcomer => Some(c.since + JOIN_WITHIN),
            _ => c.half_since.map(|since| since + MESSAGE_WITHIN),
        };
        self.timed().filter_map(|(_, c)| due(c)).min()
    }
}
