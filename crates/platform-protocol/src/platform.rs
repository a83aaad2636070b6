//! The core of a planner on the platform: what it is given, what it decides, and what is to be done.

use crate::action::Action;
use crate::bootstrap::BootstrapConfig;
use crate::counters::Counters;
use crate::endpoint_list::{EndpointList, ListSource, ListUpdate};
use crate::health_check::HealthCheckOutcome;
use crate::index_release::IndexRelease;
use crate::name_registry::NameRegistry;
use crate::pending_checks::PendingChecks;
use crate::session::{SessionCounts, Sessions};
use crate::table_sync::TableSync;
use crate::timers::Timers;
use crate::watch_reader::UnreadableWatch;
use runloom_controller::config::ChannelConfig;
use runloom_controller::{Command, Controller, EjectionReport, EndpointUpdate, Event, ServerId};
use std::time::Duration;

/// How often released indices and unresponsive streams are looked for.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// An acknowledgement is overdue after this many times the channel's longest delay.
const ACK_TIMEOUT_DELAYS: u32 = 3;
/// Time that a proxy may pause for, on top of the channel's delay.
const ACK_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// The longest channel delay that counts.
const MAX_CHANNEL_DELAY: Duration = Duration::from_secs(60);
/// Proxies where the settings give no number: as many as the simulator's wire can number.
const MAX_PROXIES: f64 = 65536.0;

/// Entries that may wait in the channel, where the settings give no number.
const DEFAULT_QUEUE_LIMIT: f64 = 4000.0;
/// Entries that leave the channel in a second, where the settings give no number.
const DEFAULT_ENTRIES_PER_SECOND: f64 = 1000.0;
/// The longest time from the channel to a proxy, where the settings give none.
const DEFAULT_MAX_TRANSIT_SECONDS: f64 = 2.0;

/// One planner on the platform.
///
/// A runtime gives it what happened (`handle_...`), calls [`Platform::step`], carries out the actions, and waits until
/// something happens or until [`Platform::next_timeout`].
pub struct Platform {
    pub(crate) controller: Controller,
    pub(crate) names: NameRegistry,
    pub(crate) sessions: Sessions,
    pub(crate) tables: TableSync,
    pub(crate) list: EndpointList,
    /// Changes of the list, which the controller takes before all other events of a step.
    pub(crate) list_events: Vec<Event>,
    pub(crate) events: Vec<Event>,
    pub(crate) actions: Vec<Action>,
    pub(crate) timers: Timers,
    pub(crate) pending_checks: PendingChecks,
    pub(crate) index_release: IndexRelease,
    /// An acknowledgement is overdue after this time.
    pub(crate) ack_timeout: Duration,
    wants_load: bool,
    last_maintenance: Duration,
    /// What was counted since the start.
    pub counters: Counters,
}

impl Platform {
    /// A planner that knows nothing but its bootstrap configuration.
    ///
    /// `epoch_ms` is the time zero of all `now` in Unix time, milliseconds; it lies before this start, as the starts of
    /// servers do. `max_connections` is how many connections there are file descriptors for.
    pub fn new(bootstrap: &BootstrapConfig, epoch_ms: u64, max_connections: usize) -> Platform {
        let settings = runloom_deployment_config::read(&bootstrap.settings);
        let config = settings.config;
        let proxy_limit = config.proxy_count.unwrap_or(MAX_PROXIES).clamp(0.0, MAX_PROXIES) as usize;
        let mut names = NameRegistry {
            zones: settings.zones,
            classes: settings.classes,
            load_metrics: settings.load_fields,
            proxy_limit,
            ..NameRegistry::default()
        };
        let tables = TableSync::new(config.classes.len(), settings.unlimited_rate);
        let wants_load = config.load_report.is_available;
        let ack_timeout = ack_timeout(&config.channel);
        let mut list = EndpointList::new(epoch_ms);
        let cached = list.apply(&bootstrap.cached_list, ListSource::Cache, &mut names, Duration::ZERO);
        let cached = cached.ok().flatten();
        let cached = cached.unwrap_or(ListUpdate { update: EndpointUpdate::Cached, records: vec![] });
        let start = Event::Start { seed: bootstrap.seed, config: Box::new(config) };
        Platform {
            controller: Controller::default(),
            names,
            sessions: Sessions::new(max_connections),
            tables,
            list,
            list_events: vec![start, list_event(cached)],
            events: Vec::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            pending_checks: PendingChecks::default(),
            index_release: IndexRelease::default(),
            ack_timeout,
            wants_load,
            last_maintenance: Duration::ZERO,
            counters: Counters::default(),
        }
    }

