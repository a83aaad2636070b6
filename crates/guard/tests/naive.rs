//! The guard against a naive checker that walks through every way in which messages can arrive, on small fleets;
//! random sequences on larger ones; and the reasons one by one.

use proptest::prelude::*;
use runloom_controller::{Command, ListedState, ProxyId, RetryPolicy, ServerId, TableId};
use runloom_guard::refusal::RejectionReason;
use runloom_guard::{edit, GuardConfig, SafetyGuard};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);
const CLASSES: usize = 2;

fn terms() -> GuardConfig {
    let warm_after = Duration::from_secs(10);
    GuardConfig {
        classes: CLASSES,
        planners: 1.0,
        cold_from: 0.2,
        warm_after,
        multiple: 4.0,
        only_drains_bind: false,
    }
}

fn line(table: TableId, server: ServerId, weight: f64) -> Command {
    Command::SetEntry { table, server, weight }
}

fn bind(proxy: ProxyId, table: TableId, classes: u64) -> Command {
    Command::AssignTable { proxy, table, class_mask: classes }
}

/// Two servers that are ready and warm, one cold from just now on, one proxy with 30 queries a second on table 1.
fn small() -> SafetyGuard {
    let mut guard = SafetyGuard::new(terms());
    guard.listed(0, ListedState::Ready, 1.0, None);
    guard.listed(1, ListedState::Ready, 1.0, None);
    guard.listed(2, ListedState::Ready, 1.0, Some(NOW));
    guard.joined(0, 30.0);
    let first = vec![line(1, 0, 1.0), line(1, 1, 1.0), bind(0, 1, 0)];
    assert_eq!(guard.judge(NOW, first).held, vec![]);
    guard.sent(0, 1);
    guard.confirmed(0, 1);
    guard
}

fn reasons(guard: &SafetyGuard) -> Vec<&'static str> {
    guard.refusals().map(|r| r.reason.word()).collect()
}

#[test]
fn what_leaves_no_server_to_pick_is_refused_in_one_order_or_in_a_run() {
    let mut guard = small();
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 0.0)]).held.len(), 0);
    let judged = guard.judge(NOW, vec![line(1, 1, 0.0)]);
    assert_eq!((judged.passed.len(), judged.held[0].weight), (0, Some(1.0)));
    assert_eq!(judged.concerned, [0].into());
    let mut guard = small();
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 0.0), line(1, 1, 0.0)]).passed.len(), 0);
    assert_eq!(guard.judge(NOW, vec![Command::ClearTable { table: 1 }]).passed.len(), 0);
    // Cleared and filled in one message is one table for another.
    assert_eq!(guard.judge(NOW, vec![Command::ClearTable { table: 1 }, line(1, 1, 2.0)]).held.len(), 0);
    assert_eq!(guard.judge(NOW, vec![Command::EjectServer { server: 1, ejected: true }]).passed.len(), 0);
}

#[test]
fn a_table_that_is_safe_by_itself_is_not_after_a_drain_and_a_drain_is_never_held_up() {
    let mut guard = small();
    guard.listed(0, ListedState::Draining, 1.0, None);
    assert_eq!(guard.judge(NOW, vec![line(1, 1, 0.0)]).passed.len(), 0);
    // Rule 3 before rule 1: the line of what drains goes, be it the last one.
    guard.listed(1, ListedState::Draining, 1.0, None);
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 0.0), line(1, 1, 0.0)]).held.len(), 0);
}

#[test]
fn a_line_to_a_server_that_drains_or_was_never_listed_is_refused() {
    let mut guard = small();
    guard.listed(0, ListedState::Draining, 1.0, None);
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 2.0), line(2, 0, 1.0), line(1, 77, 1.0)]).passed.len(), 0);
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 0.5)]).held.len(), 0);
}

#[test]
fn a_weight_and_a_drain_in_one_message_are_judged_together() {
    let mut guard = small();
    guard.listed(0, ListedState::Draining, 1.0, None);
    let judged = guard.judge(NOW, vec![line(1, 0, 0.0), line(1, 1, 0.0), line(1, 0, 2.0)]);
    assert_eq!((judged.held.len(), reasons(&guard)), (2, vec!["empties-table", "sends-to-draining"]));
}

