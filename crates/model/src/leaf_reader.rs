//! Reads the leaves of an element into numbers, durations and flags.

use crate::settings_error::InvalidSettings;
use runloom_netconf::tree::Element;
use std::time::Duration;

/// Reads the leaves of `element`, which stands at `path`.
pub(crate) struct LeafReader<'a> {
    pub element: &'a Element,
    pub path: &'a str,
}

impl LeafReader<'_> {
    /// The text of a leaf; empty without one.
    pub fn text(&self, name: &str) -> &str {
        self.element.text_of(name).unwrap_or_default()
    }

    /// A finite number.
    pub fn number(&self, name: &str) -> Result<f64, InvalidSettings> {
        self.optional_number(name)?.ok_or_else(|| self.invalid(name, "is missing"))
    }

    /// A finite number, if the leaf is there.
    pub fn optional_number(&self, name: &str) -> Result<Option<f64>, InvalidSettings> {
        let Some(text) = self.element.text_of(name) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(Some(value)),
            _ => Err(self.invalid(name, "is no number")),
        }
    }

    /// A duration in milliseconds.
    pub fn duration(&self, name: &str) -> Result<Duration, InvalidSettings> {
        Ok(Duration::from_millis(self.number(name)?.max(0.0) as u64))
    }

    /// Whether a leaf says `true` or `1`.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), "true" | "1")
    }

    /// The error for a leaf.
    pub fn invalid(&self, name: &str, reason: &str) -> InvalidSettings {
        InvalidSettings { path: format!("{}/{name}", self.path), reason: reason.to_string() }
    }
}

/// A child that must be there.
pub(crate) fn required_child<'a>(parent: &'a Element, name: &str) -> Result<&'a Element, InvalidSettings> {
    parent.child(name).ok_or_else(|| InvalidSettings {
        path: format!("/{}/{name}", parent.name),
        reason: "is missing".into(),
    })
}
