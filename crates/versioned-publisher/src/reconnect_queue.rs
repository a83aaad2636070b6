//! Admission of subscribers that all reconnect at once, as after a planner's restart: at a limited rate, those with the
//! oldest tables first, and all of them well within the grace period in which a drain has to reach them.

use crate::update::HeldVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum admission rate, subscribers per second: a handshake and a first table take about a millisecond.
const MIN_ADMISSION_RATE: f64 = 200.0;
/// All waiting subscribers are admitted within this fraction of the grace period; the remainder is for the delivery of
/// their tables.
const ADMISSION_FRACTION: f64 = 0.25;
/// Shortest time, in seconds, over which admissions are spread.
const MIN_ADMISSION_SECONDS: f64 = 0.001;
/// The token bucket holds the admissions of one second divided by this, and at least one, so that a late caller admits
/// no larger burst.
const BURSTS_PER_SECOND: f64 = 10.0;
/// Limit of waiting subscribers, more than a planner has proxies. Any further ones are rejected, and connect again.
pub const MAX_WAITING_SUBSCRIBERS: usize = 4096;

/// Queue of subscribers that wait to be admitted, with a token bucket for the rate.
#[derive(Debug)]
pub struct ReconnectQueue {
    grace_period: Duration,
    /// Ordered by the oldest version that they hold; those that hold nothing come first.
    waiting: BTreeSet<(Option<HeldVersion>, String)>,
    oldest_held_by_name: BTreeMap<String, Option<HeldVersion>>,
    /// Admissions per second; only rises while any subscriber waits.
    rate: f64,
    /// Admissions that are available now, with a fraction for the next one.
    tokens: f64,
    refilled_at: Duration,
}

impl ReconnectQueue {
    /// Creates an empty queue. A drain has to reach all subscribers within `grace_period`.
    pub fn new(grace_period: Duration) -> ReconnectQueue {
        ReconnectQueue {
            grace_period,
            waiting: BTreeSet::new(),
            oldest_held_by_name: BTreeMap::new(),
            rate: MIN_ADMISSION_RATE,
            tokens: 1.0,
            refilled_at: Duration::ZERO,
        }
    }

    /// Sets the grace period for subscribers that are queued from now on.
    pub fn set_grace_period(&mut self, grace_period: Duration) {
        self.grace_period = grace_period;
    }

    /// Queues a subscriber by the oldest version that it holds (`None`: it holds nothing), in place of one that waits
    /// under the same name. Returns false if [`MAX_WAITING_SUBSCRIBERS`] wait already.
    pub fn push(&mut self, now: Duration, name: &str, oldest_held: Option<HeldVersion>) -> bool {
        self.remove(name);
        if self.waiting.len() >= MAX_WAITING_SUBSCRIBERS {
            return false;
        }
        if self.waiting.is_empty() {
            self.reset_rate(now);
        }
        self.waiting.insert((oldest_held, name.to_string()));
        self.oldest_held_by_name.insert(name.to_string(), oldest_held);
        let seconds = (self.grace_period.as_secs_f64() * ADMISSION_FRACTION).max(MIN_ADMISSION_SECONDS);
        self.rate = self.rate.max(self.waiting.len() as f64 / seconds);
        true
    }

    /// Restarts the token bucket, so that time during which the queue was empty earns no admissions.
    fn reset_rate(&mut self, now: Duration) {
        self.refilled_at = now;
        self.rate = MIN_ADMISSION_RATE;
        self.tokens = 1.0;
    }

    /// Removes a subscriber, for example because it disconnected; no effect if it does not wait.
    pub fn remove(&mut self, name: &str) {
        if let Some(oldest_held) = self.oldest_held_by_name.remove(name) {
            self.waiting.remove(&(oldest_held, name.to_string()));
        }
    }

    /// Removes and returns the next subscriber; `None` if none waits or the rate allows none by `now`.
    pub fn admit_next(&mut self, now: Duration) -> Option<String> {
        self.refill(now);
        if self.tokens < 1.0 {
            return None;
        }
        let (_, name) = self.waiting.pop_first()?;
        self.oldest_held_by_name.remove(&name);
        self.tokens -= 1.0;
        Some(name)
    }

    fn refill(&mut self, now: Duration) {
        let capacity = (self.rate / BURSTS_PER_SECOND).max(1.0);
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_seconds * self.rate).min(capacity);
        self.refilled_at = now;
    }

    /// When the rate allows the next admission; `None` if no subscriber waits.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let wait_seconds = (1.0 - self.tokens).max(0.0) / self.rate;
        (!self.waiting.is_empty()).then(|| self.refilled_at + Duration::from_secs_f64(wait_seconds))
    }
}
