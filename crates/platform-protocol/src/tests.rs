mod doors;
mod endings;

use super::*;
use crate::bootstrap::Told;
use crate::endpoint_list::WatchReader;
use crate::framing::{Reader, Unreadable, FIRST_MOST, MESSAGE_MOST};
use crate::health_check::{HealthCheck, HealthCheckResponse};
use crate::message::read;
use crate::session::{Sessions, JOIN_WITHIN};
use crate::table_sync::UpdatePart;
use proptest::prelude::*;
use runloom_controller::endpoint::HealthState;
use runloom_controller::{EjectionReport, HealthCheckResult, ListedState, RetryPolicy};
use serde_json::{json, Value};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Platform {
    /// A turn in which nothing is left unread.
    fn turn_at(&mut self, now: Duration) -> Vec<Action> {
        self.turn(now, now)
    }
}

const START: Duration = ms(3_600_000);
const EPOCH: u64 = 1_700_000_000_000;

fn framed(messages: &[Value]) -> Vec<u8> {
    let mut out = Vec::new();
    messages.iter().for_each(|m| framing::write(&mut out, m.to_string().as_bytes()));
    out
}

fn unframed(bytes: &[u8]) -> Vec<Value> {
    let mut reader = Reader::new(MESSAGE_MOST);
    reader.push(bytes);
    std::iter::from_fn(|| reader.next_message().unwrap()).collect()
}

fn member(id: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m2", "cell": 3, "phase": phase,
        "size": 1.0, "up_since_ms": 0})
}

fn listed(revision: u64, complete: bool, members: &[Value]) -> Vec<u8> {
    json!({"revision": revision, "complete": complete, "members": members}).to_string().into_bytes()
}

fn settings() -> Value {
    json!({"balancers": 1, "classes": [{"name": "lookup", "aimS": 0.5, "credit": 1.0}, {"name": "order"}],
        "familyInfo": {"backlog": 4000.0, "channelRate": 2000.0, "overhead": 4.0, "proxies": 20,
            "levelKind": "none"},
        "limits": {"probing": true}, "stats": {"fields": ["q", "lat_ms"], "how": "answers"},
        "zones": ["a", "b"], "rules": {"drainGraceS": 2.0, "coldFrom": 0.5, "warmAfterS": 1.0}})
}

fn station() -> BootstrapConfig {
    let known = json!({"revision": 40, "complete": true, "members": [member("s-1", "SERVING"),
        member("s-2", "SERVING"), member("s-3", "SERVING")]});
    let text = json!({"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f",
        "limits": {"sockets": 256, "memory_mb": 32}, "known": known, "settings": settings()});
    BootstrapConfig::read(&text.to_string(), Told::default()).unwrap()
}

fn platform() -> Platform {
    let mut platform = Platform::new(&station(), EPOCH, 100);
    platform.turn_at(START);
    platform
}

fn names() -> Names {
    platform().names
}

fn joining(id: u64) -> Value {
    json!({"t": "SUBSCRIBE", "id": id, "site": "a", "rps": 2.0, "new": true})
}

fn join(platform: &mut Platform, conn: ConnectionId, id: u64, now: Duration) -> Vec<Action> {
    platform.opened(conn, now);
    platform.bytes(conn, &framed(&[joining(id)]), now);
    platform.turn_at(now)
}

fn written(deeds: &[Action], to: ConnectionId) -> Vec<Value> {
    let bytes = deeds.iter().filter_map(|d| match d {
        Action::Write { conn, bytes } if *conn == to => Some(bytes.as_slice()),
        _ => None,
    });
    unframed(&bytes.collect::<Vec<_>>().concat())
}

fn is_closed(deeds: &[Action], conn: ConnectionId) -> bool {
    deeds.contains(&Action::Close { conn })
}

