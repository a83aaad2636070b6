//! The two ways to deliver tables, by edits and by subscriptions: the cost of messages, the effect of slow subscribers
//! on others, and the time until all proxies have their tables after a planner's restart.

use super::figures::{milliseconds, print_figure, print_path_figures, quantile_ms};
use super::fixtures::{quiet_scenario, ScenarioSize};
use super::BenchmarkResult;
use crate::scenario::{DeliveryMode, FaultKind, Scenario, ScheduledFault};
use crate::testbed::Testbed;
use runloom_distribution::{Distributor, OutgoingMessage, PendingProxy, Transport};
use runloom_model::report::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use runloom_model::table_update::{EntryEdit, TableEdit, UpdateMessage};
use runloom_mqtt::client::{Client, ClientEvent, TableFormat};
use runloom_mqtt::session::{Session, SessionEvent};
use runloom_mqtt::{body, report, ProxyInfo};
use runloom_versioned_publisher::{Topic, TopicFilter, TopicKind, UpdatePart, Version};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROXY_COUNT: usize = 592;
const SERVER_COUNT: usize = 544;
/// Table entries that a step changes: a tenth.
const CHANGED_ENTRIES: usize = 54;
const STEP_COUNT: usize = 200;
/// The table that all proxies have.
const TABLE: Topic = Topic { kind: TopicKind::Weights, table: 1 };
const PUBLISHER_INTERVAL: Duration = Duration::from_secs(2);
const PAGE_BYTES: f64 = 4096.0;
const REPORT_READING_TIME: Duration = Duration::from_secs(1);
/// Synthetic requests per second, which pass no socket.
const SYNTHETIC_REQUEST_RATE: f64 = 2600.0;
const SEED: u64 = 1;
/// Shares of the subscribers that read only once a second.
const SLOW_READER_SHARES: [f64; 3] = [0.0, 0.1, 0.5];
const SLOW_READER_SECONDS: u64 = 20;
const RECONNECT_SECONDS: u64 = 14;
/// Edits before the planner is killed.
const RECONNECT_EDITS: usize = 2;

/// Measures the planner's work for 592 proxies on one table of 544 servers, of which a tenth changes with each step, on
/// one core and without sockets or TLS. For subscribers it includes the sessions of the protocol.
pub(super) fn measure() -> BenchmarkResult {
    measure_transport("pubsub", Transport::Published)?;
    measure_transport("netconf", Transport::Edits)?;
    measure_reading_reports();
    Ok(())
}

fn measure_transport(name: &str, transport: Transport) -> BenchmarkResult {
    let clients: Vec<Client> = (0..PROXY_COUNT).map(subscriber).collect();
    let memory_before = resident_bytes();
    let mut run = DeliveryRun::new(transport, clients);
    for step in 0..=STEP_COUNT {
        run.step(step);
    }
    if run.count_proxies_at_last_step() != PROXY_COUNT {
        return Err(format!("{name}: not all proxies acknowledged the last step"));
    }
    let totals = &run.totals;
    let (messages, seconds) = (totals.messages as f64, totals.busy.as_secs_f64());
    print_figure(&format!("{name}.messages_per_second"), messages / seconds, "messages/s");
    print_figure(&format!("{name}.step_to_all"), seconds / STEP_COUNT as f64 * 1e3, "ms");
    print_figure(&format!("{name}.bytes_a_message"), totals.bytes as f64 / messages, "bytes");
    if transport == Transport::Published {
        // Includes the planner's session, its state of the proxy, and what the messages left allocated.
        let bytes = (resident_bytes() - memory_before) / PROXY_COUNT as f64;
        print_figure(&format!("{name}.memory_a_proxy"), bytes / 1024.0, "KiB");
    }
    Ok(())
}

fn proxy_name(proxy: usize) -> String {
    format!("f{proxy}")
}

fn subscriber(proxy: usize) -> Client {
    let now = Duration::ZERO;
    Client::new(now, "p", &proxy_name(proxy), &ProxyInfo::default(), TableFormat::Weights, vec![])
}

