//! Snapshot of the adapter's replies to a seeded sequence of batches, byte for byte.
//!
//! The sequence has every kind of event for three planners with different settings, and responses to the adapter's own
//! requests (timers, health checks, acknowledgements, endpoint lists). The snapshot holds a digest of each reply, and
//! the first replies in full. `UPDATE_SNAPSHOTS=1` rewrites it.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const BATCH_COUNT: u64 = 3000;
const FULL_REPLY_COUNT: u64 = 60;
const BATCH_INTERVAL_MS: u64 = 50;
const SERVER_COUNT: u64 = 24;
const PROXY_COUNT: u64 = 12;
const SNAPSHOT_PATH: &str = "tests/snapshots/adapter-replies.txt";

/// Linear congruential generator with Knuth's MMIX constants. It is written out here so that the sequence of events
/// never changes.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % bound
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// 64-bit FNV-1a hash.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf29ce484222325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3))
}

/// An adapter process, and its pipes.
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

    /// Sends a batch and returns the reply, up to and including its end line.
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

/// Settings of a planner; those of the three planners differ.
fn settings(planner: u64) -> Value {
    let class = |name: &str, aim: f64, credit: f64| {
        json!({"name": name, "aimS": aim, "hardLimitS": 3.0 * aim, "credit": credit, "lateWorth": 0.1,
            "repeat": "repeatable", "group": "all", "windowS": 5.0})
    };
    json!({"balancers": planner + 1, "selfIndex": 0, "tickS": 0.002,
        "registryMode": if planner == 1 { "subscribe" } else { "automatic" }, "weightSource": "rough",
        "classes": [class("lookup", 0.4, 1.0), class("order", 0.6, 3.0), class("report", 0.9, 0.5)],
        "familyInfo": {"backlog": 4000.0, "channelRate": if planner == 0 { 400.0 } else { 4000.0 },
            "overhead": 4.0, "proxies": PROXY_COUNT, "levelKind": if planner == 2 { "none" } else { "rps" },
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

/// An entry of an endpoint list, in a random state.
fn listed_endpoint(server: u64, clock_ms: u64, rng: &mut Lcg) -> Value {
    let mode = ["SERVING", "SERVING", "SERVING", "DRAINING", "DELETED"][rng.below(5) as usize];
    let started = if rng.one_in(2) { json!(null) } else { json!((clock_ms / 1000) as f64) };
    json!({"server": 900 + server, "az": ZONES[(server % 3) as usize], "sku": KINDS[(server % 2) as usize],
        "group": server, "mode": mode, "share": 1.0 + (server % 2) as f64, "lastStartS": started})
}

/// An endpoint list with all servers ready.
fn complete_list(planner: u64, how: &str) -> Value {
    let ready_endpoint = |server: u64| {
        json!({"server": 900 + server, "az": ZONES[(server % 3) as usize],
            "sku": KINDS[(server % 2) as usize], "group": server, "mode": "SERVING",
            "share": 1.0 + (server % 2) as f64, "lastStartS": null})
    };
    json!({"verb": "DISCOVERY", "planner": planner, "how": how,
        "hosts": (0..SERVER_COUNT).map(ready_endpoint).collect::<Vec<_>>()})
}

/// Percentage of attempts that fail at a server: some servers fail for a while, and all are overloaded for a while.
fn failure_percent(server: u64, clock_ms: u64) -> u64 {
    let second = clock_ms / 1000;
    match second {
        20..=40 if server % 6 == 0 => 90,
        50..=70 => 30,
        80..=95 if server % 3 == 1 => 100,
        _ => 1,
    }
}

fn outcome_report(planner: u64, server: u64, clock_ms: u64, rng: &mut Lcg) -> Value {
    let attempts = 4 + rng.below(30);
    let errors = (attempts * failure_percent(server, clock_ms) + rng.below(100)) / 100;
    let is_overloaded = (50..=70).contains(&(clock_ms / 1000));
    let elapsed = if is_overloaded { 0.9 } else { 0.05 } + rng.below(100) as f64 / 1000.0;
    let metrics = json!([rng.below(9), rng.below(100) as f64 / 100.0, 20.0 + rng.below(60) as f64]);
    json!({"verb": "ROUNDUP", "planner": planner, "az": ZONES[rng.below(3) as usize], "server": 900 + server,
        "n": attempts, "errors": errors.min(attempts), "elapsedS": elapsed, "coversS": 1.0,
        "metrics": if rng.one_in(9) { json!(null) } else { metrics }})
}

/// Events of one batch that do not depend on the adapter's replies.
fn scripted_events(planner: u64, batch_index: u64, clock_ms: u64, rng: &mut Lcg) -> Vec<Value> {
    let mut events = Vec::new();
    if batch_index == 0 {
        events.push(
            json!({"verb": "HELLO", "planner": planner, "rngSeed": 7 + planner, "facts": settings(planner)}),
        );
        events.push(complete_list(planner, "Persisted"));
    }
    if batch_index < PROXY_COUNT || rng.one_in(60) {
        let proxy = if batch_index < PROXY_COUNT { batch_index } else { rng.below(PROXY_COUNT) };
        events.push(
            json!({"verb": "JOINED", "planner": planner, "az": ZONES[(proxy % 3) as usize], "share": 3.0,
            "edge": proxy, "set": rng.one_in(2)}),
        );
    }
    if batch_index % 20 == planner {
        for server in 0..SERVER_COUNT {
            events.push(outcome_report(planner, server, clock_ms, rng));
        }
        for proxy in 0..PROXY_COUNT {
            let class = ["lookup", "order", "report", "unheard"][rng.below(4) as usize];
            events.push(json!({"verb": "TRAFFIC", "planner": planner, "edge": proxy, "n": rng.below(40),
                "coversS": 1.0, "tierClass": class, "errors": rng.below(3)}));
        }
    }
    if rng.one_in(90) {
        let hosts: Vec<Value> = (0..3)
            .map(|_| {
                let server = rng.below(SERVER_COUNT + 4);
                listed_endpoint(server, clock_ms, rng)
            })
            .collect();
        events.push(json!({"verb": "DISCOVERY", "planner": planner, "how": "Partial", "hosts": hosts}));
    }
    if rng.one_in(400) {
        events.push(complete_list(planner, "Complete"));
    }
    if rng.one_in(500) {
        events.push(json!({"verb": "DISCOVERY", "planner": planner, "how": "Unavailable", "hosts": null}));
    }
    if rng.one_in(120) {
        events.push(json!({"verb": "LOST_STREAM", "planner": planner, "edge": rng.below(PROXY_COUNT)}));
    }
    if rng.one_in(200) {
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
    if rng.one_in(900) && batch_index > 0 {
        events.push(json!({"verb": "TEARDOWN", "planner": planner}));
        events.push(
            json!({"verb": "HELLO", "planner": planner, "rngSeed": batch_index, "facts": settings(planner)}),
        );
        events.push(complete_list(planner, "Persisted"));
    }
    events
}

const HEALTH_CHECK_RESULTS: [&str; 8] =
    ["served", "served", "served", "no_answer", "server_error", "turned_away", "no_connection", "called_off"];

/// The simulator's responses to a reply, each with the time in milliseconds at which it is sent.
fn simulated_responses(reply: &str, clock_ms: u64, rng: &mut Lcg) -> Vec<(u64, Value)> {
    let mut scheduled = Vec::new();
    for action in reply.lines().map(|line| serde_json::from_str::<Value>(line).unwrap()) {
        let planner = &action["planner"];
        match action["verb"].as_str().unwrap() {
            "WAKE_ME" => {
                let after = (action["inS"].as_f64().unwrap() * 1000.0) as u64;
                scheduled.push((
                    clock_ms + after,
                    json!({"verb": "TIMER", "planner": planner, "token": action["token"]}),
                ));
            }
            "FENCE_POST" => {
                for proxy in 0..PROXY_COUNT {
                    if rng.one_in(10) {
                        continue;
                    }
                    let after = 100 + rng.below(300);
                    scheduled.push((
                        clock_ms + after,
                        json!({"verb": "TOOK_EFFECT", "planner": planner, "edge": proxy,
                        "gen": action["gen"], "elapsedS": after as f64 / 1000.0}),
                    ));
                }
            }
            "HEALTH_CHECK" => {
                let result = HEALTH_CHECK_RESULTS[rng.below(8) as usize];
                scheduled.push((
                    clock_ms + 200,
                    json!({"verb": "ECHO", "planner": planner, "ending": result,
                    "elapsedS": 0.2, "server": action["server"], "metrics": [1, 0.5, 30.0]}),
                ));
            }
            "LISTEN" => {
                scheduled.push((clock_ms + 100, complete_list(planner.as_u64().unwrap(), "Complete")))
            }
            _ => {}
        }
    }
    scheduled
}

/// Runs the adapter on all batches; returns the replies as the snapshot has them.
fn record_transcript() -> String {
    let (mut adapter, mut rng) = (Adapter::start(), Lcg(20261203));
    let mut scheduled: Vec<(u64, Value)> = Vec::new();
    let (mut transcript, mut verb_counts) = (String::new(), BTreeMap::<String, u64>::new());
    for batch_index in 0..BATCH_COUNT {
        let clock_ms = 1000 + batch_index * BATCH_INTERVAL_MS;
        let mut events: Vec<Value> =
            (0..3).flat_map(|planner| scripted_events(planner, batch_index, clock_ms, &mut rng)).collect();
        let (due_now, due_later): (Vec<_>, Vec<_>) =
            scheduled.into_iter().partition(|(at, _)| *at <= clock_ms);
        scheduled = due_later;
        events.extend(due_now.into_iter().map(|(_, event)| event));
        let reply = adapter.exchange(clock_ms, &events);
        for verb in reply.split("\"verb\":\"").skip(1) {
            *verb_counts.entry(verb.split('"').next().unwrap().to_string()).or_default() += 1;
        }
        scheduled.extend(simulated_responses(&reply, clock_ms, &mut rng));
        let lines = reply.lines().count();
        writeln!(transcript, "frame {batch_index}: {lines} lines, digest {:016x}", digest(&reply)).unwrap();
        if batch_index < FULL_REPLY_COUNT {
            transcript.push_str(&reply);
        }
    }
    for (verb, count) in verb_counts {
        writeln!(transcript, "{verb}: {count}").unwrap();
    }
    drop(adapter.input);
    assert!(adapter.process.wait().unwrap().success());
    transcript
}

#[test]
fn replies_to_the_seeded_batches_match_the_snapshot() {
    let transcript = record_transcript();
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(SNAPSHOT_PATH, &transcript).unwrap();
    }
    let expected = std::fs::read_to_string(SNAPSHOT_PATH).unwrap();
    let first_difference = transcript.lines().zip(expected.lines()).position(|(new, old)| new != old);
    assert!(first_difference.is_none(), "line {first_difference:?} differs from {SNAPSHOT_PATH}");
    assert_eq!(transcript.len(), expected.len());
}
