//! Service under tables that were not in force, from what was met under those that were: importance weighting,
//! normalised by its own weights (Swaminathan and Joachims, "The Self-Normalized Estimator for Counterfactual
//! Learning", NIPS 2015, after Horvitz and Thompson), with error bars by the bootstrap over blocks of time.

use nanorand::{Rng, WyRand};
use serde::Serialize;
use statrs::statistics::{Data, OrderStatistics};
use std::collections::BTreeMap;
use std::time::Duration;

/// Blocks for the bootstrap: longer than what one second does to the next.
const BLOCK: Duration = Duration::from_secs(5);
/// Under this part of the queries with a record of what would have become of them, nothing is said.
pub const SUPPORT_LEAST: f64 = 0.8;
/// A try counts at most so many times: one lucky one must not carry the day. It biases towards what was.
const WEIGHT_MOST: f64 = 10.0;
/// The estimate carries while no server would get more than so many times what it had: its times are then its own.
const LOAD_MOST: f64 = 1.5;
const DRAWS: usize = 400;
/// Fewer blocks than this have no spread to draw from: an interval of them would look surer than it is.
const BLOCKS_LEAST: usize = 4;

/// Shares of the servers in a proxy's tables, by name.
pub type Shares = BTreeMap<String, f64>;

#[derive(Debug, Clone, Copy, Default)]
struct Block {
    good: f64,
    tries: f64,
    had_good: f64,
    had: f64,
    /// Queries whose server was met in that span, of all.
    known: f64,
    all: f64,
}

#[derive(Debug, Default)]
pub struct Estimate {
    blocks: BTreeMap<u64, Block>,
    /// Queries by block and server: by the tables as they were, and as they would have been.
    loads: BTreeMap<(u64, String), (f64, f64)>,
}

/// The estimate of service: tries answered within the soft limit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// As recorded.
    pub was: f64,
    /// As it would have been, with the ends of a 90% interval; none: unknown, for want of support.
    pub would: Option<(f64, f64, f64)>,
    /// The part of the queries for which the record says what became of them.
    pub support: f64,
    /// Seconds up to which the estimate carries.
    pub carries: f64,
}

impl Estimate {
    /// What one proxy met over a span: tries and those within the soft limit by server, under the shares that were in
    /// force, and the shares that would have been.
    pub fn met(&mut self, at: Duration, met: &BTreeMap<String, (u64, u64)>, old: &Shares, new: &Shares) {
        let key = at.as_secs() / BLOCK.as_secs();
        let all: u64 = met.values().map(|m| m.0).sum();
        let block = self.blocks.entry(key).or_default();
        for (server, (tries, good)) in met {
            let (p, q) = (old.get(server).copied().unwrap_or(0.0), new.get(server).copied().unwrap_or(0.0));
            let weight = if p > 0.0 { (q / p).min(WEIGHT_MOST) } else { 0.0 };
            block.good += weight * *good as f64;
            block.tries += weight * *tries as f64;
            block.had_good += *good as f64;
            block.had += *tries as f64;
        }
        // By its shares and not by its tries: what came before the first orders came by no table of a planner's.
        for (server, share) in old {
            self.loads.entry((key, server.clone())).or_default().0 += share * all as f64;
        }
        block.all += all as f64;
        for (server, share) in new {
            let known = met.get(server).is_some_and(|m| m.0 > 0) || old.get(server).is_some_and(|p| *p > 0.0);
            block.known += if known { share * all as f64 } else { 0.0 };
            self.loads.entry((key, server.clone())).or_default().1 += share * all as f64;
        }
    }

    /// Service over time: seconds, as recorded, and as it would have been where the estimate carries.
    pub fn series(&self) -> Vec<(f64, f64, Option<f64>)> {
        let carries = self.carries();
        let point = |(key, b): (&u64, &Block)| {
            let would = (*key < carries && b.tries > 0.0).then(|| b.good / b.tries);
            ((key * BLOCK.as_secs()) as f64, if b.had > 0.0 { b.had_good / b.had } else { 0.0 }, would)
        };
        self.blocks.iter().map(point).collect()
    }

    pub fn service(&self, seed: u64) -> Service {
        let carries = self.carries();
        let blocks: Vec<Block> = self.blocks.iter().filter(|(k, _)| **k < carries).map(|(_, b)| *b).collect();
        let sum = |of: fn(&Block) -> f64| blocks.iter().map(of).sum::<f64>();
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let support = part(sum(|b| b.known), sum(|b| b.all));
        let enough = blocks.len() >= BLOCKS_LEAST && support >= SUPPORT_LEAST && sum(|b| b.tries) > 0.0;
        let would = enough.then(|| {
            let (low, high) = interval(&blocks, seed);
            (part(sum(|b| b.good), sum(|b| b.tries)), low, high)
        });
        let seconds = |block: u64| (block * BLOCK.as_secs()) as f64;
        let end = self.blocks.keys().next_back().map_or(0, |k| k + 1);
        let all = |of: fn(&Block) -> f64| self.blocks.values().map(of).sum::<f64>();
        let was = part(all(|b| b.had_good), all(|b| b.had));
        Service { was, would, support, carries: seconds(carries.min(end)) }
    }

    /// The first block in which a server would have had far more than it had: from there on its times are unknown.
    fn carries(&self) -> u64 {
        let over = |(_, (had, would)): &(&(u64, String), &(f64, f64))| {
            // A few queries more at an idle server say nothing.
            *would > LOAD_MOST * had + 10.0 * BLOCK.as_secs_f64()
        };
        self.loads.iter().find(over).map_or(u64::MAX, |((block, _), _)| *block)
    }
}

/// A 90% interval by drawing blocks with replacement.
fn interval(blocks: &[Block], seed: u64) -> (f64, f64) {
    let mut chance = WyRand::new_seed(seed);
    let draw = |_| {
        let (mut good, mut tries) = (0.0, 0.0);
        for _ in 0..blocks.len() {
            let b = &blocks[chance.generate_range(0..blocks.len())];
            (good, tries) = (good + b.good, tries + b.tries);
        }
        if tries > 0.0 {
            good / tries
        } else {
            0.0
        }
    };
    let mut draws = Data::new((0..DRAWS).map(draw).collect::<Vec<f64>>());
    (draws.quantile(0.05), draws.quantile(0.95))
}
