//! File format: magic bytes, a header frame, then content frames. Each frame has a length, a checksum and a body.

use crate::error::StoreError;
use serde::{Deserialize, Serialize};

/// Magic bytes at the start of every file.
const MAGIC: [u8; 4] = *b"RLST";
/// Size in bytes of a frame's length field, and of its checksum field.
const FIELD_SIZE: usize = 4;
/// Largest frame body, in bytes: far more than a NETCONF message with an edit may have (2 MiB), and enough for the
/// snapshot of a fleet of thousands of servers.
const MAX_FRAME_SIZE: usize = 64 << 20;

/// Whether a file is a snapshot or a journal. The order of the variants is part of the stored form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum FileKind {
    Snapshot,
    Journal,
}

/// Content of a file's first frame. The order of the fields is part of the stored form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub kind: FileKind,
    pub version: u16,
    pub generation: u64,
}

/// The readable part of a file.
pub(crate) struct FileContent {
    pub header: Header,
    /// Bodies of the frames after the header, up to the first incomplete or corrupt one.
    pub frames: Vec<Vec<u8>>,
    /// Bytes after the last of these frames.
    pub trailing_bytes: usize,
    /// Intact frames within the trailing bytes. If there are any, the bytes before them are damaged, and not just the
    /// incomplete end of a write.
    pub frames_after_damage: usize,
}

/// Appends a frame with this body to `out`.
pub(crate) fn write_frame(body: &[u8], out: &mut Vec<u8>) -> Result<(), StoreError> {
    if body.len() > MAX_FRAME_SIZE {
        return Err(StoreError::TooLarge(body.len()));
    }
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(body).to_le_bytes());
    out.extend_from_slice(body);
    Ok(())
}

/// Encodes the beginning of a file: the magic bytes and the header frame.
pub(crate) fn write_header(header: Header) -> Result<Vec<u8>, StoreError> {
    let unusable = |e: postcard::Error| StoreError::Unusable { file: "head".into(), reason: e.to_string() };
    let mut out = MAGIC.to_vec();
    write_frame(&postcard::to_stdvec(&header).map_err(unusable)?, &mut out)?;
    Ok(out)
}

/// Decodes a file up to its first incomplete or corrupt frame; `None` if that frame is the header.
pub(crate) fn read_file(bytes: &[u8]) -> Option<FileContent> {
    let after_magic = bytes.strip_prefix(&MAGIC)?;
    let (header, mut rest) = split_frame(after_magic)?;
    let header: Header = postcard::from_bytes(header).ok()?;
    let mut frames = Vec::new();
    while let Some((body, after)) = split_frame(rest) {
        frames.push(body.to_vec());
        rest = after;
    }
    let frames_after_damage = count_frames_after_damage(rest);
    Some(FileContent { header, frames, trailing_bytes: rest.len(), frames_after_damage })
}

/// Counts the intact frames after an unreadable one at the start of `bytes`. The damage may be in its length field, so
/// the next frame is searched for at every offset.
pub(crate) fn count_frames_after_damage(bytes: &[u8]) -> usize {
    let mut count = 0;
    let mut rest = bytes.get(1..).unwrap_or_default();
    while !rest.is_empty() {
        match split_frame(rest) {
            Some((_, after)) => {
                count += 1;
                rest = after;
            }
            None => rest = &rest[1..],
        }
    }
    count
}

/// Splits off the first frame and returns its body and the remaining bytes; `None` if the frame is incomplete or
/// corrupt.
fn split_frame(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let length = read_u32(bytes, 0)? as usize;
    let expected = read_u32(bytes, FIELD_SIZE)?;
    if length > MAX_FRAME_SIZE {
        return None;
    }
    let begin = 2 * FIELD_SIZE;
    let body = bytes.get(begin..begin + length)?;
    (checksum(body) == expected).then_some((body, &bytes[begin + length..]))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + FIELD_SIZE)?;
    Some(u32::from_le_bytes([field[0], field[1], field[2], field[3]]))
}

/// CRC-32 of the length and the body. The length is included so that a partly written one is detected.
fn checksum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
