//! Errors of reading a log, and of converting journals to columnar files.

use crate::columns::ColumnError;
use crate::framing::JournalError;
use std::io;
use std::path::PathBuf;

/// A segment or folder that cannot be read, with its path.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A file system operation failed.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// The file is not a journal of a known version.
    #[error("{0}: {1}")]
    Journal(PathBuf, JournalError),
    /// The file is not a columnar segment of a known version.
    #[error("{0}: {1}")]
    Columns(PathBuf, ColumnError),
}

/// A closed journal that could not be converted to a columnar file. The journal is kept, and remains readable.
#[derive(Debug, thiserror::Error)]
pub enum ConversionError {
    /// The journal, or the columnar file just written, cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The journal has damaged bytes, which a columnar file could not hold.
    #[error("{}: {damaged_bytes} bytes of the journal are damaged", path.display())]
    Damaged {
        /// Path of the journal.
        path: PathBuf,
        /// Number of damaged bytes.
        damaged_bytes: usize,
    },
    /// The columnar file or its folder cannot be written, or the journal cannot be removed.
    #[error("{0}: {1}")]
    Write(PathBuf, io::Error),
    /// The entries cannot be encoded as a columnar file.
    #[error("{0}: {1}")]
    Encode(PathBuf, ColumnError),
    /// The entries that the columnar file reads back differ from those of the journal.
    #[error("{0}: the entries of the columnar file differ from those of its journal")]
    ReadBack(PathBuf),
}
