//! The guard's state: servers, proxies, and the table versions that may be in force.

use crate::batch::StagedBatch;
use crate::capacity::Servers;
use crate::config::GuardConfig;
use crate::tracked_proxy::{Assignment, TableVersion, TrackedProxy};
use crate::tracked_table::{Entries, TrackedTable};
use runloom_controller::{ClassId, ProxyId, ServerId, TableId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of classes that a 64-bit class mask can represent.
const MAX_MASKED_CLASSES: usize = 64;

/// Servers, proxies, and the table versions that may be in force.
#[derive(Debug)]
pub(crate) struct FleetState {
    pub servers: Servers,
    pub tables: BTreeMap<TableId, TrackedTable>,
    pub proxies: BTreeMap<ProxyId, TrackedProxy>,
    pub ejected: BTreeSet<ServerId>,
}

impl FleetState {
    /// A state without servers, tables or proxies.
    pub fn new(config: GuardConfig) -> FleetState {
        FleetState {
            servers: Servers::new(config),
            tables: BTreeMap::new(),
            proxies: BTreeMap::new(),
            ejected: BTreeSet::new(),
        }
    }

    /// Whether proxies may send to a server; see [`Servers::is_open`].
    pub fn is_open(&self, server: ServerId) -> bool {
        self.servers.is_open(server)
    }

    /// Replaces the settings and forgets tables, ejections and proxies; the servers stay.
    pub fn restart(&mut self, config: GuardConfig) {
        self.servers.config = config;
        self.tables.clear();
        self.ejected.clear();
        self.proxies.clear();
    }

    /// Adds a proxy that expects `request_rate` requests per second, and forgets an earlier connection of it.
    pub fn connect_proxy(&mut self, proxy: ProxyId, request_rate: f64) {
        self.disconnect_proxy(proxy);
        let class_count = self.servers.config.class_count.max(1);
        self.proxies.insert(proxy, TrackedProxy::new(request_rate, class_count));
    }

    /// Removes a proxy, also from the tables that it may use.
    pub fn disconnect_proxy(&mut self, proxy: ProxyId) {
        let Some(tracked) = self.proxies.remove(&proxy) else { return };
        for table in tracked.possible_tables() {
            if let Some(table) = self.tables.get_mut(&table) {
                table.remove(proxy);
            }
        }
    }

    /// Records the requests per second of one class that arrive at a proxy.
    pub fn record_arrival_rate(&mut self, proxy: ProxyId, class: ClassId, arrival_rate: f64) {
        let Some(tracked) = self.proxies.get_mut(&proxy) else { return };
        let Some(change) = tracked.record_arrival_rate(class, arrival_rate) else { return };
        let table = tracked.table_of_class.get(&class);
        if let Some(table) = table.and_then(|table| self.tables.get_mut(table)) {
            table.change_rate(proxy, change);
        }
    }

    /// Records that message `number`, with the newest version of all of the proxy's tables, was sent to it.
    pub fn record_sent(&mut self, proxy: ProxyId, number: u64) {
        let Some(tracked) = self.proxies.get_mut(&proxy) else { return };
        let mut versions = Vec::new();
        for table in tracked.tables() {
            if let Some(newest) = self.tables.get(&table) {
                versions.push(TableVersion { table, version: newest.newest_version() });
            }
        }
        tracked.record_sent(number, versions);
    }

    /// Records that a proxy acknowledged message `number`, and with it all earlier ones.
    pub fn acknowledge(&mut self, proxy: ProxyId, number: u64) {
        let Some(tracked) = self.proxies.get_mut(&proxy) else { return };
        let applied = tracked.acknowledge(number);
        for TableVersion { table, version } in applied.versions {
            if let Some(table) = self.tables.get_mut(&table) {
                table.acknowledge(proxy, version);
            }
        }
        for table in applied.left_tables {
            if let Some(table) = self.tables.get_mut(&table) {
                table.finish_leaving(proxy);
            }
        }
    }

    /// Records that a staged batch is published.
    pub fn publish(&mut self, staged: StagedBatch) {
        for (table, entries) in staged.tables {
            self.tables.entry(table).or_default().publish(entries, &staged.ejected);
        }
        for assignment in staged.assignments {
            self.assign(assignment);
        }
        self.ejected = staged.ejected;
    }

    /// Assigns classes of a proxy to a table.
    pub fn assign(&mut self, assignment: Assignment) {
        let Assignment { proxy, table, class_mask } = assignment;
        let classes: Vec<ClassId> = self.classes(class_mask).collect();
        let Some(tracked) = self.proxies.get_mut(&proxy) else { return };
        let before = tracked.tables();
        for class in classes {
            tracked.table_of_class.insert(class, table);
        }
        let rates = tracked.rates_by_table();
        for left in before.into_iter().filter(|table| !rates.contains_key(table)) {
            if let Some(table) = self.tables.get_mut(&left) {
                table.start_leaving(proxy);
                tracked.start_leaving(left);
            }
        }
        tracked.stop_leaving(|table| rates.contains_key(&table));
        for (table, request_rate) in rates {
            self.tables.entry(table).or_default().assign(proxy, request_rate);
        }
    }

    /// The classes of a bit mask; mask 0 stands for all classes.
    pub fn classes(&self, class_mask: u64) -> impl Iterator<Item = ClassId> {
        let is_in_mask = move |class: &ClassId| class_mask == 0 || class_mask & (1 << class) != 0;
        (0..self.servers.config.class_count.min(MAX_MASKED_CLASSES)).filter(is_in_mask)
    }

    /// The newest entries of a table; empty if it was never published.
    pub fn entries(&self, table: TableId) -> Entries {
        self.tables.get(&table).map(|tracked| tracked.entries().clone()).unwrap_or_default()
    }

    /// The proxies that the newest commands assign to a table.
    pub fn assigned_proxies(&self, table: TableId) -> Vec<ProxyId> {
        self.tables.get(&table).map(TrackedTable::assigned_proxies).unwrap_or_default()
    }

    /// Requests per second that a unit of configured weight can serve; `None` if nothing is known. See
    /// [`Servers::estimated_capacity_per_weight`].
    pub fn estimated_capacity_per_weight(&self) -> Option<f64> {
        let request_rate: f64 = self.proxies.values().flat_map(|proxy| &proxy.request_rates).sum();
        self.servers.estimated_capacity_per_weight(request_rate)
    }
}
