//! The checksum of a columnar file: bytes between Parquet's magic number and the first column, which no offset in the
//! footer refers to, so that every reader of Parquet skips them.
//!
//! It covers the footer too. A checksum in the footer, or Parquet's own ones of pages, would be found only by decoding
//! bytes that may be damaged.

use std::ops::Range;

/// Bytes of Parquet's magic number, with which a file begins.
const PARQUET_MAGIC_SIZE: usize = 4;
/// What tells a file with a checksum.
const MARKER: &[u8; 8] = b"runlcrc\n";
/// Bytes of a CRC-32.
const CRC_SIZE: usize = 4;
/// Where the marker stands in a file.
const MARKER_RANGE: Range<usize> = PARQUET_MAGIC_SIZE..PARQUET_MAGIC_SIZE + MARKER.len();
/// Where the checksum stands in a file.
const CRC_RANGE: Range<usize> = MARKER_RANGE.end..MARKER_RANGE.end + CRC_SIZE;

/// What the checksum of a file says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChecksumState {
    /// The file is as it was written.
    Valid,
    /// The file has changed since it was written.
    Mismatch {
        /// The checksum in the file.
        stored: u32,
        /// The checksum of its bytes.
        computed: u32,
    },
    /// The file has no checksum, as those of earlier builds.
    Absent,
}

/// The bytes to write behind the magic number; [`seal`] sets the checksum once the file is complete.
pub(super) fn placeholder() -> Vec<u8> {
    let mut bytes = MARKER.to_vec();
    bytes.resize(MARKER.len() + CRC_SIZE, 0);
    bytes
}

/// Sets the checksum of a complete file that has a placeholder.
pub(super) fn seal(file: &mut [u8]) {
    let checksum = compute(file);
    file[CRC_RANGE].copy_from_slice(&checksum.to_le_bytes());
}

/// Compares a file with its checksum.
pub(super) fn verify(file: &[u8]) -> ChecksumState {
    if file.get(MARKER_RANGE) != Some(MARKER) {
        return ChecksumState::Absent;
    }
    let Some(stored) = file.get(CRC_RANGE).and_then(|bytes| bytes.try_into().ok()) else {
        return ChecksumState::Absent;
    };
    let stored = u32::from_le_bytes(stored);
    let computed = compute(file);
    if stored == computed {
        ChecksumState::Valid
    } else {
        ChecksumState::Mismatch { stored, computed }
    }
}

/// CRC-32 of all bytes but those of the checksum itself.
fn compute(file: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file[..CRC_RANGE.start]);
    hasher.update(&file[CRC_RANGE.end..]);
    hasher.finalize()
}
