//! Requests in flight: for each, the client's connection, the connection of the current attempt, and the deadline.

use runloom_event_loop::ConnectionId;
use runloom_proxy::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request that was admitted and not answered yet.
pub(super) struct RequestInFlight {
    pub(super) client: ConnectionId,
    /// The serialized request, kept for retries.
    pub(super) message: Vec<u8>,
    /// The connection of the current attempt.
    pub(super) upstream: Option<ConnectionId>,
    pub(super) deadline: Duration,
}

/// All requests in flight, by id and by deadline.
#[derive(Default)]
pub(super) struct RequestsInFlight {
    requests: BTreeMap<RequestId, RequestInFlight>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    last_id: RequestId,
}

impl RequestsInFlight {
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn insert(&mut self, id: RequestId, request: RequestInFlight) {
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<RequestInFlight> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        Some(request)
    }

    pub(super) fn message(&self, id: RequestId) -> Option<&[u8]> {
        self.requests.get(&id).map(|request| request.message.as_slice())
    }

    pub(super) fn set_upstream(&mut self, id: RequestId, connection: ConnectionId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.upstream = Some(connection);
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns a request whose deadline has passed, once. It stays in flight until it is removed.
    pub(super) fn pop_expired(&mut self, now: Duration) -> Option<RequestId> {
        let &(deadline, id) = self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.deadlines.pop_first();
        Some(id)
    }
}
