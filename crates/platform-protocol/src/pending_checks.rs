//! Health checks that the controller requested and that have no outcome yet.

use runloom_controller::ServerId;
use std::collections::{BTreeMap, BTreeSet};

/// Health checks without an outcome, at most one for each server: if many servers do not answer, checks queue for a
/// connection, and a second one for the same server would only lengthen the queue.
#[derive(Debug, Default)]
pub(crate) struct PendingChecks {
    by_ticket: BTreeMap<u64, ServerId>,
    servers: BTreeSet<ServerId>,
    last_ticket: u64,
}

impl PendingChecks {
    /// Starts a check and returns its ticket; `None` if one of this server is already pending.
    pub(crate) fn start(&mut self, server: ServerId) -> Option<u64> {
        if !self.servers.insert(server) {
            return None;
        }
        self.last_ticket += 1;
        self.by_ticket.insert(self.last_ticket, server);
        Some(self.last_ticket)
    }

    /// Ends a check and returns its server; `None` if no check with this ticket is pending.
    pub(crate) fn finish(&mut self, ticket: u64) -> Option<ServerId> {
        let server = self.by_ticket.remove(&ticket)?;
        self.servers.remove(&server);
        Some(server)
    }

    /// Whether a check of this server is pending.
    pub(crate) fn contains(&self, server: ServerId) -> bool {
        self.servers.contains(&server)
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.by_ticket.len()
    }
}
