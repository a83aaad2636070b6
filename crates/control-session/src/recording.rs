//! Conversion of the session's calls to entries of the record, and replay of entries as calls of a session.

use crate::{Action, ControlSession, ServerHint};
use runloom_controller::{EndpointUpdate, HealthCheckResult};
use runloom_event_log::entry::{
    RecordedArrivals, RecordedClassOutcome, RecordedEvent, RecordedHint, RecordedOutcome, RecordedServer,
    SentUpdate,
};
use runloom_guard::command_text::command_text;
use runloom_guard::SafetyGuard;
use runloom_inventory::{Change, Server};
use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Results of health checks, indexed by their number in the record.
const HEALTH_CHECK_RESULTS: [HealthCheckResult; 6] = [
    HealthCheckResult::Success,
    HealthCheckResult::ErrorResponse,
    HealthCheckResult::Rejected,
    HealthCheckResult::Timeout,
    HealthCheckResult::ConnectionFailed,
    HealthCheckResult::Inconclusive,
];
/// The number of [`HealthCheckResult::Inconclusive`] in the record.
const INCONCLUSIVE: usize = 5;

/// The entry for an endpoint list.
pub(crate) fn endpoint_list(update: EndpointUpdate, changes: &[(String, Change)]) -> RecordedEvent {
    let mut servers = Vec::new();
    let mut removed = Vec::new();
    for (name, change) in changes {
        match change {
            Change::Updated(server) => servers.push(record_server(name, server)),
            Change::Removed => removed.push(name.clone()),
        }
    }
    RecordedEvent::EndpointsListed { is_complete: update != EndpointUpdate::Delta, servers, removed }
}

fn record_server(name: &str, server: &Server) -> RecordedServer {
    RecordedServer {
        name: name.to_string(),
        address: server.address.to_string(),
        zone: server.zone.clone(),
        kind: server.kind.clone(),
        cell: server.cell,
        is_draining: server.is_draining,
        weight: server.weight,
        started_ms: server.started_ms,
    }
}

/// The entry for the hints of a warm start.
pub(crate) fn warm_start(hints: &[ServerHint]) -> RecordedEvent {
    RecordedEvent::WarmStart { hints: hints.iter().map(record_hint).collect() }
}

fn record_hint(hint: &ServerHint) -> RecordedHint {
    RecordedHint {
        server: hint.name.clone(),
        speed_factor_bits: hint.speed_factor.to_bits(),
        suspicion_bits: hint.suspicion.to_bits(),
    }
}

/// The entry for a proxy's report, without the outcomes by class.
pub(crate) fn report(proxy: String, report: &Report) -> RecordedEvent {
    RecordedEvent::Report {
        proxy,
        window_us: report.window.as_micros() as u64,
        outcomes: report.outcomes.iter().map(record_outcome).collect(),
        arrivals: report.arrivals.iter().map(record_arrivals).collect(),
    }
}

fn record_outcome(outcomes: &ServerOutcomes) -> RecordedOutcome {
    RecordedOutcome {
        server: outcomes.server.clone(),
        attempts: outcomes.attempts,
        failures: outcomes.failures,
        mean_latency_us: outcomes.mean_latency.as_micros() as u64,
        within_objective: outcomes.within_objective,
        load_bits: load_to_bits(&outcomes.load),
    }
}

fn record_arrivals(arrivals: &ClassArrivals) -> RecordedArrivals {
    RecordedArrivals {
        class: arrivals.class.clone(),
        requests: arrivals.requests,
        unanswered: arrivals.unanswered,
    }
}

/// The entry for a report's outcomes by class; `None` if it has none.
pub(crate) fn class_outcomes(proxy: &str, report: &Report) -> Option<RecordedEvent> {
    let mut recorded = Vec::new();
    for outcomes in &report.outcomes {
        for class_outcomes in &outcomes.classes {
            recorded.push(record_class_outcome(&outcomes.server, class_outcomes));
        }
    }
    (!recorded.is_empty())
        .then(|| RecordedEvent::ClassOutcomes { proxy: proxy.to_string(), outcomes: recorded })
}

fn record_class_outcome(server: &str, outcomes: &ClassOutcomes) -> RecordedClassOutcome {
    RecordedClassOutcome {
        server: server.to_string(),
        class: outcomes.class.clone(),
        attempts: outcomes.attempts,
        within_objective: outcomes.within_objective,
        latency_buckets: outcomes.latencies.clone().into_iter().collect(),
    }
}

/// The entry for a health check's result; `load` is the load report that came with the answer.
pub(crate) fn health_check(
    server: String,
    result: HealthCheckResult,
    elapsed: Duration,
    load: &[f64],
) -> RecordedEvent {
    let number = HEALTH_CHECK_RESULTS.iter().position(|known| *known == result).unwrap_or(INCONCLUSIVE);
    RecordedEvent::HealthChecked {
        server,
        result: number as u8,
        elapsed_us: elapsed.as_micros() as u64,
        load_bits: load_to_bits(load),
    }
}

/// The entry for a step's outcome; `rejections` is the number of commands that the guard rejected in it. The text of
/// a message that several proxies share is recorded once. The duration is 0 until the runtime, which measures it, sets
/// it.
pub(crate) fn step(session: &ControlSession, actions: &[Action], rejections: usize) -> RecordedEvent {
    let mut texts = Vec::new();
    let mut text_of_message = BTreeMap::new();
    let mut sent = Vec::new();
    let mut health_checks = Vec::new();
    let mut log = Vec::new();
    for action in actions {
        match action {
            Action::Send { proxy, number, message, entries } => {
                let text_index = *text_of_message.entry(Rc::as_ptr(message) as usize).or_insert_with(|| {
                    texts.push(message.to_xml());
                    texts.len() as u32 - 1
                });
                let proxy = session.proxy_name(*proxy).to_string();
                sent.push(SentUpdate { proxy, number: *number, text_index, entries: *entries as u32 });
            }
            Action::CheckHealth { server, .. } => {
                health_checks.push(session.server_name(*server).to_string())
            }
            // The messages of the same step carry these changes.
            Action::UpdateTable { .. } | Action::UpdateEjections { .. } => {}
            Action::Log { text } => log.push(text.clone()),
        }
    }
    let rejections = newest_rejections(session.guard(), rejections);
    RecordedEvent::Step { duration_us: 0, texts, sent, health_checks, log, rejections }
}

