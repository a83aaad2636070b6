//! [`Store`]: writes snapshots and journal entries.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::framing::{write_frame, write_header, FileKind, Header};
use crate::generation::{list_files, list_temporary_files, temporary_name, FileId};
use crate::layout::Layout;
use crate::recovery::{recover, OpenedState, Recovered};

/// Generations that are kept: the newest, and the one before in case the newest is corrupt.
const KEPT_GENERATIONS: usize = 2;

/// One kind of state in a folder.
pub struct Store<D> {
    pub(crate) disk: D,
    layout: Layout,
    generation: u64,
    journal_bytes: usize,
    /// Whether it is known where the journal ends: not before the first snapshot, nor after a write that failed.
    is_journal_end_known: bool,
}

impl<D: Disk> Store<D> {
    /// Reads state back.
    ///
    /// A snapshot must follow before entries can be appended: nothing is written after an end that may be cut off.
    pub fn open(mut disk: D, layout: Layout) -> Result<(Store<D>, OpenedState), StoreError> {
        let Recovered { opened, generation } = recover(&mut disk, &layout)?;
        let store = Store { disk, layout, generation, journal_bytes: 0, is_journal_end_known: false };
        Ok((store, opened))
    }

    /// Replaces all state. On success it survives a power cut; on failure the earlier state does.
    pub fn snapshot(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.is_journal_end_known = false;
        // A number is not used again, even if this fails half way.
        self.generation += 1;
        let mut snapshot = write_header(self.header(FileKind::Snapshot))?;
        write_frame(state, &mut snapshot)?;
        // The journal comes first: a snapshot always has one.
        self.write_journal_header()?;
        self.write_snapshot(&snapshot)?;
        self.journal_bytes = 0;
        self.is_journal_end_known = true;
        // Files that cannot be removed do no harm.
        let _ = self.prune();
        Ok(())
    }

    fn write_journal_header(&mut self) -> Result<(), StoreError> {
        let journal = self.file_name(FileId::journal(self.generation));
        self.disk.create(&journal)?;
        self.disk.append(&journal, &write_header(self.header(FileKind::Journal))?)?;
        self.disk.sync(&journal)?;
        Ok(())
    }

    fn write_snapshot(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let file = self.file_name(FileId::snapshot(self.generation));
        let temporary = temporary_name(&file);
        self.disk.create(&temporary)?;
        self.disk.append(&temporary, bytes)?;
        self.disk.sync(&temporary)?;
        self.disk.rename(&temporary, &file)?;
        self.disk.sync_folder()?;
        Ok(())
    }

    /// Appends entries to the journal. On success they survive a power cut; on failure that is not known, and
    /// nothing can be appended before the next snapshot.
    pub fn append(&mut self, entries: &[Vec<u8>]) -> Result<(), StoreError> {
        if !self.is_journal_end_known {
            return Err(StoreError::JournalEndUnknown);
        }
        let mut bytes = Vec::new();
        for entry in entries {
            write_frame(entry, &mut bytes)?;
        }
        let journal = self.file_name(FileId::journal(self.generation));
        self.is_journal_end_known = false;
        self.disk.append(&journal, &bytes)?;
        self.disk.sync(&journal)?;
        self.is_journal_end_known = true;
        self.journal_bytes += bytes.len();
        Ok(())
    }

    /// Whether a snapshot is to come next: the journal is long, or its end is not known.
    pub fn needs_snapshot(&self) -> bool {
        !self.is_journal_end_known || self.journal_bytes > self.layout.max_journal_bytes
    }

    /// Removes files of old generations and incomplete snapshots, and returns their names.
    pub fn prune(&mut self) -> Result<Vec<String>, StoreError> {
        let files = list_files(&self.disk, self.layout.name)?;
        let is_snapshot = |id: &&FileId| id.kind == FileKind::Snapshot;
        let snapshots = files.keys().filter(is_snapshot).map(|id| id.generation);
        let oldest_kept = snapshots.rev().take(KEPT_GENERATIONS).min().unwrap_or(0);
        let old = files.iter().filter(|(id, _)| id.generation < oldest_kept);
        let mut removed: Vec<String> = old.map(|(_, file)| file.clone()).collect();
        removed.extend(list_temporary_files(&self.disk, self.layout.name)?);
        for file in &removed {
            self.disk.remove(file)?;
        }
        Ok(removed)
    }

    fn header(&self, kind: FileKind) -> Header {
        Header { kind, version: self.layout.version, generation: self.generation }
    }

    fn file_name(&self, id: FileId) -> String {
        id.file_name(self.layout.name)
    }
}
