//! Why a planner could not start.

use crate::config_service::ConfigError;
use crate::tls_credentials::TlsError;
use runloom_store::StoreError;
use std::io;
use std::path::PathBuf;

/// Why a planner could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, a file or a thread could not be opened.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Certificates, keys or bundles cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A file of the state folder cannot be opened or written.
    #[error("{folder}: {source}", folder = folder.display())]
    Store {
        /// The state folder.
        folder: PathBuf,
        /// What is wrong with the file.
        source: StoreError,
    },
    /// Stored edits cannot be read back.
    #[error("{folder}: the stored edits are corrupt: {reason}", folder = folder.display())]
    StoredEdits {
        /// The state folder.
        folder: PathBuf,
        /// What is wrong with them.
        reason: String,
    },
    /// The stored fleet is no XML.
    #[error("the stored fleet is malformed: {0}")]
    StoredFleet(String),
    /// The configuration to start from is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A histogram of the metrics could not be created.
    #[error("a histogram of the metrics cannot be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}
