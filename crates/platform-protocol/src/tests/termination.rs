//! Tests of streams that end and of messages that are never completed. Each forces one particular order of events.

use super::*;

#[test]
fn unread_input_does_not_time_out_a_peer() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_bytes(1, &framed(&[json!({"t": "PING"})])[..5], START);
    platform.handle_opened(2, START);
    // The process was suspended, and input that arrived meanwhile is not yet read.
    let read_until = START + ms(1400);
    let now = START + platform.ack_timeout + ms(10_000);

    let actions = platform.step(now, read_until);

    assert!(!is_closed(&actions, 1) && !is_closed(&actions, 2));

    receive(&mut platform, 2, &[connect_message(8)], now);
    let actions = platform.step(now, now);

    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2));
}

#[test]
fn partial_messages_are_allowed_while_messages_complete() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let message = framed(&[json!({"t": "PING"})]);
    let (start, end) = message.split_at(6);

    platform.handle_bytes(1, start, START);
    for step in 1..20 {
        let now = START + ms(500 * step);
        platform.handle_bytes(1, &[end, start].concat(), now);
        assert!(!is_closed(&platform.step_at(now), 1), "after {step}");
    }

    // The last message is never completed.
    let last = START + ms(500 * 19);
    assert_eq!(platform.next_timeout().filter(|at| *at > last).map(|at| at <= last + ms(5000)), Some(true));
    assert!(!is_closed(&platform.step_at(last + ms(4999)), 1));
    assert!(is_closed(&platform.step_at(last + ms(5000)), 1));
}

#[test]
fn a_proxy_that_connects_twice_in_a_step_gets_one_table_on_its_last_stream() {
    let mut platform = platform();

    open(&mut platform, 1, &[connect_message(7)], START);
    open(&mut platform, 2, &[connect_message(7)], START);
    let actions = platform.step_at(START);

    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2));
    assert_eq!((written(&actions, 1).len(), written(&actions, 2).len()), (0, 1));

    // Late input from the old stream and its end are ignored.
    receive(&mut platform, 1, &[acknowledgement(7, 1)], START);
    platform.handle_closed(1);

    assert_eq!(platform.events.len(), 0);
    assert_eq!(platform.session_counts(), SessionCounts { streams: 1, unidentified: 0 });
}

#[test]
fn a_proxy_that_reconnects_in_a_step_gets_its_table_again_with_no_pending_ack() {
    let mut platform = platform();
    let before = connect(&mut platform, 1, 7, START);
    let pending = last_ack_token(&written(&before, 1));

    platform.handle_closed(1);
    open(&mut platform, 2, &[connect_message(7)], START);
    let actions = platform.step_at(START);

    assert_eq!(written(&actions, 2)[0]["replace"], json!(true));

    // An acknowledgement for the old stream arrives on the new one, where its token is not pending.
    receive(&mut platform, 2, &[acknowledgement(7, pending)], START);

    assert_eq!((platform.counters.unexpected_acks, platform.counters.disconnected), (1, 1));
}

#[test]
fn a_last_report_before_the_stream_ends_counts_before_the_disconnection() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);

    let last_report = json!({"t": "RATE", "id": 7, "lane": "lookup", "count": 9, "fail": 0, "over": 9.0});
    receive(&mut platform, 1, &[last_report], START);
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
    let mut platform = PlatformPlanner::new(&bootstrap, EPOCH, 100);

    open(&mut platform, 1, &[json!({"t": "PING"})], START);

    assert_eq!(written(&platform.step_at(START), 1), vec![json!({"t": "PONG"})]);
    assert_eq!(written(&connect(&mut platform, 2, 7, START), 2), Vec::<Value>::new());
    assert_eq!(platform.list_revision(), 0);

    receive_list(&mut platform, 9, &[member("s-1", "SERVING")], START + ms(100));

    let updates = written(&platform.step_at(START + ms(100)), 2);
    assert_eq!(updates[0]["replace"], json!(true));
    assert_eq!(updates[0]["rows"], json!([["s-1", 1.0]]));
}

#[test]
fn a_drain_received_while_a_stream_is_broken_is_in_the_next_table() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    platform.handle_closed(1);

    receive_changes(&mut platform, 41, &[member("s-2", "DRAINING")], START + ms(10));
    platform.step_at(START + ms(10));

    let updates = written(&connect(&mut platform, 2, 7, START + ms(300)), 2);
    assert_eq!(updates[0]["replace"], json!(true));
    assert_eq!(updates[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
}
