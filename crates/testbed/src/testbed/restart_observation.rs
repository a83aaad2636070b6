//! What is observed of a planner's restart.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Requests to faulty servers count for this time after a restart.
const FAULTY_SERVER_WINDOW: Duration = Duration::from_secs(30);

/// The last planner that was killed and started again.
#[derive(Debug, Default)]
pub struct RestartObservation {
    /// Done to a planner's state folder before the planner is started again.
    pub(super) before_restart: Option<fn(&Path)>,
    /// When the planner listened again.
    restarted_at: Option<Duration>,
    /// Proxies that received an update since.
    updated_proxies: BTreeSet<usize>,
    /// Servers that did not answer as they should at the restart.
    failing_servers: BTreeSet<String>,
    /// Servers that were slow at the restart.
    slow_servers: BTreeSet<String>,
    /// Time from the restart until all proxies had received an update.
    pub recovery_time: Option<Duration>,
    /// Time from the start of the process until it listened.
    pub start_duration: Duration,
    /// Requests that failing servers received within half a minute of a restart.
    pub requests_to_failing_servers: usize,
    /// Requests that slow servers received within half a minute of a restart.
    pub requests_to_slow_servers: usize,
}

/// Servers with a fault.
pub(super) struct FaultyServers {
    pub failing: BTreeSet<String>,
    pub slow: BTreeSet<String>,
}

impl RestartObservation {
    /// Starts over: a planner listens again.
    pub(super) fn record_restart(&mut self, now: Duration, start_duration: Duration, faulty: FaultyServers) {
        self.restarted_at = Some(now);
        self.start_duration = start_duration;
        self.failing_servers = faulty.failing;
        self.slow_servers = faulty.slow;
        self.updated_proxies.clear();
        self.recovery_time = None;
    }

    /// A proxy received an update.
    pub(super) fn record_update(&mut self, now: Duration, proxy: usize, proxy_count: usize) {
        let Some(restarted_at) = self.restarted_at else { return };
        self.updated_proxies.insert(proxy);
        if self.updated_proxies.len() == proxy_count {
            self.recovery_time.get_or_insert(now.saturating_sub(restarted_at));
        }
    }

    /// A server received a request.
    pub(super) fn record_request(&mut self, at: Duration, server: &str) {
        let is_in_window =
            self.restarted_at.is_some_and(|from| at >= from && at < from + FAULTY_SERVER_WINDOW);
        if is_in_window {
            self.requests_to_failing_servers += usize::from(self.failing_servers.contains(server));
            self.requests_to_slow_servers += usize::from(self.slow_servers.contains(server));
        }
    }
}
