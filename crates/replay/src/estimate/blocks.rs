//! Totals of outcomes in blocks of time.

use super::{BlockRequests, Outcomes, RequestCounts};

/// Totals of one class: its attempts, weighted and as recorded, and its requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassTotals {
    /// Weighted attempts in time.
    pub in_time: f64,
    /// Weighted attempts.
    pub attempts: f64,
    /// Sum of the squared weights, for the effective number of attempts.
    pub squared_weights: f64,
    /// Recorded attempts in time.
    pub recorded_in_time: f64,
    /// Recorded attempts.
    pub recorded_attempts: f64,
    /// Requests that arrived and were admitted.
    pub requests: RequestCounts,
}

impl ClassTotals {
    /// Totals of recorded outcomes, with `weight` for each attempt.
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

    /// A copy with the weighted attempts in time multiplied by a factor, and at most all weighted attempts.
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

    /// The share (0 to 1) of requests that were admitted and answered in time; `None` without an attempt or a request.
    pub fn recorded_service(&self) -> Option<f64> {
        let is_known = self.recorded_attempts > 0.0 && self.requests.arrived > 0.0;
        is_known.then(|| {
            self.requests.recorded_admitted / self.requests.arrived * self.recorded_in_time
                / self.recorded_attempts
        })
    }

    /// The share (0 to 1) of requests that would have been admitted and answered in time; `None` without an attempt
    /// or a request.
    pub fn changed_service(&self) -> Option<f64> {
        let is_known = self.attempts > 0.0 && self.requests.arrived > 0.0;
        is_known
            .then(|| self.requests.changed_admitted / self.requests.arrived * self.in_time / self.attempts)
    }
}

/// Totals of one block of time.
#[derive(Debug, Clone, Default)]
pub(super) struct Block {
    /// Totals by index of the class.
    pub classes: Vec<ClassTotals>,
    /// Requests of all classes.
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

/// The share (0 to 1) of requests whose outcome is known under the tables of the other settings; 0 without requests.
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
