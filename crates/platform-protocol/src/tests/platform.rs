//! Tests of the core as a whole.

use super::*;

#[test]
fn a_connecting_proxy_gets_its_table_and_acknowledges_it_once() {
    let mut platform = platform();

    let updates = written(&connect(&mut platform, 1, 7, START), 1);
    let acknowledgement = acknowledgement(7, last_ack_token(&updates));
    receive(&mut platform, 1, std::slice::from_ref(&acknowledgement), START + ms(20));

    assert_eq!(updates[0]["replace"], json!(true));
    assert_eq!(updates[0]["rows"].as_array().unwrap().len(), 3);
    assert!(matches!(platform.events[..], [Event::UpdateAcknowledged { proxy: 7, .. }]));
    assert_eq!(platform.counters.longest_table_wait, ms(20));

    receive(&mut platform, 1, &[acknowledgement], START + ms(30));

    assert_eq!((platform.events.len(), platform.counters.unexpected_acks), (1, 1));
}

#[test]
fn only_the_first_acknowledgement_ends_the_wait_for_a_table() {
    let mut platform = platform();
    let updates = written(&connect(&mut platform, 1, 7, START), 1);
    receive(&mut platform, 1, &[acknowledgement(7, last_ack_token(&updates))], START + ms(20));
    platform.step_at(START + ms(40));

    receive_changes(&mut platform, 41, &[member("s-2", "DRAINING")], START);
    let updates = written(&platform.step_at(START + ms(50)), 1);
    let late = json!({"t": "ACK", "id": 7, "seq": last_ack_token(&updates), "ms": 900.0});
    receive(&mut platform, 1, &[late], START + ms(950));

    assert_eq!((platform.counters.longest_table_wait, platform.counters.unexpected_acks), (ms(20), 0));
}

#[test]
fn a_drain_is_published_in_the_step_that_reads_it() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);

    receive_changes(&mut platform, 41, &[member("s-2", "DRAINING")], START);

    let updates = written(&platform.step_at(START + ms(1100)), 1);
    assert_eq!(updates[0]["rows"], json!([["s-2", 0.0]]));
}

#[test]
fn a_server_missing_from_a_complete_list_leaves_the_table() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);

    receive_list(&mut platform, 41, &[member("s-1", "SERVING"), member("s-3", "SERVING")], START);

    let updates = written(&platform.step_at(START + ms(1100)), 1);
    assert_eq!(updates[0]["rows"], json!([["s-2", 0.0]]));
}

#[test]
fn a_late_report_of_a_released_server_is_not_attributed_to_the_next_one_with_its_index() {
    let mut platform = platform();
    open(&mut platform, 1, &[collector_message("a")], START);
    receive_changes(&mut platform, 41, &[member("s-1", "DELETED")], START);
    for second in 0..14 {
        platform.step_at(START + ms(1000 * second));
    }
    receive_changes(&mut platform, 42, &[member("s-9", "SERVING")], START);
    assert_eq!((platform.names.servers.get("s-1"), platform.names.servers.get("s-9")), (None, Some(0)));
    platform.step_at(START + ms(14_000));

    receive(&mut platform, 1, &[valid_messages().remove(0)], START + ms(14_000));

    assert_eq!((platform.events.len(), platform.counters.malformed), (0, 1));
}

/// Guards against losing a server until the next complete list because its index is released in the step in which it is
/// listed again.
#[test]
fn a_server_listed_again_in_the_step_of_its_release_stays_known() {
    // The index is released ten seconds after its last use, in one of these steps.
    for back_at in 1..14 {
        let mut platform = platform();
        receive_changes(&mut platform, 41, &[member("s-1", "DELETED")], START);
        for second in 0..back_at {
            platform.step_at(START + ms(1000 * second));
        }
        let now = START + ms(1000 * back_at);

        receive_changes(&mut platform, 42, &[member("s-1", "SERVING")], now);
        platform.step_at(now);

        let server = platform.names.servers.get("s-1").expect("its name is known");
        assert!(!platform.controller.is_unused(server), "back after {back_at} s");
        assert!(platform.list.address(server).is_some(), "back after {back_at} s");
    }
}