// Frames.

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z\u{e9}\"]{0,6}".prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 12, 4, |inner| {
        let key = prop_oneof![
            "[a-z]{1,3}".boxed(),
            prop::sample::select(vec!["t", "id", "site", "rps", "new", "seq", "ms", "over", "util"])
                .prop_map(str::to_string)
                .boxed()
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..6)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_gives_the_same_messages(ids in prop::collection::vec(0u64..99, 1..8),
        cuts in prop::collection::vec(1usize..40, 1..60)) {
        let messages: Vec<Value> = ids.into_iter().map(joining).collect();
        let bytes = framed(&messages);
        let mut reader = Reader::new(MESSAGE_MOST);
        let (mut rest, mut got) = (bytes.as_slice(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            reader.push(piece);
            while let Some(message) = reader.next_message().unwrap() {
                got.push(message);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(got, messages);
        prop_assert_eq!(reader.held(), 0);
    }

    #[test]
    fn no_bytes_panic_or_fill_memory(pieces in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..600), 0..40)) {
        let mut reader = Reader::new(FIRST_MOST);
        'pieces: for piece in pieces {
            reader.push(&piece);
            loop {
                match reader.next_message() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'pieces,
                }
            }
            prop_assert!(reader.held() <= FIRST_MOST + 4);
        }
    }

    #[test]
    fn no_message_panics(mut message in any_json(), kind in prop::sample::select(
        vec!["PING", "SOURCE", "SUBSCRIBE", "LOAD", "RATE", "ACK", "CONFIG"])) {
        if let Some(fields) = message.as_object_mut() {
            fields.insert("t".into(), kind.into());
        }
        let names = names();
        if let Ok(Message::Told(Event::ProxyConnected { proxy, zone, request_rate: rate, .. })) = read(&message, &names) {
            prop_assert!(proxy < names.proxies && zone < 2 && rate >= 0.0);
        }
    }

    #[test]
    fn a_watch_reads_the_same_lines_however_it_is_split(cuts in prop::collection::vec(1usize..30, 1..60)) {
        let lines = [&listed(41, true, &[member("s-1", "SERVING")])[..], b"", &listed(42, false, &[])];
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for line in lines {
            // A chunk may end inside a line.
            for half in [&line[..line.len() / 2], &[&line[line.len() / 2..], b"\n"].concat()] {
                if !half.is_empty() {
                    bytes.extend(format!("{:x}\r\n", half.len()).bytes().chain(half.iter().copied()));
                    bytes.extend(b"\r\n");
                }
            }
        }
        let (mut watch, mut got, mut rest) = (WatchReader::default(), Vec::new(), bytes.as_slice());
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            got.extend(watch.push(piece).unwrap());
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        let got: Vec<&[u8]> = got.iter().map(|l| l.trim_ascii_end()).collect();
        prop_assert_eq!(got, lines);
    }

    #[test]
    fn no_bytes_of_discovery_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut watch = WatchReader::default();
        let _ = watch.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if let Ok(lines) = watch.push(&bytes) {
            let mut platform = platform();
            lines.iter().for_each(|line| _ = platform.line(line, START));
            prop_assert_eq!(platform.revision(), 40);
        }
    }
}

#[test]
fn lengths_that_cannot_be_and_bodies_that_are_none_are_told_at_once() {
    let unreadable = |bytes: &[u8]| {
        let mut reader = Reader::new(MESSAGE_MOST);
        reader.push(bytes);
        reader.next_message().unwrap_err()
    };
    assert_eq!(unreadable(b"GET / HTTP/1.1"), Unreadable::Length);
    assert_eq!(unreadable(&[0, 0, 0, 0]), Unreadable::Length);
    assert_eq!(unreadable(&((1u32 << 20) + 1).to_le_bytes()), Unreadable::Length);
    assert_eq!(unreadable(b"\x02\0\0\0[]"), Unreadable::Body);
    assert_eq!(unreadable(b"\x03\0\0\0{x}"), Unreadable::Body);
}

// Messages.

fn good() -> Vec<Value> {
    let load = json!({"t": "LOAD", "site": "a", "target": "s-1", "count": 12, "fail": 3, "mean": 41.5,
        "over": 1000.0,
        "util": {"queue": 7, "latency_ms": 61.0}});
    let rate = json!({"t": "RATE", "id": 17, "lane": "lookup", "count": 19, "fail": 0, "over": 1000.0});
    vec![
        load,
        rate,
        json!({"t": "ACK", "id": 17, "seq": 905, "ms": 310.4}),
        joining(17),
        json!({"t": "SOURCE", "site": "b"}),
    ]
}

#[test]
fn good_messages_say_what_they_say() {
    let names = names();
    let read: Vec<Message> = good().iter().map(|m| read(m, &names).unwrap()).collect();
    let span = ms(1000);
    let took = Duration::from_secs_f64(0.0415);
    let met = Message::Told(Event::OutcomeReport {
        zone: 0,
        server: 0,
        attempts: 12,
        failures: 3,
        mean_latency: took,
        window: span,
        load: vec![7.0, 61.0],
    });
    assert_eq!(read[0], met);
    assert_eq!(
        read[1],
        Message::Told(Event::ArrivalReport {
            proxy: 17,
            class: 0,
            requests: 19,
            unanswered: 0,
            window: span
        })
    );
    assert_eq!(
        read[2],
        Message::Told(Event::UpdateAcknowledged {
            proxy: 17,
            ack_token: 905,
            elapsed: Duration::from_secs_f64(0.3104)
        })
    );
    assert_eq!(
        read[3],
        Message::Told(Event::ProxyConnected { proxy: 17, zone: 0, request_rate: 2.0, has_no_table: true })
    );
    assert_eq!(read[4], Message::Collector { zone: 1 });
}

