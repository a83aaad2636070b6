//! What a planner publishes, by version, and who has been told what of it. A table has a version, a state, and a
//! bounded run of the steps that led there. A subscriber has a position in each of its tables and a few messages on
//! their way; what it has still to be told is never queued for it but reckoned from its position, so that one that
//! is slow costs no more than one that is quick, and gets the latest state and not a history. Free of I/O.

pub mod admit;
pub mod reader;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// What a table says. Weights are what the decisions order now; the others are dealt and split by later parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Weights,
    Subset,
    Range,
    /// Which class of one proxy's queries goes by which table; its number is the proxy's.
    Binds,
}

/// One table, as it is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Topic {
    pub kind: Kind,
    pub table: u16,
}

/// A step from one state of a table to the next.
pub type Version = u64;

/// What a table holds under a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A server that is out, whatever other tables say.
    Withdrawn(String),
    Line(String),
    Level(String),
    /// A class; its value is a table's number.
    Bind(String),
}

/// One key's new value; none: it is there no more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    pub key: Key,
    pub value: Option<Rc<str>>,
}

impl Change {
    /// Whether it takes a server out: such changes stand first in every message.
    pub fn takes_out(&self) -> bool {
        matches!((&self.key, &self.value), (Key::Line(_), None) | (Key::Withdrawn(_), Some(_)))
    }
}

/// A message's content: a part of an update, which is taken whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    pub topic: Topic,
    pub epoch: u64,
    /// The version that it starts from; none: a snapshot, in place of all that was held.
    pub from: Option<Version>,
    pub to: Version,
    /// Which part of how many, from 0 on.
    pub part: usize,
    pub of: usize,
    pub changes: Rc<[Change]>,
}

/// Changes in one part: some 16 KB of text, so that a slow reader's buffer holds no more than a few.
pub const PART_MOST: usize = 128;
/// Messages on their way to one subscriber: one that does not confirm them gets no more.
pub const WINDOW: usize = 8;
/// A run is kept while it holds no more changes than the table has keys, for then the snapshot is the shorter way;
/// small tables keep so many, which cost little.
const RUN_LEAST: usize = 64;
/// Tables of one subscriber: one for each class at the most, and one of withdrawals.
pub const TOPICS_MOST: usize = 33;

#[derive(Debug)]
struct Step {
    version: Version,
    keys: Vec<Key>,
}

/// One table as it is published.
#[derive(Debug, Default)]
struct Published {
    version: Version,
    state: BTreeMap<Key, Rc<str>>,
    /// Which keys each of the last steps touched; what they say now is in the state.
    run: VecDeque<Step>,
    held: usize,
    /// Updates as they were made, by where they start; none: the snapshot. Good until the next step.
    made: BTreeMap<Option<Version>, Update>,
}

type Update = Rc<[Rc<[Change]>]>;

impl Published {
    /// Whether the run reaches back to a version.
    fn reaches(&self, version: Version) -> bool {
        version <= self.version && self.run.front().map_or(self.version, |s| s.version - 1) <= version
    }

    fn step(&mut self, changes: Vec<Change>) {
        let mut keys = Vec::new();
        for Change { key, value } in changes {
            let old = match &value {
                Some(value) => self.state.insert(key.clone(), value.clone()),
                None => self.state.remove(&key),
            };
            if old != value {
                keys.push(key);
            }
        }
        if keys.is_empty() {
            return;
        }
        self.version += 1;
        self.held += keys.len();
        self.run.push_back(Step { version: self.version, keys });
        self.made.clear();
        while self.held > self.state.len().max(RUN_LEAST) {
            let Some(step) = self.run.pop_front() else { break };
            self.held -= step.keys.len();
        }
    }

