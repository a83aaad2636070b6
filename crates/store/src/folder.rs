//! [`Folder`]: a [`Disk`] in a directory of the file system, and the lock that one process holds on it.

use crate::disk::Disk;
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Name of the file in the folder that is locked.
const LOCK_FILE: &str = "lock";

/// An exclusive lock on a folder, released when dropped. Without it, two planners on one folder would each undo what
/// the other accepted.
#[derive(Debug)]
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks a folder, creating it if needed. Fails with [`io::ErrorKind::AddrInUse`] if another process holds the
    /// lock.
    pub fn acquire(folder: &Path) -> io::Result<FolderLock> {
        fs::create_dir_all(folder)?;
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE))?;
        flock(&file, FlockOperation::NonBlockingLockExclusive).map_err(|error| match error {
            Errno::WOULDBLOCK => {
                let in_use = format!("{}: another process has this folder", folder.display());
                io::Error::new(io::ErrorKind::AddrInUse, in_use)
            }
            other => other.into(),
        })?;
        Ok(FolderLock { _file: file })
    }
}

/// A directory of the file system, with the files in it that are open for writing.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open_files: BTreeMap<String, File>,
    is_read_only: bool,
}

impl Folder {
    /// Opens a folder, creating it if needed.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder { path: path.to_path_buf(), open_files: BTreeMap::new(), is_read_only: false })
    }

    /// Opens an existing folder for reading. Renames succeed without effect, so that recovery can report a corrupt
    /// snapshot. Creating and removing files fails, and so does the recovery of a journal with entries after damage,
    /// since it copies the journal.
    pub fn open_read_only(path: &Path) -> io::Result<Folder> {
        fs::read_dir(path)?;
        Ok(Folder { path: path.to_path_buf(), open_files: BTreeMap::new(), is_read_only: true })
    }

    /// Returns a file that is open for writing.
    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open_files.get_mut(name).ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, name.to_string()))
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.is_read_only {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        // Files are written one after the other; an earlier one is reopened if it is appended to again.
        self.open_files.clear();
        let file = File::create(self.path.join(name))?;
        self.open_files.insert(name.to_string(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open_files.insert(name.to_string(), file);
        }
        self.open_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        let file = self.open_file(name)?;
        file.sync_data()?;
        // Writes to a file that was removed, or whose folder was replaced, succeed but are lost.
        let open_file = file.metadata()?;
        let file_at_path = fs::metadata(&path)?;
        if (open_file.dev(), open_file.ino()) != (file_at_path.dev(), file_at_path.ino()) {
            return Err(io::Error::new(io::ErrorKind::NotFound, format!("{} was replaced", path.display())));
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.is_read_only {
            return Ok(());
        }
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.is_read_only {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }
}
