//! One table with all versions that may be in force, from the oldest that some proxy may still use to the newest.

use runloom_controller::{ProxyId, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The weights of a table's servers, which are positive.
pub(crate) type Entries = BTreeMap<ServerId, f64>;

/// Limit on the older versions that are tracked separately. Beyond it the two oldest are merged, with the larger
/// share of each server, which is the conservative assumption.
const MAX_OLDER_VERSIONS: usize = 64;

/// The share (0 to 1) of a table's requests that go to a server.
pub(crate) fn share(entries: &Entries, server: ServerId) -> f64 {
    let total: f64 = entries.values().sum();
    entries.get(&server).map_or(0.0, |weight| weight / total.max(f64::MIN_POSITIVE))
}

/// A copy of the entries without those of ejected servers.
pub(crate) fn without_ejected(entries: &Entries, ejected: &BTreeSet<ServerId>) -> Entries {
    let kept = entries.iter().filter(|(server, _)| !ejected.contains(server));
    kept.map(|(server, weight)| (*server, *weight)).collect()
}

/// A proxy that may use the table, and the oldest version that it may use.
#[derive(Debug)]
struct TableUser {
    /// The version that the proxy acknowledged last, or the newest at its assignment.
    version: u64,
    /// Requests per second that the proxy sends by this table.
    request_rate: f64,
    /// Whether a message that is not acknowledged assigns the proxy to another table: it may still use this one.
    is_leaving: bool,
}

/// The users whose [`TableUser::version`] is the same.
#[derive(Debug, Default)]
struct VersionUsers {
    count: usize,
    /// Requests per second of all of them together.
    request_rate: f64,
}

/// An older version that may be in force at some proxy.
#[derive(Debug)]
struct OlderVersion {
    version: u64,
    /// Share (0 to 1) of the table's requests for each server that was not ejected. Merged shares may add up to
    /// more than 1.
    shares: BTreeMap<ServerId, f64>,
}

/// One table with all versions that may be in force.
#[derive(Debug, Default)]
pub(crate) struct TrackedTable {
    entries: Entries,
    /// The entries without those of ejected servers, whose share goes to the others.
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

    /// The number of the newest version: 1 is the first, 0 stands for none.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// The proxies that the newest commands assign to the table.
    pub fn assigned_proxies(&self) -> Vec<ProxyId> {
        self.users.iter().filter(|(_, user)| !user.is_leaving).map(|(proxy, _)| *proxy).collect()
    }

    /// Number of proxies that the newest commands assign to the table.
    pub fn assigned_count(&self) -> usize {
        self.users.values().filter(|user| !user.is_leaving).count()
    }

    /// The servers with an entry in at least one version that may be in force.
    pub fn possible_servers(&self) -> BTreeSet<ServerId> {
        let older = self.older_versions.iter().flat_map(|older| older.shares.keys());
        self.entries.keys().chain(older).copied().collect()
    }

    /// Requests per second of all proxies that may use the table.
    pub fn request_rate(&self) -> f64 {
        self.users_by_version.values().map(|users| users.request_rate).sum()
    }

    /// Adds a version, since the entries or the ejections of servers in them changed.
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
        // A newly assigned proxy starts at the newest version: no earlier one can be in force there.
        let version = self.users.get(&proxy).map_or(self.newest_version, |user| user.version);
        self.remove(proxy);
        self.users.insert(proxy, TableUser { version, request_rate, is_leaving: false });
        self.add_user(version, request_rate);
    }

    /// Records that the proxy is assigned to another table, by a message that it has not acknowledged.
    pub fn start_leaving(&mut self, proxy: ProxyId) {
        if let Some(user) = self.users.get_mut(&proxy) {
            user.is_leaving = true;
        }
    }

    /// Removes a proxy that acknowledged its assignment to another table; does nothing if it was assigned to this
    /// one again.
    pub fn finish_leaving(&mut self, proxy: ProxyId) {
        if self.users.get(&proxy).is_some_and(|user| user.is_leaving) {
            self.remove(proxy);
        }
    }

    /// Removes a proxy, whether or not it is leaving.
    pub fn remove(&mut self, proxy: ProxyId) {
        if let Some(user) = self.users.remove(&proxy) {
            self.remove_user(user.version, user.request_rate);
            self.prune();
        }
    }

    /// Changes a proxy's request rate by `change` requests per second.
    pub fn change_rate(&mut self, proxy: ProxyId, change: f64) {
        let Some(user) = self.users.get_mut(&proxy) else { return };
        user.request_rate += change;
        if let Some(users) = self.users_by_version.get_mut(&user.version) {
            users.request_rate = (users.request_rate + change).max(0.0);
        }
    }

    /// Records that a proxy applied a version; ignores one that is not newer than the last.
    pub fn acknowledge(&mut self, proxy: ProxyId, version: u64) {
        let Some(user) = self.users.get_mut(&proxy).filter(|user| user.version < version) else { return };
        let previous = std::mem::replace(&mut user.version, version);
        let request_rate = user.request_rate;
        self.remove_user(previous, request_rate);
        self.add_user(version, request_rate);
        self.prune();
    }

    /// Upper bound of the requests per second that the table's users send to a server. Each user may be on the
    /// version that it acknowledged last, on any later one, or on the `next` entries if they are given.
    pub fn max_load(&self, server: ServerId, next: Option<&Entries>) -> f64 {
        let next_share = next.map_or(0.0, |next| share(next, server));
        let mut max_share = share(&self.effective_entries, server).max(next_share);
        let mut load = 0.0;
        let mut older_versions = self.older_versions.iter().rev().peekable();
        // From the newest version to the oldest: `max_share` is the largest share in `version` and all later ones.
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

    /// Drops versions that cannot be in force at any proxy, and merges the oldest beyond [`MAX_OLDER_VERSIONS`].
    fn prune(&mut self) {
        let oldest = self.users_by_version.keys().next().copied().unwrap_or(self.newest_version);
        while self.older_versions.front().is_some_and(|older| older.version < oldest) {
            self.older_versions.pop_front();
        }
        while self.older_versions.len() > MAX_OLDER_VERSIONS {
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
