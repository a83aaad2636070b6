//! Certificates that carry an identity, by the X509-SVID standard, sections 2 to 5.
//!
//! TLS checks that a certificate chains to a bundle; here is what the standard requires of the leaf beyond that.

use crate::id::{InvalidId, SpiffeId};
use x509_parser::extensions::{GeneralName, X509Extension};
use x509_parser::prelude::{FromDer, X509Certificate, X509Error};

/// An identity as a certificate carries it. Times are seconds since 1970.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Svid {
    /// The identity.
    pub id: SpiffeId,
    /// The certificate's first valid second.
    pub not_before: i64,
    /// The certificate's last valid second.
    pub not_after: i64,
    /// Bytes of the serial number, which differs between two certificates of one identity.
    pub serial: Vec<u8>,
}

/// Why a certificate carries no identity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSvid {
    /// It cannot be parsed.
    #[error("it is no certificate")]
    Malformed,
    /// It has no URI, or several.
    #[error("it has {0} URIs where one is wanted")]
    UriCount(usize),
    /// Its URI is no identity.
    #[error("its URI is no identity: {0}")]
    Id(#[from] InvalidId),
    /// Its identity is that of a trust domain.
    #[error("it names a trust domain and no workload")]
    NoPath,
    /// It is an authority, or may sign certificates or revocation lists.
    #[error("it may sign certificates")]
    MaySign,
    /// It may not be used for digital signatures.
    #[error("it may not make signatures")]
    NoDigitalSignature,
    /// It may be used for one end of TLS only.
    #[error("its extended usages leave out one end of TLS")]
    ExtendedKeyUsage,
    /// It has an unknown critical extension.
    #[error("it has a critical extension that is not known here")]
    UnknownCriticalExtension,
}

impl From<X509Error> for InvalidSvid {
    fn from(_: X509Error) -> Self {
        InvalidSvid::Malformed
    }
}

/// Parses the identity of a DER leaf certificate. Other names of the certificate do not count.
///
/// # Errors
/// Returns the first rule of the standard that the certificate breaks.
pub fn parse(certificate: &[u8]) -> Result<Svid, InvalidSvid> {
    let (rest, certificate) = X509Certificate::from_der(certificate).map_err(|_| InvalidSvid::Malformed)?;
    if !rest.is_empty() {
        return Err(InvalidSvid::Malformed);
    }
    let id = parse_id(&certificate)?;
    check_key_usage(&certificate)?;
    check_extended_key_usage(&certificate)?;
    if certificate.extensions().iter().any(is_unknown_critical) {
        return Err(InvalidSvid::UnknownCriticalExtension);
    }
    let validity = certificate.validity();
    Ok(Svid {
        id,
        not_before: validity.not_before.timestamp(),
        not_after: validity.not_after.timestamp(),
        serial: certificate.raw_serial().to_vec(),
    })
}

/// Section 2: exactly one URI, which is an identity with a path.
fn parse_id(certificate: &X509Certificate) -> Result<SpiffeId, InvalidSvid> {
    let names = certificate.subject_alternative_name()?;
    let names = names.iter().flat_map(|names| &names.value.general_names);
    let uri = |name: &GeneralName| match name {
        GeneralName::URI(uri) => Some(uri.to_string()),
        _ => None,
    };
    let uris: Vec<String> = names.filter_map(uri).collect();
    let [uri] = uris.as_slice() else { return Err(InvalidSvid::UriCount(uris.len())) };
    let id = SpiffeId::parse(uri)?;
    if id.path().is_empty() {
        return Err(InvalidSvid::NoPath);
    }
    Ok(id)
}

/// Section 4.1: a leaf is no authority. Section 4.3: it signs neither certificates nor revocation lists.
fn check_key_usage(certificate: &X509Certificate) -> Result<(), InvalidSvid> {
    if certificate.basic_constraints()?.is_some_and(|constraints| constraints.value.ca) {
        return Err(InvalidSvid::MaySign);
    }
    let Some(usage) = certificate.key_usage()? else { return Ok(()) };
    if usage.value.key_cert_sign() || usage.value.crl_sign() {
        return Err(InvalidSvid::MaySign);
    }
    if !usage.value.digital_signature() {
        return Err(InvalidSvid::NoDigitalSignature);
    }
    Ok(())
}

/// Section 4.4: extended usages, if there are any, include both ends of TLS.
fn check_extended_key_usage(certificate: &X509Certificate) -> Result<(), InvalidSvid> {
    let Some(usage) = certificate.extended_key_usage()? else { return Ok(()) };
    let has_both_ends = usage.value.server_auth && usage.value.client_auth;
    if !has_both_ends && !usage.value.any {
        return Err(InvalidSvid::ExtendedKeyUsage);
    }
    Ok(())
}

fn is_unknown_critical(extension: &X509Extension) -> bool {
    extension.critical && extension.parsed_extension().unsupported()
}

/// Whether a DER certificate is an authority that may sign certificates.
pub fn is_authority(certificate: &[u8]) -> bool {
    let Ok((_, certificate)) = X509Certificate::from_der(certificate) else { return false };
    let constraints = certificate.basic_constraints().ok().flatten();
    let usage = certificate.key_usage().ok().flatten();
    let is_authority = constraints.is_some_and(|constraints| constraints.value.ca);
    let may_sign = usage.is_none_or(|usage| usage.value.key_cert_sign());
    is_authority && may_sign
}
