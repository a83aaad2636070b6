//! Race conditions in `runloom platform`. Each test forces one unfavourable order of events: it suspends the planner,
//! or its fakes delay their output or wait for the planner's.

mod common;

use common::*;
use runloom_platform_protocol::framing::write_frame;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// A discovery agent that sends nothing by itself: the test gets the path and the stream of each watch.
fn discovery_agent() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let (listener, address) = listen();
    let (sender, watches) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let path = read_head(&mut stream).split(' ').nth(1).unwrap_or_default().to_string();
            if sender.send((path, stream)).is_err() {
                return;
            }
        }
    });
    (address, watches)
}

/// The head of the reply to a watch, and an empty line.
const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n";

/// A line of a watch as an HTTP chunk.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// The path that the planner requests to follow changes after a revision.
fn watch_path(revision: u64) -> String {
    format!("/discovery/hosts?follow=1&since={revision}")
}

/// A connected proxy that has received its table.
fn connected_proxy(planner: &Planner, id: u64) -> Client {
    let mut proxy = Client::open(planner, &[connect_message(id, true)]);
    proxy.read_until_entry(id, json!(["s-3", 1.0]));
    proxy
}

/// Fills the system's buffer of a planner's log, so that the planner blocks on the next line.
fn fill_log(log: &mut UnixStream) {
    log.set_nonblocking(true).unwrap();
    while log.write(&[b'.'; 512]).is_ok() {}
    while log.write(b".").is_ok() {}
    log.set_nonblocking(false).unwrap();
}

#[test]
fn input_that_arrived_while_the_planner_was_blocked_is_not_late() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let (log_reader, mut log_writer) = UnixStream::pair().unwrap();
    let log = Stdio::from(OwnedFd::from(log_writer.try_clone().unwrap()));
    let mut planner = Planner::spawn_with_log("stood", &bootstrap(discovery, server), log);
    let mut log_lines = BufReader::new(log_reader).lines().map(Result::unwrap);
    planner.address = logged_address(&log_lines.find(|line| line.contains("started")).unwrap());
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    log_lines.find(|line| line.contains("watching")).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    let mut unidentified = Client::open(&planner, &[json!({"t": "PING"})]);

    assert_eq!(unidentified.next_message(), Some(json!({"t": "PONG"})));

    // The log is not read, so the planner blocks within an iteration when it logs a line.
    fill_log(&mut log_writer);
    planner.signal("HUP");
    std::thread::sleep(Duration::from_millis(500));
    watch.write_all(&chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string())).unwrap();
    unidentified.send(&[connect_message(2, true)]);
    // Longer than the timeouts of a watch and of an unidentified connection.
    std::thread::sleep(Duration::from_millis(2900));
    std::thread::spawn(move || log_lines.for_each(drop));
    // Neither the watch nor the connection is closed while its input is unread.
    proxy.read_until_entry(1, json!(["s-2", 0.0]));
    let updates = unidentified.read_until_entry(2, json!(["s-3", 1.0]));

    assert_eq!(updates[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
    assert!(watches.try_recv().is_err(), "the watch was reconnected");
}

#[test]
fn the_previous_watch_is_read_to_its_end_when_discovery_moves_within_a_line() {
    let (server, _health_checks) = server();
    let (old, old_watches) = discovery_agent();
    let (new, new_watches) = discovery_agent();
    let planner = Planner::start("amid", &bootstrap(old, server));
    let (_, mut watch) = old_watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    let line = chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string());
    let (half, rest) = line.split_at(line.len() / 2);
    watch.write_all(half).unwrap();
    std::fs::write(&planner.bootstrap_file, bootstrap(new, server).to_string()).unwrap();
    planner.signal("HUP");
    // The planner watches the new agent, which has sent no list yet; the old one completes its line.
    let (path, mut new_watch) = new_watches.recv_timeout(TEST_TIMEOUT).unwrap();

    assert_eq!(path, watch_path(41));

    watch.write_all(rest).unwrap();
    proxy.read_until_entry(1, json!(["s-2", 0.0]));
    drop(watch);
    new_watch.write_all(WATCH_HEAD).unwrap();
    new_watch.write_all(&chunk(&list(43, &[member("s-3", server, "DRAINING")]).to_string())).unwrap();
    proxy.read_until_entry(1, json!(["s-3", 0.0]));
}

