//! Segments of a log: files named by number, either journals or columnar.

use crate::columns::{self, ColumnarContent, Integrity};
use crate::entry::Entry;
use crate::error::ReadError;
use crate::framing;
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
        return Ok(SegmentContent { entries, torn_bytes: 0, integrity });
    }
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(io_error)?;
    let journal = framing::decode_journal(&bytes).map_err(|e| ReadError::Journal(segment.path.clone(), e))?;
    Ok(SegmentContent {
        entries: journal.entries,
        torn_bytes: journal.torn_bytes,
        integrity: Integrity::Verified,
    })
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

/// Makes a closed journal columnar and returns the new file. The journal is removed last.
pub fn convert_to_columns(segment: &Segment) -> Result<PathBuf, ReadError> {
    let io_error = |e| ReadError::Io(segment.path.clone(), e);
    let content = read_segment(segment)?;
    let temporary = segment.path.with_extension(TEMPORARY_EXTENSION);
    let columnar = columnar_path(&segment.path);
    let file = File::create(&temporary).map_err(io_error)?;
    columns::write(&content.entries, &file).map_err(|e| ReadError::Columns(temporary.clone(), e))?;
    file.sync_all().map_err(io_error)?;
    fs::rename(&temporary, &columnar).map_err(io_error)?;
    fs::remove_file(&segment.path).map_err(io_error)?;
    Ok(columnar)
}
