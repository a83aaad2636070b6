//! Which revisions of the endpoint list are held, and what is to be asked for again.
//!
//! A revision names a state of the list, unless discovery counts anew: then older ones come, as they do from an agent that
//! lags.

use crate::watch_reader::MalformedWatchData;
use std::time::Duration;

/// An agent may lag behind another by this long. Older versions for longer mean that versions were reset.
const MAX_AGENT_LAG: Duration = Duration::from_secs(6);
/// An unreadable line or entry is asked for again this often in a row before it is skipped.
const MAX_RETRIES: u32 = 3;

/// What a list says that is held already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// It is older than what is held.
    Older,
    /// It is of the newest revision, of which nothing is missing.
    Held,
    /// It may say something new.
    New,
}

/// The revisions of one list.
#[derive(Debug, Default)]
pub(crate) struct ListRevisions {
    /// The newest one of which anything is held.
    newest: u64,
    /// The one up to which all changes are held; older than the newest while an entry that could not be read is to be
    /// asked for again.
    complete: u64,
    /// The changes since `watch_from()` are to be asked for again.
    must_reread: bool,
    /// The complete list is wanted, whatever revision is held.
    wants_complete_list: bool,
    /// Since when only older revisions have been received.
    outdated_since: Option<Duration>,
    /// Lines in a row that could not be read.
    unreadable_lines: u32,
    /// Lists in a row with an entry that could not be read.
    malformed_lists: u32,
}

impl ListRevisions {
    /// Takes the revision of a list that can be read, before it is applied.
    pub fn receive(&mut self, revision: u64, is_complete: bool, now: Duration) -> ListAge {
        // An older revision, as a lagging agent may send it, would bring back servers that drain or are gone.
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

    /// An agent that lagged and one that has reset its revisions and counted up to the held one look alike, and the second
    /// one's changes were taken for old ones: the complete list tells.
    fn end_outdated_period(&mut self, is_complete: bool) {
        let was_outdated = self.outdated_since.take().is_some();
        if is_complete {
            self.wants_complete_list = false;
        } else if was_outdated {
            self.wants_complete_list = true;
            self.must_reread = true;
        }
    }

    /// Notes that the cached list is applied. The watch starts from the beginning if an entry of it could not be read.
    pub fn accept_cached(&mut self, revision: u64, has_malformed_entry: bool) {
        self.newest = revision;
        if !has_malformed_entry {
            self.complete = revision;
        }
    }

    /// Notes that a list or change of the watch is applied.
    ///
    /// An entry that could not be read may hold a drain: the revision that is asked from stays before it, until it was asked
    /// for often enough.
    pub fn accept(&mut self, revision: u64, has_malformed_entry: bool) {
        self.newest = revision;
        if has_malformed_entry && self.malformed_lists < MAX_RETRIES {
            self.malformed_lists += 1;
            self.must_reread = true;
        } else {
            self.malformed_lists = 0;
            self.complete = revision;
        }
    }

    /// Notes a line that could not be read: an error while it is to be asked for again.
    pub fn note_unreadable_line(&mut self) -> Result<(), MalformedWatchData> {
        self.unreadable_lines += 1;
        if self.unreadable_lines > MAX_RETRIES {
            return Ok(());
        }
        Err(MalformedWatchData)
    }

    /// The revision up to which all changes are held.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// The revision from which on changes are to be asked for; 0 for the complete list.
    pub fn watch_from(&self) -> u64 {
        if self.wants_complete_list {
            0
        } else {
            self.complete
        }
    }

    /// Whether the changes since [`ListRevisions::watch_from`] are to be asked for again; true once.
    pub fn take_must_reread(&mut self) -> bool {
        std::mem::take(&mut self.must_reread)
    }

    /// Accepts any revision from now on if only older ones have been received for longer than an agent may lag;
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

    /// When the revisions may be reset.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.outdated_since.map(|since| since + MAX_AGENT_LAG)
    }
}
