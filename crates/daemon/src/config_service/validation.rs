//! Validation against the schema, with errors in NETCONF's form.

use super::error::ConfigError;
use runloom_model::schema::{SchemaValidator, SchemaViolation};
use runloom_model::InvalidSettings;
use runloom_model::FLEET_XSD;
use runloom_netconf::error::{RpcError, Tag};
use runloom_netconf::tree::Element;

/// An `invalid-value` error (RFC 6241).
pub(super) fn invalid_value(invalid: InvalidSettings) -> Vec<RpcError> {
    vec![RpcError::application(Tag::InvalidValue, invalid.reason).at(invalid.path)]
}

/// The schema of `<fleet>` and `<roster>`.
pub(super) struct SchemaCheck(SchemaValidator);

impl SchemaCheck {
    pub(super) fn new() -> Result<SchemaCheck, ConfigError> {
        SchemaValidator::new(FLEET_XSD).map(SchemaCheck).map_err(ConfigError::Schema)
    }

    /// The first violation of the schema in a part of the data, if there is one.
    pub(super) fn first_violation(&self, part: &Element) -> Option<SchemaViolation> {
        self.0.validate(&part.to_text()).into_iter().next()
    }

    /// Checks a part of the data; returns an error for each violation.
    pub(super) fn check(&self, part: &Element) -> Result<(), Vec<RpcError>> {
        let violations = self.0.validate(&part.to_text());
        if violations.is_empty() {
            return Ok(());
        }
        Err(violations.into_iter().map(|violation| violation_error(part, violation)).collect())
    }
}

fn violation_error(part: &Element, violation: SchemaViolation) -> RpcError {
    let path = format!("/{}//{}", part.name, violation.element);
    RpcError::application(Tag::InvalidValue, violation.reason)
        .at(path)
        .with_info("bad-element", violation.element)
}
