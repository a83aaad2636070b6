//! A discovery agent that serves watches of the endpoint list, and misbehaves on request.

use super::endpoint_list::EndpointList;
use super::lock;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two checks of a watch for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// An empty line is sent after this time without a change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// The pause between the two pieces of a split line.
const PIECE_PAUSE: Duration = Duration::from_millis(30);
/// The beginning of a chunk whose line is cut off.
const PARTIAL_LINE: &[u8] = b"5\r\n{\"re";
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How the agent behaves at present, shared by the threads of its watches.
#[derive(Debug, Default)]
struct Behaviour {
    /// It sends nothing before this time.
    silent_until: Mutex<Option<Instant>>,
    /// Watches are closed at this time; while it is set, new connections are closed immediately.
    closes_at: Mutex<Option<Instant>>,
    /// Watches are closed in the middle of a line.
    closes_within_line: AtomicBool,
    /// The next line with a change has a malformed entry.
    corrupts_next: AtomicBool,
    /// Number of requests so far to send the last line again.
    repeat_requests: AtomicU64,
    /// Number of requests so far to close watches in the middle of a line.
    cut_requests: AtomicU64,
    is_stopped: AtomicBool,
}

/// A running agent with an address of its own.
pub struct DiscoveryAgent {
    /// Address on which it listens.
    pub address: SocketAddr,
    behaviour: Arc<Behaviour>,
}

impl DiscoveryAgent {
    /// Starts an agent that serves this list on a free port.
    pub fn start(list: Arc<Mutex<EndpointList>>) -> std::io::Result<DiscoveryAgent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let behaviour = Arc::new(Behaviour::default());
        let accept_behaviour = behaviour.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if accept_behaviour.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                // A retired agent accepts no new connections.
                let Some(stream) = stream.ok().filter(|_| lock(&accept_behaviour.closes_at).is_none()) else {
                    continue;
                };
                let (list, behaviour) = (list.clone(), accept_behaviour.clone());
                std::thread::spawn(move || _ = serve_watch(stream, &list, &behaviour));
            }
        });
        Ok(DiscoveryAgent { address, behaviour })
    }

    /// Sends nothing for a time, while connections stay open.
    pub fn stay_silent_for(&self, duration: Duration) {
        *lock(&self.behaviour.silent_until) = Some(Instant::now() + duration);
    }

    /// Sends the last line of each watch again.
    pub fn repeat_line(&self) {
        self.behaviour.repeat_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes watches in the middle of a line.
    pub fn cut_watches(&self) {
        self.behaviour.cut_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes an entry in the next line with a change malformed, once.
    pub fn corrupt_next_change(&self) {
        self.behaviour.corrupts_next.store(true, Ordering::Relaxed);
    }

    /// Accepts no more connections, and closes the open ones after `close_after`, in the middle of a line if
    /// `within_line`.
    pub fn retire(&self, close_after: Duration, within_line: bool) {
        self.behaviour.closes_within_line.store(within_line, Ordering::Relaxed);
        *lock(&self.behaviour.closes_at) = Some(Instant::now() + close_after);
    }
}

impl Drop for DiscoveryAgent {
    fn drop(&mut self) {
        self.behaviour.is_stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

/// Reads a request's head, and returns the revision after which it asks for changes; 0 if it names none.
fn read_request(stream: &mut TcpStream) -> std::io::Result<u64> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    let since = text.split("since=").nth(1).and_then(|rest| rest.split(' ').next());
    Ok(since.and_then(|since| since.parse().ok()).unwrap_or(0))
}

/// Returns a copy of a line in which the first entry's `phase` is a number.
fn with_malformed_entry(line: &Value) -> Value {
    let mut line = line.clone();
    if let Some(member) = line["members"].get_mut(0) {
        member["phase"] = Value::from(7);
    }
    line
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

fn serve_watch(
    mut stream: TcpStream,
    list: &Mutex<EndpointList>,
    behaviour: &Behaviour,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut since = read_request(&mut stream)?;
    let (mut repeats_before, cuts_before) =
        (behaviour.repeat_requests.load(Ordering::Relaxed), behaviour.cut_requests.load(Ordering::Relaxed));
    let mut revision_resets = lock(list).revision_resets;
    let mut last_line: Option<Value> = None;
    let mut heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
    let mut is_first = true;
    loop {
        let now = Instant::now();
        if behaviour.is_stopped.load(Ordering::Relaxed) {
            return Ok(());
        }
        if lock(&behaviour.closes_at).is_some_and(|at| now >= at) {
            let within_line = behaviour.closes_within_line.load(Ordering::Relaxed);
            return if within_line { stream.write_all(PARTIAL_LINE) } else { Ok(()) };
        }
        if lock(&behaviour.silent_until).is_some_and(|until| now < until) {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        if is_first {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        }
        let (line, revision, list_resets) = {
            let list = lock(list);
            let has_reset = list.revision_resets != revision_resets;
            let line_since = if has_reset { list.revision.saturating_sub(1) } else { since };
            (list.line(line_since), list.revision, list.revision_resets)
        };
        let must_repeat = behaviour.repeat_requests.load(Ordering::Relaxed) != repeats_before;
        if is_first || revision != since || list_resets != revision_resets {
            if behaviour.cut_requests.load(Ordering::Relaxed) != cuts_before {
                let bytes = chunk(&line.to_string());
                stream.write_all(&bytes[..bytes.len() / 2])?;
                return Ok(());
            }
            let is_corrupted = !is_first && behaviour.corrupts_next.swap(false, Ordering::Relaxed);
            let sent = if is_corrupted { with_malformed_entry(&line) } else { line.clone() };
            write_in_pieces(&mut stream, &chunk(&sent.to_string()), revision)?;
            if !is_corrupted {
                lock(list).mark_announced(revision, list_resets);
            }
            (since, revision_resets, is_first) = (revision, list_resets, false);
            last_line = Some(line);
            heartbeat_at = now + HEARTBEAT_INTERVAL;
        } else if let Some(line) = last_line.as_ref().filter(|_| must_repeat) {
            stream.write_all(&chunk(&line.to_string()))?;
        } else if behaviour.cut_requests.load(Ordering::Relaxed) != cuts_before {
            return stream.write_all(PARTIAL_LINE);
        } else if now >= heartbeat_at {
            stream.write_all(&chunk(""))?;
            heartbeat_at = now + HEARTBEAT_INTERVAL;
        }
        repeats_before = behaviour.repeat_requests.load(Ordering::Relaxed);
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends lines of odd revisions in two pieces, and others in one.
fn write_in_pieces(stream: &mut TcpStream, bytes: &[u8], revision: u64) -> std::io::Result<()> {
    if revision % 2 == 0 {
        return stream.write_all(bytes);
    }
    let (first, second) = bytes.split_at(bytes.len() / 3);
    stream.write_all(first)?;
    std::thread::sleep(PIECE_PAUSE);
    stream.write_all(second)
}
