//! The interval of an estimate, from the bootstrap and the number of attempts.

use super::blocks::{Block, ClassTotals};
use super::{Estimate, IntervalEstimate, CONFIDENCE};
use nanorand::{Rng, WyRand};
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// Number of bootstrap samples.
const BOOTSTRAP_SAMPLES: usize = 400;
/// Number of attempts in time that are added to those of the log, and number of late attempts likewise (Agresti and
/// Coull). Without them, a log without a late answer would have a variance of 0.
const ADDED_ATTEMPTS: f64 = 2.0;
/// Lower limit of the sum of squared weights, which is a divisor.
const MIN_SQUARED_WEIGHTS: f64 = 1e-9;
/// The quantile that is used if Student's t distribution cannot be constructed.
const DEFAULT_T_QUANTILE: f64 = 2.0;

impl Estimate {
    /// The interval that is meant to contain the service of one further period with the same traffic.
    ///
    /// The variance of the service is taken as the larger of the bootstrap's and [`attempt_variance`]. It is doubled,
    /// since both the estimate and the service of the further period vary.
    pub(super) fn interval(&self, blocks: &[Block], value: f64, seed: u64) -> IntervalEstimate {
        let variance = self.bootstrap_variance(blocks, value, seed).max(attempt_variance(blocks, value));
        let deviation = (2.0 * variance).sqrt();
        let degrees_of_freedom = (blocks.len() - 1).max(1) as f64;
        let t = StudentsT::new(0.0, 1.0, degrees_of_freedom)
            .map_or(DEFAULT_T_QUANTILE, |distribution| distribution.inverse_cdf(0.5 + CONFIDENCE / 2.0));
        IntervalEstimate {
            value,
            lower: (value - t * deviation).max(0.0),
            upper: (value + t * deviation).min(1.0),
        }
    }

    /// Variance of the service over resamples of the blocks, drawn with replacement.
    fn bootstrap_variance(&self, blocks: &[Block], value: f64, seed: u64) -> f64 {
        let mut rng = WyRand::new_seed(seed);
        let mut resampled_service = || {
            let sample: Vec<Block> =
                blocks.iter().map(|_| blocks[rng.generate_range(0..blocks.len())].clone()).collect();
            self.service_of(&sample, ClassTotals::changed_service).unwrap_or(value)
        };
        (0..BOOTSTRAP_SAMPLES).map(|_| resampled_service()).collect::<Vec<f64>>().variance()
    }
}

/// The variance of `value`, a share of the attempts in the blocks, by the effective number of these attempts (Kish).
fn attempt_variance(blocks: &[Block], value: f64) -> f64 {
    let totals = || blocks.iter().flat_map(|block| &block.classes);
    let attempts: f64 = totals().map(|totals| totals.attempts).sum();
    let squared_weights = totals().map(|totals| totals.squared_weights).sum::<f64>().max(MIN_SQUARED_WEIGHTS);
    let effective_attempts = attempts * attempts / squared_weights;
    let padded_attempts = effective_attempts + 2.0 * ADDED_ATTEMPTS;
    let share = (value * effective_attempts + ADDED_ATTEMPTS) / padded_attempts;
    share * (1.0 - share) / padded_attempts
}
