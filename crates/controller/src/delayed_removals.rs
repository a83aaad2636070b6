//! The report to the operators on removals that wait: endpoints that are out of service and still in proxies' tables.

use crate::command::Command;
use crate::controller::Controller;
use crate::subsetting::subset_of;
use std::time::Duration;

/// A removal that has been due for this long is reported to the operators.
const MAX_REMOVAL_DELAY: Duration = Duration::from_secs(2);
/// Time between two reports, as long as removals stay delayed.
const REMOVAL_DELAY_LOG_INTERVAL: Duration = Duration::from_secs(10);

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

impl Controller {
    /// Reports to the operators that removals have been due for long, again and again as long as some are.
    pub(crate) fn log_delayed_removals(&mut self, available_entries: f64, commands: &mut Vec<Command>) {
        let (now, proxies) = (self.now, self.proxies.iter().filter(|proxy| proxy.is_connected).count());
        let message_cost = self.config.channel.message_overhead + 1.0;
        let mut delay = DelayedRemovals {
            endpoints: 0,
            waited: Duration::ZERO,
            required_entries: f64::INFINITY,
            available_entries,
            queued_entries: self.channel.queued_entries(),
            proxies,
        };
        for endpoint in &mut self.endpoints {
            let published = endpoint.published.filter(|_| proxies > 0 && !endpoint.is_in_service());
            endpoint.removal_due_at = published.map(|_| endpoint.removal_due_at.unwrap_or(now));
            let (Some(entry), Some(due_at)) = (published, endpoint.removal_due_at) else { continue };
            let cost = self.subsets[subset_of(entry.table)].proxy_count * (1.0 + message_cost);
            delay.endpoints += 1;
            delay.waited = delay.waited.max(now - due_at);
            delay.required_entries = delay.required_entries.min(cost);
        }
        if delay.waited < MAX_REMOVAL_DELAY {
            self.channel.delay_logged_at = None;
            return;
        }
        if self.channel.delay_logged_at.is_none_or(|at| now >= at + REMOVAL_DELAY_LOG_INTERVAL) {
            self.channel.delay_logged_at = Some(now);
            commands.push(Command::LogDelayedRemovals(delay));
        }
    }
}
