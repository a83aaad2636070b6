//! The driver between the fronts and [`runloom_controller::Controller`], free of I/O: names in, messages out. It keeps the
//! tables as they were ordered, lays one message a proxy and reply, and counts what waits for confirmation.
//! It decides nothing about servers; its own matters are what a message holds, and when a report is handed on.

mod published_tables;
pub mod recording;
mod report_aggregator;

pub use published_tables::PublishedTable;
use published_tables::PublishedTables;
use report_aggregator::ReportAggregator;
use runloom_controller::Controller;
use runloom_controller::IdMap;
use runloom_controller::{
    Command, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, LearnedState, ListedState, ProxyId,
    ServerId, TableId, WarmStartHint,
};
use runloom_event_log::RecordedEvent;
use runloom_guard::{GuardConfig, SafetyGuard};
use runloom_inventory::Change;
use runloom_model::fleet::Fleet;
use runloom_model::order::{Message, Report, TableEdit};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What a shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A table changed, or is whole as it is given; ahead of the orders that it goes out with.
    Table { table: TableId, edit: TableEdit },
    /// Servers that are out whatever tables say, or no longer.
    Withdrawn { servers: BTreeMap<String, bool> },
    /// One order to one proxy, numbered from 1 on at each proxy. Proxies on the same tables share the message, which
    /// is what the order says; what goes out by it is the front's matter.
    Send { proxy: ProxyId, number: u64, message: Rc<Message>, lines: usize },
    /// Ask the server how it is; the answer goes to [`ControlSession::probed`].
    Probe { server: ServerId, address: SocketAddr },
    /// A line for the log.
    Log { text: String },
}

/// What one turn ordered, for the ledger.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IssuedUpdate {
    pub servers: BTreeSet<String>,
    pub proxies: Vec<(ProxyId, u64)>,
}

/// A message on its way.
#[derive(Debug, Clone, Copy)]
struct InFlightUpdate {
    number: u64,
    mark: Option<u16>,
    lines: usize,
    sent: Duration,
}

/// What is known of a joined proxy.
#[derive(Debug, Default)]
pub struct Member {
    pub zone: String,
    number: u64,
    flying: VecDeque<InFlightUpdate>,
    pub ordered_at: Option<Duration>,
    pub applied_at: Option<Duration>,
    pub report_at: Option<Duration>,
}

impl Member {
    /// Messages sent and not confirmed.
    pub fn waiting(&self) -> usize {
        self.flying.len()
    }

    /// How long the oldest of them has been on its way.
    pub fn oldest(&self, now: Duration) -> Option<Duration> {
        self.flying.front().map(|f| now.saturating_sub(f.sent))
    }
}

/// Changes orders before they are judged: for trials of the guard only.
pub type CommandTamper = Box<dyn FnMut(Duration, &mut Vec<Command>)>;

/// One planner and what it is joined to.
pub struct ControlSession {
    guard: SafetyGuard,
    /// Without it orders go out unjudged: for trials only.
    pub guarded: bool,
    pub spoil: Option<CommandTamper>,
    /// All calls and what came of them, for a record; empty unless it is wanted.
    pub witness: Option<Vec<(Duration, RecordedEvent)>>,
    clock: Duration,
    flows: BTreeMap<(ServerId, usize), f64>,
    controller: Controller,
    fleet: Fleet,
    servers: IdMap<String>,
    proxies: IdMap<String>,
    zones: IdMap<String>,
    kinds: IdMap<String>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    weights: BTreeMap<ServerId, f64>,
    tables: PublishedTables,
    members: BTreeMap<ProxyId, Member>,
    sums: ReportAggregator,
    happened: Vec<Event>,
    wakes: BinaryHeap<std::cmp::Reverse<(Duration, u64)>>,
    /// Milliseconds since 1970 at the clock's zero.
    epoch: u64,
    standing: BTreeMap<ServerId, &'static str>,
    /// Lines and messages ordered since the start.
    pub lines_sent: u64,
    pub messages_sent: u64,
    pub most_waiting: usize,
}

