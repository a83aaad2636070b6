//! Ends of connections, watches and health checks. Each test forces one unfavourable order of events.

use super::*;
use crate::endpoint_watch::EndpointWatch;
use crate::endpoint_watch::{FIRST_RESPONSE_TIMEOUT, REDIAL_INTERVAL, SILENCE_TIMEOUT};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(line: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", line.len() + 1).as_bytes(), line, b"\n\r\n"].concat()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A watch on connection 1 whose answer has interrupted.
fn open_watch() -> EndpointWatch {
    let mut watch = EndpointWatch::new(address(1));
    assert!(watch.should_dial(START));
    watch.handle_dialed(Some(1), START);
    assert!(watch.handle_bytes(1, HEAD, START).is_first);
    watch
}

// Deadlines count to the last read, not to the current time.

#[test]
fn no_peer_is_late_by_input_that_was_not_read() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_bytes(1, &framed(&[json!({"t": "PING"})])[..5], START);
    platform.handle_opened(2, START);
    let (late, before) = (START + platform.ack_timeout + ms(10_000), START + ms(1400));
    // The process was suspended: input that arrived meanwhile is not read yet.
    let actions = platform.step(late, before);
    assert!(!is_closed(&actions, 1) && !is_closed(&actions, 2));
    platform.handle_bytes(2, &framed(&[connect_message(8)]), late);
    let actions = platform.step(late, late);
    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2));
}

#[test]
fn a_watch_expires_only_after_all_its_input_was_read() {
    let mut watch = open_watch();
    assert_eq!(watch.next_timeout(), START + SILENCE_TIMEOUT);
    assert!(watch.take_expired(START + SILENCE_TIMEOUT - ms(1)).is_empty());
    assert_eq!(watch.take_expired(START + SILENCE_TIMEOUT), vec![1]);
    // The next one is dialed in the same step, with a shorter timeout for its first bytes.
    assert!(watch.should_dial(START + SILENCE_TIMEOUT));
    watch.handle_dialed(Some(2), START + SILENCE_TIMEOUT);
    assert_eq!(watch.next_timeout(), START + SILENCE_TIMEOUT + FIRST_RESPONSE_TIMEOUT);
}

// Partial messages.

#[test]
fn partial_messages_are_allowed_while_messages_complete() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let message = framed(&[json!({"t": "PING"})]);
    platform.handle_bytes(1, &message[..6], START);
    for k in 1..20 {
        let now = START + ms(500 * k);
        platform.handle_bytes(1, &[&message[6..], &message[..6]].concat(), now);
        assert!(!is_closed(&platform.step_at(now), 1), "after {k}");
    }
    // The last message is never completed.
    let last = START + ms(500 * 19);
    assert_eq!(platform.next_timeout().filter(|at| *at > last).map(|at| at <= last + ms(5000)), Some(true));
    assert!(!is_closed(&platform.step_at(last + ms(4999)), 1));
    assert!(is_closed(&platform.step_at(last + ms(5000)), 1));
}

// The watch of discovery.

#[test]
fn lines_of_the_previous_watch_count_after_discovery_has_moved() {
    let mut watch = open_watch();
    let line = list(41, false, &[member("s-2", "DRAINING")]);
    let bytes = chunk(&line);
    let (half, rest) = bytes.split_at(bytes.len() / 2);
    assert_eq!(watch.handle_bytes(1, half, START).lines.len(), 0);
    assert_eq!(watch.change_address(address(2), START), None);
    assert!(watch.should_dial(START));
    watch.handle_dialed(Some(2), START);
    assert!(watch.owns(1) && watch.owns(2));
    let output = watch.handle_bytes(1, rest, START + ms(20));
    assert_eq!(output.lines, vec![[line.as_slice(), b"\n"].concat()]);
    assert!(!output.is_first && !output.should_close);
    // Its end does not end the current watch.
    watch.handle_closed(1, START + ms(1500));
    assert!(!watch.owns(1) && watch.owns(2) && !watch.should_dial(START + ms(1500)));
}

