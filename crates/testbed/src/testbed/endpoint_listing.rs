//! The endpoint list that the feed sends: which servers are on it, and when it changes.

use super::Testbed;
use crate::fake_servers::FakeServer;
use crate::management_clients::ServerList;
use runloom_daemon::wall_ms;
use runloom_model::listed_server::ListedServer;
use std::collections::BTreeSet;
use std::time::Duration;

/// Two start times of a server that differ by at most this much denote the same start.
const START_TIME_TOLERANCE_MS: u64 = 1000;

/// The servers, by name, that the feed lists as draining or does not list.
#[derive(Debug, Default)]
pub(super) struct EndpointListing {
    pub draining: BTreeSet<String>,
    pub removed: BTreeSet<String>,
    /// Servers that are not listed although they run.
    pub falsely_removed: BTreeSet<String>,
    /// Servers that a fault crashed and that have not been started again. The feed detects no other failures:
    /// unreachable, hanging and overloaded servers stay listed.
    pub crashed: BTreeSet<String>,
}

impl EndpointListing {
    /// Whether a server drains, was removed, or was falsely removed.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.draining.contains(server)
            || self.removed.contains(server)
            || self.falsely_removed.contains(server)
    }

    fn is_listed(&self, server: &str) -> bool {
        !self.removed.contains(server)
            && !self.falsely_removed.contains(server)
            && !self.crashed.contains(server)
    }

    /// The entry of a server in the list; `now` is on the event loop's clock.
    fn listed_server(&self, server: &FakeServer, now: Duration) -> ListedServer {
        let age_ms = now.saturating_sub(server.started_at).as_millis() as u64;
        ListedServer {
            address: server.address,
            zone: server.zone.clone(),
            kind: "std".into(),
            cell: 0,
            is_draining: self.draining.contains(&server.name),
            weight: 1.0,
            // Rounded down to whole seconds.
            started_ms: server.has_cold_start.then(|| (wall_ms() - age_ms) / 1000 * 1000),
        }
    }
}

impl Testbed {
    /// The list as it is now.
    pub(super) fn endpoint_list(&self) -> ServerList {
        let now = self.event_loop.now();
        let listed = self.servers.all.iter().filter(|server| self.listing.is_listed(&server.name));
        listed.map(|server| (server.name.clone(), self.listing.listed_server(server, now))).collect()
    }

    /// Publishes the current list, which the feed sends after [`crate::scenario::Scenario::feed_delay`].
    pub(super) fn publish_endpoint_list(&mut self) {
        let from = self.epoch.elapsed() + self.scenario.feed_delay;
        let mut list = self.endpoint_list();
        if let Some(previous) = self.management.newest_list() {
            keep_start_times(&previous, &mut list);
        }
        self.management.publish_list(from, list);
    }
}

/// Keeps the start times of the previous list, since those computed again from a server's age can differ by rounding.
fn keep_start_times(previous: &ServerList, list: &mut ServerList) {
    for (name, listed) in list {
        let Some(old) = previous.get(name).and_then(|server| server.started_ms) else { continue };
        if listed.started_ms.is_some_and(|new| old.abs_diff(new) <= START_TIME_TOLERANCE_MS) {
            listed.started_ms = Some(old);
        }
    }
}
