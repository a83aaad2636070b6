//! Schemas: what a model allows, as far as an edit needs it.

use crate::error::{RpcError, Tag};
use crate::tree::Element;

/// What a node of the model is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeKind {
    /// It holds other nodes.
    Container,
    /// An entry of a list, with the leaves that are its key.
    List(Vec<String>),
    /// A leaf that may occur several times, identified by its text.
    LeafList,
    /// It holds a text.
    Leaf,
}

/// A node of a model: enough to identify list entries, and to reject unknown nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schema {
    /// Its namespace.
    pub ns: String,
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: NodeKind,
    /// The nodes that it may hold, in order.
    pub children: Vec<Schema>,
}

impl Schema {
    /// A root over the top nodes of one or more models.
    pub fn root(children: Vec<Schema>) -> Self {
        Schema { ns: String::new(), name: "data".into(), kind: NodeKind::Container, children }
    }

    /// The child of this namespace and name.
    pub fn child(&self, ns: &str, name: &str) -> Option<&Schema> {
        self.children.iter().find(|child| child.name == name && child.ns == ns)
    }

    pub(crate) fn is_leaf(&self) -> bool {
        matches!(self.kind, NodeKind::Leaf | NodeKind::LeafList)
    }

    /// Whether a child is part of the list entry's key.
    pub(crate) fn is_key(&self, child: &Element) -> bool {
        matches!(&self.kind, NodeKind::List(keys) if keys.contains(&child.name))
    }

    /// Whether two nodes are the same instance of this one.
    pub(crate) fn is_same_instance(&self, node: &Element, other: &Element) -> bool {
        node.name == other.name
            && node.ns == other.ns
            && match &self.kind {
                NodeKind::List(keys) => keys.iter().all(|key| node.text_of(key) == other.text_of(key)),
                NodeKind::LeafList => node.text == other.text,
                NodeKind::Container | NodeKind::Leaf => true,
            }
    }

    /// Fails if a list entry lacks a part of its key.
    pub(crate) fn check_keys(&self, node: &Element, path: &str) -> Result<(), RpcError> {
        let NodeKind::List(keys) = &self.kind else { return Ok(()) };
        match keys.iter().find(|key| node.text_of(key).is_none_or(str::is_empty)) {
            None => Ok(()),
            Some(key) => Err(RpcError::protocol(Tag::MissingElement, format!("the key <{key}> is missing"))
                .at(path)
                .with_info("bad-element", key.clone())),
        }
    }

    /// Position at which a new child keeps the order of the schema.
    pub(crate) fn insert_position(&self, parent: &Element, child: &Element) -> usize {
        let rank = |element: &Element| {
            self.children.iter().position(|known| known.name == element.name && known.ns == element.ns)
        };
        let child_rank = rank(child);
        let last_before = parent.children.iter().rposition(|sibling| rank(sibling) <= child_rank);
        last_before.map_or(0, |last| last + 1)
    }

    /// The error for a child that this node does not allow.
    pub(crate) fn unknown_child(&self, child: &Element, path: &str) -> RpcError {
        let is_foreign = !child.ns.is_empty() && self.children.iter().all(|known| known.ns != child.ns);
        let error = if is_foreign && !self.children.is_empty() {
            RpcError::protocol(Tag::UnknownNamespace, format!("unknown namespace {}", child.ns))
                .with_info("bad-namespace", child.ns.to_string())
        } else {
            RpcError::protocol(Tag::UnknownElement, format!("<{}> is not known here", child.name))
        };
        error.at(format!("{path}/{}", child.name)).with_info("bad-element", child.name.clone())
    }

    /// The XPath of an instance of this node below `parent`, with the keys of list entries.
    pub(crate) fn path_of(&self, node: &Element, parent: &str) -> String {
        let mut path = format!("{parent}/{}", node.name);
        if let NodeKind::List(keys) = &self.kind {
            for key in keys {
                path.push_str(&format!("[{key}='{}']", node.text_of(key).unwrap_or_default()));
            }
        }
        path
    }
}