#[test]
fn a_field_that_is_missing_mistyped_or_out_of_range_spoils_the_message() {
    let names = names();
    let wrong =
        [Value::Null, json!(-1), json!(1e300), json!("nowhere"), json!([1]), json!({"x": 1}), json!(true)];
    let mut cases = 0;
    for message in good() {
        for field in message.as_object().unwrap().keys().filter(|k| *k != "util") {
            for value in &wrong {
                let mut spoilt = message.clone();
                spoilt[field] = value.clone();
                // A flag may be true.
                if field == "new" && value == true {
                    continue;
                }
                assert!(read(&spoilt, &names).is_err(), "{spoilt}");
                cases += 1;
            }
            let mut spoilt = message.clone();
            spoilt.as_object_mut().unwrap().remove(field);
            assert!(read(&spoilt, &names).is_err(), "{spoilt}");
        }
    }
    assert_eq!(cases, 7 * 24 - 1);
}

#[test]
fn a_load_report_may_be_absent_and_must_be_one_where_it_is_there() {
    let names = names();
    let with = |util: Value| {
        let mut message = good().remove(0);
        message["util"] = util;
        read(&message, &names)
    };
    let load = |m: Result<Message, MalformedMessage>| {
        if let Ok(Message::Told(Event::OutcomeReport { load, .. })) = m {
            load
        } else {
            panic!("{m:?}")
        }
    };
    assert!(load(with(Value::Null)).is_empty());
    assert_eq!(load(with(json!({"queue": 2, "latency_ms": 4.5, "more": "x"}))), [2.0, 4.5]);
    assert!(load(with(json!({"queue": 2})))[1].is_nan());
    assert!([json!(3), json!("x"), json!({"queue": "2"}), json!({"queue": -2})]
        .map(with)
        .iter()
        .all(Result::is_err));
}

#[test]
fn more_failed_than_were_made_is_spoilt_and_a_field_more_is_not() {
    let names = names();
    let mut message = good().remove(0);
    message["note"] = json!("x");
    assert!(read(&message, &names).is_ok());
    message["fail"] = json!(13);
    assert_eq!(read(&message, &names), Err(MalformedMessage::Field("fail")));
}

// Streams.

fn streams() -> TableSync {
    let mut streams = TableSync::new(2, 1.0);
    [1, 2].into_iter().for_each(|proxy| streams.join(proxy, START));
    streams
}

fn line(table: u16, server: ServerId, weight: f64) -> Command {
    Command::SetEntry { table, server, weight }
}

fn bind(proxy: ProxyId, table: u16, classes: u64) -> Command {
    Command::AssignTable { proxy, table, class_mask: classes }
}

#[test]
fn a_bound_proxy_gets_the_whole_table_with_its_levels_in_one_message() {
    let mut streams = streams();
    let level = Command::SetAdmission {
        table: 1,
        class: 1,
        admission_rate: None,
        retry_policy: RetryPolicy::IfNotExecuted,
    };
    let messages = streams.lay(
        &[line(1, 0, 1.5), level, bind(1, 1, 0), Command::RequestAck { ack_token: 9, all_proxies: false }],
        START,
    );
    assert_eq!(messages.keys().collect::<Vec<_>>(), [&1]);
    let out = unframed(&streams.write(&messages[&1], &names()));
    let whole = json!({"t": "CONFIG", "replace": true, "rows": [["s-1", 1.5]], "part": true});
    let level = json!({"t": "CONFIG", "for": ["order"], "gate": 1.0, "again": 1, "stamp": 9});
    assert_eq!(out, [whole, level]);
}

#[test]
fn a_line_goes_to_those_on_its_table_only_and_for_their_classes() {
    let mut streams = streams();
    streams.lay(&[bind(1, 1, 0), bind(2, 1, 0), bind(2, 2, 0b10)], START);
    let messages = streams.lay(&[line(1, 0, 0.5), line(1, 1, 0.0), line(2, 2, 2.0)], START);
    let part = |classes, rows| UpdatePart { classes, rows, ..UpdatePart::default() };
    assert_eq!(messages[&1], [part(0b11, vec![(0, 0.5), (1, 0.0)])]);
    assert_eq!(messages[&2], [part(0b01, vec![(0, 0.5), (1, 0.0)]), part(0b10, vec![(2, 2.0)])]);
}

#[test]
fn the_same_level_of_several_classes_is_one_part() {
    let mut streams = streams();
    streams.lay(&[bind(1, 1, 0)], START);
    let level = |class| Command::SetAdmission {
        table: 1,
        class,
        admission_rate: Some(0.5),
        retry_policy: RetryPolicy::Never,
    };
    let messages = streams.lay(&[level(0), level(1)], START);
    let out = unframed(&streams.write(&messages[&1], &names()));
    assert_eq!(out, [json!({"t": "CONFIG", "gate": 0.5, "again": 0})]);
}

