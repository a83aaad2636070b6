//! Tests of connection deadlines, limits and eviction.

use super::*;

#[test]
fn an_unidentified_connection_is_closed_after_its_timeout() {
    let mut platform = platform();
    platform.handle_opened(1, START);
    connect(&mut platform, 2, 7, START);
    open(&mut platform, 3, &[json!({"t": "PING"})], START);
    let actions = platform.step_at(START + ms(10));

    assert_eq!(written(&actions, 3), [json!({"t": "PONG"})]);

    let actions = platform.step_at(START + IDENTIFICATION_TIMEOUT);

    assert!(is_closed(&actions, 1) && is_closed(&actions, 3) && !is_closed(&actions, 2));
    assert_eq!(platform.session_counts(), SessionCounts { streams: 1, unidentified: 0 });
}

#[test]
fn an_invalid_first_message_is_rejected_at_once() {
    let update = json!({"t": "CONFIG", "drop": ["s-1"]});
    let report = valid_messages().remove(1);
    let unknown = json!({"t": "SOURCE", "site": "nowhere"});
    let cases = [
        framed(&[connect_message(20)]),
        framed(&[unknown]),
        framed(&[update]),
        framed(&[report]),
        b"GET /discovery/hosts HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 64],
        framed(&[json!({"t": "X"})]),
        ((MAX_FIRST_MESSAGE_BYTES + 1) as u32).to_le_bytes().to_vec(),
    ];
    let mut platform = platform();
    for (conn, bytes) in cases.iter().enumerate() {
        platform.handle_opened(conn, START);
        platform.handle_bytes(conn, bytes, START);
        let actions = platform.step_at(START);
        assert_eq!(written(&actions, conn), [json!({"t": "NACK"})], "case {conn}");
        assert!(is_closed(&actions, conn));
    }

    assert_eq!(
        (platform.session_counts(), platform.counters.connected),
        (SessionCounts { streams: 0, unidentified: 0 }, 0)
    );
}

#[test]
fn silent_connections_are_evicted_to_make_room() {
    let mut sessions = Sessions::new(40);
    (0..300).for_each(|conn| sessions.open(conn, ms(conn as u64)));

    assert!(sessions.is_full() && sessions.next_timeout() <= Some(ms(300)));

    sessions.register_stream(299, 5);
    let evicted = sessions.connections_to_close(ms(400));

    // 38 unidentified connections fit beside the stream and one free place; the others are evicted, oldest first.
    assert_eq!((evicted.len(), evicted[0], evicted.contains(&299)), (299 - 38, 0, false));

    evicted.into_iter().for_each(|conn| _ = sessions.remove(conn));

    assert!(!sessions.is_full() && sessions.counts() == SessionCounts { streams: 1, unidentified: 38 });
}

#[test]
fn a_message_that_is_never_completed_closes_the_connection() {
    let mut platform = platform();
    connect(&mut platform, 2, 7, START);
    platform.handle_bytes(2, &[0, 1, 0, 0, b'{'], START);
    let quiet = platform.step_at(START + ms(4000));

    assert!(!is_closed(&quiet, 2));
    assert!(is_closed(&platform.step_at(START + ms(5000)), 2));
    assert_eq!(platform.counters.disconnected, 1);
}

#[test]
fn a_third_collector_of_a_zone_replaces_the_oldest() {
    let mut platform = platform();
    let mut actions = Vec::new();
    for conn in 1..4 {
        open(&mut platform, conn, &[collector_message("a")], START);
        actions = platform.step_at(START);
    }

    assert!(is_closed(&actions, 1) && !is_closed(&actions, 2) && !is_closed(&actions, 3));
}
