//! Fakes of a planner's peers on the platform (discovery agent, server, proxies), and processes of the built program.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use runloom_platform_protocol::framing::{write_frame, FrameReader, MAX_MESSAGE_BYTES};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

/// Limit of every wait, longer than any step takes on a slow machine. No assertion depends on its value.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A listener on a free port of the loopback interface, and its address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads the head of an HTTP message, to the empty line or the end of the stream.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// A discovery agent that accepts every watch by itself.
pub struct Discovery {
    pub address: SocketAddr,
    /// The path of each requested watch.
    pub paths: Receiver<String>,
    /// Lines to send on the latest watch.
    pub lines: Sender<Value>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let (listener, address) = listen();
        let (path_sender, paths) = channel();
        let (lines, line_receiver) = channel::<Value>();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let path = read_head(&mut stream).split(' ').nth(1).unwrap_or_default().to_string();
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                let _ = path_sender.send(path);
                if serve_watch(&mut stream, &line_receiver).is_err() {
                    return;
                }
            }
        });
        Discovery { address, paths, lines }
    }
}

/// Writes the lines to a watch, and empty lines in between, until its connection ends. Fails once the test has ended.
fn serve_watch(stream: &mut TcpStream, lines: &Receiver<Value>) -> Result<(), RecvTimeoutError> {
    loop {
        let line = match lines.recv_timeout(Duration::from_millis(500)) {
            Ok(line) => format!("{line}\n"),
            Err(RecvTimeoutError::Timeout) => "\n".into(),
            Err(disconnected) => return Err(disconnected),
        };
        // In two writes, so that the planner has to join partial chunks.
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        let (first, second) = chunk.split_at(chunk.len() / 2);
        if stream.write_all(first.as_bytes()).and_then(|()| stream.write_all(second.as_bytes())).is_err() {
            return Ok(());
        }
    }
}

/// A server that answers every health check, and the heads of the requests.
pub fn server() -> (SocketAddr, Receiver<String>) {
    let (listener, address) = listen();
    let (sender, health_checks) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = sender.send(read_head(&mut stream));
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":1}");
        }
    });
    (address, health_checks)
}

/// A member of discovery's list: a server.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0, "phase": phase,
        "size": 1.0, "up_since_ms": 0})
}

/// A line of a watch: an incomplete list, which changes only these members.
pub fn list(revision: u64, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": false, "members": members})
}

/// A bootstrap file with three servers at one address, known up to revision 41.
pub fn bootstrap(discovery: SocketAddr, server: SocketAddr) -> Value {
    let members: Vec<Value> = ["s-1", "s-2", "s-3"].iter().map(|id| member(id, server, "SERVING")).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"revision": 41, "complete": true, "members": members},
        "settings": {"balancers": 1, "classes": [{"name": "lookup", "aimS": 0.5, "credit": 1.0}],
            "familyInfo": {"backlog": 4000.0, "channelRate": 2000.0, "overhead": 4.0, "proxies": 4,
                "levelKind": "none"},
            "limits": {"probing": true}, "stats": {"fields": ["q"], "how": "answers"}, "zones": ["a"],
            "rules": {"drainGraceS": 2.0, "coldFrom": 0.5, "warmAfterS": 1.0}}})
}

/// The address on which a planner listens, from its log line `started`.
pub fn logged_address(line: &str) -> SocketAddr {
    let address = line.split("at=").nth(1).and_then(|rest| rest.split_whitespace().next());
    address.and_then(|address| address.parse().ok()).expect(line)
}

/// A planner process on the platform; killed at the end of the test.
pub struct Planner {
    pub child: Child,
    /// Its address for proxies; port 0 until it is known to listen.
    pub address: SocketAddr,
    pub bootstrap_file: PathBuf,
    /// Lines of its log.
    log: Receiver<String>,
}

impl Planner {
    /// Starts a planner and waits until it listens.
    pub fn start(name: &str, bootstrap: &Value) -> Planner {
        let mut planner = Planner::spawn(name, bootstrap);
        planner.wait_until_listening();
        planner
    }

