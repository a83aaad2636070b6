//! A disk in memory that may lose, truncate and reorder unsynced writes.

use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;

/// Content of a file: the bytes that survive a power cut, and those written since the last sync.
#[derive(Debug, Clone, Default)]
pub struct FlakyFile {
    pub synced: Vec<u8>,
    pub unsynced: Vec<u8>,
}

/// A change of the folder's names.
#[derive(Debug, Clone)]
pub enum NameChange {
    Create { name: String, file: usize },
    Rename { from: String, to: String },
    Remove { name: String },
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Create { name, file } => _ = names.insert(name.clone(), *file),
            NameChange::Rename { from, to } => {
                if let Some(file) = names.remove(from) {
                    names.insert(to.clone(), file);
                }
            }
            NameChange::Remove { name } => _ = names.remove(name),
        }
    }
}

/// How an operation fails.
enum Fault {
    /// An append writes half of its bytes, any other operation does nothing; the machine keeps running.
    HalfDone,
    /// The machine is off: this and all later operations do nothing.
    PowerCut,
}

/// A disk in memory. Until the folder is synced, any subset of the name changes may be missing after a power cut.
#[derive(Debug, Clone, Default)]
pub struct FlakyDisk {
    pub files: Vec<FlakyFile>,
    /// Index in `files` by name.
    pub names: BTreeMap<String, usize>,
    pub unsynced_changes: Vec<NameChange>,
    /// Number of operations so far that change the disk.
    pub operations: usize,
    /// All operations after this one fail without effect.
    pub power_cut_after: Option<usize>,
    /// Numbers of the operations that fail with [`Fault::HalfDone`], counted from 1.
    pub faulty_operations: Vec<usize>,
    pub synced_names: BTreeMap<String, usize>,
}

impl FlakyDisk {
    fn begin_operation(&mut self) -> Result<(), Fault> {
        self.operations += 1;
        match self.power_cut_after {
            Some(last) if self.operations > last => Err(Fault::PowerCut),
            _ if self.faulty_operations.contains(&self.operations) => Err(Fault::HalfDone),
            _ => Ok(()),
        }
    }

    fn change_names(&mut self, change: NameChange) -> io::Result<()> {
        self.begin_operation().map_err(|_| fault_error())?;
        change.apply(&mut self.names);
        self.unsynced_changes.push(change);
        Ok(())
    }

    fn file_index(&self, name: &str) -> io::Result<usize> {
        Ok(self.names.get(name).copied().ok_or(io::ErrorKind::NotFound)?)
    }

    /// Returns the disk after a power cut. The name changes whose bits are set in `surviving_changes` survive, and the
    /// first `surviving_bytes(file)` unsynced bytes of each file.
    pub fn after_power_cut(
        &self,
        surviving_changes: u32,
        surviving_bytes: impl Fn(usize) -> usize,
    ) -> FlakyDisk {
        let mut names = self.synced_names.clone();
        for (position, change) in self.unsynced_changes.iter().enumerate() {
            if surviving_changes & (1 << position) != 0 {
                change.apply(&mut names);
            }
        }
        let after_cut = |(index, file): (usize, &FlakyFile)| {
            let survivors = surviving_bytes(index).min(file.unsynced.len());
            let synced = [&file.synced[..], &file.unsynced[..survivors]].concat();
            FlakyFile { synced, unsynced: vec![] }
        };
        FlakyDisk {
            files: self.files.iter().enumerate().map(after_cut).collect(),
            names: names.clone(),
            synced_names: names,
            ..FlakyDisk::default()
        }
    }
}

fn fault_error() -> io::Error {
    io::Error::other("fault")
}

impl Disk for FlakyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let file = &self.files[self.file_index(name)?];
        Ok([&file.synced[..], &file.unsynced[..]].concat())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.files.push(FlakyFile::default());
        let file = self.files.len() - 1;
        self.change_names(NameChange::Create { name: name.to_string(), file })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let outcome = self.begin_operation();
        let file = self.file_index(name)?;
        let written = match outcome {
            Ok(()) => bytes,
            // A full disk takes only part of a write.
            Err(Fault::HalfDone) => &bytes[..bytes.len() / 2],
            Err(Fault::PowerCut) => &[],
        };
        self.files[file].unsynced.extend_from_slice(written);
        outcome.map_err(|_| fault_error())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation().map_err(|_| fault_error())?;
        let file = self.file_index(name)?;
        let FlakyFile { synced, unsynced } = &mut self.files[file];
        synced.append(unsynced);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.begin_operation().map_err(|_| fault_error())?;
        self.synced_names = self.names.clone();
        self.unsynced_changes.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.change_names(NameChange::Rename { from: from.to_string(), to: to.to_string() })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.change_names(NameChange::Remove { name: name.to_string() })
    }
}
