//! One connection: its socket, TLS state, output buffer and deadlines.

use crate::{CloseReason, ConnectionId, ConnectionLimits};
use polling::{Event, PollMode, Poller};
use rustls::Connection as TlsConnection;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::time::Duration;

/// Bytes read from a plain socket at a time.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Which side opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Accepted { listener: ConnectionId },
    Dialed,
}

/// Stage of a connection's establishment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The TCP connection is being established.
    Connecting,
    /// The TLS handshake is in progress.
    Handshaking,
    /// Data can be exchanged.
    Open,
}

/// Readiness that a connection is polled for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Interest {
    readable: bool,
    writable: bool,
}

/// A connection that was just established.
pub(crate) struct Opened {
    /// The peer's certificate (DER), if it presented one.
    pub(crate) certificate: Option<Vec<u8>>,
}

/// Result of reading and writing a connection.
#[derive(Default)]
pub(crate) struct IoOutcome {
    pub(crate) opened: Option<Opened>,
    pub(crate) bytes: Vec<u8>,
    pub(crate) closed: Option<CloseReason>,
}

pub(crate) struct Connection {
    stream: TcpStream,
    tls: Option<TlsConnection>,
    limits: ConnectionLimits,
    origin: Origin,
    state: State,
    is_read_paused: bool,
    /// The peer has closed its sending half, and the close was returned as an event.
    is_half_closed: bool,
    output: Vec<u8>,
    /// Number of bytes at the start of `output` that are written.
    written: usize,
    /// Set while the connection is finishing: the time at which it is closed at the latest.
    finish_deadline: Option<Duration>,
    /// This side has closed its sending half.
    is_shut_down: bool,
    opened_at: Duration,
    last_read_at: Duration,
    interest: Option<Interest>,
}

impl Connection {
    pub(crate) fn new(
        stream: TcpStream,
        tls: Option<TlsConnection>,
        limits: ConnectionLimits,
        origin: Origin,
        now: Duration,
    ) -> Connection {
        let state = match origin {
            Origin::Dialed => State::Connecting,
            Origin::Accepted { .. } => State::after_connecting(tls.is_some()),
        };
        Connection {
            stream,
            tls,
            limits,
            origin,
            state,
            is_read_paused: false,
            is_half_closed: false,
            output: Vec::new(),
            written: 0,
            finish_deadline: None,
            is_shut_down: false,
            opened_at: now,
            last_read_at: now,
            interest: None,
        }
    }

    pub(crate) fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// The listener that accepted the connection; `None` if it was dialed.
    pub(crate) fn listener(&self) -> Option<ConnectionId> {
        match self.origin {
            Origin::Accepted { listener } => Some(listener),
            Origin::Dialed => None,
        }
    }

    pub(crate) fn is_plain(&self) -> bool {
        self.tls.is_none()
    }

    /// Whether the TLS handshake, the costly part of a connection, is in progress.
    pub(crate) fn is_handshaking(&self) -> bool {
        self.state == State::Handshaking
    }

    pub(crate) fn is_finishing(&self) -> bool {
        self.finish_deadline.is_some()
    }

    pub(crate) fn is_half_closed(&self) -> bool {
        self.is_half_closed
    }

    /// Marks that the peer has closed its sending half. Output that was buffered is still written.
    pub(crate) fn set_half_closed(&mut self) {
        self.is_half_closed = true;
    }

    pub(crate) fn pause_reading(&mut self, is_paused: bool) {
        self.is_read_paused = is_paused;
    }

    /// Output bytes that are buffered and not yet written.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Buffers bytes for writing; `false` if that would exceed the limit of unsent bytes.
    #[must_use]
    pub(crate) fn queue(&mut self, bytes: &[u8]) -> bool {
        if self.unsent_bytes() + bytes.len() > self.limits.max_unsent_bytes {
            return false;
        }
        if self.written > 0 && self.written >= self.output.len() / 2 {
            self.output.drain(..self.written);
            self.written = 0;
        }
        self.output.extend_from_slice(bytes);
        true
    }

    /// Closes this side once all output is written; the connection ends at the deadline at the latest. The deadline of
    /// an earlier call stays.
    pub(crate) fn finish(&mut self, deadline: Duration) {
        self.finish_deadline.get_or_insert(deadline);
    }

    fn wants_read(&self) -> bool {
        !self.is_read_paused && self.state != State::Connecting && !self.is_half_closed
    }

    fn wants_write(&self) -> bool {
        self.state == State::Connecting
            || self.tls.as_ref().is_some_and(|tls| tls.wants_write())
            || (self.state == State::Open && self.unsent_bytes() > 0)
    }

    /// Updates the poller's registration if the readiness to poll for has changed.
    pub(crate) fn update_interest(&mut self, poller: &Poller, id: ConnectionId) -> io::Result<()> {
        let interest = Interest { readable: self.wants_read(), writable: self.wants_write() };
        if self.interest == Some(interest) {
            return Ok(());
        }
        self.interest = Some(interest);
        let event = Event::new(id, interest.readable, interest.writable);
        poller.modify_with_mode(self.stream.as_fd(), event, PollMode::Level)
    }

    /// Why the connection is to be closed, if a deadline has passed by `read_until`.
    pub(crate) fn overdue_reason(&self, read_until: Duration) -> Option<CloseReason> {
        if self.finish_deadline.is_some_and(|deadline| read_until >= deadline) {
            return Some(CloseReason::Finished);
        }
        if self.state != State::Open {
            let deadline = self.opened_at + self.limits.handshake_timeout;
            return (read_until >= deadline).then_some(CloseReason::Slow);
        }
        let idle_timeout = self.limits.idle_timeout.filter(|_| !self.is_read_paused)?;
        (read_until >= self.last_read_at + idle_timeout).then_some(CloseReason::Idle)
    }

