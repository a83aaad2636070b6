//! Endings at rare moments, in the built program: each test makes one bad order happen every time, by stopping
//! the planner, by what the stand-ins hold back, or by what they wait for.

mod help;

use help::*;
use runloom_platform_protocol::framing::write_frame;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// An agent of discovery that does nothing by itself: each watch it is asked for, with the path.
fn agent() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let (listener, at) = listen();
    let (told, asked) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let path = head(&mut stream).split(' ').nth(1).unwrap_or_default().to_string();
            if told.send((path, stream)).is_err() {
                return;
            }
        }
    });
    (at, asked)
}

const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n";

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

fn since(revision: u64) -> String {
    format!("/discovery/hosts?follow=1&since={revision}")
}

/// A proxy with its table, on a planner whose agent has begun its watch.
fn served(planner: &Planner, id: u64) -> Client {
    let mut proxy = Client::open(planner, &[joining(id, true)]);
    proxy.until_row(id, json!(["s-3", 1.0]));
    proxy
}

/// Fills what the system keeps of a planner's log, so that its next line makes it stand still.
fn fill(log: &mut UnixStream) {
    log.set_nonblocking(true).unwrap();
    while log.write(&[b'.'; 512]).is_ok() {}
    while log.write(b".").is_ok() {}
    log.set_nonblocking(false).unwrap();
}

#[test]
fn what_came_while_the_planner_stood_still_was_in_time() {
    let (server, _probes) = server();
    let (at, asked) = agent();
    let (near, mut far) = UnixStream::pair().unwrap();
    let log = Stdio::from(OwnedFd::from(far.try_clone().unwrap()));
    let mut planner = Planner::spawn_with("stood", &station(at, server), log);
    let mut log_lines = BufReader::new(near).lines().map(Result::unwrap);
    planner.at = address_told(&log_lines.find(|line| line.contains("started")).unwrap());
    let (_, mut watch) = asked.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    log_lines.find(|line| line.contains("watching")).unwrap();
    let mut proxy = served(&planner, 1);
    let mut newcomer = Client::open(&planner, &[json!({"t": "PING"})]);
    assert_eq!(newcomer.next(), Some(json!({"t": "PONG"})));
    // The log is read no further, and the planner has something to tell: it stands in the middle of a turn.
    fill(&mut far);
    planner.signal("HUP");
    std::thread::sleep(Duration::from_millis(500));
    watch.write_all(&chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string())).unwrap();
    newcomer.say(&[joining(2, true)]);
    // Past every time that the planner gives a watch or a newcomer.
    std::thread::sleep(Duration::from_millis(2900));
    std::thread::spawn(move || log_lines.for_each(drop));
    // Guards against a watch cut, and a newcomer refused, with their words unread.
    proxy.until_row(1, json!(["s-2", 0.0]));
    let told = newcomer.until_row(2, json!(["s-3", 1.0]));
    assert_eq!(told[0]["rows"], json!([["s-1", 1.0], ["s-3", 1.0]]));
    assert!(asked.try_recv().is_err(), "the watch was dialled anew");
}

#[test]
fn the_old_watch_counts_to_its_end_when_discovery_moves_amid_a_line() {
    let (server, _probes) = server();
    let (old, asked_old) = agent();
    let (new, asked_new) = agent();
    let planner = Planner::start("amid", &station(old, server));
    let (_, mut watch) = asked_old.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let mut proxy = served(&planner, 1);
    let line = chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string());
    let (half, rest) = line.split_at(line.len() / 2);
    watch.write_all(half).unwrap();
    std::fs::write(&planner.file, station(new, server).to_string()).unwrap();
    planner.signal("HUP");
    // The planner has turned to the new agent, who holds the list back; the old one ends its line.
    let (path, mut moved) = asked_new.recv_timeout(LONG).unwrap();
    assert_eq!(path, since(41));
    watch.write_all(rest).unwrap();
    proxy.until_row(1, json!(["s-2", 0.0]));
    drop(watch);
    moved.write_all(WATCH).unwrap();
    moved.write_all(&chunk(&list(43, &[member("s-3", server, "DRAINING")]).to_string())).unwrap();
    proxy.until_row(1, json!(["s-3", 0.0]));
}

