//! Names and versions of stored state.

/// Brings bytes of one version to the next.
pub type UpgradeFn = fn(Vec<u8>) -> Result<Vec<u8>, String>;

/// One step from a version to the next.
#[derive(Debug, Clone, Copy)]
pub struct VersionUpgrade {
    /// For a snapshot.
    pub snapshot: UpgradeFn,
    /// For an entry of the journal.
    pub entry: UpgradeFn,
}

/// How one kind of state is stored.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// First part of the files' names.
    pub name: &'static str,
    /// Version of what is written.
    pub version: u16,
    /// Steps for older versions; the first one leads from version 1 to 2.
    pub upgrades: &'static [VersionUpgrade],
    /// A journal with more bytes than this is to be followed by a snapshot.
    pub max_journal_bytes: usize,
}
