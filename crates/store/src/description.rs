//! Descriptions of the files in a state folder, for operators.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::framing::{read_file, FileContent};
use crate::generation::is_store_file;

/// The header and entry count of a readable file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileSummary {
    /// Version of the stored content.
    pub version: u16,
    /// Generation according to the header, not the file name.
    pub generation: u64,
    /// Number of intact entries before the first damaged or incomplete one.
    pub entries: usize,
}

/// A snapshot or a journal, as found on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileDescription {
    /// Name of the file within its folder.
    pub file: String,
    /// Size of the file in bytes.
    pub size: usize,
    /// What the file holds; `None` if its header is corrupt.
    pub summary: Option<FileSummary>,
    /// Bytes from the first damaged or incomplete entry on; all bytes if the header is corrupt.
    pub trailing_bytes: usize,
}

/// Describes all snapshots and journals in a folder, also those that cannot be read. Incomplete snapshots (`.new`) and
/// corrupt files that were set aside (`.broken`) are among them.
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
