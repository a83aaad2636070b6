//! Recovery from files with changed bytes.

use super::durability::{replay, LAYOUT};
use super::flaky_disk::FlakyDisk;
use crate::{OpenedState, Store};

/// Bit masks to flip in a byte: each single bit, and all of them.
const BYTE_CHANGES: [u8; 9] = [0x01, 0x02, 0x04, 0x08, 0x10, 0x20, 0x40, 0x80, 0xff];
const ENTRIES: u8 = 6;

/// A disk with an empty snapshot and a journal of `ENTRIES` entries.
fn written_disk() -> FlakyDisk {
    let Ok((mut store, _)) = Store::open(FlakyDisk::default(), LAYOUT) else { panic!("the disk is empty") };
    store.snapshot(&[]).unwrap();
    for entry in 0..ENTRIES {
        store.append(&[vec![entry]]).unwrap();
    }
    store.disk.after_power_cut(u32::MAX, |_| usize::MAX)
}

/// Opens a store on a copy of the disk with one byte of a file changed.
fn open_damaged(disk: &FlakyDisk, file: usize, position: usize, change: u8) -> (FlakyDisk, OpenedState) {
    let mut damaged = disk.clone();
    damaged.files[file].synced[position] ^= change;
    let Ok((store, opened)) = Store::open(damaged, LAYOUT) else { panic!("the damaged store must open") };
    (store.disk, opened)
}

/// Guards against a changed byte that is read as different state, and against confirmed entries that are dropped
/// without a note or pruned together with the damaged journal.
#[test]
fn a_changed_byte_is_reported_and_the_entries_after_it_are_copied() {
    let disk = written_disk();
    let confirmed: Vec<u8> = (0..ENTRIES).collect();
    for name in ["edits.state.1", "edits.journal.1"] {
        let file = disk.names[name];
        for position in 0..disk.files[file].synced.len() {
            for change in BYTE_CHANGES {
                let (damaged, opened) = open_damaged(&disk, file, position, change);
                let found = replay(&opened);
                assert!(confirmed.starts_with(&found), "{name} at {position}: {found:?}");
                assert!(!opened.notes.is_empty(), "{name} at {position}");
                let kept = damaged.names.keys().any(|name| name.ends_with(".broken"));
                let are_left_out = found.len() + 1 < confirmed.len();
                assert!(kept || !are_left_out, "{name} at {position}: {:?}", opened.notes);
            }
        }
    }
}
