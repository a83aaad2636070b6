use super::*;
use crate::admit::ReconnectQueue;
use crate::reader::{ReadOutcome, UpdateReader};
use proptest::prelude::*;
use std::collections::HashMap;

const TOPICS: [Topic; 2] =
    [Topic { kind: TopicKind::Weights, table: 1 }, Topic { kind: TopicKind::Subset, table: 2 }];

fn line(server: usize, weight: Option<usize>) -> Change {
    Change { key: Key::Line(format!("s{server}")), value: weight.map(|w| w.to_string().into()) }
}

fn joined(publisher: &mut Publisher, name: &str) -> u64 {
    let stream = publisher.join(name);
    TOPICS.iter().for_each(|t| assert!(publisher.subscribe(name, *t, None)));
    stream
}

/// All messages for one subscriber, each confirmed at once.
fn drain(publisher: &mut Publisher, name: &str, stream: u64, reader: &mut UpdateReader) -> Vec<UpdatePart> {
    let mut parts = vec![];
    while let Some((number, part)) = publisher.next(Duration::ZERO, name) {
        assert!(matches!(reader.take(&part), ReadOutcome::Now(_) | ReadOutcome::Waits), "{part:?}");
        publisher.confirmed(name, stream, number);
        parts.push(part);
    }
    parts
}

#[derive(Debug, Clone)]
enum Do {
    /// Keys of a table, each to a weight or out.
    Step(usize, Vec<(usize, Option<usize>)>),
    /// So many messages go out to a subscriber.
    Tell(usize, usize),
    /// It takes the oldest so many of what is on its way, and its word comes back, or not.
    Take(usize, usize, bool),
    Break(usize),
    /// It has lost a table, and says so by the next message that it cannot use.
    Forget(usize, usize),
    Touch(usize),
    Join(usize),
    Restart,
}

fn deed() -> impl Strategy<Value = Do> {
    let key = (0usize..400, prop::option::weighted(0.7, 1usize..4));
    let many =
        prop_oneof![3 => prop::collection::vec(key.clone(), 1..6), 1 => prop::collection::vec(key, 200..400)];
    prop_oneof![
        6 => (0usize..2, many).prop_map(|(t, keys)| Do::Step(t, keys)),
        6 => (0usize..3, 1usize..6).prop_map(|(s, n)| Do::Tell(s, n)),
        6 => (0usize..3, 1usize..6, any::<bool>()).prop_map(|(s, n, back)| Do::Take(s, n, back)),
        1 => (0usize..3).prop_map(Do::Break),
        1 => (0usize..3, 0usize..2).prop_map(|(s, t)| Do::Forget(s, t)),
        1 => (0usize..2).prop_map(Do::Touch),
        2 => (0usize..3).prop_map(Do::Join),
        1 => Just(Do::Restart),
    ]
}

/// A subscriber as a test has it: what it holds, its stream, and what is on its way to it.
#[derive(Default)]
struct Peer {
    reader: UpdateReader,
    stream: Option<u64>,
    forgot: bool,
    flying: VecDeque<(u64, UpdatePart)>,
    /// The newest epoch and version that it held of each table.
    newest: HashMap<Topic, (u64, Version)>,
}

type States = HashMap<(u64, Topic, Version), BTreeMap<Key, Rc<str>>>;

struct Rig {
    publisher: Publisher,
    peers: Vec<Peer>,
    /// All states that a planner held.
    states: States,
}

impl Rig {
    fn new() -> Rig {
        let peers = (0..3).map(|_| Peer::default()).collect();
        let mut rig = Rig { publisher: Publisher::new(1), peers, states: States::new() };
        rig.note();
        rig
    }

    fn note(&mut self) {
        for topic in TOPICS {
            let (version, state) = match self.publisher.table(topic) {
                Some((version, state)) => (version, state.clone()),
                None => (0, BTreeMap::new()),
            };
            self.states.insert((self.publisher.epoch(), topic, version), state);
        }
    }

    fn join(&mut self, k: usize) {
        let name = format!("f{k}");
        let peer = &mut self.peers[k];
        // Whatever the old stream still had on its way is lost.
        (peer.flying, peer.stream) = (VecDeque::new(), Some(self.publisher.join(&name)));
        peer.reader.broke();
        for topic in TOPICS {
            assert!(self.publisher.subscribe(&name, topic, peer.reader.holds(topic)));
        }
    }

