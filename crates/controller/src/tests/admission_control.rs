use super::support::*;
use crate::admission_control::ClassAdmission;
use crate::config::AdmissionKind;
use crate::endpoint::Endpoint;
use crate::proxy::Proxy;

#[test]
fn limit_goes_to_the_highest_priority_first() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.admission.admission_limit = Some(30.0);
    let rates: Vec<f64> = controller
        .class_admissions()
        .into_iter()
        .filter_map(|ClassAdmission { admission_rate: rate, .. }| rate)
        .collect();
    assert_eq!(rates, [10.0, 24.0]);
}

#[test]
fn one_rate_for_all_proxies_limits_the_busy_ones() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.proxies = [5.0, 40.0]
        .map(|arrival_rate| Proxy { arrival_rates: vec![0.0, arrival_rate], ..proxy(Some(0)) })
        .into();
    controller.admission.admission_limit = Some(25.0);
    assert_eq!(controller.class_admissions()[1].admission_rate, Some(20.0));
}

#[test]
fn limit_that_rejects_nothing_leaves_room_at_idle_proxies() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.proxies = [0.1, 0.3]
        .map(|arrival_rate| Proxy { arrival_rates: vec![arrival_rate, arrival_rate], ..proxy(Some(0)) })
        .into();
    controller.admission.admission_limit = Some(25.0);
    // An idle fleet must not reject two requests that arrive within one second.
    assert!(controller.class_admissions().iter().all(
        |ClassAdmission { admission_rate: rate, .. }| rate.is_some_and(|rate| (2.0..3.0).contains(&rate))
    ));
    // A limit below the arrival rate rejects requests all the same.
    controller.admission.admission_limit = Some(0.2);
    assert!(controller.class_admissions()[0].admission_rate.is_some_and(|rate| rate < 0.3));
}

#[test]
fn retries_stop_before_any_request_is_limited() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.admission.shared.latencies.add(3.0, 50.0);
    controller.update_admission();
    assert!(controller.admission.retries_disabled && controller.admission.admission_limit.is_none());
}

#[test]
fn tightened_limit_is_below_the_success_rate() {
    let mut controller =
        rate_limiting_controller(vec![Endpoint { success_rates: vec![40.0], ..healthy_endpoint(0) }]);
    (controller.admission.retries_disabled, controller.admission.ticks_with_reports) = (true, 9);
    controller.admission.shared.latencies.add(1.5, 50.0);
    controller.update_admission();
    assert!(controller.admission.admission_limit.is_some_and(|limit| (20.0..36.0).contains(&limit)));
}

#[test]
fn lost_weight_lowers_the_limit_at_once() {
    let mut controller =
        rate_limiting_controller(vec![Endpoint { success_rates: vec![50.0], ..healthy_endpoint(0) }]);
    (
        controller.admission.ticks_with_reports,
        controller.admission.capacity_estimate,
        controller.admission.sustained_rate,
    ) = (20, 30.0, 25.0);
    controller.update_admission();
    assert!(controller.admission.admission_limit.is_some_and(|limit| limit < 50.0));
}

#[test]
fn failures_without_successes_are_pressure() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.admission.shared.attempts = 100.0;
    controller.admission.shared.failures = 99.0;
    update_pressure(&mut controller);
    assert!(controller.admission.shared.overload_pressure > 4.0);
}

#[test]
fn failures_among_quick_answers_are_no_overload() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.admission.shared.attempts = 100.0;
    controller.admission.shared.failures = 40.0;
    controller.admission.shared.latencies.add(0.2, 60.0);
    update_pressure(&mut controller);
    assert!(controller.admission.shared.overload_pressure < 1.0);
}

#[test]
fn lowest_class_is_isolated_where_rates_cannot_be_limited() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.config.admission = AdmissionKind::Unlimited;
    controller.admission.retries_disabled = true;
    controller.admission.shared.latencies.add(3.0, 50.0);
    controller.update_admission();
    assert_eq!((controller.admission.isolated_classes, controller.admission.admission_limit), (0b01, None));
}

/// Guards against a shift beyond the bits of a class mask, which panics or isolates another class.
#[test]
fn class_beyond_the_bits_of_a_mask_is_never_isolated() {
    let mut controller = rate_limiting_controller(vec![healthy_endpoint(0)]);
    controller.config.admission = AdmissionKind::Unlimited;
    // The lower the priority, the higher the class's index.
    let all: Vec<(f64, f64)> = (0..70).map(|class| (1.0, 100.0 - f64::from(class))).collect();
    controller.config.classes = classes(&all);
    controller.admission.retries_disabled = true;
    controller.admission.shared.latencies.add(3.0, 50.0);
    controller.update_admission();
    assert_eq!(controller.admission.isolated_classes, 1 << 63);
}
