//! Endpoint lists: applies the records of a list to known and to new endpoints.
//!
//! Lists can be wrong. With `EndpointListConfig::only_draining_binds`, an endpoint that is *missing from the list*
//! stays in service until it fails, and one that a list other than the first adds without a start time is *unverified*
//! until its first success. The list is *stale* while many successes come from endpoints that no list has contained. It
//! is *unreliable* if `only_draining_binds` is set and it has no draining endpoint: proxies may then keep the tables of
//! an earlier planner.

use crate::controller::Controller;
use crate::endpoint::{slot, Endpoint, HealthState};
use crate::event::{EndpointRecord, EndpointUpdate, ListedState, ServerId};
use crate::statistics::LatencyHistogram;
use nanorand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// An endpoint with a success within this time was running all along, whatever the list said.
const RECENT_SUCCESS: Duration = Duration::from_secs(3);
/// First health checks are spread over this time, in milliseconds.
const HEALTH_CHECK_SPREAD_MS: u64 = 2000;
/// Replaces a configured weight that is not a finite number above 0.
const DEFAULT_WEIGHT: f64 = 1.0;

/// How far the list is to be trusted.
#[derive(Debug, Clone, Copy)]
struct ListTrust {
    /// Whether no list with endpoints came before this one.
    is_first: bool,
    /// Whether endpoints that are missing from the list may stay in service.
    missing_may_serve: bool,
}

impl Endpoint {
    /// Whether a record describes the process that is already known, rather than one that started later.
    fn is_same_process(&self, record: &EndpointRecord) -> bool {
        self.has_been_in_service() && self.configured_weight > 0.0 && record.started <= self.started_at
    }

    /// Whether it has ever been in service: an endpoint that was only listed as draining has no speed factor yet.
    fn has_been_in_service(&self) -> bool {
        self.speed_factor > 0.0
    }

    /// Applies a record; returns whether it puts a new process into service.
    fn apply_record(&mut self, record: &EndpointRecord, trust: ListTrust, now: Duration) -> bool {
        let is_known = self.is_same_process(record);
        // A removal may lack weight and zone. An endpoint in service may stay there, so it keeps its own.
        if record.state != ListedState::Removed || !self.is_in_service() {
            self.apply_properties(record);
        }
        match record.state {
            ListedState::Draining => self.enter(HealthState::Draining, now),
            ListedState::Removed => self.remove_from_list(trust.missing_may_serve, now),
            ListedState::Ready if is_known && self.is_listed() => self.missing_from_list = false,
            // An earlier list was wrong about it: it is the same process, and keeps its start time and speed factor.
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

    /// Puts a new process into service. One without a start time, which counts as started long ago, is warm if it is on
    /// the first list or answered before it was listed; otherwise, where lists can be wrong, it is unverified.
    fn begin_service(&mut self, record: &EndpointRecord, trust: ListTrust, now: Duration) {
        let answered_recently = trust.missing_may_serve && now < self.last_success + RECENT_SUCCESS;
        let is_running = trust.is_first || answered_recently;
        let is_warm = is_running && record.started.is_none();
        self.unverified = !is_running && trust.missing_may_serve && record.started.is_none();
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

    /// Removes the endpoints that a complete list does not contain.
    fn remove_missing(&mut self, records: &[EndpointRecord], trust: ListTrust) {
        let listed: BTreeSet<ServerId> = records.iter().map(|record| record.server).collect();
        for (server, endpoint) in self.endpoints.iter_mut().enumerate() {
            if !listed.contains(&server) {
                endpoint.remove_from_list(trust.missing_may_serve, self.now);
            }
        }
    }
}
