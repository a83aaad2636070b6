//! Actions that the core asks its runtime to carry out.

use crate::session::ConnectionId;
use std::net::SocketAddr;

/// One action for the runtime, which carries out all actions in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Writes bytes to a connection.
    Write {
        /// The connection to write to.
        conn: ConnectionId,
        /// One or more complete frames.
        bytes: Vec<u8>,
    },
    /// Closes a connection, whose session the core has already removed.
    Close {
        /// The connection to close.
        conn: ConnectionId,
    },
    /// Checks a server's health once; the outcome goes to [`crate::PlatformPlanner::handle_health_check`].
    CheckHealth {
        /// Identifies the check; passed back with its outcome.
        ticket: u64,
        /// The address on which the server listens.
        address: SocketAddr,
    },
    /// Writes a line to the log.
    Log {
        /// The line, without a line end.
        text: String,
    },
}