#[test]
fn a_file_half_written_at_the_signal_is_applied_once_it_is_complete() {
    let (server, _health_checks) = server();
    let (old, old_watches) = discovery_agent();
    let (new, new_watches) = discovery_agent();
    let planner = Planner::start("half", &bootstrap(old, server));
    let (_, mut watch) = old_watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let text = bootstrap(new, server).to_string();
    std::fs::write(&planner.bootstrap_file, &text[..text.len() / 2]).unwrap();
    planner.signal("HUP");
    planner.wait_for_log("kept as it is");
    // No second signal comes.
    std::fs::write(&planner.bootstrap_file, &text).unwrap();

    assert_eq!(new_watches.recv_timeout(TEST_TIMEOUT).unwrap().0, watch_path(41));
}

#[test]
fn after_two_signals_at_once_the_last_file_is_applied() {
    let (server, _health_checks) = server();
    let (old, old_watches) = discovery_agent();
    let (between, between_watches) = discovery_agent();
    let (new, new_watches) = discovery_agent();
    let planner = Planner::start("twice", &bootstrap(old, server));
    let (_, mut watch) = old_watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    planner.suspend();
    for discovery in [between, new] {
        std::fs::write(&planner.bootstrap_file, bootstrap(discovery, server).to_string()).unwrap();
        planner.signal("HUP");
    }
    planner.signal("CONT");

    assert_eq!(new_watches.recv_timeout(TEST_TIMEOUT).unwrap().0, watch_path(41));
    assert!(between_watches.try_recv().is_err());
}

#[test]
fn an_unreadable_list_line_is_requested_again() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let planner = Planner::start("line", &bootstrap(discovery, server));
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    // The unreadable line contains a drain. Without a new request, the readable line after it would hide that loss.
    let malformed = list(42, &[member("s-2", server, "DRAINING")]).to_string().replace("42", "4x");
    let next_line = list(43, &[member("s-9", server, "SERVING")]).to_string();
    watch.write_all(&[chunk(&malformed), chunk(&next_line)].concat()).unwrap();
    let (path, mut next_watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();

    assert_eq!(path, watch_path(41));

    let drain = list(43, &[member("s-2", server, "DRAINING"), member("s-9", server, "SERVING")]);
    next_watch.write_all(WATCH_HEAD).unwrap();
    next_watch.write_all(&chunk(&drain.to_string())).unwrap();
    proxy.read_until_entry(1, json!(["s-2", 0.0]));
}

/// Guards against a drain that is lost because the malformed entry of a change that contains it is skipped.
#[test]
fn a_change_with_a_malformed_entry_is_requested_again() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let planner = Planner::start("entry", &bootstrap(discovery, server));
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    // The malformed entry contains a drain. Without a new request, the line after it would hide that loss.
    let mut malformed = member("s-2", server, "DRAINING");
    malformed["phase"] = json!(7);
    let line = list(42, &[malformed, member("s-1", server, "DRAINING")]).to_string();
    let next_line = list(43, &[member("s-9", server, "SERVING")]).to_string();
    watch.write_all(&[chunk(&line), chunk(&next_line)].concat()).unwrap();
    proxy.read_until_entry(1, json!(["s-1", 0.0]));
    let (path, mut next_watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();

    assert_eq!(path, watch_path(41));

    let members = [("s-1", "DRAINING"), ("s-2", "DRAINING"), ("s-9", "SERVING")];
    let changes = list(43, &members.map(|(id, phase)| member(id, server, phase)));
    next_watch.write_all(WATCH_HEAD).unwrap();
    next_watch.write_all(&chunk(&changes.to_string())).unwrap();
    proxy.read_until_entry(1, json!(["s-2", 0.0]));
}

#[test]
fn an_agent_with_reset_revisions_is_asked_for_the_complete_list() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let planner = Planner::start("anew", &bootstrap(discovery, server));
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    let mut complete = list(3, &[member("s-1", server, "SERVING"), member("s-3", server, "SERVING")]);
    complete["complete"] = json!(true);
    watch.write_all(&chunk(&complete.to_string())).unwrap();
    // The planner waits in case the agent only lags behind revision 41; empty lines keep the watch alive.
    let (path, mut next_watch) = loop {
        match watches.recv_timeout(Duration::from_millis(500)) {
            Ok(watch) => break watch,
            Err(_) => watch.write_all(&chunk("")).unwrap(),
        }
    };

    assert_eq!(path, watch_path(0));

    next_watch.write_all(WATCH_HEAD).unwrap();
    next_watch.write_all(&chunk(&complete.to_string())).unwrap();
    proxy.read_until_entry(1, json!(["s-2", 0.0]));
}

