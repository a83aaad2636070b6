//! Reports to the planner about attempts and arrivals since the last report.

use super::planner_link::PlannerProtocol;
use super::ProxyRuntime;
use crate::wall_rfc3339;
use runloom_event_loop::EventLoop;
use runloom_model::report::Report;
use runloom_mqtt::report;
use runloom_proxy::Proxy;
use std::time::Duration;

/// Shortest time that a report is taken to cover, since the arrival rate is divided by it.
const MIN_REPORT_WINDOW: Duration = Duration::from_millis(1);
/// Time constant of the arrival rate's moving average, in seconds.
const ARRIVAL_RATE_SECONDS: f64 = 10.0;

/// Schedules reports, and averages the arrival rate.
pub(super) struct Reporter {
    interval: Duration,
    due_at: Duration,
    last_report_at: Duration,
    /// Requests per second, averaged; 0 before the first report.
    arrival_rate: f64,
}

impl Reporter {
    pub(super) fn new(interval: Duration, now: Duration) -> Reporter {
        Reporter { interval, due_at: now + interval, last_report_at: now, arrival_rate: 0.0 }
    }

    pub(super) fn due_at(&self) -> Duration {
        self.due_at
    }

    /// Requests per second, averaged; 0 before the first report.
    pub(super) fn arrival_rate(&self) -> f64 {
        self.arrival_rate
    }

    /// Discards the counts from the time without a planner: they are out of date.
    pub(super) fn discard_counts(&mut self, proxy: &mut Proxy, now: Duration) {
        proxy.take_report(Duration::ZERO);
        self.last_report_at = now;
    }

    fn take_report(&mut self, proxy: &mut Proxy, now: Duration) -> Report {
        let window = now.saturating_sub(self.last_report_at).max(MIN_REPORT_WINDOW);
        self.last_report_at = now;
        let report = proxy.take_report(window);
        self.update_arrival_rate(&report, window);
        report
    }

    fn update_arrival_rate(&mut self, report: &Report, window: Duration) {
        let arrivals: u64 = report.arrivals.iter().map(|arrivals| arrivals.requests).sum();
        let rate = arrivals as f64 / window.as_secs_f64();
        let is_first = self.arrival_rate == 0.0;
        let smoothing_factor = (window.as_secs_f64() / ARRIVAL_RATE_SECONDS).min(1.0);
        self.arrival_rate += (rate - self.arrival_rate) * if is_first { 1.0 } else { smoothing_factor };
    }
}

impl ProxyRuntime {
    /// Sends a report to the planner, if one is due. If the planner has not acknowledged earlier ones yet, the counts
    /// are kept for the next report.
    pub(super) fn send_due_report(&mut self, event_loop: &mut EventLoop, now: Duration) {
        if now < self.reporter.due_at {
            return;
        }
        self.reporter.due_at = now + self.reporter.interval;
        let client = self.planner_link.mqtt_client();
        if client.is_some_and(|client| client.is_connected() && !client.can_report()) {
            return;
        }
        let report = self.reporter.take_report(&mut self.proxy, now);
        self.send_report(now, &report);
        self.write_planner(event_loop);
    }

    fn send_report(&mut self, now: Duration, report: &Report) {
        match self.planner_link.protocol_mut() {
            Some(PlannerProtocol::Netconf { id, .. }) => {
                let id = *id;
                let event = report.to_element();
                if !self.planner_link.service.subscribers(&event).contains(&id) {
                    return;
                }
                if let Some(PlannerProtocol::Netconf { session, .. }) = self.planner_link.protocol_mut() {
                    session.notify(&wall_rfc3339(), event);
                }
            }
            Some(PlannerProtocol::Mqtt(client)) if client.is_connected() => {
                client.send_report(now, report::encode(report));
            }
            _ => {}
        }
    }
}
