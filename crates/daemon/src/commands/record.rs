//! `runloom record`: prints a planner's event log.

use super::error::{file_error, CommandError};
use runloom_event_log::columns::{EntryTotals, Integrity};
use runloom_event_log::{list_segments, read_segment, Entry, Segment, SegmentContent};
use std::io::{self, Write};
use std::path::Path;

const MICROS_PER_SECOND: f64 = 1e6;

/// What to print of an event log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordView {
    /// The segments, one per line.
    Segments,
    /// The entries, one per line.
    Entries {
        /// Only entries of this kind.
        kind: Option<String>,
        /// Only entries about this proxy, server or edit.
        name: Option<String>,
    },
    /// The entries as JSON, one per line.
    Json,
}

/// Prints an event log. If any segment is corrupt, fails after all others are printed.
pub fn record(folder: &Path, view: &RecordView) -> Result<(), CommandError> {
    match write_record(folder, view, &mut io::stdout().lock()) {
        // The reader of a pipe has closed it, as `head` does.
        Err(CommandError::Io(error)) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}

fn write_record(folder: &Path, view: &RecordView, out: &mut impl Write) -> Result<(), CommandError> {
    let mut corrupt = 0;
    for segment in list_segments(folder).map_err(file_error(folder))? {
        match read_segment(&segment) {
            Ok(content) => {
                corrupt += usize::from(content.damaged_bytes > 0);
                write_segment(&segment, &content, view, out)?;
            }
            Err(error) => {
                corrupt += 1;
                writeln!(out, "{error}")?;
            }
        }
    }
    if corrupt == 0 {
        Ok(())
    } else {
        Err(CommandError::CorruptSegments { count: corrupt })
    }
}

fn write_segment(
    segment: &Segment,
    content: &SegmentContent,
    view: &RecordView,
    out: &mut impl Write,
) -> Result<(), CommandError> {
    match view {
        RecordView::Segments => write_summary(segment, content, out)?,
        RecordView::Entries { kind, name } => {
            let matches = |entry: &&Entry| {
                kind.as_ref().is_none_or(|kind| entry.event.kind() == kind)
                    && name.as_ref().is_none_or(|name| entry.event.name() == name)
            };
            for entry in content.entries.iter().filter(matches) {
                write_entry(entry, out)?;
            }
        }
        RecordView::Json => {
            for entry in &content.entries {
                writeln!(out, "{}", serde_json::to_string(entry)?)?;
            }
        }
    }
    Ok(())
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

fn write_summary(segment: &Segment, content: &SegmentContent, out: &mut impl Write) -> io::Result<()> {
    let entries = &content.entries;
    let kind = if segment.is_columnar { "parquet" } else { "journal" };
    let from = entries.first().map_or(0.0, |entry| seconds(entry.at_us));
    let to = entries.last().map_or(0.0, |entry| seconds(entry.at_us));
    let tail = match content.torn_bytes {
        0 => String::new(),
        bytes => format!(", torn tail of {bytes} bytes ignored"),
    };
    let damage = match content.damaged_bytes {
        0 => String::new(),
        bytes => format!(", {bytes} damaged bytes skipped"),
    };
    let integrity = match content.integrity {
        Integrity::Verified => "",
        Integrity::Unverified => ", not verified: it has no checksum",
    };
    writeln!(
        out,
        "{:08} {kind} {} bytes, {} entries, {from:.1} to {to:.1} s{damage}{tail}{integrity}",
        segment.number,
        segment.size,
        entries.len()
    )
}

fn write_entry(entry: &Entry, out: &mut impl Write) -> io::Result<()> {
    let EntryTotals { requests, failures, table_entries } = EntryTotals::of(&entry.event);
    let sums = format!("queries {requests} failed {failures} lines {table_entries}");
    writeln!(out, "{:>12.6} {:8} {:16} {sums}", seconds(entry.at_us), entry.event.kind(), entry.event.name())
}
