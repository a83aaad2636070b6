//! [`ControlSession`]: takes events, steps the controller, and returns actions for the runtime.

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

/// Upper bound, in requests per second, to which the rate that a connecting proxy announces is clamped.
const MAX_REQUEST_RATE: f64 = 1e6;
/// Name shown for an index that was never assigned.
pub(crate) const UNKNOWN_NAME: &str = "?";

/// Changes a step's commands before they are validated; the first argument is the time of the step.
pub type CommandTamper = Box<dyn FnMut(Duration, &mut Vec<Command>)>;

/// What an earlier process learned of a server, for a warm start.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerHint {
    /// The server's name.
    pub name: String,
    /// Its speed relative to its weight.
    pub speed_factor: f64,
    /// Likelihood that it still fails, from 0 to 1.
    pub suspicion: f64,
}

/// What this process learned of a server, to be stored for a later process.
#[derive(Debug, Clone, PartialEq)]
pub struct LearnedServerState {
    /// The server's name.
    pub name: String,
    /// Its speed relative to its weight.
    pub speed_factor: f64,
    /// When it was last ejected for failures, in milliseconds since 1970, or the present time if it is ejected now.
    /// `None` if no ejection is known.
    pub last_ejected_ms: Option<u64>,
    /// Whether it is out of service for long, after repeated ejections.
    pub is_long_ejected: bool,
}

/// A planner's controller, its guard, the published tables and the connected proxies.
pub struct ControlSession {
    /// Whether the guard validates commands before they take effect; switched off only in what-if replays and tests of
    /// the guard.
    pub is_guarded: bool,
    /// Fault injection for tests of the guard; `None` in operation.
    pub tamper: Option<CommandTamper>,
    /// Calls and their outcomes, each with its time, that are to be added to the record; `None` if nothing is
    /// recorded.
    pub recorded_events: Option<Vec<(Duration, RecordedEvent)>>,
    /// Table entries sent since the start.
    pub entries_sent: u64,
    /// Messages sent since the start.
    pub messages_sent: u64,
    /// Largest number of queued entries since the start, as counted by [`ControlSession::queued_entries`].
    pub max_queued_entries: usize,
    /// Reports of removals that waited long for the update channel, since the start.
    pub delayed_removals: u64,
    pub(crate) guard: SafetyGuard,
    pub(crate) fleet: Fleet,
    pub(crate) endpoints: EndpointDirectory,
    pub(crate) tables: PublishedTables,
    pub(crate) members: BTreeMap<ProxyId, Member>,
    /// Events that the controller gets with the next step.
    pub(crate) pending_events: Vec<Event>,
    /// The controller's timers: when each fires, and its token.
    pub(crate) timers: BinaryHeap<Reverse<(Duration, u64)>>,
    pub(crate) reports: ReportAggregator,
    pub(crate) zones: IdMap<String>,
    /// Successful requests per second of each server, by the zone that sent them.
    pub(crate) success_rates: BTreeMap<(ServerId, ZoneId), f64>,
    controller: Controller,
    proxies: IdMap<String>,
    /// Time of the newest call that had a `now` argument. Recorded events get this time.
    now: Duration,
    wall_clock: WallClock,
}

impl ControlSession {
    /// Starts a controller with the fleet's configuration and no endpoints.
    ///
    /// `epoch_ms` is the wall-clock time, in milliseconds since 1970, at which the `now` of later calls is zero.
    pub fn new(fleet: Fleet, seed: u64, epoch_ms: u64) -> ControlSession {
        let config = fleet.deployment_config();
        ControlSession {
            is_guarded: true,
            tamper: None,
            recorded_events: None,
            entries_sent: 0,
            messages_sent: 0,
            max_queued_entries: 0,
            delayed_removals: 0,
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

    /// The fleet configuration in force.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The guard that validates the controller's commands.
    pub fn guard(&self) -> &SafetyGuard {
        &self.guard
    }

    /// The connected proxies, by index.
    pub fn members(&self) -> &BTreeMap<ProxyId, Member> {
        &self.members
    }

    /// The index of a proxy; `None` if no proxy of that name ever connected.
    pub fn proxy_id(&self, name: &str) -> Option<ProxyId> {
        self.proxies.get(name)
    }

    /// The name of a proxy, or `?` for an unknown index.
    pub fn proxy_name(&self, proxy: ProxyId) -> &str {
        self.proxies.name(proxy).map_or(UNKNOWN_NAME, String::as_str)
    }

    /// The index of a server; `None` if no endpoint list has named it.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.endpoints.server_id(name)
    }

    /// The name of a server, or `?` for an unknown index.
    pub fn server_name(&self, server: ServerId) -> &str {
        self.endpoints.name(server)
    }

    /// The published tables, by number.
    pub fn published_tables(&self) -> &BTreeMap<TableId, PublishedTable> {
        self.tables.tables()
    }

    /// State of each server as of the newest list: `ready`, `draining` or `gone`.
    pub fn endpoint_states(&self) -> &BTreeMap<ServerId, &'static str> {
        self.endpoints.states()
    }

