//! Measurements of the two fronts: what telling costs, what slow subscribers do to others, and how long it takes until
//! all are told again after a planner's restart.

use crate::measure::{figure, sized, told_path, Told};
use crate::scenario::{Fronts, Scenario, ScheduledFault};
use crate::world::Testbed;
use runloom_distribution::{Distributor, Outgoing, PendingProxy, Transport};
use runloom_model::table_update::{EntryEdit, TableEdit, UpdateMessage};
use runloom_mqtt::client::{Client, ClientEvent, TableFormat};
use runloom_mqtt::session::{Session, SessionEvent};
use runloom_mqtt::{body, report, ProxyInfo};
use runloom_versioned_publisher::TopicFilter;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROXIES: usize = 592;
const SERVERS: usize = 544;
/// Lines that a step changes: a tenth.
const CHANGED: usize = 54;
const STEPS: usize = 200;

fn edit(whole: bool, step: usize) -> TableEdit {
    let count = if whole { SERVERS } else { CHANGED };
    let line = |k: usize| {
        let server = (k + step * CHANGED) % SERVERS;
        let weight = 1.0 + 0.001 * (step % 100) as f64 + 0.0001 * k as f64;
        let address = format!("10.0.{}.{}:8080", server / 250, server % 250);
        (format!("server-{server}"), EntryEdit { address, weight })
    };
    TableEdit { replaces_table: whole, entries: (0..count).map(line).collect(), ..TableEdit::default() }
}

fn newcomer(p: usize, way: Transport) -> PendingProxy {
    let (zone, wanted) = ("z".to_string(), vec![TopicFilter::ALL]);
    PendingProxy {
        connection: p,
        name: format!("f{p}"),
        zone,
        request_rate: 1.0,
        has_no_table: true,
        transport: way,
        filters: wanted,
        held: vec![],
    }
}

/// Resident memory of this process, bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// 592 proxies on one table of 544 servers, of which a tenth changes with each step, on one core and without sockets or
/// TLS: what it takes to make all messages, with the protocol's own state for those that subscribe.
pub fn fronts() -> Told {
    let now = Duration::ZERO;
    for (name, way) in [("pubsub", Transport::Published), ("netconf", Transport::Edits)] {
        let greet = |p: usize| {
            Client::new(now, "p", &format!("f{p}"), &ProxyInfo::default(), TableFormat::Weights, vec![])
        };
        let clients: Vec<Client> = (0..PROXIES).map(greet).collect();
        let before = resident();
        let mut front = Distributor::new(1, Duration::from_secs(2), Duration::from_secs(2));
        front.update_table(1, &edit(true, 0));
        let mut pairs: BTreeMap<usize, (Session, Client)> = BTreeMap::new();
        for (p, client) in clients.into_iter().enumerate() {
            front.connect(p, newcomer(p, way));
            pairs.insert(p, (Session::new(now, "p", &format!("f{p}")), client));
        }
        for (session, client) in pairs.values_mut() {
            for _ in 0..2 {
                session.receive(now, &client.output());
                client.receive(now, &session.output());
            }
        }
        let (mut told, mut bytes, mut busy) = (0u64, 0u64, Duration::ZERO);
        let bind = UpdateMessage {
            replaces_all: true,
            assignments: [("q".to_string(), 1)].into(),
            ..UpdateMessage::default()
        };
        for step in 0..=STEPS {
            let start = Instant::now();
            if step > 0 {
                front.update_table(1, &edit(false, step));
            }
            let message = if step == 0 { bind.clone() } else { UpdateMessage::default() };
            (0..PROXIES).for_each(|p| front.issue_command(p, step as u64 + 1, &message));
            let mut bodies: BTreeMap<_, Arc<[u8]>> = BTreeMap::new();
            let mut sent: Vec<(usize, u64)> = vec![];
            for p in front.take_ready() {
                while let Some(out) = front.next_message(now, p) {
                    if step > 0 {
                        told += 1;
                    }
                    match out {
                        Outgoing::Edit { number, text, .. } => {
                            bytes += if step > 0 { text.len() as u64 } else { 0 };
                            sent.push((p, number));
                        }
                        Outgoing::Part { number, part } => {
                            let key = (part.topic, part.base_version, part.version, part.part);
                            let text = bodies.entry(key).or_insert_with(|| body::encode(&part).into());
                            let session = pairs.get_mut(&p).map(|(session, _)| session);
                            session.map(|s| s.publish(now, number, part.topic, text.clone()));
                        }
                    }
                }
            }
            let mut written: Vec<(usize, Vec<u8>)> = vec![];
            if way == Transport::Published {
                written.extend(pairs.iter_mut().map(|(p, (session, _))| (*p, session.output())));
            }
            busy += if step > 0 { start.elapsed() } else { Duration::ZERO };
            bytes += if step > 0 { written.iter().map(|(_, b)| b.len() as u64).sum() } else { 0 };
            // The proxies' side, which is not the planner's time.
            let mut words: Vec<(usize, Vec<u8>)> = vec![];
            for (p, output) in written {
                let Some((_, client)) = pairs.get_mut(&p) else { continue };
                let parts = client.receive(now, &output).into_iter();
                let ids: Vec<u16> = parts
                    .filter_map(|t| {
                        if let ClientEvent::Part { packet_id, .. } = t {
                            Some(packet_id)
                        } else {
                            None
                        }
                    })
                    .collect();
                ids.into_iter().for_each(|id| client.acknowledge(now, id));
                words.push((p, client.output()));
            }
            let start = Instant::now();
            for (p, word) in words {
                let Some((session, _)) = pairs.get_mut(&p) else { continue };
                for heard in session.receive(now, &word) {
                    if let SessionEvent::Acknowledged(number) = heard {
                        front.acknowledged(now, p, number);
                    }
                }
            }
            for (p, number) in sent {
                front.acknowledged(now, p, number);
            }
            busy += if step > 0 { start.elapsed() } else { Duration::ZERO };
        }
        let held = (0..PROXIES).filter(|p| {
            front.publisher().acknowledged_version(&format!("f{p}"), TABLE) == Some(STEPS as u64 + 1)
        });
        if held.count() != PROXIES {
            return Err(format!("{name}: not all proxies hold the last step"));
        }
        figure(&format!("{name}.messages_per_second"), told as f64 / busy.as_secs_f64(), "messages/s");
        figure(&format!("{name}.step_to_all"), busy.as_secs_f64() / STEPS as f64 * 1e3, "ms");
        figure(&format!("{name}.bytes_a_message"), bytes as f64 / told as f64, "bytes");
        if way == Transport::Published {
            // The planner's side: its session, its place in the front, and its part of what passed.
            figure(&format!("{name}.memory_a_proxy"), (resident() - before) / PROXIES as f64 / 1024.0, "KiB");
        }
    }
    let body = report::encode(&sample());
    let start = Instant::now();
    let mut read = 0;
    while start.elapsed() < Duration::from_secs(1) {
        read += usize::from(report::decode(&body).is_ok());
    }
    figure("reports_read_per_second", read as f64 / start.elapsed().as_secs_f64(), "reports/s");
    Ok(())
}

