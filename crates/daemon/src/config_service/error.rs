//! Errors of a configuration to start from.

/// Why a planner cannot start from a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The schema that is part of the program cannot be read.
    #[error("the built-in schema cannot be used: {0}")]
    Schema(String),
    /// The data has no fleet.
    #[error("the configuration has no <fleet>")]
    MissingFleet,
    /// The fleet violates the schema.
    #[error("{0}")]
    SchemaViolation(String),
    /// A value is not valid, or contradicts the rest of the configuration.
    #[error("{path}: {reason}")]
    InvalidValue {
        /// Path of the element.
        path: String,
        /// What is wrong with its value.
        reason: String,
    },
    /// The endpoint list violates the schema or has invalid values.
    #[error("the endpoint list is not valid: {0}")]
    EndpointList(String),
}
