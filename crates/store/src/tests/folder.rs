//! Tests of folders in the file system.

use super::durability::{replay, LAYOUT};
use crate::{describe_files, Folder, FolderLock, Store};
use std::io;

#[test]
fn a_replaced_folder_and_a_second_planner_are_detected() {
    let path = std::env::temp_dir().join(format!("runloom-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    // Given a locked folder with state, which a second planner cannot lock.
    let lock = FolderLock::acquire(&path).unwrap();
    assert_eq!(FolderLock::acquire(&path).unwrap_err().kind(), io::ErrorKind::AddrInUse);
    let (mut store, _) = Store::open(Folder::open(&path).unwrap(), LAYOUT).unwrap();
    store.snapshot(&[1]).unwrap();
    store.append(&[vec![2]]).unwrap();
    // When the folder is removed, then writes fail.
    std::fs::remove_dir_all(&path).unwrap();
    assert!(store.append(&[vec![3]]).is_err());
    assert!(store.snapshot(&[1, 2]).is_err(), "there is no folder");
    // When the folder is created again, then a snapshot succeeds, and all state is read back.
    std::fs::create_dir_all(&path).unwrap();
    store.snapshot(&[1, 2]).unwrap();
    store.append(&[vec![4]]).unwrap();
    drop(lock);
    let (_, opened) = Store::open(Folder::open(&path).unwrap(), LAYOUT).unwrap();
    assert_eq!(replay(&opened), [1, 2, 4]);
    let descriptions = describe_files(&Folder::open_read_only(&path).unwrap()).unwrap();
    let is_intact = |summary: crate::FileSummary| summary.version == 2;
    assert!(
        descriptions.iter().all(|file| file.trailing_bytes == 0 && file.summary.is_some_and(is_intact)),
        "{descriptions:?}"
    );
    std::fs::remove_dir_all(&path).unwrap();
}
