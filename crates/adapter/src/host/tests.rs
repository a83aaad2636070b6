//! Events for planners that are running, and for planners that are not.

use super::*;

fn parse(line: &str) -> Input {
    serde_json::from_str(line).expect("a valid line")
}

fn host_with_planner_3() -> PlannerHost {
    let mut host = PlannerHost::default();
    host.handle(parse(r#"{"verb":"HELLO","planner":3,"rngSeed":5,"facts":{"classes":[{"name":"a"}]}}"#));
    host
}

#[test]
fn an_event_for_a_planner_that_is_not_running_gets_no_reply() {
    let mut host = host_with_planner_3();
    host.handle(parse(r#"{"verb":"TIMER","planner":4,"token":1}"#));
    let reply = serde_json::to_string(&host.reply(Duration::ZERO)).unwrap();
    assert!(reply.contains(r#""planner":3"#) && !reply.contains(r#""planner":4"#));
}

#[test]
fn nulls_and_unknown_keys_are_allowed() {
    let text = r#"{"verb":"ROUNDUP","planner":3,"az":"z","server":9,"n":1,"metrics":null,"new":[]}"#;
    let mut host = host_with_planner_3();
    host.handle(parse(text));
    assert_eq!(host.instances[&3].events.len(), 2);
}
