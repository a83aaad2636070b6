//! Admission control: how overloaded the fleet is, and what is shed.
//!
//! Retries stop first. If that does not help, the arrival rate is limited, and the limit goes to the classes by
//! priority; where proxies cannot limit rates, the class of the lowest priority is isolated on a share of the
//! endpoints.

use crate::config::SelectionMethod;
use crate::controller::Controller;
use crate::event::ClassId;
use crate::retry_policy::RetryPolicy;
use crate::statistics::{fair_share_limit, update_average, LatencyHistogram};
use std::time::Duration;

/// The mean latency is too high from this share of the latency objective on, since the slow tail then misses it.
const OVERLOAD_LATENCY_SHARE: f64 = 0.45;
/// Failures among this share of the attempts are a pressure of 1: more than a few endpoints' trouble.
const OVERLOAD_FAILURE_RATE: f64 = 0.15;
/// Latencies count as pressure from this many on; below it failures alone do.
const MIN_LATENCY_SAMPLES: f32 = 10.0;
/// Failures count as pressure up to this many times the latency pressure: beside quick answers they are no
/// overload. Limiting the rate for broken endpoints costs more than isolating a class.
const FAILURE_PRESSURE_CAP_RATE_LIMIT: f64 = 1.4;
const FAILURE_PRESSURE_CAP_ISOLATION: f64 = 1.6;

/// The sum of all weights is taken to be at least this.
const MIN_FLEET_WEIGHT: f64 = 1e-3;
/// Reports older than this no longer tell what an endpoint handles.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// If unlisted endpoints handle more than the rest of this share of all successes, the list is stale.
const MIN_LISTED_SHARE: f64 = 0.85;

/// Ticks with reports after which pressure, the capacity estimate and the resulting limit count.
const TICKS_UNTIL_PRESSURE_KNOWN: u32 = 4;
const TICKS_UNTIL_CAPACITY_KNOWN: u32 = 3;
const TICKS_UNTIL_LIMIT_BINDS: u32 = 4;
/// The pressure that cold endpoints are held against before it is known: a restart may fall into an overload.
const ASSUMED_PRESSURE: f64 = 2.5;

/// A pressure above this is too high, one below the second leaves room.
const HIGH_PRESSURE: f64 = 1.0;
const LOW_PRESSURE: f64 = 0.9;
/// Below this pressure a limited fleet is idle: what it handles says nothing of what it could.
const IDLE_PRESSURE: f64 = 0.7;
/// Below this pressure what arrives is taken as what the fleet sustains.
const SUSTAINED_PRESSURE: f64 = 0.85;
/// Gains of the moving averages, per tick.
const CAPACITY_GAIN: f64 = 0.15;
const SUSTAINED_GAIN: f64 = 0.2;
/// The capacity estimate divides by the square root of the pressure, which is taken to be at least this.
const MIN_PRESSURE_FOR_CAPACITY: f64 = 0.4;
/// Growth of the capacity estimate of an idle limited fleet, per tick and unit of pressure below idle.
const IDLE_CAPACITY_GROWTH: f64 = 0.3;
/// A change is judged after this time, longer where requests are limited: reports come late and queues drain first.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const SETTLE_TIME_LIMITED: Duration = Duration::from_secs(2);

/// A tightened limit is this share of what is handled: lower the higher the pressure, within bounds, so that queues
/// drain.
const TIGHTEN_SHARE_PER_PRESSURE: f64 = 0.15;
const TIGHTEN_SHARE_LIMITS: (f64, f64) = (0.5, 0.9);
/// A limit does not fall below this share of the known capacity, before the share above.
const MIN_CAPACITY_SHARE: f64 = 0.6;
/// Where failures alone press, endpoints may be broken rather than overloaded: the limit falls to this share.
const FAILURE_TIGHTEN_SHARE: f64 = 0.9;
/// A class is isolated above this pressure, or when arrivals exceed the capacity estimate by this factor.
const ISOLATION_PRESSURE: f64 = 1.5;
const ISOLATION_ARRIVAL_EXCESS: f64 = 1.15;
/// The isolated classes' share of the endpoints: at first, per further step, and its bounds.
const INITIAL_ISOLATED_SHARE: f64 = 0.15;
const ISOLATED_SHARE_STEP: f64 = 0.8;
const ISOLATED_SHARE_LIMITS: (f64, f64) = (0.06, 0.8);

/// The share of the capacity estimate that may be admitted: random selection queues at a lower load.
const ADMITTED_CAPACITY_RANDOM: f64 = 0.7;
const ADMITTED_CAPACITY: f64 = 0.8;
/// What was sustained may be exceeded by this factor.
const SUSTAINED_EXCESS: f64 = 1.1;
/// Growth of a limit per tick and unit of pressure below 1, below the capacity knee (times the boost) and past it.
const RELAX_GROWTH: f64 = 0.2;
const RELAX_BOOST_BELOW_KNEE: f64 = 1.1;
/// A limit returns quickly up to this share of the capacity knee.
const KNEE_SHARE: f64 = 0.9;
/// A limit at ease is this many times the arrival rate, against surges.
const SURGE_MARGIN: f64 = 1.3;

/// A class is admitted at least this share of its arrivals.
const MIN_CLASS_SHARE: f64 = 0.05;
/// A limit that cuts nothing is above the busiest proxy's rate by this factor, and by this many requests a second:
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

/// The load on a part of the endpoints.
#[derive(Debug, Default)]
pub(crate) struct PoolLoad {
    /// Above 1 the pool has too much to do.
    pub overload_pressure: f64,
    /// The part of the pressure that is latency.
    pub latency_pressure: f64,
    pub latencies: LatencyHistogram,
    /// Attempts and failed attempts, halved at each tick.
    pub attempts: f64,
    pub failures: f64,
}

