use crate::client::{Client, ClientEvent, TableFormat};
use crate::session::{Session, SessionEvent};
use crate::topics::{self, FilterError};
use crate::{body, report, ConnectionEnd, ProxyInfo};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::event::GenericEvent;
use mqtt_protocol_core::mqtt::packet::{
    v5_0, GenericPacket, GenericPacketTrait, Property, Qos, SubEntry, SubOpts, UserProperty,
};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, DisconnectReasonCode, PubackReasonCode, SubackReasonCode,
};
use mqtt_protocol_core::mqtt::{role, Connection, Version};
use proptest::prelude::*;
use runloom_model::report::{Report, ServerOutcomes};
use runloom_versioned_publisher::{
    Change, HeldVersion, Key, Publisher, ReadOutcome, Topic, TopicFilter, TopicKind, UpdatePart,
    UpdateReader, MAX_IN_FLIGHT,
};
use std::time::Duration;

const TABLE: Topic = Topic { kind: TopicKind::Weights, table: 3 };
const ZERO: Duration = Duration::ZERO;

fn held(epoch: u64, version: u64) -> HeldVersion {
    HeldVersion { epoch, version }
}

/// A proxy's side of a connection, based on the library's client.
struct Proxy {
    connection: Connection<role::Client>,
    received: Vec<GenericPacket<u16>>,
}

impl Proxy {
    fn new() -> Proxy {
        Proxy { connection: Connection::new(Version::V5_0), received: vec![] }
    }

    fn send(&mut self, packet: impl Into<GenericPacket<u16>>) -> Vec<u8> {
        let events = self.connection.send(packet.into());
        self.handle_protocol_events(events)
    }

    fn receive(&mut self, bytes: &[u8]) -> Vec<u8> {
        let (mut cursor, mut out) = (Cursor::new(bytes), vec![]);
        while (cursor.position() as usize) < bytes.len() {
            let events = self.connection.recv(&mut cursor);
            out.extend(self.handle_protocol_events(events));
        }
        out
    }

    fn handle_protocol_events(&mut self, events: Vec<GenericEvent<u16>>) -> Vec<u8> {
        let mut out = vec![];
        for event in events {
            match event {
                GenericEvent::RequestSendPacket { packet, .. } => out.extend(packet.to_continuous_buffer()),
                GenericEvent::NotifyPacketReceived(packet) => self.received.push(packet),
                _ => {}
            }
        }
        out
    }

    fn connect(&mut self, name: &str) -> Vec<u8> {
        self.send(v5_0::Connect::builder().client_id(name).unwrap().clean_start(true).build().unwrap())
    }

    fn subscribe(&mut self, filters: &[&str], held: Option<&str>) -> Vec<u8> {
        let entry = |f: &&str| SubEntry::new(*f, SubOpts::new().set_qos(Qos::AtLeastOnce)).unwrap();
        let id = self.connection.acquire_packet_id().unwrap();
        let properties = held.map(|held| Property::from(UserProperty::new("holds", held).unwrap()));
        let packet = v5_0::Subscribe::builder()
            .entries(filters.iter().map(entry).collect::<Vec<_>>())
            .props(properties.into_iter().collect::<Vec<_>>())
            .packet_id(id);
        self.send(packet.build().unwrap())
    }

    fn publish(&mut self, topic: &str, retain: bool) -> Vec<u8> {
        let id = self.connection.acquire_packet_id().unwrap();
        let message = v5_0::Publish::builder().topic_name(topic).unwrap().qos(Qos::AtLeastOnce).packet_id(id);
        self.send(message.payload("{}").retain(retain).build().unwrap())
    }

    fn acknowledge(&mut self, id: u16, code: PubackReasonCode) -> Vec<u8> {
        self.send(v5_0::Puback::builder().packet_id(id).reason_code(code).build().unwrap())
    }
}

fn publish(session: &mut Session, number: u64, part: &UpdatePart) -> bool {
    session.publish(ZERO, number, part.topic, body::encode(part).into())
}

