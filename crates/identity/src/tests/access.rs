use super::parse_id;
use crate::access::{check_access, AccessDenied, AccessRule, Permission, Principal, RequestedAccess};

fn rule(principal: &str, permission: Permission) -> AccessRule {
    AccessRule { principal: Principal::parse(principal).unwrap(), permission }
}

fn parts(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| part.to_string()).collect()
}

fn rules() -> [AccessRule; 7] {
    [
        rule("spiffe://a/planner/p1", Permission::Command),
        rule("spiffe://a/proxy/*", Permission::Connect),
        rule("spiffe://a/staff/*", Permission::Read(parts(&["*"]))),
        rule("spiffe://a/staff/lead", Permission::Write(parts(&["fleet"]))),
        rule("spiffe://a/staff/lead", Permission::KillSession),
        rule("spiffe://a/feed", Permission::Write(parts(&["roster"]))),
        rule("spiffe://b/proxy/guest", Permission::Connect),
    ]
}

/// Columns of [`EXPECTED`].
const ACCESSES: [RequestedAccess; 8] = [
    RequestedAccess::Command,
    RequestedAccess::Connect { name: "f1" },
    RequestedAccess::Connect { name: "guest" },
    RequestedAccess::Read { part: "fleet" },
    RequestedAccess::Read { part: "roster" },
    RequestedAccess::Write { part: "fleet" },
    RequestedAccess::Write { part: "roster" },
    RequestedAccess::KillSession,
];

/// Result of each access in [`ACCESSES`] by identity: `o` allowed, `.` not allowed, `n` name mismatch, `?` unknown
/// identity.
const EXPECTED: [(&str, &str); 16] = [
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

fn expected_result(symbol: char) -> Result<(), AccessDenied> {
    match symbol {
        'o' => Ok(()),
        '?' => Err(AccessDenied::UnknownIdentity),
        'n' => Err(AccessDenied::NameMismatch),
        _ => Err(AccessDenied::NotAllowed),
    }
}

#[test]
fn an_identity_may_do_what_its_rules_allow_and_nothing_else() {
    // Given
    let rules = rules();
    let mut case_count = 0;
    for (identity, row) in EXPECTED {
        for (access, symbol) in ACCESSES.iter().zip(row.chars()) {
            // When
            let result = check_access(&rules, &parse_id(identity), *access);

            // Then
            assert_eq!(result, expected_result(symbol), "{identity} {access:?}");
            case_count += 1;
        }
    }
    assert_eq!(case_count, 128);
    for invalid in ["spiffe://a/*/x", "*", "spiffe://*"] {
        assert!(Principal::parse(invalid).is_err(), "{invalid}");
    }
}
