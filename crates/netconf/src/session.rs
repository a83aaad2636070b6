//! One side of a session as a state machine without I/O: it turns received bytes into events, and messages to send into
//! bytes.

use crate::error::{Layer, RpcError, Tag};
use crate::framing::{frame, Deframer, FramingError};
use crate::tree::Element;
use crate::{BASE, BASE_1_0, BASE_1_1, EDIT_HISTORY, NOTIFICATION};
use std::fmt;
use std::sync::Arc;

/// Limits of a session.
#[derive(Debug, Clone, Copy)]
pub struct SessionLimits {
    /// Maximum size of a received message. A fleet of 600 proxies and as many servers takes about 400 KB as XML.
    pub max_message_bytes: usize,
    /// Maximum size of unsent output, for [`Session::is_over_unsent_limit`]: past it, the caller should end the
    /// session. The default is two messages of maximum size.
    pub max_unsent_bytes: usize,
    /// Maximum number of events returned by one call. Further messages stay in the buffer, so that one session cannot
    /// starve the others.
    pub max_events: usize,
}

impl Default for SessionLimits {
    fn default() -> Self {
        SessionLimits { max_message_bytes: 2 << 20, max_unsent_bytes: 4 << 20, max_events: 64 }
    }
}

/// Which side of a session this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The side that receives and answers requests.
    Server {
        /// The session-id, sent in `<hello>`.
        id: u32,
    },
    /// The side that sends requests.
    Client,
}

/// A received `<rpc>`. Its attributes are kept, because the reply returns them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rpc {
    /// The `<rpc>` element, with the operation as its only child.
    pub element: Element,
}

impl Rpc {
    /// The `message-id` attribute, which the reply repeats.
    pub fn message_id(&self) -> &str {
        self.element.attribute("", "message-id").unwrap_or_default()
    }

    /// The requested operation, such as `<get>`.
    pub fn operation(&self) -> &Element {
        &self.element.children[0]
    }

    /// Fails if the message-id is missing, or if there is not exactly one operation.
    fn check(&self) -> Result<(), RpcError> {
        if self.element.attribute("", "message-id").is_none() {
            return Err(RpcError::new(Layer::Rpc, Tag::MissingAttribute, "an <rpc> needs a message-id")
                .with_info("bad-attribute", "message-id")
                .with_info("bad-element", "rpc"));
        }
        if self.element.children.len() != 1 {
            let message = "an <rpc> holds one operation";
            return Err(RpcError::new(Layer::Rpc, Tag::MissingElement, message));
        }
        Ok(())
    }
}

/// A message received from the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// The peer's `<hello>`: the session is open.
    Open {
        /// The peer's capabilities.
        capabilities: Vec<String>,
        /// The session-id, if the peer is the server.
        session_id: Option<u32>,
    },
    /// A request; only servers receive it.
    Rpc(Rpc),
    /// A reply; only clients receive it.
    Reply {
        /// The message-id of the request; empty if the reply has none.
        message_id: String,
        /// The `<rpc-reply>` element.
        reply: Element,
    },
    /// A notification's event: the element beside `<eventTime>`. Only clients receive it.
    Notification(Element),
}

/// A fatal error, after which the session has to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionError {
    /// The stream cannot be split into messages.
    Framing(FramingError),
    /// A message cannot be parsed as XML; contains the reason and position.
    MalformedMessage(String),
    /// The first message is not `<hello>`.
    MissingHello,
    /// A client's `<hello>` has a session-id, which RFC 6241, section 8.1, forbids.
    UnexpectedSessionId,
    /// A server's `<hello>` has no session-id, or one that is not a 32-bit number.
    MissingSessionId,
    /// The peer supports neither base:1.0 nor base:1.1.
    NoCommonBase,
    /// A server sent an element of this name, which is neither a reply nor a notification.
    UnexpectedMessage(String),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::Framing(error) => write!(f, "{error}"),
            SessionError::MalformedMessage(reason) => write!(f, "malformed message: {reason}"),
            SessionError::MissingHello => write!(f, "the first message is not <hello>"),
            SessionError::UnexpectedSessionId => write!(f, "the client's <hello> has a session-id"),
            SessionError::MissingSessionId => write!(f, "the server's <hello> has no valid session-id"),
            SessionError::NoCommonBase => write!(f, "the peer supports neither base:1.0 nor base:1.1"),
            SessionError::UnexpectedMessage(name) => write!(f, "the server sent an unexpected <{name}>"),
        }
    }
}

impl std::error::Error for SessionError {}

