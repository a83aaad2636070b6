//! Reads columnar files. A file with a checksum is verified before it is decoded. One without is checked for impossible
//! page sizes first. In both, the redundant columns are compared with the entries.

use super::checksum::{self, ChecksumState};
use super::page_header::check_page_sizes;
use super::panic_containment::contain_panic;
use super::{Column, ColumnError, EntryTotals, CHECKSUM_KEY, VERSION_KEY};
use crate::entry::{Entry, OLDEST_VERSION, VERSION};
use bytes::Bytes;
use parquet::file::metadata::KeyValue;
use parquet::file::reader::{ChunkReader, FileReader, SerializedFileReader};
use parquet::record::{Row, RowAccessor};

/// Whether the entries that were read are known to be those that were written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Integrity {
    /// A checksum covers all of the file, and matches.
    #[default]
    Verified,
    /// The file is from a build that stored no checksum. Damage that leaves it readable may go undetected.
    Unverified,
}

/// What was read from a columnar file.
#[derive(Debug, PartialEq)]
pub struct ColumnarContent {
    /// The entries, one for each row.
    pub entries: Vec<Entry>,
    /// Whether a checksum confirms the entries.
    pub integrity: Integrity,
}

/// Reads the entries of a file that [`write()`](super::write()) or an earlier build wrote.
pub fn read(file: impl ChunkReader) -> Result<Vec<Entry>, ColumnError> {
    Ok(read_content(file)?.entries)
}

/// Like [`read`], but also returns whether a checksum confirms the entries.
pub fn read_content(file: impl ChunkReader) -> Result<ColumnarContent, ColumnError> {
    let size = usize::try_from(file.len()).unwrap_or(usize::MAX);
    let bytes = if size == 0 { Bytes::new() } else { file.get_bytes(0, size)? };
    let integrity = match checksum::verify(&bytes) {
        ChecksumState::Valid => Integrity::Verified,
        ChecksumState::Absent => Integrity::Unverified,
        ChecksumState::Mismatch { stored, computed } => {
            return Err(ColumnError::Checksum { stored, computed });
        }
    };
    let decoded = contain_panic(|| decode(bytes, integrity));
    let entries = decoded.map_err(ColumnError::DecoderPanicked)??;
    Ok(ColumnarContent { entries, integrity })
}

fn decode(bytes: Bytes, integrity: Integrity) -> Result<Vec<Entry>, ColumnError> {
    let reader = SerializedFileReader::new(bytes.clone())?;
    let key_values = reader.metadata().file_metadata().key_value_metadata();
    check_version(key_values)?;
    if integrity == Integrity::Unverified {
        // No marker was found. If the file was written with a checksum, its marker is damaged.
        if find_value(key_values, CHECKSUM_KEY).is_some() {
            return Err(ColumnError::ChecksumMissing);
        }
        check_page_sizes(&bytes, reader.metadata())?;
    }
    let mut entries = Vec::new();
    for row in reader.get_row_iter(None)? {
        let row = row?;
        let payload = row.get_bytes(Column::Entry as usize)?.data();
        let entry: Entry = postcard::from_bytes(payload)?;
        if !is_consistent(&row, payload, &entry)? {
            return Err(ColumnError::Inconsistent { row: entries.len() });
        }
        entries.push(entry);
    }
    let row_count = reader.metadata().file_metadata().num_rows();
    if usize::try_from(row_count) != Ok(entries.len()) {
        return Err(ColumnError::RowCount { expected: row_count, found: entries.len() });
    }
    Ok(entries)
}

fn check_version(key_values: Option<&Vec<KeyValue>>) -> Result<(), ColumnError> {
    let version = find_value(key_values, VERSION_KEY);
    let number = version.and_then(|version| version.parse().ok());
    if number.is_some_and(|number| (OLDEST_VERSION..=VERSION).contains(&number)) {
        return Ok(());
    }
    Err(ColumnError::Version(version.unwrap_or("unknown").into()))
}

fn find_value<'a>(key_values: Option<&'a Vec<KeyValue>>, key: &str) -> Option<&'a str> {
    let pair = key_values?.iter().find(|pair| pair.key == key)?;
    pair.value.as_deref()
}

/// Whether the columns of a row agree with its entry, and `payload` is exactly the entry's encoding.
fn is_consistent(row: &Row, payload: &[u8], entry: &Entry) -> Result<bool, ColumnError> {
    let totals = EntryTotals::of(&entry.event);
    let stored_totals = EntryTotals {
        requests: row.get_long(Column::Requests as usize)?,
        failures: row.get_long(Column::Failures as usize)?,
        table_entries: row.get_long(Column::TableEntries as usize)?,
    };
    Ok(row.get_long(Column::At as usize)? == entry.at_us as i64
        && row.get_string(Column::Kind as usize)? == entry.event.kind()
        && row.get_string(Column::Name as usize)? == entry.event.name()
        && stored_totals == totals
        && postcard::to_stdvec(entry)? == payload)
}
