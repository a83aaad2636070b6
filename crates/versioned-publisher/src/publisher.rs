//! The publisher: its tables, its subscribers, and the messages to send to them.

use crate::published_table::PublishedTable;
use crate::subscriber::{Position, SendPriority, Subscriber, MAX_TOPICS};
use crate::topic::{Topic, TopicKind};
use crate::update::{Change, HeldVersion, Key, TableUpdate, UpdatePart, Version};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// All tables of one planner, and their subscribers. A subscriber is identified by its name, and each of its
/// connections by a session number.
#[derive(Debug)]
pub struct Publisher {
    /// Rises with each start of the planner and each [`Publisher::restart`], so that versions published before are told
    /// apart.
    epoch: u64,
    tables: BTreeMap<Topic, PublishedTable>,
    subscribers: BTreeMap<String, Subscriber>,
    last_session: u64,
}

impl Publisher {
    /// Creates a publisher without tables and subscribers.
    pub fn new(epoch: u64) -> Publisher {
        Publisher { epoch, tables: BTreeMap::new(), subscribers: BTreeMap::new(), last_session: 0 }
    }

    /// The epoch of all versions that it publishes now.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Starts over with no tables and a higher epoch: `epoch`, or the next one if `epoch` is not higher. Sessions stay
    /// open without subscriptions. Messages in flight count against the limit until they are acknowledged, but their
    /// acknowledgements confirm no version.
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

    /// Applies changes to a table and returns its version, which rises only if some value changes.
    pub fn apply(&mut self, topic: Topic, changes: Vec<Change>) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.apply(changes);
        table.version
    }

    /// Replaces a table's state and returns its version, which rises only if some value changes.
    pub fn replace(&mut self, topic: Topic, state: BTreeMap<Key, Rc<str>>) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.replace(state);
        table.version
    }

    /// Adds a version without changes: its acknowledgement shows that a subscriber responds and is up to date.
    pub fn advance_unchanged(&mut self, topic: Topic) -> Version {
        let table = self.tables.entry(topic).or_default();
        table.advance(vec![]);
        table.version
    }

    /// A table's version and state; `None` if there is no such table.
    pub fn table(&self, topic: Topic) -> Option<(Version, &BTreeMap<Key, Rc<str>>)> {
        self.tables.get(&topic).map(|table| (table.version, &table.state))
    }

    /// Numbers of the tables of a kind.
    pub fn table_numbers(&self, kind: TopicKind) -> Vec<u16> {
        self.tables.keys().filter(|topic| topic.kind == kind).map(|topic| topic.table).collect()
    }

    /// Opens a session and returns its number. It replaces an earlier session of the same name.
    pub fn connect(&mut self, name: &str) -> u64 {
        self.last_session += 1;
        self.subscribers.insert(name.to_string(), Subscriber::new(self.last_session));
        self.last_session
    }

    /// Closes a session. Returns false if it is not open, for example because a newer one of the same name replaced it;
    /// the newer one stays open.
    pub fn disconnect(&mut self, name: &str, session: u64) -> bool {
        let is_current = self.session(name, session).is_some();
        if is_current {
            self.subscribers.remove(name);
        }
        is_current
    }

    /// The subscriber of this name, if `session` is its current session.
    fn session(&mut self, name: &str, session: u64) -> Option<&mut Subscriber> {
        self.subscribers.get_mut(name).filter(|subscriber| subscriber.session == session)
    }

    /// Subscribes to a table. Updates resume from `held` if it is of this epoch and the history reaches back that far,
    /// and start with a snapshot otherwise. Returns false if there is no such subscriber, or if it has [`MAX_TOPICS`]
    /// other tables.
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

    /// Ends a subscription to a table.
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

    /// The current version of a subscribed table, if the subscriber has not acknowledged it yet.
    pub fn unacknowledged_version(&self, name: &str, topic: Topic) -> Option<Version> {
        let position = self.position(name, topic)?;
        let version = self.tables.get(&topic)?.version;
        (position.acknowledged != Some(version)).then_some(version)
    }

    /// The latest version of a table that a subscriber acknowledged or resumed from.
    pub fn acknowledged_version(&self, name: &str, topic: Topic) -> Option<Version> {
        self.position(name, topic)?.acknowledged
    }

    /// The next message to a subscriber, with its number; `None` if the subscriber lacks nothing, or has
    /// [`MAX_IN_FLIGHT`](crate::MAX_IN_FLIGHT) messages in flight.
    ///
    /// Updates that take a server out of service come first, and assignments last: a class must not be assigned to a
    /// table before the subscriber holds it.
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

    /// All updates that a subscriber lacks, as one message that it applies as a whole, with its number; `None` if the
    /// subscriber lacks nothing, or has [`MAX_IN_FLIGHT`](crate::MAX_IN_FLIGHT) messages in flight.
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

    /// Registers a message without updates as sent and returns its number. Its acknowledgement shows that the
    /// subscriber responds. `None` if [`MAX_IN_FLIGHT`](crate::MAX_IN_FLIGHT) messages are in flight.
    pub fn next_empty_message(&mut self, now: Duration, name: &str) -> Option<u64> {
        let subscriber = self.subscribers.get_mut(name).filter(|subscriber| subscriber.can_send())?;
        Some(subscriber.record_sent(now, vec![]))
    }

    /// Handles the acknowledgement of a message and of all before it. Returns the tables and versions that the
    /// subscriber holds because of them.
    pub fn acknowledge(&mut self, name: &str, session: u64, number: u64) -> Vec<(Topic, Version)> {
        let Some(subscriber) = self.session(name, session) else { return vec![] };
        let mut held = Vec::new();
        while let Some(message) = subscriber.take_in_flight(number) {
            held.extend(subscriber.apply_acknowledged(message));
        }
        held
    }

    /// Handles the rejection of a message that the subscriber could not apply to a table. It acknowledges the messages
    /// before, and makes the table's next update a snapshot, unless that was already done after the message was sent.
    /// Returns the same as [`Publisher::acknowledge`].
    pub fn reject(&mut self, name: &str, session: u64, number: u64, topic: Topic) -> Vec<(Topic, Version)> {
        let held = self.acknowledge(name, session, number.saturating_sub(1));
        let Some(subscriber) = self.session(name, session) else { return vec![] };
        subscriber.take_in_flight(number);
        let position = subscriber.positions.get(&topic);
        if position.is_some_and(|position| position.reset_after_message < number) {
            subscriber.reset(topic);
        }
        held
    }

    /// Names and sessions of the subscribers whose oldest message in flight was sent at least `timeout` ago.
    pub fn overdue(&self, now: Duration, timeout: Duration) -> Vec<(String, u64)> {
        let overdue = self.subscribers.iter().filter(|(_, subscriber)| subscriber.is_overdue(now, timeout));
        overdue.map(|(name, subscriber)| (name.clone(), subscriber.session)).collect()
    }

    /// Number of messages in flight to all subscribers.
    pub fn messages_in_flight(&self) -> usize {
        self.subscribers.values().map(|subscriber| subscriber.in_flight.len()).sum()
    }
}
