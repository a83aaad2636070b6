//! One loop: a turn waits, reads a bounded share of what is ready, and gives what happened to a shell, which
//! feeds its cores and writes what they order. Plain and TLS connections look the same. A peer that does not
//! read fills its own bounded buffer and then loses its connection, never the loop's time.

mod connection;
#[cfg(test)]
mod tests;

pub use connection::Security;
use connection::{Connection, Outcome};
use hdrhistogram::Histogram;
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection's number; never used again.
pub type ConnectionId = usize;

/// Bounds of a connection, and of all that a listener takes.
#[derive(Debug, Clone, Copy)]
pub struct BufferLimits {
    /// Bytes that may wait to be written; more ends the connection. Four of the largest messages.
    pub unread: usize,
    /// Bytes read in one turn: enough for any ordinary message, little against a turn's length.
    pub share: usize,
    /// A connection on which nothing is read for so long is closed; `None`: never.
    pub idle: Option<Duration>,
    /// Connecting and the TLS handshake take at most so long: three round trips over a bad way.
    pub handshake: Duration,
    /// Connections of one listener at a time.
    pub connections: usize,
}

impl Default for BufferLimits {
    fn default() -> Self {
        let handshake = Duration::from_secs(5);
        BufferLimits { unread: 8 << 20, share: 64 << 10, idle: None, handshake, connections: 2048 }
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it in order.
    Ended,
    /// It broke.
    Broken,
    /// It could not be made.
    Refused,
    /// TLS failed: no certificate, a wrong one, or no TLS at all.
    Untrusted,
    /// Connecting or the handshake took too long.
    Slow,
    /// Nothing was read for too long.
    Idle,
    /// Too much waits to be written.
    Unread,
    /// It was finished here, and all is written.
    Finished,
}

/// What happened in a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IoEvent {
    /// A connection stands: accepted by a listener, or dialled; with the peer's certificate, if it gave one.
    Open {
        conn: ConnectionId,
        listener: Option<ConnectionId>,
        certificate: Option<Vec<u8>>,
    },
    Bytes {
        conn: ConnectionId,
        bytes: Vec<u8>,
    },
    Closed {
        conn: ConnectionId,
        why: CloseReason,
    },
    Signal(i32),
}

struct Listener {
    socket: TcpListener,
    security: Security,
    bounds: BufferLimits,
    count: usize,
    /// Whether a turn may accept: a loop that stops takes nobody new.
    open: bool,
    /// Nobody is taken for now; who comes waits in the system's queue.
    held: bool,
    /// Nor until then: there was no descriptor for the next.
    rests_until: Option<Duration>,
}

impl Listener {
    fn takes(&self) -> bool {
        self.open && !self.held && self.rests_until.is_none()
    }
}

/// Connections taken from one listener in a turn: a storm of hundreds must not starve the rest.
const ACCEPTED_MOST: usize = 64;
/// Handshakes that a turn goes on with: one takes about a millisecond, and hundreds of proxies that dial at once must
/// hold up neither orders nor confirmations. Those left out are ready again at the next turn.
pub(crate) const HANDSHAKES_MOST: usize = 12;
/// How long a finished connection waits for the other side to close too.
const LINGER: Duration = Duration::from_secs(1);
/// How long nobody is taken once descriptors have run out. Who waits in the system's queue keeps the listener
/// ready, so that a loop which tried again at once would do nothing else.
const REST: Duration = Duration::from_millis(50);
/// How often times are looked at when nothing else happens; idle and handshake bounds are this coarse.
const SWEEP: Duration = Duration::from_millis(250);

pub struct EventLoop {
    poller: Arc<Poller>,
    events: Events,
    lines: BTreeMap<ConnectionId, Connection>,
    listeners: BTreeMap<ConnectionId, Listener>,
    signals: BTreeMap<ConnectionId, (UnixStream, i32)>,
    next: ConnectionId,
    start: Instant,
    swept: Duration,
    looked: Duration,
    /// Ended by the other side in the last turn; what was written since still goes out.
    parting: Vec<ConnectionId>,
    /// Ended outside of reading: told with the next turn.
    told: Vec<IoEvent>,
    busy_since: Option<Instant>,
    /// Lengths of turns, microseconds, from what was read to the next wait.
    pub lengths: Histogram<u64>,
    /// Handshakes that a turn goes on with.
    pub handshakes: usize,
    /// Connections taken from one listener in a turn.
    pub accepts: usize,
    /// Connections turned away since a listener had as many as it may.
    pub turned_away: u64,
}

