use crate::access::{decide, AccessDenied, Audit, Permission, Principal, RequestedAccess, Rule};
use crate::bundle::{Bundle, NotABundle, Trust, DOCUMENT_MOST};
use crate::id::{Domain, Id, NotAnId, DOMAIN_MOST, ID_MOST};
use crate::standing::{CertificateStatus, InUse};
use crate::svid::{self, NotASvid, Svid};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use proptest::prelude::*;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose, SanType,
};
use std::time::Duration;

fn id(text: &str) -> Id {
    Id::read(text).unwrap()
}

#[test]
fn what_only_looks_like_an_id_is_none() {
    for well in
        ["spiffe://a", "spiffe://valle.example/proxy/f-1", "spiffe://a_b.c-9/X/.y/z..", "spiffe://a/..."]
    {
        assert_eq!(id(well).to_string(), well);
    }
    let long = format!("spiffe://a/{}", "x".repeat(ID_MOST - 11));
    assert_eq!(id(&long).name().map(str::len), Some(ID_MOST - 11));
    let cases = [
        ("", NotAnId::Scheme),
        ("SPIFFE://a/x", NotAnId::Scheme),
        ("spiffe:/a/x", NotAnId::Scheme),
        ("https://a/x", NotAnId::Scheme),
        (" spiffe://a/x", NotAnId::Scheme),
        ("spiffe://", NotAnId::Domain),
        ("spiffe:///x", NotAnId::Domain),
        ("spiffe://A/x", NotAnId::Domain),
        ("spiffe://a:80/x", NotAnId::Domain),
        ("spiffe://u@a/x", NotAnId::Domain),
        ("spiffe://a%2e/x", NotAnId::Domain),
        ("spiffe://ä/x", NotAnId::Domain),
        ("spiffe://a?x", NotAnId::Domain),
        ("spiffe://a/", NotAnId::Segment),
        ("spiffe://a/x/", NotAnId::Segment),
        ("spiffe://a//x", NotAnId::Segment),
        ("spiffe://a/./x", NotAnId::Segment),
        ("spiffe://a/x/..", NotAnId::Segment),
        ("spiffe://a/x%2Fy", NotAnId::Path),
        ("spiffe://a/x?y", NotAnId::Path),
        ("spiffe://a/x#y", NotAnId::Path),
        ("spiffe://a/x y", NotAnId::Path),
        ("spiffe://a/x\0", NotAnId::Path),
        ("spiffe://a/ｘ", NotAnId::Path),
    ];
    for (text, why) in cases {
        assert_eq!(Id::read(text), Err(why), "{text:?}");
    }
    assert_eq!(Id::read(&format!("{long}y")), Err(NotAnId::TooLong));
    assert_eq!(Id::read(&format!("spiffe://{}/x", "a".repeat(DOMAIN_MOST + 1))), Err(NotAnId::Domain));
    assert_ne!(id("spiffe://a/X"), id("spiffe://a/x"));
}

proptest! {
    /// The standard's grammar, read from the end of the text back: the same texts are IDs.
    #[test]
    fn ids_are_what_the_grammar_has(text in "(spiffe://|spiffe:/|Spiffe://)?[a-cA._%/0-]{0,24}") {
        let grammar = |text: &str| {
            let bytes = text.as_bytes();
            let Some(from) = text.find("://").filter(|at| &text[..*at] == "spiffe") else { return false };
            let body = &bytes[from + 3..];
            let domain_end = body.iter().position(|b| *b == b'/').unwrap_or(body.len());
            let domain = &body[..domain_end];
            let of_domain = |b: &u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-' | b'_');
            let mut well = !domain.is_empty() && domain.iter().all(of_domain);
            let (mut length, mut dots) = (0, 0);
            for b in body[domain_end..].iter().rev() {
                match b {
                    b'/' => {
                        well &= length > 0 && !(length == dots && dots <= 2);
                        (length, dots) = (0, 0);
                    }
                    b => {
                        well &= b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
                        length += 1;
                        dots += usize::from(*b == b'.');
                    }
                }
            }
            well
        };
        let read = Id::read(&text);
        prop_assert_eq!(read.is_ok(), grammar(&text), "{}", text);
        if let Ok(id) = read {
            prop_assert_eq!(id.to_string(), text);
        }
    }

    #[test]
    fn any_bytes_are_borne(bytes in prop::collection::vec(any::<u8>(), 0..400), at in 0usize..700, flip: u8) {
        let _ = (svid::read(&bytes), Bundle::read(&bytes), svid::vouches(&bytes));
        // A certificate with one byte changed: never a panic, and never another identity than a text that is one.
        let mut leaf = leaf(&["spiffe://a/x"], |_| {});
        let at = at % leaf.len();
        leaf[at] ^= flip;
        if let Ok(read) = svid::read(&leaf) {
            prop_assert_eq!(Id::read(&read.id.to_string()), Ok(read.id));
        }
    }
}

