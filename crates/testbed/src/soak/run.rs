//! Carries out the plan of one run.

use super::checker::{Checker, ProcessTimes};
use super::discovery_agent::DiscoveryAgent;
use super::endpoint_list::{EndpointList, ServerPhase};
use super::lock;
use super::plan::{Ending, PhasePlan, RunPlan, Step, KILL_AFTER};
use super::platform_process::{Configuration, PlatformProcess, Signal, MEMORY_LIMIT_MB};
use super::proxy_client::{run_proxy, ProxyHandle};
use super::stand_ins::{run_collector, start_health_endpoint};
use super::unidentified_clients::{connect_and_wait, ClientOutcome, UnidentifiedClient};
use crate::planner_process::reserve_addresses;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The proxies' tables must match the list within this time of the last step: longer than a lagging agent and a slow
/// start take.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(14);
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Descriptors of a process besides those of proxies and the collector: standard streams, the event loop, signals, the
/// listener, the watch, health checks.
const OWN_DESCRIPTORS: usize = 40;
/// Fewest servers that a change of the list leaves serving, so that every proxy can have one.
const MIN_SERVING: usize = 2;

/// The result of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    /// Failed checks, one sentence each; empty if the run passed.
    pub violations: Vec<String>,
    /// Processes started.
    pub starts: u64,
    /// SIGHUPs sent.
    pub sighups: u64,
    /// Moves of the discovery agent.
    pub discovery_moves: u64,
    /// Unidentified clients that connected.
    pub unidentified_clients: u64,
    /// Streams that proxies opened.
    pub streams: u64,
    /// Changes of the endpoint list.
    pub list_changes: u64,
}

impl RunReport {
    /// The report of a run for which a stand-in or a process could not be started; it counts as failed.
    pub fn not_run(cause: String) -> RunReport {
        RunReport { violations: vec![format!("not run: {cause}")], ..RunReport::default() }
    }

    /// `passed`, or the number of violations.
    pub fn verdict(&self) -> String {
        match self.violations.len() {
            0 => "passed".into(),
            count => format!("{count} violations"),
        }
    }
}

/// Carries out a plan against the program.
pub fn run_plan(plan: &RunPlan, program: &Path, log: &Path) -> Result<RunReport, String> {
    let mut run = Run::start(plan, program, log)?;
    let is_stopped = run.is_stopped.clone();
    let checker = run.checker.clone();
    let listen = run.configuration.listen;
    std::thread::scope(|scope| {
        for (id, handle) in checker.proxies.iter().enumerate() {
            let is_stopped = &is_stopped;
            scope.spawn(move || run_proxy(id as u64, listen, plan.seed, handle, is_stopped));
        }
        scope.spawn(|| run_collector(listen, &checker.list, plan.seed, &is_stopped));
        scope.spawn(|| checker.check_until_stopped(&is_stopped));
        let result = run.run_phases(scope);
        is_stopped.store(true, Ordering::Relaxed);
        result
    })?;
    Ok(run.into_report())
}

struct Run<'a> {
    plan: &'a RunPlan,
    program: &'a Path,
    log: &'a Path,
    random: StdRng,
    list: Arc<Mutex<EndpointList>>,
    agent: DiscoveryAgent,
    /// Agents that were replaced by a move.
    retired_agents: Vec<DiscoveryAgent>,
    configuration: Configuration,
    checker: Arc<Checker>,
    is_stopped: Arc<AtomicBool>,
    report: RunReport,
    client_outcomes: Arc<Mutex<Vec<ClientOutcome>>>,
}

