use super::*;
use statrs::distribution::{ChiSquared, ContinuousCDF};

fn class(repeats: Repeats) -> Class {
    let (soft_limit, outer_limit) = (Duration::from_millis(500), Duration::from_secs(1));
    Class { name: "q".into(), payoff: 1.0, soft_limit, outer_limit, repeats }
}

fn proxy(pick: SelectionMethod, repeats: Repeats, level: &str, weights: &[f64]) -> Proxy {
    let manner = ProxyConfig { pick, shun_after: 3, shun_for: Duration::from_secs(5) };
    let mut proxy = Proxy::new(manner, vec![class(repeats)], &[], 7);
    let line = |(k, w): (usize, &f64)| {
        format!(
            "<line><server>s{k}</server><address>127.0.0.1:{}</address><weight>{w}</weight></line>",
            k + 1
        )
    };
    let lines: String = weights.iter().enumerate().map(line).collect();
    let text = format!(
        "<tables xmlns='urn:runloom:proxy'><table><id>1</id>{lines}{level}</table><bind><class>q</class>\
         <table>1</table></bind></tables>"
    );
    proxy.hold(HeldTables::read(&Element::parse(&text).unwrap()).unwrap());
    proxy
}

use runloom_netconf::tree::Element;

const ZERO: Duration = Duration::ZERO;

fn server(step: &Step) -> &str {
    match step {
        Step::Send { server, .. } => server,
        other => panic!("{other:?}"),
    }
}

fn good() -> AttemptOutcome {
    AttemptOutcome::Answered { load: vec![] }
}

fn level(pace: &str, tries: &str) -> String {
    format!("<level><class>q</class>{pace}<further-tries>{tries}</further-tries></level>")
}

/// 100,000 picks against the weights: chi-squared, at one in a thousand.
#[test]
fn picks_agree_with_the_table_within_sampling_error() {
    let weights = [1.0, 2.0, 3.0, 0.5, 3.5];
    for pick in [SelectionMethod::Chance, SelectionMethod::LessBusy, SelectionMethod::Turns] {
        let (mut proxy, mut counts) = (proxy(pick, Repeats::Safe, "", &weights), [0.0; 5]);
        for id in 0..100_000 {
            let step = proxy.arrived(ZERO, id, 0);
            counts[server(&step)[1..].parse::<usize>().unwrap()] += 1.0;
            proxy.ended(ZERO, id, good());
        }
        let all: f64 = weights.iter().sum();
        let chi: f64 =
            counts.iter().zip(weights).map(|(n, w)| (n - 1e5 * w / all).powi(2) / (1e5 * w / all)).sum();
        let p = 1.0 - ChiSquared::new(4.0).unwrap().cdf(chi);
        assert!(p > 0.001, "{pick:?}: chi-squared {chi}, p {p}, {counts:?}");
    }
}

#[test]
fn of_two_drawn_the_less_busy_is_picked() {
    let mut proxy = proxy(SelectionMethod::LessBusy, Repeats::Safe, "", &[1.0, 1.0]);
    let mut out = [0u32; 2];
    for id in 0..1000 {
        out[usize::from(server(&proxy.arrived(ZERO, id, 0)) == "s1")] += 1;
    }
    // With one draw the two would be some 30 apart; the less busy keeps them within a few.
    assert!(out[0].abs_diff(out[1]) <= 12, "{out:?}");
}

#[test]
fn three_failures_in_a_row_shun_and_a_good_one_ends_the_row() {
    let mut proxy = proxy(SelectionMethod::Turns, Repeats::Never, &level("", "none"), &[1.0, 1e-9]);
    let fail = |proxy: &mut Proxy, id, how| {
        assert_eq!(server(&proxy.arrived(ZERO, id, 0)), "s0");
        proxy.ended(ZERO, id, how);
    };
    fail(&mut proxy, 1, AttemptOutcome::BrokenAfter);
    fail(&mut proxy, 2, AttemptOutcome::BrokenAfter);
    fail(&mut proxy, 3, good());
    (4..7).for_each(|id| fail(&mut proxy, id, AttemptOutcome::BrokenAfter));
    assert_eq!(server(&proxy.arrived(Duration::from_secs(4), 7, 0)), "s1");
    assert_eq!(server(&proxy.arrived(Duration::from_secs(6), 8, 0)), "s0");
}

#[test]
fn where_all_are_shunned_one_is_picked_all_the_same() {
    let mut proxy = proxy(SelectionMethod::Chance, Repeats::Never, &level("", "none"), &[1.0]);
    for id in 0..4 {
        assert_eq!(server(&proxy.arrived(ZERO, id, 0)), "s0");
        proxy.ended(ZERO, id, AttemptOutcome::BrokenAfter);
    }
}

