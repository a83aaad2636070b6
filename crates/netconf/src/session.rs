//! One side of one session, free of I/O: bytes in, what was heard out; messages in, bytes out.

use crate::error::{Layer, RpcError, Tag};
use crate::framing::{frame, Deframer};
use crate::tree::Element;
use crate::{BASE, BASE_1_0, BASE_1_1, NOTIFY};

/// The bounds of a session.
#[derive(Debug, Clone, Copy)]
pub struct SessionLimits {
    /// Bytes of one message: a fleet of 600 proxies and as many servers takes some 400 KB as XML.
    pub message: usize,
    /// Bytes not yet taken by the other side, past which the session ends: two of the largest messages.
    pub unread: usize,
    /// Messages handed on from one push of bytes; further ones wait in the buffer, for a fair share.
    pub at_once: usize,
}

impl Default for SessionLimits {
    fn default() -> Self {
        SessionLimits { message: 2 << 20, unread: 4 << 20, at_once: 64 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Server { id: u32 },
    Client,
}

/// An `<rpc>` that came, with all its attributes, which the reply returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rpc {
    /// The `<rpc>` itself, its operation as its only child.
    pub rpc: Element,
}

impl Rpc {
    pub fn message_id(&self) -> &str {
        self.rpc.attribute("", "message-id").unwrap_or_default()
    }

    /// The operation.
    pub fn operation(&self) -> &Element {
        &self.rpc.children[0]
    }
}

/// What came from the other side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// The other's `<hello>`: the session stands.
    Open {
        capabilities: Vec<String>,
        session: Option<u32>,
    },
    Rpc(Rpc),
    /// A reply: to which message, and the `<rpc-reply>`.
    Reply {
        message_id: String,
        reply: Element,
    },
    /// A notification: its one element beside `<eventTime>`.
    Notified(Element),
}

/// Why the session has to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionError(pub String);

impl std::fmt::Display for SessionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Debug)]
pub struct Session {
    role: Role,
    bounds: SessionLimits,
    deframer: Deframer,
    open: bool,
    chunked: bool,
    out: Vec<u8>,
    next_message: u64,
}

