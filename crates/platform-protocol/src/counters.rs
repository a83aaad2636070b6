//! Event counters of the core.

use std::fmt;
use std::time::Duration;

/// Event counts since the start.
///
/// [`fmt::Display`] formats them for the log under names of their own, which operators rely on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections that identified themselves as a proxy's stream.
    pub connected: u64,
    /// Streams that a newer connection of the same proxy replaced.
    pub taken_over: u64,
    /// Streams that ended for any reason, including those replaced.
    pub disconnected: u64,
    /// Streams that were closed because of an overdue acknowledgement.
    pub unresponsive: u64,
    /// Connections that were closed because of invalid input or a missed deadline, or to make room.
    pub rejected: u64,
    /// Dropped messages that were malformed, or that the connection's role may not send.
    pub malformed: u64,
    /// Acknowledgements whose token was not pending.
    pub unexpected_acks: u64,
    /// Updates sent to proxies; one in several parts counts once.
    pub updates_sent: u64,
    /// Complete lists and changes from the watch that were applied.
    pub list_updates: u64,
    /// The longest time from a proxy's connection to its first acknowledgement.
    pub longest_table_wait: Duration,
    /// Reports of removals that waited long for the update channel.
    pub delayed_removals: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Counters")
            .field("joined", &self.connected)
            .field("taken_over", &self.taken_over)
            .field("left", &self.disconnected)
            .field("mute", &self.unresponsive)
            .field("refused", &self.rejected)
            .field("spoilt", &self.malformed)
            .field("stray_marks", &self.unexpected_acks)
            .field("messages", &self.updates_sent)
            .field("lists", &self.list_updates)
            .field("longest_wait", &self.longest_table_wait)
            .field("late_removals", &self.delayed_removals)
            .finish()
    }
}
