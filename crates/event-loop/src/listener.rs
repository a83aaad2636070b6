//! Listeners: accepting connections, pausing, and backing off when file descriptors run out.

use crate::connection::{Connection, Origin};
use crate::event_loop::{new_socket, EventLoop};
use crate::{ConnectionId, ConnectionLimits, IoEvent, Security};
use polling::{Event, PollMode};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Length of the kernel's accept queue: holds all proxies that reconnect at once after a restart, with a reserve.
const LISTEN_BACKLOG: i32 = 1024;
/// How long a listener stops accepting after file descriptors have run out. Pending connections keep its socket
/// readable, so that an immediate retry would keep the loop busy.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Error numbers for a lack of file descriptors or memory: ENOMEM, ENFILE, EMFILE, ENOBUFS.
const RESOURCE_ERRORS: [i32; 4] = [12, 23, 24, 105];

/// A listening socket.
pub(crate) struct Listener {
    socket: TcpListener,
    security: Security,
    limits: ConnectionLimits,
    /// Open connections that it accepted.
    connection_count: usize,
    /// Set once it has stopped accepting for good.
    is_closed: bool,
    /// Accepting is paused by the caller; connections wait in the kernel's accept queue.
    is_paused: bool,
    /// Nothing is accepted until then, because file descriptors or memory ran out.
    backoff_until: Option<Duration>,
}

impl Listener {
    fn is_accepting(&self) -> bool {
        !self.is_closed && !self.is_paused && self.backoff_until.is_none()
    }

    pub(crate) fn connection_closed(&mut self) {
        self.connection_count -= 1;
    }

    /// Configures an accepted socket and creates its TLS state.
    fn new_connection(&self, stream: TcpStream, id: ConnectionId, now: Duration) -> io::Result<Connection> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let tls = self.security.new_tls_connection()?;
        Ok(Connection::new(stream, tls, self.limits, Origin::Accepted { listener: id }, now))
    }
}

impl EventLoop {
    /// Starts listening on `address`. Returns the listener's id and its address, which has the assigned port if
    /// `address` has port 0.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        security: Security,
        limits: ConnectionLimits,
    ) -> io::Result<(ConnectionId, SocketAddr)> {
        let socket = new_socket(address)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let socket = TcpListener::from(socket);
        let id = self.next_id();
        let bound_address = socket.local_addr()?;
        // SAFETY: `close_listener` and `close_listeners` delete the socket from the poller before it is closed. Any
        // other listener is closed only when the event loop is dropped, after which nothing polls.
        unsafe { self.poller.add_with_mode(&socket, Event::readable(id), PollMode::Level)? };
        let listener = Listener {
            socket,
            security,
            limits,
            connection_count: 0,
            is_closed: false,
            is_paused: false,
            backoff_until: None,
        };
        self.listeners.insert(id, listener);
        Ok((id, bound_address))
    }

    /// Pauses or resumes accepting; while paused, connections wait in the kernel's accept queue.
    pub fn pause_accepting(&mut self, id: ConnectionId, is_paused: bool) {
        let listener = self.listeners.get_mut(&id);
        if let Some(listener) = listener.filter(|listener| listener.is_paused != is_paused) {
            listener.is_paused = is_paused;
            self.update_listener_interest(id);
        }
    }

    /// Closes one listener; its connections stay open.
    pub fn close_listener(&mut self, id: ConnectionId) {
        if let Some(listener) = self.listeners.remove(&id).filter(|listener| !listener.is_closed) {
            let _ = self.poller.delete(&listener.socket);
        }
    }

    /// Stops accepting on all listeners for good; their connections stay open.
    pub fn close_listeners(&mut self) {
        for listener in self.listeners.values_mut().filter(|listener| !listener.is_closed) {
            listener.is_closed = true;
            let _ = self.poller.delete(&listener.socket);
        }
    }

    /// Polls a listener for new connections if it is accepting, and for nothing otherwise.
    fn update_listener_interest(&self, id: ConnectionId) {
        if let Some(listener) = self.listeners.get(&id).filter(|listener| !listener.is_closed) {
            let event = if listener.is_accepting() { Event::readable(id) } else { Event::none(id) };
            let _ = self.poller.modify_with_mode(&listener.socket, event, PollMode::Level);
        }
    }

    /// Resumes accepting on listeners whose backoff is over; returns when the next backoff ends.
    pub(crate) fn end_accept_backoffs(&mut self, now: Duration) -> Option<Duration> {
        let is_over =
            |listener: &Listener| listener.backoff_until.is_some_and(|backoff_until| now >= backoff_until);
        let ready: Vec<ConnectionId> =
            self.listeners.iter().filter(|(_, listener)| is_over(listener)).map(|(id, _)| *id).collect();
        for id in ready {
            self.listeners.entry(id).and_modify(|listener| listener.backoff_until = None);
            self.update_listener_interest(id);
        }
        self.listeners.values().filter_map(|listener| listener.backoff_until).min()
    }

    /// Accepts pending connections, up to `max_accepts`.
    pub(crate) fn accept(&mut self, id: ConnectionId) {
        for _ in 0..self.max_accepts {
            let now = self.now();
            let listener = self.listeners.get_mut(&id).filter(|listener| listener.is_accepting());
            let Some(listener) = listener else { return };
            let stream = match listener.socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) if RESOURCE_ERRORS.contains(&error.raw_os_error().unwrap_or(0)) => {
                    listener.backoff_until = Some(now + ACCEPT_BACKOFF);
                    self.update_listener_interest(id);
                    return;
                }
                // No connection is pending; other errors are retried in the next iteration.
                Err(_) => return,
            };
            if listener.connection_count >= listener.limits.max_connections {
                self.rejected_connections += 1;
                continue;
            }
            let Ok(connection) = listener.new_connection(stream, id, now) else { continue };
            listener.connection_count += 1;
            self.add_accepted(connection, id);
        }
    }

    fn add_accepted(&mut self, connection: Connection, listener: ConnectionId) {
        let conn = self.next_id();
        let is_plain = connection.is_plain();
        // SAFETY: the socket is deleted from the poller in `remove`, before it is closed.
        let added =
            unsafe { self.poller.add_with_mode(connection.socket(), Event::readable(conn), PollMode::Level) };
        self.connections.insert(conn, connection);
        if added.is_err() {
            self.remove(conn);
        } else if is_plain {
            let event = IoEvent::Open { conn, listener: Some(listener), certificate: None };
            self.pending_events.push(event);
        } else {
            // With call home this side is the TLS client, whose ClientHello is ready to be sent.
            self.flush(conn);
        }
    }
}
