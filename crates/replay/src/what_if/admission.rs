//! How many requests an admission rate admits.

/// A token bucket like a proxy's, which holds up to a second's requests. It is updated once per report.
#[derive(Default)]
pub(super) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    /// How many of `arrived` requests over `seconds` are admitted at `rate` requests a second; all of them without a
    /// rate.
    pub fn admit(&mut self, rate: Option<f64>, arrived: f64, seconds: f64) -> f64 {
        let Some(rate) = rate else { return arrived };
        let available = self.tokens + rate * seconds;
        let admitted = arrived.min(available);
        let capacity = if rate > 0.0 { rate.max(1.0) } else { 0.0 };
        self.tokens = (available - admitted).min(capacity);
        admitted
    }
}