#[test]
fn what_is_next_to_nothing_is_no_line_and_no_level() {
    let mut guard = small();
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 1e-9), line(1, 1, 0.0)]).held.len(), 0);
    let mut guard = small();
    guard.listed(1, ListedState::Draining, 1.0, None);
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 1e-3), line(1, 1, 1e6)]).passed.len(), 1);
    for weight in [f64::NAN, f64::INFINITY, -1.0, 1e12] {
        assert_eq!(guard.judge(NOW, vec![line(1, 0, weight)]).passed.len(), 0, "{weight}");
    }
    for pace in [0.0, 1e-9, f64::NAN, -3.0] {
        let level = Command::SetAdmission {
            table: 1,
            class: 0,
            admission_rate: Some(pace),
            retry_policy: RetryPolicy::Never,
        };
        assert_eq!(guard.judge(NOW, vec![level]).passed.len(), 0, "{pace}");
    }
}

#[test]
fn a_cold_server_gets_what_it_can_bear_at_its_age_over_all_versions_in_force() {
    let mut guard = small();
    // 30 a second over three of weight 1: ten each. At its start it may be sent 4 x 0.2 x 10 = 8.
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 1.0)]).passed.len(), 0);
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 0.5)]).held.len(), 0);
    assert_eq!(guard.judge(NOW + Duration::from_secs(9), vec![line(1, 2, 1.0)]).held.len(), 0);
    // What the others lose falls on it.
    let mut guard = small();
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 0.5)]).held.len(), 0);
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 0.0)]).passed.len(), 0);
    assert_eq!(reasons(&guard), ["shifts-to-cold"]);
    // A table where less is on its way still counts as it may be in force: 6 there, 6 more elsewhere.
    let mut guard = small();
    guard.joined(1, 30.0);
    guard.judge(NOW, vec![line(3, 0, 1.0), line(3, 1, 1.0), bind(1, 3, 0), line(1, 2, 0.5)]);
    guard.judge(NOW, vec![line(1, 2, 0.0)]);
    assert_eq!(guard.judge(NOW, vec![line(3, 2, 1.2)]).passed.len(), 0);
    guard.sent(0, 2);
    guard.confirmed(0, 2);
    assert_eq!(guard.judge(NOW, vec![line(3, 2, 1.2)]).held.len(), 0);
}

/// Once no warm server is open, cold ones are judged against each other, since somebody has to take the queries. A batch
/// that makes it so itself is not excused by that: half of a fleet withdrawn at once pushed the cold rest over.
#[test]
fn a_batch_that_withdraws_the_last_warm_servers_is_refused() {
    let mut guard = small();
    guard.judge(NOW, vec![line(1, 2, 0.5)]);
    let out = |server| Command::EjectServer { server, ejected: true };
    assert_eq!(guard.judge(NOW, vec![out(0), out(1)]).passed, vec![]);
    assert_eq!(reasons(&guard), ["shifts-to-cold", "shifts-to-cold"]);
}

/// What a withdrawn server had goes to the others, cold ones too.
#[test]
fn a_withdrawal_that_heaps_queries_on_a_cold_server_is_refused() {
    let mut guard = small();
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 0.5)]).held.len(), 0);
    assert_eq!(guard.judge(NOW, vec![Command::EjectServer { server: 0, ejected: true }]).passed.len(), 0);
    let warm = NOW + Duration::from_secs(10);
    assert_eq!(guard.judge(warm, vec![Command::EjectServer { server: 0, ejected: true }]).held.len(), 0);
    assert_eq!(guard.judge(warm, vec![Command::EjectServer { server: 1, ejected: true }]).held.len(), 0);
    assert_eq!(guard.judge(warm, vec![Command::EjectServer { server: 2, ejected: true }]).passed.len(), 0);
}

#[test]
fn planners_that_share_nothing_reckon_with_what_the_others_send() {
    let mut guard = SafetyGuard::new(GuardConfig { planners: 2.0, ..terms() });
    (0..2).for_each(|s| guard.listed(s, ListedState::Ready, 1.0, None));
    guard.listed(2, ListedState::Ready, 1.0, Some(NOW));
    guard.joined(0, 30.0);
    guard.judge(NOW, vec![line(1, 0, 1.0), line(1, 1, 1.0), bind(0, 1, 0)]);
    // 4 x 0.2 x 2 - 1 = 0.6 of what a warm one gets.
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 0.6)]).passed.len(), 0);
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 0.4)]).held.len(), 0);
}

