//! The report to the operators on an ejected endpoint: the counts that led to the ejection.

use crate::endpoint::{Endpoint, HealthState};
use crate::event::ServerId;

/// The counts of an endpoint at the moment of its ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionReport {
    /// The endpoint.
    pub server: ServerId,
    /// Its health state after the ejection: [`HealthState::Ejected`] or [`HealthState::LongEjected`].
    pub health: HealthState,
    /// Recent failed attempts; older ones count less, since counters are halved periodically.
    pub failures: f32,
    /// Recent attempts, weighted likewise.
    pub attempts: f32,
    /// Failures since the last success.
    pub consecutive_failures: f32,
    /// Whether a health check could not connect.
    pub connection_refused: bool,
    /// Consecutive health checks without an answer.
    pub unanswered_checks: u32,
}

impl EjectionReport {
    pub(crate) fn new(server: ServerId, endpoint: &Endpoint) -> EjectionReport {
        EjectionReport {
            server,
            health: endpoint.health,
            failures: endpoint.failures,
            attempts: endpoint.attempts,
            consecutive_failures: endpoint.consecutive_failures,
            connection_refused: endpoint.connection_refused,
            unanswered_checks: endpoint.unanswered_checks,
        }
    }

    /// Formats the log line with the endpoint's name.
    ///
    /// The wording is stable: logs, records and the adapter's replies to the simulator contain this line, and a
    /// replay compares it.
    pub fn log_line(&self, server_name: &str) -> String {
        let state = match self.health {
            HealthState::LongEjected => "Held",
            _ => "Withdrawn",
        };
        let EjectionReport {
            failures,
            attempts,
            consecutive_failures,
            connection_refused,
            unanswered_checks,
            ..
        } = self;
        format!(
            "server {server_name} {state}: {failures:.0} of {attempts:.0} failed, {consecutive_failures} in a row; \
             probes: refused {connection_refused}, unanswered {unanswered_checks}"
        )
    }
}
