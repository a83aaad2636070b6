//! The tables as published, the proxies assigned to them, and the messages that carry the changes.

use crate::table_message::{IndexNames, TableContent};
use runloom_controller::{ClassId, ProxyId, RetryPolicy, ServerId, TableId};
use runloom_model::table_update::{AdmissionLimit, TableEdit, UpdateMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Table number that stands for all tables in [`runloom_controller::Command::SetAdmission`].
const ALL_TABLES: TableId = TableId::MAX;

/// One table as published.
#[derive(Debug, Clone, Default)]
pub struct PublishedTable {
    /// Weight of each server, greater than 0.
    pub entries: BTreeMap<ServerId, f64>,
    /// Admission limit of each class.
    pub admission_limits: BTreeMap<ClassId, AdmissionLimit>,
}

impl PublishedTable {
    /// An edit that replaces the table with this content.
    fn to_edit(&self, names: &IndexNames) -> TableEdit {
        let content = TableContent { entries: &self.entries, admission_limits: &self.admission_limits };
        content.to_edit(true, names)
    }
}

/// Changes of a table since the last messages.
#[derive(Debug, Default)]
struct TableDelta {
    /// The table was cleared first: the delta is its complete content.
    is_cleared: bool,
    /// New weights; 0 removes the entry.
    entries: BTreeMap<ServerId, f64>,
    admission_limits: BTreeMap<ClassId, AdmissionLimit>,
}

impl TableDelta {
    fn to_edit(&self, names: &IndexNames) -> TableEdit {
        let content = TableContent { entries: &self.entries, admission_limits: &self.admission_limits };
        content.to_edit(self.is_cleared, names)
    }
}

/// The tables that a proxy is assigned to, and which of the assignments are not sent to it yet.
#[derive(Debug, Default)]
struct AssignedTables {
    /// The assigned table of each class.
    table_of_class: BTreeMap<ClassId, TableId>,
    /// Classes assigned to a table since the last message.
    unsent_classes: BTreeSet<ClassId>,
    /// Tables assigned since the last message; their complete content is sent.
    unsent_tables: BTreeSet<TableId>,
    /// Tables of this planner that the proxy was assigned to as of the last message with assignments.
    held_tables: BTreeSet<TableId>,
    /// No assignment was sent since the proxy connected: the first one replaces all that it holds.
    awaits_first_assignment: bool,
}

impl AssignedTables {
    fn tables(&self) -> BTreeSet<TableId> {
        self.table_of_class.values().copied().collect()
    }

    fn has_unsent_assignment(&self) -> bool {
        !self.unsent_classes.is_empty()
    }

    fn record_sent_assignment(&mut self) {
        self.awaits_first_assignment = false;
        self.unsent_classes = BTreeSet::new();
        self.unsent_tables = BTreeSet::new();
        self.held_tables = self.tables();
    }
}

/// A message for one proxy.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub proxy: ProxyId,
    pub message: Rc<UpdateMessage>,
    /// Table entries in the message.
    pub entries: usize,
}

/// What determines the message to a proxy whose assignment did not change. Proxies for which it is equal share one
/// message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SharedContent {
    changed_tables: Vec<TableId>,
    has_ejections: bool,
}

/// All tables of a planner as published, and the changes that are not sent yet.
#[derive(Debug, Default)]
pub(crate) struct PublishedTables {
    tables: BTreeMap<TableId, PublishedTable>,
    deltas: BTreeMap<TableId, TableDelta>,
    assignments: BTreeMap<ProxyId, AssignedTables>,
    ejected: BTreeSet<ServerId>,
    /// Servers ejected (true) or readmitted (false) since the last messages were taken.
    ejection_changes: BTreeMap<ServerId, bool>,
}

impl PublishedTables {
    /// The tables by number.
    pub fn tables(&self) -> &BTreeMap<TableId, PublishedTable> {
        &self.tables
    }

    /// Adds a proxy that is not assigned to any table yet.
    pub fn connect_proxy(&mut self, proxy: ProxyId) {
        let assigned = AssignedTables { awaits_first_assignment: true, ..AssignedTables::default() };
        self.assignments.insert(proxy, assigned);
    }

    /// Removes a proxy and its assignments.
    pub fn disconnect_proxy(&mut self, proxy: ProxyId) {
        self.assignments.remove(&proxy);
    }

    /// Sets a server's weight in a table; 0 removes the entry. Setting the published weight again adds no change to a
    /// table that has none.
    pub fn set_entry(&mut self, table: TableId, server: ServerId, weight: f64) {
        let published = self.tables.entry(table).or_default();
        let published_weight = published.entries.get(&server).copied().unwrap_or(0.0);
        if published_weight == weight && !self.deltas.contains_key(&table) {
            return;
        }
        if weight > 0.0 {
            published.entries.insert(server, weight);
        } else {
            published.entries.remove(&server);
        }
        self.deltas.entry(table).or_default().entries.insert(server, weight);
    }

    /// Clears a table: the next message replaces its content.
    pub fn clear(&mut self, table: TableId) {
        self.tables.insert(table, PublishedTable::default());
        self.deltas.insert(table, TableDelta { is_cleared: true, ..TableDelta::default() });
    }

    /// Sets the admission limit of a class in a table, or in all tables if `table` is [`ALL_TABLES`].
    ///
    /// `admission_rate` is what each proxy admits, in requests per second or as a share; `None` admits all requests.
    pub fn set_admission(
        &mut self,
        table: TableId,
        class: ClassId,
        admission_rate: Option<f64>,
        retry_policy: RetryPolicy,
    ) {
        let limit = AdmissionLimit { rate: admission_rate, retry_policy };
        let tables: Vec<TableId> =
            if table == ALL_TABLES { self.tables.keys().copied().collect() } else { vec![table] };
        for table in tables {
            self.tables.entry(table).or_default().admission_limits.insert(class, limit);
            self.deltas.entry(table).or_default().admission_limits.insert(class, limit);
        }
    }

