//! Limits of connections and listeners.

use std::time::Duration;

/// Holds four NETCONF messages of the maximum size, 2 MiB.
const DEFAULT_MAX_UNSENT_BYTES: usize = 8 << 20;
/// Most messages are no longer than this, and handling that many bytes takes only a small part of an iteration.
const DEFAULT_READ_BYTES_PER_POLL: usize = 64 << 10;
/// Enough for three round trips over a bad network.
const DEFAULT_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_MAX_CONNECTIONS: usize = 2048;

/// Limits of a connection, or of a listener and each connection that it accepts.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Limit of unsent output; a write that would exceed it closes the connection.
    pub max_unsent_bytes: usize,
    /// Once this many bytes are read from a connection, reading stops until the next iteration.
    pub read_bytes_per_poll: usize,
    /// A connection on which nothing is read for this long is closed; `None` disables the timeout.
    pub idle_timeout: Option<Duration>,
    /// Time limit for connecting and the TLS handshake together.
    pub handshake_timeout: Duration,
    /// Limit of open connections per listener; any further one is closed as soon as it is accepted.
    pub max_connections: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits {
            max_unsent_bytes: DEFAULT_MAX_UNSENT_BYTES,
            read_bytes_per_poll: DEFAULT_READ_BYTES_PER_POLL,
            idle_timeout: None,
            handshake_timeout: DEFAULT_HANDSHAKE_TIMEOUT,
            max_connections: DEFAULT_MAX_CONNECTIONS,
        }
    }
}
