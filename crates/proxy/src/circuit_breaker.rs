//! Circuit breaker of one endpoint: consecutive failures exclude the endpoint from selection for some time.

use std::time::Duration;

/// When a circuit breaker opens, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct CircuitBreakerConfig {
    /// Number of consecutive failures that open the breaker; 0 disables it.
    pub failure_limit: u32,
    /// How long it stays open.
    pub open_duration: Duration,
}

/// The circuit breaker of one endpoint. While it is open, the endpoint is selected only if the breakers of all other
/// candidates are open too.
#[derive(Debug, Clone, Default)]
pub(crate) struct CircuitBreaker {
    consecutive_failures: u32,
    open_until: Option<Duration>,
}

impl CircuitBreaker {
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// Closes the breaker and resets the count of consecutive failures.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.open_until = None;
    }

    /// Counts a failure, and opens the breaker once the limit of consecutive failures is reached.
    pub(crate) fn record_failure(&mut self, now: Duration, config: &CircuitBreakerConfig) {
        self.consecutive_failures += 1;
        let is_enabled = config.failure_limit > 0;
        if is_enabled && self.consecutive_failures >= config.failure_limit {
            self.consecutive_failures = 0;
            self.open_until = Some(now + config.open_duration);
        }
    }
}
