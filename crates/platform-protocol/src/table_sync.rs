//! Published tables, their assignment to proxies, and the updates that commands result in.
//!
//! Each step results in at most one update for a proxy. Updates of different steps are neither merged nor delayed here.

use crate::update_message::{push_admission, AdmissionSettings, UpdateEncoder, UpdatePart};
use crate::NameRegistry;
use runloom_controller::{ClassId, Command, ProxyId, ServerId, TableId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of pending acknowledgements kept for a stream. A planner sends a few updates per second, and each is
/// acknowledged within a second or two, so the oldest ones beyond this number will not be acknowledged any more.
const MAX_PENDING_ACKS: usize = 256;

/// The updates of one step: for each affected proxy its parts, in the order of the commands.
pub type ProxyUpdates = BTreeMap<ProxyId, Vec<UpdatePart>>;

/// A published table.
#[derive(Debug, Clone, Default)]
struct Table {
    weights: BTreeMap<ServerId, f64>,
    admission: BTreeMap<ClassId, AdmissionSettings>,
}

/// A sent update that is not yet acknowledged.
#[derive(Debug)]
struct PendingAck {
    token: u16,
    sent_at: Duration,
}

/// The state of one proxy's stream.
#[derive(Debug, Default)]
struct Stream {
    /// The table that each class is assigned to; `None` before its first assignment.
    assigned_tables: Vec<Option<TableId>>,
    /// The updates that are not yet acknowledged, oldest first.
    pending_acks: VecDeque<PendingAck>,
    /// When a message was last received, or the stream connected.
    last_received: Duration,
    /// When the stream connected; `None` after its first acknowledgement.
    awaiting_table_since: Option<Duration>,
}

impl Stream {
    /// The classes that are assigned to a table, one bit each.
    fn classes_assigned_to(&self, table: TableId) -> u64 {
        let assigned = self.assigned_tables.iter().enumerate().filter(|(_, t)| **t == Some(table));
        assigned.fold(0, |class_mask, (class, _)| class_mask | 1 << class)
    }

    /// Whether an acknowledgement is overdue and nothing was received for as long.
    ///
    /// The absence of messages alone is not enough: a proxy without requests has nothing to report.
    fn is_unresponsive(&self, read_until: Duration, timeout: Duration) -> bool {
        self.pending_acks.front().is_some_and(|pending| read_until >= pending.sent_at + timeout)
            && read_until >= self.last_received + timeout
    }

    fn push_pending_ack(&mut self, token: u16, sent_at: Duration) {
        self.pending_acks.push_back(PendingAck { token, sent_at });
        if self.pending_acks.len() > MAX_PENDING_ACKS {
            self.pending_acks.pop_front();
        }
    }
}

/// The published tables, the connected streams and the ejections, from which it makes the updates for each proxy.
#[derive(Debug, Default)]
pub struct TableSync {
    tables: BTreeMap<TableId, Table>,
    /// Servers that were ejected since the start, and whether they still are (`true`) or were readmitted (`false`).
    ejections: BTreeMap<ServerId, bool>,
    streams: BTreeMap<ProxyId, Stream>,
    encoder: UpdateEncoder,
}

impl TableSync {
    /// A state without tables and streams. `unlimited_rate` stands for "admit all" on the wire.
    pub fn new(class_count: usize, unlimited_rate: f64) -> TableSync {
        TableSync { encoder: UpdateEncoder::new(class_count, unlimited_rate), ..TableSync::default() }
    }

    /// Adds the stream of a proxy, not yet assigned to any table. It replaces an earlier stream of the proxy.
    pub fn connect(&mut self, proxy: ProxyId, now: Duration) {
        let stream = Stream {
            assigned_tables: vec![None; self.encoder.class_count()],
            pending_acks: VecDeque::new(),
            last_received: now,
            awaiting_table_since: Some(now),
        };
        self.streams.insert(proxy, stream);
    }

    /// Removes the stream of a proxy with its assignments and pending acknowledgements.
    pub fn disconnect(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
    }

    /// Records that a message was received from a proxy, which postpones its timeout.
    pub fn note_received(&mut self, proxy: ProxyId, now: Duration) {
        if let Some(stream) = self.streams.get_mut(&proxy) {
            stream.last_received = now;
        }
    }

    /// The time from a proxy's connection to `now`, when its first acknowledgement arrived; `None` on all later calls.
    pub fn take_table_wait(&mut self, proxy: ProxyId, now: Duration) -> Option<Duration> {
        let since = self.streams.get_mut(&proxy)?.awaiting_table_since.take()?;
        Some(now.saturating_sub(since))
    }

    /// The proxies with an acknowledgement that is pending for `timeout` and nothing received for as long. All input
    /// that arrived by `read_until` was handled.
    pub fn unresponsive(&self, read_until: Duration, timeout: Duration) -> Vec<ProxyId> {
        let unresponsive =
            self.streams.iter().filter(|(_, stream)| stream.is_unresponsive(read_until, timeout));
        unresponsive.map(|(proxy, _)| *proxy).collect()
    }

    /// Handles an acknowledgement, which includes all earlier updates; returns whether its token was pending.
    #[must_use]
    pub fn acknowledge(&mut self, proxy: ProxyId, ack_token: u16) -> bool {
        let Some(stream) = self.streams.get_mut(&proxy) else { return false };
        let position = stream.pending_acks.iter().position(|pending| pending.token == ack_token);
        let Some(position) = position else { return false };
        stream.pending_acks.drain(..=position);
        true
    }

    /// Whether any table has an entry of this server.
    pub fn has_entry_of(&self, server: ServerId) -> bool {
        self.tables.values().any(|table| table.weights.contains_key(&server))
    }

    /// Removes a server from the ejections and all tables, since its index may be assigned to another server.
    pub fn release(&mut self, server: ServerId) {
        self.ejections.remove(&server);
        self.tables.values_mut().for_each(|table| _ = table.weights.remove(&server));
    }

    /// Applies the commands of one step and returns the resulting updates.
    pub fn apply(&mut self, commands: &[Command], now: Duration) -> ProxyUpdates {
        let mut updates = ProxyUpdates::new();
        for command in commands {
            self.apply_command(&mut updates, command);
        }
        let ack_request = commands.iter().rev().find_map(|command| match command {
            Command::RequestAck { ack_token, all_proxies } => Some((*ack_token, *all_proxies)),
            _ => None,
        });
        if let Some((ack_token, all_proxies)) = ack_request {
            self.request_ack(&mut updates, ack_token, all_proxies, now);
        }
        updates
    }

    fn apply_command(&mut self, updates: &mut ProxyUpdates, command: &Command) {
        match *command {
            Command::SetEntry { table, server, weight } if weight.is_finite() && weight >= 0.0 => {
                self.set_entry(updates, table, server, weight);
            }
            Command::ClearTable { table } => self.clear_table(updates, table),
            Command::EjectServer { server, ejected } => self.eject_server(updates, server, ejected),
            Command::AssignTable { proxy, table, class_mask } => {
                self.assign_table(updates, proxy, table, class_mask);
            }
            Command::SetAdmission { table, class, admission_rate, retry_policy }
                if admission_rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0) =>
            {
                let admission = AdmissionSettings { admission_rate, retry_policy };
                self.set_admission(updates, table, class, admission);
            }
            _ => {}
        }
    }

    /// The proxies assigned to a table, each with the mask of the classes for which it is.
    fn assigned_proxies(&self, table: TableId) -> Vec<(ProxyId, u64)> {
        let proxies = self.streams.iter().map(|(proxy, stream)| (*proxy, stream.classes_assigned_to(table)));
        proxies.filter(|(_, class_mask)| *class_mask != 0).collect()
    }

    fn set_entry(&mut self, updates: &mut ProxyUpdates, table: TableId, server: ServerId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        if weight > 0.0 {
            weights.insert(server, weight);
        } else {
            weights.remove(&server);
        }
        for (proxy, class_mask) in self.assigned_proxies(table) {
            let parts = updates.entry(proxy).or_default();
            // One part can contain both entries and admission settings of the same classes.
            match parts.last_mut().filter(|part| part.class_mask == class_mask) {
                Some(part) => part.entries.push((server, weight)),
                None => parts.push(UpdatePart {
                    class_mask,
                    entries: vec![(server, weight)],
                    ..UpdatePart::default()
                }),
            }
        }
    }

    fn clear_table(&mut self, updates: &mut ProxyUpdates, table: TableId) {
        self.tables.remove(&table);
        for (proxy, class_mask) in self.assigned_proxies(table) {
            let part = UpdatePart { class_mask, replaces_table: true, ..UpdatePart::default() };
            updates.entry(proxy).or_default().push(part);
        }
    }

    fn eject_server(&mut self, updates: &mut ProxyUpdates, server: ServerId, ejected: bool) {
        self.ejections.insert(server, ejected);
        let part = if ejected {
            UpdatePart { ejected: vec![server], ..UpdatePart::default() }
        } else {
            UpdatePart { readmitted: vec![server], ..UpdatePart::default() }
        };
        for proxy in self.streams.keys() {
            updates.entry(*proxy).or_default().push(part.clone());
        }
    }

    fn assign_table(&mut self, updates: &mut ProxyUpdates, proxy: ProxyId, table: TableId, class_mask: u64) {
        let all_classes = self.encoder.all_classes();
        let class_mask = if class_mask == 0 { all_classes } else { class_mask & all_classes };
        let Some(stream) = self.streams.get_mut(&proxy).filter(|_| class_mask != 0) else { return };
        for class in self.encoder.classes_in(class_mask) {
            stream.assigned_tables[class] = Some(table);
        }
        let table = self.tables.entry(table).or_default();
        // A proxy keeps ejections when it reconnects, so it needs the latest state of each server.
        let ejected = self
            .ejections
            .iter()
            .filter(|(server, is_ejected)| **is_ejected && table.weights.contains_key(server));
        let readmitted = self.ejections.iter().filter(|(_, is_ejected)| !**is_ejected);
        let parts = updates.entry(proxy).or_default();
        parts.push(UpdatePart {
            class_mask,
            replaces_table: true,
            entries: table.weights.iter().map(|(server, weight)| (*server, *weight)).collect(),
            ejected: ejected.map(|(server, _)| *server).collect(),
            readmitted: readmitted.map(|(server, _)| *server).collect(),
            ..UpdatePart::default()
        });
        // A proxy discards its admission settings when its table is replaced.
        for (class, admission) in table.admission.iter().filter(|(class, _)| class_mask >> **class & 1 == 1) {
            push_admission(parts, 1 << class, *admission);
        }
    }

    fn set_admission(
        &mut self,
        updates: &mut ProxyUpdates,
        table: TableId,
        class: ClassId,
        admission: AdmissionSettings,
    ) {
        if class >= self.encoder.class_count() {
            return;
        }
        self.tables.entry(table).or_default().admission.insert(class, admission);
        for (proxy, class_mask) in self.assigned_proxies(table) {
            if class_mask >> class & 1 == 1 {
                push_admission(updates.entry(proxy).or_default(), 1 << class, admission);
            }
        }
    }

    /// Requests an acknowledgement from the proxies that get an update, or from all proxies; those without an update
    /// then get one that contains only the request.
    fn request_ack(&mut self, updates: &mut ProxyUpdates, ack_token: u16, all_proxies: bool, now: Duration) {
        if all_proxies {
            self.streams.keys().for_each(|proxy| _ = updates.entry(*proxy).or_default());
        }
        for (proxy, parts) in updates.iter_mut() {
            match parts.last_mut() {
                Some(part) => part.ack_token = Some(ack_token),
                None => parts.push(UpdatePart { ack_token: Some(ack_token), ..UpdatePart::default() }),
            }
            if let Some(stream) = self.streams.get_mut(proxy) {
                stream.push_pending_ack(ack_token, now);
            }
        }
    }

    /// Encodes an update as frames.
    pub fn encode(&self, parts: &[UpdatePart], names: &NameRegistry) -> Vec<u8> {
        self.encoder.encode(parts, names)
    }
}