#[test]
fn first_binds_pass_after_a_restart_but_not_to_a_table_without_a_server() {
    let mut guard = SafetyGuard::new(terms());
    (0..100).for_each(|s| {
        guard.listed(s, if s < 12 { ListedState::Ready } else { ListedState::Removed }, 1.0, None)
    });
    (0..150).for_each(|p| guard.joined(p, 5.0));
    let mut orders: Vec<Command> = (0..12).map(|s| line(1, s, 1.0)).collect();
    orders.extend((0..150).map(|p| bind(p, if p < 149 { 1 } else { 9 }, 0)));
    let judged = guard.judge(NOW, orders);
    assert_eq!((judged.passed.len(), judged.held.len()), (12 + 149, 1));
    // With nothing open anywhere there is nothing better.
    let mut guard = SafetyGuard::new(terms());
    guard.joined(0, 5.0);
    assert_eq!(guard.judge(NOW, vec![bind(0, 9, 0)]).held.len(), 0);
}

#[test]
fn after_a_mass_restart_with_only_cold_ones_left_they_ramp_together() {
    let mut guard = SafetyGuard::new(terms());
    (0..10).for_each(|s| guard.listed(s, ListedState::Ready, 1.0, Some(NOW)));
    guard.joined(0, 100.0);
    // An even share of all is ten each; a fresh one may be sent eight.
    let all: Vec<Command> = (0..10).map(|s| line(1, s, 0.3)).chain([bind(0, 1, 0)]).collect();
    assert_eq!(guard.judge(NOW, all.clone()).held.len(), 0, "a first bind passes: rule 3 for what it holds");
    let mut guard = SafetyGuard::new(terms());
    (0..10).for_each(|s| guard.listed(s, ListedState::Ready, 1.0, Some(NOW)));
    guard.joined(0, 100.0);
    guard.judge(NOW, all);
    assert_eq!(guard.judge(NOW, vec![line(1, 0, 9.0)]).passed.len(), 0);
    assert_eq!(guard.judge(NOW + Duration::from_secs(10), vec![line(1, 0, 9.0)]).held.len(), 0);
}

#[test]
fn a_raised_bound_holds_for_a_while_and_never_for_an_empty_pool() {
    let mut guard = small();
    guard.raise(40.0, NOW + Duration::from_secs(5));
    assert_eq!(guard.judge(NOW, vec![line(1, 2, 1.0)]).held.len(), 0);
    assert_eq!(guard.judge(NOW, vec![Command::ClearTable { table: 1 }]).passed.len(), 0);
    assert_eq!(guard.judge(NOW + Duration::from_secs(5), vec![line(1, 2, 50.0)]).passed.len(), 0);
}

#[test]
fn what_only_vanished_stays_open_where_only_drains_bind() {
    for (only_drains_bind, held) in [(true, 1), (false, 0)] {
        let mut guard = SafetyGuard::new(GuardConfig { only_drains_bind, ..terms() });
        guard.listed(0, ListedState::Ready, 1.0, None);
        guard.joined(0, 3.0);
        guard.judge(NOW, vec![line(1, 0, 1.0), bind(0, 1, 0)]);
        guard.listed(0, ListedState::Removed, 1.0, None);
        assert_eq!(guard.judge(NOW, vec![line(1, 0, 0.0)]).held.len(), held);
    }
}

#[test]
fn an_edit_that_leaves_no_open_server_is_refused_and_says_which_has_to_stay() {
    let seen = |name: &str, draining: bool, warm: bool, weight: f64| edit::Seen {
        name: name.into(),
        draining,
        warm,
        weight,
    };
    let before = [seen("a", false, true, 1.0), seen("b", true, true, 1.0), seen("c", false, false, 1.0)];
    let drained = [seen("a", true, true, 1.0), seen("b", true, true, 1.0), seen("c", false, false, 1.0)];
    assert_eq!(edit::judge(&before, &drained), Err(edit::EmptiedPool { takes: vec!["a".into()] }));
    let tiny = [seen("a", false, true, 1e-9), seen("c", false, false, 100.0)];
    assert!(edit::judge(&before, &tiny).is_err());
    let swapped = [seen("a", true, true, 1.0), seen("b", false, true, 1.0)];
    assert_eq!(edit::judge(&before, &swapped), Ok(()));
}

