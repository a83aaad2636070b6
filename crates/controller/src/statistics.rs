//! Averages, medians and histograms that the decisions use.

/// Moves an average towards a sample by `weight` (0 to 1). An average of 0 has no samples yet and takes the value of
/// the sample.
pub(crate) fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * if *average > 0.0 { weight } else { 1.0 };
}

/// Whether both values are `None`, or both are given and differ by less than `share` of the first.
pub(crate) fn is_within(first: Option<f64>, second: Option<f64>, share: f64) -> bool {
    match (first, second) {
        (Some(first), Some(second)) => (second - first).abs() < first * share,
        (first, second) => first == second,
    }
}

/// The upper median; 0 if there are no values.
pub(crate) fn median(mut values: Vec<f32>) -> f32 {
    values.sort_by(f32::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The limit that, applied to each rate, makes their sum equal `capacity`; `None` if the sum does not exceed it.
pub(crate) fn fair_share_limit(mut rates: Vec<f64>, capacity: f64) -> Option<f64> {
    rates.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (position, rate) in rates.iter().enumerate() {
        let equal_share = remaining / (rates.len() - position) as f64;
        if *rate > equal_share {
            return Some(equal_share);
        }
        remaining -= rate;
    }
    None
}

const BUCKETS: usize = 10;
/// The time of the first bucket. The time of each further bucket is twice that of the one before.
const FIRST_BUCKET_SECONDS: f64 = 0.02;
/// The highest position of a sample, in buckets: longer times count almost entirely in the last bucket.
const LAST_POSITION: f64 = 8.999;

/// A histogram of times in buckets whose times double from 20 ms to 10 s.
///
/// A sample between two buckets is split between them, so that the geometric mean stays exact.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyHistogram([f32; BUCKETS]);

impl LatencyHistogram {
    /// Adds a sample, with a weight (the number of requests that it stands for).
    pub fn add(&mut self, seconds: f64, weight: f32) {
        let position = (seconds / FIRST_BUCKET_SECONDS).max(1.0).log2().min(LAST_POSITION);
        let upper_share = position.fract() as f32;
        self.0[position as usize] += weight * (1.0 - upper_share);
        self.0[position as usize + 1] += weight * upper_share;
    }

    /// Halves all weights.
    pub fn halve(&mut self) {
        self.0.iter_mut().for_each(|bucket| *bucket *= 0.5);
    }

    /// Halves all weights if they add up to more than `max_count`.
    pub fn halve_above(&mut self, max_count: f32) {
        if self.count() > max_count {
            self.halve();
        }
    }

    /// The sum of all weights.
    pub fn count(&self) -> f32 {
        self.0.iter().sum()
    }

    /// The geometric mean, in seconds; the time of the first bucket if there are no samples.
    pub fn mean(&self) -> f64 {
        let positions: f32 = self.0.iter().enumerate().map(|(k, bucket)| k as f32 * bucket).sum();
        FIRST_BUCKET_SECONDS * f64::from(positions / self.count().max(f32::MIN_POSITIVE)).exp2()
    }
}
