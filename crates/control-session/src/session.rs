//! [`ControlSession`]: events in, actions out.

use crate::clock::{truncate_to_microseconds, WallClock};
use crate::endpoint_directory::EndpointDirectory;
use crate::published_tables::{PublishedTable, PublishedTables};
use crate::report_aggregator::ReportAggregator;
use crate::{recording, Action, IssuedUpdate, Member, CLOCK_LEAD};
use runloom_controller::{
    Command, Controller, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, IdMap, LearnedState,
    ProxyId, ServerId, TableId, WarmStartHint, ZoneId,
};
use runloom_event_log::RecordedEvent;
use runloom_guard::{GuardConfig, SafetyGuard};
use runloom_inventory::Change;
use runloom_model::fleet::{Fleet, RaisedMultiple};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Largest request rate, in requests a second, that a connecting proxy may claim.
const MAX_REQUEST_RATE: f64 = 1e6;
/// Name of an index that was never assigned.
pub(crate) const UNKNOWN_NAME: &str = "?";

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
    pub(crate) endpoints: EndpointDirectory,
    pub(crate) tables: PublishedTables,
    pub(crate) members: BTreeMap<ProxyId, Member>,
    pub(crate) pending_events: Vec<Event>,
    /// Timers of the controller: when they fire, and their token.
    pub(crate) timers: BinaryHeap<Reverse<(Duration, u64)>>,
    pub(crate) reports: ReportAggregator,
    pub(crate) zones: IdMap<String>,
    /// Successful requests a second of each server, by the zone that sent them.
    pub(crate) success_rates: BTreeMap<(ServerId, ZoneId), f64>,
    controller: Controller,
    proxies: IdMap<String>,
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
            endpoints: EndpointDirectory::default(),
            tables: PublishedTables::default(),
            members: BTreeMap::new(),
            pending_events: vec![Event::Start { seed, config: Box::new(config) }],
            timers: BinaryHeap::new(),
            controller: Controller::default(),
            reports: ReportAggregator::new(fleet.report_period, fleet.reports_per_second),
            proxies: IdMap::default(),
            zones: index_zones(&fleet),
            success_rates: BTreeMap::new(),
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
    pub fn proxy_id(&self, name: &str) -> Option<ProxyId> {
        self.proxies.get(name)
    }

    /// The name of a proxy, or `?`.
    pub fn proxy_name(&self, proxy: ProxyId) -> &str {
        self.proxies.name(proxy).map_or(UNKNOWN_NAME, String::as_str)
    }

    /// The index of a server that has been listed.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.endpoints.server_id(name)
    }

    /// The name of a server, or `?`.
    pub fn server_name(&self, server: ServerId) -> &str {
        self.endpoints.name(server)
    }

    /// The tables as published.
    pub fn published_tables(&self) -> &BTreeMap<TableId, PublishedTable> {
        self.tables.tables()
    }

    /// State of each server by the newest list: `ready`, `draining` or `gone`.
    pub fn endpoint_states(&self) -> &BTreeMap<ServerId, &'static str> {
        self.endpoints.states()
    }

    /// Table entries on their way, each message's overhead included, as the channel's limit counts them.
    pub fn queued_entries(&self) -> usize {
        let message_overhead = self.fleet.channel.message_overhead as usize;
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
        if let Some(RaisedMultiple { multiple, until_ms }) = self.fleet.raised_multiple {
            let until = self.wall_clock.to_controller_time(until_ms).unwrap_or_default();
            self.guard.raise_overload_multiple(multiple, until);
        }
        if is_same_config && is_same_zones {
            return false;
        }
        self.guard.restart(GuardConfig::of(&config));
        self.success_rates.clear();
        self.zones = index_zones(&self.fleet);
        self.reports = ReportAggregator::new(self.fleet.report_period, self.fleet.reports_per_second);
        self.tables = PublishedTables::default();
        self.timers.clear();
        self.pending_events = vec![Event::Start { seed, config: Box::new(config) }];
        true
    }

    /// Passes an endpoint list to the controller: the complete list or changes, as `update` says.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, changes: Vec<(String, Change)>) {
        self.record(|| recording::endpoint_list(update, &changes));
        let to_record =
            |(name, change)| self.endpoints.update(name, change, &mut self.zones, self.wall_clock);
        let records: Vec<EndpointRecord> = changes.into_iter().map(to_record).collect();
        for record in &records {
            let weight = self.endpoints.update_weight(record);
            self.guard.update_endpoint(record.server, record.state, weight, record.started);
        }
        self.pending_events.push(Event::EndpointsListed { update, records });
    }

    /// Passes what an earlier process learned to the controller. It follows the endpoint list that names the
    /// servers; hints of other servers are left out.
    pub fn warm_start(&mut self, hints: &[ServerHint]) {
        self.record(|| recording::warm_start(hints));
        let known = hints.iter().filter_map(|hint| {
            Some(WarmStartHint {
                server: self.endpoints.server_id(&hint.name)?,
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

    /// Sets the time of this call, in the resolution of a record, and returns it.
    pub(crate) fn advance_clock(&mut self, now: Duration) -> Duration {
        self.now = truncate_to_microseconds(now);
        self.now
    }

    /// Adds an entry to the record, if there is one.
    pub(crate) fn record(&mut self, event: impl FnOnce() -> RecordedEvent) {
        if let Some(recorded_events) = &mut self.recorded_events {
            recorded_events.push((self.now, event()));
        }
    }
}

fn zone_names(fleet: &Fleet) -> impl Iterator<Item = &str> {
    fleet.zones.iter().map(|zone| zone.name.as_str())
}

/// Indices of the fleet's zones, in the fleet's order.
fn index_zones(fleet: &Fleet) -> IdMap<String> {
    let mut zones = IdMap::default();
    for zone in &fleet.zones {
        zones.index(zone.name.clone());
    }
    zones
}
