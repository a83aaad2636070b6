//! MQTT topics and bodies, byte for byte as they were before the code was renamed.
//!
//! `UPDATE_SNAPSHOTS=1` writes the snapshots anew.

use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use runloom_mqtt::{body, report, topics};
use runloom_versioned_publisher::{Change, Key, Topic, TopicKind, UpdatePart};
use std::collections::BTreeMap;
use std::time::Duration;

fn assert_unchanged(name: &str, seen: &str) {
    let path = format!("tests/snapshots/{name}");
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, seen).unwrap();
    }
    assert_eq!(seen, std::fs::read_to_string(&path).unwrap(), "{path}");
}

fn change(key: Key, value: Option<&str>) -> Change {
    Change { key, value: value.map(Into::into) }
}

#[test]
fn tables_and_their_topics_are_as_they_were() {
    let mut seen = String::new();
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
        for from in [None, Some(4)] {
            let part = UpdatePart {
                topic,
                epoch: 77,
                base_version: from,
                version: 9,
                part_index: 0,
                part_count: 2,
                changes: changes.clone().into(),
            };
            seen += &format!(
                "{} {}\n",
                topics::table_topic("p1", "f1", topic),
                String::from_utf8(body::encode(&part)).unwrap()
            );
        }
    }
    assert_unchanged("mqtt-tables.txt", &seen);
}

#[test]
fn a_report_is_as_it_was() {
    let class = ClassOutcomes {
        class: "lookup".into(),
        attempts: 9,
        within_objective: 7,
        latencies: BTreeMap::from([(3, 4), (12, 5)]),
    };
    let met = |load| ServerOutcomes {
        server: "s1".into(),
        attempts: 12,
        failures: 2,
        mean_latency: Duration::from_micros(81_250),
        within_objective: 9,
        load,
        classes: vec![class.clone()],
    };
    let came = ClassArrivals { class: "order".into(), requests: 30, unanswered: 1 };
    let met = vec![met(vec![]), met(vec![0.5, f64::NAN])];
    let sent = Report { window: Duration::from_millis(1000), outcomes: met, arrivals: vec![came] };
    let seen = String::from_utf8(report::encode(&sent)).unwrap();
    assert_unchanged("mqtt-report.txt", &(seen + "\n"));
}
