use crate::admission_control::{AdmissionController, ClassAdmission};
use crate::config::{AdmissionKind, ChannelConfig, SlowStartConfig, TrafficClass};
use crate::controller::Controller;
use crate::endpoint::HealthState::{self, *};
use crate::endpoint::{Endpoint, TableEntry};
use crate::flow_control::{InFlightUpdate, UpdateChannel};
use crate::proxy::Proxy;
use crate::publication::UpdateWindow;
use crate::statistics::LatencyHistogram;
use crate::subsetting::Subset;
use crate::{
    Command, DeploymentConfig, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, LearnedState,
};
use crate::{ListedState, ServerId, WarmStartHint};
use nanorand::WyRand;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = secs(100);

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn classes(all: &[(f64, f64)]) -> Vec<TrafficClass> {
    let class = |(latency_objective_seconds, priority_weight): &(f64, f64)| TrafficClass {
        latency_objective_seconds: *latency_objective_seconds,
        priority_weight: *priority_weight,
        ..TrafficClass::default()
    };
    all.iter().map(class).collect()
}

fn warming(initial_capacity: f64, warm_up_seconds: f64) -> DeploymentConfig {
    let slow_start = SlowStartConfig { initial_capacity, warm_up_seconds, overload_multiple: None };
    DeploymentConfig { slow_start, ..DeploymentConfig::default() }
}

/// A server in full service that was heard of just now.
fn well(zone: usize) -> Endpoint {
    let (configured_weight, speed_factor, health, subset) = (1.0, 1.0, Healthy, Some(0));
    Endpoint {
        zone,
        configured_weight,
        speed_factor,
        health,
        subset,
        last_report: NOW,
        last_success: NOW,
        attempts: 20.0,
        ..Endpoint::default()
    }
}

fn controller(endpoints: Vec<Endpoint>) -> Controller {
    let channel =
        ChannelConfig { queue_limit: Some(4000.0), message_overhead: 4.0, ..ChannelConfig::default() };
    let config = DeploymentConfig { channel, ..DeploymentConfig::default() };
    let (subsets, random) = (vec![Subset::default()], Some(WyRand::new_seed(1)));
    let admission = AdmissionController { ticks_with_reports: 9, ..AdmissionController::default() };
    Controller { now: NOW, config, endpoints, subsets, random, admission, ..Controller::default() }
}

fn proxy(assigned: Option<u64>) -> Proxy {
    Proxy { is_connected: true, assigned, subset: Some(0), ..Proxy::default() }
}

fn met(server: ServerId, attempts: u64, failures: u64, window: Duration) -> Event {
    let mean_latency = Duration::from_millis(200);
    Event::OutcomeReport { zone: 0, server, attempts, failures, mean_latency, window, load: vec![] }
}

fn sent(controller: &mut Controller) -> Vec<Command> {
    let mut commands = Vec::new();
    controller.assign_subsets(true);
    controller.publish(true, &mut commands);
    commands
}

fn update_pressure(controller: &mut Controller) {
    let overload_latency = controller.overload_latency_seconds();
    controller.admission.update_pressure(overload_latency, true);
}

fn health_states(controller: &Controller) -> Vec<HealthState> {
    controller.endpoints.iter().map(|n| n.health).collect()
}

#[test]
fn a_histogram_keeps_the_mean() {
    let mut times = LatencyHistogram::default();
    times.add(0.1, 3.0);
    assert!((times.mean() - 0.1).abs() < 1e-4);
}

#[test]
fn a_mark_that_took_effect_clears_what_went_before_and_its_own_part() {
    let flying =
        |ack_token| InFlightUpdate { ack_token, entries: 10.0, pending_acks: BTreeSet::from([0, 1]) };
    let mut channel = UpdateChannel {
        in_flight: [flying(1), flying(2)].into(),
        last_ack_token: 2,
        ..UpdateChannel::default()
    };
    channel.acknowledge(0, 2);
    assert_eq!(channel.queued_entries(), 5.0);
    channel.acknowledge(0, 2);
    assert_eq!(channel.queued_entries(), 5.0);
}

#[test]
fn a_proxy_that_left_is_waited_for_no_more() {
    let flying = InFlightUpdate { ack_token: 1, entries: 10.0, pending_acks: BTreeSet::from([4]) };
    let mut channel = UpdateChannel { in_flight: [flying].into(), ..UpdateChannel::default() };
    channel.disconnect(4);
    assert_eq!(channel.queued_entries(), 0.0);
}

// What is noted.

#[test]
fn a_burst_of_late_reports_does_not_look_like_more_handled() {
    let mut controller = controller(vec![well(0)]);
    controller.handle_event(&met(0, 10, 0, secs(1)), &mut vec![]);
    controller.handle_event(&met(0, 40, 0, secs(4)), &mut vec![]);
    assert_eq!(controller.endpoints[0].success_rates[0], 10.0);
}

/// What a controller takes for the queries a second of one class of one proxy, after lines every so often.
fn usage(hint: f64, every: Duration, requests: u64, window: Duration) -> f64 {
    let mut controller = controller(vec![well(0)]);
    controller.config.classes = classes(&[(1.0, 1.0)]);
    controller.handle_event(
        &Event::ProxyConnected { proxy: 0, zone: 0, request_rate: hint, has_no_table: true },
        &mut vec![],
    );
    for _ in 0..12 {
        controller.now += every;
        let came = Event::ArrivalReport { proxy: 0, class: 0, requests, unanswered: 0, window };
        controller.handle_event(&came, &mut vec![]);
    }
    controller.proxies[0].arrival_rates[0]
}

