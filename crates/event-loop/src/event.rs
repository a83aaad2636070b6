//! Events that the loop returns to its caller.

/// Identifies a connection or a listener of one loop; never reused.
pub type ConnectionId = usize;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection cleanly.
    Ended,
    /// A read or write failed, TLS data was invalid, or the peer closed before the handshake was complete.
    Broken,
    /// The TCP connection could not be established.
    Refused,
    /// The TLS handshake failed: the peer sent no certificate, an unacceptable one, or data that is not TLS.
    Untrusted,
    /// Connecting or the TLS handshake exceeded [`crate::ConnectionLimits::handshake_timeout`].
    Slow,
    /// Nothing was read for [`crate::ConnectionLimits::idle_timeout`].
    Idle,
    /// Unsent output would have exceeded [`crate::ConnectionLimits::max_unsent_bytes`].
    Unread,
    /// It was closed with [`crate::EventLoop::finish`], and the peer has closed too or the linger time has passed.
    Finished,
}

/// One event of an iteration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IoEvent {
    /// A connection is established: accepted by a listener, or dialed.
    Open {
        /// The connection.
        conn: ConnectionId,
        /// The listener that accepted it; `None` if it was dialed.
        listener: Option<ConnectionId>,
        /// The peer's certificate (DER), if it presented one.
        certificate: Option<Vec<u8>>,
    },
    /// Bytes were received.
    Bytes {
        /// The connection.
        conn: ConnectionId,
        /// The bytes, after TLS decryption.
        bytes: Vec<u8>,
    },
    /// A connection ended.
    Closed {
        /// The connection.
        conn: ConnectionId,
        /// Why it ended.
        reason: CloseReason,
    },
    /// The process received a signal that was registered with [`crate::EventLoop::register_signal`].
    Signal(i32),
}
