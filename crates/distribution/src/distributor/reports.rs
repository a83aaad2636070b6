//! Checks of reports, which find proxies that do not apply what they acknowledged.

use super::{Distributor, ProxyId};
use crate::pending_proxy::Transport;
use crate::suspicion::Verdict;
use runloom_versioned_publisher::{Key, Topic};
use std::time::Duration;

impl Distributor {
    /// Checks by a proxy's report over `window` whether the proxy applies what it acknowledged. `attempted` are the
    /// servers that it sent requests to. A proxy without assignments, or with unacknowledged updates, is not checked.
    pub fn check_report<'a>(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        window: Duration,
        attempted: impl Iterator<Item = &'a str>,
    ) -> Verdict {
        let Some(member) = self.members.get_mut(&proxy) else { return Verdict::Trusted };
        let topics = member.topics(proxy);
        let is_current =
            |topic: &Topic| self.publisher.unacknowledged_version(&member.name, *topic).is_none();
        if member.assignments.is_empty()
            || !member.unassigned_tables.is_empty()
            || !topics.iter().all(is_current)
        {
            return Verdict::Trusted;
        }
        let removed: Vec<&str> =
            attempted.filter(|server| member.report_checker.has_acknowledged_removal(server)).collect();
        let is_listed = |server: &str| {
            let key = Key::Entry(server.to_string());
            let mut tables = topics.iter().filter_map(|topic| self.publisher.table(*topic));
            tables.any(|(_, state)| state.contains_key(&key))
        };
        let unlisted = removed.into_iter().filter(|server| !is_listed(server));
        let verdict = member.report_checker.check_report(now, window, self.report_grace_period, unlisted);
        if verdict == Verdict::Resync {
            self.resync(proxy, &topics);
        }
        verdict
    }

    /// Sends a proxy its tables again, as snapshots.
    fn resync(&mut self, proxy: ProxyId, topics: &[Topic]) {
        let Some(member) = self.members.get_mut(&proxy) else { return };
        self.resync_count += 1;
        for topic in topics {
            self.publisher.resync(&member.name, *topic);
        }
        member.replaces_all = member.transport == Transport::Edits;
        self.ready_proxies.insert(proxy);
    }
}
