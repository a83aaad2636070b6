//! Slow start: the share of its weight that an endpoint gets after a start or an ejection.

use crate::config::SlowStartConfig;
use crate::controller::Controller;
use crate::endpoint::{Endpoint, HealthState};
use crate::event::ServerId;
use std::time::Duration;

/// The share of the weight at the beginning of slow start.
const INITIAL_WEIGHT_SHARE: f64 = 0.1;
/// Duration of slow start after an ejection.
const RECOVERY_SECONDS: f64 = 10.0;
/// Slow start of an endpoint that was never ejected takes this many times its warm-up time, at least the minimum and at
/// most [`RECOVERY_SECONDS`].
const WARM_UP_MULTIPLE: f64 = 1.5;
const MIN_SLOW_START_SECONDS: f64 = 2.0;
/// Lower bound of the configured warm-up time, which is a divisor.
const MIN_WARM_UP_SECONDS: f64 = 0.1;
/// A warming endpoint gets requests only if its capacity (0 to 1) is at least this constant times the square of the
/// fleet's pressure; the product is clamped to between [`MIN_CAPACITY_TO_SERVE`] and 1. The required capacity is 0.4 up
/// to a pressure of 1.8, 0.75 at 2.5, and full capacity from 2.9 on.
const CAPACITY_PER_SQUARED_PRESSURE: f64 = 0.12;
const MIN_CAPACITY_TO_SERVE: f64 = 0.4;
/// A warming endpoint has less capacity and is slower as well: its share of the weight is its capacity to this power,
/// at least the minimum.
const COLD_WEIGHT_EXPONENT: f64 = 1.3;
const MIN_COLD_WEIGHT_SHARE: f64 = 0.1;

impl Endpoint {
    /// The share of its weight (0 to 1) that an endpoint in service may get now.
    ///
    /// `fleet_pressure` is the overload pressure of the fleet, above 1 for overload. The higher it is, the warmer an
    /// endpoint has to be, since requests that other endpoints reject accumulate at one that has just started.
    pub(crate) fn warm_fraction(&self, config: &SlowStartConfig, fleet_pressure: f64, now: Duration) -> f64 {
        let ramp = self.ramp_fraction(config, now);
        let Some(started_at) = self.started_at else { return ramp };
        let capacity = guaranteed_capacity(config, now.saturating_sub(started_at));
        let capacity_to_serve = CAPACITY_PER_SQUARED_PRESSURE * fleet_pressure.powi(2);
        if capacity < capacity_to_serve.clamp(MIN_CAPACITY_TO_SERVE, 1.0) {
            return 0.0;
        }
        ramp.min(capacity.powf(COLD_WEIGHT_EXPONENT).max(MIN_COLD_WEIGHT_SHARE))
    }

    /// The share of its weight (0 to 1) by the time since it entered slow start.
    fn ramp_fraction(&self, config: &SlowStartConfig, now: Duration) -> f64 {
        if self.health != HealthState::SlowStart {
            return 1.0;
        }
        let elapsed = now.saturating_sub(self.health_since).as_secs_f64();
        let ramp_seconds = self.ramp_seconds(config);
        (INITIAL_WEIGHT_SHARE + (1.0 - INITIAL_WEIGHT_SHARE) * elapsed / ramp_seconds).min(1.0)
    }

    /// The duration of its slow start. An endpoint that was never ejected only has to warm up, and gets its full
    /// weight sooner: when a third of a fleet is new, its capacity must not stay low for long.
    fn ramp_seconds(&self, config: &SlowStartConfig) -> f64 {
        if !self.ejections.is_empty() {
            return RECOVERY_SECONDS;
        }
        let warm_up = config.warm_up_seconds.max(MIN_WARM_UP_SECONDS);
        (WARM_UP_MULTIPLE * warm_up).clamp(MIN_SLOW_START_SECONDS, RECOVERY_SECONDS)
    }
}

/// The least capacity (0 to 1) that an endpoint has `age` after its start.
fn guaranteed_capacity(config: &SlowStartConfig, age: Duration) -> f64 {
    let initial = config.initial_capacity;
    let warm_up = config.warm_up_seconds.max(MIN_WARM_UP_SECONDS);
    (initial + (1.0 - initial) * age.as_secs_f64() / warm_up).min(1.0)
}

impl Controller {
    /// The share of its weight (0 to 1) that an endpoint in service may get now.
    pub(crate) fn warm_fraction(&self, server: ServerId) -> f64 {
        let pressure = self.admission.pressure_on_cold_endpoints();
        self.endpoints[server].warm_fraction(&self.config.slow_start, pressure, self.now)
    }

    /// The weight that an endpoint should have in its table now; 0 for no entry.
    pub(crate) fn weight(&self, server: ServerId) -> f64 {
        let endpoint = &self.endpoints[server];
        let warm_fraction = if endpoint.is_in_service() { self.warm_fraction(server) } else { 0.0 };
        let overload_share = if endpoint.is_weight_halved { 0.5 } else { 1.0 };
        endpoint.configured_weight * endpoint.speed_factor * warm_fraction * overload_share
    }
}
