//! The checks of a run, by what proxies and other stand-ins receive on their sockets.

use super::endpoint_list::{EndpointList, ServerPhase};
use super::lock;
use super::proxy_client::{ProxyHandle, ProxyState, CLASSES};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server must have left all tables within this time of the announcement that it drains or is deleted; `drainGraceS`
/// of the settings.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);
/// The longest that a proxy may have no server; `unservedMaxS` of the settings.
const UNSERVED_LIMIT: Duration = Duration::from_millis(2500);
/// What the protocol adds to both limits.
const SOCKET_SLACK: Duration = Duration::from_millis(300);
/// Time limits count from this long after a process's first answer at the earliest.
const START_SLACK: Duration = Duration::from_secs(1);
/// Time limits count from this long after SIGHUP at the earliest.
const SIGHUP_SLACK: Duration = Duration::from_secs(4);
/// Drain limits count from this long after the agent restarted its revision numbers at the earliest: for six seconds
/// the planner may take the agent for one that lags, and only then reconnects.
const RESET_SLACK: Duration = Duration::from_millis(7500);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Times of the current process.
#[derive(Debug, Default, Clone, Copy)]
pub struct ProcessTimes {
    /// When it first answered a `PING`; `None` while no process runs or while one is being ended.
    pub first_answer: Option<Instant>,
    /// When it was last sent SIGHUP.
    pub last_sighup_at: Option<Instant>,
}

/// Checks the proxies' tables against the endpoint list.
pub struct Checker {
    /// The true endpoint list.
    pub list: Arc<Mutex<EndpointList>>,
    /// The proxies.
    pub proxies: Vec<Arc<ProxyHandle>>,
    /// Times of the current process.
    pub process: Mutex<ProcessTimes>,
    /// Failed checks, each sentence once.
    pub violations: Mutex<BTreeSet<String>>,
    /// Since when a proxy has no server, by proxy and class.
    unserved_since: Mutex<BTreeMap<(usize, &'static str), Instant>>,
}

impl Checker {
    /// A checker without violations.
    pub fn new(list: Arc<Mutex<EndpointList>>, proxies: Vec<Arc<ProxyHandle>>) -> Checker {
        Checker {
            list,
            proxies,
            process: Mutex::default(),
            violations: Mutex::default(),
            unserved_since: Mutex::default(),
        }
    }

    /// Records a violation.
    pub fn add_violation(&self, violation: String) {
        lock(&self.violations).insert(violation);
    }

    /// Checks the proxies periodically until stopped.
    pub fn check_until_stopped(&self, is_stopped: &AtomicBool) {
        while !is_stopped.load(Ordering::Relaxed) {
            let process = *lock(&self.process);
            if let Some(limits_from) = limits_from(process) {
                self.check_proxies(limits_from);
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn check_proxies(&self, limits_from: Instant) {
        for (id, handle) in self.proxies.iter().enumerate() {
            let state = lock(&handle.state).clone();
            let Some(joined_at) = state.joined_at else { continue };
            let from = limits_from.max(joined_at);
            for class in CLASSES {
                self.check_drains(id, class, &state, from);
                self.check_served(id, class, &state, from);
            }
            for message in &state.unusable {
                self.add_violation(format!("proxy {id} received an unusable message: {message}"));
            }
        }
    }

    /// Checks that no proxy keeps a draining or deleted server beyond the limit, or receives one again after it
    /// acknowledged its removal.
    fn check_drains(&self, id: usize, class: &'static str, state: &ProxyState, from: Instant) {
        let list = lock(&self.list);
        let now = Instant::now();
        for server in state.tables.get(class).into_iter().flat_map(|table| table.keys()) {
            let Some(listed) = list.servers.get(server) else { continue };
            let Some(announced_at) = listed.announced_at.filter(|_| listed.phase != ServerPhase::Serving)
            else {
                continue;
            };
            let announced_at =
                list.revisions_reset_at.map_or(announced_at, |reset| announced_at.max(reset + RESET_SLACK));
            let phase = listed.phase;
            if now > announced_at.max(from) + DRAIN_LIMIT + SOCKET_SLACK {
                self.add_violation(format!(
                    "drain: proxy {id} still has {server} for {class}, which is {phase:?}"
                ));
            }
            if state.acknowledged_removals.contains(server) {
                self.add_violation(format!(
                    "drain: proxy {id} received {server} for {class} again, which is {phase:?}"
                ));
            }
        }
    }

    /// Checks that no proxy is without a server beyond the limit; some servers always serve.
    fn check_served(&self, id: usize, class: &'static str, state: &ProxyState, from: Instant) {
        let is_served = state.tables.get(class).is_some_and(|table| !table.is_empty());
        let now = Instant::now();
        let mut unserved = lock(&self.unserved_since);
        if is_served {
            unserved.remove(&(id, class));
            return;
        }
        let since = *unserved.entry((id, class)).or_insert(now);
        if now > since.max(from) + UNSERVED_LIMIT + SOCKET_SLACK {
            self.add_violation(format!("unserved: proxy {id} has no server for {class}"));
        }
    }

    /// Returns the first difference found, if not every proxy is connected and has exactly the serving servers.
    pub fn table_difference(&self) -> Option<String> {
        let expected: BTreeSet<String> = lock(&self.list).ids(ServerPhase::Serving).into_iter().collect();
        for (id, handle) in self.proxies.iter().enumerate() {
            let state = lock(&handle.state).clone();
            if state.joined_at.is_none() {
                return Some(format!("proxy {id} is not connected"));
            }
            for class in CLASSES {
                let held: BTreeSet<String> =
                    state.tables.get(class).into_iter().flatten().map(|(s, _)| s.clone()).collect();
                if held != expected {
                    let missing: Vec<_> = expected.difference(&held).collect();
                    let extra: Vec<_> = held.difference(&expected).collect();
                    return Some(format!(
                        "proxy {id}, {class}: {missing:?} are missing, {extra:?} are unexpected"
                    ));
                }
            }
        }
        None
    }
}

/// The time from which time limits count; `None` while no process is ready.
fn limits_from(process: ProcessTimes) -> Option<Instant> {
    let from = process.first_answer? + START_SLACK;
    Some(process.last_sighup_at.map_or(from, |at| from.max(at + SIGHUP_SLACK)))
}