#[test]
fn a_half_closed_client_gets_the_reply_to_its_ping() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let planner = Planner::start("halfclosed", &bootstrap(discovery.address, server));
    let mut client = Client::open(&planner, &[json!({"t": "PING"})]);
    client.stream.shutdown(Shutdown::Write).unwrap();

    assert_eq!((client.next_message(), client.next_message()), (Some(json!({"t": "PONG"})), None));
}

#[test]
fn a_planner_waits_for_an_address_that_is_in_use() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut bootstrap = bootstrap(discovery.address, server);
    bootstrap["listen"] = json!(listener.local_addr().unwrap().to_string());
    let planner = Planner::start_with_address_in_use("held", &bootstrap, listener);
    connected_proxy(&planner, 1);
    // The planner would fail if the address stayed in use; the signal ends the wait before that.
    let mut second = Planner::spawn("held-too", &bootstrap);
    second.wait_for_log("in use");
    second.signal("TERM");

    assert_eq!(second.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_termination_signal_among_other_events_ends_the_planner_and_its_connections() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let mut planner = Planner::start("term", &bootstrap(discovery, server));
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    planner.suspend();
    // One iteration gets all of this: an acknowledgement, connecting proxies of which one takes over a stream, a
    // partial message, a drain, SIGHUP and SIGTERM.
    watch.write_all(&chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string())).unwrap();
    proxy.send(&[json!({"t": "ACK", "id": 1, "seq": 60000, "ms": 1.0})]);
    let mut connecting: Vec<Client> =
        (1..4).map(|id| Client::open(&planner, &[connect_message(id, false)])).collect();
    connecting[2].stream.write_all(b"\x40\0\0\0{").unwrap();
    planner.signal("HUP");
    planner.signal("TERM");
    planner.signal("CONT");

    assert_eq!(planner.child.wait().unwrap().code(), Some(0));

    // Each connection is closed at once, whatever was pending, so that proxies connect to another planner.
    for client in connecting.iter_mut().chain([&mut proxy]) {
        while client.next_message().is_some() {}
    }
}

#[test]
fn clients_in_the_accept_queue_see_the_kill_and_connect_to_the_next_process() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let mut bootstrap = bootstrap(discovery.address, server);
    bootstrap["settings"]["familyInfo"]["proxies"] = json!(60);
    let mut planner = Planner::start("behind", &bootstrap);
    planner.suspend();
    let mut waiting: Vec<Client> =
        (0..60).map(|id| Client::open(&planner, &[connect_message(id, true)])).collect();
    planner.signal("KILL");

    assert_eq!(planner.child.wait().unwrap().code(), None);
    assert!(waiting.iter_mut().all(|client| client.next_message().is_none()));

    // At the same address, while the system still closes the old connections.
    bootstrap["listen"] = json!(planner.address.to_string());
    let restarted = Planner::start("behind-again", &bootstrap);
    let mut reconnected: Vec<Client> =
        (0..60).map(|id| Client::open(&restarted, &[connect_message(id, false)])).collect();
    for (id, proxy) in reconnected.iter_mut().enumerate() {
        proxy.read_until_entry(id as u64, json!(["s-3", 1.0]));
    }
}

