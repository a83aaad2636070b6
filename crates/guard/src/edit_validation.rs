//! Validation of operators' edits before they are accepted.
//!
//! The endpoint list itself is never rejected, since it states what is; the commands that follow from it are
//! validated one by one.

use crate::rules::MIN_WEIGHT_SHARE;

/// A server as an edit would leave it.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolServer {
    /// Its name.
    pub name: String,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Whether its warm-up is over.
    pub is_warm: bool,
    /// Its weight.
    pub weight: f64,
}

/// An edit would leave no usable server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmptiedPool {
    /// The servers that the edit takes out, of which one has to stay.
    pub removed_servers: Vec<String>,
}

/// Validates an edit by the servers before and after it: where there was an open warm server, one has to stay,
/// and else any open one.
pub fn validate_edit(before: &[PoolServer], after: &[PoolServer]) -> Result<(), EmptiedPool> {
    for must_be_warm in [true, false] {
        let usable_before = usable_servers(before, must_be_warm);
        if !usable_before.is_empty() && usable_servers(after, must_be_warm).is_empty() {
            return Err(EmptiedPool { removed_servers: usable_before });
        }
    }
    Ok(())
}

/// Names of the servers that are open and of some weight.
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
