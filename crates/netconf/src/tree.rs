//! Messages and data as trees of elements. Children are shared: a changed tree costs only the path to the change.

use crate::{BASE, EDIT_HISTORY, MONITORING, NOTIFICATION};
use std::borrow::Cow;
use std::sync::Arc;
use uppsala::{PullEvent, PullParser};

/// Levels of a message, more than any model here has.
pub const MAX_DEPTH: u32 = 32;
/// Elements of a message: more than the largest list of servers and proxies needs (600 x 12 leaves, twice).
pub const MAX_ELEMENTS: usize = 60_000;

/// A namespace.
pub type Namespace = Cow<'static, str>;

/// An attribute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attribute {
    /// Its namespace; empty for none.
    pub ns: Namespace,
    /// Its local name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// One element.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Element {
    /// Its namespace; empty for none.
    pub ns: Namespace,
    /// Its local name.
    pub name: String,
    /// Its attributes.
    pub attributes: Vec<Attribute>,
    /// Its child elements.
    pub children: Vec<Arc<Element>>,
    /// Its text without the space around it; empty where there are children.
    pub text: String,
}

/// Why a text cannot be read as a tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// What is wrong.
    pub reason: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in bytes, from 1.
    pub column: usize,
}

/// Namespaces that are frequent, and therefore not copied.
const FREQUENT_NAMESPACES: [&str; 7] = [
    BASE,
    NOTIFICATION,
    MONITORING,
    EDIT_HISTORY,
    "urn:runloom:fleet",
    "urn:runloom:proxy",
    "urn:runloom:state",
];

fn namespace(ns: &str) -> Namespace {
    match FREQUENT_NAMESPACES.iter().find(|frequent| **frequent == ns) {
        Some(frequent) => Cow::Borrowed(*frequent),
        None => Cow::Owned(ns.to_string()),
    }
}

impl Element {
    /// An element without content.
    pub fn new(ns: &str, name: &str) -> Self {
        Element { ns: namespace(ns), name: name.to_string(), ..Element::default() }
    }

    /// An element with a text.
    pub fn leaf(ns: &str, name: &str, text: impl ToString) -> Self {
        Element { text: text.to_string(), ..Element::new(ns, name) }
    }

    /// Adds a child.
    pub fn with(mut self, child: Element) -> Self {
        self.children.push(Arc::new(child));
        self
    }

    /// Adds a child of the same namespace with a text.
    pub fn with_leaf(self, name: &str, text: impl ToString) -> Self {
        let child = Element { ns: self.ns.clone(), ..Element::leaf("", name, text) };
        self.with(child)
    }

    /// Adds an attribute.
    pub fn with_attribute(mut self, ns: &str, name: &str, value: &str) -> Self {
        self.attributes.push(Attribute { ns: namespace(ns), name: name.into(), value: value.into() });
        self
    }

    /// The element with its attributes and text, but no children.
    pub(crate) fn without_children(&self) -> Element {
        Element {
            ns: self.ns.clone(),
            name: self.name.clone(),
            attributes: self.attributes.clone(),
            children: vec![],
            text: self.text.clone(),
        }
    }

    /// Whether it has this namespace and name.
    pub fn is(&self, ns: &str, name: &str) -> bool {
        self.name == name && self.ns == ns
    }

    /// The value of an attribute.
    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let found = self.attributes.iter().find(|attribute| attribute.name == name && attribute.ns == ns);
        found.map(|attribute| attribute.value.as_str())
    }

    /// The first child of that name, whatever its namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name).map(|child| &**child)
    }

    /// The children of that name, whatever their namespace.
    pub fn named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Arc<Element>> + 'a {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// The text of the first child of that name.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(|child| child.text.as_str())
    }

    /// Reads one document. Document types and entities other than the five of XML are rejected; depth and number of
    /// elements are limited.
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

    /// Appends it as XML, with namespaces declared where they change.
    pub fn write(&self, out: &mut String) {
        self.write_in("", out);
    }

    /// Appends it as XML inside an element of namespace `outer`.
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

    /// Returns it as XML.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    /// Returns it as XML, indented by two spaces, for people and files.
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
    /// Appends it; `index` makes the prefix of its namespace unique within the element.
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

/// Builds a tree out of a parser's events.
#[derive(Default)]
struct TreeBuilder {
    /// Elements whose end has not come yet, the outermost first.
    open: Vec<Element>,
    root: Option<Element>,
    element_count: usize,
}

impl TreeBuilder {
    fn start(&mut self, element: Element) -> Result<(), &'static str> {
        self.element_count += 1;
        if self.element_count > MAX_ELEMENTS {
            return Err("too many elements");
        }
        self.open.push(element);
        Ok(())
    }

    fn text(&mut self, content: &str) {
        if let Some(element) = self.open.last_mut() {
            element.text.push_str(content);
        }
    }

    fn end(&mut self) {
        let Some(mut element) = self.open.pop() else { return };
        trim_text(&mut element);
        match self.open.last_mut() {
            Some(parent) => parent.children.push(Arc::new(element)),
            None => self.root = Some(element),
        }
    }
}

/// Space between elements is layout, and no model here has text beside elements.
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

/// Appends a text or attribute value, escaped; characters that XML 1.0 does not allow become question marks.
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
