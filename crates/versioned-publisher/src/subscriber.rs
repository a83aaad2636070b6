//! The publisher's state of one subscriber: its position in each table, and the messages in flight to it.

use crate::published_table::PublishedTable;
use crate::topic::{Topic, TopicKind};
use crate::update::{Change, Update, Version};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Limit of messages in flight to one subscriber; at the limit it receives no more until it acknowledges some.
pub const MAX_IN_FLIGHT: usize = 8;
/// Limit of tables per subscriber: one for each of 32 traffic classes, another 32 that it is no longer assigned to and
/// still holds, the ejections, and the assignments.
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
    /// Whether a part has been sent.
    fn has_begun(&self) -> bool {
        self.next_part > 0
    }

    fn next_part_takes_server_out_of_service(&self) -> bool {
        self.update[self.next_part].first().is_some_and(Change::takes_server_out_of_service)
    }
}

/// A subscriber's progress in one table.
#[derive(Debug, Default)]
pub(crate) struct Position {
    /// The latest version of this epoch that it acknowledged or resumed from.
    pub(crate) acknowledged: Option<Version>,
    /// The version that it will hold once all messages in flight are applied; `None`: it needs a snapshot.
    pub(crate) sent: Option<Version>,
    /// An update that is partly sent, or is to be sent next.
    pub(crate) outgoing: Option<OutgoingUpdate>,
    /// Number of the last message before the position was reset. Acknowledgements up to it do not apply to this table.
    pub(crate) reset_after_message: u64,
}

impl Position {
    /// The position of a subscriber that holds `version`; `None`: it holds nothing usable.
    pub(crate) fn at(version: Option<Version>, reset_after_message: u64) -> Position {
        Position { acknowledged: version, sent: version, outgoing: None, reset_after_message }
    }

    /// The update that the subscriber lacks: from the version that it holds if the history reaches back that far, and a
    /// snapshot otherwise. `None` if it lacks nothing.
    pub(crate) fn missing_update(&self, table: &mut PublishedTable) -> Option<OutgoingUpdate> {
        if self.sent == Some(table.version) {
            return None;
        }
        let base_version = self.sent.filter(|version| table.history_reaches(*version));
        let update = table.update_from(base_version);
        Some(OutgoingUpdate { base_version, version: table.version, update, next_part: 0 })
    }

    /// Returns the update to send; `None` if the subscriber lacks nothing. An update of which no part has been sent is
    /// computed again from the current table. Otherwise an outdated assignment could be sent after the table that the
    /// newest assignment names.
    pub(crate) fn prepare(&mut self, table: &mut PublishedTable) -> Option<&OutgoingUpdate> {
        let has_begun = self.outgoing.as_ref().is_some_and(OutgoingUpdate::has_begun);
        if !has_begun {
            self.outgoing = self.missing_update(table);
        }
        self.outgoing.as_ref()
    }
}

/// The order in which updates are sent, the least first: those whose next part takes servers out of service, then other
/// tables, then assignments, since a class is assigned to a table only once the subscriber holds it; among equals by
/// topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SendPriority {
    keeps_servers_in_service: bool,
    is_assignment: bool,
    pub(crate) topic: Topic,
}

impl SendPriority {
    pub(crate) fn of(topic: Topic, outgoing: &OutgoingUpdate) -> SendPriority {
        SendPriority {
            keeps_servers_in_service: !outgoing.next_part_takes_server_out_of_service(),
            is_assignment: topic.kind == TopicKind::Assignments,
            topic,
        }
    }
}

/// A message that is sent and not yet acknowledged.
#[derive(Debug)]
pub(crate) struct InFlightMessage {
    pub(crate) number: u64,
    /// Tables whose updates are complete with this message, with the versions that the subscriber then holds.
    pub(crate) completes: Vec<(Topic, Version)>,
    pub(crate) sent_at: Duration,
}

/// A connected subscriber.
#[derive(Debug)]
pub(crate) struct Subscriber {
    /// Number of its current session. A newer session of the same name replaces it, and calls for the old one are
    /// ignored.
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
        let reset_after_message = self.last_message;
        if let Some(position) = self.positions.get_mut(&topic) {
            *position = Position::at(None, reset_after_message);
        }
    }

    /// Removes the oldest message in flight, if its number is at most `number`.
    pub(crate) fn take_in_flight(&mut self, number: u64) -> Option<InFlightMessage> {
        let oldest = self.in_flight.front()?;
        if oldest.number > number {
            return None;
        }
        self.in_flight.pop_front()
    }

    /// Records that a message was applied; returns the tables and versions that the subscriber holds because of it.
    pub(crate) fn apply_acknowledged(&mut self, message: InFlightMessage) -> Vec<(Topic, Version)> {
        let mut held = Vec::new();
        for (topic, version) in message.completes {
            let position = self.positions.get_mut(&topic);
            if let Some(position) = position.filter(|position| position.reset_after_message < message.number)
            {
                position.acknowledged = Some(version);
                held.push((topic, version));
            }
        }
        held
    }

    /// Whether its oldest message in flight was sent at least `timeout` ago.
    pub(crate) fn is_overdue(&self, now: Duration, timeout: Duration) -> bool {
        self.in_flight.front().is_some_and(|oldest| now >= oldest.sent_at + timeout)
    }
}
