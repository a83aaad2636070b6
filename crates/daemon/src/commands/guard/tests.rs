//! Tests of `runloom guard explain`.

use super::rejection_cases;
use runloom_controller::{Command, ListedState};
use runloom_guard::{replay_case, GuardConfig, SafetyGuard};
use std::time::Duration;

fn set_weight(weight: f64) -> Command {
    Command::SetEntry { table: 1, server: 0, weight }
}

/// A guard that has rejected a command that would have emptied a table.
fn guard_with_rejection() -> SafetyGuard {
    let mut guard = SafetyGuard::new(GuardConfig {
        class_count: 1,
        planner_count: 1.0,
        initial_capacity: 0.2,
        warm_up: Duration::from_secs(9),
        overload_multiple: 4.0,
        only_draining_binds: false,
    });
    guard.update_endpoint(0, ListedState::Ready, 1.0, None);
    guard.connect_proxy(0, 5.0);
    let assign = Command::AssignTable { proxy: 0, table: 1, class_mask: 0 };
    guard.validate(Duration::ZERO, vec![set_weight(1.0), assign]);
    guard.validate(Duration::ZERO, vec![set_weight(0.0)]);
    guard
}

/// Guards against rejections that are not found in one of the two log formats: a text log holds a case as plain JSON, a
/// JSON log as JSON escaped within a string.
#[test]
fn rejections_are_found_in_text_and_json_logs_and_checked_again() {
    // Given a text log and a JSON log with the same rejection
    let guard = guard_with_rejection();
    let case = serde_json::to_string(guard.rejections().last().unwrap().case.as_ref().unwrap()).unwrap();
    let text = format!("2026-12-01T00:00:00Z  WARN runloom: refused reason=\"empties-table\" case={case}");
    let escaped_case = serde_json::to_string(&case).unwrap();
    let json = format!("{{\"level\":\"WARN\",\"fields\":{{\"case\":{escaped_case}}}}}");

    // When the rejection cases are read
    let found = rejection_cases(&format!("another line\n{text}\n{json}\n"));

    // Then both are found, and checking one again gives the same reason
    assert_eq!(found.len(), 2);
    assert_eq!(found[0], found[1]);
    assert_eq!(replay_case(&found[0]).map(|rejection| rejection.reason.tag()), Some("empties-table"));
}
