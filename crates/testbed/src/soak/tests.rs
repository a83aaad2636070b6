//! Tests of plans, the endpoint list and the lines of a watch, without a process.

use super::endpoint_list::{EndpointList, ServerPhase};
use super::plan::{RunPlan, Step};

#[test]
fn a_seed_gives_the_same_plan_each_time_and_no_signal_in_the_first_second() {
    for seed in 0..200 {
        let plan = RunPlan::draw(seed);
        assert_eq!(format!("{plan:?}"), format!("{:?}", RunPlan::draw(seed)));
        for (at, step) in plan.phases.iter().flat_map(|phase| &phase.steps) {
            assert!(at.as_millis() >= 1000 || *step == Step::Flood, "{seed}: {step:?} at {at:?}");
        }
    }
}

#[test]
fn a_watch_gets_the_changes_and_after_a_revision_reset_the_complete_list() {
    let mut list = EndpointList::new(3, "127.0.0.1:1".parse().unwrap());
    let id = list.ids(ServerPhase::Serving).remove(0);
    list.set_phase(&id, ServerPhase::Draining);

    let changes = list.line(40);
    assert_eq!(
        (changes["complete"].as_bool(), changes["members"].as_array().map(Vec::len)),
        (Some(false), Some(1))
    );

    list.mark_announced(40, 0);
    assert!(list.servers[&id].announced_at.is_none(), "revision 41 is not announced yet");
    list.mark_announced(41, 0);
    assert!(list.servers[&id].announced_at.is_some());

    list.reset_revisions();
    let complete = list.line(41);
    assert_eq!(
        (complete["complete"].as_bool(), complete["members"].as_array().map(Vec::len)),
        (Some(true), Some(3))
    );
}
