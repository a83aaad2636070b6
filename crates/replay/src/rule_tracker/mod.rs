//! Tracks the tables in force at each proxy, from the messages that were sent and acknowledged, and checks which rules
//! these tables violate:
//!
//! - Rule 1: no class is without an open server for longer than a grace period while a warm server exists.
//! - Rule 3: the tables drop a closed server within the drain grace period.
//! - Rule 4: the tables overload no cold server.
//! - Rule 5: the planner keeps to the limits of the update channel.
//!
//! Rule 2 is about requests that take effect more than once, which an event log does not show.

mod cold_servers;
mod proxy_state;

use cold_servers::ColdServerLoad;
use proxy_state::{InFlightMessage, ProxyState};
use runloom_event_log::entry::{RecordedArrivals, RecordedOutcome, RecordedServer};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use runloom_model::schema_derivation::derive_schema;
use runloom_model::{Schema, PROXY_XSD};
use runloom_proxy::RouteTables;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between two checks of the tables, short enough for grace periods of seconds and for reports twice a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Lower limit of a report's window in seconds, which is a divisor.
const MIN_REPORT_SECONDS: f64 = 0.1;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Lower limit of a server's weight, which is a divisor.
const MIN_WEIGHT: f64 = 1e-9;

/// Servers as the endpoint list has them: open to requests, or closed.
#[derive(Default)]
struct ListedServers {
    /// Servers that drain or were removed, with the time since when.
    closed: BTreeMap<String, Duration>,
    /// Servers that take requests, with their start in milliseconds since 1970. If the start is unknown (`None`), the
    /// server counts as warm.
    open: BTreeMap<String, Option<u64>>,
    weights: BTreeMap<String, f64>,
}

impl ListedServers {
    fn update(&mut self, now: Duration, server: &RecordedServer) {
        self.weights.insert(server.name.clone(), server.weight);
        if server.is_draining {
            self.close(now, &server.name);
        } else {
            self.closed.remove(&server.name);
            self.open.insert(server.name.clone(), server.started_ms);
        }
    }

    fn close(&mut self, now: Duration, server: &str) {
        self.closed.entry(server.to_string()).or_insert(now);
        self.open.remove(server);
    }

    fn weight(&self, server: &str) -> f64 {
        self.weights.get(server).copied().unwrap_or(1.0).max(MIN_WEIGHT)
    }
}

/// Rates from the latest report of each proxy.
#[derive(Default)]
struct ReportedRates {
    /// Requests a second, by proxy and class.
    arrivals: BTreeMap<(String, String), f64>,
    /// Successful attempts a second, by server and proxy.
    successes: BTreeMap<(String, String), f64>,
}

impl ReportedRates {
    fn update(
        &mut self,
        proxy: &str,
        window_us: u64,
        outcomes: &[RecordedOutcome],
        arrivals: &[RecordedArrivals],
    ) {
        let seconds = (window_us as f64 / MICROSECONDS_PER_SECOND).max(MIN_REPORT_SECONDS);
        for class in arrivals {
            let rate = class.requests as f64 / seconds;
            self.arrivals.insert((proxy.to_string(), class.class.clone()), rate);
        }
        for outcome in outcomes {
            let rate = outcome.attempts.saturating_sub(outcome.failures) as f64 / seconds;
            self.successes.insert((outcome.server.clone(), proxy.to_string()), rate);
        }
    }

    fn arrival_rate(&self, proxy: &str, class: &str) -> f64 {
        self.arrivals.get(&(proxy.to_string(), class.to_string())).copied().unwrap_or(0.0)
    }

    /// Successful attempts a second of all proxies at a server.
    fn success_rate(&self, server: &str) -> f64 {
        let from = (server.to_string(), String::new());
        let of_server = self.successes.range(from..).take_while(|((name, _), _)| name == server);
        of_server.map(|(_, rate)| rate).sum::<f64>()
    }
}

/// Tracks the tables in force during a replay and collects the violations of rules 1, 3, 4 and 5.
pub struct RuleTracker {
    schema: Schema,
    fleet: Fleet,
    /// The planner's start in milliseconds since 1970.
    epoch_ms: u64,
    proxies: BTreeMap<String, ProxyState>,
    servers: ListedServers,
    rates: ReportedRates,
    cold_servers: ColdServerLoad,
    checked_at: Duration,
    violations: BTreeSet<String>,
    /// The most table entries that were in flight to all proxies at a time, with the overhead of their messages.
    pub max_queued_entries: u64,
    /// Messages sent so far.
    pub messages: u64,
    /// Table entries in these messages.
    pub entries: u64,
}

impl RuleTracker {
    /// A tracker without proxies and servers. `epoch_ms` is the planner's start in milliseconds since 1970.
    pub fn new(fleet: Fleet, epoch_ms: u64) -> RuleTracker {
        RuleTracker {
            schema: Schema::root(derive_schema(PROXY_XSD, &["tables"]).unwrap_or_default()),
            fleet,
            epoch_ms,
            proxies: BTreeMap::new(),
            servers: ListedServers::default(),
            rates: ReportedRates::default(),
            cold_servers: ColdServerLoad::default(),
            checked_at: Duration::ZERO,
            violations: BTreeSet::new(),
            max_queued_entries: 0,
            messages: 0,
            entries: 0,
        }
    }

