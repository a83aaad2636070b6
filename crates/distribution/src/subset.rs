//! Subsets for proxies that know no weights: the servers of a table among which they select evenly.

use runloom_model::published_value::parse_entry;
use runloom_versioned_publisher::Key;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A server is in a subset if its weight is at least this fraction of the median weight. Below that it is warming up,
/// failing or far away, and an even share would overload it.
const MIN_MEDIAN_FRACTION: f64 = 0.5;

struct Entry<'a> {
    key: &'a Key,
    address: &'a str,
    weight: f64,
}

impl<'a> Entry<'a> {
    /// `None` for keys that are no entry.
    fn read(key: &'a Key, value: &'a str) -> Option<Entry<'a>> {
        let (address, weight) = parse_entry(value).filter(|_| matches!(key, Key::Entry(_)))?;
        Some(Entry { key, address, weight })
    }
}

/// Returns the subset of a table: the address of each server. It is never empty while the table has an entry.
pub fn create_subset(table: &BTreeMap<Key, Rc<str>>) -> BTreeMap<Key, Rc<str>> {
    let entries: Vec<Entry> = table.iter().filter_map(|(key, value)| Entry::read(key, value)).collect();
    let min_weight = upper_median(&entries).map_or(0.0, |median| median * MIN_MEDIAN_FRACTION);
    let selected = entries.into_iter().filter(|entry| entry.weight >= min_weight);
    selected.map(|entry| (entry.key.clone(), entry.address.into())).collect()
}

/// Of two weights in the middle the greater one: where half of a table warms up, the other half is selected.
fn upper_median(entries: &[Entry]) -> Option<f64> {
    let mut weights: Vec<f64> = entries.iter().map(|entry| entry.weight).collect();
    weights.sort_by(f64::total_cmp);
    weights.get(weights.len() / 2).copied()
}
