//! Updates: the changes that take a table from one version to another.

use crate::topic::Topic;
use std::rc::Rc;

/// Version of a table within an epoch, counted up from 0.
pub type Version = u64;

/// Maximum number of changes in one part: about 16 KB of text. Parts are this small so that the buffer of a slow
/// subscriber, which holds a few of them, stays small too.
pub const MAX_CHANGES_PER_PART: usize = 128;

/// A version of a table that a subscriber holds. Older versions order first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldVersion {
    /// The publisher's epoch that the version belongs to; a new one begins with each start or restart of the publisher.
    pub epoch: u64,
    /// The version within the epoch.
    pub version: Version,
}

/// A key of a table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The name of an ejected server, which gets no requests.
    Ejection(String),
    /// The name of a server that the table has an entry for.
    Entry(String),
    /// The name of a traffic class that has an admission limit.
    AdmissionLimit(String),
    /// The name of a traffic class; the value is the number of the table that it is assigned to.
    Assignment(String),
}

/// A new value of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key that changes.
    pub key: Key,
    /// The new value; `None` removes the key.
    pub value: Option<Rc<str>>,
}

impl Change {
    /// Whether the change removes a server's entry or ejects a server. Such changes come first in every message.
    pub fn takes_server_out_of_service(&self) -> bool {
        matches!((&self.key, &self.value), (Key::Entry(_), None) | (Key::Ejection(_), Some(_)))
    }
}

/// Content of a message: one part of an update. An update is applied as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpdatePart {
    /// The table that the update is for.
    pub topic: Topic,
    /// The publisher's epoch.
    pub epoch: u64,
    /// The version that the update starts from; `None` for a snapshot, which replaces the whole table.
    pub base_version: Option<Version>,
    /// The version that the update leads to.
    pub version: Version,
    /// Index of this part within the update, from 0.
    pub part_index: usize,
    /// Number of parts of the update; at least 1.
    pub part_count: usize,
    /// The changes in this part.
    pub changes: Rc<[Change]>,
}

/// All changes of an update, split into parts.
pub type Update = Rc<[Rc<[Change]>]>;

/// A complete update of one table.
#[derive(Debug, Clone)]
pub struct TableUpdate {
    /// The table that the update is for.
    pub topic: Topic,
    /// The version that the update starts from; `None` for a snapshot.
    pub base_version: Option<Version>,
    /// The version that the update leads to.
    pub version: Version,
    /// The changes, in parts.
    pub update: Update,
}

impl TableUpdate {
    /// Iterates over the changes of all parts, in order.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.update.iter().flat_map(|part| part.iter())
    }
}
