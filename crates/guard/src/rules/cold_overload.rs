//! Rule 4: a server that has just started gets no more than it can serve at its age.

use super::empty_table::usable_servers;
use super::TableCheck;
use crate::batch::{Rejections, StagedBatch};
use crate::fleet_state::FleetState;
use crate::rejection::{Overload, Rejection, RejectionReason};
use crate::tracked_table::{share, without_ejected, TrackedTable};
use runloom_controller::{Command, ProxyId, ServerId, TableId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where only cold servers are left, each may get this times its share by weight and age.
const MAX_EVEN_SHARE_MULTIPLE: f64 = 1.5;
/// A load that grows by no more than this factor counts as unchanged.
const LOAD_TOLERANCE: f64 = 1.0001;

/// The cold servers, looked up once a batch.
pub(super) struct ColdServers {
    /// The tables that may send to each, in some version that may be in force.
    tables: BTreeMap<ServerId, Vec<TableId>>,
    /// Requests a second that a unit of configured weight serves.
    capacity_per_weight: Option<f64>,
}

impl ColdServers {
    /// Finds the servers that are cold at `now`.
    pub fn find(state: &FleetState, now: Duration) -> ColdServers {
        let is_cold = |server: &ServerId| state.servers.is_cold(*server, now);
        let mut tables: BTreeMap<ServerId, Vec<TableId>> = BTreeMap::new();
        if state.servers.ids().any(|server| is_cold(&server)) {
            for (table, tracked) in &state.tables {
                for server in tracked.possible_servers().into_iter().filter(is_cold) {
                    tables.entry(server).or_default().push(*table);
                }
            }
        }
        ColdServers { tables, capacity_per_weight: state.estimated_capacity_per_weight() }
    }

    fn tables_of(&self, server: ServerId) -> &[TableId] {
        self.tables.get(&server).map_or(&[], Vec::as_slice)
    }
}

/// A cold server's load before and after a batch, and its limit: requests a second, or shares of a table.
struct LoadChange {
    before: f64,
    after: f64,
    limit: f64,
}

impl LoadChange {
    fn is_overload(&self) -> bool {
        self.after > self.limit && self.after > self.before * LOAD_TOLERANCE
    }

    fn overload(&self) -> Overload {
        Overload { load: self.after, limit: self.limit }
    }
}

impl TableCheck<'_> {
    /// Rejects the commands by which cold servers of the table would be overloaded.
    pub(super) fn cold_overload(&self, cold_servers: &ColdServers, rejections: &mut Rejections) {
        for server in self.next().keys() {
            if self.state.servers.is_cold(*server, self.now) && self.state.is_open(*server) {
                self.overload_of(*server, cold_servers, rejections);
            }
        }
    }

    fn overload_of(&self, server: ServerId, cold_servers: &ColdServers, rejections: &mut Rejections) {
        let change = if self.has_only_cold_servers() {
            Some(self.share_change(server))
        } else {
            self.load_change(server, cold_servers)
        };
        let Some(change) = change.filter(LoadChange::is_overload) else { return };
        let raises = |command: &Command| self.raises_entry(command, server);
        if self.reject(RejectionReason::OverloadsColdServer, server, &change, raises, rejections) == 0 {
            // Its own entry is not raised: what other servers lose falls on it.
            let shifts = |command: &Command| self.lowers_others(command, server);
            self.reject(RejectionReason::ShiftsLoadToColdServer, server, &change, shifts, rejections);
        }
    }

    /// Rejects the accepted commands that are at fault, and returns how many.
    fn reject(
        &self,
        reason: RejectionReason,
        server: ServerId,
        change: &LoadChange,
        is_at_fault: impl Fn(&Command) -> bool,
        rejections: &mut Rejections,
    ) -> usize {
        let mut count = 0;
        for (position, command) in self.batch.accepted().filter(|(_, command)| is_at_fault(command)) {
            count += 1;
            let proxies = self.state.assigned_proxies(self.table);
            let servers = std::iter::once(server);
            let rejection = Rejection::new(reason, command, self.table, &proxies, servers);
            rejections.insert(position, rejection.with_overload(change.overload()));
        }
        count
    }

    /// Whether a command raises the server's entry in the table.
    fn raises_entry(&self, command: &Command, server: ServerId) -> bool {
        match command {
            Command::SetEntry { table, server: of, weight } => {
                *table == self.table && *of == server && *weight > self.published_weight(*of)
            }
            _ => false,
        }
    }

    /// Whether a command takes requests from other servers of the table, or assigns a proxy to it.
    fn lowers_others(&self, command: &Command, server: ServerId) -> bool {
        match command {
            Command::SetEntry { table, server: of, weight } => {
                *table == self.table
                    && *of != server
                    && self.state.is_open(*of)
                    && *weight < self.published_weight(*of)
            }
            Command::ClearTable { table } => *table == self.table,
            Command::EjectServer { server: of, ejected } => {
                *ejected && self.state.is_open(*of) && self.published.contains_key(of)
            }
            // A first assignment is accepted: what the proxy holds until then may name draining servers.
            Command::AssignTable { proxy, table, .. } => *table == self.table && self.is_assigned(*proxy),
            _ => false,
        }
    }

    fn published_weight(&self, server: ServerId) -> f64 {
        self.published.get(&server).copied().unwrap_or(0.0)
    }

    fn is_assigned(&self, proxy: ProxyId) -> bool {
        self.state.proxies.get(&proxy).is_some_and(|tracked| !tracked.table_of_class.is_empty())
    }

    /// Whether cold servers are compared with each other and not with what they can serve: no warm server is open
    /// at all, or proxies are assigned for the first time, to a table that has none. What those hold until then
    /// may name draining servers, and rule 3 comes before rule 4.
    fn has_only_cold_servers(&self) -> bool {
        let is_warm =
            |server: ServerId| !self.state.servers.is_cold(server, self.now) && self.state.is_open(server);
        // Before the batch: one that ejects the last warm server is not excused by that.
        let was_warm = |server: ServerId| is_warm(server) && !self.state.ejected.contains(&server);
        if !self.state.servers.ids().any(was_warm) {
            return true;
        }
        let stays_warm = |server: ServerId| is_warm(server) && !self.staged.ejected.contains(&server);
        self.has_first_assignment()
            && !usable_servers(self.state, self.next(), &self.staged.ejected).any(stays_warm)
    }

    fn has_first_assignment(&self) -> bool {
        self.staged.assignments.iter().any(|assignment| {
            let proxy = self.state.proxies.get(&assignment.proxy);
            assignment.table == self.table && proxy.is_some_and(|proxy| proxy.table_of_class.is_empty())
        })
    }

    /// The server's share of the table, limited by its share by weight and age among the usable servers.
    fn share_change(&self, server: ServerId) -> LoadChange {
        let usable = usable_servers(self.state, self.next(), &self.staged.ejected);
        let total: f64 = usable.map(|server| self.warm_weight(server)).sum();
        LoadChange {
            before: share(&without_ejected(self.published, &self.state.ejected), server),
            after: share(&without_ejected(self.next(), &self.staged.ejected), server),
            limit: MAX_EVEN_SHARE_MULTIPLE * self.warm_weight(server) / total.max(f64::MIN_POSITIVE),
        }
    }

    /// A server's configured weight, by its age.
    fn warm_weight(&self, server: ServerId) -> f64 {
        let configured_weight =
            self.state.servers.get(server).map_or(0.0, |tracked| tracked.configured_weight);
        configured_weight * self.state.servers.warm_fraction(server, self.now)
    }

    /// The requests a second that the server may get, limited by its capacity; `None` if that is not known.
    fn load_change(&self, server: ServerId, cold_servers: &ColdServers) -> Option<LoadChange> {
        let capacity_per_weight = cold_servers.capacity_per_weight?;
        let limit = self.state.servers.load_limit(server, self.now, capacity_per_weight)?;
        let tables = cold_servers.tables_of(server);
        Some(LoadChange {
            before: current_load(self.state, server, tables),
            after: staged_load(self.state, server, tables, self.staged),
            limit,
        })
    }
}

