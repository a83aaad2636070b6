//! The guard's view of an edit: whether it leaves servers in service, and for how long it raises a limit.

use runloom_guard::edit::{self, Seen};
use runloom_inventory::merged;
use runloom_model::fleet::{Fleet, ListedServer};
use runloom_netconf::error::{RpcError, Tag};

/// Longest time for which an edit may raise a limit of the guard, in milliseconds: a mass restart is over by then.
const MAX_RAISE_MS: u64 = 3_600_000;

/// Checks the end of a raised limit against the time now; both in milliseconds since 1970.
pub(super) fn check_raised_limit(before: &Fleet, after: &Fleet, wall_ms: u64) -> Result<(), Vec<RpcError>> {
    let is_changed = before.raised != after.raised;
    let Some((_, until)) = after.raised.filter(|_| is_changed) else { return Ok(()) };
    if until > wall_ms + MAX_RAISE_MS || until <= wall_ms {
        let error = RpcError::application(Tag::InvalidValue, "a bound is raised for an hour at the most");
        return Err(vec![error.at("/fleet/guard/until").app("guard-until")]);
    }
    Ok(())
}

/// Checks that an edit leaves at least one server in service.
pub(super) fn check_servers_left(before: &[Seen], after: &[Seen]) -> Result<(), Vec<RpcError>> {
    edit::judge(before, after).map_err(|empties| {
        let first = empties.takes.first().cloned().unwrap_or_default();
        let why = format!("no open server would be left: one of {} has to stay", empties.takes.join(", "));
        let error = RpcError::application(Tag::OperationFailed, why).app("empties-pool");
        vec![error.at(format!("/fleet/server[name='{first}']")).with("bad-element", "drain")]
    })
}

/// Servers as the guard sees them, at a time in milliseconds since 1970.
pub(super) fn servers_seen<'a>(
    fleet: &Fleet,
    listed: impl Iterator<Item = (&'a String, &'a ListedServer)>,
    wall_ms: u64,
) -> Vec<Seen> {
    let warm_after_ms = fleet.warm_after.as_millis() as u64;
    let seen = listed.map(|(name, listed)| {
        let server = merged(name, listed, fleet);
        let is_warm = server.started.is_none_or(|at| at + warm_after_ms <= wall_ms);
        Seen { name: name.clone(), draining: server.draining, warm: is_warm, weight: server.weight }
    });
    seen.collect()
}