/// One side of a session, as server or client.
#[derive(Debug)]
pub struct Session {
    role: Role,
    limits: SessionLimits,
    deframer: Deframer,
    is_open: bool,
    is_chunked: bool,
    output: Vec<u8>,
    last_message_id: u64,
}

impl Session {
    /// Starts a session and puts its `<hello>` into the output. `capabilities` are added to the base capabilities.
    pub fn new(role: Role, capabilities: &[&str], limits: SessionLimits) -> Self {
        let mut output = Vec::new();
        frame(&hello(role, capabilities).to_text(), false, &mut output);
        Session {
            role,
            limits,
            deframer: Deframer::new(limits.max_message_bytes),
            is_open: false,
            is_chunked: false,
            output,
            last_message_id: 0,
        }
    }

    /// Whether the peer's `<hello>` was received.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Handles received bytes. After an error the session is over; the remaining output, to which an `<rpc-error>` may
    /// have been added, may still be sent.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<SessionEvent>, SessionError> {
        self.deframer.push(bytes);
        self.receive_buffered()
    }

    /// Handles messages that are still in the buffer, up to [`SessionLimits::max_events`].
    pub fn receive_buffered(&mut self) -> Result<Vec<SessionEvent>, SessionError> {
        let mut events = Vec::new();
        while events.len() < self.limits.max_events {
            match self.deframer.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => events.extend(self.handle_message(&message)?),
                Err(error) => return Err(self.reject_framing(error)),
            }
        }
        Ok(events)
    }

    /// Whether a call that returned this many events may have left further messages in the buffer.
    pub fn may_have_more(&self, event_count: usize) -> bool {
        event_count >= self.limits.max_events
    }

    fn reject_framing(&mut self, error: FramingError) -> SessionError {
        let tag = match error {
            FramingError::MessageTooLarge => Tag::TooBig,
            FramingError::MalformedChunkHeader => Tag::MalformedMessage,
        };
        self.send_rpc_error(tag, &error.to_string());
        SessionError::Framing(error)
    }

    fn handle_message(&mut self, message: &[u8]) -> Result<Option<SessionEvent>, SessionError> {
        let element = match parse_message(message) {
            Ok(element) => element,
            Err(reason) => {
                // After malformed-message (RFC 6241, appendix A) nothing that follows can be trusted.
                self.send_rpc_error(Tag::MalformedMessage, &reason);
                return Err(SessionError::MalformedMessage(reason));
            }
        };
        if !self.is_open {
            return self.handle_hello(&element).map(Some);
        }
        match self.role {
            Role::Server { .. } => Ok(self.handle_request(element)),
            Role::Client => handle_response(element),
        }
    }

    fn handle_hello(&mut self, element: &Element) -> Result<SessionEvent, SessionError> {
        if !element.is(BASE, "hello") {
            return Err(SessionError::MissingHello);
        }
        let session_id = element.text_of("session-id").map(|text| text.parse::<u32>());
        match (self.role, &session_id) {
            (Role::Server { .. }, Some(_)) => {
                return Err(SessionError::UnexpectedSessionId);
            }
            (Role::Client, None | Some(Err(_))) => {
                return Err(SessionError::MissingSessionId);
            }
            _ => {}
        }
        let list = element.child("capabilities").map(|list| list.children.as_slice()).unwrap_or_default();
        let capabilities: Vec<String> = list.iter().map(|capability| capability.text.clone()).collect();
        let has = |wanted: &str| capabilities.iter().any(|capability| capability == wanted);
        if !has(BASE_1_0) && !has(BASE_1_1) {
            return Err(SessionError::NoCommonBase);
        }
        self.is_chunked = has(BASE_1_1);
        if self.is_chunked {
            self.deframer.use_chunked_framing();
        }
        self.is_open = true;
        Ok(SessionEvent::Open { capabilities, session_id: session_id.and_then(Result::ok) })
    }

    /// Handles a message received by a server. An invalid `<rpc>` is answered here and yields no event.
    fn handle_request(&mut self, element: Element) -> Option<SessionEvent> {
        if !element.is(BASE, "rpc") {
            let error = RpcError::new(Layer::Rpc, Tag::UnknownElement, "only <rpc> is understood here")
                .with_info("bad-element", element.name);
            self.send(&Element::new(BASE, "rpc-reply").with(error.to_element()));
            return None;
        }
        let rpc = Rpc { element };
        match rpc.check() {
            Ok(()) => Some(SessionEvent::Rpc(rpc)),
            Err(error) => {
                self.reply(&rpc, vec![error.to_element()]);
                None
            }
        }
    }

    /// Sends an error that refers to no request. Only the server of an open session sends one.
    fn send_rpc_error(&mut self, tag: Tag, reason: &str) {
        if self.is_open && matches!(self.role, Role::Server { .. }) {
            let error = RpcError::new(Layer::Rpc, tag, reason);
            self.send(&Element::new(BASE, "rpc-reply").with(error.to_element()));
        }
    }

    /// Sends the reply to an `<rpc>`, with the attributes of the request.
    pub fn reply(&mut self, rpc: &Rpc, content: Vec<Element>) {
        let mut reply = Element::new(BASE, "rpc-reply");
        reply.attributes = rpc.element.attributes.clone();
        reply.children = content.into_iter().map(Arc::new).collect();
        self.send(&reply);
    }

    /// Sends an operation in an `<rpc>`. Returns the message-id, by which the reply is matched.
    pub fn send_rpc(&mut self, operation: Element) -> String {
        self.send_rpc_with_id(operation, None)
    }

    /// Like [`Session::send_rpc`], with an id by which the server's edit history recognizes a repeated edit.
    pub fn send_rpc_with_id(&mut self, operation: Element, edit_id: Option<&str>) -> String {
        let message_id = self.next_message_id();
        let mut rpc = Element::new(BASE, "rpc").with_attribute("", "message-id", &message_id);
        if let Some(edit_id) = edit_id {
            rpc = rpc.with_attribute(EDIT_HISTORY, "edit-id", edit_id);
        }
        self.send(&rpc.with(operation));
        message_id
    }

    /// Sends an operation that is already serialized, so that many sessions can share its text. Returns the message-id.
    pub fn send_rpc_text(&mut self, operation: &str) -> String {
        let message_id = self.next_message_id();
        let text = format!("<rpc xmlns=\"{BASE}\" message-id=\"{message_id}\">{operation}</rpc>");
        frame(&text, self.is_chunked, &mut self.output);
        message_id
    }

    fn next_message_id(&mut self) -> String {
        self.last_message_id += 1;
        self.last_message_id.to_string()
    }

    /// Sends a notification (RFC 5277). `time` is in the format of RFC 3339.
    pub fn notify(&mut self, time: &str, event: Element) {
        let notification =
            Element::new(NOTIFICATION, "notification").with_leaf("eventTime", time).with(event);
        self.send(&notification);
    }

    fn send(&mut self, message: &Element) {
        frame(&message.to_text(), self.is_chunked, &mut self.output);
    }

    /// Removes and returns output to send, at most `max_bytes`.
    pub fn take_output(&mut self, max_bytes: usize) -> Vec<u8> {
        if self.output.len() <= max_bytes {
            return std::mem::take(&mut self.output);
        }
        let rest = self.output.split_off(max_bytes);
        std::mem::replace(&mut self.output, rest)
    }

    /// Whether the unsent output exceeds [`SessionLimits::max_unsent_bytes`].
    pub fn is_over_unsent_limit(&self) -> bool {
        self.output.len() > self.limits.max_unsent_bytes
    }

    /// Size of the output that has not been taken yet.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len()
    }
}

