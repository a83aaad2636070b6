//! Closed segments as Parquet files: a row for each entry, with columns that other tools can query and the encoded
//! entry itself.

mod checksum;
mod page_header;
mod panic_containment;
mod reading;

pub use reading::{read, read_content, ColumnarContent, Integrity};

use crate::entry::{Entry, RecordedEvent, OLDEST_VERSION, VERSION};
use parquet::basic::Compression;
use parquet::column::writer::ColumnWriter;
use parquet::data_type::ByteArray;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use std::io::{self, Write};
use std::sync::Arc;

/// `at` is in microseconds since the planner's start; `queries`, `failed` and `lines` are the requests, failures and
/// table entries of [`EntryTotals`]; `entry` is the entry in the journal's encoding.
const SCHEMA: &str = "message entry {
    REQUIRED INT64 at;
    REQUIRED BYTE_ARRAY kind (UTF8);
    REQUIRED BYTE_ARRAY name (UTF8);
    REQUIRED INT64 queries;
    REQUIRED INT64 failed;
    REQUIRED INT64 lines;
    REQUIRED BYTE_ARRAY entry;
}";

/// Columns of the schema. The order is that of [`SCHEMA`], since the variants serve as column indices.
#[derive(Debug, Clone, Copy)]
enum Column {
    At,
    Kind,
    Name,
    Requests,
    Failures,
    TableEntries,
    Entry,
}

/// All columns, in the order in which they are written.
const COLUMNS: [Column; 7] = [
    Column::At,
    Column::Kind,
    Column::Name,
    Column::Requests,
    Column::Failures,
    Column::TableEntries,
    Column::Entry,
];

/// Key of the version in the file metadata.
const VERSION_KEY: &str = "runloom.version";
/// Key of the checksum's kind in the file metadata. Without it, a file whose checksum marker is damaged would be
/// taken for one from an earlier build, which stored no checksum.
const CHECKSUM_KEY: &str = "runloom.checksum";
/// CRC-32 (IEEE) of all bytes except the four of the checksum itself.
const CHECKSUM_KIND: &str = "crc32";

/// A columnar file that cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ColumnError {
    /// The file is not Parquet with the expected schema.
    #[error("{0}")]
    Parquet(#[from] parquet::errors::ParquetError),
    /// The bytes of the file are not those that were written.
    #[error("damaged file: stored checksum {stored:08x}, computed checksum {computed:08x}")]
    Checksum {
        /// Checksum stored in the file.
        stored: u32,
        /// Checksum computed from its bytes.
        computed: u32,
    },
    /// The file was written with a checksum, but has none.
    #[error("damaged file: the checksum is missing")]
    ChecksumMissing,
    /// A page header cannot be decoded, or has a size that exceeds the file or the possible compression.
    #[error("damaged file: a page header has an impossible size")]
    PageSize,
    /// The number of rows differs from that in the metadata.
    #[error("damaged file: found {found} of {expected} rows")]
    RowCount {
        /// Number of rows according to the metadata.
        expected: i64,
        /// Number of rows that were read.
        found: usize,
    },
    /// The columns of a row contradict its entry.
    #[error("damaged file: the columns of row {row} contradict its entry")]
    Inconsistent {
        /// Index of the row, from 0.
        row: usize,
    },
    /// The Parquet library panicked, with this message.
    #[error("damaged file: the Parquet decoder panicked: {0}")]
    DecoderPanicked(String),
    /// The file could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An entry cannot be encoded, or a stored one cannot be decoded.
    #[error("an entry cannot be encoded or decoded: {0}")]
    Entry(#[from] postcard::Error),
    /// The file has a version that this build does not read.
    #[error("file version {0} is not supported; this build reads {OLDEST_VERSION} to {VERSION}")]
    Version(String),
}

/// Totals of an entry, each stored in a column of its own; 0 for kinds of entries that have no such total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryTotals {
    /// Requests that arrived, according to a report.
    pub requests: i64,
    /// Attempts that failed, according to a report.
    pub failures: i64,
    /// Table entries that a step sent to proxies.
    pub table_entries: i64,
}

impl EntryTotals {
    /// Computes the totals of an event.
    pub fn of(event: &RecordedEvent) -> EntryTotals {
        match event {
            RecordedEvent::Report { outcomes, arrivals, .. } => EntryTotals {
                requests: arrivals.iter().map(|arrivals| arrivals.requests).sum::<u64>() as i64,
                failures: outcomes.iter().map(|outcome| outcome.failures).sum::<u64>() as i64,
                table_entries: 0,
            },
            RecordedEvent::Step { sent, .. } => {
                let table_entries = sent.iter().map(|update| i64::from(update.entries)).sum();
                EntryTotals { table_entries, ..EntryTotals::default() }
            }
            _ => EntryTotals::default(),
        }
    }
}

/// Writes entries as one columnar file with a checksum.
pub fn write(entries: &[Entry], mut out: impl Write + Send) -> Result<(), ColumnError> {
    out.write_all(&encode(entries)?)?;
    Ok(())
}

fn encode(entries: &[Entry]) -> Result<Vec<u8>, ColumnError> {
    let schema = Arc::new(parse_message_type(SCHEMA)?);
    let mut file = Vec::new();
    let mut writer = SerializedFileWriter::new(&mut file, schema, Arc::new(properties()))?;
    writer.write_all(&checksum::placeholder())?;
    let mut group = writer.next_row_group()?;
    let payloads = entries.iter().map(postcard::to_stdvec).collect::<Result<Vec<_>, _>>()?;
    let mut columns = COLUMNS.iter();
    while let Some(mut writer) = group.next_column()? {
        let Some(column) = columns.next() else { break };
        match writer.untyped() {
            ColumnWriter::Int64ColumnWriter(writer) => {
                writer.write_batch(&integer_values(*column, entries), None, None)?;
            }
            ColumnWriter::ByteArrayColumnWriter(writer) => {
                writer.write_batch(&byte_array_values(*column, entries, &payloads), None, None)?;
            }
            _ => {}
        }
        writer.close()?;
    }
    group.close()?;
    writer.close()?;
    checksum::fill_in(&mut file);
    Ok(file)
}

fn properties() -> WriterProperties {
    let version = KeyValue { key: VERSION_KEY.into(), value: Some(VERSION.to_string()) };
    let checksum = KeyValue { key: CHECKSUM_KEY.into(), value: Some(CHECKSUM_KIND.into()) };
    WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .set_key_value_metadata(Some(vec![version, checksum]))
        .build()
}

fn integer_values(column: Column, entries: &[Entry]) -> Vec<i64> {
    let value = |entry: &Entry| {
        let totals = EntryTotals::of(&entry.event);
        match column {
            Column::At => entry.at_us as i64,
            Column::Requests => totals.requests,
            Column::Failures => totals.failures,
            _ => totals.table_entries,
        }
    };
    entries.iter().map(value).collect()
}

fn byte_array_values(column: Column, entries: &[Entry], payloads: &[Vec<u8>]) -> Vec<ByteArray> {
    match column {
        Column::Kind => entries.iter().map(|entry| ByteArray::from(entry.event.kind())).collect(),
        Column::Name => entries.iter().map(|entry| ByteArray::from(entry.event.name())).collect(),
        _ => payloads.iter().map(|payload| ByteArray::from(payload.clone())).collect(),
    }
}
