//! The plans, the list and the agent's lines, without a process.

use super::endpoint_list::{EndpointList, Phase};
use super::plan::{RunPlan, Step};

#[test]
fn a_seed_draws_the_same_run_each_time_and_signals_wait_for_a_second() {
    for seed in 0..200 {
        let plan = RunPlan::draw(seed);
        assert_eq!(format!("{plan:?}"), format!("{:?}", RunPlan::draw(seed)));
        for (at, step) in plan.phases.iter().flat_map(|phase| &phase.steps) {
            assert!(at.as_millis() >= 1000 || *step == Step::Flood, "{seed}: {step:?} at {at:?}");
        }
    }
}

#[test]
fn a_watch_gets_what_changed_and_the_complete_list_after_a_reset() {
    let mut list = EndpointList::new(3, "127.0.0.1:1".parse().unwrap());
    let id = list.ids(Phase::Serving).remove(0);
    list.set_phase(&id, Phase::Draining);

    let changes = list.line(40);
    assert_eq!(
        (changes["complete"].as_bool(), changes["members"].as_array().map(Vec::len)),
        (Some(false), Some(1))
    );

    list.note_announced(40, 0);
    assert!(list.servers[&id].announced_at.is_none(), "revision 41 is not announced yet");
    list.note_announced(41, 0);
    assert!(list.servers[&id].announced_at.is_some());

    list.reset_revisions();
    let complete = list.line(41);
    assert_eq!(
        (complete["complete"].as_bool(), complete["members"].as_array().map(Vec::len)),
        (Some(true), Some(3))
    );
}
