//! Timers that the controller asked for.

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

    /// Removes one timer that is due and returns its token.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<u64> {
        let Reverse((at, token)) = *self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        Some(token)
    }

    /// When the next timer fires.
    pub(crate) fn next_timeout(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
