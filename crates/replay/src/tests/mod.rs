//! Event logs that the tests replay.

mod estimate;
mod exact;
mod rule_tracker;
mod scenario_inference;
mod what_if;

use runloom_control_session::{Action, ControlSession};
use runloom_controller::EndpointUpdate;
use runloom_event_log::{Entry, RecordedEvent};
use runloom_inventory::{Change, Server};
use runloom_model::report::{ClassArrivals, Report, ServerOutcomes};
use std::time::Duration;

const FLEET: &str = "<fleet xmlns='urn:runloom:fleet'><zone><name>a</name></zone><zone><name>b</name></zone><class>\
    <name>q</name><payoff>1</payoff><soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms>\
    <repeats>safe</repeats></class><grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms>\
    </grace><channel><lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel>\
    <cold><from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>4</count><planners>1</planners>\
    <pick>chance</pick><levels>none</levels><probes>true</probes><report-ms>1000</report-ms>\
    <report-lines-per-second>500</report-lines-per-second></proxies><list><only-drains-bind>false</only-drains-bind>\
    </list></fleet>";
const SERVER_COUNT: usize = 6;
const PROXY_COUNT: usize = 4;
const SEED: u64 = 7;
/// The planner's start in milliseconds since 1970.
const EPOCH_MS: u64 = 1_000_000;
const STEP: Duration = Duration::from_millis(100);
const STEP_COUNT: u64 = 600;
const ACK_DELAY: Duration = Duration::from_millis(20);
/// The step after which the late server is late, and the one at which the last server drains.
const LATE_FROM_STEP: u64 = 100;
const DRAIN_STEP: u64 = 300;
const LATE_SERVER: usize = 1;

fn server(number: usize, is_draining: bool) -> Change {
    Change::Updated(Server {
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        zone: zone(number).into(),
        kind: "std".into(),
        cell: 0,
        is_draining,
        weight: 1.0,
        started_ms: None,
    })
}

fn zone(number: usize) -> &'static str {
    if number % 2 == 0 {
        "a"
    } else {
        "b"
    }
}

/// A session that records its events, with all servers listed.
fn recording_session() -> ControlSession {
    let mut session = ControlSession::new(crate::parse_fleet(FLEET).unwrap(), SEED, EPOCH_MS);
    let start = RecordedEvent::PlannerStarted {
        build: "test".into(),
        planner: "p".into(),
        seed: SEED,
        epoch_ms: EPOCH_MS,
        fleet: FLEET.into(),
    };
    session.recorded_events = Some(vec![(Duration::ZERO, start)]);
    let servers = (0..SERVER_COUNT).map(|number| (format!("s{number}"), server(number, false)));
    session.update_endpoints(EndpointUpdate::Cached, servers.collect());
    session
}

/// Makes a step of the session, and acknowledges all its messages after a delay.
fn step_and_acknowledge(session: &mut ControlSession, now: Duration, ack_delay: Duration) {
    let (actions, _) = session.step(now);
    for action in actions {
        if let Action::Send { proxy, number, .. } = action {
            session.acknowledge(now + ack_delay, proxy, number);
        }
    }
}

/// Takes what the session recorded since the last call, as entries of a log.
fn take_entries(session: &mut ControlSession) -> Vec<Entry> {
    let recorded = std::mem::take(session.recorded_events.as_mut().unwrap());
    recorded.into_iter().map(|(at, event)| Entry { at_us: at.as_micros() as u64, event }).collect()
}

/// A proxy's report in the log of a minute: the late server answers all requests, but none in time once it is late.
fn report(step: u64) -> Report {
    let outcomes = |number: usize| {
        let is_late = number == LATE_SERVER && step > LATE_FROM_STEP;
        ServerOutcomes {
            server: format!("s{number}"),
            attempts: 4,
            failures: 0,
            mean_latency: Duration::from_millis(if is_late { 90 } else { 40 }),
            within_objective: if is_late { 0 } else { 4 },
            load: vec![],
            classes: vec![],
        }
    };
    let server_count = if step < DRAIN_STEP { SERVER_COUNT } else { SERVER_COUNT - 1 };
    Report {
        window: Duration::from_secs(1),
        outcomes: (0..server_count).map(outcomes).collect(),
        arrivals: vec![ClassArrivals { class: "q".into(), requests: 24, unanswered: 0 }],
    }
}

/// A log of a minute with four proxies, and six servers of which one is late from 10 s on and one drains from 30 s on.
fn log_of_a_minute() -> Vec<Entry> {
    let mut session = recording_session();
    let proxies: Vec<usize> = (0..PROXY_COUNT)
        .map(|number| session.connect_proxy(&format!("f{number}"), zone(number), 10.0, true))
        .collect();
    let mut log = Vec::new();
    for step in 0..STEP_COUNT {
        let now = STEP * step as u32;
        if step == DRAIN_STEP {
            session.update_endpoints(EndpointUpdate::Delta, vec![("s5".into(), server(5, true))]);
        }
        if step % 10 == 5 {
            for proxy in &proxies {
                session.handle_report(now, *proxy, &report(step));
            }
        }
        step_and_acknowledge(&mut session, now, ACK_DELAY);
        log.extend(take_entries(&mut session));
    }
    log
}
