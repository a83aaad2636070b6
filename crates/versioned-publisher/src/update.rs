//! Updates: how a table gets from one version to another.

use crate::topic::Topic;
use std::rc::Rc;

/// Number of a table's state; each change counts it up.
pub type Version = u64;

/// Changes in one part: some 16 KB of text, so that a slow subscriber's buffer holds no more than a few parts.
pub const MAX_CHANGES_PER_PART: usize = 128;

/// A version that a subscriber holds. Ordered by age, the oldest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldVersion {
    /// The epoch (start of the publisher) that the version belongs to.
    pub epoch: u64,
    /// The version.
    pub version: Version,
}

/// What a table holds under a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A server that gets no requests, whatever other tables say.
    Ejection(String),
    /// A server's entry.
    Entry(String),
    /// A class's admission limit.
    AdmissionLimit(String),
    /// A class; its value is the number of the table that it is assigned to.
    Assignment(String),
}

/// One key's new value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// Its value; `None`: it is removed.
    pub value: Option<Rc<str>>,
}

impl Change {
    /// Whether it takes a server out of service: such changes stand first in every message.
    pub fn takes_server_out_of_service(&self) -> bool {
        matches!((&self.key, &self.value), (Key::Entry(_), None) | (Key::Ejection(_), Some(_)))
    }
}

/// A message's content: a part of an update. An update is applied complete or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpdatePart {
    /// The table.
    pub topic: Topic,
    /// The publisher's epoch.
    pub epoch: u64,
    /// The version that the update starts from; `None`: a snapshot, in place of all that was held.
    pub base_version: Option<Version>,
    /// The version that it leads to.
    pub version: Version,
    /// Which part this is, from 0.
    pub part_index: usize,
    /// How many parts the update has.
    pub part_count: usize,
    /// The part's changes.
    pub changes: Rc<[Change]>,
}

/// An update's changes, in parts.
pub type Update = Rc<[Rc<[Change]>]>;

/// A complete update of one table.
#[derive(Debug, Clone)]
pub struct TableUpdate {
    /// The table.
    pub topic: Topic,
    /// The version that it starts from; `None`: a snapshot.
    pub base_version: Option<Version>,
    /// The version that it leads to.
    pub version: Version,
    /// Its changes.
    pub update: Update,
}

impl TableUpdate {
    /// All changes of the update.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.update.iter().flat_map(|part| part.iter())
    }
}
