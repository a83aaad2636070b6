//! A NETCONF server's operations over datastores that its [`Host`] keeps: RFC 6241 with the capabilities
//! writable-running, candidate, confirmed-commit, rollback-on-error and validate; RFC 5277; `get-schema`.

use crate::edit::{apply, Operation, Schema};
use crate::error::{RpcError, Tag};
use crate::filter::select;
use crate::session::Rpc;
use crate::tree::Element;
use crate::{BASE, LEDGER, MONITORING, NOTIFY};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use uppsala::xpath::XPathValue;

/// What a server of this kind says that it can do, beside base.
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

/// RFC 6241, section 8.4.5.1: a confirmed commit waits for ten minutes unless told.
const CONFIRM_USUAL: Duration = Duration::from_secs(600);
/// Longer waits than a day are a slip of the hand.
const CONFIRM_MOST: u64 = 86_400;

/// What a client wants to touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Read,
    Edit,
    Kill,
}

/// How an edit's id stands in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditLookup {
    New,
    /// The same edit was accepted before: it is answered as then.
    Same,
    /// The id stands for another edit.
    Other,
}

/// A change that is about to be accepted.
#[derive(Debug)]
pub struct Change<'a> {
    pub who: &'a str,
    /// The client's id for it, if it gave one.
    pub edit_id: Option<&'a str>,
    /// The operation as it came, by which the same edit is known again.
    pub content: &'a str,
    pub wanted: &'a Arc<Element>,
    /// What to go back to if nobody confirms it; `None`: nothing, it stands.
    pub before: Option<&'a Arc<Element>>,
}

/// What keeps the datastores, judges changes and knows the models.
pub trait Host {
    /// The running datastore: a root with the models' top nodes.
    fn running(&self) -> Arc<Element>;
    /// Operational state for `<get>`: top nodes.
    fn state(&mut self) -> Vec<Element>;
    /// Judges a whole datastore, changing nothing.
    fn check(&mut self, wanted: &Arc<Element>) -> Result<(), Vec<RpcError>>;
    /// Accepts a change: once this returns `Ok`, it outlasts the process.
    fn commit(&mut self, change: &Change) -> Result<(), Vec<RpcError>>;
    /// A confirmed commit was confirmed, or ran out and was taken back by a commit of what was before.
    fn settled(&mut self) {}
    fn known(&self, edit_id: &str, content: &str) -> EditLookup;
    fn may(&mut self, who: &str, access: Access) -> Result<(), RpcError>;
    /// The models for `get-schema`: identifier, version, text.
    fn schemas(&self) -> &[(&'static str, &'static str, &'static str)];
}

/// The answer to one `<rpc>`.
#[derive(Debug, Default)]
pub struct Answer {
    pub content: Vec<Element>,
    /// The session asked to be closed, once this is written.
    pub close: bool,
    /// Other sessions to be ended at once.
    pub kill: Vec<u32>,
}

#[derive(Debug)]
struct Client {
    who: String,
    subscribed: Option<Option<Element>>,
    /// Edits that it may send at the moment, and when that was reckoned.
    allowance: f64,
    reckoned: Duration,
}

/// A confirmed commit that waits for its confirmation.
#[derive(Debug)]
struct Provisional {
    session: u32,
    persist_id: Option<String>,
    until: Duration,
    before: Arc<Element>,
}

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Sessions at a time: operators, tools and feeds are few.
    pub sessions: usize,
    /// Edits a second and session, and as many at once: twice what one core parses and commits.
    pub edits: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sessions: 64, edits: 4000.0 }
    }
}

#[derive(Debug)]
pub struct Service {
    schema: Schema,
    limits: Limits,
    clients: BTreeMap<u32, Client>,
    next_session: u32,
    candidate: Option<Arc<Element>>,
    locks: BTreeMap<&'static str, u32>,
    provisional: Option<Provisional>,
}

type Content = Result<Vec<Element>, Vec<RpcError>>;

fn ok() -> Content {
    Ok(vec![Element::new(BASE, "ok")])
}

fn one(error: RpcError) -> Vec<RpcError> {
    vec![error]
}

/// The store that `<target>` or `<source>` names.
fn store(operation: &Element, place: &str) -> Result<&'static str, Vec<RpcError>> {
    let Some(named) = operation.child(place).and_then(|p| p.children.first()) else {
        let error = RpcError::protocol(Tag::MissingElement, format!("<{place}> is missing"));
        return Err(one(error.with("bad-element", place.to_string())));
    };
    match named.name.as_str() {
        "running" => Ok("running"),
        "candidate" => Ok("candidate"),
        other => Err(one(RpcError::protocol(Tag::InvalidValue, format!("there is no datastore {other}"))
            .with("bad-element", other.to_string()))),
    }
}