#[test]
fn a_file_that_is_half_written_at_the_signal_is_taken_once_it_is_whole() {
    let (server, _probes) = server();
    let (old, asked_old) = agent();
    let (new, asked_new) = agent();
    let planner = Planner::start("half", &station(old, server));
    let (_, mut watch) = asked_old.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let text = station(new, server).to_string();
    std::fs::write(&planner.file, &text[..text.len() / 2]).unwrap();
    planner.signal("HUP");
    planner.until_told("kept as it is");
    // No second signal comes.
    std::fs::write(&planner.file, &text).unwrap();
    assert_eq!(asked_new.recv_timeout(LONG).unwrap().0, since(41));
}

#[test]
fn of_two_signals_at_once_the_last_file_holds() {
    let (server, _probes) = server();
    let (old, asked_old) = agent();
    let (between, asked_between) = agent();
    let (new, asked_new) = agent();
    let planner = Planner::start("twice", &station(old, server));
    let (_, mut watch) = asked_old.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    planner.stop();
    for at in [between, new] {
        std::fs::write(&planner.file, station(at, server).to_string()).unwrap();
        planner.signal("HUP");
    }
    planner.signal("CONT");
    assert_eq!(asked_new.recv_timeout(LONG).unwrap().0, since(41));
    assert!(asked_between.try_recv().is_err());
}

#[test]
fn a_line_that_cannot_be_read_is_asked_for_again() {
    let (server, _probes) = server();
    let (at, asked) = agent();
    let planner = Planner::start("line", &station(at, server));
    let (_, mut watch) = asked.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let mut proxy = served(&planner, 1);
    // A drain is in what can't be read; what comes behind it on this watch would hide that.
    let spoilt = list(42, &[member("s-2", server, "DRAINING")]).to_string().replace("42", "4x");
    let behind = list(43, &[member("s-9", server, "SERVING")]).to_string();
    watch.write_all(&[chunk(&spoilt), chunk(&behind)].concat()).unwrap();
    let (path, mut again) = asked.recv_timeout(LONG).unwrap();
    assert_eq!(path, since(41));
    let drain = list(43, &[member("s-2", server, "DRAINING"), member("s-9", server, "SERVING")]);
    again.write_all(WATCH).unwrap();
    again.write_all(&chunk(&drain.to_string())).unwrap();
    proxy.until_row(1, json!(["s-2", 0.0]));
}

#[test]
fn an_agent_whose_versions_are_counted_anew_is_asked_for_the_whole_list() {
    let (server, _probes) = server();
    let (at, asked) = agent();
    let planner = Planner::start("anew", &station(at, server));
    let (_, mut watch) = asked.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let mut proxy = served(&planner, 1);
    let mut whole = list(3, &[member("s-1", server, "SERVING"), member("s-3", server, "SERVING")]);
    whole["complete"] = json!(true);
    watch.write_all(&chunk(&whole.to_string())).unwrap();
    // An agent that lagged would have come to version 41 by then; empty lines keep the watch alive.
    let (path, mut again) = loop {
        match asked.recv_timeout(Duration::from_millis(500)) {
            Ok(asked) => break asked,
            Err(_) => watch.write_all(&chunk("")).unwrap(),
        }
    };
    assert_eq!(path, since(0));
    again.write_all(WATCH).unwrap();
    again.write_all(&chunk(&whole.to_string())).unwrap();
    proxy.until_row(1, json!(["s-2", 0.0]));
}

#[test]
fn who_asks_for_a_sign_of_life_and_closes_its_half_gets_it() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let planner = Planner::start("halfclosed", &station(at, server));
    let mut asking = Client::open(&planner, &[json!({"t": "PING"})]);
    asking.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!((asking.next(), asking.next()), (Some(json!({"t": "PONG"})), None));
}