/// A session and a proxy that are connected.
fn connected_pair() -> (Session, Proxy) {
    let (mut session, mut proxy) = (Session::new(ZERO, "p", "f1"), Proxy::new());
    let connect = proxy.connect("f1");
    assert_eq!(session.receive(ZERO, &connect), vec![SessionEvent::Connected(ProxyInfo::default())]);
    proxy.receive(&session.take_output());
    assert!(
        matches!(proxy.received.pop(), Some(GenericPacket::V5_0Connack(a)) if a.reason_code() == ConnectReasonCode::Success)
    );
    (session, proxy)
}

fn entry(k: usize, weight: usize) -> Change {
    Change { key: Key::Entry(format!("s{k}")), value: (weight > 0).then(|| weight.to_string().into()) }
}

#[test]
fn a_client_id_other_than_the_certificates_name_and_a_will_are_rejected() {
    let cases = [
        ("f2", false, ConnectReasonCode::ClientIdentifierNotValid),
        ("f1", true, ConnectReasonCode::NotAuthorized),
        ("", false, ConnectReasonCode::Success),
        ("f1", false, ConnectReasonCode::Success),
    ];
    for (client_id, has_will, code) in cases {
        let (mut session, mut proxy) = (Session::new(ZERO, "p", "f1"), Proxy::new());
        let mut connect = v5_0::Connect::builder().client_id(client_id).unwrap().clean_start(true);
        if has_will {
            connect = connect.will_message("runloom/p/f1/report", "x", Qos::AtMostOnce, false).unwrap();
        }
        let connect = connect.build().unwrap();

        let events = session.receive(ZERO, &proxy.send(connect));
        proxy.receive(&session.take_output());

        let Some(GenericPacket::V5_0Connack(answer)) = proxy.received.pop() else { panic!("no answer") };
        let is_success = code == ConnectReasonCode::Success;
        assert_eq!(
            (answer.reason_code(), events.len() == 1, session.end().is_none()),
            (code, is_success, is_success)
        );
    }
}

#[test]
fn a_proxy_subscribes_to_its_own_tables_and_other_filters_are_rejected_with_a_reason_code() {
    use SubackReasonCode as Code;
    let (mut session, mut proxy) = connected_pair();
    let filters = [
        ("runloom/p/f1/#", Code::GrantedQos1),
        ("runloom/p/f1/weights/3", Code::GrantedQos1),
        ("runloom/p/f2/weights/3", Code::NotAuthorized),
        ("runloom/p/+/weights/3", Code::NotAuthorized),
        ("runloom/#", Code::NotAuthorized),
        ("#", Code::NotAuthorized),
        ("$SYS/#", Code::NotAuthorized),
        ("runloom/p/f1/report", Code::NotAuthorized),
        ("runloom/p/f1/weights/03", Code::NotAuthorized),
        ("runloom/p/f1/weights#", Code::TopicFilterInvalid),
        ("runloom/#/f1", Code::TopicFilterInvalid),
    ];
    let requested: Vec<&str> = filters.iter().map(|(filter, _)| *filter).collect();

    let events = session.receive(ZERO, &proxy.subscribe(&requested, Some("runloom/p/f1/weights/3 7 12")));

    let all = TopicFilter { kind: None, table: None };
    let one = TopicFilter { kind: Some(TopicKind::Weights), table: Some(3) };
    assert_eq!(
        events,
        vec![SessionEvent::Subscribed { filters: vec![all, one], held: vec![(TABLE, held(7, 12))] }]
    );
    assert!(all.matches(TABLE) && one.matches(TABLE) && !one.matches(Topic { table: 4, ..TABLE }));
    proxy.receive(&session.take_output());
    let Some(GenericPacket::V5_0Suback(answer)) = proxy.received.pop() else { panic!("no answer") };
    assert_eq!(answer.reason_codes(), filters.map(|(_, code)| code));
    assert_eq!(topics::parse_filter("p", "f1", "$share/g/runloom/p/f1/#"), Err(FilterError::Shared));
}

