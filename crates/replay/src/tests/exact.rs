//! Tests of the replay with the recorded settings.

use super::{log_of_a_minute, recording_session, server, step_and_acknowledge, take_entries};
use crate::exact::replay;
use runloom_controller::EndpointUpdate;
use runloom_event_log::{Entry, RecordedEvent};
use runloom_inventory::{Change, Server};
use std::time::Duration;

#[test]
fn the_recorded_settings_give_the_same_commands_byte_for_byte_each_time() {
    // Given
    let log = log_of_a_minute();

    // When
    let summary = replay(&log, "test").unwrap();

    // Then
    assert_eq!(summary.first_difference, None);
    assert!(summary.steps > 200 && summary.messages >= 8, "{summary:?}");
    assert_eq!(replay(&log, "test").unwrap(), summary);
}

#[test]
fn a_difference_is_reported_with_its_time_and_likely_cause() {
    // Given
    let mut changed = log_of_a_minute();
    let has_late_message = |entry: &Entry| matches!(&entry.event, RecordedEvent::Step { sent, .. } if entry.at_us > 20_000_000 && !sent.is_empty());
    let position = changed.iter().position(has_late_message).unwrap();
    if let RecordedEvent::Step { texts, .. } = &mut changed[position].event {
        texts[0].push(' ');
    }
    let mut with_gap = log_of_a_minute();
    let gap = Entry { at_us: with_gap[position].at_us, event: RecordedEvent::EntriesLost { entries: 3 } };
    with_gap.insert(position, gap);

    // When
    let difference = replay(&changed, "another").unwrap().first_difference.unwrap();
    let gap_difference = replay(&with_gap, "test").unwrap().first_difference.unwrap();
    let without_start = replay(&changed[1..], "test");

    // Then
    assert_eq!(difference.at_seconds, changed[position].at_us as f64 / 1e6);
    assert!(difference.description.contains("another text"), "{difference:?}");
    assert!(difference.cause.contains("recorded by test"), "{difference:?}");
    assert!(gap_difference.cause.contains("gap"));
    assert!(without_start.is_err());
}

/// About three changes of a server's weight a second for an hour.
#[test]
fn ten_thousand_edits_replay_to_the_same_commands() {
    // Given
    let mut session = recording_session();
    session.connect_proxy("f0", "a", 10.0, true);
    let mut log = Vec::new();
    for edit in 0..10_000u64 {
        let number = edit as usize % 5;
        let Change::Updated(listed) = server(number, false) else { unreachable!() };
        let change = Change::Updated(Server { weight: 1.0 + (edit % 4) as f64, ..listed });
        session.update_endpoints(EndpointUpdate::Delta, vec![(format!("s{number}"), change)]);
        let now = Duration::from_millis(360 * (edit + 1));
        step_and_acknowledge(&mut session, now, Duration::from_millis(5));
        log.extend(take_entries(&mut session));
    }

    // When
    let summary = replay(&log, "test").unwrap();

    // Then
    assert_eq!(summary.first_difference, None);
    assert!(summary.messages > 1000, "{summary:?}");
}
