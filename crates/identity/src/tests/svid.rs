use super::{authority_certificate, leaf_certificate};
use crate::bundle::Bundle;
use crate::id::{InvalidId, SpiffeId};
use crate::svid::{self, InvalidSvid};
use proptest::prelude::*;
use rcgen::{BasicConstraints, CertificateParams, IsCa, KeyUsagePurpose};

type ParamsChange = fn(&mut CertificateParams);

/// A certificate that `svid::parse` rejects with `reason`: one with these URIs, changed by `change`.
struct InvalidCase {
    uris: &'static [&'static str],
    change: ParamsChange,
    reason: InvalidSvid,
}

fn invalid_cases() -> [InvalidCase; 10] {
    let unchanged: ParamsChange = |_| {};
    let is_ca: ParamsChange = |params| params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let signs_revocation_lists: ParamsChange = |params| params.key_usages.push(KeyUsagePurpose::CrlSign);
    let key_agreement_only: ParamsChange = |params| params.key_usages = vec![KeyUsagePurpose::KeyAgreement];
    let server_only: ParamsChange = |params| _ = params.extended_key_usages.pop();
    let case = |uris, change, reason| InvalidCase { uris, change, reason };
    [
        case(&[], unchanged, InvalidSvid::UriCount(0)),
        case(&["spiffe://a/x", "spiffe://a/y"], unchanged, InvalidSvid::UriCount(2)),
        case(&["spiffe://a/x", "https://a/x"], unchanged, InvalidSvid::UriCount(2)),
        case(&["https://a/x"], unchanged, InvalidSvid::Id(InvalidId::Scheme)),
        case(&["spiffe://A/x"], unchanged, InvalidSvid::Id(InvalidId::TrustDomain)),
        case(&["spiffe://a"], unchanged, InvalidSvid::NoPath),
        case(&["spiffe://a/x"], is_ca, InvalidSvid::MaySign),
        case(&["spiffe://a/x"], signs_revocation_lists, InvalidSvid::MaySign),
        case(&["spiffe://a/x"], key_agreement_only, InvalidSvid::NoDigitalSignature),
        case(&["spiffe://a/x"], server_only, InvalidSvid::ExtendedKeyUsage),
    ]
}

#[test]
fn a_leaf_certificate_carries_one_identity_and_signs_no_certificates() {
    // Given
    let parse = |uris: &[&str], change: ParamsChange| svid::parse(&leaf_certificate(uris, change));
    let mut with_trailing_byte = leaf_certificate(&["spiffe://a/x"], |_| {});
    with_trailing_byte.push(0);

    // When
    let valid = parse(&["spiffe://a/proxy/f1"], |_| {}).unwrap();

    // Then
    assert_eq!((valid.id.name(), valid.id.trust_domain().as_str()), (Some("f1"), "a"));
    // Key usage and extended key usage are optional.
    assert!(parse(&["spiffe://a/x"], |params| params.key_usages.clear()).is_ok());
    assert!(parse(&["spiffe://a/x"], |params| params.extended_key_usages.clear()).is_ok());
    for InvalidCase { uris, change, reason } in invalid_cases() {
        assert_eq!(parse(uris, change), Err(reason), "{uris:?}");
    }
    assert_eq!(svid::parse(&with_trailing_byte), Err(InvalidSvid::Malformed));
    assert!(svid::is_authority(&authority_certificate()));
    assert!(!svid::is_authority(&leaf_certificate(&["spiffe://a/x"], |_| {})));
}

proptest! {
    /// Neither arbitrary bytes nor a certificate with one changed byte cause a panic, and each ID that is accepted is
    /// valid.
    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        position in 0usize..700,
        flipped_bits: u8,
    ) {
        let _ = (svid::parse(&bytes), Bundle::parse(&bytes), svid::is_authority(&bytes));
        let mut certificate = leaf_certificate(&["spiffe://a/x"], |_| {});
        let position = position % certificate.len();
        certificate[position] ^= flipped_bits;
        if let Ok(svid) = svid::parse(&certificate) {
            prop_assert_eq!(SpiffeId::parse(&svid.id.to_string()), Ok(svid.id));
        }
    }
}