impl PoolLoad {
    /// Settles the pressure of one tick and returns the pressure of failures alone.
    fn update_pressure(&mut self, overload_latency_seconds: f64, failure_pressure_cap: f64) -> f64 {
        let failure_pressure = self.failures / (self.attempts + 1.0) / OVERLOAD_FAILURE_RATE;
        self.attempts *= 0.5;
        self.failures *= 0.5;
        self.latency_pressure = if self.latencies.count() < MIN_LATENCY_SAMPLES {
            failure_pressure
        } else {
            self.latencies.mean() / overload_latency_seconds
        };
        let capped_failures = failure_pressure.min(self.latency_pressure * failure_pressure_cap);
        self.overload_pressure = self.latency_pressure.max(capped_failures);
        self.latencies.halve();
        failure_pressure
    }
}

/// What arrives and what there is to handle it, at one tick.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// The sum of all endpoints' weights.
    fleet_weight: f64,
    /// Requests a second over all proxies and classes.
    arrival_rate: f64,
    /// Whether proxies can limit request rates.
    limits_request_rate: bool,
    /// Whether the last change had time to show.
    has_settled: bool,
}

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

    /// What a unit of weight can handle: the lower the pressure, the more above what it handles now. The estimate of
    /// a limited fleet at ease rises, since it would fall with the limit otherwise.
    fn update_capacity_estimate(&mut self, demand: &Demand, is_limited: bool) {
        let pressure = self.shared.overload_pressure;
        let capacity =
            self.success_rate / demand.fleet_weight / pressure.max(MIN_PRESSURE_FOR_CAPACITY).sqrt();
        let tells_capacity = !is_limited || capacity > self.capacity_estimate || pressure > IDLE_PRESSURE;
        if self.ticks_with_reports >= TICKS_UNTIL_CAPACITY_KNOWN && pressure < HIGH_PRESSURE && tells_capacity
        {
            update_average(&mut self.capacity_estimate, capacity, CAPACITY_GAIN);
        } else if is_limited && pressure < IDLE_PRESSURE {
            self.capacity_estimate *= 1.0 + IDLE_CAPACITY_GROWTH * (IDLE_PRESSURE - pressure);
        }
        // What arrives without pressing the fleet it can handle, whatever the estimate says.
        if self.ticks_with_reports >= 1 && pressure < SUSTAINED_PRESSURE && !is_limited {
            update_average(
                &mut self.sustained_rate,
                demand.arrival_rate / demand.fleet_weight,
                SUSTAINED_GAIN,
            );
        }
    }

    /// Sheds load: retries first, then requests by a limit, or by isolating `lowest_class` where proxies cannot
    /// limit rates.
    fn tighten(&mut self, demand: &Demand, lowest_class: Option<ClassId>, now: Duration) {
        if self.retries_disabled && demand.limits_request_rate {
            self.tighten_limit(demand);
        } else if self.retries_disabled && self.needs_isolation(demand) {
            self.tighten_isolation(lowest_class);
        }
        self.retries_disabled = true;
        self.changed_at = now;
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
        let one_step = if self.shared.latency_pressure > HIGH_PRESSURE {
            0.0
        } else {
            let admitted = self.admission_limit.unwrap_or(demand.arrival_rate).min(demand.arrival_rate);
            admitted * FAILURE_TIGHTEN_SHARE
        };
        self.admission_limit = Some(below_capacity.max(one_step));
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

    /// Admits more; retries return last.
    fn relax(&mut self, demand: &Demand, admitted_capacity: f64, now: Duration) {
        let ease = 1.0 - self.shared.overload_pressure;
        let growth = 1.0 + RELAX_GROWTH * ease;
        if demand.limits_request_rate && self.ticks_with_reports >= TICKS_UNTIL_CAPACITY_KNOWN {
            self.relax_limit(demand, admitted_capacity, ease, growth);
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

    /// Raises the limit up to the capacity knee at once, and past it by little: too much shows seconds late.
    fn relax_limit(&mut self, demand: &Demand, admitted_capacity: f64, ease: f64, growth: f64) {
        let knee = self.capacity_knee * demand.fleet_weight * KNEE_SHARE;
        let limit = self.admission_limit.unwrap_or(f64::MAX);
        let raised = if limit < knee {
            (limit * growth * RELAX_BOOST_BELOW_KNEE).min(knee)
        } else if self.capacity_knee > 0.0 {
            limit * (1.0 + RELAX_GROWTH * ease * ease)
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

impl Controller {
    /// The mean latency, in seconds, from which the fleet is overloaded: by the classes' latency objectives, each
    /// weighted with its arrivals.
    pub(crate) fn overload_latency_seconds(&self) -> f64 {
        let (mut weighted, mut total) = (0.0, 0.0);
        for class in self.config.classes_by_priority() {
            let rates = self.proxies.iter().filter_map(|proxy| proxy.arrival_rates.get(class));
            let arrival_rate: f64 = rates.sum::<f64>() + 1e-6;
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
            let lowest_class = self.config.classes_by_priority().into_iter().skip(1).last();
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
            let cuts_nothing = highest.map(|rate| (rate * UNLIMITED_FACTOR).max(rate + UNLIMITED_EXCESS));
            admissions[class].admission_rate = fair_share_limit(rates, class_limit).or(cuts_nothing);
            remaining = (remaining - arrival_rate).max(0.0);
        }
        admissions
    }
}
