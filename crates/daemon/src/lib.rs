//! The drivers of the program: sockets, files and clocks around the state machines of the other packages, which do no
//! I/O. No decision about servers is made here.

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

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The time now in RFC 3339's form.
pub fn wall_rfc3339() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

/// The earliest of some times.
pub fn earliest(times: impl IntoIterator<Item = Option<Duration>>) -> Option<Duration> {
    times.into_iter().flatten().min()
}
