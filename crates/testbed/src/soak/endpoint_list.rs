//! The true endpoint list of a run, its revisions, and when each server's state was announced to the planner.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// A server's state on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// It takes requests.
    Serving,
    /// It takes no new requests.
    Draining,
    /// It is no longer listed.
    Deleted,
}

impl ServerPhase {
    fn wire_name(self) -> &'static str {
        match self {
            ServerPhase::Serving => "SERVING",
            ServerPhase::Draining => "DRAINING",
            ServerPhase::Deleted => "DELETED",
        }
    }
}

/// A server of the list, also one that was deleted.
#[derive(Debug, Clone)]
pub struct ListedServer {
    /// Its state.
    pub phase: ServerPhase,
    /// The revision that changed its state last.
    pub revision: u64,
    /// When this state was first sent to the current process in a valid line; `None` if it has not been sent yet.
    pub announced_at: Option<Instant>,
    up_since_ms: u64,
}

/// The endpoint list that discovery agents serve.
#[derive(Debug)]
pub struct EndpointList {
    /// The newest revision.
    pub revision: u64,
    /// The oldest revision from which changes are known; watches from earlier ones get the complete list.
    pub oldest_revision: u64,
    /// How often the revision numbers were restarted.
    pub revision_resets: u64,
    /// When they were last restarted.
    pub revisions_reset_at: Option<Instant>,
    /// The servers by id.
    pub servers: BTreeMap<String, ListedServer>,
    health_address: SocketAddr,
    next_id: u64,
}

impl EndpointList {
    /// A list of `count` serving servers without start times, so that none counts as recently started. Its revision is
    /// 40, from which changes are known.
    pub fn new(count: usize, health_address: SocketAddr) -> EndpointList {
        let mut list = EndpointList {
            revision: 40,
            oldest_revision: 40,
            revision_resets: 0,
            revisions_reset_at: None,
            servers: BTreeMap::new(),
            health_address,
            next_id: 0,
        };
        (0..count).for_each(|_| _ = list.add_server(0));
        list.revision = 40;
        list.servers.values_mut().for_each(|server| server.revision = 40);
        list
    }

    /// Adds a serving server as a new revision, and returns its id.
    pub fn add_server(&mut self, up_since_ms: u64) -> String {
        self.next_id += 1;
        self.revision += 1;
        let id = format!("s-{:03}", self.next_id);
        let server = ListedServer {
            phase: ServerPhase::Serving,
            revision: self.revision,
            announced_at: None,
            up_since_ms,
        };
        self.servers.insert(id.clone(), server);
        id
    }

    /// Changes a server's state as a new revision, which is not announced yet.
    pub fn set_phase(&mut self, id: &str, phase: ServerPhase) {
        self.revision += 1;
        let revision = self.revision;
        if let Some(server) = self.servers.get_mut(id) {
            *server = ListedServer { phase, revision, announced_at: None, ..*server };
        }
    }

    /// The ids of the servers in a state.
    pub fn ids(&self, phase: ServerPhase) -> Vec<String> {
        let in_phase = self.servers.iter().filter(|(_, server)| server.phase == phase);
        in_phase.map(|(id, _)| id.clone()).collect()
    }

    /// Restarts the revision numbers; earlier changes and deleted servers are forgotten.
    pub fn reset_revisions(&mut self) {
        self.revision = 3;
        self.oldest_revision = 3;
        self.revision_resets += 1;
        self.revisions_reset_at = Some(Instant::now());
        self.servers.retain(|_, server| server.phase != ServerPhase::Deleted);
        self.servers.values_mut().for_each(|server| server.revision = 3);
    }

    /// Forgets what was announced, since a new process starts.
    pub fn clear_announcements(&mut self) {
        self.servers.values_mut().for_each(|server| server.announced_at = None);
    }

    /// The line for a watch at revision `since`: the changes after it or, if they are not known, the complete list.
    pub fn line(&self, since: u64) -> Value {
        let is_complete = since < self.oldest_revision || since > self.revision;
        let is_wanted = |server: &ListedServer| {
            if is_complete {
                server.phase != ServerPhase::Deleted
            } else {
                server.revision > since
            }
        };
        let members: Vec<Value> =
            self.servers.iter().filter(|(_, s)| is_wanted(s)).map(|(id, s)| self.member(id, s)).collect();
        json!({"revision": self.revision, "complete": is_complete, "members": members})
    }

    /// The complete list as it is in a planner's configuration.
    pub fn complete(&self) -> Value {
        let listed = self.servers.iter().filter(|(_, server)| server.phase != ServerPhase::Deleted);
        let members: Vec<Value> = listed.map(|(id, server)| self.member(id, server)).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }

    /// Records that a line with all states up to `revision` was sent. Does nothing if the revision numbers were
    /// restarted after the line was made; `revision_resets` is the number of restarts at that time.
    pub fn mark_announced(&mut self, revision: u64, revision_resets: u64) {
        if revision_resets != self.revision_resets {
            return;
        }
        let now = Instant::now();
        for server in self.servers.values_mut().filter(|server| server.revision <= revision) {
            server.announced_at.get_or_insert(now);
        }
    }

    fn member(&self, id: &str, server: &ListedServer) -> Value {
        json!({"id": id, "host_port": self.health_address.to_string(), "locality": "a", "flavor": "m",
            "cell": 0, "phase": server.phase.wire_name(), "size": 1.0, "up_since_ms": server.up_since_ms})
    }
}
