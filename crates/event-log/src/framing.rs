//! Journal format: a header, then frames of length, checksum and entry. Does no I/O.

use crate::entry::{Entry, RecordedEvent, OLDEST_VERSION, VERSION};

/// Magic bytes at the start of a journal, before the version.
const MAGIC: &[u8; 8] = b"runlrec\n";
/// Size of the header in bytes.
const HEADER_SIZE: usize = MAGIC.len() + FIELD_SIZE;
/// Size in bytes of the version, of a frame's length field and of its checksum field.
const FIELD_SIZE: usize = 4;
/// Size in bytes of a frame's length and checksum, which precede its entry.
const FRAME_PREFIX_SIZE: usize = 2 * FIELD_SIZE;
/// Largest encoded entry, in bytes. That of a step with 592 complete tables takes some 2 MB.
const MAX_ENTRY_SIZE: usize = 16 << 20;

/// A journal that cannot be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum JournalError {
    /// The file does not begin with the magic bytes.
    #[error("not a journal: the magic bytes are missing")]
    NotAJournal,
    /// The journal has a version that this build does not read.
    #[error("journal version {0} is not supported; this build reads {OLDEST_VERSION} to {VERSION}")]
    UnknownVersion(u32),
}

/// An entry that cannot be appended.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The entry cannot be encoded.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// The encoded entry has this many bytes, more than the reader accepts.
    #[error("an entry of {0} bytes exceeds the limit of {MAX_ENTRY_SIZE} bytes")]
    TooLarge(usize),
}

/// Readable part of a journal, up to the first incomplete or corrupt frame.
#[derive(Debug, Default, PartialEq)]
pub struct DecodedJournal {
    /// Entries of the intact frames.
    pub entries: Vec<Entry>,
    /// Size in bytes of the header and the intact frames.
    pub complete_bytes: usize,
    /// Bytes after these, beginning with an incomplete or corrupt frame.
    pub torn_bytes: usize,
}

/// What [`recover_frames`] finds after the first unreadable frame of a journal.
#[derive(Debug, Default, PartialEq)]
pub struct RecoveredFrames {
    /// Entries of the intact frames, with a [`RecordedEvent::EntriesLost`] of unknown number for each damaged place.
    pub entries: Vec<Entry>,
    /// Total size of the damaged places, in bytes.
    pub damaged_bytes: usize,
    /// Bytes at the end that are the beginning of a frame, whose writer was killed.
    pub torn_bytes: usize,
}

/// Encodes the header of a journal of the current version.
pub fn header() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    out
}

/// Encodes an entry as a frame and appends it to `out`, which is unchanged on failure.
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

/// Decodes a journal up to its first incomplete or corrupt frame.
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

/// Finds the intact frames in the bytes after those that [`decode_journal`] could read. `previous_at_us` is the time of
/// its last entry, and is used for a loss that directly follows it.
///
/// If a length is damaged, the start of the next frame is unknown, so a frame with a correct checksum is searched for
/// at every offset.
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
        if next.is_none() && is_incomplete_frame(rest) {
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

/// Returns the offset of the next intact frame, not counting one at offset 0.
fn find_frame(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).find(|begin| decode_frame(&bytes[*begin..]).is_some())
}

/// Whether the bytes are a frame that was not written to its end. If the checksum matches the body, the frame is
/// complete and its length is damaged.
fn is_incomplete_frame(bytes: &[u8]) -> bool {
    let (Some(length), Some(checksum)) = (read_u32(bytes, 0), read_u32(bytes, FIELD_SIZE)) else {
        return true;
    };
    let length = length as usize;
    let body = &bytes[FRAME_PREFIX_SIZE..];
    length <= MAX_ENTRY_SIZE && length > body.len() && crc32fast::hash(body) != checksum
}

/// Decodes a journal without entries, whose writer was killed while it wrote the header.
fn decode_incomplete_header(bytes: &[u8]) -> Result<DecodedJournal, JournalError> {
    if header().starts_with(bytes) || bytes.starts_with(MAGIC) {
        Ok(DecodedJournal { torn_bytes: bytes.len(), ..DecodedJournal::default() })
    } else {
        Err(JournalError::NotAJournal)
    }
}

/// Decodes the first frame: its entry and its size in bytes. `None` if it is incomplete or corrupt.
fn decode_frame(bytes: &[u8]) -> Option<(Entry, usize)> {
    let length = read_u32(bytes, 0)? as usize;
    let checksum = read_u32(bytes, FIELD_SIZE)?;
    if length > MAX_ENTRY_SIZE {
        return None;
    }
    let size = FRAME_PREFIX_SIZE + length;
    let body = bytes.get(FRAME_PREFIX_SIZE..size)?;
    // Decoding comes first since it stops at the first invalid byte, while the checksum has to read the whole body.
    let entry = postcard::from_bytes(body).ok()?;
    (crc32fast::hash(body) == checksum).then_some((entry, size))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + FIELD_SIZE)?;
    Some(u32::from_le_bytes([field[0], field[1], field[2], field[3]]))
}
