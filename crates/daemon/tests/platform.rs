//! The real program on loopback, among stand-ins for the platform: discovery, a server, a collector, proxies.

mod help;

use help::*;
use runloom_platform_protocol::framing::write_frame;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::mpsc::channel;

#[test]
fn a_proxy_is_led_through_drain_takeover_a_moved_discovery_and_the_end() {
    let (server, probes) = server();
    let (first, paths, lines) = discovery();
    let mut planner = Planner::start("led", &station(first, server));
    let mut stranger = Client::open(&planner, &[json!({"t": "PING"})]);
    assert_eq!(stranger.next(), Some(json!({"t": "PONG"})));
    assert_eq!(paths.recv_timeout(LONG).unwrap(), "/discovery/hosts?follow=1&since=41");

    let mut proxy = Client::open(&planner, &[joining(2, true)]);
    let told = proxy.until_row(2, json!(["s-2", 1.0]));
    assert_eq!(told[0]["replace"], json!(true));
    assert_eq!(told[0]["rows"].as_array().unwrap().len(), 3);
    let mut collector = Client::open(&planner, &[json!({"t": "SOURCE", "site": "a"})]);
    let met = |target: &str| {
        json!({"t": "LOAD", "site": "a", "target": target, "count": 2, "fail": 0, "mean": 40.0,
        "over": 1000.0, "util": {"queue": 1}})
    };
    collector.say(&[met("s-1"), met("nobody"), json!({"t": "LOAD"}), met("s-2")]);

    lines.send(list(42, &[member("s-2", server, "DRAINING")])).unwrap();
    proxy.until_row(2, json!(["s-2", 0.0]));

    // A new stream, while the old one is still open.
    let mut again = Client::open(&planner, &[joining(2, false)]);
    let told = again.until_row(2, json!(["s-3", 1.0]));
    assert_eq!(told[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
    while proxy.next().is_some() {}

    // Discovery moves, and goes on where the list stood; a broken file before that changes nothing.
    let (second, moved_paths, moved) = discovery();
    std::fs::write(&planner.file, "{").unwrap();
    planner.signal("HUP");
    std::fs::write(&planner.file, station(second, server).to_string()).unwrap();
    planner.signal("HUP");
    assert_eq!(moved_paths.recv_timeout(LONG).unwrap(), "/discovery/hosts?follow=1&since=42");
    // The same file once more: nothing starts over, so that the next order alters the table and is no whole
    // one.
    planner.signal("HUP");
    moved.send(list(43, &[member("s-3", server, "DRAINING")])).unwrap();
    let told = again.until_row(2, json!(["s-3", 0.0]));
    assert!(told.iter().all(|order| order.get("replace").is_none()), "{told:?}");

    assert!(probes.recv_timeout(LONG).unwrap().starts_with("GET /metrics/load HTTP/1.1"));
    planner.signal("TERM");
    assert_eq!(planner.child.wait().unwrap().code(), Some(0));
}

#[test]
fn bad_clients_are_refused_and_keep_nobody_out() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let planner = Planner::start("bad", &station(at, server));
    let silent: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(planner.at).unwrap()).collect();
    let mut proxy = Client::open(&planner, &[joining(1, true)]);
    proxy.until_row(1, json!(["s-1", 1.0]));
    // The listener waits while they are short: never more than the station allows.
    assert!(planner.descriptors() <= 256);
    let bad = [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0xee; 64], b"\x04\0\0\0{:}}".to_vec()];
    for bytes in bad {
        let mut client = Client::open(&planner, &[]);
        client.stream.write_all(&bytes).unwrap();
        // Some of it may have been on its way when the planner closed: then that is all there is.
        assert!(client.next().is_none_or(|m| m == json!({"t": "NACK"})));
        assert_eq!(client.next(), None);
    }
    for mut stream in silent {
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    }
    let mut last = Client::open(&planner, &[joining(3, true)]);
    last.until_row(3, json!(["s-1", 1.0]));
}

#[test]
fn all_proxies_of_a_fleet_fit_at_one_planner_of_the_least_descriptors() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let mut station = station(at, server);
    station["settings"]["familyInfo"]["proxies"] = json!(150);
    let planner = Planner::start("storm", &station);
    // All of them first, as after a restart; then each reads its table.
    let mut proxies: Vec<Client> = (0..150).map(|id| Client::open(&planner, &[joining(id, true)])).collect();
    for (id, proxy) in proxies.iter_mut().enumerate() {
        let told = proxy.until_row(id as u64, json!(["s-3", 1.0]));
        assert_eq!(told[0]["rows"].as_array().unwrap().len(), 3);
    }
    assert!((150..=256).contains(&planner.descriptors()), "{}", planner.descriptors());
    assert!(planner.peak_kib() < 32 << 10, "{} KiB", planner.peak_kib());
}