#[test]
fn an_address_that_is_still_held_at_the_start_is_waited_for() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut station = station(at, server);
    station["listen"] = json!(held.local_addr().unwrap().to_string());
    let planner = Planner::start_held("held", &station, held);
    served(&planner, 1);
    // And one that never comes free is a fault, told in a line; the signal ends the wait before that.
    let mut second = Planner::spawn("held-too", &station);
    second.until_told("in use");
    second.signal("TERM");
    assert_eq!(second.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_signal_to_end_beside_all_else_ends_the_planner_and_its_connections() {
    let (server, _probes) = server();
    let (at, asked) = agent();
    let mut planner = Planner::start("term", &station(at, server));
    let (_, mut watch) = asked.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let mut proxy = served(&planner, 1);
    planner.stop();
    // All in one turn: bytes, a joining, a takeover, half a message, a drain, a moved discovery, the end.
    watch.write_all(&chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string())).unwrap();
    proxy.say(&[json!({"t": "ACK", "id": 1, "seq": 60000, "ms": 1.0})]);
    let mut joins: Vec<Client> = (1..4).map(|id| Client::open(&planner, &[joining(id, false)])).collect();
    joins[2].stream.write_all(b"\x40\0\0\0{").unwrap();
    planner.signal("HUP");
    planner.signal("TERM");
    planner.signal("CONT");
    assert_eq!(planner.child.wait().unwrap().code(), Some(0));
    // By the page proxies go elsewhere now: each sees the end at once, whatever it was owed.
    for client in joins.iter_mut().chain([&mut proxy]) {
        while client.next().is_some() {}
    }
}

#[test]
fn who_was_accepted_by_the_system_and_not_by_the_planner_sees_the_kill_and_joins_the_next() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let mut station = station(at, server);
    station["settings"]["familyInfo"]["proxies"] = json!(60);
    let mut planner = Planner::start("behind", &station);
    planner.stop();
    let mut waiting: Vec<Client> = (0..60).map(|id| Client::open(&planner, &[joining(id, true)])).collect();
    planner.signal("KILL");
    assert_eq!(planner.child.wait().unwrap().code(), None);
    assert!(waiting.iter_mut().all(|client| client.next().is_none()));
    // At the same address, while the ends of those connections are still with the system.
    station["listen"] = json!(planner.at.to_string());
    let again = Planner::start("behind-again", &station);
    let mut joined: Vec<Client> = (0..60).map(|id| Client::open(&again, &[joining(id, false)])).collect();
    for (id, proxy) in joined.iter_mut().enumerate() {
        proxy.until_row(id as u64, json!(["s-3", 1.0]));
    }
}