fn not_supported(what: &str) -> Vec<RpcError> {
    one(RpcError::protocol(Tag::OperationNotSupported, format!("{what} is not supported")))
}

impl Service {
    pub fn new(schema: Schema, limits: Limits) -> Self {
        Service {
            schema,
            limits,
            clients: BTreeMap::new(),
            next_session: 0,
            candidate: None,
            locks: BTreeMap::new(),
            provisional: None,
        }
    }

    /// A client came; `None` if there are too many.
    pub fn open(&mut self, who: &str, now: Duration) -> Option<u32> {
        if self.clients.len() >= self.limits.sessions {
            return None;
        }
        self.next_session += 1;
        let client =
            Client { who: who.into(), subscribed: None, allowance: self.limits.edits, reckoned: now };
        self.clients.insert(self.next_session, client);
        Some(self.next_session)
    }

    /// A session ended: its locks go, and so does a confirmed commit of its own that no other can confirm.
    pub fn left(&mut self, session: u32, host: &mut dyn Host) {
        self.clients.remove(&session);
        if self.locks.get("candidate") == Some(&session) {
            self.candidate = None;
        }
        self.locks.retain(|_, holder| *holder != session);
        let orphan = |p: &Provisional| p.session == session && p.persist_id.is_none();
        if self.provisional.as_ref().is_some_and(orphan) {
            self.take_back(host);
        }
    }

    /// When [`Service::due`] wants to be called next.
    pub fn wakes_at(&self) -> Option<Duration> {
        self.provisional.as_ref().map(|p| p.until)
    }

    /// Takes back a confirmed commit that nobody confirmed in time.
    pub fn due(&mut self, now: Duration, host: &mut dyn Host) {
        if self.provisional.as_ref().is_some_and(|p| now >= p.until) {
            self.take_back(host);
        }
    }

    fn take_back(&mut self, host: &mut dyn Host) {
        if let Some(Provisional { before, .. }) = self.provisional.take() {
            let change =
                Change { who: "confirmed-commit", edit_id: None, content: "", wanted: &before, before: None };
            // What stood before was valid then; should it be refused now, the host says so in its log.
            let _ = host.commit(&change);
            host.settled();
        }
    }

    /// The sessions that are told of an event, by their filters.
    pub fn subscribers(&self, event: &Element) -> Vec<u32> {
        let root = Element::new("", "data").with(event.clone());
        let wants =
            |filter: &Option<Element>| filter.as_ref().is_none_or(|f| !select(&root, f).children.is_empty());
        let told = self.clients.iter().filter(|(_, c)| c.subscribed.as_ref().is_some_and(wants));
        told.map(|(id, _)| *id).collect()
    }

    /// Answers one `<rpc>` of a session.
    pub fn handle(&mut self, now: Duration, session: u32, rpc: &Rpc, host: &mut dyn Host) -> Answer {
        let mut answer = Answer::default();
        let operation = rpc.operation();
        let edit_id = rpc.rpc.attribute(LEDGER, "edit-id");
        let content = self.operation(now, session, operation, edit_id, host, &mut answer);
        answer.content = content.unwrap_or_else(|errors| errors.iter().map(RpcError::element).collect());
        answer
    }

