//! The listed servers: their indices, addresses and last weights.

use crate::clock::WallClock;
use crate::session::UNKNOWN_NAME;
use runloom_controller::{EndpointRecord, IdMap, ListedState, ServerId};
use runloom_inventory::{Change, Server};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The weight of a server that is removed without ever having been listed.
const DEFAULT_WEIGHT: f64 = 1.0;

/// All servers that have been listed.
#[derive(Debug, Default)]
pub(crate) struct EndpointDirectory {
    servers: IdMap<String>,
    kinds: IdMap<String>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    weights: BTreeMap<ServerId, f64>,
    states: BTreeMap<ServerId, &'static str>,
}

impl EndpointDirectory {
    /// The index of a server.
    pub fn index(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name)
    }

    /// The name of a server, or `?`.
    pub fn name(&self, server: ServerId) -> &str {
        self.servers.name(server).map_or(UNKNOWN_NAME, String::as_str)
    }

    /// Where a server listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// State of each server by the newest list: `ready`, `draining` or `gone`.
    pub fn states(&self) -> &BTreeMap<ServerId, &'static str> {
        &self.states
    }

    /// Takes a change in, and returns it as the controller's record.
    pub fn update(
        &mut self,
        name: String,
        change: Change,
        zones: &mut IdMap<String>,
        wall_clock: WallClock,
    ) -> EndpointRecord {
        let server = self.servers.index(name);
        match change {
            Change::Updated(listed) => self.list(server, listed, zones, wall_clock),
            Change::Removed => self.remove(server),
        }
    }

    fn list(
        &mut self,
        server: ServerId,
        listed: Server,
        zones: &mut IdMap<String>,
        wall_clock: WallClock,
    ) -> EndpointRecord {
        self.addresses.insert(server, listed.address);
        self.states.insert(server, if listed.is_draining { "draining" } else { "ready" });
        EndpointRecord {
            server,
            zone: zones.index(listed.zone),
            kind: self.kinds.index(listed.kind),
            cell: listed.cell,
            state: if listed.is_draining { ListedState::Draining } else { ListedState::Ready },
            weight: listed.weight,
            // A start before the controller's clock began is long ago.
            started: listed.started_ms.and_then(|at| wall_clock.to_controller_time(at)),
        }
    }

    fn remove(&mut self, server: ServerId) -> EndpointRecord {
        self.states.insert(server, "gone");
        EndpointRecord {
            server,
            zone: 0,
            kind: 0,
            cell: 0,
            state: ListedState::Removed,
            weight: DEFAULT_WEIGHT,
            started: None,
        }
    }

    /// The weight of a record; for a removed server the one that was listed last.
    pub fn last_weight(&mut self, record: &EndpointRecord) -> f64 {
        let weight = if record.state == ListedState::Removed {
            self.weights.get(&record.server).copied().unwrap_or(DEFAULT_WEIGHT)
        } else {
            record.weight
        };
        self.weights.insert(record.server, weight);
        weight
    }
}
