//! IDs by the SPIFFE-ID standard, section 2: `spiffe://`, a trust domain, a path. There is one way to write each: what
//! only looks alike is refused, and no text is brought into form.

use std::fmt;

/// The longest ID (2.3), and the longest trust domain in it (2.1), bytes.
pub const ID_MOST: usize = 2048;
pub const DOMAIN_MOST: usize = 255;

/// Why a text is no ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotAnId {
    #[error("it does not begin with spiffe://")]
    Scheme,
    #[error("it is longer than {ID_MOST} bytes")]
    TooLong,
    #[error("its trust domain is empty, too long, or has other characters than a-z, 0-9, '.', '-' and '_'")]
    Domain,
    #[error("a segment of its path is empty, '.' or '..', or it ends with a slash")]
    Segment,
    #[error("its path has other characters than letters, digits, '.', '-' and '_'")]
    Path,
}

/// A trust domain's name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain(String);

impl Domain {
    pub fn read(text: &str) -> Result<Domain, NotAnId> {
        let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '-' | '_');
        if text.is_empty() || text.len() > DOMAIN_MOST || !text.chars().all(fits) {
            return Err(NotAnId::Domain);
        }
        Ok(Domain(text.to_string()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An identity. Its path is empty for that of a trust domain itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    domain: Domain,
    path: String,
}

impl Id {
    pub fn read(text: &str) -> Result<Id, NotAnId> {
        if text.len() > ID_MOST {
            return Err(NotAnId::TooLong);
        }
        let rest = text.strip_prefix("spiffe://").ok_or(NotAnId::Scheme)?;
        let (domain, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let domain = Domain::read(domain)?;
        for segment in path.split('/').skip(1) {
            if matches!(segment, "" | "." | "..") {
                return Err(NotAnId::Segment);
            }
            // No percent-encoding, no query, no fragment: none of their characters is among these.
            if !segment.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_')) {
                return Err(NotAnId::Path);
            }
        }
        Ok(Id { domain, path: path.to_string() })
    }

    pub fn domain(&self) -> &Domain {
        &self.domain
    }

    /// With its leading slash, or empty.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The last part of its path: what an instance goes by.
    pub fn name(&self) -> Option<&str> {
        self.path.rsplit_once('/').map(|(_, name)| name)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "spiffe://{}{}", self.domain, self.path)
    }
}
