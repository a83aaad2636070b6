//! Reads back the newest snapshot that is intact, and the journals since.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::framing::{count_frames_behind_damage, read_file, FileContent, FileKind};
use crate::generation::{list_files, FileId};
use crate::layout::{Layout, UpgradeFn, VersionUpgrade};
use std::collections::BTreeMap;

/// State as it was read back.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OpenedState {
    /// The snapshot; `None` if there is none.
    pub state: Option<Vec<u8>>,
    /// Entries since the snapshot, oldest first.
    pub entries: Vec<Vec<u8>>,
    /// What was corrupt and was set aside or left out, for people.
    pub notes: Vec<String>,
}

/// State that was read back, and the newest generation of its files.
pub(crate) struct Recovered {
    pub opened: OpenedState,
    pub generation: u64,
}

/// Reads state back. Corrupt snapshots are renamed.
pub(crate) fn recover(disk: &mut impl Disk, layout: &Layout) -> Result<Recovered, StoreError> {
    let files = list_files(disk, layout.name)?;
    // Whatever is left of an earlier snapshot, the next one gets a new number.
    let generation = files.keys().map(|id| id.generation).max().unwrap_or(0);
    let mut recovery = Recovery { disk, layout, files, opened: OpenedState::default() };
    let snapshot_generation = recovery.read_newest_snapshot()?;
    // A corrupt newer snapshot is made up for by the journals since the older one.
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

    /// Reads the newest snapshot that is intact, sets corrupt ones aside, and returns its generation.
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
                    let aside = format!("{file}.broken");
                    self.disk.rename(&file, &aside)?;
                    self.note(format!("{file} is broken: set aside as {aside}"));
                }
            }
        }
        Ok(None)
    }

    fn read_journals(&mut self, first_generation: u64) -> Result<(), StoreError> {
        let journals = self.files_of(FileKind::Journal).into_iter();
        for (id, file) in journals.filter(|(id, _)| id.generation >= first_generation) {
            let Some(content) = self.read(&file, id)? else {
                match count_frames_behind_damage(&self.disk.read(&file)?) {
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
            if content.frames_behind_damage > 0 {
                self.keep_damaged_journal(&file, content.frames_behind_damage)?;
            } else if content.trailing_bytes > 0 {
                self.note(format!("{file}: {} bytes at its end were cut off", content.trailing_bytes));
            }
        }
        Ok(())
    }

    /// Copies a journal with entries that cannot be applied, since one before them is lost: it is pruned otherwise.
    fn keep_damaged_journal(&mut self, file: &str, entries: usize) -> Result<(), StoreError> {
        let aside = format!("{file}.broken");
        let bytes = self.disk.read(file)?;
        self.disk.create(&aside)?;
        self.disk.append(&aside, &bytes)?;
        self.disk.sync(&aside)?;
        self.disk.sync_folder()?;
        self.note(format!(
            "{file} is broken: {entries} entries behind the damage are left out, and kept in {aside}"
        ));
        Ok(())
    }

    /// Reads a file; `None` if its header is corrupt or that of another file.
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

/// Brings bytes of `version` to the layout's version.
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
