//! Table assignment: gives connected proxies the tables of their subsets, as far as the update channel has room.

use crate::command::Command;
use crate::controller::{Controller, EVALUATION_INTERVAL};
use crate::endpoint::HealthState;
use crate::event::ProxyId;
use crate::proxy::Proxy;
use crate::publication::UpdateWindow;
use crate::subsetting::{table_of, Subset};
use crate::update_draft::{Priority, UpdateDraft};
use std::time::Duration;

/// Under an unreliable list, a proxy keeps the table of an earlier planner until there were this many ticks with
/// reports: by then the list has been compared with the reports.
const TICKS_UNTIL_LIST_IS_CHECKED: u32 = 2;
/// For this long after a removal is due, the first tables of proxies that connected later wait as long as it does. The time
/// is limited since a proxy that is silent may keep the channel from ever having room for a removal.
const MAX_REMOVAL_PRECEDENCE: Duration = Duration::from_secs(1);

impl Controller {
    /// Assigns tables to proxies that have none yet and, if the window is open, to those whose isolated classes
    /// changed. Returns whether any proxy was reassigned.
    pub(crate) fn assign_tables(
        &mut self,
        window: &UpdateWindow,
        draft: &mut UpdateDraft,
        commands: &mut Vec<Command>,
    ) -> bool {
        let mut has_reassigned = false;
        let list_is_unreliable = self.list_is_unreliable();
        for id in 0..self.proxies.len() {
            let proxy = &self.proxies[id];
            let Some(subset) = proxy.subset.filter(|_| proxy.is_connected) else { continue };
            let is_assigned = proxy.assigned.is_some();
            let entries = self.assignment_entries(subset);
            let priority = if is_assigned { Priority::Regular } else { Priority::Urgent };
            let has_room = draft.assignment_cost(id, entries) <= draft.room(priority);
            let is_up_to_date = proxy.assigned == Some(self.subsets[subset].isolated_classes);
            let must_wait = is_assigned && !window.is_open;
            let gives_way = !is_assigned && self.gives_way(proxy, window);
            let has_no_weight = self.subsets[subset].weight <= 0.0;
            let keeps_table = list_is_unreliable && self.keeps_previous_table(id);
            if is_up_to_date || must_wait || gives_way || !has_room || has_no_weight || keeps_table {
                continue;
            }
            has_reassigned |= is_assigned;
            draft.add_assignment(id, entries);
            self.assign_table(id, subset, commands);
        }
        has_reassigned
    }

    /// Whether the first table of a proxy waits as long as a removal does that was due before the proxy connected, or an
    /// evaluation later. First tables are small and would take the room that a removal needs as a whole.
    fn gives_way(&self, proxy: &Proxy, window: &UpdateWindow) -> bool {
        window.removals_wait_since.is_some_and(|due_at| {
            due_at < proxy.connected_at + EVALUATION_INTERVAL && self.now < due_at + MAX_REMOVAL_PRECEDENCE
        })
    }

    /// The exact number of entries that an assignment needs. With an estimate above it, proxies that all connect at
    /// once would wait for their tables longer than the drain grace period.
    fn assignment_entries(&self, subset: usize) -> f64 {
        let Subset { endpoint_count, isolated_classes, published_admissions, .. } = &self.subsets[subset];
        let tables = if *isolated_classes != 0 { 2.0 } else { 1.0 };
        tables * (1 + endpoint_count + published_admissions.len()) as f64
    }

    /// Whether the list may lack endpoints that are in service: endpoints that are missing from it may stay in use,
    /// and it lists none as draining.
    fn list_is_unreliable(&self) -> bool {
        let lists_draining = self.endpoints.iter().any(|endpoint| endpoint.health == HealthState::Draining);
        !lists_draining && self.config.endpoint_list.only_draining_binds
    }

    /// Whether a proxy without an assigned table, under an unreliable list, keeps its table from an earlier planner:
    /// while the list is stale, and until there are enough reports to know whether it is.
    fn keeps_previous_table(&self, proxy: ProxyId) -> bool {
        let proxy = &self.proxies[proxy];
        let is_early =
            proxy.has_previous_table && self.admission.ticks_with_reports < TICKS_UNTIL_LIST_IS_CHECKED;
        proxy.assigned.is_none() && (is_early || self.admission.list_is_stale)
    }

    /// Assigns the tables of a subset to a proxy.
    fn assign_table(&mut self, proxy: ProxyId, subset: usize, commands: &mut Vec<Command>) {
        let isolated_classes = self.subsets[subset].isolated_classes;
        commands.push(Command::AssignTable { proxy, table: table_of(subset, false), class_mask: 0 });
        if isolated_classes != 0 {
            let table = table_of(subset, true);
            commands.push(Command::AssignTable { proxy, table, class_mask: isolated_classes });
        }
        self.proxies[proxy].assigned = Some(isolated_classes);
    }
}
