//! The distributor: connected proxies, their tables, and the commands in force at each.

use crate::edit_message::{add_update, changes_of};
use crate::member::{assignments_of, Member, PendingCommand, EJECTIONS};
use crate::pending_proxy::{PendingProxy, Transport};
use crate::subset::create_subset;
use crate::suspicion::{RemovedServers, Verdict};
use runloom_model::order::{Message, TableEdit};
use runloom_versioned_publisher::{
    Change, Key, Publisher, ReconnectQueue, TableUpdate, Topic, TopicKind, UpdatePart, Version,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// A proxy that cannot use this many messages in a row, each followed by a snapshot, never will.
pub(crate) const REJECTION_LIMIT: u32 = 8;
/// Time allowed on top of the longest deadline for clocks that differ, and for reports that are late.
const REPORT_TOLERANCE: Duration = Duration::from_secs(1);

/// A proxy's number, as the controller has it.
pub type ProxyId = usize;

/// What is sent to a proxy next. Its number is acknowledged to [`Distributor::acknowledged`].
#[derive(Debug, Clone)]
pub enum Outgoing {
    /// An edit of the proxy's datastore. Proxies at the same position share the text.
    Edit {
        /// The message's number.
        number: u64,
        /// The `<edit-config>`.
        text: Rc<str>,
        /// Entries that it changes.
        entries: usize,
    },
    /// A part of a published update.
    Part {
        /// The message's number.
        number: u64,
        /// The part.
        part: UpdatePart,
    },
}

/// What came of a message that a proxy could not use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Token of the newest command that came in force by the messages before it, if one did.
    pub in_force: Option<u64>,
    /// What is to be done about the proxy.
    pub verdict: Verdict,
}

/// An edit's text, and how many entries it changes.
#[derive(Debug, Clone)]
struct EditText {
    text: Rc<str>,
    entries: usize,
}

/// The updates that an edit consists of, each with its topic, base version and version.
type UpdateIds = Vec<(Topic, Option<Version>, Version)>;

/// Distributes one planner's tables.
#[derive(Debug)]
pub struct Distributor {
    publisher: Publisher,
    members: BTreeMap<ProxyId, Member>,
    reconnect_queue: ReconnectQueue,
    /// Proxies that wait to be admitted, by name.
    waiting: BTreeMap<String, PendingProxy>,
    /// Proxies that may have something to receive.
    ready: BTreeSet<ProxyId>,
    /// Commands that came in force without an acknowledgement, since there was nothing to send.
    completed: Vec<(ProxyId, u64)>,
    /// Edits since the tables changed last, for proxies at the same position.
    shared_edits: BTreeMap<UpdateIds, EditText>,
    /// By table.
    removed_servers: BTreeMap<u16, RemovedServers>,
    /// Whether subsets are created: not until a proxy subscribes to them.
    publishes_subsets: bool,
    /// The longest time after which a request may end that was in flight when a table changed.
    grace_period: Duration,
    resync_count: u64,
}

impl Distributor {
    /// A distributor without tables. `epoch` rises with each start; a drain has to reach all proxies within
    /// `drain_grace_period`; `longest_deadline` is that of all classes.
    pub fn new(epoch: u64, drain_grace_period: Duration, longest_deadline: Duration) -> Distributor {
        Distributor {
            publisher: Publisher::new(epoch),
            members: BTreeMap::new(),
            reconnect_queue: ReconnectQueue::new(drain_grace_period),
            waiting: BTreeMap::new(),
            ready: BTreeSet::new(),
            completed: vec![],
            shared_edits: BTreeMap::new(),
            removed_servers: BTreeMap::new(),
            publishes_subsets: false,
            grace_period: longest_deadline + REPORT_TOLERANCE,
            resync_count: 0,
        }
    }

    /// Starts over with other settings. Connected proxies stay so, keep what they hold, and have none of this
    /// planner's tables until they are assigned to them again.
    pub fn restart(&mut self, epoch: u64, drain_grace_period: Duration, longest_deadline: Duration) {
        self.publisher.restart(epoch);
        self.reconnect_queue.set_grace_period(drain_grace_period);
        self.grace_period = longest_deadline + REPORT_TOLERANCE;
        self.shared_edits.clear();
        self.removed_servers.clear();
        self.ready.clear();
        self.completed.clear();
        for member in self.members.values_mut() {
            member.restart();
        }
    }

    /// The publisher, for its figures.
    pub fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    /// Resyncs of proxies that did not apply what they acknowledged.
    pub fn resync_count(&self) -> u64 {
        self.resync_count
    }

    /// Queues a proxy that connected. False: too many wait.
    pub fn enqueue(&mut self, now: Duration, pending: PendingProxy) -> bool {
        let is_queued = self.reconnect_queue.push(now, &pending.name, pending.oldest_held());
        if is_queued {
            self.waiting.insert(pending.name.clone(), pending);
        }
        is_queued
    }

