use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

const TOPICS: [Topic; 2] =
    [Topic { kind: TopicKind::Weights, table: 1 }, Topic { kind: TopicKind::Subset, table: 2 }];

fn entry(server: usize, weight: Option<usize>) -> Change {
    Change { key: Key::Entry(format!("s{server}")), value: weight.map(|w| w.to_string().into()) }
}

/// Connects a subscriber that holds no table, and subscribes it to both.
fn connect_and_subscribe(publisher: &mut Publisher, name: &str) -> u64 {
    let session = publisher.connect(name);
    for topic in TOPICS {
        assert!(publisher.subscribe(name, topic, None));
    }
    session
}

/// Delivers all messages to one subscriber, which acknowledges each at once.
fn deliver_all(
    publisher: &mut Publisher,
    name: &str,
    session: u64,
    reader: &mut UpdateReader,
) -> Vec<UpdatePart> {
    let mut parts = vec![];
    while let Some((number, part)) = publisher.next_part(Duration::ZERO, name) {
        assert!(matches!(reader.read(&part), ReadOutcome::Applied(_) | ReadOutcome::Pending), "{part:?}");
        publisher.acknowledge(name, session, number);
        parts.push(part);
    }
    parts
}

#[derive(Debug, Clone)]
enum Operation {
    /// Changes servers' weights in a table, or removes them.
    Apply(usize, Vec<(usize, Option<usize>)>),
    /// Sends up to this many messages to a subscriber.
    Send(usize, usize),
    /// A subscriber receives up to this many of the oldest messages in flight, and acknowledges them or not.
    Receive(usize, usize, bool),
    Disconnect(usize),
    /// A subscriber loses a table, and rejects the next message that it cannot apply.
    DropTable(usize, usize),
    AdvanceUnchanged(usize),
    Connect(usize),
    Restart,
}

fn operation() -> impl Strategy<Value = Operation> {
    let key = (0usize..400, prop::option::weighted(0.7, 1usize..4));
    let many =
        prop_oneof![3 => prop::collection::vec(key.clone(), 1..6), 1 => prop::collection::vec(key, 200..400)];
    prop_oneof![
        6 => (0usize..2, many).prop_map(|(t, keys)| Operation::Apply(t, keys)),
        6 => (0usize..3, 1usize..6).prop_map(|(s, n)| Operation::Send(s, n)),
        6 => (0usize..3, 1usize..6, any::<bool>()).prop_map(|(s, n, acks)| Operation::Receive(s, n, acks)),
        1 => (0usize..3).prop_map(Operation::Disconnect),
        1 => (0usize..3, 0usize..2).prop_map(|(s, t)| Operation::DropTable(s, t)),
        1 => (0usize..2).prop_map(Operation::AdvanceUnchanged),
        2 => (0usize..3).prop_map(Operation::Connect),
        1 => Just(Operation::Restart),
    ]
}

/// A simulated subscriber: its tables, its session, and the messages in flight to it.
#[derive(Default)]
struct Peer {
    reader: UpdateReader,
    session: Option<u64>,
    dropped_table: bool,
    in_flight: VecDeque<(u64, UpdatePart)>,
    /// The newest version that it held of each table.
    newest: HashMap<Topic, HeldVersion>,
}

type States = HashMap<(u64, Topic, Version), BTreeMap<Key, Rc<str>>>;

struct Model {
    publisher: Publisher,
    peers: Vec<Peer>,
    /// All states that were published, by epoch, topic and version.
    states: States,
}

impl Model {
    fn new() -> Model {
        let peers = (0..3).map(|_| Peer::default()).collect();
        let mut model = Model { publisher: Publisher::new(1), peers, states: States::new() };
        model.record_states();
        model
    }

    fn record_states(&mut self) {
        for topic in TOPICS {
            let (version, state) = match self.publisher.table(topic) {
                Some((version, state)) => (version, state.clone()),
                None => (0, BTreeMap::new()),
            };
            self.states.insert((self.publisher.epoch(), topic, version), state);
        }
    }

    fn connect(&mut self, k: usize) {
        let name = format!("f{k}");
        let peer = &mut self.peers[k];
        // Messages in flight in the former session are lost.
        (peer.in_flight, peer.session) = (VecDeque::new(), Some(self.publisher.connect(&name)));
        peer.reader.end_session();
        for topic in TOPICS {
            assert!(self.publisher.subscribe(&name, topic, peer.reader.held_version(topic)));
        }
    }

