//! Snapshot of the adapter's replies to a seeded script of batches, byte for byte.
//!
//! The script plays every kind of event against three instances with different settings and answers the
//! adapter's own requests (timers, health checks, acknowledgements). The snapshot holds the first replies in full and a
//! digest of each later one. `UPDATE_SNAPSHOTS=1` rewrites it.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const FRAMES: u64 = 3000;
const FRAMES_IN_FULL: u64 = 60;
const FRAME_MS: u64 = 50;
const SERVERS: u64 = 24;
const PROXIES: u64 = 12;
const SNAPSHOT: &str = "tests/snapshots/adapter-replies.txt";

/// A small generator of pseudo-random numbers (Knuth's MMIX constants), so that the script never changes.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % bound
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// FNV-1a, 64 bits.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf29ce484222325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100000001b3))
}

struct Adapter {
    process: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    fn start() -> Adapter {
        let mut process = Command::new(env!("CARGO_BIN_EXE_runloom-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let (input, output) = (process.stdin.take().unwrap(), process.stdout.take().unwrap());
        Adapter { process, input, output: BufReader::new(output) }
    }

    fn exchange(&mut self, clock_ms: u64, events: &[Value]) -> String {
        let mut batch = json!({"verb": "FRAME", "clockS": clock_ms as f64 / 1000.0}).to_string();
        events.iter().for_each(|event| write!(batch, "\n{event}").unwrap());
        batch.push_str("\n{\"verb\":\"COMMIT\"}\n");
        self.input.write_all(batch.as_bytes()).unwrap();
        self.input.flush().unwrap();
        let mut reply = String::new();
        while !reply.ends_with("{\"verb\":\"NEXT\"}\n") {
            assert_ne!(self.output.read_line(&mut reply).unwrap(), 0, "the adapter ended");
        }
        reply
    }
}

fn settings(planner: u64) -> Value {
    let class = |name: &str, aim: f64, credit: f64| {
        json!({"name": name, "aimS": aim, "hardLimitS": 3.0 * aim, "credit": credit, "lateWorth": 0.1,
            "repeat": "repeatable", "group": "all", "windowS": 5.0})
    };
    json!({"balancers": planner + 1, "selfIndex": 0, "tickS": 0.002,
        "registryMode": if planner == 1 { "subscribe" } else { "automatic" }, "weightSource": "rough",
        "classes": [class("lookup", 0.4, 1.0), class("order", 0.6, 3.0), class("report", 0.9, 0.5)],
        "familyInfo": {"backlog": 4000.0, "channelRate": if planner == 0 { 400.0 } else { 4000.0 },
            "overhead": 4.0, "proxies": PROXIES, "levelKind": if planner == 2 { "none" } else { "rps" },
            "reloadsMax": if planner == 1 { 12 } else { 0 }, "messagesOverS": 10.0, "transitS": 0.3,
            "lateMostS": 0.9, "unservedMaxS": 2.5, "choice": if planner == 0 { "lottery" } else { "pair" },
            "localFirst": planner == 1, "ranges": 0, "retryDefault": 1},
        "limits": {"probing": planner != 1, "peers": false},
        "rules": {"drainGraceS": 2.0, "coldFrom": 0.3, "warmAfterS": 5.0, "fallMultiple": 4.0, "fallS": 2.0,
            "droppedStayOpen": planner == 2},
        "stats": {"fields": ["rif", if planner == 0 { "busy" } else { "q" }, "lat_ms"], "how": "answers"},
        "zones": ["a", "b", "c"], "myZone": "a"})
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const KINDS: [&str; 2] = ["m2", "m4"];

fn host(server: u64, clock_ms: u64, draws: &mut Draws) -> Value {
    let mode = ["SERVING", "SERVING", "SERVING", "DRAINING", "DELETED"][draws.below(5) as usize];
    let started = if draws.one_in(2) { json!(null) } else { json!((clock_ms / 1000) as f64) };
    json!({"server": 900 + server, "az": ZONES[(server % 3) as usize], "sku": KINDS[(server % 2) as usize],
        "group": server, "mode": mode, "share": 1.0 + (server % 2) as f64, "lastStartS": started})
}

fn complete_list(planner: u64, how: &str) -> Value {
    let host = |server: u64| {
        json!({"server": 900 + server, "az": ZONES[(server % 3) as usize],
            "sku": KINDS[(server % 2) as usize], "group": server, "mode": "SERVING",
            "share": 1.0 + (server % 2) as f64, "lastStartS": null})
    };
    json!({"verb": "DISCOVERY", "planner": planner, "how": how, "hosts": (0..SERVERS).map(host).collect::<Vec<_>>()})
}

/// The share of attempts that fail at a server, in percent: some fail for a while, all are overloaded for a while.
fn failure_percent(server: u64, clock_ms: u64) -> u64 {
    let second = clock_ms / 1000;
    match second {
        20..=40 if server % 6 == 0 => 90,
        50..=70 => 30,
        80..=95 if server % 3 == 1 => 100,
        _ => 1,
    }
}

fn outcome_report(planner: u64, server: u64, clock_ms: u64, draws: &mut Draws) -> Value {
    let attempts = 4 + draws.below(30);
    let errors = (attempts * failure_percent(server, clock_ms) + draws.below(100)) / 100;
    let overloaded = (50..=70).contains(&(clock_ms / 1000));
    let elapsed = if overloaded { 0.9 } else { 0.05 } + draws.below(100) as f64 / 1000.0;
    let metrics = json!([draws.below(9), draws.below(100) as f64 / 100.0, 20.0 + draws.below(60) as f64]);
    json!({"verb": "ROUNDUP", "planner": planner, "az": ZONES[draws.below(3) as usize], "server": 900 + server,
        "n": attempts, "errors": errors.min(attempts), "elapsedS": elapsed, "coversS": 1.0,
        "metrics": if draws.one_in(9) { json!(null) } else { metrics }})
}

/// Events that do not depend on the adapter's replies.
fn script(planner: u64, frame: u64, clock_ms: u64, draws: &mut Draws) -> Vec<Value> {
    let mut events = Vec::new();
    if frame == 0 {
        events.push(
            json!({"verb": "HELLO", "planner": planner, "rngSeed": 7 + planner, "facts": settings(planner)}),
        );
        events.push(complete_list(planner, "Persisted"));
    }
    if frame < PROXIES || draws.one_in(60) {
        let edge = if frame < PROXIES { frame } else { draws.below(PROXIES) };
        events.push(
            json!({"verb": "JOINED", "planner": planner, "az": ZONES[(edge % 3) as usize], "share": 3.0,
            "edge": edge, "set": draws.one_in(2)}),
        );
    }
    if frame % 20 == planner {
        for server in 0..SERVERS {
            events.push(outcome_report(planner, server, clock_ms, draws));
        }
        for edge in 0..PROXIES {
            let class = ["lookup", "order", "report", "unheard"][draws.below(4) as usize];
            events.push(json!({"verb": "TRAFFIC", "planner": planner, "edge": edge, "n": draws.below(40),
                "coversS": 1.0, "tierClass": class, "errors": draws.below(3)}));
        }
    }
    if draws.one_in(90) {
        let hosts: Vec<Value> = (0..3)
            .map(|_| {
                let s = draws.below(SERVERS + 4);
                host(s, clock_ms, draws)
            })
            .collect();
        events.push(json!({"verb": "DISCOVERY", "planner": planner, "how": "Partial", "hosts": hosts}));
    }
    if draws.one_in(400) {
        events.push(complete_list(planner, "Complete"));
    }
    if draws.one_in(500) {
        events.push(json!({"verb": "DISCOVERY", "planner": planner, "how": "Unavailable", "hosts": null}));
    }
    if draws.one_in(120) {
        events.push(json!({"verb": "LOST_STREAM", "planner": planner, "edge": draws.below(PROXIES)}));
    }
    if draws.one_in(200) {
        events.push(json!({"verb": "PEER", "planner": planner, "sender": 1, "payload": "6869"}));
        events.push(
            json!({"verb": "SLICE_LOAD", "planner": planner, "tierClass": "order", "table": 3, "n": 5}),
        );
        events.push(
            json!({"verb": "STORED_LINE", "planner": planner, "table": 3, "server": 901, "share": 1.0}),
        );
        events.push(json!({"verb": "GIVEN", "planner": planner, "table": 3, "set": true}));
        events.push(json!({"verb": "SOMETHING_NEW", "planner": planner}));
        events.push(json!({"verb": "TIMER", "planner": planner, "token": 999_999}));
    }
    if draws.one_in(900) && frame > 0 {
        events.push(json!({"verb": "TEARDOWN", "planner": planner}));
        events
            .push(json!({"verb": "HELLO", "planner": planner, "rngSeed": frame, "facts": settings(planner)}));
        events.push(complete_list(planner, "Persisted"));
    }
    events
}

const HEALTH_CHECK_RESULTS: [&str; 8] =
    ["served", "served", "served", "no_answer", "server_error", "turned_away", "no_connection", "called_off"];

/// What the simulator would answer to a reply, with the time at which it comes.
fn answers(reply: &str, clock_ms: u64, draws: &mut Draws) -> Vec<(u64, Value)> {
    let mut due = Vec::new();
    for action in reply.lines().map(|line| serde_json::from_str::<Value>(line).unwrap()) {
        let planner = &action["planner"];
        match action["verb"].as_str().unwrap() {
            "WAKE_ME" => {
                let after = (action["inS"].as_f64().unwrap() * 1000.0) as u64;
                due.push((
                    clock_ms + after,
                    json!({"verb": "TIMER", "planner": planner, "token": action["token"]}),
                ));
            }
            "FENCE_POST" => {
                for edge in 0..PROXIES {
                    if draws.one_in(10) {
                        continue;
                    }
                    let after = 100 + draws.below(300);
                    due.push((
                        clock_ms + after,
                        json!({"verb": "TOOK_EFFECT", "planner": planner, "edge": edge,
                        "gen": action["gen"], "elapsedS": after as f64 / 1000.0}),
                    ));
                }
            }
            "HEALTH_CHECK" => {
                let result = HEALTH_CHECK_RESULTS[draws.below(8) as usize];
                due.push((
                    clock_ms + 200,
                    json!({"verb": "ECHO", "planner": planner, "ending": result,
                    "elapsedS": 0.2, "server": action["server"], "metrics": [1, 0.5, 30.0]}),
                ));
            }
            "LISTEN" => due.push((clock_ms + 100, complete_list(planner.as_u64().unwrap(), "Complete"))),
            _ => {}
        }
    }
    due
}

fn replies() -> String {
    let (mut adapter, mut draws) = (Adapter::start(), Draws(20261203));
    let mut due: Vec<(u64, Value)> = Vec::new();
    let (mut transcript, mut verbs) = (String::new(), BTreeMap::<String, u64>::new());
    for frame in 0..FRAMES {
        let clock_ms = 1000 + frame * FRAME_MS;
        let mut events: Vec<Value> = (0..3).flat_map(|p| script(p, frame, clock_ms, &mut draws)).collect();
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= clock_ms);
        due = later;
        events.extend(ready.into_iter().map(|(_, event)| event));
        let reply = adapter.exchange(clock_ms, &events);
        for verb in reply.split("\"verb\":\"").skip(1) {
            *verbs.entry(verb.split('"').next().unwrap().to_string()).or_default() += 1;
        }
        due.extend(answers(&reply, clock_ms, &mut draws));
        let lines = reply.lines().count();
        writeln!(transcript, "frame {frame}: {lines} lines, digest {:016x}", digest(&reply)).unwrap();
        if frame < FRAMES_IN_FULL {
            transcript.push_str(&reply);
        }
    }
    for (verb, count) in verbs {
        writeln!(transcript, "{verb}: {count}").unwrap();
    }
    drop(adapter.input);
    assert!(adapter.process.wait().unwrap().success());
    transcript
}

#[test]
fn replies_to_the_seeded_script_match_the_snapshot() {
    let transcript = replies();
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(SNAPSHOT, &transcript).unwrap();
    }
    let expected = std::fs::read_to_string(SNAPSHOT).unwrap();
    let differs = transcript.lines().zip(expected.lines()).position(|(new, old)| new != old);
    assert!(differs.is_none(), "line {differs:?} differs from {SNAPSHOT}");
    assert_eq!(transcript.len(), expected.len());
}
