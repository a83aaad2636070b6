//! Estimates the service under tables that were never in force, from the recorded outcomes under the tables that were.
//!
//! Each class is estimated with importance weighting, normalised by the sum of the weights (Swaminathan and Joachims,
//! "The Self-Normalized Estimator for Counterfactual Learning", NIPS 2015, after Horvitz and Thompson). Where a server
//! would have had another load, its outcomes are corrected by those of other servers in the log that had such a load.
//!
//! The interval of an estimate is a prediction interval: it is meant to contain the service of one further period with
//! the same traffic, and not only the mean. It is computed with the bootstrap over blocks of time (Efron and Tibshirani,
//! 1993), and widened accordingly.

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

/// Duration of a block of the bootstrap. It is longer than the time over which the outcomes of one second affect those
/// of later ones.
const BLOCK_DURATION: Duration = Duration::from_secs(5);
/// An estimate needs at least this share of requests with a known outcome.
const MIN_SUPPORT: f64 = 0.8;
/// Upper limit of an attempt's importance weight. It keeps single attempts from dominating the estimate, and biases the
/// estimate towards the record.
const MAX_ATTEMPT_WEIGHT: f64 = 10.0;
/// The estimate is valid while no server would get more than this many times its recorded load: up to there the
/// recorded latencies of a server hold. Beyond, it is valid only where the log shows the effect of such a load.
const MAX_LOAD_RATIO: f64 = 1.5;
/// Requests a second that a server may get in addition to [`MAX_LOAD_RATIO`] times its recorded load; so few have no
/// effect on an idle server.
const NEGLIGIBLE_LOAD_PER_SECOND: f64 = 10.0;
/// Blocks that an estimate needs; the interval of fewer would be too narrow.
const MIN_BLOCKS: usize = 4;
/// Confidence level of the interval: the probability that it contains the service of one further period with the same
/// traffic.
const CONFIDENCE: f64 = 0.95;

/// Shares (0 to 1) of the requests that a proxy's tables give to each server, by the server's name.
pub type Shares = BTreeMap<String, f64>;

/// Numbers of requests of a class at a proxy over some time.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestCounts {
    /// Requests that arrived.
    pub arrived: f64,
    /// Those that the recorded admission rate admits.
    pub recorded_admitted: f64,
    /// Those that the admission rate under the other settings admits.
    pub changed_admitted: f64,
}

impl RequestCounts {
    fn add(&mut self, other: &RequestCounts) {
        self.arrived += other.arrived;
        self.recorded_admitted += other.recorded_admitted;
        self.changed_admitted += other.changed_admitted;
    }
}

/// Outcomes of a proxy's attempts at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Attempts that ended.
    pub attempts: u64,
    /// Those of them that succeeded within the latency objective.
    pub in_time: u64,
}

/// What a proxy reported of one class, with the tables that were in force, and those that would have been in force
/// under the other settings.
#[derive(Debug, Clone, Copy)]
pub struct ReportedOutcomes<'a> {
    /// Time of the report since the planner's start.
    pub at: Duration,
    /// The proxy's name.
    pub proxy: &'a str,
    /// Index of the class, in the order given to [`Estimate::new`].
    pub class: usize,
    /// Outcomes by server.
    pub outcomes: &'a BTreeMap<String, Outcomes>,
    /// Shares of the tables that were in force.
    pub recorded_shares: &'a Shares,
    /// Shares of the tables that would have been in force.
    pub changed_shares: &'a Shares,
    /// Requests of the class in the time that the report covers.
    pub requests: RequestCounts,
}

/// Requests of one block, all classes together.
#[derive(Debug, Clone, Copy, Default)]
struct BlockRequests {
    /// Requests whose outcome is known under the tables of the other settings.
    known: f64,
    total: f64,
}

/// Requests that a server gets in one block.
#[derive(Debug, Clone, Copy, Default)]
struct ServerLoad {
    /// By the recorded tables.
    recorded: f64,
    /// By the tables of the other settings.
    changed: f64,
}

/// Collects reported outcomes, and estimates service from them.
#[derive(Debug)]
pub struct Estimate {
    class_names: Vec<String>,
    priority_weights: Vec<f64>,
    /// By block, server and class.
    outcomes: BTreeMap<(u64, String, usize), ClassTotals>,
    /// By block.
    requests: BTreeMap<u64, BlockRequests>,
    /// By block and class.
    class_requests: BTreeMap<(u64, usize), RequestCounts>,
    /// By proxy and class.
    histories: BTreeMap<(String, usize), ShareHistory>,
    /// By block and server.
    loads: BTreeMap<(u64, String), ServerLoad>,
}

