//! Messages and data as trees of elements. Children are shared, so that a changed tree costs its path only.

use crate::{BASE, LEDGER, MONITORING, NOTIFY};
use std::borrow::Cow;
use std::sync::Arc;
use uppsala::{PullEvent, PullParser};

/// Deeper than any model here; a message nested past it is refused.
pub const DEPTH_MOST: u32 = 32;
/// More elements than the largest list of servers and proxies needs (600 x 12 leaves, twice).
pub const ELEMENTS_MOST: usize = 60_000;

pub type Name = Cow<'static, str>;

/// An attribute: namespace (empty: none), name, value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attribute {
    pub ns: Name,
    pub name: String,
    pub value: String,
}

/// One element. Text counts only where there are no children; space around it is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Element {
    pub ns: Name,
    pub name: String,
    pub attributes: Vec<Attribute>,
    pub children: Vec<Arc<Element>>,
    pub text: String,
}

/// Why a text is no tree: what, and where (from 1).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    pub reason: String,
    pub line: usize,
    pub column: usize,
}

/// Namespaces that are met all the time are not copied.
fn known(ns: Option<&str>) -> Name {
    const KNOWN: [&str; 7] =
        [BASE, NOTIFY, MONITORING, LEDGER, "urn:runloom:fleet", "urn:runloom:proxy", "urn:runloom:state"];
    let ns = ns.unwrap_or_default();
    KNOWN.iter().find(|k| **k == ns).map_or_else(|| Cow::Owned(ns.to_string()), |k| Cow::Borrowed(*k))
}

impl Element {
    pub fn new(ns: &str, name: &str) -> Self {
        Element { ns: known(Some(ns)), name: name.to_string(), ..Element::default() }
    }

    pub fn leaf(ns: &str, name: &str, text: impl ToString) -> Self {
        Element { text: text.to_string(), ..Element::new(ns, name) }
    }

    /// With one more child.
    pub fn with(mut self, child: Element) -> Self {
        self.children.push(Arc::new(child));
        self
    }

    /// With one more child in the same namespace that holds a text.
    pub fn with_leaf(self, name: &str, text: impl ToString) -> Self {
        let child = Element { ns: self.ns.clone(), ..Element::leaf("", name, text) };
        self.with(child)
    }

    pub fn with_attribute(mut self, ns: &str, name: &str, value: &str) -> Self {
        self.attributes.push(Attribute { ns: known(Some(ns)), name: name.into(), value: value.into() });
        self
    }

