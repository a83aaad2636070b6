//! Speed estimation: estimates how fast each endpoint is relative to its configured weight.

use crate::controller::Controller;
use crate::endpoint::{slot, Endpoint, HealthState};
use crate::event::ServerId;
use crate::warm_start::SPEED_FACTOR_LIMITS;
use std::time::Duration;

/// A utilization (0 to 1) has to be above this to be evidence of the speed.
const MIN_UTILIZATION: f64 = 0.05;
/// An endpoint's utilization counts from this many attempts on: with little load it looks faster than it is.
const MIN_UTILIZATION_ATTEMPTS: f32 = 8.0;
/// A mean service time, or a mean latency, counts from this many samples on.
const MIN_SERVICE_TIME_SAMPLES: f32 = 4.0;
const MIN_LATENCY_SAMPLES: f32 = 8.0;

/// The share of the remaining difference that one update corrects. It is small because the evidence responds to the
/// weight itself, with a delay of seconds: with a larger one, estimates would oscillate.
const UPDATE_GAIN: f64 = 0.1;
/// The gain for load reports if this planner is the only one that sets weights.
const UPDATE_GAIN_ONLY_PLANNER: f64 = 0.2;
/// The gain for load reports of an endpoint that has just started and is slower than estimated: its queue grows until
/// the estimate is right. One that looks faster may do so only because its queue is still empty.
const UPDATE_GAIN_SLOW_NEW_ENDPOINT: f64 = 0.3;
/// An endpoint with a known start time counts as just started for this long after its slow start began.
const NEW_ENDPOINT_TIME: Duration = Duration::from_secs(10);
/// Bound of the difference to the peers that an update takes into account, as a logarithm.
const MAX_LOG_DIFFERENCE: f64 = 1.0;
/// Half of a difference in latency counts, since latencies include queueing, which grows with the weight.
const LATENCY_DIFFERENCE_SHARE: f64 = 0.5;

/// An endpoint's latencies count for its kind of machine from this many samples on.
const MIN_KIND_LATENCY_SAMPLES: f32 = 4.0;
/// The share of the difference between kinds that counts, and its bound, both for logarithms.
const KIND_BIAS_SHARE: f64 = 0.5;
const MAX_KIND_BIAS: f64 = 0.5;

/// Evidence of an endpoint's speed: the time or load that a unit of work costs there.
#[derive(Debug, Clone, Copy)]
struct CostSample {
    server: ServerId,
    cost: f64,
    /// Whether it comes from the endpoint's own load report, and so includes no queueing.
    is_load_report: bool,
}

/// A group of endpoints whose costs are comparable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerGroup {
    /// All endpoints that report their utilization.
    Utilization,
    /// Endpoints on one kind of machine, without reported utilization.
    Kind(usize),
}

impl PeerGroup {
    fn index(self) -> usize {
        match self {
            PeerGroup::Utilization => 0,
            PeerGroup::Kind(kind) => kind + 1,
        }
    }
}

impl Endpoint {
    /// The best available evidence of the endpoint's speed, if there is any: its utilization, else its service times,
    /// else its latencies. Utilization is divided by the attempts per unit of configured weight or, if there are other
    /// planners, by the speed factor.
    ///
    /// An endpoint in slow start has no evidence: with little load it looks faster than it is.
    fn speed_evidence(&self, server: ServerId, is_only_planner: bool) -> Option<(PeerGroup, CostSample)> {
        let reports_utilization = self.utilization > MIN_UTILIZATION;
        if self.health == HealthState::SlowStart {
            return None;
        }
        if reports_utilization {
            if self.attempts < MIN_UTILIZATION_ATTEMPTS {
                return None;
            }
            let work = if is_only_planner {
                f64::from(self.attempts) / self.configured_weight
            } else {
                self.speed_factor
            };
            let sample = CostSample { server, cost: self.utilization / work, is_load_report: true };
            return Some((PeerGroup::Utilization, sample));
        }
        if self.service_times.count() >= MIN_SERVICE_TIME_SAMPLES {
            let cost = self.configured_weight * self.service_times.mean();
            return Some((PeerGroup::Kind(self.kind), CostSample { server, cost, is_load_report: true }));
        }
        if self.latencies.count() >= MIN_LATENCY_SAMPLES {
            let sample = CostSample { server, cost: self.latencies.mean(), is_load_report: false };
            return Some((PeerGroup::Kind(self.kind), sample));
        }
        None
    }

