//! Tests with settings, lists and messages of which any part may be missing or invalid.

use super::*;

/// All settings that the controller reads, with the values of an ordinary deployment.
fn full_settings() -> Value {
    let class = |name: &str, aim: f64, limit: f64, credit: f64, repeat: &str| {
        json!({"name": name, "aimS": aim, "hardLimitS": limit, "credit": credit, "lateWorth": 0.1,
            "repeat": repeat, "group": "all", "windowS": 5.0})
    };
    json!({"balancers": 2, "selfIndex": 0, "tickS": 0.002, "registryMode": "automatic", "weightSource": "rough",
        "classes": [class("lookup", 0.5, 2.0, 1.0, "repeatable"), class("order", 0.7, 2.5, 3.0, "once")],
        "familyInfo": {"backlog": 4000.0, "channelRate": 2000.0, "overhead": 4.0, "proxies": 20,
            "levelKind": "rps", "reloadsMax": 12, "messagesOverS": 10.0, "transitS": 0.3, "lateMostS": 0.9,
            "unservedMaxS": 2.5, "choice": "pair", "localFirst": true, "ranges": 0, "retryDefault": 1,
            "homeOnly": [false, true], "classWrites": [false, true], "hearsPerS": 60.0, "periodS": 1.0},
        "limits": {"probing": true, "peers": false},
        "rules": {"drainGraceS": 2.0, "coldFrom": 0.3, "warmAfterS": 5.0, "fallMultiple": 4.0, "fallS": 2.0},
        "stats": {"fields": ["rif", "busy", "lat_ms"], "how": "answers"}, "zones": ["a", "b"], "myZone": "a"})
}

/// Appends the JSON pointers of a value and of all values within it.
fn value_paths(value: &Value, pointer: String, found: &mut Vec<String>) {
    found.push(pointer.clone());
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, value)| value_paths(value, format!("{pointer}/{key}"), found))
        }
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(index, value)| value_paths(value, format!("{pointer}/{index}"), found)),
        _ => {}
    }
}

/// Values that no deployment has, including the bounds of ranges.
fn unusual_value() -> impl Strategy<Value = Value> {
    let bounds = [0.0, -0.0, -1.0, 1e-9, 0.5, 63.0, 64.0, 65.0, 1e6, 1e19, 1e300, -1e300, f64::MIN_POSITIVE];
    let lists = vec![json!([]), json!({}), json!([null, -1]), json!(vec![json!({"name": "x"}); 70])];
    prop_oneof![
        3 => prop::sample::select(bounds.to_vec()).prop_map(Value::from),
        1 => prop::sample::select(lists),
        1 => any_json(),
        1 => Just(json!("pace")),
    ]
}

const COLLECTOR: ConnectionId = 100;
/// The connection of a proxy that never acknowledges an update.
const SILENT_PROXY: ConnectionId = 4;

/// Runs a short scenario of lists with drains and new servers, connections, reports, health checks and some
/// acknowledgements; returns the number of complete tables sent.
fn run_scenario(settings: Value) -> usize {
    let mut bootstrap = bootstrap();
    bootstrap.settings = settings;
    let mut platform = PlatformPlanner::new(&bootstrap, EPOCH, 100);
    let mut tables = 0;
    for step in 0u64..40 {
        let now = START + ms(400 * step);
        send_input(&mut platform, step, now);
        for action in platform.step_at(now) {
            tables += execute(&mut platform, action, now);
        }
    }
    tables
}

/// Passes the core the input of a step, which does not depend on its actions.
fn send_input(platform: &mut PlatformPlanner, step: u64, now: Duration) {
    match step {
        1 => open(platform, COLLECTOR, &[collector_message("a")], now),
        2..=6 => open(platform, step as ConnectionId, &[connect_message(step)], now),
        9 => platform.handle_closed(3),
        12 => receive_changes(platform, 44, &[member("s-1", "DRAINING"), member("s-9", "SERVING")], now),
        15 => receive_list(platform, 45, &[member("s-2", "SERVING"), member("s-9", "SERVING")], now),
        _ => {
            let outcome = |target: &str, failures: u64| {
                json!({"t": "LOAD", "site": "a", "target": target, "count": 30, "fail": failures, "mean": 900.0,
                    "over": 1000.0, "util": {"inflight": 3, "util": 0.9, "latency_ms": 80.0}})
            };
            let arrivals =
                json!({"t": "RATE", "id": 2, "lane": "lookup", "count": 50, "fail": 4, "over": 1000.0});
            let reports = [outcome("s-1", 5), outcome("s-2", step.min(30)), arrivals];
            receive(platform, COLLECTOR, &reports, now);
        }
    }
}

