use super::*;

const fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn limits() -> RuleLimits {
    RuleLimits {
        empty_table_grace_period: seconds(2),
        drain_grace_period: seconds(2),
        only_draining_binds: false,
        max_queued_entries: 100,
        max_messages: Some(2),
    }
}

fn notification(at: u64, state: NotifiedState) -> Notification {
    Notification { at: seconds(at), planner: 0, server: "s1".into(), state, is_by_operator: false }
}

fn arrival(at: u64, connected_since: u64) -> ServerArrival {
    let connection = PlannerConnection { since: seconds(connected_since), planner: 0 };
    ServerArrival { at: seconds(at), server: "s1".into(), proxy: 0, connection: Some(connection) }
}

/// A drain at 5 s, and a request at the end of the grace period.
fn observations_within_limits() -> Observations {
    Observations {
        notifications: vec![notification(5, NotifiedState::Draining)],
        arrivals: vec![arrival(7, 1)],
        ..Observations::default()
    }
}

#[test]
fn each_violation_is_found_and_reported_under_its_rule() {
    // Given
    let valid = observations_within_limits();
    assert_eq!(find_violations(&valid, &limits()), Vec::<String>::new());
    let overloaded = OverloadedServer { server: "s1".into(), failed_at: seconds(9), started_at: seconds(4) };
    let messages = [(0, vec![seconds(1), seconds(2), seconds(3)])];
    let cases = [
        ("rule 2", Observations { duplicated_effects: 1, ..valid.clone() }),
        ("rule 3", Observations { arrivals: vec![arrival(8, 1)], ..valid.clone() }),
        ("rule 4", Observations { overloaded_servers: vec![overloaded], ..valid.clone() }),
        ("rule 5", Observations { max_queued_entries: 101, ..valid.clone() }),
        ("rule 5", Observations { messages: messages.into(), ..valid.clone() }),
    ];
    for (rule, observations) in cases {
        // When
        let violations = find_violations(&observations, &limits());

        // Then
        assert!(violations.len() == 1 && violations[0].starts_with(rule), "{violations:?}");
    }

    // The grace period starts anew when the proxy connects, and a later notification replaces an earlier one.
    let removed = notification(5, NotifiedState::Removed);
    let ready_again = notification(6, NotifiedState::Ready);
    for (at, connected_since, notifications) in
        [(8, 7, vec![removed.clone()]), (9, 1, vec![removed, ready_again])]
    {
        let arrivals = vec![arrival(at, connected_since)];
        let observations = Observations { notifications, arrivals, ..Observations::default() };
        assert_eq!(find_violations(&observations, &limits()), Vec::<String>::new());
    }
}

#[test]
fn an_empty_table_is_a_violation_only_while_connected_and_a_warm_server_is_listed() {
    // Given
    let observation = |at, connected_since: Option<u64>| ProxyObservation {
        at: seconds(at),
        proxy: 3,
        connected_since: connected_since.map(seconds),
        classes_without_entries: [1].into(),
    };
    let proxies: Vec<ProxyObservation> = (0..6).map(|at| observation(at, Some(0))).collect();
    let always = TimeRange { from: seconds(0), to: seconds(9) };
    let listed = Observations { proxies, warm_server_listed: vec![always], ..Observations::default() };

    // When
    let violations = find_violations(&listed, &limits());

    // Then
    assert_eq!(violations.len(), 1);
    let disconnected = (0..6).map(|at| observation(at, None)).collect();
    let unlisted = Observations { warm_server_listed: vec![], ..listed.clone() };
    let disconnected = Observations { proxies: disconnected, ..listed.clone() };
    let short = Observations { proxies: listed.proxies[..3].to_vec(), ..listed };
    for observations in [unlisted, disconnected, short] {
        assert_eq!(find_violations(&observations, &limits()), Vec::<String>::new());
    }
}
