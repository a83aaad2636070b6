//! Health checks that the platform orders: queued, dialed, and reported back to it.

use super::PlatformRuntime;
use runloom_controller::HealthCheckResult;
use runloom_event_loop::{ConnectionId, ConnectionLimits, Security};
use runloom_platform_protocol::health_check::{self, HealthCheck, HealthCheckOutcome};
use std::net::SocketAddr;

/// A health check that waits for a free connection.
pub(super) struct QueuedHealthCheck {
    pub(super) ticket: u64,
    pub(super) address: SocketAddr,
}

impl PlatformRuntime {
    /// Dials queued health checks until [`health_check::MAX_CONCURRENT`] are in flight.
    pub(super) fn start_queued_health_checks(&mut self) {
        while self.health_checks.len() < health_check::MAX_CONCURRENT {
            let Some(queued) = self.queued_health_checks.pop_front() else { return };
            self.dial_health_check(HealthCheck::new(queued.ticket, queued.address, self.now()));
        }
    }

    /// Opens a connection for a health check and sends its request.
    pub(super) fn dial_health_check(&mut self, check: HealthCheck) {
        let limits =
            ConnectionLimits { handshake_timeout: health_check::TIMEOUT * 2, ..ConnectionLimits::default() };
        match self.event_loop.dial(check.address, &Security::Plain, limits) {
            Ok(conn) => {
                // What is written before the connection is established is sent once it is.
                let request = health_check::request(check.address, self.platform.wants_load());
                self.event_loop.write(conn, &request);
                self.health_checks.insert(conn, check);
            }
            // No file descriptor or no route: a local failure, which says nothing about the server.
            Err(_) => self.report_health_check(&check, HealthCheckResult::Inconclusive.into()),
        }
    }

    /// Ends the health checks whose deadline has passed.
    pub(super) fn end_overdue_health_checks(&mut self) {
        let read_until = self.read_until();
        let overdue = self.health_checks.iter().filter(|(_, check)| read_until >= check.deadline());
        let overdue: Vec<(ConnectionId, HealthCheckOutcome)> =
            overdue.map(|(conn, check)| (*conn, check.timeout_outcome())).collect();
        for (conn, outcome) in overdue {
            self.finish_health_check(conn, outcome);
        }
    }

    /// Ends a health check that has an outcome, and closes its connection.
    pub(super) fn finish_health_check(&mut self, conn: ConnectionId, outcome: HealthCheckOutcome) {
        if let Some(check) = self.health_checks.remove(&conn) {
            self.event_loop.abort(conn);
            self.report_health_check(&check, outcome);
        }
    }

    /// Reports an outcome to the platform, and logs it unless it is a success.
    pub(super) fn report_health_check(&mut self, check: &HealthCheck, outcome: HealthCheckOutcome) {
        let elapsed = self.now().saturating_sub(check.started_at);
        if outcome.result != HealthCheckResult::Success {
            tracing::info!(
                to = %check.address,
                found = ?outcome.result,
                after = ?elapsed,
                "health check did not succeed"
            );
        }
        self.platform.handle_health_check(check.ticket, outcome, elapsed);
    }
}
