//! Certificates that carry an identity, by the X509-SVID standard, sections 2 to 5. What chains to a bundle is checked by
//! TLS; here is what the standard asks of the leaf beyond that.

use crate::id::{Id, NotAnId};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// An identity as a certificate carries it. Times are seconds since 1970.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Svid {
    pub id: Id,
    pub from: i64,
    pub until: i64,
    /// Bytes of the serial number, to tell two certificates of one identity apart.
    pub serial: Vec<u8>,
}

/// Why a certificate carries no identity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotASvid {
    #[error("it is no certificate")]
    Malformed,
    #[error("it has {0} URIs where one is wanted")]
    Uris(usize),
    #[error("its URI is no identity: {0}")]
    Id(#[from] NotAnId),
    #[error("it names a trust domain and no workload")]
    NoPath,
    #[error("it may sign certificates")]
    Signs,
    #[error("it may not make signatures")]
    NoSignature,
    #[error("its extended usages leave out one end of TLS")]
    Usage,
    #[error("it has a critical extension that is not known here")]
    Critical,
}

/// The identity on a leaf certificate. There is no other name to fall back on.
pub fn read(certificate: &[u8]) -> Result<Svid, NotASvid> {
    let (rest, parsed) = X509Certificate::from_der(certificate).map_err(|_| NotASvid::Malformed)?;
    if !rest.is_empty() {
        return Err(NotASvid::Malformed);
    }
    let malformed = |_| NotASvid::Malformed;
    let names = parsed.subject_alternative_name().map_err(malformed)?;
    let uris: Vec<&str> = names
        .iter()
        .flat_map(|names| &names.value.general_names)
        .filter_map(|name| if let GeneralName::URI(uri) = name { Some(*uri) } else { None })
        .collect();
    let [uri] = uris[..] else { return Err(NotASvid::Uris(uris.len())) };
    let id = Id::read(uri)?;
    if id.path().is_empty() {
        return Err(NotASvid::NoPath);
    }
    // 4.1: a leaf must not be an authority; 4.3: nor sign certificates or lists of revoked ones.
    if parsed.basic_constraints().map_err(malformed)?.is_some_and(|c| c.value.ca) {
        return Err(NotASvid::Signs);
    }
    if let Some(usage) = parsed.key_usage().map_err(malformed)? {
        if usage.value.key_cert_sign() || usage.value.crl_sign() {
            return Err(NotASvid::Signs);
        }
        if !usage.value.digital_signature() {
            return Err(NotASvid::NoSignature);
        }
    }
    // 4.4: with extended usages, both ends of TLS.
    if let Some(usage) = parsed.extended_key_usage().map_err(malformed)? {
        let both = usage.value.server_auth && usage.value.client_auth;
        if !both && !usage.value.any {
            return Err(NotASvid::Usage);
        }
    }
    let known = |e: &x509_parser::extensions::X509Extension| !e.parsed_extension().unsupported();
    if parsed.extensions().iter().any(|e| e.critical && !known(e)) {
        return Err(NotASvid::Critical);
    }
    let valid = parsed.validity();
    let (from, until) = (valid.not_before.timestamp(), valid.not_after.timestamp());
    Ok(Svid { id, from, until, serial: parsed.raw_serial().to_vec() })
}

/// Whether a certificate may vouch for identities of its domain: an authority that signs certificates, and whose own
/// identity, if it has one, is its trust domain's.
pub fn vouches(certificate: &[u8]) -> bool {
    let Ok((_, parsed)) = X509Certificate::from_der(certificate) else { return false };
    let is_authority = parsed.basic_constraints().ok().flatten().is_some_and(|c| c.value.ca);
    let may_sign = parsed.key_usage().ok().flatten().is_none_or(|u| u.value.key_cert_sign());
    is_authority && may_sign
}