#[test]
fn a_refusal_is_told_and_can_be_judged_again_from_the_log() {
    let mut guard = small();
    guard.judge(NOW, vec![line(1, 2, 1.0)]);
    guard.judge(NOW, vec![line(1, 0, 0.0)]);
    guard.judge(NOW, vec![line(1, 1, 0.0)]);
    let refusals: Vec<_> = guard.refusals().cloned().collect();
    assert_eq!(
        refusals.iter().map(|r| r.reason).collect::<Vec<_>>(),
        [RejectionReason::Pushes, RejectionReason::Empties]
    );
    for refusal in refusals {
        let name = |s: usize| format!("s{s}");
        let sentence = refusal.sentence(&name, &|p| format!("f{p}"));
        assert!(
            sentence.contains(if refusal.reason == RejectionReason::Pushes { "s2" } else { "f0 first" }),
            "{sentence}"
        );
        assert!(!refusal.safe(&name).is_empty());
        let text = serde_json::to_string(refusal.case.as_ref().unwrap()).unwrap();
        let case: runloom_guard::case::RejectionCase = serde_json::from_str(&text).unwrap();
        assert_eq!(case.replay().map(|r| r.reason), Some(refusal.reason));
    }
}

/// A proxy that confirms nothing for long: versions are merged, and the most that it may send is kept.
#[test]
fn a_proxy_that_is_silent_for_long_costs_bounded_memory_and_no_caution() {
    let mut guard = small();
    guard.joined(1, 30.0);
    guard.judge(NOW, vec![line(3, 0, 1.0), line(3, 1, 1.0), bind(1, 3, 0), line(1, 2, 0.5)]);
    for k in 0..500 {
        guard.judge(NOW, vec![line(1, 2, 0.01 + 1e-5 * f64::from(k))]);
    }
    // Six of the bound of eight may still come from table 1, long ago as it was ordered.
    assert_eq!(guard.judge(NOW, vec![line(3, 2, 1.2)]).passed.len(), 0);
}

// The naive checker.

type Entries = BTreeMap<ServerId, f64>;

/// All that a proxy may hold: the states it passes through, from the one it confirmed on, in the order in which
/// messages reach it.
#[derive(Clone, Default)]
struct Naive {
    /// By proxy: the tables of its classes after each message that is not yet overtaken by a confirmation.
    ways: Vec<Vec<[Entries; CLASSES]>>,
}

/// Every way in which the proxies can be on their ways at once; the most that a server is sent in any of them.
/// With `apart`, the tables of a proxy's classes count as if they came by messages of their own, which is how the
/// guard reckons: it errs on the cautious side there.
fn most(naive: &Naive, server: ServerId, rate: f64, apart: bool) -> f64 {
    let share = |lines: &Entries| {
        let all: f64 = lines.values().sum();
        lines.get(&server).map_or(0.0, |w| w / all)
    };
    let each = if apart { CLASSES } else { 1 };
    let mut places = vec![0usize; naive.ways.len() * each];
    let mut most: f64 = 0.0;
    loop {
        let one = |p: usize| -> f64 {
            let class =
                |c: usize| share(&naive.ways[p][places[p * each + c % each]][c]) * rate / CLASSES as f64;
            (0..CLASSES).map(class).sum()
        };
        most = most.max((0..naive.ways.len()).map(one).sum());
        let Some(next) = (0..places.len()).find(|k| places[*k] + 1 < naive.ways[k / each].len()) else {
            return most;
        };
        places[next] += 1;
        places[..next].iter_mut().for_each(|k| *k = 0);
    }
}

/// One small fleet: which servers are ready, draining or cold, and who has confirmed how much.
struct Fleet {
    modes: Vec<u8>,
    proxies: usize,
}

const RATE: f64 = 12.0;

