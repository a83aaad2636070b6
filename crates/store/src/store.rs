//! [`Store`]: writes snapshots and journal entries, and removes old generations.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::framing::{write_frame, write_header, FileKind, Header};
use crate::generation::{list_files, list_temporary_files, temporary_name, FileId};
use crate::layout::Layout;
use crate::recovery::{recover, OpenedState, Recovered};

/// Number of generations that are kept: the newest one, and the previous one in case the newest is corrupt.
const KEPT_GENERATIONS: usize = 2;

/// The snapshots and journals of one kind of state in a folder.
pub struct Store<D> {
    pub(crate) disk: D,
    layout: Layout,
    generation: u64,
    journal_bytes: usize,
    /// Whether the end of the journal is known. It is not before the first snapshot, nor after a failed write.
    is_journal_end_known: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the store and reads its state back.
    ///
    /// A snapshot must be written before entries can be appended: the existing journal may end in an incomplete entry,
    /// and nothing may be written after that.
    pub fn open(mut disk: D, layout: Layout) -> Result<(Store<D>, OpenedState), StoreError> {
        let Recovered { opened, generation } = recover(&mut disk, &layout)?;
        let store = Store { disk, layout, generation, journal_bytes: 0, is_journal_end_known: false };
        Ok((store, opened))
    }

    /// Replaces all state, and starts a new generation. On success the new state survives a power cut; on failure the
    /// earlier one does.
    pub fn snapshot(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.is_journal_end_known = false;
        // A generation number is never reused, even if the snapshot fails half way.
        self.generation += 1;
        let mut snapshot = write_header(self.header(FileKind::Snapshot))?;
        write_frame(state, &mut snapshot)?;
        // The journal is created first, so that every snapshot has one.
        self.write_journal_header()?;
        self.write_snapshot(&snapshot)?;
        self.journal_bytes = 0;
        self.is_journal_end_known = true;
        // Old files that cannot be removed do no harm.
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

    /// Appends entries to the journal. On success they survive a power cut. After a failure they may or may not, and
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

    /// Whether a snapshot should be written next, because the journal is too long or its end is unknown.
    pub fn needs_snapshot(&self) -> bool {
        !self.is_journal_end_known || self.journal_bytes > self.layout.max_journal_bytes
    }

    /// Removes the files of old generations and incomplete snapshots, and returns their names.
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