#[test]
fn a_health_check_with_a_truncated_response_is_repeated_without_ejecting_its_server() {
    let (listener, server) = listen();
    let (sender, health_checks) = channel();
    std::thread::spawn(move || {
        for (k, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            read_head(&mut stream);
            // Every other response is truncated within its head.
            let complete = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":1}";
            stream
                .write_all(if k % 2 == 0 { &complete.as_bytes()[..9] } else { complete.as_bytes() })
                .unwrap();
            let _ = sender.send(k);
        }
    });
    let discovery = Discovery::start();
    let mut bootstrap = bootstrap(discovery.address, server);
    bootstrap["known"]["members"] =
        json!([member("s-3", server, "SERVING"), member("s-4", server, "SERVING")]);
    let planner = Planner::start("cut", &bootstrap);
    let mut proxy = connected_proxy(&planner, 1);
    // Each of the two servers is checked twice, and neither is ejected by then.
    for _ in 0..4 {
        health_checks.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    let mut second = Client::open(&planner, &[connect_message(2, true)]);
    let updates = second.read_until_entry(2, json!(["s-4", 1.0]));

    assert_eq!(updates[0]["rows"].as_array().map(Vec::len), Some(2));

    let mut bytes = Vec::new();
    write_frame(&mut bytes, br#"{"t":"PING"}"#);
    proxy.stream.write_all(&bytes).unwrap();
    let mut received: Vec<Value> = Vec::new();
    while received.last() != Some(&json!({"t": "PONG"})) {
        received.push(proxy.next_message().unwrap());
    }

    assert!(received.iter().all(|update| !update.to_string().contains("0.0")), "{received:?}");
}

#[test]
fn a_proxy_that_reconnects_during_a_drain_gets_a_table_without_that_server() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let planner = Planner::start("rejoin", &bootstrap(discovery, server));
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let proxy = connected_proxy(&planner, 1);
    // The end of the old stream, the drain and the new stream reach the planner in one iteration.
    planner.suspend();
    drop(proxy);
    watch.write_all(&chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string())).unwrap();
    let mut reconnected = Client::open(&planner, &[connect_message(1, false)]);
    planner.signal("CONT");
    let updates = reconnected.read_until_entry(1, json!(["s-3", 1.0]));

    assert_eq!(
        (&updates[0]["replace"], &updates[0]["rows"]),
        (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]]))
    );
}

#[test]
fn of_two_simultaneous_streams_one_gets_the_table_and_the_other_is_closed() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let planner = Planner::start("both", &bootstrap(discovery.address, server));
    planner.suspend();
    let mut streams = [0, 1].map(|_| Client::open(&planner, &[connect_message(1, true)]));
    planner.signal("CONT");
    let first_messages: Vec<Option<Value>> = streams.iter_mut().map(Client::next_message).collect();

    assert_eq!(first_messages.iter().filter(|first| first.is_none()).count(), 1, "{first_messages:?}");
    assert!(
        first_messages.iter().flatten().all(|first| first["replace"] == json!(true)),
        "{first_messages:?}"
    );
}

#[test]
fn a_repeated_complete_list_removes_no_server_twice() {
    let (server, _health_checks) = server();
    let (discovery, watches) = discovery_agent();
    let planner = Planner::start("whole", &bootstrap(discovery, server));
    let (_, mut watch) = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    watch.write_all(WATCH_HEAD).unwrap();
    let mut proxy = connected_proxy(&planner, 1);
    let complete = |revision| {
        let mut complete =
            list(revision, &[member("s-1", server, "SERVING"), member("s-3", server, "SERVING")]);
        complete["complete"] = json!(true);
        chunk(&complete.to_string())
    };
    watch.write_all(&complete(42)).unwrap();
    proxy.read_until_entry(1, json!(["s-2", 0.0]));
    let drain = chunk(&list(44, &[member("s-3", server, "DRAINING")]).to_string());
    watch.write_all(&[complete(42), complete(43), drain].concat()).unwrap();
    let updates = proxy.read_until_entry(1, json!(["s-3", 0.0]));

    assert!(updates.iter().all(|update| !update.to_string().contains("s-2")), "{updates:?}");
}

#[test]
fn a_stream_with_an_overdue_ack_or_a_partial_message_is_closed_and_others_continue() {
    let (server, _health_checks) = server();
    let discovery = Discovery::start();
    let mut bootstrap = bootstrap(discovery.address, server);
    // A short queue and transit time make the acknowledgement timeout short.
    bootstrap["settings"]["familyInfo"]["backlog"] = json!(2000.0);
    bootstrap["settings"]["familyInfo"]["lateMostS"] = json!(0.1);
    let planner = Planner::start("mute", &bootstrap);
    let mut other = connected_proxy(&planner, 1);
    let mut half_sent = connected_proxy(&planner, 2);
    half_sent.stream.write_all(b"\x40\0\0\0{").unwrap();
    // It receives its table and sends nothing more, like a machine that has crashed.
    let mut unresponsive = Client::open(&planner, &[connect_message(3, true)]);

    assert_eq!(unresponsive.next_message().unwrap()["replace"], json!(true));

    while unresponsive.next_message().is_some() {}
    while half_sent.next_message().is_some() {}
    discovery.lines.send(list(42, &[member("s-2", server, "DRAINING")])).unwrap();
    other.read_until_entry(1, json!(["s-2", 0.0]));
}
