//! A recorder on a full disk. The file size limit applies to the whole process, so this file may hold no other test.

use runloom_event_log::{list_segments, read_run, RecordedEvent, Recorder, RecorderConfig};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use signal_hook::consts::SIGXFSZ;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// Fewer bytes than a journal's header has.
const PARTIAL_HEADER_BYTES: u64 = 6;

fn limit_file_size(bytes: Option<u64>) {
    let limits = getrlimit(Resource::Fsize);
    setrlimit(Resource::Fsize, Rlimit { current: bytes, maximum: limits.maximum }).unwrap();
}

fn disconnected(proxy: u64) -> RecordedEvent {
    RecordedEvent::ProxyDisconnected { proxy: format!("f{proxy}") }
}

/// Guards against a recorder that stops for good because a header could not be written.
#[test]
fn recording_continues_after_a_header_that_could_not_be_written() {
    // With a handler for SIGXFSZ, a write beyond the limit fails instead of ending the process.
    signal_hook::flag::register(SIGXFSZ, Arc::new(AtomicBool::new(false))).unwrap();
    let folder = std::env::temp_dir().join(format!("runloom-record-limit-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let mut recorder = Recorder::open(&folder, RecorderConfig::default()).unwrap();
    // Given a disk that is full before the first header is complete, during several attempts.
    let unlimited = getrlimit(Resource::Fsize).current;
    limit_file_size(Some(PARTIAL_HEADER_BYTES));
    for attempt in 0..3 {
        let now = Duration::from_secs(60 * attempt);
        recorder.push(now, disconnected(attempt));
        recorder.write(now);
        assert!(recorder.failure().is_some());
    }
    // When there is room again, then all entries are written, and no incomplete journal is left.
    limit_file_size(unlimited);
    let now = Duration::from_secs(600);
    recorder.push(now, disconnected(3));
    recorder.write(now);
    assert_eq!(recorder.failure(), None);
    assert_eq!(recorder.lost_entries(), 0);
    recorder.finish(now);
    let run = read_run(&folder, 0).unwrap();
    let proxies: Vec<RecordedEvent> = run.into_iter().map(|entry| entry.event).collect();
    assert_eq!(proxies, (0..4).map(disconnected).collect::<Vec<_>>());
    assert_eq!(list_segments(&folder).unwrap().len(), 1);
    std::fs::remove_dir_all(&folder).unwrap();
}
