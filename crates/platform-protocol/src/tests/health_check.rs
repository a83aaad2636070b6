//! Tests of health check responses, lost connections and pending checks.

use super::*;

#[test]
fn each_response_gives_its_result() {
    let fields = ["q".to_string(), "lat_ms".to_string()];
    let outcome_of = |text: &str| HealthCheckResponse::default().push(text.as_bytes(), &fields);
    let result_of = |text: &str| outcome_of(text).map(|outcome| outcome.result);
    let body = r#"{"queue":2,"latency_ms":61}"#;
    let complete = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());

    assert_eq!(
        outcome_of(&complete),
        Some(HealthCheckOutcome { result: HealthCheckResult::Success, load: vec![2.0, 61.0] })
    );
    assert_eq!(outcome_of(&complete[..complete.len() - 1]), None);
    assert_eq!(result_of("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), Some(HealthCheckResult::Success));
    assert_eq!(result_of("HTTP/1.1 503 No\r\n\r\n"), Some(HealthCheckResult::Rejected));
    assert_eq!(result_of("HTTP/1.1 500 No\r\n\r\n"), Some(HealthCheckResult::ErrorResponse));
    assert_eq!(result_of("220 mail ready\r\n"), Some(HealthCheckResult::ErrorResponse));
    assert_eq!(
        result_of(&format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(9000))),
        Some(HealthCheckResult::ErrorResponse)
    );
}

#[test]
fn a_health_check_fails_after_its_second_lost_connection() {
    let fields = ["q".to_string()];
    let mut check = HealthCheck::new(1, SocketAddr::from(([127, 0, 0, 1], 9)), START);

    assert_eq!(check.timeout_outcome().result, HealthCheckResult::ConnectionFailed);

    check.is_connected = true;

    assert_eq!(check.timeout_outcome().result, HealthCheckResult::Timeout);
    assert_eq!((check.handle_closed(), check.is_connected), (None, false));
    assert_eq!(
        check.handle_closed().map(|outcome| outcome.result),
        Some(HealthCheckResult::ConnectionFailed)
    );

    // Bytes received on the first connection are not part of the response on the second.
    let mut interrupted = HealthCheck::new(1, SocketAddr::from(([127, 0, 0, 1], 9)), START);

    assert_eq!(interrupted.handle_bytes(b"HTTP/1.1 2", &fields), None);
    assert_eq!((interrupted.handle_closed(), interrupted.is_connected), (None, false));
    assert_eq!(interrupted.handle_bytes(b"HTTP/1.1 200 OK\r\nContent-Le", &fields), None);
    assert_eq!(
        interrupted.handle_closed().map(|outcome| outcome.result),
        Some(HealthCheckResult::ConnectionFailed)
    );
}

fn tickets(actions: &[Action]) -> Vec<u64> {
    let ticket = |action: &Action| match action {
        Action::CheckHealth { ticket, .. } => Some(*ticket),
        _ => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// Steps the core every half a second; returns the tickets of all health checks that it requested.
fn tickets_within(platform: &mut PlatformPlanner, steps: std::ops::Range<u64>) -> Vec<u64> {
    steps.flat_map(|step| tickets(&platform.step_at(START + ms(step * 500)))).collect()
}

#[test]
fn a_server_has_at_most_one_pending_health_check() {
    let mut platform = platform();

    let first = tickets_within(&mut platform, 0..40);

    assert_eq!(first.len(), 3, "one check for each server in twenty seconds without an outcome");

    for ticket in first {
        platform.handle_health_check(ticket, HealthCheckResult::Success.into(), ms(3));
    }
    let again = tickets_within(&mut platform, 40..52);

    assert_eq!(again.len(), 3);
}
