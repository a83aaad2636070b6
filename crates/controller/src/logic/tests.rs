use super::*;
use crate::interface::Fact;
use crate::state::{Flying, Standing};
use crate::sums::Histogram;
use std::collections::BTreeMap;

const NOW: Duration = secs(100);

fn facts(numbers: &[(&str, f64)]) -> Facts {
    Facts(numbers.iter().map(|(k, n)| (k.to_string(), Fact::Number(*n))).collect::<BTreeMap<_, _>>())
}

/// A server in full service that was heard of just now.
fn well(zone: usize) -> Node {
    let (listed, swift, standing, group) = (1.0, 1.0, Eligible, Some(0));
    Node { zone, listed, swift, standing, group, heard: NOW, good_at: NOW, tries: 20.0, ..Node::default() }
}

fn planner(nodes: Vec<Node>) -> Planner {
    let facts = facts(&[("channel.backlog", 4000.0), ("channel.overhead", 4.0)]);
    let (groups, chance) = (vec![Group::default()], Some(WyRand::new_seed(1)));
    let gate = Gate { beats: 9, ..Gate::default() };
    Planner { now: NOW, facts, nodes, groups, chance, gate, ..Planner::default() }
}

fn proxy(bound: Option<u64>) -> Joined {
    Joined { here: true, bound, group: Some(0), ..Joined::default() }
}

fn met(server: Server, tries: u64, failed: u64, span: Duration) -> Event {
    let took = Duration::from_millis(200);
    Event::Met { zone: 0, server, tries, failed, took, span, load: vec![] }
}

fn sent(planner: &mut Planner) -> Vec<Order> {
    let mut orders = Vec::new();
    planner.deal(true);
    planner.send(true, &mut orders);
    orders
}

fn standings(planner: &Planner) -> Vec<Standing> {
    planner.nodes.iter().map(|n| n.standing).collect()
}

#[test]
fn a_histogram_keeps_the_mean() {
    let mut times = Histogram::default();
    times.add(0.1, 3.0);
    assert!((times.mean() - 0.1).abs() < 1e-4);
}

#[test]
fn a_mark_that_took_effect_clears_what_went_before_and_its_own_part() {
    let flying = |mark| Flying { mark, lines: 10.0, awaited: BTreeSet::from([0, 1]) };
    let mut channel = Channel { flying: [flying(1), flying(2)].into(), mark: 2, ..Channel::default() };
    channel.applied(0, 2);
    assert_eq!(channel.lines(), 5.0);
    channel.applied(0, 2);
    assert_eq!(channel.lines(), 5.0);
}

#[test]
fn a_proxy_that_left_is_waited_for_no_more() {
    let flying = Flying { mark: 1, lines: 10.0, awaited: BTreeSet::from([4]) };
    let mut channel = Channel { flying: [flying].into(), ..Channel::default() };
    channel.left(4);
    assert_eq!(channel.lines(), 0.0);
}

// What is noted.

#[test]
fn a_burst_of_late_reports_does_not_look_like_more_handled() {
    let mut planner = planner(vec![well(0)]);
    planner.note(&met(0, 10, 0, secs(1)), &mut vec![]);
    planner.note(&met(0, 40, 0, secs(4)), &mut vec![]);
    assert_eq!(planner.nodes[0].flow[0], 10.0);
}

/// What a planner takes for the queries a second of one class of one proxy, after lines every so often.
fn usage(hint: f64, every: Duration, queries: u64, span: Duration) -> f64 {
    let mut planner = planner(vec![well(0)]);
    planner.facts.0.insert("classes".into(), Fact::Number(1.0));
    planner.note(&Event::Joined { proxy: 0, zone: 0, rate: hint, fresh: true }, &mut vec![]);
    for _ in 0..12 {
        planner.now += every;
        let came = Event::Came { proxy: 0, class: 0, queries, unanswered: 0, span };
        planner.note(&came, &mut vec![]);
    }
    planner.proxies[0].came[0]
}

#[test]
fn what_comes_seldom_came_in_all_the_time_since_the_line_before() {
    // No query, no line: guards against a pace of the busy spans alone, which levels then cut.
    for hint in [0.02, 0.125, 2.0] {
        assert!((0.1..0.16).contains(&usage(hint, secs(8), 1, secs(2))), "{hint}");
    }
    // Where every span has its line, or lines of longer spans come late and at once, it is as they say.
    assert!((usage(10.0, secs(1), 30, secs(1)) - 30.0).abs() < 0.1);
    assert!((usage(10.0, secs(0), 60, secs(2)) - 30.0).abs() < 0.1);
}

#[test]
fn a_good_answer_ends_a_run_of_failures() {
    let mut planner = planner(vec![Node { run: 9.0, ..well(0) }]);
    planner.note(&met(0, 3, 2, secs(1)), &mut vec![]);
    assert_eq!(planner.nodes[0].run, 0.0);
}

#[test]
fn a_stale_timer_starts_nothing() {
    let mut orders = Vec::new();
    Planner { token: 7, ..planner(vec![]) }.note(&Event::Woken { token: 6 }, &mut orders);
    assert_eq!(orders, vec![]);
}

#[test]
fn a_report_on_a_server_never_listed_is_harmless() {
    let orders = planner(vec![]).decide(NOW, &[met(3, 5, 5, secs(1))]);
    assert!(!orders.iter().any(|o| matches!(o, Order::Line { .. })));
}

