//! Connections to endpoints: sends attempts, reads responses, and keeps idle connections for later requests.

use super::ProxyRuntime;
use crate::http::{serialize_response, Message, MessageReader};
use runloom_event_loop::{CloseReason, ConnectionId, ConnectionLimits, EventLoop, Security};
use runloom_proxy::{AttemptOutcome, RejectionReason, RequestAction, RequestId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most idle connections to keep open to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time within which a connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection is closed after this time without receiving a byte.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Status with which an endpoint rejects a request, if the response has [`REJECTED_HEADER`].
const STATUS_UNAVAILABLE: u16 = 503;
/// Response header of an endpoint that rejected the request without starting to process it.
const REJECTED_HEADER: &str = "runloom-turned-away";
/// Response header with an endpoint's load report.
const LOAD_HEADER: &str = "runloom-load";

/// A connection to one endpoint.
struct UpstreamConnection {
    address: SocketAddr,
    reader: MessageReader,
    /// The request that it serves; `None` while it is idle.
    request: Option<RequestId>,
    is_established: bool,
    dialed_at: Duration,
}

/// All connections to endpoints.
#[derive(Default)]
pub(super) struct UpstreamConnections {
    connections: BTreeMap<ConnectionId, UpstreamConnection>,
    idle: BTreeMap<SocketAddr, Vec<ConnectionId>>,
}

impl UpstreamConnections {
    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// When the first of the connections that are not established yet times out.
    pub(super) fn next_connect_timeout(&self) -> Option<Duration> {
        let connecting = self.connections.values().filter(|upstream| !upstream.is_established);
        connecting.map(|upstream| upstream.dialed_at + CONNECT_TIMEOUT).min()
    }

    /// Connections that were not established within [`CONNECT_TIMEOUT`].
    fn stalled(&self, now: Duration) -> Vec<ConnectionId> {
        let is_stalled = |upstream: &UpstreamConnection| {
            !upstream.is_established && now >= upstream.dialed_at + CONNECT_TIMEOUT
        };
        let stalled = self.connections.iter().filter(|(_, upstream)| is_stalled(upstream));
        stalled.map(|(connection, _)| *connection).collect()
    }

    fn take_idle(&mut self, address: SocketAddr) -> Option<ConnectionId> {
        self.idle.get_mut(&address).and_then(Vec::pop)
    }

    fn insert_dialed(&mut self, connection: ConnectionId, address: SocketAddr, now: Duration) {
        let upstream = UpstreamConnection {
            address,
            reader: MessageReader::responses(),
            request: None,
            is_established: false,
            dialed_at: now,
        };
        self.connections.insert(connection, upstream);
    }

    fn request(&self, connection: ConnectionId) -> Option<RequestId> {
        self.connections.get(&connection).and_then(|upstream| upstream.request)
    }

    /// Keeps a connection for a later request. Returns false if there are enough idle connections.
    fn keep_idle(&mut self, connection: ConnectionId, address: SocketAddr) -> bool {
        let idle = self.idle.entry(address).or_default();
        let is_kept = idle.len() < MAX_IDLE_CONNECTIONS;
        if is_kept {
            idle.push(connection);
        }
        is_kept
    }

    fn remove(&mut self, connection: ConnectionId) -> Option<UpstreamConnection> {
        let upstream = self.connections.remove(&connection)?;
        if let Some(idle) = self.idle.get_mut(&upstream.address) {
            idle.retain(|other| *other != connection);
        }
        Some(upstream)
    }
}

/// The outcome of an attempt that was answered with this response.
fn response_outcome(response: &Message) -> AttemptOutcome {
    let load = response.numbers(LOAD_HEADER);
    match response.code {
        STATUS_UNAVAILABLE if response.header(REJECTED_HEADER).is_some() => AttemptOutcome::Rejected { load },
        500..=599 => AttemptOutcome::ErrorResponse { load },
        _ => AttemptOutcome::Success { load },
    }
}

impl ProxyRuntime {
    /// Sends a request to an endpoint, on an idle connection if there is one.
    pub(super) fn start_attempt(&mut self, event_loop: &mut EventLoop, id: RequestId, address: SocketAddr) {
        let connection = match self.upstreams.take_idle(address) {
            Some(idle) => Some(idle),
            None => self.dial_upstream(event_loop, address),
        };
        let Some(connection) = connection else {
            return self.attempt_ended(event_loop, id, AttemptOutcome::ConnectionFailed, None);
        };
        self.requests.set_upstream(id, connection);
        let Some(upstream) = self.upstreams.connections.get_mut(&connection) else { return };
        upstream.request = Some(id);
        if upstream.is_established {
            self.write_request(event_loop, connection);
        }
    }

    /// Dials an endpoint. `None`: no socket could be opened, and nothing was written.
    fn dial_upstream(&mut self, event_loop: &mut EventLoop, address: SocketAddr) -> Option<ConnectionId> {
        let limits = ConnectionLimits {
            idle_timeout: Some(IDLE_TIMEOUT),
            handshake_timeout: CONNECT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        let connection = event_loop.dial(address, &Security::Plain, limits).ok()?;
        self.upstreams.insert_dialed(connection, address, event_loop.now());
        self.opened_connections.push(connection);
        Some(connection)
    }

    pub(super) fn upstream_established(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        if let Some(upstream) = self.upstreams.connections.get_mut(&connection) {
            upstream.is_established = true;
            self.write_request(event_loop, connection);
        }
    }

    fn write_request(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        let id = self.upstreams.request(connection);
        if let Some(message) = id.and_then(|id| self.requests.message(id)) {
            event_loop.write(connection, message);
        }
    }

    pub(super) fn read_upstream(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(upstream) = self.upstreams.connections.get_mut(&connection) else { return };
        let Some(id) = upstream.request else {
            // Unsolicited bytes would be taken for the response to the next request.
            return self.close_upstream(event_loop, connection);
        };
        upstream.reader.push(bytes);
        match upstream.reader.next_message() {
            Ok(None) => {}
            Ok(Some(response)) => self.response_received(event_loop, connection, id, &response),
            Err(_) => {
                self.close_upstream(event_loop, connection);
                self.attempt_ended(event_loop, id, AttemptOutcome::ClosedAfterWrite, None);
            }
        }
    }

    fn response_received(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        id: RequestId,
        response: &Message,
    ) {
        let Some(upstream) = self.upstreams.connections.get_mut(&connection) else { return };
        upstream.request = None;
        let address = upstream.address;
        let is_reusable = !response.close && upstream.reader.buffered_bytes() == 0;
        if !(is_reusable && self.upstreams.keep_idle(connection, address)) {
            self.close_upstream(event_loop, connection);
        }
        let message = serialize_response(response.code, &response.headers, &response.body);
        self.attempt_ended(event_loop, id, response_outcome(response), Some(message));
    }

    /// Handles the end of an attempt: retries the request, responds to it or rejects it. `response` is the endpoint's,
    /// if it sent one.
    fn attempt_ended(
        &mut self,
        event_loop: &mut EventLoop,
        id: RequestId,
        outcome: AttemptOutcome,
        response: Option<Vec<u8>>,
    ) {
        match self.proxy.attempt_ended(event_loop.now(), id, outcome) {
            None => {}
            Some(RequestAction::Send { address, .. }) => self.start_attempt(event_loop, id, address),
            Some(RequestAction::Respond) => {
                if let Some(request) = self.requests.remove(id) {
                    self.respond(event_loop, request.client, &response.unwrap_or_default());
                }
            }
            Some(RequestAction::Reject { reason, retry_after }) => {
                let Some(request) = self.requests.remove(id) else { return };
                match response {
                    // An endpoint's own error response goes to the client unchanged.
                    Some(response) => self.respond(event_loop, request.client, &response),
                    None => self.reject(event_loop, request.client, reason, retry_after),
                }
            }
        }
    }

    /// Handles the close of a connection to an endpoint, which ends the attempt on it.
    pub(super) fn upstream_closed(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        let Some(upstream) = self.upstreams.remove(connection) else { return };
        let Some(id) = upstream.request else { return };
        // Without an established connection nothing was sent; on an established one the whole request may have been.
        let outcome = match upstream.is_established {
            true => AttemptOutcome::ClosedAfterWrite,
            false => AttemptOutcome::ConnectionFailed,
        };
        self.attempt_ended(event_loop, id, outcome, None);
    }

    /// Cancels a request whose client disconnected or whose deadline passed. Returns the client's connection.
    pub(super) fn cancel_request(
        &mut self,
        event_loop: &mut EventLoop,
        id: RequestId,
    ) -> Option<ConnectionId> {
        let request = self.requests.remove(id);
        self.proxy.cancel_request(event_loop.now(), id);
        let request = request?;
        let serving = request.upstream.filter(|connection| self.upstreams.request(*connection) == Some(id));
        if let Some(connection) = serving {
            // Its response would be taken for the response to the next request.
            self.close_upstream(event_loop, connection);
        }
        Some(request.client)
    }

    /// Rejects requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self, event_loop: &mut EventLoop, now: Duration) {
        while let Some(id) = self.requests.pop_expired(now) {
            if let Some(client) = self.cancel_request(event_loop, id) {
                self.reject(event_loop, client, RejectionReason::DeadlineExceeded, None);
            }
        }
    }

    /// Closes connections to endpoints that were not established in time.
    pub(super) fn close_stalled_upstreams(&mut self, event_loop: &mut EventLoop, now: Duration) {
        for connection in self.upstreams.stalled(now) {
            event_loop.abort(connection);
            self.connection_closed(event_loop, connection, CloseReason::Slow);
        }
    }

    fn close_upstream(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        event_loop.abort(connection);
        self.upstreams.remove(connection);
    }
}
