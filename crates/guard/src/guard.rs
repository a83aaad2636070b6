//! [`SafetyGuard`]: validates batches of commands and keeps the rejections.

use crate::batch::{Batch, Rejections};
use crate::config::GuardConfig;
use crate::fleet_state::FleetState;
use crate::rejection::Rejection;
use crate::rejection_case::RejectionCase;
use crate::rules;
use runloom_controller::{ClassId, Command, ListedState, ProxyId, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Rejections that are kept for reading; the counters go on.
const MAX_KEPT_REJECTIONS: usize = 256;

/// A command that was rejected, and what stays in its place.
#[derive(Debug, Clone, PartialEq)]
pub struct RejectedCommand {
    /// The command.
    pub command: Command,
    /// For [`Command::SetEntry`]: the weight that stays published.
    pub published_weight: Option<f64>,
}

/// A batch after validation.
#[derive(Debug, Default)]
pub struct ValidatedBatch {
    /// The commands to carry out, in their order.
    pub accepted: Vec<Command>,
    /// The others.
    pub rejected: Vec<RejectedCommand>,
    /// Proxies that rejected commands would have reached: the controller waits for their acknowledgement.
    pub affected_proxies: BTreeSet<ProxyId>,
}

/// Validates commands against all table versions that may be in force.
#[derive(Debug)]
pub struct SafetyGuard {
    /// Batches validated since the start.
    pub validated_batches: u64,
    state: FleetState,
    kept_rejections: VecDeque<Rejection>,
    rejection_counts: BTreeMap<&'static str, u64>,
}

impl SafetyGuard {
    /// A guard that knows of no servers, tables and proxies.
    pub fn new(config: GuardConfig) -> SafetyGuard {
        SafetyGuard {
            validated_batches: 0,
            state: FleetState::new(config),
            kept_rejections: VecDeque::new(),
            rejection_counts: BTreeMap::new(),
        }
    }

    /// The newest rejections, oldest first.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.kept_rejections.iter()
    }

    /// What the guard knows of the fleet.
    pub(crate) fn state_mut(&mut self) -> &mut FleetState {
        &mut self.state
    }

    /// Rejections since the start, by [`crate::RejectionReason::tag`].
    pub fn rejection_counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.rejection_counts
    }

    /// Replaces the limit on the load of cold servers (see [`GuardConfig::overload_multiple`]) until a time.
    pub fn raise_overload_multiple(&mut self, multiple: f64, until: Duration) {
        self.state.servers.raise_overload_multiple(multiple, until);
    }

    /// The controller starts over: its tables count no more, and proxies keep what they hold.
    pub fn restart(&mut self, config: GuardConfig) {
        self.state.restart(config);
    }

    /// A server's record in the endpoint list changed. `started` is `None` for long ago.
    pub fn update_endpoint(
        &mut self,
        server: ServerId,
        state: ListedState,
        configured_weight: f64,
        started: Option<Duration>,
    ) {
        self.state.servers.update(server, state, configured_weight, started);
    }

    /// A server's successful responses a second, over all of this planner's proxies.
    pub fn record_success_rate(&mut self, now: Duration, server: ServerId, success_rate: f64) {
        self.state.servers.record_success_rate(now, server, success_rate);
    }

    /// A proxy connected that expects `request_rate` requests a second.
    pub fn connect_proxy(&mut self, proxy: ProxyId, request_rate: f64) {
        self.state.connect_proxy(proxy, request_rate);
    }

    /// A proxy's connection ended.
    pub fn disconnect_proxy(&mut self, proxy: ProxyId) {
        self.state.disconnect_proxy(proxy);
    }

    /// Requests a second of one class that arrive at a proxy.
    pub fn record_arrival_rate(&mut self, proxy: ProxyId, class: ClassId, arrival_rate: f64) {
        self.state.record_arrival_rate(proxy, class, arrival_rate);
    }

    /// A message went out to a proxy: it brings the newest version of all its tables.
    pub fn record_sent(&mut self, proxy: ProxyId, number: u64) {
        self.state.record_sent(proxy, number);
    }

    /// A proxy acknowledged message `number`, and so all before it.
    pub fn acknowledge(&mut self, proxy: ProxyId, number: u64) {
        self.state.acknowledge(proxy, number);
    }

    /// Validates a batch of commands that goes out as one message a proxy. What is accepted counts as sent.
    pub fn validate(&mut self, now: Duration, commands: Vec<Command>) -> ValidatedBatch {
        self.validated_batches += 1;
        let rejections = self.find_rejections(now, &commands);
        let staged = self.state.stage(Batch { commands: &commands, rejections: &rejections });
        let validated = self.split(now, commands, rejections);
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
        // Each round rejects at least one more command, or is the last.
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

    /// Divides a batch into accepted and rejected commands, and keeps the rejections.
    fn split(&mut self, now: Duration, commands: Vec<Command>, mut rejections: Rejections) -> ValidatedBatch {
        let mut validated = ValidatedBatch::default();
        for (position, command) in commands.into_iter().enumerate() {
            let Some(rejection) = rejections.remove(&position) else {
                validated.accepted.push(command);
                continue;
            };
            validated.affected_proxies.extend(self.affected_proxies(&command));
            let published_weight = self.published_weight(&command);
            validated.rejected.push(RejectedCommand { command, published_weight });
            self.keep_rejection(now, rejection);
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

    fn keep_rejection(&mut self, now: Duration, rejection: Rejection) {
        *self.rejection_counts.entry(rejection.reason.tag()).or_default() += 1;
        if self.kept_rejections.len() >= MAX_KEPT_REJECTIONS {
            self.kept_rejections.pop_front();
        }
        let case = RejectionCase::capture(&self.state, now, &rejection);
        self.kept_rejections.push_back(Rejection { at: now, case: Some(case), ..rejection });
    }
}