#[test]
fn what_comes_seldom_came_in_all_the_time_since_the_line_before() {
    // No query, no line: guards against a pace of the utilization spans alone, which levels then cut.
    for hint in [0.02, 0.125, 2.0] {
        assert!((0.1..0.16).contains(&usage(hint, secs(8), 1, secs(2))), "{hint}");
    }
    // Where every span has its line, or lines of longer spans come late and at once, it is as they say.
    assert!((usage(10.0, secs(1), 30, secs(1)) - 30.0).abs() < 0.1);
    assert!((usage(10.0, secs(0), 60, secs(2)) - 30.0).abs() < 0.1);
}

#[test]
fn a_good_answer_ends_a_run_of_failures() {
    let mut controller = controller(vec![Endpoint { consecutive_failures: 9.0, ..well(0) }]);
    controller.handle_event(&met(0, 3, 2, secs(1)), &mut vec![]);
    assert_eq!(controller.endpoints[0].consecutive_failures, 0.0);
}

#[test]
fn a_stale_timer_starts_nothing() {
    let mut commands = Vec::new();
    Controller { timer_token: 7, ..controller(vec![]) }
        .handle_event(&Event::TimerFired { token: 6 }, &mut commands);
    assert_eq!(commands, vec![]);
}

#[test]
fn a_report_on_a_server_never_listed_is_harmless() {
    let commands = controller(vec![]).step(NOW, &[met(3, 5, 5, secs(1))]);
    assert!(!commands.iter().any(|o| matches!(o, Command::SetEntry { .. })));
}

#[test]
fn odd_input_is_survived_and_ordered_about_nobody() {
    let mut controller = Controller::default();
    let start = Event::Start { seed: 1, config: Box::default() };
    let nobody = Event::EndpointsListed { update: EndpointUpdate::Snapshot, records: vec![] };
    let joined = Event::ProxyConnected { proxy: 9, zone: 7, request_rate: f64::NAN, has_no_table: false };
    let probed = Event::HealthChecked {
        server: 40,
        result: HealthCheckResult::Timeout,
        elapsed: secs(1),
        load: vec![f64::NAN],
    };
    let came = Event::ArrivalReport { proxy: 3, class: 6, requests: 5, unanswered: 0, window: secs(0) };
    let left = Event::ProxyDisconnected { proxy: 12 };
    let applied = Event::UpdateAcknowledged { proxy: 12, ack_token: 7, elapsed: secs(0) };
    let woken = Event::TimerFired { token: 1 };
    controller.step(secs(1), &[start, nobody, joined, probed, came, left, applied, met(33, 2, 5, secs(0))]);
    let commands = controller.step(secs(2), &[woken]);
    assert!(commands.iter().all(|command| matches!(command, Command::SetTimer { .. })), "{commands:?}");
}

#[test]
fn a_restart_under_the_same_id_ramps() {
    let mut controller = controller(vec![well(0)]);
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready, Some(NOW))]);
    assert_eq!(health_states(&controller), [SlowStart]);
}

#[test]
fn what_a_whole_list_leaves_out_is_gone() {
    let mut controller = controller(vec![well(0)]);
    controller.update_endpoints(EndpointUpdate::Snapshot, &[]);
    assert_eq!(health_states(&controller), [Unknown]);
}

fn record(state: ListedState, started: Option<Duration>) -> EndpointRecord {
    EndpointRecord { server: 0, zone: 0, kind: 0, cell: 0, state, weight: 1.0, started }
}

fn under_marked_only(endpoint: Endpoint) -> Controller {
    let mut controller = controller(vec![endpoint, well(0), well(0)]);
    controller.config.endpoint_list.only_draining_binds = true;
    controller
}

#[test]
fn a_server_that_a_list_drops_goes_on_while_it_answers() {
    let mut controller = under_marked_only(well(0));
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Removed, None)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
    controller.endpoints[0] = Endpoint {
        consecutive_failures: 1.0,
        last_success: NOW - secs(3),
        missing_from_list: true,
        ..well(0)
    };
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Unknown);
}

#[test]
fn under_a_list_that_misses_many_who_answer_the_tables_of_before_are_kept() {
    let mut controller = under_marked_only(well(0));
    controller.proxies = vec![Proxy { has_previous_table: true, ..proxy(None) }];
    (controller.admission.list_is_stale, controller.admission.ticks_with_reports) = (true, 9);
    let window =
        UpdateWindow { is_regular: true, is_open: true, first_table_reserve: 0.0, message_cost: 5.0 };
    controller.assign_tables(&window, &mut vec![]);
    assert_eq!(controller.proxies[0].assigned, None);
    controller.endpoints[1].health = Draining;
    sent(&mut controller);
    assert_eq!(controller.proxies[0].assigned, Some(0));
}

#[test]
fn a_server_that_answered_all_along_is_no_stranger() {
    let mut controller = under_marked_only(Endpoint { configured_weight: 0.0, health: Unknown, ..well(0) });
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready, None)]);
    assert_eq!((health_states(&controller)[0], controller.endpoints[0].unverified), (Healthy, false));
}

#[test]
fn a_marked_drain_binds_whatever_the_list_says_next() {
    let mut controller = under_marked_only(well(0));
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Draining, None)]);
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Removed, None)]);
    assert_eq!(health_states(&controller)[0], Unknown);
}

#[test]
fn a_listed_stranger_that_fails_first_is_not_there() {
    let mut controller = under_marked_only(Endpoint::default());
    controller.update_endpoints(EndpointUpdate::Delta, &[record(ListedState::Ready, None)]);
    controller.endpoints[0].consecutive_failures = 1.0;
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Unknown);
}

#[test]
fn an_empty_change_of_the_list_changes_nothing() {
    let mut controller = controller(vec![well(0)]);
    controller.update_endpoints(EndpointUpdate::Delta, &[]);
    assert_eq!(health_states(&controller), [Healthy]);
}

#[test]
fn a_probe_that_was_turned_away_says_nothing() {
    let mut controller = controller(vec![Endpoint { health: Probation, ..well(0) }]);
    let result = HealthCheckResult::Rejected;
    controller.handle_event(
        &Event::HealthChecked { server: 0, result, elapsed: secs(0), load: vec![] },
        &mut vec![],
    );
    assert_eq!(health_states(&controller), [Probation]);
}