/// Executes an action as the platform would; returns the number of complete tables that it writes.
fn execute(platform: &mut PlatformPlanner, action: Action, now: Duration) -> usize {
    let mut tables = 0;
    match action {
        Action::CheckHealth { ticket, .. } => {
            let results =
                [HealthCheckResult::Success, HealthCheckResult::Timeout, HealthCheckResult::ConnectionFailed];
            let result = results[ticket as usize % results.len()];
            platform.handle_health_check(ticket, result.into(), ms(3));
        }
        Action::Write { conn, bytes } => {
            for update in unframed(&bytes) {
                tables += usize::from(update["replace"] == json!(true));
                if update["stamp"].is_u64() && conn != SILENT_PROXY {
                    let ack = json!({"t": "ACK", "id": conn, "seq": update["stamp"], "ms": 5.0});
                    receive(platform, conn, &[ack], now);
                }
            }
        }
        Action::Close { .. } | Action::Log { .. } => {}
    }
    tables
}

#[test]
fn a_scenario_under_ordinary_settings_gives_each_proxy_a_table() {
    assert!(run_scenario(full_settings()) >= 5);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// One or two values of the settings are arbitrary.
    #[test]
    fn arbitrary_settings_never_panic(changes in prop::collection::vec((any::<prop::sample::Index>(), unusual_value()), 1..3)) {
        let mut settings = full_settings();
        for (index, value) in changes {
            let mut found = Vec::new();
            value_paths(&settings, String::new(), &mut found);
            let pointer = &found[index.index(found.len())];
            *settings.pointer_mut(pointer).unwrap() = value;
        }
        run_scenario(settings);
    }
}

