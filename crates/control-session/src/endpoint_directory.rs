//! Directory of the listed servers: indices, addresses, states and last weights.

use crate::clock::WallClock;
use crate::session::UNKNOWN_NAME;
use runloom_controller::{EndpointRecord, IdMap, ListedState, ServerId};
use runloom_inventory::{Change, Server};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Weight of a server that is removed without ever having been listed.
const DEFAULT_WEIGHT: f64 = 1.0;

/// All servers that have ever been listed or removed.
#[derive(Debug, Default)]
pub(crate) struct EndpointDirectory {
    servers: IdMap<String>,
    kinds: IdMap<String>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    weights: BTreeMap<ServerId, f64>,
    states: BTreeMap<ServerId, &'static str>,
}

impl EndpointDirectory {
    /// The index of a server; `None` if no endpoint list has named it.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name)
    }

    /// The name of a server, or `?` for an unknown index.
    pub fn name(&self, server: ServerId) -> &str {
        self.servers.name(server).map_or(UNKNOWN_NAME, String::as_str)
    }

    /// Address that a server listens on, by the last list that had one; `None` if it was never listed.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// State of each server as of the newest list: `ready`, `draining` or `gone`.
    pub fn states(&self) -> &BTreeMap<ServerId, &'static str> {
        &self.states
    }

    /// Applies a change of the endpoint list, and returns it as the controller's record.
    pub fn update(
        &mut self,
        name: String,
        change: Change,
        zones: &mut IdMap<String>,
        wall_clock: WallClock,
    ) -> EndpointRecord {
        let server = self.servers.index(name);
        match change {
            Change::Updated(listed) => self.list_server(server, listed, zones, wall_clock),
            Change::Removed => self.remove_server(server),
        }
    }

    fn list_server(
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
            // A start before the controller's clock began becomes `None`, which the controller takes for long ago.
            started: listed.started_ms.and_then(|at| wall_clock.to_controller_time(at)),
        }
    }

    fn remove_server(&mut self, server: ServerId) -> EndpointRecord {
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

    /// Returns and stores the server's weight: that of the record or, if the record removes the server, the last one
    /// listed.
    pub fn update_weight(&mut self, record: &EndpointRecord) -> f64 {
        let weight = if record.state == ListedState::Removed {
            self.weights.get(&record.server).copied().unwrap_or(DEFAULT_WEIGHT)
        } else {
            record.weight
        };
        self.weights.insert(record.server, weight);
        weight
    }
}
