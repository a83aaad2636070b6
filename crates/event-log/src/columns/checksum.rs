//! The checksum of a columnar file. It is stored between Parquet's magic number and the first column. No offset in the
//! footer refers to this place, so all Parquet readers skip it.
//!
//! It covers the footer too. A checksum in the footer, or the page checksums of Parquet, could be found only by
//! decoding bytes that may be damaged.

use std::ops::Range;

/// Size in bytes of Parquet's magic number, with which a file begins.
const PARQUET_MAGIC_SIZE: usize = 4;
/// Marks a file that has a checksum.
const MARKER: &[u8; 8] = b"runlcrc\n";
/// Size of a CRC-32 in bytes.
const CRC_SIZE: usize = 4;
/// Position of the marker in a file.
const MARKER_RANGE: Range<usize> = PARQUET_MAGIC_SIZE..PARQUET_MAGIC_SIZE + MARKER.len();
/// Position of the checksum in a file.
const CRC_RANGE: Range<usize> = MARKER_RANGE.end..MARKER_RANGE.end + CRC_SIZE;

/// Result of comparing a file with its checksum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChecksumState {
    /// The checksum matches: the file is unchanged since it was written.
    Valid,
    /// The file has changed since it was written.
    Mismatch {
        /// Checksum stored in the file.
        stored: u32,
        /// Checksum computed from its bytes.
        computed: u32,
    },
    /// The file has no checksum, like those of earlier builds, or its marker is damaged.
    Absent,
}

/// The marker and a zero checksum, to be written after the magic number. [`fill_in`] sets the checksum once the file is
/// complete.
pub(super) fn placeholder() -> Vec<u8> {
    let mut bytes = MARKER.to_vec();
    bytes.resize(MARKER.len() + CRC_SIZE, 0);
    bytes
}

/// Sets the checksum of a complete file that was written with a [`placeholder`].
pub(super) fn fill_in(file: &mut [u8]) {
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

/// CRC-32 of all bytes except those of the checksum itself.
fn compute(file: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file[..CRC_RANGE.start]);
    hasher.update(&file[CRC_RANGE.end..]);
    hasher.finalize()
}
