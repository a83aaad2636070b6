//! The rules of `docs/guard.md`, one per module.

mod closed_server;
mod cold_overload;
mod empty_table;
mod usable_value;

use crate::batch::{Batch, Rejections, StagedBatch};
use crate::fleet_state::FleetState;
use crate::rejection::Rejection;
use crate::tracked_table::Entries;
use cold_overload::ColdServers;
use runloom_controller::{Command, TableId};
use std::time::Duration;

pub(crate) use empty_table::MIN_WEIGHT_SHARE;

/// Checks a command by itself: its values, and whether it raises the entry of a closed server.
pub(crate) fn check_command(state: &FleetState, command: &Command) -> Option<Rejection> {
    usable_value::check(command).or_else(|| closed_server::check(state, command))
}

/// Checks the tables after the batch, and returns the rejections of the commands that break a rule.
pub(crate) fn check_batch(
    state: &FleetState,
    now: Duration,
    batch: Batch,
    staged: &StagedBatch,
) -> Rejections {
    let mut rejections = Rejections::new();
    let cold_servers = ColdServers::find(state, now);
    for table in staged.touched_tables() {
        let published = state.entries(table);
        let check = TableCheck { state, now, batch, staged, table, published: &published };
        check.reject_emptying(&mut rejections);
        check.reject_cold_overload(&cold_servers, &mut rejections);
    }
    rejections
}

/// The check of one table that a batch changes or assigns proxies to.
#[derive(Clone, Copy)]
struct TableCheck<'a> {
    state: &'a FleetState,
    now: Duration,
    batch: Batch<'a>,
    staged: &'a StagedBatch,
    table: TableId,
    /// The table's entries before the batch.
    published: &'a Entries,
}

impl<'a> TableCheck<'a> {
    /// The table's entries after the batch.
    fn staged_entries(&self) -> &'a Entries {
        self.staged.tables.get(&self.table).unwrap_or(self.published)
    }
}
