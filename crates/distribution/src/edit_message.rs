//! Conversion between table edits and published changes.

use runloom_model::order::{level_text, line_text, read_level, read_line, tries};
use runloom_model::order::{AdmissionLimit, Message, TableEdit};
use runloom_versioned_publisher::{Change, Key, TableUpdate, TopicKind};

/// The changes that an edit makes to a published table.
pub(crate) fn changes_of(edit: &TableEdit) -> Vec<Change> {
    let entries = edit.lines.iter().map(|(server, (address, weight))| entry_change(server, address, *weight));
    let limits = edit.levels.iter().map(|(class, limit)| limit_change(class, limit));
    entries.chain(limits).collect()
}

/// A weight of 0 removes the entry.
fn entry_change(server: &str, address: &str, weight: f64) -> Change {
    let value = (weight > 0.0).then(|| line_text(address, weight).into());
    Change { key: Key::Entry(server.to_string()), value }
}

fn limit_change(class: &str, limit: &AdmissionLimit) -> Change {
    Change { key: Key::AdmissionLimit(class.to_string()), value: Some(level_text(limit).into()) }
}

/// Adds a published update to a message.
pub(crate) fn add_update(message: &mut Message, update: &TableUpdate) {
    match update.topic.kind {
        TopicKind::Assignments => add_assignments(message, update),
        TopicKind::Ejections => add_ejections(message, update),
        TopicKind::Weights | TopicKind::Subset | TopicKind::Range => {
            message.tables.insert(update.topic.table, table_edit(update));
        }
    }
}

fn add_assignments(message: &mut Message, update: &TableUpdate) {
    for Change { key, value } in update.changes() {
        let table = value.as_ref().and_then(|value| value.parse().ok());
        if let (Key::Assignment(class), Some(table)) = (key, table) {
            message.binds.insert(class.clone(), table);
        }
    }
}

fn add_ejections(message: &mut Message, update: &TableUpdate) {
    for Change { key, value } in update.changes() {
        if let Key::Ejection(server) = key {
            message.withdrawn.insert(server.clone(), value.is_some());
        }
    }
}

fn table_edit(update: &TableUpdate) -> TableEdit {
    let mut edit = TableEdit { whole: update.base_version.is_none(), ..TableEdit::default() };
    for Change { key, value } in update.changes() {
        let value = value.as_deref();
        match key {
            Key::Entry(server) => _ = edit.lines.insert(server.clone(), entry_of(value)),
            Key::AdmissionLimit(class) => _ = edit.levels.insert(class.clone(), limit_of(value)),
            Key::Ejection(_) | Key::Assignment(_) => {}
        }
    }
    edit
}

/// Address and weight; 0 removes the entry.
fn entry_of(value: Option<&str>) -> (String, f64) {
    let entry = value.and_then(read_line);
    entry.map_or((String::new(), 0.0), |(address, weight)| (address.to_string(), weight))
}

/// A limit that was removed: all requests are admitted, with the default retry policy.
fn limit_of(value: Option<&str>) -> AdmissionLimit {
    value.and_then(read_level).unwrap_or((None, tries("unrun")))
}