#[test]
fn a_previous_watch_is_closed_at_its_deadline_and_by_the_next_move() {
    let mut watch = open_watch();
    watch.change_address(address(2), START);
    watch.handle_dialed(Some(2), START);
    watch.handle_bytes(2, HEAD, START + ms(2900));
    assert_eq!(watch.next_timeout(), START + ms(3000));
    assert_eq!(watch.take_expired(START + ms(3000)), vec![1]);
    watch.change_address(address(3), START + ms(3100));
    watch.handle_dialed(Some(3), START + ms(3100));
    // A second move before the previous watch has ended closes that one.
    assert_eq!(watch.change_address(address(4), START + ms(3200)), Some(2));
    assert!(watch.owns(3));
}

#[test]
fn a_watch_that_ends_or_is_unreadable_is_dialed_again_after_the_interval() {
    for end in [&b"0\r\n\r\n"[..], b"zz\r\n"] {
        let mut watch = open_watch();
        let output = watch.handle_bytes(1, end, START);
        assert!(output.should_close && !watch.owns(1));
        assert_eq!((watch.next_timeout(), watch.should_dial(START)), (START + REDIAL_INTERVAL, false));
        // A later close by the peer does not postpone the next attempt.
        watch.handle_closed(1, START + ms(100));
        assert!(watch.should_dial(START + REDIAL_INTERVAL));
    }
    let mut watch = open_watch();
    assert_eq!(watch.restart(START), Some(1));
    assert!(!watch.owns(1) && watch.should_dial(START + REDIAL_INTERVAL));
    watch.handle_dialed(None, START + REDIAL_INTERVAL);
    assert!(!watch.should_dial(START + REDIAL_INTERVAL) && watch.should_dial(START + REDIAL_INTERVAL * 2));
}

#[test]
fn a_lagging_agent_is_ignored_and_reset_revisions_are_accepted() {
    let mut platform = platform();
    platform.handle_list_line(&list(7, true, &[member("s-1", "SERVING")]), START).unwrap();
    platform.handle_list_line(&list(8, false, &[member("s-1", "DRAINING")]), START + ms(5000)).unwrap();
    assert!(
        (platform.list_revision(), platform.list_events.len()) == (40, 0)
            && !platform.reset_outdated_revision(START + ms(5999))
    );
    // It reached the held revision: it lagged.
    platform.handle_list_line(&list(40, false, &[]), START + ms(5999)).unwrap();
    assert!(!platform.reset_outdated_revision(START + ms(60_000)));
    platform.handle_list_line(&list(8, false, &[]), START + ms(60_000)).unwrap();
    // The reset has a timeout of its own.
    platform.step_at(START + ms(60_000));
    assert!(platform.next_timeout().is_some_and(|at| at <= START + ms(66_000)));
    assert!(
        platform.reset_outdated_revision(START + ms(66_000))
            && !platform.reset_outdated_revision(START + ms(66_001))
    );
    assert_eq!(platform.list_revision(), 0);
    platform.handle_list_line(&list(9, true, &[member("s-1", "DRAINING")]), START + ms(66_100)).unwrap();
    assert_eq!(platform.list_revision(), 9);
}

#[test]
fn a_repeated_complete_list_removes_a_missing_server_once() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let complete = |revision| list(revision, true, &[member("s-1", "SERVING"), member("s-3", "SERVING")]);
    platform.handle_list_line(&complete(41), START).unwrap();
    let first = written(&platform.step_at(START), 1);
    assert!(first.iter().any(|m| m["rows"].as_array().is_some_and(|r| r.contains(&json!(["s-2", 0.0])))));
    for revision in [41, 42] {
        platform.handle_list_line(&complete(revision), START + ms(10)).unwrap();
        let again = written(&platform.step_at(START + ms(10)), 1);
        assert!(again.iter().all(|m| !m.to_string().contains("s-2")), "{again:?}");
    }
}

// Streams that end.

