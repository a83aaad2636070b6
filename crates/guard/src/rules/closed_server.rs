//! Rule 3: the entry of a closed server (draining, removed or never listed) may be lowered, but not raised.

use crate::fleet_state::FleetState;
use crate::rejection::{Rejection, RejectionReason};
use runloom_controller::Command;

/// Rejects a command that raises the weight of a closed server.
pub(super) fn check(state: &FleetState, command: &Command) -> Option<Rejection> {
    let Command::SetEntry { table, server, weight } = command else { return None };
    let published = state.tables.get(table).and_then(|tracked| tracked.entries().get(server));
    if state.is_open(*server) || *weight <= published.copied().unwrap_or(0.0) {
        return None;
    }
    let proxies = state.assigned_proxies(*table);
    let servers = std::iter::once(*server);
    Some(Rejection::new(RejectionReason::SendsToClosedServer, command, *table, &proxies, servers))
}
