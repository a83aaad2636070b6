//! Compares the core's actions in a scripted session with a snapshot, byte for byte: connecting proxies, tables,
//! acknowledgements, a complete list, reports, health checks, a proxy that stops responding and malformed input.
//!
//! With the environment variable `UPDATE_SNAPSHOTS` set, the test rewrites the snapshot.

use runloom_controller::HealthCheckResult;
use runloom_platform_protocol::bootstrap::{BootstrapConfig, EnvironmentDefaults};
use runloom_platform_protocol::health_check::HealthCheckOutcome;
use runloom_platform_protocol::{Action, PlatformPlanner};
use serde_json::{json, Value};
use std::fmt::Write;
use std::time::Duration;

const SNAPSHOT: &str = "tests/snapshots/platform-session.txt";
const START_MS: u64 = 3_600_000;
const EPOCH_MS: u64 = 1_700_000_000_000;
const STEP_MS: u64 = 250;
const STEPS: u64 = 400;
const ZONES: [&str; 2] = ["a", "b"];
const CLASSES: [&str; 2] = ["lookup", "order"];
const COLLECTOR: usize = 1000;

fn member(id: u64, phase: &str, started: u64) -> Value {
    json!({"id": format!("s-{id}"), "host_port": format!("127.0.0.1:{}", 9000 + id),
        "locality": ZONES[(id % 2) as usize], "flavor": "m2", "cell": 3, "phase": phase, "size": 1.0,
        "up_since_ms": started})
}

fn list(revision: u64, complete: bool, members: &[Value]) -> Vec<u8> {
    json!({"revision": revision, "complete": complete, "members": members}).to_string().into_bytes()
}

fn settings(level_kind: &str) -> Value {
    let class = |name: &str, aim: f64, credit: f64| json!({"name": name, "aimS": aim, "credit": credit});
    json!({"balancers": 2, "classes": [class("lookup", 0.3, 1.0), class("order", 0.5, 2.0)],
        "familyInfo": {"backlog": 4000.0, "channelRate": 2000.0, "overhead": 4.0, "proxies": 20,
            "levelKind": level_kind, "choice": "pair"},
        "limits": {"probing": true}, "stats": {"fields": ["busy", "lat_ms"], "how": "answers"},
        "zones": ["a", "b"], "rules": {"drainGraceS": 2.0, "coldFrom": 0.5, "warmAfterS": 1.0}})
}

fn platform(level_kind: &str) -> PlatformPlanner {
    let members: Vec<Value> = (0..8).map(|id| member(id, "SERVING", 0)).collect();
    let known = json!({"revision": 40, "complete": true, "members": members});
    let text = json!({"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f",
        "limits": {"sockets": 256, "memory_mb": 32}, "known": known, "settings": settings(level_kind)});
    PlatformPlanner::new(
        &BootstrapConfig::parse(&text.to_string(), EnvironmentDefaults::default()).unwrap(),
        EPOCH_MS,
        100,
    )
}

/// Encodes a frame independently of the core's encoder, so that a fault in that one is detected.
fn framed(message: &Value) -> Vec<u8> {
    let body = message.to_string().into_bytes();
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes complete frames into their messages.
fn unframed(mut bytes: &[u8]) -> Vec<Value> {
    let mut messages = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let (body, after) = rest.split_at(u32::from_le_bytes(*length) as usize);
        messages.push(serde_json::from_slice(body).unwrap());
        bytes = after;
    }
    messages
}

/// An outcome report of server `s-{id}`: `s-2` fails most attempts in steps 120 to 159, and all servers do in steps 200
/// to 259.
fn outcome_report(id: u64, step: u64) -> Value {
    let failing = (120..160).contains(&step) && id == 2 || (200..260).contains(&step);
    let fail = if failing { 25 } else { step * id % 2 };
    json!({"t": "LOAD", "site": ZONES[(id % 2) as usize], "target": format!("s-{id}"), "count": 40,
        "fail": fail, "mean": if failing { 700.0 } else { 60.0 + id as f64 }, "over": 1000.0,
        "util": {"util": 0.4 + id as f64 / 50.0, "latency_ms": 40.0 + (step % 7) as f64}})
}

