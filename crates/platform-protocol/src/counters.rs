//! Counters of the core since its start.

use std::fmt;
use std::time::Duration;

/// Counts since the start.
///
/// [`fmt::Display`] writes them under the names that operators know from the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Proxies that connected.
    pub connected: u64,
    /// Streams that a newer connection of the same proxy replaced.
    pub taken_over: u64,
    /// Streams that ended.
    pub disconnected: u64,
    /// Streams closed because an acknowledgement was overdue.
    pub unresponsive: u64,
    /// Connections closed for what they sent, or failed to send in time.
    pub rejected: u64,
    /// Malformed or misplaced messages that were dropped.
    pub malformed: u64,
    /// Acknowledgements that were not pending.
    pub unexpected_acks: u64,
    /// Updates written.
    pub updates_sent: u64,
    /// Endpoint lists taken from the watch.
    pub list_updates: u64,
    /// The longest time from a proxy's connecting to its first acknowledgement.
    pub longest_table_wait: Duration,
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
            .finish()
    }
}
