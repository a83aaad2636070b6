//! One connection: its socket, its TLS state, and what waits to be written.

use crate::{BufferLimits, CloseReason};
use polling::Event;
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, Connection as TlsConnection, ServerConfig, ServerConnection};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// How a connection is secured, told apart from who dialled: with Call Home (RFC 8071) the side that accepts
/// the TCP connection starts TLS.
#[derive(Clone)]
pub enum Security {
    Plain,
    /// This side takes the other's hello.
    Answers(Arc<ServerConfig>),
    /// This side says hello, and expects the other to be called so.
    Starts(Arc<ClientConfig>, ServerName<'static>),
}

impl Security {
    pub(crate) fn start(&self) -> io::Result<Option<TlsConnection>> {
        let bounded = |mut connection: TlsConnection| {
            // What waits is kept, and bounded, outside of the library.
            connection.set_buffer_limit(Some(TLS_BUFFER));
            Some(connection)
        };
        Ok(match self {
            Security::Plain => None,
            Security::Answers(terms) => {
                bounded(ServerConnection::new(terms.clone()).map_err(io::Error::other)?.into())
            }
            Security::Starts(terms, name) => {
                let connection = ClientConnection::new(terms.clone(), name.clone());
                bounded(connection.map_err(io::Error::other)?.into())
            }
        })
    }
}

/// Four records of TLS: enough to keep the socket busy.
const TLS_BUFFER: usize = 64 << 10;

/// What reading and writing brought.
#[derive(Default)]
pub struct Outcome {
    /// It stands now; the peer's certificate, if there is one.
    pub opened: Option<Option<Vec<u8>>>,
    pub bytes: Vec<u8>,
    pub ended: Option<CloseReason>,
}

pub struct Connection {
    stream: TcpStream,
    tls: Option<TlsConnection>,
    bounds: BufferLimits,
    pub listener: Option<usize>,
    connecting: bool,
    open: bool,
    pub held: bool,
    /// The other side has ended it, and that was told.
    pub ended: bool,
    out: Vec<u8>,
    written: usize,
    finish_by: Option<Duration>,
    goodbye: bool,
    since: Duration,
    read_at: Duration,
    pub interest: Option<(bool, bool)>,
}

impl Connection {
    pub fn new(
        stream: TcpStream,
        tls: Option<TlsConnection>,
        bounds: BufferLimits,
        listener: Option<usize>,
        connecting: bool,
        now: Duration,
    ) -> Connection {
        let open = tls.is_none() && !connecting;
        Connection {
            stream,
            tls,
            bounds,
            listener,
            connecting,
            open,
            held: false,
            ended: false,
            out: Vec::new(),
            written: 0,
            finish_by: None,
            goodbye: false,
            since: now,
            read_at: now,
            interest: None,
        }
    }

    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    pub fn is_plain(&self) -> bool {
        self.tls.is_none()
    }

    /// Connected, and TLS is not agreed yet: the costly part of a connection.
    pub fn is_shaking_hands(&self) -> bool {
        !self.connecting && !self.open && self.tls.is_some()
    }

    pub fn waiting(&self) -> usize {
        self.out.len() - self.written
    }

    pub fn is_finishing(&self) -> bool {
        self.finish_by.is_some()
    }

    /// Takes bytes to be written; false: they are more than may wait.
    pub fn queue(&mut self, bytes: &[u8]) -> bool {
        if self.waiting() + bytes.len() > self.bounds.unread {
            return false;
        }
        if self.written > 0 && self.written >= self.out.len() / 2 {
            self.out.drain(..self.written);
            self.written = 0;
        }
        self.out.extend_from_slice(bytes);
        true
    }

    pub fn finish(&mut self, by: Duration) {
        self.finish_by.get_or_insert(by);
    }

    pub fn wants_read(&self) -> bool {
        !self.held && !self.connecting && !self.ended
    }

    pub fn wants_write(&self) -> bool {
        self.connecting
            || self.tls.as_ref().is_some_and(|t| t.wants_write())
            || (self.open && self.waiting() > 0)
    }

    /// Overdue: why it ends.
    pub fn late(&self, now: Duration) -> Option<CloseReason> {
        if self.finish_by.is_some_and(|by| now >= by) {
            return Some(CloseReason::Finished);
        }
        if !self.open {
            return (now >= self.since + self.bounds.handshake).then_some(CloseReason::Slow);
        }
        let idle = self.bounds.idle.is_some_and(|idle| !self.held && now >= self.read_at + idle);
        idle.then_some(CloseReason::Idle)
    }

