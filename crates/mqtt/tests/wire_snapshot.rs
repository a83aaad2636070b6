//! Guards the wire format: topics and message bodies must match the snapshots byte for byte, because proxies in any
//! language read and write them.
//!
//! `UPDATE_SNAPSHOTS=1` overwrites the snapshots.

use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use runloom_mqtt::{body, report, topics};
use runloom_versioned_publisher::{Change, Key, Topic, TopicKind, UpdatePart};
use std::collections::BTreeMap;
use std::time::Duration;

fn assert_matches_snapshot(name: &str, output: &str) {
    let path = format!("tests/snapshots/{name}");
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, output).unwrap();
    }
    assert_eq!(output, std::fs::read_to_string(&path).unwrap(), "{path}");
}

fn change(key: Key, value: Option<&str>) -> Change {
    Change { key, value: value.map(Into::into) }
}

#[test]
fn table_updates_and_their_topics_match_the_snapshot() {
    let mut output = String::new();
    for kind in [
        TopicKind::Weights,
        TopicKind::Subset,
        TopicKind::Range,
        TopicKind::Ejections,
        TopicKind::Assignments,
    ] {
        let topic = Topic { kind, table: 3 };
        let changes = [
            change(Key::Ejection("s7".into()), Some("out")),
            change(Key::Entry("s\"1".into()), Some("127.0.0.1:81 0.75")),
            change(Key::Entry("s2".into()), None),
            change(Key::AdmissionLimit("lookup".into()), Some("12.5 unrun")),
            change(Key::Assignment("order".into()), Some("3")),
        ];
        for base_version in [None, Some(4)] {
            let part = UpdatePart {
                topic,
                epoch: 77,
                base_version,
                version: 9,
                part_index: 0,
                part_count: 2,
                changes: changes.clone().into(),
            };
            output += &format!(
                "{} {}\n",
                topics::table_topic("p1", "f1", topic),
                String::from_utf8(body::encode(&part)).unwrap()
            );
        }
    }
    assert_matches_snapshot("mqtt-tables.txt", &output);
}

#[test]
fn a_report_matches_the_snapshot() {
    let class = ClassOutcomes {
        class: "lookup".into(),
        attempts: 9,
        within_objective: 7,
        latencies: BTreeMap::from([(3, 4), (12, 5)]),
    };
    let outcomes = |load| ServerOutcomes {
        server: "s1".into(),
        attempts: 12,
        failures: 2,
        mean_latency: Duration::from_micros(81_250),
        within_objective: 9,
        load,
        classes: vec![class.clone()],
    };
    let arrivals = ClassArrivals { class: "order".into(), requests: 30, unanswered: 1 };
    let outcomes = vec![outcomes(vec![]), outcomes(vec![0.5, f64::NAN])];
    let sent = Report { window: Duration::from_millis(1000), outcomes, arrivals: vec![arrivals] };
    let output = String::from_utf8(report::encode(&sent)).unwrap();
    assert_matches_snapshot("mqtt-report.txt", &(output + "\n"));
}
