//! [`Inventory`]: the merged servers, and the changes from one merge to the next.

use runloom_model::fleet::Fleet;
use runloom_model::listed_server::ListedServer;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server as the controller sees it, with operators' overrides applied.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Kind of machine that it runs on.
    pub kind: String,
    /// Number of its cell, a group of machines that share some resource.
    pub cell: u64,
    /// Whether it finishes its current requests and must get no new ones.
    pub is_draining: bool,
    /// Configured share of requests relative to other servers, before the controller's own adjustments.
    pub weight: f64,
    /// Start time of its process, in milliseconds since 1970; `None` if the list does not have it.
    pub started_ms: Option<u64>,
}

/// A change of one server in the inventory.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The server is new, or any of its values changed; holds the new values.
    Updated(Server),
    /// The server is no longer listed.
    Removed,
}

/// The merged servers, by name.
#[derive(Debug, Clone, Default)]
pub struct Inventory {
    servers: BTreeMap<String, Server>,
}

/// Merges a listed server with the operators' overrides.
///
/// An operator's weight replaces the listed one, and the zone's share multiplies it. The server drains if the list or
/// an operator says so.
pub fn merge_overrides(name: &str, listed: &ListedServer, fleet: &Fleet) -> Server {
    let overrides = fleet.overrides.get(name).cloned().unwrap_or_default();
    Server {
        address: listed.address,
        zone: listed.zone.clone(),
        kind: listed.kind.clone(),
        cell: listed.cell,
        is_draining: listed.is_draining || overrides.is_draining,
        weight: overrides.weight.unwrap_or(listed.weight) * fleet.zone_share(&listed.zone),
        started_ms: listed.started_ms,
    }
}

impl Inventory {
    /// The servers as of the last [`Inventory::update`], by name.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }

    /// Merges the current list and overrides, and returns the changes since the last update.
    ///
    /// An override of a server that is not listed has no effect, so the end of a drain does not bring back a removed
    /// server.
    pub fn update(
        &mut self,
        fleet: &Fleet,
        listed: &BTreeMap<String, ListedServer>,
    ) -> Vec<(String, Change)> {
        let mut changes = Vec::new();
        for (name, entry) in listed {
            let server = merge_overrides(name, entry, fleet);
            if self.servers.get(name) != Some(&server) {
                changes.push((name.clone(), Change::Updated(server.clone())));
                self.servers.insert(name.clone(), server);
            }
        }
        let is_removed = |name: &&String| !listed.contains_key(*name);
        let removed: Vec<String> = self.servers.keys().filter(is_removed).cloned().collect();
        for name in removed {
            self.servers.remove(&name);
            changes.push((name, Change::Removed));
        }
        changes
    }
}
