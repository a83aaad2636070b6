//! The platform's protocol, free of sockets and clocks: bytes, connections' ends, probes' endings and a time
//! go in; bytes, closes, probes and a time to wake come out. All decisions on servers come from
//! [`runloom_controller::Controller`]; what is settled here is the protocol's own: framing, who may stay, when the other
//! side is taken for dead.

pub mod bootstrap;
pub mod endpoint_list;
pub mod endpoint_watch;
pub mod framing;
pub mod health_check;
pub mod message;
pub mod session;
pub mod table_sync;

use bootstrap::BootstrapConfig;
use endpoint_list::{EndpointList, Unreadable};
use health_check::HealthCheckOutcome;
use message::{MalformedMessage, Message, Names};
use runloom_controller::Controller;
use runloom_controller::{Command, EndpointUpdate, Event, ProxyId, ServerId};
use session::{ConnectionId, Role, Sessions};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;
use table_sync::TableSync;

/// Reports of a server come some seconds late; after these its index may be another's.
const SPENT_FOR: Duration = Duration::from_secs(10);
/// How often it is looked for servers whose index can be given back.
const TIDY_EVERY: Duration = Duration::from_secs(1);
/// How long a stream may owe an answer, in times that its channel's whole backlog and the longest way take,
/// and what a proxy may stand still for besides. Answers were measured to come within half of one such time;
/// a channel that is slowed takes a few of them; and to end a stream that is well costs more than to keep a
/// dead one a while.
const OWES_MOST: u32 = 3;
const STANDS_STILL: Duration = Duration::from_secs(2);
/// Where the settings don't say how many proxies there are: as many as the simulator's wire can number.
const PROXIES_MOST: f64 = 65536.0;

/// The channel where the settings don't describe it: entries, entries a second, seconds.
const DEFAULT_QUEUE_LIMIT: f64 = 4000.0;
const DEFAULT_ENTRIES_PER_SECOND: f64 = 1000.0;
const DEFAULT_MAX_TRANSIT_SECONDS: f64 = 2.0;

/// What a shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Write {
        conn: ConnectionId,
        bytes: Vec<u8>,
    },
    Close {
        conn: ConnectionId,
    },
    /// Ask a server how it is; the ending goes to [`Platform::probed`] with the ticket.
    Probe {
        ticket: u64,
        to: SocketAddr,
    },
    /// A line for the log.
    Log {
        text: String,
    },
}

/// What was counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    pub joined: u64,
    pub taken_over: u64,
    pub left: u64,
    /// Streams that were silent for too long.
    pub mute: u64,
    pub refused: u64,
    pub spoilt: u64,
    /// Answers to marks that no answer was owed to.
    pub stray_marks: u64,
    pub messages: u64,
    pub lists: u64,
    /// The longest that a proxy waited for its table, from its joining to its first answer: the graces of the
    /// rules run meanwhile.
    pub longest_wait: Duration,
}

/// One planner on the platform.
pub struct Platform {
    controller: Controller,
    names: Names,
    clients: Sessions,
    streams: TableSync,
    list: EndpointList,
    /// The decisions' zero in Unix time, milliseconds.
    epoch: u64,
    /// What the list told, ahead of the rest of a turn.
    listed: Vec<Event>,
    happened: Vec<Event>,
    deeds: Vec<Action>,
    wakes: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Probes asked for that have not ended, by ticket; and the servers that they ask.
    probing: BTreeMap<u64, ServerId>,
    asked: BTreeSet<ServerId>,
    ticket: u64,
    with_load: bool,
    /// How long a stream may owe an answer and bring nothing else.
    patience: Duration,
    spent: BTreeMap<ServerId, Duration>,
    tidied: Duration,
    pub counts: Counters,
}

