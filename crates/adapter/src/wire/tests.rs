//! Keywords of the wire format that are unknown, or that have the same meaning as another.

use super::*;

fn list_source(keyword: &str) -> ListSource {
    let line = format!(r#"{{"verb":"DISCOVERY","planner":1,"how":"{keyword}"}}"#);
    match serde_json::from_str(&line).unwrap() {
        Input::EndpointList(list) => list.source,
        other => panic!("{other:?}"),
    }
}

fn health_check_result(keyword: &str) -> HealthCheckResult {
    let line = format!(r#"{{"verb":"ECHO","planner":1,"server":4,"ending":"{keyword}"}}"#);
    match serde_json::from_str(&line).unwrap() {
        Input::HealthChecked(check) => check.result,
        other => panic!("{other:?}"),
    }
}

fn endpoint_state(json: &str) -> Option<EndpointState> {
    serde_json::from_str::<ListedEndpoint>(&format!(r#"{{"server":4,"mode":{json}}}"#)).unwrap().state
}

#[test]
fn an_unknown_list_source_counts_as_a_failed_watch() {
    assert!(matches!(list_source("Complete"), ListSource::Snapshot));
    assert!(matches!(list_source("Unheard"), ListSource::Failed));
}

#[test]
fn both_keywords_for_a_lost_connection_are_a_failed_connection() {
    assert!(matches!(health_check_result("no_connection"), HealthCheckResult::ConnectionFailed));
    assert!(matches!(health_check_result("connection_lost"), HealthCheckResult::ConnectionFailed));
    assert!(matches!(health_check_result("unheard"), HealthCheckResult::Inconclusive));
}

#[test]
fn an_unknown_endpoint_state_is_ready_and_null_is_none() {
    assert!(matches!(endpoint_state(r#""DELETED""#), Some(EndpointState::Removed)));
    assert!(matches!(endpoint_state(r#""RUNNING""#), Some(EndpointState::Ready)));
    assert!(endpoint_state("null").is_none());
}

#[test]
fn all_planners_are_written_as_an_asterisk_and_one_as_its_number() {
    assert_eq!(serde_json::to_string(&Recipient::All).unwrap(), r#""*""#);
    assert_eq!(serde_json::to_string(&Recipient::Planner(3)).unwrap(), "3");
}