    fn send(&mut self, k: usize, count: usize) {
        if self.peers[k].session.is_none() {
            return;
        }
        for _ in 0..count {
            let Some(sent) = self.publisher.next_part(Duration::ZERO, &format!("f{k}")) else { return };
            let mut keep_servers_in_service =
                sent.1.changes.iter().map(|change| !change.takes_server_out_of_service());
            assert!(
                keep_servers_in_service.by_ref().is_sorted(),
                "changes that take servers out of service come first"
            );
            self.peers[k].in_flight.push_back(sent);
        }
        assert!(self.peers[k].in_flight.len() <= MAX_IN_FLIGHT + 1);
    }

    fn receive(&mut self, k: usize, count: usize, acknowledges: bool) {
        let peer = &mut self.peers[k];
        for _ in 0..count {
            let Some((number, part)) = peer.in_flight.pop_front() else { return };
            match peer.reader.read(&part) {
                ReadOutcome::Applied(version) => {
                    let held = peer.reader.held(part.topic).unwrap();
                    assert_eq!(Some(&held.state), self.states.get(&(held.epoch, part.topic, version)));
                    let held = peer.reader.held_version(part.topic).unwrap();
                    let newest = peer.newest.insert(part.topic, held);
                    assert!(newest.is_none_or(|newest| newest <= held), "a version went back");
                }
                ReadOutcome::Pending => {}
                ReadOutcome::NeedsSnapshot if peer.dropped_table => {
                    let session = peer.session.unwrap();
                    self.publisher.reject(&format!("f{k}"), session, number, part.topic);
                    continue;
                }
                other => panic!("{other:?} {part:?}"),
            }
            // An acknowledgement may be lost: a later one includes it.
            if acknowledges {
                let session = peer.session.unwrap();
                self.publisher.acknowledge(&format!("f{k}"), session, number);
            }
        }
    }

    fn run(&mut self, operation: Operation) {
        match operation {
            Operation::Apply(t, keys) => {
                self.publisher.apply(TOPICS[t], keys.into_iter().map(|(s, w)| entry(s, w)).collect());
                self.record_states();
            }
            Operation::Send(k, count) => self.send(k, count),
            Operation::Receive(k, count, acknowledges) => self.receive(k, count, acknowledges),
            Operation::Disconnect(k) => {
                if let Some(session) = self.peers[k].session.take() {
                    assert!(self.publisher.disconnect(&format!("f{k}"), session));
                    self.peers[k].in_flight.clear();
                }
            }
            Operation::DropTable(k, t) => {
                self.peers[k].reader.drop_table(TOPICS[t]);
                self.peers[k].dropped_table = true;
            }
            Operation::AdvanceUnchanged(t) => {
                self.publisher.advance_unchanged(TOPICS[t]);
                self.record_states();
            }
            Operation::Connect(k) => self.connect(k),
            Operation::Restart => {
                // A new epoch starts without tables, and its versions start over.
                self.publisher = Publisher::new(self.publisher.epoch() + 1);
                for peer in &mut self.peers {
                    (peer.session, peer.in_flight) = (None, VecDeque::new());
                }
                self.record_states();
            }
        }
    }
}

proptest! {
    // PROPTEST_CASES sets another number of cases; docs/publish.md reports a run with 100,000.
    #![proptest_config(ProptestConfig::default())]
    /// For any sequence of changes, disconnects, resumes and restarts, a subscriber holds only states that were
    /// published, its versions only rise, and once nothing changes any more it holds the latest state.
    #[test]
    fn a_subscriber_holds_only_published_states_and_finally_the_latest(operations in prop::collection::vec(operation(), 1..60)) {
        let mut model = Model::new();
        for operation in operations {
            model.run(operation);
        }
        for k in 0..3 {
            if model.peers[k].session.is_none() {
                model.connect(k);
            }
            for _ in 0..200 {
                model.receive(k, MAX_IN_FLIGHT + 1, true);
                model.send(k, MAX_IN_FLIGHT);
            }
            // Messages whose acknowledgements were lost count against the limit until the session ends.
            if model.peers[k].in_flight.is_empty() {
                model.connect(k);
                for _ in 0..200 {
                    model.send(k, MAX_IN_FLIGHT);
                    model.receive(k, MAX_IN_FLIGHT + 1, true);
                }
            }
            // The loss of a table that has not changed since is detected with its next message.
            TOPICS.iter().for_each(|t| _ = model.publisher.advance_unchanged(*t));
            model.record_states();
            for _ in 0..200 {
                model.send(k, MAX_IN_FLIGHT);
                model.receive(k, MAX_IN_FLIGHT + 1, true);
            }
            for topic in TOPICS {
                let latest = model.publisher.table(topic).map(|(_, s)| s.clone()).unwrap_or_default();
                prop_assert_eq!(&model.peers[k].reader.held(topic).unwrap().state, &latest);
            }
        }
    }
}