    pub fn is(&self, ns: &str, name: &str) -> bool {
        self.name == name && self.ns == ns
    }

    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        self.attributes.iter().find(|a| a.name == name && a.ns == ns).map(|a| a.value.as_str())
    }

    /// The first child of that name, whatever its namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|c| c.name == name).map(|c| &**c)
    }

    pub fn named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Arc<Element>> + 'a {
        self.children.iter().filter(move |c| c.name == name)
    }

    /// The text of the first child of that name.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(|c| c.text.as_str())
    }

    /// Reads one document. No document type, no entities but the five of XML, bounded depth and count.
    pub fn parse(text: &str) -> Result<Element, Malformed> {
        let at = |offset: usize, reason: &str| {
            let before = &text.as_bytes()[..offset.min(text.len())];
            let line = before.iter().filter(|b| **b == b'\n').count() + 1;
            let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
            Malformed { reason: reason.to_string(), line, column }
        };
        let mut parser =
            PullParser::new(text).with_max_depth(DEPTH_MOST).with_forbid_dtd(true).with_forbid_entities(true);
        let (mut open, mut root, mut count): (Vec<Element>, Option<Element>, usize) = (vec![], None, 0);
        loop {
            match parser.next_event().map_err(|e| malformed(&e))? {
                None => break,
                Some(PullEvent::StartElement { name, attributes, byte_start, .. }) => {
                    count += 1;
                    if count > ELEMENTS_MOST {
                        return Err(at(byte_start, "too many elements"));
                    }
                    let attributes = attributes.into_iter().map(|a| Attribute {
                        ns: known(a.name.namespace_uri.as_deref()),
                        name: a.name.local_name.into_owned(),
                        value: a.value.into_owned(),
                    });
                    open.push(Element {
                        ns: known(name.namespace_uri.as_deref()),
                        name: name.local_name.into_owned(),
                        attributes: attributes.collect(),
                        ..Element::default()
                    });
                }
                Some(PullEvent::EndElement { .. }) => {
                    let Some(mut element) = open.pop() else { continue };
                    trim(&mut element);
                    match open.last_mut() {
                        Some(parent) => parent.children.push(Arc::new(element)),
                        None => root = Some(element),
                    }
                }
                Some(PullEvent::Text { content, .. } | PullEvent::CData { content, .. }) => {
                    if let Some(element) = open.last_mut() {
                        element.text.push_str(&content);
                    }
                }
                Some(_) => {}
            }
        }
        root.ok_or_else(|| at(text.len(), "no element"))
    }

    /// Writes it, namespaces declared where they change.
    pub fn write(&self, out: &mut String) {
        self.write_in("", out);
    }

    /// Writes it inside an element of namespace `outer`.
    pub fn write_in(&self, outer: &str, out: &mut String) {
        out.push('<');
        out.push_str(&self.name);
        if self.ns != outer {
            out.push_str(" xmlns=\"");
            escape(&self.ns, out);
            out.push('"');
        }
        for (k, a) in self.attributes.iter().enumerate() {
            if a.ns.is_empty() {
                out.push_str(&format!(" {}=\"", a.name));
            } else {
                out.push_str(&format!(" xmlns:a{k}=\"{}\" a{k}:{}=\"", a.ns, a.name));
            }
            escape(&a.value, out);
            out.push('"');
        }
        if self.children.is_empty() && self.text.is_empty() {
            out.push_str("/>");
            return;
        }
        out.push('>');
        self.children.iter().for_each(|c| c.write_in(&self.ns, out));
        if self.children.is_empty() {
            escape(&self.text, out);
        }
        out.push_str("</");
        out.push_str(&self.name);
        out.push('>');
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    /// Indented by two, for people and files.
    pub fn to_pretty(&self) -> String {
        let mut out = String::new();
        self.pretty("", 0, &mut out);
        out
    }

    fn pretty(&self, outer: &str, depth: usize, out: &mut String) {
        let indent = "  ".repeat(depth);
        out.push_str(&indent);
        if self.children.is_empty() {
            self.write_in(outer, out);
            out.push('\n');
            return;
        }
        let mut head = String::new();
        let bare = Element { children: vec![], text: String::new(), ..self.clone() };
        bare.write_in(outer, &mut head);
        out.push_str(head.trim_end_matches("/>"));
        out.push_str(">\n");
        self.children.iter().for_each(|c| c.pretty(&self.ns, depth + 1, out));
        out.push_str(&format!("{indent}</{}>\n", self.name));
    }
}

/// Space between elements is layout; text beside children is no data of any model here.
fn trim(element: &mut Element) {
    if !element.children.is_empty() {
        element.text.clear();
    } else if element.text.trim().len() < element.text.len() {
        element.text = element.text.trim().to_string();
    }
}

fn malformed(error: &uppsala::XmlError) -> Malformed {
    use uppsala::XmlError::{Namespace, Parse, WellFormedness};
    let (reason, line, column) = match error {
        WellFormedness(e) => (e.message.clone(), e.line, e.column),
        Namespace(e) => (e.message.clone(), e.line, e.column),
        Parse(e) => (e.message.clone(), e.line, e.column),
        other => (other.to_string(), 0, 0),
    };
    Malformed { reason, line, column }
}

/// Text and attribute values; what XML 1.0 cannot hold at all becomes a question mark.
pub fn escape(text: &str, out: &mut String) {
    for c in text.chars() {
        match c {
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '&' => out.push_str("&amp;"),
            '"' => out.push_str("&quot;"),
            '\t' | '\n' => out.push(c),
            c if c < ' ' || c == '\u{fffe}' || c == '\u{ffff}' => out.push('?'),
            c => out.push(c),
        }
    }
}
