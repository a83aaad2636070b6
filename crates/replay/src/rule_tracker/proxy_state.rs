//! State of one proxy: the tables in force there, the messages in flight to it, and the rules about its tables.

use super::ListedServers;
use runloom_model::fleet::Fleet;
use runloom_model::Schema;
use runloom_netconf::edit::{apply, ErrorOption, Operation};
use runloom_netconf::tree::Element;
use runloom_proxy::route_tables::TableEntry;
use runloom_proxy::RouteTables;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A message that was sent and is not acknowledged yet.
pub(super) struct InFlightMessage {
    pub number: u64,
    pub text: String,
    /// Table entries in it.
    pub entries: u32,
}

/// State of one proxy, as the messages and acknowledgements show it.
pub(super) struct ProxyState {
    /// Time of the connection; [`Duration::MAX`] while the proxy is disconnected.
    pub connected_at: Duration,
    /// Its tables as a datastore, to which messages are applied as edits.
    data: Arc<Element>,
    pub tables: RouteTables,
    /// Messages that are not acknowledged yet, the oldest first.
    pub in_flight: VecDeque<InFlightMessage>,
    /// Classes whose table has no open server although a warm one exists, with the time since when.
    empty_since: BTreeMap<String, Duration>,
    /// Times of the messages within the window of the channel's message limit.
    recent_messages: VecDeque<Duration>,
}

impl ProxyState {
    /// The state of a proxy that connects for the first time.
    pub fn connected(now: Duration) -> ProxyState {
        ProxyState {
            connected_at: now,
            data: Arc::new(Element::new("", "data")),
            tables: RouteTables::default(),
            in_flight: VecDeque::new(),
            empty_since: BTreeMap::new(),
            recent_messages: VecDeque::new(),
        }
    }

    /// The state of a proxy that connects again: it keeps its tables.
    pub fn reconnected(self, now: Duration) -> ProxyState {
        ProxyState { data: self.data, tables: self.tables, ..ProxyState::connected(now) }
    }

    /// Records the end of the connection, with which the messages in flight are lost.
    pub fn disconnect(&mut self) {
        self.connected_at = Duration::MAX;
        self.in_flight.clear();
    }

    /// Counts a message, and returns how many there were within the last `window`.
    pub fn count_message(&mut self, now: Duration, window: Duration) -> usize {
        self.recent_messages.push_back(now);
        while self.recent_messages.front().is_some_and(|at| *at + window < now) {
            self.recent_messages.pop_front();
        }
        self.recent_messages.len()
    }

    /// Applies the messages in flight up to a number.
    pub fn acknowledge(&mut self, schema: &Schema, number: u64) {
        while self.in_flight.front().is_some_and(|message| message.number <= number) {
            let Some(message) = self.in_flight.pop_front() else { break };
            self.apply(schema, &message.text);
        }
        if let Some(Ok(tables)) = self.data.child("tables").map(RouteTables::read) {
            self.tables = tables;
        }
    }

    fn apply(&mut self, schema: &Schema, text: &str) {
        let Ok(edit) = Element::parse(text) else { return };
        let Some(config) = edit.child("config") else { return };
        let applied = apply(schema, &self.data, config, Operation::Merge, ErrorOption::StopOnError);
        if applied.errors.is_empty() {
            self.data = applied.tree;
        }
    }

    /// The share (0 to 1) of a class's requests that a server gets.
    pub fn share_of(&self, class: &str, server: &str) -> f64 {
        let entries = self.tables.entries(class);
        let weights: f64 = entries.iter().map(|entry| entry.weight).sum();
        let entry = entries.iter().find(|entry| entry.server == server);
        entry.map_or(0.0, |entry| entry.weight / weights)
    }

    /// Checks rules 1 and 3 for a connected proxy, and returns the violations.
    pub fn check(
        &mut self,
        name: &str,
        now: Duration,
        fleet: &Fleet,
        servers: &ListedServers,
        has_warm_server: bool,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        for class in &fleet.classes {
            let entries = self.tables.entries(&class.name);
            let has_open_server = entries.iter().any(|entry| !servers.closed.contains_key(&entry.server));
            let is_empty = !has_open_server && has_warm_server;
            if self.is_empty_too_long(&class.name, is_empty, now, fleet.grace.max_unserved) {
                violations.push(format!("rule 1: {name} had no open server for class {}", class.name));
            }
            if let Some(entry) = self.find_overdue_entry(&entries, now, fleet.grace.drain, servers) {
                violations
                    .push(format!("rule 3: {name} kept {} beyond the drain grace period", entry.server));
            }
        }
        violations
    }

    /// Rule 1: whether a class has had no open server for longer than the grace period.
    fn is_empty_too_long(&mut self, class: &str, is_empty: bool, now: Duration, grace: Duration) -> bool {
        if !is_empty {
            self.empty_since.remove(class);
            return false;
        }
        let since = *self.empty_since.entry(class.to_string()).or_insert(now);
        now > since + grace
    }

    /// Rule 3: an entry of a server that closed more than the grace period ago; the period begins with the connection
    /// if that is later.
    fn find_overdue_entry<'a>(
        &self,
        entries: &'a [TableEntry],
        now: Duration,
        grace: Duration,
        servers: &ListedServers,
    ) -> Option<&'a TableEntry> {
        let is_overdue = |entry: &&TableEntry| {
            let closed_at = servers.closed.get(&entry.server);
            closed_at.is_some_and(|at| now > (*at).max(self.connected_at) + grace)
        };
        entries.iter().find(is_overdue)
    }
}