impl Session {
    /// Starts one side: its `<hello>` is in the output at once.
    pub fn new(role: Role, capabilities: &[&str], bounds: SessionLimits) -> Self {
        let mut list = Element::new(BASE, "capabilities");
        for capability in [BASE_1_0, BASE_1_1].iter().chain(capabilities) {
            list = list.with_leaf("capability", capability);
        }
        let mut hello = Element::new(BASE, "hello").with(list);
        if let Role::Server { id } = role {
            hello = hello.with_leaf("session-id", id);
        }
        let mut out = Vec::new();
        frame(&hello.to_text(), false, &mut out);
        let deframer = Deframer::new(bounds.message);
        Session { role, bounds, deframer, open: false, chunked: false, out, next_message: 0 }
    }

    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Takes bytes and hands on what they hold. On an error the session is over: what is in the output
    /// then, an `<rpc-error>` at the most, may still be written.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<SessionEvent>, SessionError> {
        self.deframer.push(bytes);
        self.more()
    }

    /// What waits in the buffer since one push held more messages than a fair share.
    pub fn more(&mut self) -> Result<Vec<SessionEvent>, SessionError> {
        let mut heard = Vec::new();
        while heard.len() < self.bounds.at_once {
            let message = match self.deframer.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => message,
                Err(torn) => {
                    let tag = if torn == crate::framing::FramingError::TooBig {
                        Tag::TooBig
                    } else {
                        Tag::MalformedMessage
                    };
                    self.refuse(tag, &torn.to_string());
                    return Err(SessionError(torn.to_string()));
                }
            };
            self.message(&message, &mut heard)?;
        }
        Ok(heard)
    }

    /// Whether a whole share was handed on, so that more may wait.
    pub fn may_hold_more(&self, heard: usize) -> bool {
        heard >= self.bounds.at_once
    }

    fn message(&mut self, message: &[u8], heard: &mut Vec<SessionEvent>) -> Result<(), SessionError> {
        let parsed = std::str::from_utf8(message).map_err(|e| e.to_string()).and_then(|text| {
            Element::parse(text).map_err(|e| format!("{} at {}:{}", e.reason, e.line, e.column))
        });
        let element = match parsed {
            Ok(element) => element,
            Err(reason) => {
                // RFC 6241: malformed-message is the answer, and nothing behind it can be trusted.
                self.refuse(Tag::MalformedMessage, &reason);
                return Err(SessionError(format!("malformed message: {reason}")));
            }
        };
        if !self.open {
            return self.hello(&element, heard);
        }
        match (self.role, element.name.as_str()) {
            (Role::Server { .. }, "rpc") if element.ns == BASE => self.rpc(element, heard),
            (Role::Client, "rpc-reply") if element.ns == BASE => {
                let message_id = element.attribute("", "message-id").unwrap_or_default().to_string();
                heard.push(SessionEvent::Reply { message_id, reply: element });
            }
            (Role::Client, "notification") if element.ns == NOTIFY => {
                let event = element.children.iter().find(|c| c.name != "eventTime");
                heard.extend(event.map(|e| SessionEvent::Notified((**e).clone())));
            }
            (Role::Server { .. }, _) => {
                let error = RpcError::new(Layer::Rpc, Tag::UnknownElement, "only <rpc> is understood here")
                    .with("bad-element", element.name.clone());
                self.send(&Element::new(BASE, "rpc-reply").with(error.element()));
            }
            (Role::Client, _) => return Err(SessionError(format!("unexpected <{}>", element.name))),
        }
        Ok(())
    }

    fn hello(&mut self, element: &Element, heard: &mut Vec<SessionEvent>) -> Result<(), SessionError> {
        if !element.is(BASE, "hello") {
            return Err(SessionError("no <hello> at the start".into()));
        }
        let session = element.text_of("session-id").map(|s| s.parse::<u32>());
        match (self.role, &session) {
            (Role::Server { .. }, Some(_)) => {
                return Err(SessionError("a client's <hello> with a session-id".into()))
            }
            (Role::Client, None | Some(Err(_))) => {
                return Err(SessionError("a <hello> without a session-id".into()))
            }
            _ => {}
        }
        let list = element.child("capabilities").map(|c| c.children.as_slice()).unwrap_or_default();
        let capabilities: Vec<String> = list.iter().map(|c| c.text.clone()).collect();
        let has = |wanted: &str| capabilities.iter().any(|c| c == wanted);
        if !has(BASE_1_0) && !has(BASE_1_1) {
            return Err(SessionError("no base capability in common".into()));
        }
        self.chunked = has(BASE_1_1);
        if self.chunked {
            self.deframer.chunk();
        }
        self.open = true;
        heard.push(SessionEvent::Open { capabilities, session: session.and_then(Result::ok) });
        Ok(())
    }

    fn rpc(&mut self, element: Element, heard: &mut Vec<SessionEvent>) {
        let rpc = Rpc { rpc: element };
        let fault = if rpc.rpc.attribute("", "message-id").is_none() {
            Some(
                RpcError::new(Layer::Rpc, Tag::MissingAttribute, "an <rpc> needs a message-id")
                    .with("bad-attribute", "message-id")
                    .with("bad-element", "rpc"),
            )
        } else if rpc.rpc.children.len() != 1 {
            Some(RpcError::new(Layer::Rpc, Tag::MissingElement, "an <rpc> holds one operation"))
        } else {
            None
        };
        match fault {
            Some(error) => self.reply(&rpc, vec![error.element()]),
            None => heard.push(SessionEvent::Rpc(rpc)),
        }
    }

    fn refuse(&mut self, tag: Tag, reason: &str) {
        if self.open && matches!(self.role, Role::Server { .. }) {
            let error = RpcError::new(Layer::Rpc, tag, reason);
            self.send(&Element::new(BASE, "rpc-reply").with(error.element()));
        }
    }

    /// Answers an `<rpc>`, with its attributes returned as they came.
    pub fn reply(&mut self, to: &Rpc, content: Vec<Element>) {
        let mut reply = Element::new(BASE, "rpc-reply");
        reply.attributes = to.rpc.attributes.clone();
        reply.children = content.into_iter().map(std::sync::Arc::new).collect();
        self.send(&reply);
    }

    /// Sends `<rpc>` with this operation; gives the message-id.
    pub fn ask(&mut self, operation: Element) -> String {
        self.ask_with(operation, None)
    }

    /// The same, with an id for the ledger of edits.
    pub fn ask_with(&mut self, operation: Element, edit_id: Option<&str>) -> String {
        self.next_message += 1;
        let id = self.next_message.to_string();
        let mut rpc = Element::new(BASE, "rpc").with_attribute("", "message-id", &id);
        if let Some(edit_id) = edit_id {
            rpc = rpc.with_attribute(crate::LEDGER, "edit-id", edit_id);
        }
        self.send(&rpc.with(operation));
        id
    }

    /// Sends `<rpc>` round an operation that is written already, so that many sessions share its text.
    pub fn ask_text(&mut self, operation: &str) -> String {
        self.next_message += 1;
        let id = self.next_message.to_string();
        let text = format!("<rpc xmlns=\"{BASE}\" message-id=\"{id}\">{operation}</rpc>");
        frame(&text, self.chunked, &mut self.out);
        id
    }

    /// Sends a notification (RFC 5277); `time` as RFC 3339 has it.
    pub fn notify(&mut self, time: &str, event: Element) {
        let notification = Element::new(NOTIFY, "notification").with_leaf("eventTime", time).with(event);
        self.send(&notification);
    }

    fn send(&mut self, message: &Element) {
        frame(&message.to_text(), self.chunked, &mut self.out);
    }

    /// Bytes to be written, at most so many.
    pub fn output(&mut self, most: usize) -> Vec<u8> {
        if self.out.len() <= most {
            return std::mem::take(&mut self.out);
        }
        let rest = self.out.split_off(most);
        std::mem::replace(&mut self.out, rest)
    }

    /// The other side does not read: more waits than the bound allows.
    pub fn is_clogged(&self) -> bool {
        self.out.len() > self.bounds.unread
    }

    pub fn waiting(&self) -> usize {
        self.out.len()
    }
}
