//! Delivery: the next message to a proxy, and the handling of acknowledgements and rejections.

use super::{Distributor, EditText, OutgoingMessage, ProxyId, RejectionOutcome, UpdateIds, REJECTION_LIMIT};
use crate::edit_message::add_update;
use crate::member::PendingCommand;
use crate::pending_proxy::Transport;
use crate::suspicion::Verdict;
use runloom_model::table_update::{TableEdit, UpdateMessage};
use runloom_versioned_publisher::{TableUpdate, Topic, TopicKind, Version};
use std::time::Duration;

impl Distributor {
    /// The next message to a proxy; `None` if the proxy is up to date or has too many messages in flight.
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

    /// A message without changes, only to be acknowledged: it completes commands to a proxy that is assigned to no
    /// table.
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

    /// Writes updates as one edit, or returns the shared edit of the same updates.
    fn edit_text(&mut self, proxy: ProxyId, updates: Vec<TableUpdate>) -> Option<EditText> {
        let member = self.members.get_mut(&proxy)?;
        let is_assignment = |update: &TableUpdate| update.topic.kind == TopicKind::Assignments;
        let assigns = updates.iter().any(|update| is_assignment(update) && update.changes().next().is_some());
        let can_share = !member.replaces_all && !assigns;
        let shared = updates.iter().filter(|update| !is_assignment(update));
        let ids: UpdateIds =
            shared.map(|update| (update.topic, update.base_version, update.version)).collect();
        if let Some(edit) = self.shared_edits.get(&ids).filter(|_| can_share) {
            return Some(edit.clone());
        }
        let mut message = UpdateMessage { replaces_all: member.replaces_all, ..UpdateMessage::default() };
        member.replaces_all = false;
        for update in &updates {
            add_update(&mut message, update);
        }
        if assigns {
            let dropped_tables = std::mem::take(&mut member.unassigned_tables);
            if !message.replaces_all {
                let removal = || TableEdit { is_removed: true, ..TableEdit::default() };
                message.tables.extend(dropped_tables.into_keys().map(|table| (table, removal())));
            }
        }
        let edit = EditText { text: message.to_xml().into(), entries: message.entry_count() };
        if can_share {
            self.shared_edits.insert(ids, edit.clone());
        }
        Some(edit)
    }

    /// Handles a proxy's acknowledgement of message `number`, which covers all before it. Returns the token of the
    /// newest command that came into force with it; `None` if none did.
    pub fn acknowledge(&mut self, now: Duration, proxy: ProxyId, number: u64) -> Option<u64> {
        let member = self.members.get(&proxy)?;
        let held = self.publisher.acknowledge(&member.name, member.session, number);
        self.ready_proxies.insert(proxy);
        self.handle_held_versions(now, proxy, number, held)
    }

    /// Handles a proxy's rejection of message `number`, which acknowledges all before it. The next update of `topic` is
    /// a snapshot; after too many consecutive rejections the verdict is [`Verdict::Disconnect`].
    pub fn reject(&mut self, now: Duration, proxy: ProxyId, number: u64, topic: Topic) -> RejectionOutcome {
        let Some(member) = self.members.get_mut(&proxy) else {
            return RejectionOutcome { newest_in_force: None, verdict: Verdict::Trusted };
        };
        let held = self.publisher.reject(&member.name, member.session, number, topic);
        let rejections = member.rejections.entry(topic).or_default();
        *rejections += 1;
        let verdict = if *rejections > REJECTION_LIMIT { Verdict::Disconnect } else { Verdict::Resync };
        self.ready_proxies.insert(proxy);
        RejectionOutcome {
            newest_in_force: self.handle_held_versions(now, proxy, number.saturating_sub(1), held),
            verdict,
        }
    }

    /// Handles the versions that a proxy holds since it acknowledged message `number`. Returns the token of the newest
    /// command that came into force.
    fn handle_held_versions(
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
                member.report_checker.record_acknowledged_version(now, topic.table, version, removed);
            }
            if topic.kind == TopicKind::Assignments && member.transport == Transport::Published {
                let kind = member.table_kind();
                for table in member.take_dropped_tables(version) {
                    self.publisher.unsubscribe(&member.name, Topic { kind, table });
                }
            }
        }
        member.complete_commands(&self.publisher, number)
    }
}
