//! A connected proxy: its request rates, its tables, and the messages in flight to it.

use runloom_controller::{ClassId, ProxyId, TableId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limit on the unacknowledged messages that are tracked per proxy. Beyond it the oldest are forgotten: their
/// table versions then do not count as acknowledged, which is the conservative assumption.
const MAX_IN_FLIGHT: usize = 1024;
/// Weight of the newest rate in the moving average of a class's arrival rate.
const ARRIVAL_RATE_SMOOTHING: f64 = 0.5;

/// A table and one of its version numbers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableVersion {
    pub table: TableId,
    pub version: u64,
}

/// A message that is sent and not acknowledged.
#[derive(Debug, Clone)]
struct InFlightUpdate {
    number: u64,
    /// The table versions that are in force once the proxy applies the message.
    versions: Vec<TableVersion>,
}

/// A table that the proxy is no longer assigned to, but may still use.
#[derive(Debug, Clone)]
struct LeavingTable {
    table: TableId,
    /// The message that assigns the proxy elsewhere; `None` until it is sent.
    message: Option<u64>,
}

impl LeavingTable {
    fn is_left_by(&self, acknowledged: u64) -> bool {
        self.message.is_some_and(|message| message <= acknowledged)
    }
}

/// Changes that an acknowledgement confirms.
#[derive(Debug, Default)]
pub(crate) struct AppliedUpdates {
    pub versions: Vec<TableVersion>,
    /// Tables that the proxy no longer uses.
    pub left_tables: Vec<TableId>,
}

/// A connected proxy.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrackedProxy {
    /// Requests per second by class: moving averages, which start at an even share of the expected rate.
    pub request_rates: Vec<f64>,
    pub table_of_class: BTreeMap<ClassId, TableId>,
    in_flight: VecDeque<InFlightUpdate>,
    leaving: Vec<LeavingTable>,
}

impl TrackedProxy {
    /// A proxy without tables, whose request rate is divided evenly among the classes.
    pub fn new(request_rate: f64, class_count: usize) -> TrackedProxy {
        let rate_of_class = request_rate.max(0.0) / class_count as f64;
        TrackedProxy { request_rates: vec![rate_of_class; class_count], ..TrackedProxy::default() }
    }

    /// The tables that the proxy is assigned to.
    pub fn tables(&self) -> BTreeSet<TableId> {
        self.table_of_class.values().copied().collect()
    }

    /// The tables that the proxy may use: those that it is assigned to, and those that it is leaving.
    pub fn possible_tables(&self) -> BTreeSet<TableId> {
        let leaving = self.leaving.iter().map(|leaving| leaving.table);
        self.table_of_class.values().copied().chain(leaving).collect()
    }

    /// Requests per second by assigned table.
    pub fn rates_by_table(&self) -> BTreeMap<TableId, f64> {
        let mut rates = BTreeMap::new();
        for (class, table) in &self.table_of_class {
            *rates.entry(*table).or_insert(0.0) += self.request_rates.get(*class).copied().unwrap_or(0.0);
        }
        rates
    }

    /// Adds an arrival rate to a class's moving average, and returns by how much the average changed; `None` for
    /// an unknown class.
    pub fn record_arrival_rate(&mut self, class: ClassId, arrival_rate: f64) -> Option<f64> {
        let average = self.request_rates.get_mut(class)?;
        let smoothing = if *average > 0.0 { ARRIVAL_RATE_SMOOTHING } else { 1.0 };
        let change = (arrival_rate.max(0.0) - *average) * smoothing;
        *average += change;
        Some(change)
    }

    /// Records a sent message with the table versions that it carries.
    pub fn record_sent(&mut self, number: u64, versions: Vec<TableVersion>) {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            self.in_flight.pop_front();
        }
        self.in_flight.push_back(InFlightUpdate { number, versions });
        for leaving in &mut self.leaving {
            leaving.message.get_or_insert(number);
        }
    }

    /// Records the acknowledgement of message `number`, which covers all earlier ones.
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

    /// Records that the next message assigns the proxy away from a table.
    pub fn start_leaving(&mut self, table: TableId) {
        self.leaving.push(LeavingTable { table, message: None });
    }

    /// Cancels the leaving of tables that the proxy is assigned to again.
    pub fn stop_leaving(&mut self, is_assigned: impl Fn(TableId) -> bool) {
        self.leaving.retain(|leaving| !is_assigned(leaving.table));
    }
}

/// The assignment of a proxy's classes to a table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assignment {
    pub proxy: ProxyId,
    pub table: TableId,
    /// The classes as a bit mask; 0 stands for all classes.
    pub class_mask: u64,
}