fn open(mode: u8) -> bool {
    mode != 1
}

/// Table of class k for all proxies is table k + 1. Gives the guard and the naive state after the first binds.
fn set_out(fleet: &Fleet, first: &[Entries; CLASSES]) -> Option<(SafetyGuard, Naive)> {
    let mut guard = SafetyGuard::new(terms());
    for (s, mode) in fleet.modes.iter().enumerate() {
        guard.listed(s, ListedState::Ready, 1.0, (*mode == 2).then_some(NOW));
    }
    (0..fleet.proxies).for_each(|p| guard.joined(p, RATE));
    let mut orders = Vec::new();
    for (class, lines) in first.iter().enumerate() {
        // No line to a draining server is laid anew: those lines are from before it drained.
        orders.extend(lines.iter().map(|(s, w)| line(class as TableId + 1, *s, *w)));
        orders.extend((0..fleet.proxies).map(|p| bind(p, class as TableId + 1, 1 << class)));
    }
    if !guard.judge(NOW, orders).held.is_empty() {
        return None;
    }
    (0..fleet.proxies).for_each(|p| guard.sent(p, 1));
    let drains = (0..fleet.modes.len()).filter(|s| !open(fleet.modes[*s]));
    drains.for_each(|s| guard.listed(s, ListedState::Draining, 1.0, None));
    Some((guard, Naive { ways: vec![vec![first.clone()]; fleet.proxies] }))
}

/// Whether the naive checker lets an order of one line pass: no class left bare that was not, and no cold server
/// sent more in any way things can arrive than it may be, unless it is no worse than before.
fn naive_lets(
    fleet: &Fleet,
    naive: &Naive,
    (table, server, weight): (usize, ServerId, f64),
    apart: bool,
) -> bool {
    let now = &naive.ways[0].last().unwrap()[table];
    if !open(fleet.modes[server]) && weight > now.get(&server).copied().unwrap_or(0.0) {
        return false;
    }
    let mut next = now.clone();
    next.remove(&server);
    if weight > 0.0 {
        next.insert(server, weight);
    }
    let bare = |l: &Entries| !l.keys().any(|s| open(fleet.modes[*s]));
    if bare(&next) && !bare(now) && open(fleet.modes[server]) {
        return false;
    }
    let mut after = naive.clone();
    for way in &mut after.ways {
        let mut held = way.last().unwrap().clone();
        held[table] = next.clone();
        way.push(held);
    }
    let ready = fleet.modes.iter().filter(|m| open(**m)).count() as f64;
    let can = RATE * fleet.proxies as f64 / ready.max(1.0);
    let bound = 4.0 * 0.2 * can;
    let cold = (0..fleet.modes.len()).filter(|s| fleet.modes[*s] == 2 && next.contains_key(s));
    let share = |l: &Entries, s: ServerId| l.get(&s).map_or(0.0, |w| w / l.values().sum::<f64>());
    for s in cold {
        // With no warm one anywhere they are judged against each other.
        let (before, after, bound) = if fleet.modes.contains(&0) {
            (most(naive, s, RATE, apart), most(&after, s, RATE, apart), bound)
        } else {
            let even = 1.5 / next.keys().filter(|s| open(fleet.modes[**s])).count() as f64;
            (share(now, s), share(&next, s), even)
        };
        // Held up are a raise of the cold server's own line, or of an open other's being lowered.
        let raises = s == server && weight > now.get(&s).copied().unwrap_or(0.0);
        let shifts =
            s != server && open(fleet.modes[server]) && weight < now.get(&server).copied().unwrap_or(0.0);
        if after > bound && after > before * 1.0001 && (raises || shifts) {
            return false;
        }
    }
    true
}

/// Goes through all sequences of orders and confirmations to a depth; gives how many verdicts were
/// compared, and in how many the guard is stricter than it would have to be.
fn walk(
    fleet: &Fleet,
    script: &mut Vec<(usize, ServerId, f64, usize)>,
    first: &[Entries; CLASSES],
    depth: usize,
) -> (u64, u64) {
    let mut states = (0, 0);
    if depth == 0 {
        return states;
    }
    for table in 0..CLASSES {
        for server in 0..fleet.modes.len() {
            for weight in [0.0, 0.3, 1.0] {
                // Which proxies confirm after it: none, the first, or all.
                for confirms in 0..3 {
                    script.push((table, server, weight, confirms));
                    for more in [replay(fleet, script, first), walk(fleet, script, first, depth - 1)] {
                        states = (states.0 + more.0, states.1 + more.1);
                    }
                    script.pop();
                }
            }
        }
    }
    states
}

