//! Validation of operators' edits before they are accepted.
//!
//! The endpoint list itself is never rejected, since it states facts; each command that follows from it is
//! validated.

use crate::rules::MIN_WEIGHT_SHARE;

/// A server of the pool, before or after an edit.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolServer {
    /// Its name in the endpoint list.
    pub name: String,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Whether its warm-up is over.
    pub is_warm: bool,
    /// Its configured weight; 0 if it gets no requests.
    pub weight: f64,
}

/// Error of an edit that would leave no usable server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmptiedPool {
    /// Names of the usable servers before the edit, of which one has to stay; only warm ones if there were any.
    pub removed_servers: Vec<String>,
}

/// Validates an edit by the servers before and after it: if there was a usable warm server, one has to stay, and
/// if there was any usable server, any one has to stay.
pub fn validate_edit(before: &[PoolServer], after: &[PoolServer]) -> Result<(), EmptiedPool> {
    for must_be_warm in [true, false] {
        let usable_before = usable_servers(before, must_be_warm);
        if !usable_before.is_empty() && usable_servers(after, must_be_warm).is_empty() {
            return Err(EmptiedPool { removed_servers: usable_before });
        }
    }
    Ok(())
}

/// Names of the usable servers: not draining, and with a weight that is not negligible beside the largest.
fn usable_servers(pool: &[PoolServer], must_be_warm: bool) -> Vec<String> {
    let max_weight = pool.iter().map(|server| server.weight).fold(0.0, f64::max);
    let is_usable = |server: &&PoolServer| {
        !server.is_draining
            && (server.is_warm || !must_be_warm)
            && server.weight > 0.0
            && server.weight >= max_weight * MIN_WEIGHT_SHARE
    };
    pool.iter().filter(is_usable).map(|server| server.name.clone()).collect()
}
