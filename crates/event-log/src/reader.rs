//! Reads the entries of a log, by run: from one start of the planner to the next.

use crate::entry::{Entry, RecordedEvent};
use crate::error::ReadError;
use crate::segment::{list_segments, read_live_segment, Segment};
use std::path::Path;

/// The entries of one run: `back` runs before the newest. Empty if there is none.
pub fn read_run(folder: &Path, back: usize) -> Result<Vec<Entry>, ReadError> {
    let mut runs = read_runs(folder)?;
    let index = runs.len().checked_sub(back + 1);
    Ok(index.map(|index| runs.swap_remove(index)).unwrap_or_default())
}

/// The entries of all runs, oldest first. The first run may lack its beginning, if that was removed for its age.
pub fn read_runs(folder: &Path) -> Result<Vec<Vec<Entry>>, ReadError> {
    let mut runs: Vec<Vec<Entry>> = Vec::new();
    walk(folder, &mut |run, entry| {
        runs.resize_with(runs.len().max(run + 1), Vec::new);
        runs[run].push(entry);
        true
    })?;
    Ok(runs)
}

/// Calls `visit` with each entry of one run, `back` runs before the newest, while it returns true. At most one
/// segment is in memory at a time.
pub fn for_each_entry(
    folder: &Path,
    back: usize,
    visit: &mut dyn FnMut(Entry) -> bool,
) -> Result<(), ReadError> {
    let mut newest = None;
    walk(folder, &mut |run, _| {
        newest = Some(run);
        true
    })?;
    let Some(wanted) = newest.and_then(|newest| newest.checked_sub(back)) else { return Ok(()) };
    walk(folder, &mut |run, entry| if run == wanted { visit(entry) } else { run < wanted })
}

/// Calls `visit` with all entries in sequence and the number of their run, while it returns true.
fn walk(folder: &Path, visit: &mut dyn FnMut(usize, Entry) -> bool) -> Result<(), ReadError> {
    let segments = list_segments(folder).map_err(|e| ReadError::Io(folder.to_path_buf(), e))?;
    let mut run: Option<usize> = None;
    let mut previous: Option<&Segment> = None;
    for segment in &segments {
        let Some(entries) = read_live_segment(segment)? else { continue };
        let follows_gap = previous.is_some_and(|previous| previous.number + 1 != segment.number);
        previous = Some(segment);
        // A segment that is missing within a run is a gap in it, of an unknown number of entries.
        if let Some((run, first)) = run.zip(entries.first()).filter(|_| follows_gap) {
            let gap = Entry { at_us: first.at_us, event: RecordedEvent::EntriesLost { entries: 0 } };
            if !visit(run, gap) {
                return Ok(());
            }
        }
        for entry in entries {
            let run = *run.insert(run_of(&entry, run));
            if !visit(run, entry) {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// The run of an entry that follows one of run `previous`.
fn run_of(entry: &Entry, previous: Option<usize>) -> usize {
    let begins_run = matches!(entry.event, RecordedEvent::PlannerStarted { .. });
    previous.map_or(0, |previous| previous + usize::from(begins_run))
}
