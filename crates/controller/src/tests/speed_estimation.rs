use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;
use std::time::Duration;

#[test]
fn speed_factor_follows_utilization_per_attempt() {
    let utilization = |utilization| Endpoint { utilization, ..healthy_endpoint(0) };
    let mut controller = controller(vec![utilization(0.8), utilization(0.4)]);
    controller.update_speed_estimates();
    assert!(controller.endpoints[0].speed_factor < 0.95 && controller.endpoints[1].speed_factor > 1.05);
}

#[test]
fn latency_differences_count_by_half() {
    let with_latency = |seconds| {
        let mut endpoint = healthy_endpoint(0);
        endpoint.latencies.add(seconds, 1e6);
        endpoint
    };
    let mut controller = controller(vec![with_latency(0.4), with_latency(0.1)]);
    (0..200).for_each(|_| controller.update_speed_estimates());
    let ratio = controller.endpoints[1].speed_factor / controller.endpoints[0].speed_factor;
    assert!((1.8..2.2).contains(&ratio));
}

#[test]
fn slow_start_gives_no_speed_evidence() {
    let mut slow_starting = Endpoint { health: SlowStart, ..endpoint_with_latency(0, 0.05) };
    slow_starting.service_times.add(0.05, 20.0);
    let mut healthy = endpoint_with_latency(0, 0.2);
    healthy.service_times.add(0.2, 20.0);
    let mut controller = controller(vec![slow_starting, healthy]);
    (0..20).for_each(|_| controller.update_speed_estimates());
    assert_eq!(controller.endpoints[0].speed_factor, 1.0);
}

#[test]
fn slow_new_endpoint_is_corrected_sooner_than_a_fast_one() {
    let speed_factor = |started_at: Option<Duration>, health_since: Duration, service_seconds: f64| {
        let endpoint = |seconds| {
            let mut endpoint = Endpoint { health_since, started_at, ..healthy_endpoint(0) };
            endpoint.service_times.add(seconds, 20.0);
            endpoint
        };
        let mut controller =
            controller(vec![endpoint(service_seconds), Endpoint { started_at: None, ..endpoint(0.2) }]);
        controller.config.planner_count = 2.0;
        controller.update_speed_estimates();
        controller.endpoints[0].speed_factor
    };
    // One of two endpoints takes twice as long: its distance to the mean is half of the logarithm of 2.
    let factor_after = |gain: f64| (-0.5 * gain * 2f64.ln()).exp();
    let close = |a: f64, b: f64| (a - b).abs() < 1e-3;
    let (started, recent) = (Some(NOW - seconds(6)), NOW - seconds(5));
    assert!(close(speed_factor(started, recent, 0.4), factor_after(0.3)));
    assert!(close(speed_factor(started, recent, 0.1), 1.0 / factor_after(0.1)));
    assert!(close(speed_factor(started, NOW - seconds(11), 0.4), factor_after(0.1)));
    assert!(close(speed_factor(None, recent, 0.4), factor_after(0.1)));
}

#[test]
fn slow_kind_gives_weight_to_others() {
    let mut controller = controller(vec![
        endpoint_with_latency(0, 0.8),
        endpoint_with_latency(0, 0.8),
        endpoint_with_latency(1, 0.1),
        endpoint_with_latency(1, 0.1),
    ]);
    (0..40).for_each(|_| controller.update_speed_estimates());
    let ratio = controller.endpoints[2].speed_factor / controller.endpoints[0].speed_factor;
    assert!(ratio > 1.5 && ratio < 8.0, "{ratio}");
}

#[test]
fn single_kind_has_no_bias() {
    let mut controller = controller(vec![endpoint_with_latency(2, 0.4), endpoint_with_latency(2, 0.4)]);
    (0..40).for_each(|_| controller.update_speed_estimates());
    assert!(controller.endpoints.iter().all(|endpoint| (endpoint.speed_factor - 1.0).abs() < 1e-9));
}
