//! [`ControlSession`]: events in, actions out.

use crate::clock::{truncate_to_microseconds, WallClock};
use crate::published_tables::{PublishedTable, PublishedTables};
use crate::report_aggregator::ReportAggregator;
use crate::{recording, Action, IssuedUpdate, Member, CLOCK_LEAD};
use runloom_controller::{
    Command, Controller, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, IdMap, LearnedState,
    ListedState, ProxyId, ServerId, TableId, WarmStartHint, ZoneId,
};
use runloom_event_log::RecordedEvent;
use runloom_guard::{GuardConfig, SafetyGuard};
use runloom_inventory::{Change, Server};
use runloom_model::fleet::Fleet;
use runloom_model::report::Report;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest request rate, in requests a second, that a connecting proxy may claim.
const MAX_REQUEST_RATE: f64 = 1e6;
/// Shortest window, in seconds, over which a report's rate is computed.
const MIN_RATE_WINDOW_SECONDS: f64 = 0.1;
/// Name of an index that was never assigned.
const UNKNOWN_NAME: &str = "?";
/// The weight of a server that is removed without ever having been listed.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Changes commands before they are validated: for trials of the guard only.
pub type CommandTamper = Box<dyn FnMut(Duration, &mut Vec<Command>)>;

/// What an earlier process learned of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerHint {
    /// The server's name.
    pub name: String,
    /// Its speed relative to its weight.
    pub speed_factor: f64,
    /// How likely it is to fail still, 0 to 1.
    pub suspicion: f64,
}

/// What this process learned of a server and a later one may use.
#[derive(Debug, Clone, PartialEq)]
pub struct LearnedServerState {
    /// The server's name.
    pub name: String,
    /// Its speed relative to its weight.
    pub speed_factor: f64,
    /// When it was last ejected, in milliseconds since 1970.
    pub last_ejected_ms: Option<u64>,
    /// Whether it is ejected for long.
    pub is_long_ejected: bool,
}

/// One planner's controller, with the proxies connected to it.
pub struct ControlSession {
    /// Whether commands are validated before they go out; switched off for trials only.
    pub is_guarded: bool,
    /// Changes commands before they are validated: for trials of the guard only.
    pub tamper: Option<CommandTamper>,
    /// All calls with their time and what came of them, for a record; `None` if there is no record.
    pub recorded_events: Option<Vec<(Duration, RecordedEvent)>>,
    /// Table entries sent since the start.
    pub entries_sent: u64,
    /// Messages sent since the start.
    pub messages_sent: u64,
    /// Largest number of table entries on their way at once, as [`ControlSession::queued_entries`] counts them.
    pub max_queued_entries: usize,
    pub(crate) guard: SafetyGuard,
    pub(crate) fleet: Fleet,
    pub(crate) servers: IdMap<String>,
    pub(crate) addresses: BTreeMap<ServerId, SocketAddr>,
    pub(crate) tables: PublishedTables,
    pub(crate) members: BTreeMap<ProxyId, Member>,
    pub(crate) pending_events: Vec<Event>,
    /// Timers of the controller: when they fire, and their token.
    pub(crate) timers: BinaryHeap<Reverse<(Duration, u64)>>,
    controller: Controller,
    reports: ReportAggregator,
    proxies: IdMap<String>,
    zones: IdMap<String>,
    kinds: IdMap<String>,
    weights: BTreeMap<ServerId, f64>,
    /// Successful requests a second of each server, by the zone that sent them.
    success_rates: BTreeMap<(ServerId, ZoneId), f64>,
    endpoint_states: BTreeMap<ServerId, &'static str>,
    /// Time of the newest call, for the record.
    now: Duration,
    wall_clock: WallClock,
}

impl ControlSession {
    /// Starts a controller with the fleet's configuration and no endpoints.
    ///
    /// `epoch_ms` is the wall clock at time zero of the calls, in milliseconds since 1970.
    pub fn new(fleet: Fleet, seed: u64, epoch_ms: u64) -> ControlSession {
        let config = fleet.deployment_config();
        ControlSession {
            is_guarded: true,
            tamper: None,
            recorded_events: None,
            entries_sent: 0,
            messages_sent: 0,
            max_queued_entries: 0,
            guard: SafetyGuard::new(GuardConfig::of(&config)),
            servers: IdMap::default(),
            addresses: BTreeMap::new(),
            tables: PublishedTables::default(),
            members: BTreeMap::new(),
            pending_events: vec![Event::Start { seed, config: Box::new(config) }],
            timers: BinaryHeap::new(),
            controller: Controller::default(),
            reports: ReportAggregator::new(fleet.report, fleet.report_lines),
            proxies: IdMap::default(),
            zones: index_zones(&fleet),
            kinds: IdMap::default(),
            weights: BTreeMap::new(),
            success_rates: BTreeMap::new(),
            endpoint_states: BTreeMap::new(),
            now: Duration::ZERO,
            wall_clock: WallClock { epoch_ms },
            fleet,
        }
    }