#[test]
fn what_a_proxy_could_not_use_is_never_written() {
    let mut streams = streams();
    let level = Command::SetAdmission {
        table: 1,
        class: 7,
        admission_rate: Some(0.5),
        retry_policy: RetryPolicy::Never,
    };
    let bad = [line(1, 0, -1.0), line(1, 0, f64::NAN), level, bind(9, 1, 0)];
    streams.lay(&[bind(1, 1, 0)], START);
    assert!(streams.lay(&bad, START).is_empty());
    // A server that no list has named has no name here.
    let messages = streams.lay(&[line(1, 77, 1.0)], START);
    assert_eq!(unframed(&streams.write(&messages[&1], &names()))[0]["rows"], json!([]));
}

#[test]
fn what_is_shut_out_is_owed_to_whoever_joins_and_what_is_let_in_again_too() {
    let mut streams = streams();
    let shut = |server, out| Command::EjectServer { server, ejected: out };
    streams.lay(&[line(1, 0, 1.0), line(1, 1, 1.0), shut(0, true), shut(1, true), shut(1, false)], START);
    streams.join(5, START);
    let messages = streams.lay(&[bind(5, 1, 0)], START);
    let out = unframed(&streams.write(&messages[&5], &names()));
    assert_eq!((&out[0]["drop"], &out[0]["undrop"]), (&json!(["s-1"]), &json!(["s-2"])));
}

#[test]
fn marks_are_matched_to_what_is_owed_on_that_stream() {
    let mut streams = streams();
    streams.lay(&[bind(1, 1, 0), Command::RequestAck { ack_token: 4, all_proxies: false }], START);
    streams.lay(&[line(1, 0, 1.0), Command::RequestAck { ack_token: 5, all_proxies: false }], START);
    assert!(!streams.answered(2, 4) && !streams.answered(1, 6));
    // All before it is applied with it.
    assert!(streams.answered(1, 5) && !streams.answered(1, 4) && !streams.answered(1, 5));
    streams.lay(&[line(1, 0, 2.0), Command::RequestAck { ack_token: 6, all_proxies: false }], START);
    streams.join(1, START);
    assert!(!streams.answered(1, 6));
}

#[test]
fn a_message_has_no_more_parts_than_it_may_and_the_last_says_so() {
    let parts = vec![UpdatePart { classes: 1, rows: vec![(0, 1.0)], ..UpdatePart::default() }; 70];
    let out = unframed(&streams().write(&parts, &names()));
    assert_eq!((out.len(), &out[62]["part"], out[63].get("part")), (64, &json!(true), None));
}

#[test]
fn a_table_too_large_for_one_part_is_one_message_of_several() {
    let mut names = names();
    let servers: Vec<ServerId> = (0..9000).map(|k| names.servers.index(format!("{k:0>128}"))).collect();
    let rows: Vec<(ServerId, f64)> = servers.iter().map(|s| (*s, 1.0 / 3.0)).collect();
    let part = UpdatePart {
        classes: 3,
        replace: true,
        rows,
        drop: vec![servers[0]],
        mark: Some(9),
        ..UpdatePart::default()
    };
    // A part past 1 MiB could not be read here either.
    let out = unframed(&streams().write(&[part], &names));
    let told: usize = out.iter().map(|part| part["rows"].as_array().unwrap().len()).sum();
    assert_eq!((out.len(), told), (3, 9000));
    // The whole table's word with the first, or it would take back what went before; the mark with the last.
    assert_eq!(out.iter().filter(|p| p.get("replace").is_some()).count(), 1);
    assert_eq!((&out[0]["replace"], &out[2]["stamp"]), (&json!(true), &json!(9)));
    assert!(out[..2].iter().all(|p| p["part"] == json!(true) && p.get("stamp").is_none()));
    assert!(out[2].get("part").is_none() && out[2]["drop"].is_array());
}

// Discovery.

