//! The subscriber's side: updates are applied as a whole, versions never go back within a session, and a gap requires a
//! snapshot.

use crate::topic::Topic;
use crate::update::{Change, HeldVersion, Key, UpdatePart, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Limit of changes that are kept until their update is complete: twice the largest table that a fleet may have.
const MAX_PENDING_CHANGES: usize = 16_384;

/// Result of reading one part of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The update is complete, and the table has this version.
    Applied(Version),
    /// The update has more parts; the table is unchanged.
    Pending,
    /// The part is of an earlier epoch or version than the table: the message was retained, or arrived late.
    Stale,
    /// The update starts from a version that is not held, lacks a part, or has too many changes: only a snapshot can
    /// follow.
    NeedsSnapshot,
}

/// One table as a subscriber holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldTable {
    /// The publisher's epoch that the version belongs to.
    pub epoch: u64,
    /// The version within the epoch.
    pub version: Version,
    /// The values of the table's keys, as published.
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

/// An update of which some parts have arrived.
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

    /// Whether `part` is the next part of this update.
    fn continues_with(&self, part: &UpdatePart) -> bool {
        self.epoch == part.epoch
            && self.base_version == part.base_version
            && self.version == part.version
            && self.next_part == part.part_index
    }
}

/// All tables that a subscriber holds, and the updates that it has received in part.
#[derive(Debug, Default)]
pub struct UpdateReader {
    tables: BTreeMap<Topic, HeldTable>,
    pending: BTreeMap<Topic, PendingUpdate>,
    /// Tables updated in this session, whose versions must not go back until it ends. The first snapshot of a table in
    /// a session is always applied, since another planner, or one that lost its state, may have lower epochs.
    updated_in_session: BTreeSet<Topic>,
}

impl UpdateReader {
    /// The current state of a table; `None` if no update of it is complete.
    pub fn held(&self, topic: Topic) -> Option<&HeldTable> {
        self.tables.get(&topic)
    }

    /// The version of a table that a publisher can resume from.
    pub fn held_version(&self, topic: Topic) -> Option<HeldVersion> {
        self.tables.get(&topic).map(HeldTable::held_version)
    }

    /// The versions of all tables that are held.
    pub fn held_versions(&self) -> Vec<(Topic, HeldVersion)> {
        self.tables.iter().map(|(topic, table)| (*topic, table.held_version())).collect()
    }

    /// The topics of all tables that are held.
    pub fn topics(&self) -> impl Iterator<Item = Topic> + '_ {
        self.tables.keys().copied()
    }

    /// Drops a table that is no longer needed or cannot be used, with any incomplete update of it.
    pub fn drop_table(&mut self, topic: Topic) {
        self.tables.remove(&topic);
        self.pending.remove(&topic);
    }

    /// Handles the end of a session: drops incomplete updates and keeps all tables.
    pub fn end_session(&mut self) {
        self.pending.clear();
        self.updated_in_session.clear();
    }

    /// Reads one part of an update. The table changes only with the last part.
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
        let must_not_go_back = part.base_version.is_some() || self.updated_in_session.contains(&part.topic);
        let offered = HeldVersion { epoch: part.epoch, version: part.version };
        must_not_go_back && self.held_version(part.topic).is_some_and(|held| offered < held)
    }

    /// Whether the table is at the version that the update starts from; always true for a snapshot.
    fn has_base(&self, part: &UpdatePart) -> bool {
        let Some(version) = part.base_version else { return true };
        self.held_version(part.topic) == Some(HeldVersion { epoch: part.epoch, version })
    }
}
