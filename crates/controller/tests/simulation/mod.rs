//! A planner's controller with simulated proxies behind an update channel: messages wait in a queue, leave it one after
//! the other at the channel's rate, and reach their proxy after a transit time. Every line is counted as the platform
//! counts it.

use runloom_controller::config::{AdmissionKind, ChannelConfig, SlowStartConfig, TrafficClass};
use runloom_controller::{
    ClassId, Command, Controller, DeploymentConfig, EndpointRecord, EndpointUpdate, Event, ListedState,
    ProxyId, ServerId, TableId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
const ZONES: usize = 4;
/// The time that a message travels, after it has left the channel.
pub const TRANSIT: Duration = Duration::from_millis(250);
/// Requests per second at all proxies together.
const REQUEST_RATE: f64 = 200.0;

/// The figures of a fleet and of its update channel.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    pub proxies: usize,
    pub endpoints: usize,
    pub planners: usize,
    /// Lines that a message costs beyond its own.
    pub message_overhead: f64,
    pub lines_per_second: f64,
    pub queue_limit: f64,
    /// Messages to a proxy within ten seconds; 0 for no limit.
    pub message_limit: f64,
    /// Whether the fleet is short of capacity, so that admission limits change all the time.
    pub is_overloaded: bool,
}

impl FleetSize {
    /// The lines of a message with one entry, and the mark to be acknowledged, to every proxy.
    pub fn lines_of_one_change(&self) -> f64 {
        self.proxies as f64 * (self.message_overhead + 2.0)
    }

    fn config(&self) -> DeploymentConfig {
        let class = |latency_objective_seconds, priority_weight| TrafficClass {
            latency_objective_seconds,
            deadline_seconds: None,
            priority_weight,
        };
        DeploymentConfig {
            planner_count: self.planners as f64,
            proxy_count: Some(self.proxies as f64),
            zone_count: ZONES as f64,
            classes: vec![class(0.75, 1.0), class(1.2, 1.0), class(0.5, 2.0)],
            channel: ChannelConfig {
                entries_per_second: Some(self.lines_per_second),
                queue_limit: Some(self.queue_limit),
                message_overhead: self.message_overhead,
                message_limit: self.message_limit,
                message_window: Some(Duration::from_secs(10)),
                max_transit_seconds: Some(0.6),
            },
            slow_start: SlowStartConfig {
                initial_capacity: 0.16,
                warm_up_seconds: 15.0,
                overload_multiple: Some(4.0),
            },
            admission: AdmissionKind::RequestRate,
            proxies_prefer_local_planner: true,
            ..DeploymentConfig::default()
        }
    }
}

/// One message in the channel.
struct Message {
    proxy: ProxyId,
    /// The proxy's connection that it was sent on.
    connection: u64,
    lines: f64,
    leaves_at: Duration,
    /// The entries of newly assigned tables, which replace what the proxy holds.
    replacement: Option<BTreeSet<(TableId, ServerId)>>,
    changes: Vec<(TableId, ServerId, bool)>,
    ack_token: Option<u16>,
}

