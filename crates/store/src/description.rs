//! Files as they are, for people.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::framing::{read_file, FileContent};
use crate::generation::is_store_file;

/// What the readable part of a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileSummary {
    /// Version of the content.
    pub version: u16,
    /// Generation of the file.
    pub generation: u64,
    /// Complete entries.
    pub entries: usize,
}

/// One file as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileDescription {
    /// Its name.
    pub file: String,
    /// Its size in bytes.
    pub size: usize,
    /// Its content; `None` if it cannot be read.
    pub summary: Option<FileSummary>,
    /// Bytes at its end that are no complete entry.
    pub trailing_bytes: usize,
}

/// Describes all snapshots and journals in a folder.
pub fn describe_files(disk: &impl Disk) -> Result<Vec<FileDescription>, StoreError> {
    let mut descriptions = Vec::new();
    for file in disk.list()?.into_iter().filter(|file| is_store_file(file)) {
        let bytes = disk.read(&file)?;
        let content = read_file(&bytes);
        let trailing_bytes = content.as_ref().map_or(bytes.len(), |content| content.trailing_bytes);
        let summary = content.as_ref().map(summarize);
        descriptions.push(FileDescription { file, size: bytes.len(), summary, trailing_bytes });
    }
    Ok(descriptions)
}

fn summarize(content: &FileContent) -> FileSummary {
    FileSummary {
        version: content.header.version,
        generation: content.header.generation,
        entries: content.frames.len(),
    }
}
