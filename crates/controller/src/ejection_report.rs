//! Why an endpoint was ejected, for the operators.

use crate::endpoint::{Endpoint, HealthState};
use crate::event::ServerId;

/// An endpoint's record at the moment of its ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionReport {
    /// The endpoint.
    pub server: ServerId,
    /// Its state from now on: [`HealthState::Ejected`] or [`HealthState::LongEjected`].
    pub health: HealthState,
    /// Failed attempts of late.
    pub failures: f32,
    /// Attempts of late.
    pub attempts: f32,
    /// Failures since the last success.
    pub consecutive_failures: f32,
    /// A health check found no connection.
    pub connection_refused: bool,
    /// Health checks in a row without an answer.
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

    /// The log line, with the endpoint's name.
    ///
    /// Logs, records and the adapter's wire hold this line, and a replay compares it: its wording is stable.
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
