//! The publisher: all tables, and all subscribers.

use crate::published_table::PublishedTable;
use crate::subscriber::{Position, SendPriority, Subscriber, MAX_TOPICS};
use crate::topic::{Topic, TopicKind};
use crate::update::{Change, HeldVersion, Key, TableUpdate, UpdatePart, Version};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// All that one planner publishes. Subscribers go by name; each connection of one is a session.
#[derive(Debug)]
pub struct Publisher {
    /// Rises with each start of the planner, so that what an earlier start published can be told apart.
    epoch: u64,
    tables: BTreeMap<Topic, PublishedTable>,
    subscribers: BTreeMap<String, Subscriber>,
    last_session: u64,
}

impl Publisher {
    /// A publisher without tables.
    pub fn new(epoch: u64) -> Publisher {
        Publisher { epoch, tables: BTreeMap::new(), subscribers: BTreeMap::new(), last_session: 0 }
    }

    /// The current epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Starts over with another epoch and no tables. Sessions stay, without subscriptions. Messages in flight still
    /// count against the limit until they are acknowledged, which then confirms nothing.
    pub fn restart(&mut self, epoch: u64) {
        self.epoch = epoch.max(self.epoch + 1);
        self.tables.clear();
        for subscriber in self.subscribers.values_mut() {
            subscriber.positions.clear();
            for message in &mut subscriber.in_flight {
                message.completes.clear();
            }
        }
    }

    /// Makes a subscriber's next update of a table a snapshot.
    pub fn resync(&mut self, name: &str, topic: Topic) {
        if let Some(subscriber) = self.subscribers.get_mut(name) {
            subscriber.reset(topic);
        }
    }

