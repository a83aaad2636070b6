//! Runs one scenario on loopback: each planner is a process; proxies, servers and clients share one event loop; the
//! feed and the operators run on threads.

mod endpoint_listing;
mod fault_injection;
mod observation;
mod planner_settings;
mod report;
mod restart_observation;
mod setup;

pub use observation::StreamGeneration;
pub use report::ScenarioOutcome;

use crate::fake_servers::FakeServers;
use crate::issuer::Issuer;
use crate::load_generator::{LoadGenerator, CLASSES};
use crate::management_clients::ManagementState;
use crate::planner_process::PlannerProcess;
use crate::rule_checker::{Observations, PlannerConnection};
use crate::scenario::Scenario;
use endpoint_listing::EndpointListing;
use fault_injection::TestbedAction;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::Rng;
use restart_observation::RestartObservation;
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_event_loop::{ConnectionId, EventLoop};
use runloom_model::tls_files::TlsFiles;
use runloom_versioned_publisher::{Topic, Version};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time between two observations of the proxies' tables.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which all proxies must be connected and have their tables.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which the testbed waits, after the last arrival, for requests and edits in progress.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Period of a slow reader in observation intervals; it reads its stream during one of them.
const SLOW_READER_PERIOD: usize = 10;
/// Highest update lag that the histogram resolves, in microseconds.
const MAX_UPDATE_LAG_US: u64 = 60_000_000;

/// A proxy with its observed connection.
struct ObservedProxy {
    runtime: ProxyRuntime,
    /// Its connection to a planner when it was last observed; `None` if it had none.
    connection: Option<PlannerConnection>,
    /// Number of streams that it has opened to planners since its start.
    streams: u64,
}

/// A scenario with its processes, sockets and threads.
pub struct Testbed {
    event_loop: EventLoop,
    scenario: Scenario,
    rng: StdRng,
    /// Seed of the next planner to start, incremented before each restart.
    planner_seed: u64,
    /// Seed from which the servers of each fault are drawn.
    scenario_seed: u64,
    folder: PathBuf,
    program: PathBuf,
    planner_arguments: Vec<String>,
    planners: Vec<PlannerProcess>,
    servers: FakeServers,
    clients: LoadGenerator,
    proxies: Vec<ObservedProxy>,
    /// Index of the proxy that opened or accepted a connection.
    connection_owners: BTreeMap<ConnectionId, usize>,
    management: Arc<ManagementState>,
    management_threads: Vec<JoinHandle<()>>,
    /// Origin of the management clients' times.
    epoch: Instant,
    listing: EndpointListing,
    /// Pending actions with the times of the scenario at which they are due.
    scheduled_actions: Vec<(Duration, TestbedAction)>,
    observations: Observations,
    /// Number of table entries that proxies received.
    entries_received: u64,
    operator_credentials: TlsFiles,
    feed_credentials: TlsFiles,
    issuer: Issuer,
    identities_renewed_at: Duration,
    /// Origin of the scenario's times, on the event loop's clock.
    scenario_start: Duration,
    /// Time from the start of the run until all proxies were connected and had their tables.
    settle_time: Duration,
    synthetic_request_rate: Option<f64>,
    /// Time of the scenario up to which synthetic requests were simulated.
    synthetic_requests_until: Duration,
    slow_reader_share: f64,
    /// When the first proxy received a version of a table, on the scenario's clock.
    first_received: BTreeMap<(Topic, Version), Duration>,
    update_lag_us: Histogram<u64>,
    stream_generations: BTreeMap<u64, StreamGeneration>,
    restart: RestartObservation,
}

impl Testbed {
    /// Simulates requests at this rate over all proxies, which select servers for them without using sockets. This
    /// reaches rates that the sockets of one machine do not.
    pub fn set_synthetic_request_rate(&mut self, requests_per_second: f64) {
        self.synthetic_request_rate = Some(requests_per_second);
    }

    /// Makes a share (0 to 1) of the proxies read their stream only once per second.
    pub fn set_slow_reader_share(&mut self, share: f64) {
        self.slow_reader_share = share;
    }

    /// The planners by index.
    pub fn planners(&self) -> &[PlannerProcess] {
        &self.planners
    }

    /// The TLS credentials with which operators connect to planners.
    pub fn operator_credentials(&self) -> &TlsFiles {
        &self.operator_credentials
    }

    /// Microseconds from the receipt of a version of a table by the first proxy to its receipt by each proxy, without
    /// slow readers.
    pub fn update_lag_us(&self) -> &Histogram<u64> {
        &self.update_lag_us
    }

    /// When proxies opened their n-th stream, by n.
    pub fn stream_generations(&self) -> &BTreeMap<u64, StreamGeneration> {
        &self.stream_generations
    }

    /// Observations of the last planner restart.
    pub fn restart(&self) -> &RestartObservation {
        &self.restart
    }

    /// Sets a function that changes a planner's state folder before the planner is started again.
    pub fn set_before_restart(&mut self, change: fn(&std::path::Path)) {
        self.restart.before_restart = Some(change);
    }

