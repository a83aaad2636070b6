//! One scenario on loopback: planners as processes of their own; proxies, servers and clients on one event loop; feed
//! and operators on threads.

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

/// How often the proxies' tables are observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Proxies have to be connected and have their tables within this time.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// After the last arrival, the testbed waits this long for requests and edits on their way.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// A slow reader reads its stream in one of so many observation intervals.
const SLOW_READER_PERIOD: usize = 10;
/// Highest update lag that is told apart, in microseconds.
const MAX_UPDATE_LAG_US: u64 = 60_000_000;

/// A proxy, and what was observed of it.
struct ObservedProxy {
    runtime: ProxyRuntime,
    connection: Option<PlannerConnection>,
    /// Streams that it had so far.
    streams: u64,
}

/// Everything that a scenario needs, started and connected.
pub struct Testbed {
    event_loop: EventLoop,
    scenario: Scenario,
    rng: StdRng,
    /// Seed of the next planner's start; it grows with each restart.
    planner_seed: u64,
    /// Seed of the faults, the same throughout the scenario.
    scenario_seed: u64,
    folder: PathBuf,
    program: PathBuf,
    planner_arguments: Vec<String>,
    planners: Vec<PlannerProcess>,
    servers: FakeServers,
    clients: LoadGenerator,
    proxies: Vec<ObservedProxy>,
    /// The proxy of each connection that proxies opened or accepted.
    connection_owners: BTreeMap<ConnectionId, usize>,
    management: Arc<ManagementState>,
    management_threads: Vec<JoinHandle<()>>,
    /// Times of the management clients count from here.
    epoch: Instant,
    listing: EndpointListing,
    /// Actions with the times at which they are due.
    agenda: Vec<(Duration, TestbedAction)>,
    observations: Observations,
    /// Table entries that proxies received.
    entries_received: u64,
    operator_credentials: TlsFiles,
    feed_credentials: TlsFiles,
    issuer: Issuer,
    identities_renewed_at: Duration,
    /// Times of the scenario count from here.
    scenario_start: Duration,
    /// Time from the first proxy's connect until all had their tables.
    settle_time: Duration,
    synthetic_request_rate: Option<f64>,
    synthetic_requests_until: Duration,
    slow_reader_share: f64,
    /// When the first proxy received a version of a table.
    first_received: BTreeMap<(Topic, Version), Duration>,
    update_lag_us: Histogram<u64>,
    stream_generations: BTreeMap<u64, StreamGeneration>,
    restart: RestartObservation,
}

impl Testbed {
    /// Makes proxies pick servers for so many requests a second that pass no socket, for sizes that the sockets of
    /// one machine do not reach.
    pub fn set_synthetic_request_rate(&mut self, requests_per_second: f64) {
        self.synthetic_request_rate = Some(requests_per_second);
    }

    /// Makes a share (0 to 1) of the proxies read their stream once a second only.
    pub fn set_slow_reader_share(&mut self, share: f64) {
        self.slow_reader_share = share;
    }

    /// The planners by index.
    pub fn planners(&self) -> &[PlannerProcess] {
        &self.planners
    }

    /// The credentials of the operators' sessions.
    pub fn operator_credentials(&self) -> &TlsFiles {
        &self.operator_credentials
    }

    /// How much later than the first proxy the others received a version of a table, in microseconds; slow readers
    /// are left out.
    pub fn update_lag_us(&self) -> &Histogram<u64> {
        &self.update_lag_us
    }

    /// The proxies' second streams, their third ones and so on, by number.
    pub fn stream_generations(&self) -> &BTreeMap<u64, StreamGeneration> {
        &self.stream_generations
    }

    /// What was observed of the last planner restart.
    pub fn restart(&self) -> &RestartObservation {
        &self.restart
    }

    /// Sets what is done to a planner's state folder before the planner is started again.
    pub fn set_before_restart(&mut self, change: fn(&std::path::Path)) {
        self.restart.before_restart = Some(change);
    }

    /// Plays the scenario to its end.
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
                self.send_synthetic_requests(now);
                self.update_slow_readers(now);
                self.renew_identities()?;
            }
            let next_action = self.agenda.iter().map(|(at, _)| *at).min().unwrap_or(end);
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
                return Err("the proxies did not get their tables within a minute".into());
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
        // Updates received while connecting say nothing of how far behind a proxy is.
        self.first_received.clear();
        self.update_lag_us.reset();
        let management_offset = self.epoch.elapsed();
        let faults = self.scenario.faults.iter();
        self.agenda.extend(faults.map(|fault| (fault.at, TestbedAction::InjectFault(fault.clone()))));
        let edits = self.scenario.edits.iter();
        self.agenda.extend(edits.map(|edit| (edit.at, TestbedAction::SendEdit(edit.clone()))));
        self.clients.start(self.event_loop.now());
        management_offset
    }

    /// Time since the start of the scenario.
    fn now(&self) -> Duration {
        self.event_loop.now().saturating_sub(self.scenario_start)
    }

    /// Lets proxies pick servers for the synthetic requests since the last call.
    fn send_synthetic_requests(&mut self, now: Duration) {
        let Some(rate) = self.synthetic_request_rate else { return };
        let elapsed = now.saturating_sub(self.synthetic_requests_until).as_secs_f64();
        self.synthetic_requests_until = now;
        let due = (rate * elapsed) as usize;
        let at = self.event_loop.now();
        for _ in 0..due {
            let proxy = self.rng.random_range(0..self.proxies.len());
            let class = self.rng.random_range(0..CLASSES.len());
            self.proxies[proxy].runtime.simulate_request(at, class, self.scenario.service_time);
        }
    }

    /// Proxies that read slowly, which have the lowest indices.
    fn slow_reader_count(&self) -> usize {
        (self.slow_reader_share * self.proxies.len() as f64) as usize
    }

    /// Lets each slow reader read in its own interval.
    fn update_slow_readers(&mut self, now: Duration) {
        let interval = (now.as_millis() / OBSERVATION_INTERVAL.as_millis()) as usize;
        for proxy in 0..self.slow_reader_count() {
            let is_stalled = (proxy + interval) % SLOW_READER_PERIOD != 0;
            self.proxies[proxy].runtime.set_unresponsive(&mut self.event_loop, is_stalled);
        }
    }

    /// Waits for events until a time on the event loop's clock, and handles what came.
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
            self.adopt_connections(proxy);
            self.observe_updates(proxy);
            self.observe_connection(proxy);
        }
        Ok(())
    }
}
