//! Checks the five safety rules against what was observed at the sockets: requests at servers, effects by key, updates
//! at proxies, and what planners acknowledged to the feed and the operators.
//!
//! 1. A connected proxy lacks table entries for a traffic class at most for a grace period, while a warm server is
//!    listed.
//! 2. A request that must not run twice takes effect at most once.
//! 3. Proxies stop sending to a server within the grace period after it was drained or removed from the endpoint list.
//! 4. A cold server whose start has been known to a planner for the grace period is not overloaded.
//! 5. The update channel stays within its limits of queued entries and of messages to each proxy.

use crate::load_generator::CLASSES;
use crate::management_clients::{Notification, NotifiedState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The window in which the messages to one proxy are limited.
const MESSAGE_WINDOW: Duration = Duration::from_secs(10);

/// The state of a proxy at one point in time.
#[derive(Debug, Clone)]
pub struct ProxyObservation {
    /// When it was observed.
    pub at: Duration,
    /// The proxy's index.
    pub proxy: usize,
    /// When its connection to a planner was made; `None` while it is not connected.
    pub connected_since: Option<Duration>,
    /// Traffic classes, by index, whose table has no entry.
    pub classes_without_entries: BTreeSet<usize>,
}

/// A proxy's connection to a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerConnection {
    /// When it was made.
    pub since: Duration,
    /// The planner's index.
    pub planner: usize,
}

/// A request that arrived at a server.
#[derive(Debug, Clone)]
pub struct ServerArrival {
    /// When it arrived.
    pub at: Duration,
    /// The server's name.
    pub server: String,
    /// The index of the proxy that sent it.
    pub proxy: usize,
    /// That proxy's connection to a planner at the time; `None` if it had none.
    pub connection: Option<PlannerConnection>,
}

/// A cold server that failed because it received too many requests.
#[derive(Debug, Clone)]
pub struct OverloadedServer {
    /// The server's name.
    pub server: String,
    /// When it failed.
    pub failed_at: Duration,
    /// When its process had started.
    pub started_at: Duration,
}

/// A span of time, both ends included.
#[derive(Debug, Clone, Copy)]
pub struct TimeRange {
    /// The start.
    pub from: Duration,
    /// The end.
    pub to: Duration,
}

impl TimeRange {
    fn contains(&self, at: Duration) -> bool {
        self.from <= at && at <= self.to
    }
}

/// What was observed during a scenario. Times count from its start.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// The states of proxies, in order of time.
    pub proxies: Vec<ProxyObservation>,
    /// Requests that arrived at servers.
    pub arrivals: Vec<ServerArrival>,
    /// What planners were told about servers, in order of time.
    pub notifications: Vec<Notification>,
    /// When every planner listed a ready and warm server.
    pub warm_server_listed: Vec<TimeRange>,
    /// Number of keys that took effect more than once, among those of requests that must not run twice.
    pub duplicated_effects: usize,
    /// Servers that received too many requests while cold.
    pub overloaded_servers: Vec<OverloadedServer>,
    /// Arrival times of the messages at each proxy, by proxy index.
    pub messages: BTreeMap<usize, Vec<Duration>>,
    /// The most table entries that were queued at a planner.
    pub max_queued_entries: u64,
}

/// The limits that the rules allow.
#[derive(Debug, Clone)]
pub struct RuleLimits {
    /// Time for which a connected proxy may have no table entry for a class.
    pub empty_table_grace_period: Duration,
    /// Time for which proxies may still send to a server after it was drained.
    pub drain_grace_period: Duration,
    /// Whether rule 3 holds for draining servers only; if set, a removal from the endpoint list does not count.
    pub only_draining_binds: bool,
    /// Table entries that may be queued at a planner.
    pub max_queued_entries: u64,
    /// Messages that one proxy may receive within ten seconds; `None` for no limit.
    pub max_messages: Option<usize>,
}

/// Returns all violations, one sentence each, beginning with the rule's number.
#[must_use]
pub fn find_violations(observations: &Observations, limits: &RuleLimits) -> Vec<String> {
    let mut violations = check_empty_tables(observations, limits);
    violations.extend(check_duplicated_effects(observations));
    violations.extend(check_drains(observations, limits));
    violations.extend(check_overload(observations, limits));
    violations.extend(check_queued_entries(observations, limits));
    violations.extend(check_message_rate(observations, limits));
    violations
}