#[test]
fn a_new_stream_takes_over_and_the_old_one_is_ignored() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);

    open(&mut platform, 2, &[connect_message(7)], START);

    assert!(matches!(
        &platform.events[..],
        [Event::ProxyDisconnected { proxy: 7 }, Event::ProxyConnected { proxy: 7, .. }]
    ));
    let actions = platform.step_at(START);
    assert!(is_closed(&actions, 1) && !written(&actions, 2).is_empty());

    receive(&mut platform, 1, &[arrivals(7)], START);
    platform.handle_closed(1);

    assert!(platform.events.is_empty());

    platform.handle_closed(2);

    assert_eq!(platform.events, [Event::ProxyDisconnected { proxy: 7 }]);
}

#[test]
fn many_proxies_that_connect_at_once_each_get_a_table() {
    let mut platform = platform();

    for id in 0..20 {
        open(&mut platform, id as usize, &[connect_message(id)], START);
    }
    let actions = platform.step_at(START);

    for conn in 0..20 {
        let updates = written(&actions, conn);
        assert_eq!(updates[0]["rows"].as_array().map(Vec::len), Some(3));
    }
    assert_eq!(platform.session_counts(), SessionCounts { streams: 20, unidentified: 0 });
}

#[test]
fn a_restarted_planner_replaces_old_tables_without_draining_servers() {
    let mut bootstrap = bootstrap();
    bootstrap.cached_list["members"][1]["phase"] = json!("DRAINING");
    let mut platform = PlatformPlanner::new(&bootstrap, EPOCH, 100);
    platform.step_at(START);

    let mut with_old_table = connect_message(7);
    with_old_table["new"] = json!(false);
    open(&mut platform, 1, &[with_old_table], START);

    let updates = written(&platform.step_at(START), 1);
    assert_eq!(updates[0]["replace"], json!(true));
    assert_eq!(updates[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
}

#[test]
fn the_log_names_servers_by_their_external_names() {
    let mut platform = platform();
    let report = EjectionReport {
        server: 1,
        health: HealthState::Ejected,
        failures: 5.0,
        attempts: 20.0,
        consecutive_failures: 3.0,
        connection_refused: true,
        unanswered_checks: 2,
    };

    platform.carry_out(vec![Command::LogEjection(report)], START);

    let text = "server s-2 Withdrawn: 5 of 20 failed, 3 in a row; probes: refused true, unanswered 2";
    assert_eq!(platform.actions, [Action::Log { text: text.to_string() }]);
}

#[test]
fn malformed_reports_are_dropped_and_the_others_count() {
    let mut platform = platform();
    let report = valid_messages().remove(0);
    let mut malformed = report.clone();
    malformed["target"] = json!("s-0");
    let misplaced = json!({"t": "ACK", "id": 7, "seq": 1, "ms": 1.0});

    let messages = [collector_message("a"), report.clone(), malformed, misplaced, report];
    open(&mut platform, 1, &messages, START);

    assert_eq!((platform.events.len(), platform.counters.malformed), (2, 2));
    assert!(!is_closed(&platform.step_at(START), 1));
}

#[test]
fn a_stream_that_sends_invalid_frames_is_disconnected() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);

    platform.handle_bytes(1, b"\xff\xff\xff\xffwhatever", START);

    assert_eq!(platform.events, [Event::ProxyDisconnected { proxy: 7 }]);
    assert!(is_closed(&platform.step_at(START), 1));
}

#[test]
fn a_collector_that_sends_invalid_frames_is_closed_and_its_earlier_reports_count() {
    let mut platform = platform();
    let report = json!({"t": "LOAD", "site": "a", "target": "s-1", "count": 2, "fail": 0, "mean": 40.0,
        "over": 1000.0});
    let mut bytes = framed(&[collector_message("a"), report]);
    bytes.extend(b"\x05\0\0\0{:}}}");

    platform.handle_opened(1, START);
    platform.handle_bytes(1, &bytes, START);

    assert!(matches!(platform.events[..], [Event::OutcomeReport { server: 0, attempts: 2, .. }]));
    assert!(is_closed(&platform.step_at(START), 1));
    assert_eq!(platform.session_counts(), SessionCounts { streams: 0, unidentified: 0 });
    assert_eq!(platform.counters.disconnected, 0);
}

