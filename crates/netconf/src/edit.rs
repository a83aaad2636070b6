//! `<edit-config>`: RFC 6241, section 7.2. Trees share what an edit leaves alone.

use crate::error::{RpcError, Tag};
use crate::tree::Element;
use crate::BASE;
use std::sync::Arc;

/// What a node of the model is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    Container,
    /// A list's entry, and the leaves that are its key.
    List(Vec<String>),
    /// Told apart by its text.
    LeafList,
    Leaf,
}

/// What a model allows below a node: enough to tell entries apart and unknown nodes from known ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schema {
    pub ns: String,
    pub name: String,
    pub kind: Kind,
    pub children: Vec<Schema>,
}

impl Schema {
    /// A root over the top nodes of one or more models.
    pub fn root(children: Vec<Schema>) -> Self {
        Schema { ns: String::new(), name: "data".into(), kind: Kind::Container, children }
    }

    pub fn child(&self, ns: &str, name: &str) -> Option<&Schema> {
        self.children.iter().find(|c| c.name == name && c.ns == ns)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
    /// Only as the default: nothing is touched but where an operation is named.
    None,
}

impl Operation {
    pub fn named(name: &str) -> Option<Operation> {
        Some(match name {
            "merge" => Operation::Merge,
            "replace" => Operation::Replace,
            "create" => Operation::Create,
            "delete" => Operation::Delete,
            "remove" => Operation::Remove,
            "none" => Operation::None,
            _ => return None,
        })
    }
}

/// One top node of a `<config>` that could not be applied.
pub type Fault = RpcError;

/// Applies `<config>` to a datastore. With `go_on` (continue-on-error) the top nodes that can be applied are,
/// and every fault is told; without, the first fault ends it and the tree given back is as it was.
pub fn apply(
    schema: &Schema,
    target: &Arc<Element>,
    config: &Element,
    default: Operation,
    go_on: bool,
) -> (Arc<Element>, Vec<Fault>) {
    let (mut now, mut faults) = (target.clone(), Vec::new());
    for top in &config.children {
        let one = Element { children: vec![top.clone()], ..Element::new(BASE, "config") };
        match merge_children(schema, &now, &one, default, "") {
            Ok(changed) => now = changed,
            Err(fault) => {
                faults.push(fault);
                if !go_on {
                    return (target.clone(), faults);
                }
            }
        }
    }
    (now, faults)
}

fn operation_of(node: &Element, path: &str, inherited: Operation) -> Result<Operation, Fault> {
    match node.attribute(BASE, "operation") {
        None => Ok(inherited),
        Some("none") => Err(bad_operation(node, path, "none")),
        Some(name) => Operation::named(name).ok_or_else(|| bad_operation(node, path, name)),
    }
}

fn bad_operation(node: &Element, path: &str, name: &str) -> Fault {
    RpcError::protocol(Tag::BadAttribute, format!("unknown operation {name}"))
        .at(path)
        .with("bad-attribute", "operation")
        .with("bad-element", node.name.clone())
}

fn missing(node: &Element, path: &str) -> Fault {
    RpcError::application(Tag::DataMissing, format!("<{}> is not there", node.name)).at(path)
}

/// Applies the children of `config` to those of `target`.
fn merge_children(
    schema: &Schema,
    target: &Arc<Element>,
    config: &Element,
    inherited: Operation,
    path: &str,
) -> Result<Arc<Element>, Fault> {
    let mut target = target.clone();
    for node in &config.children {
        let Some(model) = schema.child(&node.ns, &node.name) else {
            return Err(unknown(schema, node, path));
        };
        let path = path_of(model, node, path);
        if let Some(changed) = merge_node(schema, model, &target, node, inherited, &path)? {
            target = changed;
        }
    }
    Ok(target)
}

fn merge_node(
    above: &Schema,
    model: &Schema,
    parent: &Arc<Element>,
    node: &Arc<Element>,
    inherited: Operation,
    path: &str,
) -> Result<Option<Arc<Element>>, Fault> {
    let operation = operation_of(node, path, inherited)?;
    check_keys(model, node, path)?;
    let place = parent.children.iter().position(|c| same_entry(model, c, node));
    let put = |child: Arc<Element>| {
        let mut parent = (**parent).clone();
        match place {
            Some(place) => parent.children[place] = child,
            None => {
                let place = place_of(above, &parent, &child);
                parent.children.insert(place, child);
            }
        }
        Some(Arc::new(parent))
    };
    match (operation, place) {
        (Operation::Create, Some(_)) => {
            Err(RpcError::application(Tag::DataExists, format!("<{}> exists already", node.name)).at(path))
        }
        (Operation::Create | Operation::Replace, _) => Ok(put(Arc::new(fresh(model, node, path)?))),
        (Operation::Delete, None) => Err(missing(node, path)),
        (Operation::Remove, None) => Ok(None),
        (Operation::Delete | Operation::Remove, Some(place)) => {
            let mut parent = (**parent).clone();
            parent.children.remove(place);
            Ok(Some(Arc::new(parent)))
        }
        (Operation::Merge, _) if matches!(model.kind, Kind::Leaf | Kind::LeafList) => {
            Ok(put(Arc::new(fresh(model, node, path)?)))
        }
        (Operation::Merge, Some(place)) => {
            Ok(put(merge_children(model, &parent.children[place], node, operation, path)?))
        }
        (Operation::Merge, None) => {
            // Nothing there yet: what is below may still name operations of its own.
            let empty = Element { children: vec![], attributes: vec![], ..(**node).clone() };
            Ok(put(merge_children(model, &Arc::new(empty), node, operation, path)?))
        }
        (Operation::None, None) => Err(missing(node, path)),
        (Operation::None, Some(place)) => {
            if matches!(model.kind, Kind::Leaf | Kind::LeafList) {
                return Ok(None);
            }
            // The keys say which entry is meant, and are no change of it.
            let below = Element {
                children: node.children.iter().filter(|c| !is_key(model, c)).cloned().collect(),
                ..Element::default()
            };
            Ok(put(merge_children(model, &parent.children[place], &below, operation, path)?))
        }
    }
}

/// Where a new child goes so that the model's order holds, as a schema of sequences wants it.
fn place_of(above: &Schema, parent: &Element, child: &Element) -> usize {
    let rank = |e: &Element| above.children.iter().position(|c| c.name == e.name && c.ns == e.ns);
    let own = rank(child);
    parent.children.iter().rposition(|c| rank(c) <= own).map_or(0, |last| last + 1)
}

fn is_key(model: &Schema, node: &Element) -> bool {
    matches!(&model.kind, Kind::List(keys) if keys.contains(&node.name))
}

/// The node as data: known names only, no `operation` left in it; what it says to delete below is not there.
fn fresh(model: &Schema, node: &Element, path: &str) -> Result<Element, Fault> {
    let mut made = Element { children: vec![], attributes: vec![], ..node.clone() };
    if matches!(model.kind, Kind::Leaf | Kind::LeafList) {
        if let Some(child) = node.children.first() {
            return Err(unknown(model, child, path));
        }
        return Ok(made);
    }
    let empty = Arc::new(Element { text: String::new(), ..made.clone() });
    let below = merge_children(model, &empty, node, Operation::Merge, path)?;
    made.children.clone_from(&below.children);
    made.text.clear();
    Ok(made)
}

fn check_keys(model: &Schema, node: &Element, path: &str) -> Result<(), Fault> {
    let Kind::List(keys) = &model.kind else { return Ok(()) };
    match keys.iter().find(|key| node.text_of(key).is_none_or(str::is_empty)) {
        None => Ok(()),
        Some(key) => Err(RpcError::protocol(Tag::MissingElement, format!("the key <{key}> is missing"))
            .at(path)
            .with("bad-element", key.clone())),
    }
}

fn same_entry(model: &Schema, there: &Element, node: &Element) -> bool {
    there.name == node.name
        && there.ns == node.ns
        && match &model.kind {
            Kind::List(keys) => keys.iter().all(|key| there.text_of(key) == node.text_of(key)),
            Kind::LeafList => there.text == node.text,
            Kind::Container | Kind::Leaf => true,
        }
}

fn unknown(schema: &Schema, node: &Element, path: &str) -> Fault {
    let elsewhere = !node.ns.is_empty() && schema.children.iter().all(|c| c.ns != node.ns);
    let fault = if elsewhere && !schema.children.is_empty() {
        RpcError::protocol(Tag::UnknownNamespace, format!("unknown namespace {}", node.ns))
            .with("bad-namespace", node.ns.to_string())
    } else {
        RpcError::protocol(Tag::UnknownElement, format!("<{}> is not known here", node.name))
    };
    fault.at(format!("{path}/{}", node.name)).with("bad-element", node.name.clone())
}

/// The path to a node as an XPath, list entries by their keys.
pub fn path_of(model: &Schema, node: &Element, parent: &str) -> String {
    let mut path = format!("{parent}/{}", node.name);
    if let Kind::List(keys) = &model.kind {
        for key in keys {
            path.push_str(&format!("[{key}='{}']", node.text_of(key).unwrap_or_default()));
        }
    }
    path
}
