use super::balancer::SelectionMethod;
use super::circuit_breaker::CircuitBreakerConfig;
use super::*;
use runloom_model::traffic_class::{ClassSettings, RetrySafety};
use runloom_netconf::tree::Element;
use statrs::distribution::{ChiSquared, ContinuousCDF};
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// Index of the only traffic class.
const CLASS: usize = 0;
/// Significance level of the chi-squared test: a correct selection fails it for one seed in a thousand.
const SIGNIFICANCE: f64 = 0.001;

fn class(retry_safety: RetrySafety) -> ClassSettings {
    ClassSettings {
        name: "q".into(),
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(1),
        retry_safety,
    }
}

/// A proxy whose table 1 has servers `s0`, `s1`, ... of these weights.
fn proxy(
    selection: SelectionMethod,
    retry_safety: RetrySafety,
    admission_limit: &str,
    weights: &[f64],
) -> Proxy {
    let circuit_breaker = CircuitBreakerConfig { failure_limit: 3, open_duration: Duration::from_secs(5) };
    let mut proxy = Proxy::new(ProxyConfig { selection, circuit_breaker }, vec![class(retry_safety)], &[], 7);
    proxy.replace_tables(tables(admission_limit, weights));
    proxy
}

fn tables(admission_limit: &str, weights: &[f64]) -> RouteTables {
    let entry = |(index, weight): (usize, &f64)| {
        let port = index + 1;
        format!(
            "<line><server>s{index}</server><address>127.0.0.1:{port}</address><weight>{weight}</weight></line>"
        )
    };
    let entries: String = weights.iter().enumerate().map(entry).collect();
    let text = format!(
        "<tables xmlns='urn:runloom:proxy'><table><id>1</id>{entries}{admission_limit}</table><bind><class>q</class>\
         <table>1</table></bind></tables>"
    );
    RouteTables::read(&Element::parse(&text).unwrap()).unwrap()
}

/// The `<level>` element of the class; `pace` is a `<pace>` element, or empty for no admission rate.
fn admission_limit(pace: &str, further_tries: &str) -> String {
    format!("<level><class>q</class>{pace}<further-tries>{further_tries}</further-tries></level>")
}

fn selected_server(action: &RequestAction) -> &str {
    match action {
        RequestAction::Send { server, .. } => server,
        other => panic!("{other:?}"),
    }
}

fn success() -> AttemptOutcome {
    AttemptOutcome::Success { load: vec![] }
}

#[test]
fn selection_follows_the_weights_within_sampling_error() {
    const REQUESTS: u32 = 100_000;
    let weights = [1.0, 2.0, 3.0, 0.5, 3.5];
    let total_weight: f64 = weights.iter().sum();
    for method in
        [SelectionMethod::WeightedRandom, SelectionMethod::LeastRequestsOfTwo, SelectionMethod::RoundRobin]
    {
        let mut proxy = proxy(method, RetrySafety::Safe, "", &weights);
        let mut counts = [0.0; 5];

        for id in 0..u64::from(REQUESTS) {
            let action = proxy.request_arrived(ZERO, id, CLASS);
            counts[selected_server(&action)[1..].parse::<usize>().unwrap()] += 1.0;
            proxy.attempt_ended(ZERO, id, success());
        }

        let deviation = |(count, weight): (&f64, f64)| {
            let expected = f64::from(REQUESTS) * weight / total_weight;
            (count - expected).powi(2) / expected
        };
        let chi_squared: f64 = counts.iter().zip(weights).map(deviation).sum();
        let p = 1.0 - ChiSquared::new(4.0).unwrap().cdf(chi_squared);
        assert!(p > SIGNIFICANCE, "{method:?}: chi-squared {chi_squared}, p {p}, {counts:?}");
    }
}

#[test]
fn the_less_loaded_of_two_drawn_endpoints_is_selected() {
    let mut proxy = proxy(SelectionMethod::LeastRequestsOfTwo, RetrySafety::Safe, "", &[1.0, 1.0]);

    let mut in_flight = [0u32; 2];
    for id in 0..1000 {
        let action = proxy.request_arrived(ZERO, id, CLASS);
        in_flight[usize::from(selected_server(&action) == "s1")] += 1;
    }

    // With a single draw per request, the counts would differ by about 30.
    assert!(in_flight[0].abs_diff(in_flight[1]) <= 12, "{in_flight:?}");
}

