//! An event log whose writer is killed at any moment must read back without gaps.

mod help;

use help::{program, Folder};
use runloom_event_log::{list_segments, read_segment, RecordedEvent};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const KILL_COUNT: u64 = 200;

fn newest_segment(log: &Path) -> Option<u64> {
    list_segments(log).ok()?.last().map(|segment| segment.number)
}

/// Starts a writer, and kills it up to 3 ms after it has begun `kill % 6` new segments.
///
/// Kills so hit its start, its first segment and the closing of a segment. They wait for segments, since after a fixed
/// time a writer on a busy machine may not have written anything yet.
fn write_and_kill(log: &Path, kill: u64) {
    let newest_before = newest_segment(log).unwrap_or(0);
    let mut writer = Command::new(program()).arg("writes").arg("--folder").arg(log).spawn().unwrap();
    while newest_segment(log).unwrap_or(0) < newest_before + kill % 6 {
        assert_eq!(writer.try_wait().unwrap(), None, "the writer exited before it was killed");
        std::thread::sleep(Duration::from_micros(200));
    }
    std::thread::sleep(Duration::from_micros((kill * 7919) % 3_000));
    writer.kill().unwrap();
    writer.wait().unwrap();
}

#[test]
fn an_event_log_whose_writer_is_killed_two_hundred_times_reads_back_without_gaps() {
    // Given
    let folder = Folder::new("log-kills");
    let log = folder.0.join("record");

    // When
    (0..KILL_COUNT).for_each(|kill| write_and_kill(&log, kill));

    // Then
    let (mut starts, mut next, mut total) = (0, 0, 0u64);
    for segment in list_segments(&log).unwrap() {
        let entries = read_segment(&segment).unwrap().entries;
        for entry in entries {
            total += 1;
            if matches!(entry.event, RecordedEvent::PlannerStarted { .. }) {
                starts += 1;
                next = 1;
            } else {
                // The writer sets each entry's time to the entry's number since the start.
                assert_eq!(entry.at_us, next, "{segment:?}");
                next += 1;
            }
        }
    }
    assert!(starts > 50 && total > 10_000, "{starts} starts, {total} entries");
}
