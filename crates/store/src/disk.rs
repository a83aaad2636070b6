//! The way to files: a folder, or in tests one that loses and reorders what was not synced.

use rustix::fs::{flock, FlockOperation};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Files of one folder, by name.
pub trait Disk {
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a file that is empty, in place of one that was there.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Once this returns, a file's content is there after a power cut; its name only by [`Disk::sync_folder`].
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Two planners on one folder would each undo what the other accepted.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

impl Lock {
    /// Takes the folder for this process, for as long as it lives. An error if another one has it.
    pub fn take(folder: &Path) -> io::Result<Lock> {
        fs::create_dir_all(folder)?;
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        flock(&file, FlockOperation::NonBlockingLockExclusive).map_err(|e| {
            let in_use = format!("{}: another process has this folder", folder.display());
            match e {
                rustix::io::Errno::WOULDBLOCK => io::Error::new(io::ErrorKind::AddrInUse, in_use),
                other => other.into(),
            }
        })?;
        Ok(Lock { _file: file })
    }
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: BTreeMap<String, File>,
    /// Somebody else's: it is read, and nothing in it is moved.
    read_only: bool,
}

impl Folder {
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder { path: path.to_path_buf(), open: BTreeMap::new(), read_only: false })
    }

    /// The folder as it is, for readers: none is made, and what is broken stays where it is.
    pub fn there(path: &Path) -> io::Result<Folder> {
        fs::read_dir(path)?;
        Ok(Folder { path: path.to_path_buf(), open: BTreeMap::new(), read_only: true })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open.get_mut(name).ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, name.to_string()))
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
        if self.read_only {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        // One file is written at a time: those before are finished.
        self.open.clear();
        let file = File::create(self.path.join(name))?;
        self.open.insert(name.to_string(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open.insert(name.to_string(), file);
        }
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let place = self.path.join(name);
        let file = self.file(name)?;
        file.sync_data()?;
        // Who writes to a file that was removed, or whose folder was replaced, keeps nothing.
        let (ours, there) = (file.metadata()?, fs::metadata(&place)?);
        if (ours.dev(), ours.ino()) != (there.dev(), there.ino()) {
            return Err(io::Error::new(io::ErrorKind::NotFound, format!("{} was replaced", place.display())));
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        match self.read_only {
            true => Ok(()),
            false => fs::rename(self.path.join(from), self.path.join(to)),
        }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }
}
