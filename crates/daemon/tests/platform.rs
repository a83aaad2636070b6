//! Tests of `runloom platform` on the loopback interface, with a fake discovery agent, server, collector and proxies.

mod common;

use common::*;
use runloom_platform_protocol::framing::write_frame;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::mpsc::channel;

#[test]
fn a_proxy_gets_updates_through_a_drain_a_new_stream_moved_discovery_and_shutdown() {
    let (server, health_checks) = server();
    let discovery = Discovery::start();
    let mut planner = Planner::start("led", &bootstrap(discovery.address, server));
    let mut unidentified = Client::open(&planner, &[json!({"t": "PING"})]);

    assert_eq!(unidentified.next_message(), Some(json!({"t": "PONG"})));
    assert_eq!(discovery.paths.recv_timeout(TEST_TIMEOUT).unwrap(), "/discovery/hosts?follow=1&since=41");

    let mut proxy = Client::open(&planner, &[connect_message(2, true)]);
    let updates = proxy.read_until_entry(2, json!(["s-2", 1.0]));

    assert_eq!(updates[0]["replace"], json!(true));
    assert_eq!(updates[0]["rows"].as_array().unwrap().len(), 3);

    let mut collector = Client::open(&planner, &[json!({"t": "SOURCE", "site": "a"})]);
    let report = |target: &str| {
        json!({"t": "LOAD", "site": "a", "target": target, "count": 2, "fail": 0, "mean": 40.0,
        "over": 1000.0, "util": {"queue": 1}})
    };
    collector.send(&[report("s-1"), report("nobody"), json!({"t": "LOAD"}), report("s-2")]);

    discovery.lines.send(list(42, &[member("s-2", server, "DRAINING")])).unwrap();
    proxy.read_until_entry(2, json!(["s-2", 0.0]));

    // The proxy opens a new stream while its old one is still open.
    let mut reconnected = Client::open(&planner, &[connect_message(2, false)]);
    let updates = reconnected.read_until_entry(2, json!(["s-3", 1.0]));

    assert_eq!(updates[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));

    while proxy.next_message().is_some() {}

    // The planner continues from its revision at the new discovery agent. An invalid file before that changes nothing.
    let moved_discovery = Discovery::start();
    std::fs::write(&planner.bootstrap_file, "{").unwrap();
    planner.signal("HUP");
    std::fs::write(&planner.bootstrap_file, bootstrap(moved_discovery.address, server).to_string()).unwrap();
    planner.signal("HUP");

    assert_eq!(
        moved_discovery.paths.recv_timeout(TEST_TIMEOUT).unwrap(),
        "/discovery/hosts?follow=1&since=42"
    );

    // The same file again: the watch continues, and the next update changes the table without replacing it.
    planner.signal("HUP");
    moved_discovery.lines.send(list(43, &[member("s-3", server, "DRAINING")])).unwrap();
    let updates = reconnected.read_until_entry(2, json!(["s-3", 0.0]));

    assert!(updates.iter().all(|update| update.get("replace").is_none()), "{updates:?}");

    assert!(health_checks.recv_timeout(TEST_TIMEOUT).unwrap().starts_with("GET /metrics/load HTTP/1.1"));

    planner.signal("TERM");

    assert_eq!(planner.child.wait().unwrap().code(), Some(0));
}

#[test]
fn invalid_clients_are_rejected_and_do_not_block_others() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let planner = Planner::start("bad", &bootstrap(discovery.address, server));
    let silent: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(planner.address).unwrap()).collect();
    let mut proxy = Client::open(&planner, &[connect_message(1, true)]);
    proxy.read_until_entry(1, json!(["s-1", 1.0]));

    // The listener pauses while few descriptors are left, so there are never more than the bootstrap file allows.
    assert!(planner.open_descriptors() <= 256);

    let bad = [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0xee; 64], b"\x04\0\0\0{:}}".to_vec()];
    for bytes in bad {
        let mut client = Client::open(&planner, &[]);
        client.stream.write_all(&bytes).unwrap();
        // If input was left unread, a reset may arrive in place of the NACK.
        assert!(client.next_message().is_none_or(|m| m == json!({"t": "NACK"})));
        assert_eq!(client.next_message(), None);
    }
    for mut stream in silent {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    }
    let mut last = Client::open(&planner, &[connect_message(3, true)]);
    last.read_until_entry(3, json!(["s-1", 1.0]));
}

#[test]
fn one_planner_serves_all_proxies_of_a_fleet_with_the_minimum_of_descriptors() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let mut bootstrap = bootstrap(discovery.address, server);
    bootstrap["settings"]["familyInfo"]["proxies"] = json!(150);
    let planner = Planner::start("storm", &bootstrap);
    // All connect before any reads its table, as after a restart.
    let mut proxies: Vec<Client> =
        (0..150).map(|id| Client::open(&planner, &[connect_message(id, true)])).collect();
    for (id, proxy) in proxies.iter_mut().enumerate() {
        let updates = proxy.read_until_entry(id as u64, json!(["s-3", 1.0]));
        assert_eq!(updates[0]["rows"].as_array().unwrap().len(), 3);
    }

    assert!((150..=256).contains(&planner.open_descriptors()), "{}", planner.open_descriptors());
    assert!(planner.peak_memory_kib() < 32 << 10, "{} KiB", planner.peak_memory_kib());
}

