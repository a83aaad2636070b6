//! Tests of the background writer.

use super::support::TestFolder;
use crate::{read_run, BackgroundWriter, RecordedEvent, Recorder, RecorderConfig};
use std::time::Duration;

fn disconnected(k: u64) -> RecordedEvent {
    RecordedEvent::ProxyDisconnected { proxy: format!("f{k}") }
}

#[test]
fn entries_are_written_in_sequence_and_those_beyond_the_limit_are_counted() {
    let folder = TestFolder::new("writer");
    let recorder = Recorder::open(&folder.0, RecorderConfig::default()).unwrap();
    let mut writer = BackgroundWriter::with_limit(recorder, 1000);
    let at = Duration::from_millis;
    // When a batch is larger than the limit, then it is lost.
    writer.push(at(1), (0..100).map(|k| (at(1), disconnected(k))).collect());
    assert_eq!(writer.status().lost_entries, 100);
    assert!(writer.status().failure.is_some());
    // When small batches follow, each once there is room, then none is lost.
    for k in 0..50 {
        while writer.queued_bytes() > 500 {
            std::thread::yield_now();
        }
        writer.push(at(k + 2), vec![(at(k + 2), disconnected(k))]);
    }
    assert_eq!(writer.status().lost_entries, 100);
    writer.finish();
    // Then the log begins with the loss, followed by the other entries in sequence.
    let run = read_run(&folder.0, 0).unwrap();
    assert_eq!(run[0].event, RecordedEvent::EntriesLost { entries: 100 });
    assert_eq!(run.len(), 51);
    for (entry, k) in run[1..].iter().zip(0..) {
        assert_eq!(entry.event, disconnected(k));
    }
}
