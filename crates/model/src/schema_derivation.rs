//! Derives the schema that `<edit-config>` needs from an XSD.
//!
//! Supports only what this package's XSDs use: global elements and types, sequences, and keys that are declared on the
//! element that contains the list.

use crate::schema::local_name;
use runloom_netconf::schema::{NodeKind, Schema};
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;

const XSD_NAMESPACE: &str = "http://www.w3.org/2001/XMLSchema";

/// Names of the key leaves of each list, by the list's name.
type ListKeys = BTreeMap<String, Vec<String>>;

/// Derives the schema nodes of the named global elements; the error says why the XSD is malformed or what it lacks.
pub fn derive_schema(xsd: &str, top_elements: &[&str]) -> Result<Vec<Schema>, String> {
    let root = Element::parse(xsd).map_err(|e| e.reason)?;
    let derivation = Derivation {
        namespace: root.attribute("", "targetNamespace").unwrap_or_default(),
        types: named_children(&root, "complexType"),
    };
    let elements = named_children(&root, "element");
    let derive = |name: &&str| {
        let element = elements.get(name).ok_or_else(|| format!("the XSD has no global element {name}"))?;
        Ok(derivation.derive_node(element, &ListKeys::new()))
    };
    top_elements.iter().map(derive).collect()
}

/// XSD children of this kind (such as `element`), by their `name` attribute.
fn named_children<'a>(root: &'a Element, kind: &str) -> BTreeMap<&'a str, &'a Element> {
    let children = root.children.iter().filter(|child| child.is(XSD_NAMESPACE, kind));
    children.filter_map(|child| Some((child.attribute("", "name")?, &**child))).collect()
}

struct Derivation<'a> {
    namespace: &'a str,
    /// Global complex types by name.
    types: BTreeMap<&'a str, &'a Element>,
}

impl Derivation<'_> {
    /// Derives the node of an element; `keys` are those that its parent declares.
    fn derive_node(&self, element: &Element, keys: &ListKeys) -> Schema {
        let name = element.attribute("", "name").unwrap_or_default().to_string();
        let is_repeated = element.attribute("", "maxOccurs").is_some_and(|max| max != "1");
        let Some(complex_type) = self.complex_type(element) else {
            let kind = if is_repeated { NodeKind::LeafList } else { NodeKind::Leaf };
            return Schema { ns: self.namespace.into(), name, kind, children: vec![] };
        };
        let kind = match keys.get(&name).filter(|_| is_repeated) {
            Some(keys) => NodeKind::List(keys.clone()),
            None => NodeKind::Container,
        };
        let children = self.derive_children(complex_type, &declared_keys(element));
        Schema { ns: self.namespace.into(), name, kind, children }
    }

    /// The element's inline complex type, or the global one that it refers to; `None` for a leaf.
    fn complex_type<'e>(&'e self, element: &'e Element) -> Option<&'e Element> {
        let global = || self.types.get(local_name(element.attribute("", "type")?)).copied();
        element.child("complexType").or_else(global)
    }

    fn derive_children(&self, complex_type: &Element, keys: &ListKeys) -> Vec<Schema> {
        let Some(sequence) = complex_type.child("sequence") else { return vec![] };
        let named = sequence.named("element").filter(|child| child.attribute("", "name").is_some());
        named.map(|child| self.derive_node(child, keys)).collect()
    }
}

/// The keys that an element declares for the lists that it contains.
fn declared_keys(element: &Element) -> ListKeys {
    let mut keys = ListKeys::new();
    for key in element.named("key") {
        let selector = key.child("selector").and_then(|selector| selector.attribute("", "xpath"));
        let fields = key.named("field").filter_map(|field| field.attribute("", "xpath"));
        let fields = fields.map(|field| local_name(field).to_string()).collect();
        keys.insert(selector.map(local_name).unwrap_or_default().to_string(), fields);
    }
    keys
}