#[test]
fn older_versions_and_spoilt_lines_change_nothing() {
    let mut platform = platform();
    platform.line(&listed(39, true, &[]), START).unwrap();
    platform.line(&listed(40, false, &[member("s-1", "DELETED")]), START).unwrap();
    assert!(platform.line(b"{\"revision\": 50", START).is_err());
    assert!(platform.line(br#"{"revision": "50", "complete": true, "members": []}"#, START).is_err());
    platform.line(b"\r\n", START).unwrap();
    assert_eq!((platform.revision(), platform.listed.len(), platform.list.spoilt), (40, 0, 2));
}

#[test]
fn of_doubled_entries_the_last_holds_and_spoilt_ones_are_left_out() {
    let mut platform = platform();
    let spoilt = json!({"id": "s-9", "phase": "ASLEEP"});
    platform
        .line(&listed(41, false, &[member("s-1", "SERVING"), spoilt, member("s-1", "DRAINING")]), START)
        .unwrap();
    let Event::EndpointsListed { update: how, records: entries } = &platform.listed[0] else {
        panic!("{:?}", platform.listed)
    };
    assert_eq!((*how, entries.len(), entries[0].state), (EndpointUpdate::Delta, 1, ListedState::Draining));
}

#[test]
fn a_start_before_the_planner_s_own_has_its_place_on_the_clock() {
    let mut list = EndpointList::default();
    let mut up = member("s-1", "SERVING");
    let mut started = |since: u64| {
        up["up_since_ms"] = json!(since);
        let line = json!({"revision": 1, "complete": true, "members": [up]});
        list.take(&line, false, &mut names(), EPOCH, START).unwrap().unwrap().1[0].started
    };
    assert_eq!(started(EPOCH + 3_590_000), Some(START - ms(10_000)));
    assert_eq!((started(0), started(EPOCH - 5)), (None, None));
}

#[test]
fn an_address_may_change_and_probes_go_to_the_new_one() {
    let mut platform = platform();
    let mut moved = member("s-1", "SERVING");
    moved["host_port"] = json!("127.0.0.1:77");
    platform.line(&listed(41, false, &[moved]), START).unwrap();
    let deeds: Vec<Action> = (0..30).flat_map(|k| platform.turn_at(START + ms(250 * k))).collect();
    let probed = |port| {
        let to = SocketAddr::from(([127, 0, 0, 1], port));
        deeds.iter().filter(|d| matches!(d, Action::Probe { to: at, .. } if *at == to)).count()
    };
    assert!(probed(77) > 0 && probed(9) > 0);
}

#[test]
fn what_is_no_list_of_discovery_can_t_be_read() {
    let fails = |bytes: &[u8]| WatchReader::default().push(bytes).is_err();
    assert!(fails(b"HTTP/1.1 503 No\r\n\r\n") && fails(b"SSH-2.0-x\r\n"));
    assert!(fails(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n"));
    let mut watch = WatchReader::default();
    let lines = watch.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n").unwrap();
    assert!(lines.is_empty() && watch.is_over());
}

// Probes.

#[test]
fn each_answer_to_a_probe_is_told_as_what_it_is() {
    let fields = ["q".to_string(), "lat_ms".to_string()];
    let ending = |text: &str| HealthCheckResponse::default().push(text.as_bytes(), &fields);
    let found = |text: &str| ending(text).map(|e| e.found);
    let body = r#"{"queue":2,"latency_ms":61}"#;
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    assert_eq!(
        ending(&whole),
        Some(HealthCheckOutcome { found: HealthCheckResult::Success, load: vec![2.0, 61.0] })
    );
    assert_eq!(ending(&whole[..whole.len() - 1]), None);
    assert_eq!(found("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), Some(HealthCheckResult::Success));
    assert_eq!(found("HTTP/1.1 503 No\r\n\r\n"), Some(HealthCheckResult::Rejected));
    assert_eq!(found("HTTP/1.1 500 No\r\n\r\n"), Some(HealthCheckResult::ErrorResponse));
    assert_eq!(found("220 mail ready\r\n"), Some(HealthCheckResult::ErrorResponse));
    assert_eq!(
        found(&format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(9000))),
        Some(HealthCheckResult::ErrorResponse)
    );
}

#[test]
fn one_connection_that_is_reset_tells_nothing_of_a_server_and_two_do() {
    let fields = ["q".to_string()];
    let mut probe = HealthCheck::new(1, SocketAddr::from(([127, 0, 0, 1], 9)), START);
    assert_eq!(probe.late().found, HealthCheckResult::ConnectionFailed);
    probe.open = true;
    assert_eq!(probe.late().found, HealthCheckResult::Timeout);
    assert_eq!((probe.cut(), probe.open), (None, false));
    assert_eq!(probe.cut().map(|e| e.found), Some(HealthCheckResult::ConnectionFailed));
    // Ways that are well lose answers too, and what came of the first is no part of the second.
    let mut begun = HealthCheck::new(1, SocketAddr::from(([127, 0, 0, 1], 9)), START);
    assert_eq!(begun.push(b"HTTP/1.1 2", &fields), None);
    assert_eq!((begun.cut(), begun.open), (None, false));
    assert_eq!(begun.push(b"HTTP/1.1 200 OK\r\nContent-Le", &fields), None);
    assert_eq!(begun.cut().map(|e| e.found), Some(HealthCheckResult::ConnectionFailed));
}

// Clients.

#[test]
fn who_has_not_joined_is_closed_and_who_has_is_not() {
    let mut platform = platform();
    platform.opened(1, START);
    join(&mut platform, 2, 7, START);
    platform.opened(3, START);
    platform.bytes(3, &framed(&[json!({"t": "PING"})]), START);
    let deeds = platform.turn_at(START + ms(10));
    assert_eq!(written(&deeds, 3), [json!({"t": "PONG"})]);
    let deeds = platform.turn_at(START + JOIN_WITHIN);
    assert!(is_closed(&deeds, 1) && is_closed(&deeds, 3) && !is_closed(&deeds, 2));
    assert_eq!(platform.connected(), (1, 0));
}

#[test]
fn whoever_cannot_be_a_client_is_refused_at_once() {
    let order = json!({"t": "CONFIG", "drop": ["s-1"]});
    let report = good().remove(1);
    let unknown = json!({"t": "SOURCE", "site": "nowhere"});
    let cases = [
        framed(&[joining(20)]),
        framed(&[unknown]),
        framed(&[order]),
        framed(&[report]),
        b"GET /discovery/hosts HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 64],
        framed(&[json!({"t": "X"})]),
        ((FIRST_MOST + 1) as u32).to_le_bytes().to_vec(),
    ];
    let mut platform = platform();
    for (conn, bytes) in cases.iter().enumerate() {
        platform.opened(conn, START);
        platform.bytes(conn, bytes, START);
        let deeds = platform.turn_at(START);
        assert_eq!(written(&deeds, conn), [json!({"t": "NACK"})], "case {conn}");
        assert!(is_closed(&deeds, conn));
    }
    assert_eq!((platform.connected(), platform.counts.joined), ((0, 0), 0));
}

#[test]
fn hundreds_who_say_nothing_make_room_for_who_joins() {
    let mut clients = Sessions::new(40);
    (0..300).for_each(|conn| clients.open(conn, ms(conn as u64)));
    assert!(clients.is_full() && clients.wake() <= Some(ms(300)));
    clients.join(299, 5);
    let going = clients.overdue(ms(400));
    // The oldest first, and all but what there is room for.
    assert_eq!((going.len(), going[0], going.contains(&299)), (299 - 38, 0, false));
    going.into_iter().for_each(|conn| _ = clients.remove(conn));
    assert!(!clients.is_full() && clients.count() == (1, 38));
}

#[test]
fn half_a_message_on_a_joined_connection_that_never_ends_ends_it() {
    let mut platform = platform();
    join(&mut platform, 2, 7, START);
    platform.bytes(2, &[0, 1, 0, 0, b'{'], START);
    let quiet = platform.turn_at(START + ms(4000));
    assert!(!is_closed(&quiet, 2));
    assert!(is_closed(&platform.turn_at(START + ms(5000)), 2));
    assert_eq!(platform.counts.left, 1);
}

#[test]
fn a_third_collector_of_a_zone_ends_the_oldest() {
    let mut platform = platform();
    let mut deeds = Vec::new();
    for conn in 1..4 {
        platform.opened(conn, START);
        platform.bytes(conn, &framed(&[json!({"t": "SOURCE", "site": "a"})]), START);
        deeds = platform.turn_at(START);
    }
    assert!(is_closed(&deeds, 1) && !is_closed(&deeds, 2) && !is_closed(&deeds, 3));
}

// The whole.

#[test]
fn a_proxy_that_joins_gets_its_table_and_answers_its_mark() {
    let mut platform = platform();
    let deeds = join(&mut platform, 1, 7, START);
    let orders = written(&deeds, 1);
    assert_eq!(orders[0]["replace"], json!(true));
    assert_eq!(orders[0]["rows"].as_array().unwrap().len(), 3);
    let mark = orders.last().unwrap()["stamp"].as_u64().unwrap();
    let answer = json!({"t": "ACK", "id": 7, "seq": mark, "ms": 12.0});
    platform.bytes(1, &framed(std::slice::from_ref(&answer)), START + ms(20));
    assert!(matches!(platform.happened[..], [Event::UpdateAcknowledged { proxy: 7, .. }]));
    assert_eq!(platform.counts.longest_wait, ms(20));
    platform.bytes(1, &framed(&[answer]), START + ms(30));
    assert_eq!((platform.happened.len(), platform.counts.stray_marks), (1, 1));
    // Only the first answer ends the wait for a table.
    platform.turn_at(START + ms(40));
    let told = platform.counts.longest_wait;
    platform.line(&listed(41, false, &[member("s-2", "DRAINING")]), START).unwrap();
    let orders = written(&platform.turn_at(START + ms(50)), 1);
    let mark = orders.last().unwrap()["stamp"].as_u64().unwrap();
    let late = json!({"t": "ACK", "id": 7, "seq": mark, "ms": 900.0});
    platform.bytes(1, &framed(&[late]), START + ms(950));
    assert_eq!((platform.counts.longest_wait, platform.counts.stray_marks), (told, 1));
}

#[test]
fn a_drain_that_discovery_tells_is_ordered_in_the_same_turn() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.line(&listed(41, false, &[member("s-2", "DRAINING")]), START).unwrap();
    let orders = written(&platform.turn_at(START + ms(1100)), 1);
    assert_eq!(orders[0]["rows"], json!([["s-2", 0.0]]));
}

#[test]
fn whatever_a_whole_list_leaves_out_is_ordered_out_of_the_table() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.line(&listed(41, true, &[member("s-1", "SERVING"), member("s-3", "SERVING")]), START).unwrap();
    let orders = written(&platform.turn_at(START + ms(1100)), 1);
    assert_eq!(orders[0]["rows"], json!([["s-2", 0.0]]));
}

#[test]
fn a_late_report_of_a_server_that_was_given_back_does_not_touch_who_has_its_index() {
    let mut platform = platform();
    platform.opened(1, START);
    platform.bytes(1, &framed(&[json!({"t": "SOURCE", "site": "a"})]), START);
    platform.line(&listed(41, false, &[member("s-1", "DELETED")]), START).unwrap();
    (0..14).for_each(|k| _ = platform.turn_at(START + ms(1000 * k)));
    platform.line(&listed(42, false, &[member("s-9", "SERVING")]), START).unwrap();
    assert_eq!((platform.names.servers.get("s-1"), platform.names.servers.get("s-9")), (None, Some(0)));
    platform.turn_at(START + ms(14_000));
    platform.bytes(1, &framed(&[good().remove(0)]), START + ms(14_000));
    assert_eq!((platform.happened.len(), platform.counts.spoilt), (0, 1));
}

#[test]
fn a_new_stream_takes_over_and_the_old_one_means_nothing_any_more() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.opened(2, START);
    platform.bytes(2, &framed(&[joining(7)]), START);
    let proxy = 7;
    assert!(matches!(
        &platform.happened[..],
        [Event::ProxyDisconnected { proxy: 7 }, Event::ProxyConnected { proxy: 7, .. }]
    ));
    let deeds = platform.turn_at(START);
    assert!(is_closed(&deeds, 1) && !written(&deeds, 2).is_empty());
    platform.bytes(
        1,
        &framed(&[json!({"t": "RATE", "id": 7, "lane": "lookup", "count": 1, "fail": 0, "over": 9.0})]),
        START,
    );
    platform.closed(1);
    assert!(platform.happened.is_empty());
    platform.closed(2);
    assert_eq!(platform.happened, [Event::ProxyDisconnected { proxy }]);
}

#[test]
fn a_storm_of_joins_fits_and_each_gets_its_table() {
    let mut platform = platform();
    for id in 0..20 {
        platform.opened(id as usize, START);
        platform.bytes(id as usize, &framed(&[joining(id)]), START);
    }
    let deeds = platform.turn_at(START);
    assert!((0..20).all(|conn| written(&deeds, conn)[0]["rows"].as_array().is_some_and(|r| r.len() == 3)));
    assert_eq!(platform.connected(), (20, 0));
}

#[test]
fn a_planner_that_starts_anew_orders_no_old_table_to_keep_what_drains() {
    let mut station = station();
    station.known["members"][1]["phase"] = json!("DRAINING");
    let mut platform = Platform::new(&station, EPOCH, 100);
    platform.turn_at(START);
    platform.opened(1, START);
    let mut old = joining(7);
    old["new"] = json!(false);
    platform.bytes(1, &framed(&[old]), START);
    let orders = written(&platform.turn_at(START), 1);
    assert_eq!(
        (&orders[0]["replace"], &orders[0]["rows"]),
        (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]]))
    );
}

