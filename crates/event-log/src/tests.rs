use crate::entry::*;
use crate::folder::{close, day, each, read, segments, Recorder, RecorderConfig, Segment};
use crate::{columns, framing};
use std::path::PathBuf;
use std::time::Duration;

fn entries(count: u64) -> Vec<Entry> {
    let met = RecordedOutcome {
        server: "s1".into(),
        tries: 9,
        failed: 2,
        took: 70,
        in_time: 6,
        load: vec![f64::NAN.to_bits()],
    };
    let came = RecordedArrivals { class: "q".into(), queries: 9, unanswered: 1 };
    let sent = SentUpdate { proxy: "f1".into(), number: 3, text: 0, lines: 12 };
    let what = |k: u64| match k % 3 {
        0 => RecordedEvent::Report {
            proxy: "f1".into(),
            span: 500,
            met: vec![met.clone()],
            came: vec![came.clone()],
        },
        1 => RecordedEvent::Turn {
            took: 5,
            texts: vec!["<edit-config/>".into()],
            sent: vec![sent.clone()],
            probes: vec![],
            log: vec![],
            refused: vec![],
        },
        _ => RecordedEvent::Joined { proxy: format!("f{k}"), zone: "a".into(), rate: 1.5, fresh: true },
    };
    (0..count).map(|k| Entry { at: 1000 * k, what: what(k) }).collect()
}

fn journal(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = framing::head();
    entries.iter().for_each(|e| framing::push(e, &mut bytes).unwrap());
    bytes
}

proptest::proptest! {
    /// Whatever a disk holds, reading it is an answer or a clear error, and takes no more than the file.
    #[test]
    fn any_bytes_are_read_without_a_panic(mut bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..600), head: bool) {
        if head {
            bytes.splice(0..0, framing::head());
        }
        if let Ok(read) = framing::read(&bytes) {
            proptest::prop_assert_eq!(read.whole + read.torn, bytes.len());
        }
        let mut file = Vec::new();
        columns::write(&entries(4), &mut file).unwrap();
        let cut = bytes.len() % file.len();
        file[cut] ^= bytes.first().copied().unwrap_or(1) | 1;
        let folder = Folder::new("bytes");
        let path = folder.0.join("1.parquet");
        std::fs::write(&path, &file).unwrap();
        let _ = columns::read(std::fs::File::open(&path).unwrap());
        std::fs::write(&path, &bytes).unwrap();
        proptest::prop_assert!(columns::read(std::fs::File::open(&path).unwrap()).is_err());
    }
}

