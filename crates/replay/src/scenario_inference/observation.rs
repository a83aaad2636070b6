//! Reads event logs into series and lists, with times in seconds since the planner's first start.

use super::time_series::{join_seconds, median, second_of, second_start, SecondsRange};
use super::MIN_FAULT_SECONDS;
use crate::{parse_fleet, seconds_of, ReplayError};
use runloom_event_log::entry::{RecordedOutcome, RecordedServer, SentUpdate};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use std::collections::{BTreeMap, BTreeSet};

/// A server is failing in a second in which more than this share of its attempts fails; a lower share may be the usual
/// errors of a traffic class.
const FAILING_SHARE: f64 = 0.5;
/// Successes that a second needs to show a server's latency.
const MIN_SUCCESSES: u64 = 3;
/// Requests surge at more than this many times their usual number a second.
const SURGE_FACTOR: f64 = 1.6;
/// Seconds before and after a surge in which it may still have an effect.
const SURGE_MARGIN_BEFORE: f64 = 1.0;
const SURGE_MARGIN_AFTER: f64 = 2.0;
/// A proxy is stalled if its oldest message in flight is unacknowledged for more than this many seconds.
const STALLED_SECONDS: f64 = 1.5;
/// A fleet counts as in force up to this many seconds before its recorded time, so that it covers an endpoint list of
/// the same time.
const FLEET_TIME_TOLERANCE: f64 = 0.01;

/// Numbers of health checks by result.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HealthCheckCounts {
    pub successes: u32,
    pub errors: u32,
    pub unanswered: u32,
}

impl HealthCheckCounts {
    /// Counts a result by its recorded number. From 0 on these are: success, error response, rejected, timeout,
    /// connection failed, inconclusive.
    fn record(&mut self, result: u8) {
        match result {
            0 => self.successes += 1,
            1 | 2 => self.errors += 1,
            _ => self.unanswered += 1,
        }
    }

    fn add(&mut self, other: &HealthCheckCounts) {
        self.successes += other.successes;
        self.errors += other.errors;
        self.unanswered += other.unanswered;
    }
}

/// Outcomes of attempts and health checks of one server within some time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerOutcomes {
    pub attempts: u64,
    pub failures: u64,
    /// Sum over all successful attempts, in microseconds.
    total_latency_us: f64,
    pub health_checks: HealthCheckCounts,
}

impl ServerOutcomes {
    /// Whether the server is failing by its attempts, or without any by its health checks.
    pub fn is_failing(&self) -> bool {
        if self.attempts > 0 {
            return self.failures as f64 > FAILING_SHARE * self.attempts as f64;
        }
        let checks = &self.health_checks;
        checks.errors + checks.unanswered > 0 && checks.successes == 0
    }

    pub fn successes(&self) -> u64 {
        self.attempts - self.failures.min(self.attempts)
    }

    /// Mean latency of the successes in microseconds; `None` with fewer than [`MIN_SUCCESSES`].
    pub fn mean_latency(&self) -> Option<f64> {
        let successes = self.successes();
        (successes >= MIN_SUCCESSES).then(|| self.total_latency_us / successes as f64)
    }

    /// Adds the counts of another second, without its latencies.
    pub fn add_counts(&mut self, other: &ServerOutcomes) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.health_checks.add(&other.health_checks);
    }
}

/// A server as the endpoint list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ListedServer {
    pub is_draining: bool,
    /// When its process started, in milliseconds since 1970; `None` if unknown.
    pub started_ms: Option<u64>,
}

/// A change of a server in the endpoint list.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listing {
    pub at: f64,
    /// `None` if the server was removed.
    pub server: Option<ListedServer>,
}

/// What the event logs show of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerObservation {
    pub zone: String,
    /// Outcomes by second.
    pub outcomes_by_second: BTreeMap<u64, ServerOutcomes>,
    /// Its changes in the endpoint list, in order.
    pub listings: Vec<Listing>,
}

/// A time with far more requests than usual.
#[derive(Debug, Clone, Copy)]
pub(super) struct Surge {
    pub range: SecondsRange,
    /// Request rate as a multiple of the usual one.
    pub factor: f64,
}