#[test]
fn the_log_names_servers_as_people_know_them() {
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
    assert_eq!(platform.deeds, [Action::Log { text }]);
}

#[test]
fn spoilt_reports_are_dropped_and_those_around_them_count() {
    let mut platform = platform();
    platform.opened(1, START);
    let met = good().remove(0);
    let mut spoilt = met.clone();
    spoilt["target"] = json!("s-0");
    let other = json!({"t": "ACK", "id": 7, "seq": 1, "ms": 1.0});
    let all = [json!({"t": "SOURCE", "site": "a"}), met.clone(), spoilt, other, met];
    platform.bytes(1, &framed(&all), START);
    assert_eq!((platform.happened.len(), platform.counts.spoilt), (2, 2));
    assert!(!is_closed(&platform.turn_at(START), 1));
}

#[test]
fn a_stream_that_goes_on_with_what_cannot_be_read_has_left() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.bytes(1, b"\xff\xff\xff\xffwhatever", START);
    assert_eq!(platform.happened, [Event::ProxyDisconnected { proxy: 7 }]);
    assert!(is_closed(&platform.turn_at(START), 1));
}

#[test]
fn a_collector_that_goes_on_with_what_cannot_be_read_is_closed_and_its_reports_before_count() {
    let mut platform = platform();
    platform.opened(1, START);
    let met = json!({"t": "LOAD", "site": "a", "target": "s-1", "count": 2, "fail": 0, "mean": 40.0,
        "over": 1000.0});
    let mut bytes = framed(&[json!({"t": "SOURCE", "site": "a"}), met]);
    bytes.extend(b"\x05\0\0\0{:}}}");
    platform.bytes(1, &bytes, START);
    assert!(matches!(platform.happened[..], [Event::OutcomeReport { server: 0, attempts: 2, .. }]));
    assert!(is_closed(&platform.turn_at(START), 1));
    assert_eq!((platform.connected(), platform.counts.left), ((0, 0), 0));
}

