//! What the log holds of a rejection: a description, and a case that can be validated again.

mod support;

use runloom_guard::{replay_case, RejectionCase, RejectionReason};
use support::{clear, set_entry, small_fleet, NOW};

#[test]
fn a_rejection_is_described_and_can_be_replayed_from_its_json() {
    // Given a rejection by rule 4 and one by rule 1.
    let mut guard = small_fleet();
    guard.validate(NOW, vec![set_entry(1, 2, 1.0)]);
    guard.validate(NOW, vec![set_entry(1, 0, 0.0)]);
    guard.validate(NOW, vec![set_entry(1, 1, 0.0)]);
    let rejections: Vec<_> = guard.rejections().cloned().collect();
    let reasons: Vec<_> = rejections.iter().map(|rejection| rejection.reason).collect();
    assert_eq!(reasons, [RejectionReason::OverloadsColdServer, RejectionReason::EmptiesTable]);
    for rejection in rejections {
        // Then its description names the server or the proxies concerned, and it suggests a change.
        let server_name = |server: usize| format!("s{server}");
        let description = rejection.describe(&server_name, &|proxy| format!("f{proxy}"));
        let named = if rejection.reason == RejectionReason::OverloadsColdServer { "s2" } else { "f0 first" };
        assert!(description.contains(named), "{description}");
        assert!(!rejection.suggest_safe_change(&server_name).is_empty());
        // When its case is read back from JSON and replayed, then it is rejected for the same reason.
        let json = serde_json::to_string(rejection.case.as_ref().unwrap()).unwrap();
        let case: RejectionCase = serde_json::from_str(&json).unwrap();
        assert_eq!(replay_case(&case).map(|again| again.reason), Some(rejection.reason));
    }
}

/// Later versions of the program read the logs of earlier ones.
#[test]
fn the_json_of_a_case_is_stable() {
    let mut guard = small_fleet();
    guard.validate(NOW, vec![set_entry(1, 2, 9.0)]);
    guard.validate(NOW, vec![clear(1)]);
    let cases = guard.rejections().map(|rejection| rejection.case.as_ref().unwrap());
    let json: Vec<String> = cases.map(|case| serde_json::to_string(case).unwrap()).collect();
    let raised = r#"{"reason":"pushes-cold","table":1,"lines":[{"server":0,"weight":1.0,"open":true,"listed":1.0,"age":null},{"server":1,"weight":1.0,"open":true,"listed":1.0,"age":null},{"server":2,"weight":0.0,"open":true,"listed":1.0,"age":0.0}],"rate":30.0,"can":10.0,"classes":2,"planners":1.0,"cold_from":0.2,"warm_after":10.0,"multiple":4.0,"only_drains_bind":false,"line":[2,9.0],"what":"Line { table: 1, server: 2, weight: 9.0 }"}"#;
    let cleared = r#"{"reason":"empties-table","table":1,"lines":[{"server":0,"weight":1.0,"open":true,"listed":1.0,"age":null},{"server":1,"weight":1.0,"open":true,"listed":1.0,"age":null}],"rate":30.0,"can":10.0,"classes":2,"planners":1.0,"cold_from":0.2,"warm_after":10.0,"multiple":4.0,"only_drains_bind":false,"line":null,"what":"Clear { table: 1 }"}"#;
    assert_eq!(json, [raised, cleared]);
}
