//! Admission control: measures how overloaded the fleet is, and sheds load.
//!
//! Retries are stopped first. If that does not suffice, the arrival rate is limited, and the limit is shared among the
//! classes by priority; if proxies cannot limit rates, the class of the lowest priority is isolated on a share of the
//! endpoints. `docs/capacity.md` explains the values of the constants.

mod capacity;
mod class_limits;
mod limiter;
mod pressure;

pub(crate) use class_limits::ClassAdmission;
pub(crate) use pressure::PoolLoad;

use crate::config::SelectionMethod;
use crate::controller::Controller;
use std::time::Duration;

/// A mean latency of this share of the latency objective is overload, since the slow tail then misses the objective.
const OVERLOAD_LATENCY_SHARE: f64 = 0.45;
/// Failures count as pressure up to this many times the latency pressure. The cap is lower for rate limits: a limit
/// that is due to broken endpoints costs more than an isolated class.
const FAILURE_PRESSURE_CAP_RATE_LIMIT: f64 = 1.4;
const FAILURE_PRESSURE_CAP_ISOLATION: f64 = 1.6;
/// Load is shed above the high pressure, and admitted again below the low one.
const HIGH_PRESSURE: f64 = 1.0;
const LOW_PRESSURE: f64 = 0.9;
/// The pressure is known after this many ticks with reports. Until then cold endpoints have to withstand an assumed
/// one, since the controller may have restarted during an overload.
const TICKS_UNTIL_PRESSURE_KNOWN: u32 = 4;
const ASSUMED_PRESSURE: f64 = 2.5;

/// Lower bound of the sum of all weights.
const MIN_FLEET_WEIGHT: f64 = 1e-3;
/// Endpoints whose last report is older than this do not count in the success rate.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// The list is stale if endpoints that any list has contained have less than this share of all successes.
const MIN_LISTED_SHARE: f64 = 0.85;
/// Each class counts with this many requests per second in addition to its arrivals, so that the sum is not 0.
const MIN_CLASS_ARRIVAL_RATE: f64 = 1e-6;

/// The effect of a change is known after this time, since reports are delayed and queues have to drain; the time is
/// longer while requests are limited.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const SETTLE_TIME_LIMITED: Duration = Duration::from_secs(2);
/// The share of the capacity estimate that may be admitted. It is lower for random selection, with which queues grow at
/// a lower load.
const ADMITTED_CAPACITY_RANDOM: f64 = 0.7;
const ADMITTED_CAPACITY: f64 = 0.8;

/// The load and the capacity to handle it, at one tick.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// The sum of all endpoints' weights.
    pub fleet_weight: f64,
    /// Requests per second over all proxies and classes.
    pub arrival_rate: f64,
    /// Whether proxies can limit request rates.
    pub limits_request_rate: bool,
    /// Whether the effect of the last change is known: the settle time is over.
    pub has_settled: bool,
}

/// Number of classes that a mask has bits for. Classes with a higher index are never isolated.
const CLASS_MASK_BITS: usize = u64::BITS as usize;

/// The state of admission control: measured load, estimated capacity and present limits.
#[derive(Debug, Default)]
pub(crate) struct AdmissionController {
    /// The load on the shared endpoints, and on those for isolated classes.
    pub shared: PoolLoad,
    pub isolated: PoolLoad,
    /// The pressure on the shared endpoints, with failures counted in full.
    pub uncapped_pressure: f64,
    /// Successes per second over all endpoints.
    pub success_rate: f64,
    /// Whether many successes come from endpoints that no list has contained.
    pub list_is_stale: bool,
    /// Ticks with reports since the start.
    pub ticks_with_reports: u32,
    /// Estimated capacity: requests per second that a unit of weight can handle.
    pub capacity_estimate: f64,
    /// Requests per second that arrived per unit of weight at a low pressure and without limits, as a moving average.
    pub sustained_rate: f64,
    /// Requests per second that a unit of weight could handle when limiting began; 0 once retries are allowed again.
    pub capacity_knee: f64,
    pub retries_disabled: bool,
    /// When load was last shed.
    pub last_shed_at: Duration,
    /// Requests per second over all proxies and classes; `None` admits all.
    pub admission_limit: Option<f64>,
    /// Isolated classes, one bit each, and their share of the weight of the warm endpoints.
    pub isolated_classes: u64,
    pub isolated_share: f64,
}

impl AdmissionController {
    /// The load on the endpoints for isolated classes, or on the shared ones.
    pub fn pool_mut(&mut self, is_isolated: bool) -> &mut PoolLoad {
        if is_isolated {
            &mut self.isolated
        } else {
            &mut self.shared
        }
    }

