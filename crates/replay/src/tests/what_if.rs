//! Tests of the comparison of recorded settings with others, and of its HTML page.

use super::{log_of_a_minute, FLEET};
use crate::what_if::{compare, WhatIfSettings};

#[test]
fn the_recorded_settings_on_both_sides_give_the_same_result() {
    // Given
    let log = log_of_a_minute();

    // When
    let same = compare(&log, &WhatIfSettings::default()).unwrap();

    // Then
    assert_eq!(same.recorded, same.changed);
    let estimate = same.service.changed.unwrap();
    assert!((estimate.value - same.service.recorded).abs() < 1e-9, "{same:?}");
    assert!(estimate.lower <= estimate.value && estimate.value <= estimate.upper, "{same:?}");
    assert!(same.service.support > 0.999);
    assert_eq!(
        compare(&log, &WhatIfSettings::default()).unwrap(),
        same,
        "a second comparison gives the same"
    );
}

/// Zone b gets half of its share and with it the late server s1 fewer requests, so that service would have been higher.
#[test]
fn other_settings_change_the_estimate_and_not_the_recorded_side() {
    // Given
    let log = log_of_a_minute();
    let same = compare(&log, &WhatIfSettings::default()).unwrap();
    let half_share = FLEET.replace("<name>b</name>", "<name>b</name><share>0.5</share>");
    let other_fleet = half_share.replace("9000</backlog>", "8000</backlog>");
    let fleet = Some(crate::parse_fleet(&other_fleet).unwrap());

    // When
    let comparison = compare(&log, &WhatIfSettings { fleet, ..WhatIfSettings::default() }).unwrap();

    // Then
    assert_eq!(comparison.recorded, same.recorded);
    assert!(comparison.recorded.violations.is_empty(), "{comparison:?}");
    let estimate = comparison.service.changed.unwrap();
    assert!(estimate.value > same.service.recorded + 0.02, "{comparison:?}");
    let page = crate::html_report::render("a day & another", &comparison).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("a day &amp; another") && page.contains("kept"));
}
