//! Rule 4: no cold server is sent more than a multiple of its capacity, judged from the tables as the safety guard
//! does.

use super::RuleTracker;
use std::collections::BTreeMap;
use std::time::Duration;

/// A cold server has to be sent too much for this time.
const OVERLOAD_DURATION: Duration = Duration::from_secs(3);
/// The warm-up time counts as no shorter than this, in seconds.
const MIN_WARM_UP_SECONDS: f64 = 0.001;

/// What cold servers are sent.
#[derive(Default)]
pub(super) struct ColdServerLoad {
    /// The highest success rate, in requests a second, that a unit of weight of a warm server was seen to have.
    warm_capacity: f64,
    /// Cold servers that are sent too much, with the time since when.
    overloaded_since: BTreeMap<String, Duration>,
}

impl RuleTracker {
    /// The share of its capacity (0 to 1) that a server has, by its start in milliseconds since 1970.
    fn capacity_share(&self, started: Option<u64>, now: Duration) -> f64 {
        let wall_ms = self.epoch + now.as_millis() as u64;
        let warm_up_seconds = self.fleet.warm_up.as_secs_f64().max(MIN_WARM_UP_SECONDS);
        let age = started.map_or(f64::MAX, |started| wall_ms.saturating_sub(started) as f64 / 1000.0);
        (self.fleet.initial_capacity + (1.0 - self.fleet.initial_capacity) * age / warm_up_seconds).min(1.0)
    }

    pub(super) fn check_cold_servers(&mut self, now: Duration) {
        let mut warm_capacity = self.cold_servers.warm_capacity;
        let mut cold: Vec<(&String, f64)> = vec![];
        for (server, started) in &self.servers.open {
            let capacity = self.capacity_share(*started, now);
            if capacity >= 1.0 {
                let rate = self.rates.success_rate(server) / self.servers.weight(server);
                warm_capacity = warm_capacity.max(rate);
            } else {
                cold.push((server, capacity));
            }
        }
        let previous = &self.cold_servers.overloaded_since;
        let mut overloaded_since = BTreeMap::new();
        for (server, capacity) in cold.into_iter().filter(|_| warm_capacity > 0.0) {
            let limit = self.fleet.overload_multiple * capacity * warm_capacity * self.servers.weight(server);
            if self.request_rate(server) > limit {
                overloaded_since.insert(server.clone(), previous.get(server).copied().unwrap_or(now));
            }
        }
        let has_lasted = |since: &Duration| now >= *since + OVERLOAD_DURATION;
        let overloaded = overloaded_since.iter().find(|(_, since)| has_lasted(since));
        if let Some((server, _)) = overloaded {
            self.violations.insert(format!("rule 4: {server} would be pushed over"));
        }
        self.cold_servers = ColdServerLoad { warm_capacity, overloaded_since };
    }
}
