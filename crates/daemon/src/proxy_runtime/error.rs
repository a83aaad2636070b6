//! Why a proxy cannot start.

use crate::tls_credentials::TlsError;
use std::io;

/// Why a proxy cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ProxyStartError {
    /// The listener cannot be opened.
    #[error("the listener cannot be opened: {0}")]
    Listen(#[from] io::Error),
    /// Its certificate, key or trust anchors cannot be used.
    #[error(transparent)]
    Credentials(#[from] TlsError),
    /// The schema of its datastore cannot be derived.
    #[error("the datastore's schema cannot be derived: {0}")]
    Schema(String),
}
