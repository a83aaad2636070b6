//! The watch of discovery over its connections: which one is read, when it is given up, and when the next is
//! dialled. What an earlier one wrote counts as told as well, so it is read to its end.

use crate::endpoint_list::{Unreadable, WatchReader, FIRST_WAIT, REDIAL, SILENCE_MOST};
use crate::session::ConnectionId;
use std::net::SocketAddr;
use std::time::Duration;

/// An agent that is left closes its watches after a second and a half. One that does not is cut after twice
/// that.
const LEFT_MOST: Duration = Duration::from_secs(3);

/// A watch that was left for another agent's, until it ends.
#[derive(Debug)]
struct Left {
    conn: ConnectionId,
    watch: WatchReader,
    until: Duration,
}

/// What a connection brought.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchOutput {
    pub lines: Vec<Vec<u8>>,
    /// It is the first that this watch brought.
    pub first: bool,
    /// The connection is of no more use.
    pub cut: bool,
    pub unreadable: bool,
}

#[derive(Debug)]
pub struct EndpointWatch {
    pub at: SocketAddr,
    conn: Option<ConnectionId>,
    watch: WatchReader,
    heard: bool,
    /// When it is given up, or dialled.
    due: Duration,
    left: Option<Left>,
}

impl EndpointWatch {
    pub fn new(at: SocketAddr) -> EndpointWatch {
        EndpointWatch {
            at,
            conn: None,
            watch: WatchReader::default(),
            heard: false,
            due: Duration::ZERO,
            left: None,
        }
    }

    pub fn has(&self, conn: ConnectionId) -> bool {
        self.conn == Some(conn) || self.left.as_ref().is_some_and(|left| left.conn == conn)
    }

    /// When something may have to be done.
    pub fn wake(&self) -> Duration {
        self.left.as_ref().map_or(self.due, |left| left.until.min(self.due))
    }

    /// Whether the next watch is to be dialled now.
    pub fn is_to_dial(&self, now: Duration) -> bool {
        self.conn.is_none() && now >= self.due
    }

    /// The next watch was dialled, or could not be.
    pub fn dialled(&mut self, conn: Option<ConnectionId>, now: Duration) {
        self.due = now + if conn.is_some() { FIRST_WAIT } else { REDIAL };
        (self.conn, self.watch, self.heard) = (conn, WatchReader::default(), false);
    }

    /// Connections that brought nothing in their time, though all that had come by `looked` was read.
    pub fn late(&mut self, looked: Duration) -> Vec<ConnectionId> {
        let left = self.left.take_if(|left| looked >= left.until).map(|left| left.conn);
        let silent = self.conn.take_if(|_| looked >= self.due);
        left.into_iter().chain(silent).collect()
    }

    pub fn bytes(&mut self, conn: ConnectionId, bytes: &[u8], now: Duration) -> WatchOutput {
        let own = self.conn == Some(conn);
        let watch = match &mut self.left {
            _ if own => &mut self.watch,
            Some(left) if left.conn == conn => &mut left.watch,
            _ => return WatchOutput::default(),
        };
        let lines = watch.push(bytes);
        let unreadable = lines == Err(Unreadable);
        let cut = unreadable || watch.is_over();
        let first = own && !self.heard;
        if own {
            (self.heard, self.due) = (true, now + SILENCE_MOST);
        }
        if cut {
            self.closed(conn, now);
        }
        WatchOutput { lines: lines.unwrap_or_default(), first, cut, unreadable }
    }

    /// A connection has ended: the next watch is dialled after a while.
    pub fn closed(&mut self, conn: ConnectionId, now: Duration) {
        self.left.take_if(|left| left.conn == conn);
        if self.conn.take_if(|own| *own == conn).is_some() {
            self.due = now + REDIAL;
        }
    }

    /// Asks anew after a while, from the version that is held. Gives the connection to cut.
    pub fn ask_again(&mut self, now: Duration) -> Option<ConnectionId> {
        let conn = self.conn.take();
        self.due = now + REDIAL;
        conn
    }

    /// Discovery is at another address from now on; what it was at is read to its end. Gives the connection
    /// to cut, of one left before.
    pub fn moved(&mut self, at: SocketAddr, now: Duration) -> Option<ConnectionId> {
        let watch = std::mem::take(&mut self.watch);
        let before = self.left.take();
        self.left = self.conn.take().map(|conn| Left { conn, watch, until: now + LEFT_MOST });
        (self.at, self.due) = (at, now);
        before.map(|left| left.conn)
    }
}
