use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;
use crate::ListedState;
use crate::{EndpointRecord, EndpointUpdate};
use std::time::Duration;

#[test]
fn restarted_process_enters_slow_start() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready, Some(NOW))]);
    assert_eq!(health_states(&controller), [SlowStart]);
}

#[test]
fn endpoint_missing_from_a_snapshot_is_removed() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.update_endpoints(EndpointUpdate::Snapshot, &[]);
    assert_eq!(health_states(&controller), [Unknown]);
}

fn record(state: ListedState, started: Option<Duration>) -> EndpointRecord {
    EndpointRecord { server: 0, zone: 0, kind: 0, cell: 0, state, weight: 1.0, started }
}

#[test]
fn missing_endpoint_stays_in_service_while_it_answers() {
    let mut controller = controller_with_unreliable_list(healthy_endpoint(0));
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Removed, None)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
    controller.endpoints[0] = Endpoint {
        consecutive_failures: 1.0,
        last_success: NOW - seconds(3),
        missing_from_list: true,
        ..healthy_endpoint(0)
    };
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Unknown);
}

#[test]
fn endpoint_that_answered_all_along_is_verified() {
    let mut controller = controller_with_unreliable_list(Endpoint {
        configured_weight: 0.0,
        health: Unknown,
        ..healthy_endpoint(0)
    });
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready, None)]);
    assert_eq!((health_states(&controller)[0], controller.endpoints[0].unverified), (Healthy, false));
}

#[test]
fn draining_endpoint_stays_out_of_service() {
    let mut controller = controller_with_unreliable_list(healthy_endpoint(0));
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Draining, None)]);
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Removed, None)]);
    assert_eq!(health_states(&controller)[0], Unknown);
}

#[test]
fn unverified_endpoint_is_removed_at_its_first_failure() {
    let mut controller = controller_with_unreliable_list(Endpoint::default());
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready, None)]);
    controller.endpoints[0].consecutive_failures = 1.0;
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Unknown);
}

#[test]
fn empty_delta_changes_nothing() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.update_endpoints(EndpointUpdate::Delta, &[]);
    assert_eq!(health_states(&controller), [Healthy]);
}

/// Guards against a ready endpoint without a weight: it was listed only as draining before, so its speed factor was 0.
#[test]
fn endpoint_that_was_first_listed_as_draining_gets_a_weight_once_it_is_ready() {
    for only_draining_binds in [true, false] {
        let mut controller = controller(vec![healthy_endpoint(0), Endpoint::default()]);
        controller.config.slow_start.initial_capacity = 0.5;
        controller.config.endpoint_list.only_draining_binds = only_draining_binds;
        let record = |state| EndpointRecord { server: 1, ..record(state, None) };
        controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Draining)]);
        controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready)]);
        assert_eq!(health_states(&controller)[1], SlowStart);
        assert!(controller.weight(1) > 0.0, "{only_draining_binds}");
        assert_eq!(
            controller.endpoints[1].last_success, NOW,
            "time without a success counts from the start of service"
        );
    }
}

/// Guards against an endpoint that stays in service with the weight and zone of the record of its removal, which may
/// lack both.
#[test]
fn missing_endpoint_keeps_its_weight_zone_and_kind() {
    let endpoint = Endpoint { configured_weight: 4.0, kind: 2, ..healthy_endpoint(1) };
    let mut controller = controller_with_unreliable_list(endpoint);
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Removed, None)]);
    let endpoint = &controller.endpoints[0];
    assert!(endpoint.missing_from_list && endpoint.is_in_service());
    assert_eq!((endpoint.configured_weight, endpoint.zone, endpoint.kind), (4.0, 1, 2));
}

/// Guards against a first list whose endpoints are all unverified because a report arrived before it.
#[test]
fn endpoints_of_the_first_list_are_warm_though_a_report_came_before() {
    let mut controller = controller(vec![]);
    controller.config.endpoint_list.only_draining_binds = true;
    controller.handle_event(&outcome_report(0, 9, 0, seconds(1)), &mut vec![]);
    let records = [0, 1].map(|server| EndpointRecord { server, ..record(ListedState::Ready, None) });
    controller.now += seconds(9);
    controller.update_endpoints(EndpointUpdate::Snapshot, &records);
    assert_eq!(health_states(&controller), [Healthy, Healthy]);
    assert!(controller.endpoints.iter().all(|endpoint| !endpoint.unverified));
}
