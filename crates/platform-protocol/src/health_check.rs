//! One health check of a server over HTTP/1.1: its request, its response, and its outcome.

use crate::message::parse_load_report;
use runloom_controller::HealthCheckResult;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// A health check without an outcome fails after this long.
pub const TIMEOUT: Duration = Duration::from_millis(600);
/// Health checks at a time; each takes a file descriptor.
pub const MAX_CONCURRENT: usize = 16;
/// Connections that one health check may open: healthy servers reset some new connections in a thousand.
const MAX_CONNECTION_ATTEMPTS: usize = 2;
/// A response is a head and one small report; bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 10;
/// Headers of a response that are parsed.
const MAX_HEADERS: usize = 32;

/// The bytes of the request; with `wants_load` the response carries a load report.
pub fn request(address: SocketAddr, wants_load: bool) -> Vec<u8> {
    let path = if wants_load { "/metrics/load" } else { "/alive" };
    format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").into_bytes()
}

/// How a health check ended.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheckOutcome {
    /// What came of it.
    pub result: HealthCheckResult,
    /// The load report, in the order of the configured metrics; empty for none.
    pub load: Vec<f64>,
}

impl From<HealthCheckResult> for HealthCheckOutcome {
    fn from(result: HealthCheckResult) -> HealthCheckOutcome {
        HealthCheckOutcome { result, load: vec![] }
    }
}

/// A response as it arrives.
#[derive(Debug, Default)]
pub struct HealthCheckResponse {
    input: Vec<u8>,
}

impl HealthCheckResponse {
    /// Appends received bytes; returns the outcome once the response is complete or cannot be one.
    pub fn push(&mut self, bytes: &[u8], load_metrics: &[String]) -> Option<HealthCheckOutcome> {
        self.input.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let body_start = match response.parse(&self.input) {
            Ok(httparse::Status::Complete(body_start)) => body_start,
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_RESPONSE_BYTES => return None,
            // Something listens there that does not speak HTTP.
            _ => return Some(HealthCheckResult::ErrorResponse.into()),
        };
        match response.code {
            Some(200) => {}
            // The server is draining or overloaded.
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
    /// Where the server listens.
    pub address: SocketAddr,
    /// When it was started.
    pub started_at: Duration,
    /// Whether its connection is established.
    pub is_connected: bool,
    response: HealthCheckResponse,
    connection_attempts: usize,
}

impl HealthCheck {
    /// A health check whose first connection is about to be opened.
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

    /// Takes received bytes; returns the outcome if they settle it.
    pub fn handle_bytes(&mut self, bytes: &[u8], load_metrics: &[String]) -> Option<HealthCheckOutcome> {
        self.response.push(bytes, load_metrics)
    }

    /// Takes the end of the connection before an outcome; `None` if another connection is to be opened.
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

    /// When it fails without a response.
    pub fn deadline(&self) -> Duration {
        self.started_at + TIMEOUT
    }

    /// The outcome of a check that has no response at its deadline.
    pub fn timeout_outcome(&self) -> HealthCheckOutcome {
        if self.is_connected { HealthCheckResult::Timeout } else { HealthCheckResult::ConnectionFailed }
            .into()
    }
}
