//! A folder of the file system, and its lock.

use crate::disk::Disk;
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Name of the file that is locked.
const LOCK_FILE: &str = "lock";

/// A folder that is locked by this process: two planners on one folder would each undo what the other accepted.
#[derive(Debug)]
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks a folder, which is created if it does not exist. Fails with [`io::ErrorKind::AddrInUse`] if another
    /// process has locked it.
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

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open_files: BTreeMap<String, File>,
    is_read_only: bool,
}

impl Folder {
    /// Opens a folder, which is created if it does not exist.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder { path: path.to_path_buf(), open_files: BTreeMap::new(), is_read_only: false })
    }

    /// Opens an existing folder for reading: renames do nothing, and other changes fail.
    pub fn open_read_only(path: &Path) -> io::Result<Folder> {
        fs::read_dir(path)?;
        Ok(Folder { path: path.to_path_buf(), open_files: BTreeMap::new(), is_read_only: true })
    }

    /// A file that is open for writing.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
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
        // Files are written one after the other.
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
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        let file = self.file(name)?;
        file.sync_data()?;
        // What is written to a file that was removed, or whose folder was replaced, is lost.
        let written = file.metadata()?;
        let named = fs::metadata(&path)?;
        if (written.dev(), written.ino()) != (named.dev(), named.ino()) {
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
