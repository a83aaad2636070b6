//! The checks of a run, from what the stand-ins see on their sockets.

use super::endpoint_list::{EndpointList, Phase};
use super::lock;
use super::proxy_client::{ProxyHandle, ProxyState, CLASSES};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings' time to leave a draining server and to give a proxy a server, and what the protocol page adds to both.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);
const UNSERVED_LIMIT: Duration = Duration::from_millis(2500);
const SOCKET_SLACK: Duration = Duration::from_millis(300);
/// Time limits start no earlier than this after a process's first answer.
const START_SLACK: Duration = Duration::from_secs(1);
/// Time limits wait for this long after SIGHUP.
const HANGUP_SLACK: Duration = Duration::from_secs(4);
/// A planner may take an agent that counts its revisions from the beginning for one that lags, for six seconds; then it
/// dials again.
const RESET_SLACK: Duration = Duration::from_millis(7500);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Times of the present process.
#[derive(Debug, Default, Clone, Copy)]
pub struct ProcessTimes {
    /// When it first answered; `None` while there is none, or it is being ended.
    pub first_answer: Option<Instant>,
    /// When it last got SIGHUP.
    pub hung_up_at: Option<Instant>,
}

/// What the checks look at.
pub struct Observed {
    /// The true list.
    pub list: Arc<Mutex<EndpointList>>,
    /// The proxies.
    pub proxies: Vec<Arc<ProxyHandle>>,
    /// The present process.
    pub process: Mutex<ProcessTimes>,
    /// What was broken.
    pub violations: Mutex<BTreeSet<String>>,
    /// When a proxy was first seen without a server, by proxy and class.
    unserved_since: Mutex<BTreeMap<(usize, &'static str), Instant>>,
}

impl Observed {
    /// Nothing is broken yet.
    pub fn new(list: Arc<Mutex<EndpointList>>, proxies: Vec<Arc<ProxyHandle>>) -> Observed {
        Observed {
            list,
            proxies,
            process: Mutex::default(),
            violations: Mutex::default(),
            unserved_since: Mutex::default(),
        }
    }

    /// Notes what is broken.
    pub fn report(&self, violation: String) {
        lock(&self.violations).insert(violation);
    }

    /// Checks until stopped.
    pub fn watch(&self, is_stopped: &AtomicBool) {
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
                self.report(format!("proxy {id} was sent what it can't use: {message}"));
            }
        }
    }

    /// No proxy keeps a server that drains or is off the list beyond the grace.
    fn check_drains(&self, id: usize, class: &'static str, state: &ProxyState, from: Instant) {
        let list = lock(&self.list);
        let now = Instant::now();
        for server in state.tables.get(class).into_iter().flat_map(|table| table.keys()) {
            let Some(listed) = list.servers.get(server) else { continue };
            let Some(announced_at) = listed.announced_at.filter(|_| listed.phase != Phase::Serving) else {
                continue;
            };
            let announced_at =
                list.reset_at.map_or(announced_at, |reset| announced_at.max(reset + RESET_SLACK));
            let phase = listed.phase;
            if now > announced_at.max(from) + DRAIN_LIMIT + SOCKET_SLACK {
                self.report(format!("drain: proxy {id} still has {server} for {class}, which is {phase:?}"));
            }
            if state.acknowledged_removals.contains(server) {
                self.report(format!(
                    "drain: proxy {id} was given {server} for {class} again, which is {phase:?}"
                ));
            }
        }
    }

    /// No proxy is without a server while some serve.
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
            self.report(format!("unserved: proxy {id} has no server for {class}"));
        }
    }

    /// Whether every proxy is connected and has exactly the servers that serve; what differs otherwise.
    pub fn table_difference(&self) -> Option<String> {
        let expected: BTreeSet<String> = lock(&self.list).ids(Phase::Serving).into_iter().collect();
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
                        "proxy {id}, {class}: {missing:?} are missing, {extra:?} are too many"
                    ));
                }
            }
        }
        None
    }
}

/// From when on time limits run; `None` while there is no process to hold to them.
fn limits_from(process: ProcessTimes) -> Option<Instant> {
    let from = process.first_answer? + START_SLACK;
    Some(process.hung_up_at.map_or(from, |at| from.max(at + HANGUP_SLACK)))
}