    /// Runs the scenario to its end, and returns its outcome.
    ///
    /// # Errors
    /// Returns the cause if proxies do not get their tables, or if a process, a socket or a file fails.
    pub fn run(&mut self) -> Result<ScenarioOutcome, String> {
        self.settle()?;
        let management_offset = self.begin_scenario();
        let mut next_observation = Duration::ZERO;
        let end = self.scenario.duration + DRAIN_TIME;
        while self.now() < end {
            let now = self.now();
            if now >= self.scenario.duration {
                self.clients.is_sending = false;
            }
            self.run_due_actions(now)?;
            if now >= next_observation {
                next_observation = now + OBSERVATION_INTERVAL;
                self.observe_tables(now);
                self.simulate_requests(now);
                self.update_slow_readers(now);
                self.renew_identities()?;
            }
            let next_action = self.scheduled_actions.iter().map(|(at, _)| *at).min().unwrap_or(end);
            self.poll(self.scenario_start + next_action.min(next_observation))?;
        }
        Ok(self.finish(management_offset))
    }

    /// Waits until all proxies are connected and have their tables.
    fn settle(&mut self) -> Result<(), String> {
        let begin = self.event_loop.now();
        let has_tables = |proxy: &ObservedProxy| proxy.runtime.proxy().tables().is_from_planner();
        while !self.proxies.iter().all(has_tables) {
            self.renew_identities()?;
            if self.event_loop.now() > begin + SETTLE_TIMEOUT {
                return Err("not all proxies received their tables from a planner within a minute".into());
            }
            self.poll(self.event_loop.now() + OBSERVATION_INTERVAL)?;
        }
        self.settle_time = self.event_loop.now().saturating_sub(begin);
        Ok(())
    }

    /// Starts the scenario's clock, schedules its faults and edits, and starts the clients. Returns the time from the
    /// management clients' epoch to the start.
    fn begin_scenario(&mut self) -> Duration {
        self.scenario_start = self.event_loop.now();
        // Updates received while the proxies connect are no measure of how far one lags behind.
        self.first_received.clear();
        self.update_lag_us.reset();
        let management_offset = self.epoch.elapsed();
        let faults = self.scenario.faults.iter();
        self.scheduled_actions
            .extend(faults.map(|fault| (fault.at, TestbedAction::InjectFault(fault.clone()))));
        let edits = self.scenario.edits.iter();
        self.scheduled_actions.extend(edits.map(|edit| (edit.at, TestbedAction::SendEdit(edit.clone()))));
        self.clients.start(self.event_loop.now());
        management_offset
    }

    /// Time since the start of the scenario.
    fn now(&self) -> Duration {
        self.event_loop.now().saturating_sub(self.scenario_start)
    }

    /// Simulates the synthetic requests that are due since the last call.
    fn simulate_requests(&mut self, now: Duration) {
        let Some(rate) = self.synthetic_request_rate else { return };
        let elapsed = now.saturating_sub(self.synthetic_requests_until).as_secs_f64();
        self.synthetic_requests_until = now;
        let request_count = (rate * elapsed) as usize;
        let at = self.event_loop.now();
        for _ in 0..request_count {
            let proxy = self.rng.random_range(0..self.proxies.len());
            let class = self.rng.random_range(0..CLASSES.len());
            self.proxies[proxy].runtime.simulate_request(at, class, self.scenario.service_time);
        }
    }

    /// Number of proxies that read slowly; they have the lowest indices.
    fn slow_reader_count(&self) -> usize {
        (self.slow_reader_share * self.proxies.len() as f64) as usize
    }

    /// Lets each slow reader read in one of every [`SLOW_READER_PERIOD`] observation intervals, and stalls it in the
    /// others. The readers take turns.
    fn update_slow_readers(&mut self, now: Duration) {
        let interval = (now.as_millis() / OBSERVATION_INTERVAL.as_millis()) as usize;
        for proxy in 0..self.slow_reader_count() {
            let is_stalled = (proxy + interval) % SLOW_READER_PERIOD != 0;
            self.proxies[proxy].runtime.set_unresponsive(&mut self.event_loop, is_stalled);
        }
    }

    /// Waits for events until a time on the event loop's clock, and handles those that arrived.
    fn poll(&mut self, until: Duration) -> Result<(), String> {
        let proxies = self.proxies.iter().filter_map(|proxy| proxy.runtime.next_wakeup()).min();
        let deadlines = [self.servers.next_deadline(), self.clients.next_deadline(), proxies, Some(until)];
        let next_deadline = deadlines.into_iter().flatten().min();
        for event in self.event_loop.wait(next_deadline).map_err(|e| e.to_string())? {
            self.dispatch(event);
        }
        self.servers.poll(&mut self.event_loop, &mut self.rng);
        self.clients.poll(&mut self.event_loop, &mut self.rng);
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].runtime.run_due_tasks(&mut self.event_loop);
            self.register_connections(proxy);
            self.observe_updates(proxy);
            self.observe_connection(proxy);
        }
        Ok(())
    }
}