/// A certificate of its own making; TLS looks at who signed it.
fn leaf(uris: &[&str], change: impl FnOnce(&mut CertificateParams)) -> Vec<u8> {
    let mut params = CertificateParams::new(vec!["planner.runloom".to_string()]).unwrap();
    let uri = |u: &&str| SanType::URI((*u).try_into().unwrap());
    params.subject_alt_names.extend(uris.iter().map(uri));
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    change(&mut params);
    params.self_signed(&KeyPair::generate().unwrap()).unwrap().der().to_vec()
}

fn authority() -> Vec<u8> {
    leaf(&["spiffe://a"], |p| {
        p.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        p.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    })
}

#[test]
fn a_leaf_carries_one_identity_and_nothing_that_an_authority_has() {
    let read = |uris: &[&str], change: fn(&mut CertificateParams)| svid::read(&leaf(uris, change));
    let well = read(&["spiffe://a/proxy/f1"], |_| {}).unwrap();
    assert_eq!((well.id.name(), well.id.domain().as_str()), (Some("f1"), "a"));
    // Usages may be left out altogether.
    assert!(read(&["spiffe://a/x"], |p| p.key_usages.clear()).is_ok());
    assert!(read(&["spiffe://a/x"], |p| p.extended_key_usages.clear()).is_ok());
    let ca: fn(&mut CertificateParams) = |p| p.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    type Case = (&'static [&'static str], fn(&mut CertificateParams), NotASvid);
    let cases: [Case; 10] = [
        (&[], |_| {}, NotASvid::Uris(0)),
        (&["spiffe://a/x", "spiffe://a/y"], |_| {}, NotASvid::Uris(2)),
        (&["spiffe://a/x", "https://a/x"], |_| {}, NotASvid::Uris(2)),
        (&["https://a/x"], |_| {}, NotASvid::Id(NotAnId::Scheme)),
        (&["spiffe://A/x"], |_| {}, NotASvid::Id(NotAnId::Domain)),
        (&["spiffe://a"], |_| {}, NotASvid::NoPath),
        (&["spiffe://a/x"], ca, NotASvid::Signs),
        (&["spiffe://a/x"], |p| p.key_usages.push(KeyUsagePurpose::CrlSign), NotASvid::Signs),
        (&["spiffe://a/x"], |p| p.key_usages = vec![KeyUsagePurpose::KeyAgreement], NotASvid::NoSignature),
        (&["spiffe://a/x"], |p| _ = p.extended_key_usages.pop(), NotASvid::Usage),
    ];
    for (uris, change, why) in cases {
        assert_eq!(read(uris, change), Err(why), "{uris:?}");
    }
    let mut trailing = leaf(&["spiffe://a/x"], |_| {});
    trailing.push(0);
    assert_eq!(svid::read(&trailing), Err(NotASvid::Malformed));
    assert!(svid::vouches(&authority()) && !svid::vouches(&leaf(&["spiffe://a/x"], |_| {})));
}