    fn tell(&mut self, k: usize, count: usize) {
        if self.peers[k].stream.is_none() {
            return;
        }
        for _ in 0..count {
            let Some(told) = self.publisher.next(Duration::ZERO, &format!("f{k}")) else { return };
            let outs = told.1.changes.iter().map(|c| !c.takes_out());
            assert!(outs.clone().is_sorted(), "what takes servers out stands first");
            self.peers[k].flying.push_back(told);
        }
        assert!(self.peers[k].flying.len() <= WINDOW + 1);
    }

    fn take(&mut self, k: usize, count: usize, back: bool) {
        let peer = &mut self.peers[k];
        for _ in 0..count {
            let Some((number, part)) = peer.flying.pop_front() else { return };
            match peer.reader.take(&part) {
                ReadOutcome::Now(version) => {
                    let held = peer.reader.held(part.topic).unwrap();
                    assert_eq!(Some(&held.state), self.states.get(&(held.epoch, part.topic, version)));
                    let newest = peer.newest.entry(part.topic).or_default();
                    assert!(*newest <= (held.epoch, held.version), "versions only rise");
                    *newest = (held.epoch, held.version);
                }
                ReadOutcome::Waits => {}
                ReadOutcome::Lacks if peer.forgot => {
                    let stream = peer.stream.unwrap();
                    self.publisher.lacks(&format!("f{k}"), stream, number, part.topic);
                    continue;
                }
                other => panic!("{other:?} {part:?}"),
            }
            // Its word may come late: then a later one stands for it.
            if back {
                let stream = peer.stream.unwrap();
                self.publisher.confirmed(&format!("f{k}"), stream, number);
            }
        }
    }

    fn act(&mut self, what: Do) {
        match what {
            Do::Step(t, keys) => {
                self.publisher.step(TOPICS[t], keys.into_iter().map(|(s, w)| line(s, w)).collect());
                self.note();
            }
            Do::Tell(k, count) => self.tell(k, count),
            Do::Take(k, count, back) => self.take(k, count, back),
            Do::Break(k) => {
                if let Some(stream) = self.peers[k].stream.take() {
                    assert!(self.publisher.leave(&format!("f{k}"), stream));
                    self.peers[k].flying.clear();
                }
            }
            Do::Forget(k, t) => {
                self.peers[k].reader.forget(TOPICS[t]);
                self.peers[k].forgot = true;
            }
            Do::Touch(t) => {
                self.publisher.touch(TOPICS[t]);
                self.note();
            }
            Do::Join(k) => self.join(k),
            Do::Restart => {
                // The decisions order anew: another epoch, versions from the start, other tables.
                self.publisher = Publisher::new(self.publisher.epoch() + 1);
                for peer in &mut self.peers {
                    (peer.stream, peer.flying) = (None, VecDeque::new());
                }
                self.note();
            }
        }
    }
}

proptest! {
    // More by the environment, PROPTEST_CASES: docs/publish.md tells of a hundred thousand.
    #![proptest_config(ProptestConfig::default())]
    /// Whatever changes, breaks, resumes, conflations and restarts come: what a subscriber holds was held by a planner,
    /// versions only rise, and after quiet it holds the latest.
    #[test]
    fn a_subscriber_holds_what_a_planner_held_and_in_the_end_the_latest(deeds in prop::collection::vec(deed(), 1..60)) {
        let mut rig = Rig::new();
        deeds.into_iter().for_each(|what| rig.act(what));
        for k in 0..3 {
            if rig.peers[k].stream.is_none() {
                rig.join(k);
            }
            for _ in 0..200 {
                rig.take(k, WINDOW + 1, true);
                rig.tell(k, WINDOW);
            }
            // A word that was lost stands in the way of the window only until the stream is left and joined anew.
            if rig.peers[k].flying.is_empty() {
                rig.join(k);
                for _ in 0..200 {
                    rig.tell(k, WINDOW);
                    rig.take(k, WINDOW + 1, true);
                }
            }
            // One that lost a table and has been told nothing since has not said so yet.
            TOPICS.iter().for_each(|t| _ = rig.publisher.touch(*t));
            rig.note();
            for _ in 0..200 {
                rig.tell(k, WINDOW);
                rig.take(k, WINDOW + 1, true);
            }
            for topic in TOPICS {
                let latest = rig.publisher.table(topic).map(|(_, s)| s.clone()).unwrap_or_default();
                prop_assert_eq!(&rig.peers[k].reader.held(topic).unwrap().state, &latest);
            }
        }
    }
}