#[derive(Default)]
struct SimulatedProxy {
    connection: u64,
    joined_at: Option<Duration>,
    /// When it last lost its last entry.
    emptied_at: Option<Duration>,
    /// The tables that it was last assigned, as of what was sent.
    tables: BTreeSet<TableId>,
    /// The entries that it routes by, as of what arrived.
    held: BTreeSet<(TableId, ServerId)>,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Observations {
    /// The most lines that waited in the channel.
    pub most_lines_waiting: f64,
    /// Per removed endpoint and proxy that still had it: how long after the removal, or its joining, it had it.
    pub latest_removal: Duration,
    /// Entries of removed endpoints that proxies hold at the end.
    pub entries_left: usize,
    /// Proxies that hold no entry at the end.
    pub proxies_without_entries: usize,
    /// The longest time from joining to the first entry.
    pub longest_table_wait: Duration,
    /// The longest time for which a proxy held no entry after it had some.
    pub longest_time_without_entries: Duration,
    /// Messages that brought weights or other entries, and those that brought admission limits.
    pub messages_with_entries: usize,
    pub messages_with_admissions: usize,
    /// Reports to the operators on removals that waited.
    pub delay_reports: usize,
    /// The most messages that one proxy was sent within ten seconds.
    pub most_messages: usize,
}

pub struct Simulation {
    size: FleetSize,
    controller: Controller,
    now: Duration,
    timers: BTreeMap<Duration, Vec<u64>>,
    events: Vec<Event>,
    queue: VecDeque<Message>,
    travelling: VecDeque<(Duration, Message)>,
    channel_free_at: Duration,
    proxies: Vec<SimulatedProxy>,
    tables: BTreeMap<TableId, BTreeSet<ServerId>>,
    admissions: BTreeMap<TableId, BTreeSet<ClassId>>,
    running: BTreeMap<ServerId, Duration>,
    removed: BTreeMap<ServerId, Duration>,
    next_server: ServerId,
    next_report: Duration,
    /// State of the generator of latencies.
    noise: u64,
    sent_at: Vec<VecDeque<Duration>>,
    pub seen: Observations,
}

impl Simulation {
    /// Starts a planner with its endpoints and no proxy.
    pub fn new(size: FleetSize) -> Simulation {
        let mut simulation = Simulation {
            size,
            controller: Controller::default(),
            now: Duration::ZERO,
            timers: BTreeMap::new(),
            events: vec![Event::Start { seed: 38, config: Box::new(size.config()) }],
            queue: VecDeque::new(),
            travelling: VecDeque::new(),
            channel_free_at: Duration::ZERO,
            proxies: (0..size.proxies).map(|_| SimulatedProxy::default()).collect(),
            tables: BTreeMap::new(),
            admissions: BTreeMap::new(),
            running: BTreeMap::new(),
            removed: BTreeMap::new(),
            next_server: size.endpoints,
            next_report: REPORT_PERIOD,
            noise: 38,
            sent_at: vec![VecDeque::new(); size.proxies],
            seen: Observations::default(),
        };
        let all = 0..size.endpoints;
        simulation.running = all.clone().map(|server| (server, Duration::ZERO)).collect();
        let records = all.map(|server| record(server, ListedState::Ready, None)).collect();
        simulation.list(EndpointUpdate::Snapshot, records);
        simulation
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    /// Proxies connect, each with a table of an earlier planner or none.
    pub fn join(&mut self, proxies: impl Iterator<Item = ProxyId>) {
        for proxy in proxies {
            self.proxies[proxy].joined_at = Some(self.now);
            self.proxies[proxy].connection += 1;
            self.events.push(Event::ProxyConnected {
                proxy,
                zone: proxy % ZONES,
                request_rate: REQUEST_RATE / self.size.proxies as f64,
                has_no_table: false,
            });
        }
    }

    /// The list calls endpoints gone, and names as many new ones that have just started.
    pub fn replace(&mut self, servers: &[ServerId]) {
        let mut records = Vec::new();
        for &server in servers {
            self.running.remove(&server);
            self.removed.insert(server, self.now);
            records.push(record(server, ListedState::Removed, None));
            records.push(record(self.next_server, ListedState::Ready, Some(self.now)));
            self.running.insert(self.next_server, self.now);
            self.next_server += 1;
        }
        self.list(EndpointUpdate::Delta, records);
    }

    fn list(&mut self, update: EndpointUpdate, records: Vec<EndpointRecord>) {
        self.events.push(Event::EndpointsListed { update, records });
    }

    pub fn run_for(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.move_messages();
            self.report();
            while self.timers.first_key_value().is_some_and(|(at, _)| *at <= self.now) {
                let (_, tokens) = self.timers.pop_first().unwrap();
                self.events.extend(tokens.into_iter().map(|token| Event::TimerFired { token }));
            }
            let events = std::mem::take(&mut self.events);
            if !events.is_empty() {
                let commands = self.controller.step(self.now, &events);
                self.carry_out(&commands);
            }
            self.observe();
            self.now += STEP;
        }
        self.count_what_is_held();
    }