    /// Whether servers attach load reports to health checks.
    pub fn wants_load(&self) -> bool {
        self.wants_load
    }

    /// The metrics of a load report, in their order.
    pub fn load_metrics(&self) -> &[String] {
        &self.names.load_metrics
    }

    /// The revision that the watch asks from; 0 for the complete list.
    pub fn watch_revision(&self) -> u64 {
        self.list.watch_revision()
    }

    /// The revision up to which all changes of the endpoint list are held.
    pub fn list_revision(&self) -> u64 {
        self.list.complete_revision()
    }

    /// Whether the watch is to be asked again for what follows [`Platform::watch_revision`], since the last line leaves
    /// open what is missing; true once.
    #[must_use]
    pub fn take_must_reread_list(&mut self) -> bool {
        self.list.take_must_reread()
    }

    /// Whether no further connection can be accepted now.
    pub fn is_full(&self) -> bool {
        self.sessions.is_full()
    }

    /// How many connections there are.
    pub fn session_counts(&self) -> SessionCounts {
        self.sessions.counts()
    }

    /// Servers that have an index, including those that are gone and not yet released.
    pub fn server_count(&self) -> usize {
        self.names.servers.iter().count()
    }

    /// Takes a line of the endpoint watch; an empty one is a heartbeat.
    ///
    /// A line that cannot be read may hold a drain. It is an error as long as the changes since the held revision are
    /// to be asked for again; after a few attempts the line is skipped, since the lines behind it count too.
    pub fn handle_list_line(&mut self, line: &[u8], now: Duration) -> Result<(), UnreadableWatch> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let list = serde_json::from_slice(line).map_err(|_| UnreadableWatch);
        match list.and_then(|list| self.list.apply(&list, ListSource::Watch, &mut self.names, now)) {
            Ok(None) => Ok(()),
            Ok(Some(update)) => {
                self.counters.lists += 1;
                self.list_events.push(list_event(update));
                Ok(())
            }
            Err(UnreadableWatch) => self.list.note_unreadable_line(),
        }
    }

    /// Whether the complete list is to be asked for, since discovery has reset its revisions: it has sent older
    /// ones than the held one for longer than an agent may lag.
    #[must_use]
    pub fn reset_outdated_revision(&mut self, read_until: Duration) -> bool {
        self.list.reset_outdated_revision(read_until)
    }

    /// Takes the outcome of [`Action::CheckHealth`].
    pub fn handle_health_check(&mut self, ticket: u64, outcome: HealthCheckOutcome, elapsed: Duration) {
        if let Some(server) = self.pending_checks.finish(ticket) {
            self.events.push(Event::HealthChecked {
                server,
                result: outcome.result,
                elapsed,
                load: outcome.load,
            });
        }
    }

    /// Lets the controller decide on all that happened since the last step; returns what is to be done.
    ///
    /// All that peers had sent by `read_until` has been handled: no peer is late by what was not read.
    pub fn step(&mut self, now: Duration, read_until: Duration) -> Vec<Action> {
        for conn in self.sessions.overdue(read_until) {
            self.reject(conn);
        }
        while let Some(token) = self.timers.pop_due(now) {
            self.events.push(Event::TimerFired { token });
        }
        if now >= self.last_maintenance + MAINTENANCE_INTERVAL {
            self.last_maintenance = now;
            self.release_indices(now);
            self.close_unresponsive_streams(read_until);
        }
        let mut events = std::mem::take(&mut self.list_events);
        events.append(&mut self.events);
        if !events.is_empty() {
            let commands = self.controller.step(now, &events);
            self.carry_out(commands, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next step is due at the latest.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timeouts = [self.timers.next_timeout(), self.sessions.next_timeout(), self.list.next_timeout()];
        timeouts.into_iter().flatten().min()
    }

    pub(crate) fn carry_out(&mut self, commands: Vec<Command>, now: Duration) {
        for (proxy, parts) in self.tables.apply(&commands, now) {
            if let Some(conn) = self.sessions.stream(proxy) {
                let bytes = self.tables.encode(&parts, &self.names);
                self.counters.messages += 1;
                self.actions.push(Action::Write { conn, bytes });
            }
        }
        for command in commands {
            match command {
                Command::SetTimer { after, token } => self.timers.set(now + after, token),
                Command::LogEjection(report) => self.log_ejection(&report),
                Command::LogQueueShortage(shortage) => {
                    self.actions.push(Action::Log { text: shortage.log_line() });
                }
                Command::CheckHealth { server } => self.check_health(server),
                // The watch brings all changes unasked; planners have no channel to each other here.
                _ => {}
            }
        }
    }

    fn log_ejection(&mut self, report: &EjectionReport) {
        let name = self.names.servers.name(report.server).cloned();
        let name = name.unwrap_or_else(|| report.server.to_string());
        self.actions.push(Action::Log { text: report.log_line(&name) });
    }

    fn check_health(&mut self, server: ServerId) {
        let Some(address) = self.list.address(server) else { return };
        if let Some(ticket) = self.pending_checks.start(server) {
            self.actions.push(Action::CheckHealth { ticket, address });
        }
    }

    /// Closes streams whose acknowledgement is overdue: nothing else shows that a machine has vanished.
    fn close_unresponsive_streams(&mut self, read_until: Duration) {
        for proxy in self.tables.unresponsive(read_until, self.ack_timeout) {
            if let Some(conn) = self.sessions.stream(proxy) {
                self.counters.unresponsive += 1;
                self.actions.push(Action::Close { conn });
                self.handle_closed(conn);
            }
        }
    }

    /// Releases the indices of servers that nothing refers to any more, so that memory stays bounded however often
    /// servers are replaced.
    fn release_indices(&mut self, now: Duration) {
        let servers = self.names.servers.iter().map(|(_, server)| server);
        let unused: Vec<ServerId> = servers.filter(|server| self.is_unused(*server)).collect();
        for server in self.index_release.take_expired(&unused, now) {
            self.names.servers.release(server);
            self.list.release(server);
            self.tables.release(server);
            self.events.push(Event::ServerReleased { server });
        }
    }

    fn is_unused(&self, server: ServerId) -> bool {
        // A list that the controller has yet to take in may name the server again.
        !self.list.is_listed(server)
            && self.controller.is_unused(server)
            && !self.tables.has_entry_of(server)
            && !self.pending_checks.contains(server)
    }
}

fn list_event(list: ListUpdate) -> Event {
    Event::EndpointsListed { update: list.update, records: list.records }
}

/// After which time an acknowledgement is overdue: some times what the channel's full queue and its longest transit
/// take, and a margin.
fn ack_timeout(channel: &ChannelConfig) -> Duration {
    let queue_limit = channel.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT);
    let entries_per_second = channel.entries_per_second.unwrap_or(DEFAULT_ENTRIES_PER_SECOND);
    let queue_seconds = queue_limit / entries_per_second.max(1.0);
    let transit_seconds = channel.max_transit_seconds.unwrap_or(DEFAULT_MAX_TRANSIT_SECONDS);
    let delay = Duration::try_from_secs_f64(queue_seconds + transit_seconds).unwrap_or(ACK_TIMEOUT_MARGIN);
    delay.min(MAX_CHANNEL_DELAY) * ACK_TIMEOUT_DELAYS + ACK_TIMEOUT_MARGIN
}
