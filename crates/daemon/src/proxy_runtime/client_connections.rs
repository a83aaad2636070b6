//! Connections of clients: reads requests, one at a time per connection, and writes responses.

use super::requests::RequestInFlight;
use super::ProxyRuntime;
use crate::http::{serialize_request, serialize_response, HttpError, Message, MessageReader};
use runloom_event_loop::{ConnectionId, EventLoop};
use runloom_proxy::{RejectionReason, RequestAction, RequestId};
use std::time::Duration;

/// Bytes of further requests to buffer while one is in flight; beyond this, reading from the connection is paused.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_TOO_LARGE: u16 = 413;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// The connection of one client.
pub(super) struct ClientConnection {
    reader: MessageReader,
    request: Option<RequestId>,
    close_after_response: bool,
}

impl ClientConnection {
    pub(super) fn new() -> ClientConnection {
        ClientConnection { reader: MessageReader::requests(), request: None, close_after_response: false }
    }

    /// The request in flight on this connection, if there is one.
    pub(super) fn request(&self) -> Option<RequestId> {
        self.request
    }

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.reader.push(bytes);
    }
}

impl ProxyRuntime {
    /// Handles the next complete request of a client, unless one is in flight.
    pub(super) fn read_client(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        if client.request.is_some() {
            if client.reader.buffered_bytes() > MAX_PIPELINED_BYTES {
                event_loop.pause_reading(connection, true);
            }
            return;
        }
        match client.reader.next_message() {
            Ok(None) => {}
            Ok(Some(request)) => self.request_received(event_loop, connection, request),
            Err(error) => {
                let status =
                    if error == HttpError::Malformed { STATUS_BAD_REQUEST } else { STATUS_TOO_LARGE };
                event_loop.write(connection, &serialize_response(status, &[], b""));
                event_loop.finish(connection);
                self.clients.remove(&connection);
            }
        }
    }

    /// Sends or rejects a request. Its traffic class is the first segment of its path.
    fn request_received(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        mut request: Message,
    ) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.close_after_response = request.close;
        }
        let class = request.path.split('/').nth(1).and_then(|name| self.proxy.class_index(name));
        let Some(class) = class else {
            let response = serialize_response(STATUS_NOT_FOUND, &[], b"no such class\n");
            return self.respond(event_loop, connection, &response);
        };
        let id = self.requests.next_id();
        request.headers.push(("runloom-proxy".into(), self.settings.name.clone()));
        let message = serialize_request(&request);
        match self.proxy.request_arrived(event_loop.now(), id, class) {
            RequestAction::Send { address, deadline, .. } => {
                if let Some(client) = self.clients.get_mut(&connection) {
                    client.request = Some(id);
                }
                let in_flight = RequestInFlight { client: connection, message, upstream: None, deadline };
                self.requests.insert(id, in_flight);
                self.start_attempt(event_loop, id, address);
            }
            RequestAction::Reject { reason, retry_after } => {
                self.reject(event_loop, connection, reason, retry_after)
            }
            RequestAction::Respond => {}
        }
    }

    /// Rejects a client's request with the reason and, if it is known, the time after which to retry.
    pub(super) fn reject(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        reason: RejectionReason,
        retry_after: Option<Duration>,
    ) {
        let mut headers = vec![("runloom-refused".to_string(), reason.header_value().to_string())];
        if let Some(retry_after) = retry_after {
            let seconds = retry_after.as_secs_f64().ceil() as u64;
            headers.push(("retry-after".into(), seconds.to_string()));
            headers.push(("retry-after-ms".into(), retry_after.as_millis().to_string()));
        }
        let status = match reason {
            RejectionReason::DeadlineExceeded => STATUS_GATEWAY_TIMEOUT,
            _ => STATUS_UNAVAILABLE,
        };
        self.respond(event_loop, connection, &serialize_response(status, &headers, b""));
    }

    /// Writes a response, and handles the next request if the client has sent one meanwhile.
    pub(super) fn respond(&mut self, event_loop: &mut EventLoop, connection: ConnectionId, response: &[u8]) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        event_loop.write(connection, response);
        client.request = None;
        if client.close_after_response {
            self.clients.remove(&connection);
            event_loop.finish(connection);
            return;
        }
        event_loop.pause_reading(connection, false);
        self.read_client(event_loop, connection);
    }
}
