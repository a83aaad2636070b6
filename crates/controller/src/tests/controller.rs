use super::support::*;
use crate::controller::Controller;
use crate::endpoint::HealthState::*;
use crate::endpoint::{Endpoint, TableEntry};
use crate::ListedState;
use crate::{Command, EndpointRecord, EndpointUpdate, Event, HealthCheckResult};

#[test]
fn burst_of_late_reports_does_not_raise_the_success_rate() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.handle_event(&outcome_report(0, 10, 0, seconds(1)), &mut vec![]);
    controller.handle_event(&outcome_report(0, 40, 0, seconds(4)), &mut vec![]);
    assert_eq!(controller.endpoints[0].success_rates[0], 10.0);
}

#[test]
fn success_resets_consecutive_failures() {
    let mut controller = controller(vec![Endpoint { consecutive_failures: 9.0, ..healthy_endpoint(0) }]);
    controller.handle_event(&outcome_report(0, 3, 2, seconds(1)), &mut vec![]);
    assert_eq!(controller.endpoints[0].consecutive_failures, 0.0);
}

#[test]
fn stale_timer_is_ignored() {
    let mut commands = Vec::new();
    Controller { timer_token: 7, ..controller(vec![]) }
        .handle_event(&Event::TimerFired { token: 6 }, &mut commands);
    assert_eq!(commands, vec![]);
}

#[test]
fn report_on_an_unlisted_endpoint_publishes_nothing() {
    let commands = controller(vec![]).step(NOW, &[outcome_report(3, 5, 5, seconds(1))]);
    assert!(!commands.iter().any(|command| matches!(command, Command::SetEntry { .. })));
}

#[test]
fn malformed_events_publish_nothing() {
    let mut controller = Controller::default();
    let start = Event::Start { seed: 1, config: Box::default() };
    let empty_snapshot = Event::EndpointsListed { update: EndpointUpdate::Snapshot, records: vec![] };
    let connected = Event::ProxyConnected { proxy: 9, zone: 7, request_rate: f64::NAN, has_no_table: false };
    let checked = Event::HealthChecked {
        server: 40,
        result: HealthCheckResult::Timeout,
        elapsed: seconds(1),
        load: vec![f64::NAN],
    };
    let arrivals =
        Event::ArrivalReport { proxy: 3, class: 6, requests: 5, unanswered: 0, window: seconds(0) };
    let disconnected = Event::ProxyDisconnected { proxy: 12 };
    let acknowledged = Event::UpdateAcknowledged { proxy: 12, ack_token: 7, elapsed: seconds(0) };
    let timer = Event::TimerFired { token: 1 };
    controller.step(
        seconds(1),
        &[
            start,
            empty_snapshot,
            connected,
            checked,
            arrivals,
            disconnected,
            acknowledged,
            outcome_report(33, 2, 5, seconds(0)),
        ],
    );
    let commands = controller.step(seconds(2), &[timer]);
    assert!(commands.iter().all(|command| matches!(command, Command::SetTimer { .. })), "{commands:?}");
}

#[test]
fn same_events_give_the_same_commands() {
    let run = || {
        let mut controller = controller(vec![healthy_endpoint(0), healthy_endpoint(1)]);
        controller.config.health_checks_allowed = true;
        (0..9).map(|k| controller.step(NOW + seconds(k), &[])).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn endpoint_is_unused_once_off_the_list_and_out_of_tables() {
    let unlisted = Endpoint { health: Unknown, ..healthy_endpoint(0) };
    let published = Endpoint { published: Some(TableEntry { table: 1, weight: 1.0 }), ..Endpoint::default() };
    let controller = controller(vec![healthy_endpoint(0), unlisted, published]);
    assert_eq!([0, 1, 2, 9].map(|server| controller.is_unused(server)), [false, true, false, true]);
}

#[test]
fn released_index_starts_a_new_endpoint() {
    let previous =
        Endpoint { health: Unknown, speed_factor: 0.4, ejections: [NOW, NOW].into(), ..healthy_endpoint(0) };
    let mut controller = controller(vec![healthy_endpoint(0), previous]);
    controller.handle_event(&Event::ServerReleased { server: 1 }, &mut vec![]);
    let (zone, kind, cell, state) = (0, 0, 0, ListedState::Ready);
    let record = EndpointRecord { server: 1, zone, kind, cell, state, weight: 2.0, started: Some(NOW) };
    controller.update_endpoints(EndpointUpdate::Delta, &[record]);
    let endpoint = &controller.endpoints[1];
    assert_eq!((endpoint.health, endpoint.speed_factor, endpoint.ejections.len()), (SlowStart, 1.0, 0));
}
