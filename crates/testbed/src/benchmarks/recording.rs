//! The cost of the event log.

use super::figures::print_figure;
use super::fixtures::small_fleet_xml;
use super::BenchmarkResult;
use runloom_control_session::ControlSession;
use runloom_event_log::{RecordedEvent, Recorder, RecorderConfig};
use runloom_model::fleet::Fleet;
use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use std::path::Path;
use std::time::{Duration, Instant};

const SECONDS: u64 = 60;
const PROXY_COUNT: u64 = 592;
const SERVER_COUNT: u64 = 544;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORTS_PER_SECOND: u64 = 2;
const SERVERS_PER_REPORT: u64 = 2;
const REQUESTS_PER_PROXY: f64 = 4.0;
/// [`write_until_killed`] stops after this time if it is not killed.
const MAX_WRITING_TIME: Duration = Duration::from_secs(60);
const EVENTS_PER_WRITE: u64 = 7;

/// Measures the time of one core, per second, that 592 proxies with four requests per second each take: a session that
/// handles the same reports without and with an event log, and the writing of the log, which a planner leaves to a
/// separate thread.
pub(super) fn measure(folder: &Path) -> BenchmarkResult {
    let fleet = runloom_replay::parse_fleet(&small_fleet_xml("z")).map_err(|e| e.to_string())?;
    let unrecorded = run_session(folder, fleet.clone(), false)?;
    let recorded = run_session(folder, fleet, true)?;
    let print = |name: &str, time: Duration| {
        let ms_a_second = time.as_secs_f64() / SECONDS as f64 * 1e3;
        print_figure(&format!("592x544.{name}"), ms_a_second, "ms_a_second");
    };
    print("driver", unrecorded.session);
    print("driver_recorded", recorded.session);
    print("writing", unrecorded.writing + recorded.writing);
    Ok(())
}

/// Times of a run.
struct RunTimes {
    /// Time that the session took to handle reports and to step.
    session: Duration,
    /// Time that the recorder took to write events.
    writing: Duration,
}

fn run_session(folder: &Path, fleet: Fleet, is_recorded: bool) -> Result<RunTimes, String> {
    let mut session = ControlSession::new(fleet, 1, 1_000_000);
    session.recorded_events = is_recorded.then(Vec::new);
    for proxy in 0..PROXY_COUNT {
        session.connect_proxy(&format!("f{proxy}"), "z", REQUESTS_PER_PROXY, true);
    }
    let mut recorder = Recorder::open(folder, RecorderConfig::default()).map_err(|e| e.to_string())?;
    let mut times = RunTimes { session: Duration::ZERO, writing: Duration::ZERO };
    for round in 0..SECONDS * REPORTS_PER_SECOND {
        let now = REPORT_INTERVAL * round as u32;
        let reports: Vec<Report> = (0..PROXY_COUNT).map(|proxy| report(proxy, round)).collect();
        let start = Instant::now();
        reports.iter().enumerate().for_each(|(proxy, report)| session.handle_report(now, proxy, report));
        session.step(now);
        let events = session.recorded_events.as_mut().map(std::mem::take).unwrap_or_default();
        times.session += start.elapsed();
        let start = Instant::now();
        events.into_iter().for_each(|(at, event)| recorder.push(at, event));
        recorder.write(now);
        times.writing += start.elapsed();
    }
    Ok(times)
}

/// A proxy's report in a round: one successful attempt at each of two servers.
fn report(proxy: u64, round: u64) -> Report {
    let outcomes = |number: u64| ServerOutcomes {
        server: format!("s{}", (proxy * 7 + round * SERVERS_PER_REPORT + number) % SERVER_COUNT),
        attempts: 1,
        failures: 0,
        mean_latency: Duration::from_millis(40),
        within_objective: 1,
        load: vec![1.0],
        classes: vec![ClassOutcomes {
            class: "q".into(),
            attempts: 1,
            within_objective: 1,
            latencies: [(16, 1)].into(),
        }],
    };
    Report {
        window: REPORT_INTERVAL,
        outcomes: (0..SERVERS_PER_REPORT).map(outcomes).collect(),
        arrivals: vec![ClassArrivals { class: "q".into(), requests: SERVERS_PER_REPORT, unanswered: 0 }],
    }
}

/// Writes an event log until the process is killed, or for a minute. Events grow in length up to a limit and then start
/// over; their times in microseconds number them from 1.
///
/// # Errors
/// Returns the cause if the log cannot be opened.
pub fn write_until_killed(folder: &Path) -> BenchmarkResult {
    let config = RecorderConfig {
        max_segment_bytes: 20_000,
        sync_interval: Duration::from_millis(5),
        ..RecorderConfig::default()
    };
    let mut recorder = Recorder::open(folder, config).map_err(|e| e.to_string())?;
    let (build, planner, fleet) = (String::new(), String::new(), String::new());
    recorder
        .push(Duration::ZERO, RecordedEvent::PlannerStarted { build, planner, seed: 0, epoch_ms: 0, fleet });
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < MAX_WRITING_TIME {
        for _ in 0..EVENTS_PER_WRITE {
            count += 1;
            let proxy = "f".repeat(count as usize % 90);
            recorder.push(Duration::from_micros(count), RecordedEvent::ProxyDisconnected { proxy });
        }
        recorder.write(start.elapsed());
    }
    Ok(())
}
