//! Publication: sends changes to proxies, the most urgent first, as far as the update channel has room.

use crate::admission_control::ClassAdmission;
use crate::command::Command;
use crate::controller::Controller;
use crate::delayed_removals::DelayedRemovals;
use crate::endpoint::{slot, Endpoint, HealthState, TableEntry};
use crate::event::{ProxyId, ServerId};
use crate::queue_shortage::QueueShortage;
use crate::statistics::is_within;
use crate::subsetting::{subset_of, table_of, Subset};
use std::collections::BTreeSet;
use std::time::Duration;

/// Entries that may wait in the channel if the settings give no limit.
const DEFAULT_QUEUE_LIMIT: f64 = 500.0;
/// The share of the queue that stays free, since acknowledgements are delayed and a slow channel is noticed late.
/// As it is a half, it is also the share that updates may use.
const RESERVED_QUEUE_SHARE: f64 = 0.5;
/// The share of the queue, out of the reserve, that first tables may use: the time for which a proxy may be without a
/// table is limited (`ServiceLimits::max_unserved_seconds`).
const FIRST_TABLE_QUEUE_SHARE: f64 = 0.25;
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
/// Under an unreliable list, a proxy keeps the table of an earlier planner until there were this many ticks with
/// reports: by then the list has been compared with the reports.
const TICKS_UNTIL_LIST_IS_CHECKED: u32 = 2;

/// A removal that has been due for this long is reported to the operators.
const MAX_REMOVAL_DELAY: Duration = Duration::from_secs(2);
/// Time between two reports, as long as removals stay delayed.
const REMOVAL_DELAY_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What may be sent at this evaluation, and what messages cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpdateWindow {
    /// Whether everything that is due is sent: once per tick or, if messages are limited, at even intervals.
    pub is_regular: bool,
    /// Whether the message limit allows changes now. First tables are sent in any case.
    pub is_open: bool,
    /// Entries that only a proxy's first table may use.
    pub first_table_reserve: f64,
    /// Cost of a message beyond its entries (the configured overhead plus 1) if the queue can hold that for all
    /// proxies: it is reserved before an update is composed. Otherwise 0.
    pub message_cost: f64,
    /// The same cost if the queue cannot hold it for all proxies: it is charged for each recipient. Otherwise 0.
    pub cost_per_recipient: f64,
}

