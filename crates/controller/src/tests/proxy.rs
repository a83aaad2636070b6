use super::support::*;
use crate::Event;
use std::time::Duration;

/// The arrival rate of one class at one proxy after twelve reports, one per `interval`.
fn arrival_rate_after_reports(
    expected_rate: f64,
    interval: Duration,
    requests: u64,
    window: Duration,
) -> f64 {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.config.classes = classes(&[(1.0, 1.0)]);
    controller.handle_event(
        &Event::ProxyConnected { proxy: 0, zone: 0, request_rate: expected_rate, has_no_table: true },
        &mut vec![],
    );
    for _ in 0..12 {
        controller.now += interval;
        let arrivals = Event::ArrivalReport { proxy: 0, class: 0, requests, unanswered: 0, window };
        controller.handle_event(&arrivals, &mut vec![]);
    }
    controller.proxies[0].arrival_rates[0]
}

#[test]
fn rare_arrivals_are_spread_over_the_time_since_the_last_report() {
    // Proxies do not report windows without requests. Guards against a rate that is computed from the windows with
    // requests alone: it is too high, and rate limits are derived from it.
    for expected_rate in [0.02, 0.125, 2.0] {
        assert!(
            (0.1..0.16).contains(&arrival_rate_after_reports(expected_rate, seconds(8), 1, seconds(2))),
            "{expected_rate}"
        );
    }
    // Reports on every window, or several late ones at once, need no correction.
    assert!((arrival_rate_after_reports(10.0, seconds(1), 30, seconds(1)) - 30.0).abs() < 0.1);
    assert!((arrival_rate_after_reports(10.0, seconds(0), 60, seconds(2)) - 30.0).abs() < 0.1);
}