fn hello(role: Role, capabilities: &[&str]) -> Element {
    let mut list = Element::new(BASE, "capabilities");
    for capability in [BASE_1_0, BASE_1_1].iter().chain(capabilities) {
        list = list.with_leaf("capability", capability);
    }
    let hello = Element::new(BASE, "hello").with(list);
    match role {
        Role::Server { id } => hello.with_leaf("session-id", id),
        Role::Client => hello,
    }
}

fn parse_message(message: &[u8]) -> Result<Element, String> {
    let text = std::str::from_utf8(message).map_err(|error| error.to_string())?;
    Element::parse(text).map_err(|error| format!("{} at {}:{}", error.reason, error.line, error.column))
}

/// Handles a message received by a client.
fn handle_response(element: Element) -> Result<Option<SessionEvent>, SessionError> {
    if element.is(BASE, "rpc-reply") {
        let message_id = element.attribute("", "message-id").unwrap_or_default().to_string();
        return Ok(Some(SessionEvent::Reply { message_id, reply: element }));
    }
    if element.is(NOTIFICATION, "notification") {
        let event = element.children.iter().find(|child| child.name != "eventTime");
        return Ok(event.map(|event| SessionEvent::Notification((**event).clone())));
    }
    Err(SessionError::UnexpectedMessage(element.name))
}
