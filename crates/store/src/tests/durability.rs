//! Tests that confirmed entries are read back, once and in order, after power cuts and failed writes.

use super::flaky_disk::FlakyDisk;
use crate::disk::Disk;
use crate::{Layout, OpenedState, Store, StoreError, VersionUpgrade};
use proptest::prelude::*;

pub const LAYOUT: Layout = Layout {
    name: "edits",
    version: 2,
    upgrades: &[VersionUpgrade { snapshot: unchanged, entry: unchanged }],
    max_journal_bytes: 60,
};

fn unchanged(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
    Ok(bytes)
}

/// The state after all entries are applied. In these tests an entry is a number, and the state is the list of numbers.
pub fn replay(opened: &OpenedState) -> Vec<u8> {
    let mut state = opened.state.clone().unwrap_or_default();
    for entry in &opened.entries {
        state.extend_from_slice(entry);
    }
    state
}

/// Result of writing batches to a disk.
struct WriteOutcome {
    disk: FlakyDisk,
    /// Numbers that the store confirmed.
    confirmed: Vec<u8>,
    /// Numbers of the batch that failed last; any prefix of them may be on disk.
    unconfirmed: Vec<u8>,
}

/// Writes batches with these counts of numbers, as a planner does: a failed batch is rolled back, and a snapshot is
/// written before the next one.
fn write_batches(disk: FlakyDisk, batches: &[usize]) -> WriteOutcome {
    let Ok((mut store, opened)) = Store::open(disk, LAYOUT) else { panic!("the disk is empty") };
    assert_eq!(opened, OpenedState::default());
    let mut confirmed = vec![];
    let mut unconfirmed = vec![];
    let mut next = 0u8;
    for count in batches {
        if store.needs_snapshot() {
            if store.snapshot(&confirmed).is_err() {
                continue;
            }
            unconfirmed.clear();
        }
        let entries: Vec<Vec<u8>> = (0..*count).map(|k| vec![next + k as u8]).collect();
        next += *count as u8;
        match store.append(&entries) {
            Ok(()) => confirmed.extend(entries.concat()),
            Err(_) => unconfirmed = entries.concat(),
        }
    }
    WriteOutcome { disk: store.disk, confirmed, unconfirmed }
}

impl WriteOutcome {
    /// Asserts that a disk has all confirmed numbers, once and in order, followed by at most a prefix of the failed
    /// batch.
    fn assert_durable(&self, disk: FlakyDisk, case: impl std::fmt::Display) {
        let (_, opened) = Store::open(disk, LAYOUT).unwrap_or_else(|e| panic!("{case}: {e}"));
        let state = replay(&opened);
        let confirmed = &self.confirmed;
        let rest = state.strip_prefix(&confirmed[..]);
        let rest = rest.unwrap_or_else(|| panic!("{case}: {state:?} for {confirmed:?}"));
        let unconfirmed = &self.unconfirmed;
        assert!(unconfirmed.starts_with(rest), "{case}: {state:?} for {confirmed:?} and {unconfirmed:?}");
    }

    /// Asserts the same after each power cut that is possible now: any subset of the unsynced name changes survives,
    /// any number of one file's unsynced bytes, and none or all of those of the other files. Returns the number of
    /// cases.
    fn assert_durable_after_all_power_cuts(&self, operation: usize) -> usize {
        let mut cases = 0;
        for changes in 0..1u32 << self.disk.unsynced_changes.len() {
            for (cut_file, length) in self.cut_files() {
                for others in [0, usize::MAX] {
                    let surviving_bytes = |file| if file == cut_file { length } else { others };
                    let case = format!(
                        "cut at {operation}, names {changes:b}, file {cut_file} at {length}, others {others}"
                    );
                    self.assert_durable(self.disk.after_power_cut(changes, surviving_bytes), case);
                    cases += 1;
                }
            }
        }
        cases
    }

    /// Each file with unsynced bytes, paired with each number of them that may survive; the last pair is no file.
    fn cut_files(&self) -> Vec<(usize, usize)> {
        let mut cuts = Vec::new();
        for (file, content) in self.disk.files.iter().enumerate() {
            if !content.unsynced.is_empty() {
                cuts.extend((0..=content.unsynced.len()).map(|length| (file, length)));
            }
        }
        cuts.push((usize::MAX, 0));
        cuts
    }
}

/// Cuts the power at each operation of a history with three snapshots.
#[test]
fn confirmed_entries_survive_every_power_cut_exactly_once() {
    let batches = [1, 2, 3, 1, 5, 2, 1, 6, 1, 3, 2, 4, 1, 1, 2, 5, 3, 1];
    let operations = write_batches(FlakyDisk::default(), &batches).disk.operations;
    let mut cases = 0;
    let mut with_third_snapshot = 0;
    for operation in 0..=operations {
        let disk = FlakyDisk { power_cut_after: Some(operation), ..FlakyDisk::default() };
        let written = write_batches(disk, &batches);
        with_third_snapshot += usize::from(written.disk.names.contains_key("edits.state.3"));
        cases += written.assert_durable_after_all_power_cuts(operation);
    }
    assert!(cases > 4_000, "{cases} cases");
    assert!(with_third_snapshot > 10, "{with_third_snapshot} with a third snapshot");
}

