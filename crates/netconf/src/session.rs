//! One side of one session, free of I/O: bytes in and events out, messages in and bytes out.

use crate::error::{Layer, RpcError, Tag};
use crate::framing::{frame, Deframer, FramingError};
use crate::tree::Element;
use crate::{BASE, BASE_1_0, BASE_1_1, EDIT_HISTORY, NOTIFICATION};
use std::fmt;
use std::sync::Arc;

/// ServiceLimits of a session.
#[derive(Debug, Clone, Copy)]
pub struct SessionLimits {
    /// Bytes of one message: a fleet of 600 proxies and as many servers takes some 400 KB as XML.
    pub max_message_bytes: usize,
    /// Bytes that the other side has not read yet, past which the session ends: two of the largest messages.
    pub max_unsent_bytes: usize,
    /// Events returned at once; further messages wait in the buffer, so that sessions get fair shares.
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
    /// The side that answers.
    Server {
        /// The session's number, sent in `<hello>`.
        id: u32,
    },
    /// The side that asks.
    Client,
}

/// An `<rpc>` that came, with all its attributes, which the reply returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rpc {
    /// The `<rpc>` itself, with its operation as its only child.
    pub element: Element,
}

impl Rpc {
    /// The `message-id` attribute.
    pub fn message_id(&self) -> &str {
        self.element.attribute("", "message-id").unwrap_or_default()
    }

    /// The operation.
    pub fn operation(&self) -> &Element {
        &self.element.children[0]
    }

    /// What is wrong with the `<rpc>` around the operation, if anything is.
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

/// What came from the other side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// The other side's `<hello>`: the session is open.
    Open {
        /// Its capabilities.
        capabilities: Vec<String>,
        /// The session's number, if the other side is the server.
        session_id: Option<u32>,
    },
    /// A request.
    Rpc(Rpc),
    /// A reply.
    Reply {
        /// The request's message-id.
        message_id: String,
        /// The `<rpc-reply>`.
        reply: Element,
    },
    /// A notification: its element beside `<eventTime>`.
    Notification(Element),
}

/// Why a session has to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionError {
    /// The stream cannot be split into messages.
    Framing(FramingError),
    /// A message is not well-formed XML, with the reason.
    MalformedMessage(String),
    /// The first message is no `<hello>`.
    MissingHello,
    /// A client's `<hello>` has a session-id (RFC 6241, section 8.1).
    UnexpectedSessionId,
    /// A server's `<hello>` has no session-id.
    MissingSessionId,
    /// The two sides have no base capability in common.
    NoCommonBase,
    /// A server sent an element of this name that is neither reply nor notification.
    UnexpectedMessage(String),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::Framing(error) => write!(f, "{error}"),
            SessionError::MalformedMessage(reason) => write!(f, "malformed message: {reason}"),
            SessionError::MissingHello => write!(f, "no <hello> at the start"),
            SessionError::UnexpectedSessionId => write!(f, "a client's <hello> with a session-id"),
            SessionError::MissingSessionId => write!(f, "a <hello> without a session-id"),
            SessionError::NoCommonBase => write!(f, "no base capability in common"),
            SessionError::UnexpectedMessage(name) => write!(f, "unexpected <{name}>"),
        }
    }
}

impl std::error::Error for SessionError {}

/// One side of a session.
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
    /// Starts one side: its `<hello>` is in the output at once.
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

    /// Whether the other side's `<hello>` came.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Takes in received bytes. After an error the session is over; the output, which then holds an `<rpc-error>` at
    /// most, may still be written.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<SessionEvent>, SessionError> {
        self.deframer.push(bytes);
        self.receive_buffered()
    }

    /// Returns events of messages that are still in the buffer.
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

    /// Whether this many events may have left further messages in the buffer.
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
                // RFC 6241, appendix A: nothing that follows a malformed message can be trusted.
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

    /// Handles a message to a server.
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

    /// Sends an error that belongs to no request.
    fn send_rpc_error(&mut self, tag: Tag, reason: &str) {
        if self.is_open && matches!(self.role, Role::Server { .. }) {
            let error = RpcError::new(Layer::Rpc, tag, reason);
            self.send(&Element::new(BASE, "rpc-reply").with(error.to_element()));
        }
    }

    /// Answers an `<rpc>`, with its attributes returned as they came.
    pub fn reply(&mut self, rpc: &Rpc, content: Vec<Element>) {
        let mut reply = Element::new(BASE, "rpc-reply");
        reply.attributes = rpc.element.attributes.clone();
        reply.children = content.into_iter().map(Arc::new).collect();
        self.send(&reply);
    }

    /// Sends an operation and returns its message-id.
    pub fn send_rpc(&mut self, operation: Element) -> String {
        self.send_rpc_with_id(operation, None)
    }

    /// Sends an operation with an id for the edit history, and returns its message-id.
    pub fn send_rpc_with_id(&mut self, operation: Element, edit_id: Option<&str>) -> String {
        let message_id = self.next_message_id();
        let mut rpc = Element::new(BASE, "rpc").with_attribute("", "message-id", &message_id);
        if let Some(edit_id) = edit_id {
            rpc = rpc.with_attribute(EDIT_HISTORY, "edit-id", edit_id);
        }
        self.send(&rpc.with(operation));
        message_id
    }

    /// Sends an operation that is written already, so that many sessions share its text. Returns its message-id.
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

    /// Sends a notification (RFC 5277); `time` in the format of RFC 3339.
    pub fn notify(&mut self, time: &str, event: Element) {
        let notification =
            Element::new(NOTIFICATION, "notification").with_leaf("eventTime", time).with(event);
        self.send(&notification);
    }

    fn send(&mut self, message: &Element) {
        frame(&message.to_text(), self.is_chunked, &mut self.output);
    }

    /// Takes bytes to be written, at most `max_bytes`.
    pub fn take_output(&mut self, max_bytes: usize) -> Vec<u8> {
        if self.output.len() <= max_bytes {
            return std::mem::take(&mut self.output);
        }
        let rest = self.output.split_off(max_bytes);
        std::mem::replace(&mut self.output, rest)
    }

    /// Whether more bytes wait for the other side to read than the limit allows.
    pub fn is_over_unsent_limit(&self) -> bool {
        self.output.len() > self.limits.max_unsent_bytes
    }

    /// Bytes that wait to be written.
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

/// Handles a message to a client.
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