/// An endpoint whose entry is to change.
#[derive(Debug)]
struct EntryChange {
    urgency: f64,
    server: ServerId,
    entry: Option<TableEntry>,
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
        self.publish_changes(is_tick, commands);
        self.log_delayed_removals(commands);
    }

    /// Publishes what changed: removals first, then other entries, admission limits and table assignments.
    fn publish_changes(&mut self, is_tick: bool, commands: &mut Vec<Command>) {
        let connected = self.proxies.iter().filter(|proxy| proxy.is_connected).count() as f64;
        let queue_limit = self.config.channel.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT);
        let message_cost = self.config.channel.message_overhead + 1.0;
        let room = queue_limit * RESERVED_QUEUE_SHARE;
        let first_table_reserve = queue_limit * FIRST_TABLE_QUEUE_SHARE;
        // More than the queue holds cannot be reserved: nothing would ever be published.
        let is_reservable = message_cost * connected <= room + first_table_reserve;
        let reserved = if is_reservable { message_cost * connected } else { 0.0 };
        let available = room - self.channel.queued_entries() - reserved;
        self.channel.available_entries = available;
        if connected < 1.0 || available + first_table_reserve < 0.0 {
            return;
        }
        let mut window = self.update_window(is_tick, first_table_reserve);
        if is_reservable {
            window.message_cost = message_cost;
        } else {
            window.cost_per_recipient = message_cost;
        }
        self.log_queue_shortage(room, window.cost_per_recipient, commands);
        if window.is_regular || self.admission.isolated_classes != 0 {
            self.isolate_classes();
        }
        self.channel.recipients.clear();
        if window.is_open {
            self.publish_entries(&window, commands);
            if window.is_regular {
                self.publish_admissions((2.0 + window.cost_per_recipient) * connected, commands);
            }
        }
        let has_entries = !self.channel.recipients.is_empty();
        let has_reassigned = self.assign_tables(&window, commands);
        // Reassignments count as updates: classes that alternate between isolated and shared would otherwise exceed the
        // message limit.
        if has_entries || has_reassigned {
            self.channel.last_update = self.now;
        }
        self.request_ack(available, &window, commands);
    }

    /// The window of this evaluation. If messages are limited, everything that is due is sent at even intervals, and
    /// some messages of the limit stay unused.
    fn update_window(&self, is_tick: bool, first_table_reserve: f64) -> UpdateWindow {
        let channel = &self.config.channel;
        let window = channel.message_window.unwrap_or(DEFAULT_MESSAGE_WINDOW) + MESSAGE_WINDOW_MARGIN;
        let interval = window.div_f64((channel.message_limit - SPARE_MESSAGES).max(1.0));
        let is_open = !channel.limits_messages() || self.now >= self.channel.last_update + interval;
        let is_regular = if channel.limits_messages() { is_open } else { is_tick };
        UpdateWindow { is_regular, is_open, first_table_reserve, message_cost: 0.0, cost_per_recipient: 0.0 }
    }

    /// Reports to the operators, once per shortage, that a change to all proxies of a table needs more than the queue
    /// ever has room for.
    fn log_queue_shortage(&mut self, room: f64, cost_per_recipient: f64, commands: &mut Vec<Command>) {
        let proxies = self.subsets.iter().map(|subset| subset.proxy_count).fold(0.0, f64::max);
        let required_entries = proxies * (1.0 + cost_per_recipient);
        let is_short = cost_per_recipient > 0.0 && required_entries > room;
        if is_short && !self.channel.has_logged_shortage {
            let shortage = QueueShortage { proxies, required_entries, available_entries: room };
            commands.push(Command::LogQueueShortage(shortage));
        }
        self.channel.has_logged_shortage = is_short;
    }

    /// Reports to the operators that removals have been due for long, again and again as long as some are.
    fn log_delayed_removals(&mut self, commands: &mut Vec<Command>) {
        let (now, proxies) = (self.now, self.proxies.iter().filter(|proxy| proxy.is_connected).count());
        let message_cost = self.config.channel.message_overhead + 1.0;
        let mut delay = DelayedRemovals {
            endpoints: 0,
            waited: Duration::ZERO,
            required_entries: f64::INFINITY,
            available_entries: self.channel.available_entries,
            queued_entries: self.channel.queued_entries(),
            proxies,
        };
        for endpoint in &mut self.endpoints {
            let published = endpoint.published.filter(|_| proxies > 0 && !endpoint.is_in_service());
            endpoint.removal_due_at = published.map(|_| endpoint.removal_due_at.unwrap_or(now));
            let (Some(entry), Some(due_at)) = (published, endpoint.removal_due_at) else { continue };
            let cost = self.subsets[subset_of(entry.table)].proxy_count * (1.0 + message_cost);
            delay.endpoints += 1;
            delay.waited = delay.waited.max(now - due_at);
            delay.required_entries = delay.required_entries.min(cost);
        }
        if delay.waited < MAX_REMOVAL_DELAY {
            self.channel.delay_logged_at = None;
            return;
        }
        if self.channel.delay_logged_at.is_none_or(|at| now >= at + REMOVAL_DELAY_LOG_INTERVAL) {
            self.channel.delay_logged_at = Some(now);
            commands.push(Command::LogDelayedRemovals(delay));
        }
    }

    /// Records the messages of this update as in flight and requests their acknowledgement.
    fn request_ack(&mut self, available: f64, window: &UpdateWindow, commands: &mut Vec<Command>) {
        let recipients = std::mem::take(&mut self.channel.recipients);
        if recipients.is_empty() {
            return;
        }
        let used = available - self.channel.available_entries + window.message_cost * recipients.len() as f64;
        let ack_token = self.channel.send(used, recipients);
        commands.push(Command::RequestAck { ack_token, all_proxies: false });
    }

    /// Adds the proxies that hold tables of these subsets to the recipients of this update.
    fn add_recipients(&mut self, subsets: &BTreeSet<usize>) {
        for (id, proxy) in self.proxies.iter().enumerate() {
            let holds_changed_table = proxy.subset.is_some_and(|subset| subsets.contains(&subset));
            if proxy.is_connected && proxy.assigned.is_some() && holds_changed_table {
                self.channel.recipients.insert(id);
            }
        }
    }

    /// Publishes changed entries, the most urgent first, until the channel has no more room.
    fn publish_entries(&mut self, window: &UpdateWindow, commands: &mut Vec<Command>) {
        let mut changed_subsets = BTreeSet::new();
        for change in self.entry_changes(window.is_regular) {
            let published = self.endpoints[change.server].published;
            let removed = published.filter(|old| change.entry.is_none_or(|new| new.table != old.table));
            let removal = removed.map(|old| TableEntry { weight: 0.0, ..old });
            let entries = removal.into_iter().chain(change.entry);
            let subsets = entries.clone().map(|entry| subset_of(entry.table));
            let cost_per_proxy = |subset: &usize| {
                if changed_subsets.contains(subset) {
                    1.0
                } else {
                    1.0 + window.cost_per_recipient
                }
            };
            let cost = |subset: usize| self.subsets[subset].proxy_count * cost_per_proxy(&subset);
            let cost: f64 = subsets.clone().map(cost).sum();
            if cost > self.channel.available_entries {
                break;
            }
            self.channel.available_entries -= cost;
            self.endpoints[change.server].published = change.entry;
            changed_subsets.extend(subsets);
            let server = change.server;
            commands.extend(entries.map(|TableEntry { table, weight }| Command::SetEntry {
                table,
                server,
                weight,
            }));
        }
        self.add_recipients(&changed_subsets);
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

    /// Publishes changed admissions in all tables, at a cost of `cost` entries per class.
    fn publish_admissions(&mut self, cost: f64, commands: &mut Vec<Command>) {
        for (class, admission) in self.class_admissions().into_iter().enumerate() {
            let published = slot(&mut self.admission.published, class);
            if published.is_some_and(|old| is_same_admission(old, admission))
                || self.channel.available_entries < cost
            {
                continue;
            }
            *published = Some(admission);
            let ClassAdmission { admission_rate, retry_policy } = admission;
            let tables = (0..self.subsets.len()).flat_map(|s| [table_of(s, false), table_of(s, true)]);
            commands.extend(tables.map(|table| Command::SetAdmission {
                table,
                class,
                admission_rate,
                retry_policy,
            }));
            self.channel.available_entries -= cost;
            self.add_recipients(&(0..self.subsets.len()).collect());
        }
    }

    /// Assigns tables to proxies that have none yet and, if the window is open, to those whose isolated classes
    /// changed. Returns whether any proxy was reassigned.
    pub(crate) fn assign_tables(&mut self, window: &UpdateWindow, commands: &mut Vec<Command>) -> bool {
        let mut has_reassigned = false;
        let list_is_unreliable = self.list_is_unreliable();
        for id in 0..self.proxies.len() {
            let proxy = &self.proxies[id];
            let Some(subset) = proxy.subset.filter(|_| proxy.is_connected) else { continue };
            let is_assigned = proxy.assigned.is_some();
            let is_recipient = self.channel.recipients.contains(&id);
            let message_cost = if is_recipient { 0.0 } else { window.cost_per_recipient };
            let cost = self.assignment_cost(subset) + message_cost;
            let reserve = if is_assigned { 0.0 } else { window.first_table_reserve };
            let has_room = cost <= self.channel.available_entries + reserve;
            let is_up_to_date = proxy.assigned == Some(self.subsets[subset].isolated_classes);
            let must_wait = is_assigned && !window.is_open;
            let has_no_weight = self.subsets[subset].weight <= 0.0;
            let keeps_table = list_is_unreliable && self.keeps_previous_table(id);
            if is_up_to_date || must_wait || !has_room || has_no_weight || keeps_table {
                continue;
            }
            has_reassigned |= is_assigned;
            self.assign_table(id, subset, commands);
            self.channel.available_entries -= cost;
        }
        has_reassigned
    }

    /// The exact number of entries that an assignment needs. With an estimate above it, proxies that all connect at
    /// once would wait for their tables longer than the drain grace period.
    fn assignment_cost(&self, subset: usize) -> f64 {
        let Subset { endpoint_count, isolated_classes, .. } = &self.subsets[subset];
        let tables = if *isolated_classes != 0 { 2.0 } else { 1.0 };
        tables * (1 + endpoint_count + self.admission.published.len()) as f64
    }

    /// Whether the list may lack endpoints that are in service: endpoints that are missing from it may stay in use,
    /// and it lists none as draining.
    fn list_is_unreliable(&self) -> bool {
        let lists_draining = self.endpoints.iter().any(|endpoint| endpoint.health == HealthState::Draining);
        !lists_draining && self.config.endpoint_list.only_draining_binds
    }

    /// Whether a proxy without an assigned table, under an unreliable list, keeps its table from an earlier planner:
    /// while the list is stale, and until there are enough reports to know whether it is.
    fn keeps_previous_table(&self, proxy: ProxyId) -> bool {
        let proxy = &self.proxies[proxy];
        let is_early =
            proxy.has_previous_table && self.admission.ticks_with_reports < TICKS_UNTIL_LIST_IS_CHECKED;
        proxy.assigned.is_none() && (is_early || self.admission.list_is_stale)
    }

    /// Assigns the tables of a subset to a proxy, and makes it a recipient of this update.
    fn assign_table(&mut self, proxy: ProxyId, subset: usize, commands: &mut Vec<Command>) {
        let isolated_classes = self.subsets[subset].isolated_classes;
        commands.push(Command::AssignTable { proxy, table: table_of(subset, false), class_mask: 0 });
        if isolated_classes != 0 {
            let table = table_of(subset, true);
            commands.push(Command::AssignTable { proxy, table, class_mask: isolated_classes });
        }
        self.proxies[proxy].assigned = Some(isolated_classes);
        self.channel.recipients.insert(proxy);
    }
}

fn is_same_admission(old: ClassAdmission, new: ClassAdmission) -> bool {
    is_within(old.admission_rate, new.admission_rate, MIN_ADMISSION_CHANGE)
        && old.retry_policy == new.retry_policy
}
