//! Certificates that carry a SPIFFE ID (X509-SVID standard, sections 2 to 5).
//!
//! TLS verifies that the certificate chains to an authority of the bundle; this module checks what the standard
//! requires of the leaf certificate in addition.

use crate::id::{InvalidId, SpiffeId};
use x509_parser::extensions::{GeneralName, X509Extension};
use x509_parser::prelude::{FromDer, X509Certificate, X509Error};

/// The identity in a leaf certificate, and the certificate's validity period in seconds since 1970.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Svid {
    /// The SPIFFE ID in the certificate's subject alternative name.
    pub id: SpiffeId,
    /// The certificate's first valid second.
    pub not_before: i64,
    /// The certificate's last valid second.
    pub not_after: i64,
    /// Bytes of the serial number, which tells apart two certificates of the same identity.
    pub serial: Vec<u8>,
}

/// Why a certificate is not a valid X509-SVID.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSvid {
    /// It cannot be parsed, or bytes follow it.
    #[error("the certificate cannot be parsed as X.509, or bytes follow it")]
    Malformed,
    /// Its subject alternative name has no URI, or several.
    #[error("the certificate has {0} URIs in its subject alternative name; one is required")]
    UriCount(usize),
    /// Its URI is not a SPIFFE ID.
    #[error("the certificate's URI is not a SPIFFE ID: {0}")]
    Id(#[from] InvalidId),
    /// Its SPIFFE ID has no path, and so identifies a trust domain.
    #[error("the certificate's SPIFFE ID names a trust domain, not a workload")]
    NoPath,
    /// It is a CA certificate, or its key usage allows it to sign certificates or revocation lists.
    #[error("the certificate may sign certificates or revocation lists, which a leaf must not")]
    MaySign,
    /// Its key usage does not allow digital signatures.
    #[error("the certificate's key usage does not allow digital signatures")]
    NoDigitalSignature,
    /// Its extended key usage does not allow both TLS server and TLS client.
    #[error("the certificate's extended key usage does not allow both TLS server and TLS client")]
    ExtendedKeyUsage,
    /// It has an unknown critical extension.
    #[error("the certificate has an unsupported critical extension")]
    UnknownCriticalExtension,
}

impl From<X509Error> for InvalidSvid {
    fn from(_: X509Error) -> Self {
        InvalidSvid::Malformed
    }
}

/// Parses a DER leaf certificate and checks it against the standard. Names other than the URI are ignored.
///
/// # Errors
/// Returns the first rule of the standard that the certificate violates.
pub fn parse(certificate: &[u8]) -> Result<Svid, InvalidSvid> {
    let (rest, certificate) = X509Certificate::from_der(certificate).map_err(|_| InvalidSvid::Malformed)?;
    if !rest.is_empty() {
        return Err(InvalidSvid::Malformed);
    }
    let id = parse_id(&certificate)?;
    check_key_usage(&certificate)?;
    check_extended_key_usage(&certificate)?;
    if certificate.extensions().iter().any(is_unsupported_critical) {
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

/// Section 2: exactly one URI, which is a SPIFFE ID with a path.
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

/// Section 4.1: a leaf is not a CA. Section 4.3: its key usage, if present, allows digital signatures, and does not
/// allow it to sign certificates or revocation lists.
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

/// Section 4.4: the extended key usage, if present, allows both TLS server and TLS client.
fn check_extended_key_usage(certificate: &X509Certificate) -> Result<(), InvalidSvid> {
    let Some(usage) = certificate.extended_key_usage()? else { return Ok(()) };
    let allows_server_and_client = usage.value.server_auth && usage.value.client_auth;
    if !allows_server_and_client && !usage.value.any {
        return Err(InvalidSvid::ExtendedKeyUsage);
    }
    Ok(())
}

fn is_unsupported_critical(extension: &X509Extension) -> bool {
    extension.critical && extension.parsed_extension().unsupported()
}

/// Whether a DER certificate is a CA certificate that may sign certificates; false if it cannot be parsed.
pub fn is_authority(certificate: &[u8]) -> bool {
    let Ok((_, certificate)) = X509Certificate::from_der(certificate) else { return false };
    let constraints = certificate.basic_constraints().ok().flatten();
    let usage = certificate.key_usage().ok().flatten();
    let is_ca = constraints.is_some_and(|constraints| constraints.value.ca);
    let may_sign = usage.is_none_or(|usage| usage.value.key_cert_sign());
    is_ca && may_sign
}