#[test]
fn a_proxy_publishes_only_its_own_reports() {
    let (mut session, mut proxy) = connected_pair();
    let events = session.receive(ZERO, &proxy.publish("runloom/p/f1/report", false));
    assert_eq!(events, vec![SessionEvent::Report(b"{}".to_vec())]);
    for other in ["runloom/p/f2/report", "runloom/p/f1/weights/3", "x"] {
        assert_eq!(session.receive(ZERO, &proxy.publish(other, false)), vec![]);
        proxy.receive(&session.take_output());
        let code = match proxy.received.pop() {
            Some(GenericPacket::V5_0Puback(answer)) => answer.reason_code(),
            other => panic!("{other:?}"),
        };
        assert_eq!((code, session.end()), (Some(PubackReasonCode::NotAuthorized), None), "{other}");
    }
    assert_eq!(session.receive(ZERO, &proxy.publish("runloom/p/f1/report", true)), vec![]);
    proxy.receive(&session.take_output());
    assert!(matches!(proxy.received.pop(), Some(GenericPacket::V5_0Disconnect(d))
        if d.reason_code() == Some(DisconnectReasonCode::RetainNotSupported)));
    assert!(session.end().is_some());
}

#[test]
fn a_connection_without_connect_times_out() {
    let mut session = Session::new(ZERO, "p", "f1");

    session.handle_timeout(session.next_wakeup().unwrap() - Duration::from_millis(1));
    assert_eq!(session.end(), None);
    session.handle_timeout(session.next_wakeup().unwrap());

    assert_eq!(session.end(), Some(&ConnectionEnd::TimedOut));
}

#[test]
fn a_silent_connection_times_out_after_one_and_a_half_keep_alives() {
    let (mut session, _) = connected_pair();
    let times_out_at = session.next_wakeup().unwrap();

    session.handle_timeout(times_out_at);

    assert_eq!(times_out_at, Duration::from_secs(15));
    assert_eq!(session.end(), Some(&ConnectionEnd::TimedOut));
}

#[test]
fn a_packet_before_connect_is_rejected() {
    let (mut session, (_, mut proxy)) = (Session::new(ZERO, "p", "f1"), connected_pair());

    let events = session.receive(ZERO, &proxy.subscribe(&["runloom/p/f1/#"], None));

    assert_eq!(events, vec![]);
    assert!(matches!(session.end(), Some(ConnectionEnd::Rejected(_))), "{:?}", session.end());
}

#[test]
fn a_second_connect_is_rejected() {
    let (mut session, mut proxy) = (connected_pair().0, Proxy::new());

    let events = session.receive(ZERO, &proxy.connect("f1"));

    assert_eq!(events, vec![]);
    assert!(matches!(session.end(), Some(ConnectionEnd::Rejected(_))), "{:?}", session.end());
}

#[test]
fn a_first_packet_of_256_megabytes_is_rejected_by_its_length_alone() {
    let mut session = Session::new(ZERO, "p", "f1");

    session.receive(ZERO, &[0x10, 0xff, 0xff, 0xff, 0x7f]);

    assert!(matches!(session.end(), Some(ConnectionEnd::Rejected(_))), "{:?}", session.end());
}

