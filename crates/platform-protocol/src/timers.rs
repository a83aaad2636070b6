//! Timers that the controller has set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Timers that have not fired, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
}

impl Timers {
    /// Sets a timer that fires once at `at`.
    pub(crate) fn set(&mut self, at: Duration, token: u64) {
        self.queue.push(Reverse((at, token)));
    }

    /// Removes the earliest timer and returns its token, if it is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        let Reverse((at, token)) = *self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        Some(token)
    }

    /// When the next timer fires; `None` if none is set.
    pub(crate) fn next_timeout(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
