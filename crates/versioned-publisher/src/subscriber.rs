//! A subscriber as the publisher sees it: its position in each table, and its messages in flight.

use crate::published_table::PublishedTable;
use crate::topic::{Topic, TopicKind};
use crate::update::{Change, Update, Version};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Messages in flight to one subscriber: one that does not acknowledge them receives no more.
pub const MAX_IN_FLIGHT: usize = 8;
/// Tables of one subscriber: one for each of 32 classes, as many again that it is no longer assigned to and still
/// holds, ejections, and assignments.
pub const MAX_TOPICS: usize = 66;

/// An update that is being sent.
#[derive(Debug)]
pub(crate) struct OutgoingUpdate {
    pub(crate) base_version: Option<Version>,
    pub(crate) version: Version,
    pub(crate) update: Update,
    pub(crate) next_part: usize,
}

impl OutgoingUpdate {
    fn has_begun(&self) -> bool {
        self.next_part > 0
    }

    fn next_takes_server_out(&self) -> bool {
        self.update[self.next_part].first().is_some_and(Change::takes_server_out_of_service)
    }
}

/// How far a subscriber is in one table.
#[derive(Debug, Default)]
pub(crate) struct Position {
    /// The version that it acknowledged, of this epoch.
    pub(crate) acknowledged: Option<Version>,
    /// The version that it will hold once all messages in flight are applied.
    pub(crate) sent: Option<Version>,
    /// An update that was sent in part, or is to be sent next.
    pub(crate) outgoing: Option<OutgoingUpdate>,
    /// The last message before the position was reset: acknowledgements up to it say nothing of this table.
    pub(crate) reset_at: u64,
}

impl Position {
    /// The position of a subscriber that holds `version`, or nothing.
    pub(crate) fn at(version: Option<Version>, reset_at: u64) -> Position {
        Position { acknowledged: version, sent: version, outgoing: None, reset_at }
    }

    /// The update that the subscriber lacks: from what it holds where the history reaches back, else a snapshot.
    pub(crate) fn missing_update(&self, table: &mut PublishedTable) -> Option<OutgoingUpdate> {
        if self.sent == Some(table.version) {
            return None;
        }
        let base_version = self.sent.filter(|version| table.history_reaches(*version));
        let update = table.update_from(base_version);
        Some(OutgoingUpdate { base_version, version: table.version, update, next_part: 0 })
    }

    /// Chooses the update to send, unless the subscriber has all of the table. One that has not begun is computed
    /// again: an older assignment must not be sent once the table that the newest one names stands ahead of it.
    pub(crate) fn prepare(&mut self, table: &mut PublishedTable) -> Option<&OutgoingUpdate> {
        let has_begun = self.outgoing.as_ref().is_some_and(OutgoingUpdate::has_begun);
        if !has_begun {
            self.outgoing = self.missing_update(table);
        }
        self.outgoing.as_ref()
    }
}

/// The order in which tables are sent, the least first: what takes servers out of service, then tables, then
/// assignments, since a class goes over to a table only once that is held; among equals by topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SendPriority {
    takes_no_server_out: bool,
    is_assignment: bool,
    pub(crate) topic: Topic,
}

impl SendPriority {
    pub(crate) fn of(topic: Topic, outgoing: &OutgoingUpdate) -> SendPriority {
        SendPriority {
            takes_no_server_out: !outgoing.next_takes_server_out(),
            is_assignment: topic.kind == TopicKind::Assignments,
            topic,
        }
    }
}

/// A message in flight.
#[derive(Debug)]
pub(crate) struct InFlightMessage {
    pub(crate) number: u64,
    /// Versions that the subscriber holds with this message: of tables whose updates end in it.
    pub(crate) completes: Vec<(Topic, Version)>,
    pub(crate) sent_at: Duration,
}

/// A subscriber's state.
#[derive(Debug)]
pub(crate) struct Subscriber {
    /// Number of its session: a newer session of the same name takes over, and the old one is not heard.
    pub(crate) session: u64,
    pub(crate) positions: BTreeMap<Topic, Position>,
    /// Number of the last message sent.
    pub(crate) last_message: u64,
    pub(crate) in_flight: VecDeque<InFlightMessage>,
}

impl Subscriber {
    pub(crate) fn new(session: u64) -> Subscriber {
        Subscriber { session, positions: BTreeMap::new(), last_message: 0, in_flight: VecDeque::new() }
    }

    pub(crate) fn can_send(&self) -> bool {
        self.in_flight.len() < MAX_IN_FLIGHT
    }

    /// Registers a message as sent and returns its number.
    pub(crate) fn record_sent(&mut self, now: Duration, completes: Vec<(Topic, Version)>) -> u64 {
        self.last_message += 1;
        self.in_flight.push_back(InFlightMessage { number: self.last_message, completes, sent_at: now });
        self.last_message
    }

    /// Makes the next update of a table a snapshot.
    pub(crate) fn reset(&mut self, topic: Topic) {
        let reset_at = self.last_message;
        if let Some(position) = self.positions.get_mut(&topic) {
            *position = Position::at(None, reset_at);
        }
    }

    /// Takes the oldest message in flight, if its number is `number` or lower.
    pub(crate) fn take_in_flight(&mut self, number: u64) -> Option<InFlightMessage> {
        let oldest = self.in_flight.front()?;
        if oldest.number > number {
            return None;
        }
        self.in_flight.pop_front()
    }

    /// Notes that a message was applied; returns the versions that the subscriber holds by that.
    pub(crate) fn apply_acknowledged(&mut self, message: InFlightMessage) -> Vec<(Topic, Version)> {
        let mut held = Vec::new();
        for (topic, version) in message.completes {
            let position = self.positions.get_mut(&topic);
            if let Some(position) = position.filter(|position| position.reset_at < message.number) {
                position.acknowledged = Some(version);
                held.push((topic, version));
            }
        }
        held
    }

    /// Whether its oldest message has been in flight for `timeout`.
    pub(crate) fn is_overdue(&self, now: Duration, timeout: Duration) -> bool {
        self.in_flight.front().is_some_and(|oldest| now >= oldest.sent_at + timeout)
    }
}