/// A table is sent in several parts, split into chunks of bytes, and acknowledged. A proxy that reconnects resumes from
/// the version that it holds, and one that cannot apply a part rejects it.
#[test]
fn table_updates_are_sent_in_parts_acknowledged_rejected_and_resumed() {
    let mut publisher = Publisher::new(9);
    publisher.apply(TABLE, (0..300).map(|k| entry(k, 1)).collect());
    let mut reader = UpdateReader::default();
    for (round, parts) in [(0, 3), (1, 1)] {
        let (mut session, mut proxy) = connected_pair();
        let held_property = reader
            .held_version(TABLE)
            .map(|held| format!("runloom/p/f1/weights/3 {} {}", held.epoch, held.version));
        let events = session.receive(ZERO, &proxy.subscribe(&["runloom/p/f1/#"], held_property.as_deref()));
        let SessionEvent::Subscribed { held: received, .. } = &events[0] else { panic!("{events:?}") };
        let publisher_session = publisher.connect("f1");
        let held = received.first().map(|(_, held)| *held);
        assert!(publisher.subscribe("f1", TABLE, held));
        let mut count = 0;
        while let Some((number, part)) = publisher.next_part(ZERO, "f1") {
            assert!(publish(&mut session, number, &part));
            count += 1;
        }
        assert_eq!((count, session.messages_in_flight()), (parts, parts), "round {round}");
        let bytes = session.take_output();
        bytes.chunks(7).for_each(|chunk| _ = proxy.receive(chunk));
        let mut pubacks = vec![];
        for packet in std::mem::take(&mut proxy.received) {
            let GenericPacket::V5_0Publish(message) = packet else { continue };
            let topic = topics::parse_table_topic("p", "f1", message.topic_name()).unwrap();
            let part = body::decode(topic, message.payload().as_slice()).unwrap();
            assert!(matches!(reader.read(&part), ReadOutcome::Pending | ReadOutcome::Applied(_)));
            pubacks.extend(proxy.acknowledge(message.packet_id().unwrap(), PubackReasonCode::Success));
        }
        let mut acknowledged = vec![];
        for chunk in pubacks.chunks(3) {
            acknowledged.extend(session.receive(ZERO, chunk));
        }
        assert_eq!(acknowledged.len(), parts);
        let Some(SessionEvent::Acknowledged(last)) = acknowledged.last() else { panic!("{acknowledged:?}") };
        assert_eq!(
            publisher.acknowledge("f1", publisher_session, *last),
            vec![(TABLE, publisher.table(TABLE).unwrap().0)]
        );
        assert_eq!(&reader.held(TABLE).unwrap().state, publisher.table(TABLE).unwrap().1);
        publisher.apply(TABLE, vec![entry(5, 0), entry(6, 4)]);
    }
    let (mut session, mut proxy) = connected_pair();
    let part = UpdatePart {
        topic: TABLE,
        epoch: 9,
        base_version: None,
        version: 1,
        part_index: 0,
        part_count: 1,
        changes: [entry(1, 1)].into(),
    };
    assert!(publish(&mut session, 44, &part));
    proxy.receive(&session.take_output());
    let Some(GenericPacket::V5_0Publish(message)) = proxy.received.pop() else { panic!("no message") };
    let puback = proxy.acknowledge(message.packet_id().unwrap(), PubackReasonCode::PayloadFormatInvalid);
    assert_eq!(session.receive(ZERO, &puback), vec![SessionEvent::Rejected(44, TABLE)]);
    // The session itself does not limit the messages in flight; the publisher does.
    assert!((0..MAX_IN_FLIGHT).all(|k| publish(&mut session, 50 + k as u64, &part)));
}

/// Exchanges the output of both sides in chunks until neither has any left. Returns the events of each side.
fn exchange(
    session: &mut Session,
    client: &mut Client,
    chunk_size: usize,
) -> (Vec<SessionEvent>, Vec<ClientEvent>) {
    let (mut events, mut client_events) = (vec![], vec![]);
    loop {
        let (to_session, to_client) = (client.take_output(), session.take_output());
        if to_session.is_empty() && to_client.is_empty() {
            return (events, client_events);
        }
        to_session.chunks(chunk_size).for_each(|chunk| events.extend(session.receive(ZERO, chunk)));
        to_client.chunks(chunk_size).for_each(|chunk| client_events.extend(client.receive(ZERO, chunk)));
    }
}

