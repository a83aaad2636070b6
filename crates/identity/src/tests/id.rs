use super::parse_id;
use crate::id::{InvalidId, SpiffeId, MAX_ID_BYTES, MAX_TRUST_DOMAIN_BYTES};
use proptest::prelude::*;

#[test]
fn texts_similar_to_a_spiffe_id_are_rejected() {
    // Given
    let valid =
        ["spiffe://a", "spiffe://valle.example/proxy/f-1", "spiffe://a_b.c-9/X/.y/z..", "spiffe://a/..."];
    let longest = format!("spiffe://a/{}", "x".repeat(MAX_ID_BYTES - 11));
    let invalid = [
        ("", InvalidId::Scheme),
        ("SPIFFE://a/x", InvalidId::Scheme),
        ("spiffe:/a/x", InvalidId::Scheme),
        ("https://a/x", InvalidId::Scheme),
        (" spiffe://a/x", InvalidId::Scheme),
        ("spiffe://", InvalidId::TrustDomain),
        ("spiffe:///x", InvalidId::TrustDomain),
        ("spiffe://A/x", InvalidId::TrustDomain),
        ("spiffe://a:80/x", InvalidId::TrustDomain),
        ("spiffe://u@a/x", InvalidId::TrustDomain),
        ("spiffe://a%2e/x", InvalidId::TrustDomain),
        ("spiffe://ä/x", InvalidId::TrustDomain),
        ("spiffe://a?x", InvalidId::TrustDomain),
        ("spiffe://a/", InvalidId::PathSegment),
        ("spiffe://a/x/", InvalidId::PathSegment),
        ("spiffe://a//x", InvalidId::PathSegment),
        ("spiffe://a/./x", InvalidId::PathSegment),
        ("spiffe://a/x/..", InvalidId::PathSegment),
        ("spiffe://a/x%2Fy", InvalidId::PathCharacter),
        ("spiffe://a/x?y", InvalidId::PathCharacter),
        ("spiffe://a/x#y", InvalidId::PathCharacter),
        ("spiffe://a/x y", InvalidId::PathCharacter),
        ("spiffe://a/x\0", InvalidId::PathCharacter),
        ("spiffe://a/ｘ", InvalidId::PathCharacter),
    ];
    let long_trust_domain = format!("spiffe://{}/x", "a".repeat(MAX_TRUST_DOMAIN_BYTES + 1));

    // Then
    for text in valid {
        assert_eq!(parse_id(text).to_string(), text);
    }
    assert_eq!(parse_id(&longest).name().map(str::len), Some(MAX_ID_BYTES - 11));
    for (text, reason) in invalid {
        assert_eq!(SpiffeId::parse(text), Err(reason), "{text:?}");
    }
    assert_eq!(SpiffeId::parse(&format!("{longest}y")), Err(InvalidId::TooLong));
    assert_eq!(SpiffeId::parse(&long_trust_domain), Err(InvalidId::TrustDomain));
    assert_ne!(parse_id("spiffe://a/X"), parse_id("spiffe://a/x"));
}

/// The grammar of the standard, implemented independently of the parser: it scans the path from its end.
fn matches_grammar(text: &str) -> bool {
    let bytes = text.as_bytes();
    let Some(scheme_end) = text.find("://").filter(|end| &text[..*end] == "spiffe") else { return false };
    let rest = &bytes[scheme_end + 3..];
    let domain_end = rest.iter().position(|byte| *byte == b'/').unwrap_or(rest.len());
    let domain = &rest[..domain_end];
    let is_domain_byte = |byte: &u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-' | b'_');
    let mut is_valid = !domain.is_empty() && domain.iter().all(is_domain_byte);
    let (mut length, mut dots) = (0, 0);
    for byte in rest[domain_end..].iter().rev() {
        if *byte == b'/' {
            let is_dot_segment = length == dots && dots <= 2;
            is_valid &= length > 0 && !is_dot_segment;
            (length, dots) = (0, 0);
        } else {
            is_valid &= byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
            length += 1;
            dots += usize::from(*byte == b'.');
        }
    }
    is_valid
}

proptest! {
    #[test]
    fn exactly_the_texts_of_the_grammar_are_accepted(
        text in "(spiffe://|spiffe:/|Spiffe://)?[a-cA._%/0-]{0,24}",
    ) {
        let parsed = SpiffeId::parse(&text);
        prop_assert_eq!(parsed.is_ok(), matches_grammar(&text), "{}", text);
        if let Ok(id) = parsed {
            prop_assert_eq!(id.to_string(), text);
        }
    }
}