#[test]
fn a_slow_subscriber_receives_the_latest_state_and_not_a_history() {
    let mut publisher = Publisher::new(1);
    let session = connect_and_subscribe(&mut publisher, "slow");
    let mut reader = UpdateReader::default();
    publisher.apply(TOPICS[0], (0..100).map(|s| entry(s, Some(1))).collect());
    deliver_all(&mut publisher, "slow", session, &mut reader);
    // Versions published while it receives nothing: they change ten servers, and the last one removes one of them.
    for k in 0..50 {
        publisher.apply(TOPICS[0], vec![entry(k % 10, Some(k + 2))]);
    }
    publisher.apply(TOPICS[0], vec![entry(3, None)]);
    let parts = deliver_all(&mut publisher, "slow", session, &mut reader);
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].base_version, parts[0].changes.len()), (Some(1), 10));
    assert_eq!(parts[0].changes[0], entry(3, None), "the removal comes first");
    // Once the history no longer reaches back, the update is a snapshot, again in one part.
    for k in 0..300 {
        publisher.apply(TOPICS[0], vec![entry(k % 10 + 4, Some(k + 2))]);
    }
    let parts = deliver_all(&mut publisher, "slow", session, &mut reader);
    assert!(parts.len() == 1 && parts[0].base_version.is_none() && parts[0].changes.len() == 99);
}

#[test]
fn a_snapshot_whose_table_changes_while_it_is_sent_is_completed_and_then_updated() {
    let mut publisher = Publisher::new(1);
    publisher.apply(TOPICS[0], (0..300).map(|s| entry(s, Some(1))).collect());
    let session = connect_and_subscribe(&mut publisher, "f");
    let mut reader = UpdateReader::default();

    let (number, first) = publisher.next_part(Duration::ZERO, "f").unwrap();
    assert_eq!((first.part_count, reader.read(&first)), (3, ReadOutcome::Pending));
    publisher.acknowledge("f", session, number);
    publisher.apply(TOPICS[0], vec![entry(299, None), entry(0, Some(9))]);
    assert_eq!(reader.held(TOPICS[0]), None);
    deliver_all(&mut publisher, "f", session, &mut reader);

    let held = reader.held(TOPICS[0]).unwrap();
    assert_eq!((held.version, &held.state), (2, publisher.table(TOPICS[0]).unwrap().1));
}

#[test]
fn messages_of_an_earlier_epoch_and_of_an_earlier_session_change_nothing() {
    let mut former = Publisher::new(1);
    former.apply(TOPICS[0], vec![entry(1, Some(1))]);
    connect_and_subscribe(&mut former, "f");
    let (_, retained) = former.next_part(Duration::ZERO, "f").unwrap();
    let mut publisher = Publisher::new(2);
    publisher.apply(TOPICS[0], vec![entry(2, Some(1))]);
    let first = connect_and_subscribe(&mut publisher, "f");
    let mut reader = UpdateReader::default();
    deliver_all(&mut publisher, "f", first, &mut reader);
    let held = reader.held(TOPICS[0]).cloned();

    assert_eq!(reader.read(&retained), ReadOutcome::Stale);
    assert_eq!(reader.held(TOPICS[0]).cloned(), held);

    let second = connect_and_subscribe(&mut publisher, "f");
    let (number, _) = publisher.next_part(Duration::ZERO, "f").unwrap();
    assert!(!publisher.disconnect("f", first), "the former session is not open");
    assert_eq!(publisher.acknowledge("f", first, number), vec![], "the former session is ignored");
    assert_eq!(publisher.acknowledge("f", second, number), vec![(TOPICS[0], 1)]);
}

