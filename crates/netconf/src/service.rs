//! The operations of a NETCONF server, whose datastores are owned by its [`Host`]: RFC 6241 with the capabilities
//! writable-running, candidate, confirmed-commit, rollback-on-error, validate and xpath; notifications of RFC 5277;
//! `<get-schema>` of RFC 6022.

mod commit;
mod datastore;
mod edit_config;
mod host;
mod locks;
mod rate_limit;
mod retrieval;

pub use host::{Access, Change, EditLookup, Host};

use crate::edit::Schema;
use crate::error::{RpcError, Tag};
use crate::filter::select;
use crate::session::Rpc;
use crate::tree::Element;
use crate::{BASE, EDIT_HISTORY, MONITORING, NOTIFICATION};
use commit::ConfirmedCommit;
use datastore::{read_datastore, Datastore};
use rate_limit::EditRateLimit;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The capabilities of this server beyond the base capabilities.
pub const CAPABILITIES: [&str; 8] = [
    "urn:ietf:params:netconf:capability:writable-running:1.0",
    "urn:ietf:params:netconf:capability:candidate:1.0",
    "urn:ietf:params:netconf:capability:confirmed-commit:1.1",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:ietf:params:netconf:capability:validate:1.1",
    "urn:ietf:params:netconf:capability:xpath:1.0",
    "urn:ietf:params:netconf:capability:notification:1.0",
    "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring?module=ietf-netconf-monitoring&revision=2010-10-04",
];

/// The session-id (RFC 6241, section 8.1); never 0.
pub type SessionId = u32;

/// The reply to an `<rpc>`, and its effect on sessions.
#[derive(Debug, Default)]
pub struct Reply {
    /// The children of `<rpc-reply>`.
    pub content: Vec<Element>,
    /// Whether the session is to be closed once the reply is sent.
    pub closes_session: bool,
    /// Other sessions, to be closed immediately.
    pub killed_sessions: Vec<SessionId>,
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLimits {
    /// Maximum number of concurrent sessions. Operators, tools and feeds are few.
    pub max_sessions: usize,
    /// Edits per second that each session may send, and the number that it may send at once. The default is twice what
    /// one core can parse and commit.
    pub edits_per_second: f64,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        ServiceLimits { max_sessions: 64, edits_per_second: 4000.0 }
    }
}

/// A client's session.
#[derive(Debug)]
struct ClientSession {
    client: String,
    /// The filter of its subscription to notifications: `None` without a subscription, `Some(None)` for one without a
    /// filter.
    subscription: Option<Option<Element>>,
    edit_rate_limit: EditRateLimit,
}

impl ClientSession {
    fn is_subscribed_to(&self, event: &Element) -> bool {
        match &self.subscription {
            None => false,
            Some(None) => true,
            Some(Some(filter)) => !select(event, filter).children.is_empty(),
        }
    }
}

/// An operation that a client requests.
#[derive(Debug, Clone, Copy)]
struct Request<'a> {
    now: Duration,
    session: SessionId,
    client: &'a str,
    operation: &'a Element,
    edit_id: Option<&'a str>,
}

/// A NETCONF server: its sessions, locks, candidate datastore and confirmed commit.
#[derive(Debug)]
pub struct Service {
    schema: Schema,
    limits: ServiceLimits,
    sessions: BTreeMap<SessionId, ClientSession>,
    last_session_id: SessionId,
    /// The candidate datastore, if it differs from the running one.
    candidate: Option<Arc<Element>>,
    /// The session that holds the lock of each locked datastore.
    locks: BTreeMap<Datastore, SessionId>,
    /// The commit that awaits confirmation, if any.
    confirmed_commit: Option<ConfirmedCommit>,
}

type ReplyContent = Result<Vec<Element>, Vec<RpcError>>;

fn ok() -> ReplyContent {
    Ok(vec![Element::new(BASE, "ok")])
}

fn not_supported(what: &str) -> Vec<RpcError> {
    vec![RpcError::protocol(Tag::OperationNotSupported, format!("{what} is not supported"))]
}

/// The access that a client needs for an operation.
fn required_access(operation: &Element) -> Access {
    match operation.name.as_str() {
        "kill-session" => Access::Kill,
        "get" | "get-config" | "get-schema" | "create-subscription" | "validate" => Access::Read,
        _ => Access::Edit,
    }
}

impl Service {
    /// Creates a server for datastores of this schema.
    pub fn new(schema: Schema, limits: ServiceLimits) -> Self {
        Service {
            schema,
            limits,
            sessions: BTreeMap::new(),
            last_session_id: 0,
            candidate: None,
            locks: BTreeMap::new(),
            confirmed_commit: None,
        }
    }

