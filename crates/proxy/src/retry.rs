//! Retries: whether a failed attempt of a request may be followed by another.

use crate::request::AttemptOutcome;
use runloom_controller::RetryPolicy;
use runloom_model::traffic_class::RetrySafety;

/// What is left of one request's retry policy, which was fixed when the request arrived.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    remaining: u32,
    /// Only attempts that provably did not execute are retried.
    requires_proof: bool,
    /// Some attempt may have executed: later proofs say nothing of that one.
    may_have_executed: bool,
}

impl RetryBudget {
    pub(crate) fn new(policy: RetryPolicy) -> RetryBudget {
        let (remaining, requires_proof) = match policy {
            RetryPolicy::Never => (0, true),
            RetryPolicy::IfNotExecuted => (1, true),
            RetryPolicy::Once => (1, false),
            RetryPolicy::Twice => (2, false),
        };
        RetryBudget { remaining, requires_proof, may_have_executed: false }
    }

    /// Whether another attempt may follow one that ended with `outcome`. Whatever the policy says, a request that may
    /// have executed is retried only if its class is safe to repeat.
    pub(crate) fn allows_retry_after(&mut self, outcome: &AttemptOutcome, repeats: RetrySafety) -> bool {
        let is_final = outcome.is_success() || *outcome == AttemptOutcome::DeadlineExceeded;
        if is_final || self.remaining == 0 {
            return false;
        }
        self.may_have_executed |= !outcome.proves_not_executed();
        !self.may_have_executed || (!self.requires_proof && repeats == RetrySafety::Safe)
    }

    /// Takes one retry off the budget.
    pub(crate) fn consume(&mut self) {
        self.remaining -= 1;
    }
}
