//! Folders of segments.

use super::support::{entries, journal, TestFolder};
use crate::entry::RecordedEvent;
use crate::{convert_to_columns, list_segments, read_run, Segment};

#[test]
fn a_missing_segment_is_a_gap_in_the_run() {
    // Given segments 1, 2 and 4 with three entries each.
    let folder = TestFolder::new("gap");
    let all = entries(9);
    for (number, part) in [(1, &all[..3]), (2, &all[3..6]), (4, &all[6..])] {
        folder.write(&format!("{number:08}.journal"), &journal(part));
    }
    // When the run is read, then a loss stands between the second and the last.
    let run = read_run(&folder.0, 0).unwrap();
    let is_loss = |position: &usize| matches!(run[*position].event, RecordedEvent::EntriesLost { .. });
    let losses: Vec<usize> = (0..run.len()).filter(is_loss).collect();
    assert_eq!(losses, [6]);
    assert_eq!(run.len(), 10);
}

/// A planner may be killed after it made a segment columnar and before it removed the journal.
#[test]
fn a_segment_in_both_forms_is_read_once() {
    // Given a segment as a journal and columnar, and another one that was not completed.
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
