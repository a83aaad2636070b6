//! Panic threshold: readmits ejected endpoints when too few are in service.

use crate::controller::Controller;
use crate::endpoint::{slot, HealthState};
use std::time::Duration;

/// An ejected endpoint stays out at least this long, so that a dead one does not return at every evaluation.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Numbers of endpoints in and out of service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceCount {
    in_service: usize,
    out_of_service: usize,
}

impl ServiceCount {
    fn add(&mut self, is_in_service: bool) {
        if is_in_service {
            self.in_service += 1;
        } else {
            self.out_of_service += 1;
        }
    }

    fn is_below_half(self) -> bool {
        self.out_of_service > self.in_service
    }
}

impl Controller {
    /// Readmits the ejected endpoints of each zone, or of the whole fleet, in which less than half of the listed
    /// endpoints are in service. Endpoints ejected on hard evidence return only if that holds for the fleet. If no
    /// endpoint has a weight, all ejected ones return at once.
    pub(crate) fn apply_panic_threshold(&mut self) {
        let mut fleet = ServiceCount::default();
        let mut zones: Vec<ServiceCount> = Vec::new();
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.is_listed()) {
            fleet.add(endpoint.is_in_service());
            slot(&mut zones, endpoint.zone).add(endpoint.is_in_service());
        }
        let none_has_weight = !(0..self.endpoints.len()).any(|server| self.weight(server) > 0.0);
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.is_ejected()) {
            let zone_panics = zones[endpoint.zone].is_below_half() && !endpoint.ejected_on_hard_evidence;
            let has_waited = self.now >= endpoint.health_since + MIN_EJECTION_TIME;
            if none_has_weight || (has_waited && (fleet.is_below_half() || zone_panics)) {
                endpoint.enter(HealthState::SlowStart, self.now);
            }
        }
    }
}
