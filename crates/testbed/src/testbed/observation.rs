//! Dispatches events of the testbed's event loop, and observes proxies and servers.

use super::{Testbed, OBSERVATION_INTERVAL};
use crate::load_generator::CLASSES;
use crate::management_clients::NotifiedState;
use crate::planner_process::PlannerProcess;
use crate::rule_checker::{PlannerConnection, ProxyObservation, ServerArrival, TimeRange};
use runloom_event_loop::{CloseReason, IoEvent};
use runloom_versioned_publisher::{Topic, TopicKind, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Two observations of a listed warm server that are at most this many intervals apart count as one time range.
const MAX_OBSERVATION_GAP: u32 = 3;

/// When proxies opened their n-th stream to a planner, for one n.
#[derive(Debug, Clone, Copy)]
pub struct StreamGeneration {
    /// When the first proxy opened its n-th stream.
    pub first: Duration,
    /// When the last proxy opened its n-th stream.
    pub last: Duration,
    /// Number of proxies that opened an n-th stream.
    pub proxy_count: usize,
}

impl StreamGeneration {
    fn starting_at(now: Duration) -> StreamGeneration {
        StreamGeneration { first: now, last: now, proxy_count: 0 }
    }
}

impl Testbed {
    /// Registers a proxy as the owner of the connections that it opened or accepted.
    pub(super) fn register_connections(&mut self, proxy: usize) {
        for conn in self.proxies[proxy].runtime.take_opened_connections() {
            self.connection_owners.insert(conn, proxy);
        }
    }

    /// Passes an event to the component that owns its connection.
    pub(super) fn dispatch(&mut self, event: IoEvent) {
        let conn = match &event {
            IoEvent::Open { conn, listener, .. } => {
                let listener = listener.unwrap_or(*conn);
                if self.servers.owns(listener) {
                    return self.servers.handle_open(&mut self.event_loop, *conn, listener);
                }
                listener
            }
            IoEvent::Bytes { conn, .. } | IoEvent::Closed { conn, .. } => *conn,
            IoEvent::Signal(_) => return,
        };
        if let Some(proxy) = self.connection_owners.get(&conn).copied() {
            self.dispatch_to_proxy(proxy, event);
        } else if self.servers.owns(conn) {
            self.dispatch_to_servers(event);
        } else if self.clients.owns(conn) {
            self.dispatch_to_clients(event);
        }
    }

    fn dispatch_to_proxy(&mut self, proxy: usize, event: IoEvent) {
        if let IoEvent::Closed { conn, .. } = &event {
            self.connection_owners.remove(conn);
        }
        self.proxies[proxy].runtime.handle_event(&mut self.event_loop, event);
        self.register_connections(proxy);
    }

    fn dispatch_to_servers(&mut self, event: IoEvent) {
        match event {
            IoEvent::Bytes { conn, bytes } => {
                self.servers.handle_bytes(&mut self.event_loop, conn, &bytes, &mut self.rng);
                self.observe_arrivals();
            }
            IoEvent::Closed { conn, .. } => self.servers.handle_closed(conn),
            _ => {}
        }
    }

    fn dispatch_to_clients(&mut self, event: IoEvent) {
        match event {
            IoEvent::Bytes { conn, bytes } => self.clients.handle_bytes(&mut self.event_loop, conn, &bytes),
            IoEvent::Closed { conn, reason } if reason != CloseReason::Finished => {
                self.clients.handle_closed(&mut self.event_loop, conn);
            }
            _ => {}
        }
    }

    /// Records the requests that servers received, with the planner connection of the proxy that sent each.
    fn observe_arrivals(&mut self) {
        for server in &mut self.servers.all {
            for request in server.take_received() {
                let Some(proxy) = proxy_index(&request.proxy) else { continue };
                let at = request.at.saturating_sub(self.scenario_start);
                self.restart.record_request(at, &server.name);
                self.observations.arrivals.push(ServerArrival {
                    at,
                    server: server.name.clone(),
                    proxy,
                    connection: self.proxies.get(proxy).and_then(|observed| observed.connection),
                });
            }
        }
    }

    /// Records the updates that a proxy received.
    pub(super) fn observe_updates(&mut self, proxy: usize) {
        let now = self.now();
        for update in self.proxies[proxy].runtime.take_applied_updates() {
            self.entries_received += update.entries as u64;
            self.observations.messages.entry(proxy).or_default().push(now);
            if let Some(version) = update.version.filter(|(topic, _)| topic.kind == TopicKind::Weights) {
                self.record_update_lag(now, proxy, version);
            }
            self.restart.record_update(now, proxy, self.scenario.proxy_count);
        }
    }

    fn record_update_lag(&mut self, now: Duration, proxy: usize, version: (Topic, Version)) {
        let first = *self.first_received.entry(version).or_insert(now);
        let is_slow_reader = (proxy as f64) < self.slow_reader_share * self.scenario.proxy_count as f64;
        if !is_slow_reader {
            self.update_lag_us.saturating_record(now.saturating_sub(first).as_micros() as u64);
        }
    }

    /// Records whether a proxy opened a new stream, and which planner it is connected to.
    pub(super) fn observe_connection(&mut self, proxy: usize) {
        let now = self.now();
        let observed = &mut self.proxies[proxy];
        let streams = observed.runtime.session_count();
        if streams != observed.streams {
            observed.streams = streams;
            let generation =
                self.stream_generations.entry(streams).or_insert(StreamGeneration::starting_at(now));
            generation.last = now;
            generation.proxy_count += 1;
        }
        let planner = observed.runtime.connected_planner().and_then(|address| {
            let has_address =
                |p: &PlannerProcess| p.addresses.call_home == address || p.addresses.pubsub == address;
            self.planners.iter().position(has_address)
        });
        if planner != observed.connection.map(|connection| connection.planner) {
            observed.connection = planner.map(|planner| PlannerConnection { since: now, planner });
        }
    }

    /// Records the classes for which each proxy has no table entry, and whether all planners list a warm server.
    pub(super) fn observe_tables(&mut self, now: Duration) {
        if self.every_planner_lists_a_warm_server() {
            self.record_warm_server_listed(now);
        }
        for (proxy, observed) in self.proxies.iter().enumerate() {
            let tables = observed.runtime.proxy().tables();
            let is_empty = |class: &usize| tables.entries(CLASSES[*class].name).is_empty();
            self.observations.proxies.push(ProxyObservation {
                at: now,
                proxy,
                connected_since: observed.connection.map(|connection| connection.since),
                classes_without_entries: (0..CLASSES.len()).filter(is_empty).collect(),
            });
        }
    }

    /// Whether each planner lists a server as ready whose process runs at full capacity.
    fn every_planner_lists_a_warm_server(&self) -> bool {
        let notifications = self.management.notifications();
        let mut ready: BTreeMap<usize, BTreeSet<&str>> = BTreeMap::new();
        for notification in &notifications {
            let servers = ready.entry(notification.planner).or_default();
            if notification.state == NotifiedState::Ready {
                servers.insert(&notification.server);
            } else {
                servers.remove(notification.server.as_str());
            }
        }
        let now = self.event_loop.now();
        let lists_warm_server = |planner: usize| {
            let Some(ready) = ready.get(&planner) else { return false };
            let servers = self.servers.all.iter().enumerate();
            servers
                .into_iter()
                .any(|(id, s)| ready.contains(s.name.as_str()) && self.servers.is_warm(id, now))
        };
        (0..self.planners.len()).all(lists_warm_server)
    }

    /// Extends the last range of times to now, or starts a new one after a gap.
    fn record_warm_server_listed(&mut self, now: Duration) {
        let max_gap = MAX_OBSERVATION_GAP * OBSERVATION_INTERVAL;
        let ranges = &mut self.observations.warm_server_listed;
        match ranges.last_mut().filter(|range| now <= range.to + max_gap) {
            Some(range) => range.to = now,
            None => ranges.push(TimeRange { from: now, to: now }),
        }
    }
}

/// The index of a proxy from its name, `f` and the index; `None` for other names.
fn proxy_index(name: &str) -> Option<usize> {
    name.strip_prefix('f')?.parse().ok()
}
