//! Tables and their changes in the form of a message, with names in place of indices.

use runloom_controller::{ClassId, ServerId};
use runloom_model::table_update::{AdmissionLimit, EntryEdit, TableEdit};
use std::collections::BTreeMap;

/// Names of indices.
pub(crate) struct IndexNames<'a> {
    pub server: &'a dyn Fn(ServerId) -> &'a str,
    pub address: &'a dyn Fn(ServerId) -> String,
    pub class: &'a dyn Fn(ClassId) -> &'a str,
}

impl IndexNames<'_> {
    /// Servers by name, with whether they are ejected.
    pub fn ejections<'e>(
        &self,
        ejections: impl Iterator<Item = (&'e ServerId, bool)>,
    ) -> BTreeMap<String, bool> {
        ejections.map(|(server, is_ejected)| ((self.server)(*server).to_string(), is_ejected)).collect()
    }
}

/// Entries and admission limits of a table, or what changed of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableContent<'a> {
    pub entries: &'a BTreeMap<ServerId, f64>,
    pub admission_limits: &'a BTreeMap<ClassId, AdmissionLimit>,
}

impl TableContent<'_> {
    /// The content as an edit. If `is_complete`, it replaces the table.
    pub fn to_edit(self, is_complete: bool, names: &IndexNames) -> TableEdit {
        // A complete table leaves out removed entries, which have weight 0.
        let kept = self.entries.iter().filter(|(_, weight)| !is_complete || **weight > 0.0);
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
            entries: kept.map(named_entry).collect(),
            admission_limits: self.admission_limits.iter().map(named_limit).collect(),
            is_removed: false,
        }
    }
}
