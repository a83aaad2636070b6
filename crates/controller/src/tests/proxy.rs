use super::support::*;
use crate::Event;
use std::time::Duration;

/// The arrival rate of one class at one proxy after twelve reports, one each `every`.
fn arrival_rate_after_reports(hint: f64, every: Duration, requests: u64, window: Duration) -> f64 {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.config.classes = classes(&[(1.0, 1.0)]);
    controller.handle_event(
        &Event::ProxyConnected { proxy: 0, zone: 0, request_rate: hint, has_no_table: true },
        &mut vec![],
    );
    for _ in 0..12 {
        controller.now += every;
        let came = Event::ArrivalReport { proxy: 0, class: 0, requests, unanswered: 0, window };
        controller.handle_event(&came, &mut vec![]);
    }
    controller.proxies[0].arrival_rates[0]
}

#[test]
fn rare_arrivals_are_spread_over_the_time_since_the_last_report() {
    // No query, no line: guards against a pace of the utilization spans alone, which levels then cut.
    for hint in [0.02, 0.125, 2.0] {
        assert!((0.1..0.16).contains(&arrival_rate_after_reports(hint, seconds(8), 1, seconds(2))), "{hint}");
    }
    // Reports on every window, or several late ones at once, are taken as they are.
    assert!((arrival_rate_after_reports(10.0, seconds(1), 30, seconds(1)) - 30.0).abs() < 0.1);
    assert!((arrival_rate_after_reports(10.0, seconds(0), 60, seconds(2)) - 30.0).abs() < 0.1);
}