/// All that is read from the logs.
#[derive(Default)]
pub(super) struct LogObservation {
    pub servers: BTreeMap<String, ServerObservation>,
    /// Servers of the first endpoint list.
    pub first_servers: BTreeSet<String>,
    pub proxies: BTreeSet<String>,
    /// Requests by second, estimated without retries.
    requests: BTreeMap<u64, u64>,
    /// Times at which proxies disconnected.
    pub disconnects: Vec<f64>,
    /// Times from the last entry before a planner's end to its next start.
    pub planner_outages: Vec<SecondsRange>,
    /// Times in which a proxy was stalled.
    pub stalls: Vec<SecondsRange>,
    /// Fleets, with the time from when they were in force.
    pub fleets: Vec<(f64, Fleet)>,
    /// Reported utilizations (0 to 1) of servers, by second.
    pub utilizations: Vec<(u64, f64)>,
    pub surges: Vec<Surge>,
    /// Time of the last entry.
    pub end: f64,
    /// Whether no endpoint list has arrived since the planner's last start.
    awaits_first_list: bool,
}

/// Messages in flight to one proxy, with their numbers and the times when they were sent.
type InFlight = Vec<(u64, f64)>;

impl LogObservation {
    /// Reads the logs of one planner, one for each of its starts, in order.
    pub fn new(runs: &[Vec<Entry>]) -> Result<LogObservation, ReplayError> {
        let mut observation = LogObservation::default();
        let mut first_epoch = None;
        for entries in runs {
            let Some(RecordedEvent::PlannerStarted { epoch_ms, fleet, .. }) =
                entries.first().map(|entry| &entry.event)
            else {
                return Err(ReplayError::NoStart);
            };
            let epoch_offset_ms = epoch_ms.saturating_sub(*first_epoch.get_or_insert(*epoch_ms));
            let start = observation.begin_run(epoch_offset_ms as f64 / 1000.0, parse_fleet(fleet)?);
            observation.read_run(start, entries)?;
        }
        observation.find_surges();
        Ok(observation)
    }

    /// Records that the planner started, and returns the time of the start. If the wall clock was set back since the
    /// previous start, the new run begins where the previous one ended.
    fn begin_run(&mut self, wall_seconds: f64, fleet: Fleet) -> f64 {
        let start = wall_seconds.max(self.end);
        if self.end > 0.0 {
            self.planner_outages.push(SecondsRange { from: self.end, to: start });
        }
        self.fleets.push((start, fleet));
        self.awaits_first_list = true;
        start
    }

    /// Reads the log of one run, which begins at `start`.
    fn read_run(&mut self, start: f64, entries: &[Entry]) -> Result<(), ReplayError> {
        let mut in_flight: BTreeMap<&str, InFlight> = BTreeMap::new();
        for entry in entries {
            let at = start + seconds_of(entry);
            self.end = self.end.max(at);
            match &entry.event {
                RecordedEvent::Step { sent, .. } => {
                    for SentUpdate { proxy, number, .. } in sent {
                        in_flight.entry(proxy).or_default().push((*number, at));
                    }
                }
                RecordedEvent::UpdateAcknowledged { proxy, number } => {
                    self.record_acknowledged(at, *number, in_flight.entry(proxy).or_default());
                }
                RecordedEvent::ProxyDisconnected { proxy } => {
                    in_flight.remove(proxy.as_str());
                    self.disconnects.push(at);
                }
                event => self.read_event(at, event)?,
            }
        }
        Ok(())
    }

    fn record_acknowledged(&mut self, at: f64, number: u64, in_flight: &mut InFlight) {
        let oldest_sent_at = in_flight.first().map_or(at, |(_, sent_at)| *sent_at);
        in_flight.retain(|(pending, _)| *pending > number);
        if at > oldest_sent_at + STALLED_SECONDS {
            self.stalls.push(SecondsRange { from: oldest_sent_at, to: at });
        }
    }

    fn read_event(&mut self, at: f64, event: &RecordedEvent) -> Result<(), ReplayError> {
        match event {
            RecordedEvent::EndpointsListed { servers, removed, .. } => self.record_list(at, servers, removed),
            RecordedEvent::ProxyConnected { proxy, .. } => {
                self.proxies.insert(proxy.clone());
            }
            RecordedEvent::Reconfigured { fleet, .. } => self.fleets.push((at, parse_fleet(fleet)?)),
            RecordedEvent::HealthChecked { server, result, .. } => {
                self.outcomes_mut(server, at).health_checks.record(*result);
            }
            RecordedEvent::Report { outcomes, arrivals, .. } => {
                let requests: u64 = arrivals.iter().map(|class| class.requests).sum();
                let attempts: u64 = outcomes.iter().map(|outcome| outcome.attempts).sum();
                // Clients retry rejected requests, which count as arrivals again without an attempt: of two such
                // arrivals, one is taken to be a retry.
                let retries = requests.saturating_sub(attempts) / 2;
                *self.requests.entry(second_of(at)).or_default() += requests - retries;
                outcomes.iter().for_each(|outcome| self.record_outcome(at, outcome));
            }
            _ => {}
        }
        Ok(())
    }

