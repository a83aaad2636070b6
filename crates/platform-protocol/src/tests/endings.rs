//! Endings: of connections, watches, probes and times. Each test forces one bad order.

use super::*;
use crate::endpoint_list::{FIRST_WAIT, REDIAL, SILENCE_MOST};
use crate::endpoint_watch::EndpointWatch;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(line: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", line.len() + 1).as_bytes(), line, b"\n\r\n"].concat()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A watch on connection 1 whose answer has begun.
fn watching() -> EndpointWatch {
    let mut watching = EndpointWatch::new(address(1));
    assert!(watching.is_to_dial(START));
    watching.dialled(Some(1), START);
    assert!(watching.bytes(1, HEAD, START).first);
    watching
}

// Times: a peer is late by what was read of it, not by a clock that went on.

#[test]
fn nobody_is_late_by_what_was_not_read() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.bytes(1, &framed(&[json!({"t": "PING"})])[..5], START);
    platform.opened(2, START);
    let (late, before) = (START + platform.patience + ms(10_000), START + ms(1400));
    // The process stood still: what came meanwhile is not read yet.
    let deeds = platform.turn(late, before);
    assert!(!is_closed(&deeds, 1) && !is_closed(&deeds, 2));
    platform.bytes(2, &framed(&[joining(8)]), late);
    let deeds = platform.turn(late, late);
    assert!(is_closed(&deeds, 1) && !is_closed(&deeds, 2));
}

#[test]
fn a_watch_is_silent_only_once_all_that_came_was_read() {
    let mut watching = watching();
    assert_eq!(watching.wake(), START + SILENCE_MOST);
    assert!(watching.late(START + SILENCE_MOST - ms(1)).is_empty());
    assert_eq!(watching.late(START + SILENCE_MOST), vec![1]);
    // The next is dialled in the same turn, and has less time for its first byte.
    assert!(watching.is_to_dial(START + SILENCE_MOST));
    watching.dialled(Some(2), START + SILENCE_MOST);
    assert_eq!(watching.wake(), START + SILENCE_MOST + FIRST_WAIT);
}

// Pieces.

#[test]
fn a_connection_that_always_ends_in_half_a_message_is_well_while_messages_end() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    let message = framed(&[json!({"t": "PING"})]);
    platform.bytes(1, &message[..6], START);
    for k in 1..20 {
        let now = START + ms(500 * k);
        platform.bytes(1, &[&message[6..], &message[..6]].concat(), now);
        assert!(!is_closed(&platform.turn_at(now), 1), "after {k}");
    }
    // The last one never ends.
    let last = START + ms(500 * 19);
    assert_eq!(platform.wake().filter(|at| *at > last).map(|at| at <= last + ms(5000)), Some(true));
    assert!(!is_closed(&platform.turn_at(last + ms(4999)), 1));
    assert!(is_closed(&platform.turn_at(last + ms(5000)), 1));
}

// The watch of discovery.

#[test]
fn what_the_old_watch_wrote_counts_after_discovery_has_moved() {
    let mut watching = watching();
    let line = listed(41, false, &[member("s-2", "DRAINING")]);
    let bytes = chunk(&line);
    let (half, rest) = bytes.split_at(bytes.len() / 2);
    assert_eq!(watching.bytes(1, half, START).lines.len(), 0);
    assert_eq!(watching.moved(address(2), START), None);
    assert!(watching.is_to_dial(START));
    watching.dialled(Some(2), START);
    assert!(watching.has(1) && watching.has(2));
    let brought = watching.bytes(1, rest, START + ms(20));
    assert_eq!(brought.lines, vec![[line.as_slice(), b"\n"].concat()]);
    assert!(!brought.first && !brought.cut);
    // Its end is not the new one's.
    watching.closed(1, START + ms(1500));
    assert!(!watching.has(1) && watching.has(2) && !watching.is_to_dial(START + ms(1500)));
}

