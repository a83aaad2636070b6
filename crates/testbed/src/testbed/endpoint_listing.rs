//! The endpoint list as the feed has it: which servers are on it, and when it changes.

use super::Testbed;
use crate::fake_servers::FakeServer;
use crate::management_clients::ServerList;
use runloom_daemon::wall_ms;
use runloom_model::listed_server::ListedServer;
use std::collections::BTreeSet;
use std::time::Duration;

/// Start times that differ by no more are of the same start.
const START_TIME_TOLERANCE_MS: u64 = 1000;

/// What the feed believes of servers, by name.
#[derive(Debug, Default)]
pub(super) struct EndpointListing {
    pub draining: BTreeSet<String>,
    pub removed: BTreeSet<String>,
    /// Left out of the list although they run.
    pub falsely_removed: BTreeSet<String>,
    /// Processes that ended, as far as the feed noticed. It notices neither an unreachable nor a hanging server.
    pub crashed: BTreeSet<String>,
}

impl EndpointListing {
    /// Whether a server is to drain, or is left out on purpose.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.draining.contains(server)
            || self.removed.contains(server)
            || self.falsely_removed.contains(server)
    }

    fn lists(&self, server: &str) -> bool {
        !self.removed.contains(server)
            && !self.falsely_removed.contains(server)
            && !self.crashed.contains(server)
    }

    fn record(&self, server: &FakeServer, now: Duration) -> ListedServer {
        let age_ms = now.saturating_sub(server.started_at).as_millis() as u64;
        ListedServer {
            address: server.address,
            zone: server.zone.clone(),
            kind: "std".into(),
            cell: 0,
            is_draining: self.draining.contains(&server.name),
            weight: 1.0,
            // Whole seconds, in milliseconds.
            started_ms: server.has_cold_start.then(|| (wall_ms() - age_ms) / 1000 * 1000),
        }
    }
}

impl Testbed {
    /// The list as it is now.
    pub(super) fn endpoint_list(&self) -> ServerList {
        let now = self.event_loop.now();
        let listed = self.servers.all.iter().filter(|server| self.listing.lists(&server.name));
        listed.map(|server| (server.name.clone(), self.listing.record(server, now))).collect()
    }

    /// Publishes a changed list; the feed sends it after its delay.
    pub(super) fn publish_endpoint_list(&mut self) {
        let from = self.epoch.elapsed() + self.scenario.feed_delay;
        let mut list = self.endpoint_list();
        if let Some(previous) = self.management.newest_list() {
            keep_start_times(&previous, &mut list);
        }
        self.management.publish_list(from, list);
    }
}

/// Keeps start times as they were first sent: derived again from a server's age they could differ by the rounding.
fn keep_start_times(previous: &ServerList, list: &mut ServerList) {
    for (name, listed) in list {
        let Some(old) = previous.get(name).and_then(|record| record.started_ms) else { continue };
        if listed.started_ms.is_some_and(|new| old.abs_diff(new) <= START_TIME_TOLERANCE_MS) {
            listed.started_ms = Some(old);
        }
    }
}
