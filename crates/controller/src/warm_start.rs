//! What a controller learned of endpoints, kept across restarts as hints that age.

use crate::controller::Controller;
use crate::endpoint::HealthState;
use crate::event::ServerId;
use std::time::Duration;

/// What an earlier process knew of an endpoint, as far as it still counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmStartHint {
    /// The endpoint.
    pub server: ServerId,
    /// Its speed relative to its configured weight; 1 where nothing is known.
    pub speed_factor: f64,
    /// From 0 to 1, how recently it was ejected for failures.
    pub suspicion: f64,
}

/// What a controller knows of an endpoint that may outlast its process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedState {
    /// The endpoint.
    pub server: ServerId,
    /// Its speed relative to its configured weight.
    pub speed_factor: f64,
    /// When it was last out of service for failures.
    pub last_ejected: Option<Duration>,
    /// It is ejected for long.
    pub is_long_ejected: bool,
}

/// A hint with this suspicion or more makes an endpoint return through slow start.
const SUSPICION_THRESHOLD: f64 = 0.3;
/// Hints on more than one in this many endpoints at once point at a shared cause and say nothing of any one.
const SUSPECTS_ONE_IN: usize = 3;
/// Failures in a row that a suspicion of 1 stands for.
const SUSPICION_FAILURES: f64 = 3.0;
/// Bounds of an endpoint's speed relative to its configured weight.
pub(crate) const SPEED_FACTOR_LIMITS: (f64, f64) = (0.4, 2.0);

impl WarmStartHint {
    fn is_suspect(&self) -> bool {
        self.suspicion >= SUSPICION_THRESHOLD
    }
}

impl Controller {
    /// Applies the hints of an earlier process: never a verdict. A suspect endpoint returns through slow start and
    /// its first failures count as the last of a row; outcomes reported since this start override hints.
    pub(crate) fn apply_hints(&mut self, hints: &[WarmStartHint]) {
        let serving = self.endpoints.iter().filter(|endpoint| endpoint.is_in_service()).count();
        let suspects = hints.iter().filter(|hint| hint.is_suspect()).count();
        let suspects_are_few = SUSPECTS_ONE_IN * suspects <= serving;
        for hint in hints.iter().filter(|hint| hint.speed_factor.is_finite()) {
            let Some(endpoint) = self.endpoints.get_mut(hint.server) else { continue };
            if !endpoint.is_in_service() || endpoint.attempts != 0.0 {
                continue;
            }
            let (min, max) = SPEED_FACTOR_LIMITS;
            endpoint.speed_factor = hint.speed_factor.clamp(min, max);
            if suspects_are_few && hint.is_suspect() && endpoint.health == HealthState::Healthy {
                endpoint.enter(HealthState::SlowStart, self.now);
                endpoint.consecutive_failures = (SUSPICION_FAILURES * hint.suspicion.min(1.0)) as f32;
            }
        }
    }

    /// What may outlast this process: endpoints that are not as the list has them.
    pub fn learned(&self) -> impl Iterator<Item = LearnedState> + '_ {
        let listed = self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.is_listed());
        listed.filter_map(|(server, endpoint)| {
            let last_ejected =
                if endpoint.is_ejected() { Some(self.now) } else { endpoint.ejections.back().copied() };
            let learned = LearnedState {
                server,
                speed_factor: endpoint.speed_factor,
                last_ejected,
                is_long_ejected: endpoint.health == HealthState::LongEjected,
            };
            (endpoint.speed_factor != 1.0 || last_ejected.is_some()).then_some(learned)
        })
    }
}
