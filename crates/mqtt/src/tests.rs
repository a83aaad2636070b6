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

/// A proxy's side, with the library's client.
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

    fn subscribe(&mut self, filters: &[&str], holds: Option<&str>) -> Vec<u8> {
        let entry = |f: &&str| SubEntry::new(*f, SubOpts::new().set_qos(Qos::AtLeastOnce)).unwrap();
        let id = self.connection.acquire_packet_id().unwrap();
        let held = holds.map(|h| Property::from(UserProperty::new("holds", h).unwrap()));
        let packet = v5_0::Subscribe::builder()
            .entries(filters.iter().map(entry).collect::<Vec<_>>())
            .props(held.into_iter().collect::<Vec<_>>())
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

/// A session and a proxy, connected.
fn connected_pair() -> (Session, Proxy) {
    let (mut session, mut proxy) = (Session::new(ZERO, "p", "f1"), Proxy::new());
    let hello = proxy.connect("f1");
    assert_eq!(session.receive(ZERO, &hello), vec![SessionEvent::Connected(ProxyInfo::default())]);
    proxy.receive(&session.output());
    assert!(
        matches!(proxy.received.pop(), Some(GenericPacket::V5_0Connack(a)) if a.reason_code() == ConnectReasonCode::Success)
    );
    (session, proxy)
}

fn entry(k: usize, weight: usize) -> Change {
    Change { key: Key::Entry(format!("s{k}")), value: (weight > 0).then(|| weight.to_string().into()) }
}

#[test]
fn another_name_than_the_certificates_and_a_will_are_rejected() {
    let cases = [
        ("f2", false, ConnectReasonCode::ClientIdentifierNotValid),
        ("f1", true, ConnectReasonCode::NotAuthorized),
        ("", false, ConnectReasonCode::Success),
        ("f1", false, ConnectReasonCode::Success),
    ];
    for (name, will, code) in cases {
        let (mut session, mut proxy) = (Session::new(ZERO, "p", "f1"), Proxy::new());
        let mut hello = v5_0::Connect::builder().client_id(name).unwrap().clean_start(true);
        if will {
            hello = hello.will_message("runloom/p/f1/report", "x", Qos::AtMostOnce, false).unwrap();
        }
        let hello = hello.build().unwrap();

        let events = session.receive(ZERO, &proxy.send(hello));
        proxy.receive(&session.output());

        let Some(GenericPacket::V5_0Connack(answer)) = proxy.received.pop() else { panic!("no answer") };
        let is_success = code == ConnectReasonCode::Success;
        assert_eq!(
            (answer.reason_code(), events.len() == 1, session.end().is_none()),
            (code, is_success, is_success)
        );
    }
}

#[test]
fn a_proxy_subscribes_to_its_own_tables_and_other_filters_are_rejected_with_a_reason() {
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
    proxy.receive(&session.output());
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
        proxy.receive(&session.output());
        let code = match proxy.received.pop() {
            Some(GenericPacket::V5_0Puback(answer)) => answer.reason_code(),
            other => panic!("{other:?}"),
        };
        assert_eq!((code, session.end()), (Some(PubackReasonCode::NotAuthorized), None), "{other}");
    }
    assert_eq!(session.receive(ZERO, &proxy.publish("runloom/p/f1/report", true)), vec![]);
    proxy.receive(&session.output());
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
fn a_packet_ahead_of_connect_is_rejected() {
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

/// A table is sent in parts, in chunks of bytes, applied complete, and acknowledged; a proxy that connects again
/// resumes from what it holds; one that cannot use a message says so.
#[test]
fn tables_are_sent_in_parts_acknowledged_and_resumed() {
    let mut publisher = Publisher::new(9);
    publisher.apply(TABLE, (0..300).map(|k| entry(k, 1)).collect());
    let mut reader = UpdateReader::default();
    for (round, parts) in [(0, 3), (1, 1)] {
        let (mut session, mut proxy) = connected_pair();
        let holds = reader
            .held_version(TABLE)
            .map(|held| format!("runloom/p/f1/weights/3 {} {}", held.epoch, held.version));
        let events = session.receive(ZERO, &proxy.subscribe(&["runloom/p/f1/#"], holds.as_deref()));
        let SessionEvent::Subscribed { held: holds, .. } = &events[0] else { panic!("{events:?}") };
        let publisher_session = publisher.connect("f1");
        let held = holds.first().map(|(_, held)| *held);
        assert!(publisher.subscribe("f1", TABLE, held));
        let mut count = 0;
        while let Some((number, part)) = publisher.next_part(ZERO, "f1") {
            assert!(publish(&mut session, number, &part));
            count += 1;
        }
        assert_eq!((count, session.messages_in_flight()), (parts, parts), "round {round}");
        let bytes = session.output();
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
    proxy.receive(&session.output());
    let Some(GenericPacket::V5_0Publish(message)) = proxy.received.pop() else { panic!("no message") };
    let puback = proxy.acknowledge(message.packet_id().unwrap(), PubackReasonCode::PayloadFormatInvalid);
    assert_eq!(session.receive(ZERO, &puback), vec![SessionEvent::Rejected(44, TABLE)]);
    // The session does not limit what is sent: the publisher does.
    assert!((0..MAX_IN_FLIGHT).all(|k| publish(&mut session, 50 + k as u64, &part)));
}

/// Exchanges all output of both sides, in chunks, until neither has more.
fn exchange(
    session: &mut Session,
    client: &mut Client,
    chunk_size: usize,
) -> (Vec<SessionEvent>, Vec<ClientEvent>) {
    let (mut events, mut client_events) = (vec![], vec![]);
    loop {
        let (to_session, to_client) = (client.output(), session.output());
        if to_session.is_empty() && to_client.is_empty() {
            return (events, client_events);
        }
        to_session.chunks(chunk_size).for_each(|chunk| events.extend(session.receive(ZERO, chunk)));
        to_client.chunks(chunk_size).for_each(|chunk| client_events.extend(client.receive(ZERO, chunk)));
    }
}

#[test]
fn client_and_session_exchange_bytes_in_chunks_of_any_size() {
    for cut in [1, 2, 3, 7, 4096] {
        let hello = ProxyInfo { zone: "z1".into(), request_rate: 2.5, has_no_table: true };
        let holds =
            vec![(TABLE, held(7, 12)), (Topic { kind: TopicKind::Assignments, table: 0 }, held(7, 3))];
        let mut client = Client::new(ZERO, "p", "f1", &hello, TableFormat::Weights, holds.clone());
        let mut session = Session::new(ZERO, "p", "f1");
        let (events, client_events) = exchange(&mut session, &mut client, cut);
        assert_eq!(
            (&events[0], client_events.as_slice()),
            (&SessionEvent::Connected(hello), &[ClientEvent::Connected][..])
        );
        let SessionEvent::Subscribed { filters, held: received } = &events[1] else { panic!("{events:?}") };
        let covers = |kind| filters.iter().any(|filter| filter.matches(Topic { kind, table: 9 }));
        let subscribed =
            [TopicKind::Weights, TopicKind::Ejections, TopicKind::Assignments, TopicKind::Subset].map(covers);
        assert_eq!((received, subscribed), (&holds, [true, true, true, false]));
        // A proxy's assignments are its table 0, whatever the planner's number.
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
        let (_, client_events) = exchange(&mut session, &mut client, cut);
        let [ClientEvent::Part { packet_id: first, part: received }, ClientEvent::Part { packet_id: second, .. }] =
            &client_events[..]
        else {
            panic!("{client_events:?}")
        };
        assert_eq!((received.topic.table, &received.changes), (0, &part.changes));
        client.acknowledge(ZERO, *first);
        client.reject(ZERO, *second);
        let met = ServerOutcomes {
            server: "s1".into(),
            attempts: 3,
            load: vec![1.0, f64::NAN],
            ..ServerOutcomes::default()
        };
        let report = Report { window: Duration::from_millis(500), outcomes: vec![met], arrivals: vec![] };
        client.send_report(ZERO, report::encode(&report));
        let (events, _) = exchange(&mut session, &mut client, cut);
        let [SessionEvent::Acknowledged(5), SessionEvent::Rejected(6, lacks), SessionEvent::Report(body)] =
            &events[..]
        else {
            panic!("{events:?}")
        };
        let read = report::decode(body).unwrap();
        assert_eq!((*lacks, read.outcomes[0].attempts, read.outcomes[0].load[1].is_nan()), (topic, 3, true));
        // No more reports at a time than the planner accepts.
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
        exchange(&mut session, &mut client, cut);
        assert_eq!(session.end(), Some(&ConnectionEnd::Disconnected));
    }
}

#[test]
fn a_client_sends_pings_and_ends_when_the_planner_is_silent_or_rejects_it() {
    let new = |planner: &str, name: &str| {
        Client::new(ZERO, planner, name, &ProxyInfo::default(), TableFormat::Subsets, vec![])
    };
    let mut silent = new("p", "f1");
    silent.output();
    let at = silent.next_wakeup().unwrap();
    silent.handle_timeout(at);
    assert_eq!(silent.end(), Some(&ConnectionEnd::TimedOut));
    let (mut session, mut responsive) = (Session::new(ZERO, "p", "f1"), new("p", "f1"));
    exchange(&mut session, &mut responsive, 9);
    // Its ping is due before the planner's timeout, and extends it.
    let at = responsive.next_wakeup().unwrap();
    assert!(at < session.next_wakeup().unwrap());
    responsive.handle_timeout(at);
    session.receive(at, &responsive.output());
    assert!(session.next_wakeup().unwrap() > at + Duration::from_secs(10));
    responsive.receive(at, &session.output());
    responsive.handle_timeout(at + Duration::from_secs(6));
    assert_eq!(responsive.end(), None);
    // A report that is not acknowledged: drains no longer reach the proxy.
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
    /// Whatever bytes a planner sends: no panic.
    #[test]
    fn any_bytes_are_handled_by_a_client(bytes in prop::collection::vec(any::<u8>(), 0..300), greeted: bool, cut in 1usize..40) {
        let mut client = Client::new(ZERO, "p", "f1", &ProxyInfo::default(), TableFormat::Weights, vec![]);
        if greeted {
            exchange(&mut Session::new(ZERO, "p", "f1"), &mut client, 99);
        }
        bytes.chunks(cut).for_each(|chunk| _ = client.receive(ZERO, chunk));
        prop_assert!(client.output().len() < 4096);
        let _ = report::decode(&bytes);
    }

    /// Whatever bytes come, before `CONNECT` or after: no panic, and nothing is acknowledged.
    #[test]
    fn any_bytes_are_handled_by_a_session(bytes in prop::collection::vec(any::<u8>(), 0..300), greeted: bool, cut in 1usize..40) {
        let mut session = if greeted { connected_pair().0 } else { Session::new(ZERO, "p", "f1") };
        for chunk in bytes.chunks(cut) {
            for events in session.receive(ZERO, chunk) {
                // Nothing was published to be acknowledged.
                prop_assert!(!matches!(events, SessionEvent::Acknowledged(_)));
            }
        }
        prop_assert!(session.output().len() < 4096);
    }

    /// A granted filter matches no topic but the proxy's own tables, by the protocol's own rules.
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
