//! The merged inventory of servers, and what changes in it.

use runloom_model::fleet::Fleet;
use runloom_model::listed_server::ListedServer;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server as the controller sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell, a group of machines that share something.
    pub cell: u64,
    /// It finishes the requests that it has and takes no more.
    pub is_draining: bool,
    /// Its share of requests relative to others, before what the controller learns of it.
    pub weight: f64,
    /// When its process started, in milliseconds since 1970.
    pub started_ms: Option<u64>,
}

/// A change of one server.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The server is new, or differs from before.
    Updated(Server),
    /// The server is no longer listed.
    Removed,
}

/// The merged servers by name.
#[derive(Debug, Clone, Default)]
pub struct Inventory {
    servers: BTreeMap<String, Server>,
}

/// Merges a listed server with the operators' overrides.
///
/// An operator's weight replaces the listed one, a drain by either counts, and the zone's share multiplies the
/// weight.
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
    /// The servers by name.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }

    /// Merges the list and the overrides as they are now, and returns what changed.
    ///
    /// An override of a server that is not listed has no effect: the end of a drain does not bring a removed
    /// server back.
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