#[test]
fn who_joins_in_the_turn_of_a_drain_gets_a_table_without_it() {
    let mut platform = platform();
    platform.opened(1, START);
    platform.bytes(1, &framed(&[joining(7)]), START);
    platform.line(&listed(41, false, &[member("s-2", "DRAINING")]), START).unwrap();
    let orders = written(&platform.turn_at(START), 1);
    assert_eq!(orders[0]["replace"], json!(true));
    assert!(orders.iter().all(|o| !o.to_string().contains("s-2")), "{orders:?}");
}

#[test]
fn a_stream_that_owes_an_answer_and_is_silent_is_ended_and_a_quiet_one_is_not() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    let late = platform.patience;
    assert!(late > ms(8000));
    let mut deeds = join(&mut platform, 2, 8, START);
    for k in 1..10 {
        // The quiet one answers what it owes and says nothing else.
        for stamp in written(&deeds, 2).iter().filter_map(|m| m["stamp"].as_u64()) {
            let answer = json!({"t": "ACK", "id": 8, "seq": stamp, "ms": 9.0});
            platform.bytes(2, &framed(&[answer]), START + late * (k - 1) / 9);
        }
        assert_eq!(platform.counts.mute, 0);
        deeds = platform.turn_at(START + late * k / 9 + ms(1));
    }
    assert!(is_closed(&deeds, 1) && !is_closed(&deeds, 2));
    assert_eq!((platform.counts.mute, platform.counts.left), (1, 1));
}

