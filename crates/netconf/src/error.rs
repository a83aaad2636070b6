//! `<rpc-error>` as RFC 6241, section 4.3 and appendix A, has it.

use crate::tree::Element;
use crate::BASE;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layer {
    Transport,
    Rpc,
    Protocol,
    Application,
}

/// The tags of appendix A that are used here.
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

/// One `<rpc-error>`; its severity is always `error`, as the RFC defines no warning yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RpcError {
    pub layer: Layer,
    pub tag: Tag,
    pub app_tag: Option<String>,
    /// An absolute path to the node at fault.
    pub path: Option<String>,
    pub message: String,
    /// Further facts: name and text, as `bad-element` or `session-id`.
    pub info: Vec<(&'static str, String)>,
}

impl RpcError {
    pub fn new(layer: Layer, tag: Tag, message: impl Into<String>) -> Self {
        RpcError { layer, tag, app_tag: None, path: None, message: message.into(), info: vec![] }
    }

    pub fn application(tag: Tag, message: impl Into<String>) -> Self {
        RpcError::new(Layer::Application, tag, message)
    }

    pub fn protocol(tag: Tag, message: impl Into<String>) -> Self {
        RpcError::new(Layer::Protocol, tag, message)
    }

    pub fn at(mut self, path: impl Into<String>) -> Self {
        self.path = Some(path.into());
        self
    }

    pub fn app(mut self, tag: &str) -> Self {
        self.app_tag = Some(tag.to_string());
        self
    }

    pub fn with(mut self, name: &'static str, text: impl Into<String>) -> Self {
        self.info.push((name, text.into()));
        self
    }

    pub fn element(&self) -> Element {
        let layer = match self.layer {
            Layer::Transport => "transport",
            Layer::Rpc => "rpc",
            Layer::Protocol => "protocol",
            Layer::Application => "application",
        };
        let mut error = Element::new(BASE, "rpc-error")
            .with_leaf("error-type", layer)
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
            let info = self.info.iter().fold(Element::new(BASE, "error-info"), |i, (k, v)| i.with_leaf(k, v));
            error = error.with(info);
        }
        error
    }
}
