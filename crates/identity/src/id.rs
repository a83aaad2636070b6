//! SPIFFE IDs (SPIFFE-ID standard, section 2): `spiffe://`, a trust domain, a path.
//!
//! Each ID has exactly one spelling: any other text is rejected rather than normalised.

use std::fmt;

const SCHEME: &str = "spiffe://";
/// The maximum length of an ID in bytes (section 2.3).
pub const MAX_ID_BYTES: usize = 2048;
/// The maximum length of a trust domain name in bytes (section 2.1).
pub const MAX_TRUST_DOMAIN_BYTES: usize = 255;

/// Why a text is not a SPIFFE ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidId {
    /// The scheme is not `spiffe`.
    #[error("the SPIFFE ID does not begin with spiffe://")]
    Scheme,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("the SPIFFE ID is longer than {MAX_ID_BYTES} bytes")]
    TooLong,
    /// The trust domain is empty, too long, or contains a character that is not allowed.
    #[error("the trust domain is empty, too long, or has characters other than a-z, 0-9, '.', '-' and '_'")]
    TrustDomain,
    /// A path segment is empty, `.` or `..`; a trailing slash leaves an empty segment.
    #[error("a path segment is empty, '.' or '..', or the path ends with a slash")]
    PathSegment,
    /// The path contains a character that is not allowed.
    #[error("the path has characters other than ASCII letters, digits, '.', '-' and '_'")]
    PathCharacter,
}

/// A valid trust domain name: 1 to [`MAX_TRUST_DOMAIN_BYTES`] of `a-z`, `0-9`, `.`, `-` and `_`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrustDomain(String);

impl TrustDomain {
    /// Parses a name, without the `spiffe://` in front of it.
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

    /// The name as text, as it stands in a SPIFFE ID.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TrustDomain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A SPIFFE ID. Its path is empty if it identifies the trust domain itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpiffeId {
    trust_domain: TrustDomain,
    path: String,
}

impl SpiffeId {
    /// Parses the text of an ID, such as `spiffe://example.org/proxy/f1`.
    ///
    /// # Errors
    /// Returns the first rule of the standard that the text violates.
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

    /// The trust domain, whose authorities issue certificates for this ID.
    pub fn trust_domain(&self) -> &TrustDomain {
        &self.trust_domain
    }

    /// The path with its leading slash, or an empty string if there is none.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The last path segment, which names the instance, such as `f1` in `/proxy/f1`; `None` without a path.
    pub fn name(&self) -> Option<&str> {
        self.path.rsplit_once('/').map(|(_, name)| name)
    }
}

/// Checks a path segment. `%`, `?` and `#` are not allowed, so an ID has no percent-encoding, query or fragment.
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
