//! `runloom state`: the folder of a planner, for operators. Only `prune` writes, and only where no planner runs.

use crate::persistence::{restore_accepted, EDITS, LEARNED, ROSTER};
use crate::wall_ms;
use runloom_store::disk::{Folder, Lock};
use runloom_store::learned::LearnedServers;
use runloom_store::{describe, Store};
use std::path::Path;

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}

pub fn ls(folder: &Path) -> Result<(), String> {
    for d in describe(&Folder::there(folder).map_err(told)?).map_err(told)? {
        let head = d.head.map_or("cannot be read".to_string(), |(version, generation, entries)| {
            format!("version {version}  generation {generation}  entries {entries}")
        });
        println!("{}  {} bytes  {head}  rest {}", d.file, d.bytes, d.rest);
    }
    Ok(())
}

pub fn show(folder: &Path) -> Result<(), String> {
    let open = |layout| Store::open(Folder::there(folder).map_err(told)?, layout).map_err(told);
    let (_, edits) = open(EDITS)?;
    edits.notes.iter().for_each(|note| println!("note: {note}"));
    let kept = restore_accepted(&edits)?.unwrap_or_default();
    println!(
        "fleet: {} entries, {} changes since the last snapshot",
        kept.entries.len(),
        edits.entries.len()
    );
    if kept.before.is_some() {
        println!("a confirmed commit waits for its confirmation: a restart goes back to what stood before");
    }
    kept.entries.iter().for_each(|entry| println!("  {entry}"));
    for edit in &kept.noted {
        println!("edit {}  by {}  accepted {}  {}", edit.id, edit.who, edit.accepted, edit.digest);
    }
    let (_, learned) = open(LEARNED)?;
    let Some(book) = learned.state.and_then(|bytes| LearnedServers::read(&bytes).ok()) else {
        println!("nothing learned");
        return Ok(());
    };
    let now = wall_ms();
    println!("learned {} s ago:", now.saturating_sub(book.written) / 1000);
    for s in &book.servers {
        let hint = book.hint(now, &s.name, &s.address, s.started);
        let counts = hint.map_or("counts no more".to_string(), |h| {
            format!("counts now: swiftness {:.2}, doubt {:.2}", h.swift, h.doubt)
        });
        let failed =
            s.failed.map_or("-".to_string(), |at| format!("{} s ago", now.saturating_sub(at) / 1000));
        println!(
            "  {} at {}  swiftness {:.2}  failed {failed}  held {}  {counts}",
            s.name, s.address, s.swift, s.held
        );
    }
    Ok(())
}

/// False: something cannot be read back.
pub fn verify(folder: &Path) -> Result<bool, String> {
    let mut well = true;
    for layout in [EDITS, ROSTER, LEARNED] {
        let name = layout.name;
        let read = Store::open(Folder::there(folder).map_err(told)?, layout).map_err(told).and_then(
            |(_, opened)| match layout.name {
                "edits" => restore_accepted(&opened).map(|a| (opened.notes, a.is_some())),
                "learned" => {
                    let book = opened.state.as_deref().map(LearnedServers::read).transpose();
                    book.map(|b| (opened.notes, b.is_some()))
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
    let _lock = Lock::take(folder).map_err(told)?;
    for layout in [EDITS, ROSTER, LEARNED] {
        let (mut store, _) = Store::open(Folder::open(folder).map_err(told)?, layout).map_err(told)?;
        store.prune().map_err(told)?.iter().for_each(|file| println!("removed {file}"));
    }
    Ok(())
}
