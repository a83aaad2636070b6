//! Publication: tables, ejections, and commands with the assignments of single proxies.

use super::{Distributor, ProxyId};
use crate::edit_message::changes_of;
use crate::member::{assignments_of, Member, PendingCommand, EJECTIONS};
use crate::pending_proxy::Transport;
use crate::subset::create_subset;
use runloom_model::table_update::{TableEdit, UpdateMessage};
use runloom_versioned_publisher::{Change, Key, Publisher, Topic, TopicKind, Version};
use std::collections::{BTreeMap, BTreeSet};

impl Distributor {
    /// Applies an edit to a table.
    pub fn update_table(&mut self, table: u16, edit: &TableEdit) {
        let topic = Topic { kind: TopicKind::Weights, table };
        let former = if edit.replaces_table { self.servers(topic) } else { removed_by(edit) };
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
        let changes = changes_of(edit);
        if !edit.replaces_table {
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

    pub(super) fn publish_subset(&mut self, table: u16) {
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

    fn assign(&mut self, proxy: ProxyId, message: &UpdateMessage) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        let topic = assignments_of(proxy);
        let former = member.assigned_tables();
        if message.replaces_all {
            member.assignments.clear();
        }
        member.assignments.extend(message.assignments.iter().map(|(class, table)| (class.clone(), *table)));
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
}

/// Servers that an edit of some entries removes.
fn removed_by(edit: &TableEdit) -> BTreeSet<String> {
    let removed = edit.entries.iter().filter(|(_, entry)| entry.weight <= 0.0);
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