fn document(authorities: &[Vec<u8>], sequence: u64) -> String {
    let key = |a: &Vec<u8>| format!(r#"{{"kty":"EC","use":"x509-svid","x5c":["{}"]}}"#, STANDARD.encode(a));
    let keys: Vec<String> = authorities.iter().map(key).collect();
    let other = r#"{"kty":"EC","use":"jwt-svid","kid":"1"},{"kty":"RSA"}"#;
    format!(
        r#"{{"keys":[{}{}{other}],"spiffe_sequence":{sequence},"spiffe_refresh_hint":300}}"#,
        keys.join(","),
        if keys.is_empty() { "" } else { "," }
    )
}

#[test]
fn a_bundle_is_taken_whole_and_never_an_older_one() {
    let (old, new) = (authority(), authority());
    let text = document(&[old.clone(), new.clone()], 7);
    let bundle = Bundle::read(text.as_bytes()).unwrap();
    assert_eq!((bundle.authorities.len(), bundle.refresh), (2, Some(Duration::from_secs(300))));
    for end in 0..text.len() {
        // A file that is copied half: none of its prefixes is taken.
        assert!(Bundle::read(&text.as_bytes()[..end]).is_err(), "{end}");
    }
    assert_eq!(Bundle::read(document(&[], 8).as_bytes()), Err(NotABundle::Empty));
    let wrong = document(&[old.clone(), leaf(&["spiffe://a/x"], |_| {})], 8);
    assert!(matches!(Bundle::read(wrong.as_bytes()), Err(NotABundle::Authority(1, _))));
    assert_eq!(Bundle::read(&vec![b' '; DOCUMENT_MOST + 1]), Err(NotABundle::TooLarge));
    let (own, other) = (Domain::read("a").unwrap(), Domain::read("b").unwrap());
    let mut trust = Trust::default();
    assert_eq!(trust.take(own.clone(), bundle.clone()), Ok(true));
    assert_eq!(trust.take(own.clone(), bundle), Ok(false));
    let struck = Bundle::read(document(std::slice::from_ref(&new), 8).as_bytes()).unwrap();
    assert_eq!(trust.take(own.clone(), struck), Ok(true));
    let late = Bundle::read(document(&[old], 7).as_bytes()).unwrap();
    assert_eq!(trust.take(own.clone(), late), Err(NotABundle::Older(7, 8)));
    assert_eq!((trust.authorities(&own), trust.authorities(&other).len()), (&[new][..], 0));
}

/// Sixteen identities and eight actions: what each may is told by its row, all else is refused with the reason that fits.
#[test]
fn each_may_do_what_its_rule_says_and_nothing_else() {
    let rule = |whom: &str, may| Rule { whom: Principal::read(whom).unwrap(), may };
    let parts = |parts: &[&str]| parts.iter().map(|p| p.to_string()).collect::<Vec<_>>();
    let rules = [
        rule("spiffe://a/planner/p1", Permission::Order),
        rule("spiffe://a/proxy/*", Permission::Join),
        rule("spiffe://a/staff/*", Permission::Read(parts(&["*"]))),
        rule("spiffe://a/staff/lead", Permission::Write(parts(&["fleet"]))),
        rule("spiffe://a/staff/lead", Permission::Kill),
        rule("spiffe://a/feed", Permission::Write(parts(&["roster"]))),
        rule("spiffe://b/proxy/guest", Permission::Join),
    ];
    let actions = [
        RequestedAccess::Order,
        RequestedAccess::Join { name: "f1" },
        RequestedAccess::Join { name: "guest" },
        RequestedAccess::Read { part: "fleet" },
        RequestedAccess::Read { part: "roster" },
        RequestedAccess::Write { part: "fleet" },
        RequestedAccess::Write { part: "roster" },
        RequestedAccess::Kill,
    ];
    let expected = [
        ("spiffe://a/planner/p1", "o......."),
        ("spiffe://a/planner/p2", "????????"),
        ("spiffe://a/planner", "????????"),
        ("spiffe://b/planner/p1", "????????"),
        ("spiffe://a/planner/p1/x", "????????"),
        ("spiffe://a/proxy/f1", ".on....."),
        ("spiffe://a/proxy/guest", ".no....."),
        ("spiffe://a/proxy/F1", ".nn....."),
        ("spiffe://a/proxy/x/f1", "????????"),
        ("spiffe://a/proxies/f1", "????????"),
        ("spiffe://b/proxy/guest", ".no....."),
        ("spiffe://b/proxy/f1", "????????"),
        ("spiffe://a/staff/lead", "...ooo.o"),
        ("spiffe://a/staff/new", "...oo..."),
        ("spiffe://a/feed", "....o.o."),
        ("spiffe://a/feed/x", "????????"),
    ];
    let mut cases = 0;
    for (who, row) in expected {
        for (action, told) in actions.iter().zip(row.chars()) {
            let wanted = match told {
                'o' => Ok(()),
                '?' => Err(AccessDenied::Unknown),
                'n' => Err(AccessDenied::OthersName),
                _ => Err(AccessDenied::NotAllowed),
            };
            assert_eq!(decide(&rules, &id(who), *action), wanted, "{who} {action:?}");
            cases += 1;
        }
    }
    assert_eq!(cases, 128);
    assert!(
        Principal::read("spiffe://a/*/x").is_err()
            && Principal::read("*").is_err()
            && Principal::read("spiffe://*").is_err()
    );
}

#[test]
fn a_flood_of_refusals_is_counted_and_told_once_in_a_while() {
    let (mut audit, who) = (Audit::default(), id("spiffe://a/x"));
    let mut note = |ms: u64, part: &str| {
        let action = RequestedAccess::Write { part };
        audit.note(Duration::from_millis(ms), &who, action, AccessDenied::NotAllowed)
    };
    let first = note(0, "fleet").unwrap();
    assert_eq!((first.wish.as_str(), first.reason), ("write fleet", "no rule allows it"));
    assert!((1..1000).all(|k| note(k, "fleet").is_none()));
    assert!(note(5, "roster").is_some(), "another wish");
    assert_eq!(note(10_001, "fleet").map(|e| e.more), Some(999));
    // Ten thousand wishes, each another: memory is bounded, and all are counted.
    for k in 0..10_000 {
        note(20_000 + k, &format!("p{k}"));
    }
    assert_eq!(audit.refused, 11_002);
}

#[test]
fn a_stream_holds_while_its_identity_does_and_its_authority_is_trusted() {
    let (authority, domain) = (authority(), Domain::read("a").unwrap());
    let mut trust = Trust::default();
    trust.take(domain.clone(), Bundle { authorities: vec![authority.clone()], ..Bundle::default() }).unwrap();
    let svid = Svid { id: id("spiffe://a/proxy/f1"), from: 1000, until: 1300, serial: vec![1] };
    let in_use = InUse { svid, authority };
    let cases = [
        (900, CertificateStatus::Early),
        (969, CertificateStatus::Early),
        // Its issuer's clock is a little ahead.
        (970, CertificateStatus::Valid),
        (1200, CertificateStatus::Valid),
        (1201, CertificateStatus::Late),
        (1300, CertificateStatus::Late),
        (1301, CertificateStatus::Expired),
        (9999, CertificateStatus::Expired),
    ];
    for (now, standing) in cases {
        assert_eq!(in_use.standing(now, &trust), standing, "{now}");
        let holds = matches!(standing, CertificateStatus::Valid | CertificateStatus::Late);
        assert_eq!(in_use.holds(now, &trust), holds);
    }
    assert_eq!((in_use.look_at(1000), in_use.look_at(1250)), (1200, 1301));
    trust.take(domain, Bundle { authorities: vec![vec![1]], ..Bundle::default() }).unwrap();
    assert_eq!(in_use.standing(1100, &trust), CertificateStatus::Struck);
    assert!(!in_use.holds(1100, &trust));
}
