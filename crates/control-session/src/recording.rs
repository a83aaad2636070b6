//! The session's calls as entries of a record, and entries as calls of a session.

use crate::{Action, ControlSession, ServerHint};
use runloom_controller::{EndpointUpdate, HealthCheckResult};
use runloom_event_log::entry::{
    RecordedArrivals, RecordedClassOutcome, RecordedEvent, RecordedOutcome, RecordedServer, SentUpdate,
};
use runloom_guard::command_text::command_text;
use runloom_guard::SafetyGuard;
use runloom_inventory::{Change, Server};
use runloom_model::order::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Results of health checks by their number in a record.
const HEALTH_CHECK_RESULTS: [HealthCheckResult; 6] = [
    HealthCheckResult::Success,
    HealthCheckResult::ErrorResponse,
    HealthCheckResult::Rejected,
    HealthCheckResult::Timeout,
    HealthCheckResult::ConnectionFailed,
    HealthCheckResult::Inconclusive,
];
/// The number of [`HealthCheckResult::Inconclusive`].
const INCONCLUSIVE: usize = 5;

pub(crate) fn endpoint_list(update: EndpointUpdate, changes: &[(String, Change)]) -> RecordedEvent {
    let mut servers = Vec::new();
    let mut gone = Vec::new();
    for (name, change) in changes {
        match change {
            Change::Updated(server) => servers.push(record_server(name, server)),
            Change::Removed => gone.push(name.clone()),
        }
    }
    RecordedEvent::Listed { whole: update != EndpointUpdate::Delta, servers, gone }
}

fn record_server(name: &str, server: &Server) -> RecordedServer {
    RecordedServer {
        name: name.to_string(),
        address: server.address.to_string(),
        zone: server.zone.clone(),
        kind: server.kind.clone(),
        cell: server.cell,
        draining: server.is_draining,
        weight: server.weight,
        started: server.started_ms,
    }
}

pub(crate) fn warm_start(hints: &[ServerHint]) -> RecordedEvent {
    let bits = |hint: &ServerHint| (hint.name.clone(), hint.speed_factor.to_bits(), hint.suspicion.to_bits());
    RecordedEvent::Remembered { hints: hints.iter().map(bits).collect() }
}

pub(crate) fn report(proxy: String, report: &Report) -> RecordedEvent {
    RecordedEvent::Report {
        proxy,
        span: report.span.as_micros() as u64,
        met: report.met.iter().map(record_outcome).collect(),
        came: report.came.iter().map(record_arrivals).collect(),
    }
}

fn record_outcome(outcomes: &ServerOutcomes) -> RecordedOutcome {
    RecordedOutcome {
        server: outcomes.server.clone(),
        tries: outcomes.tries,
        failed: outcomes.failed,
        took: outcomes.took.as_micros() as u64,
        in_time: outcomes.in_time,
        load: load_to_bits(&outcomes.load),
    }
}

fn record_arrivals(arrivals: &ClassArrivals) -> RecordedArrivals {
    RecordedArrivals {
        class: arrivals.class.clone(),
        queries: arrivals.queries,
        unanswered: arrivals.unanswered,
    }
}

/// A report's outcomes by class, if it has any.
pub(crate) fn class_outcomes(proxy: &str, report: &Report) -> Option<RecordedEvent> {
    let mut met = Vec::new();
    for outcomes in &report.met {
        for of_class in &outcomes.classes {
            met.push(record_class_outcome(&outcomes.server, of_class));
        }
    }
    (!met.is_empty()).then(|| RecordedEvent::Outcomes { proxy: proxy.to_string(), met })
}

fn record_class_outcome(server: &str, outcomes: &ClassOutcomes) -> RecordedClassOutcome {
    RecordedClassOutcome {
        server: server.to_string(),
        class: outcomes.class.clone(),
        tries: outcomes.tries,
        in_time: outcomes.in_time,
        took: outcomes.took.clone().into_iter().collect(),
    }
}

pub(crate) fn health_check(
    server: String,
    result: HealthCheckResult,
    elapsed: Duration,
    load: &[f64],
) -> RecordedEvent {
    let number = HEALTH_CHECK_RESULTS.iter().position(|known| *known == result).unwrap_or(INCONCLUSIVE);
    RecordedEvent::Probed {
        server,
        found: number as u8,
        after: elapsed.as_micros() as u64,
        load: load_to_bits(load),
    }
}

