//! The subscriber's side: updates are applied complete, versions never go back, and a missing one is asked for.

use crate::topic::Topic;
use crate::update::{Change, HeldVersion, Key, UpdatePart, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Changes that wait for the rest of their update: twice the largest table that a fleet may have.
const MAX_PENDING_CHANGES: usize = 16_384;

/// What became of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The update is complete: the table is at this version.
    Applied(Version),
    /// More parts are to come; the table is as it was.
    Pending,
    /// It is of an earlier epoch or version than what is held: a message that was retained, or came late.
    Stale,
    /// It starts from a version that is not held, or a part is missing: a snapshot is needed.
    NeedsSnapshot,
}

/// One table as it is held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldTable {
    /// The publisher's epoch.
    pub epoch: u64,
    /// The version within the epoch.
    pub version: Version,
    /// What the table holds.
    pub state: BTreeMap<Key, Rc<str>>,
}

impl HeldTable {
    fn held_version(&self) -> HeldVersion {
        HeldVersion { epoch: self.epoch, version: self.version }
    }

    fn apply(&mut self, update: PendingUpdate) {
        if update.base_version.is_none() {
            self.state.clear();
        }
        for Change { key, value } in update.changes {
            match value {
                Some(value) => _ = self.state.insert(key, value),
                None => _ = self.state.remove(&key),
            }
        }
        self.epoch = update.epoch;
        self.version = update.version;
    }
}

/// An update of which some parts came.
#[derive(Debug)]
struct PendingUpdate {
    epoch: u64,
    base_version: Option<Version>,
    version: Version,
    next_part: usize,
    changes: Vec<Change>,
}

impl PendingUpdate {
    fn new(first: &UpdatePart) -> PendingUpdate {
        PendingUpdate {
            epoch: first.epoch,
            base_version: first.base_version,
            version: first.version,
            next_part: 0,
            changes: vec![],
        }
    }

    /// Whether this is the next part of the update.
    fn continues_with(&self, part: &UpdatePart) -> bool {
        self.epoch == part.epoch
            && self.base_version == part.base_version
            && self.version == part.version
            && self.next_part == part.part_index
    }
}

/// All tables that a subscriber holds.
#[derive(Debug, Default)]
pub struct UpdateReader {
    tables: BTreeMap<Topic, HeldTable>,
    pending: BTreeMap<Topic, PendingUpdate>,
    /// Tables updated in this session: in it no version goes back. A session's first snapshot of a table is applied
    /// whatever is held, since a planner that lost its state, or another one, may count its epochs from anywhere.
    updated_in_session: BTreeSet<Topic>,
}

impl UpdateReader {
    /// A table as it is held.
    pub fn held(&self, topic: Topic) -> Option<&HeldTable> {
        self.tables.get(&topic)
    }

    /// The version held of a table, for a publisher to resume from.
    pub fn held_version(&self, topic: Topic) -> Option<HeldVersion> {
        self.tables.get(&topic).map(HeldTable::held_version)
    }

    /// The versions held of all tables.
    pub fn held_versions(&self) -> Vec<(Topic, HeldVersion)> {
        self.tables.iter().map(|(topic, table)| (*topic, table.held_version())).collect()
    }

    /// All tables held.
    pub fn topics(&self) -> impl Iterator<Item = Topic> + '_ {
        self.tables.keys().copied()
    }

    /// Drops a table that is no longer needed, or cannot be used.
    pub fn drop_table(&mut self, topic: Topic) {
        self.tables.remove(&topic);
        self.pending.remove(&topic);
    }

    /// The session ended: updates of which parts are missing are dropped, and tables stay.
    pub fn end_session(&mut self) {
        self.pending.clear();
        self.updated_in_session.clear();
    }

    /// Takes in a part of an update.
    pub fn read(&mut self, part: &UpdatePart) -> ReadOutcome {
        if self.is_stale(part) {
            return ReadOutcome::Stale;
        }
        if !self.has_base(part) {
            self.pending.remove(&part.topic);
            return ReadOutcome::NeedsSnapshot;
        }
        if part.part_index == 0 {
            self.pending.insert(part.topic, PendingUpdate::new(part));
        }
        let pending = self.pending.remove(&part.topic).filter(|pending| pending.continues_with(part));
        let Some(mut pending) = pending else { return ReadOutcome::NeedsSnapshot };
        pending.next_part += 1;
        pending.changes.extend(part.changes.iter().cloned());
        if pending.changes.len() > MAX_PENDING_CHANGES {
            return ReadOutcome::NeedsSnapshot;
        }
        if pending.next_part < part.part_count {
            self.pending.insert(part.topic, pending);
            return ReadOutcome::Pending;
        }
        self.updated_in_session.insert(part.topic);
        self.tables.entry(part.topic).or_default().apply(pending);
        ReadOutcome::Applied(part.version)
    }

    fn is_stale(&self, part: &UpdatePart) -> bool {
        let may_not_go_back = part.base_version.is_some() || self.updated_in_session.contains(&part.topic);
        let offered = HeldVersion { epoch: part.epoch, version: part.version };
        may_not_go_back && self.held_version(part.topic).is_some_and(|held| offered < held)
    }

    /// Whether the version that the update starts from is held.
    fn has_base(&self, part: &UpdatePart) -> bool {
        let Some(version) = part.base_version else { return true };
        self.held_version(part.topic) == Some(HeldVersion { epoch: part.epoch, version })
    }
}
