//! What the loop tells its caller.

/// Number of a connection or a listener; never used again.
pub type ConnectionId = usize;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it in order.
    Ended,
    /// It broke.
    Broken,
    /// It could not be established.
    Refused,
    /// TLS failed: no certificate, an unacceptable one, or no TLS at all.
    Untrusted,
    /// Connecting or the TLS handshake exceeded [`crate::ConnectionLimits::handshake_timeout`].
    Slow,
    /// Nothing was read for [`crate::ConnectionLimits::idle_timeout`].
    Idle,
    /// More bytes than [`crate::ConnectionLimits::max_unsent_bytes`] waited to be written.
    Unread,
    /// It was finished by [`crate::EventLoop::finish`], and everything is written.
    Finished,
}

/// What happened in one iteration.
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
        /// The bytes, decrypted.
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