    /// Connection of the proxy that waits under a name; another one of that name replaces it.
    pub fn waiting_connection(&self, name: &str) -> Option<usize> {
        self.waiting.get(name).map(|pending| pending.connection)
    }

    /// Takes the next proxy that is admitted by now.
    pub fn admit_next(&mut self, now: Duration) -> Option<PendingProxy> {
        let name = self.reconnect_queue.admit_next(now)?;
        self.waiting.remove(&name)
    }

    /// Proxies that wait to be admitted.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// When the next proxy is admitted.
    pub fn wakes_at(&self) -> Option<Duration> {
        self.reconnect_queue.wakes_at()
    }

    /// A connection ended; its proxy no longer waits, if it did.
    pub fn cancel_waiting(&mut self, name: &str, connection: usize) {
        if self.waiting_connection(name) == Some(connection) {
            self.waiting.remove(name);
            self.reconnect_queue.remove(name);
        }
    }

    /// Connects an admitted proxy; an earlier session of it is over.
    pub fn connect(&mut self, proxy: ProxyId, pending: PendingProxy) {
        let session = self.publisher.connect(&pending.name);
        let member = Member::new(proxy, pending, session);
        if member.table_kind() == TopicKind::Subset && !self.publishes_subsets {
            self.publishes_subsets = true;
            for table in self.publisher.table_numbers(TopicKind::Weights) {
                self.publish_subset(table);
            }
        }
        self.members.insert(proxy, member);
    }

    /// Disconnects a proxy.
    pub fn disconnect(&mut self, proxy: ProxyId) {
        self.ready.remove(&proxy);
        if let Some(member) = self.members.remove(&proxy) {
            self.publisher.disconnect(&member.name, member.session);
        }
    }

    /// Applies an edit to a table.
    pub fn update_table(&mut self, table: u16, edit: &TableEdit) {
        let topic = Topic { kind: TopicKind::Weights, table };
        let former = if edit.whole { self.servers(topic) } else { removed_by(edit) };
        let version = self.publish_edit(topic, edit);
        let current = if edit.whole { self.servers(topic) } else { BTreeSet::new() };
        let removed = former.into_iter().filter(|server| !current.contains(server));
        self.removed_servers.entry(table).or_default().extend(version, removed);
        self.shared_edits.clear();
        if self.publishes_subsets {
            self.publish_subset(table);
        }
    }

    fn publish_edit(&mut self, topic: Topic, edit: &TableEdit) -> Version {
        let changes = changes_of(edit);
        if !edit.whole {
            return self.publisher.apply(topic, changes);
        }
        let state = changes.into_iter().filter_map(|change| Some((change.key, change.value?)));
        self.publisher.replace(topic, state.collect())
    }

    fn servers(&self, topic: Topic) -> BTreeSet<String> {
        let server = |key: &Key| match key {
            Key::Entry(server) => Some(server.clone()),
            _ => None,
        };
        let state = self.publisher.table(topic).map(|(_, state)| state);
        state.into_iter().flat_map(|state| state.keys()).filter_map(server).collect()
    }

    fn publish_subset(&mut self, table: u16) {
        let weights = Topic { kind: TopicKind::Weights, table };
        if let Some((_, state)) = self.publisher.table(weights) {
            let subset = create_subset(state);
            self.publisher.replace(Topic { kind: TopicKind::Subset, table }, subset);
        }
    }

    /// Ejects servers, or ends their ejection.
    pub fn update_ejections(&mut self, servers: &BTreeMap<String, bool>) {
        let change = |(server, is_ejected): (&String, &bool)| Change {
            key: Key::Ejection(server.clone()),
            value: is_ejected.then(|| "".into()),
        };
        self.publisher.apply(EJECTIONS, servers.iter().map(change).collect());
        self.shared_edits.clear();
    }

