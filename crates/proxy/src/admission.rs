//! Admission control: a token bucket for each traffic class.

use std::time::Duration;

/// Capacity of the bucket: as many tokens as accumulate at the admission rate in this many seconds.
const BURST_SECONDS: f64 = 1.0;
/// Minimum capacity of the bucket: one request, even at the lowest rates.
const MIN_BURST: f64 = 1.0;
/// Longest time, in seconds, that a rejected client is asked to wait before it tries again.
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;

/// Whether a request may proceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted,
    /// The bucket is empty. `retry_after` is the time until it has a token, at most [`MAX_RETRY_AFTER_SECONDS`]; `None`
    /// if the class admits no request at all.
    Rejected {
        retry_after: Option<Duration>,
    },
}

/// Token bucket of one traffic class; each admitted request takes one token.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Takes a token, if there is one. `rate` is in requests per second.
    pub(crate) fn admit(&mut self, now: Duration, rate: f64) -> Admission {
        if rate <= 0.0 {
            return Admission::Rejected { retry_after: None };
        }
        self.refill(now, rate);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Admission::Admitted;
        }
        let wait_seconds = ((1.0 - self.tokens) / rate).min(MAX_RETRY_AFTER_SECONDS);
        Admission::Rejected { retry_after: Some(Duration::from_secs_f64(wait_seconds)) }
    }

    fn refill(&mut self, now: Duration, rate: f64) {
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        let capacity = (rate * BURST_SECONDS).max(MIN_BURST);
        self.tokens = (self.tokens + elapsed_seconds * rate).min(capacity);
        self.refilled_at = now;
    }
}
