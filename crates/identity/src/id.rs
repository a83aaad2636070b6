//! Identities by the SPIFFE-ID standard, section 2: `spiffe://`, a trust domain, a path.
//!
//! Each identity has one spelling: texts are rejected rather than normalised.

use std::fmt;

const SCHEME: &str = "spiffe://";
/// The longest identity in bytes (section 2.3).
pub const MAX_ID_BYTES: usize = 2048;
/// The longest trust domain in bytes (section 2.1).
pub const MAX_TRUST_DOMAIN_BYTES: usize = 255;

/// Why a text is no identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidId {
    /// It has another scheme.
    #[error("it does not begin with spiffe://")]
    Scheme,
    /// It is longer than [`MAX_ID_BYTES`].
    #[error("it is longer than {MAX_ID_BYTES} bytes")]
    TooLong,
    /// Its trust domain is invalid.
    #[error("its trust domain is empty, too long, or has other characters than a-z, 0-9, '.', '-' and '_'")]
    TrustDomain,
    /// A segment of its path is not allowed.
    #[error("a segment of its path is empty, '.' or '..', or it ends with a slash")]
    PathSegment,
    /// A character of its path is not allowed.
    #[error("its path has other characters than letters, digits, '.', '-' and '_'")]
    PathCharacter,
}

/// The name of a trust domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrustDomain(String);

impl TrustDomain {
    /// Parses a name.
    ///
    /// # Errors
    /// Returns [`InvalidId::TrustDomain`] for every invalid name.
    pub fn parse(text: &str) -> Result<TrustDomain, InvalidId> {
        let is_allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '-' | '_');
        if text.is_empty() || text.len() > MAX_TRUST_DOMAIN_BYTES || !text.chars().all(is_allowed) {
            return Err(InvalidId::TrustDomain);
        }
        Ok(TrustDomain(text.to_string()))
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TrustDomain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A SPIFFE identity. The path is empty for that of a trust domain itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpiffeId {
    trust_domain: TrustDomain,
    path: String,
}

impl SpiffeId {
    /// Parses an identity.
    ///
    /// # Errors
    /// Returns the first rule of the standard that the text breaks.
    pub fn parse(text: &str) -> Result<SpiffeId, InvalidId> {
        if text.len() > MAX_ID_BYTES {
            return Err(InvalidId::TooLong);
        }
        let rest = text.strip_prefix(SCHEME).ok_or(InvalidId::Scheme)?;
        let (trust_domain, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let trust_domain = TrustDomain::parse(trust_domain)?;
        path.split('/').skip(1).try_for_each(check_segment)?;
        Ok(SpiffeId { trust_domain, path: path.to_string() })
    }

    /// The trust domain.
    pub fn trust_domain(&self) -> &TrustDomain {
        &self.trust_domain
    }

    /// The path with its leading slash, or an empty text.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The last segment of the path, which is the name of an instance.
    pub fn name(&self) -> Option<&str> {
        self.path.rsplit_once('/').map(|(_, name)| name)
    }
}

/// Checks a path segment. There is no percent-encoding, query or fragment: their characters are not allowed.
fn check_segment(segment: &str) -> Result<(), InvalidId> {
    if matches!(segment, "" | "." | "..") {
        return Err(InvalidId::PathSegment);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    if !segment.chars().all(is_allowed) {
        return Err(InvalidId::PathCharacter);
    }
    Ok(())
}

impl fmt::Display for SpiffeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SCHEME}{}{}", self.trust_domain, self.path)
    }
}
