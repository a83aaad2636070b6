//! Ends a scenario and sums up its outcome.

use super::planner_settings::max_queued_entries;
use super::Testbed;
use crate::management_clients::EditOutcome;
use crate::planner_process::{read_metrics, PlannerProcess, ResourceUsage};
use crate::rule_checker::{find_violations, OverloadedServer, RuleLimits};
use runloom_proxy::ProxyCounts;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

const MAX_QUEUED_ENTRIES_METRIC: &str = "runloom_lines_waiting_most";

/// The outcome of a scenario.
#[derive(Debug, Clone)]
pub struct ScenarioOutcome {
    /// Number of the clients' requests, without retries.
    pub requests: u64,
    /// Number of requests that were answered successfully.
    pub succeeded: u64,
    /// Number of requests that were answered successfully within their latency objective.
    pub within_objective: u64,
    /// Value of the responses, as a share (0 to 1) of the value if every request were answered within its latency
    /// objective.
    pub service: f64,
    /// Number of keys that took effect more than once, among those of requests that must not run twice.
    pub duplicated_effects: usize,
    /// Violations of the five safety rules, one sentence each.
    pub violations: Vec<String>,
    /// Number of attempts that proxies made after the first one of a request.
    pub retries: u64,
    /// Number of table entries that proxies received.
    pub entries: u64,
    /// Number of messages that proxies received.
    pub messages: u64,
    /// The outcomes of the operators' edits, one for each edit and planner.
    pub edits: Vec<EditOutcome>,
    /// Number of the clients' failed attempts, by cause.
    pub failures: BTreeMap<String, u64>,
    /// Sums of the proxies' counters.
    pub counts: ProxyCounts,
    /// Number of cold servers that failed because they received too many requests.
    pub overloaded_servers: usize,
    /// Median latency of successful requests in microseconds.
    pub latency_p50_us: u32,
    /// 99th percentile of the latency of successful requests in microseconds.
    pub latency_p99_us: u32,
    /// The most table entries that were queued at a planner.
    pub max_queued_entries: u64,
    /// The planners' metrics by name; the last planner's value where several planners have one.
    pub metrics: BTreeMap<String, f64>,
    /// Memory and processor time of the first planner.
    pub planner_usage: ResourceUsage,
    /// Time from the start of the run until all proxies were connected and had their tables.
    pub settle_time: Duration,
}

impl Testbed {
    /// Ends management clients and planners, checks the rules, and returns the outcome.
    ///
    /// `management_offset` is the time from the management clients' epoch to the start of the scenario.
    pub(super) fn finish(&mut self, management_offset: Duration) -> ScenarioOutcome {
        let metrics: Vec<BTreeMap<String, f64>> =
            self.planners.iter().filter_map(|planner| read_metrics(planner.addresses.metrics)).collect();
        self.join_management_clients();
        let planner_usage = self.planners.first().map(PlannerProcess::resource_usage).unwrap_or_default();
        self.planners.iter_mut().for_each(PlannerProcess::kill);
        self.complete_observations(&metrics, management_offset);
        let counts = self.sum_proxy_counts();
        self.clients.totals.latencies_us.sort_unstable();
        let totals = &self.clients.totals;
        ScenarioOutcome {
            requests: totals.requests,
            succeeded: totals.succeeded,
            within_objective: totals.within_objective,
            service: totals.value_earned / totals.value_offered.max(1e-9),
            duplicated_effects: self.observations.duplicated_effects,
            violations: find_violations(&self.observations, &self.rule_limits()),
            retries: counts.retries,
            entries: self.entries_received,
            messages: self.observations.messages.values().map(|times| times.len() as u64).sum(),
            edits: self.management.edit_outcomes(),
            failures: totals.failures.clone(),
            counts,
            overloaded_servers: self.observations.overloaded_servers.len(),
            latency_p50_us: quantile(&totals.latencies_us, 0.5),
            latency_p99_us: quantile(&totals.latencies_us, 0.99),
            max_queued_entries: self.observations.max_queued_entries,
            metrics: metrics.into_iter().flatten().collect(),
            planner_usage,
            settle_time: self.settle_time,
        }
    }

    fn join_management_clients(&mut self) {
        self.management.is_finished.store(true, Ordering::Relaxed);
        for thread in std::mem::take(&mut self.management_threads) {
            let _ = thread.join();
        }
    }

    /// Adds the observations that are available only at the end.
    fn complete_observations(&mut self, metrics: &[BTreeMap<String, f64>], management_offset: Duration) {
        let queued = metrics.iter().filter_map(|planner| planner.get(MAX_QUEUED_ENTRIES_METRIC));
        self.observations.max_queued_entries = queued.copied().fold(0.0, f64::max) as u64;
        self.observations.duplicated_effects = self.servers.duplicated_effects();
        let mut notifications = self.management.notifications();
        for notification in &mut notifications {
            notification.at = notification.at.saturating_sub(management_offset);
        }
        notifications.sort_by_key(|notification| notification.at);
        self.observations.notifications = notifications;
        self.observations.overloaded_servers = self.overloaded_servers();
    }

    fn overloaded_servers(&self) -> Vec<OverloadedServer> {
        let since_start = |at: Duration| at.saturating_sub(self.scenario_start);
        let overloaded = self.servers.all.iter().filter_map(|server| {
            Some(OverloadedServer {
                server: server.name.clone(),
                failed_at: since_start(server.overloaded_at?),
                started_at: since_start(server.started_at),
            })
        });
        overloaded.collect()
    }

    fn rule_limits(&self) -> RuleLimits {
        RuleLimits {
            empty_table_grace_period: self.scenario.empty_table_grace_period,
            drain_grace_period: self.scenario.drain_grace_period,
            only_draining_binds: self.scenario.only_draining_binds,
            max_queued_entries: max_queued_entries(&self.scenario),
            max_messages: None,
        }
    }

    fn sum_proxy_counts(&self) -> ProxyCounts {
        let mut sums = ProxyCounts::default();
        for proxy in &self.proxies {
            let counts = proxy.runtime.proxy().counts();
            sums.arrived += counts.arrived;
            sums.succeeded += counts.succeeded;
            sums.retries += counts.retries;
            sums.over_admission_rate += counts.over_admission_rate;
            sums.no_endpoint += counts.no_endpoint;
            sums.failed += counts.failed;
        }
        sums
    }
}

/// The quantile of sorted values at a share (0 to 1); 0 if there are no values.
fn quantile(sorted: &[u32], share: f64) -> u32 {
    sorted.get((sorted.len() as f64 * share) as usize).copied().unwrap_or(0)
}