    /// Applies changes to a table. Without an effect they make no new version.
    pub fn apply(&mut self, topic: Topic, changes: Vec<Change>) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.apply(changes);
        table.version
    }

    /// Replaces a table's state. Without an effect that makes no new version.
    pub fn replace(&mut self, topic: Topic, state: BTreeMap<Key, Rc<str>>) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.replace(state);
        table.version
    }

    /// Makes a new version that changes nothing: its acknowledgement tells that a subscriber responds and is current.
    pub fn advance_unchanged(&mut self, topic: Topic) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.advance(vec![]);
        table.version
    }

    /// A table's version and state.
    pub fn table(&self, topic: Topic) -> Option<(Version, &BTreeMap<Key, Rc<str>>)> {
        self.tables.get(&topic).map(|table| (table.version, &table.state))
    }

    /// Numbers of the tables of a kind.
    pub fn table_numbers(&self, kind: TopicKind) -> Vec<u16> {
        self.tables.keys().filter(|topic| topic.kind == kind).map(|topic| topic.table).collect()
    }

    /// Opens a session and returns its number; an earlier session of the same name is over.
    pub fn connect(&mut self, name: &str) -> u64 {
        self.last_session += 1;
        self.subscribers.insert(name.to_string(), Subscriber::new(self.last_session));
        self.last_session
    }

    /// Closes a session. False: a newer session of the same name is open, and stays.
    pub fn disconnect(&mut self, name: &str, session: u64) -> bool {
        let is_current = self.session(name, session).is_some();
        if is_current {
            self.subscribers.remove(name);
        }
        is_current
    }

    /// The subscriber of a name, if this is its newest session.
    fn session(&mut self, name: &str, session: u64) -> Option<&mut Subscriber> {
        self.subscribers.get_mut(name).filter(|subscriber| subscriber.session == session)
    }

    /// Subscribes to a table. It resumes from `held` if that is of this epoch and the history reaches back, and starts
    /// with a snapshot otherwise. False: the subscriber has too many tables.
    pub fn subscribe(&mut self, name: &str, topic: Topic, held: Option<HeldVersion>) -> bool {
        let table = self.tables.entry(topic).or_default();
        let can_resume = |held: &HeldVersion| held.epoch == self.epoch && table.history_reaches(held.version);
        let version = held.filter(can_resume).map(|held| held.version);
        let Some(subscriber) = self.subscribers.get_mut(name) else { return false };
        if subscriber.positions.len() >= MAX_TOPICS && !subscriber.positions.contains_key(&topic) {
            return false;
        }
        let position = Position::at(version, subscriber.last_message);
        subscriber.positions.insert(topic, position);
        true
    }

    /// Ends a subscription.
    pub fn unsubscribe(&mut self, name: &str, topic: Topic) {
        if let Some(subscriber) = self.subscribers.get_mut(name) {
            subscriber.positions.remove(&topic);
        }
    }

    fn position(&self, name: &str, topic: Topic) -> Option<&Position> {
        self.subscribers.get(name)?.positions.get(&topic)
    }

    /// Whether a subscriber is subscribed to a table.
    pub fn is_subscribed(&self, name: &str, topic: Topic) -> bool {
        self.position(name, topic).is_some()
    }

    /// A subscribed table's version, if the subscriber has not acknowledged it.
    pub fn unacknowledged_version(&self, name: &str, topic: Topic) -> Option<Version> {
        let position = self.position(name, topic)?;
        let version = self.tables.get(&topic)?.version;
        (position.acknowledged != Some(version)).then_some(version)
    }

    /// The version of a table that a subscriber acknowledged.
    pub fn acknowledged_version(&self, name: &str, topic: Topic) -> Option<Version> {
        self.position(name, topic)?.acknowledged
    }

    /// The next message to a subscriber, with its number; `None`: it has everything, or too many messages in flight.
    ///
    /// Tables with a change that takes a server out of service come first, and assignments last: a class goes over to
    /// a table once that is held, and not before.
    pub fn next_part(&mut self, now: Duration, name: &str) -> Option<(u64, UpdatePart)> {
        let subscriber = self.subscribers.get_mut(name).filter(|subscriber| subscriber.can_send())?;
        let mut next: Option<SendPriority> = None;
        for (topic, position) in &mut subscriber.positions {
            let Some(table) = self.tables.get_mut(topic) else { continue };
            let Some(outgoing) = position.prepare(table) else { continue };
            let priority = SendPriority::of(*topic, outgoing);
            next = Some(next.map_or(priority, |next| next.min(priority)));
        }
        let topic = next?.topic;
        let position = subscriber.positions.get_mut(&topic)?;
        let mut outgoing = position.outgoing.take()?;
        let part = UpdatePart {
            topic,
            epoch: self.epoch,
            base_version: outgoing.base_version,
            version: outgoing.version,
            part_index: outgoing.next_part,
            part_count: outgoing.update.len(),
            changes: outgoing.update[outgoing.next_part].clone(),
        };
        outgoing.next_part += 1;
        let mut completes = vec![];
        if outgoing.next_part == part.part_count {
            position.sent = Some(part.version);
            completes.push((topic, part.version));
        } else {
            position.outgoing = Some(outgoing);
        }
        Some((subscriber.record_sent(now, completes), part))
    }

    /// All updates that a subscriber lacks, as one message that it applies as a whole, with its number; `None`: it has
    /// everything, or too many messages in flight.
    pub fn next_bundle(&mut self, now: Duration, name: &str) -> Option<(u64, Vec<TableUpdate>)> {
        let subscriber = self.subscribers.get_mut(name).filter(|subscriber| subscriber.can_send())?;
        let mut updates = Vec::new();
        for (topic, position) in &mut subscriber.positions {
            let Some(table) = self.tables.get_mut(topic) else { continue };
            let Some(missing) = position.missing_update(table) else { continue };
            position.sent = Some(missing.version);
            updates.push(TableUpdate {
                topic: *topic,
                base_version: missing.base_version,
                version: missing.version,
                update: missing.update,
            });
        }
        if updates.is_empty() {
            return None;
        }
        let completes = updates.iter().map(|update| (update.topic, update.version)).collect();
        Some((subscriber.record_sent(now, completes), updates))
    }

    /// The number of a message without content: its acknowledgement tells that the subscriber responds.
    pub fn next_empty_message(&mut self, now: Duration, name: &str) -> Option<u64> {
        let subscriber = self.subscribers.get_mut(name).filter(|subscriber| subscriber.can_send())?;
        Some(subscriber.record_sent(now, vec![]))
    }

    /// A session acknowledged a message, and so all before it. Returns the tables and versions that it now holds.
    pub fn acknowledge(&mut self, name: &str, session: u64, number: u64) -> Vec<(Topic, Version)> {
        let Some(subscriber) = self.session(name, session) else { return vec![] };
        let mut held = Vec::new();
        while let Some(message) = subscriber.take_in_flight(number) {
            held.extend(subscriber.apply_acknowledged(message));
        }
        held
    }

    /// A session could not use a message of a table, and acknowledges those before it: the table's next update is a
    /// snapshot. Rejections of messages that were in flight when the table was reset change nothing more.
    pub fn reject(&mut self, name: &str, session: u64, number: u64, topic: Topic) -> Vec<(Topic, Version)> {
        let held = self.acknowledge(name, session, number.saturating_sub(1));
        let Some(subscriber) = self.session(name, session) else { return vec![] };
        subscriber.take_in_flight(number);
        let position = subscriber.positions.get(&topic);
        if position.is_some_and(|position| position.reset_at < number) {
            subscriber.reset(topic);
        }
        held
    }

    /// Subscribers whose oldest message has been in flight for `timeout`, with their sessions.
    pub fn overdue(&self, now: Duration, timeout: Duration) -> Vec<(String, u64)> {
        let overdue = self.subscribers.iter().filter(|(_, subscriber)| subscriber.is_overdue(now, timeout));
        overdue.map(|(name, subscriber)| (name.clone(), subscriber.session)).collect()
    }

    /// Messages in flight to all subscribers.
    pub fn messages_in_flight(&self) -> usize {
        self.subscribers.values().map(|subscriber| subscriber.in_flight.len()).sum()
    }
}
