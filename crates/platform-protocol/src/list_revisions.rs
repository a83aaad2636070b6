//! Tracks the held revisions of the endpoint list and decides what has to be requested again.
//!
//! Revisions of the list increase, unless discovery restarts their numbering: then lower ones arrive, as they also do
//! from an agent that lags.

use crate::watch_reader::MalformedWatchData;
use std::time::Duration;

/// The longest time by which an agent may lag behind another. If only older revisions arrive for longer, discovery has
/// reset its revisions.
const MAX_AGENT_LAG: Duration = Duration::from_secs(6);
/// How many times in a row a malformed line or entry is requested again before it is skipped.
const MAX_RETRIES: u32 = 3;

/// The age of a received list relative to the held one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// Older than the held revision.
    Older,
    /// Of the held revision, of which all changes were applied.
    Held,
    /// Newer than the held revision, or of the held one while some changes may not have been applied.
    New,
}

/// The held revisions of one list.
#[derive(Debug, Default)]
pub(crate) struct ListRevisions {
    /// The newest revision of which at least some entries were applied.
    newest: u64,
    /// The revision up to which all changes were applied; lower than `newest` while a malformed entry has to be
    /// requested again.
    complete: u64,
    /// Whether the changes since `watch_from()` have to be requested again.
    must_reread: bool,
    /// Whether the complete list has to be requested, whatever revision is held.
    wants_complete_list: bool,
    /// Since when only older revisions have been received; `None` if the last one was not older.
    outdated_since: Option<Duration>,
    /// The number of consecutive lines that could not be parsed.
    unreadable_lines: u32,
    /// The number of consecutive lists with a malformed entry.
    malformed_lists: u32,
}

impl ListRevisions {
    /// Records that a well-formed list of this revision was received, and returns its age. Called before it is applied.
    pub fn receive(&mut self, revision: u64, is_complete: bool, now: Duration) -> ListAge {
        // An older revision, which a lagging agent may send, would restore servers that now drain or were removed.
        if revision < self.newest {
            self.outdated_since.get_or_insert(now);
            return ListAge::Older;
        }
        self.unreadable_lines = 0;
        let is_held = revision == self.newest && self.complete == self.newest && !self.wants_complete_list;
        self.end_outdated_period(is_complete);
        if is_held {
            ListAge::Held
        } else {
            ListAge::New
        }
    }

    /// Ends a period of older revisions. Either an agent lagged and has caught up, or discovery has reset its revisions
    /// and reached the held one again; in that case changes were ignored as outdated. Since the two cannot be told
    /// apart, the complete list is requested.
    fn end_outdated_period(&mut self, is_complete: bool) {
        let was_outdated = self.outdated_since.take().is_some();
        if is_complete {
            self.wants_complete_list = false;
        } else if was_outdated {
            self.wants_complete_list = true;
            self.must_reread = true;
        }
    }

    /// Records that the cached list was applied. If it had a malformed entry, the watch requests the complete list.
    pub fn record_cached(&mut self, revision: u64, has_malformed_entry: bool) {
        self.newest = revision;
        if !has_malformed_entry {
            self.complete = revision;
        }
    }

    /// Records that a list or change from the watch was applied.
    ///
    /// A malformed entry may contain a drain: the changes since the last complete revision are requested again, up to
    /// [`MAX_RETRIES`] times in a row.
    pub fn record_applied(&mut self, revision: u64, has_malformed_entry: bool) {
        self.newest = revision;
        if has_malformed_entry && self.malformed_lists < MAX_RETRIES {
            self.malformed_lists += 1;
            self.must_reread = true;
        } else {
            self.malformed_lists = 0;
            self.complete = revision;
        }
    }

    /// Counts a line that could not be parsed; an error if it has to be requested again.
    pub fn note_unreadable_line(&mut self) -> Result<(), MalformedWatchData> {
        self.unreadable_lines += 1;
        if self.unreadable_lines > MAX_RETRIES {
            return Ok(());
        }
        Err(MalformedWatchData)
    }

    /// The revision up to which all changes were applied.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// The revision since which changes have to be requested; 0 requests the complete list.
    pub fn watch_from(&self) -> u64 {
        if self.wants_complete_list {
            0
        } else {
            self.complete
        }
    }

    /// Whether the changes since [`ListRevisions::watch_from`] have to be requested again. Resets the flag.
    pub fn take_must_reread(&mut self) -> bool {
        std::mem::take(&mut self.must_reread)
    }

    /// Resets the held revisions, so that any is accepted, if only older ones have been received for [`MAX_AGENT_LAG`];
    /// returns whether it did.
    pub fn reset_outdated(&mut self, read_until: Duration) -> bool {
        let is_reset = self.next_timeout().is_some_and(|timeout| read_until >= timeout);
        if is_reset {
            self.outdated_since = None;
            self.newest = 0;
            self.complete = 0;
        }
        is_reset
    }

    /// When the held revisions may be reset; `None` if the last revision received was not older.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.outdated_since.map(|since| since + MAX_AGENT_LAG)
    }
}