    /// Moves the speed factor towards a target, which is given as a logarithm.
    fn move_speed_factor(&mut self, target: f64, is_load_report: bool, is_only_planner: bool, now: Duration) {
        let current = self.speed_factor.ln();
        let has_just_started = self.started_at.is_some() && now < self.health_since + NEW_ENDPOINT_TIME;
        let gain = match is_load_report {
            true if has_just_started && target < current => UPDATE_GAIN_SLOW_NEW_ENDPOINT,
            true if is_only_planner => UPDATE_GAIN_ONLY_PLANNER,
            _ => UPDATE_GAIN,
        };
        let (min, max) = SPEED_FACTOR_LIMITS;
        self.speed_factor = (self.speed_factor * ((target - current) * gain).exp()).clamp(min, max);
    }
}

/// The mean logarithm of the costs; 0 if there are no samples.
fn mean_log_cost(samples: &[CostSample]) -> f64 {
    samples.iter().map(|sample| sample.cost.ln()).sum::<f64>() / samples.len().max(1) as f64
}

/// Sum and number of the logarithms of latencies.
#[derive(Debug, Clone, Copy, Default)]
struct LogLatency {
    sum: f64,
    count: f64,
}

impl LogLatency {
    fn mean(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

impl Controller {
    /// Updates the speed factors by the differences between endpoints and their peers. To be called once per tick.
    pub(crate) fn update_speed_estimates(&mut self) {
        let is_only_planner = self.config.is_only_planner();
        let mut groups: Vec<Vec<CostSample>> = Vec::new();
        for (server, endpoint) in self.endpoints.iter().enumerate().filter(|(_, e)| e.is_in_service()) {
            if let Some((group, sample)) = endpoint.speed_evidence(server, is_only_planner) {
                slot(&mut groups, group.index()).push(sample);
            }
        }
        let kind_bias = self.kind_bias();
        for (group, samples) in groups.iter().enumerate() {
            let mean = mean_log_cost(samples);
            let bias = group.checked_sub(1).and_then(|kind| kind_bias.get(kind).copied()).unwrap_or(0.0);
            for sample in samples {
                let difference = (mean - sample.cost.ln()).clamp(-MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE);
                let share = if sample.is_load_report { 1.0 } else { LATENCY_DIFFERENCE_SHARE };
                let target = bias + difference * share;
                let endpoint = &mut self.endpoints[sample.server];
                endpoint.move_speed_factor(target, sample.is_load_report, is_only_planner, self.now);
            }
        }
    }

    /// How much faster each kind of machine is than its configured weights say, as a logarithm: half of the difference
    /// between its latencies and those of all kinds.
    ///
    /// It corrects lists whose weights do not distinguish slow cores from fast ones. It is wrong for a kind that is
    /// slow even without load; since only half of the difference counts, that kind keeps most of its share.
    fn kind_bias(&self) -> Vec<f64> {
        let mut kinds: Vec<LogLatency> = Vec::new();
        for endpoint in &self.endpoints {
            if endpoint.health == HealthState::Healthy
                && endpoint.latencies.count() >= MIN_KIND_LATENCY_SAMPLES
            {
                let kind = slot(&mut kinds, endpoint.kind);
                kind.sum += endpoint.latencies.mean().ln();
                kind.count += 1.0;
            }
        }
        let mut all = LogLatency::default();
        for kind in &kinds {
            all.sum += kind.sum;
            all.count += kind.count;
        }
        let mean = all.mean().unwrap_or_default();
        let bias = |kind: &LogLatency| KIND_BIAS_SHARE * (mean - kind.mean().unwrap_or(mean));
        kinds.iter().map(|kind| bias(kind).clamp(-MAX_KIND_BIAS, MAX_KIND_BIAS)).collect()
    }
}