/// Reason and command of each of the newest `count` rejections.
fn newest_rejections(guard: &SafetyGuard, count: usize) -> Vec<String> {
    let rejections: Vec<_> = guard.rejections().collect();
    let first = rejections.len().saturating_sub(count);
    let newest = rejections[first..].iter();
    newest
        .map(|rejection| format!("{} {}", rejection.reason.tag(), command_text(&rejection.command)))
        .collect()
}

/// Makes the call that an entry records. Returns false if the entry names an unknown proxy or server, or has a
/// malformed address. Other entries, such as steps, are left to the caller, and return true.
pub fn replay_event(session: &mut ControlSession, at: Duration, event: &RecordedEvent) -> bool {
    match event {
        RecordedEvent::EndpointsListed { is_complete, servers, removed } => {
            replay_endpoint_list(session, *is_complete, servers, removed).is_some()
        }
        RecordedEvent::ProxyConnected { proxy, zone, request_rate, has_no_table } => {
            session.connect_proxy(proxy, zone, *request_rate, *has_no_table);
            true
        }
        RecordedEvent::ProxyDisconnected { proxy } => {
            let proxy = session.proxy_id(proxy);
            proxy.map(|proxy| session.disconnect_proxy(proxy)).is_some()
        }
        RecordedEvent::UpdateAcknowledged { proxy, number } => {
            let proxy = session.proxy_id(proxy);
            proxy.map(|proxy| session.acknowledge(at, proxy, *number)).is_some()
        }
        RecordedEvent::Report { proxy, window_us, outcomes, arrivals } => {
            let report = replay_report(*window_us, outcomes, arrivals);
            let proxy = session.proxy_id(proxy);
            proxy.map(|proxy| session.handle_report(at, proxy, &report)).is_some()
        }
        RecordedEvent::WarmStart { hints } => {
            let hints: Vec<ServerHint> = hints.iter().map(replay_hint).collect();
            session.warm_start(&hints);
            true
        }
        RecordedEvent::HealthChecked { server, result, elapsed_us, load_bits } => {
            let result = health_check_result(*result);
            let elapsed = Duration::from_micros(*elapsed_us);
            let load = load_from_bits(load_bits);
            let server = session.server_id(server);
            server.map(|server| session.record_health_check(server, result, elapsed, load)).is_some()
        }
        _ => true,
    }
}

/// The health check result with a number in the record; an unknown number counts as inconclusive.
fn health_check_result(number: u8) -> HealthCheckResult {
    let known = HEALTH_CHECK_RESULTS.get(usize::from(number)).copied();
    known.unwrap_or(HealthCheckResult::Inconclusive)
}

/// Replays an endpoint list; `None` if an address in it is malformed.
fn replay_endpoint_list(
    session: &mut ControlSession,
    is_complete: bool,
    servers: &[RecordedServer],
    removed: &[String],
) -> Option<()> {
    let mut changes = Vec::new();
    for recorded in servers {
        changes.push((recorded.name.clone(), Change::Updated(replay_server(recorded)?)));
    }
    changes.extend(removed.iter().map(|name| (name.clone(), Change::Removed)));
    let update = if is_complete { EndpointUpdate::Cached } else { EndpointUpdate::Delta };
    session.update_endpoints(update, changes);
    Some(())
}

fn replay_server(recorded: &RecordedServer) -> Option<Server> {
    Some(Server {
        address: recorded.address.parse().ok()?,
        zone: recorded.zone.clone(),
        kind: recorded.kind.clone(),
        cell: recorded.cell,
        is_draining: recorded.is_draining,
        weight: recorded.weight,
        started_ms: recorded.started_ms,
    })
}

/// Rebuilds a recorded report without the outcomes by class, which the controller does not use.
fn replay_report(window_us: u64, outcomes: &[RecordedOutcome], arrivals: &[RecordedArrivals]) -> Report {
    let outcomes = outcomes.iter().map(|recorded| ServerOutcomes {
        server: recorded.server.clone(),
        attempts: recorded.attempts,
        failures: recorded.failures,
        mean_latency: Duration::from_micros(recorded.mean_latency_us),
        within_objective: recorded.within_objective,
        load: load_from_bits(&recorded.load_bits),
        classes: vec![],
    });
    let arrivals = arrivals.iter().map(|recorded| ClassArrivals {
        class: recorded.class.clone(),
        requests: recorded.requests,
        unanswered: recorded.unanswered,
    });
    Report {
        window: Duration::from_micros(window_us),
        outcomes: outcomes.collect(),
        arrivals: arrivals.collect(),
    }
}

fn replay_hint(recorded: &RecordedHint) -> ServerHint {
    ServerHint {
        name: recorded.server.clone(),
        speed_factor: f64::from_bits(recorded.speed_factor_bits),
        suspicion: f64::from_bits(recorded.suspicion_bits),
    }
}

fn load_to_bits(load: &[f64]) -> Vec<u64> {
    load.iter().map(|value| value.to_bits()).collect()
}

fn load_from_bits(load: &[u64]) -> Vec<f64> {
    load.iter().map(|bits| f64::from_bits(*bits)).collect()
}
