//! The history of operators' edits and their progress: accepted, decided (passed to the controller), and in force at
//! the proxies.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Number of edits that are kept: an hour at one edit every four seconds. An older edit that is sent again counts as
/// new.
pub const MAX_EDITS: usize = 1024;
/// How long a decided edit waits for updates about its servers. Updates are published once a second, and the rest
/// allows for the update channel. If there was no update about a server by then, its table entries need no change.
pub const PUBLICATION_TIMEOUT: Duration = Duration::from_millis(1250);

/// Result of looking up an edit's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditLookup {
    /// No edit in the history has the id.
    New,
    /// An edit with the same content has it.
    Repeated,
    /// An edit with other content has it.
    Conflicting,
}

/// The part of an edit that is stored across restarts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEdit {
    /// Id that the operator gave, or that was generated.
    pub id: String,
    /// User that made the edit.
    pub author: String,
    /// Digest of its content, to recognize a repeated edit.
    pub digest: String,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// An accepted edit and its progress. Times, other than [`StoredEdit::accepted_ms`], are since the process's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The part that is stored across restarts.
    pub stored: StoredEdit,
    /// When it was on disk; `None` while it is not.
    pub stored_at: Option<Duration>,
    /// When the controller received it; `None` if it has not.
    pub decided_at: Option<Duration>,
    /// When all proxies concerned had applied it; `None` until then.
    pub in_force_at: Option<Duration>,
    /// Number of proxies that updates about its servers were sent to. A proxy that disconnects before it acknowledges
    /// its update is no longer counted; one that gets another update after its acknowledgement is counted again.
    pub proxy_count: usize,
    /// Servers whose table entries it may change and that no update was about yet.
    unpublished_servers: BTreeSet<String>,
    /// Proxies that have not acknowledged their latest update, with the number of its message.
    pending_acks: BTreeMap<usize, u64>,
}

impl Edit {
    fn new(stored: StoredEdit, stored_at: Option<Duration>) -> Edit {
        Edit {
            stored,
            stored_at,
            decided_at: None,
            in_force_at: None,
            proxy_count: 0,
            unpublished_servers: BTreeSet::new(),
            pending_acks: BTreeMap::new(),
        }
    }

    /// Number of proxies that have applied it, out of [`Edit::proxy_count`].
    pub fn acknowledged_count(&self) -> usize {
        self.proxy_count.saturating_sub(self.pending_acks.len())
    }

    /// Its state in the operators' interface: `accepted`, `decided` or `in-force`.
    pub fn state(&self) -> &'static str {
        match (self.decided_at, self.in_force_at) {
            (_, Some(_)) => "in-force",
            (Some(_), None) => "decided",
            (None, None) => "accepted",
        }
    }

    fn record_published(&mut self, servers: &BTreeSet<String>, messages: &[(usize, u64)]) {
        if self.unpublished_servers.is_disjoint(servers) {
            return;
        }
        self.unpublished_servers.retain(|server| !servers.contains(server));
        for (proxy, number) in messages {
            if self.pending_acks.insert(*proxy, *number).is_none() {
                self.proxy_count += 1;
            }
        }
    }

    /// Whether all of its changes are published and acknowledged.
    fn is_complete(&self, now: Duration) -> bool {
        let is_published = self.unpublished_servers.is_empty()
            || self.decided_at.is_some_and(|at| now >= at + PUBLICATION_TIMEOUT);
        self.pending_acks.is_empty() && is_published
    }
}

/// The newest [`MAX_EDITS`] edits.
#[derive(Debug, Clone, Default)]
pub struct EditHistory {
    edits: VecDeque<Edit>,
    accepted_count: u64,
}

impl EditHistory {
    /// Restores the history that an earlier process stored. Its edits are already part of the first endpoint list; at
    /// which proxies they are in force is unknown.
    pub fn restore(stored: impl Iterator<Item = StoredEdit>) -> EditHistory {
        let edits: VecDeque<Edit> = stored.map(|stored| Edit::new(stored, Some(Duration::ZERO))).collect();
        EditHistory { accepted_count: edits.len() as u64, edits }
    }

    /// The edits, oldest first.
    pub fn edits(&self) -> impl Iterator<Item = &Edit> {
        self.edits.iter()
    }

