//! Columnar segments.

use super::support::{entries, journal, TestFolder};
use crate::columns;
use crate::framing::header;
use std::fs::File;

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
