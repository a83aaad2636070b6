//! The loop itself: its connections and one iteration.

use crate::connection::{Connection, Origin, Outcome};
use crate::listener::Listener;
use crate::{CloseReason, ConnectionId, ConnectionLimits, IoEvent, Security};
use hdrhistogram::Histogram;
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Connections accepted by one listener in an iteration: hundreds that connect at once must not starve the rest.
const DEFAULT_MAX_ACCEPTS: usize = 64;
/// TLS handshakes that an iteration continues. One takes about a millisecond, and hundreds of proxies that connect at
/// once must not delay updates and acknowledgements. The others are ready again in the next iteration.
pub(crate) const DEFAULT_MAX_HANDSHAKES: usize = 12;
/// How long a finished connection waits for the peer to close too.
const LINGER: Duration = Duration::from_secs(1);
/// The longest duration of an iteration that is told apart, microseconds: one minute.
const MAX_ITERATION_MICROS: u64 = 60_000_000;
/// Significant decimal digits of recorded durations.
const ITERATION_DIGITS: u8 = 2;
/// EINPROGRESS of Linux: a connection is being established in the background.
const EINPROGRESS: i32 = 115;

/// A poll loop.
pub struct EventLoop {
    pub(crate) poller: Arc<Poller>,
    poll_events: Events,
    pub(crate) connections: BTreeMap<ConnectionId, Connection>,
    pub(crate) listeners: BTreeMap<ConnectionId, Listener>,
    signals: BTreeMap<ConnectionId, SignalPipe>,
    last_id: ConnectionId,
    started: Instant,
    pub(crate) last_deadline_check: Duration,
    pub(crate) read_until: Duration,
    /// Closed by the peer in the last iteration; what was written since still goes out.
    half_closed: Vec<ConnectionId>,
    /// Events that did not come from reading; returned by the next [`EventLoop::wait`].
    pub(crate) pending_events: Vec<IoEvent>,
    busy_since: Option<Instant>,
    /// Durations of iterations, from the end of polling to the next call of [`EventLoop::wait`]; microseconds.
    pub iteration_micros: Histogram<u64>,
    /// TLS handshakes that an iteration continues.
    pub max_handshakes: usize,
    /// Connections accepted by one listener in an iteration.
    pub max_accepts: usize,
    /// Connections closed at once since their listener had reached its limit.
    pub rejected_connections: u64,
}

/// A pipe that becomes readable with a signal.
struct SignalPipe {
    reader: UnixStream,
    signal: i32,
}

/// Wakes a loop from another thread.
#[derive(Clone)]
pub struct Waker(Arc<Poller>);

impl Waker {
    /// Ends the loop's current wait, or its next one.
    pub fn wake(&self) {
        // A failed wake-up costs one deadline check: the loop wakes for that anyway.
        let _ = self.0.notify();
    }
}

