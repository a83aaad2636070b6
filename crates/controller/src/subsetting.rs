//! Subsetting: divides endpoints and proxies into subsets that share a table.
//!
//! If the channel can publish a table of all endpoints fast enough, there is one subset, and all proxies share that
//! table. Otherwise endpoints and proxies are divided into subsets of about ten endpoints. Each subset has one table
//! for all classes and one for its isolated classes.

use crate::admission_control::ClassAdmission;
use crate::controller::Controller;
use crate::event::{ServerId, TableId, ZoneId};
use std::collections::BTreeSet;
use std::time::Duration;

/// There is one subset if the channel can publish a table of all endpoints to all proxies in less than this time.
const MAX_PUBLISH_SECONDS: f64 = 0.15;
/// Target number of endpoints in a subset: few enough that connections stay open, and enough that a subset
/// can lose some of them.
const SUBSET_SIZE: f64 = 10.0;
/// A subset with proxies counts as having at least this share of the mean load. That gives it about three endpoints, so
/// that it may lose one.
const MIN_LOAD_SHARE: f64 = 0.3;
/// If a subset has less than this share of the weight that its load entitles it to, subsets are rebalanced at once:
/// cold endpoints in it would be overloaded before the next tick.
const REBALANCE_NOW_SHARE: f64 = 0.5;
/// Endpoints move only between subsets whose weights per load differ by at least this factor: less is within the noise
/// of a few seconds of reports, and a move costs connections.
const REBALANCE_RATIO: f64 = 1.35;
/// An endpoint counts as the last one of its subset if the subset's weight is at most this many times its own.
const LAST_ENDPOINT_RATIO: f64 = 1.01;
/// A subset with at most this weight has no usable endpoint.
const NO_WEIGHT: f64 = 1e-9;
/// Lower bound of a subset's load, in requests per second, when a subset for an orphaned proxy is chosen.
const MIN_LOAD: f64 = 1e-3;
/// Time between two relocations of one proxy, if the number of messages is not limited.
const RELOCATION_INTERVAL: Duration = Duration::from_secs(2);
/// Subsets with fewer warm endpoints than this isolate no class.
const MIN_ENDPOINTS_TO_ISOLATE: usize = 4;
/// Loads are compared in whole thousandths of a request per second.
const LOAD_RESOLUTION: f64 = 1e3;

/// The number of a subset's table, or that of the table for its isolated classes.
pub(crate) fn table_of(subset: usize, is_isolated: bool) -> TableId {
    (2 * subset + 1 + usize::from(is_isolated)) as TableId
}

/// The index of the subset that a table belongs to.
pub(crate) fn subset_of(table: TableId) -> usize {
    (usize::from(table) - 1) / 2
}

/// Endpoints and proxies that share a table.
#[derive(Debug, Default)]
pub(crate) struct Subset {
    /// The preferred zone of its proxies and endpoints; `None` for any zone.
    pub zone: Option<ZoneId>,
    /// Requests per second that arrive at its proxies. A subset with proxies counts with at least [`MIN_LOAD_SHARE`] of
    /// the mean load.
    pub load: f64,
    /// The sum of its endpoints' weights.
    pub weight: f64,
    /// Number of its listed endpoints.
    pub endpoint_count: usize,
    pub proxy_count: f64,
    /// The classes isolated in it, one bit each.
    pub isolated_classes: u64,
    /// The admission last published in its tables, by class; `None` for none.
    pub published_admissions: Vec<Option<ClassAdmission>>,
}

impl Subset {
    fn is_of_other_zone(&self, zone: ZoneId) -> bool {
        self.zone.is_some_and(|own| own != zone)
    }

    /// Weight per request per second; infinite or NaN for a subset without load.
    fn weight_per_load(&self) -> f64 {
        self.weight / self.load
    }

    /// Resets what is summed up over its proxies and endpoints.
    fn reset_sums(&mut self) {
        (self.load, self.weight, self.proxy_count) = (0.0, 0.0, 0.0);
        self.endpoint_count = 0;
    }

    fn add_proxy(&mut self, arrival_rate: f64) {
        self.load += arrival_rate;
        self.proxy_count += 1.0;
    }
}

impl Controller {
    /// Assigns proxies and endpoints to subsets. Rebalances the subsets at each tick, and at once if a subset lost most
    /// of its weight.
    pub(crate) fn assign_subsets(&mut self, is_tick: bool) {
        if self.subsets.is_empty() {
            self.create_subsets();
        }
        self.subsets.iter_mut().for_each(Subset::reset_sums);
        self.assign_proxies();
        self.assign_endpoints();
        let total_weight: f64 = self.subsets.iter().fold(0.0, |sum, subset| sum + subset.weight);
        let total_load: f64 = self.subsets.iter().fold(0.0, |sum, subset| sum + subset.load);
        let min_load = MIN_LOAD_SHARE * total_load / self.subsets.len() as f64;
        for subset in self.subsets.iter_mut().filter(|subset| subset.proxy_count > 0.0) {
            subset.load = subset.load.max(min_load);
        }
        let is_short =
            |subset: &Subset| subset.weight * total_load < REBALANCE_NOW_SHARE * total_weight * subset.load;
        if is_tick || self.subsets.iter().any(is_short) {
            self.rebalance();
        }
        self.relocate_orphaned_proxies();
    }