/// Service of one class, over the same time as [`Service::recorded`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassService {
    /// The class's name.
    pub class: String,
    /// Requests of the class that arrived.
    #[serde(rename = "queries")]
    pub requests: f64,
    /// Service (0 to 1) as recorded.
    #[serde(rename = "was")]
    pub recorded: f64,
    /// Service (0 to 1) under the other settings; `None` if unknown.
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
/// weighted by the priority weights of their classes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// As recorded, over the time in which the estimate is valid, or over all time if it never is.
    #[serde(rename = "was")]
    pub recorded: f64,
    /// Under the other settings, with a 95% interval for the service of one further period with the same traffic;
    /// `None` if unknown.
    #[serde(rename = "would")]
    pub changed: Option<IntervalEstimate>,
    /// The share (0 to 1) of requests whose outcome under the other settings is known from the log.
    pub support: f64,
    /// The estimate is valid up to this many seconds after the planner's start.
    #[serde(rename = "carries")]
    pub valid_seconds: f64,
    /// Service by class.
    pub classes: Vec<ClassService>,
}

impl Estimate {
    /// An estimate without outcomes. `classes` are names and priority weights.
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
        let block = report.at.as_secs() / BLOCK_DURATION.as_secs();
        let history = self.histories.entry((report.proxy.to_string(), report.class)).or_default();
        history.record(report.at, report.recorded_shares, report.changed_shares);
        for (server, outcomes) in report.outcomes {
            // Attempts that end late, as failures do, were sent by earlier tables. Without the history, failures
            // would be left out while successes count.
            let weight = history.weight(server);
            let totals = self.outcomes.entry((block, server.clone(), report.class)).or_default();
            totals.add(&ClassTotals::weighted(*outcomes, weight));
        }
        self.class_requests.entry((block, report.class)).or_default().add(&report.requests);
        self.add_loads(block, report);
    }

    /// Adds the requests of a report to the servers' loads, by the shares in the tables. The attempts at each
    /// server do not count here, since those before the first commands were not made by a planner's tables.
    fn add_loads(&mut self, block: u64, report: &ReportedOutcomes) {
        let attempts: f64 = report.outcomes.values().map(|outcomes| outcomes.attempts as f64).sum();
        for (server, share) in report.recorded_shares {
            self.loads.entry((block, server.clone())).or_default().recorded += share * attempts;
        }
        let requests = self.requests.entry(block).or_default();
        requests.total += attempts;
        // A higher admission rate brings more requests to all servers.
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

    /// Totals by block, with each server's share of attempts in time corrected for the load that it would have had.
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

    /// Service of each block; under the other settings only where the estimate is valid.
    pub fn timeline(&self) -> Vec<ServiceEstimatePoint> {
        let curve = LoadCurve::new(self);
        let first_invalid = self.first_invalid_block(&curve);
        let point = |(key, block): (&u64, &Block)| {
            let block = std::slice::from_ref(block);
            let is_valid = *key < first_invalid;
            ServiceEstimatePoint {
                seconds: (key * BLOCK_DURATION.as_secs()) as f64,
                recorded: self.service_of(block, ClassTotals::recorded_service).unwrap_or(0.0),
                changed: is_valid.then(|| self.service_of(block, ClassTotals::changed_service)).flatten(),
            }
        };
        self.blocks(&curve).iter().map(point).collect()
    }

    /// Service (0 to 1) over some blocks: the mean over the classes, weighted by priority weight and arrived
    /// requests. Each class is normalised by itself.
    fn service_of(&self, blocks: &[Block], class_service: fn(&ClassTotals) -> Option<f64>) -> Option<f64> {
        let (mut weighted_service, mut total_weight) = (0.0, 0.0);
        for (class, priority_weight) in self.priority_weights.iter().enumerate() {
            let totals = blocks::sum_class(blocks, class);
            if let Some(service) = class_service(&totals) {
                weighted_service += priority_weight * totals.requests.arrived * service;
                total_weight += priority_weight * totals.requests.arrived;
            }
        }
        (total_weight > 0.0).then(|| weighted_service / total_weight)
    }

    /// Estimates service over the time in which the estimate is valid. `seed` is that of the bootstrap.
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
            valid_seconds: (first_invalid.min(end) * BLOCK_DURATION.as_secs()) as f64,
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

    /// The first block from which on the latencies of some server are unknown; [`u64::MAX`] if there is none.
    ///
    /// They are unknown if the server would have had far more load than it had, and either had no load at all, or would
    /// have had a load whose effect the log does not show.
    fn first_invalid_block(&self, curve: &LoadCurve) -> u64 {
        let negligible = NEGLIGIBLE_LOAD_PER_SECOND * BLOCK_DURATION.as_secs_f64();
        let is_unknown = |load: &ServerLoad| {
            let exceeds = load.changed > MAX_LOAD_RATIO * load.recorded + negligible;
            exceeds && !(load.recorded > 0.0 && curve.covers(load.changed))
        };
        let first = self.loads.iter().find(|(_, load)| is_unknown(load));
        first.map_or(u64::MAX, |((block, _), _)| *block)
    }
}