/// What a step came to; `rejections` is how many commands the guard rejected in it. A text that several proxies
/// share is recorded once.
pub(crate) fn step(session: &ControlSession, actions: &[Action], rejections: usize) -> RecordedEvent {
    let mut texts = Vec::new();
    let mut text_of_message = BTreeMap::new();
    let mut sent = Vec::new();
    let mut probes = Vec::new();
    let mut log = Vec::new();
    for action in actions {
        match action {
            Action::Send { proxy, number, message, entries } => {
                let text = *text_of_message.entry(Rc::as_ptr(message) as usize).or_insert_with(|| {
                    texts.push(message.to_text());
                    texts.len() as u32 - 1
                });
                let proxy = session.proxy_name(*proxy).to_string();
                sent.push(SentUpdate { proxy, number: *number, text, lines: *entries as u32 });
            }
            Action::CheckHealth { server, .. } => probes.push(session.server_name(*server).to_string()),
            // The messages of the same step carry these.
            Action::UpdateTable { .. } | Action::UpdateEjections { .. } => {}
            Action::Log { text } => log.push(text.clone()),
        }
    }
    let refused = newest_rejections(session.guard(), rejections);
    RecordedEvent::Turn { took: 0, texts, sent, probes, log, refused }
}

/// The newest `count` rejections: reason and command of each.
fn newest_rejections(guard: &SafetyGuard, count: usize) -> Vec<String> {
    let rejections: Vec<_> = guard.rejections().collect();
    let first = rejections.len().saturating_sub(count);
    let newest = rejections[first..].iter();
    newest
        .map(|rejection| format!("{} {}", rejection.reason.tag(), command_text(&rejection.command)))
        .collect()
}

/// Makes the call that an entry records, and returns false if the entry names something unknown. Steps are not
/// replayed here: the caller makes them.
pub fn replay_event(session: &mut ControlSession, at: Duration, event: &RecordedEvent) -> bool {
    match event {
        RecordedEvent::Listed { whole, servers, gone } => {
            replay_endpoint_list(session, *whole, servers, gone).is_some()
        }
        RecordedEvent::Joined { proxy, zone, rate, fresh } => {
            session.connect_proxy(proxy, zone, *rate, *fresh);
            true
        }
        RecordedEvent::Left { proxy } => {
            let proxy = session.proxy(proxy);
            proxy.map(|proxy| session.disconnect_proxy(proxy)).is_some()
        }
        RecordedEvent::Applied { proxy, number } => {
            let proxy = session.proxy(proxy);
            proxy.map(|proxy| session.acknowledge(at, proxy, *number)).is_some()
        }
        RecordedEvent::Report { proxy, span, met, came } => {
            let report = replay_report(*span, met, came);
            let proxy = session.proxy(proxy);
            proxy.map(|proxy| session.handle_report(at, proxy, &report)).is_some()
        }
        RecordedEvent::Remembered { hints } => {
            let hints: Vec<ServerHint> = hints.iter().map(replay_hint).collect();
            session.warm_start(&hints);
            true
        }
        RecordedEvent::Probed { server, found, after, load } => {
            let Some(server) = session.server(server) else { return false };
            let result = HEALTH_CHECK_RESULTS.get(usize::from(*found)).copied();
            let result = result.unwrap_or(HealthCheckResult::Inconclusive);
            session.record_health_check(server, result, Duration::from_micros(*after), load_from_bits(load));
            true
        }
        _ => true,
    }
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
        is_draining: recorded.draining,
        weight: recorded.weight,
        started_ms: recorded.started,
    })
}

/// A recorded report, without the outcomes by class: the controller does not use them.
fn replay_report(window_us: u64, outcomes: &[RecordedOutcome], arrivals: &[RecordedArrivals]) -> Report {
    let met = outcomes.iter().map(|recorded| ServerOutcomes {
        server: recorded.server.clone(),
        tries: recorded.tries,
        failed: recorded.failed,
        took: Duration::from_micros(recorded.took),
        in_time: recorded.in_time,
        load: load_from_bits(&recorded.load),
        classes: vec![],
    });
    let came = arrivals.iter().map(|recorded| ClassArrivals {
        class: recorded.class.clone(),
        queries: recorded.queries,
        unanswered: recorded.unanswered,
    });
    Report { span: Duration::from_micros(window_us), met: met.collect(), came: came.collect() }
}

fn replay_hint((name, speed_factor, suspicion): &(String, u64, u64)) -> ServerHint {
    ServerHint {
        name: name.clone(),
        speed_factor: f64::from_bits(*speed_factor),
        suspicion: f64::from_bits(*suspicion),
    }
}

fn load_to_bits(load: &[f64]) -> Vec<u64> {
    load.iter().map(|value| value.to_bits()).collect()
}

fn load_from_bits(load: &[u64]) -> Vec<f64> {
    load.iter().map(|bits| f64::from_bits(*bits)).collect()
}