#[test]
fn a_slow_subscriber_gets_the_latest_and_not_a_history_and_costs_no_more() {
    let mut publisher = Publisher::new(1);
    let stream = joined(&mut publisher, "slow");
    let mut reader = UpdateReader::default();
    publisher.step(TOPICS[0], (0..100).map(|s| line(s, Some(1))).collect());
    drain(&mut publisher, "slow", stream, &mut reader);
    // Five hundred steps while it hears nothing: of ten servers, one of which goes out at the last.
    for k in 0..50 {
        publisher.step(TOPICS[0], vec![line(k % 10, Some(k + 2))]);
    }
    publisher.step(TOPICS[0], vec![line(3, None)]);
    let parts = drain(&mut publisher, "slow", stream, &mut reader);
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].from, parts[0].changes.len()), (Some(1), 10));
    assert_eq!(parts[0].changes[0], line(3, None), "what goes out stands first");
    // Past the run it is a snapshot, again in one go.
    for k in 0..300 {
        publisher.step(TOPICS[0], vec![line(k % 10 + 4, Some(k + 2))]);
    }
    let parts = drain(&mut publisher, "slow", stream, &mut reader);
    assert!(parts.len() == 1 && parts[0].from.is_none() && parts[0].changes.len() == 99);
}

#[test]
fn a_snapshot_that_changes_while_it_is_sent_in_parts_is_taken_whole_and_then_followed() {
    let mut publisher = Publisher::new(1);
    publisher.step(TOPICS[0], (0..300).map(|s| line(s, Some(1))).collect());
    let stream = joined(&mut publisher, "f");
    let mut reader = UpdateReader::default();
    let (number, first) = publisher.next(Duration::ZERO, "f").unwrap();
    assert_eq!((first.of, reader.take(&first)), (3, ReadOutcome::Waits));
    publisher.confirmed("f", stream, number);
    publisher.step(TOPICS[0], vec![line(299, None), line(0, Some(9))]);
    assert_eq!(reader.held(TOPICS[0]), None);
    drain(&mut publisher, "f", stream, &mut reader);
    let held = reader.held(TOPICS[0]).unwrap();
    assert_eq!((held.version, &held.state), (2, publisher.table(TOPICS[0]).unwrap().1));
}

#[test]
fn a_message_of_an_earlier_epoch_and_a_will_after_the_rejoin_change_nothing() {
    let mut old = Publisher::new(1);
    old.step(TOPICS[0], vec![line(1, Some(1))]);
    joined(&mut old, "f");
    let (_, retained) = old.next(Duration::ZERO, "f").unwrap();
    let mut publisher = Publisher::new(2);
    publisher.step(TOPICS[0], vec![line(2, Some(1))]);
    let first = joined(&mut publisher, "f");
    let mut reader = UpdateReader::default();
    drain(&mut publisher, "f", first, &mut reader);
    let held = reader.held(TOPICS[0]).cloned();
    assert_eq!(reader.take(&retained), ReadOutcome::Stale);
    assert_eq!(reader.held(TOPICS[0]).cloned(), held);
    let second = joined(&mut publisher, "f");
    let (number, _) = publisher.next(Duration::ZERO, "f").unwrap();
    assert!(!publisher.leave("f", first), "the old stream's will");
    assert_eq!(publisher.confirmed("f", first, number), vec![], "the old stream's word");
    assert_eq!(publisher.confirmed("f", second, number), vec![(TOPICS[0], 1)]);
}

