//! Requests in flight: their attempts, how these end, and what the caller does next.

use crate::retry::RetryState;
use runloom_controller::RetryPolicy;
use runloom_model::traffic_class::RetrySafety;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a request within one proxy.
pub type RequestId = u64;

/// What the caller must do next with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestAction {
    /// Send the request to an endpoint.
    Send {
        /// The name of the server.
        server: String,
        /// The address that the server listens on.
        address: SocketAddr,
        /// The request's deadline: the caller cancels the request then, even if the attempt is still in flight.
        deadline: Duration,
    },
    /// Send the endpoint's response to the client.
    Respond,
    /// Reject the request.
    Reject {
        /// Why the request is rejected.
        reason: RejectionReason,
        /// How long the client is asked to wait before it tries again, if that is known.
        retry_after: Option<Duration>,
    },
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// The request's class has no endpoint.
    NoEndpoint,
    /// The request's class is over its admission rate.
    AdmissionRate,
    /// The proxy has [`crate::MAX_REQUESTS_IN_FLIGHT`] requests in flight.
    TooManyRequests,
    /// The last attempt failed, and no further one is possible.
    AttemptsFailed,
    /// The request's deadline passed.
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

/// How an attempt ended. `load` is the load report in the endpoint's response, NaN where a value is missing.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The endpoint responded, with none of the failures below.
    Success {
        /// The load report.
        load: Vec<f64>,
    },
    /// The endpoint executed the request and responded with an error.
    ErrorResponse {
        /// The load report.
        load: Vec<f64>,
    },
    /// The endpoint stated that it did not begin to execute the request.
    Rejected {
        /// The load report.
        load: Vec<f64>,
    },
    /// No connection could be established, so nothing was written.
    ConnectionFailed,
    /// The connection closed before a byte of the request was written.
    ClosedBeforeWrite,
    /// The connection closed after some of the request was written: it may have executed.
    ClosedAfterWrite,
    /// The request's deadline passed.
    DeadlineExceeded,
}

impl AttemptOutcome {
    /// Whether the attempt succeeded, so that its response goes to the client.
    pub fn is_success(&self) -> bool {
        matches!(self, AttemptOutcome::Success { .. })
    }

    /// Whether the outcome proves that this attempt did not execute the request.
    pub fn proves_not_executed(&self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected { .. }
                | AttemptOutcome::ConnectionFailed
                | AttemptOutcome::ClosedBeforeWrite
        )
    }

    /// The endpoint's load report; empty if there is none.
    pub fn load(&self) -> &[f64] {
        match self {
            AttemptOutcome::Success { load }
            | AttemptOutcome::ErrorResponse { load }
            | AttemptOutcome::Rejected { load } => load,
            _ => &[],
        }
    }

    /// The reason to reject a request whose last attempt ended this way.
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
    /// The server of the current attempt.
    pub(crate) server: String,
    pub(crate) attempt_started_at: Duration,
    retry_state: RetryState,
}

impl Request {
    /// Creates a request of `class` whose first attempt goes to `server`.
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
            retry_state: RetryState::new(retry_policy),
        }
    }

    /// Whether another attempt may follow one that ended with `outcome`.
    pub(crate) fn may_retry(
        &mut self,
        now: Duration,
        outcome: &AttemptOutcome,
        retry_safety: RetrySafety,
    ) -> bool {
        now < self.deadline && self.retry_state.allows_retry_after(outcome, retry_safety)
    }

    /// Starts another attempt.
    pub(crate) fn retry(&mut self, now: Duration, server: String) {
        self.retry_state.count_retry();
        self.server = server;
        self.attempt_started_at = now;
    }
}