#[test]
fn a_proxy_that_does_not_read_loses_its_stream_and_holds_up_nobody() {
    let (server, _probes) = server();
    let (at, _paths, lines) = discovery();
    let planner = Planner::start("deaf", &station(at, server));
    let mut other = Client::open(&planner, &[joining(1, true)]);
    other.until_row(1, json!(["s-1", 1.0]));
    let mut deaf = Client::open(&planner, &[joining(2, true)]);
    let mut pings = Vec::new();
    (0..4096).for_each(|_| write_frame(&mut pings, br#"{"t":"PING"}"#));
    // The system keeps some megabytes of answers for a connection; a hundred are more than it ever does.
    let sent = (0..1600).take_while(|_| deaf.stream.write_all(&pings).is_ok()).count();
    assert!(sent < 1600, "a hundred megabytes of answers were taken in");
    lines.send(list(42, &[member("s-2", server, "DRAINING")])).unwrap();
    other.until_row(1, json!(["s-2", 0.0]));
    let mut again = Client::open(&planner, &[joining(2, false)]);
    let told = again.until_row(2, json!(["s-3", 1.0]));
    assert_eq!(told[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
    assert!(planner.peak_kib() < 32 << 10, "{} KiB", planner.peak_kib());
}

#[test]
fn a_planner_that_was_killed_starts_from_nothing_and_keeps_a_drain() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let mut station = station(at, server);
    let mut planner = Planner::start("killed", &station);
    let mut proxy = Client::open(&planner, &[joining(1, true)]);
    proxy.until_row(1, json!(["s-2", 1.0]));
    planner.signal("KILL");
    assert_eq!(planner.child.wait().unwrap().code(), None);
    while proxy.next().is_some() {}
    station["known"]["members"][1]["phase"] = json!("DRAINING");
    let planner = Planner::start("killed-again", &station);
    // It comes with the table of before.
    let mut proxy = Client::open(&planner, &[joining(1, false)]);
    let told = proxy.until_row(1, json!(["s-3", 1.0]));
    assert_eq!((&told[0]["replace"], &told[0]["rows"]), (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]])));
}

#[test]
fn probes_of_silent_servers_are_bounded_and_give_their_descriptors_back() {
    let (listener, server) = listen();
    let (told, probes) = channel();
    std::thread::spawn(move || {
        // Takes every query and answers none.
        let mut kept = Vec::new();
        for stream in listener.incoming() {
            kept.push(stream.unwrap());
            let _ = told.send(());
        }
    });
    let (at, _paths, _lines) = discovery();
    let mut station = station(at, server);
    let members: Vec<Value> = (0..120).map(|k| member(&format!("s-{k}"), server, "SERVING")).collect();
    station["known"]["members"] = json!(members);
    let planner = Planner::start("probes", &station);
    let before = planner.descriptors();
    // Every server once and most of them again; the watch may be dialled anew meanwhile.
    for _ in 0..200 {
        probes.recv_timeout(LONG).unwrap();
        let now = planner.descriptors();
        assert!(now <= before + 16 + 2, "{now} after {before}");
    }
}

#[test]
fn a_watch_that_is_silent_or_cannot_be_read_is_dialled_again() {
    let (listener, at) = listen();
    let (server, _probes) = server();
    let _planner = Planner::start("silent", &station(at, server));
    let mut kept = Vec::new();
    // Nothing at all; a head and then nothing; no discovery; and each time the planner comes back.
    for answer in ["", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "SSH-2.0-x\r\n", ""] {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(head(&mut stream).starts_with("GET /discovery/hosts?follow=1&since=41 "));
        stream.write_all(answer.as_bytes()).unwrap();
        kept.push(stream);
    }
}

#[test]
fn a_file_that_is_missing_or_broken_is_one_line_and_a_code() {
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
        let told = String::from_utf8(out.stderr).unwrap();
        assert_eq!((out.status.code(), told.lines().count()), (Some(1), 1), "{told}");
    }
    std::fs::remove_file(&broken).unwrap();
}
