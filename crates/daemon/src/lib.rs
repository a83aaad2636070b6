//! Event loops, sockets, files and clocks that drive the state machines of the other packages, which do no I/O.
//! Decisions about servers are made in those packages only.

pub mod client;
pub mod commands;
pub mod config_service;
pub mod error;
pub mod http;
pub mod persistence;
pub mod planner_runtime;
pub mod platform_runtime;
pub mod proxy_runtime;
pub mod run;
pub mod settings;
pub mod state_file;
pub mod tls_credentials;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The wall-clock time in milliseconds since 1970; 0 if the clock is set to an earlier time.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The wall-clock time in RFC 3339 format, with milliseconds.
pub fn wall_rfc3339() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

/// The earliest of the times that are present; `None` if there is none.
pub fn earliest(times: impl IntoIterator<Item = Option<Duration>>) -> Option<Duration> {
    times.into_iter().flatten().min()
}
