//! Publication of tables and ejections, and commands to single proxies with their assignments.

use super::{Distributor, ProxyId};
use crate::edit_message::edit_changes;
use crate::member::{assignment_topic, Member, PendingCommand, EJECTION_TOPIC};
use crate::pending_proxy::Transport;
use crate::subset::create_subset;
use runloom_model::table_update::{TableEdit, UpdateMessage};
use runloom_versioned_publisher::{Change, Key, Publisher, Topic, TopicKind, Version};
use std::collections::{BTreeMap, BTreeSet};

impl Distributor {
    /// Applies an edit to a table, and records the servers that it removes.
    pub fn update_table(&mut self, table: u16, edit: &TableEdit) {
        let topic = Topic { kind: TopicKind::Weights, table };
        let former = if edit.replaces_table { self.servers(topic) } else { removed_servers(edit) };
        let version = self.publish_edit(topic, edit);
        let current = if edit.replaces_table { self.servers(topic) } else { BTreeSet::new() };
        let removed = former.into_iter().filter(|server| !current.contains(server));
        self.removed_servers.entry(table).or_default().extend(version, removed);
        self.shared_edits.clear();
        if self.publishes_subsets {
            self.publish_subset(table);
        }
    }

    fn publish_edit(&mut self, topic: Topic, edit: &TableEdit) -> Version {
        let changes = edit_changes(edit);
        if !edit.replaces_table {
            return self.publisher.apply(topic, changes);
        }
        let state = changes.into_iter().filter_map(|change| Some((change.key, change.value?)));
        self.publisher.replace(topic, state.collect())
    }

    /// The servers that a published table has entries for.
    fn servers(&self, topic: Topic) -> BTreeSet<String> {
        let server = |key: &Key| match key {
            Key::Entry(server) => Some(server.clone()),
            _ => None,
        };
        let state = self.publisher.table(topic).map(|(_, state)| state);
        state.into_iter().flat_map(|state| state.keys()).filter_map(server).collect()
    }

    /// Publishes the subset of a table, if the table was published.
    pub(super) fn publish_subset(&mut self, table: u16) {
        let weights = Topic { kind: TopicKind::Weights, table };
        if let Some((_, state)) = self.publisher.table(weights) {
            let subset = create_subset(state);
            self.publisher.replace(Topic { kind: TopicKind::Subset, table }, subset);
        }
    }

    /// Ejects servers (true) or readmits them (false), by server name.
    pub fn update_ejections(&mut self, servers: &BTreeMap<String, bool>) {
        let change = |(server, is_ejected): (&String, &bool)| Change {
            key: Key::Ejection(server.clone()),
            value: is_ejected.then(|| "".into()),
        };
        self.publisher.apply(EJECTION_TOPIC, servers.iter().map(change).collect());
        self.shared_edits.clear();
    }

    /// Issues a command to a proxy: the assignments in `message`, if it has any, and the present state of all tables
    /// that the proxy is assigned to. Once the command is in force, [`Distributor::acknowledge`],
    /// [`Distributor::reject`] or [`Distributor::take_completed`] returns `ack_token`, or that of a newer command.
    pub fn issue_command(&mut self, proxy: ProxyId, ack_token: u64, message: &UpdateMessage) {
        if !message.assignments.is_empty() {
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
            // The proxy holds everything: a version without changes is sent to it, only to be acknowledged.
            let assignments = assignment_topic(proxy);
            required.push((assignments, self.publisher.advance_unchanged(assignments)));
        }
        let needs_no_message = required.is_empty() && member.transport == Transport::Published;
        if needs_no_message && member.pending_commands.is_empty() {
            self.completed_commands.push((proxy, ack_token));
            return;
        }
        member.pending_commands.push_back(PendingCommand { ack_token, required, empty_message: None });
        self.ready_proxies.insert(proxy);
    }

    /// Assigns the classes in `message` to tables, and adjusts the proxy's subscriptions.
    fn assign(&mut self, proxy: ProxyId, message: &UpdateMessage) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let topic = assignment_topic(proxy);
        let former = member.assigned_tables();
        if message.replaces_all {
            member.assignments.clear();
        }
        member.assignments.extend(message.assignments.iter().map(|(class, table)| (class.clone(), *table)));
        let value =
            |(class, table): (&String, &u16)| (Key::Assignment(class.clone()), table.to_string().into());
        let version = self.publisher.replace(topic, member.assignments.iter().map(value).collect());
        for table in former.difference(&member.assigned_tables()) {
            unassign_table(&mut self.publisher, member, *table, (topic, version));
        }
        for topic in member.topics(proxy) {
            subscribe(&mut self.publisher, member, topic);
        }
        // A proxy's first assignments make it drop all tables that they do not name, so later subscriptions cannot
        // resume from versions that it reported when it connected.
        member.held_versions.clear();
    }
}

/// The servers that an edit of single entries removes.
fn removed_servers(edit: &TableEdit) -> BTreeSet<String> {
    let removed = edit.entries.iter().filter(|(_, entry)| entry.weight <= 0.0);
    removed.map(|(server, _)| server.clone()).collect()
}

/// Ends a proxy's assignment to a table, as of this topic and version of its assignments.
///
/// With [`Transport::Edits`], one message changes the assignments and removes the table, and commands that require the
/// table require that message instead. With [`Transport::Published`], the proxy stays subscribed to the table until it
/// holds its new assignments, so that drains reach it meanwhile.
fn unassign_table(publisher: &mut Publisher, member: &mut Member, table: u16, assignments: (Topic, Version)) {
    if member.transport == Transport::Edits {
        let topic = Topic { kind: member.table_kind(), table };
        publisher.unsubscribe(&member.name, topic);
        member.replace_requirement(topic, assignments);
    }
    member.unassigned_tables.insert(table, assignments.1);
}

/// Subscribes a proxy to a topic, unless it is already subscribed.
fn subscribe(publisher: &mut Publisher, member: &mut Member, topic: Topic) {
    let is_table = topic.kind == member.table_kind();
    let was_unassigned = is_table && member.unassigned_tables.remove(&topic.table).is_some();
    if was_unassigned && member.transport == Transport::Published {
        // Assignments in flight may make the proxy drop the table, so it is sent again before the new assignments.
        publisher.resync(&member.name, topic);
    }
    if !publisher.is_subscribed(&member.name, topic) {
        let held = member.held_versions.remove(&topic);
        publisher.subscribe(&member.name, topic, held);
    }
}
