use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;
use crate::{Event, LearnedState};
use crate::{ServerId, WarmStartHint};

fn hints(all: &[(ServerId, f64, f64)]) -> Event {
    let hint = |(server, speed_factor, suspicion): &(ServerId, f64, f64)| WarmStartHint {
        server: *server,
        speed_factor: *speed_factor,
        suspicion: *suspicion,
    };
    Event::WarmStart { hints: all.iter().map(hint).collect() }
}

/// A healthy endpoint as the first list leaves it, without any report.
fn endpoint_without_reports() -> Endpoint {
    Endpoint { attempts: 0.0, ..healthy_endpoint(0) }
}

#[test]
fn suspect_endpoint_returns_slowly_and_is_ejected_early() {
    let mut controller = controller((0..6).map(|_| endpoint_without_reports()).collect());
    controller.handle_event(&hints(&[(0, 0.5, 0.9), (1, 0.7, 0.1), (9, 1.0, 1.0)]), &mut vec![]);
    assert_eq!(health_states(&controller)[..3], [SlowStart, Healthy, Healthy]);
    assert_eq!((controller.endpoints[0].speed_factor, controller.endpoints[1].speed_factor), (0.5, 0.7));
    assert!(controller.weight(0) < 0.1 && controller.weight(1) == 0.7);
    // Its peers succeed during three seconds in which it does not: two failures eject it instead of the usual four.
    controller.now = NOW + seconds(3);
    for s in 1..6 {
        controller.handle_event(&outcome_report(s, 5, 0, seconds(1)), &mut vec![]);
    }
    controller.handle_event(&outcome_report(0, 2, 2, seconds(1)), &mut vec![]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[..2], [Ejected, Healthy]);
}

#[test]
fn suspect_endpoint_that_answers_is_healthy_and_late_hints_are_ignored() {
    let mut controller = controller((0..6).map(|_| endpoint_without_reports()).collect());
    controller.handle_event(&hints(&[(0, 1.0, 1.0)]), &mut vec![]);
    controller.now = NOW + seconds(11);
    (0..6).for_each(|s| controller.handle_event(&outcome_report(s, 9, 0, seconds(1)), &mut vec![]));
    controller.detect_outliers(&mut vec![]);
    assert_eq!((controller.weight(0), controller.endpoints[0].consecutive_failures), (1.0, 0.0));
    controller.handle_event(&hints(&[(0, 0.5, 1.0), (1, 0.5, 1.0)]), &mut vec![]);
    assert!(controller
        .endpoints
        .iter()
        .all(|endpoint| endpoint.health == Healthy && endpoint.speed_factor == 1.0));
}

#[test]
fn many_suspects_at_once_are_ignored() {
    let mut controller = controller((0..6).map(|_| endpoint_without_reports()).collect());
    controller.handle_event(&hints(&[(0, 0.6, 1.0), (1, 1.0, 1.0), (2, f64::NAN, 1.0)]), &mut vec![]);
    assert!(controller.endpoints.iter().all(|endpoint| endpoint.health == Healthy));
    assert_eq!((controller.endpoints[0].speed_factor, controller.endpoints[2].speed_factor), (0.6, 1.0));
}

#[test]
fn learned_state_holds_endpoints_that_differ_from_the_list() {
    let long_ejected =
        Endpoint { health: LongEjected, ejections: [NOW - seconds(9)].into(), ..healthy_endpoint(0) };
    let readmitted = Endpoint { ejections: [NOW - seconds(50)].into(), ..healthy_endpoint(0) };
    let draining = Endpoint { health: Draining, speed_factor: 0.5, ..healthy_endpoint(0) };
    let controller = controller(vec![
        healthy_endpoint(0),
        long_ejected,
        readmitted,
        draining,
        Endpoint { speed_factor: 0.6, ..healthy_endpoint(0) },
    ]);
    let all: Vec<LearnedState> = controller.learned().collect();
    let learned = |server, speed_factor, last_ejected, is_long_ejected| LearnedState {
        server,
        speed_factor,
        last_ejected,
        is_long_ejected,
    };
    let readmitted = learned(2, 1.0, Some(NOW - seconds(50)), false);
    assert_eq!(all, [learned(1, 1.0, Some(NOW), true), readmitted, learned(4, 0.6, None, false)]);
}