#[test]
fn an_old_watch_that_never_ends_is_cut_in_its_time_and_by_the_next_move() {
    let mut watching = watching();
    watching.moved(address(2), START);
    watching.dialled(Some(2), START);
    watching.bytes(2, HEAD, START + ms(2900));
    assert_eq!(watching.wake(), START + ms(3000));
    assert_eq!(watching.late(START + ms(3000)), vec![1]);
    watching.moved(address(3), START + ms(3100));
    watching.dialled(Some(3), START + ms(3100));
    // Moved again before the one left has ended: one is read on, the one before it is cut.
    assert_eq!(watching.moved(address(4), START + ms(3200)), Some(2));
    assert!(watching.has(3));
}

#[test]
fn a_watch_that_ends_or_cannot_be_read_is_dialled_again_after_a_while() {
    for end in [&b"0\r\n\r\n"[..], b"zz\r\n"] {
        let mut watching = watching();
        let brought = watching.bytes(1, end, START);
        assert!(brought.cut && !watching.has(1));
        assert_eq!((watching.wake(), watching.is_to_dial(START)), (START + REDIAL, false));
        // It is closed by the other side as well in the same turn: it is dialled once, and no later for it.
        watching.closed(1, START + ms(100));
        assert!(watching.is_to_dial(START + REDIAL));
    }
    let mut watching = watching();
    assert_eq!(watching.ask_again(START), Some(1));
    assert!(!watching.has(1) && watching.is_to_dial(START + REDIAL));
    watching.dialled(None, START + REDIAL);
    assert!(!watching.is_to_dial(START + REDIAL) && watching.is_to_dial(START + REDIAL * 2));
}

#[test]
fn an_agent_that_lags_changes_nothing_and_one_that_counts_anew_is_believed() {
    let mut platform = platform();
    platform.line(&listed(7, true, &[member("s-1", "SERVING")]), START).unwrap();
    platform.line(&listed(8, false, &[member("s-1", "DRAINING")]), START + ms(5000)).unwrap();
    assert!(
        (platform.revision(), platform.listed.len()) == (40, 0)
            && !platform.is_counted_anew(START + ms(5999))
    );
    // It came to the version that is held: it lagged.
    platform.line(&listed(40, false, &[]), START + ms(5999)).unwrap();
    assert!(!platform.is_counted_anew(START + ms(60_000)));
    platform.line(&listed(8, false, &[]), START + ms(60_000)).unwrap();
    // Due also when nothing else happens.
    platform.turn_at(START + ms(60_000));
    assert!(platform.wake().is_some_and(|at| at <= START + ms(66_000)));
    assert!(platform.is_counted_anew(START + ms(66_000)) && !platform.is_counted_anew(START + ms(66_001)));
    assert_eq!(platform.revision(), 0);
    platform.line(&listed(9, true, &[member("s-1", "DRAINING")]), START + ms(66_100)).unwrap();
    assert_eq!(platform.revision(), 9);
}

#[test]
fn a_whole_list_told_twice_takes_out_what_is_absent_once() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    let whole = |revision| listed(revision, true, &[member("s-1", "SERVING"), member("s-3", "SERVING")]);
    platform.line(&whole(41), START).unwrap();
    let first = written(&platform.turn_at(START), 1);
    assert!(first.iter().any(|m| m["rows"].as_array().is_some_and(|r| r.contains(&json!(["s-2", 0.0])))));
    for revision in [41, 42] {
        platform.line(&whole(revision), START + ms(10)).unwrap();
        let again = written(&platform.turn_at(START + ms(10)), 1);
        assert!(again.iter().all(|m| !m.to_string().contains("s-2")), "{again:?}");
    }
}

// Streams.

