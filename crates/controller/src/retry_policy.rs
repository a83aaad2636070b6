//! Retry policy: the conditions on which proxies retry a failed attempt.

use crate::admission_control::AdmissionController;
use std::time::Duration;

/// The conditions on which a proxy retries a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// No retries.
    Never = 0,
    /// Once, at another endpoint, if it is certain that the first attempt was not executed.
    IfNotExecuted = 1,
    /// Once after any failure.
    Once = 2,
    /// Twice after any failure.
    Twice = 3,
}

/// Retries are allowed again if all requests are admitted and load was last shed at least this long ago.
const RETRY_RECOVERY: Duration = Duration::from_secs(5);
/// An admission limit of this many times the arrival rate or more rejects nothing.
const UNLIMITED_MARGIN: f64 = 1.2;

impl AdmissionController {
    /// The retry policy of every class. A retry is safe for every class only if it is certain that the first attempt
    /// was not executed. Retries are the first load to be shed when the fleet is overloaded.
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        if self.retries_disabled {
            RetryPolicy::Never
        } else {
            RetryPolicy::IfNotExecuted
        }
    }

    /// Allows retries again, as the last load to return, if all requests are admitted and load was last shed at
    /// least [`RETRY_RECOVERY`] ago.
    ///
    /// `arrival_rate` is in requests per second over all proxies and classes.
    pub(crate) fn restore_retries(&mut self, arrival_rate: f64, now: Duration) {
        let admits_all = self.admission_limit.is_none_or(|limit| limit >= arrival_rate * UNLIMITED_MARGIN);
        let sheds_no_requests = admits_all && self.isolated_classes == 0;
        self.retries_disabled &= !sheds_no_requests || now < self.last_shed_at + RETRY_RECOVERY;
    }
}
