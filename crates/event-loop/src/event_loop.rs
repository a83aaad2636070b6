//! The event loop: its state, the operations on connections, and one iteration.

use crate::connection::{Connection, IoOutcome, Origin};
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

/// Limit of connections that one listener accepts per iteration: hundreds of peers that connect at once must not starve
/// the other connections.
const DEFAULT_MAX_ACCEPTS: usize = 64;
/// Limit of TLS handshakes that one iteration processes. One takes about a millisecond, and hundreds of proxies that
/// connect at once must not delay updates and acknowledgements. The others are ready again in the next iteration.
pub(crate) const DEFAULT_MAX_HANDSHAKES: usize = 12;
/// Time limit for a finished connection to send its output and for the peer to close too.
const LINGER: Duration = Duration::from_secs(1);
/// Upper bound of recorded iteration durations, in microseconds: one minute. Longer ones are recorded as this.
const MAX_ITERATION_MICROS: u64 = 60_000_000;
/// Significant decimal digits of recorded iteration durations.
const ITERATION_DIGITS: u8 = 2;
/// EINPROGRESS on Linux: the connection is being established in the background.
const EINPROGRESS: i32 = 115;

/// An event loop. Times are durations since its creation.
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
    /// Connections that the peer closed in the last iteration; what was written to them since is still sent.
    half_closed: Vec<ConnectionId>,
    /// Events that did not come from reading; returned by the next [`EventLoop::wait`].
    pub(crate) pending_events: Vec<IoEvent>,
    busy_since: Option<Instant>,
    /// Durations of iterations, from the end of polling to the next call of [`EventLoop::wait`]; microseconds.
    pub iteration_micros: Histogram<u64>,
    /// Limit of TLS handshakes that one iteration processes.
    pub max_handshakes: usize,
    /// Limit of connections that one listener accepts per iteration.
    pub max_accepts: usize,
    /// Connections closed as soon as they were accepted, because their listener had reached its limit.
    pub rejected_connections: u64,
}

/// A pipe that becomes readable when the process receives a signal.
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
        // If this fails, the loop still wakes for its next deadline check.
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
    /// Creates a loop without connections, listeners and signals.
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

    /// Time since the loop was created.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// When the last poll began. Input that had arrived by then has been returned, up to the limit for each connection.
    /// Deadlines of peers are compared with this time, so that no peer is late because the loop did not poll.
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

    /// Starts connecting to an address. The result follows as [`IoEvent::Open`] or [`IoEvent::Closed`].
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
        let connection = Connection::new(
            socket.into(),
            security.new_tls_connection()?,
            limits,
            Origin::Dialed,
            self.now(),
        );
        // SAFETY: the socket is deleted from the poller in `remove`, before it is closed.
        unsafe { self.poller.add_with_mode(connection.socket(), Event::all(id), PollMode::Level)? };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Returns this signal as [`IoEvent::Signal`] from now on, in place of its default action.
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

    /// Writes what the socket accepts and buffers the rest. If that would exceed the limit of unsent bytes, the
    /// connection is closed instead. Has no effect on a connection that is closed or finishing.
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

    /// Output bytes that are buffered and not yet written.
    pub fn unsent_bytes(&self, conn: ConnectionId) -> usize {
        self.connections.get(&conn).map_or(0, Connection::unsent_bytes)
    }

    /// Whether the connection exists; it may not be established yet.
    pub fn is_open(&self, conn: ConnectionId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Pauses or resumes reading. While it is paused, the peer's bytes stay in the socket buffers and the idle timeout
    /// does not apply.
    pub fn pause_reading(&mut self, conn: ConnectionId, is_paused: bool) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.pause_reading(is_paused);
            let _ = connection.update_interest(&self.poller, conn);
        }
    }

    /// Closes a connection once all output is written and the peer has closed too, or after the linger time. Input is
    /// discarded from now on.
    pub fn finish(&mut self, conn: ConnectionId) {
        let deadline = self.now() + LINGER;
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.finish(deadline);
            self.flush(conn);
        }
    }

    /// Closes a connection at once and discards its unsent output; no [`IoEvent::Closed`] follows.
    pub fn abort(&mut self, conn: ConnectionId) {
        self.remove(conn);
    }

    pub(crate) fn remove(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        let _ = self.poller.delete(connection.socket());
        if let Some(listener) = connection.listener().and_then(|id| self.listeners.get_mut(&id)) {
            listener.connection_closed();
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

    /// Finishes connections that the peer closed in the last iteration, and removes those without unsent output.
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
                // Bytes that the peer sent before the connection broke, such as a last report, are still returned.
                let mut outcome = IoOutcome::default();
                connection.read(self.started.elapsed(), &mut outcome);
                if !outcome.bytes.is_empty() {
                    self.pending_events.push(IoEvent::Bytes { conn, bytes: outcome.bytes });
                }
                self.close(conn, reason);
            }
        }
    }

    /// Runs one iteration: polls until something is ready or `until` is reached, and returns the events. There may be
    /// none, for example if the poll ended for a deadline check or was ended by a [`Waker`].
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
            // Half-closed: the peer may still read, and expects the responses to what it sent.
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
        let mut buffer = [0; 64];
        while matches!(self.reader.read(&mut buffer), Ok(count) if count > 0) {}
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(EINPROGRESS) || error.kind() == io::ErrorKind::WouldBlock
}