#[test]
fn three_consecutive_failures_open_the_circuit_breaker_and_a_success_resets_the_count() {
    let mut proxy =
        proxy(SelectionMethod::RoundRobin, RetrySafety::Unsafe, &admission_limit("", "none"), &[1.0, 1e-9]);
    let attempt = |proxy: &mut Proxy, id, outcome| {
        assert_eq!(selected_server(&proxy.request_arrived(ZERO, id, CLASS)), "s0");
        proxy.attempt_ended(ZERO, id, outcome);
    };

    attempt(&mut proxy, 1, AttemptOutcome::ClosedAfterWrite);
    attempt(&mut proxy, 2, AttemptOutcome::ClosedAfterWrite);
    attempt(&mut proxy, 3, success());
    for id in 4..7 {
        attempt(&mut proxy, id, AttemptOutcome::ClosedAfterWrite);
    }

    assert_eq!(selected_server(&proxy.request_arrived(Duration::from_secs(4), 7, CLASS)), "s1");
    assert_eq!(selected_server(&proxy.request_arrived(Duration::from_secs(6), 8, CLASS)), "s0");
}

#[test]
fn circuit_breakers_are_disregarded_if_all_are_open() {
    let mut proxy =
        proxy(SelectionMethod::WeightedRandom, RetrySafety::Unsafe, &admission_limit("", "none"), &[1.0]);
    for id in 0..4 {
        assert_eq!(selected_server(&proxy.request_arrived(ZERO, id, CLASS)), "s0");
        proxy.attempt_ended(ZERO, id, AttemptOutcome::ClosedAfterWrite);
    }
}

#[test]
fn a_retry_needs_proof_and_goes_to_another_server() {
    for (outcome, is_retried) in [
        (AttemptOutcome::ConnectionFailed, true),
        (AttemptOutcome::ClosedBeforeWrite, true),
        (AttemptOutcome::Rejected { load: vec![] }, true),
        (AttemptOutcome::ClosedAfterWrite, false),
        (AttemptOutcome::ErrorResponse { load: vec![] }, false),
        (AttemptOutcome::DeadlineExceeded, false),
    ] {
        let mut proxy = proxy(
            SelectionMethod::WeightedRandom,
            RetrySafety::Unsafe,
            &admission_limit("", "unrun"),
            &[1.0, 1.0],
        );
        let first = selected_server(&proxy.request_arrived(ZERO, 1, CLASS)).to_string();

        let next = proxy.attempt_ended(ZERO, 1, outcome.clone()).unwrap();

        match next {
            RequestAction::Send { server, .. } => assert!(is_retried && server != first, "{outcome:?}"),
            other => assert!(!is_retried, "{outcome:?} {other:?}"),
        }
        assert_eq!(proxy.counts().retries, u64::from(is_retried));
    }
}

#[test]
fn a_request_that_may_have_executed_is_retried_only_where_safe_and_allowed() {
    for (retry_safety, further_tries, retries) in [
        (RetrySafety::Safe, "two", 2),
        (RetrySafety::Safe, "one", 1),
        (RetrySafety::Safe, "unrun", 0),
        (RetrySafety::Keyed, "two", 0),
        (RetrySafety::Unsafe, "two", 0),
    ] {
        let limit = admission_limit("", further_tries);
        let mut proxy = proxy(SelectionMethod::WeightedRandom, retry_safety, &limit, &[1.0, 1.0, 1.0]);
        proxy.request_arrived(ZERO, 1, CLASS);

        while let Some(RequestAction::Send { .. }) =
            proxy.attempt_ended(ZERO, 1, AttemptOutcome::ClosedAfterWrite)
        {}

        assert_eq!(proxy.counts().retries, retries, "{retry_safety:?} {further_tries}");
    }
    // Proof that the first attempt did not execute allows no retry after a second one that may have executed.
    let limit = admission_limit("", "two");
    let mut proxy = proxy(SelectionMethod::WeightedRandom, RetrySafety::Unsafe, &limit, &[1.0, 1.0, 1.0]);
    proxy.request_arrived(ZERO, 1, CLASS);
    let after_proof = proxy.attempt_ended(ZERO, 1, AttemptOutcome::ConnectionFailed);
    assert!(matches!(after_proof, Some(RequestAction::Send { .. })));
    let after_write = proxy.attempt_ended(ZERO, 1, AttemptOutcome::ClosedAfterWrite);
    assert!(matches!(after_write, Some(RequestAction::Reject { .. })));
}

