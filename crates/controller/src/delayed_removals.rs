//! The report to the operators on removals that wait: endpoints that are out of service and still in proxies' tables.

use std::time::Duration;

/// The removals that are not published yet, and the state of the update channel.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayedRemovals {
    /// The number of endpoints that are out of service and still in tables.
    pub endpoints: usize,
    /// How long the oldest of these removals has been due.
    pub waited: Duration,
    /// Queue entries that the cheapest of these removals needs, message overhead included.
    pub required_entries: f64,
    /// Queue entries that updates may use now; negative if the overhead of messages alone exceeds them.
    pub available_entries: f64,
    /// Queue entries that were sent and are not acknowledged, message overhead included.
    pub queued_entries: f64,
    /// The number of connected proxies.
    pub proxies: usize,
}

impl DelayedRemovals {
    /// Formats the log line.
    pub fn log_line(&self) -> String {
        let DelayedRemovals {
            endpoints,
            waited,
            required_entries,
            available_entries,
            queued_entries,
            proxies,
        } = self;
        format!(
            "removals wait for the update channel: {endpoints} servers out of service are still in tables, the first for \
             {:.1} s; {proxies} proxies, {queued_entries:.0} entries in flight, room for {available_entries:.0}, a \
             removal needs {required_entries:.0}",
            waited.as_secs_f64()
        )
    }
}
