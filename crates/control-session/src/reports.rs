//! Reports of the proxies: to the controller as sums, and to the guard as rates.

use crate::{recording, ControlSession, CLOCK_LEAD};
use runloom_controller::{Event, ProxyId};
use runloom_model::report::Report;
use std::time::Duration;

/// Shortest window, in seconds, over which a report's rate is computed.
const MIN_RATE_WINDOW_SECONDS: f64 = 0.1;

impl ControlSession {
    /// A proxy's report arrived. Entries that name no known server or class are left out.
    pub fn handle_report(&mut self, now: Duration, proxy: ProxyId, report: &Report) {
        let now = self.advance_clock(now);
        if self.recorded_events.is_some() {
            self.record_report(proxy, report);
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        member.last_report_at = Some(now);
        let zone = self.zones.index(member.zone.clone());
        for outcomes in &report.outcomes {
            if let Some(server) = self.endpoints.index(&outcomes.server) {
                self.reports.add_outcomes(now, zone, server, outcomes, report.window);
            }
        }
        for arrivals in &report.arrivals {
            if let Some(class) = self.fleet.classes.iter().position(|class| class.name == arrivals.class) {
                self.reports.add_arrivals(now, proxy, class, arrivals, report.window);
            }
        }
    }

    fn record_report(&mut self, proxy: ProxyId, report: &Report) {
        let name = self.proxy_name(proxy).to_string();
        if let Some(outcomes) = recording::class_outcomes(&name, report) {
            self.record(|| outcomes);
        }
        self.record(|| recording::report(name, report));
    }

    /// Passes the rates in the pending events from index `first` on to the guard.
    pub(crate) fn report_rates_to_guard(&mut self, now: Duration, first: usize) {
        for event in &self.pending_events[first..] {
            match event {
                Event::OutcomeReport { zone, server, attempts, failures, window, .. } => {
                    let success_rate = rate(attempts.saturating_sub(*failures), *window);
                    self.success_rates.insert((*server, *zone), success_rate);
                    let of_server = self.success_rates.range((*server, 0)..=(*server, usize::MAX));
                    let total: f64 = of_server.map(|(_, success_rate)| success_rate).sum();
                    self.guard.record_success_rate(CLOCK_LEAD + now, *server, total);
                }
                Event::ArrivalReport { proxy, class, requests, window, .. } => {
                    self.guard.record_arrival_rate(*proxy, *class, rate(*requests, *window));
                }
                _ => {}
            }
        }
    }
}

/// `count` in `window`, a second.
fn rate(count: u64, window: Duration) -> f64 {
    count as f64 / window.as_secs_f64().max(MIN_RATE_WINDOW_SECONDS)
}
