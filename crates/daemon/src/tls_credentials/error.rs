//! Errors of credentials and of the identification of certificates.

use runloom_identity::svid;
use std::path::PathBuf;

/// Why certificates, keys or trust bundles cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read, or its content is not valid.
    #[error("{path}: {reason}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// Certificate and key do not belong together, or cannot be used for TLS 1.3.
    #[error("certificate and key cannot be used for TLS: {0}")]
    Unusable(String),
}

/// Why the holder of a certificate cannot be identified.
#[derive(Debug, thiserror::Error)]
pub enum HolderError {
    /// It has no DNS name besides those of roles.
    #[error("the certificate has no DNS name that identifies its holder")]
    NoName,
    /// It is not a valid X509-SVID.
    #[error(transparent)]
    Svid(#[from] svid::InvalidSvid),
}