/// Wakes a loop from another thread.
#[derive(Clone)]
pub struct Waker(Arc<Poller>);

impl Waker {
    pub fn wake(&self) {
        // A failed wake-up is one turn later: the loop looks at its times anyway.
        let _ = self.0.notify();
    }
}

fn no_histogram(e: hdrhistogram::CreationError) -> io::Error {
    io::Error::other(e.to_string())
}

impl EventLoop {
    pub fn new() -> io::Result<EventLoop> {
        Ok(EventLoop {
            poller: Arc::new(Poller::new()?),
            events: Events::new(),
            lines: BTreeMap::new(),
            listeners: BTreeMap::new(),
            signals: BTreeMap::new(),
            next: 0,
            start: Instant::now(),
            swept: Duration::ZERO,
            looked: Duration::ZERO,
            parting: Vec::new(),
            told: Vec::new(),
            busy_since: None,
            // Up to a minute, two digits: a turn that long is a defect all the same.
            lengths: Histogram::new_with_bounds(1, 60_000_000, 2).map_err(no_histogram)?,
            handshakes: HANDSHAKES_MOST,
            accepts: ACCEPTED_MOST,
            turned_away: 0,
        })
    }

    /// The span since the loop was made.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// When the last look at the sockets began. What had come by then has been told, a share of each connection
    /// a turn; so a peer is late only by this time, and not by a clock that went on while nobody looked.
    pub fn looked(&self) -> Duration {
        self.looked
    }

    pub fn waker(&self) -> Waker {
        Waker(self.poller.clone())
    }

    fn number(&mut self) -> ConnectionId {
        self.next += 1;
        self.next
    }

    /// Listens. Gives the listener's number and the address, whose port is the one that was free if 0 was asked.
    pub fn listen(
        &mut self,
        at: SocketAddr,
        security: Security,
        bounds: BufferLimits,
    ) -> io::Result<(ConnectionId, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        // All proxies at once after a restart, and some.
        socket.listen(1024)?;
        let socket = TcpListener::from(socket);
        let (id, at) = (self.number(), socket.local_addr()?);
        // Deleted from the poller before it is closed, in `close_listeners` or when both are dropped.
        unsafe { self.poller.add_with_mode(&socket, Event::readable(id), PollMode::Level)? };
        let listener =
            Listener { socket, security, bounds, count: 0, open: true, held: false, rests_until: None };
        self.listeners.insert(id, listener);
        Ok((id, at))
    }

