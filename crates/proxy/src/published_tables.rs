//! Assembles route tables from the topics that were published to the proxy.
//!
//! Topics are published one at a time. A proxy puts them in force only once they are consistent: the assignments, the
//! tables that they name and the ejections must all be of the same epoch (one start of one planner). A restarted
//! planner reuses table numbers, and publishes its tables before the assignments of classes to them. Until the
//! assignments of its epoch arrive, the tables of the earlier epoch stay in force.

use crate::route_tables::{RouteTable, RouteTables, TableEntry, TableError};
use runloom_model::published_value::{parse_admission_limit, parse_entry};
use runloom_model::table_update::AdmissionLimit;
use runloom_versioned_publisher::{HeldTable, UpdateReader};
use runloom_versioned_publisher::{Key, Topic, TopicKind};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// The topic that assigns each traffic class to a table. At a proxy its number is 0, whatever number the planner uses.
pub const ASSIGNMENTS: Topic = Topic { kind: TopicKind::Assignments, table: 0 };
/// The topic of ejected servers, which get no requests even if a table has an entry of them.
pub const EJECTIONS: Topic = Topic { kind: TopicKind::Ejections, table: 0 };
/// Weight of each entry of a subset; the topic of a subset has addresses only.
const SUBSET_WEIGHT: f64 = 1.0;

/// A published table that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableTable {
    /// The topic of the table.
    pub topic: Topic,
    /// Why it cannot be used.
    pub error: TableError,
}

/// Returns the tables to put in force after an update of `topic` is complete; `None` if the topics held are not
/// consistent yet.
///
/// Tables that no class is assigned to are dropped from `reader` only after an update of the assignments, since a table
/// is published before the assignment that names it.
pub fn tables_after_update(
    reader: &mut UpdateReader,
    topic: Topic,
) -> Result<Option<RouteTables>, UnusableTable> {
    let tables = consistent_tables(reader)?;
    if tables.is_some() && topic == ASSIGNMENTS {
        for topic in unassigned_topics(reader) {
            reader.drop_table(topic);
        }
    }
    Ok(tables)
}

fn consistent_tables(reader: &UpdateReader) -> Result<Option<RouteTables>, UnusableTable> {
    let Some(published) = reader.held(ASSIGNMENTS).filter(|published| !published.state.is_empty()) else {
        return Ok(None);
    };
    let epoch = published.epoch;
    let mut tables = BTreeMap::new();
    let mut assignments = BTreeMap::new();
    for (key, value) in &published.state {
        let (class, number) =
            read_assignment(key, value).map_err(|error| UnusableTable { topic: ASSIGNMENTS, error })?;
        if let Entry::Vacant(place) = tables.entry(number) {
            let Some((topic, published)) = table_of_epoch(reader, number, epoch) else { return Ok(None) };
            let table = read_table(topic.kind, published).map_err(|error| UnusableTable { topic, error })?;
            place.insert(table);
        }
        assignments.insert(class, number);
    }
    let Some(ejections) = reader.held(EJECTIONS).filter(|published| published.epoch == epoch) else {
        return Ok(None);
    };
    Ok(Some(RouteTables { tables, assignments, ejected: read_ejections(ejections), from_planner: true }))
}

/// Returns the class and the number of the table that it is assigned to.
fn read_assignment(key: &Key, value: &str) -> Result<(String, u16), TableError> {
    let Key::Assignment(class) = key else { return Err(TableError::UnexpectedKey) };
    let number = value.parse().map_err(|_| TableError::InvalidAssignment)?;
    Ok((class.clone(), number))
}

fn read_ejections(published: &HeldTable) -> BTreeSet<String> {
    let server = |key: &Key| match key {
        Key::Ejection(server) => Some(server.clone()),
        _ => None,
    };
    published.state.keys().filter_map(server).collect()
}

/// The table of this number, with weights or a subset, if it was published in `epoch`.
fn table_of_epoch(reader: &UpdateReader, number: u16, epoch: u64) -> Option<(Topic, &HeldTable)> {
    [TopicKind::Weights, TopicKind::Subset].into_iter().find_map(|kind| {
        let topic = Topic { kind, table: number };
        let published = reader.held(topic).filter(|published| published.epoch == epoch)?;
        Some((topic, published))
    })
}

fn read_table(kind: TopicKind, published: &HeldTable) -> Result<RouteTable, TableError> {
    let mut entries = Vec::new();
    let mut admission_limits = BTreeMap::new();
    for (key, value) in &published.state {
        match key {
            Key::Entry(server) => entries.push(read_entry(kind, server, value)?),
            Key::AdmissionLimit(class) => {
                admission_limits.insert(class.clone(), read_admission_limit(class, value)?);
            }
            Key::Ejection(_) | Key::Assignment(_) => return Err(TableError::UnexpectedKey),
        }
    }
    Ok(RouteTable::new(entries, admission_limits))
}

fn read_entry(kind: TopicKind, server: &str, value: &str) -> Result<TableEntry, TableError> {
    let server = server.to_string();
    let fields = match kind {
        TopicKind::Subset => Some((value, SUBSET_WEIGHT)),
        _ => parse_entry(value),
    };
    let Some((address, weight)) = fields else { return Err(TableError::MalformedEntry { server }) };
    match address.parse() {
        Ok(address) => Ok(TableEntry { server, address, weight }),
        Err(_) => Err(TableError::InvalidAddress { server }),
    }
}

fn read_admission_limit(class: &str, value: &str) -> Result<AdmissionLimit, TableError> {
    parse_admission_limit(value)
        .ok_or_else(|| TableError::MalformedAdmissionLimit { class: class.to_string() })
}

/// Topics of the tables in `reader` that no class is assigned to.
fn unassigned_topics(reader: &UpdateReader) -> Vec<Topic> {
    let Some(assignments) = reader.held(ASSIGNMENTS) else { return vec![] };
    let is_assigned = |table: u16| assignments.state.values().any(|value| **value == *table.to_string());
    let is_table =
        |kind: TopicKind| matches!(kind, TopicKind::Weights | TopicKind::Subset | TopicKind::Range);
    reader.topics().filter(|topic| is_table(topic.kind) && !is_assigned(topic.table)).collect()
}
