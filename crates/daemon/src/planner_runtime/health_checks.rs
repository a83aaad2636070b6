//! Health checks that the controller orders: one HTTP request to a server each.

use crate::http::MessageReader;
use runloom_control_session::ControlSession;
use runloom_controller::HealthCheckResult;
use runloom_event_loop::{CloseReason, ConnectionId, ConnectionLimits, EventLoop, Security};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time from dialing within which a health check has to be answered.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Most health checks in flight at a time; further ones end as inconclusive.
const MAX_IN_FLIGHT: usize = 1024;
/// The HTTP request of a health check.
const REQUEST: &[u8] = b"GET /health HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\r\n";
/// The response header with the server's load report.
const LOAD_HEADER: &str = "runloom-load";

/// A health check in flight.
struct HealthCheck {
    server: usize,
    sent: Duration,
    reader: MessageReader,
}

impl HealthCheck {
    fn report(&self, control: &mut ControlSession, result: HealthCheckResult, now: Duration, load: Vec<f64>) {
        control.record_health_check(self.server, result, now.saturating_sub(self.sent), load);
    }
}

/// All health checks in flight.
#[derive(Default)]
pub(super) struct HealthChecks {
    in_flight: BTreeMap<ConnectionId, HealthCheck>,
}

impl HealthChecks {
    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.in_flight.keys().copied()
    }

    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.in_flight.contains_key(&connection)
    }

    /// Dials a server for a health check. Without a free slot or a socket, the result is inconclusive.
    pub(super) fn start(
        &mut self,
        control: &mut ControlSession,
        event_loop: &mut EventLoop,
        server: usize,
        address: SocketAddr,
    ) {
        let sent = event_loop.now();
        let connection = if self.in_flight.len() < MAX_IN_FLIGHT {
            event_loop.dial(address, &Security::Plain, ConnectionLimits::default()).ok()
        } else {
            None
        };
        match connection {
            Some(connection) => {
                let check = HealthCheck { server, sent, reader: MessageReader::responses() };
                self.in_flight.insert(connection, check);
            }
            None => {
                control.record_health_check(server, HealthCheckResult::Inconclusive, Duration::ZERO, vec![])
            }
        }
    }

    /// Sends the request on a connection that was established.
    pub(super) fn send_request(event_loop: &mut EventLoop, connection: ConnectionId) {
        event_loop.write(connection, REQUEST);
    }

    pub(super) fn handle_bytes(
        &mut self,
        control: &mut ControlSession,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(check) = self.in_flight.get_mut(&connection) else { return };
        check.reader.push(bytes);
        let (result, load) = match check.reader.next_message() {
            Ok(None) => return,
            Ok(Some(response)) => match response.code {
                200..=299 => (HealthCheckResult::Success, response.numbers(LOAD_HEADER)),
                503 => (HealthCheckResult::Rejected, vec![]),
                _ => (HealthCheckResult::ErrorResponse, vec![]),
            },
            Err(_) => (HealthCheckResult::ErrorResponse, vec![]),
        };
        check.report(control, result, event_loop.now(), load);
        self.in_flight.remove(&connection);
        event_loop.abort(connection);
    }

    /// Reports the health check on a connection that ended without a response.
    pub(super) fn handle_close(
        &mut self,
        control: &mut ControlSession,
        connection: ConnectionId,
        reason: CloseReason,
        now: Duration,
    ) {
        let Some(check) = self.in_flight.remove(&connection) else { return };
        let result = match reason {
            CloseReason::Slow | CloseReason::Idle => HealthCheckResult::Timeout,
            _ => HealthCheckResult::ConnectionFailed,
        };
        check.report(control, result, now, vec![]);
    }

    /// Aborts health checks that were not answered in time, and reports a timeout for each.
    pub(super) fn time_out(
        &mut self,
        control: &mut ControlSession,
        event_loop: &mut EventLoop,
        now: Duration,
    ) {
        let overdue = self.in_flight.iter().filter(|(_, check)| now >= check.sent + HEALTH_CHECK_TIMEOUT);
        let overdue: Vec<ConnectionId> = overdue.map(|(connection, _)| *connection).collect();
        for connection in overdue {
            event_loop.abort(connection);
            self.handle_close(control, connection, CloseReason::Slow, event_loop.now());
        }
    }
}
