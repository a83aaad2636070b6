//! The core as a whole.

use super::*;

#[test]
fn a_connecting_proxy_gets_its_table_and_acknowledges_it_once() {
    let mut platform = platform();
    let actions = connect(&mut platform, 1, 7, START);
    let updates = written(&actions, 1);
    assert_eq!(updates[0]["replace"], json!(true));
    assert_eq!(updates[0]["rows"].as_array().unwrap().len(), 3);
    let ack_token = updates.last().unwrap()["stamp"].as_u64().unwrap();
    let acknowledgement = json!({"t": "ACK", "id": 7, "seq": ack_token, "ms": 12.0});
    platform.handle_bytes(1, &framed(std::slice::from_ref(&acknowledgement)), START + ms(20));
    assert!(matches!(platform.events[..], [Event::UpdateAcknowledged { proxy: 7, .. }]));
    assert_eq!(platform.counters.longest_wait, ms(20));
    platform.handle_bytes(1, &framed(&[acknowledgement]), START + ms(30));
    assert_eq!((platform.events.len(), platform.counters.unexpected_acks), (1, 1));
    // Only the first acknowledgement ends the wait for a table.
    platform.step_at(START + ms(40));
    let first_wait = platform.counters.longest_wait;
    platform.handle_list_line(&list(41, false, &[member("s-2", "DRAINING")]), START).unwrap();
    let updates = written(&platform.step_at(START + ms(50)), 1);
    let ack_token = updates.last().unwrap()["stamp"].as_u64().unwrap();
    let late = json!({"t": "ACK", "id": 7, "seq": ack_token, "ms": 900.0});
    platform.handle_bytes(1, &framed(&[late]), START + ms(950));
    assert_eq!((platform.counters.longest_wait, platform.counters.unexpected_acks), (first_wait, 1));
}

#[test]
fn a_drain_is_published_in_the_step_that_reads_it() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_list_line(&list(41, false, &[member("s-2", "DRAINING")]), START).unwrap();
    let updates = written(&platform.step_at(START + ms(1100)), 1);
    assert_eq!(updates[0]["rows"], json!([["s-2", 0.0]]));
}

#[test]
fn a_server_missing_from_a_complete_list_leaves_the_table() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform
        .handle_list_line(&list(41, true, &[member("s-1", "SERVING"), member("s-3", "SERVING")]), START)
        .unwrap();
    let updates = written(&platform.step_at(START + ms(1100)), 1);
    assert_eq!(updates[0]["rows"], json!([["s-2", 0.0]]));
}

#[test]
fn a_late_report_of_a_released_server_does_not_reach_its_successor() {
    let mut platform = platform();
    platform.handle_opened(1, START);
    platform.handle_bytes(1, &framed(&[json!({"t": "SOURCE", "site": "a"})]), START);
    platform.handle_list_line(&list(41, false, &[member("s-1", "DELETED")]), START).unwrap();
    (0..14).for_each(|k| _ = platform.step_at(START + ms(1000 * k)));
    platform.handle_list_line(&list(42, false, &[member("s-9", "SERVING")]), START).unwrap();
    assert_eq!((platform.names.servers.get("s-1"), platform.names.servers.get("s-9")), (None, Some(0)));
    platform.step_at(START + ms(14_000));
    platform.handle_bytes(1, &framed(&[valid_messages().remove(0)]), START + ms(14_000));
    assert_eq!((platform.events.len(), platform.counters.malformed), (0, 1));
}

#[test]
fn a_new_stream_takes_over_and_the_old_one_is_ignored() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_opened(2, START);
    platform.handle_bytes(2, &framed(&[connect_message(7)]), START);
    let proxy = 7;
    assert!(matches!(
        &platform.events[..],
        [Event::ProxyDisconnected { proxy: 7 }, Event::ProxyConnected { proxy: 7, .. }]
    ));
    let actions = platform.step_at(START);
    assert!(is_closed(&actions, 1) && !written(&actions, 2).is_empty());
    platform.handle_bytes(
        1,
        &framed(&[json!({"t": "RATE", "id": 7, "lane": "lookup", "count": 1, "fail": 0, "over": 9.0})]),
        START,
    );
    platform.handle_closed(1);
    assert!(platform.events.is_empty());
    platform.handle_closed(2);
    assert_eq!(platform.events, [Event::ProxyDisconnected { proxy }]);
}

#[test]
fn many_proxies_that_connect_at_once_each_get_a_table() {
    let mut platform = platform();
    for id in 0..20 {
        platform.handle_opened(id as usize, START);
        platform.handle_bytes(id as usize, &framed(&[connect_message(id)]), START);
    }
    let actions = platform.step_at(START);
    assert!((0..20).all(|conn| written(&actions, conn)[0]["rows"].as_array().is_some_and(|r| r.len() == 3)));
    assert_eq!(platform.session_counts(), SessionCounts { streams: 20, unidentified: 0 });
}

#[test]
fn a_restarted_planner_replaces_old_tables_without_draining_servers() {
    let mut bootstrap = bootstrap();
    bootstrap.cached_list["members"][1]["phase"] = json!("DRAINING");
    let mut platform = Platform::new(&bootstrap, EPOCH, 100);
    platform.step_at(START);
    platform.handle_opened(1, START);
    let mut old = connect_message(7);
    old["new"] = json!(false);
    platform.handle_bytes(1, &framed(&[old]), START);
    let updates = written(&platform.step_at(START), 1);
    assert_eq!(
        (&updates[0]["replace"], &updates[0]["rows"]),
        (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]]))
    );
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
    let text =
        "server s-2 Withdrawn: 5 of 20 failed, 3 in a row; probes: refused true, unanswered 2".to_string();
    assert_eq!(platform.actions, [Action::Log { text }]);
}

