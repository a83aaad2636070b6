//! Publication: sends changes to proxies, the most urgent first, as far as the update channel has room.

use crate::admission_control::ClassAdmission;
use crate::command::Command;
use crate::controller::Controller;
use crate::endpoint::{slot, Endpoint, TableEntry};
use crate::event::{ClassId, ServerId};
use crate::statistics::is_within;
use crate::subsetting::{subset_of, table_of};
use crate::update_draft::{Priority, UpdateDraft};
use std::collections::BTreeSet;
use std::time::Duration;

/// Entries that may wait in the channel if the settings give no limit.
const DEFAULT_QUEUE_LIMIT: f64 = 500.0;
/// The window of the message limit if the settings give none, and the margin that is added to it.
const DEFAULT_MESSAGE_WINDOW: Duration = Duration::from_secs(10);
const MESSAGE_WINDOW_MARGIN: Duration = Duration::from_millis(100);
/// Messages of the limit that regular updates leave unused.
const SPARE_MESSAGES: f64 = 2.0;

/// A weight change below this, as a logarithm, is within the noise of reports and is not published.
const MIN_WEIGHT_CHANGE: f64 = 0.12;
/// Between regular updates only weight changes above this, as a logarithm (about a factor of 2), are published.
const MIN_URGENT_WEIGHT_CHANGE: f64 = 0.69;
/// The urgency of an entry that is new or moves to another table.
const NEW_ENTRY_URGENCY: f64 = 9.0;
/// The urgency of a removal.
const REMOVAL_URGENCY: f64 = f64::MAX;
/// An admission rate that changes by less than this share is not published.
const MIN_ADMISSION_CHANGE: f64 = 0.07;
/// What may be sent at this evaluation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpdateWindow {
    /// Whether everything that is due is sent: once per tick or, if messages are limited, at even intervals.
    pub is_regular: bool,
    /// Whether the message limit allows changes now. First tables are sent in any case.
    pub is_open: bool,
    /// Since when the oldest removal is due that the channel has no room for; `None` if it has room for all.
    pub removals_wait_since: Option<Duration>,
}

/// An endpoint whose entry is to change.
#[derive(Debug)]
struct EntryChange {
    urgency: f64,
    server: ServerId,
    entry: Option<TableEntry>,
}

impl EntryChange {
    fn is_new_entry(&self) -> bool {
        self.urgency == NEW_ENTRY_URGENCY
    }

    fn is_removal(&self) -> bool {
        self.entry.is_none()
    }
}

/// How urgent the change from one entry to another is; 0 for none.
fn urgency(published: Option<TableEntry>, wanted: Option<TableEntry>) -> f64 {
    match (published, wanted) {
        (None, None) => 0.0,
        (Some(_), None) => REMOVAL_URGENCY,
        (Some(old), Some(new)) if old.table == new.table => (new.weight / old.weight).ln().abs(),
        _ => NEW_ENTRY_URGENCY,
    }
}

impl Endpoint {
    /// The entry that the endpoint should have with this weight; `None` without a weight or a subset.
    fn entry(&self, weight: f64) -> Option<TableEntry> {
        let subset = self.subset.filter(|_| weight > 0.0)?;
        Some(TableEntry { table: table_of(subset, self.is_isolated), weight })
    }
}

impl Controller {
    /// Publishes what changed, and reports removals that still wait after a long time.
    pub(crate) fn publish(&mut self, is_tick: bool, commands: &mut Vec<Command>) {
        let room = self.publish_changes(is_tick, commands);
        self.log_delayed_removals(room, commands);
    }