/// What starts from a version that is not held, and a part that was lost, are asked for anew and not guessed.
#[test]
fn a_gap_is_asked_for_and_a_subscriber_that_confirms_nothing_is_told_no_more_and_found() {
    let mut publisher = Publisher::new(1);
    publisher.step(TOPICS[0], (0..300).map(|s| line(s, Some(1))).collect());
    let stream = joined(&mut publisher, "f");
    let mut reader = UpdateReader::default();
    let parts: Vec<UpdatePart> = (0..3).map(|_| publisher.next(Duration::ZERO, "f").unwrap().1).collect();
    assert_eq!((reader.take(&parts[0]), reader.take(&parts[2])), (ReadOutcome::Waits, ReadOutcome::Lacks));
    assert_eq!(reader.take(&UpdatePart { from: Some(7), ..parts[0].clone() }), ReadOutcome::Lacks);
    publisher.lacks("f", stream, 3, TOPICS[0]);
    let mut told = 0;
    for k in 0..20 {
        publisher.step(TOPICS[1], vec![line(k, Some(1))]);
        told += std::iter::from_fn(|| publisher.next(Duration::from_secs(1), "f")).count();
    }
    assert_eq!(told, WINDOW, "no more than the window");
    assert_eq!(publisher.overdue(Duration::from_secs(3), Duration::from_secs(3)), vec![]);
    assert_eq!(
        publisher.overdue(Duration::from_secs(4), Duration::from_secs(3)),
        vec![("f".to_string(), stream)]
    );
    assert_eq!(publisher.waiting(), WINDOW);
}

#[test]
fn a_reconnect_storm_is_let_in_at_a_pace_oldest_tables_first_and_within_the_grace() {
    let grace = Duration::from_secs(2);
    let mut admission = ReconnectQueue::new(grace);
    for k in 0..592u64 {
        let age = (k % 3 > 0).then_some((1, 1000 - k));
        assert!(admission.came(Duration::ZERO, &format!("f{k}"), age));
    }
    // One comes again while it waits, and one goes.
    assert!(admission.came(Duration::ZERO, "f1", Some((0, 5))));
    admission.gone("f2");
    let (mut let_in, mut now, mut most) = (vec![], Duration::ZERO, 0);
    while let Some(at) = admission.wakes_at() {
        assert!(at <= now + grace, "it wakes in time");
        now = now.max(at) + Duration::from_micros(10);
        let before = let_in.len();
        while let Some(name) = admission.next(now) {
            let_in.push(name);
        }
        most = most.max(let_in.len() - before);
    }
    assert_eq!(let_in.len(), 591);
    assert!(now < grace / 2 && most <= 130, "{now:?} {most}");
    assert!(let_in[..198].iter().all(|n| n[1..].parse::<u64>().unwrap() % 3 == 0), "nothing held: first");
    assert_eq!((let_in[198].as_str(), let_in[199].as_str()), ("f1", "f590"), "then by age");
}

/// A class goes over from one table to another: whatever is told when, the subscriber holds a table before a bind to it,
/// and a drain in the old table reaches it before either.
#[test]
fn a_bind_comes_after_its_table_and_a_drain_before_both() {
    let binds = Topic { kind: TopicKind::Binds, table: 0 };
    let to = |table: u16| Change { key: Key::Bind("q".into()), value: Some(table.to_string().into()) };
    let mut publisher = Publisher::new(1);
    publisher.step(TOPICS[0], (0..20).map(|s| line(s, Some(1))).collect());
    publisher.step(binds, vec![to(1)]);
    let stream = joined(&mut publisher, "f");
    assert!(publisher.subscribe("f", binds, None));
    let mut reader = UpdateReader::default();
    let order = |parts: &[UpdatePart]| parts.iter().map(|p| p.topic.kind).collect::<Vec<_>>();
    let first = drain(&mut publisher, "f", stream, &mut reader);
    assert_eq!(order(&first), [TopicKind::Weights, TopicKind::Subset, TopicKind::Binds]);
    publisher.step(binds, vec![to(2)]);
    publisher.step(TOPICS[1], (0..300).map(|s| line(s, Some(1))).collect());
    publisher.step(TOPICS[0], vec![line(4, None)]);
    let next = drain(&mut publisher, "f", stream, &mut reader);
    assert_eq!(
        order(&next),
        [TopicKind::Weights, TopicKind::Subset, TopicKind::Subset, TopicKind::Subset, TopicKind::Binds]
    );
    assert!(next[0].changes[0].takes_out());
    let bound = reader.held(binds).unwrap().state[&Key::Bind("q".into())].clone();
    assert_eq!(&*bound, "2");
}