#[test]
fn the_retry_policy_of_a_request_in_flight_stays_when_tables_change() {
    let mut proxy =
        proxy(SelectionMethod::WeightedRandom, RetrySafety::Safe, &admission_limit("", "none"), &[1.0, 1.0]);
    proxy.request_arrived(ZERO, 1, CLASS);

    proxy.replace_tables(tables(&admission_limit("", "two"), &[1.0, 1.0]));

    let next = proxy.attempt_ended(ZERO, 1, AttemptOutcome::ClosedAfterWrite);
    assert!(matches!(next, Some(RequestAction::Reject { .. })));
}

#[test]
fn requests_are_admitted_at_the_admission_rate_and_others_get_a_retry_after() {
    let limit = admission_limit("<pace>10</pace>", "none");
    let mut proxy = proxy(SelectionMethod::WeightedRandom, RetrySafety::Safe, &limit, &[1.0]);

    let mut admitted = 0;
    for id in 0..1000u64 {
        let now = Duration::from_millis(10 * id);
        match proxy.request_arrived(now, id, CLASS) {
            RequestAction::Send { .. } => admitted += 1,
            RequestAction::Reject { reason: RejectionReason::AdmissionRate, retry_after: Some(after) } => {
                assert!(after <= Duration::from_millis(101))
            }
            other => panic!("{other:?}"),
        }
        proxy.cancel_request(now, id);
    }

    assert!((95..=110).contains(&admitted), "{admitted}");
}

#[test]
fn a_request_without_an_endpoint_is_rejected_at_once() {
    let mut proxy = proxy(SelectionMethod::LeastRequestsOfTwo, RetrySafety::Safe, "", &[]);

    let action = proxy.request_arrived(ZERO, 1, CLASS);

    assert!(matches!(action, RequestAction::Reject { reason: RejectionReason::NoEndpoint, .. }));
    assert_eq!((proxy.requests_in_flight(), proxy.counts().no_endpoint), (0, 1));
}

#[test]
fn a_cancelled_request_ends_once_and_counts_as_failed() {
    let one_second = Duration::from_secs(1);
    let mut proxy = proxy(SelectionMethod::WeightedRandom, RetrySafety::Safe, "", &[1.0, 1.0]);
    proxy.request_arrived(ZERO, 1, CLASS);

    proxy.cancel_request(one_second, 1);

    assert_eq!(proxy.attempt_ended(one_second, 1, success()), None);
    let report = proxy.take_report(one_second);
    assert_eq!(
        (report.outcomes[0].attempts, report.outcomes[0].failures, report.arrivals[0].unanswered),
        (1, 1, 1)
    );
    assert!(proxy.take_report(one_second).outcomes.is_empty());
}

#[test]
fn one_unusable_entry_makes_the_tables_unusable() {
    for (entry, cause) in [
        ("<server>a</server><address>x</address><weight>1</weight>", "address"),
        ("<server>a</server><address>127.0.0.1:1</address><weight>0</weight>", "weight"),
        ("<server>a</server><address>127.0.0.1:1</address><weight>NaN</weight>", "weight"),
    ] {
        let text = format!("<tables><table><id>1</id><line>{entry}</line></table></tables>");
        let error = RouteTables::read(&Element::parse(&text).unwrap()).unwrap_err();
        assert!(error.to_string().contains(cause), "{error}");
    }
}