/// A non-blocking TCP socket for an address.
pub(crate) fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl EventLoop {
    /// A loop without connections, listeners and signals.
    pub fn new() -> io::Result<EventLoop> {
        let iteration_micros = Histogram::new_with_bounds(1, MAX_ITERATION_MICROS, ITERATION_DIGITS)
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(EventLoop {
            poller: Arc::new(Poller::new()?),
            poll_events: Events::new(),
            connections: BTreeMap::new(),
            listeners: BTreeMap::new(),
            signals: BTreeMap::new(),
            last_id: 0,
            started: Instant::now(),
            last_deadline_check: Duration::ZERO,
            read_until: Duration::ZERO,
            half_closed: Vec::new(),
            pending_events: Vec::new(),
            busy_since: None,
            iteration_micros,
            max_handshakes: DEFAULT_MAX_HANDSHAKES,
            max_accepts: DEFAULT_MAX_ACCEPTS,
            rejected_connections: 0,
        })
    }

    /// Time since the loop was made.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// When the last poll began. Input that had arrived by then was returned, a share of each connection an iteration:
    /// a peer is late only by this time, not by time that passed unpolled.
    pub fn read_until(&self) -> Duration {
        self.read_until
    }

    /// A handle that wakes this loop from another thread.
    pub fn waker(&self) -> Waker {
        Waker(self.poller.clone())
    }

    pub(crate) fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        self.last_id
    }

    /// Dials. The result follows as [`IoEvent::Open`] or [`IoEvent::Closed`].
    pub fn dial(
        &mut self,
        address: SocketAddr,
        security: &Security,
        limits: ConnectionLimits,
    ) -> io::Result<ConnectionId> {
        let socket = new_socket(address)?;
        socket.set_tcp_nodelay(true)?;
        let connected = socket.connect(&address.into());
        let id = self.next_id();
        if connected.is_err_and(|error| !is_in_progress(&error)) {
            self.pending_events.push(IoEvent::Closed { conn: id, reason: CloseReason::Refused });
            return Ok(id);
        }
        let connection =
            Connection::new(socket.into(), security.start()?, limits, Origin::Dialed, self.now());
        // SAFETY: the socket is deleted from the poller in `remove`, before it is closed.
        unsafe { self.poller.add_with_mode(connection.socket(), Event::all(id), PollMode::Level)? };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Returns a signal as [`IoEvent::Signal`] from now on, instead of its default action.
    pub fn register_signal(&mut self, signal: i32) -> io::Result<()> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, writer)?;
        let id = self.next_id();
        // SAFETY: the pipe lives as long as the loop.
        unsafe { self.poller.add_with_mode(&reader, Event::readable(id), PollMode::Level)? };
        self.signals.insert(id, SignalPipe { reader, signal });
        Ok(())
    }

    /// Writes, now or when the peer reads. Beyond the limit of unsent bytes the connection is closed.
    pub fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if connection.is_finishing() || bytes.is_empty() {
            return;
        }
        if connection.queue(bytes) {
            self.flush(conn);
        } else {
            self.close(conn, CloseReason::Unread);
        }
    }

    /// Bytes that wait to be written.
    pub fn unsent_bytes(&self, conn: ConnectionId) -> usize {
        self.connections.get(&conn).map_or(0, Connection::unsent_bytes)
    }

    /// Whether the connection exists, established or not.
    pub fn is_open(&self, conn: ConnectionId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Pauses or resumes reading; while it is paused, the peer's bytes fill its own side.
    pub fn pause_reading(&mut self, conn: ConnectionId, is_paused: bool) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.pause_reading(is_paused);
            let _ = connection.update_interest(&self.poller, conn);
        }
    }

    /// Closes a connection once everything is written.
    pub fn finish(&mut self, conn: ConnectionId) {
        let deadline = self.now() + LINGER;
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.finish(deadline);
            self.flush(conn);
        }
    }

    /// Closes a connection at once; no further event of it is returned.
    pub fn abort(&mut self, conn: ConnectionId) {
        self.remove(conn);
    }

    pub(crate) fn remove(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        let _ = self.poller.delete(connection.socket());
        if let Some(listener) = connection.listener().and_then(|id| self.listeners.get_mut(&id)) {
            listener.note_connection_closed();
        }
    }

    pub(crate) fn close(&mut self, conn: ConnectionId, reason: CloseReason) {
        let Some(connection) = self.connections.get(&conn) else { return };
        // The end of a half-closed connection was already returned.
        if !connection.is_half_closed() {
            self.pending_events.push(IoEvent::Closed { conn, reason });
        }
        self.remove(conn);
    }

    /// Finishes the connections that the peer closed in the last iteration, or removes those with nothing to write.
    fn finish_half_closed(&mut self, now: Duration) {
        for conn in std::mem::take(&mut self.half_closed) {
            match self.connections.get_mut(&conn) {
                Some(connection) if connection.unsent_bytes() > 0 => {
                    connection.finish(now + LINGER);
                    let _ = connection.update_interest(&self.poller, conn);
                }
                _ => self.remove(conn),
            }
        }
    }

    pub(crate) fn flush(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        match connection.flush() {
            Ok(()) => _ = connection.update_interest(&self.poller, conn),
            Err(reason) => {
                // What the peer sent before the connection broke counts, such as a last report.
                let mut outcome = Outcome::default();
                connection.read(self.started.elapsed(), &mut outcome);
                if !outcome.bytes.is_empty() {
                    self.pending_events.push(IoEvent::Bytes { conn, bytes: outcome.bytes });
                }
                self.close(conn, reason);
            }
        }
    }

    /// One iteration: waits until something is ready, or until `until`, and returns what happened.
    pub fn wait(&mut self, until: Option<Duration>) -> io::Result<Vec<IoEvent>> {
        if let Some(since) = self.busy_since.take() {
            self.iteration_micros.saturating_record(since.elapsed().as_micros() as u64);
        }
        let now = self.now();
        self.finish_half_closed(now);
        let accept_backoff = self.end_accept_backoffs(now);
        let timeout = self.poll_timeout(until, accept_backoff, now);
        self.poll_events.clear();
        self.read_until = now;
        match self.poller.wait(&mut self.poll_events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        self.busy_since = Some(Instant::now());
        let mut events = std::mem::take(&mut self.pending_events);
        self.handle_poll_events(&mut events);
        self.close_overdue();
        events.append(&mut self.pending_events);
        Ok(events)
    }

    fn handle_poll_events(&mut self, events: &mut Vec<IoEvent>) {
        let poll_events: Vec<Event> = self.poll_events.iter().collect();
        let mut handshakes = 0;
        for poll_event in poll_events {
            if self.connections.get(&poll_event.key).is_some_and(Connection::is_handshaking) {
                handshakes += 1;
                if handshakes > self.max_handshakes {
                    continue;
                }
            }
            self.handle_poll_event(&poll_event, events);
        }
    }

    fn handle_poll_event(&mut self, poll_event: &Event, events: &mut Vec<IoEvent>) {
        let id = poll_event.key;
        if self.listeners.contains_key(&id) {
            self.accept(id);
        } else if let Some(pipe) = self.signals.get_mut(&id) {
            pipe.drain();
            events.push(IoEvent::Signal(pipe.signal));
        } else {
            self.handle_connection(poll_event, events);
        }
    }

    fn handle_connection(&mut self, poll_event: &Event, events: &mut Vec<IoEvent>) {
        let conn = poll_event.key;
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let outcome = connection.handle_ready(poll_event, now);
        if let Some(opened) = outcome.opened {
            let listener = connection.listener();
            events.push(IoEvent::Open { conn, listener, certificate: opened.certificate });
        }
        if !outcome.bytes.is_empty() {
            events.push(IoEvent::Bytes { conn, bytes: outcome.bytes });
        }
        match outcome.closed {
            // Half-closed: the peer may still read, and is owed the responses to what it sent.
            Some(CloseReason::Ended) if connection.is_plain() && !connection.is_finishing() => {
                connection.set_half_closed();
                let _ = connection.update_interest(&self.poller, conn);
                self.half_closed.push(conn);
                events.push(IoEvent::Closed { conn, reason: CloseReason::Ended });
            }
            Some(reason) => {
                if !connection.is_half_closed() {
                    events.push(IoEvent::Closed { conn, reason });
                }
                self.remove(conn);
            }
            None if connection.is_half_closed() && connection.unsent_bytes() == 0 => self.remove(conn),
            None => _ = connection.update_interest(&self.poller, conn),
        }
    }
}

impl SignalPipe {
    fn drain(&mut self) {
        let mut sink = [0; 64];
        while matches!(self.reader.read(&mut sink), Ok(count) if count > 0) {}
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(EINPROGRESS) || error.kind() == io::ErrorKind::WouldBlock
}