fn pending_proxy(proxy: usize, transport: Transport) -> PendingProxy {
    PendingProxy {
        connection: proxy,
        name: proxy_name(proxy),
        zone: "z".to_string(),
        request_rate: 1.0,
        has_no_table: true,
        transport,
        filters: vec![TopicFilter::ALL],
        held_versions: vec![],
    }
}

fn snapshot_edit() -> TableEdit {
    let entries = (0..SERVER_COUNT).map(|entry| table_entry(entry, 0)).collect();
    TableEdit { replaces_table: true, entries, ..TableEdit::default() }
}

fn delta_edit(step: usize) -> TableEdit {
    let entries = (0..CHANGED_ENTRIES).map(|entry| table_entry(entry, step)).collect();
    TableEdit { replaces_table: false, entries, ..TableEdit::default() }
}

/// The name of the server that `entry` of a step changes, with its address and weight.
fn table_entry(entry: usize, step: usize) -> (String, EntryEdit) {
    let server = (entry + step * CHANGED_ENTRIES) % SERVER_COUNT;
    let weight = 1.0 + 0.001 * (step % 100) as f64 + 0.0001 * entry as f64;
    let address = format!("10.0.{}.{}:8080", server / 250, server % 250);
    (format!("server-{server}"), EntryEdit { address, weight })
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * PAGE_BYTES
}

/// Both ends of a subscription: the planner's session and the proxy's client.
struct Subscription {
    session: Session,
    client: Client,
}

impl Subscription {
    fn new(proxy: usize, client: Client) -> Subscription {
        let mut session = Session::new(Duration::ZERO, "p", &proxy_name(proxy));
        let mut client = client;
        for _ in 0..2 {
            session.receive(Duration::ZERO, &client.take_output());
            client.receive(Duration::ZERO, &session.take_output());
        }
        Subscription { session, client }
    }

    /// Lets the client acknowledge what the session sent, and returns the client's bytes.
    fn acknowledge(&mut self, sent: &[u8]) -> Vec<u8> {
        let now = Duration::ZERO;
        for event in self.client.receive(now, sent) {
            if let ClientEvent::Part { packet_id, .. } = event {
                self.client.acknowledge(now, packet_id);
            }
        }
        self.client.take_output()
    }
}

/// Identifies a part of an update between two versions of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PartKey {
    topic: Topic,
    base_version: Option<Version>,
    version: Version,
    part: usize,
}

/// Encoded bodies of the parts of one step, which subscribers share.
type PartBodies = BTreeMap<PartKey, Arc<[u8]>>;

/// Totals of the planner's side over all steps but the first.
#[derive(Default)]
struct DeliveryTotals {
    messages: u64,
    bytes: u64,
    busy: Duration,
}

/// What the planner's side sent in one step.
#[derive(Default)]
struct StepMessages {
    totals: DeliveryTotals,
    /// Proxies and message numbers of what was sent by edits.
    edits: Vec<(usize, u64)>,
    /// Bytes to send, for each subscriber.
    subscriber_bytes: Vec<(usize, Vec<u8>)>,
}

/// A distributor and all its proxies.
struct DeliveryRun {
    transport: Transport,
    distributor: Distributor,
    subscriptions: BTreeMap<usize, Subscription>,
    totals: DeliveryTotals,
}

impl DeliveryRun {
    fn new(transport: Transport, clients: Vec<Client>) -> DeliveryRun {
        let mut distributor = Distributor::new(1, PUBLISHER_INTERVAL, PUBLISHER_INTERVAL);
        distributor.update_table(1, &snapshot_edit());
        let mut subscriptions = BTreeMap::new();
        for (proxy, client) in clients.into_iter().enumerate() {
            distributor.connect(proxy, pending_proxy(proxy, transport));
            subscriptions.insert(proxy, Subscription::new(proxy, client));
        }
        DeliveryRun { transport, distributor, subscriptions, totals: DeliveryTotals::default() }
    }

