use super::*;
use crate::state::Histogram;
use std::collections::BTreeSet as Set;

#[test]
fn a_mark_that_took_effect_clears_what_went_before() {
    let flying = |mark| Flying { mark, lines: 10.0, at: Duration::ZERO, awaited: Set::from([0, 1]) };
    let mut channel = Channel { flying: [flying(1), flying(2)].into(), mark: 2 };
    channel.applied(0, 2);
    assert_eq!(channel.lines(), 10.0);
}

#[test]
fn a_histogram_keeps_the_mean() {
    let mut times = Histogram::default();
    times.add(place(0.1), 3.0);
    assert!((time(times.mean()) - 0.1).abs() < 1e-4);
}