impl ControlSession {
    /// Starts the decisions with the fleet's facts and the list as last held.
    ///
    /// `epoch` is the wall clock at `now` zero, milliseconds since 1970.
    pub fn new(fleet: Fleet, seed: u64, epoch: u64) -> ControlSession {
        let mut zones = IdMap::default();
        fleet.zones.iter().for_each(|(name, _)| _ = zones.index(name.clone()));
        let happened = vec![Event::Start { seed, config: Box::new(fleet.deployment_config()) }];
        ControlSession {
            guard: SafetyGuard::new(GuardConfig::of(&fleet.deployment_config())),
            guarded: true,
            spoil: None,
            witness: None,
            clock: Duration::ZERO,
            flows: BTreeMap::new(),
            controller: Controller::default(),
            sums: ReportAggregator::new(fleet.report, fleet.report_lines),
            fleet,
            servers: IdMap::default(),
            proxies: IdMap::default(),
            zones,
            kinds: IdMap::default(),
            addresses: BTreeMap::new(),
            weights: BTreeMap::new(),
            tables: PublishedTables::default(),
            members: BTreeMap::new(),
            happened,
            wakes: BinaryHeap::new(),
            epoch,
            standing: BTreeMap::new(),
            lines_sent: 0,
            messages_sent: 0,
            most_waiting: 0,
        }
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn guard(&self) -> &SafetyGuard {
        &self.guard
    }

    pub fn members(&self) -> &BTreeMap<ProxyId, Member> {
        &self.members
    }

    pub fn proxy_name(&self, proxy: ProxyId) -> &str {
        self.proxies.name(proxy).map_or("?", String::as_str)
    }

    /// The number of a server that was listed, and of a proxy that joined, by their names.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name)
    }

    pub fn proxy(&self, name: &str) -> Option<ProxyId> {
        self.proxies.get(name)
    }

    pub fn server_name(&self, server: ServerId) -> &str {
        self.servers.name(server).map_or("?", String::as_str)
    }

    /// The tables as ordered.
    pub fn laid(&self) -> &BTreeMap<TableId, PublishedTable> {
        self.tables.laid()
    }