    /// The pressure that a cold endpoint has to withstand to get requests. Failures count in full, since failures of
    /// any cause accumulate at cold endpoints.
    pub fn pressure_on_cold_endpoints(&self) -> f64 {
        if self.ticks_with_reports < TICKS_UNTIL_PRESSURE_KNOWN {
            ASSUMED_PRESSURE
        } else {
            self.uncapped_pressure
        }
    }

    /// Updates the pressures, once per tick; a mean latency of `overload_latency_seconds` is a pressure of 1.
    pub fn update_pressure(&mut self, overload_latency_seconds: f64, limits_request_rate: bool) {
        let cap = if limits_request_rate {
            FAILURE_PRESSURE_CAP_RATE_LIMIT
        } else {
            FAILURE_PRESSURE_CAP_ISOLATION
        };
        let failure_pressure = self.shared.update_pressure(overload_latency_seconds, cap);
        self.uncapped_pressure = self.shared.latency_pressure.max(failure_pressure);
        self.isolated.update_pressure(overload_latency_seconds, cap);
    }
}

impl Controller {
    /// The mean latency, in seconds, at which the fleet is overloaded: a share of the mean latency objective of the
    /// classes, weighted by their arrivals. Infinite if there are no classes.
    pub(crate) fn overload_latency_seconds(&self) -> f64 {
        let (mut weighted, mut total) = (0.0, 0.0);
        for class in self.config.classes_by_priority() {
            let rates = self.proxies.iter().filter_map(|proxy| proxy.arrival_rates.get(class));
            let arrival_rate: f64 = rates.sum::<f64>() + MIN_CLASS_ARRIVAL_RATE;
            weighted += arrival_rate * self.config.classes[class].latency_objective_seconds;
            total += arrival_rate;
        }
        OVERLOAD_LATENCY_SHARE * if total > 0.0 { weighted / total } else { f64::INFINITY }
    }

    /// Measures the fleet's pressure and capacity, and sheds or admits load. To be called once per tick.
    pub(crate) fn update_admission(&mut self) {
        let limits_request_rate = self.config.limits_request_rate();
        let overload_latency = self.overload_latency_seconds();
        self.admission.update_pressure(overload_latency, limits_request_rate);
        let weights = (0..self.endpoints.len()).map(|server| self.weight(server));
        let fleet_weight = weights.sum::<f64>().max(MIN_FLEET_WEIGHT);
        self.measure_success_rate();
        let arrival_rate: f64 = self.proxies.iter().flat_map(|proxy| &proxy.arrival_rates).sum();
        let (now, admission) = (self.now, &mut self.admission);
        let rejects_arrivals = admission.admission_limit.is_some_and(|limit| limit < arrival_rate);
        let is_limited = rejects_arrivals || admission.isolated_classes != 0;
        let settle_time = if is_limited { SETTLE_TIME_LIMITED } else { SETTLE_TIME };
        let has_settled = now >= admission.last_shed_at + settle_time;
        let demand = Demand { fleet_weight, arrival_rate, limits_request_rate, has_settled };
        admission.update_capacity_estimate(&demand, is_limited);
        let pressure = admission.shared.overload_pressure;
        if pressure > HIGH_PRESSURE && has_settled {
            let mut lower_classes = self.config.classes_by_priority().into_iter().skip(1);
            let lowest_class = lower_classes.rfind(|class| *class < CLASS_MASK_BITS);
            admission.tighten(&demand, lowest_class, now);
        } else if pressure < LOW_PRESSURE {
            let is_random = self.config.selection == SelectionMethod::Random;
            let admitted_capacity = if is_random { ADMITTED_CAPACITY_RANDOM } else { ADMITTED_CAPACITY };
            admission.relax(&demand, admitted_capacity, now);
        }
    }

    /// Sums the success rates of endpoints with recent reports. The list is stale if too small a part of the sum comes
    /// from endpoints that any list has contained; these are the endpoints with a configured weight.
    fn measure_success_rate(&mut self) {
        let recent =
            self.endpoints.iter().filter(|endpoint| self.now < endpoint.last_report + REPORT_LIFETIME);
        let listed = recent.clone().filter(|endpoint| endpoint.configured_weight > 0.0);
        let listed_rate = listed.flat_map(|endpoint| &endpoint.success_rates).sum::<f64>();
        let admission = &mut self.admission;
        admission.success_rate = recent.flat_map(|endpoint| &endpoint.success_rates).sum();
        admission.list_is_stale = listed_rate < MIN_LISTED_SHARE * admission.success_rate;
        admission.ticks_with_reports += u32::from(admission.success_rate > 0.0);
    }
}