    pub fn ready(&mut self, event: &Event, now: Duration) -> Outcome {
        let mut outcome = Outcome::default();
        if self.connecting {
            if !event.writable && !event.readable {
                return outcome;
            }
            match (self.stream.take_error(), self.stream.peer_addr()) {
                (Ok(None), Ok(_)) => self.connecting = false,
                (Ok(None), Err(_)) => return outcome,
                _ => {
                    outcome.ended = Some(CloseReason::Refused);
                    return outcome;
                }
            }
            if self.tls.is_none() {
                self.open = true;
                outcome.opened = Some(None);
            }
        }
        if event.readable && !self.held && !self.ended {
            self.read(now, &mut outcome);
        }
        if outcome.ended.is_none() {
            outcome.ended = self.flush().err();
        }
        self.look_open(&mut outcome);
        outcome
    }

    fn look_open(&mut self, outcome: &mut Outcome) {
        let Some(tls) = self.tls.as_ref().filter(|t| !self.open && !t.is_handshaking()) else { return };
        self.open = true;
        let certificate = tls.peer_certificates().and_then(|c| c.first()).map(|c| c.as_ref().to_vec());
        outcome.opened = Some(certificate);
        // What was queued before the handshake ended.
        if let (None, Err(why)) = (outcome.ended, self.flush()) {
            outcome.ended = Some(why);
        }
    }

    /// Reads a share of what is there.
    pub fn read(&mut self, now: Duration, outcome: &mut Outcome) {
        let mut buffer = [0u8; 16 << 10];
        // A share a turn; what is left keeps the socket ready.
        while outcome.bytes.len() < self.bounds.share && outcome.ended.is_none() {
            let read = match &mut self.tls {
                None => self.stream.read(&mut buffer),
                Some(tls) => tls.read_tls(&mut self.stream),
            };
            match read {
                Ok(0) => {
                    outcome.ended = Some(if self.open { CloseReason::Ended } else { CloseReason::Broken })
                }
                Ok(n) => {
                    self.read_at = now;
                    match &mut self.tls {
                        None => outcome.bytes.extend_from_slice(&buffer[..n]),
                        Some(_) => self.decrypt(outcome),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => outcome.ended = Some(CloseReason::Broken),
            }
        }
        if self.is_finishing() {
            // Nobody here listens any more.
            outcome.bytes.clear();
            outcome.ended = outcome.ended.map(|_| CloseReason::Finished);
        }
    }

    fn decrypt(&mut self, outcome: &mut Outcome) {
        let Some(tls) = &mut self.tls else { return };
        let state = match tls.process_new_packets() {
            Ok(state) => state,
            Err(_) => {
                // The alert tells the other side why.
                let _ = tls.write_tls(&mut self.stream);
                outcome.ended = Some(if self.open { CloseReason::Broken } else { CloseReason::Untrusted });
                return;
            }
        };
        let from = outcome.bytes.len();
        outcome.bytes.resize(from + state.plaintext_bytes_to_read(), 0);
        if tls.reader().read_exact(&mut outcome.bytes[from..]).is_err() {
            outcome.bytes.truncate(from);
        }
        if state.peer_has_closed() {
            outcome.ended = Some(CloseReason::Ended);
        }
    }

    /// Writes what the socket takes.
    pub fn flush(&mut self) -> Result<(), CloseReason> {
        if self.connecting {
            return Ok(());
        }
        loop {
            let waiting = self.waiting();
            let wrote = match &mut self.tls {
                None if waiting == 0 => break,
                None => self.stream.write(&self.out[self.written..]).map(|n| self.written += n),
                Some(tls) if tls.wants_write() => tls.write_tls(&mut self.stream).map(|_| ()),
                Some(tls) if waiting > 0 && !tls.is_handshaking() => {
                    tls.writer().write(&self.out[self.written..]).map(|n| self.written += n)
                }
                Some(_) => break,
            };
            match wrote {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(CloseReason::Broken),
            }
        }
        if self.written == self.out.len() {
            self.out.clear();
            self.written = 0;
        }
        if self.is_finishing() && !self.goodbye && self.waiting() == 0 {
            self.goodbye = true;
            if let Some(tls) = &mut self.tls {
                tls.send_close_notify();
                let _ = tls.write_tls(&mut self.stream);
            }
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }
}
