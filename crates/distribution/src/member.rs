//! A connected proxy as the distributor sees it.

use crate::distributor::ProxyId;
use crate::pending_proxy::{PendingProxy, Transport};
use crate::suspicion::Suspicion;
use runloom_versioned_publisher::{HeldVersion, Publisher, Topic, TopicFilter, TopicKind, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The topic of servers that get no requests, whatever tables say.
pub(crate) const EJECTIONS: Topic = Topic { kind: TopicKind::Ejections, table: 0 };

/// The topic of a proxy's assignments. Topic numbers have 16 bits, which no fleet exceeds.
pub(crate) fn assignments_of(proxy: ProxyId) -> Topic {
    Topic { kind: TopicKind::Assignments, table: proxy as u16 }
}

/// A command that is not in force yet.
#[derive(Debug)]
pub(crate) struct PendingCommand {
    pub(crate) ack_token: u64,
    /// It is in force once the proxy holds all of these.
    pub(crate) required: Vec<(Topic, Version)>,
    /// Of a command that requires nothing: the empty message that stands for it, once that is sent.
    pub(crate) empty_message: Option<u64>,
}

impl PendingCommand {
    /// Whether it needs an empty message and has none yet.
    pub(crate) fn needs_empty_message(&self) -> bool {
        self.required.is_empty() && self.empty_message.is_none()
    }

    /// Whether it is in force at a proxy that acknowledged messages up to `acknowledged`.
    fn is_in_force(
        &self,
        name: &str,
        transport: Transport,
        publisher: &Publisher,
        acknowledged: u64,
    ) -> bool {
        let is_held = |(topic, version): &(Topic, Version)| {
            let held = publisher.acknowledged_version(name, *topic);
            held.is_some_and(|held| held >= *version) || !publisher.is_subscribed(name, *topic)
        };
        let by_message = self.empty_message.is_some_and(|message| message <= acknowledged);
        let is_answered = !self.required.is_empty() || by_message || transport == Transport::Published;
        is_answered && self.required.iter().all(is_held)
    }
}

/// A connected proxy.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) name: String,
    /// Number of its session at the publisher.
    pub(crate) session: u64,
    pub(crate) transport: Transport,
    filters: Vec<TopicFilter>,
    /// Versions that it held when it connected, until it is assigned its tables.
    pub(crate) held: BTreeMap<Topic, HeldVersion>,
    /// Class and table.
    pub(crate) assignments: BTreeMap<String, u16>,
    /// Nothing was sent to it: the first message replaces all that it holds.
    pub(crate) is_first_message: bool,
    /// Tables that it is no longer assigned to and still holds, with the version of its assignments that drops them.
    pub(crate) leaving: BTreeMap<u16, Version>,
    /// Commands that are not in force yet, oldest first.
    pub(crate) pending_commands: VecDeque<PendingCommand>,
    pub(crate) suspicion: Suspicion,
    /// Messages in a row that it could not use, by topic.
    pub(crate) rejections: BTreeMap<Topic, u32>,
}

impl Member {
    pub(crate) fn new(proxy: ProxyId, pending: PendingProxy, session: u64) -> Member {
        // A proxy's own topic of assignments has no number; the publisher's has that of the proxy.
        let to_own_topic = |topic: Topic| match topic.kind {
            TopicKind::Assignments => assignments_of(proxy),
            _ => topic,
        };
        let held =
            pending.held_versions.into_iter().map(|(topic, held)| (to_own_topic(topic), held)).collect();
        Member {
            name: pending.name,
            session,
            transport: pending.transport,
            filters: pending.filters,
            held,
            assignments: BTreeMap::new(),
            is_first_message: true,
            leaving: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            suspicion: Suspicion::default(),
            rejections: BTreeMap::new(),
        }
    }

    /// Forgets all that belongs to the publisher's former epoch.
    pub(crate) fn restart(&mut self) {
        self.assignments.clear();
        self.held.clear();
        self.leaving.clear();
        self.pending_commands.clear();
        self.is_first_message = true;
        self.suspicion = Suspicion::default();
    }

    /// Weights, or subsets for a proxy that subscribes to no weights.
    pub(crate) fn table_kind(&self) -> TopicKind {
        let subscribes_to =
            |kind| self.filters.iter().any(|filter| filter.kind.is_none_or(|wanted| wanted == kind));
        if subscribes_to(TopicKind::Weights) || !subscribes_to(TopicKind::Subset) {
            TopicKind::Weights
        } else {
            TopicKind::Subset
        }
    }

    /// Numbers of the tables that it is assigned to.
    pub(crate) fn assigned_tables(&self) -> BTreeSet<u16> {
        self.assignments.values().copied().collect()
    }

    /// The topics that apply to it; tables that it is leaving do not.
    pub(crate) fn topics(&self, proxy: ProxyId) -> Vec<Topic> {
        let kind = self.table_kind();
        let tables = self.assigned_tables().into_iter().map(|table| Topic { kind, table });
        tables.chain([EJECTIONS, assignments_of(proxy)]).collect()
    }

    /// Makes pending commands that require a topic require another one instead.
    pub(crate) fn replace_requirement(&mut self, former: Topic, replacement: (Topic, Version)) {
        let required = self.pending_commands.iter_mut().flat_map(|command| &mut command.required);
        for requirement in required.filter(|(topic, _)| *topic == former) {
            *requirement = replacement;
        }
    }

    /// Takes the tables that it has dropped with a version of its assignments.
    pub(crate) fn take_left_tables(&mut self, assignments_version: Version) -> Vec<u16> {
        let has_left = |dropped_by: &Version| *dropped_by <= assignments_version;
        let left: Vec<u16> = self
            .leaving
            .iter()
            .filter(|(_, dropped_by)| has_left(dropped_by))
            .map(|(table, _)| *table)
            .collect();
        self.leaving.retain(|_, dropped_by| !has_left(dropped_by));
        left
    }

    /// Takes the commands that are in force by now, and returns the newest one's token.
    pub(crate) fn complete_commands(&mut self, publisher: &Publisher, acknowledged: u64) -> Option<u64> {
        let mut newest = None;
        while let Some(command) = self.pending_commands.front() {
            if !command.is_in_force(&self.name, self.transport, publisher, acknowledged) {
                break;
            }
            newest = Some(command.ack_token);
            self.pending_commands.pop_front();
        }
        newest
    }
}
