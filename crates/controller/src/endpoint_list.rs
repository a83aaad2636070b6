//! Endpoint lists: what a list's records mean for endpoints that are known, and for new ones.
//!
//! Lists can be wrong. Where only draining binds (`EndpointListConfig::only_draining_binds`), an endpoint that is
//! *missing from the list* stays in service until it fails, one that is listed as long started without having been there
//! is *unverified* until its first success, and the list as a whole is *stale* while many successes come from unlisted
//! endpoints; under a list that may be wrong (*doubtful*) proxies keep the tables of an earlier planner.

use crate::controller::Controller;
use crate::endpoint::{slot, Endpoint, HealthState};
use crate::event::{EndpointRecord, EndpointUpdate, ListedState, ServerId};
use crate::statistics::LatencyHistogram;
use nanorand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// An endpoint with a success this recently has been there all along, whatever the list said.
const RECENT_SUCCESS: Duration = Duration::from_secs(3);
/// First health checks are spread over this time, in milliseconds.
const HEALTH_CHECK_SPREAD_MS: u64 = 2000;
/// The weight of a record whose weight is unusable.
const DEFAULT_WEIGHT: f64 = 1.0;

/// How far the list is to be trusted.
#[derive(Debug, Clone, Copy)]
struct ListTrust {
    /// No list came before this one.
    is_first: bool,
    /// Endpoints that are missing from the list may serve on.
    missing_may_serve: bool,
}

impl Endpoint {
    /// Whether a record names the process that is known already.
    fn is_same_process(&self, record: &EndpointRecord) -> bool {
        self.has_been_in_service() && self.configured_weight > 0.0 && record.started <= self.started_at
    }

    /// Whether a process of it has begun its service: one that was only listed as draining has no speed yet.
    fn has_been_in_service(&self) -> bool {
        self.speed_factor > 0.0
    }

    /// Applies a record; returns whether it begins the service of a process that was not known.
    fn apply_record(&mut self, record: &EndpointRecord, trust: ListTrust, now: Duration) -> bool {
        let is_known = self.is_same_process(record);
        // A removal may name no weight or zone, and an endpoint in service may stay there.
        if record.state != ListedState::Removed || !self.is_in_service() {
            self.apply_properties(record);
        }
        match record.state {
            ListedState::Draining => self.enter(HealthState::Draining, now),
            ListedState::Removed => self.remove_from_list(trust.missing_may_serve, now),
            ListedState::Ready if is_known && self.is_listed() => self.missing_from_list = false,
            // The list was wrong, or is right only now: the same process, as warm as its age.
            ListedState::Ready if is_known && trust.missing_may_serve => {
                self.enter(HealthState::SlowStart, now)
            }
            ListedState::Ready => {
                self.begin_service(record, trust, now);
                return true;
            }
        }
        false
    }

    fn apply_properties(&mut self, record: &EndpointRecord) {
        self.zone = record.zone;
        self.kind = record.kind;
        let is_usable = record.weight.is_finite() && record.weight > 0.0;
        self.configured_weight = if is_usable { record.weight } else { DEFAULT_WEIGHT };
    }

    /// Takes in a process that was not known. One that is listed as long started is warm if it is on the first list
    /// or has answered all along; else it has yet to show that it is there.
    fn begin_service(&mut self, record: &EndpointRecord, trust: ListTrust, now: Duration) {
        let has_answered = trust.missing_may_serve && now < self.last_success + RECENT_SUCCESS;
        let is_there = trust.is_first || has_answered;
        let is_warm = is_there && record.started.is_none();
        self.unverified = !is_there && trust.missing_may_serve && record.started.is_none();
        self.enter(if is_warm { HealthState::Healthy } else { HealthState::SlowStart }, now);
        self.speed_factor = 1.0;
        self.last_report = now;
        self.last_success = now;
        self.missing_from_list = false;
        self.latencies = LatencyHistogram::default();
        self.service_times = LatencyHistogram::default();
        self.utilization = 0.0;
        self.started_at = if is_warm { None } else { record.started.or(Some(now)) };
    }
}

impl Controller {
    /// Applies an endpoint list.
    pub(crate) fn update_endpoints(&mut self, update: EndpointUpdate, records: &[EndpointRecord]) {
        let trust = ListTrust {
            is_first: !self.has_listed_endpoints,
            missing_may_serve: self.config.endpoint_list.only_draining_binds,
        };
        self.needs_evaluation = true;
        self.has_listed_endpoints |= !records.is_empty();
        for record in records {
            let now = self.now;
            let endpoint = slot(&mut self.endpoints, record.server);
            if endpoint.apply_record(record, trust, now) {
                let delay_ms =
                    self.random.as_mut().map_or(0, |random| random.generate_range(0..HEALTH_CHECK_SPREAD_MS));
                endpoint.last_health_check = now.saturating_sub(Duration::from_millis(delay_ms));
            }
        }
        if update != EndpointUpdate::Delta {
            self.remove_missing(records, trust);
        }
    }

    fn remove_missing(&mut self, records: &[EndpointRecord], trust: ListTrust) {
        let named: BTreeSet<ServerId> = records.iter().map(|record| record.server).collect();
        for (server, endpoint) in self.endpoints.iter_mut().enumerate() {
            if !named.contains(&server) {
                endpoint.remove_from_list(trust.missing_may_serve, self.now);
            }
        }
    }
}
