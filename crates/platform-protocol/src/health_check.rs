//! A health check of one server over HTTP/1.1: request, response and outcome.

use crate::message::parse_load_report;
use runloom_controller::HealthCheckResult;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// A health check that has no outcome this long after its start fails, even if its second connection is younger.
pub const TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of concurrent health checks; each takes a file descriptor.
pub const MAX_CONCURRENT: usize = 16;
/// Connections that one health check may open: even healthy servers reset a few of a thousand new connections.
const MAX_CONNECTION_ATTEMPTS: usize = 2;
/// Maximum length of a response's head, and of its body, bytes. The body is one small load report.
const MAX_RESPONSE_BYTES: usize = 8 << 10;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;

/// The bytes of the request; with `wants_load` it asks for a load report in the response.
pub fn request(address: SocketAddr, wants_load: bool) -> Vec<u8> {
    let path = if wants_load { "/metrics/load" } else { "/alive" };
    format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").into_bytes()
}

/// The outcome of a health check.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheckOutcome {
    /// Whether the server answered, and how.
    pub result: HealthCheckResult,
    /// The values of the load report in the order of the configured metrics, NaN where one is missing; empty without a
    /// report.
    pub load: Vec<f64>,
}

impl From<HealthCheckResult> for HealthCheckOutcome {
    fn from(result: HealthCheckResult) -> HealthCheckOutcome {
        HealthCheckOutcome { result, load: vec![] }
    }
}

/// A response that is being received.
#[derive(Debug, Default)]
pub struct HealthCheckResponse {
    input: Vec<u8>,
}

impl HealthCheckResponse {
    /// Appends received bytes; returns the outcome once the response is complete or invalid.
    pub fn push(&mut self, bytes: &[u8], load_metrics: &[String]) -> Option<HealthCheckOutcome> {
        self.input.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let body_start = match response.parse(&self.input) {
            Ok(httparse::Status::Complete(body_start)) => body_start,
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_RESPONSE_BYTES => return None,
            // Not an HTTP response, or one whose head is too long.
            _ => return Some(HealthCheckResult::ErrorResponse.into()),
        };
        match response.code {
            Some(200) => {}
            // A server that is draining or overloaded answers 503.
            Some(503) => return Some(HealthCheckResult::Rejected.into()),
            _ => return Some(HealthCheckResult::ErrorResponse.into()),
        }
        let Some(length) = content_length(response.headers).filter(|length| *length > 0) else {
            return Some(HealthCheckResult::Success.into());
        };
        if length > MAX_RESPONSE_BYTES {
            return Some(HealthCheckResult::ErrorResponse.into());
        }
        let body = self.input.get(body_start..body_start + length)?;
        let load = parse_body(body, load_metrics).unwrap_or_default();
        Some(HealthCheckOutcome { result: HealthCheckResult::Success, load })
    }
}

fn content_length(headers: &[httparse::Header]) -> Option<usize> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(header.value).ok()?.trim().parse().ok()
}

fn parse_body(body: &[u8], load_metrics: &[String]) -> Option<Vec<f64>> {
    let report: Value = serde_json::from_slice(body).ok()?;
    parse_load_report(report.as_object()?, load_metrics)
}

/// A health check in progress.
#[derive(Debug)]
pub struct HealthCheck {
    /// The ticket of [`crate::Action::CheckHealth`].
    pub ticket: u64,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// When it was started.
    pub started_at: Duration,
    /// Whether its current connection is established.
    pub is_connected: bool,
    response: HealthCheckResponse,
    connection_attempts: usize,
}

impl HealthCheck {
    /// A health check whose first connection is yet to be opened.
    pub fn new(ticket: u64, address: SocketAddr, started_at: Duration) -> HealthCheck {
        HealthCheck {
            ticket,
            address,
            started_at,
            is_connected: false,
            response: HealthCheckResponse::default(),
            connection_attempts: 1,
        }
    }

    /// Handles received bytes; returns the outcome if they determine it.
    pub fn handle_bytes(&mut self, bytes: &[u8], load_metrics: &[String]) -> Option<HealthCheckOutcome> {
        self.response.push(bytes, load_metrics)
    }

    /// Handles the end of the connection before an outcome; `None` if the caller has to open another connection.
    #[must_use]
    pub fn handle_closed(&mut self) -> Option<HealthCheckOutcome> {
        if self.connection_attempts >= MAX_CONNECTION_ATTEMPTS {
            return Some(HealthCheckResult::ConnectionFailed.into());
        }
        self.connection_attempts += 1;
        self.is_connected = false;
        self.response = HealthCheckResponse::default();
        None
    }

    /// When the check fails if it has no outcome.
    pub fn deadline(&self) -> Duration {
        self.started_at + TIMEOUT
    }

    /// The outcome of a check that reaches its deadline: a timeout, or a failed connection if none is established.
    pub fn timeout_outcome(&self) -> HealthCheckOutcome {
        if self.is_connected { HealthCheckResult::Timeout } else { HealthCheckResult::ConnectionFailed }
            .into()
    }
}
