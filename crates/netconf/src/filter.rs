//! Subtree filters: RFC 6241, section 6.

use crate::tree::Element;
use std::sync::Arc;

/// What of `data` (a root whose children are the models' top elements) a `<filter>` selects.
pub fn select(data: &Element, filter: &Element) -> Element {
    let children = data.children.iter().filter_map(|top| {
        let mut found: Option<Element> = None;
        for wish in filter.children.iter().filter(|w| matches(w, top)) {
            if let Some(part) = pick(top, wish) {
                found = Some(found.map_or_else(|| part.clone(), |f| union(f, &part)));
            }
        }
        found.map(Arc::new)
    });
    Element { children: children.collect(), ..Element { children: vec![], ..data.clone() } }
}

/// Name, namespace (none in the filter: any) and the attributes that the filter names.
fn matches(wish: &Element, node: &Element) -> bool {
    wish.name == node.name
        && (wish.ns.is_empty() || wish.ns == node.ns)
        && wish.attributes.iter().all(|a| node.attribute(&a.ns, &a.name) == Some(a.value.as_str()))
}

fn pick(node: &Element, wish: &Element) -> Option<Element> {
    if wish.children.is_empty() {
        // A selection node takes all below; a content match node compares.
        return (wish.text.is_empty() || wish.text == node.text).then(|| node.clone());
    }
    let (content, others): (Vec<_>, Vec<_>) =
        wish.children.iter().partition(|w| w.children.is_empty() && !w.text.is_empty());
    let met = |w: &&Arc<Element>| node.children.iter().any(|c| matches(w, c) && c.text == w.text);
    if !content.iter().all(met) {
        return None;
    }
    if others.is_empty() {
        return Some(node.clone());
    }
    let children: Vec<Arc<Element>> = node
        .children
        .iter()
        .filter_map(|child| {
            if content.iter().any(|w| matches(w, child)) {
                return Some(child.clone());
            }
            let parts = others.iter().filter(|w| matches(w, child)).filter_map(|w| pick(child, w));
            parts.reduce(|a, b| union(a, &b)).map(Arc::new)
        })
        .collect();
    // A containment node without anything in it is not told.
    (!children.is_empty()).then(|| Element { children, ..Element { children: vec![], ..node.clone() } })
}

/// Two selections of one node, in one.
fn union(mut a: Element, b: &Element) -> Element {
    for child in &b.children {
        if !a.children.contains(child) {
            a.children.push(child.clone());
        }
    }
    a
}
