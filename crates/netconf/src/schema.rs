//! Schemas of the data models, as far as edits need them: node kinds, list keys and the order of children.

use crate::error::{RpcError, Tag};
use crate::tree::Element;

/// The kind of a schema node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeKind {
    /// A node with child nodes, which occurs at most once.
    Container,
    /// A list entry, identified by the key leaves of these names.
    List(Vec<String>),
    /// A leaf that may occur several times; its instances are identified by their text.
    LeafList,
    /// A node with text, which occurs at most once.
    Leaf,
}

/// A schema node: enough to identify list entries, keep children in order and reject unknown nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schema {
    /// Its XML namespace.
    pub ns: String,
    /// Its local name.
    pub name: String,
    /// Its kind.
    pub kind: NodeKind,
    /// The schemas of its children, in the order that the data keeps.
    pub children: Vec<Schema>,
}

impl Schema {
    /// A root whose children are the top-level nodes of one or more models.
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

    /// Whether a child is one of the list's key leaves.
    pub(crate) fn is_key(&self, child: &Element) -> bool {
        matches!(&self.kind, NodeKind::List(keys) if keys.contains(&child.name))
    }

    /// Whether two elements denote the same instance of this schema node.
    pub(crate) fn is_same_instance(&self, node: &Element, other: &Element) -> bool {
        node.name == other.name
            && node.ns == other.ns
            && match &self.kind {
                NodeKind::List(keys) => keys.iter().all(|key| node.text_of(key) == other.text_of(key)),
                NodeKind::LeafList => node.text == other.text,
                NodeKind::Container | NodeKind::Leaf => true,
            }
    }

    /// Fails if a key leaf of a list entry is missing or empty.
    pub(crate) fn check_keys(&self, node: &Element, path: &str) -> Result<(), RpcError> {
        let NodeKind::List(keys) = &self.kind else { return Ok(()) };
        match keys.iter().find(|key| node.text_of(key).is_none_or(str::is_empty)) {
            None => Ok(()),
            Some(key) => Err(RpcError::protocol(Tag::MissingElement, format!("the key <{key}> is missing"))
                .at(path)
                .with_info("bad-element", key.clone())),
        }
    }

    /// The position at which to insert a new child: in schema order, after existing siblings of the same name.
    pub(crate) fn insert_position(&self, parent: &Element, child: &Element) -> usize {
        let rank = |element: &Element| {
            self.children.iter().position(|known| known.name == element.name && known.ns == element.ns)
        };
        let child_rank = rank(child);
        let last_before = parent.children.iter().rposition(|sibling| rank(sibling) <= child_rank);
        last_before.map_or(0, |last| last + 1)
    }

    /// The error for a child that the schema does not allow below this node.
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

    /// The XPath of an instance of this node below the path `parent`, with key predicates for list entries.
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
