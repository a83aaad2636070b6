//! An update while it is composed: the messages that it consists of, and the queue entries that they may use.
//!
//! A message costs its entries and a fixed overhead. Both are charged for the proxies that get the message, and for no
//! others: overhead reserved for all proxies could exceed the queue although the update itself fits.

use crate::event::ProxyId;
use crate::proxy::Proxy;
use std::collections::BTreeMap;

/// The share of the queue that ordinary changes may use. The rest stays free, since acknowledgements are delayed and a
/// slow channel is noticed late.
const REGULAR_QUEUE_SHARE: f64 = 0.5;
/// The share of the queue that urgent changes may use. While nothing else is in flight, it also holds for any one change.
const URGENT_QUEUE_SHARE: f64 = 0.75;

/// What a change is for, which decides how much of the queue it may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Weights, new entries, admissions and reassignments.
    Regular,
    /// First tables and removals: the time for which a proxy may be without a table, or may use an endpoint that is out of
    /// service, is limited.
    Urgent,
}

/// The messages of one update, and the use of the queue.
#[derive(Debug)]
pub(crate) struct UpdateDraft {
    queue_limit: f64,
    /// Cost of a message beyond its entries: the configured overhead, and the request for an acknowledgement.
    message_cost: f64,
    /// Entries in flight, those of this update included.
    used_entries: f64,
    /// The subset whose tables each proxy holds before this update; `None` for a proxy without any of this planner.
    held_subsets: Vec<Option<usize>>,
    /// The number of proxies that hold tables of each subset.
    holders: Vec<f64>,
    /// The entries that each holder of a subset's tables gets, by subset.
    changes: BTreeMap<usize, f64>,
    /// The entries of newly assigned tables.
    assignments: BTreeMap<ProxyId, f64>,
}

/// The subset whose tables a proxy holds; `None` for a proxy that holds none of this planner.
fn held_subset(proxy: &Proxy) -> Option<usize> {
    proxy.subset.filter(|_| proxy.is_connected && proxy.assigned.is_some())
}

impl UpdateDraft {
    /// An empty update, beside `queued_entries` that are in flight.
    pub fn new(
        queue_limit: f64,
        message_cost: f64,
        queued_entries: f64,
        subset_count: usize,
        proxies: &[Proxy],
    ) -> UpdateDraft {
        let held_subsets: Vec<Option<usize>> = proxies.iter().map(held_subset).collect();
        let mut holders = vec![0.0; subset_count];
        for subset in held_subsets.iter().flatten() {
            holders[*subset] += 1.0;
        }
        UpdateDraft {
            queue_limit,
            message_cost,
            used_entries: queued_entries,
            held_subsets,
            holders,
            changes: BTreeMap::new(),
            assignments: BTreeMap::new(),
        }
    }

    /// Whether the holders of the subset's tables get a message.
    pub fn is_changed(&self, subset: usize) -> bool {
        self.changes.contains_key(&subset)
    }

    /// Cost of `entries` more for each holder of the subset's tables, with the messages that they need.
    pub fn change_cost(&self, subset: usize, entries: f64) -> f64 {
        let message_cost = if self.is_changed(subset) { 0.0 } else { self.message_cost };
        self.holders[subset] * (entries + message_cost)
    }

    /// Cost of new tables of `entries` for a proxy, with the message if it gets none yet.
    pub fn assignment_cost(&self, proxy: ProxyId, entries: f64) -> f64 {
        entries + if self.held_changes(proxy).is_some() { 0.0 } else { self.message_cost }
    }

    /// The entries that a proxy gets for changes of the tables that it holds; `None` if none of them changes.
    fn held_changes(&self, proxy: ProxyId) -> Option<f64> {
        self.held_subsets[proxy].and_then(|subset| self.changes.get(&subset).copied())
    }

    /// Entries that changes of this priority may still use; negative if more are in flight.
    pub fn room(&self, priority: Priority) -> f64 {
        let is_idle = self.used_entries <= 0.0;
        let share = match priority {
            Priority::Regular if !is_idle => REGULAR_QUEUE_SHARE,
            Priority::Regular | Priority::Urgent => URGENT_QUEUE_SHARE,
        };
        self.queue_limit * share - self.used_entries
    }

    /// The most that one change may ever cost.
    pub fn max_cost(&self) -> f64 {
        self.queue_limit * URGENT_QUEUE_SHARE
    }

    /// Adds `entries` for each holder of the subset's tables.
    pub fn add_change(&mut self, subset: usize, entries: f64) {
        self.used_entries += self.change_cost(subset, entries);
        *self.changes.entry(subset).or_default() += entries;
    }

    /// Adds new tables of `entries` for a proxy.
    pub fn add_assignment(&mut self, proxy: ProxyId, entries: f64) {
        self.used_entries += self.assignment_cost(proxy, entries);
        self.assignments.insert(proxy, entries);
    }

    /// Whether any proxy gets a change of the tables that it holds.
    pub fn has_changes(&self) -> bool {
        self.changes.keys().any(|subset| self.holders[*subset] > 0.0)
    }

    /// The queue entries of each message, by recipient.
    pub fn into_messages(self) -> BTreeMap<ProxyId, f64> {
        let changed =
            (0..self.held_subsets.len()).filter_map(|proxy| Some((proxy, self.held_changes(proxy)?)));
        let mut messages: BTreeMap<ProxyId, f64> = changed.collect();
        for (proxy, entries) in &self.assignments {
            *messages.entry(*proxy).or_default() += entries;
        }
        messages.values_mut().for_each(|entries| *entries += self.message_cost);
        messages
    }
}