    fn operation(
        &mut self,
        now: Duration,
        session: u32,
        operation: &Element,
        edit_id: Option<&str>,
        host: &mut dyn Host,
        answer: &mut Answer,
    ) -> Content {
        let Some(client) = self.clients.get(&session) else {
            return Err(not_supported("a session that ended"));
        };
        let who = client.who.clone();
        let access = match operation.name.as_str() {
            "close-session" => {
                answer.close = true;
                return ok();
            }
            "kill-session" => Access::Kill,
            "get" | "get-config" | "get-schema" | "create-subscription" | "validate" => Access::Read,
            _ => Access::Edit,
        };
        host.may(&who, access).map_err(one)?;
        match (&*operation.ns, operation.name.as_str()) {
            (BASE, "get") => self.get(operation, host),
            (BASE, "get-config") => self.get_config(operation, host),
            (MONITORING, "get-schema") => get_schema(operation, host),
            (NOTIFY, "create-subscription") => self.subscribe(session, operation),
            (BASE, "kill-session") => self.kill(session, operation, answer),
            (BASE, "lock") => self.lock(session, operation),
            (BASE, "unlock") => self.unlock(session, operation),
            (BASE, "discard-changes") => {
                self.free("candidate", session)?;
                self.candidate = None;
                ok()
            }
            (BASE, "validate") => self.validate(operation, host),
            (BASE, "edit-config") => {
                self.spend(session, now)?;
                self.edit(session, &who, operation, edit_id, host)
            }
            (BASE, "copy-config") => {
                self.spend(session, now)?;
                self.copy(session, &who, operation, edit_id, host)
            }
            (BASE, "delete-config") => {
                store(operation, "target")?;
                let error =
                    RpcError::protocol(Tag::OperationNotSupported, "no datastore here can be deleted");
                Err(one(error.at("/rpc/delete-config/target")))
            }
            (BASE, "commit") => {
                self.spend(session, now)?;
                self.commit(now, session, &who, operation, edit_id, host)
            }
            (BASE, "cancel-commit") => self.cancel(session, operation, host),
            (BASE | MONITORING | NOTIFY, other) => Err(not_supported(other)),
            (ns, other) => {
                Err(one(RpcError::protocol(Tag::UnknownNamespace, format!("<{other}> of {ns} is not known"))
                    .with("bad-element", other.to_string())
                    .with("bad-namespace", ns.to_string())))
            }
        }
    }

    /// So many edits a second and session; more is refused at once.
    fn spend(&mut self, session: u32, now: Duration) -> Result<(), Vec<RpcError>> {
        let most = self.limits.edits;
        let Some(client) = self.clients.get_mut(&session) else {
            return Err(not_supported("an ended session"));
        };
        let passed = now.saturating_sub(client.reckoned).as_secs_f64();
        client.allowance = (client.allowance + passed * most).min(most);
        client.reckoned = now;
        if client.allowance < 1.0 {
            let error = RpcError::protocol(Tag::ResourceDenied, "too many edits a second; try again shortly");
            return Err(one(error.app("edits-per-second")));
        }
        client.allowance -= 1.0;
        Ok(())
    }

    /// Refuses where another session holds the lock.
    fn free(&self, store: &str, session: u32) -> Result<(), Vec<RpcError>> {
        match self.locks.get(store) {
            Some(holder) if *holder != session => {
                Err(one(RpcError::protocol(Tag::InUse, format!("{store} is locked by session {holder}"))
                    .with("session-id", holder.to_string())))
            }
            _ => Ok(()),
        }
    }

    fn read(&self, store: &str, host: &dyn Host) -> Arc<Element> {
        match &self.candidate {
            Some(candidate) if store == "candidate" => candidate.clone(),
            _ => host.running(),
        }
    }

    fn get(&self, operation: &Element, host: &mut dyn Host) -> Content {
        let mut data = (*host.running()).clone();
        data.children.extend(host.state().into_iter().map(Arc::new));
        data.children.push(Arc::new(self.monitoring(host)));
        filtered(&data, operation)
    }

    fn monitoring(&self, host: &dyn Host) -> Element {
        let mut schemas = Element::new(MONITORING, "schemas");
        for (identifier, version, _) in host.schemas() {
            let schema = Element::new(MONITORING, "schema").with_leaf("identifier", identifier);
            schemas = schemas.with(schema.with_leaf("version", version).with_leaf("format", "yang"));
        }
        let mut sessions = Element::new(MONITORING, "sessions");
        for (id, client) in &self.clients {
            let session = Element::new(MONITORING, "session").with_leaf("session-id", id);
            sessions = sessions
                .with(session.with_leaf("transport", "netconf-tls").with_leaf("username", &client.who));
        }
        Element::new(MONITORING, "netconf-state").with(schemas).with(sessions)
    }

    fn get_config(&self, operation: &Element, host: &dyn Host) -> Content {
        let data = self.read(store(operation, "source")?, host);
        filtered(&data, operation)
    }

    fn subscribe(&mut self, session: u32, operation: &Element) -> Content {
        if operation.text_of("stream").is_some_and(|s| s != "NETCONF") {
            let error = RpcError::application(Tag::InvalidValue, "there is only the stream NETCONF");
            return Err(one(error.with("bad-element", "stream")));
        }
        if operation.child("startTime").is_some() {
            return Err(not_supported("replay of notifications"));
        }
        if let Some(client) = self.clients.get_mut(&session) {
            client.subscribed = Some(operation.child("filter").cloned());
        }
        ok()
    }

