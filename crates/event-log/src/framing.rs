//! The form of a journal: a header, then frames of length, checksum and entry. Free of I/O.

use crate::entry::{Entry, RecordedEvent, OLDEST_VERSION, VERSION};

/// The first bytes of a journal; the version follows.
const MAGIC: &[u8; 8] = b"runlrec\n";
/// Bytes of the header.
const HEADER_SIZE: usize = MAGIC.len() + FIELD_SIZE;
/// Bytes of the version, of a frame's length and of its checksum.
const FIELD_SIZE: usize = 4;
/// Bytes before a frame's entry.
const FRAME_PREFIX_SIZE: usize = 2 * FIELD_SIZE;
/// Largest entry, in bytes; that of a step with 592 complete tables has some 2 MB.
const MAX_ENTRY_SIZE: usize = 16 << 20;

/// A journal that cannot be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum JournalError {
    /// The file begins with something else.
    #[error("it is no journal")]
    NotAJournal,
    /// It is of a version that this build does not read.
    #[error("its version is {0}, this build reads {OLDEST_VERSION} to {VERSION}")]
    UnknownVersion(u32),
}

/// An entry that cannot be appended.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// It cannot be encoded.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// It has more bytes than a reader accepts.
    #[error("the entry has {0} bytes, a journal takes {MAX_ENTRY_SIZE}")]
    TooLarge(usize),
}

/// A journal as it was read.
#[derive(Debug, Default, PartialEq)]
pub struct DecodedJournal {
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Bytes of the header and of complete frames.
    pub complete_bytes: usize,
    /// Bytes after them: a frame that was not finished, or one that is corrupt.
    pub torn_bytes: usize,
}

/// What stands behind the first frame of a journal that cannot be read.
#[derive(Debug, Default, PartialEq)]
pub struct RecoveredFrames {
    /// The entries of the readable frames; each damaged place is an [`RecordedEvent::EntriesLost`] of an unknown number.
    pub entries: Vec<Entry>,
    /// Bytes of the damaged places.
    pub damaged_bytes: usize,
    /// Bytes at the end that are the beginning of a frame: its writer was killed.
    pub torn_bytes: usize,
}

/// The header of a journal.
pub fn header() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    out
}

/// Appends the frame of an entry; on failure `out` is unchanged.
pub fn append_frame(entry: &Entry, out: &mut Vec<u8>) -> Result<(), AppendError> {
    let begin = out.len();
    let body = begin + FRAME_PREFIX_SIZE;
    out.extend_from_slice(&[0; FRAME_PREFIX_SIZE]);
    let encoded = postcard::to_io(entry, &mut *out).map_err(AppendError::from).map(|_| ());
    let size = out.len() - body;
    let result = encoded.and_then(|()| check_entry_size(size));
    if result.is_err() {
        out.truncate(begin);
        return result;
    }
    let checksum = crc32fast::hash(&out[body..]);
    out[begin..begin + FIELD_SIZE].copy_from_slice(&(size as u32).to_le_bytes());
    out[begin + FIELD_SIZE..body].copy_from_slice(&checksum.to_le_bytes());
    Ok(())
}

fn check_entry_size(size: usize) -> Result<(), AppendError> {
    if size <= MAX_ENTRY_SIZE {
        Ok(())
    } else {
        Err(AppendError::TooLarge(size))
    }
}

/// Reads a journal up to its first frame that is incomplete or corrupt.
pub fn decode_journal(bytes: &[u8]) -> Result<DecodedJournal, JournalError> {
    if bytes.len() < HEADER_SIZE {
        return decode_incomplete_header(bytes);
    }
    if !bytes.starts_with(MAGIC) {
        return Err(JournalError::NotAJournal);
    }
    let version = read_u32(bytes, MAGIC.len()).unwrap_or_default();
    if !(OLDEST_VERSION..=VERSION).contains(&version) {
        return Err(JournalError::UnknownVersion(version));
    }
    let mut journal = DecodedJournal { complete_bytes: HEADER_SIZE, ..DecodedJournal::default() };
    while let Some((entry, size)) = decode_frame(&bytes[journal.complete_bytes..]) {
        journal.entries.push(entry);
        journal.complete_bytes += size;
    }
    journal.torn_bytes = bytes.len() - journal.complete_bytes;
    Ok(journal)
}

/// Finds the readable frames in what follows the last entry of [`decode_journal`], at `previous_at_us`.
///
/// A damaged length leaves no trace of where the next frame begins, so each byte is tried. A frame is one only if its
/// checksum is right.
pub fn recover_frames(bytes: &[u8], previous_at_us: u64) -> RecoveredFrames {
    let mut recovered = RecoveredFrames::default();
    let mut at_us = previous_at_us;
    let mut rest = bytes;
    while !rest.is_empty() {
        if let Some((entry, size)) = decode_frame(rest) {
            at_us = entry.at_us;
            recovered.entries.push(entry);
            rest = &rest[size..];
            continue;
        }
        let next = find_frame(rest);
        if next.is_none() && is_beginning_of_frame(rest) {
            recovered.torn_bytes = rest.len();
            break;
        }
        let damaged_bytes = next.unwrap_or(rest.len());
        recovered.damaged_bytes += damaged_bytes;
        recovered.entries.push(Entry { at_us, event: RecordedEvent::EntriesLost { entries: 0 } });
        rest = &rest[damaged_bytes..];
    }
    recovered
}

/// Where the next readable frame begins.
fn find_frame(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).find(|begin| decode_frame(&bytes[*begin..]).is_some())
}

/// Whether a frame begins here that was not written to its end. One whose body is complete has a damaged length.
fn is_beginning_of_frame(bytes: &[u8]) -> bool {
    let (Some(length), Some(checksum)) = (read_u32(bytes, 0), read_u32(bytes, FIELD_SIZE)) else {
        return true;
    };
    let length = length as usize;
    let body = &bytes[FRAME_PREFIX_SIZE..];
    length <= MAX_ENTRY_SIZE && length > body.len() && crc32fast::hash(body) != checksum
}

/// A journal whose writer was killed while it wrote the header: it has no entries.
fn decode_incomplete_header(bytes: &[u8]) -> Result<DecodedJournal, JournalError> {
    if header().starts_with(bytes) || bytes.starts_with(MAGIC) {
        Ok(DecodedJournal { torn_bytes: bytes.len(), ..DecodedJournal::default() })
    } else {
        Err(JournalError::NotAJournal)
    }
}

/// The first entry and the size of its frame; `None` if that is incomplete or corrupt.
fn decode_frame(bytes: &[u8]) -> Option<(Entry, usize)> {
    let length = read_u32(bytes, 0)? as usize;
    let checksum = read_u32(bytes, FIELD_SIZE)?;
    if length > MAX_ENTRY_SIZE {
        return None;
    }
    let size = FRAME_PREFIX_SIZE + length;
    let body = bytes.get(FRAME_PREFIX_SIZE..size)?;
    // Decoding ends at the first byte that makes no entry, where the checksum would take all of them.
    let entry = postcard::from_bytes(body).ok()?;
    (crc32fast::hash(body) == checksum).then_some((entry, size))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + FIELD_SIZE)?;
    Some(u32::from_le_bytes([field[0], field[1], field[2], field[3]]))
}
