//! Delivery: the next message to a proxy, and what follows its answer.

use super::{Distributor, EditText, OutgoingMessage, ProxyId, RejectionOutcome, UpdateIds, REJECTION_LIMIT};
use crate::edit_message::add_update;
use crate::member::PendingCommand;
use crate::pending_proxy::Transport;
use crate::suspicion::Verdict;
use runloom_model::table_update::{TableEdit, UpdateMessage};
use runloom_versioned_publisher::{TableUpdate, Topic, TopicKind, Version};
use std::time::Duration;

impl Distributor {
    /// The next message to a proxy; `None`: it has everything, or too many messages in flight.
    pub fn next_message(&mut self, now: Duration, proxy: ProxyId) -> Option<OutgoingMessage> {
        let member = self.members.get(&proxy)?;
        if member.transport == Transport::Published {
            let (number, part) = self.publisher.next_part(now, &member.name)?;
            return Some(OutgoingMessage::Part { number, part });
        }
        if let Some((number, updates)) = self.publisher.next_bundle(now, &member.name) {
            let EditText { text, entries } = self.edit_text(proxy, updates)?;
            return Some(OutgoingMessage::Edit { number, text, entries });
        }
        self.next_empty_message(now, proxy)
    }

    /// A message that changes nothing, for commands to a proxy that is assigned to no table.
    fn next_empty_message(&mut self, now: Duration, proxy: ProxyId) -> Option<OutgoingMessage> {
        let member = self.members.get_mut(&proxy)?;
        if !member.pending_commands.iter().any(PendingCommand::needs_empty_message) {
            return None;
        }
        let number = self.publisher.next_empty_message(now, &member.name)?;
        for command in member.pending_commands.iter_mut().filter(|command| command.needs_empty_message()) {
            command.empty_message = Some(number);
        }
        Some(OutgoingMessage::Edit { number, text: UpdateMessage::default().to_xml().into(), entries: 0 })
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
        let mut message = UpdateMessage { replaces_all: member.is_first_message, ..UpdateMessage::default() };
        member.is_first_message = false;
        for update in &updates {
            add_update(&mut message, update);
        }
        if assigns {
            let left = std::mem::take(&mut member.leaving);
            if !message.replaces_all {
                let gone = || TableEdit { is_removed: true, ..TableEdit::default() };
                message.tables.extend(left.into_keys().map(|table| (table, gone())));
            }
        }
        let edit = EditText { text: message.to_xml().into(), entries: message.entry_count() };
        if can_share {
            self.shared_edits.insert(ids, edit.clone());
        }
        Some(edit)
    }

    /// A proxy acknowledged a message, and all before it. Returns the token of the newest command that came in force
    /// by that, if one did.
    pub fn acknowledge(&mut self, now: Duration, proxy: ProxyId, number: u64) -> Option<u64> {
        let member = self.members.get(&proxy)?;
        let held = self.publisher.acknowledge(&member.name, member.session, number);
        self.ready.insert(proxy);
        self.versions_held(now, proxy, number, held)
    }

    /// A proxy could not use a message of a topic, which is sent again as a snapshot.
    pub fn reject(&mut self, now: Duration, proxy: ProxyId, number: u64, topic: Topic) -> RejectionOutcome {
        let Some(member) = self.members.get_mut(&proxy) else {
            return RejectionOutcome { newest_in_force: None, verdict: Verdict::Trusted };
        };
        let held = self.publisher.reject(&member.name, member.session, number, topic);
        let rejections = member.rejections.entry(topic).or_default();
        *rejections += 1;
        let verdict = if *rejections > REJECTION_LIMIT { Verdict::Disconnect } else { Verdict::Resync };
        self.ready.insert(proxy);
        RejectionOutcome {
            newest_in_force: self.versions_held(now, proxy, number.saturating_sub(1), held),
            verdict,
        }
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
}