#[test]
fn a_further_try_needs_proof_and_goes_elsewhere() {
    for (how, again) in [
        (AttemptOutcome::NoConnection, true),
        (AttemptOutcome::BrokenBefore, true),
        (AttemptOutcome::TurnedAway { load: vec![] }, true),
        (AttemptOutcome::BrokenAfter, false),
        (AttemptOutcome::Error { load: vec![] }, false),
        (AttemptOutcome::Late, false),
    ] {
        let mut proxy = proxy(SelectionMethod::Chance, Repeats::Never, &level("", "unrun"), &[1.0, 1.0]);
        let first = server(&proxy.arrived(ZERO, 1, 0)).to_string();
        let next = proxy.ended(ZERO, 1, how.clone()).unwrap();
        match next {
            Step::Send { server, .. } => assert!(again && server != first, "{how:?}"),
            other => assert!(!again, "{how:?} {other:?}"),
        }
        assert_eq!(proxy.counts.further, u64::from(again));
    }
}

#[test]
fn what_may_have_run_is_tried_again_only_where_that_is_safe_and_ordered() {
    for (repeats, tries, count) in [
        (Repeats::Safe, "two", 2),
        (Repeats::Safe, "one", 1),
        (Repeats::Safe, "unrun", 0),
        (Repeats::Keyed, "two", 0),
        (Repeats::Never, "two", 0),
    ] {
        let mut proxy = proxy(SelectionMethod::Chance, repeats, &level("", tries), &[1.0, 1.0, 1.0]);
        proxy.arrived(ZERO, 1, 0);
        while let Some(Step::Send { .. }) = proxy.ended(ZERO, 1, AttemptOutcome::BrokenAfter) {}
        assert_eq!(proxy.counts.further, count, "{repeats:?} {tries}");
    }
    // A proof that comes after a try that may have run proves nothing of that one.
    let mut proxy = proxy(SelectionMethod::Chance, Repeats::Never, &level("", "two"), &[1.0, 1.0, 1.0]);
    proxy.arrived(ZERO, 1, 0);
    assert!(matches!(proxy.ended(ZERO, 1, AttemptOutcome::NoConnection), Some(Step::Send { .. })));
    assert!(matches!(proxy.ended(ZERO, 1, AttemptOutcome::BrokenAfter), Some(Step::Refuse { .. })));
}

#[test]
fn a_table_that_changes_under_a_query_changes_none_of_its_proofs() {
    let mut proxy = proxy(SelectionMethod::Chance, Repeats::Safe, &level("", "none"), &[1.0, 1.0]);
    proxy.arrived(ZERO, 1, 0);
    let other = super::tests::proxy(SelectionMethod::Chance, Repeats::Safe, &level("", "two"), &[1.0, 1.0]);
    proxy.hold(other.held().clone());
    assert!(matches!(proxy.ended(ZERO, 1, AttemptOutcome::BrokenAfter), Some(Step::Refuse { .. })));
}

#[test]
fn a_level_lets_in_its_pace_and_says_when_to_come_back() {
    let mut proxy = proxy(SelectionMethod::Chance, Repeats::Safe, &level("<pace>10</pace>", "none"), &[1.0]);
    let mut let_in = 0;
    for k in 0..1000u64 {
        match proxy.arrived(Duration::from_millis(10 * k), k, 0) {
            Step::Send { .. } => let_in += 1,
            Step::Refuse { why: Refusal::Level, after: Some(after) } => {
                assert!(after <= Duration::from_millis(101))
            }
            other => panic!("{other:?}"),
        }
        proxy.given_up(Duration::from_millis(10 * k), k);
    }
    assert!((95..=110).contains(&let_in), "{let_in}");
}

#[test]
fn without_a_line_a_query_is_refused_at_once() {
    let mut proxy = proxy(SelectionMethod::LessBusy, Repeats::Safe, "", &[]);
    assert!(matches!(proxy.arrived(ZERO, 1, 0), Step::Refuse { why: Refusal::NoLine, .. }));
    assert_eq!((proxy.out(), proxy.counts.no_line), (0, 1));
}

#[test]
fn a_query_that_was_given_up_on_ends_once_and_counts_as_failed() {
    let mut proxy = proxy(SelectionMethod::Chance, Repeats::Safe, "", &[1.0, 1.0]);
    proxy.arrived(ZERO, 1, 0);
    proxy.given_up(Duration::from_secs(1), 1);
    assert_eq!(proxy.ended(Duration::from_secs(1), 1, good()), None);
    let report = proxy.report(Duration::from_secs(1));
    assert_eq!((report.met[0].tries, report.met[0].failed, report.came[0].unanswered), (1, 1, 1));
    assert!(proxy.report(Duration::from_secs(1)).met.is_empty());
}

#[test]
fn tables_that_cannot_be_used_are_refused_whole() {
    for (line, why) in [
        ("<server>a</server><address>x</address><weight>1</weight>", "address"),
        ("<server>a</server><address>127.0.0.1:1</address><weight>0</weight>", "weight"),
        ("<server>a</server><address>127.0.0.1:1</address><weight>NaN</weight>", "weight"),
    ] {
        let text = format!("<tables><table><id>1</id><line>{line}</line></table></tables>");
        assert!(HeldTables::read(&Element::parse(&text).unwrap()).unwrap_err().contains(why));
    }
}
