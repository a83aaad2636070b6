//! Schemas at work: judging a text by an XSD, and deriving from it what `<edit-config>` must know.

use runloom_netconf::schema::{NodeKind, Schema};
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::fmt;
use uppsala::XsdValidator;

const XS: &str = "http://www.w3.org/2001/XMLSchema";

/// One fault of a document: where, in which element, why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchemaViolation {
    pub line: usize,
    pub column: usize,
    pub element: String,
    pub reason: String,
}

impl fmt::Display for SchemaViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: <{}>: {}", self.line, self.column, self.element, self.reason)
    }
}

/// A compiled schema.
pub struct SchemaValidator(XsdValidator);

impl SchemaValidator {
    /// Compiles an XSD that this package holds; the error says where it is broken.
    pub fn new(xsd: &str) -> Result<SchemaValidator, String> {
        let document = uppsala::parse(xsd).map_err(|e| e.to_string())?;
        XsdValidator::from_schema(&document).map(SchemaValidator).map_err(|e| e.to_string())
    }

    /// All faults of a text, in order; none if it is valid.
    pub fn faults(&self, text: &str) -> Vec<SchemaViolation> {
        // The tree first: its bounds hold for whatever is read, and it allows no document type.
        if let Err(e) = Element::parse(text) {
            return vec![SchemaViolation {
                line: e.line,
                column: e.column,
                element: "?".into(),
                reason: e.reason,
            }];
        }
        let document = match uppsala::parse(text) {
            Ok(document) => document,
            Err(e) => {
                return vec![SchemaViolation {
                    line: 0,
                    column: 0,
                    element: "?".into(),
                    reason: e.to_string(),
                }]
            }
        };
        let faults = self.0.validate(&document).into_iter().map(|e| {
            let (line, column) = (e.line.unwrap_or(0), e.column.unwrap_or(0));
            SchemaViolation { line, column, element: element_at(text, line, column), reason: e.message }
        });
        faults.collect()
    }
}

impl fmt::Debug for SchemaValidator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Judge")
    }
}

/// The name of the last tag that opens at or before a place.
fn element_at(text: &str, line: usize, column: usize) -> String {
    let before = text.lines().take(line.saturating_sub(1)).map(|l| l.len() + 1).sum::<usize>();
    let end = (before + column).min(text.len());
    let head = text.get(..end).unwrap_or(text);
    let mut places = head.rmatch_indices('<').map(|(k, _)| k + 1);
    let opens = |k: &usize| text[*k..].starts_with(|c: char| c.is_alphabetic());
    let name = places.find(opens).map(|k| {
        let name = text[k..].split(|c: char| c.is_whitespace() || c == '>' || c == '/').next();
        name.unwrap_or("?").rsplit(':').next().unwrap_or("?").to_string()
    });
    name.unwrap_or_else(|| "?".into())
}

/// Derives the models' top nodes from XSDs written the way of this package: global elements, sequences, keys
/// on the element that holds the list. Only the named top elements are taken.
pub fn derive(xsd: &str, tops: &[&str]) -> Result<Vec<Schema>, String> {
    let root = Element::parse(xsd).map_err(|e| e.reason)?;
    let ns = root.attribute("", "targetNamespace").unwrap_or_default().to_string();
    let types: BTreeMap<&str, &Element> = root
        .children
        .iter()
        .filter(|c| c.is(XS, "complexType"))
        .filter_map(|c| c.attribute("", "name").map(|name| (name, &**c)))
        .collect();
    let global = |top: &&str| {
        let found =
            root.children.iter().find(|c| c.is(XS, "element") && c.attribute("", "name") == Some(top));
        found.map(|e| node(e, &ns, &types, &BTreeMap::new())).ok_or_else(|| format!("no element {top}"))
    };
    tops.iter().map(global).collect()
}

fn local(name: &str) -> &str {
    name.rsplit(':').next().unwrap_or(name)
}

fn node(
    e: &Element,
    ns: &str,
    types: &BTreeMap<&str, &Element>,
    keys: &BTreeMap<String, Vec<String>>,
) -> Schema {
    let name = e.attribute("", "name").unwrap_or_default().to_string();
    let named = e.attribute("", "type").and_then(|t| types.get(local(t)).copied());
    let complex = e.child("complexType").or(named);
    let many = e.attribute("", "maxOccurs").is_some_and(|m| m != "1");
    let Some(complex) = complex else {
        let kind = if many { NodeKind::LeafList } else { NodeKind::Leaf };
        return Schema { ns: ns.into(), name, kind, children: vec![] };
    };
    // The keys of the lists below stand on this element.
    let mut below = BTreeMap::new();
    for key in e.named("key") {
        let list =
            key.child("selector").and_then(|s| s.attribute("", "xpath")).map(local).unwrap_or_default();
        let fields =
            key.named("field").filter_map(|f| f.attribute("", "xpath")).map(|f| local(f).to_string());
        below.insert(list.to_string(), fields.collect());
    }
    let children = complex.child("sequence").map(|s| {
        s.named("element")
            .filter(|c| c.attribute("", "name").is_some())
            .map(|c| node(c, ns, types, &below))
            .collect()
    });
    let kind = keys.get(&name).filter(|_| many).map_or(NodeKind::Container, |k| NodeKind::List(k.clone()));
    Schema { ns: ns.into(), name, kind, children: children.unwrap_or_default() }
}
