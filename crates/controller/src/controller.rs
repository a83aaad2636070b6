//! The controller of one planner: its state, its event handlers and the order of its decisions.

use crate::admission_control::AdmissionController;
use crate::command::Command;
use crate::config::{DeploymentConfig, LoadMetric};
use crate::endpoint::{slot, Endpoint, HealthState, TableEntry};
use crate::event::{EndpointUpdate, Event, ProxyId, ServerId, ZoneId};
use crate::flow_control::UpdateChannel;
use crate::proxy::{Proxy, MIN_REPORT_SECONDS};
use crate::statistics::update_average;
use crate::subsetting::{subset_of, Subset};
use nanorand::WyRand;
use std::time::Duration;

/// Time between two ticks, which update the estimates and send regular updates.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two evaluations. It is short so that changes that wait for room in the channel go out soon after
/// there is some.
pub(crate) const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two halvings of the counters. With few attempts it is longer, so that each endpoint gets some in
/// between.
const DECAY_INTERVAL: Duration = Duration::from_secs(3);
const DECAY_INTERVAL_FEW_ATTEMPTS: Duration = Duration::from_secs(12);
/// The shorter interval applies from this many attempts per endpoint on.
const MANY_ATTEMPTS: f32 = 16.0;
/// Gain of the moving average of an endpoint's success rate, per report.
const SUCCESS_RATE_GAIN: f64 = 0.5;
/// Gain of the moving average of an endpoint's utilization, per report.
const UTILIZATION_GAIN: f64 = 0.2;

/// Makes the decisions of one planner. It starts empty, and decides nothing before [`Event::Start`].
#[derive(Debug, Default)]
pub struct Controller {
    pub(crate) now: Duration,
    pub(crate) config: DeploymentConfig,
    /// Seeded by [`Event::Start`]; `None` before it.
    pub(crate) random: Option<WyRand>,
    pub(crate) endpoints: Vec<Endpoint>,
    /// Whether any list contained an endpoint. Reports may name endpoints earlier than that.
    pub(crate) has_listed_endpoints: bool,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) channel: UpdateChannel,
    pub(crate) admission: AdmissionController,
    pub(crate) subsets: Vec<Subset>,
    pub(crate) next_tick: Duration,
    pub(crate) decayed_at: Duration,
    /// The token of the pending timer; others are stale.
    pub(crate) timer_token: u64,
    /// Whether this step evaluates: something happened that cannot wait for the next timer.
    pub(crate) needs_evaluation: bool,
}

impl Controller {
    /// Handles the events that happened up to `now` and returns the commands to carry out. Call it whenever there are
    /// events.
    ///
    /// Reports are only accumulated until the next evaluation; lists, connecting proxies and timers trigger one.
    pub fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Command> {
        self.now = now;
        let mut commands = Vec::new();
        for event in events {
            self.handle_event(event, &mut commands);
        }
        if self.random.is_some() && std::mem::take(&mut self.needs_evaluation) {
            self.evaluate(&mut commands);
        }
        commands
    }

    /// Whether an endpoint is neither listed nor published in a table, so that its index may be released.
    pub fn is_unused(&self, server: ServerId) -> bool {
        let is_unused =
            |endpoint: &Endpoint| endpoint.health == HealthState::Unknown && endpoint.published.is_none();
        self.endpoints.get(server).is_none_or(is_unused)
    }

    fn evaluate(&mut self, commands: &mut Vec<Command>) {
        let is_tick = self.now >= self.next_tick;
        self.detect_outliers(commands);
        self.apply_panic_threshold();
        if is_tick {
            self.next_tick = self.now + TICK_INTERVAL;
            self.update_speed_estimates();
            self.decay_counters();
            self.update_admission();
        }
        self.assign_subsets(is_tick);
        self.publish(is_tick, commands);
    }

    pub(crate) fn handle_event(&mut self, event: &Event, commands: &mut Vec<Command>) {
        match event {
            Event::Start { seed, config } => self.start(*seed, config, commands),
            Event::EndpointsListed { update: EndpointUpdate::WatchFailed, .. } => {
                commands.push(Command::WatchEndpoints { enabled: true });
            }
            Event::EndpointsListed { update, records } => self.update_endpoints(*update, records),
            Event::ProxyConnected { proxy, request_rate, zone, has_no_table } => {
                self.connect(*proxy, *zone, *request_rate, *has_no_table);
            }
            Event::ProxyDisconnected { proxy } => {
                *slot(&mut self.proxies, *proxy) = Proxy::default();
                self.channel.disconnect(*proxy);
            }
            Event::UpdateAcknowledged { proxy, ack_token, .. } => {
                self.channel.acknowledge(*proxy, *ack_token);
            }
            Event::OutcomeReport { .. } => self.record_outcomes(event),
            Event::ArrivalReport { proxy, class, requests, window, .. } => {
                slot(&mut self.proxies, *proxy).record_arrivals(*class, *requests, *window, self.now);
            }
            Event::HealthChecked { server, result, load, .. } => {
                self.record_load(*server, load);
                slot(&mut self.endpoints, *server).record_health_check(*result, self.now);
            }
            Event::CommandRejected { command, published_weight } => {
                self.revert(command, *published_weight);
            }
            Event::WarmStart { hints } => self.apply_hints(hints),
            Event::ServerReleased { server } => *slot(&mut self.endpoints, *server) = Endpoint::default(),
            Event::TimerFired { token } if *token == self.timer_token => self.schedule_evaluations(commands),
            Event::TimerFired { .. }
            | Event::SliceArrivalReport { .. }
            | Event::SliceOwnership { .. }
            | Event::StoredEntry { .. }
            | Event::PeerMessage { .. } => {}
        }
    }