    /// What the list last said of each server: `ready`, `draining`, `gone`.
    pub fn listed(&self) -> &BTreeMap<ServerId, &'static str> {
        &self.standing
    }

    /// Lines on their way, heads included, as the channel's limit counts them.
    pub fn lines_waiting(&self) -> usize {
        let head = self.fleet.channel.overhead as usize;
        self.members.values().flat_map(|m| &m.flying).map(|f| f.lines + head).sum()
    }

    /// The fleet as edited. New facts start the decisions over: proxies keep what they hold until they are
    /// bound again. Shares and words on servers are no facts, they come by the list.
    pub fn refit(&mut self, fleet: Fleet, seed: u64) -> bool {
        let same = fleet.deployment_config() == self.fleet.deployment_config()
            && self.zones_of(&fleet) == self.zones_of(&self.fleet);
        self.fleet = fleet;
        if let Some((multiple, until)) = self.fleet.raised {
            self.guard.raise(multiple, self.since_start(until).unwrap_or_default());
        }
        if same {
            return false;
        }
        self.guard.restart(GuardConfig::of(&self.fleet.deployment_config()));
        self.flows.clear();
        self.zones = IdMap::default();
        self.fleet.zones.iter().for_each(|(name, _)| _ = self.zones.index(name.clone()));
        self.sums = ReportAggregator::new(self.fleet.report, self.fleet.report_lines);
        self.tables = PublishedTables::default();
        self.wakes.clear();
        self.happened = vec![Event::Start { seed, config: Box::new(self.fleet.deployment_config()) }];
        true
    }

    fn zones_of<'a>(&self, fleet: &'a Fleet) -> Vec<&'a str> {
        fleet.zones.iter().map(|(name, _)| name.as_str()).collect()
    }

    /// Tells the decisions of servers: the whole list as held before this start, or changes.
    pub fn list(&mut self, how: EndpointUpdate, changes: Vec<(String, Change)>) {
        self.note(|| recording::listed(how, &changes));
        let mut entries = Vec::new();
        for (name, change) in changes {
            let server = self.servers.index(name);
            entries.push(match change {
                Change::Is(is) => {
                    self.addresses.insert(server, is.address);
                    self.standing.insert(server, if is.draining { "draining" } else { "ready" });
                    EndpointRecord {
                        server,
                        zone: self.zones.index(is.zone),
                        kind: self.kinds.index(is.kind),
                        cell: is.cell,
                        state: if is.draining { ListedState::Draining } else { ListedState::Ready },
                        weight: is.weight,
                        // Started before this planner's clock began counts as long ago only once it is warm.
                        started: is.started.and_then(|at| self.since_start(at)),
                    }
                }
                Change::Gone => {
                    self.standing.insert(server, "gone");
                    let (mode, weight) = (ListedState::Removed, 1.0);
                    EndpointRecord { server, zone: 0, kind: 0, cell: 0, state: mode, weight, started: None }
                }
            });
        }
        for e in &entries {
            let weight = if e.state == ListedState::Removed {
                self.weights.get(&e.server).copied().unwrap_or(1.0)
            } else {
                e.weight
            };
            self.weights.insert(e.server, weight);
            self.guard.listed(e.server, e.state, weight, e.started);
        }
        self.happened.push(Event::EndpointsListed { update: how, records: entries });
    }

    /// Tells the decisions what an earlier start learned: server, swiftness, doubt. After the list that names them.
    pub fn remembered(&mut self, hints: &[(String, f64, f64)]) {
        let bits =
            |(name, swift, doubt): &(String, f64, f64)| (name.clone(), swift.to_bits(), doubt.to_bits());
        self.note(|| RecordedEvent::Remembered { hints: hints.iter().map(bits).collect() });
        let known = |(name, swift, doubt): &(String, f64, f64)| {
            Some(WarmStartHint { server: self.servers.get(name)?, speed_factor: *swift, suspicion: *doubt })
        };
        let hints = hints.iter().filter_map(known).collect();
        self.happened.push(Event::WarmStart { hints });
    }

    /// What may outlast this planner: server, swiftness, when it was last out for failing, as a wall-clock time, and
    /// whether it is so for long.
    pub fn learned(&self) -> Vec<(String, f64, Option<u64>, bool)> {
        let wall =
            |at: Duration| (self.epoch + at.as_millis() as u64).saturating_sub(LEAD.as_millis() as u64);
        let named = |l: LearnedState| {
            (
                self.server_name(l.server).to_string(),
                l.speed_factor,
                l.last_ejected.map(wall),
                l.is_long_ejected,
            )
        };
        self.controller.learned().map(named).collect()
    }

    /// A wall-clock time on the decisions' clock, which starts an hour back so that times shortly before the
    /// process's own start can be told.
    fn since_start(&self, at: u64) -> Option<Duration> {
        (at + LEAD.as_millis() as u64).checked_sub(self.epoch).map(Duration::from_millis)
    }

    /// A proxy joined: what it says of itself, and whether it holds nothing but what it started with.
    pub fn joined(&mut self, name: &str, zone: &str, rate: f64, fresh: bool) -> ProxyId {
        let (name_of, zone_of) = (name.to_string(), zone.to_string());
        self.note(|| RecordedEvent::Joined { proxy: name_of, zone: zone_of, rate, fresh });
        let proxy = self.proxies.index(name.to_string());
        self.drop_member(proxy);
        self.members.insert(proxy, Member { zone: zone.to_string(), ..Member::default() });
        self.tables.join(proxy);
        self.guard.joined(proxy, if rate.is_finite() { rate } else { 0.0 });
        let rate = if rate.is_finite() { rate.clamp(0.0, 1e6) } else { 0.0 };
        self.happened.push(Event::ProxyConnected {
            proxy,
            zone: self.zones.index(zone.to_string()),
            request_rate: rate,
            has_no_table: fresh,
        });
        proxy
    }

    pub fn left(&mut self, proxy: ProxyId) {
        let name = self.proxy_name(proxy).to_string();
        self.note(|| RecordedEvent::Left { proxy: name });
        self.drop_member(proxy);
    }

    fn note(&mut self, what: impl FnOnce() -> RecordedEvent) {
        if let Some(witness) = &mut self.witness {
            witness.push((self.clock, what()));
        }
    }

    fn drop_member(&mut self, proxy: ProxyId) {
        if self.members.remove(&proxy).is_some() {
            self.tables.left(proxy);
            self.guard.left(proxy);
            self.happened.push(Event::ProxyDisconnected { proxy });
        }
    }

    /// The proxy confirmed the message of this number, and so all before it.
    pub fn applied(&mut self, now: Duration, proxy: ProxyId, number: u64) {
        let now = whole(now);
        self.clock = now;
        if self.witness.is_some() {
            let name = self.proxy_name(proxy).to_string();
            self.note(|| RecordedEvent::Applied { proxy: name, number });
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        self.guard.confirmed(proxy, number);
        while let Some(flying) = member.flying.front().copied().filter(|f| f.number <= number) {
            member.flying.pop_front();
            member.applied_at = Some(now);
            if let Some(mark) = flying.mark {
                let after = now.saturating_sub(flying.sent);
                self.happened.push(Event::UpdateAcknowledged { proxy, ack_token: mark, elapsed: after });
            }
        }
    }

    /// A report came. What names no known server or class is left out.
    pub fn report(&mut self, now: Duration, proxy: ProxyId, report: &Report) {
        let now = whole(now);
        self.clock = now;
        if self.witness.is_some() {
            let name = self.proxy_name(proxy).to_string();
            if let Some(outcomes) = recording::outcomes(&name, report) {
                self.note(|| outcomes);
            }
            self.note(|| recording::reported(name, report));
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        member.report_at = Some(now);
        let zone = self.zones.index(member.zone.clone());
        for met in &report.met {
            if let Some(server) = self.servers.get(&met.server) {
                self.sums.met(now, zone, server, met, report.span);
            }
        }
        for came in &report.came {
            if let Some(class) = self.fleet.classes.iter().position(|c| c.name == came.class) {
                self.sums.came(now, proxy, class, came, report.span);
            }
        }
    }

    pub fn probed(&mut self, server: ServerId, found: HealthCheckResult, after: Duration, load: Vec<f64>) {
        let after = whole(after);
        if self.witness.is_some() {
            let name = self.server_name(server).to_string();
            self.note(|| recording::probed(name, found, after, &load));
        }
        self.happened.push(Event::HealthChecked { server, result: found, elapsed: after, load });
    }

    /// When [`ControlSession::turn`] wants to be called though nothing came.
    pub fn wakes_at(&self) -> Option<Duration> {
        let wake = self.wakes.peek().map(|w| w.0 .0);
        [wake, self.sums.due()].into_iter().flatten().min()
    }

    /// Hands on all that happened, once, and gives what is to be done.
    pub fn turn(&mut self, now: Duration) -> (Vec<Action>, IssuedUpdate) {
        let now = whole(now);
        self.clock = now;
        while let Some(std::cmp::Reverse((at, token))) = self.wakes.peek().copied() {
            if at > now {
                break;
            }
            self.wakes.pop();
            self.happened.push(Event::TimerFired { token });
        }
        let known = self.happened.len();
        self.sums.hand_on(now, &mut self.happened);
        self.tell_guard(now, known);
        if self.happened.is_empty() {
            return (vec![], IssuedUpdate::default());
        }
        let happened = std::mem::take(&mut self.happened);
        let mut orders = self.controller.step(LEAD + now, &happened);
        if let Some(spoil) = &mut self.spoil {
            spoil(now, &mut orders);
        }
        let refused: u64 = self.guard.counts().values().sum();
        let carried = self.carry(now, orders);
        if self.witness.is_some() {
            let refused = self.guard.counts().values().sum::<u64>() - refused;
            let turn = recording::turned(self, &carried.0, refused);
            self.note(|| turn);
        }
        carried
    }

    /// What reports say of loads, from this event on.
    fn tell_guard(&mut self, now: Duration, from: usize) {
        for event in &self.happened[from..] {
            match event {
                Event::OutcomeReport {
                    zone,
                    server,
                    attempts: tries,
                    failures: failed,
                    window: span,
                    ..
                } => {
                    let good = tries.saturating_sub(*failed) as f64 / span.as_secs_f64().max(0.1);
                    self.flows.insert((*server, *zone), good);
                    let all: f64 =
                        self.flows.range((*server, 0)..=(*server, usize::MAX)).map(|(_, f)| f).sum();
                    self.guard.met(LEAD + now, *server, all);
                }
                Event::ArrivalReport { proxy, class, requests: queries, window: span, .. } => {
                    self.guard.came(*proxy, *class, *queries as f64 / span.as_secs_f64().max(0.1));
                }
                _ => {}
            }
        }
    }

    /// Has a batch of orders judged: what passes, and whom the rest would have reached. The decisions hear of
    /// what does not pass with the next turn.
    fn judged(&mut self, now: Duration, orders: Vec<Command>) -> (Vec<Command>, BTreeSet<ProxyId>) {
        let to_proxies = |o: &Command| {
            !matches!(o, Command::CheckHealth { .. } | Command::SetTimer { .. } | Command::LogEjection(_))
        };
        if !self.guarded || !orders.iter().any(to_proxies) {
            return (orders, BTreeSet::new());
        }
        let judged = self.guard.judge(LEAD + now, orders);
        let refused = judged
            .held
            .into_iter()
            .map(|h| Event::CommandRejected { command: h.order, published_weight: h.weight });
        self.happened.extend(refused);
        (judged.passed, judged.concerned)
    }

    fn carry(&mut self, now: Duration, orders: Vec<Command>) -> (Vec<Action>, IssuedUpdate) {
        let (mut deeds, mut ordered, mut mark, mut all) = (vec![], IssuedUpdate::default(), None, false);
        let (orders, concerned) = self.judged(now, orders);
        for order in orders {
            match order {
                Command::SetEntry { table, server, weight } => {
                    ordered.servers.insert(self.server_name(server).to_string());
                    self.tables.line(table, server, weight);
                }
                Command::ClearTable { table } => self.tables.clear(table),
                Command::EjectServer { server, ejected: out } => self.tables.withdraw(server, out),
                Command::AssignTable { proxy, table, class_mask: classes } => {
                    let count = self.fleet.classes.len();
                    let bound = (0..count).filter(|c| classes == 0 || classes & (1 << c) != 0);
                    self.tables.bind(proxy, table, bound);
                }
                Command::SetAdmission { table, class, admission_rate: level, retry_policy: tries } => {
                    self.tables.level(table, class, level, tries)
                }
                Command::RequestAck { ack_token: number, all_proxies: everyone } => {
                    (mark, all) = (Some(number), everyone)
                }
                Command::CheckHealth { server } => {
                    let address = self.addresses.get(&server).copied();
                    deeds.extend(address.map(|address| Action::Probe { server, address }));
                }
                Command::SetTimer { after, token } => {
                    self.wakes.push(std::cmp::Reverse((now + after, token)))
                }
                Command::LogEjection(report) => {
                    deeds.push(Action::Log { text: report.log_line(self.server_name(report.server)) });
                }
                // The list comes unasked here, and planners have no peers.
                Command::WatchEndpoints { .. } | Command::FetchEndpoints | Command::SendToPeer { .. } => {}
            }
        }
        // The decisions wait for the mark of all whom they ordered, be it that nothing of it passed.
        let also = match (mark, all) {
            (None, _) => BTreeSet::new(),
            (Some(_), true) => self.members.keys().copied().collect(),
            (Some(_), false) => concerned,
        };
        self.messages(now, mark, &also, &mut deeds, &mut ordered);
        (deeds, ordered)
    }

    /// One message for each proxy that the orders concern.
    fn messages(
        &mut self,
        now: Duration,
        mark: Option<u16>,
        also: &BTreeSet<ProxyId>,
        deeds: &mut Vec<Action>,
        ordered: &mut IssuedUpdate,
    ) {
        let names = published_tables::Names {
            server: &|s| self.servers.name(s).map_or("?", String::as_str),
            address: &|s| self.addresses.get(&s).map(SocketAddr::to_string).unwrap_or_default(),
            class: &|c| self.fleet.classes.get(c).map_or("?", |class| class.name.as_str()),
        };
        let members: Vec<ProxyId> = self.members.keys().copied().collect();
        let (changed, withdrawn) = self.tables.changed(&names);
        deeds.extend(changed.into_iter().map(|(table, edit)| Action::Table { table, edit }));
        if !withdrawn.is_empty() {
            deeds.push(Action::Withdrawn { servers: withdrawn });
        }
        for (proxy, message, lines) in self.tables.take_messages(&members, also, &names) {
            let Some(member) = self.members.get_mut(&proxy) else { continue };
            member.number += 1;
            member.ordered_at = Some(now);
            member.flying.push_back(InFlightUpdate { number: member.number, mark, lines, sent: now });
            self.guard.sent(proxy, member.number);
            self.lines_sent += lines as u64;
            self.messages_sent += 1;
            ordered.proxies.push((proxy, member.number));
            deeds.push(Action::Send { proxy, number: member.number, message, lines });
        }
        self.most_waiting = self.most_waiting.max(self.lines_waiting());
    }
}

/// Whole microseconds, as a record has them: decisions on finer times could not be replayed.
fn whole(time: Duration) -> Duration {
    Duration::from_micros(time.as_micros() as u64)
}

/// How far before the process's start the decisions' clock begins: longer than any server takes to warm.
pub const LEAD: Duration = Duration::from_secs(3600);

#[cfg(test)]
mod tests;
