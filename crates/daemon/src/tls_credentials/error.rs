//! Why certificates cannot be used, or have no holder.

use runloom_identity::svid;
use std::path::PathBuf;

/// Why certificates, keys or trust bundles cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read, or does not hold what it should.
    #[error("{path}: {reason}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// Certificate and key do not belong together, or do not suit TLS 1.3.
    #[error("certificate and key do not fit TLS: {0}")]
    Unusable(String),
}

/// Why a certificate has no holder.
#[derive(Debug, thiserror::Error)]
pub enum HolderError {
    /// It has no DNS name of a holder.
    #[error("it names nobody")]
    NoName,
    /// It is no X509-SVID.
    #[error(transparent)]
    Svid(#[from] svid::InvalidSvid),
}
