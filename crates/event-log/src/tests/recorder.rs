//! Logs as a recorder writes them.

use super::support::{entries, TestFolder};
use crate::entry::{Entry, RecordedEvent};
use crate::{for_each_entry, list_segments, read_run, read_segment, Recorder, RecorderConfig};
use std::time::Duration;

fn push_and_write(recorder: &mut Recorder, entry: &Entry) {
    let at = Duration::from_micros(entry.at_us);
    recorder.push(at, entry.event.clone());
    recorder.write(at);
}

#[test]
fn segments_are_closed_kept_within_limits_and_read_in_sequence() {
    // Given a log with small segments and a limit of ten of them.
    let folder = TestFolder::new("segments");
    let config =
        RecorderConfig { max_segment_bytes: 2000, max_total_bytes: 20_000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&folder.0, config).unwrap();
    // When far more is written.
    let all = entries(3000);
    for entry in &all {
        push_and_write(&mut recorder, entry);
    }
    recorder.finish(Duration::from_secs(9));
    // Then the newest segments are left, columnar but for the last, without a gap.
    let segments = list_segments(&folder.0).unwrap();
    assert!(segments.iter().map(|segment| segment.size).sum::<u64>() < 30_000);
    assert!(segments.len() > 2);
    assert!(segments[..segments.len() - 1].iter().all(|segment| segment.is_columnar));
    let mut left = Vec::new();
    for segment in &segments {
        left.extend(read_segment(segment).unwrap().entries);
    }
    assert_eq!(left, all[all.len() - left.len()..]);
}

/// The folder is gone, like on a broken disk.
#[test]
fn a_disk_that_fails_stops_the_log_until_it_recovers() {
    // Given a recorder whose folder is removed.
    let folder = TestFolder::new("full");
    let inner = folder.0.join("record");
    let config = RecorderConfig { max_buffered_bytes: 4000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&inner, config).unwrap();
    std::fs::remove_dir_all(&inner).unwrap();
    // When entries are pushed, then those beyond the limit are lost and counted.
    for (k, entry) in entries(500).into_iter().enumerate() {
        let now = Duration::from_millis(k as u64);
        recorder.push(now, entry.event);
        recorder.write(now);
    }
    assert!(recorder.failure().is_some());
    assert!(recorder.lost_entries() > 300);
    // When the folder is back, then the log goes on, and names the loss.
    std::fs::create_dir_all(&inner).unwrap();
    let later = Duration::from_secs(60);
    recorder.write(later);
    recorder.push(later, RecordedEvent::ProxyDisconnected { proxy: "f1".into() });
    recorder.write(later);
    assert_eq!(recorder.failure(), None);
    recorder.finish(Duration::from_secs(61));
    let run = read_run(&inner, 0).unwrap();
    let is_loss =
        |entry: &Entry| matches!(entry.event, RecordedEvent::EntriesLost { entries } if entries > 300);
    assert!(run.iter().any(is_loss));
    assert!(run.len() < 200);
}

/// The planner goes on writing, and makes segments columnar, while its log is read.
#[test]
fn a_log_is_read_while_it_is_written() {
    let folder = TestFolder::new("while");
    let config = RecorderConfig { max_segment_bytes: 3000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&folder.0, config).unwrap();
    let all = entries(4000);
    let mut longest = 0;
    for (k, entry) in all.iter().enumerate() {
        push_and_write(&mut recorder, entry);
        if k % 100 == 99 {
            // Each reading is complete up to its last entry, and no shorter than the one before.
            let run = read_run(&folder.0, 0).unwrap();
            assert_eq!(run, all[..run.len()]);
            assert!(run.len() >= longest && run.len() <= k + 1);
            longest = run.len();
        }
    }
    recorder.finish(Duration::from_secs(9));
    assert_eq!(read_run(&folder.0, 0).unwrap(), all);
    // One entry at a time, until the reader wants no more.
    let mut visited = vec![];
    let mut visit = |entry| {
        visited.push(entry);
        visited.len() < 3000
    };
    for_each_entry(&folder.0, 0, &mut visit).unwrap();
    assert_eq!(visited, all[..3000]);
}

/// Guards against a recording that ends for good since a file has the number of its next journal.
#[test]
fn recording_goes_on_beside_a_file_that_has_the_next_number() {
    // Given a recorder, and a half header that could not be removed.
    let folder = TestFolder::new("number");
    let mut recorder = Recorder::open(&folder.0, RecorderConfig::default()).unwrap();
    folder.write("00000001.journal", b"runl");
    // When it writes, then the second attempt succeeds.
    for (entry, seconds) in entries(2).into_iter().zip([0, 60]) {
        recorder.push(Duration::from_secs(seconds), entry.event);
        recorder.write(Duration::from_secs(seconds));
    }
    assert_eq!(recorder.failure(), None);
    recorder.finish(Duration::from_secs(61));
    assert_eq!(read_run(&folder.0, 0).unwrap().len(), 2);
}

/// Guards against an entry that is written and cannot be read, with those behind it: it is larger than a reader accepts.
#[test]
fn an_entry_that_is_too_large_is_a_loss_and_the_others_are_read() {
    let folder = TestFolder::new("large");
    let mut recorder = Recorder::open(&folder.0, RecorderConfig::default()).unwrap();
    let small = RecordedEvent::ProxyDisconnected { proxy: "f1".into() };
    let large = RecordedEvent::ProxyDisconnected { proxy: "f".repeat(17 << 20) };
    for event in [small.clone(), large, small.clone()] {
        recorder.push(Duration::ZERO, event);
    }
    assert_eq!(recorder.lost_entries(), 1);
    recorder.finish(Duration::ZERO);
    let run: Vec<RecordedEvent> =
        read_run(&folder.0, 0).unwrap().into_iter().map(|entry| entry.event).collect();
    assert_eq!(run, [small.clone(), RecordedEvent::EntriesLost { entries: 1 }, small]);
}
