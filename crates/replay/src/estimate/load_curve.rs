//! The effect of load on service, as observed at the servers of the log.

use super::{Estimate, ServerLoad};
use statrs::statistics::{Data, Median};
use std::collections::BTreeMap;

/// Ratio of the upper to the lower bound of a load bin. A server's load varies by a quarter from block to block anyway.
const LOAD_BIN_RATIO: f64 = 1.25;
/// Lower limit of a load in requests a block, since a load of 0 has no logarithm: one request in a hundred blocks.
const MIN_LOAD: f64 = 0.01;
/// Samples that a load bin needs; a sample is one server in one block.
const MIN_SAMPLES: usize = 5;
/// Recorded attempts that a sample needs.
const MIN_ATTEMPTS: f64 = 5.0;

/// Index of a bin of similar loads; the bounds of the bins grow exponentially.
type LoadBin = i32;

/// The median share of attempts in time, by class and load bin. It is the median because a few servers may be faulty
/// whatever their load.
pub(super) struct LoadCurve(BTreeMap<(usize, LoadBin), f64>);

fn load_bin(load: f64) -> LoadBin {
    (load.max(MIN_LOAD).ln() / LOAD_BIN_RATIO.ln()).floor() as LoadBin
}

impl LoadCurve {
    pub fn new(estimate: &Estimate) -> LoadCurve {
        let mut samples: BTreeMap<(usize, LoadBin), Vec<f64>> = BTreeMap::new();
        for ((block, server, class), totals) in &estimate.outcomes {
            if totals.recorded_attempts < MIN_ATTEMPTS {
                continue;
            }
            let load = estimate.loads.get(&(*block, server.clone())).map_or(0.0, |load| load.recorded);
            let share = totals.recorded_in_time / totals.recorded_attempts;
            samples.entry((*class, load_bin(load))).or_default().push(share);
        }
        samples.retain(|_, shares| shares.len() >= MIN_SAMPLES);
        LoadCurve(samples.into_iter().map(|(key, shares)| (key, Data::new(shares).median())).collect())
    }

    /// Whether the effect of a load is known for at least one class.
    pub fn covers(&self, load: f64) -> bool {
        self.0.keys().any(|(_, bin)| *bin == load_bin(load))
    }

    /// The factor by which a class's share of attempts in time changes from a server's recorded load to its changed
    /// one; 1 where that is unknown.
    pub fn correction(&self, class: usize, load: &ServerLoad) -> f64 {
        let share = |load: f64| self.0.get(&(class, load_bin(load))).copied();
        match (share(load.recorded), share(load.changed)) {
            (Some(recorded), Some(changed))
                if recorded > 0.0 && load_bin(load.recorded) != load_bin(load.changed) =>
            {
                changed / recorded
            }
            _ => 1.0,
        }
    }
}
