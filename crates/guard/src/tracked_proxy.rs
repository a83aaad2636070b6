//! A connected proxy: its request rates, its tables, and the messages on their way to it.

use runloom_controller::{ClassId, ProxyId, TableId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Messages to one proxy that may wait for acknowledgement. Beyond that the oldest are given up: their table
/// versions then count as not acknowledged, the cautious side.
const MAX_IN_FLIGHT: usize = 1024;
/// Weight of the newest rate in the moving average of a class's arrival rate.
const ARRIVAL_RATE_SMOOTHING: f64 = 0.5;

/// A version of a table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableVersion {
    pub table: TableId,
    pub version: u64,
}

/// A message on its way.
#[derive(Debug, Clone)]
struct InFlightUpdate {
    number: u64,
    /// The versions that are in force once it is applied.
    versions: Vec<TableVersion>,
}

/// A table that the proxy was assigned away from.
#[derive(Debug, Clone)]
struct LeavingTable {
    table: TableId,
    /// The message that takes the proxy off it, once that is sent.
    message: Option<u64>,
}

impl LeavingTable {
    fn is_left_by(&self, acknowledged: u64) -> bool {
        self.message.is_some_and(|message| message <= acknowledged)
    }
}

/// What an acknowledgement puts in force.
#[derive(Debug, Default)]
pub(crate) struct AppliedUpdates {
    pub versions: Vec<TableVersion>,
    /// Tables that the proxy does not use any more.
    pub left_tables: Vec<TableId>,
}

/// A connected proxy.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrackedProxy {
    /// Requests a second by class.
    pub request_rates: Vec<f64>,
    pub table_of_class: BTreeMap<ClassId, TableId>,
    in_flight: VecDeque<InFlightUpdate>,
    leaving: Vec<LeavingTable>,
}

impl TrackedProxy {
    /// A proxy whose request rate divides evenly among the classes.
    pub fn new(request_rate: f64, class_count: usize) -> TrackedProxy {
        let rate_of_class = request_rate.max(0.0) / class_count as f64;
        TrackedProxy { request_rates: vec![rate_of_class; class_count], ..TrackedProxy::default() }
    }

    /// The tables that it is assigned to.
    pub fn tables(&self) -> BTreeSet<TableId> {
        self.table_of_class.values().copied().collect()
    }

    /// The tables that it may use, those included that it is being assigned away from.
    pub fn possible_tables(&self) -> BTreeSet<TableId> {
        let leaving = self.leaving.iter().map(|leaving| leaving.table);
        self.table_of_class.values().copied().chain(leaving).collect()
    }

    /// Requests a second by table.
    pub fn rates_by_table(&self) -> BTreeMap<TableId, f64> {
        let mut rates = BTreeMap::new();
        for (class, table) in &self.table_of_class {
            *rates.entry(*table).or_insert(0.0) += self.request_rates.get(*class).copied().unwrap_or(0.0);
        }
        rates
    }

    /// Adds a class's arrival rate to its moving average, and returns by how much that changed; `None` for an
    /// unknown class.
    pub fn record_arrival_rate(&mut self, class: ClassId, arrival_rate: f64) -> Option<f64> {
        let average = self.request_rates.get_mut(class)?;
        let smoothing = if *average > 0.0 { ARRIVAL_RATE_SMOOTHING } else { 1.0 };
        let change = (arrival_rate.max(0.0) - *average) * smoothing;
        *average += change;
        Some(change)
    }

    /// Records a message that brings these versions.
    pub fn record_sent(&mut self, number: u64, versions: Vec<TableVersion>) {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            self.in_flight.pop_front();
        }
        self.in_flight.push_back(InFlightUpdate { number, versions });
        for leaving in &mut self.leaving {
            leaving.message.get_or_insert(number);
        }
    }

    /// Records the acknowledgement of message `number`, which covers all before it.
    pub fn acknowledge(&mut self, number: u64) -> AppliedUpdates {
        let mut applied = AppliedUpdates::default();
        while self.in_flight.front().is_some_and(|update| update.number <= number) {
            applied
                .versions
                .extend(self.in_flight.pop_front().into_iter().flat_map(|update| update.versions));
        }
        let left = self.leaving.iter().filter(|leaving| leaving.is_left_by(number));
        applied.left_tables.extend(left.map(|leaving| leaving.table));
        self.leaving.retain(|leaving| !leaving.is_left_by(number));
        applied
    }

    /// Records that it is being assigned away from a table.
    pub fn start_leaving(&mut self, table: TableId) {
        self.leaving.push(LeavingTable { table, message: None });
    }

    /// Forgets that it was being assigned away from tables that it is assigned to again.
    pub fn stop_leaving(&mut self, is_assigned: impl Fn(TableId) -> bool) {
        self.leaving.retain(|leaving| !is_assigned(leaving.table));
    }
}

/// The assignment of a proxy's classes to a table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assignment {
    pub proxy: ProxyId,
    pub table: TableId,
    /// The classes as a bit mask; 0 stands for all.
    pub class_mask: u64,
}
