//! Rule 4: a cold server, which is still warming up, gets no more requests than it can serve at its age.

use super::empty_table::usable_servers;
use super::TableCheck;
use crate::batch::{Rejections, StagedBatch};
use crate::fleet_state::FleetState;
use crate::rejection::{Overload, Rejection, RejectionReason};
use crate::tracked_table::{share, without_ejected, TrackedTable};
use runloom_controller::{Command, ProxyId, ServerId, TableId};
use std::collections::BTreeMap;
use std::time::Duration;

/// If only cold servers can take the requests, limit on a server's share as a multiple of its fair share, which
/// follows its weight and age.
const MAX_FAIR_SHARE_MULTIPLE: f64 = 1.5;
/// A load that grows by no more than this factor counts as unchanged.
const LOAD_TOLERANCE: f64 = 1.0001;

/// The cold servers and the capacity estimate, computed once per check of a batch.
pub(super) struct ColdServers {
    /// For each cold server, the tables that list it in some version that may be in force.
    tables: BTreeMap<ServerId, Vec<TableId>>,
    /// Requests per second that a unit of configured weight can serve; `None` if that is not known.
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

/// A cold server's load before and after a batch, and its limit, all in requests per second or all as shares of a
/// table's requests.
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
    /// Rejects the commands that would overload cold servers of the table.
    pub(super) fn reject_cold_overload(&self, cold_servers: &ColdServers, rejections: &mut Rejections) {
        for server in self.staged_entries().keys() {
            if self.state.servers.is_cold(*server, self.now) && self.state.is_open(*server) {
                self.check_cold_server(*server, cold_servers, rejections);
            }
        }
    }

    fn check_cold_server(&self, server: ServerId, cold_servers: &ColdServers, rejections: &mut Rejections) {
        let change = if self.has_only_cold_servers() {
            Some(self.share_change(server))
        } else {
            self.load_change(server, cold_servers)
        };
        let Some(change) = change.filter(LoadChange::is_overload) else { return };
        let raises = |command: &Command| self.raises_entry(command, server);
        if self.reject(RejectionReason::OverloadsColdServer, server, &change, raises, rejections) == 0 {
            // Its own entry is not raised: the load comes from what other servers lose, or from reassigned proxies.
            let shifts = |command: &Command| self.shifts_load_to(command, server);
            self.reject(RejectionReason::ShiftsLoadToColdServer, server, &change, shifts, rejections);
        }
    }

    /// Rejects the accepted commands that are at fault, and returns their number.
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
            Command::SetEntry { table, server: changed, weight } => {
                *table == self.table && *changed == server && *weight > self.published_weight(*changed)
            }
            _ => false,
        }
    }

    /// Whether a command takes requests from other servers of the table, or reassigns a proxy to the table.
    fn shifts_load_to(&self, command: &Command, server: ServerId) -> bool {
        match command {
            Command::SetEntry { table, server: changed, weight } => {
                *table == self.table
                    && *changed != server
                    && self.state.is_open(*changed)
                    && *weight < self.published_weight(*changed)
            }
            Command::ClearTable { table } => *table == self.table,
            Command::EjectServer { server: changed, ejected } => {
                *ejected && self.state.is_open(*changed) && self.published.contains_key(changed)
            }
            // A first assignment is not at fault: until then the proxy may hold a table with draining servers.
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

    /// Whether only cold servers can take the requests, so that they are compared with each other and not with
    /// their capacity. That is so if no warm server is open at all, or if proxies get their first assignment and
    /// the table has no warm server. What these proxies hold until then may list draining servers, and rule 3
    /// takes precedence over rule 4.
    fn has_only_cold_servers(&self) -> bool {
        let is_open_and_warm =
            |server: ServerId| !self.state.servers.is_cold(server, self.now) && self.state.is_open(server);
        // Ejections before the batch: one that ejects the last warm server is still held to the capacity limit.
        let was_warm = |server: ServerId| is_open_and_warm(server) && !self.state.ejected.contains(&server);
        if !self.state.servers.ids().any(was_warm) {
            return true;
        }
        let stays_warm =
            |server: ServerId| is_open_and_warm(server) && !self.staged.ejected.contains(&server);
        self.has_first_assignment()
            && !usable_servers(self.state, self.staged_entries(), &self.staged.ejected).any(stays_warm)
    }

    /// Whether the batch gives a proxy that has no table yet its first assignment, and does so to this table.
    fn has_first_assignment(&self) -> bool {
        self.staged.assignments.iter().any(|assignment| {
            let proxy = self.state.proxies.get(&assignment.proxy);
            assignment.table == self.table && proxy.is_some_and(|proxy| proxy.table_of_class.is_empty())
        })
    }

    /// The server's share of the table's requests, limited by its fair share among the usable servers.
    fn share_change(&self, server: ServerId) -> LoadChange {
        let usable = usable_servers(self.state, self.staged_entries(), &self.staged.ejected);
        let total: f64 = usable.map(|server| self.warm_weight(server)).sum();
        LoadChange {
            before: share(&without_ejected(self.published, &self.state.ejected), server),
            after: share(&without_ejected(self.staged_entries(), &self.staged.ejected), server),
            limit: MAX_FAIR_SHARE_MULTIPLE * self.warm_weight(server) / total.max(f64::MIN_POSITIVE),
        }
    }

    /// A server's configured weight, scaled down while it warms up.
    fn warm_weight(&self, server: ServerId) -> f64 {
        let configured_weight =
            self.state.servers.get(server).map_or(0.0, |tracked| tracked.configured_weight);
        configured_weight * self.state.servers.warm_fraction(server, self.now)
    }

    /// The requests per second that the server may get, limited by its capacity; `None` if that is not known.
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

/// Upper bound of the requests per second that all proxies send to a server, each on any version that may be in
/// force there.
fn current_load(state: &FleetState, server: ServerId, tables: &[TableId]) -> f64 {
    let tracked = tables.iter().filter_map(|table| state.tables.get(table));
    tracked.map(|tracked| tracked.max_load(server, None)).sum()
}

/// The same upper bound once the batch is published.
fn staged_load(state: &FleetState, server: ServerId, tables: &[TableId], staged: &StagedBatch) -> f64 {
    let changed = staged.tables.iter();
    let newly_listing =
        changed.filter(|(table, entries)| entries.contains_key(&server) && !tables.contains(table));
    let newly_listing = newly_listing.map(|(table, _)| table);
    let tracked =
        tables.iter().chain(newly_listing).filter_map(|table| Some((table, state.tables.get(table)?)));
    let next =
        |table: &TableId| staged.tables.get(table).map(|entries| without_ejected(entries, &staged.ejected));
    let mut load: f64 = tracked.map(|(table, tracked)| tracked.max_load(server, next(table).as_ref())).sum();
    for assignment in &staged.assignments {
        let Some(proxy) = state.proxies.get(&assignment.proxy) else { continue };
        let reassigned_classes = state
            .classes(assignment.class_mask)
            .filter(|class| proxy.table_of_class.get(class) != Some(&assignment.table));
        let request_rate: f64 = reassigned_classes.map(|class| proxy.request_rates[class]).sum();
        load += request_rate * staged_share(state, server, assignment.table, staged);
    }
    load
}

/// The server's share of a table's requests once the batch is published.
fn staged_share(state: &FleetState, server: ServerId, table: TableId, staged: &StagedBatch) -> f64 {
    let published = || state.tables.get(&table).map(TrackedTable::entries);
    let entries = staged.tables.get(&table).or_else(published);
    entries.map_or(0.0, |entries| share(&without_ejected(entries, &staged.ejected), server))
}
