//! XPath filters of `<get>` and `<get-config>` (RFC 6241, section 8.9).

use crate::error::{RpcError, Tag};
use crate::tree::Element;
use std::sync::Arc;
use uppsala::xpath::XPathValue;
use uppsala::{Document, NodeId};

fn invalid_xpath(reason: impl std::fmt::Display) -> RpcError {
    let error = RpcError::protocol(Tag::InvalidValue, format!("the XPath cannot be used: {reason}"));
    error.with_info("bad-attribute", "select")
}

/// Selects nodes by an XPath expression. Each selected node is returned with its ancestors and descendants. Namespace
/// prefixes are not resolved: the expression uses local names.
pub(crate) fn select_by_xpath(data: &Element, expression: &str) -> Result<Element, RpcError> {
    let mut text = String::new();
    strip_namespaces(data).write(&mut text);
    let mut document = uppsala::parse(&text).map_err(invalid_xpath)?;
    document.prepare_xpath();
    let root = document.document_element().ok_or_else(|| invalid_xpath("empty"))?;
    let value = uppsala::XPathEvaluator::new().evaluate(&document, root, expression);
    let XPathValue::NodeSet(nodes) = value.map_err(invalid_xpath)? else {
        return Err(invalid_xpath("it selects no nodes"));
    };
    let selected = nodes.into_iter().filter_map(|node| {
        let path = path_from_root(&document, root, node);
        let (first, rest) = path.split_first()?;
        let top = data.children.get(*first)?;
        Some(Arc::new(prune_to_path(top, rest)))
    });
    Ok(Element { children: selected.collect(), ..Element::new("", "data") })
}

/// The child index at each level on the path from the root to a node. The indices also apply to the tree with
/// namespaces.
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

fn strip_namespaces(element: &Element) -> Element {
    Element {
        ns: "".into(),
        name: element.name.clone(),
        attributes: vec![],
        children: element.children.iter().map(|child| Arc::new(strip_namespaces(child))).collect(),
        text: element.text.clone(),
    }
}

/// A copy of the node that keeps, below it, only the path to one descendant and that descendant's subtree.
fn prune_to_path(node: &Element, path: &[usize]) -> Element {
    let next = path.split_first().and_then(|(first, rest)| Some((node.children.get(*first)?, rest)));
    let Some((child, rest)) = next else { return node.clone() };
    Element { children: vec![Arc::new(prune_to_path(child, rest))], ..node.without_children() }
}
