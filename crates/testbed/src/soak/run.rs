//! Plays one run.

use super::checker::{Observed, ProcessTimes};
use super::discovery_agent::DiscoveryAgent;
use super::endpoint_list::{EndpointList, Phase};
use super::lock;
use super::plan::{Ending, PhasePlan, RunPlan, Step, KILL_AFTER};
use super::platform_process::{Configuration, PlatformProcess, Signal, MEMORY_LIMIT_MB};
use super::proxy_client::{run_proxy, ProxyHandle};
use super::stand_ins::{run_collector, start_health_endpoint};
use super::unidentified_clients::{visit, ClientOutcome, UnidentifiedClient};
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

/// The proxies' tables have to be those of the list within this time of the last disturbance: longer than a lagging
/// agent and a slow start take.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(14);
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Descriptors beside those of proxies and the collector: standard streams, the event loop, signals, the listener, the
/// watch, health checks.
const OWN_DESCRIPTORS: usize = 40;
/// Servers that always serve, so that no proxy can be without one.
const MIN_SERVING: usize = 2;

/// What a run came to.
#[derive(Debug, Default)]
pub struct RunReport {
    /// What was broken.
    pub violations: Vec<String>,
    /// Processes started.
    pub starts: u64,
    /// SIGHUPs sent.
    pub hangups: u64,
    /// Moves of discovery.
    pub moves: u64,
    /// Unidentified clients that connected.
    pub unidentified_clients: u64,
    /// Streams of proxies.
    pub streams: u64,
    /// Changes of the list.
    pub list_changes: u64,
}

impl RunReport {
    /// A run that could not be played counts as failed.
    pub fn not_played(cause: String) -> RunReport {
        RunReport { violations: vec![format!("not played: {cause}")], ..RunReport::default() }
    }

    /// One word, or how much was broken.
    pub fn verdict(&self) -> String {
        match self.violations.len() {
            0 => "kept".into(),
            count => format!("{count} broken"),
        }
    }
}

