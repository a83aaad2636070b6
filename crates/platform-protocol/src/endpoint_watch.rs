//! The watch of the endpoint list across connections: which one is read, when it expires, and when the next is dialed.
//!
//! After discovery has moved, the previous connection is read to its end, since the changes it carries count.

use crate::session::ConnectionId;
use crate::watch_reader::{MalformedWatchData, WatchReader};
use std::net::SocketAddr;
use std::time::Duration;

/// A watch that has brought nothing for this long has failed; the agent sends an empty line every two seconds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);
/// A new watch has to bring its first bytes within this time.
pub const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time from the end of a watch to the next attempt.
pub const REDIAL_INTERVAL: Duration = Duration::from_millis(250);
/// The watch of an address that discovery has left is read for at most this long; an agent closes it after half.
const PREVIOUS_WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The watch of an address that discovery has left.
#[derive(Debug)]
struct PreviousWatch {
    conn: ConnectionId,
    reader: WatchReader,
    deadline: Duration,
}

/// What the bytes of a connection amount to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchOutput {
    /// Complete lines.
    pub lines: Vec<Vec<u8>>,
    /// Whether these are the first bytes of the current watch.
    pub is_first: bool,
    /// Whether the connection is of no more use and is to be closed.
    pub should_close: bool,
    /// Whether the bytes make no response.
    pub is_unreadable: bool,
}

/// The watch of the endpoint list.
#[derive(Debug)]
pub struct EndpointWatch {
    address: SocketAddr,
    conn: Option<ConnectionId>,
    reader: WatchReader,
    has_received: bool,
    /// When the connection expires or, without one, when the next is dialed.
    deadline: Duration,
    previous: Option<PreviousWatch>,
}

impl EndpointWatch {
    /// A watch that is to be dialed at once.
    pub fn new(address: SocketAddr) -> EndpointWatch {
        EndpointWatch {
            address,
            conn: None,
            reader: WatchReader::default(),
            has_received: false,
            deadline: Duration::ZERO,
            previous: None,
        }
    }

    /// Where the discovery agent listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a connection belongs to the watch.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.conn == Some(conn) || self.previous.as_ref().is_some_and(|previous| previous.conn == conn)
    }

    /// When a connection expires or is to be dialed.
    pub fn next_timeout(&self) -> Duration {
        self.previous.as_ref().map_or(self.deadline, |previous| previous.deadline.min(self.deadline))
    }

    /// Whether the next connection is to be dialed now.
    pub fn should_dial(&self, now: Duration) -> bool {
        self.conn.is_none() && now >= self.deadline
    }

    /// Takes the connection that was dialed, or `None` if that failed at once.
    pub fn handle_dialed(&mut self, conn: Option<ConnectionId>, now: Duration) {
        let timeout = if conn.is_some() { FIRST_RESPONSE_TIMEOUT } else { REDIAL_INTERVAL };
        self.deadline = now + timeout;
        self.conn = conn;
        self.reader = WatchReader::default();
        self.has_received = false;
    }

    /// Removes and returns the connections that expired, all that arrived by `read_until` being read.
    pub fn take_expired(&mut self, read_until: Duration) -> Vec<ConnectionId> {
        let previous = self.previous.take_if(|previous| read_until >= previous.deadline);
        let current = self.conn.take_if(|_| read_until >= self.deadline);
        previous.map(|previous| previous.conn).into_iter().chain(current).collect()
    }

    /// Takes received bytes.
    pub fn handle_bytes(&mut self, conn: ConnectionId, bytes: &[u8], now: Duration) -> WatchOutput {
        let is_current = self.conn == Some(conn);
        let reader = match &mut self.previous {
            _ if is_current => &mut self.reader,
            Some(previous) if previous.conn == conn => &mut previous.reader,
            _ => return WatchOutput::default(),
        };
        let lines = reader.push(bytes);
        let is_unreadable = lines == Err(MalformedWatchData);
        let should_close = is_unreadable || reader.is_complete();
        let is_first = is_current && !self.has_received;
        if is_current {
            self.has_received = true;
            self.deadline = now + SILENCE_TIMEOUT;
        }
        if should_close {
            self.handle_closed(conn, now);
        }
        WatchOutput { lines: lines.unwrap_or_default(), is_first, should_close, is_unreadable }
    }

    /// Takes the end of a connection.
    pub fn handle_closed(&mut self, conn: ConnectionId, now: Duration) {
        self.previous.take_if(|previous| previous.conn == conn);
        if self.conn.take_if(|current| *current == conn).is_some() {
            self.deadline = now + REDIAL_INTERVAL;
        }
    }

    /// Starts over after [`REDIAL_INTERVAL`]; returns the connection to close.
    pub fn restart(&mut self, now: Duration) -> Option<ConnectionId> {
        let conn = self.conn.take();
        self.deadline = now + REDIAL_INTERVAL;
        conn
    }

    /// Moves to another address, dialed at once. The current connection is read to its end; returns the connection
    /// to close, one that was itself being read to its end.
    pub fn change_address(&mut self, address: SocketAddr, now: Duration) -> Option<ConnectionId> {
        let reader = std::mem::take(&mut self.reader);
        let current = self.conn.take();
        let leaving =
            current.map(|conn| PreviousWatch { conn, reader, deadline: now + PREVIOUS_WATCH_TIMEOUT });
        let abandoned = std::mem::replace(&mut self.previous, leaving);
        self.address = address;
        self.deadline = now;
        abandoned.map(|previous| previous.conn)
    }
}
