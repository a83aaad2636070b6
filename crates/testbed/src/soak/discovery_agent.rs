//! A discovery agent: serves watches of the list, and misbehaves on request.

use super::endpoint_list::EndpointList;
use super::lock;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// An empty line comes this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// The pause within a line that is sent in two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(30);
/// The beginning of a line.
const HALF_LINE: &[u8] = b"5\r\n{\"re";
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How the agent behaves now.
#[derive(Debug, Default)]
struct Behaviour {
    /// It says nothing before this time.
    quiet_until: Mutex<Option<Instant>>,
    /// Watches are closed from this time on, and new connections at once.
    closes_at: Mutex<Option<Instant>>,
    /// It closes them within a line.
    closes_within_line: AtomicBool,
    /// The next change has an entry that cannot be read.
    corrupts_next: AtomicBool,
    /// Counts the wishes to send the last line again.
    repeats: AtomicU64,
    /// Counts the wishes to reset watches within a line.
    cuts: AtomicU64,
    is_stopped: AtomicBool,
}

/// An agent on its own address.
pub struct DiscoveryAgent {
    /// Where it listens.
    pub address: SocketAddr,
    behaviour: Arc<Behaviour>,
}

impl DiscoveryAgent {
    /// Starts an agent for this list.
    pub fn start(list: Arc<Mutex<EndpointList>>) -> std::io::Result<DiscoveryAgent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let behaviour = Arc::new(Behaviour::default());
        let accepting = behaviour.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                // One that has moved takes no new connection.
                let Some(stream) = stream.ok().filter(|_| lock(&accepting.closes_at).is_none()) else {
                    continue;
                };
                let (list, behaviour) = (list.clone(), accepting.clone());
                std::thread::spawn(move || _ = serve_watch(stream, &list, &behaviour));
            }
        });
        Ok(DiscoveryAgent { address, behaviour })
    }

    /// Says nothing for a while.
    pub fn be_quiet(&self, duration: Duration) {
        *lock(&self.behaviour.quiet_until) = Some(Instant::now() + duration);
    }

    /// Sends the last line again.
    pub fn repeat_line(&self) {
        self.behaviour.repeats.fetch_add(1, Ordering::Relaxed);
    }

    /// Resets watches within the next line.
    pub fn cut_watches(&self) {
        self.behaviour.cuts.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes an entry of the next change unreadable, once.
    pub fn corrupt_next_change(&self) {
        self.behaviour.corrupts_next.store(true, Ordering::Relaxed);
    }

    /// Takes no more connections, and closes those it has after a while.
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

/// Reads a request's head; the revision that it asks from.
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

/// The line with its first entry unreadable.
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
    let (mut repeats, cuts) =
        (behaviour.repeats.load(Ordering::Relaxed), behaviour.cuts.load(Ordering::Relaxed));
    let mut resets = lock(list).resets;
    let mut last_line: Option<Value> = None;
    let mut heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
    let mut is_first = true;
    loop {
        let now = Instant::now();
        if behaviour.is_stopped.load(Ordering::Relaxed) {
            return Ok(());
        }
        if lock(&behaviour.closes_at).is_some_and(|at| now >= at) {
            let is_within_line = behaviour.closes_within_line.load(Ordering::Relaxed);
            return if is_within_line { stream.write_all(HALF_LINE) } else { Ok(()) };
        }
        if lock(&behaviour.quiet_until).is_some_and(|until| now < until) {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        if is_first {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        }
        let (line, revision, list_resets) = {
            let list = lock(list);
            let has_reset = list.resets != resets;
            let asked = if has_reset { list.revision.saturating_sub(1) } else { since };
            (list.line(asked), list.revision, list.resets)
        };
        let must_repeat = behaviour.repeats.load(Ordering::Relaxed) != repeats;
        if is_first || revision != since || list_resets != resets {
            if behaviour.cuts.load(Ordering::Relaxed) != cuts {
                let bytes = chunk(&line.to_string());
                stream.write_all(&bytes[..bytes.len() / 2])?;
                return Ok(());
            }
            let is_corrupted = !is_first && behaviour.corrupts_next.swap(false, Ordering::Relaxed);
            let sent = if is_corrupted { with_malformed_entry(&line) } else { line.clone() };
            write_in_pieces(&mut stream, &chunk(&sent.to_string()), revision)?;
            if !is_corrupted {
                lock(list).note_announced(revision, list_resets);
            }
            (since, resets, is_first) = (revision, list_resets, false);
            last_line = Some(line);
            heartbeat_at = now + HEARTBEAT_INTERVAL;
        } else if let Some(line) = last_line.as_ref().filter(|_| must_repeat) {
            stream.write_all(&chunk(&line.to_string()))?;
        } else if behaviour.cuts.load(Ordering::Relaxed) != cuts {
            return stream.write_all(HALF_LINE);
        } else if now >= heartbeat_at {
            stream.write_all(&chunk(""))?;
            heartbeat_at = now + HEARTBEAT_INTERVAL;
        }
        repeats = behaviour.repeats.load(Ordering::Relaxed);
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Every other line comes in two pieces.
fn write_in_pieces(stream: &mut TcpStream, bytes: &[u8], revision: u64) -> std::io::Result<()> {
    if revision % 2 == 0 {
        return stream.write_all(bytes);
    }
    let (first, second) = bytes.split_at(bytes.len() / 3);
    stream.write_all(first)?;
    std::thread::sleep(PIECE_PAUSE);
    stream.write_all(second)
}
