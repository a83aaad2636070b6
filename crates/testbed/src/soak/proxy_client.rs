//! A simulated proxy: it keeps its tables across streams, acknowledges late, with malformed messages or not at all, and
//! resets its streams.

use super::lock;
use super::stand_ins::send;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use runloom_platform_protocol::framing::{write_frame, FrameReader, MAX_MESSAGE_BYTES};
use serde_json::{json, Value};
use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A read waits at most this long, so that reports and acknowledgements are sent in between.
const READ_INTERVAL: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The longest delay of an acknowledgement.
const MAX_ACK_DELAY_MS: u64 = 900;
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 30..400;
/// The traffic classes of the settings.
pub const CLASSES: [&str; 2] = ["lookup", "order"];

/// A table: the weight by server.
pub type Table = BTreeMap<String, f64>;

/// The state of a proxy that the checks examine.
#[derive(Debug, Default, Clone)]
pub struct ProxyState {
    /// Its tables by traffic class.
    pub tables: BTreeMap<&'static str, Table>,
    /// When it sent `SUBSCRIBE` on its current stream; `None` while it is not connected.
    pub joined_at: Option<Instant>,
    /// Servers whose removal from a table it acknowledged on this stream.
    pub acknowledged_removals: BTreeSet<String>,
    /// Messages that it cannot use, and errors of framing.
    pub unusable: Vec<String>,
    /// Streams that it opened so far.
    pub streams: u64,
    /// Streams that the planner closed, or that failed.
    pub ended_by_planner: u64,
}

/// What a proxy's thread shares with others.
#[derive(Debug, Default)]
pub struct ProxyHandle {
    /// Its state for the checks.
    pub state: Mutex<ProxyState>,
    /// Number of requests so far to reset its stream.
    pub reset_requests: AtomicU64,
    /// If set, it acknowledges each update after a few milliseconds, with a valid message.
    pub is_well_behaved: AtomicBool,
}

/// Runs a proxy until stopped; it reconnects after each stream.
pub fn run_proxy(id: u64, planner: SocketAddr, seed: u64, handle: &ProxyHandle, is_stopped: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(id));
    while !is_stopped.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect(planner) {
            let mut session = ProxySession::new(id, stream, handle, &mut random);
            if session.run(is_stopped).is_err() {
                lock(&handle.state).ended_by_planner += 1;
            }
        }
        let mut state = lock(&handle.state);
        state.joined_at = None;
        state.acknowledged_removals.clear();
        drop(state);
        std::thread::sleep(Duration::from_millis(random.random_range(RECONNECT_DELAY_MS)));
    }
}

/// An acknowledgement that is not sent yet.
struct PendingAck {
    send_at: Instant,
    sequence: u64,
    removed: BTreeSet<String>,
    is_malformed: bool,
}

/// One stream of a proxy.
struct ProxySession<'a> {
    id: u64,
    stream: TcpStream,
    reader: FrameReader,
    handle: &'a ProxyHandle,
    random: &'a mut StdRng,
    pending_acks: Vec<PendingAck>,
    /// Servers that are removed by what was received on this stream.
    removed: BTreeSet<String>,
    /// [`ProxyHandle::reset_requests`] at the start of the stream.
    reset_requests: u64,
}

