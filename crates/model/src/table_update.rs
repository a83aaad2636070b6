//! Table updates from a planner to a proxy: one `<edit-config>` for each message (RFC 6241, section 7.2).

use crate::PROXY_NAMESPACE;
use runloom_controller::RetryPolicy;
use runloom_netconf::tree::escape;
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Bytes of a message without entries, about.
const MESSAGE_SIZE: usize = 256;
/// Bytes of an entry, about.
const ENTRY_SIZE: usize = 120;

/// What a proxy admits of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimit {
    /// Requests a second; `None` for all.
    pub rate: Option<f64>,
    /// When a failed attempt may be retried.
    pub retry_policy: RetryPolicy,
}

impl Default for AdmissionLimit {
    /// All requests are admitted, and retried if they were not executed.
    fn default() -> AdmissionLimit {
        AdmissionLimit { rate: None, retry_policy: RetryPolicy::IfNotExecuted }
    }
}

/// A table entry as it is to be.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EntryEdit {
    /// Where the server listens.
    pub address: String,
    /// Its weight; 0 removes the entry.
    pub weight: f64,
}

/// Changes of one table at one proxy.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TableEdit {
    /// It replaces all that the table holds.
    pub replaces_table: bool,
    /// Entries by server.
    pub entries: BTreeMap<String, EntryEdit>,
    /// Admission limits by class.
    pub admission_limits: BTreeMap<String, AdmissionLimit>,
    /// The table is not used any more.
    pub is_removed: bool,
}

/// One message to one proxy.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UpdateMessage {
    /// It replaces all that the proxy holds, whoever wrote it.
    pub replaces_all: bool,
    /// Changes by table.
    pub tables: BTreeMap<u16, TableEdit>,
    /// The table of each class that is assigned.
    pub assignments: BTreeMap<String, u16>,
    /// Servers that are ejected from all tables (true) or readmitted (false).
    pub ejections: BTreeMap<String, bool>,
}

impl UpdateMessage {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        !self.replaces_all
            && self.tables.is_empty()
            && self.assignments.is_empty()
            && self.ejections.is_empty()
    }

    /// Table entries as the channel counts them: each entry, admission limit, assignment and ejection.
    pub fn entry_count(&self) -> usize {
        let of_table = |edit: &TableEdit| edit.entries.len() + edit.admission_limits.len();
        let of_tables: usize = self.tables.values().map(of_table).sum();
        of_tables + self.assignments.len() + self.ejections.len()
    }

    /// The `<edit-config>` that carries it.
    pub fn to_xml(&self) -> String {
        let mut out = String::with_capacity(MESSAGE_SIZE + ENTRY_SIZE * self.entry_count());
        out.push_str("<edit-config><target><running/></target><config>");
        // Writing to a string cannot fail.
        let _ = write!(out, "<tables xmlns=\"{PROXY_NAMESPACE}\" xmlns:nc=\"{BASE}\"");
        out.push_str(if self.replaces_all { " nc:operation=\"replace\">" } else { ">" });
        for (table, edit) in &self.tables {
            self.write_table(&mut out, *table, edit);
        }
        for (class, table) in &self.assignments {
            write_assignment(&mut out, class, *table);
        }
        for (server, is_ejected) in &self.ejections {
            write_ejection(&mut out, server, *is_ejected);
        }
        out.push_str("</tables></config></edit-config>");
        out
    }

    fn write_table(&self, out: &mut String, table: u16, edit: &TableEdit) {
        out.push_str(match edit {
            TableEdit { is_removed: true, .. } => "<table nc:operation=\"remove\">",
            TableEdit { replaces_table: true, .. } if !self.replaces_all => {
                "<table nc:operation=\"replace\">"
            }
            _ => "<table>",
        });
        write_leaf(out, "id", &table.to_string());
        for (server, entry) in &edit.entries {
            write_entry(out, server, entry);
        }
        for (class, limit) in &edit.admission_limits {
            write_admission_limit(out, class, limit);
        }
        out.push_str("</table>");
    }
}

fn write_entry(out: &mut String, server: &str, entry: &EntryEdit) {
    if entry.weight <= 0.0 {
        out.push_str("<line nc:operation=\"remove\">");
        write_leaf(out, "server", server);
        out.push_str("</line>");
        return;
    }
    out.push_str("<line>");
    write_leaf(out, "server", server);
    write_leaf(out, "address", &entry.address);
    write_leaf(out, "weight", &entry.weight.to_string());
    out.push_str("</line>");
}

/// It replaces the limit before: one without a rate admits all requests again.
fn write_admission_limit(out: &mut String, class: &str, limit: &AdmissionLimit) {
    out.push_str("<level nc:operation=\"replace\">");
    write_leaf(out, "class", class);
    if let Some(rate) = limit.rate {
        write_leaf(out, "pace", &rate.to_string());
    }
    write_leaf(out, "further-tries", retry_policy_word(limit.retry_policy));
    out.push_str("</level>");
}

fn write_assignment(out: &mut String, class: &str, table: u16) {
    out.push_str("<bind>");
    write_leaf(out, "class", class);
    write_leaf(out, "table", &table.to_string());
    out.push_str("</bind>");
}

fn write_ejection(out: &mut String, server: &str, is_ejected: bool) {
    out.push_str(if is_ejected { "<withdrawn>" } else { "<withdrawn nc:operation=\"remove\">" });
    write_leaf(out, "server", server);
    out.push_str("</withdrawn>");
}

fn write_leaf(out: &mut String, name: &str, text: &str) {
    out.push('<');
    out.push_str(name);
    out.push('>');
    escape(text, out);
    out.push_str("</");
    out.push_str(name);
    out.push('>');
}

/// The word for a retry policy in `<further-tries>` and in published limits.
pub(crate) fn retry_policy_word(retry_policy: RetryPolicy) -> &'static str {
    match retry_policy {
        RetryPolicy::Never => "none",
        RetryPolicy::IfNotExecuted => "unrun",
        RetryPolicy::Once => "one",
        RetryPolicy::Twice => "two",
    }
}

/// The retry policy for a word; an unknown word allows no retry.
pub fn parse_retry_policy(word: &str) -> RetryPolicy {
    known_retry_policy(word).unwrap_or(RetryPolicy::Never)
}

pub(crate) fn known_retry_policy(word: &str) -> Option<RetryPolicy> {
    match word {
        "none" => Some(RetryPolicy::Never),
        "unrun" => Some(RetryPolicy::IfNotExecuted),
        "one" => Some(RetryPolicy::Once),
        "two" => Some(RetryPolicy::Twice),
        _ => None,
    }
}