    fn record_list(&mut self, at: f64, servers: &[RecordedServer], removed: &[String]) {
        servers.iter().for_each(|server| self.record_listed(at, server));
        let is_first_list = std::mem::take(&mut self.awaits_first_list);
        if is_first_list && self.first_servers.is_empty() {
            self.first_servers = servers.iter().map(|server| server.name.clone()).collect();
        }
        for name in removed {
            let server = self.servers.entry(name.clone()).or_default();
            server.listings.push(Listing { at, server: None });
        }
    }

    fn record_listed(&mut self, at: f64, listed: &RecordedServer) {
        let server = self.servers.entry(listed.name.clone()).or_default();
        server.zone = listed.zone.clone();
        let listed = Some(ListedServer { is_draining: listed.is_draining, started_ms: listed.started_ms });
        if server.listings.last().is_none_or(|last| last.server != listed) {
            server.listings.push(Listing { at, server: listed });
        }
    }

    fn outcomes_mut(&mut self, server: &str, at: f64) -> &mut ServerOutcomes {
        let server = self.servers.entry(server.to_string()).or_default();
        server.outcomes_by_second.entry(second_of(at)).or_default()
    }

    fn record_outcome(&mut self, at: f64, outcome: &RecordedOutcome) {
        // The second value of a load report is the utilization; NaN stands for a missing value.
        let utilization = outcome.load_bits.get(1).map(|bits| f64::from_bits(*bits));
        let utilization = utilization.filter(|utilization| utilization.is_finite());
        self.utilizations.extend(utilization.map(|utilization| (second_of(at), utilization)));
        let successes = outcome.attempts.saturating_sub(outcome.failures);
        let outcomes = self.outcomes_mut(&outcome.server, at);
        outcomes.attempts += outcome.attempts;
        outcomes.failures += outcome.failures;
        outcomes.total_latency_us += outcome.mean_latency_us as f64 * successes as f64;
    }

    /// Finds the times with far more requests than in the usual second, which is the median one.
    fn find_surges(&mut self) {
        let counts = || self.requests.values().map(|count| *count as f64);
        let median_count = median(counts().collect());
        // If surges took half of the time, the median second is in a surge. The usual second is then the median of those
        // with fewer requests.
        let lower_median = median(counts().filter(|count| *count < median_count).collect());
        let usual = if lower_median * SURGE_FACTOR < median_count { lower_median } else { median_count };
        let is_surging = |count: u64| count as f64 > SURGE_FACTOR * usual;
        let surging_seconds = self.requests.iter().filter(|(_, count)| is_surging(**count));
        let mut surges = vec![];
        for range in join_seconds(surging_seconds.map(|(second, _)| *second)) {
            if range.duration() >= MIN_FAULT_SECONDS && usual > 0.0 {
                let within = self.requests.range(range.whole_seconds());
                let count = median(within.map(|(_, count)| *count as f64).collect());
                // The factor is a request count until the requests outside of surges are known.
                surges.push(Surge { range, factor: count });
            }
        }
        self.surges = surges;
        let calm = self.calm_requests_per_second();
        self.surges.iter_mut().for_each(|surge| surge.factor /= calm.max(1.0));
    }

    /// Whether a time is in a surge, or so near that the surge may affect it.
    pub fn is_surging(&self, at: f64) -> bool {
        self.surges.iter().any(|surge| {
            surge.range.from - SURGE_MARGIN_BEFORE <= at && at < surge.range.to + SURGE_MARGIN_AFTER
        })
    }

    /// Requests in the median second outside of surges.
    pub fn calm_requests_per_second(&self) -> f64 {
        let calm = self.requests.iter().filter(|(second, _)| !self.is_surging(second_start(**second)));
        median(calm.map(|(_, count)| *count as f64).collect())
    }

    /// Whether the fleet in force at a time drains a server.
    pub fn is_drained_by_operator(&self, server: &str, at: f64) -> bool {
        let fleet = self.fleets.iter().rfind(|(from, _)| *from <= at + FLEET_TIME_TOLERANCE);
        fleet.is_some_and(|(_, fleet)| fleet.overrides.get(server).is_some_and(|entry| entry.is_draining))
    }
}