    /// Publishes what changed: removals first, then other entries, admission limits and table assignments. Returns the
    /// room that is left for changes.
    fn publish_changes(&mut self, is_tick: bool, commands: &mut Vec<Command>) -> f64 {
        let mut draft = self.new_draft();
        if !self.proxies.iter().any(|proxy| proxy.is_connected) {
            return draft.room(Priority::Regular);
        }
        let mut window = self.update_window(is_tick);
        self.log_queue_shortage(&draft, commands);
        if window.is_regular || self.admission.isolated_classes != 0 {
            self.isolate_classes();
        }
        if window.is_open {
            let (removals, changes) = self
                .entry_changes(window.is_regular)
                .into_iter()
                .partition::<Vec<_>, _>(EntryChange::is_removal);
            if self.publish_removals(&removals, &mut draft, commands) {
                self.publish_other_changes(changes, &window, &mut draft, commands);
            } else {
                // Only first tables go out beside a removal that waits.
                let due_at = self.endpoints.iter().filter_map(|endpoint| endpoint.removal_due_at).min();
                let removals_wait_since = due_at.or(Some(self.now));
                window = UpdateWindow { is_regular: false, is_open: false, removals_wait_since };
            }
        }
        let has_reassigned = self.assign_tables(&window, &mut draft, commands);
        // Reassignments count as updates: classes that alternate between isolated and shared would otherwise exceed the
        // message limit.
        if draft.has_changes() || has_reassigned {
            self.channel.last_update = self.now;
        }
        let room = draft.room(Priority::Regular);
        self.request_ack(draft, commands);
        room
    }

