//! Detection of proxies that do not apply what they acknowledge. A proxy that acknowledged a server's removal and still
//! sends requests to that server does not use the tables that the planner published.

use runloom_versioned_publisher::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Consecutive suspicious reports after which a proxy is resynced or disconnected. One is not enough: by the
/// proxy's clock, its window may have begun earlier than assumed here.
const SUSPICIOUS_REPORT_LIMIT: u32 = 2;
/// Limit on the acknowledged removals remembered for each proxy: more than a deployment causes in the few minutes that
/// matter.
const MAX_REMEMBERED_SERVERS: usize = 256;
/// Limit on the removed servers remembered for each table.
const MAX_REMOVED_SERVERS: usize = 1024;

/// Result of a check of a proxy, and the measure that follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// No measure is needed.
    Trusted,
    /// The proxy's tables are sent again, as snapshots.
    Resync,
    /// A resync did not help: the caller disconnects the proxy, which may connect again.
    Disconnect,
}

/// Servers that were removed from a table, each with the version that removed it, oldest first. Beyond
/// [`MAX_REMOVED_SERVERS`] the oldest are dropped.
#[derive(Debug, Default)]
pub(crate) struct RemovedServers(VecDeque<(Version, String)>);

impl RemovedServers {
    /// Adds the servers that a version removed.
    pub(crate) fn extend(&mut self, version: Version, servers: impl IntoIterator<Item = String>) {
        self.0.extend(servers.into_iter().map(|server| (version, server)));
        while self.0.len() > MAX_REMOVED_SERVERS {
            self.0.pop_front();
        }
    }

    /// Servers removed after version `after`, up to and including version `until`.
    fn between(&self, after: Version, until: Version) -> impl Iterator<Item = &String> {
        let newer = self.0.iter().rev().take_while(move |(version, _)| *version > after);
        newer.filter(move |(version, _)| *version <= until).map(|(_, server)| server)
    }
}

/// Checks a proxy's reports against the removals that it acknowledged.
#[derive(Debug, Default)]
pub(crate) struct ReportChecker {
    /// Servers whose removal the proxy acknowledged, and when it did.
    acknowledged_removals: BTreeMap<String, Duration>,
    /// The version that the proxy acknowledged last, by table.
    acknowledged_versions: BTreeMap<u16, Version>,
    /// Consecutive suspicious reports.
    suspicious_reports: u32,
    /// A resync was tried already; if it did not help, the proxy is disconnected.
    was_resynced: bool,
}

impl ReportChecker {
    /// Records that the proxy acknowledged a version of a table; `removed` holds the servers removed from that table.
    pub(crate) fn record_acknowledged_version(
        &mut self,
        now: Duration,
        table: u16,
        version: Version,
        removed: Option<&RemovedServers>,
    ) {
        let former = self.acknowledged_versions.insert(table, version).unwrap_or(version);
        for server in removed.into_iter().flat_map(|removed| removed.between(former, version)) {
            self.acknowledged_removals.insert(server.clone(), now);
        }
        while self.acknowledged_removals.len() > MAX_REMEMBERED_SERVERS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest =
            self.acknowledged_removals.iter().min_by_key(|(_, at)| **at).map(|(server, _)| server.clone());
        if let Some(server) = oldest {
            self.acknowledged_removals.remove(&server);
        }
    }

    /// Whether the proxy acknowledged the removal of this server from a table.
    pub(crate) fn has_acknowledged_removal(&self, server: &str) -> bool {
        self.acknowledged_removals.contains_key(server)
    }

    /// Checks a report over `window`. `unlisted` are those of its servers that are in none of the proxy's tables.
    /// Requests in flight when a table changed may end up to `grace_period` later, and are not suspicious.
    pub(crate) fn check_report<'a>(
        &mut self,
        now: Duration,
        window: Duration,
        grace_period: Duration,
        mut unlisted: impl Iterator<Item = &'a str>,
    ) -> Verdict {
        let is_suspicious = |server: &str| {
            self.acknowledged_removals.get(server).is_some_and(|at| now >= *at + grace_period + window)
        };
        if !unlisted.any(is_suspicious) {
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
        // The grace period restarts, since the tables are sent again now.
        for at in self.acknowledged_removals.values_mut() {
            *at = now;
        }
        Verdict::Resync
    }
}
