//! The ledger of edits. An edit is new, the same again, or another under a used id. It is accepted, then
//! decided (the decisions were told), then in force at so many of the proxies that it concerns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Edits kept: an hour of one edit each four seconds. A client that repeats an older one edits anew.
pub const KEPT_MOST: usize = 1024;
/// Weights go out once a second, with room in the channel; what was not ordered in that time is in force as
/// it is, since the decisions saw nothing to change.
pub const BEAT: Duration = Duration::from_millis(1250);

/// How an id stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditLookup {
    New,
    Same,
    Other,
}

/// One accepted edit. Times are spans since the planner's start, but `accepted`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    pub id: String,
    pub who: String,
    /// By which the same edit is known again.
    pub digest: String,
    /// Milliseconds since 1970.
    pub accepted: u64,
    pub took: Option<Duration>,
    pub decided: Option<Duration>,
    pub in_force: Option<Duration>,
    /// Servers whose lines it may change; those not yet ordered about.
    open: BTreeSet<String>,
    /// Proxies that it was ordered to, and the marks that they have yet to confirm.
    awaited: BTreeMap<usize, u64>,
    pub of: usize,
}

impl Edit {
    pub fn at(&self) -> usize {
        self.of.saturating_sub(self.awaited.len())
    }

    pub fn state(&self) -> &'static str {
        match (self.decided, self.in_force) {
            (_, Some(_)) => "in-force",
            (Some(_), None) => "decided",
            (None, None) => "accepted",
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct EditHistory {
    edits: VecDeque<Edit>,
    made: u64,
}

impl EditHistory {
    pub fn edits(&self) -> impl Iterator<Item = &Edit> {
        self.edits.iter()
    }

    /// How an id stands; without a digest, any edit of that id is the same.
    pub fn known(&self, id: &str, digest: &str) -> EditLookup {
        match self.edits.iter().rfind(|e| e.id == id) {
            None => EditLookup::New,
            Some(e) if digest.is_empty() || e.digest == digest => EditLookup::Same,
            Some(_) => EditLookup::Other,
        }
    }

    /// Notes an accepted edit; an id is made for one that came without.
    pub fn accept(&mut self, id: Option<&str>, who: &str, digest: &str, at: u64) -> String {
        self.made += 1;
        let id = id.map_or_else(|| format!("e{at}-{}", self.made), str::to_string);
        if self.edits.len() >= KEPT_MOST {
            self.edits.pop_front();
        }
        self.edits.push_back(Edit {
            id: id.clone(),
            who: who.to_string(),
            digest: digest.to_string(),
            accepted: at,
            // Once it is on disk.
            took: None,
            decided: None,
            in_force: None,
            open: BTreeSet::new(),
            awaited: BTreeMap::new(),
            of: 0,
        });
        id
    }

    /// Edits are on disk: the decisions may be told.
    pub fn kept(&mut self, ids: &[String], now: Duration) {
        for edit in self.edits.iter_mut().rev().filter(|e| e.took.is_none() && ids.contains(&e.id)) {
            edit.took = Some(now);
        }
    }

    /// Takes back the newest edits of these ids: they could not be kept on disk, and nobody was told.
    pub fn forget(&mut self, ids: &[String]) {
        self.edits.retain(|e| !ids.contains(&e.id));
    }

    /// The decisions were told of what all accepted edits changed: these servers.
    pub fn decided(&mut self, now: Duration, servers: &BTreeSet<String>) {
        for edit in self.edits.iter_mut().filter(|e| e.decided.is_none() && e.took.is_some()) {
            edit.decided = Some(now);
            edit.open.clone_from(servers);
        }
    }

    /// Orders went out: about these servers, to these proxies, each with a number of its message.
    pub fn ordered(&mut self, servers: &BTreeSet<String>, proxies: &[(usize, u64)]) {
        for edit in self.waiting() {
            if edit.open.is_disjoint(servers) {
                continue;
            }
            edit.open.retain(|s| !servers.contains(s));
            for (proxy, message) in proxies {
                if edit.awaited.insert(*proxy, *message).is_none() {
                    edit.of += 1;
                }
            }
        }
    }

    /// A proxy confirmed a message and all before it.
    pub fn applied(&mut self, proxy: usize, message: u64) {
        for edit in self.waiting() {
            if edit.awaited.get(&proxy).is_some_and(|awaited| *awaited <= message) {
                edit.awaited.remove(&proxy);
            }
        }
    }

    /// A proxy is not joined any more: nothing is in force there by this planner.
    pub fn left(&mut self, proxy: usize) {
        for edit in self.waiting() {
            if edit.awaited.remove(&proxy).is_some() {
                edit.of -= 1;
            }
        }
    }

    /// Edits that have come in force by now.
    pub fn settle(&mut self, now: Duration) -> Vec<Edit> {
        let mut settled = Vec::new();
        for edit in self.waiting() {
            let rested = edit.decided.is_some_and(|at| now >= at + BEAT);
            if edit.awaited.is_empty() && (rested || edit.open.is_empty()) {
                edit.in_force = Some(now);
                edit.open.clear();
                settled.push(edit.clone());
            }
        }
        settled
    }

    /// When [`EditHistory::settle`] has something to do without any event.
    pub fn wakes_at(&self) -> Option<Duration> {
        let waiting = self.edits.iter().filter(|e| e.in_force.is_none() && !e.open.is_empty());
        waiting.filter_map(|e| e.decided.map(|at| at + BEAT)).min()
    }

    fn waiting(&mut self) -> impl Iterator<Item = &mut Edit> {
        // Edits settle nearly in order: those that wait are among the last.
        self.edits.iter_mut().rev().filter(|e| e.decided.is_some() && e.in_force.is_none())
    }

    /// From the file, as id, who, digest, and when each was accepted: edits of before this start are accepted, and
    /// where they are in force is not known.
    pub fn of(kept: impl Iterator<Item = (String, String, String, u64)>) -> EditHistory {
        let edit = |(id, who, digest, accepted)| Edit {
            id,
            who,
            digest,
            accepted,
            // Told to the decisions with the first list, like all that the file holds.
            took: Some(Duration::ZERO),
            decided: None,
            in_force: None,
            open: BTreeSet::new(),
            awaited: BTreeMap::new(),
            of: 0,
        };
        let edits: VecDeque<Edit> = kept.map(edit).collect();
        EditHistory { made: edits.len() as u64, edits }
    }
}
