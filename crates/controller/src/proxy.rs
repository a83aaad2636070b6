//! A connected proxy: its table assignment and the requests that arrive there.

use crate::event::{ClassId, ZoneId};
use crate::statistics::update_average;
use std::time::Duration;

/// A report counts as covering at least this time, in seconds.
pub(crate) const MIN_REPORT_SECONDS: f64 = 0.1;
/// Lower bound of an arrival rate, in requests per second, when its half-life is computed.
const MIN_ARRIVAL_RATE: f64 = 1e-3;
/// The half-life of an arrival rate's average is the time in which this many requests arrive, and at least the window
/// of the report.
const RATE_HALF_LIFE_REQUESTS: f64 = 2.0;

/// What the controller knows of one proxy; a proxy that is not connected has the default values.
#[derive(Debug, Default)]
pub(crate) struct Proxy {
    pub is_connected: bool,
    /// Whether it connected with a table from an earlier planner.
    pub has_previous_table: bool,
    pub connected_at: Duration,
    pub zone: ZoneId,
    pub subset: Option<usize>,
    /// When it was last moved out of a subset without endpoints; `None` for never.
    pub relocated_at: Option<Duration>,
    /// The classes that were isolated in its subset when its tables were assigned, one bit each; `None` while it has no
    /// tables.
    pub assigned: Option<u64>,
    /// Requests per second, by class.
    pub arrival_rates: Vec<f64>,
    /// When arrivals were last reported, by class.
    pub reported_at: Vec<Duration>,
}

impl Proxy {
    /// A proxy that has just connected and expects `request_rate` requests per second over all classes.
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
            connected_at: now,
            zone,
            arrival_rates: vec![request_rate / class_count as f64; class_count],
            reported_at: vec![now; class_count],
            ..Proxy::default()
        }
    }

    /// Updates the arrival rate of a class, of which `requests` arrived within `window`.
    ///
    /// Proxies leave classes without requests out of their reports: the requests are spread over the whole time since
    /// the previous report of their class.
    pub fn record_arrivals(&mut self, class: ClassId, requests: u64, window: Duration, now: Duration) {
        let rate = crate::endpoint::slot(&mut self.arrival_rates, class);
        let reported_at = crate::endpoint::slot(&mut self.reported_at, class);
        let elapsed = now.saturating_sub(*reported_at).max(window).as_secs_f64().max(MIN_REPORT_SECONDS);
        let half_life = window.as_secs_f64().max(RATE_HALF_LIFE_REQUESTS / rate.max(MIN_ARRIVAL_RATE));
        update_average(rate, requests as f64 / elapsed, 1.0 - 0.5f64.powf(elapsed / half_life));
        *reported_at = now;
    }

    /// Requests per second over all classes.
    pub fn total_arrival_rate(&self) -> f64 {
        self.arrival_rates.iter().sum()
    }
}
