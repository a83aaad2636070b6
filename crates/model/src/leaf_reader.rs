//! Reads the leaves of an XML element as numbers, durations and flags.

use crate::settings_error::InvalidSettings;
use runloom_netconf::tree::Element;
use std::time::Duration;

/// Reads the leaves of `element`; errors name them below `path`.
pub(crate) struct LeafReader<'a> {
    pub element: &'a Element,
    pub path: &'a str,
}

impl LeafReader<'_> {
    /// The text of a leaf; empty if the leaf is missing.
    pub fn text(&self, name: &str) -> &str {
        self.element.text_of(name).unwrap_or_default()
    }

    /// Reads a finite number; a missing leaf is an error.
    pub fn number(&self, name: &str) -> Result<f64, InvalidSettings> {
        self.optional_number(name)?.ok_or_else(|| self.invalid_leaf(name, "is missing"))
    }

    /// Reads a finite number; `None` if the leaf is missing.
    pub fn optional_number(&self, name: &str) -> Result<Option<f64>, InvalidSettings> {
        let Some(text) = self.element.text_of(name) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(Some(value)),
            _ => Err(self.invalid_leaf(name, "is no number")),
        }
    }

    /// Reads a duration in milliseconds; a negative one is zero, and a missing leaf an error.
    pub fn duration(&self, name: &str) -> Result<Duration, InvalidSettings> {
        Ok(Duration::from_millis(self.number(name)?.max(0.0) as u64))
    }

    /// Whether a leaf is `true` or `1`; a missing one is false.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), "true" | "1")
    }

    /// The error for a leaf of this name.
    pub fn invalid_leaf(&self, name: &str, reason: &str) -> InvalidSettings {
        InvalidSettings { path: format!("{}/{name}", self.path), reason: reason.to_string() }
    }
}

/// A required child; the error says that it is missing.
pub(crate) fn required_child<'a>(parent: &'a Element, name: &str) -> Result<&'a Element, InvalidSettings> {
    parent.child(name).ok_or_else(|| InvalidSettings {
        path: format!("/{}/{name}", parent.name),
        reason: "is missing".into(),
    })
}