    /// Opens a session for the client of this name; `None` if the limit on sessions is reached.
    pub fn open_session(&mut self, client: &str, now: Duration) -> Option<SessionId> {
        if self.sessions.len() >= self.limits.max_sessions {
            return None;
        }
        let session = ClientSession {
            client: client.into(),
            subscription: None,
            edit_rate_limit: EditRateLimit::new(self.limits.edits_per_second, now),
        };
        self.last_session_id += 1;
        self.sessions.insert(self.last_session_id, session);
        Some(self.last_session_id)
    }

    /// Closes a session. Releases its locks, discards the candidate if the session had locked it, and rolls back its
    /// confirmed commit unless that has a `<persist>` value.
    pub fn close_session(&mut self, session: SessionId, host: &mut dyn Host) {
        self.sessions.remove(&session);
        if self.locks.get(&Datastore::Candidate) == Some(&session) {
            self.candidate = None;
        }
        self.locks.retain(|_, holder| *holder != session);
        if self.confirmed_commit.as_ref().is_some_and(|commit| commit.is_bound_to(session)) {
            self.roll_back(host);
        }
    }

    /// When to call [`Service::handle_timeout`]; `None` if no confirmed commit is pending.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.confirmed_commit.as_ref().map(ConfirmedCommit::times_out_at)
    }

    /// Rolls back a confirmed commit that was not confirmed in time.
    pub fn handle_timeout(&mut self, now: Duration, host: &mut dyn Host) {
        if self.next_wakeup().is_some_and(|at| now >= at) {
            self.roll_back(host);
        }
    }

    /// The sessions whose subscription selects an event.
    pub fn subscribers(&self, event: &Element) -> Vec<SessionId> {
        let root = Element::new("", "data").with(event.clone());
        let subscribers = self.sessions.iter().filter(|(_, session)| session.is_subscribed_to(&root));
        subscribers.map(|(id, _)| *id).collect()
    }

    /// Performs the operation of an `<rpc>` and returns the reply.
    pub fn handle(&mut self, now: Duration, session: SessionId, rpc: &Rpc, host: &mut dyn Host) -> Reply {
        let mut reply = Reply::default();
        let content = self.handle_operation(now, session, rpc, host, &mut reply);
        reply.content = content.unwrap_or_else(|errors| errors.iter().map(RpcError::to_element).collect());
        reply
    }

    fn handle_operation(
        &mut self,
        now: Duration,
        session: SessionId,
        rpc: &Rpc,
        host: &mut dyn Host,
        reply: &mut Reply,
    ) -> ReplyContent {
        let operation = rpc.operation();
        let Some(client_session) = self.sessions.get(&session) else {
            return Err(not_supported("a session that ended"));
        };
        let client = client_session.client.clone();
        if operation.name == "close-session" {
            reply.closes_session = true;
            return ok();
        }
        host.authorize(&client, required_access(operation)).map_err(|error| vec![error])?;
        let edit_id = rpc.element.attribute(EDIT_HISTORY, "edit-id");
        let request = Request { now, session, client: &client, operation, edit_id };
        if operation.is(BASE, "kill-session") {
            return self.kill_session(&request, reply);
        }
        self.dispatch(&request, host)
    }

    fn dispatch(&mut self, request: &Request, host: &mut dyn Host) -> ReplyContent {
        let operation = request.operation;
        match (&*operation.ns, operation.name.as_str()) {
            (BASE, "get") => self.get(operation, host),
            (BASE, "get-config") => self.get_config(operation, host),
            (MONITORING, "get-schema") => retrieval::get_schema(operation, host),
            (NOTIFICATION, "create-subscription") => self.create_subscription(request),
            (BASE, "lock") => self.lock(request),
            (BASE, "unlock") => self.unlock(request),
            (BASE, "discard-changes") => self.discard_changes(request),
            (BASE, "validate") => self.validate(operation, host),
            (BASE, "edit-config") => self.edit_config(request, host),
            (BASE, "copy-config") => self.copy_config(request, host),
            (BASE, "delete-config") => delete_config(operation),
            (BASE, "commit") => self.commit(request, host),
            (BASE, "cancel-commit") => self.cancel_commit(request, host),
            (BASE | MONITORING | NOTIFICATION, name) => Err(not_supported(name)),
            (ns, name) => Err(unknown_operation(ns, name)),
        }
    }
}

fn delete_config(operation: &Element) -> ReplyContent {
    read_datastore(operation, "target")?;
    let error = RpcError::protocol(Tag::OperationNotSupported, "no datastore here can be deleted");
    Err(vec![error.at("/rpc/delete-config/target")])
}

fn unknown_operation(ns: &str, name: &str) -> Vec<RpcError> {
    let error = RpcError::protocol(Tag::UnknownNamespace, format!("<{name}> of {ns} is not known"));
    vec![error.with_info("bad-element", name).with_info("bad-namespace", ns)]
}