    fn kill(&mut self, session: u32, operation: &Element, answer: &mut Answer) -> Content {
        let named = operation.text_of("session-id").and_then(|s| s.parse().ok());
        match named {
            Some(other) if other != session && self.clients.contains_key(&other) => {
                answer.kill.push(other);
                ok()
            }
            _ => Err(one(RpcError::protocol(Tag::InvalidValue, "no such other session")
                .with("bad-element", "session-id"))),
        }
    }

    fn lock(&mut self, session: u32, operation: &Element) -> Content {
        let store = store(operation, "target")?;
        let holder = self.locks.get(store).copied();
        let busy = |holder: u32, why: &str| {
            let error = RpcError::protocol(Tag::LockDenied, why);
            Err(one(error.with("session-id", holder.to_string())))
        };
        if let Some(holder) = holder {
            return busy(holder, "the lock is held");
        }
        if store == "candidate" && self.candidate.is_some() {
            return busy(0, "the candidate has changes that are not committed");
        }
        if let Some(p) = self.provisional.as_ref().filter(|p| store == "running" && p.session != session) {
            return busy(p.session, "a confirmed commit is not yet confirmed");
        }
        self.locks.insert(store, session);
        ok()
    }

    fn unlock(&mut self, session: u32, operation: &Element) -> Content {
        let store = store(operation, "target")?;
        if self.locks.get(store) != Some(&session) {
            let error = RpcError::protocol(Tag::OperationFailed, "this session does not hold that lock");
            return Err(one(error));
        }
        self.locks.remove(store);
        if store == "candidate" {
            // RFC 6241, section 8.3.5.2: what is not committed is discarded with the lock.
            self.candidate = None;
        }
        ok()
    }

    fn validate(&mut self, operation: &Element, host: &mut dyn Host) -> Content {
        let inline = operation.child("source").and_then(|s| s.child("config"));
        let wanted = match inline {
            Some(config) => self.whole(config)?,
            None => self.read(store(operation, "source")?, host),
        };
        host.check(&wanted)?;
        ok()
    }

    /// A `<config>` as a whole datastore.
    fn whole(&self, config: &Element) -> Result<Arc<Element>, Vec<RpcError>> {
        let empty = Arc::new(Element::new("", "data"));
        let (made, faults) = apply(&self.schema, &empty, config, Operation::Merge, false);
        if faults.is_empty() {
            Ok(made)
        } else {
            Err(faults)
        }
    }

    fn edit(
        &mut self,
        session: u32,
        who: &str,
        operation: &Element,
        edit_id: Option<&str>,
        host: &mut dyn Host,
    ) -> Content {
        let target = store(operation, "target")?;
        self.free(target, session)?;
        let word = |name: &str, usual: &'static str| operation.text_of(name).unwrap_or(usual).to_string();
        let bad = |name: &str| {
            let error = RpcError::protocol(Tag::InvalidValue, format!("<{name}> has an unknown value"));
            one(error.with("bad-element", name.to_string()))
        };
        let default = match word("default-operation", "merge").as_str() {
            name @ ("merge" | "replace" | "none") => Operation::named(name).unwrap_or(Operation::Merge),
            _ => return Err(bad("default-operation")),
        };
        let test = word("test-option", "test-then-set");
        if !["test-then-set", "set", "test-only"].contains(&test.as_str()) {
            return Err(bad("test-option"));
        }
        // stop-on-error leaves nothing half applied here: an edit is whole, or it is not.
        let go_on = match word("error-option", "stop-on-error").as_str() {
            "stop-on-error" | "rollback-on-error" => false,
            "continue-on-error" => true,
            _ => return Err(bad("error-option")),
        };
        let Some(config) = operation.child("config") else {
            let error = RpcError::protocol(Tag::MissingElement, "<config> is missing");
            return Err(one(error.with("bad-element", "config")));
        };
        let text = operation.to_text();
        if target == "running" && again(edit_id, &text, host)? {
            return ok();
        }
        let before = self.read(target, host);
        // A default of replace stands for the whole datastore (RFC 6241, section 7.2).
        let base = if default == Operation::Replace { Arc::new(Element::new("", "data")) } else { before };
        let inner = if default == Operation::Replace { Operation::Merge } else { default };
        let (wanted, mut faults) = apply(&self.schema, &base, config, inner, go_on);
        if !faults.is_empty() && !go_on {
            return Err(faults);
        }
        if target == "candidate" {
            if test == "test-only" {
                host.check(&wanted)?;
            } else {
                self.candidate = Some(wanted);
            }
        } else if test == "test-only" {
            host.check(&wanted)?;
        } else {
            self.settle_first(session, host)?;
            host.commit(&Change { who, edit_id, content: &text, wanted: &wanted, before: None })?;
        }
        if faults.is_empty() {
            ok()
        } else {
            Err(std::mem::take(&mut faults))
        }
    }

