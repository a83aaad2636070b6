//! A batch of commands under validation, and the tables after it.

use crate::rejection::Rejection;
use crate::tracked_proxy::Assignment;
use crate::tracked_table::Entries;
use runloom_controller::{Command, ServerId, TableId};
use std::collections::{BTreeMap, BTreeSet};

/// Rejections by the position of the command in its batch.
pub(crate) type Rejections = BTreeMap<usize, Rejection>;

/// Commands that go out as one message per proxy, and those of them that are rejected so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Batch<'a> {
    pub commands: &'a [Command],
    pub rejections: &'a Rejections,
}

impl<'a> Batch<'a> {
    /// The commands that are not rejected so far, with their positions in the batch.
    pub fn accepted(self) -> impl Iterator<Item = (usize, &'a Command)> + Clone {
        let commands = self.commands.iter().enumerate();
        commands.filter(move |(position, _)| !self.rejections.contains_key(position))
    }
}

/// Tables, assignments and ejections after the accepted commands of a batch.
#[derive(Debug, Default)]
pub(crate) struct StagedBatch {
    /// The changed tables, with their entries after the batch.
    pub tables: BTreeMap<TableId, Entries>,
    pub assignments: Vec<Assignment>,
    /// All servers that are ejected after the batch.
    pub ejected: BTreeSet<ServerId>,
    /// Change in the number of proxies assigned to each table.
    pub assigned_count_changes: BTreeMap<TableId, i64>,
}

impl StagedBatch {
    /// The tables that the batch changes or assigns proxies to.
    pub fn touched_tables(&self) -> BTreeSet<TableId> {
        let assigned = self.assignments.iter().map(|assignment| assignment.table);
        self.tables.keys().copied().chain(assigned).collect()
    }

    /// Applies an accepted command; `published_entries` returns a table's entries before the batch.
    pub fn apply(&mut self, command: &Command, published_entries: impl Fn(TableId) -> Entries) {
        match command {
            Command::SetEntry { table, server, weight } => {
                let entries = self.tables.entry(*table).or_insert_with(|| published_entries(*table));
                if *weight > 0.0 {
                    entries.insert(*server, *weight);
                } else {
                    entries.remove(server);
                }
            }
            Command::ClearTable { table } => _ = self.tables.insert(*table, Entries::new()),
            Command::AssignTable { proxy, table, class_mask } => {
                let assignment = Assignment { proxy: *proxy, table: *table, class_mask: *class_mask };
                self.assignments.push(assignment);
            }
            Command::EjectServer { server, ejected: true } => _ = self.ejected.insert(*server),
            Command::EjectServer { server, ejected: false } => _ = self.ejected.remove(server),
            _ => {}
        }
    }
}