    /// Reads and writes what the socket is ready for.
    pub(crate) fn handle_ready(&mut self, event: &Event, now: Duration) -> IoOutcome {
        let mut outcome = IoOutcome::default();
        if self.state == State::Connecting {
            if event.writable || event.readable {
                self.finish_connecting(&mut outcome);
            }
            if self.state == State::Connecting {
                return outcome;
            }
        }
        if event.readable && !self.is_read_paused && !self.is_half_closed {
            self.read(now, &mut outcome);
        }
        if outcome.closed.is_none() {
            outcome.closed = self.flush().err();
        }
        self.finish_handshake(&mut outcome);
        outcome
    }

    fn finish_connecting(&mut self, outcome: &mut IoOutcome) {
        match (self.stream.take_error(), self.stream.peer_addr()) {
            (Ok(None), Ok(_)) => self.state = State::after_connecting(self.tls.is_some()),
            // No error, but no peer either: the connection is still being established.
            (Ok(None), Err(_)) => {}
            _ => outcome.closed = Some(CloseReason::Refused),
        }
        if self.state == State::Open {
            outcome.opened = Some(Opened { certificate: None });
        }
    }

    fn finish_handshake(&mut self, outcome: &mut IoOutcome) {
        let Some(tls) = self.tls.as_ref().filter(|tls| self.state != State::Open && !tls.is_handshaking())
        else {
            return;
        };
        self.state = State::Open;
        let certificate = tls.peer_certificates().and_then(|chain| chain.first());
        let certificate = certificate.map(|certificate| certificate.as_ref().to_vec());
        outcome.opened = Some(Opened { certificate });
        // Sends what was queued during the handshake.
        let flushed = self.flush();
        outcome.closed = outcome.closed.or(flushed.err());
    }

    /// Reads until the socket is empty or `read_bytes_per_poll` is reached; bytes that are left keep the socket
    /// readable.
    pub(crate) fn read(&mut self, now: Duration, outcome: &mut IoOutcome) {
        let mut buffer = [0u8; READ_BUFFER_BYTES];
        while outcome.bytes.len() < self.limits.read_bytes_per_poll && outcome.closed.is_none() {
            let result = match &mut self.tls {
                None => self.stream.read(&mut buffer),
                Some(tls) => tls.read_tls(&mut self.stream),
            };
            match result {
                Ok(0) => {
                    let is_open = self.state == State::Open;
                    outcome.closed = Some(if is_open { CloseReason::Ended } else { CloseReason::Broken });
                }
                Ok(count) => {
                    self.last_read_at = now;
                    match &mut self.tls {
                        None => outcome.bytes.extend_from_slice(&buffer[..count]),
                        Some(_) => self.decrypt(outcome),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => outcome.closed = Some(CloseReason::Broken),
            }
        }
        if self.is_finishing() {
            // The caller has finished the connection and expects no more input.
            outcome.bytes.clear();
            outcome.closed = outcome.closed.map(|_| CloseReason::Finished);
        }
    }

    fn decrypt(&mut self, outcome: &mut IoOutcome) {
        let Some(tls) = &mut self.tls else { return };
        let Ok(state) = tls.process_new_packets() else {
            // The TLS alert tells the peer the cause.
            let _ = tls.write_tls(&mut self.stream);
            let is_open = self.state == State::Open;
            outcome.closed = Some(if is_open { CloseReason::Broken } else { CloseReason::Untrusted });
            return;
        };
        let start = outcome.bytes.len();
        outcome.bytes.resize(start + state.plaintext_bytes_to_read(), 0);
        if tls.reader().read_exact(&mut outcome.bytes[start..]).is_err() {
            outcome.bytes.truncate(start);
        }
        if state.peer_has_closed() {
            outcome.closed = Some(CloseReason::Ended);
        }
    }

    /// Writes what the socket accepts. Closes this side if the connection is finishing and all output is written.
    pub(crate) fn flush(&mut self) -> Result<(), CloseReason> {
        if self.state == State::Connecting {
            return Ok(());
        }
        loop {
            let has_output = self.unsent_bytes() > 0;
            let output = &self.output[self.written..];
            let result = match &mut self.tls {
                None if has_output => self.stream.write(output).map(|count| self.written += count),
                Some(tls) if tls.wants_write() => tls.write_tls(&mut self.stream).map(|_| ()),
                Some(tls) if has_output && !tls.is_handshaking() => {
                    tls.writer().write(output).map(|count| self.written += count)
                }
                _ => break,
            };
            match result {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(CloseReason::Broken),
            }
        }
        if self.unsent_bytes() == 0 {
            self.output.clear();
            self.written = 0;
        }
        if self.is_finishing() && self.unsent_bytes() == 0 {
            self.shut_down();
        }
        Ok(())
    }

    /// Closes this side's sending half, if that has not been done.
    fn shut_down(&mut self) {
        if self.is_shut_down {
            return;
        }
        self.is_shut_down = true;
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = tls.write_tls(&mut self.stream);
        }
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl State {
    fn after_connecting(has_tls: bool) -> State {
        if has_tls {
            State::Handshaking
        } else {
            State::Open
        }
    }
}
