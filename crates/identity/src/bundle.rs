//! Trust bundles by the SPIFFE trust domain and bundle standard, section 4: a JWK set whose `x509-svid` keys carry the
//! authorities of one trust domain. A document is taken completely or not at all.

use crate::id::TrustDomain;
use crate::svid::is_authority;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest document in bytes; it has room for some hundreds of authorities.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Authorities of one trust domain: some in rotation, of several issuers.
const MAX_AUTHORITIES: usize = 64;
/// The `use` of keys that carry authorities.
const X509_SVID_USE: &str = "x509-svid";

/// Why a document is no bundle, or cannot replace the one in use.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidBundle {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("it is larger than {MAX_DOCUMENT_BYTES} bytes")]
    TooLarge,
    /// The document is no JWK set.
    #[error("it cannot be read: {0}")]
    Malformed(String),
    /// An authority is invalid.
    #[error("authority {index}: {reason}")]
    Authority {
        /// Its place among the document's authorities.
        index: usize,
        /// What is wrong.
        reason: &'static str,
    },
    /// There is no authority. Such a bundle would end every stream, so that it is taken for a mistake.
    #[error("it has no authority")]
    Empty,
    /// The bundle in use has a higher sequence number.
    #[error("its sequence number {sequence} is lower than {current}, which is held")]
    Outdated {
        /// Its sequence number.
        sequence: u64,
        /// The number of the bundle in use.
        current: u64,
    },
}

impl InvalidBundle {
    fn authority(index: usize, reason: &'static str) -> InvalidBundle {
        InvalidBundle::Authority { index, reason }
    }
}

/// The authorities of one trust domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bundle {
    /// DER certificates.
    pub authorities: Vec<Vec<u8>>,
    /// It grows with each change.
    pub sequence: Option<u64>,
    /// How often it should be read again.
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
    /// The DER certificate of an authority at a place among the document's.
    fn authority(&self, index: usize) -> Result<Vec<u8>, InvalidBundle> {
        let [certificate] = self.x5c.as_deref().unwrap_or_default() else {
            return Err(InvalidBundle::authority(index, "it has not one certificate"));
        };
        let certificate = STANDARD.decode(certificate);
        let certificate =
            certificate.map_err(|_| InvalidBundle::authority(index, "its certificate is no base64"))?;
        if !is_authority(&certificate) {
            return Err(InvalidBundle::authority(index, "its certificate is no authority's"));
        }
        Ok(certificate)
    }
}

impl Bundle {
    /// Parses a document. Keys of other or no use are ignored (section 4.2.2).
    ///
    /// # Errors
    /// Returns what is wrong with the document or one of its authorities.
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
            return Err(InvalidBundle::authority(authorities.len(), "they are too many"));
        }
        let refresh_interval = document.spiffe_refresh_hint.map(Duration::from_secs);
        Ok(Bundle { authorities, sequence: document.spiffe_sequence, refresh_interval })
    }
}

/// Bundles by trust domain: one's own, and those that were configured beside it.
#[derive(Debug, Clone, Default)]
pub struct TrustStore {
    bundles: BTreeMap<TrustDomain, Bundle>,
}

impl TrustStore {
    /// Replaces a trust domain's bundle, and returns whether it changed.
    ///
    /// # Errors
    /// Returns [`InvalidBundle::Outdated`] for a bundle that is older than the one in use: it could bring back an
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

    /// The authorities of one trust domain; they are valid for its identities only.
    pub fn authorities(&self, trust_domain: &TrustDomain) -> &[Vec<u8>] {
        self.bundles.get(trust_domain).map(|bundle| bundle.authorities.as_slice()).unwrap_or_default()
    }
}
