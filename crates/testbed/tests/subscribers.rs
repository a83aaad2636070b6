//! Subscribers that disconnect or misbehave, against a planner's process. Each is one proxy on an event loop of its own,
//! with the program's own client of the protocol.

mod help;

use help::requests::{drain_server, edit_state, list_servers};
use help::PlannerWithOperator;
use runloom_daemon::client::edit_config;
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER_DNS_NAME, PROXY_DNS_NAME};
use runloom_event_loop::{CloseReason, ConnectionId, ConnectionLimits, EventLoop, IoEvent, Security};
use runloom_model::report::{ClassArrivals, Report, ServerOutcomes};
use runloom_model::FLEET_NAMESPACE;
use runloom_mqtt::client::{Client, ClientEvent, TableFormat};
use runloom_mqtt::{report, ConnectionEnd, ProxyInfo};
use runloom_netconf::tree::Element;
use runloom_versioned_publisher::{Key, ReadOutcome, Topic, TopicKind, UpdatePart, UpdateReader};
use std::time::{Duration, Instant};

/// Far longer than any condition here takes.
const TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const ALL_SERVERS: [&str; 3] = ["s1", "s2", "s3"];

/// A proxy that subscribes to a planner's tables.
struct Subscriber {
    event_loop: EventLoop,
    conn: ConnectionId,
    client: Client,
    reader: UpdateReader,
    /// All update parts that it received.
    parts: Vec<UpdatePart>,
    /// Whether it acknowledges or rejects the parts that it receives.
    acknowledges: bool,
    close_reason: Option<CloseReason>,
}

impl Subscriber {
    /// Connects and subscribes with the given names of planner and proxy, and with the tables that `reader` holds.
    fn connect(
        planner: &PlannerWithOperator,
        policy: &TlsPolicy,
        planner_name: &str,
        proxy_name: &str,
        reader: UpdateReader,
    ) -> Subscriber {
        let mut event_loop = EventLoop::new().unwrap();
        let security = Security::TlsClient(policy.client_config.clone(), server_name(PLANNER_DNS_NAME));
        let conn = event_loop.dial(planner.addresses.pubsub, &security, ConnectionLimits::default()).unwrap();
        let has_no_table = reader.topics().next().is_none();
        let info = ProxyInfo { zone: "a".into(), request_rate: 5.0, has_no_table };
        let held = reader.held_versions();
        let now = event_loop.now();
        let client = Client::new(now, planner_name, proxy_name, &info, TableFormat::Weights, held);
        Subscriber { event_loop, conn, client, reader, parts: vec![], acknowledges: true, close_reason: None }
    }

    /// Polls until a condition holds.
    fn wait_until(&mut self, condition: &str, holds: impl Fn(&Subscriber) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < end,
                "timed out waiting for {condition}; session: {:?}, connection: {:?}",
                self.client.end(),
                self.close_reason
            );
            self.poll(POLL_INTERVAL);
        }
    }

    fn wait_until_closed(&mut self) {
        self.wait_until("the end of the connection", |subscriber| subscriber.close_reason.is_some());
    }

    fn wait_until_rejected(&mut self, reason: &str) {
        let is_rejected = |subscriber: &Subscriber| matches!(subscriber.client.end(), Some(ConnectionEnd::Rejected(why)) if why.contains(reason));
        self.wait_until(reason, is_rejected);
    }

    fn wait_until_table_has(&mut self, servers: &[&str]) {
        self.wait_until(&format!("{servers:?}"), |subscriber| subscriber.has_servers(servers));
    }

    /// Waits for events for at most `timeout`, handles them, and sends the client's output.
    fn poll(&mut self, timeout: Duration) {
        let until = self.event_loop.now() + timeout;
        for event in self.event_loop.wait(Some(until)).unwrap() {
            match event {
                IoEvent::Bytes { bytes, .. } => self.handle_bytes(&bytes),
                IoEvent::Closed { reason, .. } => self.close_reason = Some(reason),
                _ => {}
            }
        }
        let bytes = self.client.take_output();
        self.event_loop.write(self.conn, &bytes);
    }

    fn handle_bytes(&mut self, bytes: &[u8]) {
        let now = self.event_loop.now();
        for event in self.client.receive(now, bytes) {
            let ClientEvent::Part { packet_id, part } = event else { continue };
            let is_valid = matches!(self.reader.read(&part), ReadOutcome::Applied(_) | ReadOutcome::Pending);
            self.parts.push(part);
            match (self.acknowledges, is_valid) {
                (true, true) => self.client.acknowledge(now, packet_id),
                (true, false) => self.client.reject(now, packet_id),
                (false, _) => {}
            }
        }
    }

    /// The servers of the table that it is assigned.
    fn servers(&self) -> Vec<String> {
        let assignments = self.reader.held(Topic { kind: TopicKind::Assignments, table: 0 });
        let table = assignments.and_then(|held| held.state.values().next()?.parse().ok());
        let topic = Topic { kind: TopicKind::Weights, table: table.unwrap_or_default() };
        let server = |key: &Key| match key {
            Key::Entry(server) => Some(server.clone()),
            _ => None,
        };
        let held = self.reader.held(topic).into_iter();
        held.flat_map(|held| held.state.keys()).filter_map(server).collect()
    }

    fn has_servers(&self, servers: &[&str]) -> bool {
        self.servers() == servers
    }

    /// Whether it received a snapshot of its table after the first `count` parts.
    fn received_snapshot_after(&self, count: usize) -> bool {
        let is_snapshot =
            |part: &UpdatePart| part.topic.kind == TopicKind::Weights && part.base_version.is_none();
        self.parts[count..].iter().any(is_snapshot)
    }

    /// The epoch of the last part that it received.
    fn last_epoch(&self) -> u64 {
        self.parts.last().unwrap().epoch
    }

    /// Sends a report of attempts at a server.
    fn report_attempts(&mut self, server: &str) {
        let outcomes = ServerOutcomes { server: server.into(), attempts: 3, ..ServerOutcomes::default() };
        let arrivals = ClassArrivals { class: "q".into(), requests: 3, unanswered: 0 };
        let report = Report { window: REPORT_INTERVAL, outcomes: vec![outcomes], arrivals: vec![arrivals] };
        self.client.send_report(self.event_loop.now(), report::encode(&report));
    }

    /// Drops the connection, and returns the tables that it received.
    fn disconnect(self) -> UpdateReader {
        let mut reader = self.reader;
        reader.end_session();
        reader
    }
}

