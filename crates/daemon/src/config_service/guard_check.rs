//! The guard's checks of an edit: that usable servers remain, and that a limit is not raised for too long.

use runloom_guard::edit_validation::{validate_edit, PoolServer};
use runloom_inventory::merge_overrides;
use runloom_model::fleet::Fleet;
use runloom_model::listed_server::ListedServer;
use runloom_netconf::error::{RpcError, Tag};

/// Longest time for which an edit may raise a limit of the guard, in milliseconds; a mass restart is over by then.
const MAX_RAISE_MS: u64 = 3_600_000;

/// If the edit raises a limit, checks the time until which it is raised: it must be later than now, by at most
/// [`MAX_RAISE_MS`]. `wall_ms` is the time now in milliseconds since 1970.
pub(super) fn check_raised_limit(before: &Fleet, after: &Fleet, wall_ms: u64) -> Result<(), Vec<RpcError>> {
    let is_changed = before.raised_multiple != after.raised_multiple;
    let Some(raised) = after.raised_multiple.filter(|_| is_changed) else { return Ok(()) };
    if raised.until_ms > wall_ms + MAX_RAISE_MS || raised.until_ms <= wall_ms {
        let error = RpcError::application(Tag::InvalidValue, "a bound is raised for an hour at the most");
        return Err(vec![error.at("/fleet/guard/until").with_app_tag("guard-until")]);
    }
    Ok(())
}

/// Checks that an edit leaves a usable server if there was one before it, and a warm one if one was warm.
pub(super) fn check_servers_remain(before: &[PoolServer], after: &[PoolServer]) -> Result<(), Vec<RpcError>> {
    validate_edit(before, after).map_err(|emptied_pool| {
        let first = emptied_pool.removed_servers.first().cloned().unwrap_or_default();
        let message = format!(
            "no open server would be left: one of {} has to stay",
            emptied_pool.removed_servers.join(", ")
        );
        let error = RpcError::application(Tag::OperationFailed, message).with_app_tag("empties-pool");
        vec![error.at(format!("/fleet/server[name='{first}']")).with_info("bad-element", "drain")]
    })
}

/// The listed servers with the fleet's overrides, as the guard checks them; `wall_ms` is the time now in milliseconds
/// since 1970.
pub(super) fn pool_servers<'a>(
    fleet: &Fleet,
    listed: impl Iterator<Item = (&'a String, &'a ListedServer)>,
    wall_ms: u64,
) -> Vec<PoolServer> {
    let warm_after_ms = fleet.warm_up.as_millis() as u64;
    let servers = listed.map(|(name, listed)| {
        let server = merge_overrides(name, listed, fleet);
        let is_warm = server.started_ms.is_none_or(|at| at + warm_after_ms <= wall_ms);
        PoolServer { name: name.clone(), is_draining: server.is_draining, is_warm, weight: server.weight }
    });
    servers.collect()
}