    /// Issues a command to a proxy: its assignments, if the message has any, and all of its tables as they are now.
    /// `ack_token` is returned once that is in force.
    pub fn issue_command(&mut self, proxy: ProxyId, ack_token: u64, message: &Message) {
        if !message.binds.is_empty() {
            self.assign(proxy, message);
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let unacknowledged = |topic: Topic| {
            let version = self.publisher.unacknowledged_version(&member.name, topic)?;
            Some((topic, version))
        };
        let mut required: Vec<(Topic, Version)> =
            member.topics(proxy).into_iter().filter_map(unacknowledged).collect();
        if required.is_empty() && !member.assignments.is_empty() {
            // Nothing is to be changed, only acknowledged.
            let assignments = assignments_of(proxy);
            required.push((assignments, self.publisher.advance_unchanged(assignments)));
        }
        let needs_no_message = required.is_empty() && member.transport == Transport::Published;
        if needs_no_message && member.pending_commands.is_empty() {
            self.completed.push((proxy, ack_token));
            return;
        }
        member.pending_commands.push_back(PendingCommand { ack_token, required, empty_message: None });
        self.ready.insert(proxy);
    }

    fn assign(&mut self, proxy: ProxyId, message: &Message) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let topic = assignments_of(proxy);
        let former = member.assigned_tables();
        if message.whole {
            member.assignments.clear();
        }
        member.assignments.extend(message.binds.iter().map(|(class, table)| (class.clone(), *table)));
        let value =
            |(class, table): (&String, &u16)| (Key::Assignment(class.clone()), table.to_string().into());
        let version = self.publisher.replace(topic, member.assignments.iter().map(value).collect());
        for table in former.difference(&member.assigned_tables()) {
            leave_table(&mut self.publisher, member, *table, (topic, version));
        }
        for topic in member.topics(proxy) {
            subscribe(&mut self.publisher, member, topic);
        }
        // With its first assignments a proxy drops all tables that they do not name.
        member.held.clear();
    }

    /// Takes the proxies that may have something to receive.
    pub fn take_ready(&mut self) -> Vec<ProxyId> {
        std::mem::take(&mut self.ready).into_iter().collect()
    }

    /// Takes commands, by proxy and token, that came in force without an acknowledgement.
    pub fn take_completed(&mut self) -> Vec<(ProxyId, u64)> {
        std::mem::take(&mut self.completed)
    }

    /// The next message to a proxy; `None`: it has everything, or too many messages in flight.
    pub fn next_message(&mut self, now: Duration, proxy: ProxyId) -> Option<Outgoing> {
        let member = self.members.get(&proxy)?;
        if member.transport == Transport::Published {
            let (number, part) = self.publisher.next_part(now, &member.name)?;
            return Some(Outgoing::Part { number, part });
        }
        if let Some((number, updates)) = self.publisher.next_bundle(now, &member.name) {
            let EditText { text, entries } = self.edit_text(proxy, updates)?;
            return Some(Outgoing::Edit { number, text, entries });
        }
        self.next_empty_message(now, proxy)
    }

    /// A message that changes nothing, for commands to a proxy that is assigned to no table.
    fn next_empty_message(&mut self, now: Duration, proxy: ProxyId) -> Option<Outgoing> {
        let member = self.members.get_mut(&proxy)?;
        if !member.pending_commands.iter().any(PendingCommand::needs_empty_message) {
            return None;
        }
        let number = self.publisher.next_empty_message(now, &member.name)?;
        for command in member.pending_commands.iter_mut().filter(|command| command.needs_empty_message()) {
            command.empty_message = Some(number);
        }
        Some(Outgoing::Edit { number, text: Message::default().to_text().into(), entries: 0 })
    }

    /// Writes updates as one edit.
    fn edit_text(&mut self, proxy: ProxyId, updates: Vec<TableUpdate>) -> Option<EditText> {
        let member = self.members.get_mut(&proxy)?;
        let is_assignment = |update: &TableUpdate| update.topic.kind == TopicKind::Assignments;
        let assigns = updates.iter().any(|update| is_assignment(update) && update.changes().next().is_some());
        let can_share = !member.is_first_message && !assigns;
        let shared = updates.iter().filter(|update| !is_assignment(update));
        let ids: UpdateIds =
            shared.map(|update| (update.topic, update.base_version, update.version)).collect();
        if let Some(edit) = self.shared_edits.get(&ids).filter(|_| can_share) {
            return Some(edit.clone());
        }
        let mut message = Message { whole: member.is_first_message, ..Message::default() };
        member.is_first_message = false;
        for update in &updates {
            add_update(&mut message, update);
        }
        if assigns {
            let left = std::mem::take(&mut member.leaving);
            if !message.whole {
                let gone = || TableEdit { gone: true, ..TableEdit::default() };
                message.tables.extend(left.into_keys().map(|table| (table, gone())));
            }
        }
        let edit = EditText { text: message.to_text().into(), entries: message.lines() };
        if can_share {
            self.shared_edits.insert(ids, edit.clone());
        }
        Some(edit)
    }

    /// A proxy acknowledged a message, and all before it. Returns the token of the newest command that came in force
    /// by that, if one did.
    pub fn acknowledged(&mut self, now: Duration, proxy: ProxyId, number: u64) -> Option<u64> {
        let member = self.members.get(&proxy)?;
        let held = self.publisher.acknowledge(&member.name, member.session, number);
        self.ready.insert(proxy);
        self.versions_held(now, proxy, number, held)
    }