    /// Assigns each newly connected proxy to the subset with the least load, preferably of its zone, where it stays.
    fn assign_proxies(&mut self) {
        for proxy in self.proxies.iter_mut().filter(|proxy| proxy.is_connected) {
            let subsets = &mut self.subsets;
            let preference = |subset: &usize| {
                let subset = &subsets[*subset];
                (subset.is_of_other_zone(proxy.zone), (subset.load * LOAD_RESOLUTION) as u64)
            };
            proxy.subset = proxy.subset.or_else(|| (0..subsets.len()).min_by_key(preference));
            if let Some(subset) = proxy.subset {
                subsets[subset].add_proxy(proxy.total_arrival_rate());
            }
        }
    }

    /// Assigns each new endpoint to the subset with the fewest endpoints, preferably of its zone.
    fn assign_endpoints(&mut self) {
        for server in 0..self.endpoints.len() {
            let weight = self.weight(server);
            let endpoint = &mut self.endpoints[server];
            let subsets = &mut self.subsets;
            let preference = |subset: &usize| {
                let subset = &subsets[*subset];
                (subset.is_of_other_zone(endpoint.zone), subset.endpoint_count)
            };
            endpoint.subset = endpoint.subset.or_else(|| (0..subsets.len()).min_by_key(preference));
            if let Some(subset) = endpoint.subset.map(|subset| &mut subsets[subset]) {
                subset.endpoint_count += usize::from(endpoint.is_listed());
                subset.weight += weight;
            }
        }
    }

    /// Moves connected proxies whose subset has no endpoint, even after rebalancing, to the subset with the most weight
    /// per load.
    ///
    /// This is needed when a fleet shrinks to fewer endpoints than subsets. It can concentrate proxies on few
    /// endpoints; admission control then limits their load.
    fn relocate_orphaned_proxies(&mut self) {
        let interval = self.relocation_interval();
        for proxy in self.proxies.iter_mut().filter(|proxy| proxy.is_connected) {
            let is_orphaned = proxy.subset.is_some_and(|subset| self.subsets[subset].weight <= NO_WEIGHT);
            let moved_recently = proxy.relocated_at.is_some_and(|at| self.now < at + interval);
            if !is_orphaned || moved_recently {
                continue;
            }
            let subsets = &mut self.subsets;
            let with_weight = (0..subsets.len()).filter(|subset| subsets[*subset].weight > NO_WEIGHT);
            let weight_per_load =
                |subset: &usize| subsets[*subset].weight / subsets[*subset].load.max(MIN_LOAD);
            let least_loaded = with_weight.max_by(|a, b| weight_per_load(a).total_cmp(&weight_per_load(b)));
            let Some(least_loaded) = least_loaded else { return };
            subsets[least_loaded].add_proxy(proxy.total_arrival_rate());
            proxy.subset = Some(least_loaded);
            proxy.assigned = None;
            proxy.relocated_at = Some(self.now);
        }
    }

    /// Time between two relocations of one proxy: the window of the message limit, if there is one, as a second
    /// assignment within it could exceed the limit.
    fn relocation_interval(&self) -> Duration {
        let channel = &self.config.channel;
        channel.message_window.filter(|_| channel.limits_messages()).unwrap_or(RELOCATION_INTERVAL)
    }

    /// Creates as many subsets as the channel needs, each with a preferred zone if proxies of all zones connect to this
    /// planner.
    pub(crate) fn create_subsets(&mut self) {
        let zones = self.subset_zones();
        let count = self.subset_count(zones);
        let zone = |subset: usize| (zones > 1.0 && count > 1.0).then_some(subset % zones as usize);
        let subset = |index| Subset { zone: zone(index), ..Subset::default() };
        self.subsets = (0..count as usize).map(subset).collect();
    }

    /// The number of zones that subsets are divided by; 1 if subsets have no zone. They have none if a planner may have
    /// proxies of one zone only: the subsets of that zone would be the only ones with proxies, and get all endpoints.
    fn subset_zones(&self) -> f64 {
        let zones = self.config.zone_count.max(1.0);
        let may_have_one_zone = zones < 2.0 * self.config.planner_count;
        if self.config.proxies_prefer_local_planner && may_have_one_zone {
            1.0
        } else {
            zones
        }
    }

