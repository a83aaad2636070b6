//! Errors of reading and writing stored state.

use std::io;

/// Why state could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file system operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A newer version of the program wrote the file. Opening fails, since going on would lose its content.
    #[error("{file} is of version {found}, and this program knows up to {known}")]
    NewerVersion {
        /// Name of the file.
        file: String,
        /// Version of its content.
        found: u16,
        /// Newest version that this program reads.
        known: u16,
    },
    /// The content cannot be encoded, or cannot be upgraded to the current version.
    #[error("{file}: {reason}")]
    Unusable {
        /// Name of the file, or of the part of a file.
        file: String,
        /// Why the content cannot be used.
        reason: String,
    },
    /// Nothing can be appended before the next snapshot: there was none since opening, or a write failed and left an
    /// unknown part on disk.
    #[error("what was written last is not known to be on disk")]
    JournalEndUnknown,
    /// An entry or a snapshot of this many bytes is larger than the reader accepts.
    #[error("{0} bytes are more than one entry may have")]
    TooLarge(usize),
}

/// Stored bytes do not decode to the expected type.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(#[from] postcard::Error);