    /// From a version to the latest: each key once, with what it says now; what takes servers out first.
    fn update(&mut self, from: Option<Version>) -> Update {
        if let Some(made) = self.made.get(&from) {
            return made.clone();
        }
        let value = |key: &Key| Change { key: key.clone(), value: self.state.get(key).cloned() };
        let mut changes: Vec<Change> = match from {
            None => self.state.keys().map(value).collect(),
            Some(from) => {
                let steps = self.run.iter().filter(|s| s.version > from);
                let keys: BTreeSet<&Key> = steps.flat_map(|s| &s.keys).collect();
                keys.into_iter().map(value).collect()
            }
        };
        changes.sort_by_key(|c| !c.takes_out());
        // An empty table has a snapshot too: one part that says so.
        let parts: Vec<Rc<[Change]>> = match changes.is_empty() {
            true => vec![Rc::from([])],
            false => changes.chunks(PART_MOST).map(Rc::from).collect(),
        };
        let update: Update = parts.into();
        self.made.insert(from, update.clone());
        update
    }
}

/// How far a subscriber is in one table.
#[derive(Debug, Default)]
struct Position {
    /// What it holds for certain, of this epoch.
    taken: Option<Version>,
    /// What it will hold once all that is on its way is taken.
    told: Option<Version>,
    /// An update that has gone out in part: from, to, the parts, and which is next.
    sending: Option<(Option<Version>, Version, Update, usize)>,
}

#[derive(Debug)]
struct Flying {
    number: u64,
    topic: Topic,
    /// The version that it holds with this message: the last part of an update.
    holds: Option<Version>,
    sent: Duration,
}

#[derive(Debug)]
struct Subscriber {
    /// Which of its streams: another one of the same name takes over, and what the old one says is not heard.
    stream: u64,
    positions: BTreeMap<Topic, Position>,
    number: u64,
    flying: VecDeque<Flying>,
}

/// All that one planner publishes.
#[derive(Debug)]
pub struct Publisher {
    /// Rises with each start of the planner, so that what an earlier one published is told apart.
    epoch: u64,
    tables: BTreeMap<Topic, Published>,
    subscribers: BTreeMap<String, Subscriber>,
    streams: u64,
}

impl Publisher {
    pub fn new(epoch: u64) -> Publisher {
        Publisher { epoch, tables: BTreeMap::new(), subscribers: BTreeMap::new(), streams: 0 }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A step of one table; what is said again as it stands is no step.
    pub fn step(&mut self, topic: Topic, changes: Vec<Change>) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.step(changes);
        table.version
    }

    /// A table's version and state.
    pub fn table(&self, topic: Topic) -> Option<(Version, &BTreeMap<Key, Rc<str>>)> {
        self.tables.get(&topic).map(|t| (t.version, &t.state))
    }

    /// A subscriber came, by a stream of its own; an earlier stream of the same name is over.
    pub fn join(&mut self, name: &str) -> u64 {
        self.streams += 1;
        let (stream, positions) = (self.streams, BTreeMap::new());
        let subscriber = Subscriber { stream, positions, number: 0, flying: VecDeque::new() };
        self.subscribers.insert(name.to_string(), subscriber);
        stream
    }

    /// A stream ended, or its will came. False: another one of that name stands already, and stays.
    pub fn leave(&mut self, name: &str, stream: u64) -> bool {
        let current = self.subscribers.get(name).is_some_and(|s| s.stream == stream);
        if current {
            self.subscribers.remove(name);
        }
        current
    }

    /// It is to have a table from now on; `holds`: epoch and version that it says it has. It goes on from there if
    /// they are of this epoch and the run reaches back; else it starts over with a snapshot. False: it has too many.
    pub fn subscribe(&mut self, name: &str, topic: Topic, holds: Option<(u64, Version)>) -> bool {
        let table = self.tables.entry(topic).or_default();
        let resumes = holds.filter(|(epoch, version)| *epoch == self.epoch && table.reaches(*version));
        let version = resumes.map(|(_, version)| version);
        let Some(subscriber) = self.subscribers.get_mut(name) else { return false };
        if subscriber.positions.len() >= TOPICS_MOST && !subscriber.positions.contains_key(&topic) {
            return false;
        }
        subscriber.positions.insert(topic, Position { taken: version, told: version, sending: None });
        true
    }

