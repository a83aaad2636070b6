//! The driver's calls in the record's words, and back.

use crate::{Action, ControlSession};
use runloom_controller::{EndpointUpdate, HealthCheckResult};
use runloom_event_log::entry::{self, RecordedEvent};
use runloom_guard::command_text::command_text;
use runloom_inventory::{Change, Server};
use runloom_model::order::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How probes end, by their number in a record.
const FOUND: [HealthCheckResult; 6] = [
    HealthCheckResult::Success,
    HealthCheckResult::ErrorResponse,
    HealthCheckResult::Rejected,
    HealthCheckResult::Timeout,
    HealthCheckResult::ConnectionFailed,
    HealthCheckResult::Inconclusive,
];

fn bits(load: &[f64]) -> Vec<u64> {
    load.iter().map(|v| v.to_bits()).collect()
}

fn values(load: &[u64]) -> Vec<f64> {
    load.iter().map(|b| f64::from_bits(*b)).collect()
}

pub(crate) fn listed(how: EndpointUpdate, changes: &[(String, Change)]) -> RecordedEvent {
    let (mut servers, mut gone) = (vec![], vec![]);
    for (name, change) in changes {
        match change {
            Change::Is(s) => servers.push(entry::RecordedServer {
                name: name.clone(),
                address: s.address.to_string(),
                zone: s.zone.clone(),
                kind: s.kind.clone(),
                cell: s.cell,
                draining: s.draining,
                weight: s.weight,
                started: s.started,
            }),
            Change::Gone => gone.push(name.clone()),
        }
    }
    RecordedEvent::Listed { whole: how != EndpointUpdate::Delta, servers, gone }
}

pub(crate) fn reported(proxy: String, report: &Report) -> RecordedEvent {
    let met = |m: &ServerOutcomes| entry::RecordedOutcome {
        server: m.server.clone(),
        tries: m.tries,
        failed: m.failed,
        took: m.took.as_micros() as u64,
        in_time: m.in_time,
        load: bits(&m.load),
    };
    let came = |c: &ClassArrivals| entry::RecordedArrivals {
        class: c.class.clone(),
        queries: c.queries,
        unanswered: c.unanswered,
    };
    RecordedEvent::Report {
        proxy,
        span: report.span.as_micros() as u64,
        met: report.met.iter().map(met).collect(),
        came: report.came.iter().map(came).collect(),
    }
}

/// A report's outcomes by class, if it has any.
pub(crate) fn outcomes(proxy: &str, report: &Report) -> Option<RecordedEvent> {
    let mut met = Vec::new();
    for (m, of) in report.met.iter().flat_map(|m| m.classes.iter().map(move |of| (m, of))) {
        let ClassOutcomes { class, tries, in_time, took } = of.clone();
        let took = took.into_iter().collect();
        met.push(entry::RecordedClassOutcome { server: m.server.clone(), class, tries, in_time, took });
    }
    (!met.is_empty()).then(|| RecordedEvent::Outcomes { proxy: proxy.to_string(), met })
}

pub(crate) fn probed(
    server: String,
    found: HealthCheckResult,
    after: Duration,
    load: &[f64],
) -> RecordedEvent {
    let found = FOUND.iter().position(|f| *f == found).unwrap_or(5) as u8;
    RecordedEvent::Probed { server, found, after: after.as_micros() as u64, load: bits(load) }
}

/// What a turn came to. Texts that many proxies share are told once.
pub(crate) fn turned(driver: &ControlSession, deeds: &[Action], refused: u64) -> RecordedEvent {
    let (mut texts, mut places, mut sent, mut probes, mut log) =
        (vec![], BTreeMap::new(), vec![], vec![], vec![]);
    for deed in deeds {
        match deed {
            Action::Send { proxy, number, message, lines } => {
                let text = *places.entry(Rc::as_ptr(message) as usize).or_insert_with(|| {
                    texts.push(message.to_text());
                    texts.len() as u32 - 1
                });
                let proxy = driver.proxy_name(*proxy).to_string();
                sent.push(entry::SentUpdate { proxy, number: *number, text, lines: *lines as u32 });
            }
            Action::Probe { server, .. } => probes.push(driver.server_name(*server).to_string()),
            // Told by the orders that they come with.
            Action::Table { .. } | Action::Withdrawn { .. } => {}
            Action::Log { text } => log.push(text.clone()),
        }
    }
    // The newest refusals, as many as this turn had, each by its reason.
    let newest = driver.guard().refusals().collect::<Vec<_>>();
    let from = newest.len().saturating_sub(refused as usize);
    let refused =
        newest[from..].iter().map(|r| format!("{} {}", r.reason.word(), command_text(&r.order))).collect();
    RecordedEvent::Turn { took: 0, texts, sent, probes, log, refused }
}

/// Makes the call that an entry tells of. A turn is not made here; false: the entry names what is not there.
pub fn call(driver: &mut ControlSession, at: Duration, what: &RecordedEvent) -> bool {
    match what {
        RecordedEvent::Listed { whole, servers, gone } => {
            let mut changes: Vec<(String, Change)> = Vec::new();
            for s in servers {
                let Ok(address) = s.address.parse() else { return false };
                let server = Server {
                    address,
                    zone: s.zone.clone(),
                    kind: s.kind.clone(),
                    cell: s.cell,
                    draining: s.draining,
                    weight: s.weight,
                    started: s.started,
                };
                changes.push((s.name.clone(), Change::Is(server)));
            }
            changes.extend(gone.iter().map(|name| (name.clone(), Change::Gone)));
            driver.list(if *whole { EndpointUpdate::Cached } else { EndpointUpdate::Delta }, changes);
        }
        RecordedEvent::Joined { proxy, zone, rate, fresh } => _ = driver.joined(proxy, zone, *rate, *fresh),
        RecordedEvent::Left { proxy } => match driver.proxy(proxy) {
            Some(proxy) => driver.left(proxy),
            None => return false,
        },
        RecordedEvent::Applied { proxy, number } => match driver.proxy(proxy) {
            Some(proxy) => driver.applied(at, proxy, *number),
            None => return false,
        },
        RecordedEvent::Report { proxy, span, met, came } => {
            let Some(proxy) = driver.proxy(proxy) else { return false };
            let met = met.iter().map(|m| ServerOutcomes {
                server: m.server.clone(),
                tries: m.tries,
                failed: m.failed,
                took: Duration::from_micros(m.took),
                in_time: m.in_time,
                load: values(&m.load),
                classes: vec![],
            });
            let came = came.iter().map(|c| ClassArrivals {
                class: c.class.clone(),
                queries: c.queries,
                unanswered: c.unanswered,
            });
            let report =
                Report { span: Duration::from_micros(*span), met: met.collect(), came: came.collect() };
            driver.report(at, proxy, &report);
        }
        RecordedEvent::Remembered { hints } => {
            let hint = |(name, swift, doubt): &(String, u64, u64)| {
                (name.clone(), f64::from_bits(*swift), f64::from_bits(*doubt))
            };
            driver.remembered(&hints.iter().map(hint).collect::<Vec<_>>());
        }
        RecordedEvent::Probed { server, found, after, load } => {
            let Some(server) = driver.server(server) else { return false };
            let found = FOUND.get(usize::from(*found)).copied().unwrap_or(HealthCheckResult::Inconclusive);
            driver.probed(server, found, Duration::from_micros(*after), values(load));
        }
        _ => {}
    }
    true
}