#[test]
fn a_proxy_that_does_not_read_is_disconnected_and_does_not_delay_others() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let planner = Planner::start("deaf", &bootstrap(discovery.address, server));
    let mut other = Client::open(&planner, &[connect_message(1, true)]);
    other.read_until_entry(1, json!(["s-1", 1.0]));
    let mut stalled = Client::open(&planner, &[connect_message(2, true)]);
    let mut pings = Vec::new();
    (0..4096).for_each(|_| write_frame(&mut pings, br#"{"t":"PING"}"#));
    // The system buffers a few megabytes of replies per connection, far less than a hundred.
    let sent = (0..1600).take_while(|_| stalled.stream.write_all(&pings).is_ok()).count();

    assert!(sent < 1600, "a hundred megabytes of replies were buffered");

    discovery.lines.send(list(42, &[member("s-2", server, "DRAINING")])).unwrap();
    other.read_until_entry(1, json!(["s-2", 0.0]));
    let mut reconnected = Client::open(&planner, &[connect_message(2, false)]);
    let updates = reconnected.read_until_entry(2, json!(["s-3", 1.0]));

    assert_eq!(updates[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
    assert!(planner.peak_memory_kib() < 32 << 10, "{} KiB", planner.peak_memory_kib());
}

#[test]
fn a_planner_restarted_after_a_kill_keeps_a_drain() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let mut bootstrap = bootstrap(discovery.address, server);
    let mut planner = Planner::start("killed", &bootstrap);
    let mut proxy = Client::open(&planner, &[connect_message(1, true)]);
    proxy.read_until_entry(1, json!(["s-2", 1.0]));
    planner.signal("KILL");

    assert_eq!(planner.child.wait().unwrap().code(), None);

    while proxy.next_message().is_some() {}
    bootstrap["known"]["members"][1]["phase"] = json!("DRAINING");
    let planner = Planner::start("killed-again", &bootstrap);
    // The proxy connects with its earlier table.
    let mut proxy = Client::open(&planner, &[connect_message(1, false)]);
    let updates = proxy.read_until_entry(1, json!(["s-3", 1.0]));

    assert_eq!(
        (&updates[0]["replace"], &updates[0]["rows"]),
        (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]]))
    );
}

#[test]
fn health_checks_of_silent_servers_are_bounded_and_release_their_descriptors() {
    let (listener, server) = listen();
    let (sender, health_checks) = channel();
    std::thread::spawn(move || {
        // Accepts every connection and never replies.
        let mut kept = Vec::new();
        for stream in listener.incoming() {
            kept.push(stream.unwrap());
            let _ = sender.send(());
        }
    });
    let discovery = Discovery::start();
    let mut bootstrap = bootstrap(discovery.address, server);
    let members: Vec<Value> = (0..120).map(|k| member(&format!("s-{k}"), server, "SERVING")).collect();
    bootstrap["known"]["members"] = json!(members);
    let planner = Planner::start("probes", &bootstrap);
    let before = planner.open_descriptors();
    // Each server is checked once and most of them twice; the watch may be reconnected meanwhile.
    for _ in 0..200 {
        health_checks.recv_timeout(TEST_TIMEOUT).unwrap();
        let now = planner.open_descriptors();
        assert!(now <= before + 16 + 2, "{now} after {before}");
    }
}

#[test]
fn a_silent_or_unreadable_watch_is_reconnected() {
    let (listener, discovery) = listen();
    let (server, _health_checks) = server();
    let _planner = Planner::start("silent", &bootstrap(discovery, server));
    let mut kept = Vec::new();
    // No bytes at all; only a head; another protocol: the planner reconnects each time.
    for reply in ["", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "SSH-2.0-x\r\n", ""] {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(read_head(&mut stream).starts_with("GET /discovery/hosts?follow=1&since=41 "));
        stream.write_all(reply.as_bytes()).unwrap();
        kept.push(stream);
    }
}

#[test]
fn a_missing_or_invalid_file_gives_a_one_line_error_and_an_exit_code() {
    let run = |file: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_runloom"));
        command.arg("platform").env_remove("EDGE_CONFIG");
        file.map(|file| command.env("EDGE_CONFIG", file));
        command.output().unwrap()
    };
    let broken = std::env::temp_dir().join(format!("runloom-platform-broken-{}.json", std::process::id()));
    std::fs::write(&broken, "{\"seed\": 1}").unwrap();
    for file in [None, Some("/nowhere/at/all"), broken.to_str()] {
        let out = run(file);
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert_eq!((out.status.code(), stderr.lines().count()), (Some(1), 1), "{stderr}");
    }
    std::fs::remove_file(&broken).unwrap();
}
