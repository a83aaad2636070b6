//! Entries, journals and temporary folders for the tests.

use crate::entry::{Entry, RecordedArrivals, RecordedEvent, RecordedOutcome, SentUpdate};
use crate::framing;
use std::path::PathBuf;

/// This many entries, a millisecond apart: reports, steps and connecting proxies in turn.
pub fn entries(count: u64) -> Vec<Entry> {
    (0..count).map(|k| Entry { at_us: 1000 * k, event: event(k) }).collect()
}

fn event(k: u64) -> RecordedEvent {
    match k % 3 {
        0 => report(),
        1 => step(),
        _ => RecordedEvent::ProxyConnected {
            proxy: format!("f{k}"),
            zone: "a".into(),
            request_rate: 1.5,
            has_no_table: true,
        },
    }
}

fn report() -> RecordedEvent {
    let outcome = RecordedOutcome {
        server: "s1".into(),
        attempts: 9,
        failures: 2,
        mean_latency_us: 70,
        within_objective: 6,
        load_bits: vec![f64::NAN.to_bits()],
    };
    let arrivals = RecordedArrivals { class: "q".into(), requests: 9, unanswered: 1 };
    RecordedEvent::Report {
        proxy: "f1".into(),
        window_us: 500,
        outcomes: vec![outcome],
        arrivals: vec![arrivals],
    }
}

fn step() -> RecordedEvent {
    let sent = SentUpdate { proxy: "f1".into(), number: 3, text_index: 0, entries: 12 };
    RecordedEvent::Step {
        duration_us: 5,
        texts: vec!["<edit-config/>".into()],
        sent: vec![sent],
        health_checks: vec![],
        log: vec![],
        rejections: vec![],
    }
}

/// A journal with these entries.
pub fn journal(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = framing::header();
    for entry in entries {
        framing::append_frame(entry, &mut bytes).unwrap();
    }
    bytes
}

/// A folder that is removed at the end of its test.
pub struct TestFolder(pub PathBuf);

impl TestFolder {
    pub fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("runloom-record-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, content: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, content).unwrap();
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
