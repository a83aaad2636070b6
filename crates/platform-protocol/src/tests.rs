//! Unit tests of the core, and their common helpers.

mod bootstrap;
mod endpoint_list;
mod endpoint_watch;
mod framing;
mod health_check;
mod message;
mod platform;
mod session;
mod table_sync;
mod termination;
mod untrusted_input;

use crate::bootstrap::{BootstrapConfig, EnvironmentDefaults};
use crate::endpoint_list::{EndpointList, ListSource};
use crate::framing::{write_frame, FrameError, FrameReader, MAX_FIRST_MESSAGE_BYTES, MAX_MESSAGE_BYTES};
use crate::health_check::{HealthCheck, HealthCheckOutcome, HealthCheckResponse};
use crate::message::{parse, MalformedMessage, Message};
use crate::session::{ConnectionId, SessionCounts, Sessions, IDENTIFICATION_TIMEOUT};
use crate::table_sync::TableSync;
use crate::update_message::UpdatePart;
use crate::watch_reader::WatchReader;
use crate::*;
use proptest::prelude::*;
use runloom_controller::endpoint::HealthState;
use runloom_controller::{
    Command, EjectionReport, EndpointUpdate, Event, HealthCheckResult, ListedState, ProxyId, RetryPolicy,
    ServerId,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl PlatformPlanner {
    /// Steps the core with all input up to `now` handled.
    fn step_at(&mut self, now: Duration) -> Vec<Action> {
        self.step(now, now)
    }
}

/// Time of the first step on the controller's clock: one hour after its zero.
const START: Duration = ms(3_600_000);
/// Unix time of the clock's zero, milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

/// Encodes messages as frames.
fn framed(messages: &[Value]) -> Vec<u8> {
    let mut out = Vec::new();
    messages.iter().for_each(|message| write_frame(&mut out, message.to_string().as_bytes()));
    out
}

/// Decodes complete frames into their messages.
fn unframed(bytes: &[u8]) -> Vec<Value> {
    let mut reader = FrameReader::new(MAX_MESSAGE_BYTES);
    reader.push(bytes);
    std::iter::from_fn(|| reader.next_message().unwrap()).collect()
}

fn member(id: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m2", "cell": 3, "phase": phase,
        "size": 1.0, "up_since_ms": 0})
}

fn list(revision: u64, complete: bool, members: &[Value]) -> Vec<u8> {
    json!({"revision": revision, "complete": complete, "members": members}).to_string().into_bytes()
}

fn settings() -> Value {
    json!({"balancers": 1, "classes": [{"name": "lookup", "aimS": 0.5, "credit": 1.0}, {"name": "order"}],
        "familyInfo": {"backlog": 4000.0, "channelRate": 2000.0, "overhead": 4.0, "proxies": 20,
            "levelKind": "none"},
        "limits": {"probing": true}, "stats": {"fields": ["q", "lat_ms"], "how": "answers"},
        "zones": ["a", "b"], "rules": {"drainGraceS": 2.0, "coldFrom": 0.5, "warmAfterS": 1.0}})
}

fn bootstrap() -> BootstrapConfig {
    let known = json!({"revision": 40, "complete": true, "members": [member("s-1", "SERVING"),
        member("s-2", "SERVING"), member("s-3", "SERVING")]});
    let text = json!({"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f",
        "limits": {"sockets": 256, "memory_mb": 32}, "known": known, "settings": settings()});
    BootstrapConfig::parse(&text.to_string(), EnvironmentDefaults::default()).unwrap()
}

/// A core that has handled its cached list of three servers, at time [`START`].
fn platform() -> PlatformPlanner {
    let mut platform = PlatformPlanner::new(&bootstrap(), EPOCH, 100);
    platform.step_at(START);
    platform
}

fn names() -> NameRegistry {
    platform().names
}

fn connect_message(id: u64) -> Value {
    json!({"t": "SUBSCRIBE", "id": id, "site": "a", "rps": 2.0, "new": true})
}

/// Connects a proxy and steps the core; returns the step's actions.
fn connect(platform: &mut PlatformPlanner, conn: ConnectionId, id: u64, now: Duration) -> Vec<Action> {
    open(platform, conn, &[connect_message(id)], now);
    platform.step_at(now)
}

/// Opens a connection and passes the core these messages from it.
fn open(platform: &mut PlatformPlanner, conn: ConnectionId, messages: &[Value], now: Duration) {
    platform.handle_opened(conn, now);
    receive(platform, conn, messages, now);
}

/// Passes the core messages from an open connection.
fn receive(platform: &mut PlatformPlanner, conn: ConnectionId, messages: &[Value], now: Duration) {
    platform.handle_bytes(conn, &framed(messages), now);
}

/// Passes the core a complete list.
fn receive_list(platform: &mut PlatformPlanner, revision: u64, members: &[Value], now: Duration) {
    platform.handle_list_line(&list(revision, true, members), now).unwrap();
}

/// Passes the core changes of the list.
fn receive_changes(platform: &mut PlatformPlanner, revision: u64, members: &[Value], now: Duration) {
    platform.handle_list_line(&list(revision, false, members), now).unwrap();
}

fn collector_message(zone: &str) -> Value {
    json!({"t": "SOURCE", "site": zone})
}

fn acknowledgement(proxy: u64, ack_token: u64) -> Value {
    json!({"t": "ACK", "id": proxy, "seq": ack_token, "ms": 12.0})
}

fn arrivals(proxy: u64) -> Value {
    json!({"t": "RATE", "id": proxy, "lane": "lookup", "count": 1, "fail": 0, "over": 9.0})
}

fn ack_token(update: &Value) -> Option<u64> {
    update["stamp"].as_u64()
}

fn last_ack_token(updates: &[Value]) -> u64 {
    updates.last().and_then(ack_token).unwrap()
}

/// The messages written to a connection.
fn written(actions: &[Action], to: ConnectionId) -> Vec<Value> {
    let bytes = actions.iter().filter_map(|action| match action {
        Action::Write { conn, bytes } if *conn == to => Some(bytes.as_slice()),
        _ => None,
    });
    unframed(&bytes.collect::<Vec<_>>().concat())
}

fn is_closed(actions: &[Action], conn: ConnectionId) -> bool {
    actions.contains(&Action::Close { conn })
}

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
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

fn valid_messages() -> Vec<Value> {
    let load = json!({"t": "LOAD", "site": "a", "target": "s-1", "count": 12, "fail": 3, "mean": 41.5,
        "over": 1000.0,
        "util": {"queue": 7, "latency_ms": 61.0}});
    let rate = json!({"t": "RATE", "id": 17, "lane": "lookup", "count": 19, "fail": 0, "over": 1000.0});
    vec![
        load,
        rate,
        json!({"t": "ACK", "id": 17, "seq": 905, "ms": 310.4}),
        connect_message(17),
        json!({"t": "SOURCE", "site": "b"}),
    ]
}