fn proxy_policy(planner: &PlannerWithOperator, proxy: &str) -> TlsPolicy {
    TlsPolicy::load(&planner.issuer.issue(proxy, Some(PROXY_DNS_NAME)).unwrap()).unwrap()
}

fn drain(planner: &PlannerWithOperator, server: &str, id: &str) {
    planner.client().call(edit_config("running", drain_server(server)), Some(id)).unwrap();
}

/// Waits until an edit is in force, while a subscriber handles its events.
fn wait_until_in_force(planner: &PlannerWithOperator, id: &str, subscriber: &mut Subscriber) {
    let state = || edit_state(&mut planner.client(), id);
    subscriber.wait_until("the edit to be in force", |_| state() == "in-force");
}

/// A planner with three servers, and a subscriber that has received its tables.
struct Subscribed {
    planner: PlannerWithOperator,
    policy: TlsPolicy,
    subscriber: Subscriber,
}

impl Subscribed {
    fn new(name: &str) -> Subscribed {
        let planner = PlannerWithOperator::new(name);
        planner.client().edit(list_servers(&ALL_SERVERS), None).unwrap();
        let policy = proxy_policy(&planner, "f1");
        let mut subscriber = Subscriber::connect(&planner, &policy, "p", "f1", UpdateReader::default());
        subscriber.wait_until_table_has(&ALL_SERVERS);
        Subscribed { planner, policy, subscriber }
    }
}

#[test]
fn a_reconnecting_subscriber_resumes_and_receives_a_missed_drain_first() {
    // Given
    let Subscribed { planner, policy, subscriber } = Subscribed::new("resume");
    let reader = subscriber.disconnect();
    drain(&planner, "s2", "d");

    // When
    let mut subscriber = Subscriber::connect(&planner, &policy, "p", "f1", reader);
    subscriber.wait_until_table_has(&["s1", "s3"]);

    // Then
    let is_table = |part: &&UpdatePart| part.topic.kind == TopicKind::Weights;
    let tables: Vec<&UpdatePart> = subscriber.parts.iter().filter(is_table).collect();
    assert!(
        tables[0].base_version.is_some() && tables[0].changes[0].takes_server_out_of_service(),
        "{tables:?}"
    );
    wait_until_in_force(&planner, "d", &mut subscriber);
}

#[test]
fn a_second_connection_of_one_identity_takes_over_the_first_ones_session() {
    // Given
    let Subscribed { planner, policy, subscriber: mut first } = Subscribed::new("takeover");

    // When
    let mut second = Subscriber::connect(&planner, &policy, "p", "f1", UpdateReader::default());
    second.wait_until_table_has(&ALL_SERVERS);

    // Then
    first.wait_until_rejected("SessionTakenOver");
    first.wait_until_closed();
    // The end of the first connection must not end the second one's session.
    drain(&planner, "s1", "d");
    second.wait_until_table_has(&["s2", "s3"]);
    wait_until_in_force(&planner, "d", &mut second);
}

