//! `<edit-config>` (RFC 6241, section 7.2). The edited tree shares unchanged subtrees with the original.

pub use crate::schema::{NodeKind, Schema};

use crate::error::{RpcError, Tag};
use crate::tree::Element;
use crate::BASE;
use std::sync::Arc;

/// The `operation` of an edit on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Creates the node, or merges it into the existing one.
    Merge,
    /// Creates the node, or replaces the existing one.
    Replace,
    /// Creates the node; fails if it exists.
    Create,
    /// Deletes the node; fails if it does not exist.
    Delete,
    /// Deletes the node if it exists.
    Remove,
    /// Leaves the node itself unchanged; fails if it does not exist. Valid only as the default operation.
    None,
}

impl Operation {
    /// Parses the value of an `operation` attribute; `None` if it is unknown.
    fn parse(name: &str) -> Option<Operation> {
        Some(match name {
            "merge" => Operation::Merge,
            "replace" => Operation::Replace,
            "create" => Operation::Create,
            "delete" => Operation::Delete,
            "remove" => Operation::Remove,
            _ => return None,
        })
    }
}

/// How an edit proceeds after an error in one of the top-level nodes (`<error-option>`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorOption {
    /// Stops, and applies no part of the edit.
    StopOnError,
    /// Applies the remaining top-level nodes.
    ContinueOnError,
}

/// The result of an edit.
#[derive(Debug, Clone)]
pub struct EditOutcome {
    /// The edited datastore, or the original one if the edit stopped on an error.
    pub tree: Arc<Element>,
    /// One error for each top-level node that could not be applied.
    pub errors: Vec<RpcError>,
}

/// Applies `<config>` to a datastore. `default` is the operation of top-level nodes without an `operation` attribute.
pub fn apply(
    schema: &Schema,
    target: &Arc<Element>,
    config: &Element,
    default: Operation,
    error_option: ErrorOption,
) -> EditOutcome {
    let mut tree = target.clone();
    let mut errors = Vec::new();
    for top in &config.children {
        let config = Element { children: vec![top.clone()], ..Element::new(BASE, "config") };
        match apply_children(schema, &tree, &config, default, "") {
            Ok(changed) => tree = changed,
            Err(error) => {
                errors.push(error);
                if error_option == ErrorOption::StopOnError {
                    return EditOutcome { tree: target.clone(), errors };
                }
            }
        }
    }
    EditOutcome { tree, errors }
}

fn read_operation(node: &Element, path: &str, inherited: Operation) -> Result<Operation, RpcError> {
    match node.attribute(BASE, "operation") {
        None => Ok(inherited),
        Some(name) => Operation::parse(name).ok_or_else(|| invalid_operation_attribute(node, path, name)),
    }
}

fn invalid_operation_attribute(node: &Element, path: &str, name: &str) -> RpcError {
    RpcError::protocol(Tag::BadAttribute, format!("unknown operation {name}"))
        .at(path)
        .with_info("bad-attribute", "operation")
        .with_info("bad-element", node.name.clone())
}

fn data_exists(node: &Element, path: &str) -> RpcError {
    RpcError::application(Tag::DataExists, format!("<{}> exists already", node.name)).at(path)
}

fn data_missing(node: &Element, path: &str) -> RpcError {
    RpcError::application(Tag::DataMissing, format!("<{}> is not there", node.name)).at(path)
}

/// Applies the children of `config` to those of `target`.
fn apply_children(
    schema: &Schema,
    target: &Arc<Element>,
    config: &Element,
    inherited: Operation,
    path: &str,
) -> Result<Arc<Element>, RpcError> {
    let mut target = target.clone();
    for node in &config.children {
        let Some(node_schema) = schema.child(&node.ns, &node.name) else {
            return Err(schema.unknown_child(node, path));
        };
        let path = node_schema.path_of(node, path);
        let edit = NodeEdit { parent_schema: schema, schema: node_schema, node, path: &path };
        if let Some(changed) = edit.apply(&target, inherited)? {
            target = changed;
        }
    }
    Ok(target)
}

/// The edit of one node of a datastore.
struct NodeEdit<'a> {
    parent_schema: &'a Schema,
    schema: &'a Schema,
    node: &'a Arc<Element>,
    path: &'a str,
}

impl NodeEdit<'_> {
    /// Returns the changed parent, or `None` if it remains unchanged.
    fn apply(&self, parent: &Arc<Element>, inherited: Operation) -> Result<Option<Arc<Element>>, RpcError> {
        let operation = read_operation(self.node, self.path, inherited)?;
        self.schema.check_keys(self.node, self.path)?;
        let is_same = |child: &Arc<Element>| self.schema.is_same_instance(child, self.node);
        let position = parent.children.iter().position(is_same);
        match (operation, position) {
            (Operation::Create, Some(_)) => Err(data_exists(self.node, self.path)),
            (Operation::Delete | Operation::None, None) => Err(data_missing(self.node, self.path)),
            (Operation::Remove, None) => Ok(None),
            (Operation::Delete | Operation::Remove, Some(position)) => {
                let mut parent = (**parent).clone();
                parent.children.remove(position);
                Ok(Some(Arc::new(parent)))
            }
            (Operation::Create | Operation::Replace, _) => Ok(self.put(parent, position, self.new_node()?)),
            (Operation::Merge, _) => Ok(self.put(parent, position, self.merged_node(parent, position)?)),
            (Operation::None, Some(_)) if self.schema.is_leaf() => Ok(None),
            (Operation::None, Some(position)) => {
                let changed = self.edit_below(&parent.children[position])?;
                Ok(self.put(parent, Some(position), changed))
            }
        }
    }

    /// Returns the parent with `child` put at `position`, or inserted in schema order if there is no position.
    fn put(&self, parent: &Element, position: Option<usize>, child: Arc<Element>) -> Option<Arc<Element>> {
        let mut parent = parent.clone();
        match position {
            Some(position) => parent.children[position] = child,
            None => {
                let position = self.parent_schema.insert_position(&parent, &child);
                parent.children.insert(position, child);
            }
        }
        Some(Arc::new(parent))
    }

    fn merged_node(&self, parent: &Element, position: Option<usize>) -> Result<Arc<Element>, RpcError> {
        if self.schema.is_leaf() {
            return self.new_node();
        }
        let target = match position {
            Some(position) => parent.children[position].clone(),
            // Nodes below may have their own operations, so the new node starts empty and they are merged into it.
            None => Arc::new(Element { attributes: vec![], ..self.node.without_children() }),
        };
        apply_children(self.schema, &target, self.node, Operation::Merge, self.path)
    }

    /// Applies the operations below this node to the existing node. Key leaves are left out: they only identify the
    /// entry.
    fn edit_below(&self, existing: &Arc<Element>) -> Result<Arc<Element>, RpcError> {
        let children = self.node.children.iter().filter(|child| !self.schema.is_key(child));
        let below = Element { children: children.cloned().collect(), ..Element::default() };
        apply_children(self.schema, existing, &below, Operation::None, self.path)
    }

    /// Builds the node as new data: without `operation` attributes, and with the operations below it applied to an
    /// empty node.
    fn new_node(&self) -> Result<Arc<Element>, RpcError> {
        let mut created = Element { attributes: vec![], ..self.node.without_children() };
        if self.schema.is_leaf() {
            return match self.node.children.first() {
                Some(child) => Err(self.schema.unknown_child(child, self.path)),
                None => Ok(Arc::new(created)),
            };
        }
        created.text.clear();
        apply_children(self.schema, &Arc::new(created), self.node, Operation::Merge, self.path)
    }
}
