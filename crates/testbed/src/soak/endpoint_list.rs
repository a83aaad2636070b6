//! The true endpoint list of a run, its revisions, and when its states were announced to the planner.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// A server's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It takes no new ones.
    Draining,
    /// It is off the list.
    Deleted,
}

impl Phase {
    fn wire_name(self) -> &'static str {
        match self {
            Phase::Serving => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Deleted => "DELETED",
        }
    }
}

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its state.
    pub phase: Phase,
    /// The revision that brought this state.
    pub revision: u64,
    /// When a watch of the present process was sent this state.
    pub announced_at: Option<Instant>,
    up_since_ms: u64,
}

/// The list, which agents serve.
#[derive(Debug)]
pub struct EndpointList {
    /// The newest revision.
    pub revision: u64,
    /// Changes since this one are known; older watches get the complete list.
    pub oldest_revision: u64,
    /// How often revisions were counted from the beginning.
    pub resets: u64,
    /// When that last happened.
    pub reset_at: Option<Instant>,
    /// By id.
    pub servers: BTreeMap<String, Server>,
    health_address: SocketAddr,
    next_id: u64,
}

impl EndpointList {
    /// A list of so many servers that have run for long.
    pub fn new(count: usize, health_address: SocketAddr) -> EndpointList {
        let mut list = EndpointList {
            revision: 40,
            oldest_revision: 40,
            resets: 0,
            reset_at: None,
            servers: BTreeMap::new(),
            health_address,
            next_id: 0,
        };
        (0..count).for_each(|_| _ = list.add_server(0));
        list.revision = 40;
        list.servers.values_mut().for_each(|server| server.revision = 40);
        list
    }

    /// Adds a server and returns its id.
    pub fn add_server(&mut self, up_since_ms: u64) -> String {
        self.next_id += 1;
        self.revision += 1;
        let id = format!("s-{:03}", self.next_id);
        let server =
            Server { phase: Phase::Serving, revision: self.revision, announced_at: None, up_since_ms };
        self.servers.insert(id.clone(), server);
        id
    }

    /// Changes a server's state.
    pub fn set_phase(&mut self, id: &str, phase: Phase) {
        self.revision += 1;
        let revision = self.revision;
        if let Some(server) = self.servers.get_mut(id) {
            *server = Server { phase, revision, announced_at: None, ..*server };
        }
    }

    /// The ids of servers in a state.
    pub fn ids(&self, phase: Phase) -> Vec<String> {
        let in_phase = self.servers.iter().filter(|(_, server)| server.phase == phase);
        in_phase.map(|(id, _)| id.clone()).collect()
    }

    /// Counts revisions from the beginning; changes before that are forgotten.
    pub fn reset_revisions(&mut self) {
        self.revision = 3;
        self.oldest_revision = 3;
        self.resets += 1;
        self.reset_at = Some(Instant::now());
        self.servers.retain(|_, server| server.phase != Phase::Deleted);
        self.servers.values_mut().for_each(|server| server.revision = 3);
    }

    /// Nothing was announced to a new process yet.
    pub fn clear_announcements(&mut self) {
        self.servers.values_mut().for_each(|server| server.announced_at = None);
    }

    /// The line for a watch that holds `since`, and whether it is complete.
    pub fn line(&self, since: u64) -> Value {
        let is_complete = since < self.oldest_revision || since > self.revision;
        let is_wanted = |server: &Server| {
            if is_complete {
                server.phase != Phase::Deleted
            } else {
                server.revision > since
            }
        };
        let members: Vec<Value> =
            self.servers.iter().filter(|(_, s)| is_wanted(s)).map(|(id, s)| self.member(id, s)).collect();
        json!({"revision": self.revision, "complete": is_complete, "members": members})
    }

    /// The complete list, as a planner's configuration holds it.
    pub fn complete(&self) -> Value {
        let listed = self.servers.iter().filter(|(_, server)| server.phase != Phase::Deleted);
        let members: Vec<Value> = listed.map(|(id, server)| self.member(id, server)).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }

    /// Notes that all states up to a revision were sent.
    pub fn note_announced(&mut self, revision: u64, resets: u64) {
        if resets != self.resets {
            return;
        }
        let now = Instant::now();
        for server in self.servers.values_mut().filter(|server| server.revision <= revision) {
            server.announced_at.get_or_insert(now);
        }
    }

    fn member(&self, id: &str, server: &Server) -> Value {
        json!({"id": id, "host_port": self.health_address.to_string(), "locality": "a", "flavor": "m",
            "cell": 0, "phase": server.phase.wire_name(), "size": 1.0, "up_since_ms": server.up_since_ms})
    }
}
