//! [`SafetyGuard`]: validates batches of commands and keeps the most recent rejections.

use crate::batch::{Batch, Rejections};
use crate::config::GuardConfig;
use crate::fleet_state::FleetState;
use crate::rejection::Rejection;
use crate::rejection_case::RejectionCase;
use crate::rules;
use runloom_controller::{ClassId, Command, ListedState, ProxyId, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Limit on the rejections that [`SafetyGuard::rejections`] returns; the counters cover all of them.
const MAX_RECENT_REJECTIONS: usize = 256;

/// A rejected command, and the value that stays published instead.
#[derive(Debug, Clone, PartialEq)]
pub struct RejectedCommand {
    /// The command, as the controller issued it.
    pub command: Command,
    /// For [`Command::SetEntry`]: the weight that stays published; `None` if the table has no entry for the
    /// server, and for other commands.
    pub published_weight: Option<f64>,
}

/// A batch after validation.
#[derive(Debug, Default)]
pub struct ValidatedBatch {
    /// The commands to execute, in the order of the batch.
    pub accepted: Vec<Command>,
    /// The remaining commands, in the order of the batch.
    pub rejected: Vec<RejectedCommand>,
    /// Proxies that the rejected commands would have updated: the controller waits for their acknowledgement.
    pub affected_proxies: BTreeSet<ProxyId>,
}

/// Validates commands against all table versions that may be in force at the proxies.
#[derive(Debug)]
pub struct SafetyGuard {
    /// Batches validated since the start.
    pub validated_batches: u64,
    state: FleetState,
    recent_rejections: VecDeque<Rejection>,
    rejection_counts: BTreeMap<&'static str, u64>,
}

impl SafetyGuard {
    /// A guard without servers, tables or proxies.
    pub fn new(config: GuardConfig) -> SafetyGuard {
        SafetyGuard {
            validated_batches: 0,
            state: FleetState::new(config),
            recent_rejections: VecDeque::new(),
            rejection_counts: BTreeMap::new(),
        }
    }

    /// The most recent rejections (up to 256), oldest first.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.recent_rejections.iter()
    }

    /// The tracked servers, tables and proxies.
    pub(crate) fn state_mut(&mut self) -> &mut FleetState {
        &mut self.state
    }

    /// Number of rejections since the start, by [`crate::RejectionReason::tag`].
    pub fn rejection_counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.rejection_counts
    }

    /// Overrides [`GuardConfig::overload_multiple`], the limit on the load of cold servers, up to the time `until`.
    pub fn raise_overload_multiple(&mut self, multiple: f64, until: Duration) {
        self.state.servers.raise_overload_multiple(multiple, until);
    }

    /// Forgets all tables, ejections and proxies, since the controller starts over. The servers stay; proxies keep
    /// the tables that they hold.
    pub fn restart(&mut self, config: GuardConfig) {
        self.state.restart(config);
    }

    /// Records what the endpoint list says of a server. `None` for `started` counts as long ago.
    pub fn update_endpoint(
        &mut self,
        server: ServerId,
        state: ListedState,
        configured_weight: f64,
        started: Option<Duration>,
    ) {
        self.state.servers.update(server, state, configured_weight, started);
    }

    /// Records a server's successful responses per second, summed over all of this planner's proxies.
    pub fn record_success_rate(&mut self, now: Duration, server: ServerId, success_rate: f64) {
        self.state.servers.record_success_rate(now, server, success_rate);
    }

    /// Records that a proxy connected that expects `request_rate` requests per second.
    pub fn connect_proxy(&mut self, proxy: ProxyId, request_rate: f64) {
        self.state.connect_proxy(proxy, request_rate);
    }

    /// Records that a proxy's connection ended.
    pub fn disconnect_proxy(&mut self, proxy: ProxyId) {
        self.state.disconnect_proxy(proxy);
    }

    /// Records the requests per second of one class that arrive at a proxy.
    pub fn record_arrival_rate(&mut self, proxy: ProxyId, class: ClassId, arrival_rate: f64) {
        self.state.record_arrival_rate(proxy, class, arrival_rate);
    }

    /// Records that message `number`, with the newest version of all of the proxy's tables, was sent to it.
    pub fn record_sent(&mut self, proxy: ProxyId, number: u64) {
        self.state.record_sent(proxy, number);
    }

    /// Records that a proxy acknowledged message `number`, and with it all earlier ones.
    pub fn acknowledge(&mut self, proxy: ProxyId, number: u64) {
        self.state.acknowledge(proxy, number);
    }

    /// Validates a batch of commands, which goes out as one message per proxy. The accepted commands count as
    /// published from now on.
    pub fn validate(&mut self, now: Duration, commands: Vec<Command>) -> ValidatedBatch {
        self.validated_batches += 1;
        let rejections = self.find_rejections(now, &commands);
        let staged = self.state.stage(Batch { commands: &commands, rejections: &rejections });
        let validated = self.split_batch(now, commands, rejections);
        self.state.publish(staged);
        validated
    }

    fn find_rejections(&self, now: Duration, commands: &[Command]) -> Rejections {
        let mut rejections = Rejections::new();
        for (position, command) in commands.iter().enumerate() {
            if let Some(rejection) = rules::check_command(&self.state, command) {
                rejections.insert(position, rejection);
            }
        }
        // A rejection changes the staged tables, so the check is repeated until it finds no more. Each round but
        // the last rejects at least one command.
        for _ in 0..=commands.len() {
            let batch = Batch { commands, rejections: &rejections };
            let staged = self.state.stage(batch);
            let more = rules::check_batch(&self.state, now, batch, &staged);
            if more.is_empty() {
                break;
            }
            rejections.extend(more);
        }
        rejections
    }

    /// Splits a batch into accepted and rejected commands, and records the rejections.
    fn split_batch(
        &mut self,
        now: Duration,
        commands: Vec<Command>,
        mut rejections: Rejections,
    ) -> ValidatedBatch {
        let mut validated = ValidatedBatch::default();
        for (position, command) in commands.into_iter().enumerate() {
            let Some(rejection) = rejections.remove(&position) else {
                validated.accepted.push(command);
                continue;
            };
            validated.affected_proxies.extend(self.affected_proxies(&command));
            let published_weight = self.published_weight(&command);
            validated.rejected.push(RejectedCommand { command, published_weight });
            self.record_rejection(now, rejection);
        }
        validated
    }

    fn published_weight(&self, command: &Command) -> Option<f64> {
        let Command::SetEntry { table, server, .. } = command else { return None };
        self.state.tables.get(table)?.entries().get(server).copied()
    }

    fn affected_proxies(&self, command: &Command) -> Vec<ProxyId> {
        match command {
            Command::AssignTable { proxy, .. } => vec![*proxy],
            Command::SetEntry { table, .. }
            | Command::ClearTable { table }
            | Command::SetAdmission { table, .. } => self.state.assigned_proxies(*table),
            _ => vec![],
        }
    }

    fn record_rejection(&mut self, now: Duration, rejection: Rejection) {
        *self.rejection_counts.entry(rejection.reason.tag()).or_default() += 1;
        if self.recent_rejections.len() >= MAX_RECENT_REJECTIONS {
            self.recent_rejections.pop_front();
        }
        let case = RejectionCase::capture(&self.state, now, &rejection);
        self.recent_rejections.push_back(Rejection { at: now, case: Some(case), ..rejection });
    }
}
