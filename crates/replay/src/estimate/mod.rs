//! Service under tables that were not in force, estimated from the outcomes under those that were.
//!
//! Importance weighting, normalised by its own weights (Swaminathan and Joachims, "The Self-Normalized Estimator for
//! Counterfactual Learning", NIPS 2015, after Horvitz and Thompson), by class, and corrected for load by what the log's
//! other servers did at that load. Intervals: the bootstrap over blocks of time (Efron and Tibshirani, 1993), widened to
//! contain the outcome of another such period and not only its mean.

mod blocks;
mod interval;
mod load_curve;
mod share_history;

use crate::what_if::ServiceEstimatePoint;
use blocks::{Block, ClassTotals};
use load_curve::LoadCurve;
use serde::Serialize;
use share_history::ShareHistory;
use std::collections::BTreeMap;
use std::time::Duration;

/// Blocks of the bootstrap: longer than the time over which one second affects the next.
const BLOCK: Duration = Duration::from_secs(5);
/// Below this share of requests with a known outcome there is no estimate.
const MIN_SUPPORT: f64 = 0.8;
/// An attempt counts at most this many times, so that one alone does not decide; it biases towards the record.
const MAX_ATTEMPT_WEIGHT: f64 = 10.0;
/// The estimate is valid while no server would get more than this many times its recorded load, in which its latencies
/// are its own; beyond it only where the log shows the effect of such a load.
const MAX_LOAD_RATIO: f64 = 1.5;
/// Requests a second by which an idle server's load may grow without effect.
const NEGLIGIBLE_LOAD_PER_SECOND: f64 = 10.0;
/// An interval of fewer blocks would be too narrow.
const MIN_BLOCKS: usize = 4;
/// The share of such periods whose outcome the interval is to contain.
const CONFIDENCE: f64 = 0.95;

/// Shares (0 to 1) of the servers in a proxy's tables, by name.
pub type Shares = BTreeMap<String, f64>;

/// Requests of a class at a proxy over some time.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestCounts {
    /// Requests that arrived.
    pub arrived: f64,
    /// Those that the recorded admission rate admitted.
    pub recorded_admitted: f64,
    /// Those that the other admission rate would have admitted.
    pub changed_admitted: f64,
}

impl RequestCounts {
    fn add(&mut self, other: &RequestCounts) {
        self.arrived += other.arrived;
        self.recorded_admitted += other.recorded_admitted;
        self.changed_admitted += other.changed_admitted;
    }
}

/// Attempts of a proxy at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// All attempts that ended.
    pub attempts: u64,
    /// Those that succeeded within the latency objective.
    pub in_time: u64,
}

/// What one proxy reported of one class.
#[derive(Debug, Clone, Copy)]
pub struct ReportedOutcomes<'a> {
    /// Time of the report.
    pub at: Duration,
    /// The proxy's name.
    pub proxy: &'a str,
    /// Index of the class.
    pub class: usize,
    /// Outcomes by server.
    pub outcomes: &'a BTreeMap<String, Outcomes>,
    /// Shares of the tables that were in force.
    pub recorded_shares: &'a Shares,
    /// Shares of the tables that would have been in force.
    pub changed_shares: &'a Shares,
    /// The class's requests.
    pub requests: RequestCounts,
}

/// Requests of one block.
#[derive(Debug, Clone, Copy, Default)]
struct BlockRequests {
    /// Those whose outcome under the other tables is known.
    known: f64,
    total: f64,
}

/// Requests of a server in one block.
#[derive(Debug, Clone, Copy, Default)]
struct ServerLoad {
    /// By the recorded tables.
    recorded: f64,
    /// By the other tables.
    changed: f64,
}

/// Collects outcomes and estimates service.
#[derive(Debug)]
pub struct Estimate {
    class_names: Vec<String>,
    priority_weights: Vec<f64>,
    /// By block, server and class.
    outcomes: BTreeMap<(u64, String, usize), ClassTotals>,
    requests: BTreeMap<u64, BlockRequests>,
    class_requests: BTreeMap<(u64, usize), RequestCounts>,
    /// By proxy and class.
    histories: BTreeMap<(String, usize), ShareHistory>,
    /// By block and server.
    loads: BTreeMap<(u64, String), ServerLoad>,
}