#[test]
fn usage_counts_only_of_proxies_that_joined_here_and_through_any_collector() {
    let mut platform = platform();
    join(&mut platform, 1, 7, START);
    platform.opened(2, START);
    let rate = |id: u64| json!({"t": "RATE", "id": id, "lane": "lookup", "count": 1, "fail": 0, "over": 9.0});
    platform.bytes(2, &framed(&[json!({"t": "SOURCE", "site": "b"}), rate(7), rate(8)]), START);
    platform.bytes(1, &framed(&[rate(8)]), START);
    assert!(matches!(platform.happened[..], [Event::ArrivalReport { proxy: 7, .. }]));
    assert_eq!(platform.counts.spoilt, 2);
}

#[test]
fn thousands_of_replaced_servers_and_streams_take_no_more_than_a_few() {
    let mut platform = platform();
    let mut now = START;
    for k in 0..2000u64 {
        now += ms(1000);
        let (old, new) = (format!("s-{}", k + 1), format!("s-{}", k + 4));
        platform
            .line(&listed(41 + 2 * k, false, &[member(&new, "SERVING"), member(&old, "DELETED")]), START)
            .unwrap();
        let conn = 10 + k as usize;
        let deeds = join(&mut platform, conn, k % 3, now);
        if let Some(mark) = written(&deeds, conn).iter().find_map(|m| m["stamp"].as_u64()) {
            let answer = json!({"t": "ACK", "id": k % 3, "seq": mark, "ms": 12.0});
            platform.bytes(conn, &framed(&[answer]), now);
        }
        let probes = platform.turn_at(now + ms(250));
        for deed in [deeds, probes].concat() {
            if let Action::Probe { ticket, .. } = deed {
                platform.probed(ticket, HealthCheckResult::Success.into(), ms(2));
            }
        }
        // What is gone is named in no order any more, whoever has its index.
        assert!(platform.servers() < 30, "after {k}: {}", platform.servers());
    }
    assert_eq!((platform.connected(), platform.counts.taken_over), ((3, 0), 1997));
    let sizes =
        (platform.spent.len(), platform.probing.len(), platform.wakes.len(), platform.list.addresses.len());
    assert!(sizes.0 < 20 && sizes.1 == 0 && sizes.2 < 4 && sizes.3 < 30, "{sizes:?}");
}

// What a planner is told before it starts.

#[test]
fn a_station_is_read_from_the_file_and_what_is_missing_from_the_environment() {
    let text = json!({"seed": 5, "settings": {}, "listen": "127.0.0.1:1"}).to_string();
    let told = Told { discovery: Some("127.0.0.1:7".into()), name: Some("n2".into()), listen: None };
    let station = BootstrapConfig::read(&text, told).unwrap();
    assert_eq!((station.name.as_str(), station.discovery.port(), station.seed), ("n2", 7, 5));
    assert_eq!(station.bounds.sockets, 256);
}

#[test]
fn a_broken_file_is_told_in_one_line() {
    let wrong = |text: &str| BootstrapConfig::read(text, Told::default()).unwrap_err();
    let texts = [
        "",
        "{",
        "[]",
        r#"{"settings": {}, "seed": 1, "listen": "x", "discovery": "127.0.0.1:1"}"#,
        r#"{"settings": 3, "seed": 1}"#,
        r#"{"settings": {}, "seed": 1, "listen": "127.0.0.1:1"}"#,
    ];
    texts.iter().for_each(|text| assert!(!wrong(text).contains('\n') && !wrong(text).is_empty()));
    assert!(wrong(texts[3]).contains("listen") && wrong(texts[5]).contains("discovery"));
}
