//! Messages and data as element trees. Children are shared, so that a change copies only the path from the root to it.

use crate::{BASE, EDIT_HISTORY, MONITORING, NOTIFICATION};
use std::borrow::Cow;
use std::sync::Arc;
use uppsala::{PullEvent, PullParser};

/// Maximum nesting depth of a document; all models in use are less deep.
pub const MAX_DEPTH: u32 = 32;
/// Maximum number of elements in a document: more than the largest lists need, 600 servers and 600 proxies with 12
/// leaves each.
pub const MAX_ELEMENTS: usize = 60_000;

/// A namespace URI; empty for none. Common ones are borrowed instead of allocated.
pub type Namespace = Cow<'static, str>;

/// An attribute of an element.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attribute {
    /// Its namespace; empty for none.
    pub ns: Namespace,
    /// Its local name.
    pub name: String,
    /// Its value, unescaped.
    pub value: String,
}

/// An XML element with its subtree.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Element {
    /// Its namespace; empty for none.
    pub ns: Namespace,
    /// Its local name.
    pub name: String,
    /// Its attributes, in order.
    pub attributes: Vec<Attribute>,
    /// Its child elements.
    pub children: Vec<Arc<Element>>,
    /// Its text without surrounding whitespace; empty if it has children.
    pub text: String,
}

/// Why a text cannot be parsed, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// A description of the error.
    pub reason: String,
    /// The line, counted from 1; 0 if it is unknown.
    pub line: usize,
    /// The column in bytes, counted from 1; 0 if it is unknown.
    pub column: usize,
}

/// Common namespaces, which elements borrow to avoid an allocation each.
const COMMON_NAMESPACES: [&str; 7] = [
    BASE,
    NOTIFICATION,
    MONITORING,
    EDIT_HISTORY,
    "urn:runloom:fleet",
    "urn:runloom:proxy",
    "urn:runloom:state",
];

fn namespace(ns: &str) -> Namespace {
    match COMMON_NAMESPACES.iter().find(|common| **common == ns) {
        Some(common) => Cow::Borrowed(*common),
        None => Cow::Owned(ns.to_string()),
    }
}

impl Element {
    /// An element without attributes, children and text.
    pub fn new(ns: &str, name: &str) -> Self {
        Element { ns: namespace(ns), name: name.to_string(), ..Element::default() }
    }

    /// An element with text and nothing else.
    pub fn leaf(ns: &str, name: &str, text: impl ToString) -> Self {
        Element { text: text.to_string(), ..Element::new(ns, name) }
    }

    /// Appends a child.
    pub fn with(mut self, child: Element) -> Self {
        self.children.push(Arc::new(child));
        self
    }

    /// Appends a child with text, in the namespace of this element.
    pub fn with_leaf(self, name: &str, text: impl ToString) -> Self {
        let child = Element { ns: self.ns.clone(), ..Element::leaf("", name, text) };
        self.with(child)
    }

    /// Appends an attribute; an empty `ns` means no namespace.
    pub fn with_attribute(mut self, ns: &str, name: &str, value: &str) -> Self {
        self.attributes.push(Attribute { ns: namespace(ns), name: name.into(), value: value.into() });
        self
    }

    /// A copy of the element with its attributes and text, but without children.
    pub(crate) fn without_children(&self) -> Element {
        Element {
            ns: self.ns.clone(),
            name: self.name.clone(),
            attributes: self.attributes.clone(),
            children: vec![],
            text: self.text.clone(),
        }
    }

    /// Whether the element has this namespace and local name.
    pub fn is(&self, ns: &str, name: &str) -> bool {
        self.name == name && self.ns == ns
    }

