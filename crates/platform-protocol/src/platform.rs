//! The core of a planner on the platform: collects events, steps the controller and turns its commands into actions.

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
use crate::watch_reader::MalformedWatchData;
use runloom_controller::config::ChannelConfig;
use runloom_controller::{Command, Controller, EjectionReport, EndpointUpdate, Event, ServerId};
use std::time::Duration;

/// Interval between two checks for unused server indices and unresponsive streams.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Multiple of the channel's longest delay after which an acknowledgement is overdue.
const ACK_TIMEOUT_DELAYS: u32 = 3;
/// Added to the acknowledgement timeout: a proxy may pause for this long.
const ACK_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Upper bound of the channel delay that the acknowledgement timeout is computed from.
const MAX_CHANNEL_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of proxies, and the default where the settings give none: the protocol of the simulator, which has
/// the same settings, can number no more.
const MAX_PROXIES: f64 = 65536.0;

/// Default for the number of entries that may wait in the channel.
const DEFAULT_QUEUE_LIMIT: f64 = 4000.0;
/// Default for the number of entries that leave the channel per second.
const DEFAULT_ENTRIES_PER_SECOND: f64 = 1000.0;
/// Default for the longest transit time from the channel to a proxy.
const DEFAULT_MAX_TRANSIT_SECONDS: f64 = 2.0;

/// The core of one planner on the platform.
///
/// A runtime reports what happened (`handle_...`), calls [`PlatformPlanner::step`], carries out the actions, and waits
/// until something happens or until [`PlatformPlanner::next_timeout`].
pub struct PlatformPlanner {
    pub(crate) controller: Controller,
    pub(crate) names: NameRegistry,
    pub(crate) sessions: Sessions,
    pub(crate) tables: TableSync,
    pub(crate) list: EndpointList,
    /// The controller's start and the list updates, which it handles before all other events of a step.
    pub(crate) list_events: Vec<Event>,
    pub(crate) events: Vec<Event>,
    pub(crate) actions: Vec<Action>,
    pub(crate) timers: Timers,
    pub(crate) pending_checks: PendingChecks,
    pub(crate) index_release: IndexRelease,
    /// Time after which an acknowledgement is overdue.
    pub(crate) ack_timeout: Duration,
    wants_load: bool,
    last_maintenance: Duration,
    /// Counters since the start, for the log.
    pub counters: Counters,
}