#[test]
fn client_and_session_exchange_bytes_in_chunks_of_any_size() {
    for chunk_size in [1, 2, 3, 7, 4096] {
        let info = ProxyInfo { zone: "z1".into(), request_rate: 2.5, has_no_table: true };
        let resumed =
            vec![(TABLE, held(7, 12)), (Topic { kind: TopicKind::Assignments, table: 0 }, held(7, 3))];
        let mut client = Client::new(ZERO, "p", "f1", &info, TableFormat::Weights, resumed.clone());
        let mut session = Session::new(ZERO, "p", "f1");
        let (events, client_events) = exchange(&mut session, &mut client, chunk_size);
        assert_eq!(
            (&events[0], client_events.as_slice()),
            (&SessionEvent::Connected(info), &[ClientEvent::Connected][..])
        );
        let SessionEvent::Subscribed { filters, held: received } = &events[1] else { panic!("{events:?}") };
        let covers = |kind| filters.iter().any(|filter| filter.matches(Topic { kind, table: 9 }));
        let subscribed =
            [TopicKind::Weights, TopicKind::Ejections, TopicKind::Assignments, TopicKind::Subset].map(covers);
        assert_eq!((received, subscribed), (&resumed, [true, true, true, false]));
        // The topic of a proxy's assignments has table number 0, whatever number the planner uses.
        let topic = Topic { kind: TopicKind::Assignments, table: 44 };
        let change = Change { key: Key::Assignment("q".into()), value: Some("1".into()) };
        let part = UpdatePart {
            topic,
            epoch: 9,
            base_version: None,
            version: 1,
            part_index: 0,
            part_count: 1,
            changes: [change].into(),
        };
        assert!(publish(&mut session, 5, &part) && publish(&mut session, 6, &part));
        let (_, client_events) = exchange(&mut session, &mut client, chunk_size);
        let [ClientEvent::Part { packet_id: first, part: received }, ClientEvent::Part { packet_id: second, .. }] =
            &client_events[..]
        else {
            panic!("{client_events:?}")
        };
        assert_eq!((received.topic.table, &received.changes), (0, &part.changes));
        client.acknowledge(ZERO, *first);
        client.reject(ZERO, *second);
        let outcomes = ServerOutcomes {
            server: "s1".into(),
            attempts: 3,
            load: vec![1.0, f64::NAN],
            ..ServerOutcomes::default()
        };
        let report =
            Report { window: Duration::from_millis(500), outcomes: vec![outcomes], arrivals: vec![] };
        client.send_report(ZERO, report::encode(&report));
        let (events, _) = exchange(&mut session, &mut client, chunk_size);
        let [SessionEvent::Acknowledged(5), SessionEvent::Rejected(6, rejected), SessionEvent::Report(body)] =
            &events[..]
        else {
            panic!("{events:?}")
        };
        let decoded = report::decode(body).unwrap();
        assert_eq!(
            (*rejected, decoded.outcomes[0].attempts, decoded.outcomes[0].load[1].is_nan()),
            (topic, 3, true)
        );
        // The client sends no more unacknowledged reports than the planner accepts.
        let sent = (0..20)
            .take_while(|_| {
                client.can_report() && {
                    client.send_report(ZERO, vec![]);
                    true
                }
            })
            .count();
        assert_eq!(sent, 4);
        client.disconnect(ZERO);
        exchange(&mut session, &mut client, chunk_size);
        assert_eq!(session.end(), Some(&ConnectionEnd::Disconnected));
    }
}

#[test]
fn a_client_sends_pings_and_ends_if_the_planner_is_silent_or_rejects_it() {
    let new = |planner: &str, name: &str| {
        Client::new(ZERO, planner, name, &ProxyInfo::default(), TableFormat::Subsets, vec![])
    };
    let mut silent = new("p", "f1");
    silent.take_output();
    let at = silent.next_wakeup().unwrap();
    silent.handle_timeout(at);
    assert_eq!(silent.end(), Some(&ConnectionEnd::TimedOut));
    let (mut session, mut responsive) = (Session::new(ZERO, "p", "f1"), new("p", "f1"));
    exchange(&mut session, &mut responsive, 9);
    // The client's ping is due before the planner's timeout, and extends it.
    let at = responsive.next_wakeup().unwrap();
    assert!(at < session.next_wakeup().unwrap());
    responsive.handle_timeout(at);
    session.receive(at, &responsive.take_output());
    assert!(session.next_wakeup().unwrap() > at + Duration::from_secs(10));
    responsive.receive(at, &session.take_output());
    responsive.handle_timeout(at + Duration::from_secs(6));
    assert_eq!(responsive.end(), None);
    // The client must not stay connected if a report is not acknowledged, since drains may no longer reach the proxy.
    responsive.send_report(at, vec![]);
    responsive.handle_timeout(at + Duration::from_secs(1));
    assert_eq!(responsive.end(), None);
    responsive.handle_timeout(at + Duration::from_secs(2));
    assert_eq!(responsive.end(), Some(&ConnectionEnd::TimedOut));
    for (planner, name) in [("q", "f1"), ("p", "f2")] {
        let (mut session, mut other) = (Session::new(ZERO, "p", "f1"), new(planner, name));
        exchange(&mut session, &mut other, 9);
        assert!(matches!(other.end(), Some(ConnectionEnd::Rejected(_))), "{:?}", other.end());
    }
}

