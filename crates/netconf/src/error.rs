//! `<rpc-error>` (RFC 6241, section 4.3 and appendix A).

use crate::tree::Element;
use crate::BASE;

/// The protocol layer in which an error occurred, sent as `<error-type>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layer {
    /// The secure transport.
    Transport,
    /// The message layer: `<rpc>` and its attributes.
    Rpc,
    /// The operations.
    Protocol,
    /// The content of the data models.
    Application,
}

impl Layer {
    /// The text of `<error-type>`.
    fn name(self) -> &'static str {
        match self {
            Layer::Transport => "transport",
            Layer::Rpc => "rpc",
            Layer::Protocol => "protocol",
            Layer::Application => "application",
        }
    }
}

/// The values of `<error-tag>` from appendix A that this implementation uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tag {
    InUse,
    InvalidValue,
    TooBig,
    MissingAttribute,
    BadAttribute,
    MissingElement,
    BadElement,
    UnknownElement,
    UnknownNamespace,
    AccessDenied,
    LockDenied,
    ResourceDenied,
    DataExists,
    DataMissing,
    OperationNotSupported,
    OperationFailed,
    MalformedMessage,
}

impl Tag {
    /// The text of `<error-tag>`.
    pub fn name(self) -> &'static str {
        match self {
            Tag::InUse => "in-use",
            Tag::InvalidValue => "invalid-value",
            Tag::TooBig => "too-big",
            Tag::MissingAttribute => "missing-attribute",
            Tag::BadAttribute => "bad-attribute",
            Tag::MissingElement => "missing-element",
            Tag::BadElement => "bad-element",
            Tag::UnknownElement => "unknown-element",
            Tag::UnknownNamespace => "unknown-namespace",
            Tag::AccessDenied => "access-denied",
            Tag::LockDenied => "lock-denied",
            Tag::ResourceDenied => "resource-denied",
            Tag::DataExists => "data-exists",
            Tag::DataMissing => "data-missing",
            Tag::OperationNotSupported => "operation-not-supported",
            Tag::OperationFailed => "operation-failed",
            Tag::MalformedMessage => "malformed-message",
        }
    }
}

/// One `<rpc-error>`. Its severity is always `error`, since the RFC defines no warnings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RpcError {
    /// The layer in which it occurred.
    pub layer: Layer,
    /// The error condition.
    pub tag: Tag,
    /// The application-specific condition, sent as `<error-app-tag>`.
    pub app_tag: Option<String>,
    /// The absolute XPath of the node that caused it, sent as `<error-path>`.
    pub path: Option<String>,
    /// The human-readable text, sent as `<error-message>`.
    pub message: String,
    /// The children of `<error-info>` as name and text, such as `bad-element` or `session-id`.
    pub info: Vec<(&'static str, String)>,
}

impl RpcError {
    /// An error without path, application tag and `<error-info>`.
    pub fn new(layer: Layer, tag: Tag, message: impl Into<String>) -> Self {
        RpcError { layer, tag, app_tag: None, path: None, message: message.into(), info: vec![] }
    }

    /// An error of the application layer.
    pub fn application(tag: Tag, message: impl Into<String>) -> Self {
        RpcError::new(Layer::Application, tag, message)
    }

    /// An error of the protocol layer.
    pub fn protocol(tag: Tag, message: impl Into<String>) -> Self {
        RpcError::new(Layer::Protocol, tag, message)
    }

    /// Sets the XPath of the node that caused the error.
    pub fn at(mut self, path: impl Into<String>) -> Self {
        self.path = Some(path.into());
        self
    }

    /// Sets `<error-app-tag>`.
    pub fn with_app_tag(mut self, tag: &str) -> Self {
        self.app_tag = Some(tag.to_string());
        self
    }

    /// Adds a child of `<error-info>`.
    pub fn with_info(mut self, name: &'static str, text: impl Into<String>) -> Self {
        self.info.push((name, text.into()));
        self
    }

    /// The error as an `<rpc-error>` element.
    pub fn to_element(&self) -> Element {
        let mut error = Element::new(BASE, "rpc-error")
            .with_leaf("error-type", self.layer.name())
            .with_leaf("error-tag", self.tag.name())
            .with_leaf("error-severity", "error");
        if let Some(tag) = &self.app_tag {
            error = error.with_leaf("error-app-tag", tag);
        }
        if let Some(path) = &self.path {
            error = error.with_leaf("error-path", path);
        }
        error = error.with_leaf("error-message", &self.message);
        if !self.info.is_empty() {
            let mut info = Element::new(BASE, "error-info");
            for (name, text) in &self.info {
                info = info.with_leaf(name, text);
            }
            error = error.with(info);
        }
        error
    }
}
