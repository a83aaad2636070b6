//! File names: `<name>.state.<generation>` for snapshots and `<name>.journal.<generation>` for journals, where `<name>`
//! is [`Layout::name`](crate::Layout::name).

use crate::disk::Disk;
use crate::framing::FileKind;
use std::collections::BTreeMap;
use std::io;

/// Extension of a snapshot that is still being written.
const TEMPORARY_EXTENSION: &str = ".new";

/// Kind and generation of a file, as encoded in its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FileId {
    pub kind: FileKind,
    pub generation: u64,
}

impl FileId {
    /// Identifies the snapshot of a generation.
    pub fn snapshot(generation: u64) -> FileId {
        FileId { kind: FileKind::Snapshot, generation }
    }

    /// Identifies the journal of a generation, which holds the entries since its snapshot.
    pub fn journal(generation: u64) -> FileId {
        FileId { kind: FileKind::Journal, generation }
    }

    /// Returns the file name for the layout with this name.
    pub fn file_name(self, name: &str) -> String {
        let kind = match self.kind {
            FileKind::Snapshot => "state",
            FileKind::Journal => "journal",
        };
        format!("{name}.{kind}.{}", self.generation)
    }

    /// Parses a file name; `None` for files of other layouts, temporary files and `.broken` files.
    fn parse(file: &str, name: &str) -> Option<FileId> {
        let (kind, generation) = file.strip_prefix(name)?.strip_prefix('.')?.split_once('.')?;
        let kind = match kind {
            "state" => FileKind::Snapshot,
            "journal" => FileKind::Journal,
            _ => return None,
        };
        Some(FileId { kind, generation: generation.parse().ok()? })
    }
}

/// Lists the snapshots and journals of the layout with this name.
pub(crate) fn list_files(disk: &impl Disk, name: &str) -> io::Result<BTreeMap<FileId, String>> {
    let files = disk.list()?.into_iter();
    Ok(files.filter_map(|file| Some((FileId::parse(&file, name)?, file))).collect())
}

/// Returns the name of a snapshot while it is being written.
pub(crate) fn temporary_name(file: &str) -> String {
    format!("{file}{TEMPORARY_EXTENSION}")
}

/// Lists the incomplete snapshots of the layout with this name.
pub(crate) fn list_temporary_files(disk: &impl Disk, name: &str) -> io::Result<Vec<String>> {
    let prefix = format!("{name}.");
    let is_temporary = |file: &String| file.starts_with(&prefix) && file.ends_with(TEMPORARY_EXTENSION);
    Ok(disk.list()?.into_iter().filter(is_temporary).collect())
}

/// Whether a file is named like a snapshot or a journal of any layout, also with `.new` or `.broken` at the end.
pub(crate) fn is_store_file(file: &str) -> bool {
    file.contains(".state.") || file.contains(".journal.")
}
