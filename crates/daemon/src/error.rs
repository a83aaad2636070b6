//! Why a planner could not start.

use crate::config_service::ConfigError;
use crate::persistence::OpenError;
use crate::tls_credentials::TlsError;
use std::io;

/// Why a planner could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket or a file could not be opened, or a thread could not be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Certificates, keys or bundles cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The state folder cannot be opened.
    #[error(transparent)]
    State(#[from] OpenError),
    /// The stored fleet is not well-formed XML.
    #[error("the stored fleet is malformed: {0}")]
    StoredFleet(String),
    /// The configuration to start from is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A histogram of the metrics could not be created.
    #[error("a histogram of the metrics cannot be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}
