//! One table with all versions that may be in force: from the oldest that some proxy may still use to the newest.

use runloom_controller::{ProxyId, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Weight of each server in a table.
pub(crate) type Entries = BTreeMap<ServerId, f64>;

/// Versions that are kept one by one. Beyond that the two oldest are merged, with the larger share of each server,
/// the cautious side.
const MAX_VERSIONS: usize = 64;

/// The share (0 to 1) of a table's requests that a server gets.
pub(crate) fn share(entries: &Entries, server: ServerId) -> f64 {
    let total: f64 = entries.values().sum();
    entries.get(&server).map_or(0.0, |weight| weight / total.max(f64::MIN_POSITIVE))
}

/// The entries without those of ejected servers.
pub(crate) fn without_ejected(entries: &Entries, ejected: &BTreeSet<ServerId>) -> Entries {
    let kept = entries.iter().filter(|(server, _)| !ejected.contains(server));
    kept.map(|(server, weight)| (*server, *weight)).collect()
}

/// A proxy that may use the table.
#[derive(Debug)]
struct TableUser {
    /// The version acknowledged last, or the newest when the proxy was assigned.
    version: u64,
    /// Requests a second.
    request_rate: f64,
    /// Assigned elsewhere by a message that is not acknowledged: it may still use this table.
    is_leaving: bool,
}

/// The users of one version.
#[derive(Debug, Default)]
struct VersionUsers {
    count: usize,
    /// Requests a second of all of them.
    request_rate: f64,
}

/// An older version that may be in force somewhere.
#[derive(Debug)]
struct OlderVersion {
    version: u64,
    shares: BTreeMap<ServerId, f64>,
}

/// One table with all versions that may be in force.
#[derive(Debug, Default)]
pub(crate) struct TrackedTable {
    entries: Entries,
    /// The entries without ejected servers, whose share goes to the others.
    effective_entries: Entries,
    newest_version: u64,
    /// Oldest first.
    older_versions: VecDeque<OlderVersion>,
    users: BTreeMap<ProxyId, TableUser>,
    users_by_version: BTreeMap<u64, VersionUsers>,
}

impl TrackedTable {
    /// The newest entries.
    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// The number of the newest version, from 1 on; 0 before the first.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// The proxies assigned to it by the newest commands.
    pub fn assigned_proxies(&self) -> Vec<ProxyId> {
        self.users.iter().filter(|(_, user)| !user.is_leaving).map(|(proxy, _)| *proxy).collect()
    }

    /// How many proxies are assigned to it by the newest commands.
    pub fn assigned_count(&self) -> usize {
        self.users.values().filter(|user| !user.is_leaving).count()
    }

    /// The servers in any version that may be in force.
    pub fn possible_servers(&self) -> BTreeSet<ServerId> {
        let older = self.older_versions.iter().flat_map(|older| older.shares.keys());
        self.entries.keys().chain(older).copied().collect()
    }

    /// Requests a second of all its users.
    pub fn request_rate(&self) -> f64 {
        self.users_by_version.values().map(|users| users.request_rate).sum()
    }

    /// Adds a version: the entries, or ejections of servers in them, changed.
    pub fn publish(&mut self, entries: Entries, ejected: &BTreeSet<ServerId>) {
        if !self.users.is_empty() && self.newest_version > 0 {
            let total: f64 = self.effective_entries.values().sum();
            let total = total.max(f64::MIN_POSITIVE);
            let effective = self.effective_entries.iter();
            let shares = effective.map(|(server, weight)| (*server, weight / total)).collect();
            self.older_versions.push_back(OlderVersion { version: self.newest_version, shares });
        }
        self.effective_entries = without_ejected(&entries, ejected);
        self.entries = entries;
        self.newest_version += 1;
        self.prune();
    }

    /// Assigns a proxy to the table, or changes the request rate of one that is assigned.
    pub fn assign(&mut self, proxy: ProxyId, request_rate: f64) {
        // A newly assigned proxy starts with the newest version: none before it can be in force there.
        let version = self.users.get(&proxy).map_or(self.newest_version, |user| user.version);
        self.remove(proxy);
        self.users.insert(proxy, TableUser { version, request_rate, is_leaving: false });
        self.add_user(version, request_rate);
    }

    /// Records that a message on its way assigns the proxy to another table.
    pub fn start_leaving(&mut self, proxy: ProxyId) {
        if let Some(user) = self.users.get_mut(&proxy) {
            user.is_leaving = true;
        }
    }

    /// Removes a proxy that was leaving: the message that does so is acknowledged.
    pub fn finish_leaving(&mut self, proxy: ProxyId) {
        if self.users.get(&proxy).is_some_and(|user| user.is_leaving) {
            self.remove(proxy);
        }
    }

    /// Removes a proxy.
    pub fn remove(&mut self, proxy: ProxyId) {
        if let Some(user) = self.users.remove(&proxy) {
            self.remove_user(user.version, user.request_rate);
            self.prune();
        }
    }

    /// Changes a proxy's request rate by `change` requests a second.
    pub fn change_rate(&mut self, proxy: ProxyId, change: f64) {
        let Some(user) = self.users.get_mut(&proxy) else { return };
        user.request_rate += change;
        if let Some(users) = self.users_by_version.get_mut(&user.version) {
            users.request_rate = (users.request_rate + change).max(0.0);
        }
    }

    /// Records that a proxy applied a version.
    pub fn acknowledge(&mut self, proxy: ProxyId, version: u64) {
        let Some(user) = self.users.get_mut(&proxy).filter(|user| user.version < version) else { return };
        let previous = std::mem::replace(&mut user.version, version);
        let request_rate = user.request_rate;
        self.remove_user(previous, request_rate);
        self.add_user(version, request_rate);
        self.prune();
    }

    /// The most requests a second that its users may send to a server, each on any version from the one that it
    /// acknowledged on, or on the `next` entries if they are given.
    pub fn max_load(&self, server: ServerId, next: Option<&Entries>) -> f64 {
        let next_share = next.map_or(0.0, |next| share(next, server));
        let mut max_share = share(&self.effective_entries, server).max(next_share);
        let mut load = 0.0;
        let mut older_versions = self.older_versions.iter().rev().peekable();
        // From the newest version back: a proxy may be on the version that it acknowledged or any later one.
        for (version, users) in self.users_by_version.iter().rev() {
            while let Some(older) = older_versions.next_if(|older| older.version >= *version) {
                max_share = max_share.max(older.shares.get(&server).copied().unwrap_or(0.0));
            }
            load += users.request_rate * max_share;
        }
        load
    }

    fn add_user(&mut self, version: u64, request_rate: f64) {
        let users = self.users_by_version.entry(version).or_default();
        users.count += 1;
        users.request_rate += request_rate;
    }

    fn remove_user(&mut self, version: u64, request_rate: f64) {
        let Some(users) = self.users_by_version.get_mut(&version) else { return };
        users.count -= 1;
        users.request_rate = (users.request_rate - request_rate).max(0.0);
        if users.count == 0 {
            self.users_by_version.remove(&version);
        }
    }

    /// Drops versions that are in force nowhere, and merges the oldest beyond [`MAX_VERSIONS`].
    fn prune(&mut self) {
        let oldest = self.users_by_version.keys().next().copied().unwrap_or(self.newest_version);
        while self.older_versions.front().is_some_and(|older| older.version < oldest) {
            self.older_versions.pop_front();
        }
        while self.older_versions.len() > MAX_VERSIONS {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        let Some(oldest) = self.older_versions.pop_front() else { return };
        let Some(next) = self.older_versions.front_mut() else { return };
        for (server, share) in oldest.shares {
            let merged = next.shares.entry(server).or_insert(0.0);
            *merged = merged.max(share);
        }
    }
}
