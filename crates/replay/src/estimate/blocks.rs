//! Totals of outcomes over blocks of time.

use super::{BlockRequests, Outcomes, RequestCounts};

/// Attempts of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassTotals {
    /// Weighted attempts in time.
    pub in_time: f64,
    /// Weighted attempts.
    pub attempts: f64,
    /// Squares of the weights, for the number of unweighted attempts that these are worth.
    pub squared_weights: f64,
    /// Recorded attempts in time.
    pub recorded_in_time: f64,
    /// Recorded attempts.
    pub recorded_attempts: f64,
    /// The class's requests.
    pub requests: RequestCounts,
}

impl ClassTotals {
    /// Recorded outcomes, each attempt counted `weight` times.
    pub fn weighted(outcomes: Outcomes, weight: f64) -> ClassTotals {
        let (attempts, in_time) = (outcomes.attempts as f64, outcomes.in_time as f64);
        ClassTotals {
            in_time: weight * in_time,
            attempts: weight * attempts,
            squared_weights: weight * weight * attempts,
            recorded_in_time: in_time,
            recorded_attempts: attempts,
            requests: RequestCounts::default(),
        }
    }

    /// The same with the weighted attempts in time multiplied, up to all attempts.
    pub fn scaled(&self, factor: f64) -> ClassTotals {
        ClassTotals { in_time: (self.in_time * factor).min(self.attempts), ..*self }
    }

    pub fn add(&mut self, other: &ClassTotals) {
        self.in_time += other.in_time;
        self.attempts += other.attempts;
        self.squared_weights += other.squared_weights;
        self.recorded_in_time += other.recorded_in_time;
        self.recorded_attempts += other.recorded_attempts;
        self.requests.add(&other.requests);
    }

    /// The share of requests that were admitted and answered in time; `None` without an attempt.
    pub fn recorded_service(&self) -> Option<f64> {
        let is_known = self.recorded_attempts > 0.0 && self.requests.arrived > 0.0;
        is_known.then(|| {
            self.requests.recorded_admitted / self.requests.arrived * self.recorded_in_time
                / self.recorded_attempts
        })
    }

    /// The share of requests that would have been admitted and answered in time.
    pub fn changed_service(&self) -> Option<f64> {
        let is_known = self.attempts > 0.0 && self.requests.arrived > 0.0;
        is_known
            .then(|| self.requests.changed_admitted / self.requests.arrived * self.in_time / self.attempts)
    }
}

/// One block of time.
#[derive(Debug, Clone, Default)]
pub(super) struct Block {
    /// Totals by class.
    pub classes: Vec<ClassTotals>,
    pub requests: BlockRequests,
}

/// Totals of one class over some blocks.
pub(super) fn sum_class(blocks: &[Block], class: usize) -> ClassTotals {
    let mut sum = ClassTotals::default();
    for block in blocks {
        sum.add(&block.classes[class]);
    }
    sum
}

/// The share (0 to 1) of requests whose outcome is known.
pub(super) fn support(blocks: &[Block]) -> f64 {
    let (mut known, mut total) = (0.0, 0.0);
    for block in blocks {
        known += block.requests.known;
        total += block.requests.total;
    }
    if total > 0.0 {
        known / total
    } else {
        0.0
    }
}
