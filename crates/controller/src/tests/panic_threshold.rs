use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;

#[test]
fn ejected_endpoints_of_a_zone_below_half_return() {
    let ejected = || Endpoint { health: Ejected, health_since: NOW - seconds(6), ..healthy_endpoint(0) };
    let mut controller =
        controller(vec![ejected(), ejected(), healthy_endpoint(0), healthy_endpoint(1), healthy_endpoint(1)]);
    controller.apply_panic_threshold();
    assert_eq!(health_states(&controller)[..2], [SlowStart, SlowStart]);
}

#[test]
fn endpoints_of_a_dead_zone_stay_out_while_the_fleet_serves() {
    let dead = || Endpoint {
        health: Ejected,
        health_since: NOW - seconds(6),
        ejected_on_hard_evidence: true,
        ..healthy_endpoint(0)
    };
    let mut controller =
        controller(vec![dead(), dead(), healthy_endpoint(1), healthy_endpoint(1), healthy_endpoint(1)]);
    controller.apply_panic_threshold();
    assert_eq!(health_states(&controller)[..2], [Ejected, Ejected]);
}

#[test]
fn last_endpoints_return_at_once() {
    let dead = || Endpoint {
        health: Ejected,
        health_since: NOW,
        ejected_on_hard_evidence: true,
        ..healthy_endpoint(0)
    };
    let mut controller = controller(vec![dead(), Endpoint { health: Draining, ..healthy_endpoint(0) }]);
    controller.apply_panic_threshold();
    assert_eq!(health_states(&controller), [SlowStart, Draining]);
}