    /// A proxy could not use a message of a topic, which is sent again as a snapshot.
    pub fn rejected(&mut self, now: Duration, proxy: ProxyId, number: u64, topic: Topic) -> Rejection {
        let Some(member) = self.members.get_mut(&proxy) else {
            return Rejection { in_force: None, verdict: Verdict::Trusted };
        };
        let held = self.publisher.reject(&member.name, member.session, number, topic);
        let rejections = member.rejections.entry(topic).or_default();
        *rejections += 1;
        let verdict = if *rejections > REJECTION_LIMIT { Verdict::Disconnect } else { Verdict::Resync };
        self.ready.insert(proxy);
        Rejection { in_force: self.versions_held(now, proxy, number.saturating_sub(1), held), verdict }
    }

    /// A proxy holds these versions by its acknowledgement of message `number`.
    fn versions_held(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        number: u64,
        held: Vec<(Topic, Version)>,
    ) -> Option<u64> {
        let member = self.members.get_mut(&proxy)?;
        for (topic, version) in held {
            member.rejections.remove(&topic);
            if topic.kind == TopicKind::Weights {
                let removed = self.removed_servers.get(&topic.table);
                member.suspicion.acknowledged(now, topic.table, version, removed);
            }
            if topic.kind == TopicKind::Assignments && member.transport == Transport::Published {
                let kind = member.table_kind();
                for table in member.take_left_tables(version) {
                    self.publisher.unsubscribe(&member.name, Topic { kind, table });
                }
            }
        }
        member.complete_commands(&self.publisher, number)
    }

    /// Checks by a proxy's report over `window` whether it applies what it acknowledged. `attempted` are the servers
    /// that it sent requests to.
    pub fn check_report<'a>(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        window: Duration,
        attempted: impl Iterator<Item = &'a str>,
    ) -> Verdict {
        let Some(member) = self.members.get_mut(&proxy) else { return Verdict::Trusted };
        let topics = member.topics(proxy);
        let is_current =
            |topic: &Topic| self.publisher.unacknowledged_version(&member.name, *topic).is_none();
        if member.assignments.is_empty() || !member.leaving.is_empty() || !topics.iter().all(is_current) {
            return Verdict::Trusted;
        }
        let removed: Vec<&str> =
            attempted.filter(|server| member.suspicion.acknowledged_removal(server)).collect();
        let is_listed = |server: &str| {
            let key = Key::Entry(server.to_string());
            let mut tables = topics.iter().filter_map(|topic| self.publisher.table(*topic));
            tables.any(|(_, state)| state.contains_key(&key))
        };
        let unlisted = removed.into_iter().filter(|server| !is_listed(server));
        let verdict = member.suspicion.check_report(now, window, self.grace_period, unlisted);
        if verdict == Verdict::Resync {
            self.resync(proxy, &topics);
        }
        verdict
    }

    /// Sends a proxy its tables again, from snapshots.
    fn resync(&mut self, proxy: ProxyId, topics: &[Topic]) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        self.resync_count += 1;
        for topic in topics {
            self.publisher.resync(&member.name, *topic);
        }
        member.is_first_message = member.transport == Transport::Edits;
        self.ready.insert(proxy);
    }
}

/// Servers that an edit of some entries removes.
fn removed_by(edit: &TableEdit) -> BTreeSet<String> {
    let removed = edit.lines.iter().filter(|(_, (_, weight))| *weight <= 0.0);
    removed.map(|(server, _)| server.clone()).collect()
}

/// A proxy is no longer assigned to a table, by this version of its assignments.
///
/// With [`Transport::Edits`], one message both assigns and removes the table, and commands that wait for the table wait
/// for that. With [`Transport::Published`], drains in the table reach the proxy until it holds its new assignments.
fn leave_table(publisher: &mut Publisher, member: &mut Member, table: u16, assignments: (Topic, Version)) {
    if member.transport == Transport::Edits {
        let topic = Topic { kind: member.table_kind(), table };
        publisher.unsubscribe(&member.name, topic);
        member.replace_requirement(topic, assignments);
    }
    member.leaving.insert(table, assignments.1);
}

/// Subscribes a proxy to a topic, unless it is already.
fn subscribe(publisher: &mut Publisher, member: &mut Member, topic: Topic) {
    let is_table = topic.kind == member.table_kind();
    let was_leaving = is_table && member.leaving.remove(&topic.table).is_some();
    if was_leaving && member.transport == Transport::Published {
        // Assignments in flight may have dropped the table: it is sent again ahead of the new ones.
        publisher.resync(&member.name, topic);
    }
    if !publisher.is_subscribed(&member.name, topic) {
        let held = member.held.remove(&topic);
        publisher.subscribe(&member.name, topic, held);
    }
}
