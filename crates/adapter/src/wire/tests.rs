//! Words of the wire that are not known or have the same meaning.

use super::*;

fn list_source(word: &str) -> ListSource {
    let line = format!(r#"{{"verb":"DISCOVERY","planner":1,"how":"{word}"}}"#);
    match serde_json::from_str(&line).unwrap() {
        Input::EndpointList(list) => list.source,
        other => panic!("{other:?}"),
    }
}

fn health_check_result(word: &str) -> HealthCheckResult {
    let line = format!(r#"{{"verb":"ECHO","planner":1,"server":4,"ending":"{word}"}}"#);
    match serde_json::from_str(&line).unwrap() {
        Input::HealthChecked(check) => check.result,
        other => panic!("{other:?}"),
    }
}

fn host_state(word: &str) -> Option<HostState> {
    serde_json::from_str::<Host>(&format!(r#"{{"server":4,"mode":{word}}}"#)).unwrap().state
}

#[test]
fn an_unknown_list_source_counts_as_a_failed_watch() {
    assert!(matches!(list_source("Complete"), ListSource::Snapshot));
    assert!(matches!(list_source("Unheard"), ListSource::Failed));
}

#[test]
fn both_words_for_a_lost_connection_are_a_failed_connection() {
    assert!(matches!(health_check_result("no_connection"), HealthCheckResult::ConnectionFailed));
    assert!(matches!(health_check_result("connection_lost"), HealthCheckResult::ConnectionFailed));
    assert!(matches!(health_check_result("unheard"), HealthCheckResult::Inconclusive));
}

#[test]
fn an_unknown_host_state_is_ready_and_null_is_none() {
    assert!(matches!(host_state(r#""DELETED""#), Some(HostState::Removed)));
    assert!(matches!(host_state(r#""RUNNING""#), Some(HostState::Ready)));
    assert!(host_state("null").is_none());
}

#[test]
fn all_planners_are_written_as_a_star_and_one_by_its_number() {
    assert_eq!(serde_json::to_string(&Recipient::All).unwrap(), r#""*""#);
    assert_eq!(serde_json::to_string(&Recipient::Planner(3)).unwrap(), "3");
}
