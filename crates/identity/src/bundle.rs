//! Trust bundles, by the SPIFFE trust domain and bundle standard, section 4: a JWK set whose `x509-svid` keys carry the
//! authorities of one trust domain. A document is taken whole or not at all.

use crate::id::Domain;
use crate::svid::vouches;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A document larger than this is none: some hundreds of authorities.
pub const DOCUMENT_MOST: usize = 1 << 20;
/// Authorities of one domain: some in rotation, of several issuers.
const AUTHORITIES_MOST: usize = 64;

/// Why a document is no bundle.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotABundle {
    #[error("it is larger than {DOCUMENT_MOST} bytes")]
    TooLarge,
    #[error("it cannot be read: {0}")]
    Malformed(String),
    #[error("authority {0}: {1}")]
    Authority(usize, &'static str),
    /// One that vouches for nobody would end every stream: it is said so in so many words, or it is a mistake.
    #[error("it has no authority")]
    Empty,
    #[error("its sequence number {0} is lower than {1}, which is held")]
    Older(u64, u64),
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bundle {
    /// Certificates of the authorities, DER.
    pub authorities: Vec<Vec<u8>>,
    pub sequence: Option<u64>,
    /// How often it should be looked for.
    pub refresh: Option<Duration>,
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

impl Bundle {
    pub fn read(document: &[u8]) -> Result<Bundle, NotABundle> {
        if document.len() > DOCUMENT_MOST {
            return Err(NotABundle::TooLarge);
        }
        let read: Document =
            serde_json::from_slice(document).map_err(|e| NotABundle::Malformed(e.to_string()))?;
        let mut authorities = Vec::new();
        // 4.2.2: keys of other or no purpose are passed over.
        let keys = read.keys.iter().filter(|k| k.purpose.as_deref() == Some("x509-svid"));
        for (k, key) in keys.enumerate() {
            let [certificate] = key.x5c.as_deref().unwrap_or_default() else {
                return Err(NotABundle::Authority(k, "it has not one certificate"));
            };
            let certificate = STANDARD.decode(certificate);
            let certificate =
                certificate.map_err(|_| NotABundle::Authority(k, "its certificate is no base64"))?;
            if !vouches(&certificate) {
                return Err(NotABundle::Authority(k, "its certificate is no authority's"));
            }
            authorities.push(certificate);
        }
        match authorities.len() {
            0 => return Err(NotABundle::Empty),
            n if n > AUTHORITIES_MOST => return Err(NotABundle::Authority(n, "they are too many")),
            _ => {}
        }
        let refresh = read.spiffe_refresh_hint.map(Duration::from_secs);
        Ok(Bundle { authorities, sequence: read.spiffe_sequence, refresh })
    }
}

/// Bundles by trust domain: one's own, and those that were put beside it by hand.
#[derive(Debug, Clone, Default)]
pub struct Trust {
    bundles: BTreeMap<Domain, Bundle>,
}

impl Trust {
    /// Takes a domain's bundle in place of the one held. True: it is another.
    pub fn take(&mut self, domain: Domain, bundle: Bundle) -> Result<bool, NotABundle> {
        let held = self.bundles.get(&domain);
        // A copy that comes late must not bring back an authority that was struck.
        if let (Some(old), Some(new)) = (held.and_then(|h| h.sequence), bundle.sequence) {
            if new < old {
                return Err(NotABundle::Older(new, old));
            }
        }
        let changed = held != Some(&bundle);
        self.bundles.insert(domain, bundle);
        Ok(changed)
    }

    /// The authorities of one domain and no other: none vouches for identities of another.
    pub fn authorities(&self, domain: &Domain) -> &[Vec<u8>] {
        self.bundles.get(domain).map(|b| b.authorities.as_slice()).unwrap_or_default()
    }

    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.bundles.keys()
    }
}