#[test]
fn a_number_out_of_range_makes_its_message_malformed_and_keeps_the_connection() {
    let mut platform = platform();
    connect(&mut platform, 1, 7, START);
    let mut bytes = Vec::new();
    // An invalid field must not end the stream.
    write_frame(&mut bytes, br#"{"t":"RATE","id":7,"lane":"lookup","count":1e999,"fail":0,"over":9.0}"#);
    bytes.extend(framed(&[
        json!({"t": "RATE", "id": 7, "lane": "lookup", "count": 1, "fail": 0, "over": 9.0}),
    ]));
    platform.handle_bytes(1, &bytes, START);

    assert!(matches!(platform.events[..], [Event::ArrivalReport { proxy: 7, requests: 1, .. }]));
    assert_eq!((platform.counters.malformed, platform.counters.rejected), (1, 0));

    // A body that is not a JSON object still ends it, whether or not it contains such a number.
    for body in [&b"{\"t\":1e999,}"[..], b"{\"t\":\"\xff\"}", b"[1e999]"] {
        let mut reader = FrameReader::new(MAX_MESSAGE_BYTES);
        let mut bytes = Vec::new();
        write_frame(&mut bytes, body);
        reader.push(&bytes);
        assert_eq!(reader.next_message(), Err(FrameError::InvalidBody));
    }
}

#[test]
fn an_unreadable_list_line_is_retried_and_then_skipped() {
    let mut platform = platform();
    for _ in 0..3 {
        assert!(platform.handle_list_line(b"{\"revision\": 41, \"compl", START).is_err());
    }
    // After the last retry the line is skipped.
    platform.handle_list_line(b"{\"revision\": 41, \"compl", START).unwrap();
    receive_changes(&mut platform, 42, &[member("s-2", "DRAINING")], START);

    assert_eq!((platform.list_revision(), platform.list.malformed), (42, 4));
    // Retries start over with the next unreadable line.
    assert!(platform.handle_list_line(b"nothing", START).is_err());
}

#[test]
fn a_malformed_entry_of_a_complete_list_leaves_its_server_unchanged() {
    let mut platform = platform();
    let malformed = json!({"id": "s-2", "host_port": "127.0.0.1:9", "phase": 3});
    let unknown = json!({"id": "s-8", "phase": "ASLEEP"});
    receive_changes(&mut platform, 41, &[member("s-3", "DRAINING")], START);
    let complete = [member("s-1", "SERVING"), malformed, json!({"id": "s-3"}), unknown];
    platform.handle_list_line(&list(42, true, &complete), START).unwrap();
    let Some(Event::EndpointsListed { update, records }) = platform.list_events.last() else {
        panic!("no list")
    };
    let states: Vec<ListedState> = records.iter().map(|record| record.state).collect();

    // A malformed field must not remove a healthy server from all tables.
    assert_eq!(
        (*update, states),
        (EndpointUpdate::Snapshot, vec![ListedState::Ready, ListedState::Ready, ListedState::Draining])
    );
    assert_eq!(platform.list.malformed, 3);

    // A server missing from a complete list is removed, and a malformed entry does not restore it.
    receive_list(&mut platform, 43, &[member("s-1", "SERVING")], START);
    platform.handle_list_line(&list(44, true, &complete), START).unwrap();
    let Some(Event::EndpointsListed { records, .. }) = platform.list_events.last() else { panic!("no list") };

    assert_eq!(records.len(), 1);
}

/// Guards against losing a drain because it is in a malformed entry of a change.
#[test]
fn a_change_with_a_malformed_entry_is_requested_again_and_skipped_after_a_few_attempts() {
    let mut platform = platform();
    let malformed = json!({"id": "s-2", "host_port": "127.0.0.1:9", "phase": 3});
    let members = [member("s-1", "DRAINING"), malformed];

    // Its valid entries are applied at once.
    receive_changes(&mut platform, 41, &members, START);
    let Some(Event::EndpointsListed { records, .. }) = platform.list_events.last() else { panic!("no list") };
    assert_eq!((records.len(), records[0].state), (1, ListedState::Draining));
    assert!(platform.take_must_reread_list() && !platform.take_must_reread_list());
    assert_eq!(platform.list_revision(), 40);

    // The same change is received again, now well-formed: its drain is applied.
    receive_changes(&mut platform, 41, &[member("s-1", "DRAINING"), member("s-2", "DRAINING")], START);
    let Some(Event::EndpointsListed { records, .. }) = platform.list_events.last() else { panic!("no list") };
    assert_eq!(records.len(), 2);
    assert_eq!((platform.list_revision(), platform.take_must_reread_list()), (41, false));

    // A change that stays malformed does not block those that follow it.
    for _ in 0..3 {
        receive_changes(&mut platform, 42, &members, START);
        assert!(platform.take_must_reread_list());
        assert_eq!(platform.list_revision(), 41);
    }
    receive_changes(&mut platform, 42, &members, START);
    assert_eq!((platform.list_revision(), platform.take_must_reread_list()), (42, false));
}

/// Guards against losing a server until the next complete list because its entry in the bootstrap file is malformed.
#[test]
fn after_a_cached_list_with_a_malformed_entry_the_complete_list_is_requested() {
    let mut bootstrap = bootstrap();
    bootstrap.cached_list["members"][1]["phase"] = json!(3);
    let mut platform = PlatformPlanner::new(&bootstrap, EPOCH, 100);
    platform.step_at(START);

    assert_eq!(platform.list_revision(), 0);

    // A list from an agent that lags behind the file is ignored.
    receive_list(&mut platform, 39, &[member("s-1", "DRAINING")], START);
    assert!(platform.list_events.is_empty());
    let members = ["s-1", "s-2", "s-3"].map(|id| member(id, "SERVING"));
    receive_list(&mut platform, 40, &members, START);
    assert_eq!(platform.list_revision(), 40);
}
