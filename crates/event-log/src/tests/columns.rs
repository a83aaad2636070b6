//! Tests of columnar segments.

use super::support::{entries, journal, TestFolder};
use crate::columns::{self, ColumnError, ColumnarContent, Integrity};
use crate::entry::Entry;
use crate::framing::header;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fs::File;

/// The columnar file of `entries(4)` that an earlier build wrote, without a checksum.
const WITHOUT_CHECKSUM: &[u8] = include_bytes!("fixtures/without_checksum.parquet");
/// Bit masks to flip in each byte of a file whose decoding is slow: each single bit, and all of them.
const BYTE_CHANGES: [u8; 9] = [0x01, 0x02, 0x04, 0x08, 0x10, 0x20, 0x40, 0x80, 0xff];

fn read_bytes(file: Vec<u8>) -> Result<ColumnarContent, ColumnError> {
    columns::read_content(Bytes::from(file))
}

/// Reads copies of `file` with one byte changed, for each position and bit mask, and calls `visit` with the position
/// and the result.
fn read_with_each_byte_changed(
    file: &[u8],
    masks: &[u8],
    visit: &mut dyn FnMut(usize, Result<ColumnarContent, ColumnError>),
) {
    for position in 0..file.len() {
        for mask in masks {
            let mut damaged = file.to_vec();
            damaged[position] ^= mask;
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
    /// A changed byte never leads to a panic, whether it is detected or not; arbitrary bytes are rejected.
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

/// Guards against damage that is read as other entries, or that makes the Parquet library panic.
#[test]
fn every_changed_byte_of_a_columnar_segment_is_an_error() {
    let file = columnar_file();
    let all_masks: Vec<u8> = (1..=u8::MAX).collect();
    read_with_each_byte_changed(&file, &all_masks, &mut |position, result| {
        let error = result.unwrap_err();
        assert!(!matches!(error, ColumnError::DecoderPanicked(_)), "at {position}: {error}");
    });
}

/// Guards against a truncated file, as a full disk leaves it, that is read as a segment or makes the reader panic.
#[test]
fn every_prefix_of_a_columnar_segment_is_an_error() {
    let file = columnar_file();
    for size in 0..file.len() {
        assert!(read_bytes(file[..size].to_vec()).is_err(), "cut at {size}");
    }
}

#[test]
fn a_segment_with_a_checksum_is_verified_and_one_from_an_earlier_build_is_not() {
    let content = read_bytes(columnar_file()).unwrap();
    assert_eq!(content, ColumnarContent { entries: entries(4), integrity: Integrity::Verified });
    let content = read_bytes(WITHOUT_CHECKSUM.to_vec()).unwrap();
    assert_eq!(content, ColumnarContent { entries: entries(4), integrity: Integrity::Unverified });
}

/// Guards against panics of the Parquet library on files without a checksum. Most damage to such a file is detected by
/// comparing its columns with its entries; the rest is read as other entries, which must be reported as unverified.
#[test]
fn changed_bytes_of_a_segment_without_checksum_never_panic_or_pass_as_verified() {
    let expected = entries(4);
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    read_with_each_byte_changed(WITHOUT_CHECKSUM, &BYTE_CHANGES, &mut |position, result| {
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
    assert!(outcomes["contained panic"] > 0, "no panic occurred that could be contained");
}

/// Other Parquet readers must be able to read a segment despite its checksum, which no offset in the footer refers to.
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
