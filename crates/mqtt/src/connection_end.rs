//! Why a connection ended.

/// Why a connection ended, on either side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A side disconnected in the protocol's way.
    Disconnected,
    /// A side broke the protocol, or asked for what it may not have; with the reason.
    Rejected(String),
    /// The other side sent nothing in time.
    TimedOut,
}

impl ConnectionEnd {
    /// A rejection for a reason in words.
    pub(crate) fn rejected(reason: &str) -> ConnectionEnd {
        ConnectionEnd::Rejected(reason.to_string())
    }

    /// A rejection for one of the protocol's reason codes.
    pub(crate) fn rejected_by(code: impl std::fmt::Debug) -> ConnectionEnd {
        ConnectionEnd::Rejected(format!("{code:?}"))
    }
}
