//! Errors of the store.

use std::io;

/// Why state could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A newer version of the program wrote the file; its content would be lost if this one went on.
    #[error("{file} is of version {found}, and this program knows up to {known}")]
    NewerVersion {
        /// The file.
        file: String,
        /// The version of its content.
        found: u16,
        /// The newest version that this program reads.
        known: u16,
    },
    /// The content cannot be used.
    #[error("{file}: {reason}")]
    Unusable {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// An earlier write failed, and what is on disk is not known: a snapshot has to come first.
    #[error("what was written last is not known to be on disk")]
    JournalEndUnknown,
    /// An entry is larger than can be read back.
    #[error("{0} bytes are more than one entry may have")]
    TooLarge(usize),
}

/// Stored bytes are not of the expected form.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(#[from] postcard::Error);
