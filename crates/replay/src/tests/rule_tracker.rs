//! Tests of the rules that the tracker checks.

use super::{log_of_a_minute, EPOCH_MS, FLEET};
use crate::rule_tracker::RuleTracker;
use runloom_event_log::entry::{RecordedArrivals, RecordedOutcome, RecordedServer};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::table_update::{EntryEdit, TableEdit, UpdateMessage};
use std::time::Duration;

const DRAIN_TIME_US: u64 = 30_000_000;

fn tracker() -> RuleTracker {
    RuleTracker::new(crate::parse_fleet(FLEET).unwrap(), EPOCH_MS)
}

/// Gives the tracker an entry, with the recorded messages and acknowledgements.
fn track(tracker: &mut RuleTracker, entry: &Entry) {
    let now = Duration::from_micros(entry.at_us);
    tracker.handle_event(entry);
    match &entry.event {
        RecordedEvent::Step { texts, sent, .. } => {
            for update in sent {
                let text = &texts[update.text_index as usize];
                tracker.record_sent(now, &update.proxy, update.number, text, update.entries);
            }
        }
        RecordedEvent::UpdateAcknowledged { proxy, number } => tracker.record_acknowledged(proxy, *number),
        _ => {}
    }
    tracker.check_tables(now);
}

#[test]
fn tables_that_keep_a_drained_server_violate_rule_three() {
    // Given a log with the drain, but without the messages that remove the server from the tables
    let mut log = log_of_a_minute();
    log.retain(|entry| !(matches!(entry.event, RecordedEvent::Step { .. }) && entry.at_us >= DRAIN_TIME_US));
    let mut tracker = tracker();

    // When
    log.iter().for_each(|entry| track(&mut tracker, entry));

    // Then
    let violations = tracker.violations();
    let is_expected = |violation: &String| violation.starts_with("rule 3") && violation.contains("s5");
    assert!(violations.iter().any(is_expected), "{violations:?}");
}

fn listed(name: &str, started_ms: Option<u64>) -> RecordedServer {
    RecordedServer {
        name: name.into(),
        address: "127.0.0.1:9".into(),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        is_draining: false,
        weight: 1.0,
        started_ms,
    }
}

/// Events of a proxy with thirty requests a second, a warm server that answers ten of them, and a cold one.
fn events_with_a_cold_server() -> [RecordedEvent; 3] {
    let outcome = RecordedOutcome {
        server: "warm".into(),
        attempts: 10,
        failures: 0,
        mean_latency_us: 9,
        within_objective: 9,
        load_bits: vec![],
    };
    let arrivals = RecordedArrivals { class: "q".into(), requests: 30, unanswered: 0 };
    [
        RecordedEvent::ProxyConnected {
            proxy: "f".into(),
            zone: "a".into(),
            request_rate: 30.0,
            has_no_table: true,
        },
        RecordedEvent::EndpointsListed {
            is_complete: true,
            servers: vec![listed("warm", None), listed("cold", Some(EPOCH_MS))],
            removed: vec![],
        },
        RecordedEvent::Report {
            proxy: "f".into(),
            window_us: 1_000_000,
            outcomes: vec![outcome],
            arrivals: vec![arrivals],
        },
    ]
}

/// A message whose table has the warm server at weight 1 and the cold one at `cold_weight`.
fn message_with_cold_weight(cold_weight: f64) -> UpdateMessage {
    let entry = |weight| EntryEdit { address: "127.0.0.1:9".into(), weight };
    let entries = [("warm".to_string(), entry(1.0)), ("cold".to_string(), entry(cold_weight))];
    let table = TableEdit { entries: entries.into(), ..Default::default() };
    let assignments = [("q".to_string(), 1)].into();
    UpdateMessage { tables: [(1, table)].into(), assignments, ..Default::default() }
}

/// Violations some seconds after the message is acknowledged.
fn violations_with_cold_weight(cold_weight: f64) -> Vec<String> {
    let mut tracker = tracker();
    for event in events_with_a_cold_server() {
        tracker.handle_event(&Entry { at_us: 0, event });
    }
    let message = message_with_cold_weight(cold_weight);
    tracker.record_sent(Duration::ZERO, "f", 1, &message.to_xml(), 3);
    tracker.record_acknowledged("f", 1);
    (0..8).for_each(|check| tracker.check_tables(Duration::from_millis(1000 + 500 * check)));
    tracker.violations()
}

/// A warm server was seen to serve ten requests a second. A cold one may be sent eight at its start, and about 24 at
/// the last check, 4.5 s later. Of the proxy's thirty, the two weights give it seven and 27.
#[test]
fn a_cold_server_that_tables_overload_violates_rule_four() {
    assert_eq!(violations_with_cold_weight(0.3), Vec::<String>::new());
    assert_eq!(violations_with_cold_weight(9.0), ["rule 4: cold would be overloaded before it is warm"]);
}
