//! Reports of the proxies, which the controller gets as sums and the guard as rates.

use crate::{recording, ControlSession, CLOCK_LEAD};
use runloom_controller::{Event, ProxyId};
use runloom_model::report::Report;
use std::time::Duration;

/// Lower bound, in seconds, of the window over which a rate is computed.
const MIN_RATE_WINDOW_SECONDS: f64 = 0.1;

impl ControlSession {
    /// Handles a proxy's report. Outcomes of unknown servers and arrivals of unknown classes are ignored.
    pub fn handle_report(&mut self, now: Duration, proxy: ProxyId, report: &Report) {
        let now = self.advance_clock(now);
        if self.recorded_events.is_some() {
            self.record_report(proxy, report);
        }
        let Some(member) = self.members.get_mut(&proxy) else { return };
        member.last_report_at = Some(now);
        let zone = self.zones.index(member.zone.clone());
        for outcomes in &report.outcomes {
            if let Some(server) = self.endpoints.server_id(&outcomes.server) {
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

    /// Passes the rates in the pending events, starting at index `first_event`, to the guard.
    pub(crate) fn report_rates_to_guard(&mut self, now: Duration, first_event: usize) {
        for event in &self.pending_events[first_event..] {
            match event {
                Event::OutcomeReport { zone, server, attempts, failures, window, .. } => {
                    let success_rate = rate_per_second(attempts.saturating_sub(*failures), *window);
                    self.success_rates.insert((*server, *zone), success_rate);
                    let rates_of_server = self.success_rates.range((*server, 0)..=(*server, usize::MAX));
                    let total: f64 = rates_of_server.map(|(_, success_rate)| success_rate).sum();
                    self.guard.record_success_rate(CLOCK_LEAD + now, *server, total);
                }
                Event::ArrivalReport { proxy, class, requests, window, .. } => {
                    self.guard.record_arrival_rate(*proxy, *class, rate_per_second(*requests, *window));
                }
                _ => {}
            }
        }
    }
}

/// `count` over `window`, per second.
fn rate_per_second(count: u64, window: Duration) -> f64 {
    count as f64 / window.as_secs_f64().max(MIN_RATE_WINDOW_SECONDS)
}
