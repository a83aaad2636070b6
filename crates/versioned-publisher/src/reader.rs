//! The subscriber's side: it takes updates whole, never goes back, and asks anew where one is missing.

use crate::{Change, Key, Topic, TopicKind, UpdatePart, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What became of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The update is whole: the table stands at this version.
    Now(Version),
    /// More parts are to come; the table is as it was.
    Waits,
    /// Of an earlier epoch or version than what is held: a message that was retained, or came late.
    Stale,
    /// It starts from what is not held, or a part is missing: a snapshot is wanted.
    Lacks,
}

/// One table as it is held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldTable {
    pub epoch: u64,
    pub version: Version,
    pub state: BTreeMap<Key, Rc<str>>,
}

/// Changes that wait for the rest of their update, at the most: twice the largest table that a fleet may have.
const WAITING_MOST: usize = 16_384;

#[derive(Debug)]
struct Pending {
    epoch: u64,
    from: Option<Version>,
    to: Version,
    next: usize,
    changes: Vec<Change>,
}

#[derive(Debug, Default)]
pub struct UpdateReader {
    held: BTreeMap<Topic, HeldTable>,
    pending: BTreeMap<Topic, Pending>,
    /// Tables taken on this stream: on it nothing goes back. A stream's first snapshot of a table is taken whatever is
    /// held, for a planner that lost its folder, or another one, may count its starts from anywhere.
    here: BTreeSet<Topic>,
}

impl UpdateReader {
    pub fn held(&self, topic: Topic) -> Option<&HeldTable> {
        self.held.get(&topic)
    }

    /// Epoch and version, for a planner to go on from.
    pub fn holds(&self, topic: Topic) -> Option<(u64, Version)> {
        self.held.get(&topic).map(|h| (h.epoch, h.version))
    }

    /// All tables held of a kind.
    pub fn of(&self, kind: TopicKind) -> impl Iterator<Item = (u16, &HeldTable)> {
        self.held.iter().filter(move |(topic, _)| topic.kind == kind).map(|(topic, held)| (topic.table, held))
    }

    pub fn topics(&self) -> impl Iterator<Item = Topic> + '_ {
        self.held.keys().copied()
    }

    /// A table that nothing goes by any more, or that was of no use.
    pub fn forget(&mut self, topic: Topic) {
        self.held.remove(&topic);
        self.pending.remove(&topic);
    }

    /// The stream broke: half an update is none. Tables stay in force.
    pub fn broke(&mut self) {
        self.pending.clear();
        self.here.clear();
    }

    pub fn take(&mut self, part: &UpdatePart) -> ReadOutcome {
        let held = self.held.get(&part.topic);
        let strict = part.from.is_some() || self.here.contains(&part.topic);
        if strict && held.is_some_and(|h| (part.epoch, part.to) < (h.epoch, h.version)) {
            return ReadOutcome::Stale;
        }
        let base = |h: &HeldTable| h.epoch == part.epoch && Some(h.version) == part.from;
        if part.from.is_some() && !held.is_some_and(base) {
            self.pending.remove(&part.topic);
            return ReadOutcome::Lacks;
        }
        if part.part == 0 {
            let UpdatePart { epoch, from, to, .. } = *part;
            self.pending.insert(part.topic, Pending { epoch, from, to, next: 0, changes: vec![] });
        }
        let same =
            |p: &&mut Pending| (p.epoch, p.from, p.to, p.next) == (part.epoch, part.from, part.to, part.part);
        let Some(pending) = self.pending.get_mut(&part.topic).filter(same) else {
            self.pending.remove(&part.topic);
            return ReadOutcome::Lacks;
        };
        pending.next += 1;
        pending.changes.extend(part.changes.iter().cloned());
        if pending.changes.len() > WAITING_MOST {
            self.pending.remove(&part.topic);
            return ReadOutcome::Lacks;
        }
        if pending.next < part.of {
            return ReadOutcome::Waits;
        }
        let Some(whole) = self.pending.remove(&part.topic) else { return ReadOutcome::Lacks };
        self.here.insert(part.topic);
        let held = self.held.entry(part.topic).or_default();
        if whole.from.is_none() {
            held.state.clear();
        }
        for Change { key, value } in whole.changes {
            match value {
                Some(value) => _ = held.state.insert(key, value),
                None => _ = held.state.remove(&key),
            }
        }
        (held.epoch, held.version) = (whole.epoch, whole.to);
        ReadOutcome::Now(whole.to)
    }
}