/// An update from a version that is not held, or with a missing part, cannot be applied: only a snapshot can follow.
#[test]
fn a_gap_needs_a_snapshot_and_a_subscriber_that_acknowledges_nothing_is_overdue() {
    let mut publisher = Publisher::new(1);
    publisher.apply(TOPICS[0], (0..300).map(|s| entry(s, Some(1))).collect());
    let session = connect_and_subscribe(&mut publisher, "f");
    let mut reader = UpdateReader::default();
    let parts: Vec<UpdatePart> =
        (0..3).map(|_| publisher.next_part(Duration::ZERO, "f").unwrap().1).collect();
    assert_eq!(
        (reader.read(&parts[0]), reader.read(&parts[2])),
        (ReadOutcome::Pending, ReadOutcome::NeedsSnapshot)
    );
    assert_eq!(
        reader.read(&UpdatePart { base_version: Some(7), ..parts[0].clone() }),
        ReadOutcome::NeedsSnapshot
    );

    publisher.reject("f", session, 3, TOPICS[0]);
    let mut sent = 0;
    for k in 0..20 {
        publisher.apply(TOPICS[1], vec![entry(k, Some(1))]);
        sent += std::iter::from_fn(|| publisher.next_part(Duration::from_secs(1), "f")).count();
    }

    assert_eq!(sent, MAX_IN_FLIGHT, "no more messages than may be in flight");
    assert_eq!(publisher.overdue(Duration::from_secs(3), Duration::from_secs(3)), vec![]);
    assert_eq!(
        publisher.overdue(Duration::from_secs(4), Duration::from_secs(3)),
        vec![("f".to_string(), session)]
    );
    assert_eq!(publisher.messages_in_flight(), MAX_IN_FLIGHT);
}

#[test]
fn a_reconnect_storm_is_admitted_oldest_tables_first_and_within_the_grace_period() {
    let grace_period = Duration::from_secs(2);
    let mut queue = ReconnectQueue::new(grace_period);
    for k in 0..592u64 {
        let oldest_held = (k % 3 > 0).then_some(HeldVersion { epoch: 1, version: 1000 - k });
        assert!(queue.push(Duration::ZERO, &format!("f{k}"), oldest_held));
    }
    // One subscriber reconnects while it waits, and one disconnects.
    assert!(queue.push(Duration::ZERO, "f1", Some(HeldVersion { epoch: 0, version: 5 })));
    queue.remove("f2");
    let (mut admitted, mut now, mut max_burst) = (vec![], Duration::ZERO, 0);
    while let Some(at) = queue.next_wakeup() {
        assert!(at <= now + grace_period, "the next wakeup is beyond the grace period");
        now = now.max(at) + Duration::from_micros(10);
        let before = admitted.len();
        while let Some(name) = queue.admit_next(now) {
            admitted.push(name);
        }
        max_burst = max_burst.max(admitted.len() - before);
    }
    assert_eq!(admitted.len(), 591);
    assert!(now < grace_period / 2 && max_burst <= 130, "{now:?} {max_burst}");
    assert!(
        admitted[..198].iter().all(|n| n[1..].parse::<u64>().unwrap() % 3 == 0),
        "subscribers that hold nothing come first"
    );
    assert_eq!((admitted[198].as_str(), admitted[199].as_str()), ("f1", "f590"), "the others follow by age");
}

/// When a class moves to another table, the subscriber receives that table before the assignment to it, and a drain in
/// the former table before both.
#[test]
fn an_assignment_comes_after_its_table_and_a_drain_before_both() {
    let assignments = Topic { kind: TopicKind::Assignments, table: 0 };
    let assign_to =
        |table: u16| Change { key: Key::Assignment("q".into()), value: Some(table.to_string().into()) };
    let mut publisher = Publisher::new(1);
    publisher.apply(TOPICS[0], (0..20).map(|s| entry(s, Some(1))).collect());
    publisher.apply(assignments, vec![assign_to(1)]);
    let session = connect_and_subscribe(&mut publisher, "f");
    assert!(publisher.subscribe("f", assignments, None));
    let mut reader = UpdateReader::default();
    let order = |parts: &[UpdatePart]| parts.iter().map(|p| p.topic.kind).collect::<Vec<_>>();
    let first = deliver_all(&mut publisher, "f", session, &mut reader);
    assert_eq!(order(&first), [TopicKind::Weights, TopicKind::Subset, TopicKind::Assignments]);
    publisher.apply(assignments, vec![assign_to(2)]);
    publisher.apply(TOPICS[1], (0..300).map(|s| entry(s, Some(1))).collect());
    publisher.apply(TOPICS[0], vec![entry(4, None)]);
    let next = deliver_all(&mut publisher, "f", session, &mut reader);
    assert_eq!(
        order(&next),
        [TopicKind::Weights, TopicKind::Subset, TopicKind::Subset, TopicKind::Subset, TopicKind::Assignments]
    );
    assert!(next[0].changes[0].takes_server_out_of_service());
    let assigned = reader.held(assignments).unwrap().state[&Key::Assignment("q".into())].clone();
    assert_eq!(&*assigned, "2");
}