    /// A provisional change of another session must not be written over: it may yet be taken back.
    fn settle_first(&self, session: u32, _host: &dyn Host) -> Result<(), Vec<RpcError>> {
        match &self.provisional {
            Some(p) if p.session != session || p.persist_id.is_some() => {
                Err(one(RpcError::protocol(Tag::InUse, "a confirmed commit is not yet confirmed")
                    .with("session-id", p.session.to_string())))
            }
            _ => Ok(()),
        }
    }

    fn copy(
        &mut self,
        session: u32,
        who: &str,
        operation: &Element,
        edit_id: Option<&str>,
        host: &mut dyn Host,
    ) -> Content {
        let target = store(operation, "target")?;
        self.free(target, session)?;
        let inline = operation.child("source").and_then(|s| s.child("config"));
        let wanted = match inline {
            Some(config) => self.whole(config)?,
            None => self.read(store(operation, "source")?, host),
        };
        if target == "candidate" {
            self.candidate = Some(wanted);
            return ok();
        }
        let text = operation.to_text();
        if again(edit_id, &text, host)? {
            return ok();
        }
        self.settle_first(session, host)?;
        host.commit(&Change { who, edit_id, content: &text, wanted: &wanted, before: None })?;
        ok()
    }

    fn commit(
        &mut self,
        now: Duration,
        session: u32,
        who: &str,
        operation: &Element,
        edit_id: Option<&str>,
        host: &mut dyn Host,
    ) -> Content {
        self.free("running", session)?;
        self.free("candidate", session)?;
        let confirmed = operation.child("confirmed").is_some();
        let persist_id = operation.text_of("persist-id");
        if let Some(p) = &self.provisional {
            let own = p.session == session && p.persist_id.is_none();
            if !own && persist_id != p.persist_id.as_deref() {
                let error =
                    RpcError::protocol(Tag::InvalidValue, "the confirmed commit has another persist-id");
                return Err(one(error.with("bad-element", "persist-id")));
            }
        } else if persist_id.is_some() {
            let error = RpcError::protocol(Tag::InvalidValue, "no confirmed commit waits");
            return Err(one(error.with("bad-element", "persist-id")));
        }
        // What the candidate would change is the content: a commit sent again finds nothing left to change.
        let text = match &self.candidate {
            Some(candidate) => candidate.to_text(),
            None => String::new(),
        };
        if let (Some(id), true) = (edit_id, self.candidate.is_none()) {
            if host.known(id, "") != EditLookup::New {
                return ok();
            }
        } else if again(edit_id, &text, host)? {
            self.candidate = None;
            return ok();
        }
        let running = host.running();
        let wanted = self.candidate.clone().unwrap_or_else(|| running.clone());
        let before = self.provisional.as_ref().map_or_else(|| running.clone(), |p| p.before.clone());
        let timeout = operation.text_of("confirm-timeout").map(|t| t.parse::<u64>());
        let wait = match timeout {
            None => CONFIRM_USUAL,
            Some(Ok(seconds)) if (1..=CONFIRM_MOST).contains(&seconds) => Duration::from_secs(seconds),
            Some(_) => {
                let error = RpcError::protocol(Tag::InvalidValue, "confirm-timeout takes 1 to 86400 seconds");
                return Err(one(error.with("bad-element", "confirm-timeout")));
            }
        };
        let fallback = confirmed.then_some(&before);
        if self.candidate.is_some() || confirmed {
            host.commit(&Change { who, edit_id, content: &text, wanted: &wanted, before: fallback })?;
        }
        self.candidate = None;
        self.provisional = confirmed.then(|| Provisional {
            session,
            persist_id: operation.text_of("persist").map(str::to_string),
            until: now + wait,
            before: before.clone(),
        });
        if !confirmed {
            host.settled();
        }
        ok()
    }

    fn cancel(&mut self, session: u32, operation: &Element, host: &mut dyn Host) -> Content {
        let persist_id = operation.text_of("persist-id");
        match &self.provisional {
            None => Err(one(RpcError::protocol(Tag::OperationFailed, "no confirmed commit waits"))),
            Some(p)
                if persist_id != p.persist_id.as_deref()
                    || (persist_id.is_none() && p.session != session) =>
            {
                let error =
                    RpcError::protocol(Tag::InvalidValue, "the confirmed commit has another persist-id");
                Err(one(error.with("bad-element", "persist-id")))
            }
            Some(_) => {
                self.take_back(host);
                ok()
            }
        }
    }
}