/// Rule 1: no connected proxy lacks table entries for a class for longer than the grace period while a warm server is
/// listed.
fn check_empty_tables(observations: &Observations, limits: &RuleLimits) -> Vec<String> {
    let mut violations = Vec::new();
    let mut empty_since: BTreeMap<(usize, usize), Duration> = BTreeMap::new();
    let mut reported: BTreeSet<(usize, usize)> = BTreeSet::new();
    for observation in &observations.proxies {
        let is_listed = observations.warm_server_listed.iter().any(|range| range.contains(observation.at));
        let is_checked = is_listed && observation.connected_since.is_some();
        for class in 0..CLASSES.len() {
            let key = (observation.proxy, class);
            if !is_checked || !observation.classes_without_entries.contains(&class) {
                empty_since.remove(&key);
                continue;
            }
            let since = *empty_since.entry(key).or_insert(observation.at);
            if observation.at > since + limits.empty_table_grace_period && reported.insert(key) {
                let seconds = since.as_secs_f64();
                violations.push(format!(
                    "rule 1: the table of f{} had no entry for class {class} from {seconds:.1} s on",
                    observation.proxy
                ));
            }
        }
    }
    violations
}

/// Rule 2: a request that must not run twice takes effect at most once.
fn check_duplicated_effects(observations: &Observations) -> Option<String> {
    let count = observations.duplicated_effects;
    (count > 0).then(|| format!("rule 2: {count} request keys took effect more than once"))
}

/// Rule 3: connected proxies do not send to a server that was drained or removed, once the grace period has passed
/// since their planner was told of it or since they connected, whichever was later.
fn check_drains(observations: &Observations, limits: &RuleLimits) -> Vec<String> {
    let mut violations = Vec::new();
    let mut reported: BTreeSet<&str> = BTreeSet::new();
    for arrival in &observations.arrivals {
        let Some(connection) = arrival.connection else { continue };
        let Some(drain) = binding_drain(observations, limits, arrival, connection.planner) else { continue };
        let allowed_until = drain.at.max(connection.since) + limits.drain_grace_period;
        if arrival.at > allowed_until && reported.insert(&arrival.server) {
            violations.push(format!(
                "rule 3: f{} sent a request to {} at {:.1} s; that server was {} since {:.1} s",
                arrival.proxy,
                arrival.server,
                arrival.at.as_secs_f64(),
                drain.state,
                drain.at.as_secs_f64()
            ));
        }
    }
    violations
}

/// The notification by which the arrival's server was out of service for a planner at that time; `None` if it was in
/// service. The latest notifications of the feed and of the operators each suffice; the earlier of them is returned.
fn binding_drain<'a>(
    observations: &'a Observations,
    limits: &RuleLimits,
    arrival: &ServerArrival,
    planner: usize,
) -> Option<&'a Notification> {
    let is_known =
        |n: &&Notification| n.planner == planner && n.server == arrival.server && n.at <= arrival.at;
    let known: Vec<&Notification> = observations.notifications.iter().filter(is_known).collect();
    let last_by = |is_by_operator: bool| known.iter().rfind(|n| n.is_by_operator == is_by_operator).copied();
    let is_binding = |n: &&Notification| match n.state {
        NotifiedState::Ready => false,
        NotifiedState::Draining => true,
        NotifiedState::Removed => !limits.only_draining_binds,
    };
    [last_by(false), last_by(true)].into_iter().flatten().filter(is_binding).min_by_key(|n| n.at)
}

/// Rule 4: no cold server is overloaded once a planner has been told of its start for longer than
/// [`RuleLimits::drain_grace_period`].
fn check_overload(observations: &Observations, limits: &RuleLimits) -> Vec<String> {
    let was_known = |overload: &&OverloadedServer| {
        observations.notifications.iter().any(|n| {
            n.server == overload.server
                && n.at >= overload.started_at
                && n.at + limits.drain_grace_period < overload.failed_at
        })
    };
    let describe = |overload: &OverloadedServer| {
        let seconds = overload.failed_at.as_secs_f64();
        format!("rule 4: {} was overloaded while cold at {seconds:.1} s", overload.server)
    };
    observations.overloaded_servers.iter().filter(was_known).map(describe).collect()
}

/// Rule 5, first part: the queue of a planner's channel stays within its limit.
fn check_queued_entries(observations: &Observations, limits: &RuleLimits) -> Option<String> {
    let (queued, limit) = (observations.max_queued_entries, limits.max_queued_entries);
    (queued > limit).then(|| format!("rule 5: {queued} table entries were queued; the limit is {limit}"))
}

/// Rule 5, second part: no proxy receives more messages than the limit within [`MESSAGE_WINDOW`].
fn check_message_rate(observations: &Observations, limits: &RuleLimits) -> Vec<String> {
    let Some(limit) = limits.max_messages else { return Vec::new() };
    let mut violations = Vec::new();
    for (proxy, times) in &observations.messages {
        let exceeded = times.windows(limit + 1).find(|window| window[limit] < window[0] + MESSAGE_WINDOW);
        if let Some(window) = exceeded {
            let seconds = window[0].as_secs_f64();
            violations.push(format!(
                "rule 5: f{proxy} received more than {limit} messages within ten seconds, from {seconds:.1} s on"
            ));
        }
    }
    violations
}