/// Passes the core the input of a step, which does not depend on its actions.
fn send_input(platform: &mut PlatformPlanner, step: u64, now: Duration) {
    match step {
        1 => platform.handle_opened(COLLECTOR, now),
        2 => platform.handle_bytes(COLLECTOR, &framed(&json!({"t": "SOURCE", "site": "a"})), now),
        4..=11 => {
            let conn = step as usize;
            platform.handle_opened(conn, now);
            let connect =
                json!({"t": "SUBSCRIBE", "id": step, "site": "a", "rps": 20.0, "new": step % 2 == 0});
            platform.handle_bytes(conn, &framed(&connect), now);
        }
        // Malformed input: an invalid length, an unknown class and a count out of range, a token out of range.
        20 => platform.handle_opened(50, now),
        21 => platform.handle_bytes(50, b"\0\0\0\x04nope", now),
        22 => platform.handle_bytes(
            5,
            &framed(&json!({"t": "RATE", "id": 5, "lane": "none", "count": -1})),
            now,
        ),
        23 => platform.handle_bytes(6, &framed(&json!({"t": "ACK", "id": 6, "seq": 70_000, "ms": 1.0})), now),
        24 => platform.handle_bytes(7, &framed(&json!({"t": "PING"})), now),
        30 => platform
            .handle_list_line(&list(41, false, &[member(3, "DRAINING", 0), member(9, "SERVING", 0)]), now)
            .unwrap(),
        31 => platform.handle_list_line(b"", now).unwrap(),
        32 => _ = platform.handle_list_line(b"{\"revision\": oops", now),
        // A complete list of a later revision, without some of the servers.
        60 => {
            let members: Vec<Value> =
                [0, 1, 2, 4, 5, 6, 9].iter().map(|id| member(*id, "SERVING", 0)).collect();
            platform.handle_list_line(&list(45, true, &members), now).unwrap();
        }
        70 => platform.handle_closed(6),
        // A proxy reconnects while its old stream is still open.
        74 => {
            platform.handle_opened(60, now);
            let connect = json!({"t": "SUBSCRIBE", "id": 7, "site": "b", "rps": 5.0, "new": false});
            platform.handle_bytes(60, &framed(&connect), now);
        }
        300 => {
            let restarted = EPOCH_MS + START_MS + 70_000;
            platform.handle_list_line(&list(46, false, &[member(3, "SERVING", restarted)]), now).unwrap();
        }
        _ => {}
    }
    if step > 12 && step % 4 == 0 {
        send_reports(platform, step, now);
    }
}

/// Passes the core the outcome and arrival reports of a step.
fn send_reports(platform: &mut PlatformPlanner, step: u64, now: Duration) {
    (0..8).for_each(|id| platform.handle_bytes(COLLECTOR, &framed(&outcome_report(id, step)), now));
    let load = if (200..260).contains(&step) { 150 } else { 30 };
    for proxy in [4, 5, 8, 9] {
        let rate = json!({"t": "RATE", "id": proxy, "lane": CLASSES[(step / 4 % 2) as usize],
            "count": load, "fail": 1, "over": 1000.0});
        platform.handle_bytes(proxy, &framed(&rate), now);
    }
}

/// Completes health checks and acknowledges updates, except those of the proxy that stops responding at step 100.
fn answer(platform: &mut PlatformPlanner, actions: &[Action], step: u64, now: Duration) {
    for action in actions {
        match action {
            Action::CheckHealth { ticket, .. } => {
                let results = [
                    HealthCheckResult::Success,
                    HealthCheckResult::Success,
                    HealthCheckResult::Timeout,
                    HealthCheckResult::ConnectionFailed,
                    HealthCheckResult::ErrorResponse,
                ];
                let result = results[*ticket as usize % results.len()];
                platform.handle_health_check(
                    *ticket,
                    HealthCheckOutcome { result, load: vec![0.3, 40.0] },
                    Duration::from_millis(3),
                );
            }
            Action::Write { conn, bytes } if *conn != 9 || step < 100 => {
                let proxy = if *conn == 60 { 7 } else { *conn };
                for message in unframed(bytes).into_iter().filter(|message| message["stamp"].is_u64()) {
                    let ack = json!({"t": "ACK", "id": proxy, "seq": message["stamp"], "ms": 5.0});
                    platform.handle_bytes(*conn, &framed(&ack), now);
                }
            }
            _ => {}
        }
    }
}

/// Runs the session and returns its transcript, one line for each action.
fn session(level_kind: &str) -> String {
    let mut platform = platform(level_kind);
    let mut transcript = format!("levels: {level_kind}\n");
    for step in 0..STEPS {
        let now = Duration::from_millis(START_MS + step * STEP_MS);
        send_input(&mut platform, step, now);
        let actions = platform.step(now, now);
        for action in &actions {
            match action {
                Action::Write { conn, bytes } => {
                    writeln!(transcript, "{step} write {conn} {}", bytes.escape_ascii())
                }
                Action::Close { conn } => writeln!(transcript, "{step} close {conn}"),
                Action::CheckHealth { ticket, address } => {
                    writeln!(transcript, "{step} probe {ticket} {address}")
                }
                Action::Log { text } => writeln!(transcript, "{step} log {text}"),
            }
            .unwrap();
        }
        answer(&mut platform, &actions, step, now);
    }
    transcript
}

#[test]
fn bytes_of_the_scripted_session_match_the_snapshot() {
    let transcript = session("none") + &session("rps");
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(SNAPSHOT, &transcript).unwrap();
    }
    let expected = std::fs::read_to_string(SNAPSHOT).unwrap();
    for (number, (new, old)) in transcript.lines().zip(expected.lines()).enumerate() {
        assert_eq!(new, old, "line {} of {SNAPSHOT}", number + 1);
    }
    assert_eq!(transcript.len(), expected.len());
}
