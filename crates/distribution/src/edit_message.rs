//! Conversion of table edits to published changes, and of published updates to edit messages.

use runloom_model::published_value::{
    format_admission_limit, format_entry, parse_admission_limit, parse_entry,
};
use runloom_model::table_update::{AdmissionLimit, EntryEdit, TableEdit, UpdateMessage};
use runloom_versioned_publisher::{Change, Key, TableUpdate, TopicKind};

/// The changes that a table edit makes to the published table.
pub(crate) fn edit_changes(edit: &TableEdit) -> Vec<Change> {
    let entries = edit.entries.iter().map(|(server, entry)| entry_change(server, entry));
    let limits = edit.admission_limits.iter().map(|(class, limit)| limit_change(class, limit));
    entries.chain(limits).collect()
}

/// The change of a server's entry. A weight of 0 removes the entry.
fn entry_change(server: &str, entry: &EntryEdit) -> Change {
    let value = (entry.weight > 0.0).then(|| format_entry(&entry.address, entry.weight).into());
    Change { key: Key::Entry(server.to_string()), value }
}

fn limit_change(class: &str, limit: &AdmissionLimit) -> Change {
    Change { key: Key::AdmissionLimit(class.to_string()), value: Some(format_admission_limit(limit).into()) }
}

/// Adds a published update to an edit message.
pub(crate) fn add_update(message: &mut UpdateMessage, update: &TableUpdate) {
    match update.topic.kind {
        TopicKind::Assignments => add_assignments(message, update),
        TopicKind::Ejections => add_ejections(message, update),
        TopicKind::Weights | TopicKind::Subset | TopicKind::Range => {
            message.tables.insert(update.topic.table, table_edit(update));
        }
    }
}

fn add_assignments(message: &mut UpdateMessage, update: &TableUpdate) {
    for Change { key, value } in update.changes() {
        let table = value.as_ref().and_then(|value| value.parse().ok());
        if let (Key::Assignment(class), Some(table)) = (key, table) {
            message.assignments.insert(class.clone(), table);
        }
    }
}

fn add_ejections(message: &mut UpdateMessage, update: &TableUpdate) {
    for Change { key, value } in update.changes() {
        if let Key::Ejection(server) = key {
            message.ejections.insert(server.clone(), value.is_some());
        }
    }
}

fn table_edit(update: &TableUpdate) -> TableEdit {
    let mut edit = TableEdit { replaces_table: update.base_version.is_none(), ..TableEdit::default() };
    for Change { key, value } in update.changes() {
        let value = value.as_deref();
        match key {
            Key::Entry(server) => _ = edit.entries.insert(server.clone(), entry_edit(value)),
            Key::AdmissionLimit(class) => {
                _ = edit.admission_limits.insert(class.clone(), admission_limit(value))
            }
            Key::Ejection(_) | Key::Assignment(_) => {}
        }
    }
    edit
}

/// The edit of an entry; for a removed entry one with weight 0.
fn entry_edit(value: Option<&str>) -> EntryEdit {
    let entry = value.and_then(parse_entry);
    entry.map(|(address, weight)| EntryEdit { address: address.to_string(), weight }).unwrap_or_default()
}

/// The admission limit of a value. A removed limit becomes the default: all requests are admitted, with the default
/// retry policy.
fn admission_limit(value: Option<&str>) -> AdmissionLimit {
    value.and_then(parse_admission_limit).unwrap_or_default()
}