    /// The number of subsets; 0 for sliced traffic, which gets no tables yet.
    fn subset_count(&self, zones: f64) -> f64 {
        if self.config.slice_count > 0.0 {
            return 0.0;
        }
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.is_listed()).count() as f64;
        let proxies = self.config.proxy_count.unwrap_or(0.0) / self.config.planner_count;
        let entries_per_second = self.config.channel.entries_per_second.unwrap_or(f64::INFINITY);
        let publish_seconds = listed * proxies / entries_per_second;
        if publish_seconds < MAX_PUBLISH_SECONDS {
            listed.min(1.0)
        } else {
            (listed / SUBSET_SIZE / zones).ceil() * zones
        }
    }

    /// Moves endpoints, one by one, from the least loaded subset to the most loaded one. A subset without proxies gives
    /// away all of its endpoints.
    fn rebalance(&mut self) {
        let mut exhausted = BTreeSet::new();
        for _ in 0..self.endpoints.len() + self.subsets.len() {
            let Some((most_loaded, least_loaded)) = self.most_and_least_loaded(&exhausted) else { return };
            match self.endpoint_to_move(most_loaded, least_loaded) {
                Some((server, weight)) => {
                    self.endpoints[server].subset = Some(most_loaded);
                    self.subsets[least_loaded].weight -= weight;
                    self.subsets[most_loaded].weight += weight;
                }
                None => _ = exhausted.insert(least_loaded),
            }
        }
    }

    /// The subset with the least weight per load and the one with the most, unless they are balanced. Subsets in
    /// `exhausted` can spare no endpoint.
    fn most_and_least_loaded(&self, exhausted: &BTreeSet<usize>) -> Option<(usize, usize)> {
        let subsets = &self.subsets;
        let by_weight_per_load =
            |a: &usize, b: &usize| subsets[*a].weight_per_load().total_cmp(&subsets[*b].weight_per_load());
        let with_proxies = (0..subsets.len()).filter(|subset| subsets[*subset].proxy_count > 0.0);
        let can_spare = |subset: &usize| subsets[*subset].weight > 0.0 && !exhausted.contains(subset);
        let most_loaded = with_proxies.min_by(by_weight_per_load)?;
        let least_loaded = (0..subsets.len()).filter(can_spare).max_by(by_weight_per_load)?;
        let is_balanced = subsets[least_loaded].weight_per_load()
            < subsets[most_loaded].weight_per_load() * REBALANCE_RATIO;
        (most_loaded != least_loaded && !is_balanced).then_some((most_loaded, least_loaded))
    }

    /// An endpoint that the least loaded subset can spare, with its weight, preferably one of the most loaded subset's
    /// zone.
    ///
    /// It is never the last endpoint of a subset with proxies, which would move back and forth between two subsets.
    fn endpoint_to_move(&self, most_loaded: usize, least_loaded: usize) -> Option<(ServerId, f64)> {
        let is_movable = |server: &ServerId| {
            self.endpoints[*server].subset == Some(least_loaded) && self.weight(*server) > 0.0
        };
        let preference = |server: &ServerId| {
            let zone = Some(self.endpoints[*server].zone);
            (zone != self.subsets[most_loaded].zone, zone == self.subsets[least_loaded].zone)
        };
        let server = (0..self.endpoints.len()).filter(is_movable).min_by_key(preference)?;
        let weight = self.weight(server);
        let from = &self.subsets[least_loaded];
        let keeps_enough = from.weight > weight * LAST_ENDPOINT_RATIO
            && (from.weight - weight) / from.load >= self.subsets[most_loaded].weight_per_load();
        (from.proxy_count == 0.0 || keeps_enough).then_some((server, weight))
    }

    /// Isolates classes on a share of the warm endpoints of each subset. Subsets that are too small isolate none.
    pub(crate) fn isolate_classes(&mut self) {
        for subset in 0..self.subsets.len() {
            let in_service = |server: &ServerId| {
                self.endpoints[*server].subset == Some(subset) && self.endpoints[*server].is_in_service()
            };
            let candidates = (0..self.endpoints.len()).filter(in_service);
            let warm: Vec<(ServerId, f64)> = candidates
                .filter(|server| self.warm_fraction(*server) >= 1.0)
                .map(|server| (server, self.weight(server)))
                .collect();
            let is_large_enough = warm.len() >= MIN_ENDPOINTS_TO_ISOLATE;
            let isolated_classes = if is_large_enough { self.admission.isolated_classes } else { 0 };
            self.subsets[subset].isolated_classes = isolated_classes;
            // The table of isolated classes stays unchanged until no proxy uses it.
            if isolated_classes == 0 && self.isolated_table_is_in_use(subset) {
                continue;
            }
            self.select_isolated_endpoints(subset, &warm);
        }
    }

    pub(crate) fn isolated_table_is_in_use(&self, subset: usize) -> bool {
        self.proxies.iter().any(|proxy| {
            let is_isolated = proxy.assigned.is_some_and(|classes| classes != 0);
            proxy.is_connected && proxy.subset == Some(subset) && is_isolated
        })
    }

    /// Selects warm endpoints for isolated classes, by index, until they have the isolated share of the weight. The
    /// first warm endpoint stays shared.
    fn select_isolated_endpoints(&mut self, subset: usize, warm: &[(ServerId, f64)]) {
        let total_weight = warm.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut remaining = total_weight * self.admission.isolated_share;
        let isolates = self.subsets[subset].isolated_classes != 0;
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.subset == Some(subset)) {
            endpoint.is_isolated = false;
        }
        for (server, weight) in warm.iter().skip(1) {
            self.endpoints[*server].is_isolated = remaining > 0.0 && isolates;
            remaining -= weight;
        }
    }
}