    /// Sends one step to all proxies. The first one assigns the table and is not part of the totals.
    fn step(&mut self, step: usize) {
        let start = Instant::now();
        let sent = self.send(step);
        let mut busy = start.elapsed();
        // The time that proxies take to answer is not measured.
        let mut answers: Vec<(usize, Vec<u8>)> = vec![];
        for (proxy, bytes) in &sent.subscriber_bytes {
            let Some(subscription) = self.subscriptions.get_mut(proxy) else { continue };
            answers.push((*proxy, subscription.acknowledge(bytes)));
        }
        let start = Instant::now();
        self.receive(answers, sent.edits);
        busy += start.elapsed();
        if step > 0 {
            self.totals.messages += sent.totals.messages;
            self.totals.bytes += sent.totals.bytes;
            self.totals.busy += busy;
        }
    }

    fn send(&mut self, step: usize) -> StepMessages {
        let message = if step == 0 { assign_table() } else { UpdateMessage::default() };
        if step > 0 {
            self.distributor.update_table(1, &delta_edit(step));
        }
        (0..PROXY_COUNT).for_each(|proxy| self.distributor.issue_command(proxy, step as u64 + 1, &message));
        let mut sent = StepMessages::default();
        let mut bodies = PartBodies::new();
        for proxy in self.distributor.take_ready() {
            while let Some(outgoing) = self.distributor.next_message(Duration::ZERO, proxy) {
                sent.totals.messages += 1;
                match outgoing {
                    OutgoingMessage::Edit { number, text, .. } => {
                        sent.totals.bytes += text.len() as u64;
                        sent.edits.push((proxy, number));
                    }
                    OutgoingMessage::Part { number, part } => {
                        self.send_part(proxy, number, &part, &mut bodies)
                    }
                }
            }
        }
        if self.transport == Transport::Published {
            let outputs = self.subscriptions.iter_mut().map(|(proxy, s)| (*proxy, s.session.take_output()));
            sent.subscriber_bytes.extend(outputs);
        }
        sent.totals.bytes += sent.subscriber_bytes.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        sent
    }

    /// Queues a part for a subscriber; its body is encoded once for all subscribers.
    fn send_part(&mut self, proxy: usize, number: u64, part: &UpdatePart, bodies: &mut PartBodies) {
        let key = PartKey {
            topic: part.topic,
            base_version: part.base_version,
            version: part.version,
            part: part.part_index,
        };
        let body = bodies.entry(key).or_insert_with(|| body::encode(part).into()).clone();
        if let Some(subscription) = self.subscriptions.get_mut(&proxy) {
            subscription.session.publish(Duration::ZERO, number, part.topic, body);
        }
    }

    /// Handles the acknowledgements of subscribers, and acknowledges the messages that were sent by edits.
    fn receive(&mut self, answers: Vec<(usize, Vec<u8>)>, edits: Vec<(usize, u64)>) {
        let now = Duration::ZERO;
        for (proxy, bytes) in answers {
            let Some(subscription) = self.subscriptions.get_mut(&proxy) else { continue };
            for event in subscription.session.receive(now, &bytes) {
                if let SessionEvent::Acknowledged(number) = event {
                    self.distributor.acknowledge(now, proxy, number);
                }
            }
        }
        for (proxy, number) in edits {
            self.distributor.acknowledge(now, proxy, number);
        }
    }

    /// The number of proxies that acknowledged the last step.
    fn count_proxies_at_last_step(&self) -> usize {
        let publisher = self.distributor.publisher();
        let has_last_step = |proxy: &usize| {
            publisher.acknowledged_version(&proxy_name(*proxy), TABLE) == Some(STEP_COUNT as u64 + 1)
        };
        (0..PROXY_COUNT).filter(has_last_step).count()
    }
}

/// The message that assigns the table to a proxy.
fn assign_table() -> UpdateMessage {
    UpdateMessage {
        replaces_all: true,
        assignments: [("q".to_string(), 1)].into(),
        ..UpdateMessage::default()
    }
}

