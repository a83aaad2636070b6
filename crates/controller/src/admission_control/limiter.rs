//! Load shedding: lowers the admitted load under pressure, and raises it again when the pressure is low.

use super::{AdmissionController, Demand, HIGH_PRESSURE, LOW_PRESSURE};
use crate::event::ClassId;
use std::time::Duration;

/// A tightened limit is a share of the success rate, so that queues drain. The share is 1 minus this constant times the
/// pressure, clamped to [`TIGHTEN_SHARE_LIMITS`].
const TIGHTEN_SHARE_PER_PRESSURE: f64 = 0.15;
const TIGHTEN_SHARE_LIMITS: (f64, f64) = (0.5, 0.9);
/// The success rate that a limit is computed from is at least this share of the capacity knee.
const MIN_CAPACITY_SHARE: f64 = 0.6;
/// If the pressure comes from failures alone, endpoints may be broken rather than overloaded: the limit falls to no
/// less than this share of the admitted rate.
const FAILURE_TIGHTEN_SHARE: f64 = 0.9;
/// A class is isolated if the pressure is above this, or if arrivals exceed the capacity estimate by this factor.
const ISOLATION_PRESSURE: f64 = 1.5;
const ISOLATION_ARRIVAL_EXCESS: f64 = 1.15;
/// The share of the endpoints for isolated classes: its initial value, the factor of each further step, and its bounds.
const INITIAL_ISOLATED_SHARE: f64 = 0.15;
const ISOLATED_SHARE_STEP: f64 = 0.8;
const ISOLATED_SHARE_LIMITS: (f64, f64) = (0.06, 0.8);

/// A limit may exceed the sustained rate by this factor.
const SUSTAINED_EXCESS: f64 = 1.1;
/// Growth of a limit per tick and unit of pressure below 1. Below the capacity knee the limit grows faster by the
/// boost.
const RELAX_GROWTH: f64 = 0.2;
const RELAX_BOOST_BELOW_KNEE: f64 = 1.1;
/// A limit grows faster up to this share of the capacity knee.
const KNEE_SHARE: f64 = 0.9;
/// The limit is at most this many times the arrival rate, which leaves room for a surge.
const SURGE_MARGIN: f64 = 1.3;
/// The estimated capacity bounds the limit from this many ticks with reports on.
const TICKS_UNTIL_LIMIT_BINDS: u32 = 4;

impl AdmissionController {
    /// Sheds load: retries first, then requests by a limit or, if proxies cannot limit rates, by isolating
    /// `lowest_class`.
    pub(super) fn tighten(&mut self, demand: &Demand, lowest_class: Option<ClassId>, now: Duration) {
        if self.retries_disabled && demand.limits_request_rate {
            self.tighten_limit(demand);
        } else if self.retries_disabled && self.needs_isolation(demand) {
            self.tighten_isolation(lowest_class);
        }
        self.retries_disabled = true;
        self.last_shed_at = now;
    }

    fn tighten_limit(&mut self, demand: &Demand) {
        if self.capacity_knee == 0.0 {
            self.capacity_knee = self.capacity_estimate.max(self.success_rate / demand.fleet_weight);
        }
        let (min_share, max_share) = TIGHTEN_SHARE_LIMITS;
        let share =
            (1.0 - TIGHTEN_SHARE_PER_PRESSURE * self.shared.overload_pressure).clamp(min_share, max_share);
        let min_capacity = self.capacity_knee * demand.fleet_weight * MIN_CAPACITY_SHARE;
        let below_capacity = self.success_rate.max(min_capacity) * share;
        let min_limit = if self.shared.latency_pressure > HIGH_PRESSURE {
            0.0
        } else {
            let admitted = self.admission_limit.unwrap_or(demand.arrival_rate).min(demand.arrival_rate);
            admitted * FAILURE_TIGHTEN_SHARE
        };
        self.admission_limit = Some(below_capacity.max(min_limit));
    }

    fn needs_isolation(&self, demand: &Demand) -> bool {
        let capacity = self.capacity_estimate * demand.fleet_weight;
        self.shared.overload_pressure > ISOLATION_PRESSURE
            || demand.arrival_rate > capacity * ISOLATION_ARRIVAL_EXCESS
    }

    fn tighten_isolation(&mut self, lowest_class: Option<ClassId>) {
        let (min_share, _) = ISOLATED_SHARE_LIMITS;
        self.isolated_share = if self.isolated_classes == 0 {
            INITIAL_ISOLATED_SHARE
        } else {
            (self.isolated_share * ISOLATED_SHARE_STEP).max(min_share)
        };
        self.isolated_classes = lowest_class.map_or(0, |class| 1 << class);
    }

    /// Admits more load; retries are allowed last.
    ///
    /// `admitted_capacity` is the share of the capacity estimate that may be admitted.
    pub(super) fn relax(&mut self, demand: &Demand, admitted_capacity: f64, now: Duration) {
        let headroom = 1.0 - self.shared.overload_pressure;
        let growth = 1.0 + RELAX_GROWTH * headroom;
        if demand.limits_request_rate && self.capacity_is_known() {
            self.relax_limit(demand, admitted_capacity, headroom, growth);
        }
        let (_, max_share) = ISOLATED_SHARE_LIMITS;
        self.isolated_share = (self.isolated_share * growth).min(max_share);
        if self.isolated.overload_pressure < LOW_PRESSURE && demand.has_settled {
            self.isolated_classes = 0;
        }
        self.restore_retries(demand.arrival_rate, now);
        if !self.retries_disabled {
            self.capacity_knee = 0.0;
        }
    }

    /// Raises the limit quickly up to the capacity knee, and slowly above it, since an overload shows only after
    /// seconds.
    fn relax_limit(&mut self, demand: &Demand, admitted_capacity: f64, headroom: f64, growth: f64) {
        let knee = self.capacity_knee * demand.fleet_weight * KNEE_SHARE;
        let limit = self.admission_limit.unwrap_or(f64::MAX);
        let raised = if limit < knee {
            (limit * growth * RELAX_BOOST_BELOW_KNEE).min(knee)
        } else if self.capacity_knee > 0.0 {
            limit * (1.0 + RELAX_GROWTH * headroom * headroom)
        } else {
            limit * growth
        };
        let capacity =
            (self.capacity_estimate * admitted_capacity).max(self.sustained_rate * SUSTAINED_EXCESS);
        let max_limit = if self.ticks_with_reports < TICKS_UNTIL_LIMIT_BINDS {
            f64::MAX
        } else {
            capacity * demand.fleet_weight
        };
        self.admission_limit = Some(raised.min(demand.arrival_rate * SURGE_MARGIN).min(max_limit));
    }
}
