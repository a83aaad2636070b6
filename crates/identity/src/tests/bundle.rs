use super::{authority_certificate, leaf_certificate};
use crate::bundle::{Bundle, InvalidBundle, TrustStore, MAX_DOCUMENT_BYTES};
use crate::id::TrustDomain;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::time::Duration;

/// A bundle document with these authorities, and with two keys that are not X.509 authorities.
fn bundle_document(authorities: &[Vec<u8>], sequence: u64) -> String {
    let authority_jwk = |certificate: &Vec<u8>| {
        format!(r#"{{"kty":"EC","use":"x509-svid","x5c":["{}"]}}"#, STANDARD.encode(certificate))
    };
    let mut keys: Vec<String> = authorities.iter().map(authority_jwk).collect();
    keys.push(r#"{"kty":"EC","use":"jwt-svid","kid":"1"}"#.into());
    keys.push(r#"{"kty":"RSA"}"#.into());
    format!(r#"{{"keys":[{}],"spiffe_sequence":{sequence},"spiffe_refresh_hint":300}}"#, keys.join(","))
}

fn parse(authorities: &[Vec<u8>], sequence: u64) -> Result<Bundle, InvalidBundle> {
    Bundle::parse(bundle_document(authorities, sequence).as_bytes())
}

#[test]
fn a_partly_invalid_bundle_is_rejected_and_an_older_one_replaces_none() {
    // Given
    let (old, new) = (authority_certificate(), authority_certificate());
    let text = bundle_document(&[old.clone(), new.clone()], 7);

    // When
    let bundle = Bundle::parse(text.as_bytes()).unwrap();

    // Then
    assert_eq!(bundle.authorities.len(), 2);
    assert_eq!(bundle.refresh_interval, Some(Duration::from_secs(300)));
    for length in 0..text.len() {
        assert!(Bundle::parse(&text.as_bytes()[..length]).is_err(), "truncated to {length} bytes");
    }
    assert_eq!(parse(&[], 8), Err(InvalidBundle::Empty));
    let with_leaf = parse(&[old.clone(), leaf_certificate(&["spiffe://a/x"], |_| {})], 8);
    assert!(matches!(with_leaf, Err(InvalidBundle::Authority { index: 1, .. })));
    let too_large = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    assert_eq!(Bundle::parse(&too_large), Err(InvalidBundle::TooLarge));

    // When
    let (own, other) = (TrustDomain::parse("a").unwrap(), TrustDomain::parse("b").unwrap());
    let mut trust = TrustStore::default();
    let inserted = trust.insert(own.clone(), bundle.clone());
    let inserted_again = trust.insert(own.clone(), bundle);
    let without_old = trust.insert(own.clone(), parse(std::slice::from_ref(&new), 8).unwrap());
    let outdated = trust.insert(own.clone(), parse(&[old], 7).unwrap());

    // Then
    assert_eq!((inserted, inserted_again, without_old), (Ok(true), Ok(false), Ok(true)));
    assert_eq!(outdated, Err(InvalidBundle::Outdated { sequence: 7, current: 8 }));
    assert_eq!(trust.authorities(&own), [new]);
    assert!(trust.authorities(&other).is_empty());
}