impl Platform {
    /// A planner that starts from nothing but its station. `epoch` is the decisions' zero in Unix time,
    /// milliseconds, and lies before this start, as those of servers do. `room` is for how many connections
    /// there are descriptors.
    pub fn new(station: &BootstrapConfig, epoch: u64, room: usize) -> Platform {
        let settings = runloom_deployment_config::read(&station.settings);
        let config = settings.config;
        let most = config.proxy_count.unwrap_or(PROXIES_MOST);
        let mut names = Names {
            zones: settings.zones,
            classes: settings.classes,
            fields: settings.load_fields,
            proxies: most.clamp(0.0, PROXIES_MOST) as usize,
            ..Names::default()
        };
        let classes = config.classes.len();
        let with_load = config.load_report.is_available;
        let channel = &config.channel;
        let backlog = channel.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT)
            / channel.entries_per_second.unwrap_or(DEFAULT_ENTRIES_PER_SECOND).max(1.0);
        let transit = channel.max_transit_seconds.unwrap_or(DEFAULT_MAX_TRANSIT_SECONDS);
        let way = Duration::try_from_secs_f64(backlog + transit);
        let patience = way.unwrap_or(STANDS_STILL).min(Duration::from_secs(60)) * OWES_MOST + STANDS_STILL;
        let mut list = EndpointList::default();
        let start = Event::Start { seed: station.seed, config: Box::new(config) };
        let known = list.take(&station.known, true, &mut names, epoch, Duration::ZERO);
        let (how, entries) = known.unwrap_or_default().unwrap_or((EndpointUpdate::Cached, vec![]));
        Platform {
            controller: Controller::default(),
            names,
            clients: Sessions::new(room),
            streams: TableSync::new(classes, settings.unlimited_rate),
            list,
            epoch,
            listed: vec![start, Event::EndpointsListed { update: how, records: entries }],
            happened: Vec::new(),
            deeds: Vec::new(),
            wakes: BinaryHeap::new(),
            probing: BTreeMap::new(),
            asked: BTreeSet::new(),
            ticket: 0,
            with_load,
            patience,
            spent: BTreeMap::new(),
            tidied: Duration::ZERO,
            counts: Counters::default(),
        }
    }

    /// Whether servers attach load reports: probes ask for them.
    pub fn with_load(&self) -> bool {
        self.with_load
    }

    /// The values of a load report, in their order.
    pub fn fields(&self) -> &[String] {
        &self.names.fields
    }

    /// The version of the list that is held.
    pub fn revision(&self) -> u64 {
        self.list.revision
    }

    /// No more connections can be taken now.
    pub fn is_full(&self) -> bool {
        self.clients.is_full()
    }

    /// Streams and newcomers.
    pub fn connected(&self) -> (usize, usize) {
        self.clients.count()
    }

    /// Servers that have an index, those that are gone but not yet given back among them.
    pub fn servers(&self) -> usize {
        self.names.servers.iter().count()
    }

    pub fn opened(&mut self, conn: ConnectionId, now: Duration) {
        self.clients.open(conn, now);
    }

    pub fn closed(&mut self, conn: ConnectionId) {
        if let Some(Role::Stream(proxy)) = self.clients.remove(conn) {
            self.left(proxy);
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        self.counts.left += 1;
        self.streams.leave(proxy);
        self.happened.push(Event::ProxyDisconnected { proxy });
    }

    /// Takes what a connection brought.
    pub fn bytes(&mut self, conn: ConnectionId, bytes: &[u8], now: Duration) {
        match self.clients.get(conn) {
            Some(client) => client.reader.push(bytes),
            None => return,
        }
        let mut whole = false;
        while let Some(client) = self.clients.get(conn) {
            match client.reader.next_message() {
                Ok(None) => break,
                Ok(Some(value)) => {
                    whole = true;
                    let who = client.who;
                    if let Role::Stream(proxy) = who {
                        self.streams.heard(proxy, now);
                    }
                    let message = message::read(&value, &self.names);
                    self.message(conn, who, message, now);
                }
                Err(_) => self.refuse(conn),
            }
        }
        self.clients.read(conn, whole, now);
    }

    /// Ends a connection that can't be used: a stream has left by that.
    fn refuse(&mut self, conn: ConnectionId) {
        self.counts.refused += 1;
        self.say(conn, br#"{"t":"NACK"}"#);
        self.deeds.push(Action::Close { conn });
        self.closed(conn);
    }

    fn say(&mut self, conn: ConnectionId, body: &[u8]) {
        let mut bytes = Vec::new();
        framing::write(&mut bytes, body);
        self.deeds.push(Action::Write { conn, bytes });
    }

    fn message(
        &mut self,
        conn: ConnectionId,
        who: Role,
        message: Result<Message, MalformedMessage>,
        now: Duration,
    ) {
        match (who, message) {
            (_, Ok(Message::Ping)) => self.say(conn, br#"{"t":"PONG"}"#),
            (Role::Newcomer, Ok(Message::Collector { zone })) => {
                if let Some(old) = self.clients.collect(conn, zone) {
                    self.deeds.push(Action::Close { conn: old });
                }
            }
            (Role::Newcomer, Ok(Message::Told(joined @ Event::ProxyConnected { proxy, .. }))) => {
                // A new stream takes over from one that is not yet seen closed; nothing that the old one may
                // still bring has a meaning any more.
                if let Some(old) = self.clients.join(conn, proxy) {
                    self.counts.taken_over += 1;
                    self.deeds.push(Action::Close { conn: old });
                    self.left(proxy);
                }
                self.counts.joined += 1;
                self.streams.join(proxy, now);
                self.happened.push(joined);
            }
            // Reports that no joining came before, orders, joinings of what does not exist: no client of
            // ours.
            (Role::Newcomer, _) => self.refuse(conn),
            (Role::Collector(_), Ok(Message::Told(met @ Event::OutcomeReport { .. }))) => {
                self.happened.push(met)
            }
            (_, Ok(Message::Told(came @ Event::ArrivalReport { proxy, .. })))
                if self.clients.stream(proxy).is_some()
                    && (who == Role::Stream(proxy) || matches!(who, Role::Collector(_))) =>
            {
                self.happened.push(came);
            }
            (
                Role::Stream(own),
                Ok(Message::Told(applied @ Event::UpdateAcknowledged { proxy, ack_token: mark, .. })),
            ) if own == proxy => {
                if self.streams.answered(proxy, mark) {
                    let waited = self.streams.waited(proxy, now).unwrap_or_default();
                    self.counts.longest_wait = self.counts.longest_wait.max(waited);
                    self.happened.push(applied);
                } else {
                    self.counts.stray_marks += 1;
                }
            }
            _ => self.counts.spoilt += 1,
        }
    }

    /// Takes a line of the watch. An empty one is a sign of life and nothing else. One that can't be read may
    /// have told of a drain: what changed since the version that is held is to be asked for once more, a few
    /// times; then it is left out, as what comes behind it counts too.
    pub fn line(&mut self, line: &[u8], now: Duration) -> Result<(), Unreadable> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let list = serde_json::from_slice(line).map_err(|_| Unreadable);
        match list.and_then(|list| self.list.take(&list, false, &mut self.names, self.epoch, now)) {
            Ok(None) => {}
            Ok(Some((how, entries))) => {
                self.counts.lists += 1;
                self.listed.push(Event::EndpointsListed { update: how, records: entries });
            }
            Err(Unreadable) => return self.list.miss(),
        }
        Ok(())
    }

    /// Whether the whole list is to be asked for, since versions that are told have been older than the one
    /// held for longer than an agent may lag: they are counted anew.
    pub fn is_counted_anew(&mut self, looked: Duration) -> bool {
        self.list.is_counted_anew(looked)
    }

    /// Takes what a probe came to.
    pub fn probed(&mut self, ticket: u64, ending: HealthCheckOutcome, after: Duration) {
        if let Some(server) = self.probing.remove(&ticket) {
            self.asked.remove(&server);
            self.happened.push(Event::HealthChecked {
                server,
                result: ending.found,
                elapsed: after,
                load: ending.load,
            });
        }
    }

    /// Ends a turn: lets the planner decide once on all that happened, and gives what is to be done. All that
    /// clients had sent by `looked` has been taken in: nobody is late by what was not read.
    pub fn turn(&mut self, now: Duration, looked: Duration) -> Vec<Action> {
        for conn in self.clients.overdue(looked) {
            self.refuse(conn);
        }
        while let Some(Reverse((at, token))) = self.wakes.peek().copied().filter(|w| w.0 .0 <= now) {
            self.wakes.pop();
            debug_assert!(at <= now);
            self.happened.push(Event::TimerFired { token });
        }
        if now >= self.tidied + TIDY_EVERY {
            self.tidied = now;
            self.tidy(now);
            self.end_mute(looked);
        }
        let mut happened = std::mem::take(&mut self.listed);
        happened.append(&mut self.happened);
        if !happened.is_empty() {
            let orders = self.controller.step(now, &happened);
            self.carry_out(orders, now);
        }
        std::mem::take(&mut self.deeds)
    }

    fn carry_out(&mut self, orders: Vec<Command>, now: Duration) {
        let messages = self.streams.lay(&orders, now);
        for (proxy, parts) in messages {
            if let Some(conn) = self.clients.stream(proxy) {
                let bytes = self.streams.write(&parts, &self.names);
                self.counts.messages += 1;
                self.deeds.push(Action::Write { conn, bytes });
            }
        }
        for order in orders {
            match order {
                Command::SetTimer { after, token } => self.wakes.push(Reverse((now + after, token))),
                Command::LogEjection(report) => {
                    let server = self.names.servers.name(report.server).cloned();
                    let name = server.unwrap_or_else(|| report.server.to_string());
                    self.deeds.push(Action::Log { text: report.log_line(&name) });
                }
                Command::CheckHealth { server } => {
                    // One at a time: where many are silent, probes wait for room, and more of them would wait
                    // ever longer.
                    let to = self.list.addresses.get(&server);
                    if let Some(to) = to.filter(|_| self.asked.insert(server)) {
                        self.ticket += 1;
                        self.probing.insert(self.ticket, server);
                        self.deeds.push(Action::Probe { ticket: self.ticket, to: *to });
                    }
                }
                // The watch brings all changes unasked; planners have no way to each other here.
                _ => {}
            }
        }
    }

    /// Ends streams that are silent for longer than any that is well: nothing else tells of a machine that
    /// vanished.
    fn end_mute(&mut self, looked: Duration) {
        for proxy in self.streams.mute(looked, self.patience) {
            if let Some(conn) = self.clients.stream(proxy) {
                self.counts.mute += 1;
                self.deeds.push(Action::Close { conn });
                self.closed(conn);
            }
        }
    }

    /// Gives back the indices of servers of which nothing is left anywhere, so that a day on which all of
    /// them are replaced again and again takes no more than one on which none is.
    fn tidy(&mut self, now: Duration) {
        let left = |s: &ServerId| {
            self.controller.is_released(*s) && self.streams.is_clear_of(*s) && !self.asked.contains(s)
        };
        let spent: Vec<ServerId> = self.names.servers.iter().map(|(_, s)| s).filter(left).collect();
        self.spent.retain(|s, _| spent.contains(s));
        for server in spent {
            if now < *self.spent.entry(server).or_insert(now) + SPENT_FOR {
                continue;
            }
            self.spent.remove(&server);
            self.names.servers.release(server);
            self.list.release(server);
            self.streams.release(server);
            self.happened.push(Event::ServerReleased { server });
        }
    }

    /// When the next turn is due at the latest.
    pub fn wake(&self) -> Option<Duration> {
        let wake = self.wakes.peek().map(|w| w.0 .0);
        wake.into_iter().chain(self.clients.wake()).chain(self.list.wake()).min()
    }
}

#[cfg(test)]
mod tests;
