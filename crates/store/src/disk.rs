//! The file operations of a store, as a trait: tests use a disk that loses and reorders unsynced writes.

use std::io;

/// The files of one folder, accessed by name.
pub trait Disk {
    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the content of a file, synced or not.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an existing one of that name.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to an existing file. On failure, any part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content survive a power cut. Its name survives only after [`Disk::sync_folder`].
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names survive a power cut.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file, replacing an existing one of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; this survives a power cut only after [`Disk::sync_folder`].
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
