//! Closed segments as Parquet: a row for each entry, with columns that other tools can query, and the entry itself.

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

/// `at` is in microseconds since the planner's start; `queries`, `failed` and `lines` are the [`EntryTotals`];
/// `entry` is the entry as the journal has it.
const SCHEMA: &str = "message entry {
    REQUIRED INT64 at;
    REQUIRED BYTE_ARRAY kind (UTF8);
    REQUIRED BYTE_ARRAY name (UTF8);
    REQUIRED INT64 queries;
    REQUIRED INT64 failed;
    REQUIRED INT64 lines;
    REQUIRED BYTE_ARRAY entry;
}";

/// Columns of the schema, in its order.
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

const COLUMNS: [Column; 7] = [
    Column::At,
    Column::Kind,
    Column::Name,
    Column::Requests,
    Column::Failures,
    Column::TableEntries,
    Column::Entry,
];

/// Key of the version in a file's metadata.
const VERSION_KEY: &str = "runloom.version";
/// Key of the kind of checksum in a file's metadata. Without it, a file whose checksum is damaged beyond recognition
/// would pass for one of an earlier build.
const CHECKSUM_KEY: &str = "runloom.checksum";
/// CRC-32 (IEEE) of all bytes but its own four.
const CHECKSUM_KIND: &str = "crc32";

/// A columnar file that cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ColumnError {
    /// The file is not Parquet of the expected schema.
    #[error("{0}")]
    Parquet(#[from] parquet::errors::ParquetError),
    /// Its bytes are not those that were written.
    #[error("it is damaged: its checksum is {stored:08x}, that of its bytes is {computed:08x}")]
    Checksum {
        /// The checksum in the file.
        stored: u32,
        /// The checksum of its bytes.
        computed: u32,
    },
    /// It was written with a checksum, which is not there.
    #[error("it is damaged: its checksum is missing")]
    ChecksumMissing,
    /// A page claims a size that cannot be.
    #[error("it is damaged: a page header has an impossible size")]
    PageSize,
    /// It has another number of rows than it says.
    #[error("it is damaged: it has {found} rows of {expected}")]
    RowCount {
        /// The number in its metadata.
        expected: i64,
        /// The rows that were read.
        found: usize,
    },
    /// The columns of a row contradict its entry.
    #[error("it is damaged: the columns of row {row} contradict its entry")]
    Inconsistent {
        /// The row, from 0.
        row: usize,
    },
    /// The Parquet library panicked.
    #[error("it is damaged: the decoder gave up: {0}")]
    DecoderPanicked(String),
    /// It could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An entry in it is corrupt.
    #[error("an entry cannot be read: {0}")]
    Entry(#[from] postcard::Error),
    /// It is of a version that this build does not read.
    #[error("its version is {0}, this build reads {OLDEST_VERSION} to {VERSION}")]
    Version(String),
}

/// Totals of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryTotals {
    /// Requests that a report names as arrived.
    pub requests: i64,
    /// Failed attempts that a report names.
    pub failures: i64,
    /// Table entries that a step sent.
    pub table_entries: i64,
}

impl EntryTotals {
    /// The totals of an event.
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

/// Writes entries as one file, with a checksum.
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
                writer.write_batch(&integers(*column, entries), None, None)?;
            }
            ColumnWriter::ByteArrayColumnWriter(writer) => {
                writer.write_batch(&texts(*column, entries, &payloads), None, None)?;
            }
            _ => {}
        }
        writer.close()?;
    }
    group.close()?;
    writer.close()?;
    checksum::seal(&mut file);
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

fn integers(column: Column, entries: &[Entry]) -> Vec<i64> {
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

fn texts(column: Column, entries: &[Entry], payloads: &[Vec<u8>]) -> Vec<ByteArray> {
    match column {
        Column::Kind => entries.iter().map(|entry| ByteArray::from(entry.event.kind())).collect(),
        Column::Name => entries.iter().map(|entry| ByteArray::from(entry.event.name())).collect(),
        _ => payloads.iter().map(|payload| ByteArray::from(payload.clone())).collect(),
    }
}