impl<'a> Run<'a> {
    fn start(plan: &'a RunPlan, program: &'a Path, log: &'a Path) -> Result<Run<'a>, String> {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let health = start_health_endpoint(is_stopped.clone()).map_err(|e| e.to_string())?;
        let list = Arc::new(Mutex::new(EndpointList::new(plan.servers, health)));
        let agent = DiscoveryAgent::start(list.clone()).map_err(|e| e.to_string())?;
        let [listen]: [SocketAddr; 1] = reserve_addresses().map_err(|e| e.to_string())?;
        let known_list = lock(&list).complete();
        let configuration = Configuration { listen, discovery: agent.address, known_list, seed: plan.seed };
        let proxies = (0..plan.proxies).map(|_| Arc::new(ProxyHandle::default())).collect();
        let checker = Arc::new(Checker::new(list.clone(), proxies));
        Ok(Run {
            plan,
            program,
            log,
            random: StdRng::seed_from_u64(plan.seed ^ 0x50_4b),
            list,
            agent,
            retired_agents: vec![],
            configuration,
            checker,
            is_stopped,
            report: RunReport::default(),
            client_outcomes: Arc::default(),
        })
    }

    fn into_report(self) -> RunReport {
        let mut report = self.report;
        let streams = self.checker.proxies.iter().map(|handle| lock(&handle.state).streams);
        report.streams = streams.sum();
        for outcome in lock(&self.client_outcomes).iter() {
            report.unidentified_clients += u64::from(*outcome != ClientOutcome::NotConnected);
            if let ClientOutcome::Late { kind, waited } = outcome {
                let waited = waited.as_secs_f64();
                self.checker.add_violation(format!("unidentified client: {kind:?} waited {waited:.1} s"));
            }
        }
        report.violations = lock(&self.checker.violations).iter().cloned().collect();
        report
    }

    fn run_phases<'scope>(&mut self, scope: &'scope std::thread::Scope<'scope, '_>) -> Result<(), String> {
        let phases = self.plan.phases.len();
        for (number, phase) in self.plan.phases.iter().enumerate() {
            let Some(process) = self.start_process()? else { return Ok(()) };
            self.run_phase(phase, &process, scope);
            if number + 1 == phases {
                self.check_settled(&process);
            }
            self.end_process(phase.ending, &process);
        }
        Ok(())
    }

    fn start_process(&mut self) -> Result<Option<PlatformProcess>, String> {
        lock(&self.list).clear_announcements();
        self.configuration.seed = self.random.random();
        let process = PlatformProcess::start(self.program, &self.configuration, self.log)?;
        self.report.starts += 1;
        let Some(ready_at) = process.wait_until_ready() else {
            self.checker.add_violation(format!(
                "start {}: the process did not answer a PING in time",
                self.report.starts
            ));
            return Ok(None);
        };
        *lock(&self.checker.process) = ProcessTimes { first_answer: Some(ready_at), last_sighup_at: None };
        Ok(Some(process))
    }

