//! Recovery: reads the newest intact snapshot and the journals since.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::framing::{count_frames_after_damage, read_file, FileContent, FileKind};
use crate::generation::{list_files, FileId};
use crate::layout::{Layout, UpgradeFn, VersionUpgrade};
use std::collections::BTreeMap;

/// State that was read back when the store was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OpenedState {
    /// Content of the newest intact snapshot; `None` if there is none.
    pub state: Option<Vec<u8>>,
    /// Journal entries since that snapshot, oldest first.
    pub entries: Vec<Vec<u8>>,
    /// Messages to operators about corrupt files that were renamed, copied or left out.
    pub notes: Vec<String>,
}

/// Result of [`recover`].
pub(crate) struct Recovered {
    pub opened: OpenedState,
    /// Newest generation of any file, intact or not; 0 if there is none.
    pub generation: u64,
}

/// Reads state back. Corrupt snapshots are renamed, and damaged journals are copied.
pub(crate) fn recover(disk: &mut impl Disk, layout: &Layout) -> Result<Recovered, StoreError> {
    let files = list_files(disk, layout.name)?;
    // Journals count too: even if a snapshot is lost or incomplete, the next one gets an unused generation.
    let generation = files.keys().map(|id| id.generation).max().unwrap_or(0);
    let mut recovery = Recovery { disk, layout, files, opened: OpenedState::default() };
    let snapshot_generation = recovery.read_newest_snapshot()?;
    // If a newer snapshot was corrupt, the journals since the older one hold the same changes.
    recovery.read_journals(snapshot_generation.unwrap_or(0))?;
    if snapshot_generation.is_none() && recovery.has_snapshot_files() {
        recovery.note("no snapshot could be read".into());
    }
    Ok(Recovered { opened: recovery.opened, generation })
}

struct Recovery<'a, D> {
    disk: &'a mut D,
    layout: &'a Layout,
    files: BTreeMap<FileId, String>,
    opened: OpenedState,
}

impl<D: Disk> Recovery<'_, D> {
    fn note(&mut self, note: String) {
        self.opened.notes.push(note);
    }

    fn has_snapshot_files(&self) -> bool {
        self.files.keys().any(|id| id.kind == FileKind::Snapshot)
    }

    fn files_of(&self, kind: FileKind) -> Vec<(FileId, String)> {
        let files = self.files.iter().filter(|(id, _)| id.kind == kind);
        files.map(|(id, file)| (*id, file.clone())).collect()
    }

    /// Reads the newest intact snapshot and returns its generation. Corrupt newer ones are renamed.
    fn read_newest_snapshot(&mut self) -> Result<Option<u64>, StoreError> {
        for (id, file) in self.files_of(FileKind::Snapshot).into_iter().rev() {
            match self.read(&file, id)? {
                Some(mut content) if content.frames.len() == 1 && content.trailing_bytes == 0 => {
                    let state = content.frames.remove(0);
                    let version = content.header.version;
                    let state = upgrade(self.layout, &file, version, state, |step| step.snapshot)?;
                    self.opened.state = Some(state);
                    return Ok(Some(id.generation));
                }
                _ => {
                    let broken_name = format!("{file}.broken");
                    self.disk.rename(&file, &broken_name)?;
                    self.note(format!("{file} is broken: set aside as {broken_name}"));
                }
            }
        }
        Ok(None)
    }

    fn read_journals(&mut self, first_generation: u64) -> Result<(), StoreError> {
        let journals = self.files_of(FileKind::Journal).into_iter();
        for (id, file) in journals.filter(|(id, _)| id.generation >= first_generation) {
            let Some(content) = self.read(&file, id)? else {
                match count_frames_after_damage(&self.disk.read(&file)?) {
                    0 => self.note(format!("{file} was cut off before its first entry")),
                    entries => self.keep_damaged_journal(&file, entries)?,
                }
                continue;
            };
            for entry in content.frames {
                let version = content.header.version;
                let entry = upgrade(self.layout, &file, version, entry, |step| step.entry)?;
                self.opened.entries.push(entry);
            }
            if content.frames_after_damage > 0 {
                self.keep_damaged_journal(&file, content.frames_after_damage)?;
            } else if content.trailing_bytes > 0 {
                self.note(format!("{file}: {} bytes at its end were cut off", content.trailing_bytes));
            }
        }
        Ok(())
    }

    /// Copies a damaged journal that has intact entries after the damage. They cannot be applied, since an earlier
    /// entry is lost, and without a copy they would be pruned with the journal.
    fn keep_damaged_journal(&mut self, file: &str, entries: usize) -> Result<(), StoreError> {
        let broken_name = format!("{file}.broken");
        let bytes = self.disk.read(file)?;
        self.disk.create(&broken_name)?;
        self.disk.append(&broken_name, &bytes)?;
        self.disk.sync(&broken_name)?;
        self.disk.sync_folder()?;
        self.note(format!(
            "{file} is broken: {entries} entries behind the damage are left out, and kept in {broken_name}"
        ));
        Ok(())
    }

    /// Reads a file; `None` if its header is corrupt, or does not match the kind and generation in the file name.
    fn read(&self, file: &str, id: FileId) -> Result<Option<FileContent>, StoreError> {
        let Some(content) = read_file(&self.disk.read(file)?) else { return Ok(None) };
        let header = content.header;
        if header.kind != id.kind || header.generation != id.generation {
            return Ok(None);
        }
        if header.version > self.layout.version {
            let (found, known) = (header.version, self.layout.version);
            return Err(StoreError::NewerVersion { file: file.into(), found, known });
        }
        Ok(Some(content))
    }
}

/// Upgrades bytes of `version` step by step to the layout's version.
fn upgrade(
    layout: &Layout,
    file: &str,
    version: u16,
    bytes: Vec<u8>,
    function: impl Fn(&VersionUpgrade) -> UpgradeFn,
) -> Result<Vec<u8>, StoreError> {
    let version = version.max(1);
    let steps = layout.upgrades.iter().skip(usize::from(version) - 1);
    let mut steps = steps.take(usize::from(layout.version - version));
    let unusable = |reason| StoreError::Unusable { file: file.into(), reason };
    steps.try_fold(bytes, |bytes, step| function(step)(bytes)).map_err(unusable)
}
