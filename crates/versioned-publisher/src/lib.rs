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
pub enum TopicKind {
    Weights,
    Subset,
    Range,
    /// Servers that are out whatever other tables say; there is one such table.
    Withdrawn,
    /// Which class of one proxy's queries goes by which table; its number is the proxy's.
    Binds,
}

/// One table, as it is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Topic {
    pub kind: TopicKind,
    pub table: u16,
}

/// Which tables a subscriber wants, of those that it is to go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicFilter {
    pub kind: Option<TopicKind>,
    pub table: Option<u16>,
}

impl TopicFilter {
    pub const ALL: TopicFilter = TopicFilter { kind: None, table: None };

    pub fn covers(&self, topic: Topic) -> bool {
        self.kind.is_none_or(|k| k == topic.kind) && self.table.is_none_or(|t| t == topic.table)
    }
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
pub struct UpdatePart {
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
/// Tables of one subscriber: one for each of 32 classes, as many again that it is bound off and still holds,
/// withdrawals, and binds.
pub const TOPICS_MOST: usize = 66;

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

/// An update's parts.
pub type Update = Rc<[Rc<[Change]>]>;

/// One table's update, whole.
#[derive(Debug, Clone)]
pub struct TableUpdate {
    pub topic: Topic,
    pub from: Option<Version>,
    pub to: Version,
    pub update: Update,
}

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
        if !keys.is_empty() {
            self.advance(keys);
        }
    }

