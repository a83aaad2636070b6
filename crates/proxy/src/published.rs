//! The tables that a proxy goes by, out of what was published to it.

use crate::tables::{HeldTables, Table, TableEntry};
use runloom_model::order::{read_level, read_line};
use runloom_versioned_publisher::reader::{self, UpdateReader};
use runloom_versioned_publisher::{Key, Topic, TopicKind};
use std::collections::btree_map::Entry;

/// Which class goes by which table, as it is published to one proxy.
pub const BINDS: Topic = Topic { kind: TopicKind::Binds, table: 0 };
/// Servers that are out whatever tables say.
pub const WITHDRAWN: Topic = Topic { kind: TopicKind::Withdrawn, table: 0 };

/// A table that cannot be used, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableTable {
    pub topic: Topic,
    pub reason: String,
}

/// All that is held, if it hangs together: binds, and the tables that they name, of one start of one planner. A planner
/// that started over publishes new tables under old numbers before the binds that go with them; until those come,
/// what was in force stays so.
fn held(reader: &UpdateReader) -> Result<Option<HeldTables>, UnusableTable> {
    let Some(binds) = reader.held(BINDS).filter(|b| !b.state.is_empty()) else { return Ok(None) };
    let of_this = |h: &&reader::HeldTable| h.epoch == binds.epoch;
    let mut held = HeldTables { ordered: true, ..HeldTables::default() };
    for (key, value) in &binds.state {
        let bad = |reason: &str| UnusableTable { topic: BINDS, reason: reason.into() };
        let Key::Bind(class) = key else { return Err(bad("holds something else than binds")) };
        let number: u16 = value.parse().map_err(|_| bad("a bind names no table"))?;
        let published = [TopicKind::Weights, TopicKind::Subset].into_iter().find_map(|kind| {
            let topic = Topic { kind, table: number };
            reader.held(topic).filter(of_this).map(|held| (topic, held))
        });
        let Some((topic, published)) = published else { return Ok(None) };
        if let Entry::Vacant(place) = held.tables.entry(number) {
            place.insert(table(topic, published).map_err(|reason| UnusableTable { topic, reason })?);
        }
        held.binds.insert(class.clone(), number);
    }
    let Some(withdrawn) = reader.held(WITHDRAWN).filter(of_this) else { return Ok(None) };
    let out = |key: &Key| if let Key::Withdrawn(server) = key { Some(server.clone()) } else { None };
    held.withdrawn = withdrawn.state.keys().filter_map(out).collect();
    Ok(Some(held))
}

/// A table of weights, or of a subset, whose lines are all alike.
fn table(topic: Topic, published: &reader::HeldTable) -> Result<Table, String> {
    let mut table = Table::default();
    for (key, value) in &published.state {
        match key {
            Key::Line(server) => {
                let line = match topic.kind {
                    TopicKind::Subset => Some((&**value, 1.0)),
                    _ => read_line(value),
                };
                let (address, weight) = line.ok_or_else(|| format!("the line of {server} cannot be read"))?;
                let address =
                    address.parse().map_err(|_| format!("the address of {server} cannot be used"))?;
                table.lines.push(TableEntry { server: server.clone(), address, weight });
            }
            Key::Level(class) => {
                let level =
                    read_level(value).ok_or_else(|| format!("the level of {class} cannot be read"))?;
                table.levels.insert(class.clone(), level);
            }
            Key::Withdrawn(_) | Key::Bind(_) => return Err("it holds what belongs elsewhere".into()),
        }
    }
    table.credit = vec![0.0; table.lines.len()];
    Ok(table)
}

/// A table was taken whole: what is in force now, if it hangs together, as [`held`] has it. With new binds, tables
/// that nothing goes by any more are forgotten; not before, since a table comes ahead of the bind that names it.
pub fn taken(reader: &mut UpdateReader, topic: Topic) -> Result<Option<HeldTables>, UnusableTable> {
    let now = held(reader)?;
    if now.is_some() && topic == BINDS {
        idle(reader).into_iter().for_each(|t| reader.forget(t));
    }
    Ok(now)
}

/// Held tables that no bind names.
fn idle(reader: &UpdateReader) -> Vec<Topic> {
    let Some(binds) = reader.held(BINDS) else { return vec![] };
    let named = |table: u16| binds.state.values().any(|v| **v == *table.to_string());
    let idle = |t: &Topic| {
        matches!(t.kind, TopicKind::Weights | TopicKind::Subset | TopicKind::Range) && !named(t.table)
    };
    reader.topics().filter(idle).collect()
}
