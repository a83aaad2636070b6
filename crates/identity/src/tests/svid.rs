use super::{authority_certificate, leaf_certificate};
use crate::bundle::Bundle;
use crate::id::{InvalidId, SpiffeId};
use crate::svid::{self, InvalidSvid};
use proptest::prelude::*;
use rcgen::{BasicConstraints, CertificateParams, IsCa, KeyUsagePurpose};

type Change = fn(&mut CertificateParams);

/// A certificate that is rejected.
struct InvalidCase {
    uris: &'static [&'static str],
    change: Change,
    reason: InvalidSvid,
}

fn invalid_cases() -> [InvalidCase; 10] {
    let unchanged: Change = |_| {};
    let authority: Change = |params| params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let signs_lists: Change = |params| params.key_usages.push(KeyUsagePurpose::CrlSign);
    let agrees_on_keys: Change = |params| params.key_usages = vec![KeyUsagePurpose::KeyAgreement];
    let one_end_only: Change = |params| _ = params.extended_key_usages.pop();
    let case = |uris, change, reason| InvalidCase { uris, change, reason };
    [
        case(&[], unchanged, InvalidSvid::UriCount(0)),
        case(&["spiffe://a/x", "spiffe://a/y"], unchanged, InvalidSvid::UriCount(2)),
        case(&["spiffe://a/x", "https://a/x"], unchanged, InvalidSvid::UriCount(2)),
        case(&["https://a/x"], unchanged, InvalidSvid::Id(InvalidId::Scheme)),
        case(&["spiffe://A/x"], unchanged, InvalidSvid::Id(InvalidId::TrustDomain)),
        case(&["spiffe://a"], unchanged, InvalidSvid::NoPath),
        case(&["spiffe://a/x"], authority, InvalidSvid::MaySign),
        case(&["spiffe://a/x"], signs_lists, InvalidSvid::MaySign),
        case(&["spiffe://a/x"], agrees_on_keys, InvalidSvid::NoDigitalSignature),
        case(&["spiffe://a/x"], one_end_only, InvalidSvid::ExtendedKeyUsage),
    ]
}

#[test]
fn a_leaf_certificate_carries_one_identity_and_signs_no_certificates() {
    // Given
    let parse = |uris: &[&str], change: Change| svid::parse(&leaf_certificate(uris, change));
    let mut with_trailing_byte = leaf_certificate(&["spiffe://a/x"], |_| {});
    with_trailing_byte.push(0);

    // When
    let valid = parse(&["spiffe://a/proxy/f1"], |_| {}).unwrap();

    // Then
    assert_eq!((valid.id.name(), valid.id.trust_domain().as_str()), (Some("f1"), "a"));
    // Usages are optional.
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
    /// Neither arbitrary bytes nor a certificate with one changed byte cause a panic, and an identity that is read is one.
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
