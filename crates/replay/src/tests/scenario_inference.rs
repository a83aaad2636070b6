//! Test of the scenario that is inferred from two runs of a planner.

use super::log_of_a_minute;
use crate::scenario_inference::{infer, InferredFault};
use runloom_event_log::RecordedEvent;

fn is_near(value: f64, expected: f64, tolerance: f64) -> bool {
    (value - expected).abs() < tolerance
}

#[test]
fn faults_are_inferred_in_order_even_if_the_wall_clock_was_set_back() {
    // Given
    let first_run = log_of_a_minute();
    let mut second_run = log_of_a_minute();
    if let RecordedEvent::PlannerStarted { epoch_ms, .. } = &mut second_run[0].event {
        *epoch_ms -= 500_000;
    }

    // When
    let inferred = infer(&[first_run, second_run]).unwrap();

    // Then
    let first_of =
        |kind: &str| -> &InferredFault { inferred.faults.iter().find(|fault| fault.kind == kind).unwrap() };
    let slow = first_of("slow");
    assert!(slow.servers.contains("s1") && is_near(slow.at, 10.0, 2.0), "{inferred:?}");
    assert!(is_near(slow.magnitude, 2.25, 0.1), "{inferred:?}");
    let drain = first_of("drain");
    assert!(drain.servers.contains("s5") && is_near(drain.at, 30.0, 1.0), "{inferred:?}");
    assert!(is_near(first_of("planner-kill").at, 59.5, 1.0), "{inferred:?}");
    let sizes = (inferred.server_count, inferred.proxy_count, inferred.zone_count);
    assert_eq!(sizes, (6, 4, 2));
    assert!(is_near(inferred.request_rate, 96.0, 1.0), "{inferred:?}");
    assert!(inferred.to_xml().contains("<server>s5</server>"), "{inferred:?}");
}