proptest! {
    /// Some operations fail half way while the machine keeps running (a full disk, a failed sync); then the power is
    /// cut.
    #[test]
    fn faults_lose_nothing_that_was_confirmed(
        batches in prop::collection::vec(1usize..4, 1..25),
        faulty_operations in prop::collection::vec(1usize..120, 0..12),
        power_cut_after in prop::option::of(1usize..120),
        changes: u32,
        length in 0usize..200,
    ) {
        let disk = FlakyDisk { faulty_operations, power_cut_after, ..FlakyDisk::default() };
        let written = write_batches(disk, &batches);
        written.assert_durable(written.disk.after_power_cut(changes, |_| length), "faults");
        written.assert_durable(written.disk.after_power_cut(u32::MAX, |_| usize::MAX), "all written");
    }

    /// Arbitrary bytes replace the end of a file: nothing panics, and nothing is read that was not written.
    #[test]
    fn arbitrary_bytes_in_a_file_are_tolerated(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        at in 0usize..100,
        in_journal: bool,
    ) {
        let WriteOutcome { mut disk, confirmed, .. } = write_batches(FlakyDisk::default(), &[2, 2]);
        let file = disk.names[if in_journal { "edits.journal.1" } else { "edits.state.1" }];
        let content = &mut disk.files[file].synced;
        let at = at.min(content.len());
        content.splice(at.., bytes);
        if let Ok((_, opened)) = Store::open(disk, LAYOUT) {
            let state = replay(&opened);
            prop_assert!(confirmed.starts_with(&state) || state == confirmed, "{:?}", state);
        }
    }
}

#[test]
fn a_corrupt_snapshot_is_renamed_and_the_previous_generation_has_all_entries() {
    // Given two generations, of which the newer snapshot is corrupt.
    let WriteOutcome { mut disk, confirmed, .. } = write_batches(FlakyDisk::default(), &[3, 3, 3, 3, 2]);
    let snapshots = disk.names.keys().filter(|name| name.contains("state"));
    let newest = snapshots.clone().max().cloned().unwrap();
    assert_eq!(snapshots.count(), 2, "two generations: {:?}", disk.names);
    let content = &mut disk.files[disk.names[&newest]].synced;
    *content.last_mut().unwrap() ^= 1;
    // When the store is opened, then the corrupt snapshot is renamed, and nothing is lost.
    let (mut store, opened) = Store::open(disk, LAYOUT).unwrap();
    assert!(opened.notes[0].contains("broken"));
    assert!(store.disk.list().unwrap().iter().any(|name| name.ends_with(".broken")));
    assert_eq!(replay(&opened), confirmed);
    // When the next snapshot is written, then it does not reuse the generation of the corrupt one.
    store.snapshot(&confirmed).unwrap();
    assert!(!store.disk.list().unwrap().contains(&newest));
}

#[test]
fn a_newer_version_is_rejected_and_an_older_one_upgraded_step_by_step() {
    fn to_two(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
        Ok([bytes, b"+2".to_vec()].concat())
    }
    fn to_three(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
        Ok([bytes, b"+3".to_vec()].concat())
    }
    const UPGRADES: [VersionUpgrade; 2] = [
        VersionUpgrade { snapshot: to_two, entry: to_two },
        VersionUpgrade { snapshot: to_three, entry: to_three },
    ];
    // Given state of version 1.
    let old = Layout { version: 1, upgrades: &[], ..LAYOUT };
    let (mut store, _) = Store::open(FlakyDisk::default(), old).unwrap();
    store.snapshot(b"s").unwrap();
    store.append(&[b"e".to_vec()]).unwrap();
    // When a program of version 3 opens it, then both upgrades are applied.
    let new = Layout { version: 3, upgrades: &UPGRADES, ..LAYOUT };
    let (mut store, opened) = Store::open(store.disk, new).unwrap();
    assert_eq!(opened.state.unwrap(), b"s+2+3");
    assert_eq!(opened.entries[0], b"e+2+3");
    // When that program has written a snapshot, then a program of version 2 rejects it.
    store.snapshot(b"now").unwrap();
    let error = Store::open(store.disk, LAYOUT).err().unwrap();
    assert!(matches!(error, StoreError::NewerVersion { found: 3, known: 2, .. }), "{error}");
}

#[test]
fn after_a_failed_write_appends_are_rejected_until_a_snapshot() {
    // Given a new store, to which nothing can be appended before its first snapshot.
    let (mut store, _) = Store::open(FlakyDisk::default(), LAYOUT).unwrap();
    assert!(matches!(store.append(&[vec![1]]), Err(StoreError::JournalEndUnknown)));
    store.snapshot(&[]).unwrap();
    // When an append fails, then the next one is rejected until a snapshot is written.
    store.disk.faulty_operations = vec![store.disk.operations + 2];
    assert!(store.append(&[vec![1]]).is_err());
    assert!(store.needs_snapshot());
    assert!(matches!(store.append(&[vec![2]]), Err(StoreError::JournalEndUnknown)));
    store.snapshot(&[7]).unwrap();
    store.append(&[vec![8]]).unwrap();
    let (_, opened) = Store::open(store.disk, LAYOUT).unwrap();
    assert_eq!(replay(&opened), [7, 8]);
}
