//! Tests of the service estimate, with reports of one proxy.

use crate::estimate::{
    Estimate, IntervalEstimate, Outcomes, ReportedOutcomes, RequestCounts, Service, Shares,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests of a report without an admission rate, so that all are admitted.
const ALL_ADMITTED: RequestCounts =
    RequestCounts { arrived: 100.0, recorded_admitted: 100.0, changed_admitted: 100.0 };
const REPORT_COUNT: u64 = 60;

fn shares(of: &[(&str, f64)]) -> Shares {
    of.iter().map(|(server, share)| (server.to_string(), *share)).collect()
}

/// Outcomes from each server's name, attempts, and attempts in time.
fn outcomes(of: &[(&str, u64, u64)]) -> BTreeMap<String, Outcomes> {
    let entry = |(server, attempts, in_time): &(&str, u64, u64)| {
        (server.to_string(), Outcomes { attempts: *attempts, in_time: *in_time })
    };
    of.iter().map(entry).collect()
}

fn one_class() -> Estimate {
    Estimate::new(vec![("q".into(), 1.0)])
}

/// A report of the proxy at a second.
struct ReportAt<'a> {
    second: u64,
    class: usize,
    outcomes: &'a BTreeMap<String, Outcomes>,
    recorded_shares: &'a Shares,
    changed_shares: &'a Shares,
    requests: RequestCounts,
}

fn add_report(estimate: &mut Estimate, report: &ReportAt) {
    estimate.add_report(&ReportedOutcomes {
        at: Duration::from_secs(report.second),
        proxy: "f",
        class: report.class,
        outcomes: report.outcomes,
        recorded_shares: report.recorded_shares,
        changed_shares: report.changed_shares,
        requests: report.requests,
    });
}

/// Estimates the service of a minute with the same report each second.
fn service_of_a_minute(
    outcomes: &BTreeMap<String, Outcomes>,
    recorded_shares: &Shares,
    changed_shares: &Shares,
    requests: RequestCounts,
) -> Service {
    let mut estimate = one_class();
    for second in 0..REPORT_COUNT {
        let report = ReportAt { second, class: 0, outcomes, recorded_shares, changed_shares, requests };
        add_report(&mut estimate, &report);
    }
    estimate.service(1)
}

fn is_close(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 1e-9
}

fn contains_its_value(estimate: &IntervalEstimate) -> bool {
    estimate.lower <= estimate.value && estimate.value <= estimate.upper
}

#[test]
fn the_estimate_follows_the_shares_and_is_unknown_without_support() {
    // Given
    let outcomes = outcomes(&[("a", 50, 50), ("b", 50, 10)]);
    let recorded = shares(&[("a", 0.5), ("b", 0.5)]);
    let service_with = |changed: &Shares| service_of_a_minute(&outcomes, &recorded, changed, ALL_ADMITTED);

    // When
    let unchanged = service_with(&recorded);
    let less_of_failing = service_with(&shares(&[("a", 0.7), ("b", 0.3)]));
    let never_attempted = service_with(&shares(&[("c", 0.5), ("a", 0.5)]));
    let far_more_load = service_with(&shares(&[("a", 1.0)]));

    // Then
    assert!(is_close(unchanged.recorded, 0.6));
    let estimate = less_of_failing.changed.unwrap();
    assert!(is_close(estimate.value, 0.7 + 0.3 * 0.2) && contains_its_value(&estimate));
    assert!(never_attempted.changed.is_none() && never_attempted.support < 0.6, "{never_attempted:?}");
    assert_eq!((far_more_load.valid_seconds, far_more_load.changed), (0.0, None));
}

/// A server is late with requests of one class only, so that only the estimate of that class differs from the record.
#[test]
fn classes_are_estimated_separately_and_count_by_their_priority_weights() {
    // Given
    let late = outcomes(&[("a", 50, 50), ("b", 50, 0)]);
    let in_time = outcomes(&[("a", 50, 50), ("b", 50, 50)]);
    let recorded = shares(&[("a", 0.5), ("b", 0.5)]);
    let changed = shares(&[("a", 0.6), ("b", 0.4)]);
    let mut estimate = Estimate::new(vec![("q".into(), 1.0), ("r".into(), 3.0)]);
    for second in 0..REPORT_COUNT {
        for (class, outcomes) in [&late, &in_time].into_iter().enumerate() {
            let (recorded_shares, changed_shares) = (&recorded, &changed);
            let report =
                ReportAt { second, class, outcomes, recorded_shares, changed_shares, requests: ALL_ADMITTED };
            add_report(&mut estimate, &report);
        }
    }

    // When
    let service = estimate.service(1);

    // Then
    assert!(is_close(service.recorded, (0.5 + 3.0) / 4.0));
    assert!(is_close(service.changed.unwrap().value, (0.6 + 3.0) / 4.0), "{service:?}");
    assert!(is_close(service.classes[0].changed.unwrap(), 0.6));
    assert!(is_close(service.classes[1].changed.unwrap(), 1.0));
}