    fn move_messages(&mut self) {
        while self.queue.front().is_some_and(|message| message.leaves_at <= self.now) {
            let message = self.queue.pop_front().unwrap();
            self.travelling.push_back((message.leaves_at + TRANSIT, message));
        }
        while self.travelling.front().is_some_and(|(arrives_at, _)| *arrives_at <= self.now) {
            let (_, message) = self.travelling.pop_front().unwrap();
            self.apply(message);
        }
    }

    fn apply(&mut self, message: Message) {
        let proxy = &mut self.proxies[message.proxy];
        if proxy.connection != message.connection {
            return;
        }
        let before = proxy.held.clone();
        if let Some(replacement) = message.replacement {
            proxy.held = replacement;
        }
        for (table, server, is_set) in message.changes {
            if is_set {
                proxy.held.insert((table, server));
            } else {
                proxy.held.remove(&(table, server));
            }
        }
        let joined_at = proxy.joined_at.unwrap();
        if before.is_empty() && !proxy.held.is_empty() {
            let (longest, since) = match proxy.emptied_at {
                Some(emptied_at) => (&mut self.seen.longest_time_without_entries, emptied_at),
                None => (&mut self.seen.longest_table_wait, joined_at),
            };
            *longest = (*longest).max(self.now - since);
        }
        if !before.is_empty() && proxy.held.is_empty() {
            proxy.emptied_at = Some(self.now);
        }
        for (_, server) in before.difference(&proxy.held) {
            if let Some(removed_at) = self.removed.get(server) {
                let since = (*removed_at).max(joined_at);
                self.seen.latest_removal = self.seen.latest_removal.max(self.now - since);
            }
        }
        if let Some(ack_token) = message.ack_token {
            let (proxy, elapsed) = (message.proxy, Duration::ZERO);
            self.events.push(Event::UpdateAcknowledged { proxy, ack_token, elapsed });
        }
    }

    /// Reports of the outcomes and arrivals of the past period. Latencies differ between endpoints and periods.
    fn report(&mut self) {
        if self.now < self.next_report {
            return;
        }
        self.next_report += REPORT_PERIOD;
        let attempts = (REQUEST_RATE / self.running.len() as f64).ceil() as u64;
        let base_latency = if self.size.is_overloaded { 0.7 } else { 0.1 };
        for server in self.running.keys().copied().collect::<Vec<_>>() {
            self.noise =
                self.noise.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let factor = 0.5 + (self.noise >> 40) as f64 / (1u64 << 24) as f64 * 2.0;
            let failures = if self.size.is_overloaded { attempts / 10 } else { 0 };
            self.events.push(Event::OutcomeReport {
                zone: server % ZONES,
                server,
                attempts,
                failures,
                mean_latency: Duration::from_secs_f64(base_latency * factor),
                window: REPORT_PERIOD,
                load: vec![],
            });
        }
        let joined = (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].joined_at.is_some());
        for proxy in joined.collect::<Vec<_>>() {
            for class in 0..3 {
                let (requests, unanswered, window) = (1 + (proxy % 2) as u64, 0, REPORT_PERIOD);
                self.events.push(Event::ArrivalReport { proxy, class, requests, unanswered, window });
            }
        }
    }

    fn carry_out(&mut self, commands: &[Command]) {
        let mut changes: BTreeMap<TableId, Vec<(TableId, ServerId, bool)>> = BTreeMap::new();
        let mut admission_lines: BTreeMap<TableId, f64> = BTreeMap::new();
        let mut assigned: BTreeMap<ProxyId, BTreeSet<TableId>> = BTreeMap::new();
        let mut token = None;
        for command in commands {
            match command {
                Command::SetEntry { table, server, weight } => {
                    let entries = self.tables.entry(*table).or_default();
                    if *weight > 0.0 {
                        entries.insert(*server);
                    } else {
                        entries.remove(server);
                    }
                    changes.entry(*table).or_default().push((*table, *server, *weight > 0.0));
                }
                Command::SetAdmission { table, class, .. } => {
                    self.admissions.entry(*table).or_default().insert(*class);
                    *admission_lines.entry(*table).or_default() += 1.0;
                }
                Command::AssignTable { proxy, table, class_mask } => {
                    let tables = assigned.entry(*proxy).or_default();
                    if *class_mask == 0 {
                        tables.clear();
                    }
                    tables.insert(*table);
                }
                Command::RequestAck { ack_token, .. } => token = Some(*ack_token),
                Command::SetTimer { after, token } => {
                    self.timers.entry(self.now + *after).or_default().push(*token);
                }
                Command::LogDelayedRemovals(_) => self.seen.delay_reports += 1,
                _ => {}
            }
        }
        for proxy in 0..self.proxies.len() {
            self.send(proxy, &changes, &admission_lines, assigned.remove(&proxy), token);
        }
    }

