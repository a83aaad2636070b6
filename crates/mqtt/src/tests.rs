use crate::client::{self, Client, Told, Wish};
use crate::names::{self, TopicRejected};
use crate::session::{Hello, Session, SessionEnd, SessionEvent};
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
use runloom_model::order::{Report, ServerOutcomes};
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

/// A proxy's end, by the library's client.
struct Proxy {
    link: Connection<role::Client>,
    got: Vec<GenericPacket<u16>>,
}

impl Proxy {
    fn new() -> Proxy {
        Proxy { link: Connection::new(Version::V5_0), got: vec![] }
    }

    fn send(&mut self, packet: impl Into<GenericPacket<u16>>) -> Vec<u8> {
        let events = self.link.send(packet.into());
        self.follow(events)
    }

    fn take(&mut self, bytes: &[u8]) -> Vec<u8> {
        let (mut cursor, mut out) = (Cursor::new(bytes), vec![]);
        while (cursor.position() as usize) < bytes.len() {
            let events = self.link.recv(&mut cursor);
            out.extend(self.follow(events));
        }
        out
    }

    fn follow(&mut self, events: Vec<GenericEvent<u16>>) -> Vec<u8> {
        let mut out = vec![];
        for event in events {
            match event {
                GenericEvent::RequestSendPacket { packet, .. } => out.extend(packet.to_continuous_buffer()),
                GenericEvent::NotifyPacketReceived(packet) => self.got.push(packet),
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
        let id = self.link.acquire_packet_id().unwrap();
        let held = holds.map(|h| Property::from(UserProperty::new("holds", h).unwrap()));
        let wish = v5_0::Subscribe::builder()
            .entries(filters.iter().map(entry).collect::<Vec<_>>())
            .props(held.into_iter().collect::<Vec<_>>())
            .packet_id(id);
        self.send(wish.build().unwrap())
    }

    fn publish(&mut self, topic: &str, retain: bool) -> Vec<u8> {
        let id = self.link.acquire_packet_id().unwrap();
        let message = v5_0::Publish::builder().topic_name(topic).unwrap().qos(Qos::AtLeastOnce).packet_id(id);
        self.send(message.payload("{}").retain(retain).build().unwrap())
    }

    fn confirm(&mut self, id: u16, code: PubackReasonCode) -> Vec<u8> {
        self.send(v5_0::Puback::builder().packet_id(id).reason_code(code).build().unwrap())
    }
}

fn tell(session: &mut Session, number: u64, part: &UpdatePart) -> bool {
    session.tell(ZERO, number, part.topic, crate::body::write(part).into())
}

/// A session and a proxy, connected.
fn pair() -> (Session, Proxy) {
    let (mut session, mut proxy) = (Session::new(ZERO, "p", "f1"), Proxy::new());
    let hello = proxy.connect("f1");
    assert_eq!(session.take(ZERO, &hello), vec![SessionEvent::Connected(Hello::default())]);
    proxy.take(&session.output());
    assert!(
        matches!(proxy.got.pop(), Some(GenericPacket::V5_0Connack(a)) if a.reason_code() == ConnectReasonCode::Success)
    );
    (session, proxy)
}

fn line(k: usize, weight: usize) -> Change {
    Change { key: Key::Entry(format!("s{k}")), value: (weight > 0).then(|| weight.to_string().into()) }
}

#[test]
fn who_says_another_name_than_the_certificates_or_leaves_a_will_is_refused() {
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
        let heard = session.take(ZERO, &proxy.send(hello));
        proxy.take(&session.output());
        let Some(GenericPacket::V5_0Connack(answer)) = proxy.got.pop() else { panic!("no answer") };
        let well = code == ConnectReasonCode::Success;
        assert_eq!((answer.reason_code(), heard.len() == 1, session.over().is_none()), (code, well, well));
    }
}

#[test]
fn a_proxy_reads_its_own_tables_and_each_other_filter_has_its_reason() {
    use SubackReasonCode as Code;
    let (mut session, mut proxy) = pair();
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
    let asked: Vec<&str> = filters.iter().map(|f| f.0).collect();
    let heard = session.take(ZERO, &proxy.subscribe(&asked, Some("runloom/p/f1/weights/3 7 12")));
    let all = TopicFilter { kind: None, table: None };
    let one = TopicFilter { kind: Some(TopicKind::Weights), table: Some(3) };
    assert_eq!(
        heard,
        vec![SessionEvent::Wants { wanted: vec![all, one], holds: vec![(TABLE, held(7, 12))] }]
    );
    assert!(all.matches(TABLE) && one.matches(TABLE) && !one.matches(Topic { table: 4, ..TABLE }));
    proxy.take(&session.output());
    let Some(GenericPacket::V5_0Suback(answer)) = proxy.got.pop() else { panic!("no answer") };
    assert_eq!(answer.reason_codes(), filters.map(|f| f.1));
    assert_eq!(names::wanted("p", "f1", "$share/g/runloom/p/f1/#"), Err(TopicRejected::Shared));
}

#[test]
fn a_proxy_publishes_its_own_reports_and_nothing_else() {
    let (mut session, mut proxy) = pair();
    let heard = session.take(ZERO, &proxy.publish("runloom/p/f1/report", false));
    assert_eq!(heard, vec![SessionEvent::Report(b"{}".to_vec())]);
    for other in ["runloom/p/f2/report", "runloom/p/f1/weights/3", "x"] {
        assert_eq!(session.take(ZERO, &proxy.publish(other, false)), vec![]);
        proxy.take(&session.output());
        let code = match proxy.got.pop() {
            Some(GenericPacket::V5_0Puback(answer)) => answer.reason_code(),
            other => panic!("{other:?}"),
        };
        assert_eq!((code, session.over()), (Some(PubackReasonCode::NotAuthorized), None), "{other}");
    }
    assert_eq!(session.take(ZERO, &proxy.publish("runloom/p/f1/report", true)), vec![]);
    proxy.take(&session.output());
    assert!(matches!(proxy.got.pop(), Some(GenericPacket::V5_0Disconnect(d))
        if d.reason_code() == Some(DisconnectReasonCode::RetainNotSupported)));
    assert!(session.over().is_some());
}

#[test]
fn a_proxy_that_says_nothing_is_gone_and_one_that_says_garbage_too() {
    let mut mute = Session::new(ZERO, "p", "f1");
    mute.wake(mute.wakes_at().unwrap() - Duration::from_millis(1));
    assert_eq!(mute.over(), None);
    mute.wake(mute.wakes_at().unwrap());
    assert_eq!(mute.over(), Some(&SessionEnd::Silent));
    let (mut session, _) = pair();
    let at = session.wakes_at().unwrap();
    assert_eq!(at, Duration::from_secs(15));
    session.wake(at);
    assert_eq!(session.over(), Some(&SessionEnd::Silent));
    // One that does not say who it is gets nothing.
    let (mut early, (_, mut other)) = (Session::new(ZERO, "p", "f1"), pair());
    assert_eq!(early.take(ZERO, &other.subscribe(&["runloom/p/f1/#"], None)), vec![]);
    assert!(matches!(early.over(), Some(SessionEnd::Refused(_))), "{:?}", early.over());
    let (mut twice, mut again) = (pair().0, Proxy::new());
    assert_eq!(twice.take(ZERO, &again.connect("f1")), vec![]);
    assert!(matches!(twice.over(), Some(SessionEnd::Refused(_))), "{:?}", twice.over());
    let mut greedy = Session::new(ZERO, "p", "f1");
    // A first packet of 256 MB: refused by its length alone.
    greedy.take(ZERO, &[0x10, 0xff, 0xff, 0xff, 0x7f]);
    assert!(matches!(greedy.over(), Some(SessionEnd::Refused(_))), "{:?}", greedy.over());
}

/// The core behind the session: a table goes out in parts, in bytes cut anywhere, is taken whole, and confirmed; a
/// proxy that comes again goes on from what it holds; one that cannot use a message is told anew.
#[test]
fn tables_pass_in_parts_are_confirmed_and_gone_on_from() {
    let mut publisher = Publisher::new(9);
    publisher.apply(TABLE, (0..300).map(|k| line(k, 1)).collect());
    let mut reader = UpdateReader::default();
    for (round, parts) in [(0, 3), (1, 1)] {
        let (mut session, mut proxy) = pair();
        let holds = reader
            .held_version(TABLE)
            .map(|held| format!("runloom/p/f1/weights/3 {} {}", held.epoch, held.version));
        let heard = session.take(ZERO, &proxy.subscribe(&["runloom/p/f1/#"], holds.as_deref()));
        let SessionEvent::Wants { holds, .. } = &heard[0] else { panic!("{heard:?}") };
        let stream = publisher.connect("f1");
        let held = holds.first().map(|(_, held)| *held);
        assert!(publisher.subscribe("f1", TABLE, held));
        let mut count = 0;
        while let Some((number, part)) = publisher.next_part(ZERO, "f1") {
            assert!(tell(&mut session, number, &part));
            count += 1;
        }
        assert_eq!((count, session.flying()), (parts, parts), "round {round}");
        let bytes = session.output();
        bytes.chunks(7).for_each(|piece| _ = proxy.take(piece));
        let mut words = vec![];
        for packet in std::mem::take(&mut proxy.got) {
            let GenericPacket::V5_0Publish(message) = packet else { continue };
            let topic = names::read_table("p", "f1", message.topic_name()).unwrap();
            let part = crate::body::read(topic, message.payload().as_slice()).unwrap();
            assert!(matches!(reader.read(&part), ReadOutcome::Pending | ReadOutcome::Applied(_)));
            words.extend(proxy.confirm(message.packet_id().unwrap(), PubackReasonCode::Success));
        }
        let mut confirmed = vec![];
        for piece in words.chunks(3) {
            confirmed.extend(session.take(ZERO, piece));
        }
        assert_eq!(confirmed.len(), parts);
        let Some(SessionEvent::Confirmed(last)) = confirmed.last() else { panic!("{confirmed:?}") };
        assert_eq!(
            publisher.acknowledge("f1", stream, *last),
            vec![(TABLE, publisher.table(TABLE).unwrap().0)]
        );
        assert_eq!(&reader.held(TABLE).unwrap().state, publisher.table(TABLE).unwrap().1);
        publisher.apply(TABLE, vec![line(5, 0), line(6, 4)]);
    }
    let (mut session, mut proxy) = pair();
    let part = UpdatePart {
        topic: TABLE,
        epoch: 9,
        base_version: None,
        version: 1,
        part: 0,
        part_count: 1,
        changes: [line(1, 1)].into(),
    };
    assert!(tell(&mut session, 44, &part));
    proxy.take(&session.output());
    let Some(GenericPacket::V5_0Publish(message)) = proxy.got.pop() else { panic!("no message") };
    let word = proxy.confirm(message.packet_id().unwrap(), PubackReasonCode::PayloadFormatInvalid);
    assert_eq!(session.take(ZERO, &word), vec![SessionEvent::Lacks(44, TABLE)]);
    // Nobody listens: what goes out is bounded by who asks, and the publisher asks for a window at the most.
    assert!((0..MAX_IN_FLIGHT).all(|k| tell(&mut session, 50 + k as u64, &part)));
}

/// Passes all that either side has to say, in pieces, until neither has more.
fn pass(session: &mut Session, client: &mut Client, cut: usize) -> (Vec<SessionEvent>, Vec<Told>) {
    let (mut heard, mut told) = (vec![], vec![]);
    loop {
        let (to, back) = (client.output(), session.output());
        if to.is_empty() && back.is_empty() {
            return (heard, told);
        }
        to.chunks(cut).for_each(|piece| heard.extend(session.take(ZERO, piece)));
        back.chunks(cut).for_each(|piece| told.extend(client.take(ZERO, piece)));
    }
}

/// Both sides of the program: what a proxy says of itself and holds, its tables and words, its reports, all in bytes cut
/// anywhere.
#[test]
fn a_client_greets_subscribes_confirms_and_reports_through_bytes_cut_anywhere() {
    for cut in [1, 2, 3, 7, 4096] {
        let hello = Hello { zone: "z1".into(), rate: 2.5, fresh: true };
        let holds =
            vec![(TABLE, held(7, 12)), (Topic { kind: TopicKind::Assignments, table: 0 }, held(7, 3))];
        let mut client = Client::new(ZERO, "p", "f1", &hello, Wish::Weights, holds.clone());
        let mut session = Session::new(ZERO, "p", "f1");
        let (heard, told) = pass(&mut session, &mut client, cut);
        assert_eq!((&heard[0], told.as_slice()), (&SessionEvent::Connected(hello), &[Told::Joined][..]));
        let SessionEvent::Wants { wanted, holds: said } = &heard[1] else { panic!("{heard:?}") };
        let covers = |kind| wanted.iter().any(|w| w.matches(Topic { kind, table: 9 }));
        let wants =
            [TopicKind::Weights, TopicKind::Ejections, TopicKind::Assignments, TopicKind::Subset].map(covers);
        assert_eq!((said, wants), (&holds, [true, true, true, false]));
        // A proxy's binds are its table 0, whatever the planner's number.
        let topic = Topic { kind: TopicKind::Assignments, table: 44 };
        let change = Change { key: Key::Assignment("q".into()), value: Some("1".into()) };
        let part = UpdatePart {
            topic,
            epoch: 9,
            base_version: None,
            version: 1,
            part: 0,
            part_count: 1,
            changes: [change].into(),
        };
        assert!(tell(&mut session, 5, &part) && tell(&mut session, 6, &part));
        let (_, told) = pass(&mut session, &mut client, cut);
        let [Told::Part(a, got), Told::Part(b, _)] = &told[..] else { panic!("{told:?}") };
        assert_eq!((got.topic.table, &got.changes), (0, &part.changes));
        client.answer(ZERO, *a, true);
        client.answer(ZERO, *b, false);
        let met = ServerOutcomes {
            server: "s1".into(),
            tries: 3,
            load: vec![1.0, f64::NAN],
            ..ServerOutcomes::default()
        };
        let report = Report { span: Duration::from_millis(500), met: vec![met], came: vec![] };
        client.report(ZERO, crate::report::write(&report));
        let (heard, _) = pass(&mut session, &mut client, cut);
        let [SessionEvent::Confirmed(5), SessionEvent::Lacks(6, lacks), SessionEvent::Report(body)] =
            &heard[..]
        else {
            panic!("{heard:?}")
        };
        let read = crate::report::read(body).unwrap();
        assert_eq!((*lacks, read.met[0].tries, read.met[0].load[1].is_nan()), (topic, 3, true));
        // No more reports at a time than the planner takes; they stay with what comes next.
        let sent = (0..20)
            .take_while(|_| {
                client.can_report() && {
                    client.report(ZERO, vec![]);
                    true
                }
            })
            .count();
        assert_eq!(sent, 4);
        client.leave(ZERO);
        pass(&mut session, &mut client, cut);
        assert_eq!(session.over(), Some(&SessionEnd::Left));
    }
}

#[test]
fn a_client_shows_that_it_is_there_and_ends_what_is_silent_or_says_no() {
    let new = |planner: &str, name: &str| {
        Client::new(ZERO, planner, name, &Hello::default(), Wish::Subsets, vec![])
    };
    let mut mute = new("p", "f1");
    mute.output();
    let at = mute.wakes_at().unwrap();
    mute.wake(at);
    assert_eq!(mute.over(), Some(&client::SessionEnd::Silent));
    let (mut session, mut there) = (Session::new(ZERO, "p", "f1"), new("p", "f1"));
    pass(&mut session, &mut there, 9);
    // Its sign of life is due before the planner's patience ends, and keeps it.
    let at = there.wakes_at().unwrap();
    assert!(at < session.wakes_at().unwrap());
    there.wake(at);
    session.take(at, &there.output());
    assert!(session.wakes_at().unwrap() > at + Duration::from_secs(10));
    there.take(at, &session.output());
    there.wake(at + Duration::from_secs(6));
    assert_eq!(there.over(), None);
    // A report without a word after it: it cannot be told of drains any more.
    there.report(at, vec![]);
    there.wake(at + Duration::from_secs(1));
    assert_eq!(there.over(), None);
    there.wake(at + Duration::from_secs(2));
    assert_eq!(there.over(), Some(&client::SessionEnd::Silent));
    for (planner, name) in [("q", "f1"), ("p", "f2")] {
        let (mut session, mut other) = (Session::new(ZERO, "p", "f1"), new(planner, name));
        pass(&mut session, &mut other, 9);
        assert!(matches!(other.over(), Some(client::SessionEnd::Refused(_))), "{:?}", other.over());
    }
}

proptest! {
    /// Whatever bytes a planner sends: no panic, and an end or a wait.
    #[test]
    fn any_bytes_are_borne_by_a_client(bytes in prop::collection::vec(any::<u8>(), 0..300), greeted: bool, cut in 1usize..40) {
        let mut client = Client::new(ZERO, "p", "f1", &Hello::default(), Wish::Weights, vec![]);
        if greeted {
            pass(&mut Session::new(ZERO, "p", "f1"), &mut client, 99);
        }
        bytes.chunks(cut).for_each(|piece| _ = client.take(ZERO, piece));
        prop_assert!(client.output().len() < 4096);
        let _ = crate::report::read(&bytes);
    }

    /// Whatever bytes come, before the greeting or after: no panic, and an end or a wait.
    #[test]
    fn any_bytes_are_borne(bytes in prop::collection::vec(any::<u8>(), 0..300), greeted: bool, cut in 1usize..40) {
        let mut session = if greeted { pair().0 } else { Session::new(ZERO, "p", "f1") };
        for piece in bytes.chunks(cut) {
            for heard in session.take(ZERO, piece) {
                // Nothing but its own.
                prop_assert!(!matches!(heard, SessionEvent::Confirmed(_)));
            }
        }
        prop_assert!(session.output().len() < 4096);
    }

    /// A filter that is granted reaches no topic but the proxy's own tables, by the protocol's own matching.
    #[test]
    fn a_granted_filter_reaches_its_own_tables_alone(
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
        if let Ok(wanted) = names::wanted("p", "f1", &filter) {
            let others = ["runloom/p/f2/weights/3", "runloom/q/f1/weights/3", "runloom/p/f2/report", "x"];
            prop_assert!(!others.into_iter().any(matches), "{filter}");
            for table in [3, 4] {
                let topic = Topic { kind: TopicKind::Weights, table };
                prop_assert_eq!(wanted.matches(topic), matches(&names::table("p", "f1", topic)), "{}", filter);
            }
        }
    }

    #[test]
    fn any_body_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200), names in prop::collection::vec(".{0,12}", 0..9), to in 1u64..9) {
        let _ = crate::body::read(TABLE, &bytes);
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
            part: 0,
            part_count: 2,
            changes: changes.into(),
        };
        prop_assert_eq!(crate::body::read(TABLE, &crate::body::write(&part)), Ok(part));
    }
}
