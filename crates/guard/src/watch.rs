//! One table as it may be in force: the versions since the oldest that some proxy may still be on.

use runloom_controller::{ProxyId, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type Entries = BTreeMap<ServerId, f64>;

/// Versions kept apart; past it the two oldest become one that has the larger share of each line, which errs on
/// the cautious side.
const VERSIONS_MOST: usize = 64;

/// The part of a table's queries that a server gets.
pub fn share(lines: &Entries, server: ServerId) -> f64 {
    let all: f64 = lines.values().sum();
    lines.get(&server).map_or(0.0, |w| w / all.max(f64::MIN_POSITIVE))
}

/// Lines without those to withdrawn servers.
pub fn effective(lines: &Entries, withdrawn: &BTreeSet<ServerId>) -> Entries {
    lines.iter().filter(|(s, _)| !withdrawn.contains(s)).map(|(s, w)| (*s, *w)).collect()
}

#[derive(Debug)]
struct On {
    /// The version confirmed last, or the one that it was bound with.
    version: u64,
    /// Queries a second.
    rate: f64,
    /// Bound elsewhere by a message that it has not confirmed: it may still be on this one.
    lingers: bool,
}

#[derive(Debug, Default)]
pub struct TrackedTable {
    lines: Entries,
    /// Without those that are withdrawn: their part goes to the others.
    effective: Entries,
    newest: u64,
    /// Older versions that may be in force somewhere, oldest first: their number and each server's share.
    older: VecDeque<(u64, BTreeMap<ServerId, f64>)>,
    /// Who is on it.
    proxies: BTreeMap<ProxyId, On>,
    /// The same by version: how many, and their queries a second.
    at: BTreeMap<u64, (usize, f64)>,
}

impl TrackedTable {
    pub fn lines(&self) -> &Entries {
        &self.lines
    }

    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Who is bound to it, by the newest orders.
    pub fn proxies(&self) -> Vec<ProxyId> {
        self.proxies.iter().filter(|(_, on)| !on.lingers).map(|(p, _)| *p).collect()
    }

    pub fn users(&self) -> usize {
        self.proxies.values().filter(|on| !on.lingers).count()
    }

    /// Those that some version that may be in force has a line to.
    pub fn servers(&self) -> BTreeSet<ServerId> {
        let older = self.older.iter().flat_map(|(_, shares)| shares.keys());
        self.lines.keys().chain(older).copied().collect()
    }

    /// A new version goes out: lines, or withdrawals of servers in it, changed.
    pub fn version(&mut self, lines: Entries, withdrawn: &BTreeSet<ServerId>) {
        if !self.proxies.is_empty() && self.newest > 0 {
            let all: f64 = self.effective.values().sum();
            let shares = self.effective.iter().map(|(s, w)| (*s, w / all.max(f64::MIN_POSITIVE))).collect();
            self.older.push_back((self.newest, shares));
        }
        self.effective = effective(&lines, withdrawn);
        (self.lines, self.newest) = (lines, self.newest + 1);
        self.prune();
    }

    /// A proxy is bound to it, or is so with another load.
    pub fn join(&mut self, proxy: ProxyId, rate: f64) {
        // Bound with this version at the earliest: none before it can be in force there.
        let version = self.proxies.get(&proxy).map_or(self.newest, |on| on.version);
        self.leave(proxy);
        self.proxies.insert(proxy, On { version, rate, lingers: false });
        let here = self.at.entry(version).or_default();
        *here = (here.0 + 1, here.1 + rate);
    }

    /// It is bound elsewhere, by a message on its way.
    pub fn linger(&mut self, proxy: ProxyId) {
        if let Some(on) = self.proxies.get_mut(&proxy) {
            on.lingers = true;
        }
    }

    /// What it lingered on is in force there no more.
    pub fn let_go(&mut self, proxy: ProxyId) {
        if self.proxies.get(&proxy).is_some_and(|on| on.lingers) {
            self.leave(proxy);
        }
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        if let Some(on) = self.proxies.remove(&proxy) {
            self.less(on.version, on.rate);
            self.prune();
        }
    }

    fn less(&mut self, version: u64, rate: f64) {
        if let Some(here) = self.at.get_mut(&version) {
            *here = (here.0 - 1, (here.1 - rate).max(0.0));
            if here.0 == 0 {
                self.at.remove(&version);
            }
        }
    }

    pub fn add_rate(&mut self, proxy: ProxyId, more: f64) {
        if let Some(on) = self.proxies.get_mut(&proxy) {
            on.rate += more;
            if let Some(here) = self.at.get_mut(&on.version) {
                here.1 = (here.1 + more).max(0.0);
            }
        }
    }

    pub fn confirm(&mut self, proxy: ProxyId, version: u64) {
        let Some(on) = self.proxies.get_mut(&proxy).filter(|on| on.version < version) else { return };
        let (old, rate) = (std::mem::replace(&mut on.version, version), on.rate);
        self.less(old, rate);
        let here = self.at.entry(version).or_default();
        *here = (here.0 + 1, here.1 + rate);
        self.prune();
    }

    /// Versions that are in force nowhere any more.
    fn prune(&mut self) {
        let oldest = self.at.keys().next().copied().unwrap_or(self.newest);
        while self.older.front().is_some_and(|(v, _)| *v < oldest) {
            self.older.pop_front();
        }
        while self.older.len() > VERSIONS_MOST {
            let Some((_, first)) = self.older.pop_front() else { return };
            let Some((_, next)) = self.older.front_mut() else { return };
            for (server, share) in first {
                let at = next.entry(server).or_insert(0.0);
                *at = at.max(share);
            }
        }
    }

    /// The most that the proxies on it may send to a server, each on any version from the one it confirmed on;
    /// with a version that is to come, also on that one.
    pub fn load(&self, server: ServerId, next: Option<&Entries>) -> f64 {
        let mut most = share(&self.effective, server).max(next.map_or(0.0, |n| share(n, server)));
        let mut load = 0.0;
        let mut older = self.older.iter().rev().peekable();
        // From the newest back: what a proxy at a version may be on is that version or any after it.
        for (version, (_, rate)) in self.at.iter().rev() {
            while let Some((_, shares)) = older.next_if(|(v, _)| v >= version) {
                most = most.max(shares.get(&server).copied().unwrap_or(0.0));
            }
            load += rate * most;
        }
        load
    }
}

impl TrackedTable {
    /// Queries a second on it.
    pub fn load_of_all(&self) -> f64 {
        self.at.values().map(|(_, rate)| rate).sum()
    }
}