    fn start(&mut self, seed: u64, config: &DeploymentConfig, commands: &mut Vec<Command>) {
        *self = Controller { now: self.now, config: config.clone(), ..Controller::default() };
        self.random = Some(WyRand::new_seed(seed));
        self.schedule_evaluations(commands);
        if self.config.endpoint_list.needs_watch {
            commands.push(Command::WatchEndpoints { enabled: true });
        }
    }

    /// Triggers an evaluation in this step, and sets the timer that triggers the next one.
    fn schedule_evaluations(&mut self, commands: &mut Vec<Command>) {
        self.timer_token += 1;
        self.needs_evaluation = true;
        commands.push(Command::SetTimer { after: EVALUATION_INTERVAL, token: self.timer_token });
    }

    fn connect(&mut self, proxy: ProxyId, zone: ZoneId, request_rate: f64, has_no_table: bool) {
        let class_count = self.config.classes.len();
        *slot(&mut self.proxies, proxy) =
            Proxy::connected(zone, request_rate, class_count, has_no_table, self.now);
        self.needs_evaluation = true;
    }

    fn record_outcomes(&mut self, event: &Event) {
        let Event::OutcomeReport { zone, server, attempts, failures, mean_latency, window, load } = event
        else {
            return;
        };
        self.record_load(*server, load);
        let successes = attempts.saturating_sub(*failures) as f32;
        let latency = mean_latency.as_secs_f64();
        let endpoint = slot(&mut self.endpoints, *server);
        endpoint.last_report = self.now;
        let success_rate = f64::from(successes) / window.as_secs_f64().max(MIN_REPORT_SECONDS);
        update_average(slot(&mut endpoint.success_rates, *zone), success_rate, SUCCESS_RATE_GAIN);
        endpoint.attempts += *attempts as f32;
        endpoint.failures += *failures as f32;
        endpoint.consecutive_failures += *failures as f32;
        let pool = self.admission.pool_mut(endpoint.is_isolated);
        pool.attempts += *attempts as f64;
        pool.failures += *failures as f64;
        if successes > 0.0 {
            endpoint.consecutive_failures = 0.0;
            endpoint.last_success = self.now;
            endpoint.unverified = false;
            endpoint.latencies.add(latency, successes);
            pool.latencies.add(latency, successes);
        }
    }

    /// Records an endpoint's load report; values that are missing or not above 0 are ignored.
    fn record_load(&mut self, server: ServerId, load: &[f64]) {
        for (position, &value) in load.iter().enumerate() {
            if !value.is_finite() || value <= 0.0 {
                continue;
            }
            let endpoint = slot(&mut self.endpoints, server);
            match self.config.load_report.metrics.get(position) {
                Some(LoadMetric::Utilization) => {
                    update_average(&mut endpoint.utilization, value, UTILIZATION_GAIN);
                }
                Some(LoadMetric::ServiceTime) => endpoint.service_times.add(value / 1000.0, 1.0),
                Some(LoadMetric::Other(_)) | None => {}
            }
        }
    }

    /// Records that a rejected command was not carried out, so that the next evaluation issues it again if it is still
    /// wanted. It does not trigger an evaluation: the same command could be issued and rejected in an endless loop.
    fn revert(&mut self, command: &Command, published_weight: Option<f64>) {
        match command {
            Command::SetEntry { table, server, .. } => {
                let published = &mut slot(&mut self.endpoints, *server).published;
                match published_weight {
                    Some(weight) => *published = Some(TableEntry { table: *table, weight }),
                    // A move between tables has one command per table; the rejection of the other command reports what
                    // stays in the other table.
                    None => _ = published.take_if(|entry| entry.table == *table),
                }
            }
            Command::AssignTable { proxy, .. } => slot(&mut self.proxies, *proxy).assigned = None,
            Command::SetAdmission { table, class, .. } => {
                if let Some(subset) = self.subsets.get_mut(subset_of(*table)) {
                    *slot(&mut subset.published_admissions, *class) = None;
                }
            }
            _ => {}
        }
    }

    /// Halves the endpoints' counters every few seconds, less often when there are few attempts.
    fn decay_counters(&mut self) {
        let in_service = self.endpoints.iter().filter(|endpoint| endpoint.is_in_service());
        let attempts: Vec<f32> = in_service.map(|endpoint| endpoint.attempts).collect();
        let has_many_attempts = attempts.iter().sum::<f32>() >= MANY_ATTEMPTS * attempts.len() as f32;
        let interval = if has_many_attempts { DECAY_INTERVAL } else { DECAY_INTERVAL_FEW_ATTEMPTS };
        if self.now >= self.decayed_at + interval {
            self.decayed_at = self.now;
            self.endpoints.iter_mut().for_each(Endpoint::decay_counters);
        }
    }
}
