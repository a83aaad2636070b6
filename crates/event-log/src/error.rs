//! Errors of reading a log.

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
