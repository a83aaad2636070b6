//! What the core asks its runtime to do.

use crate::session::ConnectionId;
use std::net::SocketAddr;

/// One thing that the runtime has to do, in the order in which it is returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Writes bytes to a connection.
    Write {
        /// The connection.
        conn: ConnectionId,
        /// Complete frames.
        bytes: Vec<u8>,
    },
    /// Closes a connection; the core has already forgotten it.
    Close {
        /// The connection.
        conn: ConnectionId,
    },
    /// Checks a server's health once; the outcome goes to [`crate::PlatformPlanner::handle_health_check`].
    CheckHealth {
        /// Comes back with the outcome.
        ticket: u64,
        /// Where the server listens.
        address: SocketAddr,
    },
    /// Writes a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
