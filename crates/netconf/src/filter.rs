//! Subtree filters (RFC 6241, section 6).

use crate::tree::Element;
use std::sync::Arc;

/// Applies a `<filter>` to `data`, a root whose children are the models' top-level nodes. Returns the root with the
/// selected nodes.
pub fn select(data: &Element, filter: &Element) -> Element {
    let children = data.children.iter().filter_map(|top| select_matching(top, &filter.children));
    Element { children: children.collect(), ..data.without_children() }
}

/// Merges the selections of all filter nodes that match `node`; `None` if nothing is selected.
fn select_matching<'a>(
    node: &Element,
    filters: impl IntoIterator<Item = &'a Arc<Element>>,
) -> Option<Arc<Element>> {
    let matching = filters.into_iter().filter(|filter| matches(filter, node));
    let selections = matching.filter_map(|filter| select_node(node, filter));
    selections.reduce(|selected, other| union(selected, &other)).map(Arc::new)
}

/// Whether a filter node matches a node by name, namespace and attributes. A filter node without a namespace matches
/// any namespace; attributes that it does not name are ignored.
fn matches(filter: &Element, node: &Element) -> bool {
    let has = |attribute: &crate::tree::Attribute| {
        node.attribute(&attribute.ns, &attribute.name) == Some(attribute.value.as_str())
    };
    filter.name == node.name
        && (filter.ns.is_empty() || filter.ns == node.ns)
        && filter.attributes.iter().all(has)
}

/// Whether a filter node is a content match node (section 6.2.5): a leaf with text.
fn is_content_match(filter: &Element) -> bool {
    filter.children.is_empty() && !filter.text.is_empty()
}

/// The part of `node` that a matching filter node selects; `None` if nothing is selected.
fn select_node(node: &Element, filter: &Element) -> Option<Element> {
    if filter.children.is_empty() {
        // A selection node selects the whole subtree; a content match node requires the same text.
        let is_selected = filter.text.is_empty() || filter.text == node.text;
        return is_selected.then(|| node.clone());
    }
    let (content_matches, others): (Vec<&Arc<Element>>, Vec<&Arc<Element>>) =
        filter.children.iter().partition(|child| is_content_match(child));
    let is_satisfied = |content_match: &&Arc<Element>| {
        node.children.iter().any(|child| matches(content_match, child) && child.text == content_match.text)
    };
    if !content_matches.iter().all(is_satisfied) {
        return None;
    }
    if others.is_empty() {
        return Some(node.clone());
    }
    let select_child = |child: &Arc<Element>| {
        if content_matches.iter().any(|content_match| matches(content_match, child)) {
            return Some(child.clone());
        }
        select_matching(child, others.iter().copied())
    };
    let children: Vec<Arc<Element>> = node.children.iter().filter_map(select_child).collect();
    // A containment node is omitted if none of its children is selected.
    (!children.is_empty()).then(|| Element { children, ..node.without_children() })
}

/// Merges two selections of the same node.
fn union(mut selected: Element, other: &Element) -> Element {
    for child in &other.children {
        if !selected.children.contains(child) {
            selected.children.push(child.clone());
        }
    }
    selected
}
