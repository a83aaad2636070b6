//! What a proxy's session means for the planner, whichever protocol the proxy speaks.

use runloom_distribution::PendingProxy;
use runloom_event_loop::CloseReason;
use runloom_model::report::Report;
use runloom_versioned_publisher::Topic;
use std::time::Duration;

/// An event of a proxy's session.
pub(super) enum ProxyEvent {
    /// The session has something to write.
    OutputReady,
    /// The proxy said what it is, and waits for admission.
    Introduced(PendingProxy),
    /// The proxy applied a message.
    Acknowledged {
        /// The distributor's number of the message.
        number: u64,
        /// When it was sent, if that is known.
        sent: Option<Duration>,
    },
    /// The proxy cannot apply a message: it does not hold what the message builds on.
    NotApplicable {
        /// The distributor's number of the message.
        number: u64,
        topic: Topic,
    },
    /// The proxy reported its traffic.
    Reported(Report),
    /// A report could not be parsed.
    MalformedReport(String),
    /// The connection has to end at once.
    Disconnect(CloseReason),
    /// The connection has to end once its output is written.
    Finish(CloseReason),
}