#[test]
fn a_proxy_that_joins_twice_in_a_turn_is_on_its_last_stream_and_gets_one_table() {
    let mut platform = platform();
    for conn in [1, 2] {
        platform.opened(conn, START);
        platform.bytes(conn, &framed(&[joining(7)]), START);
    }
    let deeds = platform.turn_at(START);
    assert!(is_closed(&deeds, 1) && !is_closed(&deeds, 2));
    assert_eq!((written(&deeds, 1).len(), written(&deeds, 2).len()), (0, 1));
    // Late words of the old one, and its end, are nobody's.
    platform.bytes(1, &framed(&[json!({"t": "ACK", "id": 7, "seq": 1, "ms": 1.0})]), START);
    platform.closed(1);
    assert_eq!((platform.happened.len(), platform.connected()), (0, (1, 0)));
}

#[test]
fn who_leaves_and_joins_in_one_turn_gets_its_table_anew_and_owes_nothing() {
    let mut platform = platform();
    let before = join(&mut platform, 1, 7, START);
    let owed = written(&before, 1).last().unwrap()["stamp"].clone();
    platform.closed(1);
    platform.opened(2, START);
    platform.bytes(2, &framed(&[joining(7)]), START);
    let deeds = platform.turn_at(START);
    assert_eq!(written(&deeds, 2)[0]["replace"], json!(true));
    // The answer to what the old stream was told comes over the new one: nothing is owed to it any more.
    platform.bytes(2, &framed(&[json!({"t": "ACK", "id": 7, "seq": owed, "ms": 1.0})]), START);
    assert_eq!((platform.counts.stray_marks, platform.counts.left), (1, 1));
}

#[test]
fn a_last_report_behind_which_the_stream_ends_counts_before_the_leaving() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    let last = json!({"t": "RATE", "id": 7, "lane": "lookup", "count": 9, "fail": 0, "over": 9.0});
    platform.bytes(1, &framed(&[last]), START);
    platform.closed(1);
    assert!(matches!(
        platform.happened[..],
        [Event::ArrivalReport { requests: 9, .. }, Event::ProxyDisconnected { proxy: 7 }]
    ));
}

#[test]
fn who_has_no_list_yet_gets_an_answer_and_its_table_with_the_list() {
    let mut station = station();
    station.known = Value::Null;
    let mut platform = Platform::new(&station, EPOCH, 100);
    platform.opened(1, START);
    platform.bytes(1, &framed(&[json!({"t": "PING"})]), START);
    assert_eq!(written(&platform.turn_at(START), 1), vec![json!({"t": "PONG"})]);
    assert_eq!(written(&join(&mut platform, 2, 7, START), 2), Vec::<Value>::new());
    assert_eq!(platform.revision(), 0);
    platform.line(&listed(9, true, &[member("s-1", "SERVING")]), START + ms(100)).unwrap();
    let told = written(&platform.turn_at(START + ms(100)), 2);
    assert_eq!((&told[0]["replace"], &told[0]["rows"]), (&json!(true), &json!([["s-1", 1.0]])));
}

#[test]
fn a_drain_told_while_a_stream_is_broken_is_in_the_table_of_the_next() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.closed(1);
    platform.line(&listed(41, false, &[member("s-2", "DRAINING")]), START + ms(10)).unwrap();
    platform.turn_at(START + ms(10));
    let told = written(&join(&mut platform, 2, 7, START + ms(300)), 2);
    assert_eq!((&told[0]["replace"], &told[0]["rows"]), (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]])));
}

// Probes.

#[test]
fn a_server_is_asked_once_at_a_time_however_long_its_probe_waits() {
    let mut platform = platform();
    let mut asked = Vec::new();
    for k in 0..40u64 {
        let deeds = platform.turn_at(START + ms(k * 500));
        asked.extend(deeds.into_iter().filter_map(|d| match d {
            Action::Probe { ticket, .. } => Some(ticket),
            _ => None,
        }));
    }
    assert_eq!(asked.len(), 3, "twenty seconds, and no probe has ended");
    for ticket in asked {
        platform.probed(ticket, HealthCheckResult::Success.into(), ms(3));
    }
    let again: usize = (40..52u64)
        .map(|k| platform.turn_at(START + ms(k * 500)))
        .map(|deeds| deeds.iter().filter(|d| matches!(d, Action::Probe { .. })).count())
        .sum();
    assert_eq!(again, 3);
}