    /// The fleet's configuration in force.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The guard that validates commands.
    pub fn guard(&self) -> &SafetyGuard {
        &self.guard
    }

    /// The connected proxies.
    pub fn members(&self) -> &BTreeMap<ProxyId, Member> {
        &self.members
    }

    /// The index of a proxy that has connected.
    pub fn proxy(&self, name: &str) -> Option<ProxyId> {
        self.proxies.get(name)
    }

    /// The name of a proxy, or `?`.
    pub fn proxy_name(&self, proxy: ProxyId) -> &str {
        self.proxies.name(proxy).map_or(UNKNOWN_NAME, String::as_str)
    }

    /// The index of a server that has been listed.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name)
    }

    /// The name of a server, or `?`.
    pub fn server_name(&self, server: ServerId) -> &str {
        self.servers.name(server).map_or(UNKNOWN_NAME, String::as_str)
    }

    /// The tables as published.
    pub fn published_tables(&self) -> &BTreeMap<TableId, PublishedTable> {
        self.tables.tables()
    }

    /// State of each server by the newest list: `ready`, `draining` or `gone`.
    pub fn endpoint_states(&self) -> &BTreeMap<ServerId, &'static str> {
        &self.endpoint_states
    }

    /// Table entries on their way, each message's overhead included, as the channel's limit counts them.
    pub fn queued_entries(&self) -> usize {
        let message_overhead = self.fleet.channel.overhead as usize;
        self.members.values().map(|member| member.queued_entries(message_overhead)).sum()
    }

    /// What the controller learned of servers.
    pub fn learned_states(&self) -> Vec<LearnedServerState> {
        let named = |state: LearnedState| LearnedServerState {
            name: self.server_name(state.server).to_string(),
            speed_factor: state.speed_factor,
            last_ejected_ms: state.last_ejected.map(|at| self.wall_clock.to_wall_ms(at)),
            is_long_ejected: state.is_long_ejected,
        };
        self.controller.learned().map(named).collect()
    }

    /// Puts an edited fleet in force, and returns whether the controller starts over.
    ///
    /// It does if its configuration or the zones changed; proxies keep their tables until they are assigned again.
    /// Shares and overrides of servers are not part of the configuration: they come with the endpoint list.
    pub fn reconfigure(&mut self, fleet: Fleet, seed: u64) -> bool {
        let config = fleet.deployment_config();
        let is_same_config = config == self.fleet.deployment_config();
        let is_same_zones = zone_names(&fleet).eq(zone_names(&self.fleet));
        self.fleet = fleet;
        if let Some((multiple, until)) = self.fleet.raised {
            let until = self.wall_clock.to_controller_time(until).unwrap_or_default();
            self.guard.raise_overload_multiple(multiple, until);
        }
        if is_same_config && is_same_zones {
            return false;
        }
        self.guard.restart(GuardConfig::of(&config));
        self.success_rates.clear();
        self.zones = index_zones(&self.fleet);
        self.reports = ReportAggregator::new(self.fleet.report, self.fleet.report_lines);
        self.tables = PublishedTables::default();
        self.timers.clear();
        self.pending_events = vec![Event::Start { seed, config: Box::new(config) }];
        true
    }

    /// Passes an endpoint list to the controller: the complete list or changes, as `update` says.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, changes: Vec<(String, Change)>) {
        self.record(|| recording::endpoint_list(update, &changes));
        let mut records = Vec::new();
        for (name, change) in changes {
            let server = self.servers.index(name);
            let record = match change {
                Change::Updated(listed) => self.endpoint_record(server, listed),
                Change::Removed => self.removal_record(server),
            };
            records.push(record);
        }
        for record in &records {
            self.track_endpoint(record);
        }
        self.pending_events.push(Event::EndpointsListed { update, records });
    }

    fn endpoint_record(&mut self, server: ServerId, listed: Server) -> EndpointRecord {
        self.addresses.insert(server, listed.address);
        self.endpoint_states.insert(server, if listed.is_draining { "draining" } else { "ready" });
        EndpointRecord {
            server,
            zone: self.zones.index(listed.zone),
            kind: self.kinds.index(listed.kind),
            cell: listed.cell,
            state: if listed.is_draining { ListedState::Draining } else { ListedState::Ready },
            weight: listed.weight,
            // A start before the controller's clock began is long ago.
            started: listed.started_ms.and_then(|at| self.wall_clock.to_controller_time(at)),
        }
    }

    fn removal_record(&mut self, server: ServerId) -> EndpointRecord {
        self.endpoint_states.insert(server, "gone");
        EndpointRecord {
            server,
            zone: 0,
            kind: 0,
            cell: 0,
            state: ListedState::Removed,
            weight: DEFAULT_WEIGHT,
            started: None,
        }
    }

    /// Passes a record to the guard; a removed server keeps its last weight there.
    fn track_endpoint(&mut self, record: &EndpointRecord) {
        let weight = if record.state == ListedState::Removed {
            self.weights.get(&record.server).copied().unwrap_or(DEFAULT_WEIGHT)
        } else {
            record.weight
        };
        self.weights.insert(record.server, weight);
        self.guard.update_endpoint(record.server, record.state, weight, record.started);
    }

    /// Passes what an earlier process learned to the controller. It follows the endpoint list that names the
    /// servers; hints of other servers are left out.
    pub fn warm_start(&mut self, hints: &[ServerHint]) {
        self.record(|| recording::warm_start(hints));
        let known = hints.iter().filter_map(|hint| {
            Some(WarmStartHint {
                server: self.servers.get(&hint.name)?,
                speed_factor: hint.speed_factor,
                suspicion: hint.suspicion,
            })
        });
        let hints = known.collect();
        self.pending_events.push(Event::WarmStart { hints });
    }

    /// A proxy connected. A proxy of the same name that is connected still is disconnected first.
    ///
    /// `request_rate` is what it expects, in requests a second; `has_no_table` whether it holds no table of an
    /// earlier planner.
    pub fn connect_proxy(
        &mut self,
        name: &str,
        zone: &str,
        request_rate: f64,
        has_no_table: bool,
    ) -> ProxyId {
        self.record(|| RecordedEvent::ProxyConnected {
            proxy: name.to_string(),
            zone: zone.to_string(),
            request_rate,
            has_no_table,
        });
        let proxy = self.proxies.index(name.to_string());
        self.remove_member(proxy);
        self.members.insert(proxy, Member::new(zone));
        self.tables.connect_proxy(proxy);
        let request_rate = if request_rate.is_finite() { request_rate } else { 0.0 };
        self.guard.connect_proxy(proxy, request_rate);
        self.pending_events.push(Event::ProxyConnected {
            proxy,
            zone: self.zones.index(zone.to_string()),
            request_rate: request_rate.clamp(0.0, MAX_REQUEST_RATE),
            has_no_table,
        });
        proxy
    }

    /// A proxy's connection ended.
    pub fn disconnect_proxy(&mut self, proxy: ProxyId) {
        let name = self.proxy_name(proxy).to_string();
        self.record(|| RecordedEvent::ProxyDisconnected { proxy: name });
        self.remove_member(proxy);
    }

    fn remove_member(&mut self, proxy: ProxyId) {
        if self.members.remove(&proxy).is_some() {
            self.tables.disconnect_proxy(proxy);
            self.guard.disconnect_proxy(proxy);
            self.pending_events.push(Event::ProxyDisconnected { proxy });
        }
    }

    /// A proxy acknowledged message `number`, and so all before it.
    pub fn acknowledge(&mut self, now: Duration, proxy: ProxyId, number: u64) {
        let now = self.advance_clock(now);
        if self.recorded_events.is_some() {
            let name = self.proxy_name(proxy).to_string();
            self.record(|| RecordedEvent::UpdateAcknowledged { proxy: name, number });
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        self.guard.acknowledge(proxy, number);
        for update in member.acknowledge(now, number) {
            if let Some(ack_token) = update.ack_token {
                let elapsed = now.saturating_sub(update.sent_at);
                self.pending_events.push(Event::UpdateAcknowledged { proxy, ack_token, elapsed });
            }
        }
    }

    /// A proxy's report arrived. Entries that name no known server or class are left out.
    pub fn handle_report(&mut self, now: Duration, proxy: ProxyId, report: &Report) {
        let now = self.advance_clock(now);
        if self.recorded_events.is_some() {
            self.record_report(proxy, report);
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        member.last_report_at = Some(now);
        let zone = self.zones.index(member.zone.clone());
        for outcomes in &report.outcomes {
            if let Some(server) = self.servers.get(&outcomes.server) {
                self.reports.add_outcomes(now, zone, server, outcomes, report.window);
            }
        }
        for arrivals in &report.arrivals {
            if let Some(class) = self.fleet.classes.iter().position(|class| class.name == arrivals.class) {
                self.reports.add_arrivals(now, proxy, class, arrivals, report.window);
            }
        }
    }

    fn record_report(&mut self, proxy: ProxyId, report: &Report) {
        let name = self.proxy_name(proxy).to_string();
        if let Some(outcomes) = recording::class_outcomes(&name, report) {
            self.record(|| outcomes);
        }
        self.record(|| recording::report(name, report));
    }

    /// A health check ended after `elapsed`; `load` is the load report that came with the answer.
    pub fn record_health_check(
        &mut self,
        server: ServerId,
        result: HealthCheckResult,
        elapsed: Duration,
        load: Vec<f64>,
    ) {
        let elapsed = truncate_to_microseconds(elapsed);
        if self.recorded_events.is_some() {
            let name = self.server_name(server).to_string();
            self.record(|| recording::health_check(name, result, elapsed, &load));
        }
        self.pending_events.push(Event::HealthChecked { server, result, elapsed, load });
    }

    /// When [`ControlSession::step`] is to be called though nothing arrived.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.reports.next_delivery()].into_iter().flatten().min()
    }

    /// Passes all that happened to the controller, carries out its commands, and returns what the runtime has to
    /// do.
    pub fn step(&mut self, now: Duration) -> (Vec<Action>, IssuedUpdate) {
        let now = self.advance_clock(now);
        self.fire_timers(now);
        let first_delivered = self.pending_events.len();
        self.reports.deliver(now, &mut self.pending_events);
        self.report_rates_to_guard(now, first_delivered);
        if self.pending_events.is_empty() {
            return (vec![], IssuedUpdate::default());
        }
        let events = std::mem::take(&mut self.pending_events);
        let mut commands = self.controller.step(CLOCK_LEAD + now, &events);
        if let Some(tamper) = &mut self.tamper {
            tamper(now, &mut commands);
        }
        let rejections_before = self.rejection_count();
        let (actions, issued) = self.execute(now, commands);
        if self.recorded_events.is_some() {
            let rejections = self.rejection_count() - rejections_before;
            let step = recording::step(self, &actions, rejections as usize);
            self.record(|| step);
        }
        (actions, issued)
    }

    fn fire_timers(&mut self, now: Duration) {
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.pending_events.push(Event::TimerFired { token });
        }
    }

    fn rejection_count(&self) -> u64 {
        self.guard.rejection_counts().values().sum()
    }

    /// Passes the rates in the pending events from index `first` on to the guard.
    fn report_rates_to_guard(&mut self, now: Duration, first: usize) {
        for event in &self.pending_events[first..] {
            match event {
                Event::OutcomeReport { zone, server, attempts, failures, window, .. } => {
                    let success_rate = rate(attempts.saturating_sub(*failures), *window);
                    self.success_rates.insert((*server, *zone), success_rate);
                    let of_server = self.success_rates.range((*server, 0)..=(*server, usize::MAX));
                    let total: f64 = of_server.map(|(_, success_rate)| success_rate).sum();
                    self.guard.record_success_rate(CLOCK_LEAD + now, *server, total);
                }
                Event::ArrivalReport { proxy, class, requests, window, .. } => {
                    self.guard.record_arrival_rate(*proxy, *class, rate(*requests, *window));
                }
                _ => {}
            }
        }
    }

    fn advance_clock(&mut self, now: Duration) -> Duration {
        self.now = truncate_to_microseconds(now);
        self.now
    }

    fn record(&mut self, event: impl FnOnce() -> RecordedEvent) {
        if let Some(recorded_events) = &mut self.recorded_events {
            recorded_events.push((self.now, event()));
        }
    }
}

/// `count` in `window`, a second.
fn rate(count: u64, window: Duration) -> f64 {
    count as f64 / window.as_secs_f64().max(MIN_RATE_WINDOW_SECONDS)
}

fn zone_names(fleet: &Fleet) -> impl Iterator<Item = &str> {
    fleet.zones.iter().map(|(name, _)| name.as_str())
}

/// Indices of the fleet's zones, in the fleet's order.
fn index_zones(fleet: &Fleet) -> IdMap<String> {
    let mut zones = IdMap::default();
    for (name, _) in &fleet.zones {
        zones.index(name.clone());
    }
    zones
}