    /// The violations so far, each text once, sorted.
    pub fn violations(&self) -> Vec<String> {
        self.violations.iter().cloned().collect()
    }

    /// The tables in force at a proxy; `None` if it is unknown or has no tables of a planner.
    pub fn tables(&self, proxy: &str) -> Option<&RouteTables> {
        self.proxies.get(proxy).map(|state| &state.tables).filter(|tables| tables.is_from_planner())
    }

    /// Handles the events that are not the planner's own: connections, endpoint lists and reports. Others are ignored.
    pub fn handle_event(&mut self, entry: &Entry) {
        let now = Duration::from_micros(entry.at_us);
        match &entry.event {
            RecordedEvent::ProxyConnected { proxy, .. } => self.connect_proxy(now, proxy),
            RecordedEvent::ProxyDisconnected { proxy } => {
                if let Some(state) = self.proxies.get_mut(proxy) {
                    state.disconnect();
                }
            }
            RecordedEvent::EndpointsListed { servers, removed, .. } => {
                servers.iter().for_each(|server| self.servers.update(now, server));
                for server in removed.iter().filter(|_| !self.fleet.only_draining_binds) {
                    self.servers.close(now, server);
                }
            }
            RecordedEvent::Report { proxy, window_us, outcomes, arrivals } => {
                self.rates.update(proxy, *window_us, outcomes, arrivals)
            }
            _ => {}
        }
    }

    /// A proxy that reconnects keeps the tables that it was seen to acknowledge.
    fn connect_proxy(&mut self, now: Duration, proxy: &str) {
        let state = match self.proxies.remove(proxy) {
            Some(previous) => previous.reconnected(now),
            None => ProxyState::connected(now),
        };
        self.proxies.insert(proxy.to_string(), state);
    }

    /// Records that a message was sent to a proxy, and checks rule 5, the limits of the update channel.
    pub fn record_sent(&mut self, now: Duration, proxy: &str, number: u64, text: &str, entries: u32) {
        self.messages += 1;
        self.entries += u64::from(entries);
        let channel = &self.fleet.channel;
        let Some(state) = self.proxies.get_mut(proxy) else { return };
        state.in_flight.push_back(InFlightMessage { number, text: text.to_string(), entries });
        let recent_messages = state.count_message(now, channel.message_window);
        if channel.message_limit > 0.0 && recent_messages as f64 > channel.message_limit {
            self.violations.insert("rule 5: too many messages to one proxy".into());
        }
        let overhead = channel.message_overhead as u64;
        let in_flight = self.proxies.values().flat_map(|state| &state.in_flight);
        let queued = in_flight.map(|message| u64::from(message.entries) + overhead).sum();
        self.max_queued_entries = self.max_queued_entries.max(queued);
        if queued as f64 > channel.queue_limit {
            self.violations.insert("rule 5: more entries were queued than the limit allows".into());
        }
    }

    /// Records that a proxy acknowledged a message: it and all before it are in force there.
    pub fn record_acknowledged(&mut self, proxy: &str, number: u64) {
        if let Some(state) = self.proxies.get_mut(proxy) {
            state.acknowledge(&self.schema, number);
        }
    }

    /// Checks rules 1, 3 and 4 for all tables in force, unless the last check was less than a check interval ago.
    pub fn check_tables(&mut self, now: Duration) {
        if now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.check_cold_servers(now);
        let has_warm_server = self.has_warm_server(now);
        for (name, state) in &mut self.proxies {
            if state.connected_at <= now && state.tables.is_from_planner() {
                let violations = state.check(name, now, &self.fleet, &self.servers, has_warm_server);
                self.violations.extend(violations);
            }
        }
    }

    fn has_warm_server(&self, now: Duration) -> bool {
        let wall_ms = self.epoch_ms + now.as_millis() as u64;
        let warm_after_ms = self.fleet.warm_up.as_millis() as u64;
        let is_warm = |started_ms: &Option<u64>| {
            started_ms.is_none_or(|started_ms| wall_ms.saturating_sub(started_ms) >= warm_after_ms)
        };
        self.servers.open.values().any(is_warm)
    }

    /// Requests a second that the tables in force send to a server.
    fn request_rate(&self, server: &str) -> f64 {
        let mut total = 0.0;
        for (proxy, state) in &self.proxies {
            for class in &self.fleet.classes {
                let share = state.share_of(&class.name, server);
                if share > 0.0 {
                    total += share * self.rates.arrival_rate(proxy, &class.name);
                }
            }
        }
        total
    }

    /// Each server's share (0 to 1) of the tables in force; all proxies and classes count the same.
    pub fn server_shares(&self) -> BTreeMap<String, f64> {
        let mut shares: BTreeMap<String, f64> = BTreeMap::new();
        let mut table_count = 0.0;
        for state in self.proxies.values().filter(|state| state.tables.is_from_planner()) {
            for class in &self.fleet.classes {
                let entries = state.tables.entries(&class.name);
                let weights: f64 = entries.iter().map(|entry| entry.weight).sum();
                table_count += if entries.is_empty() { 0.0 } else { 1.0 };
                for entry in entries {
                    *shares.entry(entry.server).or_default() += entry.weight / weights;
                }
            }
        }
        shares.values_mut().for_each(|share| *share /= f64::max(table_count, 1.0));
        shares
    }
}
