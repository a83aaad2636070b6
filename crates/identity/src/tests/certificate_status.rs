use super::{authority_certificate, parse_id};
use crate::bundle::{Bundle, TrustStore};
use crate::certificate_status::{CertificateInUse, CertificateStatus};
use crate::id::TrustDomain;
use crate::svid::Svid;

fn trust_domain() -> TrustDomain {
    TrustDomain::parse("a").unwrap()
}

fn bundle(authority: &[u8]) -> Bundle {
    Bundle { authorities: vec![authority.to_vec()], ..Bundle::default() }
}

/// A certificate that is valid from second 1000 through second 1300.
fn certificate(authority: Vec<u8>) -> CertificateInUse {
    let id = parse_id("spiffe://a/proxy/f1");
    let svid = Svid { id, not_before: 1000, not_after: 1300, serial: vec![1] };
    CertificateInUse { svid, authority }
}

#[test]
fn a_certificate_is_valid_within_its_period_and_while_its_authority_is_trusted() {
    // Given
    let authority = authority_certificate();
    let mut trust = TrustStore::default();
    trust.insert(trust_domain(), bundle(&authority)).unwrap();
    let certificate = certificate(authority);
    let cases = [
        (900, CertificateStatus::NotYetValid),
        (969, CertificateStatus::NotYetValid),
        // The issuer's clock may be up to 30 s ahead.
        (970, CertificateStatus::Valid),
        (1200, CertificateStatus::Valid),
        (1201, CertificateStatus::RenewalOverdue),
        (1300, CertificateStatus::RenewalOverdue),
        (1301, CertificateStatus::Expired),
        (9999, CertificateStatus::Expired),
    ];
    for (now, expected) in cases {
        // When
        let status = certificate.status(now, &trust);

        // Then
        assert_eq!(status, expected, "{now}");
        let is_valid = matches!(expected, CertificateStatus::Valid | CertificateStatus::RenewalOverdue);
        assert_eq!(certificate.is_valid(now, &trust), is_valid);
    }
    assert_eq!((certificate.next_check(1000), certificate.next_check(1250)), (1200, 1301));

    // When
    trust.insert(trust_domain(), bundle(&[1])).unwrap();

    // Then
    assert_eq!(certificate.status(1100, &trust), CertificateStatus::AuthorityRemoved);
    assert!(!certificate.is_valid(1100, &trust));
}