/// The most requests a second that all proxies may send to a server, each on any version that may be in force.
fn current_load(state: &FleetState, server: ServerId, tables: &[TableId]) -> f64 {
    let tracked = tables.iter().filter_map(|table| state.tables.get(table));
    tracked.map(|tracked| tracked.max_load(server, None)).sum()
}

/// The same once the batch is published.
fn staged_load(state: &FleetState, server: ServerId, tables: &[TableId], staged: &StagedBatch) -> f64 {
    let changed = staged.tables.iter();
    let newly = changed.filter(|(table, entries)| entries.contains_key(&server) && !tables.contains(table));
    let newly = newly.map(|(table, _)| table);
    let tracked = tables.iter().chain(newly).filter_map(|table| Some((table, state.tables.get(table)?)));
    let next =
        |table: &TableId| staged.tables.get(table).map(|entries| without_ejected(entries, &staged.ejected));
    let mut load: f64 = tracked.map(|(table, tracked)| tracked.max_load(server, next(table).as_ref())).sum();
    for assignment in &staged.assignments {
        let Some(proxy) = state.proxies.get(&assignment.proxy) else { continue };
        let moved = state
            .classes(assignment.class_mask)
            .filter(|class| proxy.table_of_class.get(class) != Some(&assignment.table));
        let request_rate: f64 = moved.map(|class| proxy.request_rates[class]).sum();
        load += request_rate * staged_share(state, server, assignment.table, staged);
    }
    load
}

/// The server's share of a table once the batch is published.
fn staged_share(state: &FleetState, server: ServerId, table: TableId, staged: &StagedBatch) -> f64 {
    let published = || state.tables.get(&table).map(TrackedTable::entries);
    let entries = staged.tables.get(&table).or_else(published);
    entries.map_or(0.0, |entries| share(&without_ejected(entries, &staged.ejected), server))
}
