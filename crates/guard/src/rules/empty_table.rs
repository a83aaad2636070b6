//! Rule 1: a table that proxies use keeps at least one usable server.

use super::TableCheck;
use crate::batch::Rejections;
use crate::fleet_state::FleetState;
use crate::rejection::{Rejection, RejectionReason};
use crate::tracked_table::Entries;
use runloom_controller::{Command, ServerId};
use std::collections::BTreeSet;

/// Fraction of the table's largest weight below which an entry counts as none: it gets one request in hours.
pub(crate) const MIN_WEIGHT_SHARE: f64 = 1e-6;

impl TableCheck<'_> {
    /// Rejects the commands that would leave the table without a usable server, if proxies use it.
    pub(super) fn reject_emptying(&self, rejections: &mut Rejections) {
        let is_used = self.state.assigned_count(self.table, self.staged) > 0;
        if !is_used
            || usable_servers(self.state, self.staged_entries(), &self.staged.ejected).next().is_some()
        {
            return;
        }
        let usable: BTreeSet<ServerId> =
            usable_servers(self.state, self.published, &self.state.ejected).collect();
        for (position, command) in self.batch.accepted() {
            if self.may_empty_table(command, &usable) {
                let proxies = self.state.assigned_proxies(self.table);
                let servers = usable.iter().copied();
                let rejection =
                    Rejection::new(RejectionReason::EmptiesTable, command, self.table, &proxies, servers);
                rejections.insert(position, rejection);
            }
        }
    }

    /// Whether a command lowers or removes one of the table's `usable` servers, or assigns a proxy to the table.
    fn may_empty_table(&self, command: &Command, usable: &BTreeSet<ServerId>) -> bool {
        match command {
            // A draining server is not usable, so the removal of its entry is never rejected.
            Command::SetEntry { table, server, weight } => {
                *table == self.table && usable.contains(server) && *weight < self.published[server]
            }
            Command::ClearTable { table } => *table == self.table && !usable.is_empty(),
            Command::EjectServer { server, ejected } => *ejected && usable.contains(server),
            // If no server is open at all, no other table would be better.
            Command::AssignTable { table, .. } => *table == self.table && has_open_server(self.state),
            _ => false,
        }
    }
}

fn has_open_server(state: &FleetState) -> bool {
    state.servers.ids().any(|server| state.is_open(server) && !state.ejected.contains(&server))
}

/// The usable servers of a table: open, not ejected, and with a weight that is not negligible beside the largest.
pub(super) fn usable_servers<'a>(
    state: &'a FleetState,
    entries: &'a Entries,
    ejected: &'a BTreeSet<ServerId>,
) -> impl Iterator<Item = ServerId> + 'a {
    let max_weight = entries.values().copied().fold(0.0, f64::max);
    let is_usable = move |(server, weight): &(&ServerId, &f64)| {
        **weight >= max_weight * MIN_WEIGHT_SHARE && state.is_open(**server) && !ejected.contains(server)
    };
    entries.iter().filter(is_usable).map(|(server, _)| *server)
}