    /// Looks up an id. An empty digest matches any edit with that id.
    pub fn lookup(&self, id: &str, digest: &str) -> EditLookup {
        match self.edits.iter().rfind(|edit| edit.stored.id == id) {
            None => EditLookup::New,
            Some(edit) if digest.is_empty() || edit.stored.digest == digest => EditLookup::Repeated,
            Some(_) => EditLookup::Conflicting,
        }
    }

    /// Adds an accepted edit and returns its id; one is generated if `id` is `None`.
    pub fn accept(&mut self, id: Option<&str>, author: &str, digest: &str, accepted_ms: u64) -> String {
        self.accepted_count += 1;
        let id = id.map_or_else(|| format!("e{accepted_ms}-{}", self.accepted_count), str::to_string);
        if self.edits.len() >= MAX_EDITS {
            self.edits.pop_front();
        }
        let stored = StoredEdit {
            id: id.clone(),
            author: author.to_string(),
            digest: digest.to_string(),
            accepted_ms,
        };
        self.edits.push_back(Edit::new(stored, None));
        id
    }

    /// Records that edits are on disk, so that the next [`EditHistory::record_decided`] covers them.
    pub fn record_stored(&mut self, ids: &[String], now: Duration) {
        let is_newly_stored = |edit: &&mut Edit| edit.stored_at.is_none() && ids.contains(&edit.stored.id);
        for edit in self.edits.iter_mut().rev().filter(is_newly_stored) {
            edit.stored_at = Some(now);
        }
    }

    /// Removes edits that could not be stored, and whose acceptance was not reported.
    pub fn remove(&mut self, ids: &[String]) {
        self.edits.retain(|edit| !ids.contains(&edit.stored.id));
    }

    /// Records that the controller received all stored edits, which changed these servers.
    pub fn record_decided(&mut self, now: Duration, servers: &BTreeSet<String>) {
        let is_undecided = |edit: &&mut Edit| edit.decided_at.is_none() && edit.stored_at.is_some();
        for edit in self.edits.iter_mut().filter(is_undecided) {
            edit.decided_at = Some(now);
            edit.unpublished_servers.clone_from(servers);
        }
    }

    /// Records that updates about these servers were sent. `messages` has the proxy and the message number of each.
    pub fn record_published(&mut self, servers: &BTreeSet<String>, messages: &[(usize, u64)]) {
        for edit in self.pending_edits() {
            edit.record_published(servers, messages);
        }
    }

    /// Records that a proxy acknowledged message `number` and all before it.
    pub fn acknowledge(&mut self, proxy: usize, number: u64) {
        for edit in self.pending_edits() {
            if edit.pending_acks.get(&proxy).is_some_and(|pending| *pending <= number) {
                edit.pending_acks.remove(&proxy);
            }
        }
    }

    /// Records that a proxy disconnected. Edits that it has not acknowledged no longer wait for it.
    pub fn disconnect_proxy(&mut self, proxy: usize) {
        for edit in self.pending_edits() {
            if edit.pending_acks.remove(&proxy).is_some() {
                edit.proxy_count -= 1;
            }
        }
    }

    /// Marks the edits that have come into force by now, and returns them, newest first.
    pub fn take_completed(&mut self, now: Duration) -> Vec<Edit> {
        let mut completed = Vec::new();
        for edit in self.pending_edits().filter(|edit| edit.is_complete(now)) {
            edit.in_force_at = Some(now);
            edit.unpublished_servers.clear();
            completed.push(edit.clone());
        }
        completed
    }

    /// When to call [`EditHistory::take_completed`] next even if nothing happens; `None` if no edit waits for its
    /// [`PUBLICATION_TIMEOUT`].
    pub fn next_wakeup(&self) -> Option<Duration> {
        let is_waiting = |edit: &&Edit| edit.in_force_at.is_none() && !edit.unpublished_servers.is_empty();
        let waiting = self.edits.iter().filter(is_waiting);
        waiting.filter_map(|edit| edit.decided_at.map(|at| at + PUBLICATION_TIMEOUT)).min()
    }

    /// Edits that are decided but not yet in force, newest first.
    fn pending_edits(&mut self) -> impl Iterator<Item = &mut Edit> {
        self.edits.iter_mut().rev().filter(|edit| edit.decided_at.is_some() && edit.in_force_at.is_none())
    }
}