    /// It is not to have a table any more.
    pub fn unsubscribe(&mut self, name: &str, topic: Topic) {
        if let Some(subscriber) = self.subscribers.get_mut(name) {
            subscriber.positions.remove(&topic);
        }
    }

    /// The next message to a subscriber, with its number; none: it has been told all, or has too many on their way.
    /// Tables with something that takes a server out come first, and binds last: a class goes over to a table once that
    /// is held, and not before.
    pub fn next(&mut self, now: Duration, name: &str) -> Option<(u64, Part)> {
        let subscriber = self.subscribers.get_mut(name)?;
        if subscriber.flying.len() >= WINDOW {
            return None;
        }
        let mut chosen: Option<((bool, bool), Topic)> = None;
        for (topic, position) in &mut subscriber.positions {
            let Some(table) = self.tables.get_mut(topic) else { continue };
            if position.sending.is_none() && position.told != Some(table.version) {
                // Conflated: whatever came since is one update, and no longer reached by the run a snapshot.
                let from = position.told.filter(|told| table.reaches(*told));
                position.sending = Some((from, table.version, table.update(from), 0));
            }
            let Some((_, _, update, next)) = &position.sending else { continue };
            let out = update[*next].first().is_some_and(Change::takes_out);
            // The least goes first: those that take out, then tables, then binds; among equals by their number.
            let rank = ((!out, topic.kind == Kind::Binds), *topic);
            if chosen.is_none_or(|c| rank < c) {
                chosen = Some(rank);
            }
        }
        let (_, topic) = chosen?;
        let position = subscriber.positions.get_mut(&topic)?;
        let (from, to, update, part) = position.sending.take()?;
        let (of, changes) = (update.len(), update[part].clone());
        let last = part + 1 == of;
        match last {
            true => position.told = Some(to),
            false => position.sending = Some((from, to, update, part + 1)),
        }
        subscriber.number += 1;
        let (number, holds) = (subscriber.number, last.then_some(to));
        subscriber.flying.push_back(Flying { number, topic, holds, sent: now });
        Some((number, Part { topic, epoch: self.epoch, from, to, part, of, changes }))
    }

    /// A stream confirmed a message, and so all before it: tables and the versions that it now holds.
    pub fn confirmed(&mut self, name: &str, stream: u64, number: u64) -> Vec<(Topic, Version)> {
        let Some(subscriber) = self.subscribers.get_mut(name).filter(|s| s.stream == stream) else {
            return vec![];
        };
        let mut held = Vec::new();
        while subscriber.flying.front().is_some_and(|f| f.number <= number) {
            let Some(flying) = subscriber.flying.pop_front() else { break };
            let position = subscriber.positions.get_mut(&flying.topic);
            if let Some((position, version)) = position.zip(flying.holds) {
                position.taken = Some(version);
                held.push((flying.topic, version));
            }
        }
        held
    }

    /// It says that it does not have what an update starts from: its next one is a snapshot.
    pub fn lacks(&mut self, name: &str, stream: u64, topic: Topic) {
        let subscriber = self.subscribers.get_mut(name).filter(|s| s.stream == stream);
        if let Some(position) = subscriber.and_then(|s| s.positions.get_mut(&topic)) {
            *position = Position::default();
        }
    }

    /// What a subscriber holds for certain of a table.
    pub fn taken(&self, name: &str, topic: Topic) -> Option<Version> {
        self.subscribers.get(name)?.positions.get(&topic)?.taken
    }

    /// Those whose oldest message has been on its way for `span`: to be let go.
    pub fn overdue(&self, now: Duration, span: Duration) -> Vec<(String, u64)> {
        let late = |s: &Subscriber| s.flying.front().is_some_and(|f| now >= f.sent + span);
        self.subscribers.iter().filter(|(_, s)| late(s)).map(|(name, s)| (name.clone(), s.stream)).collect()
    }

    /// Messages on their way to all together.
    pub fn waiting(&self) -> usize {
        self.subscribers.values().map(|s| s.flying.len()).sum()
    }
}

#[cfg(test)]
mod tests;