    /// The value of the attribute with this namespace and local name.
    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let found = self.attributes.iter().find(|attribute| attribute.name == name && attribute.ns == ns);
        found.map(|attribute| attribute.value.as_str())
    }

    /// The first child with this local name, in any namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name).map(|child| &**child)
    }

    /// All children with this local name, in any namespace.
    pub fn named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Arc<Element>> + 'a {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// The text of the first child with this local name, in any namespace.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(|child| child.text.as_str())
    }

    /// Parses a document. Document type declarations and entities other than the five predefined ones are rejected;
    /// depth and number of elements are limited by [`MAX_DEPTH`] and [`MAX_ELEMENTS`].
    pub fn parse(text: &str) -> Result<Element, ParseError> {
        let mut parser =
            PullParser::new(text).with_max_depth(MAX_DEPTH).with_forbid_dtd(true).with_forbid_entities(true);
        let mut builder = TreeBuilder::default();
        while let Some(event) = parser.next_event().map_err(|error| parse_error(&error))? {
            match event {
                PullEvent::StartElement { name, attributes, byte_start, .. } => {
                    let attributes = attributes.into_iter().map(|attribute| Attribute {
                        ns: namespace(attribute.name.namespace_uri.as_deref().unwrap_or_default()),
                        name: attribute.name.local_name.into_owned(),
                        value: attribute.value.into_owned(),
                    });
                    let element = Element {
                        ns: namespace(name.namespace_uri.as_deref().unwrap_or_default()),
                        name: name.local_name.into_owned(),
                        attributes: attributes.collect(),
                        ..Element::default()
                    };
                    builder.start(element).map_err(|reason| error_at(text, byte_start, reason))?;
                }
                PullEvent::EndElement { .. } => builder.end(),
                PullEvent::Text { content, .. } | PullEvent::CData { content, .. } => builder.text(&content),
                _ => {}
            }
        }
        builder.root.ok_or_else(|| error_at(text, text.len(), "no element"))
    }

    /// Appends the element to `out` as XML, with namespaces declared where they change.
    pub fn write(&self, out: &mut String) {
        self.write_in("", out);
    }

    /// Appends the element to `out` as XML, to be placed inside an element of namespace `outer`.
    pub fn write_in(&self, outer: &str, out: &mut String) {
        out.push('<');
        out.push_str(&self.name);
        if self.ns != outer {
            out.push_str(" xmlns=\"");
            escape(&self.ns, out);
            out.push('"');
        }
        for (index, attribute) in self.attributes.iter().enumerate() {
            attribute.write(index, out);
        }
        if self.children.is_empty() && self.text.is_empty() {
            out.push_str("/>");
            return;
        }
        out.push('>');
        for child in &self.children {
            child.write_in(&self.ns, out);
        }
        if self.children.is_empty() {
            escape(&self.text, out);
        }
        out.push_str("</");
        out.push_str(&self.name);
        out.push('>');
    }

    /// Returns the element as compact XML.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    /// Returns the element as XML indented by two spaces, for display and files.
    pub fn to_pretty(&self) -> String {
        let mut out = String::new();
        self.write_pretty("", 0, &mut out);
        out
    }

    fn write_pretty(&self, outer: &str, depth: usize, out: &mut String) {
        let indent = "  ".repeat(depth);
        out.push_str(&indent);
        if self.children.is_empty() {
            self.write_in(outer, out);
            out.push('\n');
            return;
        }
        let mut start_tag = String::new();
        let empty = Element { text: String::new(), ..self.without_children() };
        empty.write_in(outer, &mut start_tag);
        out.push_str(start_tag.trim_end_matches("/>"));
        out.push_str(">\n");
        for child in &self.children {
            child.write_pretty(&self.ns, depth + 1, out);
        }
        out.push_str(&format!("{indent}</{}>\n", self.name));
    }
}

impl Attribute {
    /// Appends the attribute to `out`; `index` makes its namespace prefix unique within the element.
    fn write(&self, index: usize, out: &mut String) {
        if self.ns.is_empty() {
            out.push_str(&format!(" {}=\"", self.name));
        } else {
            out.push_str(&format!(" xmlns:a{index}=\"{}\" a{index}:{}=\"", self.ns, self.name));
        }
        escape(&self.value, out);
        out.push('"');
    }
}

/// Builds an element tree from parser events.
#[derive(Default)]
struct TreeBuilder {
    /// Elements whose end tag has not been read yet, outermost first.
    open_elements: Vec<Element>,
    root: Option<Element>,
    element_count: usize,
}

impl TreeBuilder {
    fn start(&mut self, element: Element) -> Result<(), &'static str> {
        self.element_count += 1;
        if self.element_count > MAX_ELEMENTS {
            return Err("too many elements");
        }
        self.open_elements.push(element);
        Ok(())
    }

    fn text(&mut self, content: &str) {
        if let Some(element) = self.open_elements.last_mut() {
            element.text.push_str(content);
        }
    }

    fn end(&mut self) {
        let Some(mut element) = self.open_elements.pop() else { return };
        trim_text(&mut element);
        match self.open_elements.last_mut() {
            Some(parent) => parent.children.push(Arc::new(element)),
            None => self.root = Some(element),
        }
    }
}

/// Removes whitespace around text, and all text beside child elements: no model in use has mixed content, so that such
/// text is indentation.
fn trim_text(element: &mut Element) {
    if !element.children.is_empty() {
        element.text.clear();
    } else if element.text.trim().len() < element.text.len() {
        element.text = element.text.trim().to_string();
    }
}

fn error_at(text: &str, offset: usize, reason: &str) -> ParseError {
    let before = &text.as_bytes()[..offset.min(text.len())];
    ParseError {
        reason: reason.to_string(),
        line: before.iter().filter(|byte| **byte == b'\n').count() + 1,
        column: before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1,
    }
}

fn parse_error(error: &uppsala::XmlError) -> ParseError {
    use uppsala::XmlError::{Namespace, Parse, WellFormedness};
    let (reason, line, column) = match error {
        WellFormedness(error) => (error.message.clone(), error.line, error.column),
        Namespace(error) => (error.message.clone(), error.line, error.column),
        Parse(error) => (error.message.clone(), error.line, error.column),
        other => (other.to_string(), 0, 0),
    };
    ParseError { reason, line, column }
}

/// Appends text or an attribute value in escaped form. Characters that XML 1.0 does not allow are replaced by `?`.
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
