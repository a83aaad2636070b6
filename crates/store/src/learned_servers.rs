//! What a planner learned about its servers, and how much of that applies after a restart.
//!
//! A restarted planner gets only warm-start hints from it, which decay with age; the health state of a server is never
//! restored. The order of fields is part of the stored form.

use crate::accepted_state::encode;
use crate::error::DecodeError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Half-life of the logarithm of a speed factor.
const SPEED_FACTOR_HALF_LIFE: Duration = Duration::from_secs(600);
/// Half-life of the suspicion of a server since its last ejection.
const SUSPICION_HALF_LIFE: Duration = Duration::from_secs(120);
/// Factor on [`SUSPICION_HALF_LIFE`] for a server whose ejection was a long one.
const LONG_EJECTION_MULTIPLE: u32 = 2;
/// Smallest suspicion that is used; a smaller one is treated as 0.
const MIN_SUSPICION: f64 = 0.1;
/// Smallest absolute logarithm of a speed factor that is used; a factor closer to 1 is treated as 1.
const MIN_LOG_SPEED_FACTOR: f64 = 0.02;
/// Bounds that a stored speed factor is clamped to.
const MIN_SPEED_FACTOR: f64 = 0.1;
const MAX_SPEED_FACTOR: f64 = 10.0;

/// What a planner learned about one server process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// Name in the endpoint list.
    pub name: String,
    /// Address that it listened on. The same name at another address is another server.
    pub address: String,
    /// Start time of its process, in milliseconds since 1970. After a restart it counts as another server.
    pub started_ms: Option<u64>,
    /// Measured speed relative to its weight; 1 is neutral.
    pub speed_factor: f64,
    /// Time of its last ejection for failures, in milliseconds since 1970; `None` if never ejected.
    pub last_ejected_ms: Option<u64>,
    /// Whether that ejection was a long one.
    pub is_long_ejected: bool,
}

impl LearnedServer {
    /// Estimated probability that it still fails, from 0 to 1; 0 if it was never ejected, or if the clock was set back
    /// to before the ejection.
    fn suspicion(&self, now_ms: u64) -> f64 {
        let ejected_ago = self.last_ejected_ms.and_then(|at| now_ms.checked_sub(at));
        let multiple = if self.is_long_ejected { LONG_EJECTION_MULTIPLE } else { 1 };
        ejected_ago.map_or(0.0, |ago| decay(Duration::from_millis(ago), SUSPICION_HALF_LIFE * multiple))
    }

    fn is_same_process(&self, other: &LearnedServer) -> bool {
        self.address == other.address && self.started_ms == other.started_ms
    }

    /// Takes over the last ejection known to an earlier planner process, if it is newer and of the same server process.
    fn merge_ejection(&mut self, earlier: &LearnedServer) {
        if self.is_same_process(earlier) && self.last_ejected_ms < earlier.last_ejected_ms {
            self.last_ejected_ms = earlier.last_ejected_ms;
            self.is_long_ejected = earlier.is_long_ejected;
        }
    }
}

/// All that a planner learned about its servers, as of one time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LearnedServers {
    /// Time of writing, in milliseconds since 1970.
    pub written_ms: u64,
    /// One record for each server.
    pub servers: Vec<LearnedServer>,
}

/// What remains of a [`LearnedServer`] after decay, as the start value for a restarted planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmStartHint {
    /// Speed relative to the server's weight, decayed towards 1.
    pub speed_factor: f64,
    /// Estimated probability that the server still fails, from 0 to 1.
    pub suspicion: f64,
}

impl WarmStartHint {
    /// The values for a server that nothing is known about.
    const NEUTRAL: WarmStartHint = WarmStartHint { speed_factor: 1.0, suspicion: 0.0 };
}

impl LearnedServers {
    /// Encodes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the stored form.
    pub fn decode(bytes: &[u8]) -> Result<LearnedServers, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Adds the ejections that an earlier planner process recorded and that still cause suspicion.
    ///
    /// Otherwise a planner that restarts repeatedly within seconds would lose them: it receives too few results from a
    /// failing server to eject it itself.
    pub fn merge_earlier(mut self, earlier: &LearnedServers) -> LearnedServers {
        let now_ms = self.written_ms;
        for old in earlier.servers.iter().filter(|old| old.suspicion(now_ms) >= MIN_SUSPICION) {
            match self.servers.iter_mut().find(|server| server.name == old.name) {
                Some(server) => server.merge_ejection(old),
                None => self.servers.push(LearnedServer { speed_factor: 1.0, ..old.clone() }),
            }
        }
        self
    }

    /// Returns what still applies at `now_ms` to a server that is listed with this address and start time. `None` if
    /// nothing was learned about this process, nothing significant remains, or the age is unknown.
    pub fn hint(
        &self,
        now_ms: u64,
        name: &str,
        address: &str,
        started_ms: Option<u64>,
    ) -> Option<WarmStartHint> {
        let known = self.servers.iter().find(|server| server.name == name)?;
        if known.address != address || known.started_ms != started_ms {
            return None;
        }
        // If the clock was set back, the age is unknown, and no hint is given.
        let age = Duration::from_millis(now_ms.checked_sub(self.written_ms)?);
        let bounded = known.speed_factor.clamp(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR);
        let speed_factor = bounded.powf(decay(age, SPEED_FACTOR_HALF_LIFE));
        let suspicion = known.suspicion(now_ms);
        let hint = WarmStartHint {
            speed_factor: if speed_factor.ln().abs() < MIN_LOG_SPEED_FACTOR { 1.0 } else { speed_factor },
            suspicion: if suspicion < MIN_SUSPICION { 0.0 } else { suspicion },
        };
        (hint != WarmStartHint::NEUTRAL).then_some(hint)
    }
}

/// Fraction that remains after `age` of a value with this half-life.
fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
