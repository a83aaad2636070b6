//! Durable state of a planner: a folder with numbered snapshots, each followed by a journal of later changes.
//!
//! A power cut may lose, truncate or reorder writes that were not synced. State that [`Store::snapshot`] or
//! [`Store::append`] confirmed is still read back, each entry once and in order. Files are versioned and checksummed,
//! and two generations are kept. All file access goes through [`Disk`].

mod accepted_state;
mod description;
mod disk;
mod error;
mod folder;
mod framing;
mod generation;
mod layout;
mod learned_servers;
mod recovery;
mod store;

pub use accepted_state::{
    chunk_entries, AcceptedEdit, AcceptedState, EntrySource, ListChunk, PatchError, StatePatch,
};
pub use description::{describe_files, FileDescription, FileSummary};
pub use disk::Disk;
pub use error::{DecodeError, StoreError};
pub use folder::{Folder, FolderLock};
pub use layout::{Layout, UpgradeFn, VersionUpgrade};
pub use learned_servers::{LearnedServer, LearnedServers, WarmStartHint};
pub use recovery::OpenedState;
pub use store::Store;

#[cfg(test)]
mod tests;
