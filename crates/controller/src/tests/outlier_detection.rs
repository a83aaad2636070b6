use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;
use crate::DeploymentConfig;

#[test]
fn endpoint_with_only_failures_is_ejected() {
    let dead = Endpoint {
        consecutive_failures: 6.0,
        failures: 6.0,
        last_success: NOW - seconds(3),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![dead, healthy_endpoint(0), healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller), [Ejected, Healthy, Healthy]);
}

#[test]
fn consecutive_failures_with_a_recent_success_do_not_eject() {
    let overloaded = Endpoint {
        consecutive_failures: 6.0,
        failures: 6.0,
        last_success: NOW - seconds(1),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![overloaded, healthy_endpoint(0), healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn consecutive_failures_count_less_when_most_endpoints_fail() {
    let failing = || Endpoint { failures: 10.0, ..healthy_endpoint(0) };
    let suspect = Endpoint {
        consecutive_failures: 6.0,
        failures: 14.0,
        last_success: NOW - seconds(3),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![suspect, failing(), failing()]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn silence_alone_does_not_eject() {
    let silent =
        Endpoint { last_report: NOW - seconds(9), last_success: NOW - seconds(9), ..healthy_endpoint(0) };
    let mut controller = controller(vec![silent, healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn two_unanswered_health_checks_eject_a_silent_endpoint() {
    let silent = Endpoint { unanswered_checks: 2, last_success: NOW - seconds(3), ..healthy_endpoint(0) };
    let mut controller = controller(vec![silent, healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Ejected);
}

#[test]
fn high_failure_rate_ejects() {
    let failing = Endpoint { failures: 14.0, ..healthy_endpoint(0) };
    let mut controller =
        controller(vec![failing, healthy_endpoint(0), healthy_endpoint(0), healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Ejected);
}

#[test]
fn failure_rate_of_few_attempts_does_not_eject() {
    let rarely_tried = Endpoint { attempts: 12.0, failures: 11.0, ..healthy_endpoint(0) };
    let mut controller =
        controller(vec![rarely_tried, healthy_endpoint(0), healthy_endpoint(0), healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn failing_slow_endpoint_loses_half_of_its_weight() {
    let mut overloaded = Endpoint { failures: 14.0, ..healthy_endpoint(0) };
    overloaded.latencies.add(3.0, 5.0);
    let mut controller =
        controller(vec![overloaded, healthy_endpoint(0), healthy_endpoint(0), healthy_endpoint(0)]);
    controller.config = DeploymentConfig { classes: classes(&[(1.0, 1.0)]), ..DeploymentConfig::default() };
    controller.detect_outliers(&mut vec![]);
    assert!(controller.endpoints[0].is_weight_halved && controller.endpoints[0].health == Healthy);
}

#[test]
fn mostly_failing_zone_is_halved_and_stays() {
    let failing = || Endpoint { failures: 14.0, ..healthy_endpoint(1) };
    let mut controller =
        controller(vec![failing(), failing(), healthy_endpoint(0), healthy_endpoint(0), healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert!(controller.endpoints[0].is_weight_halved && controller.endpoints[0].health == Healthy);
}

#[test]
fn isolated_endpoint_is_not_ejected_for_failures() {
    let overloaded = Endpoint {
        consecutive_failures: 60.0,
        failures: 19.0,
        is_isolated: true,
        last_success: NOW - seconds(9),
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![overloaded, healthy_endpoint(0), healthy_endpoint(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn third_ejection_within_a_minute_is_long() {
    let ejections = [NOW - seconds(40), NOW - seconds(20)].into();
    let mut controller = controller(vec![Endpoint { ejections, ..healthy_endpoint(0) }]);
    controller.eject(0, true, &mut vec![]);
    assert_eq!(health_states(&controller), [LongEjected]);
}

#[test]
fn probation_takes_ten_seconds() {
    let in_probation = |health_since| Endpoint { health: Probation, health_since, ..healthy_endpoint(0) };
    let mut controller = controller(vec![in_probation(NOW - seconds(9)), in_probation(NOW - seconds(10))]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller), [Probation, SlowStart]);
}

#[test]
fn end_of_slow_start_clears_latencies() {
    let endpoint =
        Endpoint { health: SlowStart, health_since: NOW - seconds(11), ..endpoint_with_latency(0, 0.05) };
    let mut controller = controller(vec![endpoint]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!((controller.endpoints[0].health, controller.endpoints[0].latencies.count()), (Healthy, 0.0));
}