/// Service of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassService {
    /// The class's name.
    pub class: String,
    /// Its requests.
    #[serde(rename = "queries")]
    pub requests: f64,
    /// As recorded.
    #[serde(rename = "was")]
    pub recorded: f64,
    /// Under the other settings.
    #[serde(rename = "would")]
    pub changed: Option<f64>,
}

/// A value with its interval; an array of three numbers in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(f64, f64, f64)")]
pub struct IntervalEstimate {
    /// The estimated value.
    pub value: f64,
    /// Lower end of the interval.
    pub lower: f64,
    /// Upper end of the interval.
    pub upper: f64,
}

impl From<IntervalEstimate> for (f64, f64, f64) {
    fn from(estimate: IntervalEstimate) -> Self {
        (estimate.value, estimate.lower, estimate.upper)
    }
}

/// Service: the share (0 to 1) of the arrived requests that were admitted and answered within their latency objective,
/// with classes by their priority weights.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// As recorded, over the time in which the estimate is valid, or over all time if it never is.
    #[serde(rename = "was")]
    pub recorded: f64,
    /// Under the other settings, with an interval that is to contain 95% of such periods; `None` if unknown.
    #[serde(rename = "would")]
    pub changed: Option<IntervalEstimate>,
    /// The share of requests whose outcome is known from the log.
    pub support: f64,
    /// Seconds up to which the estimate is valid.
    #[serde(rename = "carries")]
    pub valid_seconds: f64,
    /// Service by class.
    pub classes: Vec<ClassService>,
}

