//! One request in flight: its attempts, how they end, and what the caller does next.

use crate::retry::RetryBudget;
use runloom_controller::RetryPolicy;
use runloom_model::traffic_class::RetrySafety;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a request, unique within one proxy.
pub type RequestId = u64;

/// What the caller does next with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestAction {
    /// Send it to an endpoint.
    Send {
        /// The endpoint's name.
        server: String,
        /// Where it listens.
        address: SocketAddr,
        /// When the request is given up, whatever comes of the attempt.
        deadline: Duration,
    },
    /// Pass the endpoint's response to the client.
    Respond,
    /// Reject it.
    Reject {
        /// Why.
        reason: RejectionReason,
        /// When the client may come back, if that is known.
        retry_after: Option<Duration>,
    },
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// Its class has no endpoint.
    NoEndpoint,
    /// Its class is over the admission rate.
    AdmissionRate,
    /// The proxy has as many requests in flight as it may.
    TooManyRequests,
    /// The attempts failed, and no further one is allowed.
    AttemptsFailed,
    /// The deadline passed.
    DeadlineExceeded,
}

impl RejectionReason {
    /// The value of the `runloom-refused` response header.
    pub fn header_value(self) -> &'static str {
        match self {
            RejectionReason::NoEndpoint => "no-line",
            RejectionReason::AdmissionRate => "level",
            RejectionReason::TooManyRequests => "full",
            RejectionReason::AttemptsFailed => "failed",
            RejectionReason::DeadlineExceeded => "late",
        }
    }
}

/// How an attempt ended. `load` is the endpoint's load report, NaN where a value is missing.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// A response that is none of the failures below.
    Success {
        /// The load report.
        load: Vec<f64>,
    },
    /// The endpoint executed the request and failed.
    ErrorResponse {
        /// The load report.
        load: Vec<f64>,
    },
    /// The endpoint states that it did not start on the request.
    Rejected {
        /// The load report.
        load: Vec<f64>,
    },
    /// No connection was made, so nothing was written.
    ConnectionFailed,
    /// The connection closed before a byte of the request was written.
    ClosedBeforeWrite,
    /// The connection closed after some of the request was written: it may have executed.
    ClosedAfterWrite,
    /// The deadline passed.
    DeadlineExceeded,
}

impl AttemptOutcome {
    /// Whether the attempt succeeded.
    pub fn is_success(&self) -> bool {
        matches!(self, AttemptOutcome::Success { .. })
    }

    /// Whether the request provably did not execute.
    pub fn proves_not_executed(&self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected { .. }
                | AttemptOutcome::ConnectionFailed
                | AttemptOutcome::ClosedBeforeWrite
        )
    }

    /// The endpoint's load report; empty if none came.
    pub fn load(&self) -> &[f64] {
        match self {
            AttemptOutcome::Success { load }
            | AttemptOutcome::ErrorResponse { load }
            | AttemptOutcome::Rejected { load } => load,
            _ => &[],
        }
    }

    /// Why a request is rejected whose last attempt ended this way.
    pub fn rejection_reason(&self) -> RejectionReason {
        if *self == AttemptOutcome::DeadlineExceeded {
            RejectionReason::DeadlineExceeded
        } else {
            RejectionReason::AttemptsFailed
        }
    }
}

/// A request in flight.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Duration,
    /// The endpoint of the current attempt.
    pub(crate) server: String,
    pub(crate) attempt_started_at: Duration,
    retry_budget: RetryBudget,
}

impl Request {
    /// A request of `class` whose first attempt goes to `server`.
    pub(crate) fn new(
        class: usize,
        now: Duration,
        deadline: Duration,
        server: String,
        retry_policy: RetryPolicy,
    ) -> Request {
        Request {
            class,
            arrived_at: now,
            deadline,
            server,
            attempt_started_at: now,
            retry_budget: RetryBudget::new(retry_policy),
        }
    }

    /// Whether another attempt may follow one that ended with `outcome`.
    pub(crate) fn may_retry(
        &mut self,
        now: Duration,
        outcome: &AttemptOutcome,
        repeats: RetrySafety,
    ) -> bool {
        now < self.deadline && self.retry_budget.allows_retry_after(outcome, repeats)
    }

    /// Starts another attempt.
    pub(crate) fn retry(&mut self, now: Duration, server: String) {
        self.retry_budget.consume();
        self.server = server;
        self.attempt_started_at = now;
    }
}
