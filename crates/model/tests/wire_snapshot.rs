//! Snapshots of the NETCONF messages between a planner and a proxy, byte for byte. They guard against a change of the
//! protocol when code is renamed.
//!
//! `UPDATE_SNAPSHOTS=1` rewrites the snapshots.

use runloom_controller::RetryPolicy;
use runloom_model::published_value::{format_admission_limit, format_entry};
use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use runloom_model::table_update::{AdmissionLimit, EntryEdit, TableEdit, UpdateMessage};
use std::collections::BTreeMap;
use std::time::Duration;

fn assert_matches_snapshot(name: &str, actual: &str) {
    let path = format!("tests/snapshots/{name}");
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, actual).unwrap();
    }
    assert_eq!(actual, std::fs::read_to_string(&path).unwrap(), "{path}");
}

fn table() -> TableEdit {
    let entries = [("s<1>", "127.0.0.1:81", 0.75), ("s2", "127.0.0.1:82", 0.0), ("s3", "127.0.0.1:83", 2.0)];
    let limits = [
        ("lookup", (Some(12.5), RetryPolicy::Never)),
        ("order", (None, RetryPolicy::IfNotExecuted)),
        ("report", (Some(0.0), RetryPolicy::Once)),
        ("safe", (None, RetryPolicy::Twice)),
    ];
    TableEdit {
        replaces_table: false,
        entries: entries
            .map(|(name, address, weight)| (name.into(), EntryEdit { address: address.into(), weight }))
            .into(),
        admission_limits: limits
            .map(|(name, (rate, retry_policy))| (name.into(), AdmissionLimit { rate, retry_policy }))
            .into(),
        is_removed: false,
    }
}

fn message(replaces_all: bool) -> UpdateMessage {
    let replaced = TableEdit { replaces_table: true, ..table() };
    let removed = TableEdit { is_removed: true, ..TableEdit::default() };
    UpdateMessage {
        replaces_all,
        tables: BTreeMap::from([(1, table()), (2, replaced), (3, removed)]),
        assignments: BTreeMap::from([("lookup".into(), 1), ("order".into(), 2)]),
        ejections: BTreeMap::from([("s7".into(), true), ("s8".into(), false)]),
    }
}

#[test]
fn table_updates_are_unchanged() {
    let mut actual = format!("{}\n{}\n", message(false).to_xml(), message(true).to_xml());
    actual += &format!("{}\n", format_entry("127.0.0.1:81", 0.75));
    table()
        .admission_limits
        .values()
        .for_each(|limit| actual += &format!("{}\n", format_admission_limit(limit)));
    assert_matches_snapshot("netconf-edits.txt", &actual);
}

#[test]
fn reports_are_unchanged() {
    let class = ClassOutcomes {
        class: "lookup".into(),
        attempts: 9,
        within_objective: 7,
        latencies: BTreeMap::from([(3, 4), (12, 5)]),
    };
    let outcomes = ServerOutcomes {
        server: "s1".into(),
        attempts: 12,
        failures: 2,
        mean_latency: Duration::from_micros(81_250),
        within_objective: 9,
        load: vec![0.5, f64::NAN, 14.0],
        classes: vec![class],
    };
    let arrivals = ClassArrivals { class: "order".into(), requests: 30, unanswered: 1 };
    let report =
        Report { window: Duration::from_millis(1000), outcomes: vec![outcomes], arrivals: vec![arrivals] };
    assert_matches_snapshot("netconf-report.txt", &(report.to_element().to_text() + "\n"));
}
