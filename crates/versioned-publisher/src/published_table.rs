//! The publisher's side of one table: its state, and the keys that its latest versions changed.

use crate::update::{Change, Key, Update, Version, MAX_CHANGES_PER_PART};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The history holds at most as many changes as the table has keys, since a snapshot is shorter than an update with
/// more changes. Tables with fewer keys than this keep this many changes, which cost little.
const MIN_HISTORY_CHANGES: usize = 64;

/// The keys that one version changed.
#[derive(Debug)]
struct HistoryEntry {
    version: Version,
    keys: Vec<Key>,
}

impl HistoryEntry {
    /// Memory cost in keys. An entry without keys takes up memory too and counts as one.
    fn cost(&self) -> usize {
        self.keys.len().max(1)
    }
}

/// A table's state, version and history.
#[derive(Debug, Default)]
pub(crate) struct PublishedTable {
    pub(crate) version: Version,
    pub(crate) state: BTreeMap<Key, Rc<str>>,
    /// The latest versions, oldest first. The values of their keys are in `state`.
    history: VecDeque<HistoryEntry>,
    history_cost: usize,
    /// Cache of updates to the current version, by the version that they start from; `None` for the snapshot.
    updates: BTreeMap<Option<Version>, Update>,
}

impl PublishedTable {
    /// Whether an update from `version` can be computed: no version after it is missing from the history.
    pub(crate) fn history_reaches(&self, version: Version) -> bool {
        let oldest = self.history.front().map_or(self.version, |entry| entry.version - 1);
        version <= self.version && oldest <= version
    }

    /// Applies changes. There is a new version only if some value differs from the former one.
    pub(crate) fn apply(&mut self, changes: Vec<Change>) {
        let mut keys = Vec::new();
        for Change { key, value } in changes {
            let previous = match &value {
                Some(value) => self.state.insert(key.clone(), value.clone()),
                None => self.state.remove(&key),
            };
            if previous != value {
                keys.push(key);
            }
        }
        if !keys.is_empty() {
            self.advance(keys);
        }
    }

    /// Replaces the state, as a change of the keys that differ.
    pub(crate) fn replace(&mut self, state: BTreeMap<Key, Rc<str>>) {
        let removed = self.state.keys().filter(|key| !state.contains_key(*key));
        let mut changes: Vec<Change> = removed.map(|key| Change { key: key.clone(), value: None }).collect();
        changes.extend(state.into_iter().map(|(key, value)| Change { key, value: Some(value) }));
        self.apply(changes);
    }

    /// Adds a version in which `keys` changed, and drops the oldest history beyond its limit.
    pub(crate) fn advance(&mut self, keys: Vec<Key>) {
        self.version += 1;
        self.updates.clear();
        let entry = HistoryEntry { version: self.version, keys };
        self.history_cost += entry.cost();
        self.history.push_back(entry);
        while self.history_cost > self.state.len().max(MIN_HISTORY_CHANGES) {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_cost -= oldest.cost();
        }
    }

    /// The update from `base_version` (`None` for a snapshot) to the current version. It contains each key once, and
    /// changes that take servers out of service come first.
    pub(crate) fn update_from(&mut self, base_version: Option<Version>) -> Update {
        if let Some(update) = self.updates.get(&base_version) {
            return update.clone();
        }
        let mut changes = match base_version {
            None => self.state.keys().map(|key| self.current_value(key)).collect(),
            Some(version) => self.changes_since(version),
        };
        changes.sort_by_key(|change| !change.takes_server_out_of_service());
        let update = split(&changes);
        self.updates.insert(base_version, update.clone());
        update
    }

    fn changes_since(&self, version: Version) -> Vec<Change> {
        let newer = self.history.iter().filter(|entry| entry.version > version);
        let keys: BTreeSet<&Key> = newer.flat_map(|entry| &entry.keys).collect();
        keys.into_iter().map(|key| self.current_value(key)).collect()
    }

    fn current_value(&self, key: &Key) -> Change {
        Change { key: key.clone(), value: self.state.get(key).cloned() }
    }
}

/// Splits changes into parts. An update without changes has one empty part, which carries the new version.
fn split(changes: &[Change]) -> Update {
    if changes.is_empty() {
        return Rc::from([Rc::from([])]);
    }
    changes.chunks(MAX_CHANGES_PER_PART).map(Rc::from).collect()
}
