//! Settings of the guard, derived from the deployment's configuration.

use runloom_controller::DeploymentConfig;
use std::time::Duration;

/// Warm-up time if the configured one is not a valid duration.
const DEFAULT_WARM_UP: Duration = Duration::from_secs(20);
/// Overload multiple if none is configured.
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 4.0;
/// Lower bound of [`GuardConfig::initial_capacity`].
const MIN_INITIAL_CAPACITY: f64 = 0.01;
/// Lower bound of the warm-up time in seconds, as a divisor.
const MIN_WARM_UP_SECONDS: f64 = 0.001;

/// Settings of the guard.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardConfig {
    /// Number of traffic classes.
    pub class_count: usize,
    /// Number of planners that publish to the fleet, each to its own proxies.
    pub planner_count: f64,
    /// Fraction of its full capacity (0 to 1) that a server has when it starts.
    pub initial_capacity: f64,
    /// Time from a server's start until it has its full capacity.
    pub warm_up: Duration,
    /// A server that is warming up is assumed to fail under more than this many times its current capacity.
    pub overload_multiple: f64,
    /// Whether only a server listed as draining is closed; if set, one that was removed from the list stays open.
    pub only_draining_binds: bool,
}

impl GuardConfig {
    /// Derives the guard's settings from a deployment's, with unusable values clamped or replaced by defaults.
    pub fn of(config: &DeploymentConfig) -> GuardConfig {
        let slow_start = &config.slow_start;
        let warm_up = Duration::try_from_secs_f64(slow_start.warm_up_seconds);
        GuardConfig {
            class_count: config.classes.len(),
            planner_count: config.planner_count.max(1.0),
            initial_capacity: slow_start.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0),
            warm_up: warm_up.unwrap_or(DEFAULT_WARM_UP),
            overload_multiple: slow_start.overload_multiple.unwrap_or(DEFAULT_OVERLOAD_MULTIPLE).max(1.0),
            only_draining_binds: config.endpoint_list.only_draining_binds,
        }
    }

    /// The fraction of its full capacity (0 to 1) that a server started at `started` is sure to have: it grows
    /// linearly over the warm-up time. `None` counts as long ago, so as full capacity.
    pub(crate) fn warm_fraction(&self, started: Option<Duration>, now: Duration) -> f64 {
        let Some(started) = started else { return 1.0 };
        let warm_up = self.warm_up.as_secs_f64().max(MIN_WARM_UP_SECONDS);
        let age = now.saturating_sub(started).as_secs_f64() / warm_up;
        (self.initial_capacity + (1.0 - self.initial_capacity) * age).min(1.0)
    }
}