const TABLE: runloom_versioned_publisher::Topic =
    runloom_versioned_publisher::Topic { kind: runloom_versioned_publisher::TopicKind::Weights, table: 1 };

/// A report on five servers, two classes each.
fn sample() -> runloom_model::report::Report {
    use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
    let of = |class: &str| ClassOutcomes {
        class: class.into(),
        attempts: 3,
        within_objective: 3,
        latencies: [(15, 2), (16, 1)].into(),
    };
    let met = |k: usize| ServerOutcomes {
        server: format!("server-{k}"),
        attempts: 6,
        failures: 0,
        mean_latency: Duration::from_millis(40),
        within_objective: 6,
        load: vec![2.0],
        classes: vec![of("search"), of("loan-checkout")],
    };
    let came = |class: &str| ClassArrivals { class: class.into(), requests: 15, unanswered: 0 };
    let came = vec![came("search"), came("loan-checkout")];
    Report { window: Duration::from_millis(500), outcomes: (0..5).map(met).collect(), arrivals: came }
}

/// 592 x 544 over sockets with none, a tenth and half of the subscribers reading once a second only: how far behind the
/// first the others take a version of a table.
pub fn slow(folder: &Path, own: &Path) -> Told {
    for part in [0.0, 0.1, 0.5] {
        let day = Scenario { fronts: Fronts::Pubsub, ..sized(PROXIES, SERVERS, 0.0, 20) };
        let place = folder.join(format!("slow-{part}"));
        let mut world = Testbed::new(day, 1, &place, own, &[])?;
        (world.scripted, world.slow) = (Some(2600.0), part);
        let outcome = world.play()?;
        let size = format!("592x544.pubsub.slow_{:.0}%", part * 100.0);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            let behind = world.behind.value_at_quantile(quantile) as f64 / 1e3;
            figure(&format!("{size}.behind_the_first_{name}"), behind, "ms");
        }
        told_path(&size, 20.0, &outcome)?;
    }
    Ok(())
}

/// 592 x 544 over sockets on either front: the planner is killed and started again.
pub fn storm(folder: &Path, own: &Path) -> Told {
    for (name, fronts) in [("pubsub", Fronts::Pubsub), ("netconf", Fronts::Netconf)] {
        let mut day = Scenario { fronts, ..sized(PROXIES, SERVERS, 0.0, 14) };
        day.edits.truncate(2);
        day.troubles = vec![ScheduledFault {
            at: Duration::from_secs(6),
            kind: "planner-kill".into(),
            count: 1,
            lasts: Duration::from_secs(1),
            size: 1.0,
            servers: vec![],
        }];
        let mut world = Testbed::new(day, 1, &folder.join(format!("storm-{name}")), own, &[])?;
        world.scripted = Some(2600.0);
        let outcome = world.play()?;
        let recovered = world.recovered.ok_or("not all were told again")?;
        figure(&format!("592x544.{name}.back_to_all_told"), recovered.as_secs_f64() * 1e3, "ms");
        figure(&format!("592x544.{name}.planner_start"), world.start_took.as_secs_f64() * 1e3, "ms");
        told_path(&format!("592x544.{name}.storm"), 14.0, &outcome)?;
    }
    Ok(())
}
