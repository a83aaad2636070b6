//! Class limits: how the admission limit is shared among traffic classes and proxies.

use crate::controller::Controller;
use crate::retry_policy::RetryPolicy;
use crate::statistics::fair_share_limit;

/// A class is admitted at least this share of its arrivals.
const MIN_CLASS_SHARE: f64 = 0.05;
/// A rate that rejects nothing is above the busiest proxy's rate by this factor, and by this many requests a second:
/// a nearly idle proxy gets two more in a second by chance.
const UNLIMITED_FACTOR: f64 = 1.2;
const UNLIMITED_EXCESS: f64 = 2.0;

/// What a table admits of one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ClassAdmission {
    /// Requests a second at each proxy; `None` admits all.
    pub admission_rate: Option<f64>,
    pub retry_policy: RetryPolicy,
}

impl Controller {
    /// What tables are to admit of each class: the limit goes to the classes by priority.
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
