//! What passes between a planner and a proxy by NETCONF, byte for byte as it was before the code was renamed.
//!
//! `UPDATE_SNAPSHOTS=1` writes the snapshots anew.

use runloom_controller::RetryPolicy;
use runloom_model::order::{
    level_text, line_text, ClassArrivals, ClassOutcomes, Message, Report, ServerOutcomes, TableEdit,
};
use std::collections::BTreeMap;
use std::time::Duration;

fn assert_unchanged(name: &str, seen: &str) {
    let path = format!("tests/snapshots/{name}");
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, seen).unwrap();
    }
    assert_eq!(seen, std::fs::read_to_string(&path).unwrap(), "{path}");
}

fn table() -> TableEdit {
    let lines = [("s<1>", "127.0.0.1:81", 0.75), ("s2", "127.0.0.1:82", 0.0), ("s3", "127.0.0.1:83", 2.0)];
    let levels = [
        ("lookup", (Some(12.5), RetryPolicy::Never)),
        ("order", (None, RetryPolicy::IfNotExecuted)),
        ("report", (Some(0.0), RetryPolicy::Once)),
        ("safe", (None, RetryPolicy::Twice)),
    ];
    TableEdit {
        whole: false,
        lines: lines.map(|(name, address, weight)| (name.into(), (address.into(), weight))).into(),
        levels: levels.map(|(name, level)| (name.into(), level)).into(),
        gone: false,
    }
}

fn message(whole: bool) -> Message {
    let replaced = TableEdit { whole: true, ..table() };
    let gone = TableEdit { gone: true, ..TableEdit::default() };
    Message {
        whole,
        tables: BTreeMap::from([(1, table()), (2, replaced), (3, gone)]),
        binds: BTreeMap::from([("lookup".into(), 1), ("order".into(), 2)]),
        withdrawn: BTreeMap::from([("s7".into(), true), ("s8".into(), false)]),
    }
}

#[test]
fn edits_of_a_proxy_are_as_they_were() {
    let mut seen = format!("{}\n{}\n", message(false).to_text(), message(true).to_text());
    seen += &format!("{}\n", line_text("127.0.0.1:81", 0.75));
    table().levels.values().for_each(|level| seen += &format!("{}\n", level_text(level)));
    assert_unchanged("netconf-edits.txt", &seen);
}

#[test]
fn a_report_is_as_it_was() {
    let class = ClassOutcomes {
        class: "lookup".into(),
        tries: 9,
        in_time: 7,
        took: BTreeMap::from([(3, 4), (12, 5)]),
    };
    let met = ServerOutcomes {
        server: "s1".into(),
        tries: 12,
        failed: 2,
        took: Duration::from_micros(81_250),
        in_time: 9,
        load: vec![0.5, f64::NAN, 14.0],
        classes: vec![class],
    };
    let came = ClassArrivals { class: "order".into(), queries: 30, unanswered: 1 };
    let report = Report { span: Duration::from_millis(1000), met: vec![met], came: vec![came] };
    assert_unchanged("netconf-report.txt", &(report.element().to_text() + "\n"));
}
