//! Observations of a planner's restart: the time to recover, and requests to servers with faults.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Time after a restart during which requests to faulty servers are counted.
const FAULTY_SERVER_WINDOW: Duration = Duration::from_secs(30);

/// Observations of the planner that was restarted last.
#[derive(Debug, Default)]
pub struct RestartObservation {
    /// Changes a planner's state folder before the planner is started again.
    pub(super) before_restart: Option<fn(&Path)>,
    /// When the planner listened again; `None` if no planner was restarted.
    restarted_at: Option<Duration>,
    /// Indices of the proxies that have received an update since the restart.
    updated_proxies: BTreeSet<usize>,
    /// Servers that were failing, hanging or unreachable at the restart.
    failing_servers: BTreeSet<String>,
    /// Servers that were slow at the restart.
    slow_servers: BTreeSet<String>,
    /// Time from when the planner listened again until all proxies had received an update; `None` until then.
    pub recovery_time: Option<Duration>,
    /// Time from the start of the process until it listened.
    pub start_duration: Duration,
    /// Number of requests that failing servers received within half a minute after a restart, summed over all restarts.
    pub requests_to_failing_servers: usize,
    /// Number of requests that slow servers received within half a minute after a restart, summed over all restarts.
    pub requests_to_slow_servers: usize,
}

/// Names of the servers with a fault at a restart.
pub(super) struct FaultyServers {
    pub failing: BTreeSet<String>,
    pub slow: BTreeSet<String>,
}

impl RestartObservation {
    /// Records that a restarted planner listens, and begins a new observation of its recovery.
    pub(super) fn record_restart(&mut self, now: Duration, start_duration: Duration, faulty: FaultyServers) {
        self.restarted_at = Some(now);
        self.start_duration = start_duration;
        self.failing_servers = faulty.failing;
        self.slow_servers = faulty.slow;
        self.updated_proxies.clear();
        self.recovery_time = None;
    }

    /// Records that a proxy received an update.
    pub(super) fn record_update(&mut self, now: Duration, proxy: usize, proxy_count: usize) {
        let Some(restarted_at) = self.restarted_at else { return };
        self.updated_proxies.insert(proxy);
        if self.updated_proxies.len() == proxy_count {
            self.recovery_time.get_or_insert(now.saturating_sub(restarted_at));
        }
    }

    /// Records that a server received a request.
    pub(super) fn record_request(&mut self, at: Duration, server: &str) {
        let is_in_window =
            self.restarted_at.is_some_and(|from| at >= from && at < from + FAULTY_SERVER_WINDOW);
        if is_in_window {
            self.requests_to_failing_servers += usize::from(self.failing_servers.contains(server));
            self.requests_to_slow_servers += usize::from(self.slow_servers.contains(server));
        }
    }
}
