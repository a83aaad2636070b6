//! The reasons for which a connection ends.

/// Why a connection ended; used by both sides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The proxy sent `DISCONNECT`, or the protocol library requested to close the connection.
    Disconnected,
    /// One side violated the protocol or requested something that is not allowed, the planner sent `DISCONNECT`, or
    /// another connection of the proxy took over; contains the reason.
    Rejected(String),
    /// The peer sent nothing within the time limit.
    TimedOut,
}

impl ConnectionEnd {
    /// A rejection with a reason in words.
    pub(crate) fn rejected(reason: &str) -> ConnectionEnd {
        ConnectionEnd::Rejected(reason.to_string())
    }

    /// A rejection with a reason code of the protocol.
    pub(crate) fn rejected_by(code: impl std::fmt::Debug) -> ConnectionEnd {
        ConnectionEnd::Rejected(format!("{code:?}"))
    }
}
