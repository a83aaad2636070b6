use super::parse_id;
use crate::access::{AccessDenied, RequestedAccess};
use crate::denial_log::DenialLog;
use std::time::Duration;

#[test]
fn repeated_denials_are_all_counted_and_logged_once_per_interval() {
    // Given
    let mut log = DenialLog::default();
    let id = parse_id("spiffe://a/x");
    let mut record = |at_ms: u64, part: &str| {
        let access = RequestedAccess::Write { part };
        log.record(Duration::from_millis(at_ms), &id, access, AccessDenied::NotAllowed)
    };

    // When
    let first = record(0, "fleet").unwrap();
    let are_repeats_suppressed = (1..1000).all(|at_ms| record(at_ms, "fleet").is_none());
    let other_access = record(5, "roster");
    let next_interval = record(10_001, "fleet").unwrap();

    // Then
    assert_eq!((first.access.as_str(), first.reason), ("write fleet", "no rule allows it"));
    assert!(are_repeats_suppressed);
    assert!(other_access.is_some());
    assert_eq!(next_interval.suppressed, 999);

    // When: 10,000 different denials, more than the log remembers; all of them are counted.
    for number in 0..10_000 {
        record(20_000 + number, &format!("p{number}"));
    }

    // Then
    assert_eq!(log.denied, 11_002);
}