#[test]
fn odd_input_is_survived_and_ordered_about_nobody() {
    let mut planner = Planner::default();
    let start = Event::Start { seed: 1, facts: Facts::default() };
    let nobody = Event::Listed { how: Listing::Whole, entries: vec![] };
    let joined = Event::Joined { proxy: 9, zone: 7, rate: f64::NAN, fresh: false };
    let probed = Event::Probed { server: 40, found: Found::NoAnswer, after: secs(1), load: vec![f64::NAN] };
    let came = Event::Came { proxy: 3, class: 6, queries: 5, unanswered: 0, span: secs(0) };
    let left = Event::Left { proxy: 12 };
    let applied = Event::Applied { proxy: 12, mark: 7, after: secs(0) };
    let woken = Event::Woken { token: 1 };
    planner.decide(secs(1), &[start, nobody, joined, probed, came, left, applied, met(33, 2, 5, secs(0))]);
    let orders = planner.decide(secs(2), &[woken]);
    assert!(orders.iter().all(|order| matches!(order, Order::Wake { .. })), "{orders:?}");
}

#[test]
fn a_restart_under_the_same_id_ramps() {
    let mut planner = planner(vec![well(0)]);
    planner.list(Listing::Changes, &[entry(Mode::Ready, Some(NOW))]);
    assert_eq!(standings(&planner), [Ramping]);
}

#[test]
fn what_a_whole_list_leaves_out_is_gone() {
    let mut planner = planner(vec![well(0)]);
    planner.list(Listing::Whole, &[]);
    assert_eq!(standings(&planner), [Unlisted]);
}

fn entry(mode: Mode, started: Option<Duration>) -> Entry {
    Entry { server: 0, zone: 0, kind: 0, cell: 0, mode, weight: 1.0, started }
}

fn under_marked_only(node: Node) -> Planner {
    let mut planner = planner(vec![node, well(0), well(0)]);
    planner.facts.0.insert("drain.marked_only".into(), Fact::Flag(true));
    planner
}

#[test]
fn a_server_that_a_list_drops_goes_on_while_it_answers() {
    let mut planner = under_marked_only(well(0));
    planner.list(Listing::Changes, &[entry(Mode::Gone, None)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Eligible);
    planner.nodes[0] = Node { run: 1.0, good_at: NOW - secs(3), dropped: true, ..well(0) };
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Unlisted);
}

#[test]
fn under_a_list_that_misses_many_who_answer_the_tables_of_before_are_kept() {
    let mut planner = under_marked_only(well(0));
    planner.proxies = vec![Joined { old: true, ..proxy(None) }];
    (planner.gate.astray, planner.gate.beats) = (true, 9);
    planner.bind(0.0, true, &mut vec![]);
    assert_eq!(planner.proxies[0].bound, None);
    planner.nodes[1].standing = Draining;
    sent(&mut planner);
    assert_eq!(planner.proxies[0].bound, Some(0));
}

#[test]
fn a_server_that_answered_all_along_is_no_stranger() {
    let mut planner = under_marked_only(Node { listed: 0.0, standing: Unlisted, ..well(0) });
    planner.list(Listing::Changes, &[entry(Mode::Ready, None)]);
    assert_eq!((standings(&planner)[0], planner.nodes[0].stranger), (Eligible, false));
}

#[test]
fn a_marked_drain_binds_whatever_the_list_says_next() {
    let mut planner = under_marked_only(well(0));
    planner.list(Listing::Changes, &[entry(Mode::Draining, None)]);
    planner.list(Listing::Changes, &[entry(Mode::Gone, None)]);
    assert_eq!(standings(&planner)[0], Unlisted);
}

#[test]
fn a_listed_stranger_that_fails_first_is_not_there() {
    let mut planner = under_marked_only(Node::default());
    planner.list(Listing::Changes, &[entry(Mode::Ready, None)]);
    planner.nodes[0].run = 1.0;
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Unlisted);
}

#[test]
fn an_empty_change_of_the_list_changes_nothing() {
    let mut planner = planner(vec![well(0)]);
    planner.list(Listing::Changes, &[]);
    assert_eq!(standings(&planner), [Eligible]);
}

#[test]
fn a_probe_that_was_turned_away_says_nothing() {
    let mut planner = planner(vec![Node { standing: Probation, ..well(0) }]);
    let found = Found::TurnedAway;
    planner.note(&Event::Probed { server: 0, found, after: secs(0), load: vec![] }, &mut vec![]);
    assert_eq!(standings(&planner), [Probation]);
}

// How servers are judged.

#[test]
fn nothing_but_failures_withdraws_at_once() {
    let dead = Node { run: 6.0, failed: 6.0, good_at: NOW - secs(3), ..well(0) };
    let mut planner = planner(vec![dead, well(0), well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner), [Withdrawn, Eligible, Eligible]);
}

