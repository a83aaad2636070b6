//! The files that a store needs, so that tests can take a disk that loses and reorders what was not synced.

use std::io;

/// Files of one folder, by name.
pub trait Disk {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's content.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, in place of one of that name.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content survive a power cut; its name needs [`Disk::sync_folder`].
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of files survive a power cut.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file, in place of one of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