#[test]
fn a_proxy_that_connects_in_the_step_of_a_drain_gets_a_table_without_that_server() {
    let mut platform = platform();

    open(&mut platform, 1, &[connect_message(7)], START);
    receive_changes(&mut platform, 41, &[member("s-2", "DRAINING")], START);

    let updates = written(&platform.step_at(START), 1);
    assert_eq!(updates[0]["replace"], json!(true));
    assert!(updates.iter().all(|update| !update.to_string().contains("s-2")), "{updates:?}");
}

#[test]
fn a_stream_with_an_overdue_acknowledgement_is_closed_and_an_idle_one_is_not() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let timeout = platform.ack_timeout;
    assert!(timeout > ms(8000));
    let mut actions = connect(&mut platform, 2, 8, START);

    for ninth in 1..10 {
        // The idle proxy acknowledges its updates and sends nothing else.
        for ack_token in written(&actions, 2).iter().filter_map(ack_token) {
            receive(&mut platform, 2, &[acknowledgement(8, ack_token)], START + timeout * (ninth - 1) / 9);
        }
        assert_eq!(platform.counters.unresponsive, 0);
        actions = platform.step_at(START + timeout * ninth / 9 + ms(1));
    }

    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2));
    assert_eq!((platform.counters.unresponsive, platform.counters.disconnected), (1, 1));
}

#[test]
fn arrivals_count_for_connected_proxies_only_and_from_any_collector() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);

    open(&mut platform, 2, &[collector_message("b"), arrivals(7), arrivals(8)], START);
    receive(&mut platform, 1, &[arrivals(8)], START);

    assert!(matches!(platform.events[..], [Event::ArrivalReport { proxy: 7, .. }]));
    assert_eq!(platform.counters.malformed, 2);
}

/// Replaces one server and one stream; acknowledges the new table and completes all health checks.
fn replace_server_and_stream(platform: &mut PlatformPlanner, round: u64, now: Duration) {
    let removed = member(&format!("s-{}", round + 1), "DELETED");
    let added = member(&format!("s-{}", round + 4), "SERVING");
    receive_changes(platform, 41 + 2 * round, &[added, removed], START);
    let proxy = round % 3;
    let conn = 10 + round as usize;
    let mut actions = connect(platform, conn, proxy, now);
    if let Some(ack_token) = written(&actions, conn).iter().find_map(ack_token) {
        receive(platform, conn, &[acknowledgement(proxy, ack_token)], now);
    }
    actions.extend(platform.step_at(now + ms(250)));
    for action in actions {
        if let Action::CheckHealth { ticket, .. } = action {
            platform.handle_health_check(ticket, HealthCheckResult::Success.into(), ms(2));
        }
    }
}

#[test]
fn thousands_of_replaced_servers_and_streams_keep_the_state_bounded() {
    let mut platform = platform();

    for round in 0..2000 {
        replace_server_and_stream(&mut platform, round, START + ms(1000 * (round + 1)));
        let servers = platform.server_count();
        assert!(servers < 30, "after {round}: {servers}");
    }

    assert_eq!(platform.session_counts(), SessionCounts { streams: 3, unidentified: 0 });
    assert_eq!(platform.counters.taken_over, 1997);
    assert!(platform.index_release.len() < 20);
    assert_eq!(platform.pending_checks.len(), 0);
    assert!(platform.timers.len() < 4);
    assert!(platform.list.address_count() < 30);
}

#[test]
fn counters_are_printed_under_the_names_of_the_operators_page() {
    let counters = Counters {
        connected: 1,
        taken_over: 2,
        disconnected: 3,
        unresponsive: 4,
        rejected: 5,
        malformed: 6,
        unexpected_acks: 7,
        updates_sent: 8,
        list_updates: 9,
        longest_table_wait: ms(10),
        delayed_removals: 11,
    };

    let printed = counters.to_string();

    let expected =
        "Counters { joined: 1, taken_over: 2, left: 3, mute: 4, refused: 5, spoilt: 6, stray_marks: 7, \
                    messages: 8, lists: 9, longest_wait: 10ms, late_removals: 11 }";
    assert_eq!(printed, expected);
}
