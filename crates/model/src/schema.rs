//! Validates XML documents against an XSD.

use runloom_netconf::tree::Element;
use std::fmt;
use uppsala::XsdValidator;

/// Placeholder for the name of an unknown element.
const UNKNOWN_ELEMENT: &str = "?";

/// Where and why a document violates its schema.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchemaViolation {
    /// Line number from 1; 0 if unknown.
    pub line: usize,
    /// Column number from 1; 0 if unknown.
    pub column: usize,
    /// Local name of the element; `?` if unknown.
    pub element: String,
    /// What is wrong, as the parser or the validator says it.
    pub reason: String,
}

impl SchemaViolation {
    /// The violation for a document that is not well-formed XML.
    fn malformed(line: usize, column: usize, reason: String) -> SchemaViolation {
        SchemaViolation { line, column, element: UNKNOWN_ELEMENT.into(), reason }
    }
}

impl fmt::Display for SchemaViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: <{}>: {}", self.line, self.column, self.element, self.reason)
    }
}

/// A compiled XSD.
pub struct SchemaValidator(XsdValidator);

impl SchemaValidator {
    /// Compiles an XSD; the error says why it is invalid.
    pub fn new(xsd: &str) -> Result<SchemaValidator, String> {
        let document = uppsala::parse(xsd).map_err(|e| e.to_string())?;
        XsdValidator::from_schema(&document).map(SchemaValidator).map_err(|e| e.to_string())
    }

    /// All violations of the schema in document order; empty if the document is valid.
    pub fn validate(&self, text: &str) -> Vec<SchemaViolation> {
        // `Element::parse` goes first since it limits size and depth, and rejects document type declarations.
        if let Err(e) = Element::parse(text) {
            return vec![SchemaViolation::malformed(e.line, e.column, e.reason)];
        }
        let document = match uppsala::parse(text) {
            Ok(document) => document,
            Err(e) => return vec![SchemaViolation::malformed(0, 0, e.to_string())],
        };
        let violation = |error: uppsala::ValidationError| {
            let line = error.line.unwrap_or(0);
            let column = error.column.unwrap_or(0);
            SchemaViolation { line, column, element: element_at(text, line, column), reason: error.message }
        };
        self.0.validate(&document).into_iter().map(violation).collect()
    }
}

impl fmt::Debug for SchemaValidator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SchemaValidator")
    }
}

/// Local name of the last start tag at or before a position.
fn element_at(text: &str, line: usize, column: usize) -> String {
    let line_start: usize = text.lines().take(line.saturating_sub(1)).map(|line| line.len() + 1).sum();
    let end = (line_start + column).min(text.len());
    let before = text.get(..end).unwrap_or(text);
    let is_start_tag = |position: &usize| text[*position..].starts_with(|c: char| c.is_alphabetic());
    let mut positions = before.rmatch_indices('<').map(|(position, _)| position + 1);
    let name = positions.find(is_start_tag).map(|position| tag_name(&text[position..]));
    name.unwrap_or(UNKNOWN_ELEMENT).to_string()
}

/// The local name at the start of a tag.
fn tag_name(tag: &str) -> &str {
    let end = tag.find(|c: char| c.is_whitespace() || c == '>' || c == '/').unwrap_or(tag.len());
    local_name(&tag[..end])
}

/// A name without its prefix.
pub(crate) fn local_name(name: &str) -> &str {
    name.rsplit(':').next().unwrap_or(name)
}
