//! Segments of a log: numbered files that are either journals or columnar.

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
/// Extension of a columnar file that is still being written.
const TEMPORARY_EXTENSION: &str = "making";

/// One segment of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Sequence number, from the file name.
    pub number: u64,
    /// Path of its file.
    pub path: PathBuf,
    /// Size of the file in bytes.
    pub size: u64,
    /// Whether the file is columnar; otherwise it is a journal.
    pub is_columnar: bool,
}

/// What was read from a segment.
#[derive(Debug, Default, PartialEq)]
pub struct SegmentContent {
    /// The readable entries, in sequence, with an [`EntriesLost`](crate::RecordedEvent::EntriesLost) for each damaged
    /// place.
    pub entries: Vec<Entry>,
    /// Bytes of an incomplete frame or header at the end of a journal.
    pub torn_bytes: usize,
    /// Number of damaged bytes in a journal.
    pub damaged_bytes: usize,
    /// Whether a checksum confirms the entries.
    pub integrity: Integrity,
}

/// Returns the path of the journal with this number.
pub(crate) fn journal_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:08}.{JOURNAL_EXTENSION}"))
}

/// Returns the path of the columnar file that a journal is converted to.
pub(crate) fn columnar_path(journal: &Path) -> PathBuf {
    journal.with_extension(COLUMNAR_EXTENSION)
}

/// Lists the segments of a folder in sequence. Incomplete columnar files are left out, since their journals still
/// exist.
pub fn list_segments(folder: &Path) -> io::Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for file in fs::read_dir(folder)? {
        segments.extend(parse_segment(&file?));
    }
    segments.sort_by_key(|segment| (segment.number, !segment.is_columnar));
    // If a segment is there in both forms, its planner was killed before it removed the journal.
    segments.dedup_by_key(|segment| segment.number);
    Ok(segments)
}

/// Identifies the segment that a file holds; `None` for other files.
fn parse_segment(file: &fs::DirEntry) -> Option<Segment> {
    let name = file.file_name().to_string_lossy().into_owned();
    let (stem, extension) = name.split_once('.')?;
    let number = stem.parse().ok()?;
    if extension != JOURNAL_EXTENSION && extension != COLUMNAR_EXTENSION {
        return None;
    }
    // The size is unknown if a running planner has converted and removed the journal by now. Its columnar file is read
    // then.
    let size = file.metadata().map_or(0, |metadata| metadata.len());
    Some(Segment { number, path: file.path(), size, is_columnar: extension == COLUMNAR_EXTENSION })
}

/// Reads all entries of a segment. Damage in a journal is no error: the intact entries around it are returned.
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

/// Returns the content of a journal, including the intact entries after damaged bytes.
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

/// Reads a segment that a running planner may have converted, or removed beyond its limits, since the folder was
/// listed; `None` if it was removed.
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

/// Converts a closed journal to a columnar file and returns its path. The journal is removed last, once the new file
/// has been read back and its name is on disk. A journal with damaged bytes is not converted.
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

/// Writes a columnar file to disk, and checks that it reads back the same entries.
fn write_columns(entries: &[Entry], path: &Path) -> Result<(), ConversionError> {
    let write_error = |e| ConversionError::Write(path.to_path_buf(), e);
    let encode_error = |e| ConversionError::Encode(path.to_path_buf(), e);
    let file = File::create(path).map_err(write_error)?;
    columns::write(entries, &file).map_err(encode_error)?;
    file.sync_all().map_err(write_error)?;
    let read_back = read_columns(path, File::open(path).map_err(write_error)?)?;
    if have_same_encoding(&read_back.entries, entries).map_err(|e| encode_error(e.into()))? {
        Ok(())
    } else {
        Err(ConversionError::ReadBack(path.to_path_buf()))
    }
}

/// Whether entries have the same stored form. Unlike `==`, this treats a NaN as equal to itself.
fn have_same_encoding(left: &[Entry], right: &[Entry]) -> Result<bool, postcard::Error> {
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

/// Gives a complete columnar file its final name, and syncs the folder so that the name survives a power cut.
fn publish_columns(temporary: &Path, columnar: &Path) -> io::Result<()> {
    fs::rename(temporary, columnar)?;
    let folder = columnar.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
