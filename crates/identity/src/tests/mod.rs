//! Helpers shared by the tests: SPIFFE IDs, and certificates generated with `rcgen`.

mod access;
mod bundle;
mod certificate_status;
mod denial_log;
mod id;
mod svid;

use crate::id::SpiffeId;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose, SanType,
};

fn parse_id(text: &str) -> SpiffeId {
    SpiffeId::parse(text).unwrap()
}

/// A self-signed leaf certificate with these URIs. This crate does not verify signatures; TLS does.
fn leaf_certificate(uris: &[&str], change: impl FnOnce(&mut CertificateParams)) -> Vec<u8> {
    let mut params = CertificateParams::new(vec!["planner.runloom".to_string()]).unwrap();
    let to_san = |uri: &&str| SanType::URI((*uri).try_into().unwrap());
    params.subject_alt_names.extend(uris.iter().map(to_san));
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    change(&mut params);
    params.self_signed(&KeyPair::generate().unwrap()).unwrap().der().to_vec()
}

fn authority_certificate() -> Vec<u8> {
    leaf_certificate(&["spiffe://a"], |params| {
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    })
}
