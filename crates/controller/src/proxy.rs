//! A connected proxy: its tables and the requests that arrive there.

use crate::event::{ClassId, ZoneId};
use crate::statistics::update_average;
use std::time::Duration;

/// The shortest time that a report is taken to cover, in seconds.
pub(crate) const MIN_REPORT_SECONDS: f64 = 0.1;
/// Arrival rates, in requests a second, below this are treated as this.
const MIN_ARRIVAL_RATE: f64 = 1e-3;
/// An arrival rate keeps half of its old value for the time in which this many requests arrive.
const RATE_HALF_LIFE_REQUESTS: f64 = 2.0;

/// One proxy.
#[derive(Debug, Default)]
pub(crate) struct Proxy {
    pub is_connected: bool,
    /// It came with a table of an earlier planner.
    pub has_previous_table: bool,
    pub zone: ZoneId,
    pub subset: Option<usize>,
    /// When it was last moved out of a subset without endpoints.
    pub relocated_at: Option<Duration>,
    /// Once a table is assigned: the classes isolated in its subset at that time, one bit each.
    pub assigned: Option<u64>,
    /// Requests a second, by class.
    pub arrival_rates: Vec<f64>,
    /// When arrivals were last reported, by class.
    pub reported_at: Vec<Duration>,
}

impl Proxy {
    /// A proxy that has just connected and expects `request_rate` requests a second over all classes.
    pub fn connected(
        zone: ZoneId,
        request_rate: f64,
        class_count: usize,
        has_no_table: bool,
        now: Duration,
    ) -> Proxy {
        Proxy {
            is_connected: true,
            has_previous_table: !has_no_table,
            zone,
            arrival_rates: vec![request_rate / class_count as f64; class_count],
            reported_at: vec![now; class_count],
            ..Proxy::default()
        }
    }

    /// Takes in `requests` of a class that arrived within `window`.
    ///
    /// Proxies report no class without requests: those reported arrived in all the time since the report before.
    pub fn record_arrivals(&mut self, class: ClassId, requests: u64, window: Duration, now: Duration) {
        let rate = crate::endpoint::slot(&mut self.arrival_rates, class);
        let reported_at = crate::endpoint::slot(&mut self.reported_at, class);
        let elapsed = now.saturating_sub(*reported_at).max(window).as_secs_f64().max(MIN_REPORT_SECONDS);
        let half_life = window.as_secs_f64().max(RATE_HALF_LIFE_REQUESTS / rate.max(MIN_ARRIVAL_RATE));
        update_average(rate, requests as f64 / elapsed, 1.0 - 0.5f64.powf(elapsed / half_life));
        *reported_at = now;
    }

    /// Requests a second over all classes.
    pub fn total_arrival_rate(&self) -> f64 {
        self.arrival_rates.iter().sum()
    }
}
