//! Warm start: what a controller learned about endpoints outlives its process as hints, which lose weight with age.

use crate::controller::Controller;
use crate::endpoint::HealthState;
use crate::event::ServerId;
use std::time::Duration;

/// What an earlier process knew about an endpoint, discounted by its age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmStartHint {
    /// The endpoint.
    pub server: ServerId,
    /// Its speed relative to its configured weight; 1 if nothing is known.
    pub speed_factor: f64,
    /// How recently it was ejected for failures, 0 to 1.
    pub suspicion: f64,
}

/// What a controller has learned about an endpoint and a later process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedState {
    /// The endpoint.
    pub server: ServerId,
    /// Its speed relative to its configured weight.
    pub speed_factor: f64,
    /// When it was last out of service for failures; `None` if it never was.
    pub last_ejected: Option<Duration>,
    /// Whether it is in a long ejection.
    pub is_long_ejected: bool,
}

/// An endpoint whose hint has at least this suspicion returns through slow start.
const SUSPICION_THRESHOLD: f64 = 0.3;
/// Suspicions of more than one in this many endpoints are ignored: they point at a shared cause rather than at single
/// endpoints.
const MIN_ENDPOINTS_PER_SUSPECT: usize = 3;
/// A suspicion of 1 counts as this many consecutive failures.
const SUSPICION_FAILURES: f64 = 3.0;
/// Bounds of an endpoint's speed relative to its configured weight.
pub(crate) const SPEED_FACTOR_LIMITS: (f64, f64) = (0.4, 2.0);

impl WarmStartHint {
    fn is_suspect(&self) -> bool {
        self.suspicion >= SUSPICION_THRESHOLD
    }
}

impl Controller {
    /// Applies the hints of an earlier process. A hint alone ejects nothing: a suspect endpoint returns through slow
    /// start, and starts with some consecutive failures, so that fewer further ones eject it. Endpoints with outcomes
    /// reported since this start ignore their hints.
    pub(crate) fn apply_hints(&mut self, hints: &[WarmStartHint]) {
        let in_service = self.endpoints.iter().filter(|endpoint| endpoint.is_in_service()).count();
        let suspects = hints.iter().filter(|hint| hint.is_suspect()).count();
        let suspects_are_few = MIN_ENDPOINTS_PER_SUSPECT * suspects <= in_service;
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

    /// What a later process may use: the listed endpoints that have a learned speed or were ejected.
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
