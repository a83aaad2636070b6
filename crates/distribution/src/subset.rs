//! Subsets for proxies that do not support weights: the servers of a table, among which such a proxy selects evenly.

use runloom_model::published_value::parse_entry;
use runloom_versioned_publisher::Key;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A server is in a subset if its weight is at least this fraction of the median weight. A server below that is warming
/// up, failing or far away, and an even share of the requests would overload it.
const MIN_MEDIAN_FRACTION: f64 = 0.5;

/// A table's entry for one server.
struct Entry<'a> {
    key: &'a Key,
    address: &'a str,
    weight: f64,
}

impl<'a> Entry<'a> {
    /// Parses an entry; `None` if the key is not that of an entry or the value is malformed.
    fn parse(key: &'a Key, value: &'a str) -> Option<Entry<'a>> {
        let (address, weight) = parse_entry(value).filter(|_| matches!(key, Key::Entry(_)))?;
        Some(Entry { key, address, weight })
    }
}

/// Returns the subset of a table, with the address as the value of each server. It is empty only if the table has no
/// entries.
pub fn create_subset(table: &BTreeMap<Key, Rc<str>>) -> BTreeMap<Key, Rc<str>> {
    let entries: Vec<Entry> = table.iter().filter_map(|(key, value)| Entry::parse(key, value)).collect();
    let min_weight = upper_median(&entries).map_or(0.0, |median| median * MIN_MEDIAN_FRACTION);
    let selected = entries.into_iter().filter(|entry| entry.weight >= min_weight);
    selected.map(|entry| (entry.key.clone(), entry.address.into())).collect()
}

/// The median weight, or the greater of two middle weights: if half of a table is warming up, the other half is
/// selected. `None` if there are no entries.
fn upper_median(entries: &[Entry]) -> Option<f64> {
    let mut weights: Vec<f64> = entries.iter().map(|entry| entry.weight).collect();
    weights.sort_by(f64::total_cmp);
    weights.get(weights.len() / 2).copied()
}
