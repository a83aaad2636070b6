//! Trust bundles (SPIFFE trust domain and bundle standard, section 4): a JWK set whose `x509-svid` keys carry the
//! certificate authorities of one trust domain.
//!
//! A document with a single invalid authority is rejected as a whole.

use crate::id::TrustDomain;
use crate::svid::is_authority;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum size of a document in bytes, enough for some hundreds of authorities.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// The maximum number of authorities of one trust domain, enough for several issuers with some keys in rotation each.
const MAX_AUTHORITIES: usize = 64;
/// Value of `use` on the keys that carry authorities.
const X509_SVID_USE: &str = "x509-svid";

/// Why a document is not a valid bundle, or cannot replace the bundle in use.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidBundle {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the bundle is larger than {MAX_DOCUMENT_BYTES} bytes")]
    TooLarge,
    /// The document is not a JWK set.
    #[error("the bundle is not a valid JWK set: {0}")]
    Malformed(String),
    /// An authority is invalid, or there are too many.
    #[error("authority {index}: {reason}")]
    Authority {
        /// Index among the keys with `use` `x509-svid`, from 0; the number of authorities if there are too many.
        index: usize,
        /// Why it is invalid.
        reason: &'static str,
    },
    /// The document has no authority. It would end every connection, and is therefore treated as a mistake.
    #[error("the bundle has no authority")]
    Empty,
    /// The bundle in use has a higher sequence number.
    #[error("the bundle's sequence number {sequence} is lower than {current}, that of the bundle in use")]
    Outdated {
        /// Sequence number of the rejected bundle.
        sequence: u64,
        /// Sequence number of the bundle in use.
        current: u64,
    },
}

impl InvalidBundle {
    fn authority(index: usize, reason: &'static str) -> InvalidBundle {
        InvalidBundle::Authority { index, reason }
    }
}

/// The certificate authorities of one trust domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bundle {
    /// CA certificates in DER.
    pub authorities: Vec<Vec<u8>>,
    /// Version of the bundle, which grows with each change; `None` disables the check for outdated bundles.
    pub sequence: Option<u64>,
    /// How often the issuer asks that the bundle be read again; `None` if it does not say.
    pub refresh_interval: Option<Duration>,
}

#[derive(Deserialize)]
struct Document {
    keys: Vec<Key>,
    spiffe_sequence: Option<u64>,
    spiffe_refresh_hint: Option<u64>,
}

#[derive(Deserialize)]
struct Key {
    #[serde(rename = "use")]
    purpose: Option<String>,
    x5c: Option<Vec<String>>,
}

impl Key {
    /// The DER certificate of the authority; `index` is for the error.
    fn authority(&self, index: usize) -> Result<Vec<u8>, InvalidBundle> {
        let [certificate] = self.x5c.as_deref().unwrap_or_default() else {
            return Err(InvalidBundle::authority(index, "x5c does not have exactly one certificate"));
        };
        let certificate = STANDARD.decode(certificate);
        let certificate = certificate
            .map_err(|_| InvalidBundle::authority(index, "the certificate is not valid base64"))?;
        if !is_authority(&certificate) {
            return Err(InvalidBundle::authority(index, "not a CA certificate"));
        }
        Ok(certificate)
    }
}

impl Bundle {
    /// Parses a document. Keys with another `use`, or none, are ignored (section 4.2.2).
    ///
    /// # Errors
    /// Returns the first fault of the document or of one of its authorities.
    pub fn parse(document: &[u8]) -> Result<Bundle, InvalidBundle> {
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(InvalidBundle::TooLarge);
        }
        let document: Document =
            serde_json::from_slice(document).map_err(|e| InvalidBundle::Malformed(e.to_string()))?;
        let keys = document.keys.iter().filter(|key| key.purpose.as_deref() == Some(X509_SVID_USE));
        let authorities =
            keys.enumerate().map(|(index, key)| key.authority(index)).collect::<Result<Vec<_>, _>>()?;
        if authorities.is_empty() {
            return Err(InvalidBundle::Empty);
        }
        if authorities.len() > MAX_AUTHORITIES {
            return Err(InvalidBundle::authority(authorities.len(), "the bundle has too many authorities"));
        }
        let refresh_interval = document.spiffe_refresh_hint.map(Duration::from_secs);
        Ok(Bundle { authorities, sequence: document.spiffe_sequence, refresh_interval })
    }
}

/// Bundles by trust domain: that of the process itself, and those of federated trust domains.
#[derive(Debug, Clone, Default)]
pub struct TrustStore {
    bundles: BTreeMap<TrustDomain, Bundle>,
}

impl TrustStore {
    /// Sets or replaces a trust domain's bundle. Returns whether it differs from the one before.
    ///
    /// # Errors
    /// Returns [`InvalidBundle::Outdated`] for a bundle that is older than the one in use, as it could restore an
    /// authority that was removed.
    pub fn insert(&mut self, trust_domain: TrustDomain, bundle: Bundle) -> Result<bool, InvalidBundle> {
        let current = self.bundles.get(&trust_domain);
        if let (Some(current), Some(sequence)) = (current.and_then(|c| c.sequence), bundle.sequence) {
            if sequence < current {
                return Err(InvalidBundle::Outdated { sequence, current });
            }
        }
        let has_changed = current != Some(&bundle);
        self.bundles.insert(trust_domain, bundle);
        Ok(has_changed)
    }

    /// The authorities of a trust domain, valid for its own identities only; empty if the domain is unknown.
    pub fn authorities(&self, trust_domain: &TrustDomain) -> &[Vec<u8>] {
        self.bundles.get(trust_domain).map(|bundle| bundle.authorities.as_slice()).unwrap_or_default()
    }
}