#[test]
fn malformed_reports_are_dropped_and_the_others_count() {
    let mut platform = platform();
    platform.handle_opened(1, START);
    let report = valid_messages().remove(0);
    let mut malformed = report.clone();
    malformed["target"] = json!("s-0");
    let other = json!({"t": "ACK", "id": 7, "seq": 1, "ms": 1.0});
    let all = [json!({"t": "SOURCE", "site": "a"}), report.clone(), malformed, other, report];
    platform.handle_bytes(1, &framed(&all), START);
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
    platform.handle_opened(1, START);
    let report = json!({"t": "LOAD", "site": "a", "target": "s-1", "count": 2, "fail": 0, "mean": 40.0,
        "over": 1000.0});
    let mut bytes = framed(&[json!({"t": "SOURCE", "site": "a"}), report]);
    bytes.extend(b"\x05\0\0\0{:}}}");
    platform.handle_bytes(1, &bytes, START);
    assert!(matches!(platform.events[..], [Event::OutcomeReport { server: 0, attempts: 2, .. }]));
    assert!(is_closed(&platform.step_at(START), 1));
    assert_eq!(
        (platform.session_counts(), platform.counters.disconnected),
        (SessionCounts { streams: 0, unidentified: 0 }, 0)
    );
}

#[test]
fn a_proxy_that_connects_in_the_step_of_a_drain_gets_a_table_without_that_server() {
    let mut platform = platform();
    platform.handle_opened(1, START);
    platform.handle_bytes(1, &framed(&[connect_message(7)]), START);
    platform.handle_list_line(&list(41, false, &[member("s-2", "DRAINING")]), START).unwrap();
    let updates = written(&platform.step_at(START), 1);
    assert_eq!(updates[0]["replace"], json!(true));
    assert!(updates.iter().all(|o| !o.to_string().contains("s-2")), "{updates:?}");
}

#[test]
fn a_stream_with_an_overdue_acknowledgement_is_closed_and_a_quiet_one_is_not() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let late = platform.ack_timeout;
    assert!(late > ms(8000));
    let mut actions = connect(&mut platform, 2, 8, START);
    for k in 1..10 {
        // The quiet proxy acknowledges its updates and sends nothing else.
        for stamp in written(&actions, 2).iter().filter_map(|m| m["stamp"].as_u64()) {
            let acknowledgement = json!({"t": "ACK", "id": 8, "seq": stamp, "ms": 9.0});
            platform.handle_bytes(2, &framed(&[acknowledgement]), START + late * (k - 1) / 9);
        }
        assert_eq!(platform.counters.unresponsive, 0);
        actions = platform.step_at(START + late * k / 9 + ms(1));
    }
    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2));
    assert_eq!((platform.counters.unresponsive, platform.counters.disconnected), (1, 1));
}

#[test]
fn arrivals_count_for_connected_proxies_only_and_from_any_collector() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_opened(2, START);
    let rate = |id: u64| json!({"t": "RATE", "id": id, "lane": "lookup", "count": 1, "fail": 0, "over": 9.0});
    platform.handle_bytes(2, &framed(&[json!({"t": "SOURCE", "site": "b"}), rate(7), rate(8)]), START);
    platform.handle_bytes(1, &framed(&[rate(8)]), START);
    assert!(matches!(platform.events[..], [Event::ArrivalReport { proxy: 7, .. }]));
    assert_eq!(platform.counters.malformed, 2);
}

#[test]
fn thousands_of_replaced_servers_and_streams_keep_the_state_bounded() {
    let mut platform = platform();
    let mut now = START;
    for k in 0..2000u64 {
        now += ms(1000);
        let (old, new) = (format!("s-{}", k + 1), format!("s-{}", k + 4));
        platform
            .handle_list_line(
                &list(41 + 2 * k, false, &[member(&new, "SERVING"), member(&old, "DELETED")]),
                START,
            )
            .unwrap();
        let conn = 10 + k as usize;
        let actions = connect(&mut platform, conn, k % 3, now);
        if let Some(ack_token) = written(&actions, conn).iter().find_map(|m| m["stamp"].as_u64()) {
            let acknowledgement = json!({"t": "ACK", "id": k % 3, "seq": ack_token, "ms": 12.0});
            platform.handle_bytes(conn, &framed(&[acknowledgement]), now);
        }
        let checks = platform.step_at(now + ms(250));
        for action in [actions, checks].concat() {
            if let Action::CheckHealth { ticket, .. } = action {
                platform.handle_health_check(ticket, HealthCheckResult::Success.into(), ms(2));
            }
        }
        // Released servers no longer count.
        assert!(platform.server_count() < 30, "after {k}: {}", platform.server_count());
    }
    assert_eq!(
        (platform.session_counts(), platform.counters.taken_over),
        (SessionCounts { streams: 3, unidentified: 0 }, 1997)
    );
    let sizes = (
        platform.index_release.len(),
        platform.pending_checks.len(),
        platform.timers.len(),
        platform.list.address_count(),
    );
    assert!(sizes.0 < 20 && sizes.1 == 0 && sizes.2 < 4 && sizes.3 < 30, "{sizes:?}");
}