    /// Ejects a server from all tables, or readmits it.
    pub fn set_ejected(&mut self, server: ServerId, is_ejected: bool) {
        if is_ejected {
            self.ejected.insert(server);
        } else {
            self.ejected.remove(&server);
        }
        self.ejection_changes.insert(server, is_ejected);
    }

    /// Assigns classes of a proxy to a table. Has no effect for a proxy that is not connected.
    pub fn assign(&mut self, proxy: ProxyId, table: TableId, classes: impl Iterator<Item = ClassId>) {
        let Some(assigned) = self.assignments.get_mut(&proxy) else { return };
        for class in classes {
            assigned.table_of_class.insert(class, table);
            assigned.unsent_classes.insert(class);
        }
        assigned.unsent_tables.insert(table);
    }

    /// Changes of each table since the last messages were taken.
    pub fn table_changes(&self, names: &IndexNames) -> Vec<(TableId, TableEdit)> {
        self.deltas.iter().map(|(table, delta)| (*table, delta.to_edit(names))).collect()
    }

    /// Servers ejected (true) or readmitted (false) since the last messages were taken, by name.
    pub fn ejection_changes(&self, names: &IndexNames) -> BTreeMap<String, bool> {
        names.ejections(self.ejection_changes.iter().map(|(server, is_ejected)| (server, *is_ejected)))
    }

    /// Takes the messages that carry all changes since the last call to the proxies in `members`.
    ///
    /// A proxy in `required` gets a message even if nothing changed for it.
    pub fn take_messages(
        &mut self,
        members: &[ProxyId],
        required: &BTreeSet<ProxyId>,
        names: &IndexNames,
    ) -> Vec<OutgoingMessage> {
        let mut shared = BTreeMap::new();
        let mut messages = Vec::new();
        for proxy in members {
            let Some(assigned) = self.assignments.get(proxy) else { continue };
            let prepared = if assigned.has_unsent_assignment() {
                let message = self.assignment_message(assigned, names);
                let entries = message.entry_count();
                Some((Rc::new(message), entries))
            } else {
                self.shared_delta_message(assigned, required.contains(proxy), &mut shared, names)
            };
            if let Some((message, entries)) = prepared {
                messages.push(OutgoingMessage { proxy: *proxy, message, entries });
            }
        }
        for assigned in self.assignments.values_mut().filter(|assigned| assigned.has_unsent_assignment()) {
            assigned.record_sent_assignment();
        }
        self.deltas.clear();
        self.ejection_changes.clear();
        messages
    }

    /// The message for a proxy whose assignment did not change, with its number of entries; `None` if the proxy needs
    /// no message. Proxies with the same changes share one message.
    fn shared_delta_message(
        &self,
        assigned: &AssignedTables,
        is_required: bool,
        shared: &mut BTreeMap<SharedContent, (Rc<UpdateMessage>, usize)>,
        names: &IndexNames,
    ) -> Option<(Rc<UpdateMessage>, usize)> {
        let mut changed_tables = Vec::from_iter(assigned.tables());
        changed_tables.retain(|table| self.deltas.contains_key(table));
        // A proxy without an assignment by this planner gets all ejections with its first assignment.
        let has_ejections = !self.ejection_changes.is_empty() && !assigned.table_of_class.is_empty();
        if changed_tables.is_empty() && !has_ejections && !is_required {
            return None;
        }
        let content = SharedContent { changed_tables, has_ejections };
        let prepared = shared.entry(content).or_insert_with_key(|content| {
            let message = self.delta_message(content, names);
            let entries = message.entry_count();
            (Rc::new(message), entries)
        });
        Some(prepared.clone())
    }

    /// The message that carries the changes named by `content`.
    fn delta_message(&self, content: &SharedContent, names: &IndexNames) -> UpdateMessage {
        let mut message = UpdateMessage::default();
        for table in &content.changed_tables {
            message.tables.insert(*table, self.deltas[table].to_edit(names));
        }
        if content.has_ejections {
            message.ejections = self.ejection_changes(names);
        }
        message
    }

    /// The message for a proxy whose assignment changed.
    fn assignment_message(&self, assigned: &AssignedTables, names: &IndexNames) -> UpdateMessage {
        let is_first = assigned.awaits_first_assignment;
        let mut message = UpdateMessage { replaces_all: is_first, ..UpdateMessage::default() };
        for (class, table) in &assigned.table_of_class {
            if is_first || assigned.unsent_classes.contains(class) {
                message.assignments.insert((names.class)(*class).to_string(), *table);
            }
        }
        let tables = assigned.tables();
        let empty = PublishedTable::default();
        for table in &tables {
            if is_first || assigned.unsent_tables.contains(table) {
                let published = self.tables.get(table).unwrap_or(&empty);
                message.tables.insert(*table, published.to_edit(names));
            } else if let Some(delta) = self.deltas.get(table) {
                message.tables.insert(*table, delta.to_edit(names));
            }
        }
        for table in assigned.held_tables.difference(&tables) {
            message.tables.insert(*table, TableEdit { is_removed: true, ..TableEdit::default() });
        }
        message.ejections = if is_first {
            names.ejections(self.ejected.iter().map(|server| (server, true)))
        } else {
            self.ejection_changes(names)
        };
        message
    }
}