/// Plays a run against the program.
pub fn play(plan: &RunPlan, program: &Path, log: &Path) -> Result<RunReport, String> {
    let mut run = Run::start(plan, program, log)?;
    let is_stopped = run.is_stopped.clone();
    let observed = run.observed.clone();
    let listen = run.configuration.listen;
    std::thread::scope(|scope| {
        for (id, handle) in observed.proxies.iter().enumerate() {
            let is_stopped = &is_stopped;
            scope.spawn(move || run_proxy(id as u64, listen, plan.seed, handle, is_stopped));
        }
        scope.spawn(|| run_collector(listen, &observed.list, plan.seed, &is_stopped));
        scope.spawn(|| observed.watch(&is_stopped));
        let result = run.play(scope);
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
    /// Agents that discovery has left.
    retired: Vec<DiscoveryAgent>,
    configuration: Configuration,
    observed: Arc<Observed>,
    is_stopped: Arc<AtomicBool>,
    report: RunReport,
    unidentified_clients: Arc<Mutex<Vec<ClientOutcome>>>,
}

impl<'a> Run<'a> {
    fn start(plan: &'a RunPlan, program: &'a Path, log: &'a Path) -> Result<Run<'a>, String> {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let health = start_health_endpoint(is_stopped.clone()).map_err(|e| e.to_string())?;
        let list = Arc::new(Mutex::new(EndpointList::new(plan.servers, health)));
        let agent = DiscoveryAgent::start(list.clone()).map_err(|e| e.to_string())?;
        let [listen]: [SocketAddr; 1] = reserve_addresses().map_err(|e| e.to_string())?;
        let known = lock(&list).complete();
        let configuration = Configuration { listen, discovery: agent.address, known, seed: plan.seed };
        let proxies = (0..plan.proxies).map(|_| Arc::new(ProxyHandle::default())).collect();
        let observed = Arc::new(Observed::new(list.clone(), proxies));
        Ok(Run {
            plan,
            program,
            log,
            random: StdRng::seed_from_u64(plan.seed ^ 0x50_4b),
            list,
            agent,
            retired: vec![],
            configuration,
            observed,
            is_stopped,
            report: RunReport::default(),
            unidentified_clients: Arc::default(),
        })
    }

    fn into_report(self) -> RunReport {
        let mut report = self.report;
        let streams = self.observed.proxies.iter().map(|handle| lock(&handle.state).streams);
        report.streams = streams.sum();
        for outcome in lock(&self.unidentified_clients).iter() {
            report.unidentified_clients += u64::from(*outcome != ClientOutcome::NotConnected);
            if let ClientOutcome::Late { kind, waited } = outcome {
                let waited = waited.as_secs_f64();
                self.observed.report(format!("unidentified client: {kind:?} waited {waited:.1} s"));
            }
        }
        report.violations = lock(&self.observed.violations).iter().cloned().collect();
        report
    }

    fn play<'scope>(&mut self, scope: &'scope std::thread::Scope<'scope, '_>) -> Result<(), String> {
        let phases = self.plan.phases.len();
        for (number, phase) in self.plan.phases.iter().enumerate() {
            let Some(process) = self.start_process()? else { return Ok(()) };
            self.play_phase(phase, &process, scope);
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
            self.observed.report(format!("start {} is not ready in time", self.report.starts));
            return Ok(None);
        };
        *lock(&self.observed.process) = ProcessTimes { first_answer: Some(ready_at), hung_up_at: None };
        Ok(Some(process))
    }

    fn play_phase<'scope>(
        &mut self,
        phase: &PhasePlan,
        process: &PlatformProcess,
        scope: &'scope std::thread::Scope<'scope, '_>,
    ) {
        let begin = Instant::now();
        for (at, step) in &phase.steps {
            std::thread::sleep((begin + *at).saturating_duration_since(Instant::now()));
            if let Some(status) = process.exit_status() {
                return self.observed.report(format!("the process ended by itself: {status}"));
            }
            self.take_step(*step, process, scope);
        }
    }

    /// Writes a line between those of the process, so that a failure can be followed.
    fn note(&self, text: &str) {
        let line = format!("{} SOAK {text}\n", runloom_daemon::wall_rfc3339());
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log);
        let _ = log.and_then(|mut log| log.write_all(line.as_bytes()));
    }

    fn take_step<'scope>(
        &mut self,
        step: Step,
        process: &PlatformProcess,
        scope: &'scope std::thread::Scope<'scope, '_>,
    ) {
        self.note(&format!("{step:?}"));
        match step {
            Step::ChangeList => self.change_list(),
            Step::RepeatLine => self.agent.repeat_line(),
            Step::QuietAgent(duration) => self.agent.be_quiet(duration),
            Step::CutWatch => self.agent.cut_watches(),
            Step::ResetRevisions => lock(&self.list).reset_revisions(),
            Step::Hangups(count) => {
                self.note_hangups(u64::from(count));
                process.signal_all(&vec![Signal::Hangup; count as usize]);
            }
            Step::MoveDiscovery { half_written, close_after, within_line } => {
                self.move_discovery(half_written, process);
                if let Some(left) = self.retired.last() {
                    left.retire(close_after, within_line);
                }
            }
            Step::MalformedEntry => self.agent.corrupt_next_change(),
            Step::ResetStreams => {
                for handle in &self.observed.proxies {
                    if self.random.random_ratio(1, 2) {
                        handle.resets.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            Step::Flood => self.send_flood(scope),
        }
    }

    fn note_hangups(&mut self, count: u64) {
        self.report.hangups += count;
        lock(&self.observed.process).hung_up_at = Some(Instant::now());
    }

    fn change_list(&mut self) {
        self.report.list_changes += 1;
        let mut list = lock(&self.list);
        let serving = list.ids(Phase::Serving);
        let draining = list.ids(Phase::Draining);
        let may_lose_one = serving.len() > MIN_SERVING;
        match (
            self.random.random_range(0..6),
            serving.choose(&mut self.random),
            draining.choose(&mut self.random),
        ) {
            (0..=2, Some(id), _) if may_lose_one => list.set_phase(id, Phase::Draining),
            (3, Some(id), _) if may_lose_one => list.set_phase(id, Phase::Deleted),
            (3 | 4, _, Some(id)) => list.set_phase(id, Phase::Serving),
            _ => _ = list.add_server(0),
        }
        let change = list.line(list.revision - 1).to_string();
        drop(list);
        self.note(&change);
    }

    fn move_discovery(&mut self, half_written: bool, process: &PlatformProcess) {
        let Ok(agent) = DiscoveryAgent::start(self.list.clone()) else { return };
        self.report.moves += 1;
        self.configuration.discovery = agent.address;
        self.retired.push(std::mem::replace(&mut self.agent, agent));
        if half_written {
            process.write_half_configuration(&self.configuration);
            self.note_hangups(1);
            process.signal(Signal::Hangup);
        }
        process.write_configuration(&self.configuration);
        self.note_hangups(1);
        process.signal(Signal::Hangup);
    }

    fn send_flood<'scope>(&mut self, scope: &'scope std::thread::Scope<'scope, '_>) {
        let listen = self.configuration.listen;
        for number in 0..self.plan.flood {
            let unidentified_clients = self.unidentified_clients.clone();
            scope.spawn(move || {
                let outcome = visit(listen, UnidentifiedClient::of(number));
                lock(&unidentified_clients).push(outcome);
            });
        }
    }

    /// Proxies behave, the list rests: all tables become those of the list, and what the flood took is released.
    fn check_settled(&mut self, process: &PlatformProcess) {
        for handle in &self.observed.proxies {
            handle.is_well_behaved.store(true, Ordering::Relaxed);
        }
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut difference = self.observed.table_difference();
        while difference.is_some() && Instant::now() < deadline && process.exit_status().is_none() {
            std::thread::sleep(SETTLE_POLL_INTERVAL);
            difference = self.observed.table_difference();
        }
        if let Some(difference) = difference {
            self.observed.report(format!("tables: {difference}"));
        }
        let allowed = self.plan.proxies + 1 + OWN_DESCRIPTORS;
        while process.descriptors() > allowed && Instant::now() < deadline {
            std::thread::sleep(SETTLE_POLL_INTERVAL);
        }
        let descriptors = process.descriptors();
        if descriptors > allowed {
            self.observed.report(format!("descriptors: {descriptors} are open, {allowed} are due"));
        }
        let peak_kib = process.peak_kib();
        if peak_kib > MEMORY_LIMIT_MB * 1024 {
            self.observed.report(format!("memory: {peak_kib} KiB at the peak"));
        }
        if let Some(status) = process.exit_status() {
            self.observed.report(format!("the process ended by itself: {status}"));
        }
    }

    /// Ends a process as planned. Proxies and unidentified_clients go on using their connections until it is gone.
    fn end_process(&mut self, ending: Ending, process: &PlatformProcess) {
        if let Some(status) = process.exit_status() {
            self.observed.report(format!("the process ended by itself: {status}"));
        }
        *lock(&self.observed.process) = ProcessTimes::default();
        // What the next process is configured with may be this old.
        self.configuration.known = lock(&self.list).complete();
        self.note(&format!("{ending:?}"));
        match ending {
            Ending::Kill => {}
            Ending::Term => process.signal(Signal::Term),
            Ending::TermTwice => process.signal_all(&[Signal::Term, Signal::Term]),
            Ending::HangupThenTerm => process.signal_all(&[Signal::Hangup, Signal::Term]),
        }
        if ending != Ending::Kill {
            std::thread::sleep(KILL_AFTER);
            if process.exit_status().is_some_and(|status| !status.success()) {
                self.observed.report("SIGTERM ended the process with an error".into());
            }
        }
        process.signal(Signal::Kill);
        process.wait();
    }
}