    /// Sends a proxy what changed for it in one step, as one message; nothing if nothing did.
    fn send(
        &mut self,
        proxy: ProxyId,
        changes: &BTreeMap<TableId, Vec<(TableId, ServerId, bool)>>,
        admission_lines: &BTreeMap<TableId, f64>,
        assigned: Option<BTreeSet<TableId>>,
        ack_token: Option<u16>,
    ) {
        if self.proxies[proxy].joined_at.is_none() {
            return;
        }
        let mut own_lines = 0.0;
        let mut replacement = None;
        if let Some(tables) = assigned {
            let mut entries = BTreeSet::new();
            for table in &tables {
                let servers = self.tables.get(table).cloned().unwrap_or_default();
                let levels = self.admissions.get(table).map_or(0, BTreeSet::len);
                own_lines += (1 + servers.len() + levels) as f64;
                entries.extend(servers.into_iter().map(|server| (*table, server)));
            }
            self.proxies[proxy].tables = tables;
            replacement = Some(entries);
        }
        let mut own_changes = Vec::new();
        let mut own_admissions = 0.0;
        if replacement.is_none() {
            for table in &self.proxies[proxy].tables {
                own_changes.extend(changes.get(table).into_iter().flatten().copied());
                own_admissions += admission_lines.get(table).copied().unwrap_or(0.0);
            }
        }
        own_lines += own_changes.len() as f64 + own_admissions;
        if own_lines == 0.0 {
            return;
        }
        self.seen.messages_with_entries += usize::from(!own_changes.is_empty());
        self.seen.messages_with_admissions += usize::from(own_admissions > 0.0);
        self.count_message(proxy);
        let lines = self.size.message_overhead + own_lines + f64::from(u8::from(ack_token.is_some()));
        let starts_at = self.channel_free_at.max(self.now);
        self.channel_free_at = starts_at + Duration::from_secs_f64(lines / self.size.lines_per_second);
        self.queue.push_back(Message {
            proxy,
            connection: self.proxies[proxy].connection,
            lines,
            leaves_at: self.channel_free_at,
            replacement,
            changes: own_changes,
            ack_token,
        });
    }

    fn count_message(&mut self, proxy: ProxyId) {
        let sent_at = &mut self.sent_at[proxy];
        sent_at.push_back(self.now);
        while sent_at.front().is_some_and(|at| *at + Duration::from_secs(10) <= self.now) {
            sent_at.pop_front();
        }
        self.seen.most_messages = self.seen.most_messages.max(sent_at.len());
    }

    fn observe(&mut self) {
        let waiting: f64 = self.queue.iter().map(|message| message.lines).sum();
        self.seen.most_lines_waiting = self.seen.most_lines_waiting.max(waiting);
    }

    fn count_what_is_held(&mut self) {
        let joined = self.proxies.iter().filter(|proxy| proxy.joined_at.is_some());
        let held = joined.clone().flat_map(|proxy| &proxy.held);
        self.seen.entries_left = held.filter(|(_, server)| self.removed.contains_key(server)).count();
        self.seen.proxies_without_entries = joined.filter(|proxy| proxy.held.is_empty()).count();
    }
}

fn record(server: ServerId, state: ListedState, started: Option<Duration>) -> EndpointRecord {
    EndpointRecord { server, zone: server % ZONES, kind: server % 2, cell: 0, state, weight: 1.0, started }
}