// How servers are judged.

#[test]
fn nothing_but_failures_withdraws_at_once() {
    let dead = Endpoint { consecutive_failures: 6.0, failures: 6.0, last_success: NOW - secs(3), ..well(0) };
    let mut controller = controller(vec![dead, well(0), well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller), [Ejected, Healthy, Healthy]);
}

#[test]
fn a_row_of_time_outs_is_not_death_while_something_good_comes() {
    let full = Endpoint { consecutive_failures: 6.0, failures: 6.0, last_success: NOW - secs(1), ..well(0) };
    let mut controller = controller(vec![full, well(0), well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn a_row_of_time_outs_counts_less_when_most_suffer() {
    let suffering = || Endpoint { failures: 10.0, ..well(0) };
    let row = Endpoint { consecutive_failures: 6.0, failures: 14.0, last_success: NOW - secs(3), ..well(0) };
    let mut controller = controller(vec![row, suffering(), suffering()]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn silence_alone_speaks_neither_for_nor_against() {
    let silent = Endpoint { last_report: NOW - secs(9), last_success: NOW - secs(9), ..well(0) };
    let mut controller = controller(vec![silent, well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn two_unanswered_probes_corroborate_silence() {
    let silent = Endpoint { unanswered_checks: 2, last_success: NOW - secs(3), ..well(0) };
    let mut controller = controller(vec![silent, well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Ejected);
}

#[test]
fn past_two_thirds_of_the_tries_failed_withdraws() {
    let sick = Endpoint { failures: 14.0, ..well(0) };
    let mut controller = controller(vec![sick, well(0), well(0), well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Ejected);
}

#[test]
fn too_few_tries_count_as_average() {
    let hardly_met = Endpoint { attempts: 12.0, failures: 11.0, ..well(0) };
    let mut controller = controller(vec![hardly_met, well(0), well(0), well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn failing_and_slow_is_load_and_costs_half_the_weight() {
    let mut full = Endpoint { failures: 14.0, ..well(0) };
    full.latencies.add(3.0, 5.0);
    let mut controller = controller(vec![full, well(0), well(0), well(0)]);
    controller.config = DeploymentConfig { classes: classes(&[(1.0, 1.0)]), ..DeploymentConfig::default() };
    controller.detect_outliers(&mut vec![]);
    assert!(controller.endpoints[0].is_weight_halved && controller.endpoints[0].health == Healthy);
}

#[test]
fn most_of_a_zone_failing_together_is_halved_and_stays() {
    let sick = || Endpoint { failures: 14.0, ..well(1) };
    let mut controller = controller(vec![sick(), sick(), well(0), well(0), well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert!(controller.endpoints[0].is_weight_halved && controller.endpoints[0].health == Healthy);
}

#[test]
fn a_server_set_apart_is_meant_to_be_full() {
    let full = Endpoint {
        consecutive_failures: 60.0,
        failures: 19.0,
        is_isolated: true,
        last_success: NOW - secs(9),
        ..well(0)
    };
    let mut controller = controller(vec![full, well(0), well(0)]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[0], Healthy);
}

#[test]
fn the_third_withdrawal_in_a_minute_holds() {
    let twice = [NOW - secs(40), NOW - secs(20)].into();
    let mut controller = controller(vec![Endpoint { ejections: twice, ..well(0) }]);
    controller.eject(0, true, &mut vec![]);
    assert_eq!(health_states(&controller), [LongEjected]);
}

#[test]
fn probation_takes_ten_seconds() {
    let out = |health_since| Endpoint { health: Probation, health_since, ..well(0) };
    let mut controller = controller(vec![out(NOW - secs(9)), out(NOW - secs(10))]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller), [Probation, SlowStart]);
}

// The floor.

#[test]
fn under_half_of_a_zone_its_withdrawn_return_ramping() {
    let out = || Endpoint { health: Ejected, health_since: NOW - secs(6), ..well(0) };
    let mut controller = controller(vec![out(), out(), well(0), well(1), well(1)]);
    controller.apply_panic_threshold();
    assert_eq!(health_states(&controller)[..2], [SlowStart, SlowStart]);
}

#[test]
fn a_dead_zone_stays_out_while_most_of_the_fleet_serves() {
    let dead = || Endpoint {
        health: Ejected,
        health_since: NOW - secs(6),
        ejected_on_hard_evidence: true,
        ..well(0)
    };
    let mut controller = controller(vec![dead(), dead(), well(1), well(1), well(1)]);
    controller.apply_panic_threshold();
    assert_eq!(health_states(&controller)[..2], [Ejected, Ejected]);
}

#[test]
fn the_last_servers_return_at_once_even_if_dead() {
    let dead = || Endpoint { health: Ejected, health_since: NOW, ejected_on_hard_evidence: true, ..well(0) };
    let mut controller = controller(vec![dead(), Endpoint { health: Draining, ..well(0) }]);
    controller.apply_panic_threshold();
    assert_eq!(health_states(&controller), [SlowStart, Draining]);
}

// What a server may carry.

fn cold(age: u64) -> Endpoint {
    Endpoint {
        started_at: Some(NOW - secs(age)),
        published: Some(TableEntry { table: 1, weight: 0.1 }),
        ..well(0)
    }
}

#[test]
fn a_cold_server_gets_a_part_that_grows_with_its_age() {
    let mut controller = controller(vec![cold(1), cold(10), cold(30)]);
    controller.config = warming(0.2, 20.0);
    let parts: Vec<f64> = (0..3).map(|s| controller.warm_fraction(s)).collect();
    assert!(parts[0] < 0.2 && parts[0] < parts[1] && parts[1] < 0.6 && parts[2] == 1.0);
}

#[test]
fn a_hard_pressed_fleet_keeps_a_cold_server_out() {
    let mut controller = controller(vec![cold(5)]);
    controller.admission.uncapped_pressure = 4.0;
    assert_eq!(controller.warm_fraction(0), 0.0);
}

#[test]
fn a_server_just_started_waits_its_first_seconds_in_a_table_or_not() {
    let new = Endpoint { published: None, ..cold(1) };
    let controller = controller(vec![new, cold(1)]);
    assert_eq!((controller.warm_fraction(0), controller.warm_fraction(1)), (0.0, 0.0));
}

#[test]
fn a_server_that_returns_starts_at_a_tenth() {
    let back = Endpoint { health: SlowStart, health_since: NOW, ..well(0) };
    assert!((controller(vec![back]).warm_fraction(0) - 0.1).abs() < 1e-9);
}

#[test]
fn weights_follow_what_the_tries_cost_a_server() {
    let utilization = |utilization| Endpoint { utilization, ..well(0) };
    let mut controller = controller(vec![utilization(0.8), utilization(0.4)]);
    controller.update_speed_estimates();
    assert!(controller.endpoints[0].speed_factor < 0.95 && controller.endpoints[1].speed_factor > 1.05);
}

#[test]
fn times_with_the_waiting_in_them_settle_half_way() {
    let timed = |seconds| {
        let mut endpoint = well(0);
        endpoint.latencies.add(seconds, 1e6);
        endpoint
    };
    let mut controller = controller(vec![timed(0.4), timed(0.1)]);
    (0..200).for_each(|_| controller.update_speed_estimates());
    let ratio = controller.endpoints[1].speed_factor / controller.endpoints[0].speed_factor;
    assert!((1.8..2.2).contains(&ratio));
}

// Levels, further tries and classes set apart.

fn leveled(endpoints: Vec<Endpoint>) -> Controller {
    let mut controller = controller(endpoints);
    let classes = classes(&[(1.0, 2.0), (1.0, 5.0)]);
    let admission = AdmissionKind::RequestRate;
    controller.config = DeploymentConfig { classes, admission, ..DeploymentConfig::default() };
    controller.proxies = vec![Proxy { arrival_rates: vec![30.0, 20.0], ..proxy(Some(0)) }];
    controller
}

#[test]
fn the_limit_goes_to_the_dearest_class_first() {
    let mut controller = leveled(vec![well(0)]);
    controller.admission.admission_limit = Some(30.0);
    let levels: Vec<f64> = controller
        .class_admissions()
        .into_iter()
        .filter_map(|ClassAdmission { admission_rate: level, .. }| level)
        .collect();
    assert_eq!(levels, [10.0, 24.0]);
}

#[test]
fn one_level_for_all_proxies_binds_the_busy_ones() {
    let mut controller = leveled(vec![well(0)]);
    controller.proxies =
        [5.0, 40.0].map(|pace| Proxy { arrival_rates: vec![0.0, pace], ..proxy(Some(0)) }).into();
    controller.admission.admission_limit = Some(25.0);
    assert_eq!(controller.class_admissions()[1].admission_rate, Some(20.0));
}

#[test]
fn a_level_that_cuts_nothing_leaves_room_for_chance_at_idle_proxies() {
    let mut controller = leveled(vec![well(0)]);
    controller.proxies =
        [0.1, 0.3].map(|pace| Proxy { arrival_rates: vec![pace, pace], ..proxy(Some(0)) }).into();
    controller.admission.admission_limit = Some(25.0);
    // Guards against two queries in one second refused at a fleet with nothing to do.
    assert!(controller
        .class_admissions()
        .iter()
        .all(|ClassAdmission { admission_rate: level, .. }| level.is_some_and(|l| (2.0..3.0).contains(&l))));
    // What has to be cut is cut as before.
    controller.admission.admission_limit = Some(0.2);
    assert!(controller.class_admissions()[0].admission_rate.is_some_and(|level| level < 0.3));
}

#[test]
fn further_tries_are_cut_before_any_level() {
    let mut controller = leveled(vec![well(0)]);
    controller.admission.shared.latencies.add(3.0, 50.0);
    controller.update_admission();
    assert!(controller.admission.retries_disabled && controller.admission.admission_limit.is_none());
}

#[test]
fn a_cut_goes_below_what_is_handled() {
    let mut controller = leveled(vec![Endpoint { success_rates: vec![40.0], ..well(0) }]);
    (controller.admission.retries_disabled, controller.admission.ticks_with_reports) = (true, 9);
    controller.admission.shared.latencies.add(1.5, 50.0);
    controller.update_admission();
    assert!(controller.admission.admission_limit.is_some_and(|limit| (20.0..36.0).contains(&limit)));
}

#[test]
fn a_planner_that_knows_no_pressure_yet_keeps_half_warm_servers_out() {
    let mut controller = controller(vec![cold(12)]);
    controller.config = warming(0.2, 20.0);
    controller.admission.ticks_with_reports = 1;
    assert_eq!(controller.warm_fraction(0), 0.0);
    controller.admission.ticks_with_reports = 9;
    assert!(controller.warm_fraction(0) > 0.4);
}

#[test]
fn a_lost_zone_lowers_the_limit_before_reports_tell() {
    let mut controller = leveled(vec![Endpoint { success_rates: vec![50.0], ..well(0) }]);
    (
        controller.admission.ticks_with_reports,
        controller.admission.capacity_estimate,
        controller.admission.sustained_rate,
    ) = (20, 30.0, 25.0);
    controller.update_admission();
    assert!(controller.admission.admission_limit.is_some_and(|limit| limit < 50.0));
}

#[test]
fn a_jam_that_answers_nothing_is_no_ease() {
    let mut controller = leveled(vec![well(0)]);
    controller.admission.shared.attempts = 100.0;
    controller.admission.shared.failures = 99.0;
    update_pressure(&mut controller);
    assert!(controller.admission.shared.overload_pressure > 4.0);
}

#[test]
fn quick_answers_beside_failures_are_no_overload() {
    let mut controller = leveled(vec![well(0)]);
    controller.admission.shared.attempts = 100.0;
    controller.admission.shared.failures = 40.0;
    controller.admission.shared.latencies.add(0.2, 60.0);
    update_pressure(&mut controller);
    assert!(controller.admission.shared.overload_pressure < 1.0);
}

#[test]
fn without_levels_the_least_class_is_set_apart() {
    let mut controller = leveled(vec![well(0)]);
    controller.config.admission = AdmissionKind::Unlimited;
    controller.admission.retries_disabled = true;
    controller.admission.shared.latencies.add(3.0, 50.0);
    controller.update_admission();
    assert_eq!((controller.admission.isolated_classes, controller.admission.admission_limit), (0b01, None));
}

#[test]
fn the_part_takes_neither_cold_servers_nor_the_whole_fleet() {
    let mut controller = controller(vec![cold(1), well(0), well(0), well(0), well(0)]);
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (1, 1.0);
    controller.isolate_classes();
    let isolated: Vec<bool> = controller.endpoints.iter().map(|n| n.is_isolated).collect();
    assert_eq!(isolated, [false, false, true, true, true]);
}

#[test]
fn the_table_of_those_apart_stays_until_the_last_proxy_is_off_it() {
    let mut controller = controller((0..5).map(|s| Endpoint { is_isolated: s == 1, ..well(0) }).collect());
    controller.proxies = vec![proxy(Some(1))];
    controller.isolate_classes();
    assert!(controller.endpoints[1].is_isolated);
    controller.proxies[0].assigned = Some(0);
    controller.isolate_classes();
    assert!(!controller.endpoints[1].is_isolated);
}

#[test]
fn a_small_fleet_is_not_parted() {
    let mut controller = controller(vec![well(0), well(0), well(0)]);
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (1, 0.5);
    controller.isolate_classes();
    assert!(
        controller.subsets[0].isolated_classes == 0 && !controller.endpoints.iter().any(|n| n.is_isolated)
    );
}

// What is sent.

#[test]
fn what_is_out_goes_before_other_lines() {
    let gone =
        Endpoint { health: Draining, published: Some(TableEntry { table: 1, weight: 1.0 }), ..well(0) };
    let mut controller = controller(vec![well(0), gone]);
    controller.proxies = vec![proxy(Some(0))];
    let out = Command::SetEntry { table: 1, server: 1, weight: 0.0 };
    assert!(
        matches!(&sent(&mut controller)[..2], [first, Command::SetEntry { server: 0, .. }] if *first == out)
    );
}

// Groups.

fn large() -> Controller {
    let mut controller = controller((0..60).map(|s| Endpoint { subset: None, ..well(s % 3) }).collect());
    controller.subsets.clear();
    let channel = ChannelConfig {
        entries_per_second: Some(5000.0),
        queue_limit: Some(4000.0),
        ..ChannelConfig::default()
    };
    let (zone_count, proxy_count) = (3.0, Some(100.0));
    controller.config = DeploymentConfig { zone_count, proxy_count, channel, ..DeploymentConfig::default() };
    let proxy =
        |p: usize| Proxy { zone: p % 3, subset: None, arrival_rates: vec![1.0 + p as f64], ..proxy(None) };
    controller.proxies = (0..30).map(proxy).collect();
    controller
}

#[test]
fn a_fleet_that_one_table_is_too_large_for_is_dealt_into_groups_by_zone() {
    let mut controller = large();
    controller.assign_subsets(true);
    assert_eq!(controller.subsets.len(), 6);
    let of = |p: &Proxy| controller.subsets[p.subset.unwrap()].zone == Some(p.zone);
    assert!(controller.proxies.iter().all(of));
}

#[test]
fn servers_follow_the_load_of_a_group() {
    let mut controller = large();
    controller.proxies.iter_mut().filter(|p| p.zone == 0).for_each(|p| p.arrival_rates = vec![60.0]);
    controller.assign_subsets(true);
    let plenty: Vec<f64> = controller.subsets.iter().map(|g| g.weight / g.load).collect();
    assert!(plenty.iter().all(|one| plenty.iter().all(|other| *one < 1.35 * other)), "{plenty:?}");
}

#[test]
fn a_group_whose_servers_are_lost_gets_others_at_once() {
    let mut controller = large();
    controller.assign_subsets(true);
    controller.endpoints.iter_mut().filter(|n| n.zone == 1).for_each(|n| n.health = Ejected);
    controller.assign_subsets(false);
    assert!(controller.subsets.iter().all(|g| g.weight > 0.0));
}

#[test]
fn a_group_without_proxies_gives_its_servers_to_those_that_lost_theirs() {
    let mut controller = large();
    controller.assign_subsets(true);
    controller.endpoints.iter_mut().filter(|n| n.zone == 1).for_each(|n| n.health = Ejected);
    controller.proxies.iter_mut().filter(|p| p.zone == 0).for_each(|p| p.is_connected = false);
    controller.assign_subsets(true);
    assert!(controller.subsets.iter().all(|g| (g.proxy_count > 0.0) == (g.weight > 1e-9)));
}

#[test]
fn a_group_that_can_spare_none_does_not_stop_the_others() {
    let mut controller = large();
    controller.assign_subsets(true);
    // One server is far too much for its group already; another group has none.
    controller.proxies.iter_mut().filter(|p| p.subset == Some(0)).for_each(|p| p.arrival_rates = vec![1e-3]);
    controller.endpoints.iter_mut().filter(|n| n.subset == Some(0)).skip(1).for_each(|n| n.subset = Some(1));
    controller.endpoints.iter_mut().filter(|n| n.subset == Some(4)).for_each(|n| n.subset = Some(1));
    controller.assign_subsets(false);
    assert!(controller.subsets[4].weight > 0.0);
}

#[test]
fn where_fewer_servers_than_groups_are_left_every_proxy_moves_to_one_that_has_some() {
    let mut controller = large();
    sent(&mut controller);
    controller.endpoints.iter_mut().skip(2).for_each(|n| n.health = Draining);
    controller.channel = UpdateChannel::default();
    let commands = sent(&mut controller);
    let held = |p: &Proxy| controller.subsets[p.subset.unwrap()].weight > 0.5 && p.assigned == Some(0);
    assert!(controller.proxies.iter().all(held));
    let binds = commands.iter().filter(|o| matches!(o, Command::AssignTable { .. })).count();
    assert!((20..30).contains(&binds), "{binds}");
}

#[test]
fn two_groups_do_not_hand_the_last_server_to_and_fro() {
    let mut controller = large();
    controller.assign_subsets(true);
    controller.endpoints.iter_mut().skip(1).for_each(|n| n.health = Draining);
    controller.assign_subsets(false);
    let home = controller.endpoints[0].subset;
    controller.assign_subsets(true);
    assert_eq!(controller.endpoints[0].subset, home);
}

#[test]
fn a_line_goes_to_its_own_group_alone() {
    let mut controller = large();
    sent(&mut controller);
    controller.channel = UpdateChannel::default();
    controller.endpoints[0].health = Draining;
    controller.publish(false, &mut vec![]);
    let subset = controller.endpoints[0].subset;
    let awaited = &controller.channel.in_flight[0].pending_acks;
    assert!(!awaited.is_empty() && awaited.iter().all(|p| controller.proxies[*p].subset == subset));
}

#[test]
fn what_was_refused_is_ordered_anew_at_the_next_look() {
    let mut controller = controller(vec![well(0), well(0)]);
    controller.proxies = vec![proxy(None)];
    let lost = |command: &Command| {
        matches!(command, Command::SetEntry { server: 1, .. } | Command::AssignTable { .. })
    };
    let first: Vec<Command> = sent(&mut controller).into_iter().filter(lost).collect();
    for command in &first {
        controller.handle_event(
            &Event::CommandRejected { command: command.clone(), published_weight: None },
            &mut vec![],
        );
    }
    let again: Vec<Command> = sent(&mut controller).into_iter().filter(lost).collect();
    assert!(first.len() == 2 && again == first, "{again:?}");
}

#[test]
fn a_joined_proxy_is_bound_for_every_class() {
    let mut controller = controller((0..5).map(|_| well(0)).collect());
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (1, 0.5);
    controller.proxies = vec![proxy(None)];
    let commands = sent(&mut controller);
    for classes in [0, 1] {
        assert!(commands
            .iter()
            .any(|o| matches!(o, Command::AssignTable { class_mask: c, .. } if *c == classes)));
    }
}

#[test]
fn an_order_names_only_proxies_that_are_joined() {
    let mut controller = controller(vec![well(0)]);
    controller.proxies = vec![Proxy::default()];
    assert_eq!(sent(&mut controller), vec![]);
}

#[test]
fn nothing_is_sent_into_a_full_channel() {
    let mut controller = controller(vec![well(0)]);
    controller.proxies = vec![proxy(Some(0))];
    let awaited = BTreeSet::from([0]);
    controller.channel.in_flight.push_back(InFlightUpdate {
        ack_token: 9,
        entries: 1999.0,
        pending_acks: awaited,
    });
    assert_eq!(sent(&mut controller), vec![]);
}

#[test]
fn where_messages_are_counted_one_goes_to_all_every_so_often() {
    let drain =
        Endpoint { health: Draining, published: Some(TableEntry { table: 1, weight: 1.0 }), ..well(0) };
    let mut controller = controller(vec![well(0), drain]);
    controller.config.channel.message_limit = 12.0;
    controller.proxies = vec![proxy(Some(0))];
    controller.channel.last_update = NOW - Duration::from_millis(900);
    assert_eq!(sent(&mut controller), vec![]);
    controller.channel.last_update = NOW - Duration::from_millis(1100);
    assert_eq!(sent(&mut controller)[0], Command::SetEntry { table: 1, server: 1, weight: 0.0 });
}

#[test]
fn the_same_events_give_the_same_orders() {
    let run = || {
        let mut controller = controller(vec![well(0), well(1)]);
        controller.config.health_checks_allowed = true;
        (0..9).map(|k| controller.step(NOW + secs(k), &[])).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn where_keys_fall_into_slices_nothing_is_ordered() {
    let mut controller = controller(vec![well(0)]);
    controller.config.slice_count = 8.0;
    (controller.subsets, controller.endpoints[0].subset) = (vec![], None);
    controller.proxies = vec![Proxy { subset: None, ..proxy(None) }];
    assert_eq!(sent(&mut controller), vec![]);
}

// What outlasts a restart.

fn hints(all: &[(ServerId, f64, f64)]) -> Event {
    let hint = |(server, swift, doubt): &(ServerId, f64, f64)| WarmStartHint {
        server: *server,
        speed_factor: *swift,
        suspicion: *doubt,
    };
    Event::WarmStart { hints: all.iter().map(hint).collect() }
}

/// As the first list has them: in service, and nothing met yet.
fn unmet() -> Endpoint {
    Endpoint { attempts: 0.0, ..well(0) }
}

#[test]
fn a_server_in_doubt_comes_back_slowly_and_goes_at_its_first_failures() {
    let mut controller = controller((0..6).map(|_| unmet()).collect());
    controller.handle_event(&hints(&[(0, 0.5, 0.9), (1, 0.7, 0.1), (9, 1.0, 1.0)]), &mut vec![]);
    assert_eq!(health_states(&controller)[..3], [SlowStart, Healthy, Healthy]);
    assert_eq!((controller.endpoints[0].speed_factor, controller.endpoints[1].speed_factor), (0.5, 0.7));
    assert!(controller.weight(0) < 0.1 && controller.weight(1) == 0.7);
    // Nothing good, and three seconds in which the others had it: out with two failures, where four are usual.
    controller.now = NOW + secs(3);
    for s in 1..6 {
        controller.handle_event(&met(s, 5, 0, secs(1)), &mut vec![]);
    }
    controller.handle_event(&met(0, 2, 2, secs(1)), &mut vec![]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!(health_states(&controller)[..2], [Ejected, Healthy]);
}

#[test]
fn a_server_in_doubt_that_answers_is_as_good_as_any_and_hints_that_come_late_say_nothing() {
    let mut controller = controller((0..6).map(|_| unmet()).collect());
    controller.handle_event(&hints(&[(0, 1.0, 1.0)]), &mut vec![]);
    controller.now = NOW + secs(11);
    (0..6).for_each(|s| controller.handle_event(&met(s, 9, 0, secs(1)), &mut vec![]));
    controller.detect_outliers(&mut vec![]);
    assert_eq!((controller.weight(0), controller.endpoints[0].consecutive_failures), (1.0, 0.0));
    controller.handle_event(&hints(&[(0, 0.5, 1.0), (1, 0.5, 1.0)]), &mut vec![]);
    assert!(controller.endpoints.iter().all(|n| n.health == Healthy && n.speed_factor == 1.0));
}

#[test]
fn doubt_of_many_at_once_is_of_none() {
    let mut controller = controller((0..6).map(|_| unmet()).collect());
    controller.handle_event(&hints(&[(0, 0.6, 1.0), (1, 1.0, 1.0), (2, f64::NAN, 1.0)]), &mut vec![]);
    assert!(controller.endpoints.iter().all(|n| n.health == Healthy));
    assert_eq!((controller.endpoints[0].speed_factor, controller.endpoints[2].speed_factor), (0.6, 1.0));
}

#[test]
fn what_is_learned_are_servers_that_are_not_as_the_list_has_them() {
    let held = Endpoint { health: LongEjected, ejections: [NOW - secs(9)].into(), ..well(0) };
    let back = Endpoint { ejections: [NOW - secs(50)].into(), ..well(0) };
    let gone = Endpoint { health: Draining, speed_factor: 0.5, ..well(0) };
    let controller = controller(vec![well(0), held, back, gone, Endpoint { speed_factor: 0.6, ..well(0) }]);
    let all: Vec<LearnedState> = controller.learned().collect();
    let learned = |server, speed_factor, last_ejected, is_long_ejected| LearnedState {
        server,
        speed_factor,
        last_ejected,
        is_long_ejected,
    };
    let back = learned(2, 1.0, Some(NOW - secs(50)), false);
    assert_eq!(all, [learned(1, 1.0, Some(NOW), true), back, learned(4, 0.6, None, false)]);
}

// Servers replaced throughout a day, and of several kinds.

fn timed(kind: usize, seconds: f64) -> Endpoint {
    let mut endpoint = Endpoint { kind, ..well(0) };
    endpoint.latencies.add(seconds, 20.0);
    endpoint
}

#[test]
fn what_a_server_says_of_its_work_while_its_weight_grows_makes_it_no_swifter() {
    let mut light = Endpoint { health: SlowStart, ..timed(0, 0.05) };
    light.service_times.add(0.05, 20.0);
    let mut full = timed(0, 0.2);
    full.service_times.add(0.2, 20.0);
    let mut controller = controller(vec![light, full]);
    (0..20).for_each(|_| controller.update_speed_estimates());
    assert_eq!(controller.endpoints[0].speed_factor, 1.0);
}

#[test]
fn a_new_server_that_is_slower_than_the_rest_is_taken_at_its_word_sooner_and_a_swifter_one_is_not() {
    let speed_factor = |started_at: Option<Duration>, health_since: Duration, own: f64| {
        let endpoint = |seconds| {
            let mut endpoint = Endpoint { health_since, started_at, ..well(0) };
            endpoint.service_times.add(seconds, 20.0);
            endpoint
        };
        let mut controller = controller(vec![endpoint(own), Endpoint { started_at: None, ..endpoint(0.2) }]);
        controller.config.planner_count = 2.0;
        controller.update_speed_estimates();
        controller.endpoints[0].speed_factor
    };
    // Half of twice the time is the gap to the mean.
    let taken = |part: f64| (-0.5 * part * 2f64.ln()).exp();
    let close = |a: f64, b: f64| (a - b).abs() < 1e-3;
    let (started, just) = (Some(NOW - secs(6)), NOW - secs(5));
    assert!(close(speed_factor(started, just, 0.4), taken(0.3)));
    assert!(close(speed_factor(started, just, 0.1), 1.0 / taken(0.1)));
    assert!(close(speed_factor(started, NOW - secs(11), 0.4), taken(0.1)));
    assert!(close(speed_factor(None, just, 0.4), taken(0.1)));
}

#[test]
fn what_was_said_while_the_weight_grew_is_forgotten_once_it_is_full() {
    let endpoint = Endpoint { health: SlowStart, health_since: NOW - secs(11), ..timed(0, 0.05) };
    let mut controller = controller(vec![endpoint]);
    controller.detect_outliers(&mut vec![]);
    assert_eq!((controller.endpoints[0].health, controller.endpoints[0].latencies.count()), (Healthy, 0.0));
}

#[test]
fn a_kind_whose_queries_take_longer_than_the_list_lets_expect_gives_weight_to_the_others() {
    let mut controller = controller(vec![timed(0, 0.8), timed(0, 0.8), timed(1, 0.1), timed(1, 0.1)]);
    (0..40).for_each(|_| controller.update_speed_estimates());
    let ratio = controller.endpoints[2].speed_factor / controller.endpoints[0].speed_factor;
    assert!(ratio > 1.5 && ratio < 8.0, "{ratio}");
}

#[test]
fn one_kind_alone_is_pulled_nowhere() {
    let mut controller = controller(vec![timed(2, 0.4), timed(2, 0.4)]);
    (0..40).for_each(|_| controller.update_speed_estimates());
    assert!(controller.endpoints.iter().all(|n| (n.speed_factor - 1.0).abs() < 1e-9));
}

#[test]
fn a_server_is_spent_once_it_is_off_the_list_and_out_of_every_table() {
    let gone = Endpoint { health: Unknown, ..well(0) };
    let still = Endpoint { published: Some(TableEntry { table: 1, weight: 1.0 }), ..Endpoint::default() };
    let controller = controller(vec![well(0), gone, still]);
    assert_eq!([0, 1, 2, 9].map(|s| controller.is_released(s)), [false, true, false, true]);
}

#[test]
fn whoever_has_an_index_next_is_a_new_server() {
    let held = Endpoint { health: Unknown, speed_factor: 0.4, ejections: [NOW, NOW].into(), ..well(0) };
    let mut controller = controller(vec![well(0), held]);
    controller.handle_event(&Event::ServerReleased { server: 1 }, &mut vec![]);
    let (zone, kind, cell, state) = (0, 0, 0, ListedState::Ready);
    let record = EndpointRecord { server: 1, zone, kind, cell, state, weight: 2.0, started: Some(NOW) };
    controller.update_endpoints(EndpointUpdate::Delta, &[record]);
    let endpoint = &controller.endpoints[1];
    assert_eq!((endpoint.health, endpoint.speed_factor, endpoint.ejections.len()), (SlowStart, 1.0, 0));
}

#[test]
fn a_new_server_that_stays_cold_for_a_second_has_its_full_weight_soon_and_one_that_was_out_has_not() {
    let ramping = |health_since| Endpoint {
        health: SlowStart,
        health_since,
        started_at: Some(health_since - secs(1)),
        ..well(0)
    };
    let back = Endpoint { ejections: [NOW].into(), ..ramping(NOW - secs(3)) };
    let mut controller = controller(vec![ramping(NOW - secs(3)), back]);
    controller.config.slow_start.warm_up_seconds = 1.0;
    assert_eq!(controller.warm_fraction(0), 1.0);
    assert!((controller.warm_fraction(1) - 0.37).abs() < 1e-9);
}

#[test]
fn groups_keep_to_a_zone_unless_a_planner_may_have_one_zone_s_proxies_alone() {
    let zones = |planners: f64| {
        let mut controller = controller((0..40).map(|k| Endpoint { subset: None, ..well(k % 4) }).collect());
        controller.subsets.clear();
        controller.config = DeploymentConfig {
            planner_count: planners,
            proxy_count: Some(300.0),
            zone_count: 4.0,
            channel: ChannelConfig { entries_per_second: Some(2000.0), ..ChannelConfig::default() },
            proxies_prefer_local_planner: true,
            ..DeploymentConfig::default()
        };
        controller.create_subsets();
        controller.subsets.iter().map(|g| g.zone).collect::<Vec<_>>()
    };
    assert_eq!(zones(2.0), [Some(0), Some(1), Some(2), Some(3)]);
    assert_eq!(zones(4.0), [None; 4]);
}

#[test]
fn proxies_that_all_come_at_once_are_bound_as_far_as_the_channel_really_has_room() {
    let mut controller = controller(
        (0..10)
            .map(|_| Endpoint { published: Some(TableEntry { table: 1, weight: 1.0 }), ..well(0) })
            .collect(),
    );
    controller.proxies = (0..100).map(|_| proxy(None)).collect();
    let binds = sent(&mut controller).iter().filter(|o| matches!(o, Command::AssignTable { .. })).count();
    // A thousand and a hundred lines, where 1,500 have room.
    assert_eq!(binds, 100);
}

#[test]
fn who_is_on_no_table_yet_may_use_more_of_the_channel_and_never_all_of_it() {
    let assignments = |entries: f64, assigned: Option<u64>| {
        let mut controller = controller(
            (0..10)
                .map(|_| Endpoint { published: Some(TableEntry { table: 1, weight: 1.0 }), ..well(0) })
                .collect(),
        );
        controller.proxies = (0..100).map(|_| proxy(assigned)).collect();
        let pending_acks = BTreeSet::from([0]);
        controller.channel.in_flight.push_back(InFlightUpdate { ack_token: 9, entries, pending_acks });
        sent(&mut controller).iter().filter(|o| matches!(o, Command::AssignTable { .. })).count()
    };
    // Of 4,000 lines 500 are for the messages' heads; a bind takes eleven.
    assert_eq!(assignments(1500.0, None), 1000 / 11);
    assert_eq!(assignments(2400.0, None), 100 / 11);
    assert_eq!(assignments(2500.0, None), 0);
    // Those that only change sides have the table of before meanwhile.
    assert_eq!(assignments(1500.0, Some(1)), 0);
}

#[test]
fn tables_that_part_and_join_at_every_look_keep_to_the_count_of_messages() {
    let mut controller = controller((0..4).map(|_| well(0)).collect());
    controller.config.channel.message_limit = 10.0;
    controller.config.channel.message_window = Some(secs(10));
    controller.config.classes = classes(&[(1.0, 1.0), (1.0, 1.0)]);
    controller.proxies = vec![Proxy { arrival_rates: vec![1.0, 1.0], ..proxy(None) }];
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (2, 0.3);
    let mut sides = BTreeSet::new();
    let messages = (0..40).filter(|k| {
        controller.now += Duration::from_millis(250);
        // A small group that has four servers at one look and three at the next.
        controller.endpoints[3].health = if k % 2 == 0 { Healthy } else { Ejected };
        let commands = sent(&mut controller);
        sides.extend(controller.proxies[0].assigned);
        commands.iter().any(|o| matches!(o, Command::RequestAck { .. }))
    });
    assert!((3..=10).contains(&messages.count()));
    assert_eq!(sides, BTreeSet::from([0, 2]), "they do part and join");
}
