//! Subsets for proxies that know no weights: which servers of a table are theirs to pick from, evenly.

use runloom_model::order::read_line;
use runloom_versioned_publisher::Key;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A server belongs to a table's subset if its weight is at least this part of the middle one: what stands far under
/// it is cold, failing or far away, and an even share would push it over (rule 4).
const PART_LEAST: f64 = 0.5;

/// The subset of a table's lines: server and address. Never empty while the table has a line.
pub fn of(table: &BTreeMap<Key, Rc<str>>) -> BTreeMap<Key, Rc<str>> {
    let lines: Vec<(&Key, &str, f64)> = table
        .iter()
        .filter(|(key, _)| matches!(key, Key::Line(_)))
        .filter_map(|(key, text)| read_line(text).map(|(address, weight)| (key, address, weight)))
        .collect();
    let mut weights: Vec<f64> = lines.iter().map(|l| l.2).collect();
    weights.sort_by(f64::total_cmp);
    // Of two in the middle the greater one: where half of a table is cold, the other half is what is picked.
    let least = weights.get(weights.len() / 2).map_or(0.0, |middle| middle * PART_LEAST);
    lines
        .into_iter()
        .filter(|l| l.2 >= least)
        .map(|(key, address, _)| (key.clone(), address.into()))
        .collect()
}
