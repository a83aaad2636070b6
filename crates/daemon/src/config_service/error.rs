//! Why a configuration cannot be used.

/// Why a configuration cannot be started from.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The program's own schema cannot be read.
    #[error("the schema cannot be used: {0}")]
    Schema(String),
    /// The data has no fleet.
    #[error("there is no <fleet>")]
    MissingFleet,
    /// The fleet violates the schema.
    #[error("{0}")]
    SchemaViolation(String),
    /// A value does not fit the rest of the configuration.
    #[error("{path}: {reason}")]
    InvalidValue {
        /// The element.
        path: String,
        /// What is wrong with its value.
        reason: String,
    },
    /// The endpoint list is not valid.
    #[error("the endpoint list is not valid: {0}")]
    EndpointList(String),
}
