//! Segments of a log: files named by number, either journals or columnar.

use crate::columns::{self, ColumnarContent, Integrity};
use crate::entry::Entry;
use crate::error::{ConversionError, ReadError};
use crate::framing::{self, DecodedJournal};
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Extension of a journal.
const JOURNAL_EXTENSION: &str = "journal";
/// Extension of a columnar file.
const COLUMNAR_EXTENSION: &str = "parquet";
/// Extension of a columnar file that is being written.
const TEMPORARY_EXTENSION: &str = "making";

/// One segment of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its number; segments are numbered in sequence.
    pub number: u64,
    /// Its file.
    pub path: PathBuf,
    /// Size of the file in bytes.
    pub size: u64,
    /// Whether it is columnar, and not a journal.
    pub is_columnar: bool,
}

/// A segment as it was read.
#[derive(Debug, Default, PartialEq)]
pub struct SegmentContent {
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Bytes at the end of a journal that are no complete entry.
    pub torn_bytes: usize,
    /// Bytes within a journal that are damaged; a loss stands in their place among the entries.
    pub damaged_bytes: usize,
    /// Whether the entries are known to be as they were written.
    pub integrity: Integrity,
}

/// The file of a journal.
pub(crate) fn journal_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:08}.{JOURNAL_EXTENSION}"))
}

/// The file of a journal once it is columnar.
pub(crate) fn columnar_path(journal: &Path) -> PathBuf {
    journal.with_extension(COLUMNAR_EXTENSION)
}

/// The segments of a folder in sequence. Columnar files that are not complete are left out: their journals are there.
pub fn list_segments(folder: &Path) -> io::Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for file in fs::read_dir(folder)? {
        segments.extend(to_segment(&file?));
    }
    segments.sort_by_key(|segment| (segment.number, !segment.is_columnar));
    // Both forms of one segment: its planner was killed before it could remove the journal.
    segments.dedup_by_key(|segment| segment.number);
    Ok(segments)
}

fn to_segment(file: &fs::DirEntry) -> Option<Segment> {
    let name = file.file_name().to_string_lossy().into_owned();
    let (stem, extension) = name.split_once('.')?;
    let number = stem.parse().ok()?;
    if extension != JOURNAL_EXTENSION && extension != COLUMNAR_EXTENSION {
        return None;
    }
    // A running planner may have made it columnar in the meantime: then it is there under its other name.
    let size = file.metadata().map_or(0, |metadata| metadata.len());
    Some(Segment { number, path: file.path(), size, is_columnar: extension == COLUMNAR_EXTENSION })
}

/// Reads one segment.
pub fn read_segment(segment: &Segment) -> Result<SegmentContent, ReadError> {
    let io_error = |e| ReadError::Io(segment.path.clone(), e);
    let mut file = File::open(&segment.path).map_err(io_error)?;
    if segment.is_columnar {
        let ColumnarContent { entries, integrity } = read_columns(&segment.path, file)?;
        return Ok(SegmentContent { entries, integrity, ..SegmentContent::default() });
    }
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(io_error)?;
    let journal = framing::decode_journal(&bytes).map_err(|e| ReadError::Journal(segment.path.clone(), e))?;
    Ok(journal_content(&bytes, journal))
}

/// The entries of a journal, with those behind damaged bytes.
fn journal_content(bytes: &[u8], journal: DecodedJournal) -> SegmentContent {
    let mut entries = journal.entries;
    if journal.complete_bytes == 0 {
        return SegmentContent { torn_bytes: journal.torn_bytes, ..SegmentContent::default() };
    }
    let last_at_us = entries.last().map_or(0, |entry| entry.at_us);
    let recovered = framing::recover_frames(&bytes[journal.complete_bytes..], last_at_us);
    entries.extend(recovered.entries);
    SegmentContent {
        entries,
        torn_bytes: recovered.torn_bytes,
        damaged_bytes: recovered.damaged_bytes,
        integrity: Integrity::Verified,
    }
}

fn read_columns(path: &Path, file: File) -> Result<ColumnarContent, ReadError> {
    columns::read_content(file).map_err(|e| ReadError::Columns(path.to_path_buf(), e))
}

/// Reads a segment of a running planner, which may have made it columnar, or removed it for its age, since the
/// folder was listed; `None` if it was removed.
pub(crate) fn read_live_segment(segment: &Segment) -> Result<Option<Vec<Entry>>, ReadError> {
    match read_segment(segment) {
        Ok(content) => Ok(Some(content.entries)),
        Err(ReadError::Io(path, e)) if e.kind() == io::ErrorKind::NotFound => {
            let path = columnar_path(&path);
            match File::open(&path) {
                Ok(file) => Ok(Some(read_columns(&path, file)?.entries)),
                Err(_) => Ok(None),
            }
        }
        Err(e) => Err(e),
    }
}

/// Makes a closed journal columnar and returns the new file. The journal is removed last, once the new file has been
/// read back and its name is on disk; a journal with damaged bytes is left as it is.
pub fn convert_to_columns(segment: &Segment) -> Result<PathBuf, ConversionError> {
    let content = read_segment(segment)?;
    if content.damaged_bytes > 0 {
        let damaged_bytes = content.damaged_bytes;
        return Err(ConversionError::Damaged { path: segment.path.clone(), damaged_bytes });
    }
    let temporary = segment.path.with_extension(TEMPORARY_EXTENSION);
    let columnar = columnar_path(&segment.path);
    let result = write_columns(&content.entries, &temporary).and_then(|()| {
        publish_columns(&temporary, &columnar).map_err(|e| ConversionError::Write(columnar.clone(), e))
    });
    if result.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    result?;
    fs::remove_file(&segment.path).map_err(|e| ConversionError::Write(segment.path.clone(), e))?;
    Ok(columnar)
}

/// Writes a columnar file to disk, and compares what it reads back.
fn write_columns(entries: &[Entry], path: &Path) -> Result<(), ConversionError> {
    let write_error = |e| ConversionError::Write(path.to_path_buf(), e);
    let encode_error = |e| ConversionError::Encode(path.to_path_buf(), e);
    let file = File::create(path).map_err(write_error)?;
    columns::write(entries, &file).map_err(encode_error)?;
    file.sync_all().map_err(write_error)?;
    let read_back = read_columns(path, File::open(path).map_err(write_error)?)?;
    if is_same(&read_back.entries, entries).map_err(|e| encode_error(e.into()))? {
        Ok(())
    } else {
        Err(ConversionError::ReadBack(path.to_path_buf()))
    }
}

/// Whether entries are stored alike; a NaN is equal to itself in that.
fn is_same(left: &[Entry], right: &[Entry]) -> Result<bool, postcard::Error> {
    if left.len() != right.len() {
        return Ok(false);
    }
    for (left, right) in left.iter().zip(right) {
        if postcard::to_stdvec(left)? != postcard::to_stdvec(right)? {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Gives a columnar file its name, which a power cut does not take back.
fn publish_columns(temporary: &Path, columnar: &Path) -> io::Result<()> {
    fs::rename(temporary, columnar)?;
    let folder = columnar.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
