//! Validates a rejected command again, from its recorded case alone.

use crate::config::GuardConfig;
use crate::guard::SafetyGuard;
use crate::rejection::Rejection;
use crate::rejection_case::{RejectionCase, RejectionCaseEntry};
use crate::tracked_proxy::Assignment;
use runloom_controller::{Command, ListedState, ProxyId};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time at which a case is replayed: late enough that all replayed servers start after the clock's zero.
const REPLAY_TIME: Duration = Duration::from_secs(10_000_000);
/// Upper bound of a replayed server age or warm-up time, in seconds.
const MAX_REPLAYED_SECONDS: f64 = 1e6;
/// Lower bound of a replayed warm-up time, in seconds.
const MIN_REPLAYED_WARM_UP_SECONDS: f64 = 0.001;
/// The only proxy of a replay: it sends the requests of all of the case's proxies.
const REPLAYED_PROXY: ProxyId = 0;

impl RejectionCase {
    /// The rejected command; one that is no [`Command::SetEntry`] is replayed as [`Command::ClearTable`].
    fn to_command(&self) -> Command {
        match self.rejected_entry {
            Some((server, weight)) => Command::SetEntry { table: self.table, server, weight },
            None => Command::ClearTable { table: self.table },
        }
    }

    /// The guard's settings at the rejection, within the bounds of a replay.
    fn to_config(&self) -> GuardConfig {
        let warm_up = self.warm_up_seconds.clamp(MIN_REPLAYED_WARM_UP_SECONDS, MAX_REPLAYED_SECONDS);
        GuardConfig {
            class_count: self.class_count.max(1),
            planner_count: self.planner_count,
            initial_capacity: self.initial_capacity,
            warm_up: Duration::from_secs_f64(warm_up),
            overload_multiple: self.overload_multiple,
            only_draining_binds: self.only_draining_binds,
        }
    }
}

/// Validates a case's command again, with a new guard that has the case's state only. Returns the rejection, or
/// `None` if the command is accepted now.
pub fn replay_case(case: &RejectionCase) -> Option<Rejection> {
    let mut guard = SafetyGuard::new(case.to_config());
    for entry in &case.entries {
        replay_endpoint(&mut guard, entry);
    }
    let state = guard.state_mut();
    state.servers.set_capacity_per_weight(case.capacity_per_weight);
    state.connect_proxy(REPLAYED_PROXY, case.request_rate);
    // The published entries are installed as they are, without validation.
    let published = case.entries.iter().filter(|entry| entry.weight > 0.0);
    let published = published.map(|entry| (entry.server, entry.weight)).collect();
    state.tables.entry(case.table).or_default().publish(published, &BTreeSet::new());
    state.assign(Assignment { proxy: REPLAYED_PROXY, table: case.table, class_mask: 0 });
    guard.validate(REPLAY_TIME, vec![case.to_command()]);
    guard.rejections().last().cloned()
}

fn replay_endpoint(guard: &mut SafetyGuard, entry: &RejectionCaseEntry) {
    let state = if entry.is_open { ListedState::Ready } else { ListedState::Draining };
    let started = entry
        .age_seconds
        .map(|age| REPLAY_TIME.saturating_sub(Duration::from_secs_f64(age.clamp(0.0, MAX_REPLAYED_SECONDS))));
    guard.update_endpoint(entry.server, state, entry.configured_weight, started);
}