    /// Dials. That it stands, or not, is told later.
    pub fn dial(
        &mut self,
        to: SocketAddr,
        security: &Security,
        bounds: BufferLimits,
    ) -> io::Result<ConnectionId> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let refused = match socket.connect(&to.into()) {
            Ok(()) => false,
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => false,
            Err(_) => true,
        };
        let id = self.number();
        if refused {
            self.told.push(IoEvent::Closed { conn: id, why: CloseReason::Refused });
            return Ok(id);
        }
        let line = Connection::new(socket.into(), security.start()?, bounds, None, true, self.now());
        unsafe { self.poller.add_with_mode(line.socket(), Event::all(id), PollMode::Level)? };
        self.lines.insert(id, line);
        Ok(id)
    }

    /// Tells of a signal instead of dying by it.
    pub fn signal(&mut self, signal: i32) -> io::Result<()> {
        let (near, far) = UnixStream::pair()?;
        near.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, far)?;
        let id = self.number();
        unsafe { self.poller.add_with_mode(&near, Event::readable(id), PollMode::Level)? };
        self.signals.insert(id, (near, signal));
        Ok(())
    }

    /// Writes, now or as the other side reads. Past the bound, the connection ends.
    pub fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        if line.is_finishing() || bytes.is_empty() {
            return;
        }
        if line.queue(bytes) {
            self.flush(conn);
        } else {
            self.close(conn, CloseReason::Unread);
        }
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self, conn: ConnectionId) -> usize {
        self.lines.get(&conn).map_or(0, Connection::waiting)
    }

    pub fn is_open(&self, conn: ConnectionId) -> bool {
        self.lines.contains_key(&conn)
    }

    /// Reads no more from it for now, or again: what the peer sends then fills its own side.
    pub fn hold(&mut self, conn: ConnectionId, held: bool) {
        if let Some(line) = self.lines.get_mut(&conn) {
            line.held = held;
            let _ = interest(&self.poller, conn, line);
        }
    }

    /// Closes it once all is written.
    pub fn finish(&mut self, conn: ConnectionId) {
        let now = self.now();
        if let Some(line) = self.lines.get_mut(&conn) {
            line.finish(now + LINGER);
            self.flush(conn);
        }
    }

    /// Closes it at once; nothing more is told of it.
    pub fn cut(&mut self, conn: ConnectionId) {
        self.forget(conn);
    }

    /// Takes no new connections for now, or again: where descriptors run short, who comes waits in the system's queue.
    pub fn hold_listener(&mut self, id: ConnectionId, held: bool) {
        if let Some(listener) = self.listeners.get_mut(&id).filter(|l| l.open && l.held != held) {
            listener.held = held;
            self.arm(id);
        }
    }

    /// Looks for who comes to a listener, or no longer.
    fn arm(&self, id: ConnectionId) {
        if let Some(listener) = self.listeners.get(&id).filter(|l| l.open) {
            let event = if listener.takes() { Event::readable(id) } else { Event::none(id) };
            let _ = self.poller.modify_with_mode(&listener.socket, event, PollMode::Level);
        }
    }

    /// Takes newcomers again where the rest is over. Gives when the next one is.
    fn end_rests(&mut self, now: Duration) -> Option<Duration> {
        let over = |l: &Listener| l.rests_until.is_some_and(|until| now >= until);
        let over: Vec<ConnectionId> =
            self.listeners.iter().filter(|(_, l)| over(l)).map(|(id, _)| *id).collect();
        for id in over {
            self.listeners.entry(id).and_modify(|l| l.rests_until = None);
            self.arm(id);
        }
        self.listeners.values().filter_map(|l| l.rests_until).min()
    }

    /// Closes one listener for good; its connections stay.
    pub fn close_listener(&mut self, id: ConnectionId) {
        if let Some(listener) = self.listeners.remove(&id).filter(|l| l.open) {
            let _ = self.poller.delete(&listener.socket);
        }
    }

    /// Takes no new connections.
    pub fn close_listeners(&mut self) {
        for listener in self.listeners.values_mut().filter(|l| l.open) {
            listener.open = false;
            let _ = self.poller.delete(&listener.socket);
        }
    }

    fn forget(&mut self, conn: ConnectionId) {
        if let Some(line) = self.lines.remove(&conn) {
            let _ = self.poller.delete(line.socket());
            if let Some(listener) = line.listener.and_then(|l| self.listeners.get_mut(&l)) {
                listener.count -= 1;
            }
        }
    }

    fn close(&mut self, conn: ConnectionId, why: CloseReason) {
        let Some(line) = self.lines.get(&conn) else { return };
        // Of one that the other side ended this has been told.
        if !line.ended {
            self.told.push(IoEvent::Closed { conn, why });
        }
        self.forget(conn);
    }

    /// Ends the connections that the other side ended in the last turn, once what was written to them is out.
    fn part(&mut self, now: Duration) {
        for conn in std::mem::take(&mut self.parting) {
            match self.lines.get_mut(&conn) {
                Some(line) if line.waiting() > 0 => {
                    line.finish(now + LINGER);
                    let _ = interest(&self.poller, conn, line);
                }
                _ => self.forget(conn),
            }
        }
    }

    fn flush(&mut self, conn: ConnectionId) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        match line.flush() {
            Ok(()) => _ = interest(&self.poller, conn, line),
            Err(why) => {
                // What it sent before it broke counts: a last report behind which it closed, say.
                let mut outcome = Outcome::default();
                line.read(self.start.elapsed(), &mut outcome);
                if !outcome.bytes.is_empty() {
                    self.told.push(IoEvent::Bytes { conn, bytes: outcome.bytes });
                }
                self.close(conn, why);
            }
        }
    }

    /// One turn: waits until something is ready, or until `until`, and tells what happened.
    pub fn wait(&mut self, until: Option<Duration>) -> io::Result<Vec<IoEvent>> {
        if let Some(since) = self.busy_since.take() {
            self.lengths.saturating_record(since.elapsed().as_micros() as u64);
        }
        let now = self.now();
        self.part(now);
        let rest = self.end_rests(now);
        let due = until.into_iter().chain(rest).fold(self.swept + SWEEP, Duration::min).saturating_sub(now);
        let patience = if self.told.is_empty() { due } else { Duration::ZERO };
        self.events.clear();
        self.looked = now;
        match self.poller.wait(&mut self.events, Some(patience)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.busy_since = Some(Instant::now());
        let mut happened = std::mem::take(&mut self.told);
        let ready: Vec<Event> = self.events.iter().collect();
        let mut handshakes = 0;
        for event in ready {
            if self.lines.get(&event.key).is_some_and(Connection::is_shaking_hands) {
                handshakes += 1;
                if handshakes > self.handshakes {
                    continue;
                }
            }
            self.ready(event, &mut happened);
        }
        if self.now() >= self.swept + SWEEP {
            self.sweep();
        }
        happened.append(&mut self.told);
        Ok(happened)
    }

    fn ready(&mut self, event: Event, happened: &mut Vec<IoEvent>) {
        let id = event.key;
        if self.listeners.contains_key(&id) {
            self.accept(id);
            return;
        }
        if let Some((pipe, signal)) = self.signals.get_mut(&id) {
            let mut sink = [0; 64];
            while matches!(pipe.read(&mut sink), Ok(n) if n > 0) {}
            happened.push(IoEvent::Signal(*signal));
            return;
        }
        let now = self.now();
        let Some(line) = self.lines.get_mut(&id) else { return };
        let listener = line.listener;
        let outcome = line.ready(&event, now);
        if let Some(certificate) = outcome.opened {
            happened.push(IoEvent::Open { conn: id, listener, certificate });
        }
        if !outcome.bytes.is_empty() {
            happened.push(IoEvent::Bytes { conn: id, bytes: outcome.bytes });
        }
        match outcome.ended {
            // Half-closed: it may still read, and is owed the answers to what it sent.
            Some(CloseReason::Ended) if line.is_plain() && !line.is_finishing() => {
                line.ended = true;
                let _ = interest(&self.poller, id, line);
                self.parting.push(id);
                happened.push(IoEvent::Closed { conn: id, why: CloseReason::Ended });
            }
            Some(why) => {
                let told = line.ended;
                self.forget(id);
                if !told {
                    happened.push(IoEvent::Closed { conn: id, why });
                }
            }
            None if line.ended && line.waiting() == 0 => self.forget(id),
            None => {
                if let Some(line) = self.lines.get_mut(&id) {
                    let _ = interest(&self.poller, id, line);
                }
            }
        }
    }

    fn accept(&mut self, id: ConnectionId) {
        for _ in 0..self.accepts {
            let now = self.now();
            let Some(listener) = self.listeners.get_mut(&id).filter(|l| l.takes()) else { return };
            let stream = match listener.socket.accept() {
                Ok((stream, _)) => stream,
                Err(e) if SHORT.contains(&e.raw_os_error().unwrap_or(0)) => {
                    listener.rests_until = Some(now + REST);
                    self.arm(id);
                    return;
                }
                // What is not there any more is tried again with the next turn.
                Err(_) => return,
            };
            if listener.count >= listener.bounds.connections {
                self.turned_away += 1;
                continue;
            }
            let set = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            let Ok(tls) = set.and_then(|()| listener.security.start()) else { continue };
            let line = Connection::new(stream, tls, listener.bounds, Some(id), false, now);
            listener.count += 1;
            let conn = self.number();
            let plain = line.is_plain();
            let added =
                unsafe { self.poller.add_with_mode(line.socket(), Event::readable(conn), PollMode::Level) };
            self.lines.insert(conn, line);
            if added.is_err() {
                self.forget(conn);
                continue;
            }
            if plain {
                self.told.push(IoEvent::Open { conn, listener: Some(id), certificate: None });
            } else {
                // A side that starts the handshake has bytes to write at once.
                self.flush(conn);
            }
        }
    }

    fn sweep(&mut self) {
        self.swept = self.now();
        let late =
            |(conn, line): (&ConnectionId, &Connection)| line.late(self.looked).map(|why| (*conn, why));
        let late: Vec<(ConnectionId, CloseReason)> = self.lines.iter().filter_map(late).collect();
        late.into_iter().for_each(|(conn, why)| self.close(conn, why));
    }
}

/// There is no descriptor or no memory for one more connection now: ENOMEM, ENFILE, EMFILE, ENOBUFS.
const SHORT: [i32; 4] = [12, 23, 24, 105];
/// Connecting goes on in the background (Linux, and alike on what else this runs on).
const EINPROGRESS: i32 = 115;

fn interest(poller: &Poller, conn: ConnectionId, line: &mut Connection) -> io::Result<()> {
    let wanted = (line.wants_read(), line.wants_write());
    if line.interest != Some(wanted) {
        line.interest = Some(wanted);
        let event = Event::new(conn, wanted.0, wanted.1);
        let fd: BorrowedFd = line.socket().as_fd();
        poller.modify_with_mode(fd, event, PollMode::Level)?;
    }
    Ok(())
}
