//! What a planner learned of its servers, and what of that still counts after a restart.
//!
//! It yields hints that age: the state of a server is never restored from it. The order of fields is part of the
//! stored form.

use crate::accepted_state::encode;
use crate::error::DecodeError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Half-life of the logarithm of a speed factor.
const SPEED_FACTOR_HALF_LIFE: Duration = Duration::from_secs(600);
/// Half-life of the suspicion of a server that was ejected.
const SUSPICION_HALF_LIFE: Duration = Duration::from_secs(120);
/// The suspicion of a server that was ejected for long has this times the half-life.
const LONG_EJECTION_MULTIPLE: u32 = 2;
/// Smallest suspicion that counts.
const MIN_SUSPICION: f64 = 0.1;
/// Smallest absolute logarithm of a speed factor that counts.
const MIN_LOG_SPEED_FACTOR: f64 = 0.02;
/// Bounds of a restored speed factor.
const MIN_SPEED_FACTOR: f64 = 0.1;
const MAX_SPEED_FACTOR: f64 = 10.0;

/// What was learned of one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// Its name.
    pub name: String,
    /// Where it listened: at another address it is another server.
    pub address: String,
    /// When its process started, in milliseconds since 1970: after another start it is another server.
    pub started_ms: Option<u64>,
    /// Its speed relative to its weight.
    pub speed_factor: f64,
    /// When it was last ejected for failures, in milliseconds since 1970.
    pub last_ejected_ms: Option<u64>,
    /// Whether that was for long.
    pub is_long_ejected: bool,
}

impl LearnedServer {
    /// How likely it is to fail still, from 0 to 1.
    fn suspicion(&self, now_ms: u64) -> f64 {
        let ejected_ago = self.last_ejected_ms.and_then(|at| now_ms.checked_sub(at));
        let multiple = if self.is_long_ejected { LONG_EJECTION_MULTIPLE } else { 1 };
        ejected_ago.map_or(0.0, |ago| decay(Duration::from_millis(ago), SUSPICION_HALF_LIFE * multiple))
    }

    fn is_same_process(&self, other: &LearnedServer) -> bool {
        self.address == other.address && self.started_ms == other.started_ms
    }

    /// Takes the last ejection over from what an earlier process learned, unless its own is as new.
    fn merge_ejection(&mut self, earlier: &LearnedServer) {
        if self.is_same_process(earlier) && self.last_ejected_ms < earlier.last_ejected_ms {
            self.last_ejected_ms = earlier.last_ejected_ms;
            self.is_long_ejected = earlier.is_long_ejected;
        }
    }
}

/// All that was learned, at one time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LearnedServers {
    /// When, in milliseconds since 1970.
    pub written_ms: u64,
    /// The servers.
    pub servers: Vec<LearnedServer>,
}

/// What still counts of it, for one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmStartHint {
    /// Its speed relative to its weight.
    pub speed_factor: f64,
    /// How likely it is to fail still, from 0 to 1.
    pub suspicion: f64,
}

impl WarmStartHint {
    /// Nothing is known.
    const NEUTRAL: WarmStartHint = WarmStartHint { speed_factor: 1.0, suspicion: 0.0 };
}

impl LearnedServers {
    /// The stored form.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads the stored form.
    pub fn decode(bytes: &[u8]) -> Result<LearnedServers, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Adds the ejections that an earlier process learned of and that still count.
    ///
    /// A planner that restarts again and again within seconds would lose them else: it sees too little of a failing
    /// server to eject it itself.
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

    /// What still counts at `now_ms` of a server that is listed with this address and start; `None` for nothing.
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
        // After the clock was set back the age is not known.
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

/// What is left of 1 after `age`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