    fn run_phase<'scope>(
        &mut self,
        phase: &PhasePlan,
        process: &PlatformProcess,
        scope: &'scope std::thread::Scope<'scope, '_>,
    ) {
        let start = Instant::now();
        for (at, step) in &phase.steps {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            if let Some(status) = process.exit_status() {
                return self.checker.add_violation(format!("the process exited unexpectedly: {status}"));
            }
            self.execute_step(*step, process, scope);
        }
    }

    /// Appends a line to the process's log, which shows what led to a failure.
    fn append_to_log(&self, text: &str) {
        let line = format!("{} SOAK {text}\n", runloom_daemon::wall_rfc3339());
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log);
        let _ = log.and_then(|mut log| log.write_all(line.as_bytes()));
    }

    fn execute_step<'scope>(
        &mut self,
        step: Step,
        process: &PlatformProcess,
        scope: &'scope std::thread::Scope<'scope, '_>,
    ) {
        self.append_to_log(&format!("{step:?}"));
        match step {
            Step::ChangeList => self.change_list(),
            Step::RepeatLine => self.agent.repeat_line(),
            Step::QuietAgent(duration) => self.agent.stay_silent_for(duration),
            Step::CutWatch => self.agent.cut_watches(),
            Step::ResetRevisions => lock(&self.list).reset_revisions(),
            Step::Hangups(count) => {
                self.record_sighups(u64::from(count));
                process.signal_all(&vec![Signal::Hangup; count as usize]);
            }
            Step::MoveDiscovery { half_written, close_after, within_line } => {
                self.move_discovery(half_written, process);
                if let Some(left) = self.retired_agents.last() {
                    left.retire(close_after, within_line);
                }
            }
            Step::MalformedEntry => self.agent.corrupt_next_change(),
            Step::ResetStreams => {
                for handle in &self.checker.proxies {
                    if self.random.random_ratio(1, 2) {
                        handle.reset_requests.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            Step::Flood => self.send_flood(scope),
        }
    }

    fn record_sighups(&mut self, count: u64) {
        self.report.sighups += count;
        lock(&self.checker.process).last_sighup_at = Some(Instant::now());
    }

    fn change_list(&mut self) {
        self.report.list_changes += 1;
        let mut list = lock(&self.list);
        let serving = list.ids(ServerPhase::Serving);
        let draining = list.ids(ServerPhase::Draining);
        let may_lose_one = serving.len() > MIN_SERVING;
        match (
            self.random.random_range(0..6),
            serving.choose(&mut self.random),
            draining.choose(&mut self.random),
        ) {
            (0..=2, Some(id), _) if may_lose_one => list.set_phase(id, ServerPhase::Draining),
            (3, Some(id), _) if may_lose_one => list.set_phase(id, ServerPhase::Deleted),
            (3 | 4, _, Some(id)) => list.set_phase(id, ServerPhase::Serving),
            _ => _ = list.add_server(0),
        }
        let change = list.line(list.revision - 1).to_string();
        drop(list);
        self.append_to_log(&change);
    }

    fn move_discovery(&mut self, half_written: bool, process: &PlatformProcess) {
        let Ok(agent) = DiscoveryAgent::start(self.list.clone()) else { return };
        self.report.discovery_moves += 1;
        self.configuration.discovery = agent.address;
        self.retired_agents.push(std::mem::replace(&mut self.agent, agent));
        if half_written {
            process.write_half_configuration(&self.configuration);
            self.record_sighups(1);
            process.signal(Signal::Hangup);
        }
        process.write_configuration(&self.configuration);
        self.record_sighups(1);
        process.signal(Signal::Hangup);
    }

    fn send_flood<'scope>(&mut self, scope: &'scope std::thread::Scope<'scope, '_>) {
        let listen = self.configuration.listen;
        for number in 0..self.plan.flood_clients {
            let client_outcomes = self.client_outcomes.clone();
            scope.spawn(move || {
                let outcome = connect_and_wait(listen, UnidentifiedClient::for_number(number));
                lock(&client_outcomes).push(outcome);
            });
        }
    }

    /// Checks that all tables match the list and the descriptors of closed connections are released once proxies behave
    /// and the list no longer changes; checks the peak memory too.
    fn check_settled(&mut self, process: &PlatformProcess) {
        for handle in &self.checker.proxies {
            handle.is_well_behaved.store(true, Ordering::Relaxed);
        }
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut difference = self.checker.table_difference();
        while difference.is_some() && Instant::now() < deadline && process.exit_status().is_none() {
            std::thread::sleep(SETTLE_POLL_INTERVAL);
            difference = self.checker.table_difference();
        }
        if let Some(difference) = difference {
            self.checker.add_violation(format!("tables: {difference}"));
        }
        let allowed = self.plan.proxies + 1 + OWN_DESCRIPTORS;
        while process.descriptors() > allowed && Instant::now() < deadline {
            std::thread::sleep(SETTLE_POLL_INTERVAL);
        }
        let descriptors = process.descriptors();
        if descriptors > allowed {
            self.checker
                .add_violation(format!("descriptors: {descriptors} are open, at most {allowed} are allowed"));
        }
        let peak_kib = process.peak_kib();
        if peak_kib > MEMORY_LIMIT_MB * 1024 {
            self.checker.add_violation(format!(
                "memory: the peak is {peak_kib} KiB, at most {} KiB are allowed",
                MEMORY_LIMIT_MB * 1024
            ));
        }
        if let Some(status) = process.exit_status() {
            self.checker.add_violation(format!("the process exited unexpectedly: {status}"));
        }
    }

    /// Ends a process as planned. Proxies and unidentified clients keep using their connections until it has exited.
    fn end_process(&mut self, ending: Ending, process: &PlatformProcess) {
        if let Some(status) = process.exit_status() {
            self.checker.add_violation(format!("the process exited unexpectedly: {status}"));
        }
        *lock(&self.checker.process) = ProcessTimes::default();
        // All configuration files of the next process contain the list as of now, also those that a discovery move
        // writes after the list has changed.
        self.configuration.known_list = lock(&self.list).complete();
        self.append_to_log(&format!("{ending:?}"));
        match ending {
            Ending::Kill => {}
            Ending::Term => process.signal(Signal::Term),
            Ending::TermTwice => process.signal_all(&[Signal::Term, Signal::Term]),
            Ending::HangupThenTerm => process.signal_all(&[Signal::Hangup, Signal::Term]),
        }
        if ending != Ending::Kill {
            std::thread::sleep(KILL_AFTER);
            if process.exit_status().is_some_and(|status| !status.success()) {
                self.checker.add_violation("the process exited with an error after SIGTERM".into());
            }
        }
        process.signal(Signal::Kill);
        process.wait();
    }
}