    fn advance(&mut self, keys: Vec<Key>) {
        self.version += 1;
        self.held += keys.len().max(1);
        self.run.push_back(Step { version: self.version, keys });
        self.made.clear();
        while self.held > self.state.len().max(RUN_LEAST) {
            let Some(step) = self.run.pop_front() else { break };
            self.held -= step.keys.len().max(1);
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
    /// The message after which it was started over: what is said of earlier ones does not count.
    since: u64,
}

impl Position {
    /// What it has still to be told: whatever came since is one update, and no longer reached by the run a snapshot.
    fn behind(&self, table: &mut Published) -> Option<(Option<Version>, Version, Update, usize)> {
        if self.told == Some(table.version) {
            return None;
        }
        let from = self.told.filter(|told| table.reaches(*told));
        Some((from, table.version, table.update(from), 0))
    }
}

#[derive(Debug)]
struct Flying {
    number: u64,
    /// The versions that it holds with this message: of the tables whose updates end in it.
    holds: Vec<(Topic, Version)>,
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

impl Subscriber {
    fn fly(&mut self, now: Duration, holds: Vec<(Topic, Version)>) -> u64 {
        self.number += 1;
        self.flying.push_back(Flying { number: self.number, holds, sent: now });
        self.number
    }
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

    /// The decisions start over: another epoch, no tables; streams stay, and follow nothing.
    pub fn restart(&mut self, epoch: u64) {
        self.epoch = epoch.max(self.epoch + 1);
        self.tables.clear();
        for subscriber in self.subscribers.values_mut() {
            // Numbers go on, and what is on its way counts against the window until its word comes, which then
            // confirms nothing.
            subscriber.positions.clear();
            subscriber.flying.iter_mut().for_each(|f| f.holds.clear());
        }
    }

    /// A table is told anew, whole.
    pub fn start_over(&mut self, name: &str, topic: Topic) {
        let Some(subscriber) = self.subscribers.get_mut(name) else { return };
        let since = subscriber.number;
        if let Some(position) = subscriber.positions.get_mut(&topic) {
            *position = Position { since, ..Position::default() };
        }
    }

    /// A step of one table; what is said again as it stands is no step.
    pub fn step(&mut self, topic: Topic, changes: Vec<Change>) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.step(changes);
        table.version
    }

    /// A table as it is to be, in place of all that it held: one step with what differs, if anything does.
    pub fn replace(&mut self, topic: Topic, state: BTreeMap<Key, Rc<str>>) -> Version {
        let table = self.tables.entry(topic).or_default();
        let gone = table.state.keys().filter(|key| !state.contains_key(*key));
        let mut changes: Vec<Change> = gone.map(|key| Change { key: key.clone(), value: None }).collect();
        changes.extend(state.into_iter().map(|(key, value)| Change { key, value: Some(value) }));
        table.step(changes);
        table.version
    }

    /// A step that changes nothing, so that its confirmation says that a subscriber is there and level.
    pub fn touch(&mut self, topic: Topic) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.advance(vec![]);
        table.version
    }

    /// A table's version and state.
    pub fn table(&self, topic: Topic) -> Option<(Version, &BTreeMap<Key, Rc<str>>)> {
        self.tables.get(&topic).map(|t| (t.version, &t.state))
    }

    /// The tables of a kind.
    pub fn tables_of(&self, kind: TopicKind) -> Vec<u16> {
        self.tables.keys().filter(|t| t.kind == kind).map(|t| t.table).collect()
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
        let since = subscriber.number;
        subscriber.positions.insert(topic, Position { taken: version, told: version, sending: None, since });
        true
    }

    /// Whether it is to have a table.
    pub fn follows(&self, name: &str, topic: Topic) -> bool {
        self.subscribers.get(name).is_some_and(|s| s.positions.contains_key(&topic))
    }

    /// The version of a table that a subscriber is to have and does not hold for certain.
    pub fn lacking(&self, name: &str, topic: Topic) -> Option<Version> {
        let position = self.subscribers.get(name)?.positions.get(&topic)?;
        let version = self.tables.get(&topic)?.version;
        (position.taken != Some(version)).then_some(version)
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
    pub fn next(&mut self, now: Duration, name: &str) -> Option<(u64, UpdatePart)> {
        let subscriber = self.subscribers.get_mut(name)?;
        if subscriber.flying.len() >= WINDOW {
            return None;
        }
        let mut chosen: Option<((bool, bool), Topic)> = None;
        for (topic, position) in &mut subscriber.positions {
            let Some(table) = self.tables.get_mut(topic) else { continue };
            // What has not begun to go out is reckoned anew: a bind of some turns ago must not go out once the table
            // that the newest one names stands before it.
            let begun = position.sending.as_ref().is_some_and(|(.., next)| *next > 0);
            if !begun {
                position.sending = position.behind(table);
            }
            let Some((_, _, update, next)) = &position.sending else { continue };
            let out = update[*next].first().is_some_and(Change::takes_out);
            // The least goes first: those that take out, then tables, then binds; among equals by their number.
            let rank = ((!out, topic.kind == TopicKind::Binds), *topic);
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
        let holds = last.then_some((topic, to)).into_iter().collect();
        let number = subscriber.fly(now, holds);
        Some((number, UpdatePart { topic, epoch: self.epoch, from, to, part, of, changes }))
    }

    /// All that a subscriber has still to be told, as one message that it takes whole; none: it has been told all, or
    /// has too many on their way. In the order of [`Publisher::next`].
    pub fn bundle(&mut self, now: Duration, name: &str) -> Option<(u64, Vec<TableUpdate>)> {
        let subscriber = self.subscribers.get_mut(name)?;
        if subscriber.flying.len() >= WINDOW {
            return None;
        }
        let mut all = Vec::new();
        for (topic, position) in &mut subscriber.positions {
            let Some(table) = self.tables.get_mut(topic) else { continue };
            let Some((from, to, update, _)) = position.behind(table) else { continue };
            position.told = Some(to);
            all.push(TableUpdate { topic: *topic, from, to, update });
        }
        if all.is_empty() {
            return None;
        }
        let holds = all.iter().map(|w| (w.topic, w.to)).collect();
        Some((subscriber.fly(now, holds), all))
    }

    /// The number of a message that brings nothing: its confirmation says that the subscriber is there.
    pub fn nothing(&mut self, now: Duration, name: &str) -> Option<u64> {
        let subscriber = self.subscribers.get_mut(name)?;
        (subscriber.flying.len() < WINDOW).then(|| subscriber.fly(now, vec![]))
    }

    /// A stream confirmed a message, and so all before it: tables and the versions that it now holds.
    pub fn confirmed(&mut self, name: &str, stream: u64, number: u64) -> Vec<(Topic, Version)> {
        let Some(subscriber) = self.subscribers.get_mut(name).filter(|s| s.stream == stream) else {
            return vec![];
        };
        let mut held = Vec::new();
        while subscriber.flying.front().is_some_and(|f| f.number <= number) {
            let Some(flying) = subscriber.flying.pop_front() else { break };
            for (topic, version) in flying.holds {
                // One that was started over since holds what comes after, and nothing by this.
                let position = subscriber.positions.get_mut(&topic);
                if let Some(position) = position.filter(|p| p.since < flying.number) {
                    position.taken = Some(version);
                    held.push((topic, version));
                }
            }
        }
        held
    }

    /// It could not use a message, and confirms those before it: the table's next update is a snapshot. What it says
    /// of messages that were on their way when the table was started over changes nothing more.
    pub fn lacks(&mut self, name: &str, stream: u64, number: u64, topic: Topic) -> Vec<(Topic, Version)> {
        let held = self.confirmed(name, stream, number.saturating_sub(1));
        let Some(subscriber) = self.subscribers.get_mut(name).filter(|s| s.stream == stream) else {
            return vec![];
        };
        if subscriber.flying.front().is_some_and(|f| f.number == number) {
            subscriber.flying.pop_front();
        }
        let since = subscriber.number;
        if let Some(position) = subscriber.positions.get_mut(&topic).filter(|p| p.since < number) {
            *position = Position { since, ..Position::default() };
        }
        held
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
