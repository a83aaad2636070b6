//! The distributor's state of a connected proxy.

use crate::distributor::ProxyId;
use crate::pending_proxy::{PendingProxy, Transport};
use crate::suspicion::ReportChecker;
use runloom_versioned_publisher::{HeldVersion, Publisher, Topic, TopicFilter, TopicKind, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The topic of ejected servers, which get no requests even if a table has an entry for them.
pub(crate) const EJECTION_TOPIC: Topic = Topic { kind: TopicKind::Ejections, table: 0 };

/// The topic of a proxy's assignments. Topic numbers have 16 bits, and no fleet has more proxies than that.
pub(crate) fn assignment_topic(proxy: ProxyId) -> Topic {
    Topic { kind: TopicKind::Assignments, table: proxy as u16 }
}

/// A command that is not in force yet at one proxy.
#[derive(Debug)]
pub(crate) struct PendingCommand {
    /// Token that is returned to the caller once the command is in force.
    pub(crate) ack_token: u64,
    /// The command is in force once the proxy holds these versions or later ones.
    pub(crate) required: Vec<(Topic, Version)>,
    /// For a command without required versions: the number of the empty message whose acknowledgement completes it;
    /// `None` until that is sent.
    pub(crate) empty_message: Option<u64>,
}

impl PendingCommand {
    /// Whether the command needs an empty message that was not sent yet.
    pub(crate) fn needs_empty_message(&self) -> bool {
        self.required.is_empty() && self.empty_message.is_none()
    }

    /// Whether the command is in force at a proxy that acknowledged all messages up to number `acknowledged`.
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
        let is_message_acknowledged = self.empty_message.is_some_and(|message| message <= acknowledged);
        let is_answered =
            !self.required.is_empty() || is_message_acknowledged || transport == Transport::Published;
        is_answered && self.required.iter().all(is_held)
    }
}

/// A proxy that is connected to the distributor.
#[derive(Debug)]
pub(crate) struct Member {
    /// Name of the proxy, under which the publisher has it as a subscriber.
    pub(crate) name: String,
    /// Number of the proxy's session at the publisher.
    pub(crate) session: u64,
    pub(crate) transport: Transport,
    /// Filters of the topics that the proxy subscribes to.
    filters: Vec<TopicFilter>,
    /// Versions that the proxy held when it connected; empty once it is assigned its tables.
    pub(crate) held_versions: BTreeMap<Topic, HeldVersion>,
    /// Number of the assigned table by class name.
    pub(crate) assignments: BTreeMap<String, u16>,
    /// The next edit replaces all that the proxy holds: it is the first one of the session or epoch, or a resync.
    pub(crate) replaces_all: bool,
    /// Tables that the proxy is no longer assigned to but may still hold, each with the version of its assignments
    /// that drops the table.
    pub(crate) unassigned_tables: BTreeMap<u16, Version>,
    /// Commands that are not in force yet, oldest first.
    pub(crate) pending_commands: VecDeque<PendingCommand>,
    /// Finds reports that contradict the proxy's acknowledgements.
    pub(crate) report_checker: ReportChecker,
    /// Consecutive messages that the proxy rejected, by topic.
    pub(crate) rejections: BTreeMap<Topic, u32>,
}

impl Member {
    pub(crate) fn new(proxy: ProxyId, pending: PendingProxy, session: u64) -> Member {
        // The topic under which a proxy reports its assignments has no number; the publisher uses the proxy's index.
        let to_publisher_topic = |topic: Topic| match topic.kind {
            TopicKind::Assignments => assignment_topic(proxy),
            _ => topic,
        };
        let held_versions = pending
            .held_versions
            .into_iter()
            .map(|(topic, held)| (to_publisher_topic(topic), held))
            .collect();
        Member {
            name: pending.name,
            session,
            transport: pending.transport,
            filters: pending.filters,
            held_versions,
            assignments: BTreeMap::new(),
            replaces_all: true,
            unassigned_tables: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            report_checker: ReportChecker::default(),
            rejections: BTreeMap::new(),
        }
    }

    /// Discards the state that belongs to the publisher's former epoch. The counts of rejected messages are kept.
    pub(crate) fn restart(&mut self) {
        self.assignments.clear();
        self.held_versions.clear();
        self.unassigned_tables.clear();
        self.pending_commands.clear();
        self.replaces_all = true;
        self.report_checker = ReportChecker::default();
    }

    /// Kind of the topics that carry the proxy's tables: weights, or subsets if it subscribes to subsets and not to
    /// weights.
    pub(crate) fn table_kind(&self) -> TopicKind {
        let subscribes_to =
            |kind| self.filters.iter().any(|filter| filter.kind.is_none_or(|wanted| wanted == kind));
        if subscribes_to(TopicKind::Weights) || !subscribes_to(TopicKind::Subset) {
            TopicKind::Weights
        } else {
            TopicKind::Subset
        }
    }

    /// Numbers of the tables that the proxy is assigned to.
    pub(crate) fn assigned_tables(&self) -> BTreeSet<u16> {
        self.assignments.values().copied().collect()
    }

    /// The topics that apply to the proxy: its assigned tables, the ejections and its assignments.
    pub(crate) fn topics(&self, proxy: ProxyId) -> Vec<Topic> {
        let kind = self.table_kind();
        let tables = self.assigned_tables().into_iter().map(|table| Topic { kind, table });
        tables.chain([EJECTION_TOPIC, assignment_topic(proxy)]).collect()
    }

    /// Replaces the required version of the topic `former` in pending commands by `replacement`.
    pub(crate) fn replace_requirement(&mut self, former: Topic, replacement: (Topic, Version)) {
        let required = self.pending_commands.iter_mut().flat_map(|command| &mut command.required);
        for requirement in required.filter(|(topic, _)| *topic == former) {
            *requirement = replacement;
        }
    }

    /// Takes the unassigned tables that the proxy has dropped, as it holds this version of its assignments.
    pub(crate) fn take_dropped_tables(&mut self, assignments_version: Version) -> Vec<u16> {
        let is_dropped = |dropped_by: &Version| *dropped_by <= assignments_version;
        let dropped: Vec<u16> = self
            .unassigned_tables
            .iter()
            .filter(|(_, dropped_by)| is_dropped(dropped_by))
            .map(|(table, _)| *table)
            .collect();
        self.unassigned_tables.retain(|_, dropped_by| !is_dropped(dropped_by));
        dropped
    }

    /// Removes the commands that are in force, and returns the token of the newest one. Commands complete in order.
    /// `acknowledged` is the number up to which the proxy acknowledged all messages.
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