#[test]
fn a_subscription_to_another_planner_or_under_another_name_is_rejected() {
    // Given
    let Subscribed { planner, policy, .. } = Subscribed::new("strangers");
    let connect = |policy: &TlsPolicy, planner_name: &str, proxy_name: &str| {
        Subscriber::connect(&planner, policy, planner_name, proxy_name, UpdateReader::default())
    };

    // When
    let mut to_other_planner = connect(&policy, "q", "f1");
    to_other_planner.wait_until_rejected("NotAuthorized");
    let mut under_other_name = connect(&policy, "p", "f2");
    under_other_name.wait_until_rejected("ClientIdentifier");
    let mut operator = connect(&planner.policy, "p", "staff");
    operator.wait_until_closed();

    // Then
    for subscriber in [to_other_planner, under_other_name, operator] {
        assert!(subscriber.parts.is_empty());
    }
}

/// The planner is killed between a drain and its acknowledgement. After the restart it publishes tables without the
/// server under a later epoch, and still has the edit in its history.
#[test]
fn a_restarted_planner_publishes_an_unacknowledged_drain_again() {
    // Given
    let Subscribed { mut planner, policy, mut subscriber } = Subscribed::new("restart");
    subscriber.acknowledges = false;
    drain(&planner, "s2", "d");
    subscriber.wait_until_table_has(&["s1", "s3"]);
    let epoch = subscriber.last_epoch();

    // When
    planner.restart();

    // Then
    subscriber.wait_until_closed();
    let reader = subscriber.disconnect();
    let mut subscriber = Subscriber::connect(&planner, &policy, "p", "f1", reader);
    subscriber.wait_until("the tables of the restarted planner", |subscriber| {
        subscriber.parts.iter().any(|part| part.topic.kind == TopicKind::Assignments)
    });
    let is_later_snapshot = |part: &UpdatePart| part.epoch > epoch && part.base_version.is_none();
    assert!(subscriber.parts.iter().all(is_later_snapshot), "{:?}", subscriber.parts);
    assert!(subscriber.has_servers(&["s1", "s3"]), "{:?}", subscriber.servers());
    assert_ne!(edit_state(&mut planner.client(), "d"), "");
}

#[test]
fn a_subscriber_that_acknowledges_nothing_is_disconnected_and_does_not_delay_a_drain() {
    // Given
    let Subscribed { planner, subscriber: mut unresponsive, .. } = Subscribed::new("mute");
    unresponsive.acknowledges = false;
    let policy = proxy_policy(&planner, "f2");
    let mut other = Subscriber::connect(&planner, &policy, "p", "f2", UpdateReader::default());
    other.wait_until_table_has(&ALL_SERVERS);

    // When
    drain(&planner, "s3", "d");

    // Then
    other.wait_until_table_has(&["s1", "s2"]);
    unresponsive.wait_until_closed();
    wait_until_in_force(&planner, "d", &mut other);
}

/// Guards against a subscriber that acknowledges a drain without applying it, so that its reports still show attempts
/// at the server: it receives its tables again, and is then disconnected.
#[test]
fn a_subscriber_that_does_not_apply_what_it_acknowledges_is_found_by_its_reports() {
    // Given
    let Subscribed { planner, mut subscriber, .. } = Subscribed::new("liar");
    drain(&planner, "s3", "d");
    subscriber.wait_until_table_has(&["s1", "s2"]);
    wait_until_in_force(&planner, "d", &mut subscriber);
    let received = subscriber.parts.len();

    // When
    let end = Instant::now() + TIMEOUT;
    while subscriber.close_reason.is_none() && Instant::now() < end {
        subscriber.report_attempts("s3");
        subscriber.poll(REPORT_INTERVAL);
        let has_snapshot = subscriber.received_snapshot_after(received);
        assert!(
            subscriber.close_reason.is_none() || has_snapshot,
            "the subscriber was disconnected without a snapshot"
        );
    }

    // Then
    assert!(subscriber.close_reason.is_some() && subscriber.received_snapshot_after(received));
}

#[test]
fn changed_settings_publish_tables_under_another_epoch_on_the_same_stream() {
    // Given
    let Subscribed { planner, mut subscriber, .. } = Subscribed::new("facts");
    let epoch = subscriber.last_epoch();

    // When
    let grace_period = Element::new(FLEET_NAMESPACE, "grace").with_leaf("drain-ms", 2500);
    planner.client().edit(Element::new(FLEET_NAMESPACE, "fleet").with(grace_period), None).unwrap();

    // Then
    subscriber.wait_until("tables of a later epoch", |subscriber| {
        let last = subscriber.parts.last();
        last.is_some_and(|part| part.epoch > epoch && part.topic.kind == TopicKind::Assignments)
    });
    assert!(subscriber.close_reason.is_none() && subscriber.has_servers(&ALL_SERVERS));

    // When
    drain(&planner, "s2", "d");

    // Then
    subscriber.wait_until_table_has(&["s1", "s3"]);
    wait_until_in_force(&planner, "d", &mut subscriber);
}
