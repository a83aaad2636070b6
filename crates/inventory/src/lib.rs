//! What servers there are: the feed's word and the operators' merged, and what changed. And the ledger of
//! edits: what was asked, accepted, decided, and where it is in force.

pub mod edit_history;

use runloom_model::fleet::{Fleet, ListedServer};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server as the decisions are told of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub draining: bool,
    pub weight: f64,
    /// Milliseconds since 1970.
    pub started: Option<u64>,
}

/// What became of one server.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// New, or other than before.
    Is(Server),
    Gone,
}

/// The merged roster.
#[derive(Debug, Clone, Default)]
pub struct Inventory {
    servers: BTreeMap<String, Server>,
}

/// Merges one server: an operator's weight stands in place of the feed's; a drain of either binds; a zone's
/// share weighs all servers there.
pub fn merged(name: &str, listed: &ListedServer, fleet: &Fleet) -> Server {
    let word = fleet.words.get(name).cloned().unwrap_or_default();
    Server {
        address: listed.address,
        zone: listed.zone.clone(),
        kind: listed.kind.clone(),
        cell: listed.cell,
        draining: listed.draining || word.drain,
        weight: word.weight.unwrap_or(listed.weight) * fleet.share_of(&listed.zone),
        started: listed.started,
    }
}

impl Inventory {
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }

    /// Takes in the feed's list and the operators' words as they are now; tells what changed. A word on a
    /// server that the feed does not name changes nothing: what is gone is not brought back by an undrain.
    pub fn update(
        &mut self,
        fleet: &Fleet,
        listed: &BTreeMap<String, ListedServer>,
    ) -> Vec<(String, Change)> {
        let mut changes = Vec::new();
        for (name, entry) in listed {
            let server = merged(name, entry, fleet);
            if self.servers.get(name) != Some(&server) {
                changes.push((name.clone(), Change::Is(server.clone())));
                self.servers.insert(name.clone(), server);
            }
        }
        let gone: Vec<String> = self.servers.keys().filter(|n| !listed.contains_key(*n)).cloned().collect();
        for name in gone {
            self.servers.remove(&name);
            changes.push((name, Change::Gone));
        }
        changes
    }
}

#[cfg(test)]
mod tests;
