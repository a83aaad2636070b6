//! Closed segments as Parquet: a row an entry, with columns that other tools can ask, and the entry itself.

use crate::entry::{Entry, RecordedEvent, OLDEST, VERSION};
use parquet::basic::Compression;
use parquet::column::writer::ColumnWriter;
use parquet::data_type::ByteArray;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{ChunkReader, FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::RowAccessor;
use parquet::schema::parser::parse_message_type;
use std::io::Write;
use std::sync::Arc;

/// `at` in microseconds since the planner's start; `queries` and `failed` are what a report sums up to; `entry` is
/// the whole of it, as the journal has it.
const SCHEMA: &str = "message entry {
    REQUIRED INT64 at;
    REQUIRED BYTE_ARRAY kind (UTF8);
    REQUIRED BYTE_ARRAY name (UTF8);
    REQUIRED INT64 queries;
    REQUIRED INT64 failed;
    REQUIRED INT64 lines;
    REQUIRED BYTE_ARRAY entry;
}";

#[derive(Debug, thiserror::Error)]
pub enum ColumnError {
    #[error("{0}")]
    Parquet(#[from] parquet::errors::ParquetError),
    #[error("an entry cannot be read: {0}")]
    Entry(#[from] postcard::Error),
    #[error("its version is {0}, this build reads {OLDEST} to {VERSION}")]
    Version(String),
}

/// Queries, failed tries and lines of an entry.
pub fn sums(what: &RecordedEvent) -> (i64, i64, i64) {
    match what {
        RecordedEvent::Report { met, came, .. } => {
            let queries: u64 = came.iter().map(|c| c.queries).sum();
            let failed: u64 = met.iter().map(|m| m.failed).sum();
            (queries as i64, failed as i64, 0)
        }
        RecordedEvent::Turn { sent, .. } => (0, 0, sent.iter().map(|s| i64::from(s.lines)).sum()),
        _ => (0, 0, 0),
    }
}

/// Writes entries as one file.
pub fn write(entries: &[Entry], out: impl Write + Send) -> Result<(), ColumnError> {
    let schema = Arc::new(parse_message_type(SCHEMA)?);
    let version = KeyValue { key: "runloom.version".into(), value: Some(VERSION.to_string()) };
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .set_key_value_metadata(Some(vec![version]))
        .build();
    let mut writer = SerializedFileWriter::new(out, schema, Arc::new(properties))?;
    let mut group = writer.next_row_group()?;
    let payloads = entries.iter().map(postcard::to_stdvec).collect::<Result<Vec<_>, _>>()?;
    let numbers = |k: usize| -> Vec<i64> {
        let of = |e: &Entry| match (k, sums(&e.what)) {
            (0, _) => e.at as i64,
            (3, (queries, _, _)) => queries,
            (4, (_, failed, _)) => failed,
            (_, (_, _, lines)) => lines,
        };
        entries.iter().map(of).collect()
    };
    let texts = |k: usize| -> Vec<ByteArray> {
        match k {
            1 => entries.iter().map(|e| ByteArray::from(e.what.kind())).collect(),
            2 => entries.iter().map(|e| ByteArray::from(e.what.name())).collect(),
            _ => payloads.iter().map(|p| ByteArray::from(p.clone())).collect(),
        }
    };
    let mut place = 0;
    while let Some(mut column) = group.next_column()? {
        match column.untyped() {
            ColumnWriter::Int64ColumnWriter(w) => _ = w.write_batch(&numbers(place), None, None)?,
            ColumnWriter::ByteArrayColumnWriter(w) => _ = w.write_batch(&texts(place), None, None)?,
            _ => {}
        }
        column.close()?;
        place += 1;
    }
    group.close()?;
    writer.close()?;
    Ok(())
}

/// Reads a file that [`write`] wrote.
pub fn read(file: impl ChunkReader + 'static) -> Result<Vec<Entry>, ColumnError> {
    let reader = SerializedFileReader::new(file)?;
    let told = reader.metadata().file_metadata().key_value_metadata().cloned().unwrap_or_default();
    let version = told.into_iter().find(|kv| kv.key == "runloom.version").and_then(|kv| kv.value);
    let known =
        version.as_deref().and_then(|v| v.parse().ok()).is_some_and(|v| (OLDEST..=VERSION).contains(&v));
    if !known {
        return Err(ColumnError::Version(version.unwrap_or_else(|| "unknown".into())));
    }
    let mut entries = Vec::new();
    for row in reader.get_row_iter(None)? {
        entries.push(postcard::from_bytes(row?.get_bytes(6)?.data())?);
    }
    Ok(entries)
}