proptest! {
    /// Arbitrary bytes from a planner, before or after the subscription, must not cause a panic.
    #[test]
    fn any_bytes_are_handled_by_a_client(bytes in prop::collection::vec(any::<u8>(), 0..300), is_connected: bool, chunk_size in 1usize..40) {
        let mut client = Client::new(ZERO, "p", "f1", &ProxyInfo::default(), TableFormat::Weights, vec![]);
        if is_connected {
            exchange(&mut Session::new(ZERO, "p", "f1"), &mut client, 99);
        }
        bytes.chunks(chunk_size).for_each(|chunk| _ = client.receive(ZERO, chunk));
        prop_assert!(client.take_output().len() < 4096);
        let _ = report::decode(&bytes);
    }

    /// Arbitrary bytes from a proxy, before or after `CONNECT`, must not cause a panic or acknowledge anything.
    #[test]
    fn any_bytes_are_handled_by_a_session(bytes in prop::collection::vec(any::<u8>(), 0..300), is_connected: bool, chunk_size in 1usize..40) {
        let mut session = if is_connected { connected_pair().0 } else { Session::new(ZERO, "p", "f1") };
        for chunk in bytes.chunks(chunk_size) {
            for event in session.receive(ZERO, chunk) {
                // No message was published, so none can be acknowledged.
                prop_assert!(!matches!(event, SessionEvent::Acknowledged(_)));
            }
        }
        prop_assert!(session.take_output().len() < 4096);
    }

    /// By the matching rules of MQTT, a granted filter must match no topic of another proxy or planner, and the same of
    /// the proxy's own tables as the parsed filter.
    #[test]
    fn a_granted_filter_matches_only_the_proxys_own_tables(
        levels in prop::collection::vec(prop_oneof![
            Just("runloom"), Just("p"), Just("f1"), Just("f2"), Just("weights"), Just("3"), Just("+"), Just("#"), Just(""), Just("report"),
        ], 1..7),
    ) {
        let filter = levels.join("/");
        let matches = |topic: &str| {
            let (f, t): (Vec<&str>, Vec<&str>) = (filter.split('/').collect(), topic.split('/').collect());
            let hash = f.last() == Some(&"#");
            let n = if hash { f.len() - 1 } else { f.len() };
            (if hash { t.len() >= n } else { t.len() == n }) && f[..n].iter().zip(&t).all(|(f, t)| *f == "+" || f == t)
        };
        if let Ok(wanted) = topics::parse_filter("p", "f1", &filter) {
            let others = ["runloom/p/f2/weights/3", "runloom/q/f1/weights/3", "runloom/p/f2/report", "x"];
            prop_assert!(!others.into_iter().any(matches), "{filter}");
            for table in [3, 4] {
                let topic = Topic { kind: TopicKind::Weights, table };
                prop_assert_eq!(wanted.matches(topic), matches(&topics::table_topic("p", "f1", topic)), "{}", filter);
            }
        }
    }

    #[test]
    fn any_body_is_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200), names in prop::collection::vec(".{0,12}", 0..9), to in 1u64..9) {
        let _ = body::decode(TABLE, &bytes);
        let changes: Vec<Change> = names
            .iter()
            .enumerate()
            .map(|(k, n)| Change { key: Key::Entry(n.clone()), value: (k % 2 == 0).then(|| n.as_str().into()) })
            .collect();
        let part = UpdatePart {
            topic: TABLE,
            epoch: 3,
            base_version: Some(to - 1),
            version: to,
            part_index: 0,
            part_count: 2,
            changes: changes.into(),
        };
        prop_assert_eq!(body::decode(TABLE, &body::encode(&part)).ok(), Some(part));
    }
}