/// Six servers take forty requests a second and answer half in time; six others take ten and answer all in time. From
/// the former the estimate knows that the latter would be late at forty. Beyond all recorded loads it is unknown.
#[test]
fn the_effect_of_a_load_is_taken_from_servers_that_had_it() {
    // Given
    let name = |number: usize| format!("s{number:02}");
    let is_heavy = |number: usize| number < 6;
    let shares = |heavy: f64, light: f64| -> Shares {
        let share = |number: usize| if is_heavy(number) { heavy } else { light };
        (0..12).map(|number| (name(number), share(number))).collect()
    };
    let outcomes_of = |number: usize| match is_heavy(number) {
        true => Outcomes { attempts: 40, in_time: 20 },
        false => Outcomes { attempts: 10, in_time: 10 },
    };
    let outcomes = (0..12).map(|number| (name(number), outcomes_of(number))).collect();
    let recorded = shares(40.0 / 300.0, 10.0 / 300.0);

    // When
    let swapped = shares(10.0 / 300.0, 40.0 / 300.0);
    let swapped = service_of_a_minute(&outcomes, &recorded, &swapped, ALL_ADMITTED);
    let beyond_record = shares(0.0, 50.0 / 300.0);
    let beyond_record = service_of_a_minute(&outcomes, &recorded, &beyond_record, ALL_ADMITTED);

    // Then
    let estimate = swapped.changed.unwrap();
    assert!((estimate.value - 0.6).abs() < 0.02 && swapped.valid_seconds >= 60.0, "{swapped:?}");
    assert_eq!((beyond_record.changed, beyond_record.valid_seconds), (None, 0.0));
}

/// The other admission rate rejects half of the requests, which count as not answered in time.
#[test]
fn requests_that_an_admission_rate_rejects_are_not_service() {
    // Given
    let outcomes = outcomes(&[("a", 50, 50), ("b", 50, 30)]);
    let shares = shares(&[("a", 0.5), ("b", 0.5)]);
    let service_with = |changed_admitted: f64| {
        let requests = RequestCounts { arrived: 100.0, recorded_admitted: 100.0, changed_admitted };
        service_of_a_minute(&outcomes, &shares, &shares, requests)
    };

    // When
    let half = service_with(50.0);
    let twice = service_with(200.0);

    // Then
    assert!(is_close(half.changed.unwrap().value, 0.4));
    assert!(is_close(half.recorded, 0.8));
    // Twice the requests would be a load that no server had.
    assert_eq!(twice.changed, None);
}

/// A server hangs and is removed from the tables, and its attempts end at their deadline when no table has it any more.
/// If these attempts were left out, the estimate for unchanged settings would be too high.
#[test]
fn attempts_that_end_after_their_server_left_the_tables_count() {
    // Given
    let both_servers = shares(&[("a", 0.5), ("b", 0.5)]);
    let one_server = shares(&[("a", 1.0)]);
    let in_time = outcomes(&[("a", 50, 50)]);
    let late = outcomes(&[("a", 50, 50), ("b", 50, 0)]);
    let mut estimate = one_class();
    for second in 0..REPORT_COUNT {
        let (outcomes, shares) = match second % 6 {
            0..3 => (&in_time, &both_servers),
            3..5 => (&late, &one_server),
            _ => (&in_time, &one_server),
        };
        let (recorded_shares, changed_shares) = (shares, shares);
        let report =
            ReportAt { second, class: 0, outcomes, recorded_shares, changed_shares, requests: ALL_ADMITTED };
        add_report(&mut estimate, &report);
    }

    // When
    let service = estimate.service(1);

    // Then
    assert!((service.recorded - 0.75).abs() < 0.01, "{service:?}");
    assert!(is_close(service.changed.unwrap().value, service.recorded), "{service:?}");
}