/// Plays a script on guard and naive checker, and compares the verdicts on its last order.
fn replay(fleet: &Fleet, script: &[(usize, ServerId, f64, usize)], first: &[Entries; CLASSES]) -> (u64, u64) {
    let Some((mut guard, mut naive)) = set_out(fleet, first) else { return (0, 0) };
    let (mut number, mut stricter) = (1, 0);
    for (k, (table, server, weight, confirms)) in script.iter().enumerate() {
        let (apart, exact) = match k + 1 == script.len() {
            true => {
                [true, false].map(|apart| naive_lets(fleet, &naive, (*table, *server, *weight), apart)).into()
            }
            false => (true, true),
        };
        let judged = guard.judge(NOW, vec![line(*table as TableId + 1, *server, *weight)]);
        if k + 1 == script.len() {
            assert_eq!(judged.held.is_empty(), apart, "{:?} {first:?} {script:?}", fleet.modes);
            assert!(
                exact || !apart,
                "what is unsafe in some order of arrival passed: {:?} {script:?}",
                fleet.modes
            );
            stricter = u64::from(exact && !apart);
        }
        if judged.held.is_empty() {
            number += 1;
            for way in &mut naive.ways {
                let mut held = way.last().unwrap().clone();
                held[*table].remove(server);
                if *weight > 0.0 {
                    held[*table].insert(*server, *weight);
                }
                way.push(held);
            }
            (0..fleet.proxies).for_each(|p| guard.sent(p, number));
        }
        for p in 0..[0, 1, fleet.proxies][*confirms] {
            guard.confirmed(p, number);
            let way = &mut naive.ways[p];
            way.drain(..way.len() - 1);
        }
    }
    (1, stricter)
}

/// All fleets of up to three proxies and three servers with two classes, each server ready, draining or cold, and
/// all sequences of two orders with their confirmations; of three orders on the smallest.
#[test]
fn the_guard_agrees_with_the_naive_checker_on_every_small_fleet() {
    let mut states = (0, 0);
    for proxies in 1..=3 {
        for servers in 1..=3usize {
            for code in 0..3usize.pow(servers as u32) {
                let modes: Vec<u8> = (0..servers).map(|s| (code / 3usize.pow(s as u32) % 3) as u8).collect();
                let fleet = Fleet { modes, proxies };
                // The classes' tables at the start: all servers at half weight, and the first server alone.
                let all: Entries = (0..servers).map(|s| (s, 0.5)).collect();
                let one: Entries = [(0, 1.0)].into();
                if !one.keys().any(|s| open(fleet.modes[*s])) {
                    continue;
                }
                let depth = if servers < 3 && proxies < 3 { 3 } else { 2 };
                let more = walk(&fleet, &mut vec![], &[all, one], depth);
                states = (states.0 + more.0, states.1 + more.1);
            }
        }
    }
    let (states, stricter) = states;
    println!("{states} verdicts compared, {stricter} of them stricter than the order of arrival needs");
    assert!(states > 100_000 && stricter < states / 50);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// On larger fleets: whatever is ordered in whatever batches, no table that proxies are on is ever without an
    /// open server that had one, and no cold server is sent more than its bound but by first binds.
    #[test]
    fn no_batch_empties_a_table_or_pushes_a_cold_server_over(
        modes in proptest::collection::vec(0u8..3, 12),
        batches in proptest::collection::vec(
            proptest::collection::vec((0u8..7, 0u16..4, 0usize..12, 0usize..8, 0u32..5), 1..9), 1..30),
    ) {
        let mut guard = SafetyGuard::new(terms());
        for (s, mode) in modes.iter().enumerate() {
            guard.listed(s, if open(*mode) { ListedState::Ready } else { ListedState::Draining }, 1.0, (*mode == 2).then_some(NOW));
        }
        (0..8).for_each(|p| guard.joined(p, RATE));
        let (mut tables, mut binds) = (BTreeMap::<TableId, Entries>::new(), BTreeMap::<ProxyId, TableId>::new());
        for batch in batches {
            let orders: Vec<Command> = batch.iter().map(|(kind, table, server, proxy, size)| match kind {
                0..=3 => line(*table, *server, [0.0, 0.1, 1.0, 30.0, f64::NAN][*size as usize]),
                4 => bind(*proxy, *table, 0),
                5 => Command::ClearTable { table: *table },
                _ => line(*table, *server, 0.0),
            }).collect();
            let before = tables.clone();
            let bound_before = binds.clone();
            for order in guard.judge(NOW, orders).passed {
                match order {
                    Command::SetEntry { table, server, weight } if weight > 0.0 => {
                        tables.entry(table).or_default().insert(server, weight);
                    }
                    Command::SetEntry { table, server, .. } => _ = tables.entry(table).or_default().remove(&server),
                    Command::ClearTable { table } => _ = tables.insert(table, Entries::new()),
                    Command::AssignTable { proxy, table, .. } => _ = binds.insert(proxy, table),
                    _ => {}
                }
            }
            let fit = |l: &Entries| {
                let most = l.values().copied().fold(0.0, f64::max);
                l.iter().any(|(s, w)| open(modes[*s]) && *w >= most * 1e-6)
            };
            let any = (0..12).any(|s| open(modes[s]));
            let used: BTreeSet<TableId> = binds.values().copied().collect();
            for table in used {
                let here = tables.get(&table).is_some_and(fit);
                let was = before.get(&table).is_some_and(fit);
                let newly = binds.iter().any(|(p, t)| *t == table && bound_before.get(p) != Some(t));
                prop_assert!(here || !(was || newly && any), "table {table} was emptied");
            }
            prop_assert!(tables.values().flat_map(|l| l.values()).all(|w| w.is_finite() && *w > 0.0));
        }
    }
}

