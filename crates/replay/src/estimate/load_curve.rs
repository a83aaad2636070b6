//! The effect of load, by what the log's servers did.

use super::{Estimate, ServerLoad};
use statrs::statistics::{Data, Median};
use std::collections::BTreeMap;

/// Loads within a quarter count as alike; a server's load varies as much from block to block.
const LOAD_STEP: f64 = 1.25;
/// A load of nothing counts as one request in a hundred blocks.
const MIN_LOAD: f64 = 0.01;
/// So many servers and blocks at a load show its effect, each with so many attempts.
const MIN_SAMPLES: usize = 5;
const MIN_ATTEMPTS: f64 = 5.0;

/// Index of a step of loads that count as alike.
type LoadBin = i32;

/// The median share of attempts in time by class and load. The median, since a few faulty servers say nothing of load.
pub(super) struct LoadCurve(BTreeMap<(usize, LoadBin), f64>);

fn load_bin(load: f64) -> LoadBin {
    (load.max(MIN_LOAD).ln() / LOAD_STEP.ln()).floor() as LoadBin
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

    /// Whether the effect of a load is known for some class.
    pub fn knows(&self, load: f64) -> bool {
        self.0.keys().any(|(_, bin)| *bin == load_bin(load))
    }

    /// The factor by which a class's share in time changes with a server's load; 1 where that is unknown.
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