    /// Starts a planner while its address is in use; the listener is closed once the planner has logged that.
    pub fn start_with_address_in_use(name: &str, bootstrap: &Value, listener: TcpListener) -> Planner {
        let mut planner = Planner::spawn(name, bootstrap);
        planner.wait_for_log("in use");
        drop(listener);
        planner.wait_until_listening();
        planner
    }

    /// Spawns a planner, and does not wait until it listens.
    pub fn spawn(name: &str, bootstrap: &Value) -> Planner {
        let mut planner = Planner::spawn_with_log(name, bootstrap, Stdio::piped());
        let stderr = planner.child.stderr.take().unwrap();
        planner.read_log(stderr);
        planner
    }

    /// Reads the log in a thread, so that a full pipe never blocks the planner.
    pub fn read_log(&mut self, log: impl Read + Send + 'static) {
        let (sender, log_lines) = channel();
        let lines = BufReader::new(log).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| _ = sender.send(line)));
        self.log = log_lines;
    }

    /// Spawns a planner that logs to `log`.
    pub fn spawn_with_log(name: &str, bootstrap: &Value, log: Stdio) -> Planner {
        let file = std::env::temp_dir().join(format!("runloom-platform-{name}-{}.json", std::process::id()));
        std::fs::write(&file, bootstrap.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_runloom"))
            .arg("platform")
            .env("EDGE_CONFIG", &file)
            .stderr(log)
            .spawn()
            .unwrap();
        Planner {
            child,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            bootstrap_file: file,
            log: channel().1,
        }
    }

    fn wait_until_listening(&mut self) {
        let line = self.wait_for_log("started");
        self.address = logged_address(&line);
    }

    /// Reads the log until a line contains `part`, and returns that line.
    pub fn wait_for_log(&self, part: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).expect("the planner logs another line");
            if line.contains(part) {
                return line;
            }
        }
    }

    /// Suspends the process and waits until it is suspended.
    pub fn suspend(&self) {
        self.signal("STOP");
        let file = format!("/proc/{}/stat", self.child.id());
        let is_suspended =
            || std::fs::read_to_string(&file).unwrap().split(") ").nth(1).unwrap().starts_with('T');
        while !is_suspended() {
            std::thread::yield_now();
        }
    }

    /// Number of its open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Its peak resident memory in KiB.
    pub fn peak_memory_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        peak.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    pub fn signal(&self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.bootstrap_file);
    }
}

/// A client of a planner's address for proxies: a proxy or a collector.
pub struct Client {
    pub stream: TcpStream,
    pub reader: FrameReader,
}

impl Client {
    /// Connects, and sends the first messages.
    pub fn open(planner: &Planner, first: &[Value]) -> Client {
        let stream = TcpStream::connect(planner.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut client = Client { stream, reader: FrameReader::new(MAX_MESSAGE_BYTES) };
        client.send(first);
        client
    }

    pub fn send(&mut self, messages: &[Value]) {
        let mut bytes = Vec::new();
        messages.iter().for_each(|message| write_frame(&mut bytes, message.to_string().as_bytes()));
        self.stream.write_all(&bytes).unwrap();
    }

    /// The next message; `None` if the planner closed the connection.
    pub fn next_message(&mut self) -> Option<Value> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(message) = self.reader.next_message().unwrap() {
                return Some(message);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => self.reader.push(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no message: {e}"),
            }
        }
    }

    /// Reads and acknowledges updates until one sets the entry `row`; returns all of them.
    pub fn read_until_entry(&mut self, id: u64, row: Value) -> Vec<Value> {
        let mut read = Vec::new();
        loop {
            let update = self.next_message().expect("another update");
            if let Some(ack_token) = update["stamp"].as_u64() {
                self.send(&[json!({"t": "ACK", "id": id, "seq": ack_token, "ms": 5.0})]);
            }
            let found = update["rows"].as_array().is_some_and(|rows| rows.contains(&row));
            read.push(update);
            if found {
                return read;
            }
        }
    }
}

/// The first message of proxy `id`; `new` if it holds no table yet.
pub fn connect_message(id: u64, new: bool) -> Value {
    json!({"t": "SUBSCRIBE", "id": id, "site": "a", "rps": 3.0, "new": new})
}
