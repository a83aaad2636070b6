//! Errors at the start of a proxy.

use crate::tls_credentials::TlsError;
use std::io;

/// Why a proxy cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ProxyStartError {
    /// The listener cannot be opened.
    #[error("the listener cannot be opened: {0}")]
    Listen(#[from] io::Error),
    /// The proxy's certificate, key or trust bundle cannot be used.
    #[error(transparent)]
    Credentials(#[from] TlsError),
    /// The schema of the proxy's datastore cannot be derived from the XSD.
    #[error("the datastore's schema cannot be derived: {0}")]
    Schema(String),
}