/// Measures how many reports one core parses in a second.
fn measure_reading_reports() {
    let body = report::encode(&sample_report());
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < REPORT_READING_TIME {
        count += usize::from(report::decode(&body).is_ok());
    }
    let reports_per_second = count as f64 / start.elapsed().as_secs_f64();
    print_figure("reports_read_per_second", reports_per_second, "reports/s");
}

/// A report on five servers, two classes each.
fn sample_report() -> Report {
    let classes = ["search", "loan-checkout"];
    let class_outcomes = |class: &str| ClassOutcomes {
        class: class.into(),
        attempts: 3,
        within_objective: 3,
        latencies: [(15, 2), (16, 1)].into(),
    };
    let server_outcomes = |server: usize| ServerOutcomes {
        server: format!("server-{server}"),
        attempts: 6,
        failures: 0,
        mean_latency: Duration::from_millis(40),
        within_objective: 6,
        load: vec![2.0],
        classes: classes.map(class_outcomes).to_vec(),
    };
    let arrivals = |class: &str| ClassArrivals { class: class.into(), requests: 15, unanswered: 0 };
    Report {
        window: Duration::from_millis(500),
        outcomes: (0..5).map(server_outcomes).collect(),
        arrivals: classes.map(arrivals).to_vec(),
    }
}

fn scenario(delivery: DeliveryMode, seconds: u64) -> Scenario {
    let size = ScenarioSize { proxies: PROXY_COUNT, servers: SERVER_COUNT, request_rate: 0.0, seconds };
    Scenario { delivery, ..quiet_scenario(size) }
}

/// Measures 592 x 544 over sockets, with none, a tenth and half of the subscribers reading only once a second: how much
/// later than the first subscriber the ones that are not slow receive a version of a table.
pub(super) fn measure_slow_readers(folder: &Path, program: &Path) -> BenchmarkResult {
    for share in SLOW_READER_SHARES {
        let scenario = scenario(DeliveryMode::Pubsub, SLOW_READER_SECONDS);
        let run_folder = folder.join(format!("slow-{share}"));
        let mut testbed = Testbed::new(scenario, SEED, &run_folder, program, &[])?;
        testbed.set_synthetic_request_rate(SYNTHETIC_REQUEST_RATE);
        testbed.set_slow_reader_share(share);
        let outcome = testbed.run()?;
        let size = format!("592x544.pubsub.slow_{:.0}%", share * 100.0);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            let lag_ms = quantile_ms(testbed.update_lag_us(), quantile);
            print_figure(&format!("{size}.behind_the_first_{name}"), lag_ms, "ms");
        }
        print_path_figures(&size, SLOW_READER_SECONDS as f64, &outcome)?;
    }
    Ok(())
}

/// Measures 592 x 544 over sockets with each kind of delivery: the planner is killed and restarted, and all proxies
/// reconnect.
pub(super) fn measure_reconnects(folder: &Path, program: &Path) -> BenchmarkResult {
    for (name, delivery) in [("pubsub", DeliveryMode::Pubsub), ("netconf", DeliveryMode::Netconf)] {
        let mut scenario = scenario(delivery, RECONNECT_SECONDS);
        scenario.edits.truncate(RECONNECT_EDITS);
        scenario.faults = vec![ScheduledFault::new(6, FaultKind::PlannerKill, 1, 1)];
        let run_folder = folder.join(format!("storm-{name}"));
        let mut testbed = Testbed::new(scenario, SEED, &run_folder, program, &[])?;
        testbed.set_synthetic_request_rate(SYNTHETIC_REQUEST_RATE);
        let outcome = testbed.run()?;
        let restart = testbed.restart();
        let recovery_time =
            restart.recovery_time.ok_or("not all proxies received their tables after the restart")?;
        print_figure(&format!("592x544.{name}.back_to_all_told"), milliseconds(recovery_time), "ms");
        print_figure(&format!("592x544.{name}.planner_start"), milliseconds(restart.start_duration), "ms");
        print_path_figures(&format!("592x544.{name}.storm"), RECONNECT_SECONDS as f64, &outcome)?;
    }
    Ok(())
}