#[test]
fn a_proxy_that_connects_twice_in_a_step_gets_one_table_on_its_last_stream() {
    let mut platform = platform();
    for conn in [1, 2] {
        platform.handle_opened(conn, START);
        platform.handle_bytes(conn, &framed(&[connect_message(7)]), START);
    }
    let actions = platform.step_at(START);
    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2));
    assert_eq!((written(&actions, 1).len(), written(&actions, 2).len()), (0, 1));
    // Late input of the old stream, and its end, are ignored.
    platform.handle_bytes(1, &framed(&[json!({"t": "ACK", "id": 7, "seq": 1, "ms": 1.0})]), START);
    platform.handle_closed(1);
    assert_eq!(
        (platform.events.len(), platform.session_counts()),
        (0, SessionCounts { streams: 1, unidentified: 0 })
    );
}

#[test]
fn a_proxy_that_reconnects_in_a_step_gets_its_table_again_with_no_pending_ack() {
    let mut platform = platform();
    let before = connect(&mut platform, 1, 7, START);
    let owed = written(&before, 1).last().unwrap()["stamp"].clone();
    platform.handle_closed(1);
    platform.handle_opened(2, START);
    platform.handle_bytes(2, &framed(&[connect_message(7)]), START);
    let actions = platform.step_at(START);
    assert_eq!(written(&actions, 2)[0]["replace"], json!(true));
    // An acknowledgement of the old stream arrives on the new one: it is not pending there.
    platform.handle_bytes(2, &framed(&[json!({"t": "ACK", "id": 7, "seq": owed, "ms": 1.0})]), START);
    assert_eq!((platform.counters.unexpected_acks, platform.counters.disconnected), (1, 1));
}

#[test]
fn a_last_report_before_the_stream_ends_counts_before_the_disconnection() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let last = json!({"t": "RATE", "id": 7, "lane": "lookup", "count": 9, "fail": 0, "over": 9.0});
    platform.handle_bytes(1, &framed(&[last]), START);
    platform.handle_closed(1);
    assert!(matches!(
        platform.events[..],
        [Event::ArrivalReport { requests: 9, .. }, Event::ProxyDisconnected { proxy: 7 }]
    ));
}

#[test]
fn without_a_list_a_planner_answers_pings_and_sends_tables_with_the_first_list() {
    let mut bootstrap = bootstrap();
    bootstrap.cached_list = Value::Null;
    let mut platform = Platform::new(&bootstrap, EPOCH, 100);
    platform.handle_opened(1, START);
    platform.handle_bytes(1, &framed(&[json!({"t": "PING"})]), START);
    assert_eq!(written(&platform.step_at(START), 1), vec![json!({"t": "PONG"})]);
    assert_eq!(written(&connect(&mut platform, 2, 7, START), 2), Vec::<Value>::new());
    assert_eq!(platform.list_revision(), 0);
    platform.handle_list_line(&list(9, true, &[member("s-1", "SERVING")]), START + ms(100)).unwrap();
    let update = written(&platform.step_at(START + ms(100)), 2);
    assert_eq!((&update[0]["replace"], &update[0]["rows"]), (&json!(true), &json!([["s-1", 1.0]])));
}

#[test]
fn a_drain_received_while_a_stream_is_broken_is_in_the_next_table() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_closed(1);
    platform.handle_list_line(&list(41, false, &[member("s-2", "DRAINING")]), START + ms(10)).unwrap();
    platform.step_at(START + ms(10));
    let update = written(&connect(&mut platform, 2, 7, START + ms(300)), 2);
    assert_eq!(
        (&update[0]["replace"], &update[0]["rows"]),
        (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]]))
    );
}

// Health checks.

#[test]
fn a_server_has_at_most_one_pending_health_check() {
    let mut platform = platform();
    let mut asked = Vec::new();
    for k in 0..40u64 {
        let actions = platform.step_at(START + ms(k * 500));
        asked.extend(actions.into_iter().filter_map(|action| match action {
            Action::CheckHealth { ticket, .. } => Some(ticket),
            _ => None,
        }));
    }
    assert_eq!(asked.len(), 3, "twenty seconds, and no probe has ended");
    for ticket in asked {
        platform.handle_health_check(ticket, HealthCheckResult::Success.into(), ms(3));
    }
    let again: usize = (40..52u64)
        .map(|k| platform.step_at(START + ms(k * 500)))
        .map(|actions| actions.iter().filter(|action| matches!(action, Action::CheckHealth { .. })).count())
        .sum();
    assert_eq!(again, 3);
}
