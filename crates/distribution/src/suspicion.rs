//! Detection of proxies that do not apply what they acknowledge: one that acknowledged that a server was removed, and
//! goes on sending requests there, has tables that are not the planner's.

use runloom_versioned_publisher::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Suspicious reports in a row that count: a single one may cover a window that the proxy's clock has cut differently.
const SUSPICIOUS_REPORT_LIMIT: u32 = 2;
/// Removed servers remembered for each proxy: more than a deployment removes in the minutes that matter.
const MAX_REMEMBERED_SERVERS: usize = 256;
/// Removed servers remembered for each table.
const MAX_REMOVED_SERVERS: usize = 1024;

/// What is to be done about a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// Nothing.
    Trusted,
    /// Its tables are sent again, from snapshots.
    Resync,
    /// A resync did not help: it is disconnected, and may connect again.
    Disconnect,
}

/// Servers that were removed from a table, by the version that removed them; the oldest are forgotten.
#[derive(Debug, Default)]
pub(crate) struct RemovedServers(VecDeque<(Version, String)>);

impl RemovedServers {
    pub(crate) fn extend(&mut self, version: Version, servers: impl IntoIterator<Item = String>) {
        self.0.extend(servers.into_iter().map(|server| (version, server)));
        while self.0.len() > MAX_REMOVED_SERVERS {
            self.0.pop_front();
        }
    }

    /// Servers removed after version `after`, up to version `until`.
    fn between(&self, after: Version, until: Version) -> impl Iterator<Item = &String> {
        let newer = self.0.iter().rev().take_while(move |(version, _)| *version > after);
        newer.filter(move |(version, _)| *version <= until).map(|(_, server)| server)
    }
}

/// What one proxy acknowledged, and how far its reports contradict that.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// Servers that it acknowledged as removed, and when.
    removed: BTreeMap<String, Duration>,
    /// The version that it acknowledged last, by table.
    acknowledged: BTreeMap<u16, Version>,
    /// Suspicious reports in a row.
    suspicious_reports: u32,
    was_resynced: bool,
}

impl Suspicion {
    /// It acknowledged a version of a table, of which `removed` are the removed servers.
    pub(crate) fn acknowledged(
        &mut self,
        now: Duration,
        table: u16,
        version: Version,
        removed: Option<&RemovedServers>,
    ) {
        let former = self.acknowledged.insert(table, version).unwrap_or(version);
        for server in removed.into_iter().flat_map(|removed| removed.between(former, version)) {
            self.removed.insert(server.clone(), now);
        }
        while self.removed.len() > MAX_REMEMBERED_SERVERS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, at)| **at).map(|(server, _)| server.clone());
        if let Some(server) = oldest {
            self.removed.remove(&server);
        }
    }

    /// Whether it acknowledged that this server was removed.
    pub(crate) fn acknowledged_removal(&self, server: &str) -> bool {
        self.removed.contains_key(server)
    }

    /// Checks a report over `window`. `attempted` are the servers in it that are in none of the proxy's tables; a
    /// request in flight when a table changed may end until `grace_period` later.
    pub(crate) fn check_report<'a>(
        &mut self,
        now: Duration,
        window: Duration,
        grace_period: Duration,
        mut attempted: impl Iterator<Item = &'a str>,
    ) -> Verdict {
        let is_suspicious =
            |server: &str| self.removed.get(server).is_some_and(|at| now >= *at + grace_period + window);
        if !attempted.any(is_suspicious) {
            self.suspicious_reports = 0;
            return Verdict::Trusted;
        }
        self.suspicious_reports += 1;
        if self.suspicious_reports < SUSPICIOUS_REPORT_LIMIT {
            return Verdict::Trusted;
        }
        self.suspicious_reports = 0;
        if self.was_resynced {
            return Verdict::Disconnect;
        }
        self.was_resynced = true;
        // The grace period starts over with the tables that are sent now.
        for at in self.removed.values_mut() {
            *at = now;
        }
        Verdict::Resync
    }
}