    /// Table entries in flight, including each message's overhead, as the update channel's limit counts them.
    pub fn queued_entries(&self) -> usize {
        let message_overhead = self.fleet.channel.message_overhead as usize;
        self.members.values().map(|member| member.queued_entries(message_overhead)).sum()
    }

    /// What the controller learned of servers, to be stored for the next start.
    pub fn learned_states(&self) -> Vec<LearnedServerState> {
        let named = |state: LearnedState| LearnedServerState {
            name: self.server_name(state.server).to_string(),
            speed_factor: state.speed_factor,
            last_ejected_ms: state.last_ejected.map(|at| self.wall_clock.to_wall_ms(at)),
            is_long_ejected: state.is_long_ejected,
        };
        self.controller.learned().map(named).collect()
    }

    /// Applies an edited fleet, and returns whether the controller starts over.
    ///
    /// It does if its configuration or the names of the zones changed; proxies keep their tables until they are
    /// assigned again. Zone shares and overrides of servers are not part of the controller's configuration: they arrive
    /// with the endpoint list.
    pub fn reconfigure(&mut self, fleet: Fleet, seed: u64) -> bool {
        let config = fleet.deployment_config();
        let is_same_config = config == self.fleet.deployment_config();
        let has_same_zones = zone_names(&fleet).eq(zone_names(&self.fleet));
        self.fleet = fleet;
        if let Some(RaisedMultiple { multiple, until_ms }) = self.fleet.raised_multiple {
            let until = self.wall_clock.to_controller_time(until_ms).unwrap_or_default();
            self.guard.raise_overload_multiple(multiple, until);
        }
        if is_same_config && has_same_zones {
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

    /// Passes an endpoint list to the controller; `update` says whether `changes` is the complete list or a delta.
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

    /// Passes the hints of an earlier process to the controller. The caller passes the endpoint list first: hints about
    /// servers that it does not name are ignored.
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

    /// Connects a proxy and returns its index. A proxy of the same name that is still connected is disconnected first.
    ///
    /// `request_rate` is the rate that the proxy expects, in requests per second. `has_no_table` says that it holds no
    /// table of an earlier planner.
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

    /// Handles the end of a proxy's connection.
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

    /// Handles a proxy's acknowledgement of message `number`, which covers all before it.
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

    /// Handles the result of a health check that took `elapsed`; `load` is the load report that came with the answer.
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

    /// When [`ControlSession::step`] has to be called even if nothing arrives; `None` if there is no such time.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.reports.next_delivery()].into_iter().flatten().min()
    }

    /// Passes the pending events to the controller, executes its commands, and returns the actions for the runtime and
    /// what was published.
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

    /// Sets the time of the current call, truncated to the resolution of the record, and returns it.
    pub(crate) fn advance_clock(&mut self, now: Duration) -> Duration {
        self.now = truncate_to_microseconds(now);
        self.now
    }

    /// Adds an entry to the record, if recording is on.
    pub(crate) fn record(&mut self, event: impl FnOnce() -> RecordedEvent) {
        if let Some(recorded_events) = &mut self.recorded_events {
            recorded_events.push((self.now, event()));
        }
    }
}

fn zone_names(fleet: &Fleet) -> impl Iterator<Item = &str> {
    fleet.zones.iter().map(|zone| zone.name.as_str())
}

/// Assigns indices to the fleet's zones, in the order of the configuration.
fn index_zones(fleet: &Fleet) -> IdMap<String> {
    let mut zones = IdMap::default();
    for zone in &fleet.zones {
        zones.index(zone.name.clone());
    }
    zones
}
