//! Columnar segments.

use super::support::{entries, journal, TestFolder};
use crate::columns::{self, ColumnError, ColumnarContent, Integrity};
use crate::entry::Entry;
use crate::framing::header;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fs::File;

/// What an earlier build wrote of `entries(4)`, without a checksum.
const WITHOUT_CHECKSUM: &[u8] = include_bytes!("fixtures/without_checksum.parquet");
/// Changes of a byte that are tried at each position of a file whose decoding is slow: each bit, and all of them.
const BYTE_CHANGES: [u8; 9] = [0x01, 0x02, 0x04, 0x08, 0x10, 0x20, 0x40, 0x80, 0xff];

fn read_bytes(file: Vec<u8>) -> Result<ColumnarContent, ColumnError> {
    columns::read_content(Bytes::from(file))
}

/// Calls `visit` with the result of reading each copy of `file` that has one byte changed.
fn read_each_change(
    file: &[u8],
    changes: &[u8],
    visit: &mut dyn FnMut(usize, Result<ColumnarContent, ColumnError>),
) {
    for position in 0..file.len() {
        for change in changes {
            let mut damaged = file.to_vec();
            damaged[position] ^= change;
            visit(position, read_bytes(damaged));
        }
    }
}

fn columnar_file() -> Vec<u8> {
    let mut file = Vec::new();
    columns::write(&entries(4), &mut file).unwrap();
    file
}

proptest::proptest! {
    /// A changed byte may or may not be noticed, and never leads to a panic; arbitrary bytes are rejected.
    #[test]
    fn corrupt_files_are_read_without_a_panic(
        mut bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..600),
        with_journal_header: bool,
    ) {
        if with_journal_header {
            bytes.splice(0..0, header());
        }
        let mut file = columnar_file();
        let position = bytes.len() % file.len();
        file[position] ^= bytes.first().copied().unwrap_or(1) | 1;
        let folder = TestFolder::new("bytes");
        let path = folder.write("1.parquet", &file);
        let _ = columns::read(File::open(&path).unwrap());
        let path = folder.write("1.parquet", &bytes);
        proptest::prop_assert!(columns::read(File::open(&path).unwrap()).is_err());
    }
}

#[test]
fn a_columnar_segment_holds_the_same_entries_in_less_space() {
    let all = entries(100);
    let mut file = Vec::new();
    columns::write(&all, &mut file).unwrap();
    assert!(file.len() < journal(&all).len());
    let folder = TestFolder::new("columns");
    let path = folder.write("00000001.parquet", &file);
    assert_eq!(columns::read(File::open(&path).unwrap()).unwrap(), all);
}

/// Guards against damage that was read as other entries, or made the Parquet library panic.
#[test]
fn every_changed_byte_of_a_columnar_segment_is_an_error() {
    let file = columnar_file();
    let all_changes: Vec<u8> = (1..=u8::MAX).collect();
    read_each_change(&file, &all_changes, &mut |position, result| {
        let error = result.unwrap_err();
        assert!(!matches!(error, ColumnError::DecoderPanicked(_)), "at {position}: {error}");
    });
}

/// Guards against a cut file, as a full disk leaves it, that is read or panics.
#[test]
fn every_prefix_of_a_columnar_segment_is_an_error() {
    let file = columnar_file();
    for size in 0..file.len() {
        assert!(read_bytes(file[..size].to_vec()).is_err(), "cut at {size}");
    }
}

#[test]
fn a_segment_with_a_checksum_is_verified_and_one_of_an_earlier_build_is_not() {
    let content = read_bytes(columnar_file()).unwrap();
    assert_eq!(content, ColumnarContent { entries: entries(4), integrity: Integrity::Verified });
    let content = read_bytes(WITHOUT_CHECKSUM.to_vec()).unwrap();
    assert_eq!(content, ColumnarContent { entries: entries(4), integrity: Integrity::Unverified });
}

/// Guards against the library's panics on files that no checksum covers. Their damage may be read as other entries, which
/// are then called unverified; the columns tell of most of it.
#[test]
fn changed_bytes_of_a_segment_without_checksum_never_panic_and_are_never_called_verified() {
    let expected = entries(4);
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    read_each_change(WITHOUT_CHECKSUM, &BYTE_CHANGES, &mut |position, result| {
        let outcome = match result {
            Err(ColumnError::DecoderPanicked(_)) => "contained panic",
            Err(_) => "error",
            Ok(content) => {
                assert_eq!(content.integrity, Integrity::Unverified, "at {position}");
                if content.entries == expected {
                    "same entries"
                } else {
                    "other entries"
                }
            }
        };
        *outcomes.entry(outcome).or_default() += 1;
    });
    println!("{outcomes:?}");
    assert!(outcomes["contained panic"] > 0, "the panics are there to be contained");
}

/// The checksum stands where no reader of Parquet looks.
#[test]
fn a_segment_with_a_checksum_is_plain_parquet() {
    use parquet::file::reader::{FileReader, SerializedFileReader};
    use parquet::record::RowAccessor;
    let all = entries(30);
    let mut file = Vec::new();
    columns::write(&all, &mut file).unwrap();
    let reader = SerializedFileReader::new(Bytes::from(file)).unwrap();
    let rows: Vec<_> = reader.get_row_iter(None).unwrap().map(Result::unwrap).collect();
    let kinds: Vec<&str> = rows.iter().map(|row| row.get_string(1).unwrap().as_str()).collect();
    let expected: Vec<&str> = all.iter().map(|entry: &Entry| entry.event.kind()).collect();
    assert_eq!(kinds, expected);
}
