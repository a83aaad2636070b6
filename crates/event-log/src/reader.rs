//! Reads the entries of a log by run. A run lasts from one start of the planner to the next.

use crate::entry::{Entry, RecordedEvent};
use crate::error::ReadError;
use crate::segment::{list_segments, read_live_segment, Segment};
use std::path::Path;

/// Returns the entries of the run that is `runs_back` before the newest one; empty if there is no such run.
pub fn read_run(folder: &Path, runs_back: usize) -> Result<Vec<Entry>, ReadError> {
    let mut runs = read_runs(folder)?;
    let index = runs.len().checked_sub(runs_back + 1);
    Ok(index.map(|index| runs.swap_remove(index)).unwrap_or_default())
}

/// Returns the entries of all runs, oldest first. The first run may lack its beginning, since the recorder removes old
/// segments beyond its limits of total size and age.
pub fn read_runs(folder: &Path) -> Result<Vec<Vec<Entry>>, ReadError> {
    let mut runs: Vec<Vec<Entry>> = Vec::new();
    visit_entries(folder, &mut |run, entry| {
        runs.resize_with(runs.len().max(run + 1), Vec::new);
        runs[run].push(entry);
        true
    })?;
    Ok(runs)
}

/// Calls `visit` with each entry of the run that is `runs_back` before the newest one, until it returns false. At most
/// one segment is in memory at a time.
pub fn for_each_entry(
    folder: &Path,
    runs_back: usize,
    visit: &mut dyn FnMut(Entry) -> bool,
) -> Result<(), ReadError> {
    let mut newest = None;
    visit_entries(folder, &mut |run, _| {
        newest = Some(run);
        true
    })?;
    let Some(wanted) = newest.and_then(|newest| newest.checked_sub(runs_back)) else { return Ok(()) };
    visit_entries(folder, &mut |run, entry| if run == wanted { visit(entry) } else { run < wanted })
}

/// Calls `visit` with each entry in sequence and the index of its run, oldest run first, until it returns false.
fn visit_entries(folder: &Path, visit: &mut dyn FnMut(usize, Entry) -> bool) -> Result<(), ReadError> {
    let segments = list_segments(folder).map_err(|e| ReadError::Io(folder.to_path_buf(), e))?;
    let mut run: Option<usize> = None;
    let mut previous: Option<&Segment> = None;
    for segment in &segments {
        let Some(entries) = read_live_segment(segment)? else { continue };
        let follows_gap = previous.is_some_and(|previous| previous.number + 1 != segment.number);
        previous = Some(segment);
        // A missing segment within a run is a gap of an unknown number of entries.
        if let Some((run, first)) = run.zip(entries.first()).filter(|_| follows_gap) {
            let gap = Entry { at_us: first.at_us, event: RecordedEvent::EntriesLost { entries: 0 } };
            if !visit(run, gap) {
                return Ok(());
            }
        }
        for entry in entries {
            let run = *run.insert(run_index(&entry, run));
            if !visit(run, entry) {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Returns the index of an entry's run, where the entry before it is of run `previous`.
fn run_index(entry: &Entry, previous: Option<usize>) -> usize {
    let begins_run = matches!(entry.event, RecordedEvent::PlannerStarted { .. });
    previous.map_or(0, |previous| previous + usize::from(begins_run))
}
