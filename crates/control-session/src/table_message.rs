//! Conversion of tables and their changes to table edits, with names in place of indices.

use runloom_controller::{ClassId, ServerId};
use runloom_model::table_update::{AdmissionLimit, EntryEdit, TableEdit};
use std::collections::BTreeMap;

/// Looks up the names and addresses that messages use in place of indices.
pub(crate) struct IndexNames<'a> {
    pub server: &'a dyn Fn(ServerId) -> &'a str,
    pub address: &'a dyn Fn(ServerId) -> String,
    pub class: &'a dyn Fn(ClassId) -> &'a str,
}

impl IndexNames<'_> {
    /// Maps the name of each server to whether it is ejected.
    pub fn ejections<'e>(
        &self,
        ejections: impl Iterator<Item = (&'e ServerId, bool)>,
    ) -> BTreeMap<String, bool> {
        ejections.map(|(server, is_ejected)| ((self.server)(*server).to_string(), is_ejected)).collect()
    }
}

/// Entries and admission limits of a table, or only those that changed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableContent<'a> {
    /// Weight of each server; 0 removes the entry.
    pub entries: &'a BTreeMap<ServerId, f64>,
    pub admission_limits: &'a BTreeMap<ClassId, AdmissionLimit>,
}

impl TableContent<'_> {
    /// Converts the content to an edit, which replaces the table if `is_complete` is set.
    pub fn to_edit(self, is_complete: bool, names: &IndexNames) -> TableEdit {
        // An edit that replaces the table need not remove entries, so those of weight 0 are left out.
        let included = self.entries.iter().filter(|(_, weight)| !is_complete || **weight > 0.0);
        let named_entry = |(server, weight): (&ServerId, &f64)| {
            (
                (names.server)(*server).to_string(),
                EntryEdit { address: (names.address)(*server), weight: *weight },
            )
        };
        let named_limit =
            |(class, limit): (&ClassId, &AdmissionLimit)| ((names.class)(*class).to_string(), *limit);
        TableEdit {
            replaces_table: is_complete,
            entries: included.map(named_entry).collect(),
            admission_limits: self.admission_limits.iter().map(named_limit).collect(),
            is_removed: false,
        }
    }
}
