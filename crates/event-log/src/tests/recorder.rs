//! Tests of logs that a recorder writes.

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
    // When far more than the limit is written.
    let all = entries(3000);
    for entry in &all {
        push_and_write(&mut recorder, entry);
    }
    recorder.finish(Duration::from_secs(9));
    // Then the newest segments are left, all columnar except the last, without a gap.
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

/// Guards against a recorder that blocks, grows without limit or stays stopped when its disk fails. Removing the folder
/// stands in for a failing disk.
#[test]
fn a_failing_disk_stops_the_log_until_it_recovers() {
    // Given a recorder whose folder is removed.
    let folder = TestFolder::new("full");
    let inner = folder.0.join("record");
    let config = RecorderConfig { max_buffered_bytes: 4000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&inner, config).unwrap();
    std::fs::remove_dir_all(&inner).unwrap();
    // When entries are pushed, then those beyond the buffer's limit are lost and counted.
    for (k, entry) in entries(500).into_iter().enumerate() {
        let now = Duration::from_millis(k as u64);
        recorder.push(now, entry.event);
        recorder.write(now);
    }
    assert!(recorder.failure().is_some());
    assert!(recorder.lost_entries() > 300);
    // When the folder is back, then recording resumes, and the log has the number of lost entries.
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

/// A planner may write entries and convert segments while its log is read.
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
            // What is read has no gaps, and is no shorter than at the previous read.
            let run = read_run(&folder.0, 0).unwrap();
            assert_eq!(run, all[..run.len()]);
            assert!(run.len() >= longest && run.len() <= k + 1);
            longest = run.len();
        }
    }
    recorder.finish(Duration::from_secs(9));
    assert_eq!(read_run(&folder.0, 0).unwrap(), all);
    // Entries are visited one at a time, until the visitor returns false.
    let mut visited = vec![];
    let mut visit = |entry| {
        visited.push(entry);
        visited.len() < 3000
    };
    for_each_entry(&folder.0, 0, &mut visit).unwrap();
    assert_eq!(visited, all[..3000]);
}

/// Guards against a recorder that stops for good because a file with the number of its next journal exists.
#[test]
fn recording_continues_if_a_file_has_the_next_number() {
    // Given a recorder, and an incomplete header that could not be removed.
    let folder = TestFolder::new("number");
    let mut recorder = Recorder::open(&folder.0, RecorderConfig::default()).unwrap();
    folder.write("00000001.journal", b"runl");
    // When it writes twice, then the second attempt succeeds.
    for (entry, seconds) in entries(2).into_iter().zip([0, 60]) {
        recorder.push(Duration::from_secs(seconds), entry.event);
        recorder.write(Duration::from_secs(seconds));
    }
    assert_eq!(recorder.failure(), None);
    recorder.finish(Duration::from_secs(61));
    assert_eq!(read_run(&folder.0, 0).unwrap().len(), 2);
}

/// Guards against an entry that is written although it is larger than the reader accepts, which makes it and all later
/// entries unreadable.
#[test]
fn a_too_large_entry_counts_as_lost_and_the_others_are_read() {
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
