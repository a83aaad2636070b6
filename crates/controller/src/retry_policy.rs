//! When proxies retry a failed attempt.

use crate::admission_control::AdmissionController;
use std::time::Duration;

/// When a proxy retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// Never.
    Never = 0,
    /// Once, at another endpoint, after proof that the first attempt was not executed.
    IfNotExecuted = 1,
    /// Once after any failure.
    Once = 2,
    /// Twice after any failure.
    Twice = 3,
}

/// Retries are allowed again once all requests have been admitted for this long.
const RETRY_RECOVERY: Duration = Duration::from_secs(5);
/// An admission limit of this many times the arrival rate or more rejects nothing.
const UNLIMITED_MARGIN: f64 = 1.2;

impl AdmissionController {
    /// The retry policy of every class: a retry after proof that nothing was executed is safe for every class, any
    /// other is not. Retries stop first when the fleet is overloaded.
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        if self.retries_disabled {
            RetryPolicy::Never
        } else {
            RetryPolicy::IfNotExecuted
        }
    }

    /// Allows retries again last, after all requests have been admitted for a while.
    ///
    /// `arrival_rate` is in requests a second over all proxies and classes.
    pub(crate) fn restore_retries(&mut self, arrival_rate: f64, now: Duration) {
        let admits_all = self.admission_limit.is_none_or(|limit| limit >= arrival_rate * UNLIMITED_MARGIN);
        let is_open = admits_all && self.isolated_classes == 0;
        self.retries_disabled &= !is_open || now < self.changed_at + RETRY_RECOVERY;
    }
}
