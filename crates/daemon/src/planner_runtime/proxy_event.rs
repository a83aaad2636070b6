//! Events of a proxy's session, common to NETCONF and MQTT.

use runloom_distribution::PendingProxy;
use runloom_event_loop::CloseReason;
use runloom_model::report::Report;
use runloom_versioned_publisher::Topic;
use std::time::Duration;

/// An event of a proxy's session that the planner handles.
pub(super) enum ProxyEvent {
    /// The session has output to write.
    OutputReady,
    /// The proxy sent its name and properties, and waits for admission.
    Introduced(PendingProxy),
    /// The proxy applied a message.
    Acknowledged {
        /// The message's number at the distributor.
        number: u64,
        /// When the message was sent, if that is known.
        sent: Option<Duration>,
    },
    /// The proxy cannot apply a message, such as one that is based on a version that it does not hold.
    NotApplicable {
        /// The message's number at the distributor.
        number: u64,
        topic: Topic,
    },
    /// The proxy reported its traffic.
    Reported(Report),
    /// A report could not be parsed, with the reason.
    MalformedReport(String),
    /// The connection has to end at once.
    Disconnect(CloseReason),
    /// The connection has to end once its output is written.
    Finish(CloseReason),
}
