//! Timeouts of the loop: connection deadlines, accept backoffs, and how long an iteration may wait.

use crate::event_loop::EventLoop;
use crate::{CloseReason, ConnectionId};
use std::time::Duration;

/// How often connection deadlines are checked: the resolution of idle, handshake and linger timeouts.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl EventLoop {
    /// How long the poller may block: until `until`, the end of an accept backoff or the next deadline check, whichever
    /// comes first. Zero if events are already pending.
    pub(crate) fn poll_timeout(
        &self,
        until: Option<Duration>,
        accept_backoff: Option<Duration>,
        now: Duration,
    ) -> Duration {
        if !self.pending_events.is_empty() {
            return Duration::ZERO;
        }
        let deadline_check = self.last_deadline_check + DEADLINE_CHECK_INTERVAL;
        let earliest = until.into_iter().chain(accept_backoff).fold(deadline_check, Duration::min);
        earliest.saturating_sub(now)
    }

    /// Closes connections whose deadline has passed; does nothing within [`DEADLINE_CHECK_INTERVAL`] of the last check.
    pub(crate) fn close_overdue(&mut self) {
        let now = self.now();
        if now < self.last_deadline_check + DEADLINE_CHECK_INTERVAL {
            return;
        }
        self.last_deadline_check = now;
        let overdue: Vec<(ConnectionId, CloseReason)> = self
            .connections
            .iter()
            .filter_map(|(conn, connection)| Some((*conn, connection.overdue_reason(self.read_until)?)))
            .collect();
        for (conn, reason) in overdue {
            self.close(conn, reason);
        }
    }
}
