//! `runloom state`: inspects and prunes a planner's state folder. Only [`prune`] writes, and only while no planner uses
//! the folder.

use super::error::CommandError;
use crate::persistence::{restore_accepted, RestoreError, EDITS, ENDPOINT_LIST, LEARNED};
use crate::wall_ms;
use runloom_store::{
    describe_files, AcceptedState, FileSummary, Folder, FolderLock, Layout, LearnedServer, LearnedServers,
    OpenedState, Store,
};
use std::path::Path;

const LAYOUTS: [Layout; 3] = [EDITS, ENDPOINT_LIST, LEARNED];

fn open(folder: &Path, layout: Layout) -> Result<OpenedState, CommandError> {
    let (_, opened) = Store::open(Folder::open_read_only(folder)?, layout)?;
    Ok(opened)
}

/// Prints the files, one per line.
pub fn list(folder: &Path) -> Result<(), CommandError> {
    for file in describe_files(&Folder::open_read_only(folder)?)? {
        let head = match file.summary {
            Some(FileSummary { version, generation, entries }) => {
                format!("version {version}  generation {generation}  entries {entries}")
            }
            None => "cannot be read".to_string(),
        };
        println!("{}  {} bytes  {head}  rest {}", file.file, file.size, file.trailing_bytes);
    }
    Ok(())
}

/// Prints the stored fleet, the edits, and the learned state of servers.
pub fn show(folder: &Path) -> Result<(), CommandError> {
    let edits = open(folder, EDITS)?;
    for note in &edits.notes {
        println!("note: {note}");
    }
    let accepted = restore_accepted(&edits)?.unwrap_or_default();
    print_accepted(&accepted, edits.entries.len());
    let learned = open(folder, LEARNED)?;
    match learned.state.and_then(|bytes| LearnedServers::decode(&bytes).ok()) {
        Some(learned) => print_learned(&learned),
        None => println!("nothing learned"),
    }
    Ok(())
}

fn print_accepted(accepted: &AcceptedState, journal_entries: usize) {
    println!("fleet: {} entries, {journal_entries} changes since the last snapshot", accepted.entries.len());
    if accepted.rollback_entries.is_some() {
        println!("a confirmed commit waits for its confirmation: a restart rolls it back");
    }
    for entry in &accepted.entries {
        println!("  {entry}");
    }
    for edit in &accepted.edits {
        println!("edit {}  by {}  accepted {}  {}", edit.id, edit.author, edit.accepted_ms, edit.digest);
    }
}

fn print_learned(learned: &LearnedServers) {
    let now_ms = wall_ms();
    println!("learned {} s ago:", seconds_between(learned.written_ms, now_ms));
    for server in &learned.servers {
        print_learned_server(learned, server, now_ms);
    }
}

fn print_learned_server(learned: &LearnedServers, server: &LearnedServer, now_ms: u64) {
    let hint = learned.hint(now_ms, &server.name, &server.address, server.started_ms);
    let counts = match hint {
        Some(hint) => format!("counts now: swiftness {:.2}, doubt {:.2}", hint.speed_factor, hint.suspicion),
        None => "counts no longer".to_string(),
    };
    let failed = match server.last_ejected_ms {
        Some(at) => format!("{} s ago", seconds_between(at, now_ms)),
        None => "-".to_string(),
    };
    println!(
        "  {} at {}  swiftness {:.2}  failed {failed}  held {}  {counts}",
        server.name, server.address, server.speed_factor, server.is_long_ejected
    );
}

/// Complete seconds between two times in milliseconds.
fn seconds_between(from_ms: u64, to_ms: u64) -> u64 {
    to_ms.saturating_sub(from_ms) / 1000
}

/// Result of reading the files of one layout.
struct ReadBack {
    has_content: bool,
    /// Descriptions of what was corrupt.
    notes: Vec<String>,
}

/// Reads all files, and prints the result by layout. Returns whether nothing is corrupt.
pub fn verify(folder: &Path) -> Result<bool, CommandError> {
    let mut is_intact = true;
    for layout in LAYOUTS {
        let name = layout.name;
        match read_back(folder, layout) {
            Ok(ReadBack { has_content, notes }) => {
                println!("{name}: {}", if has_content { "reads back" } else { "nothing there" });
                is_intact &= notes.is_empty();
                for note in notes {
                    println!("{name}: {note}");
                }
            }
            Err(error) => {
                is_intact = false;
                println!("{name}: {error}");
            }
        }
    }
    Ok(is_intact)
}

fn read_back(folder: &Path, layout: Layout) -> Result<ReadBack, CommandError> {
    let name = layout.name;
    let opened = open(folder, layout)?;
    let has_content = if name == EDITS.name {
        restore_accepted(&opened)?.is_some()
    } else if name == LEARNED.name {
        let learned = opened.state.as_deref().map(LearnedServers::decode).transpose();
        learned.map_err(RestoreError::from)?.is_some()
    } else {
        opened.state.is_some()
    };
    Ok(ReadBack { has_content, notes: opened.notes })
}

/// Removes all but the newest generations, and prints the removed files.
pub fn prune(folder: &Path) -> Result<(), CommandError> {
    let _lock = FolderLock::acquire(folder)?;
    for layout in LAYOUTS {
        let (mut store, _) = Store::open(Folder::open(folder)?, layout)?;
        for file in store.prune()? {
            println!("removed {file}");
        }
    }
    Ok(())
}