#[test]
fn a_segment_missing_in_the_middle_is_a_gap_in_the_day() {
    let folder = Folder::new("gap");
    let all = entries(9);
    for (number, part) in [(1, &all[..3]), (2, &all[3..6]), (4, &all[6..])] {
        std::fs::write(folder.0.join(format!("{number:08}.journal")), journal(part)).unwrap();
    }
    let read = day(&folder.0, 0).unwrap();
    let gaps: Vec<usize> =
        (0..read.len()).filter(|k| matches!(read[*k].what, RecordedEvent::Lost { .. })).collect();
    assert_eq!((gaps, read.len()), (vec![6], 10));
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("runloom-record-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Every prefix of a journal, as a kill may leave it, reads as the entries that were whole.
#[test]
fn every_prefix_of_a_journal_reads_as_its_whole_entries() {
    let all = entries(9);
    let bytes = journal(&all);
    let ends: Vec<usize> = (0..=9).map(|k| journal(&all[..k]).len()).collect();
    for cut in 0..=bytes.len() {
        let read = framing::read(&bytes[..cut]).unwrap();
        let whole = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        assert_eq!(read.entries, all[..whole], "cut at {cut}");
        assert_eq!(read.torn, cut - if cut >= ends[0] { ends[whole] } else { 0 });
    }
}

/// Any one byte that changed on the disk is found out; what stood before it is read.
#[test]
fn a_flipped_byte_is_found_out_and_nothing_before_it_is_lost() {
    let all = entries(6);
    let bytes = journal(&all);
    for place in framing::head().len()..bytes.len() {
        let mut bad = bytes.clone();
        bad[place] ^= 0x40;
        let read = framing::read(&bad).unwrap();
        let before = (0..=6).rev().find(|k| journal(&all[..*k]).len() <= place).unwrap();
        assert_eq!(read.entries, all[..before], "flipped at {place}");
    }
}

#[test]
fn another_version_and_what_is_no_journal_are_refused_and_named() {
    let mut bytes = journal(&entries(1));
    bytes[8] = 9;
    assert_eq!(framing::read(&bytes), Err(framing::Unreadable::Version(9)));
    assert_eq!(framing::read(b"something else altogether"), Err(framing::Unreadable::NoJournal));
}

#[test]
fn a_columnar_segment_holds_the_same_entries() {
    let all = entries(100);
    let mut out = Vec::new();
    columns::write(&all, &mut out).unwrap();
    assert!(out.len() < journal(&all).len());
    let folder = Folder::new("columns");
    let path = folder.0.join("00000001.parquet");
    std::fs::write(&path, &out).unwrap();
    assert_eq!(columns::read(std::fs::File::open(&path).unwrap()).unwrap(), all);
}

#[test]
fn segments_are_closed_kept_within_bounds_and_read_in_order() {
    let folder = Folder::new("segments");
    let terms = RecorderConfig { segment: 2000, most: 20_000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&folder.0, terms).unwrap();
    let all = entries(3000);
    for e in &all {
        recorder.push(Duration::from_micros(e.at), e.what.clone());
        recorder.write(Duration::from_micros(e.at));
    }
    recorder.finish(Duration::from_secs(9));
    let left = segments(&folder.0).unwrap();
    assert!(left.iter().map(|s| s.bytes).sum::<u64>() < 30_000 && left.len() > 2);
    assert!(left[..left.len() - 1].iter().all(|s| s.columnar));
    let read: Vec<Entry> = left.iter().flat_map(|s| read(s).unwrap().0).collect();
    assert_eq!(read, all[all.len() - read.len()..], "the newest are there, in order and without a gap");
}

/// Killed between making a segment columnar and removing its journal: read once.
#[test]
fn a_segment_that_is_there_twice_is_read_once() {
    let folder = Folder::new("twice");
    let path = folder.0.join("00000001.journal");
    std::fs::write(&path, journal(&entries(5))).unwrap();
    std::fs::copy(&path, folder.0.join("keep")).unwrap();
    close(&Segment { number: 1, path: path.clone(), bytes: 0, columnar: false }).unwrap();
    std::fs::rename(folder.0.join("keep"), &path).unwrap();
    std::fs::write(folder.0.join("00000002.making"), b"half").unwrap();
    assert_eq!(segments(&folder.0).unwrap().len(), 1);
    assert_eq!(day(&folder.0, 0).unwrap().len(), 5);
}

/// The folder is gone, as full or broken disks are: nothing waits without bound, what is lost is counted, and
/// the record goes on by itself.
#[test]
fn a_disk_that_cannot_be_written_stops_the_record_and_nothing_else() {
    let folder = Folder::new("full");
    let inner = folder.0.join("record");
    let terms = RecorderConfig { waiting: 4000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&inner, terms).unwrap();
    std::fs::remove_dir_all(&inner).unwrap();
    for (k, e) in entries(500).into_iter().enumerate() {
        recorder.push(Duration::from_millis(k as u64), e.what);
        recorder.write(Duration::from_millis(k as u64));
    }
    assert!(recorder.stopped().is_some() && recorder.lost() > 300);
    std::fs::create_dir_all(&inner).unwrap();
    recorder.write(Duration::from_secs(60));
    recorder.push(Duration::from_secs(60), RecordedEvent::Left { proxy: "f1".into() });
    recorder.write(Duration::from_secs(60));
    assert_eq!(recorder.stopped(), None);
    recorder.finish(Duration::from_secs(61));
    let kept = day(&inner, 0).unwrap();
    let lost = |e: &Entry| matches!(e.what, RecordedEvent::Lost { entries } if entries > 300);
    assert!(kept.iter().any(lost) && kept.len() < 200);
}

/// A planner goes on writing, and makes segments columnar, while its record is read: each reading is whole from
/// its first entry to its last, and no shorter than the one before.
#[test]
fn a_record_is_read_while_it_is_written() {
    let folder = Folder::new("while");
    let terms = RecorderConfig { segment: 3000, ..RecorderConfig::default() };
    let mut recorder = Recorder::open(&folder.0, terms).unwrap();
    let all = entries(4000);
    let mut longest = 0;
    for (k, e) in all.iter().enumerate() {
        recorder.push(Duration::from_micros(e.at), e.what.clone());
        recorder.write(Duration::from_micros(e.at));
        if k % 100 == 99 {
            let read = day(&folder.0, 0).unwrap();
            assert_eq!(read, all[..read.len()]);
            assert!(read.len() >= longest && read.len() <= k + 1);
            longest = read.len();
        }
    }
    recorder.finish(Duration::from_secs(9));
    assert_eq!(day(&folder.0, 0).unwrap(), all);
    let mut one_by_one = vec![];
    each(&folder.0, 0, &mut |e| {
        one_by_one.push(e);
        one_by_one.len() < 3000
    })
    .unwrap();
    assert_eq!(one_by_one, all[..3000]);
}

/// Version 1 had all kinds of entries but the last: it is read as it is. Others are refused by their number.
#[test]
fn an_older_version_is_read_and_an_unknown_one_named() {
    let mut bytes = journal(&entries(30));
    bytes[8..12].copy_from_slice(&OLDEST.to_le_bytes());
    assert_eq!(framing::read(&bytes).unwrap().entries, entries(30));
    for version in [0, VERSION + 1] {
        bytes[8..12].copy_from_slice(&version.to_le_bytes());
        assert_eq!(framing::read(&bytes).unwrap_err(), framing::Unreadable::Version(version));
    }
}
