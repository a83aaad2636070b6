//! Tests of folders with segments: listing, reading, and conversion to columnar files.

use super::support::{entries, journal, TestFolder};
use crate::entry::{Entry, RecordedEvent};
use crate::framing::header;
use crate::{
    convert_to_columns, list_segments, read_run, read_segment, ConversionError, Recorder, RecorderConfig,
    Segment,
};
use std::time::Duration;

fn is_loss(entry: &Entry) -> bool {
    matches!(entry.event, RecordedEvent::EntriesLost { .. })
}

/// Returns the only segment of a folder.
fn only_segment(folder: &TestFolder) -> Segment {
    let mut segments = list_segments(&folder.0).unwrap();
    assert_eq!(segments.len(), 1);
    segments.remove(0)
}

#[test]
fn a_missing_segment_is_a_gap_in_the_run() {
    // Given segments 1, 2 and 4 with three entries each.
    let folder = TestFolder::new("gap");
    let all = entries(9);
    for (number, part) in [(1, &all[..3]), (2, &all[3..6]), (4, &all[6..])] {
        folder.write(&format!("{number:08}.journal"), &journal(part));
    }
    // When the run is read, then a loss stands between segments 2 and 4.
    let run = read_run(&folder.0, 0).unwrap();
    let is_loss = |position: &usize| matches!(run[*position].event, RecordedEvent::EntriesLost { .. });
    let losses: Vec<usize> = (0..run.len()).filter(is_loss).collect();
    assert_eq!(losses, [6]);
    assert_eq!(run.len(), 10);
}

/// A planner may be killed after it wrote a columnar file and before it removed the journal.
#[test]
fn a_segment_in_both_forms_is_read_once() {
    // Given a segment in both forms, and an incomplete columnar file of another one.
    let folder = TestFolder::new("twice");
    let path = folder.write("00000001.journal", &journal(&entries(5)));
    std::fs::copy(&path, folder.0.join("keep")).unwrap();
    convert_to_columns(&Segment { number: 1, path: path.clone(), size: 0, is_columnar: false }).unwrap();
    std::fs::rename(folder.0.join("keep"), &path).unwrap();
    folder.write("00000002.making", b"half");
    // Then one segment is listed and read.
    assert_eq!(list_segments(&folder.0).unwrap().len(), 1);
    assert_eq!(read_run(&folder.0, 0).unwrap().len(), 5);
}

/// Guards against a damaged journal that is replaced by a columnar file with only the entries before the damage.
#[test]
fn a_damaged_journal_is_not_converted_and_its_intact_entries_are_read() {
    // Given a journal of fifty entries with one byte changed.
    let folder = TestFolder::new("damaged-journal");
    let all = entries(50);
    let mut bytes = journal(&all);
    bytes[200] ^= 0x40;
    let path = folder.write("00000001.journal", &bytes);
    // When a recorder tries to convert it at its start, then an error is reported, and the journal is unchanged.
    let recorder = Recorder::open(&folder.0, RecorderConfig::default()).unwrap();
    let errors = recorder.finish(Duration::ZERO);
    assert!(matches!(errors[..], [ConversionError::Damaged { .. }]), "{errors:?}");
    assert_eq!(std::fs::read(&path).unwrap(), bytes);
    // Then the run has a loss in place of the damaged entry, and all other entries.
    let run = read_run(&folder.0, 0).unwrap();
    assert_eq!(run.iter().filter(|entry| is_loss(entry)).count(), 1);
    let found: Vec<&Entry> = run.iter().filter(|entry| !is_loss(entry)).collect();
    assert_eq!(found.len(), 49);
    assert!(found.iter().all(|entry| all.contains(entry)));
}

/// Guards against entries after a damaged byte that are lost or not reported as lost, wherever the byte is.
#[test]
fn a_changed_byte_of_a_journal_loses_one_entry_and_is_reported() {
    let folder = TestFolder::new("each-byte");
    let all = entries(9);
    let bytes = journal(&all);
    for position in header().len()..bytes.len() {
        for change in [0x01, 0x40, 0xff] {
            let mut damaged = bytes.clone();
            damaged[position] ^= change;
            folder.write("00000001.journal", &damaged);
            let segment = only_segment(&folder);
            let content = read_segment(&segment).unwrap();
            let found: Vec<&Entry> = content.entries.iter().filter(|entry| !is_loss(entry)).collect();
            assert_eq!(found.len(), 8, "at {position}");
            assert!(found.iter().all(|entry| all.contains(entry)), "at {position}");
            assert_eq!(content.entries.iter().filter(|entry| is_loss(entry)).count(), 1, "at {position}");
            assert!(content.damaged_bytes > 0 && content.torn_bytes == 0, "at {position}");
            assert!(convert_to_columns(&segment).is_err(), "at {position}");
            assert_eq!(std::fs::read(&segment.path).unwrap(), damaged, "at {position}");
        }
    }
}

/// A killed writer may leave the beginning of a frame. This is no damage, and does not prevent the conversion.
#[test]
fn a_journal_with_a_torn_tail_is_converted() {
    let folder = TestFolder::new("torn-tail");
    let bytes = journal(&entries(9));
    for cut in header().len()..bytes.len() {
        folder.write("00000001.journal", &bytes[..cut]);
        let segment = only_segment(&folder);
        let before = read_segment(&segment).unwrap();
        assert_eq!(before.damaged_bytes, 0, "cut at {cut}");
        let columnar = convert_to_columns(&segment).unwrap();
        assert_eq!(read_segment(&only_segment(&folder)).unwrap().entries, before.entries, "cut at {cut}");
        std::fs::remove_file(columnar).unwrap();
    }
}

/// Guards against a journal that is removed although its columnar file could not be written.
#[test]
fn a_journal_whose_columnar_file_cannot_be_written_is_kept() {
    let folder = TestFolder::new("unwritable");
    folder.write("00000001.journal", &journal(&entries(5)));
    // A folder stands where the file is to be written.
    std::fs::create_dir(folder.0.join("00000001.making")).unwrap();
    let segment = only_segment(&folder);
    assert!(matches!(convert_to_columns(&segment), Err(ConversionError::Write(..))));
    assert_eq!(read_run(&folder.0, 0).unwrap(), entries(5));
}
