//! `runloom state`: the folder of a planner, for operators. Only `prune` writes, and only where no planner runs.

use crate::persistence::{accepted, EDITS, LEARNED, ROSTER};
use crate::wall_ms;
use runloom_store::{describe, FileSummary, Folder, FolderLock, LearnedServers, Store};
use std::path::Path;

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}

pub fn ls(folder: &Path) -> Result<(), String> {
    for d in describe(&Folder::open_read_only(folder).map_err(told)?).map_err(told)? {
        let head =
            d.summary.map_or("cannot be read".to_string(), |FileSummary { version, generation, entries }| {
                format!("version {version}  generation {generation}  entries {entries}")
            });
        println!("{}  {} bytes  {head}  rest {}", d.file, d.size, d.trailing_bytes);
    }
    Ok(())
}

pub fn show(folder: &Path) -> Result<(), String> {
    let open = |layout| Store::open(Folder::open_read_only(folder).map_err(told)?, layout).map_err(told);
    let (_, edits) = open(EDITS)?;
    edits.notes.iter().for_each(|note| println!("note: {note}"));
    let kept = accepted(&edits)?.unwrap_or_default();
    println!(
        "fleet: {} entries, {} changes since the last snapshot",
        kept.entries.len(),
        edits.entries.len()
    );
    if kept.rollback_entries.is_some() {
        println!("a confirmed commit waits for its confirmation: a restart goes back to what stood before");
    }
    kept.entries.iter().for_each(|entry| println!("  {entry}"));
    for edit in &kept.edits {
        println!("edit {}  by {}  accepted {}  {}", edit.id, edit.author, edit.accepted_ms, edit.digest);
    }
    let (_, learned) = open(LEARNED)?;
    let Some(book) = learned.state.and_then(|bytes| LearnedServers::decode(&bytes).ok()) else {
        println!("nothing learned");
        return Ok(());
    };
    let now = wall_ms();
    println!("learned {} s ago:", now.saturating_sub(book.written_ms) / 1000);
    for s in &book.servers {
        let hint = book.hint(now, &s.name, &s.address, s.started_ms);
        let counts = hint.map_or("counts no more".to_string(), |h| {
            format!("counts now: swiftness {:.2}, doubt {:.2}", h.speed_factor, h.suspicion)
        });
        let failed = s
            .last_ejected_ms
            .map_or("-".to_string(), |at| format!("{} s ago", now.saturating_sub(at) / 1000));
        println!(
            "  {} at {}  swiftness {:.2}  failed {failed}  held {}  {counts}",
            s.name, s.address, s.speed_factor, s.is_long_ejected
        );
    }
    Ok(())
}

/// False: something cannot be read back.
pub fn verify(folder: &Path) -> Result<bool, String> {
    let mut well = true;
    for layout in [EDITS, ROSTER, LEARNED] {
        let name = layout.name;
        let read = Store::open(Folder::open_read_only(folder).map_err(told)?, layout).map_err(told).and_then(
            |(_, opened)| match layout.name {
                "edits" => accepted(&opened).map(|a| (opened.notes, a.is_some())),
                "learned" => {
                    let book = opened.state.as_deref().map(LearnedServers::decode).transpose();
                    book.map(|b| (opened.notes, b.is_some())).map_err(told)
                }
                _ => Ok((opened.notes, opened.state.is_some())),
            },
        );
        match read {
            Ok((notes, there)) => {
                println!("{name}: {}", if there { "reads back" } else { "nothing there" });
                well &= notes.is_empty();
                notes.iter().for_each(|note| println!("{name}: {note}"));
            }
            Err(why) => {
                well = false;
                println!("{name}: {why}");
            }
        }
    }
    Ok(well)
}

pub fn prune(folder: &Path) -> Result<(), String> {
    let _lock = FolderLock::acquire(folder).map_err(told)?;
    for layout in [EDITS, ROSTER, LEARNED] {
        let (mut store, _) = Store::open(Folder::open(folder).map_err(told)?, layout).map_err(told)?;
        store.prune().map_err(told)?.iter().for_each(|file| println!("removed {file}"));
    }
    Ok(())
}
