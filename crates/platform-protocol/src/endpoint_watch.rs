//! The connections of the endpoint watch: timeouts, reconnection, and changes of the discovery agent's address.
//!
//! After a change of address the previous connection is still read to its end, so that no change of the list is lost.

use crate::session::ConnectionId;
use crate::watch_reader::{MalformedWatchData, WatchReader};
use std::net::SocketAddr;
use std::time::Duration;

/// A watch has failed if it has received nothing for this long; the agent sends an empty line every two seconds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2700);
/// A new watch has to receive its first bytes within this time.
pub const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time from the end of a connection, or a failed attempt, to the next attempt.
pub const REDIAL_INTERVAL: Duration = Duration::from_millis(250);
/// The watch of the agent's previous address is read for at most this long; an agent closes it after half that time.
const PREVIOUS_WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The connection to the discovery agent's previous address.
#[derive(Debug)]
struct PreviousWatch {
    conn: ConnectionId,
    reader: WatchReader,
    deadline: Duration,
}

/// The result of handling the received bytes of a connection.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchOutput {
    /// Complete lines, with their line ends; an empty line is a heartbeat.
    pub lines: Vec<Vec<u8>>,
    /// Whether the bytes are the first of the current connection.
    pub is_first: bool,
    /// Whether the caller has to close the connection, since its response is complete or invalid.
    pub should_close: bool,
    /// Whether the bytes are not part of a valid response.
    pub is_unreadable: bool,
}

/// The state of the endpoint watch: at most one current connection and one to the previous address.
#[derive(Debug)]
pub struct EndpointWatch {
    address: SocketAddr,
    conn: Option<ConnectionId>,
    reader: WatchReader,
    has_received: bool,
    /// When the current connection expires or, without one, when the next is dialed.
    deadline: Duration,
    previous: Option<PreviousWatch>,
}

impl EndpointWatch {
    /// A watch without a connection, to be dialed at once.
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

    /// The current address of the discovery agent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a connection is the current or the previous one of the watch.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.conn == Some(conn) || self.previous.as_ref().is_some_and(|previous| previous.conn == conn)
    }

    /// When the next connection expires or has to be dialed.
    pub fn next_timeout(&self) -> Duration {
        self.previous.as_ref().map_or(self.deadline, |previous| previous.deadline.min(self.deadline))
    }

    /// Whether the caller has to dial a connection now.
    pub fn should_dial(&self, now: Duration) -> bool {
        self.conn.is_none() && now >= self.deadline
    }

    /// Sets the dialed connection; `None` if dialing failed at once.
    pub fn handle_dialed(&mut self, conn: Option<ConnectionId>, now: Duration) {
        let timeout = if conn.is_some() { FIRST_RESPONSE_TIMEOUT } else { REDIAL_INTERVAL };
        self.deadline = now + timeout;
        self.conn = conn;
        self.reader = WatchReader::default();
        self.has_received = false;
    }

    /// Removes and returns the connections that have expired. All input that arrived by `read_until` was handled.
    pub fn take_expired(&mut self, read_until: Duration) -> Vec<ConnectionId> {
        let previous = self.previous.take_if(|previous| read_until >= previous.deadline);
        let current = self.conn.take_if(|_| read_until >= self.deadline);
        previous.map(|previous| previous.conn).into_iter().chain(current).collect()
    }

    /// Handles received bytes; those of a connection that the watch does not own are ignored.
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

    /// Handles the end of a connection; the next is dialed after [`REDIAL_INTERVAL`] if it was the current one.
    pub fn handle_closed(&mut self, conn: ConnectionId, now: Duration) {
        self.previous.take_if(|previous| previous.conn == conn);
        if self.conn.take_if(|current| *current == conn).is_some() {
            self.deadline = now + REDIAL_INTERVAL;
        }
    }

    /// Drops the current connection, to be dialed again after [`REDIAL_INTERVAL`]; returns the connection to close.
    pub fn restart(&mut self, now: Duration) -> Option<ConnectionId> {
        let conn = self.conn.take();
        self.deadline = now + REDIAL_INTERVAL;
        conn
    }

    /// Changes the agent's address, which is dialed at once. The current connection becomes the previous one and is
    /// read to its end. The caller has to close the returned connection, which was the previous one until now.
    pub fn change_address(&mut self, address: SocketAddr, now: Duration) -> Option<ConnectionId> {
        let reader = std::mem::take(&mut self.reader);
        let current = self.conn.take();
        let previous =
            current.map(|conn| PreviousWatch { conn, reader, deadline: now + PREVIOUS_WATCH_TIMEOUT });
        let replaced = std::mem::replace(&mut self.previous, previous);
        self.address = address;
        self.deadline = now;
        replaced.map(|previous| previous.conn)
    }
}