impl<'a> ProxySession<'a> {
    fn new(id: u64, stream: TcpStream, handle: &'a ProxyHandle, random: &'a mut StdRng) -> ProxySession<'a> {
        ProxySession {
            id,
            stream,
            reader: FrameReader::new(MAX_MESSAGE_BYTES),
            handle,
            random,
            pending_acks: vec![],
            removed: BTreeSet::new(),
            reset_requests: handle.reset_requests.load(Ordering::Relaxed),
        }
    }

    /// Runs until stopped or until the proxy resets the stream; an error if the planner closed it.
    fn run(&mut self, is_stopped: &AtomicBool) -> std::io::Result<()> {
        self.stream.set_read_timeout(Some(READ_INTERVAL))?;
        self.stream.set_nodelay(true)?;
        let is_new = lock(&self.handle.state).tables.values().all(Table::is_empty);
        send(
            &mut self.stream,
            &[json!({"t": "SUBSCRIBE", "id": self.id, "site": "a", "rps": 20.0, "new": is_new})],
        )?;
        {
            let mut state = lock(&self.handle.state);
            state.joined_at = Some(Instant::now());
            state.streams += 1;
        }
        let mut report_at = Instant::now() + REPORT_INTERVAL;
        while !is_stopped.load(Ordering::Relaxed) {
            if self.handle.reset_requests.load(Ordering::Relaxed) != self.reset_requests {
                return self.reset();
            }
            self.read()?;
            self.send_due_acks()?;
            if Instant::now() >= report_at {
                report_at = Instant::now() + REPORT_INTERVAL;
                let reports = self.reports();
                send(&mut self.stream, &reports)?;
            }
        }
        Ok(())
    }

    /// Resets the stream after a random part of a message.
    fn reset(&mut self) -> std::io::Result<()> {
        let mut frame = Vec::new();
        write_frame(&mut frame, self.reports()[0].to_string().as_bytes());
        let cut = self.random.random_range(0..frame.len());
        let _ = self.stream.write_all(&frame[..cut]);
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    fn read(&mut self) -> std::io::Result<()> {
        let mut buffer = [0; 16384];
        match self.stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => self.reader.push(&buffer[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
        loop {
            match self.reader.next_message() {
                Ok(Some(message)) => self.apply(&message),
                Ok(None) => return Ok(()),
                Err(error) => {
                    lock(&self.handle.state).unusable.push(error.to_string());
                    return Ok(());
                }
            }
        }
    }

    fn apply(&mut self, message: &Value) {
        if message["t"] != "CONFIG" {
            lock(&self.handle.state).unusable.push(message.to_string());
            return;
        }
        let classes: Vec<&'static str> = match message["for"].as_array() {
            Some(wanted) => CLASSES.into_iter().filter(|class| wanted.contains(&json!(class))).collect(),
            None => CLASSES.to_vec(),
        };
        let mut state = lock(&self.handle.state);
        for class in classes {
            let table = state.tables.entry(class).or_default();
            if message["replace"] == true {
                self.removed.extend(table.keys().cloned());
                table.clear();
            }
            for row in message["rows"].as_array().into_iter().flatten() {
                let (Some(server), Some(weight)) = (row[0].as_str(), row[1].as_f64()) else { continue };
                if weight > 0.0 {
                    table.insert(server.to_string(), weight);
                    self.removed.remove(server);
                } else {
                    table.remove(server);
                    self.removed.insert(server.to_string());
                }
            }
        }
        drop(state);
        if let Some(sequence) = message["stamp"].as_u64() {
            self.schedule_ack(sequence);
        }
    }

    fn schedule_ack(&mut self, sequence: u64) {
        let is_well_behaved = self.handle.is_well_behaved.load(Ordering::Relaxed);
        if !is_well_behaved && self.random.random_ratio(1, 10) {
            return;
        }
        let delay = if is_well_behaved { 5 } else { self.random.random_range(0..MAX_ACK_DELAY_MS) };
        let is_malformed = !is_well_behaved && self.random.random_ratio(1, 12);
        let send_at = Instant::now() + Duration::from_millis(delay);
        self.pending_acks.push(PendingAck { send_at, sequence, removed: self.removed.clone(), is_malformed });
    }

    fn send_due_acks(&mut self) -> std::io::Result<()> {
        let now = Instant::now();
        let (due, later): (Vec<PendingAck>, Vec<PendingAck>) =
            std::mem::take(&mut self.pending_acks).into_iter().partition(|ack| ack.send_at <= now);
        self.pending_acks = later;
        for ack in due {
            if ack.is_malformed {
                send(&mut self.stream, &[json!({"t": "ACK", "id": self.id, "seq": "x"})])?;
                continue;
            }
            send(&mut self.stream, &[json!({"t": "ACK", "id": self.id, "seq": ack.sequence, "ms": 5.0})])?;
            lock(&self.handle.state).acknowledged_removals = ack.removed;
        }
        Ok(())
    }

    fn reports(&self) -> [Value; 2] {
        CLASSES.map(
            |class| json!({"t": "RATE", "id": self.id, "lane": class, "count": 8, "fail": 0, "over": 400.0}),
        )
    }
}
