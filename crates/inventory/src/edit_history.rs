//! The history of operators' edits: accepted, decided (the controller knows), and in force at the proxies.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Edits that are kept, an hour of one each four seconds. An older one that is sent again counts as new.
pub const MAX_EDITS: usize = 1024;
/// Updates are published once a second, with time for the channel. What the controller has not published of a
/// decided edit by then needs no change.
pub const PUBLICATION_TIMEOUT: Duration = Duration::from_millis(1250);

/// What is known of an edit's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditLookup {
    /// It was not used.
    New,
    /// The same edit had it.
    Repeated,
    /// Another edit had it.
    Conflicting,
}

/// An edit as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEdit {
    /// Its id.
    pub id: String,
    /// Who made it.
    pub author: String,
    /// Digest of its content.
    pub digest: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// An accepted edit. Times but [`StoredEdit::accepted_ms`] count from the process's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// What is stored of it.
    pub stored: StoredEdit,
    /// When it was on disk.
    pub stored_at: Option<Duration>,
    /// When the controller learned of it.
    pub decided_at: Option<Duration>,
    /// When all proxies concerned had applied it.
    pub in_force_at: Option<Duration>,
    /// Proxies that an update with it was sent to.
    pub proxy_count: usize,
    /// Servers whose entries it may change and that no update was about yet.
    unpublished_servers: BTreeSet<String>,
    /// Proxies that have not acknowledged their update, with its number.
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

    /// Proxies that have applied it, of [`Edit::proxy_count`].
    pub fn acknowledged_count(&self) -> usize {
        self.proxy_count.saturating_sub(self.pending_acks.len())
    }

    /// Its state as operators see it: `accepted`, `decided` or `in-force`.
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

    /// Whether all that it changes is applied.
    fn is_complete(&self, now: Duration) -> bool {
        let is_published = self.unpublished_servers.is_empty()
            || self.decided_at.is_some_and(|at| now >= at + PUBLICATION_TIMEOUT);
        self.pending_acks.is_empty() && is_published
    }
}

/// The newest edits, oldest first.
#[derive(Debug, Clone, Default)]
pub struct EditHistory {
    edits: VecDeque<Edit>,
    accepted_count: u64,
}

impl EditHistory {
    /// The history as an earlier process stored it: its edits are part of the first endpoint list, and where they
    /// are in force is not known.
    pub fn restore(stored: impl Iterator<Item = StoredEdit>) -> EditHistory {
        let edits: VecDeque<Edit> = stored.map(|stored| Edit::new(stored, Some(Duration::ZERO))).collect();
        EditHistory { accepted_count: edits.len() as u64, edits }
    }

    /// The edits, oldest first.
    pub fn edits(&self) -> impl Iterator<Item = &Edit> {
        self.edits.iter()
    }

    /// Looks an id up. With an empty digest, any edit of that id counts as the same.
    pub fn lookup(&self, id: &str, digest: &str) -> EditLookup {
        match self.edits.iter().rfind(|edit| edit.stored.id == id) {
            None => EditLookup::New,
            Some(edit) if digest.is_empty() || edit.stored.digest == digest => EditLookup::Repeated,
            Some(_) => EditLookup::Conflicting,
        }
    }

    /// Adds an accepted edit and returns its id, which is made up if it has none.
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

    /// Edits are on disk: the controller may learn of them.
    pub fn record_stored(&mut self, ids: &[String], now: Duration) {
        let is_newly_stored = |edit: &&mut Edit| edit.stored_at.is_none() && ids.contains(&edit.stored.id);
        for edit in self.edits.iter_mut().rev().filter(is_newly_stored) {
            edit.stored_at = Some(now);
        }
    }

    /// Removes edits that could not be stored and that nobody was told of.
    pub fn remove(&mut self, ids: &[String]) {
        self.edits.retain(|edit| !ids.contains(&edit.stored.id));
    }

    /// The controller learned of all stored edits, which changed these servers.
    pub fn record_decided(&mut self, now: Duration, servers: &BTreeSet<String>) {
        let is_undecided = |edit: &&mut Edit| edit.decided_at.is_none() && edit.stored_at.is_some();
        for edit in self.edits.iter_mut().filter(is_undecided) {
            edit.decided_at = Some(now);
            edit.unpublished_servers.clone_from(servers);
        }
    }

    /// Updates about these servers went out, as messages: proxy and number of each.
    pub fn record_published(&mut self, servers: &BTreeSet<String>, messages: &[(usize, u64)]) {
        for edit in self.pending_edits() {
            edit.record_published(servers, messages);
        }
    }

    /// A proxy acknowledged message `number` and all before it.
    pub fn acknowledge(&mut self, proxy: usize, number: u64) {
        for edit in self.pending_edits() {
            if edit.pending_acks.get(&proxy).is_some_and(|pending| *pending <= number) {
                edit.pending_acks.remove(&proxy);
            }
        }
    }

    /// A proxy disconnected: nothing is in force there by this planner.
    pub fn disconnect_proxy(&mut self, proxy: usize) {
        for edit in self.pending_edits() {
            if edit.pending_acks.remove(&proxy).is_some() {
                edit.proxy_count -= 1;
            }
        }
    }

    /// Marks the edits that are in force now, and returns them.
    pub fn take_completed(&mut self, now: Duration) -> Vec<Edit> {
        let mut completed = Vec::new();
        for edit in self.pending_edits().filter(|edit| edit.is_complete(now)) {
            edit.in_force_at = Some(now);
            edit.unpublished_servers.clear();
            completed.push(edit.clone());
        }
        completed
    }

    /// When [`EditHistory::take_completed`] is to be called though nothing happened.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let is_waiting = |edit: &&Edit| edit.in_force_at.is_none() && !edit.unpublished_servers.is_empty();
        let waiting = self.edits.iter().filter(is_waiting);
        waiting.filter_map(|edit| edit.decided_at.map(|at| at + PUBLICATION_TIMEOUT)).min()
    }

    /// Edits that are decided and not in force, newest first.
    fn pending_edits(&mut self) -> impl Iterator<Item = &mut Edit> {
        self.edits.iter_mut().rev().filter(|edit| edit.decided_at.is_some() && edit.in_force_at.is_none())
    }
}
