use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;

#[test]
fn warm_fraction_grows_with_age() {
    let mut controller = controller(vec![cold_endpoint(1), cold_endpoint(10), cold_endpoint(30)]);
    controller.config = warm_up_config(0.2, 20.0);
    let fractions: Vec<f64> = (0..3).map(|s| controller.warm_fraction(s)).collect();
    assert!(fractions[0] < 0.2 && fractions[0] < fractions[1] && fractions[1] < 0.6 && fractions[2] == 1.0);
}

#[test]
fn overloaded_fleet_keeps_a_cold_endpoint_out() {
    let mut controller = controller(vec![cold_endpoint(5)]);
    controller.admission.uncapped_pressure = 4.0;
    assert_eq!(controller.warm_fraction(0), 0.0);
}

#[test]
fn endpoint_that_just_started_gets_no_weight() {
    let new = Endpoint { published: None, ..cold_endpoint(1) };
    let controller = controller(vec![new, cold_endpoint(1)]);
    assert_eq!((controller.warm_fraction(0), controller.warm_fraction(1)), (0.0, 0.0));
}

#[test]
fn returning_endpoint_starts_at_a_tenth() {
    let readmitted = Endpoint { health: SlowStart, health_since: NOW, ..healthy_endpoint(0) };
    assert!((controller(vec![readmitted]).warm_fraction(0) - 0.1).abs() < 1e-9);
}

#[test]
fn half_warm_endpoint_stays_out_until_pressure_is_known() {
    let mut controller = controller(vec![cold_endpoint(12)]);
    controller.config = warm_up_config(0.2, 20.0);
    controller.admission.ticks_with_reports = 1;
    assert_eq!(controller.warm_fraction(0), 0.0);
    controller.admission.ticks_with_reports = 9;
    assert!(controller.warm_fraction(0) > 0.4);
}

#[test]
fn quickly_warming_endpoint_ramps_faster_than_an_ejected_one() {
    let ramping = |health_since| Endpoint {
        health: SlowStart,
        health_since,
        started_at: Some(health_since - seconds(1)),
        ..healthy_endpoint(0)
    };
    let ejected_before = Endpoint { ejections: [NOW].into(), ..ramping(NOW - seconds(3)) };
    let mut controller = controller(vec![ramping(NOW - seconds(3)), ejected_before]);
    controller.config.slow_start.warm_up_seconds = 1.0;
    assert_eq!(controller.warm_fraction(0), 1.0);
    assert!((controller.warm_fraction(1) - 0.37).abs() < 1e-9);
}
