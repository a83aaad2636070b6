//! One probe of a server: what is asked, and what its answer says.

use crate::message::load;
use runloom_controller::HealthCheckResult;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// A probe is cheap for a server that is well, and answered within some milliseconds; proxies wait for a
/// server far longer. Two of these fit between a planner's probes of one server.
pub const PATIENCE: Duration = Duration::from_millis(600);
/// Probes at a time: each takes a descriptor, for as long as its patience when a zone is silent.
pub const AT_ONCE: usize = 16;
/// Connections that a probe may take. New connections are reset now and then by servers and ways that are
/// well, some in a thousand: one tells nothing, and a server that is dead refuses the next one as well, at
/// once.
const TRIES: usize = 2;
/// An answer is a head and one small report.
const ANSWER_MOST: usize = 8 << 10;

/// The query, for health alone or for a load report with it.
pub fn query(to: SocketAddr, load: bool) -> Vec<u8> {
    let path = if load { "/metrics/load" } else { "/alive" };
    format!("GET {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n").into_bytes()
}

/// What a probe came to.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheckOutcome {
    pub found: HealthCheckResult,
    pub load: Vec<f64>,
}

impl From<HealthCheckResult> for HealthCheckOutcome {
    fn from(found: HealthCheckResult) -> HealthCheckOutcome {
        HealthCheckOutcome { found, load: vec![] }
    }
}

/// An answer as it comes in.
#[derive(Debug, Default)]
pub struct HealthCheckResponse {
    input: Vec<u8>,
}

impl HealthCheckResponse {
    /// Takes bytes; `Some`: the answer is whole, or is none.
    pub fn push(&mut self, bytes: &[u8], fields: &[String]) -> Option<HealthCheckOutcome> {
        self.input.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        let from = match answer.parse(&self.input) {
            Ok(httparse::Status::Complete(from)) => from,
            Ok(httparse::Status::Partial) if self.input.len() <= ANSWER_MOST => return None,
            // Something answers there, but not as a server does.
            _ => return Some(HealthCheckResult::ErrorResponse.into()),
        };
        match answer.code {
            Some(200) => {}
            // It turns work away: it drains, or is asked too much at once.
            Some(503) => return Some(HealthCheckResult::Rejected.into()),
            _ => return Some(HealthCheckResult::ErrorResponse.into()),
        }
        let length = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
        let length = length.and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse().ok());
        let Some(length) = length.filter(|l: &usize| *l > 0) else {
            return Some(HealthCheckResult::Success.into());
        };
        if length > ANSWER_MOST {
            return Some(HealthCheckResult::ErrorResponse.into());
        }
        let body = self.input.get(from..from + length)?;
        let report = serde_json::from_slice::<Value>(body).ok();
        let load = report.as_ref().and_then(Value::as_object).and_then(|report| load(report, fields));
        Some(HealthCheckOutcome { found: HealthCheckResult::Success, load: load.unwrap_or_default() })
    }
}

/// A probe on its way.
#[derive(Debug)]
pub struct HealthCheck {
    pub ticket: u64,
    pub to: SocketAddr,
    pub since: Duration,
    /// Its connection stands.
    pub open: bool,
    answer: HealthCheckResponse,
    tries: usize,
}

impl HealthCheck {
    pub fn new(ticket: u64, to: SocketAddr, since: Duration) -> HealthCheck {
        HealthCheck { ticket, to, since, open: false, answer: HealthCheckResponse::default(), tries: 1 }
    }

    pub fn push(&mut self, bytes: &[u8], fields: &[String]) -> Option<HealthCheckOutcome> {
        self.answer.push(bytes, fields)
    }

    /// The connection could not be made, or ended before the answer was whole. `None`: it is to be dialled
    /// once more.
    pub fn cut(&mut self) -> Option<HealthCheckOutcome> {
        // Guards against a server withdrawn, for its probation and its ramp, for one connection that was
        // reset, be it amid an answer.
        if self.tries < TRIES {
            (self.tries, self.open, self.answer) = (self.tries + 1, false, HealthCheckResponse::default());
            return None;
        }
        Some(HealthCheckResult::ConnectionFailed.into())
    }

    /// Its patience is over: silence, or no connection at all.
    pub fn late(&self) -> HealthCheckOutcome {
        if self.open { HealthCheckResult::Timeout } else { HealthCheckResult::ConnectionFailed }.into()
    }
}
