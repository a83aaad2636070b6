//! Rule 4: the tables send no cold server more than a multiple of its capacity. Like the safety guard, this check takes
//! the requests from the tables in force, and estimates the capacity from the success rate of warm servers. Unlike the
//! guard's, this estimate does not decay.

use super::RuleTracker;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a cold server has to be overloaded until that counts as a violation.
const OVERLOAD_DURATION: Duration = Duration::from_secs(3);
/// Lower limit of the warm-up time in seconds, which is a divisor.
const MIN_WARM_UP_SECONDS: f64 = 0.001;

/// The load on cold servers, in comparison with what a warm server was seen to serve.
#[derive(Default)]
pub(super) struct ColdServerLoad {
    /// The highest success rate seen at a warm server, in requests a second per unit of weight; 0 if none was seen.
    warm_capacity: f64,
    /// Cold servers that are overloaded, with the time since when.
    overloaded_since: BTreeMap<String, Duration>,
}

impl RuleTracker {
    /// The share of its full capacity (0 to 1) that a server has now; 1 if its start is unknown.
    fn capacity_share(&self, started_ms: Option<u64>, now: Duration) -> f64 {
        let wall_ms = self.epoch_ms + now.as_millis() as u64;
        let warm_up_seconds = self.fleet.warm_up.as_secs_f64().max(MIN_WARM_UP_SECONDS);
        let age_seconds =
            started_ms.map_or(f64::MAX, |started_ms| wall_ms.saturating_sub(started_ms) as f64 / 1000.0);
        (self.fleet.initial_capacity + (1.0 - self.fleet.initial_capacity) * age_seconds / warm_up_seconds)
            .min(1.0)
    }

    /// Records a violation if a cold server has been overloaded for [`OVERLOAD_DURATION`].
    pub(super) fn check_cold_servers(&mut self, now: Duration) {
        let mut warm_capacity = self.cold_servers.warm_capacity;
        let mut cold: Vec<(&String, f64)> = vec![];
        for (server, started_ms) in &self.servers.open {
            let capacity_share = self.capacity_share(*started_ms, now);
            if capacity_share >= 1.0 {
                let rate = self.rates.success_rate(server) / self.servers.weight(server);
                warm_capacity = warm_capacity.max(rate);
            } else {
                cold.push((server, capacity_share));
            }
        }
        let previous = &self.cold_servers.overloaded_since;
        let mut overloaded_since = BTreeMap::new();
        for (server, capacity_share) in cold.into_iter().filter(|_| warm_capacity > 0.0) {
            let limit =
                self.fleet.overload_multiple * capacity_share * warm_capacity * self.servers.weight(server);
            if self.request_rate(server) > limit {
                overloaded_since.insert(server.clone(), previous.get(server).copied().unwrap_or(now));
            }
        }
        let is_lasting = |since: &Duration| now >= *since + OVERLOAD_DURATION;
        let overloaded = overloaded_since.iter().find(|(_, since)| is_lasting(since));
        if let Some((server, _)) = overloaded {
            self.violations.insert(format!("rule 4: {server} would be overloaded before it is warm"));
        }
        self.cold_servers = ColdServerLoad { warm_capacity, overloaded_since };
    }
}
