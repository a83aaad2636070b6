use super::*;

#[test]
fn a_mark_that_took_effect_clears_what_went_before() {
    let flying = |mark| Flying { mark, lines: 10.0, at: Duration::ZERO, awaited: BTreeSet::from([0, 1]) };
    let mut channel = Channel { flying: [flying(1), flying(2)].into(), mark: 2 };
    channel.applied(0, 2);
    assert_eq!(channel.lines(), 10.0);
}
