//! Class limits: how the admission limit is shared among traffic classes and proxies.

use crate::controller::Controller;
use crate::retry_policy::RetryPolicy;
use crate::statistics::fair_share_limit;

/// At least this share of a class's arrivals is admitted.
const MIN_CLASS_SHARE: f64 = 0.05;
/// A rate that rejects nothing exceeds that of the busiest proxy by this factor, and by at least this many requests per
/// second: a nearly idle proxy can get two more in a second by chance.
const UNLIMITED_FACTOR: f64 = 1.2;
const UNLIMITED_EXCESS: f64 = 2.0;

/// The admission rate and retry policy of one class, the same in all tables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ClassAdmission {
    /// Requests per second at each proxy; `None` admits all.
    pub admission_rate: Option<f64>,
    pub retry_policy: RetryPolicy,
}

impl Controller {
    /// The admission of each class: the admission limit is given to the classes in the order of their priority.
    pub(crate) fn class_admissions(&self) -> Vec<ClassAdmission> {
        let retry_policy = self.admission.retry_policy();
        let admits_all = ClassAdmission { admission_rate: None, retry_policy };
        let mut admissions = vec![admits_all; self.config.classes.len()];
        let Some(mut remaining) = self.admission.admission_limit else { return admissions };
        for class in self.config.classes_by_priority() {
            let connected = self.proxies.iter().filter(|proxy| proxy.is_connected);
            let rates: Vec<f64> = connected.filter_map(|p| p.arrival_rates.get(class).copied()).collect();
            let arrival_rate: f64 = rates.iter().sum();
            let class_limit = remaining.max(arrival_rate * MIN_CLASS_SHARE);
            let highest = rates.iter().copied().reduce(f64::max);
            let rejects_nothing = highest.map(|rate| (rate * UNLIMITED_FACTOR).max(rate + UNLIMITED_EXCESS));
            admissions[class].admission_rate = fair_share_limit(rates, class_limit).or(rejects_nothing);
            remaining = (remaining - arrival_rate).max(0.0);
        }
        admissions
    }
}