impl Estimate {
    /// Starts without outcomes. Classes are given by name, with their priority weights.
    pub fn new(classes: Vec<(String, f64)>) -> Estimate {
        let (class_names, priority_weights) = classes.into_iter().unzip();
        Estimate {
            class_names,
            priority_weights,
            outcomes: BTreeMap::new(),
            requests: BTreeMap::new(),
            class_requests: BTreeMap::new(),
            histories: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Adds a proxy's report of one class.
    pub fn add_report(&mut self, report: &ReportedOutcomes) {
        let block = report.at.as_secs() / BLOCK.as_secs();
        let history = self.histories.entry((report.proxy.to_string(), report.class)).or_default();
        history.record(report.at, report.recorded_shares, report.changed_shares);
        for (server, outcomes) in report.outcomes {
            // Attempts that end late, as failures do, were sent by earlier tables: without the history, failures would be
            // left out and successes kept.
            let weight = history.weight(server);
            let totals = self.outcomes.entry((block, server.clone(), report.class)).or_default();
            totals.add(&ClassTotals::weighted(*outcomes, weight));
        }
        self.class_requests.entry((block, report.class)).or_default().add(&report.requests);
        self.add_loads(block, report);
    }

    /// Adds the requests by the shares and not by the attempts: attempts before the first commands were not made by a
    /// planner's tables.
    fn add_loads(&mut self, block: u64, report: &ReportedOutcomes) {
        let attempts: f64 = report.outcomes.values().map(|outcomes| outcomes.attempts as f64).sum();
        for (server, share) in report.recorded_shares {
            self.loads.entry((block, server.clone())).or_default().recorded += share * attempts;
        }
        let requests = self.requests.entry(block).or_default();
        requests.total += attempts;
        // A higher admission rate brings more to all servers.
        let counts = &report.requests;
        let growth = if counts.recorded_admitted > 0.0 {
            counts.changed_admitted / counts.recorded_admitted
        } else {
            1.0
        };
        for (server, share) in report.changed_shares {
            let was_attempted = report.outcomes.get(server).is_some_and(|outcomes| outcomes.attempts > 0);
            let had_share = report.recorded_shares.get(server).is_some_and(|share| *share > 0.0);
            let is_known = was_attempted || had_share;
            requests.known += if is_known { share * attempts } else { 0.0 };
            self.loads.entry((block, server.clone())).or_default().changed += share * attempts * growth;
        }
    }

    /// The blocks, with each server's share in time moved to the load that it would have had.
    fn blocks(&self, curve: &LoadCurve) -> BTreeMap<u64, Block> {
        let new_block = |requests: &BlockRequests| Block {
            classes: vec![ClassTotals::default(); self.class_names.len()],
            requests: *requests,
        };
        let mut blocks: BTreeMap<u64, Block> =
            self.requests.iter().map(|(block, requests)| (*block, new_block(requests))).collect();
        for ((key, server, class), totals) in &self.outcomes {
            let load = self.loads.get(&(*key, server.clone())).copied().unwrap_or_default();
            if let Some(block) = blocks.get_mut(key) {
                block.classes[*class].add(&totals.scaled(curve.correction(*class, &load)));
            }
        }
        for ((key, class), counts) in &self.class_requests {
            if let Some(block) = blocks.get_mut(key) {
                block.classes[*class].requests = *counts;
            }
        }
        blocks
    }

    /// Service of each block, under the other settings only where the estimate is valid.
    pub fn timeline(&self) -> Vec<ServiceEstimatePoint> {
        let curve = LoadCurve::new(self);
        let first_invalid = self.first_invalid_block(&curve);
        let point = |(key, block): (&u64, &Block)| {
            let block = std::slice::from_ref(block);
            let is_valid = *key < first_invalid;
            ServiceEstimatePoint {
                seconds: (key * BLOCK.as_secs()) as f64,
                recorded: self.service_of(block, ClassTotals::recorded_service).unwrap_or(0.0),
                changed: is_valid.then(|| self.service_of(block, ClassTotals::changed_service)).flatten(),
            }
        };
        self.blocks(&curve).iter().map(point).collect()
    }

    /// Service over some blocks. Classes count by their priority weights and arrived requests; each class is normalised
    /// by itself.
    fn service_of(&self, blocks: &[Block], class_service: fn(&ClassTotals) -> Option<f64>) -> Option<f64> {
        let (mut earned, mut offered) = (0.0, 0.0);
        for (class, priority_weight) in self.priority_weights.iter().enumerate() {
            let totals = blocks::sum_class(blocks, class);
            if let Some(service) = class_service(&totals) {
                earned += priority_weight * totals.requests.arrived * service;
                offered += priority_weight * totals.requests.arrived;
            }
        }
        (offered > 0.0).then(|| earned / offered)
    }

    /// Estimates service. `seed` is that of the resampling.
    pub fn service(&self, seed: u64) -> Service {
        let curve = LoadCurve::new(self);
        let first_invalid = self.first_invalid_block(&curve);
        let all = self.blocks(&curve);
        let end = all.keys().next_back().map_or(0, |last| last + 1);
        let valid: Vec<Block> =
            all.iter().filter(|(key, _)| **key < first_invalid).map(|(_, block)| block.clone()).collect();
        let support = blocks::support(&valid);
        let is_supported = valid.len() >= MIN_BLOCKS && support >= MIN_SUPPORT;
        let value = self.service_of(&valid, ClassTotals::changed_service).filter(|_| is_supported);
        let all: Vec<Block> = all.into_values().collect();
        let covered = if valid.is_empty() { &all } else { &valid };
        Service {
            recorded: self.service_of(covered, ClassTotals::recorded_service).unwrap_or(0.0),
            changed: value.map(|value| self.interval(&valid, value, seed)),
            support,
            valid_seconds: (first_invalid.min(end) * BLOCK.as_secs()) as f64,
            classes: self.class_services(covered, value.is_some()),
        }
    }

    fn class_services(&self, blocks: &[Block], has_estimate: bool) -> Vec<ClassService> {
        let class_service = |(class, name): (usize, &String)| {
            let totals = blocks::sum_class(blocks, class);
            ClassService {
                class: name.clone(),
                requests: totals.requests.arrived,
                recorded: totals.recorded_service().unwrap_or(0.0),
                changed: if has_estimate { totals.changed_service() } else { None },
            }
        };
        self.class_names.iter().enumerate().map(class_service).collect()
    }

    /// The first block in which a server would have had far more load than it had, and more than any server whose
    /// outcomes are known: from there on its latencies are unknown.
    fn first_invalid_block(&self, curve: &LoadCurve) -> u64 {
        let negligible = NEGLIGIBLE_LOAD_PER_SECOND * BLOCK.as_secs_f64();
        let is_unknown = |load: &ServerLoad| {
            let exceeds = load.changed > MAX_LOAD_RATIO * load.recorded + negligible;
            exceeds && !(load.recorded > 0.0 && curve.knows(load.changed))
        };
        let first = self.loads.iter().find(|(_, load)| is_unknown(load));
        first.map_or(u64::MAX, |((block, _), _)| *block)
    }
}
