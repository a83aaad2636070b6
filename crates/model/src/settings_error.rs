//! Errors in settings that are valid by the schema.

/// A value that the schema allows but that cannot be used, such as an unknown zone, or a deadline below the latency
/// objective.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    /// Path of the element, such as `/fleet/cold/from`.
    pub path: String,
    /// Why the value cannot be used, such as `is missing`.
    pub reason: String,
}
