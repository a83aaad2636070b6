//! Retries: whether another attempt may follow a failed one.

use crate::request::AttemptOutcome;
use runloom_controller::RetryPolicy;
use runloom_model::traffic_class::RetrySafety;

/// Retry state of one request. The policy is the one in force when the request arrived.
#[derive(Debug, Clone)]
pub(crate) struct RetryState {
    remaining_retries: u32,
    /// A retry requires proof that the request was not executed.
    requires_proof: bool,
    /// Whether an attempt may have executed the request. Once set, it stays set: a later outcome proves only that the
    /// later attempt did not execute it.
    may_have_executed: bool,
}

impl RetryState {
    pub(crate) fn new(policy: RetryPolicy) -> RetryState {
        let (remaining_retries, requires_proof) = match policy {
            RetryPolicy::Never => (0, true),
            RetryPolicy::IfNotExecuted => (1, true),
            RetryPolicy::Once => (1, false),
            RetryPolicy::Twice => (2, false),
        };
        RetryState { remaining_retries, requires_proof, may_have_executed: false }
    }

    /// Whether another attempt may follow one that ended with `outcome`. Whatever the policy says, a request that may
    /// have executed is retried only if its class is safe to repeat.
    pub(crate) fn allows_retry_after(&mut self, outcome: &AttemptOutcome, retry_safety: RetrySafety) -> bool {
        let is_final = outcome.is_success() || *outcome == AttemptOutcome::DeadlineExceeded;
        if is_final || self.remaining_retries == 0 {
            return false;
        }
        self.may_have_executed |= !outcome.proves_not_executed();
        !self.may_have_executed || (!self.requires_proof && retry_safety == RetrySafety::Safe)
    }

    /// Counts a retry that is about to be sent.
    pub(crate) fn count_retry(&mut self) {
        self.remaining_retries -= 1;
    }
}