impl PlatformPlanner {
    /// A planner in its initial state, with the cached endpoint list of the bootstrap file.
    ///
    /// `epoch_ms` is the Unix time, in milliseconds, of time zero of all `now` arguments. It lies before the planner's
    /// start, so that earlier starts of servers have a time too. `max_connections` is the number of connections that
    /// the file descriptors allow.
    pub fn new(bootstrap: &BootstrapConfig, epoch_ms: u64, max_connections: usize) -> PlatformPlanner {
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
        PlatformPlanner {
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

    /// Whether health checks request a load report.
    pub fn wants_load(&self) -> bool {
        self.wants_load
    }

    /// Names of the metrics of a load report, in the order in which the controller takes their values.
    pub fn load_metrics(&self) -> &[String] {
        &self.names.load_metrics
    }

    /// The revision since which the watch requests changes; 0 requests the complete list.
    pub fn watch_revision(&self) -> u64 {
        self.list.watch_revision()
    }

    /// The revision up to which all changes of the endpoint list were applied.
    pub fn list_revision(&self) -> u64 {
        self.list.complete_revision()
    }

    /// Whether the changes since [`PlatformPlanner::watch_revision`] have to be requested again, since a line had a
    /// malformed entry or a lagging agent caught up. Resets the flag.
    #[must_use]
    pub fn take_must_reread_list(&mut self) -> bool {
        self.list.take_must_reread()
    }

    /// Whether the connection limit is reached, so that no connection may be accepted now.
    pub fn is_full(&self) -> bool {
        self.sessions.is_full()
    }

    /// The number of connected proxies and of unidentified connections.
    pub fn session_counts(&self) -> SessionCounts {
        self.sessions.counts()
    }

    /// The number of servers that have an index, including removed ones whose index is not yet released.
    pub fn server_count(&self) -> usize {
        self.names.servers.iter().count()
    }

    /// Handles a line of the endpoint watch; an empty line is a heartbeat.
    ///
    /// A line that cannot be parsed may contain a drain: the result is an error, and the caller has to request the
    /// changes since the held revision again. After a few such errors in a row the line is skipped without one, so that
    /// it does not block the lines that follow.
    pub fn handle_list_line(&mut self, line: &[u8], now: Duration) -> Result<(), MalformedWatchData> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let list = serde_json::from_slice(line).map_err(|_| MalformedWatchData);
        match list.and_then(|list| self.list.apply(&list, ListSource::Watch, &mut self.names, now)) {
            Ok(None) => Ok(()),
            Ok(Some(update)) => {
                self.counters.list_updates += 1;
                self.list_events.push(list_event(update));
                Ok(())
            }
            Err(MalformedWatchData) => self.list.note_unreadable_line(),
        }
    }

    /// Resets the held revision if discovery has sent only older ones for longer than an agent may lag, and so must
    /// have restarted its numbering. Returns whether it did: the complete list has to be requested then.
    #[must_use]
    pub fn reset_outdated_revision(&mut self, read_until: Duration) -> bool {
        self.list.reset_outdated_revision(read_until)
    }

    /// Handles the outcome of an [`Action::CheckHealth`]; `elapsed` is the duration of the check.
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

    /// Steps the controller with all events since the last step and returns the resulting actions.
    ///
    /// All input that had arrived by `read_until` has been handled. Peers are timed out by this time rather than `now`,
    /// so that none is closed because of input that is yet to be read.
    pub fn step(&mut self, now: Duration, read_until: Duration) -> Vec<Action> {
        for conn in self.sessions.connections_to_close(read_until) {
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

    /// The time by which the next step is due; `None` if no timeout is pending.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timeouts = [self.timers.next_timeout(), self.sessions.next_timeout(), self.list.next_timeout()];
        timeouts.into_iter().flatten().min()
    }

    pub(crate) fn carry_out(&mut self, commands: Vec<Command>, now: Duration) {
        for (proxy, parts) in self.tables.apply(&commands, now) {
            if let Some(conn) = self.sessions.stream(proxy) {
                let bytes = self.tables.encode(&parts, &self.names);
                self.counters.updates_sent += 1;
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
                Command::LogDelayedRemovals(delay) => {
                    self.counters.delayed_removals += 1;
                    self.actions.push(Action::Log { text: delay.log_line() });
                }
                Command::CheckHealth { server } => self.check_health(server),
                // Table commands were applied above. The watch delivers changes without being asked, and planners on
                // the platform have no channel to each other.
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

    /// Closes streams whose acknowledgement is overdue: the only sign of a machine that disappeared without closing its
    /// connection.
    fn close_unresponsive_streams(&mut self, read_until: Duration) {
        for proxy in self.tables.unresponsive(read_until, self.ack_timeout) {
            if let Some(conn) = self.sessions.stream(proxy) {
                self.counters.unresponsive += 1;
                self.actions.push(Action::Close { conn });
                self.handle_closed(conn);
            }
        }
    }

    /// Releases the indices of servers that are no longer referenced, so that memory stays bounded however often
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
        // The list may already contain the server again while the controller has yet to handle that update.
        !self.list.is_listed(server)
            && self.controller.is_unused(server)
            && !self.tables.has_entry_of(server)
            && !self.pending_checks.contains(server)
    }
}

fn list_event(list: ListUpdate) -> Event {
    Event::EndpointsListed { update: list.update, records: list.records }
}

/// The time after which an acknowledgement is overdue: a multiple of the time to drain the channel's full queue plus
/// its longest transit time, and a margin.
fn ack_timeout(channel: &ChannelConfig) -> Duration {
    let queue_limit = channel.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT);
    let entries_per_second = channel.entries_per_second.unwrap_or(DEFAULT_ENTRIES_PER_SECOND);
    let queue_seconds = queue_limit / entries_per_second.max(1.0);
    let transit_seconds = channel.max_transit_seconds.unwrap_or(DEFAULT_MAX_TRANSIT_SECONDS);
    let delay = Duration::try_from_secs_f64(queue_seconds + transit_seconds).unwrap_or(ACK_TIMEOUT_MARGIN);
    delay.min(MAX_CHANNEL_DELAY) * ACK_TIMEOUT_DELAYS + ACK_TIMEOUT_MARGIN
}
