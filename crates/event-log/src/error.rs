//! Errors of reading a log, and of making journals columnar.

use crate::columns::ColumnError;
use crate::framing::JournalError;
use std::io;
use std::path::PathBuf;

/// A segment or folder that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file system failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file is not a journal of a known version.
    #[error("{0}: {1}")]
    Journal(PathBuf, JournalError),
    /// The file is not a columnar segment of a known version.
    #[error("{0}: {1}")]
    Columns(PathBuf, ColumnError),
}

/// A closed journal that could not be made columnar. It stays, and is readable.
#[derive(Debug, thiserror::Error)]
pub enum ConversionError {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Some of its bytes are damaged: a columnar file would hold less than it.
    #[error("{}: {damaged_bytes} of its bytes are damaged", path.display())]
    Damaged {
        /// The journal.
        path: PathBuf,
        /// The damaged bytes.
        damaged_bytes: usize,
    },
    /// The columnar file or its folder cannot be written.
    #[error("{0}: {1}")]
    Write(PathBuf, io::Error),
    /// The columnar file cannot be made of its entries.
    #[error("{0}: {1}")]
    Encode(PathBuf, ColumnError),
    /// The columnar file reads back otherwise than it was written.
    #[error("{0}: it has other entries than its journal")]
    ReadBack(PathBuf),
}