#[test]
fn a_probe_whose_answer_is_cut_is_asked_once_more_and_its_server_stays() {
    let (listener, server) = listen();
    let (told, cuts) = channel();
    std::thread::spawn(move || {
        for (k, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            head(&mut stream);
            // Every other answer is lost amid its head, by a reset: what was asked is not read to its end.
            let whole = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":1}";
            stream.write_all(if k % 2 == 0 { &whole.as_bytes()[..9] } else { whole.as_bytes() }).unwrap();
            let _ = told.send(k);
        }
    });
    let (at, _paths, _lines) = discovery();
    let mut station = station(at, server);
    station["known"]["members"] = json!([member("s-3", server, "SERVING"), member("s-4", server, "SERVING")]);
    let planner = Planner::start("cut", &station);
    let mut proxy = served(&planner, 1);
    // Two servers, each asked once and once more. By then neither is withdrawn: the next order of all is none.
    for _ in 0..4 {
        cuts.recv_timeout(LONG).unwrap();
    }
    let mut second = Client::open(&planner, &[joining(2, true)]);
    let told = second.until_row(2, json!(["s-4", 1.0]));
    assert_eq!(told[0]["rows"].as_array().map(Vec::len), Some(2));
    let mut bytes = Vec::new();
    write_frame(&mut bytes, br#"{"t":"PING"}"#);
    proxy.stream.write_all(&bytes).unwrap();
    let mut said: Vec<Value> = Vec::new();
    while said.last() != Some(&json!({"t": "PONG"})) {
        said.push(proxy.next().unwrap());
    }
    assert!(said.iter().all(|order| !order.to_string().contains("0.0")), "{said:?}");
}

#[test]
fn who_leaves_and_joins_amid_a_drain_gets_a_table_without_it() {
    let (server, _probes) = server();
    let (at, asked) = agent();
    let planner = Planner::start("rejoin", &station(at, server));
    let (_, mut watch) = asked.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let proxy = served(&planner, 1);
    // The end of its stream, the drain and its next stream wait for the planner together.
    planner.stop();
    drop(proxy);
    watch.write_all(&chunk(&list(42, &[member("s-2", server, "DRAINING")]).to_string())).unwrap();
    let mut again = Client::open(&planner, &[joining(1, false)]);
    planner.signal("CONT");
    let told = again.until_row(1, json!(["s-3", 1.0]));
    assert_eq!((&told[0]["replace"], &told[0]["rows"]), (&json!(true), &json!([["s-1", 1.0], ["s-3", 1.0]])));
}

#[test]
fn of_two_streams_that_join_at_once_one_has_the_table_and_the_other_its_end() {
    let (server, _probes) = server();
    let (at, _paths, _lines) = discovery();
    let planner = Planner::start("both", &station(at, server));
    planner.stop();
    let mut both = [0, 1].map(|_| Client::open(&planner, &[joining(1, true)]));
    planner.signal("CONT");
    let told: Vec<Option<Value>> = both.iter_mut().map(Client::next).collect();
    assert_eq!(told.iter().filter(|first| first.is_none()).count(), 1, "{told:?}");
    assert!(told.iter().flatten().all(|first| first["replace"] == json!(true)), "{told:?}");
}

#[test]
fn a_whole_list_told_again_takes_nobody_out_twice() {
    let (server, _probes) = server();
    let (at, asked) = agent();
    let planner = Planner::start("whole", &station(at, server));
    let (_, mut watch) = asked.recv_timeout(LONG).unwrap();
    watch.write_all(WATCH).unwrap();
    let mut proxy = served(&planner, 1);
    let whole = |revision| {
        let mut whole = list(revision, &[member("s-1", server, "SERVING"), member("s-3", server, "SERVING")]);
        whole["complete"] = json!(true);
        chunk(&whole.to_string())
    };
    watch.write_all(&whole(42)).unwrap();
    proxy.until_row(1, json!(["s-2", 0.0]));
    let drain = chunk(&list(44, &[member("s-3", server, "DRAINING")]).to_string());
    watch.write_all(&[whole(42), whole(43), drain].concat()).unwrap();
    let told = proxy.until_row(1, json!(["s-3", 0.0]));
    assert!(told.iter().all(|order| !order.to_string().contains("s-2")), "{told:?}");
}

#[test]
fn a_stream_that_owes_an_answer_or_half_a_message_is_ended_and_the_others_go_on() {
    let (server, _probes) = server();
    let (at, _paths, lines) = discovery();
    let mut station = station(at, server);
    // A short backlog and way: silence is told from slowness the sooner.
    station["settings"]["familyInfo"]["backlog"] = json!(2000.0);
    station["settings"]["familyInfo"]["lateMostS"] = json!(0.1);
    let planner = Planner::start("mute", &station);
    let mut other = served(&planner, 1);
    let mut half = served(&planner, 2);
    half.stream.write_all(b"\x40\0\0\0{").unwrap();
    // It has its table, answers no mark and says nothing more, as a machine that vanished.
    let mut mute = Client::open(&planner, &[joining(3, true)]);
    assert_eq!(mute.next().unwrap()["replace"], json!(true));
    while mute.next().is_some() {}
    while half.next().is_some() {}
    lines.send(list(42, &[member("s-2", server, "DRAINING")])).unwrap();
    other.until_row(1, json!(["s-2", 0.0]));
}
