//! File names, versions and limits of one kind of stored state.

/// Converts stored bytes of one version to the next; fails with a reason for operators.
pub type UpgradeFn = fn(Vec<u8>) -> Result<Vec<u8>, String>;

/// The upgrade from one version to the next.
#[derive(Debug, Clone, Copy)]
pub struct VersionUpgrade {
    /// Upgrades the content of a snapshot.
    pub snapshot: UpgradeFn,
    /// Upgrades one journal entry.
    pub entry: UpgradeFn,
}

/// How one kind of state is stored, such as accepted edits.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// First part of the file names, before `.state.` or `.journal.`.
    pub name: &'static str,
    /// Version of newly written files, and the newest version that is read.
    pub version: u16,
    /// Upgrades for older versions in order; the first one leads from version 1 to 2.
    pub upgrades: &'static [VersionUpgrade],
    /// Once the journal is larger than this, [`crate::Store::needs_snapshot`] asks for a snapshot.
    pub max_journal_bytes: usize,
}