#[test]
fn a_row_of_time_outs_is_not_death_while_something_good_comes() {
    let full = Node { run: 6.0, failed: 6.0, good_at: NOW - secs(1), ..well(0) };
    let mut planner = planner(vec![full, well(0), well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Eligible);
}

#[test]
fn a_row_of_time_outs_counts_less_when_most_suffer() {
    let suffering = || Node { failed: 10.0, ..well(0) };
    let row = Node { run: 6.0, failed: 14.0, good_at: NOW - secs(3), ..well(0) };
    let mut planner = planner(vec![row, suffering(), suffering()]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Eligible);
}

#[test]
fn silence_alone_speaks_neither_for_nor_against() {
    let silent = Node { heard: NOW - secs(9), good_at: NOW - secs(9), ..well(0) };
    let mut planner = planner(vec![silent, well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Eligible);
}

#[test]
fn two_unanswered_probes_corroborate_silence() {
    let silent = Node { unanswered: 2, good_at: NOW - secs(3), ..well(0) };
    let mut planner = planner(vec![silent, well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Withdrawn);
}

#[test]
fn past_two_thirds_of_the_tries_failed_withdraws() {
    let sick = Node { failed: 14.0, ..well(0) };
    let mut planner = planner(vec![sick, well(0), well(0), well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Withdrawn);
}

#[test]
fn too_few_tries_count_as_average() {
    let hardly_met = Node { tries: 12.0, failed: 11.0, ..well(0) };
    let mut planner = planner(vec![hardly_met, well(0), well(0), well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Eligible);
}

#[test]
fn failing_and_slow_is_load_and_costs_half_the_weight() {
    let mut full = Node { failed: 14.0, ..well(0) };
    full.times.add(3.0, 5.0);
    let mut planner = planner(vec![full, well(0), well(0), well(0)]);
    planner.facts = facts(&[("classes", 1.0), ("class.0.soft_limit", 1.0)]);
    planner.judge(&mut vec![]);
    assert!(planner.nodes[0].halved && planner.nodes[0].standing == Eligible);
}

#[test]
fn most_of_a_zone_failing_together_is_halved_and_stays() {
    let sick = || Node { failed: 14.0, ..well(1) };
    let mut planner = planner(vec![sick(), sick(), well(0), well(0), well(0)]);
    planner.judge(&mut vec![]);
    assert!(planner.nodes[0].halved && planner.nodes[0].standing == Eligible);
}

#[test]
fn a_server_set_apart_is_meant_to_be_full() {
    let full = Node { run: 60.0, failed: 19.0, apart: true, good_at: NOW - secs(9), ..well(0) };
    let mut planner = planner(vec![full, well(0), well(0)]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[0], Eligible);
}

#[test]
fn the_third_withdrawal_in_a_minute_holds() {
    let twice = [NOW - secs(40), NOW - secs(20)].into();
    let mut planner = planner(vec![Node { withdrawals: twice, ..well(0) }]);
    planner.withdraw(0, true, &mut vec![]);
    assert_eq!(standings(&planner), [Held]);
}

#[test]
fn probation_takes_ten_seconds() {
    let out = |since| Node { standing: Probation, since, ..well(0) };
    let mut planner = planner(vec![out(NOW - secs(9)), out(NOW - secs(10))]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner), [Probation, Ramping]);
}

// The floor.

#[test]
fn under_half_of_a_zone_its_withdrawn_return_ramping() {
    let out = || Node { standing: Withdrawn, since: NOW - secs(6), ..well(0) };
    let mut planner = planner(vec![out(), out(), well(0), well(1), well(1)]);
    planner.floor();
    assert_eq!(standings(&planner)[..2], [Ramping, Ramping]);
}

#[test]
fn a_dead_zone_stays_out_while_most_of_the_fleet_serves() {
    let dead = || Node { standing: Withdrawn, since: NOW - secs(6), hard: true, ..well(0) };
    let mut planner = planner(vec![dead(), dead(), well(1), well(1), well(1)]);
    planner.floor();
    assert_eq!(standings(&planner)[..2], [Withdrawn, Withdrawn]);
}

#[test]
fn the_last_servers_return_at_once_even_if_dead() {
    let dead = || Node { standing: Withdrawn, since: NOW, hard: true, ..well(0) };
    let mut planner = planner(vec![dead(), Node { standing: Draining, ..well(0) }]);
    planner.floor();
    assert_eq!(standings(&planner), [Ramping, Draining]);
}

// What a server may carry.

fn cold(age: u64) -> Node {
    Node { started: Some(NOW - secs(age)), sent: Some((1, 0.1)), ..well(0) }
}

#[test]
fn a_cold_server_gets_a_part_that_grows_with_its_age() {
    let mut planner = planner(vec![cold(1), cold(10), cold(30)]);
    planner.facts = facts(&[("cold.from", 0.2), ("cold.warm_after", 20.0)]);
    let parts: Vec<f64> = (0..3).map(|s| planner.ramp(s)).collect();
    assert!(parts[0] < 0.2 && parts[0] < parts[1] && parts[1] < 0.6 && parts[2] == 1.0);
}

#[test]
fn a_hard_pressed_fleet_keeps_a_cold_server_out() {
    let mut planner = planner(vec![cold(5)]);
    planner.gate.strain = 4.0;
    assert_eq!(planner.ramp(0), 0.0);
}

#[test]
fn a_server_just_started_waits_its_first_seconds_in_a_table_or_not() {
    let new = Node { sent: None, ..cold(1) };
    let planner = planner(vec![new, cold(1)]);
    assert_eq!((planner.ramp(0), planner.ramp(1)), (0.0, 0.0));
}

#[test]
fn a_server_that_returns_starts_at_a_tenth() {
    let back = Node { standing: Ramping, since: NOW, ..well(0) };
    assert!((planner(vec![back]).ramp(0) - 0.1).abs() < 1e-9);
}

#[test]
fn weights_follow_what_the_tries_cost_a_server() {
    let busy = |busy| Node { busy, ..well(0) };
    let mut planner = planner(vec![busy(0.8), busy(0.4)]);
    planner.weigh();
    assert!(planner.nodes[0].swift < 0.95 && planner.nodes[1].swift > 1.05);
}

#[test]
fn times_with_the_waiting_in_them_settle_half_way() {
    let timed = |seconds| {
        let mut node = well(0);
        node.times.add(seconds, 1e6);
        node
    };
    let mut planner = planner(vec![timed(0.4), timed(0.1)]);
    (0..200).for_each(|_| planner.weigh());
    let ratio = planner.nodes[1].swift / planner.nodes[0].swift;
    assert!((1.8..2.2).contains(&ratio));
}

// Levels, further tries and classes set apart.

fn leveled(nodes: Vec<Node>) -> Planner {
    let mut planner = planner(nodes);
    let limits = [("classes", 2.0), ("class.0.soft_limit", 1.0), ("class.1.soft_limit", 1.0)];
    planner.facts = facts(&[&limits[..], &[("class.0.payoff", 2.0), ("class.1.payoff", 5.0)]].concat());
    planner.facts.0.insert("levels.kind".into(), Fact::Text("pace".into()));
    planner.proxies = vec![Joined { came: vec![30.0, 20.0], ..proxy(Some(0)) }];
    planner
}

#[test]
fn the_limit_goes_to_the_dearest_class_first() {
    let mut planner = leveled(vec![well(0)]);
    planner.gate.limit = Some(30.0);
    let levels: Vec<f64> = planner.levels().into_iter().filter_map(|(level, _)| level).collect();
    assert_eq!(levels, [10.0, 24.0]);
}

#[test]
fn one_level_for_all_proxies_binds_the_busy_ones() {
    let mut planner = leveled(vec![well(0)]);
    planner.proxies = [5.0, 40.0].map(|pace| Joined { came: vec![0.0, pace], ..proxy(Some(0)) }).into();
    planner.gate.limit = Some(25.0);
    assert_eq!(planner.levels()[1].0, Some(20.0));
}

#[test]
fn a_level_that_cuts_nothing_leaves_room_for_chance_at_idle_proxies() {
    let mut planner = leveled(vec![well(0)]);
    planner.proxies = [0.1, 0.3].map(|pace| Joined { came: vec![pace, pace], ..proxy(Some(0)) }).into();
    planner.gate.limit = Some(25.0);
    // Guards against two queries in one second refused at a fleet with nothing to do.
    assert!(planner.levels().iter().all(|(level, _)| level.is_some_and(|l| (2.0..3.0).contains(&l))));
    // What has to be cut is cut as before.
    planner.gate.limit = Some(0.2);
    assert!(planner.levels()[0].0.is_some_and(|level| level < 0.3));
}

#[test]
fn further_tries_are_cut_before_any_level() {
    let mut planner = leveled(vec![well(0)]);
    planner.gate.times[0].add(3.0, 50.0);
    planner.gauge();
    assert!(planner.gate.tries_cut && planner.gate.limit.is_none());
}

#[test]
fn a_cut_goes_below_what_is_handled() {
    let mut planner = leveled(vec![Node { flow: vec![40.0], ..well(0) }]);
    (planner.gate.tries_cut, planner.gate.beats) = (true, 9);
    planner.gate.times[0].add(1.5, 50.0);
    planner.gauge();
    assert!(planner.gate.limit.is_some_and(|limit| (20.0..36.0).contains(&limit)));
}

#[test]
fn a_planner_that_knows_no_pressure_yet_keeps_half_warm_servers_out() {
    let mut planner = planner(vec![cold(12)]);
    planner.facts = facts(&[("cold.from", 0.2), ("cold.warm_after", 20.0)]);
    planner.gate.beats = 1;
    assert_eq!(planner.ramp(0), 0.0);
    planner.gate.beats = 9;
    assert!(planner.ramp(0) > 0.4);
}

#[test]
fn a_lost_zone_lowers_the_limit_before_reports_tell() {
    let mut planner = leveled(vec![Node { flow: vec![50.0], ..well(0) }]);
    (planner.gate.beats, planner.gate.best, planner.gate.usual) = (20, 30.0, 25.0);
    planner.gauge();
    assert!(planner.gate.limit.is_some_and(|limit| limit < 50.0));
}

#[test]
fn a_jam_that_answers_nothing_is_no_ease() {
    let mut planner = leveled(vec![well(0)]);
    planner.gate.met[0] = (100.0, 99.0);
    planner.press(true);
    assert!(planner.gate.pressure[0] > 4.0);
}

#[test]
fn quick_answers_beside_failures_are_no_overload() {
    let mut planner = leveled(vec![well(0)]);
    planner.gate.met[0] = (100.0, 40.0);
    planner.gate.times[0].add(0.2, 60.0);
    planner.press(true);
    assert!(planner.gate.pressure[0] < 1.0);
}

#[test]
fn without_levels_the_least_class_is_set_apart() {
    let mut planner = leveled(vec![well(0)]);
    planner.facts.0.remove("levels.kind");
    planner.gate.tries_cut = true;
    planner.gate.times[0].add(3.0, 50.0);
    planner.gauge();
    assert_eq!((planner.gate.apart, planner.gate.limit), (0b01, None));
}

#[test]
fn the_part_takes_neither_cold_servers_nor_the_whole_fleet() {
    let mut planner = planner(vec![cold(1), well(0), well(0), well(0), well(0)]);
    (planner.gate.apart, planner.gate.part) = (1, 1.0);
    planner.part();
    let apart: Vec<bool> = planner.nodes.iter().map(|n| n.apart).collect();
    assert_eq!(apart, [false, false, true, true, true]);
}

#[test]
fn the_table_of_those_apart_stays_until_the_last_proxy_is_off_it() {
    let mut planner = planner((0..5).map(|s| Node { apart: s == 1, ..well(0) }).collect());
    planner.proxies = vec![proxy(Some(1))];
    planner.part();
    assert!(planner.nodes[1].apart);
    planner.proxies[0].bound = Some(0);
    planner.part();
    assert!(!planner.nodes[1].apart);
}

#[test]
fn a_small_fleet_is_not_parted() {
    let mut planner = planner(vec![well(0), well(0), well(0)]);
    (planner.gate.apart, planner.gate.part) = (1, 0.5);
    planner.part();
    assert!(planner.groups[0].apart == 0 && !planner.nodes.iter().any(|n| n.apart));
}

// What is sent.

#[test]
fn what_is_out_goes_before_other_lines() {
    let gone = Node { standing: Draining, sent: Some((1, 1.0)), ..well(0) };
    let mut planner = planner(vec![well(0), gone]);
    planner.proxies = vec![proxy(Some(0))];
    let out = Order::Line { table: 1, server: 1, weight: 0.0 };
    assert!(matches!(&sent(&mut planner)[..2], [first, Order::Line { server: 0, .. }] if *first == out));
}

// Groups.

fn large() -> Planner {
    let mut planner = planner((0..60).map(|s| Node { group: None, ..well(s % 3) }).collect());
    planner.groups.clear();
    let zones = [("zones", 3.0), ("proxies", 100.0), ("channel.pace", 5000.0)];
    planner.facts = facts(&[&zones[..], &[("channel.backlog", 4000.0)]].concat());
    let proxy = |p: usize| Joined { zone: p % 3, group: None, came: vec![1.0 + p as f64], ..proxy(None) };
    planner.proxies = (0..30).map(proxy).collect();
    planner
}

#[test]
fn a_fleet_that_one_table_is_too_large_for_is_dealt_into_groups_by_zone() {
    let mut planner = large();
    planner.deal(true);
    assert_eq!(planner.groups.len(), 6);
    let of = |p: &Joined| planner.groups[p.group.unwrap()].zone == Some(p.zone);
    assert!(planner.proxies.iter().all(of));
}

#[test]
fn servers_follow_the_load_of_a_group() {
    let mut planner = large();
    planner.proxies.iter_mut().filter(|p| p.zone == 0).for_each(|p| p.came = vec![60.0]);
    planner.deal(true);
    let plenty: Vec<f64> = planner.groups.iter().map(|g| g.weight / g.load).collect();
    assert!(plenty.iter().all(|one| plenty.iter().all(|other| *one < 1.35 * other)), "{plenty:?}");
}

#[test]
fn a_group_whose_servers_are_lost_gets_others_at_once() {
    let mut planner = large();
    planner.deal(true);
    planner.nodes.iter_mut().filter(|n| n.zone == 1).for_each(|n| n.standing = Withdrawn);
    planner.deal(false);
    assert!(planner.groups.iter().all(|g| g.weight > 0.0));
}

#[test]
fn a_group_without_proxies_gives_its_servers_to_those_that_lost_theirs() {
    let mut planner = large();
    planner.deal(true);
    planner.nodes.iter_mut().filter(|n| n.zone == 1).for_each(|n| n.standing = Withdrawn);
    planner.proxies.iter_mut().filter(|p| p.zone == 0).for_each(|p| p.here = false);
    planner.deal(true);
    assert!(planner.groups.iter().all(|g| (g.proxies > 0.0) == (g.weight > 1e-9)));
}

#[test]
fn a_group_that_can_spare_none_does_not_stop_the_others() {
    let mut planner = large();
    planner.deal(true);
    // One server is far too much for its group already; another group has none.
    planner.proxies.iter_mut().filter(|p| p.group == Some(0)).for_each(|p| p.came = vec![1e-3]);
    planner.nodes.iter_mut().filter(|n| n.group == Some(0)).skip(1).for_each(|n| n.group = Some(1));
    planner.nodes.iter_mut().filter(|n| n.group == Some(4)).for_each(|n| n.group = Some(1));
    planner.deal(false);
    assert!(planner.groups[4].weight > 0.0);
}

#[test]
fn where_fewer_servers_than_groups_are_left_every_proxy_moves_to_one_that_has_some() {
    let mut planner = large();
    sent(&mut planner);
    planner.nodes.iter_mut().skip(2).for_each(|n| n.standing = Draining);
    planner.channel = Channel::default();
    let orders = sent(&mut planner);
    let held = |p: &Joined| planner.groups[p.group.unwrap()].weight > 0.5 && p.bound == Some(0);
    assert!(planner.proxies.iter().all(held));
    let binds = orders.iter().filter(|o| matches!(o, Order::Bind { .. })).count();
    assert!((20..30).contains(&binds), "{binds}");
}

#[test]
fn two_groups_do_not_hand_the_last_server_to_and_fro() {
    let mut planner = large();
    planner.deal(true);
    planner.nodes.iter_mut().skip(1).for_each(|n| n.standing = Draining);
    planner.deal(false);
    let home = planner.nodes[0].group;
    planner.deal(true);
    assert_eq!(planner.nodes[0].group, home);
}

#[test]
fn a_line_goes_to_its_own_group_alone() {
    let mut planner = large();
    sent(&mut planner);
    planner.channel = Channel::default();
    planner.nodes[0].standing = Draining;
    planner.send(false, &mut vec![]);
    let group = planner.nodes[0].group;
    let awaited = &planner.channel.flying[0].awaited;
    assert!(!awaited.is_empty() && awaited.iter().all(|p| planner.proxies[*p].group == group));
}

#[test]
fn what_was_refused_is_ordered_anew_at_the_next_look() {
    let mut planner = planner(vec![well(0), well(0)]);
    planner.proxies = vec![proxy(None)];
    let lost = |order: &Order| matches!(order, Order::Line { server: 1, .. } | Order::Bind { .. });
    let first: Vec<Order> = sent(&mut planner).into_iter().filter(lost).collect();
    for order in &first {
        planner.note(&Event::Refused { order: order.clone(), weight: None }, &mut vec![]);
    }
    let again: Vec<Order> = sent(&mut planner).into_iter().filter(lost).collect();
    assert!(first.len() == 2 && again == first, "{again:?}");
}

#[test]
fn a_joined_proxy_is_bound_for_every_class() {
    let mut planner = planner((0..5).map(|_| well(0)).collect());
    (planner.gate.apart, planner.gate.part) = (1, 0.5);
    planner.proxies = vec![proxy(None)];
    let orders = sent(&mut planner);
    for classes in [0, 1] {
        assert!(orders.iter().any(|o| matches!(o, Order::Bind { classes: c, .. } if *c == classes)));
    }
}

#[test]
fn an_order_names_only_proxies_that_are_joined() {
    let mut planner = planner(vec![well(0)]);
    planner.proxies = vec![Joined::default()];
    assert_eq!(sent(&mut planner), vec![]);
}

#[test]
fn nothing_is_sent_into_a_full_channel() {
    let mut planner = planner(vec![well(0)]);
    planner.proxies = vec![proxy(Some(0))];
    let awaited = BTreeSet::from([0]);
    planner.channel.flying.push_back(Flying { mark: 9, lines: 1999.0, awaited });
    assert_eq!(sent(&mut planner), vec![]);
}

#[test]
fn where_messages_are_counted_one_goes_to_all_every_so_often() {
    let drain = Node { standing: Draining, sent: Some((1, 1.0)), ..well(0) };
    let mut planner = planner(vec![well(0), drain]);
    planner.facts.0.insert("channel.messages".into(), Fact::Number(12.0));
    planner.proxies = vec![proxy(Some(0))];
    planner.channel.last = NOW - Duration::from_millis(900);
    assert_eq!(sent(&mut planner), vec![]);
    planner.channel.last = NOW - Duration::from_millis(1100);
    assert_eq!(sent(&mut planner)[0], Order::Line { table: 1, server: 1, weight: 0.0 });
}

#[test]
fn the_same_events_give_the_same_orders() {
    let run = || {
        let mut planner = planner(vec![well(0), well(1)]);
        planner.facts.0.insert("probes.allowed".into(), Fact::Flag(true));
        (0..9).map(|k| planner.decide(NOW + secs(k), &[])).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn where_keys_fall_into_slices_nothing_is_ordered() {
    let mut planner = planner(vec![well(0)]);
    planner.facts.0.insert("slices".into(), Fact::Number(8.0));
    (planner.groups, planner.nodes[0].group) = (vec![], None);
    planner.proxies = vec![Joined { group: None, ..proxy(None) }];
    assert_eq!(sent(&mut planner), vec![]);
}

// What outlasts a restart.

fn hints(all: &[(Server, f64, f64)]) -> Event {
    let hint =
        |(server, swift, doubt): &(Server, f64, f64)| Hint { server: *server, swift: *swift, doubt: *doubt };
    Event::Remembered { hints: all.iter().map(hint).collect() }
}

/// As the first list has them: in service, and nothing met yet.
fn unmet() -> Node {
    Node { tries: 0.0, ..well(0) }
}

#[test]
fn a_server_in_doubt_comes_back_slowly_and_goes_at_its_first_failures() {
    let mut planner = planner((0..6).map(|_| unmet()).collect());
    planner.note(&hints(&[(0, 0.5, 0.9), (1, 0.7, 0.1), (9, 1.0, 1.0)]), &mut vec![]);
    assert_eq!(standings(&planner)[..3], [Ramping, Eligible, Eligible]);
    assert_eq!((planner.nodes[0].swift, planner.nodes[1].swift), (0.5, 0.7));
    assert!(planner.weight(0) < 0.1 && planner.weight(1) == 0.7);
    // Nothing good, and three seconds in which the others had it: out with two failures, where four are usual.
    planner.now = NOW + secs(3);
    for s in 1..6 {
        planner.note(&met(s, 5, 0, secs(1)), &mut vec![]);
    }
    planner.note(&met(0, 2, 2, secs(1)), &mut vec![]);
    planner.judge(&mut vec![]);
    assert_eq!(standings(&planner)[..2], [Withdrawn, Eligible]);
}

#[test]
fn a_server_in_doubt_that_answers_is_as_good_as_any_and_hints_that_come_late_say_nothing() {
    let mut planner = planner((0..6).map(|_| unmet()).collect());
    planner.note(&hints(&[(0, 1.0, 1.0)]), &mut vec![]);
    planner.now = NOW + secs(11);
    (0..6).for_each(|s| planner.note(&met(s, 9, 0, secs(1)), &mut vec![]));
    planner.judge(&mut vec![]);
    assert_eq!((planner.weight(0), planner.nodes[0].run), (1.0, 0.0));
    planner.note(&hints(&[(0, 0.5, 1.0), (1, 0.5, 1.0)]), &mut vec![]);
    assert!(planner.nodes.iter().all(|n| n.standing == Eligible && n.swift == 1.0));
}

#[test]
fn doubt_of_many_at_once_is_of_none() {
    let mut planner = planner((0..6).map(|_| unmet()).collect());
    planner.note(&hints(&[(0, 0.6, 1.0), (1, 1.0, 1.0), (2, f64::NAN, 1.0)]), &mut vec![]);
    assert!(planner.nodes.iter().all(|n| n.standing == Eligible));
    assert_eq!((planner.nodes[0].swift, planner.nodes[2].swift), (0.6, 1.0));
}

#[test]
fn what_is_learned_are_servers_that_are_not_as_the_list_has_them() {
    let held = Node { standing: Held, withdrawals: [NOW - secs(9)].into(), ..well(0) };
    let back = Node { withdrawals: [NOW - secs(50)].into(), ..well(0) };
    let gone = Node { standing: Draining, swift: 0.5, ..well(0) };
    let planner = planner(vec![well(0), held, back, gone, Node { swift: 0.6, ..well(0) }]);
    let all: Vec<Learned> = planner.learned().collect();
    let learned = |server, swift, failed, held| Learned { server, swift, failed, held };
    let back = learned(2, 1.0, Some(NOW - secs(50)), false);
    assert_eq!(all, [learned(1, 1.0, Some(NOW), true), back, learned(4, 0.6, None, false)]);
}

// Servers replaced throughout a day, and of several kinds.

fn timed(kind: usize, seconds: f64) -> Node {
    let mut node = Node { kind, ..well(0) };
    node.times.add(seconds, 20.0);
    node
}

#[test]
fn what_a_server_says_of_its_work_while_its_weight_grows_makes_it_no_swifter() {
    let mut light = Node { standing: Ramping, ..timed(0, 0.05) };
    light.work.add(0.05, 20.0);
    let mut full = timed(0, 0.2);
    full.work.add(0.2, 20.0);
    let mut planner = planner(vec![light, full]);
    (0..20).for_each(|_| planner.weigh());
    assert_eq!(planner.nodes[0].swift, 1.0);
}

#[test]
fn a_new_server_that_is_slower_than_the_rest_is_taken_at_its_word_sooner_and_a_swifter_one_is_not() {
    let swift = |started: Option<Duration>, since: Duration, own: f64| {
        let node = |seconds| {
            let mut node = Node { since, started, ..well(0) };
            node.work.add(seconds, 20.0);
            node
        };
        let mut planner = planner(vec![node(own), Node { started: None, ..node(0.2) }]);
        planner.facts.0.insert("planners".into(), Fact::Number(2.0));
        planner.weigh();
        planner.nodes[0].swift
    };
    // Half of twice the time is the gap to the mean.
    let taken = |part: f64| (-0.5 * part * 2f64.ln()).exp();
    let close = |a: f64, b: f64| (a - b).abs() < 1e-3;
    let (started, just) = (Some(NOW - secs(6)), NOW - secs(5));
    assert!(close(swift(started, just, 0.4), taken(0.3)));
    assert!(close(swift(started, just, 0.1), 1.0 / taken(0.1)));
    assert!(close(swift(started, NOW - secs(11), 0.4), taken(0.1)));
    assert!(close(swift(None, just, 0.4), taken(0.1)));
}

#[test]
fn what_was_said_while_the_weight_grew_is_forgotten_once_it_is_full() {
    let node = Node { standing: Ramping, since: NOW - secs(11), ..timed(0, 0.05) };
    let mut planner = planner(vec![node]);
    planner.judge(&mut vec![]);
    assert_eq!((planner.nodes[0].standing, planner.nodes[0].times.count()), (Eligible, 0.0));
}

#[test]
fn a_kind_whose_queries_take_longer_than_the_list_lets_expect_gives_weight_to_the_others() {
    let mut planner = planner(vec![timed(0, 0.8), timed(0, 0.8), timed(1, 0.1), timed(1, 0.1)]);
    (0..40).for_each(|_| planner.weigh());
    let ratio = planner.nodes[2].swift / planner.nodes[0].swift;
    assert!(ratio > 1.5 && ratio < 8.0, "{ratio}");
}

#[test]
fn one_kind_alone_is_pulled_nowhere() {
    let mut planner = planner(vec![timed(2, 0.4), timed(2, 0.4)]);
    (0..40).for_each(|_| planner.weigh());
    assert!(planner.nodes.iter().all(|n| (n.swift - 1.0).abs() < 1e-9));
}

#[test]
fn a_server_is_spent_once_it_is_off_the_list_and_out_of_every_table() {
    let gone = Node { standing: Unlisted, ..well(0) };
    let still = Node { sent: Some((1, 1.0)), ..Node::default() };
    let planner = planner(vec![well(0), gone, still]);
    assert_eq!([0, 1, 2, 9].map(|s| planner.is_spent(s)), [false, true, false, true]);
}

#[test]
fn whoever_has_an_index_next_is_a_new_server() {
    let held = Node { standing: Unlisted, swift: 0.4, withdrawals: [NOW, NOW].into(), ..well(0) };
    let mut planner = planner(vec![well(0), held]);
    planner.note(&Event::Forgotten { server: 1 }, &mut vec![]);
    let (zone, kind, cell, mode) = (0, 0, 0, Mode::Ready);
    let entry = Entry { server: 1, zone, kind, cell, mode, weight: 2.0, started: Some(NOW) };
    planner.list(Listing::Changes, &[entry]);
    let node = &planner.nodes[1];
    assert_eq!((node.standing, node.swift, node.withdrawals.len()), (Ramping, 1.0, 0));
}

#[test]
fn a_new_server_that_stays_cold_for_a_second_has_its_full_weight_soon_and_one_that_was_out_has_not() {
    let ramping = |since| Node { standing: Ramping, since, started: Some(since - secs(1)), ..well(0) };
    let back = Node { withdrawals: [NOW].into(), ..ramping(NOW - secs(3)) };
    let mut planner = planner(vec![ramping(NOW - secs(3)), back]);
    planner.facts.0.insert("cold.warm_after".into(), Fact::Number(1.0));
    assert_eq!(planner.ramp(0), 1.0);
    assert!((planner.ramp(1) - 0.37).abs() < 1e-9);
}

#[test]
fn groups_keep_to_a_zone_unless_a_planner_may_have_one_zone_s_proxies_alone() {
    let zones = |planners: f64| {
        let mut planner = planner((0..40).map(|k| Node { group: None, ..well(k % 4) }).collect());
        planner.groups.clear();
        let numbers = [("proxies", 300.0), ("planners", planners), ("zones", 4.0), ("channel.pace", 2000.0)];
        planner.facts = facts(&numbers);
        planner.facts.0.insert("home_first".into(), Fact::Flag(true));
        planner.divide();
        planner.groups.iter().map(|g| g.zone).collect::<Vec<_>>()
    };
    assert_eq!(zones(2.0), [Some(0), Some(1), Some(2), Some(3)]);
    assert_eq!(zones(4.0), [None; 4]);
}

#[test]
fn proxies_that_all_come_at_once_are_bound_as_far_as_the_channel_really_has_room() {
    let mut planner = planner((0..10).map(|_| Node { sent: Some((1, 1.0)), ..well(0) }).collect());
    planner.proxies = (0..100).map(|_| proxy(None)).collect();
    let binds = sent(&mut planner).iter().filter(|o| matches!(o, Order::Bind { .. })).count();
    // A thousand and a hundred lines, where 1,500 have room.
    assert_eq!(binds, 100);
}

#[test]
fn who_is_on_no_table_yet_may_use_more_of_the_channel_and_never_all_of_it() {
    let binds = |lines: f64, bound: Option<u64>| {
        let mut planner = planner((0..10).map(|_| Node { sent: Some((1, 1.0)), ..well(0) }).collect());
        planner.proxies = (0..100).map(|_| proxy(bound)).collect();
        let awaited = BTreeSet::from([0]);
        planner.channel.flying.push_back(Flying { mark: 9, lines, awaited });
        sent(&mut planner).iter().filter(|o| matches!(o, Order::Bind { .. })).count()
    };
    // Of 4,000 lines 500 are for the messages' heads; a bind takes eleven.
    assert_eq!(binds(1500.0, None), 1000 / 11);
    assert_eq!(binds(2400.0, None), 100 / 11);
    assert_eq!(binds(2500.0, None), 0);
    // Those that only change sides have the table of before meanwhile.
    assert_eq!(binds(1500.0, Some(1)), 0);
}

#[test]
fn tables_that_part_and_join_at_every_look_keep_to_the_count_of_messages() {
    let mut planner = planner((0..4).map(|_| well(0)).collect());
    planner.facts.0.extend(facts(&[("channel.messages", 10.0), ("channel.messages_over", 10.0)]).0);
    planner.facts.0.insert("classes".into(), Fact::Number(2.0));
    planner.proxies = vec![Joined { came: vec![1.0, 1.0], ..proxy(None) }];
    (planner.gate.apart, planner.gate.part) = (2, 0.3);
    let mut sides = BTreeSet::new();
    let messages = (0..40).filter(|k| {
        planner.now += Duration::from_millis(250);
        // A small group that has four servers at one look and three at the next.
        planner.nodes[3].standing = if k % 2 == 0 { Eligible } else { Withdrawn };
        let orders = sent(&mut planner);
        sides.extend(planner.proxies[0].bound);
        orders.iter().any(|o| matches!(o, Order::Mark { .. }))
    });
    assert!((3..=10).contains(&messages.count()));
    assert_eq!(sides, BTreeSet::from([0, 2]), "they do part and join");
}
