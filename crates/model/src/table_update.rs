//! Table updates from a planner to a proxy, one `<edit-config>` per message (RFC 6241, section 7.2).

use crate::PROXY_NAMESPACE;
use runloom_controller::RetryPolicy;
use runloom_netconf::tree::escape;
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Approximate size in bytes of a message without entries, to allocate its buffer.
const BASE_MESSAGE_BYTES: usize = 256;
/// Approximate size in bytes of an entry.
const BYTES_PER_ENTRY: usize = 120;

/// How a proxy limits and retries requests of one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimit {
    /// Requests per second that are admitted; `None` admits all.
    pub rate: Option<f64>,
    /// Whether and when a failed attempt may be retried.
    pub retry_policy: RetryPolicy,
}

impl Default for AdmissionLimit {
    /// Admits all requests, and retries those that were not executed.
    fn default() -> AdmissionLimit {
        AdmissionLimit { rate: None, retry_policy: RetryPolicy::IfNotExecuted }
    }
}

/// The new state of a table entry.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EntryEdit {
    /// Address on which the server listens; not sent if the entry is removed.
    pub address: String,
    /// New weight; 0 removes the entry.
    pub weight: f64,
}

/// Changes to one table of one proxy.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TableEdit {
    /// Whether the edit replaces the table's whole content instead of merging into it.
    pub replaces_table: bool,
    /// Entries that change, by server name.
    pub entries: BTreeMap<String, EntryEdit>,
    /// Admission limits that change, by class name.
    pub admission_limits: BTreeMap<String, AdmissionLimit>,
    /// Whether the table is removed.
    pub is_removed: bool,
}

/// One update message to one proxy.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UpdateMessage {
    /// Whether the message replaces everything that the proxy holds, whichever planner wrote it.
    pub replaces_all: bool,
    /// Changes by table number.
    pub tables: BTreeMap<u16, TableEdit>,
    /// The table that each class uses from now on, by class name.
    pub assignments: BTreeMap<String, u16>,
    /// Servers that are ejected from all tables (true) or readmitted (false), by name.
    pub ejections: BTreeMap<String, bool>,
}

impl UpdateMessage {
    /// Whether the message changes nothing.
    pub fn is_empty(&self) -> bool {
        !self.replaces_all
            && self.tables.is_empty()
            && self.assignments.is_empty()
            && self.ejections.is_empty()
    }

    /// Size of the message in the channel's unit: each entry, admission limit, assignment and ejection counts as one.
    pub fn entry_count(&self) -> usize {
        let count_of_table = |edit: &TableEdit| edit.entries.len() + edit.admission_limits.len();
        let count_of_tables: usize = self.tables.values().map(count_of_table).sum();
        count_of_tables + self.assignments.len() + self.ejections.len()
    }

    /// Writes the message as `<edit-config>`.
    pub fn to_xml(&self) -> String {
        let mut out = String::with_capacity(BASE_MESSAGE_BYTES + BYTES_PER_ENTRY * self.entry_count());
        out.push_str("<edit-config><target><running/></target><config>");
        // Writing to a `String` cannot fail.
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

/// Uses `replace` rather than `merge`, so that a limit without a rate removes the rate that was set before.
fn write_admission_limit(out: &mut String, class: &str, limit: &AdmissionLimit) {
    out.push_str("<level nc:operation=\"replace\">");
    write_leaf(out, "class", class);
    if let Some(rate) = limit.rate {
        write_leaf(out, "pace", &rate.to_string());
    }
    write_leaf(out, "further-tries", format_retry_policy(limit.retry_policy));
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

/// The keyword of a retry policy in `<further-tries>` and in published limits.
pub(crate) fn format_retry_policy(retry_policy: RetryPolicy) -> &'static str {
    match retry_policy {
        RetryPolicy::Never => "none",
        RetryPolicy::IfNotExecuted => "unrun",
        RetryPolicy::Once => "one",
        RetryPolicy::Twice => "two",
    }
}

/// The retry policy of a keyword; an unknown keyword allows no retry.
pub fn parse_retry_policy(keyword: &str) -> RetryPolicy {
    parse_known_retry_policy(keyword).unwrap_or(RetryPolicy::Never)
}

/// The retry policy of a keyword; `None` if the keyword is unknown.
pub(crate) fn parse_known_retry_policy(keyword: &str) -> Option<RetryPolicy> {
    match keyword {
        "none" => Some(RetryPolicy::Never),
        "unrun" => Some(RetryPolicy::IfNotExecuted),
        "one" => Some(RetryPolicy::Once),
        "two" => Some(RetryPolicy::Twice),
        _ => None,
    }
}
