//! Admission control: how overloaded the fleet is, and what is shed.
//!
//! Retries stop first. If that does not help, the arrival rate is limited, and the limit goes to the classes by
//! priority; where proxies cannot limit rates, the class of the lowest priority is isolated on a share of the
//! endpoints. The reasons of the constants stand in `docs/capacity.md`.

mod capacity;
mod class_limits;
mod limiter;
mod pressure;

pub(crate) use class_limits::ClassAdmission;
pub(crate) use pressure::PoolLoad;

use crate::config::SelectionMethod;
use crate::controller::Controller;
use std::time::Duration;

/// The mean latency is too high from this share of the latency objective on, since the slow tail then misses it.
const OVERLOAD_LATENCY_SHARE: f64 = 0.45;
/// Failures count as pressure up to this many times the latency pressure. Limiting the rate for broken endpoints costs
/// more than isolating a class.
const FAILURE_PRESSURE_CAP_RATE_LIMIT: f64 = 1.4;
const FAILURE_PRESSURE_CAP_ISOLATION: f64 = 1.6;
/// A pressure above the first is too high, one below the second leaves room.
const HIGH_PRESSURE: f64 = 1.0;
const LOW_PRESSURE: f64 = 0.9;
/// Ticks with reports after which the pressure is known; until then cold endpoints are held against an assumed one,
/// since a restart may fall into an overload.
const TICKS_UNTIL_PRESSURE_KNOWN: u32 = 4;
const ASSUMED_PRESSURE: f64 = 2.5;

/// The sum of all weights is taken to be at least this.
const MIN_FLEET_WEIGHT: f64 = 1e-3;
/// Reports older than this no longer tell what an endpoint handles.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// The list is stale if listed endpoints handle less than this share of all successes.
const MIN_LISTED_SHARE: f64 = 0.85;
/// A class without arrivals still counts with this many requests a second.
const MIN_CLASS_ARRIVAL_RATE: f64 = 1e-6;

/// A change is judged after this time, longer where requests are limited: reports come late and queues drain first.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const SETTLE_TIME_LIMITED: Duration = Duration::from_secs(2);
/// The share of the capacity estimate that may be admitted: random selection queues at a lower load.
const ADMITTED_CAPACITY_RANDOM: f64 = 0.7;
const ADMITTED_CAPACITY: f64 = 0.8;

/// What arrives and what there is to handle it, at one tick.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// The sum of all endpoints' weights.
    pub fleet_weight: f64,
    /// Requests a second over all proxies and classes.
    pub arrival_rate: f64,
    /// Whether proxies can limit request rates.
    pub limits_request_rate: bool,
    /// Whether the last change had time to show.
    pub has_settled: bool,
}

/// Classes that a mask has bits for. Further ones are never isolated.
const CLASS_MASK_BITS: usize = u64::BITS as usize;

/// How much is admitted, and for whom.
#[derive(Debug, Default)]
pub(crate) struct AdmissionController {
    /// Load of the endpoints of all classes, and of those for isolated classes.
    pub shared: PoolLoad,
    pub isolated: PoolLoad,
    /// The shared pool's pressure with all of its failures in it.
    pub uncapped_pressure: f64,
    /// Successes a second over all endpoints.
    pub success_rate: f64,
    /// Many of the endpoints that answer are not on the list.
    pub list_is_stale: bool,
    /// Ticks with reports since the start.
    pub ticks_with_reports: u32,
    /// Requests a second that a unit of weight can handle, as estimated.
    pub capacity_estimate: f64,
    /// Requests a second that a unit of weight has handled for some seconds at a low pressure.
    pub sustained_rate: f64,
    /// Requests a second that a unit of weight could handle when tightening began; 0 while nothing is limited.
    pub capacity_knee: f64,
    pub retries_disabled: bool,
    pub changed_at: Duration,
    /// Requests a second over all proxies and classes; `None` admits all.
    pub admission_limit: Option<f64>,
    /// Isolated classes, one bit each, and their share of the endpoints.
    pub isolated_classes: u64,
    pub isolated_share: f64,
    /// What was published of each class.
    pub published: Vec<Option<ClassAdmission>>,
}

impl AdmissionController {
    /// The pool of endpoints for isolated classes, or for all others.
    pub fn pool_mut(&mut self, is_isolated: bool) -> &mut PoolLoad {
        if is_isolated {
            &mut self.isolated
        } else {
            &mut self.shared
        }
    }

    /// The pressure that endpoints in slow start are held against. Failures of any cause gather at them.
    pub fn pressure_on_cold_endpoints(&self) -> f64 {
        if self.ticks_with_reports < TICKS_UNTIL_PRESSURE_KNOWN {
            ASSUMED_PRESSURE
        } else {
            self.uncapped_pressure
        }
    }

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
    /// The mean latency, in seconds, from which the fleet is overloaded: by the classes' latency objectives, each
    /// weighted with its arrivals.
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

    /// Measures the fleet's pressure and capacity, and sheds or admits load. To be called once a tick.
    pub(crate) fn update_admission(&mut self) {
        let limits_request_rate = self.config.limits_request_rate();
        let overload_latency = self.overload_latency_seconds();
        self.admission.update_pressure(overload_latency, limits_request_rate);
        let weights = (0..self.endpoints.len()).map(|server| self.weight(server));
        let fleet_weight = weights.sum::<f64>().max(MIN_FLEET_WEIGHT);
        self.measure_success_rate();
        let arrival_rate: f64 = self.proxies.iter().flat_map(|proxy| &proxy.arrival_rates).sum();
        let (now, admission) = (self.now, &mut self.admission);
        let cuts_arrivals = admission.admission_limit.is_some_and(|limit| limit < arrival_rate);
        let is_limited = cuts_arrivals || admission.isolated_classes != 0;
        let settle_time = if is_limited { SETTLE_TIME_LIMITED } else { SETTLE_TIME };
        let has_settled = now >= admission.changed_at + settle_time;
        let demand = Demand { fleet_weight, arrival_rate, limits_request_rate, has_settled };
        admission.update_capacity_estimate(&demand, is_limited);
        let pressure = admission.shared.overload_pressure;
        if pressure > HIGH_PRESSURE && has_settled {
            let mut others = self.config.classes_by_priority().into_iter().skip(1);
            let lowest_class = others.rfind(|class| *class < CLASS_MASK_BITS);
            admission.tighten(&demand, lowest_class, now);
        } else if pressure < LOW_PRESSURE {
            let is_random = self.config.selection == SelectionMethod::Random;
            let admitted_capacity = if is_random { ADMITTED_CAPACITY_RANDOM } else { ADMITTED_CAPACITY };
            admission.relax(&demand, admitted_capacity, now);
        }
    }

    /// Sums the successes a second of endpoints with recent reports, and compares listed endpoints with all.
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