/// A million unsafe orders, of eight kinds, on a fleet under way: none passes.
#[test]
fn a_million_unsafe_orders_are_all_refused() {
    let mut guard = SafetyGuard::new(terms());
    (0..30).for_each(|s| guard.listed(s, ListedState::Ready, 1.0, (s >= 24).then_some(NOW)));
    (0..24).for_each(|p| guard.joined(p, 10.0));
    let mut first: Vec<Command> = (0..24).map(|s| line(1 + s as TableId % 3, s, 1.0)).collect();
    first.extend((0..24).map(|p| bind(p, 1 + p as TableId % 3, 0)));
    assert_eq!(guard.judge(NOW, first).held, vec![]);
    let mut refused = 0u32;
    for k in 0..1_000_000u32 {
        let table = 1 + (k % 3) as TableId;
        let (server, part) = ((k % 24) as ServerId, f64::from(k % 97) / 97.0);
        let all = || (0..24).filter(|s| 1 + (*s as TableId) % 3 == table);
        let batch: Vec<Command> = match k % 8 {
            0 => vec![line(table, server, f64::NAN)],
            1 => vec![line(table, server, -part - 1e-9)],
            2 => all().map(|s| line(table, s, 0.0)).collect(),
            3 => vec![Command::ClearTable { table }],
            4 => vec![line(table, 24 + server % 6, 10.0 + part)],
            5 => vec![Command::SetAdmission {
                table,
                class: 0,
                admission_rate: Some(part * 1e-3),
                retry_policy: RetryPolicy::Never,
            }],
            6 => vec![bind((k % 24) as ProxyId, 60_000, 0)],
            _ => all().map(|s| Command::EjectServer { server: s, ejected: true }).collect(),
        };
        let count = batch.len();
        let judged = guard.judge(NOW, batch);
        // Of a batch that takes all, at the least what would have been the last to go stays.
        refused += u32::from(!judged.held.is_empty());
        prop_assert_held(count, &judged.passed);
    }
    assert_eq!(refused, 1_000_000);
}

fn prop_assert_held(count: usize, passed: &[Command]) {
    assert!(count > 0 && passed.is_empty(), "{passed:?}");
}
