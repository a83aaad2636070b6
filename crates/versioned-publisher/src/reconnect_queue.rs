//! Admission of subscribers that all reconnect at once, as after a planner's restart: at a limited rate, those with
//! the oldest tables first, and all of them well within the grace period in which a drain has to reach them.

use crate::update::HeldVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Subscribers admitted a second, however many wait: a handshake and a first table take about a millisecond.
const MIN_ADMISSION_RATE: f64 = 200.0;
/// All that wait are admitted within this fraction of the grace period; the rest is for their tables to arrive.
const ADMISSION_FRACTION: f64 = 0.25;
/// Shortest time, in seconds, over which those that wait are spread.
const MIN_ADMISSION_SECONDS: f64 = 0.001;
/// No more are admitted at once than in this part of a second, however long the caller was away.
const BURSTS_PER_SECOND: f64 = 10.0;
/// Subscribers that wait at a time, more than a planner has proxies. Any further are rejected, and dial again.
pub const MAX_WAITING_SUBSCRIBERS: usize = 4096;

/// Subscribers that wait to be admitted.
#[derive(Debug)]
pub struct ReconnectQueue {
    grace_period: Duration,
    /// By age of what they hold: nothing at all comes first.
    waiting: BTreeSet<(Option<HeldVersion>, String)>,
    by_name: BTreeMap<String, Option<HeldVersion>>,
    /// Admissions a second while this many wait.
    rate: f64,
    /// Admissions that are due; one that is not complete yet counts as a fraction.
    tokens: f64,
    refilled_at: Duration,
}

impl ReconnectQueue {
    /// An empty queue. A drain has to reach all subscribers within `grace_period`.
    pub fn new(grace_period: Duration) -> ReconnectQueue {
        ReconnectQueue {
            grace_period,
            waiting: BTreeSet::new(),
            by_name: BTreeMap::new(),
            rate: MIN_ADMISSION_RATE,
            tokens: 1.0,
            refilled_at: Duration::ZERO,
        }
    }

    /// Sets the grace period for those that come from now on.
    pub fn set_grace_period(&mut self, grace_period: Duration) {
        self.grace_period = grace_period;
    }

    /// Queues a subscriber by the oldest version that it holds; one that waits under the same name loses its place.
    /// False: too many wait.
    pub fn push(&mut self, now: Duration, name: &str, oldest_held: Option<HeldVersion>) -> bool {
        self.remove(name);
        if self.waiting.len() >= MAX_WAITING_SUBSCRIBERS {
            return false;
        }
        if self.waiting.is_empty() {
            self.reset_rate(now);
        }
        self.waiting.insert((oldest_held, name.to_string()));
        self.by_name.insert(name.to_string(), oldest_held);
        let seconds = (self.grace_period.as_secs_f64() * ADMISSION_FRACTION).max(MIN_ADMISSION_SECONDS);
        self.rate = self.rate.max(self.waiting.len() as f64 / seconds);
        true
    }

    /// Time in which nobody waited admits nobody later.
    fn reset_rate(&mut self, now: Duration) {
        self.refilled_at = now;
        self.rate = MIN_ADMISSION_RATE;
        self.tokens = 1.0;
    }

    /// Removes a subscriber that no longer waits.
    pub fn remove(&mut self, name: &str) {
        if let Some(oldest_held) = self.by_name.remove(name) {
            self.waiting.remove(&(oldest_held, name.to_string()));
        }
    }

    /// Removes the next subscriber that is admitted by now, if one is.
    pub fn admit_next(&mut self, now: Duration) -> Option<String> {
        self.refill(now);
        if self.tokens < 1.0 {
            return None;
        }
        let (_, name) = self.waiting.pop_first()?;
        self.by_name.remove(&name);
        self.tokens -= 1.0;
        Some(name)
    }

    fn refill(&mut self, now: Duration) {
        let capacity = (self.rate / BURSTS_PER_SECOND).max(1.0);
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_seconds * self.rate).min(capacity);
        self.refilled_at = now;
    }

    /// When the next subscriber is admitted.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let wait_seconds = (1.0 - self.tokens).max(0.0) / self.rate;
        (!self.waiting.is_empty()).then(|| self.refilled_at + Duration::from_secs_f64(wait_seconds))
    }
}
