//! XPath filters (RFC 6241, section 8.9).

use crate::error::{RpcError, Tag};
use crate::tree::Element;
use std::sync::Arc;
use uppsala::xpath::XPathValue;
use uppsala::{Document, NodeId};

fn invalid_xpath(reason: impl std::fmt::Display) -> RpcError {
    let error = RpcError::protocol(Tag::InvalidValue, format!("the XPath cannot be used: {reason}"));
    error.with_info("bad-attribute", "select")
}

/// The top nodes that hold what the expression selects. Prefixes are not resolved: names are local names.
pub(crate) fn select_by_xpath(data: &Element, expression: &str) -> Result<Element, RpcError> {
    let mut text = String::new();
    without_namespaces(data).write(&mut text);
    let mut document = uppsala::parse(&text).map_err(invalid_xpath)?;
    document.prepare_xpath();
    let root = document.document_element().ok_or_else(|| invalid_xpath("empty"))?;
    let value = uppsala::XPathEvaluator::new().evaluate(&document, root, expression);
    let XPathValue::NodeSet(nodes) = value.map_err(invalid_xpath)? else {
        return Err(invalid_xpath("it selects no nodes"));
    };
    let selected = nodes.into_iter().filter_map(|node| {
        let path = path_from_root(&document, root, node);
        let (first, below) = path.split_first()?;
        let top = data.children.get(*first)?;
        Some(Arc::new(only_path(top, below)))
    });
    Ok(Element { children: selected.collect(), ..Element::new("", "data") })
}

/// Positions among the children on the way from the root to a node. They are the same in the tree with namespaces.
fn path_from_root(document: &Document, root: NodeId, node: NodeId) -> Vec<usize> {
    let mut path = Vec::new();
    let mut current = node;
    while let Some(parent) = document.parent(current).filter(|_| current != root) {
        let position = document.children(parent).iter().position(|child| *child == current);
        path.push(position.unwrap_or(0));
        current = parent;
    }
    path.reverse();
    path
}

fn without_namespaces(element: &Element) -> Element {
    Element {
        ns: "".into(),
        name: element.name.clone(),
        attributes: vec![],
        children: element.children.iter().map(|child| Arc::new(without_namespaces(child))).collect(),
        text: element.text.clone(),
    }
}

/// The node with nothing below it but the path to one descendant, and all that is below that.
fn only_path(node: &Element, path: &[usize]) -> Element {
    let next = path.split_first().and_then(|(first, rest)| Some((node.children.get(*first)?, rest)));
    let Some((child, rest)) = next else { return node.clone() };
    Element { children: vec![Arc::new(only_path(child, rest))], ..node.without_children() }
}
