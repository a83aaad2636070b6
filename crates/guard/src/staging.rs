//! Stages a batch: computes the tables that it would publish.

use crate::batch::{Batch, StagedBatch};
use crate::fleet_state::FleetState;
use crate::tracked_proxy::Assignment;
use crate::tracked_table::TrackedTable;
use runloom_controller::{ClassId, ProxyId, ServerId, TableId};
use std::collections::{BTreeMap, BTreeSet};

impl FleetState {
    /// Applies the accepted commands of a batch to copies of the tables that they change.
    pub(crate) fn stage(&self, batch: Batch) -> StagedBatch {
        let mut staged = StagedBatch { ejected: self.ejected.clone(), ..StagedBatch::default() };
        for (_, command) in batch.accepted() {
            staged.apply(command, |table| self.entries(table));
        }
        if staged.ejected != self.ejected {
            self.stage_tables_with_ejections(&mut staged);
        }
        staged.assigned_count_changes = self.assigned_count_changes(&staged.assignments);
        staged
    }

    /// Adds the tables that list an ejected or readmitted server, since the shares of their other servers change.
    fn stage_tables_with_ejections(&self, staged: &mut StagedBatch) {
        let changed: BTreeSet<ServerId> =
            staged.ejected.symmetric_difference(&self.ejected).copied().collect();
        for (table, tracked) in &self.tables {
            if tracked.entries().keys().any(|server| changed.contains(server)) {
                staged.tables.entry(*table).or_insert_with(|| tracked.entries().clone());
            }
        }
    }

    /// Change in the number of proxies assigned to each table.
    fn assigned_count_changes(&self, assignments: &[Assignment]) -> BTreeMap<TableId, i64> {
        let mut reassigned: BTreeMap<ProxyId, BTreeMap<ClassId, TableId>> = BTreeMap::new();
        for assignment in assignments {
            let Some(proxy) = self.proxies.get(&assignment.proxy) else { continue };
            let table_of_class =
                reassigned.entry(assignment.proxy).or_insert_with(|| proxy.table_of_class.clone());
            for class in self.classes(assignment.class_mask) {
                table_of_class.insert(class, assignment.table);
            }
        }
        let mut changes = BTreeMap::new();
        for (proxy, table_of_class) in &reassigned {
            let before = self.proxies[proxy].tables();
            let after: BTreeSet<TableId> = table_of_class.values().copied().collect();
            for table in after.difference(&before) {
                *changes.entry(*table).or_insert(0) += 1;
            }
            for table in before.difference(&after) {
                *changes.entry(*table).or_insert(0) -= 1;
            }
        }
        changes
    }

    /// Number of proxies assigned to a table once the batch is published.
    pub(crate) fn assigned_count(&self, table: TableId, staged: &StagedBatch) -> i64 {
        let published = self.tables.get(&table).map_or(0, TrackedTable::assigned_count) as i64;
        published + staged.assigned_count_changes.get(&table).copied().unwrap_or(0)
    }
}
