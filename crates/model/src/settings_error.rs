//! Settings that fit the schema and cannot be used all the same.

/// What a schema cannot express: a name that stands for nothing, or a limit below another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    /// Path of the element.
    pub path: String,
    /// Why its value cannot be used.
    pub reason: String,
}