/// Whether this edit was accepted before; an id used for another edit is refused.
fn again(edit_id: Option<&str>, content: &str, host: &dyn Host) -> Result<bool, Vec<RpcError>> {
    match edit_id.map(|id| host.known(id, content)) {
        None | Some(EditLookup::New) => Ok(false),
        Some(EditLookup::Same) => Ok(true),
        Some(EditLookup::Other) => {
            let error = RpcError::application(Tag::OperationFailed, "this edit-id stands for another edit");
            Err(one(error.app("edit-id-reused").with("bad-attribute", "edit-id")))
        }
    }
}

fn get_schema(operation: &Element, host: &dyn Host) -> Content {
    let wanted = operation.text_of("identifier").unwrap_or_default();
    let version = operation.text_of("version");
    let fits = |s: &&(&str, &str, &str)| s.0 == wanted && version.is_none_or(|v| v == s.1);
    match host.schemas().iter().find(fits) {
        Some((_, _, text)) => Ok(vec![Element::leaf(MONITORING, "data", text)]),
        None => Err(one(RpcError::application(Tag::InvalidValue, format!("no schema {wanted}"))
            .with("bad-element", "identifier"))),
    }
}

/// `<data>` by the operation's `<filter>`, subtree or XPath.
fn filtered(data: &Element, operation: &Element) -> Content {
    let chosen = match operation.child("filter") {
        None => data.clone(),
        Some(filter) => match filter.attribute("", "type").unwrap_or("subtree") {
            "subtree" => select(data, filter),
            "xpath" => by_xpath(data, filter.attribute("", "select").unwrap_or_default())?,
            other => {
                let error = RpcError::protocol(Tag::BadAttribute, format!("unknown kind of filter {other}"));
                return Err(one(error.with("bad-attribute", "type").with("bad-element", "filter")));
            }
        },
    };
    Ok(vec![Element { children: chosen.children, ..Element::new(BASE, "data") }])
}

/// The top nodes that hold what the expression selects. Prefixes are not resolved: names are local names.
fn by_xpath(data: &Element, expression: &str) -> Result<Element, Vec<RpcError>> {
    let bad = |why: String| {
        let error = RpcError::protocol(Tag::InvalidValue, format!("the XPath cannot be used: {why}"));
        one(error.with("bad-attribute", "select"))
    };
    let mut plain = String::new();
    strip(data).write(&mut plain);
    let mut document = uppsala::parse(&plain).map_err(|e| bad(e.to_string()))?;
    document.prepare_xpath();
    let root = document.document_element().ok_or_else(|| bad("empty".into()))?;
    let found = uppsala::XPathEvaluator::new().evaluate(&document, root, expression);
    let XPathValue::NodeSet(nodes) = found.map_err(|e| bad(e.to_string()))? else {
        return Err(bad("it selects no nodes".into()));
    };
    let mut chosen: Vec<Arc<Element>> = Vec::new();
    for node in nodes {
        // The way from the root, by places among elements; the same places hold in the tree with namespaces.
        let mut way = Vec::new();
        let mut here = node;
        while let Some(parent) = document.parent(here).filter(|_| here != root) {
            let place = document.children(parent).iter().position(|c| *c == here).unwrap_or(0);
            way.push(place);
            here = parent;
        }
        way.reverse();
        if let Some(path) =
            way.first().and_then(|first| data.children.get(*first)).map(|top| cut(top, &way[1..]))
        {
            chosen.push(Arc::new(path));
        }
    }
    Ok(Element { children: chosen, ..Element::new("", "data") })
}

fn strip(element: &Element) -> Element {
    Element {
        ns: "".into(),
        name: element.name.clone(),
        attributes: vec![],
        children: element.children.iter().map(|c| Arc::new(strip(c))).collect(),
        text: element.text.clone(),
    }
}

/// The node with only the way down to one below it.
fn cut(node: &Element, way: &[usize]) -> Element {
    match way.split_first().and_then(|(first, rest)| node.children.get(*first).map(|c| (c, rest))) {
        None => node.clone(),
        Some((child, rest)) => Element {
            children: vec![Arc::new(cut(child, rest))],
            ..Element { children: vec![], ..node.clone() }
        },
    }
}