    /// An empty update.
    pub(crate) fn new_draft(&self) -> UpdateDraft {
        let channel = &self.config.channel;
        UpdateDraft::new(
            channel.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT),
            channel.message_overhead + 1.0,
            self.channel.queued_entries(),
            self.subsets.len(),
            &self.proxies,
        )
    }

    /// The window of this evaluation. If messages are limited, everything that is due is sent at even intervals, and
    /// some messages of the limit stay unused.
    fn update_window(&self, is_tick: bool) -> UpdateWindow {
        let channel = &self.config.channel;
        let window = channel.message_window.unwrap_or(DEFAULT_MESSAGE_WINDOW) + MESSAGE_WINDOW_MARGIN;
        let interval = window.div_f64((channel.message_limit - SPARE_MESSAGES).max(1.0));
        let is_open = !channel.limits_messages() || self.now >= self.channel.last_update + interval;
        let is_regular = if channel.limits_messages() { is_open } else { is_tick };
        UpdateWindow { is_regular, is_open, removals_wait_since: None }
    }

    /// Records the messages of this update as in flight and requests their acknowledgement.
    fn request_ack(&mut self, draft: UpdateDraft, commands: &mut Vec<Command>) {
        let messages = draft.into_messages();
        if messages.is_empty() {
            return;
        }
        let ack_token = self.channel.send(messages);
        commands.push(Command::RequestAck { ack_token, all_proxies: false });
    }

    /// Publishes removals as far as the channel has room. Returns whether it had room for all of them; if not, other
    /// changes would take the room that a removal waits for.
    fn publish_removals(
        &mut self,
        removals: &[EntryChange],
        draft: &mut UpdateDraft,
        commands: &mut Vec<Command>,
    ) -> bool {
        let mut has_room_for_all = true;
        for removal in removals {
            let has_room = self.change_cost(removal, draft) <= draft.room(Priority::Urgent);
            // Beside a removal that waits, others go out with messages that are sent anyway.
            if has_room && (has_room_for_all || self.needs_no_message(removal, draft)) {
                self.publish_entry(removal, draft, commands);
            } else {
                has_room_for_all = false;
            }
        }
        has_room_for_all
    }

    /// Publishes new entries, then admissions if they are due, then weights. The commands for admissions follow those for
    /// entries.
    fn publish_other_changes(
        &mut self,
        changes: Vec<EntryChange>,
        window: &UpdateWindow,
        draft: &mut UpdateDraft,
        commands: &mut Vec<Command>,
    ) {
        let (new_entries, weights): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(EntryChange::is_new_entry);
        self.publish_entries(&new_entries, draft, commands);
        let admissions = if window.is_regular { self.publish_admissions(draft) } else { Vec::new() };
        self.publish_entries(&weights, draft, commands);
        commands.extend(admissions);
    }

    /// Publishes changes other than removals, the most urgent first, until the channel has no more room.
    fn publish_entries(
        &mut self,
        changes: &[EntryChange],
        draft: &mut UpdateDraft,
        commands: &mut Vec<Command>,
    ) {
        for change in changes {
            if self.change_cost(change, draft) > draft.room(Priority::Regular) {
                return;
            }
            self.publish_entry(change, draft, commands);
        }
    }

    /// The entries to send for a change: the removal from the table that the endpoint leaves, and its new entry.
    fn changed_entries(&self, change: &EntryChange) -> impl Iterator<Item = TableEntry> + Clone {
        let published = self.endpoints[change.server].published;
        let left = published.filter(|old| change.entry.is_none_or(|new| new.table != old.table));
        let removal = left.map(|old| TableEntry { weight: 0.0, ..old });
        removal.into_iter().chain(change.entry)
    }

    fn change_cost(&self, change: &EntryChange, draft: &UpdateDraft) -> f64 {
        let subsets = self.changed_entries(change).map(|entry| subset_of(entry.table));
        subsets.map(|subset| draft.change_cost(subset, 1.0)).sum()
    }

    /// Whether all proxies that the change concerns get a message in any case.
    fn needs_no_message(&self, change: &EntryChange, draft: &UpdateDraft) -> bool {
        self.changed_entries(change).all(|entry| draft.is_changed(subset_of(entry.table)))
    }

    fn publish_entry(&mut self, change: &EntryChange, draft: &mut UpdateDraft, commands: &mut Vec<Command>) {
        let server = change.server;
        for TableEntry { table, weight } in self.changed_entries(change) {
            draft.add_change(subset_of(table), 1.0);
            commands.push(Command::SetEntry { table, server, weight });
        }
        self.endpoints[server].published = change.entry;
    }

    /// The entries that differ enough from the published ones, the most urgent first.
    fn entry_changes(&self, is_regular: bool) -> Vec<EntryChange> {
        let threshold = if is_regular { MIN_WEIGHT_CHANGE } else { MIN_URGENT_WEIGHT_CHANGE };
        let mut changes = Vec::new();
        for (server, endpoint) in self.endpoints.iter().enumerate() {
            let entry = endpoint.entry(self.weight(server));
            let urgency = urgency(endpoint.published, entry);
            if urgency > threshold {
                changes.push(EntryChange { urgency, server, entry });
            }
        }
        changes.sort_by(|a, b| b.urgency.total_cmp(&a.urgency).then(a.server.cmp(&b.server)));
        changes
    }

    /// Publishes changed admissions, subset by subset, as far as the channel has room, and returns the commands. The next
    /// regular update begins with the subset that had to wait.
    fn publish_admissions(&mut self, draft: &mut UpdateDraft) -> Vec<Command> {
        let admissions = self.class_admissions();
        let (count, first) = (self.subsets.len(), self.channel.next_admission_subset);
        let mut published = BTreeSet::new();
        for subset in (first..first + count).map(|subset| subset % count) {
            let tables = if self.isolated_table_is_in_use(subset) { 2.0 } else { 1.0 };
            for (class, admission) in admissions.iter().enumerate() {
                let old = slot(&mut self.subsets[subset].published_admissions, class);
                if old.is_some_and(|old| is_same_admission(old, *admission)) {
                    continue;
                }
                if draft.change_cost(subset, tables) > draft.room(Priority::Regular) {
                    self.channel.next_admission_subset = subset;
                    return admission_commands(&published, &admissions);
                }
                *old = Some(*admission);
                draft.add_change(subset, tables);
                published.insert((class, subset));
            }
        }
        admission_commands(&published, &admissions)
    }
}

/// The commands for these pairs of a class and a subset.
fn admission_commands(published: &BTreeSet<(ClassId, usize)>, admissions: &[ClassAdmission]) -> Vec<Command> {
    let tables = |(class, subset): &(ClassId, usize)| {
        [false, true].map(|isolated| (*class, table_of(*subset, isolated)))
    };
    let command = |(class, table)| {
        let ClassAdmission { admission_rate, retry_policy } = admissions[class];
        Command::SetAdmission { table, class, admission_rate, retry_policy }
    };
    published.iter().flat_map(tables).map(command).collect()
}

fn is_same_admission(old: ClassAdmission, new: ClassAdmission) -> bool {
    is_within(old.admission_rate, new.admission_rate, MIN_ADMISSION_CHANGE)
        && old.retry_policy == new.retry_policy
}
