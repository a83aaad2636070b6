use super::*;
use proptest::prelude::*;
use runloom_controller::RetryPolicy;
use runloom_model::schema::derive;
use runloom_model::{Schema, PROXY_XSD};
use runloom_netconf::edit::{apply, Operation};
use runloom_netconf::tree::Element;
use runloom_proxy::published_tables;
use runloom_proxy::RouteTables;
use runloom_versioned_publisher::reader::{ReadOutcome, UpdateReader};
use std::sync::Arc;

const ZERO: Duration = Duration::ZERO;
const CLASSES: [&str; 2] = ["q", "r"];

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn newcomer(name: &str, way: Transport, holds: Vec<(Topic, u64, Version)>) -> PendingProxy {
    let (zone, wanted) = ("a".to_string(), vec![TopicFilter::ALL]);
    PendingProxy { conn: 1, name: name.into(), zone, rate: 1.0, fresh: true, way, wanted, holds }
}

fn front() -> Distributor {
    Distributor::new(1, secs(2), secs(1))
}

fn lines(lines: &[(usize, f64)]) -> TableEdit {
    let line = |(k, w): &(usize, f64)| (format!("s{k}"), (format!("127.0.0.1:{}", k + 1), *w));
    TableEdit { lines: lines.iter().map(line).collect(), ..TableEdit::default() }
}

fn binds(whole: bool, binds: &[(&str, u16)]) -> Message {
    let binds = binds.iter().map(|(class, table)| (class.to_string(), *table)).collect();
    Message { whole, binds, ..Message::default() }
}

/// A proxy at the other end of either front, as the program has them.
struct Peer {
    way: Transport,
    schema: Schema,
    data: Arc<Element>,
    reader: UpdateReader,
    held: RouteTables,
    joined: bool,
    flying: VecDeque<Outgoing>,
}

impl Peer {
    fn new(way: Transport) -> Peer {
        let schema = Schema::root(derive(PROXY_XSD, &["tables"]).unwrap());
        let data = Arc::new(Element::new("", "data"));
        let (reader, held, flying) = (UpdateReader::default(), RouteTables::default(), VecDeque::new());
        Peer { way, schema, data, reader, held, joined: false, flying }
    }

    /// Takes a message; its number, and its table if it was of no use.
    fn take(&mut self, out: Outgoing) -> (u64, Option<Topic>) {
        match out {
            Outgoing::Message { number, text, .. } => {
                let rpc = Element::parse(&text).unwrap();
                let config = rpc.child("config").unwrap();
                let (data, faults) = apply(&self.schema, &self.data, config, Operation::Merge, false);
                assert!(faults.is_empty(), "{faults:?} in {text}");
                self.data = data;
                let tables = self.data.child("tables");
                self.held = tables.map_or_else(RouteTables::default, |t| RouteTables::read(t).unwrap());
                (number, None)
            }
            Outgoing::Part { number, mut part } => {
                if part.topic.kind == TopicKind::Binds {
                    part.topic.table = 0;
                }
                match self.reader.take(&part) {
                    ReadOutcome::Now(_) => {
                        if let Some(held) =
                            published_tables::tables_after_update(&mut self.reader, part.topic).unwrap()
                        {
                            self.held = held;
                        }
                        (number, None)
                    }
                    ReadOutcome::Waits | ReadOutcome::Stale => (number, None),
                    ReadOutcome::Lacks => (number, Some(part.topic)),
                }
            }
        }
    }

    fn view(&self, class: &str) -> Vec<(String, u64)> {
        let lines = self.held.entries(class).into_iter();
        let mut view: Vec<_> = lines.map(|l| (l.server, l.weight as u64)).collect();
        view.sort();
        view
    }
}

#[derive(Debug, Clone)]
enum Do {
    /// Servers of a table, each to a weight or out; the table anew if it is said so. Server 0 stays.
    Table(u16, bool, Vec<(usize, u64)>),
    Bind(usize, usize, u16),
    /// An order that changes nothing: a mark.
    Mark(usize),
    Tell(usize, usize),
    Take(usize, usize),
    Break(usize),
    Join(usize),
    Restart,
}

fn deed() -> impl Strategy<Value = Do> {
    let line = || (1usize..300, 0u64..4);
    let some =
        prop_oneof![4 => prop::collection::vec(line(), 1..6), 1 => prop::collection::vec(line(), 150..300)];
    let who = || 0usize..3;
    prop_oneof![
        6 => (1u16..4, prop::bool::weighted(0.1), some).prop_map(|(t, anew, l)| Do::Table(t, anew, l)),
        3 => (who(), 0usize..2, 1u16..4).prop_map(|(p, c, t)| Do::Bind(p, c, t)),
        1 => who().prop_map(Do::Mark),
        6 => (who(), 1usize..9).prop_map(|(p, n)| Do::Tell(p, n)),
        6 => (who(), 1usize..9).prop_map(|(p, n)| Do::Take(p, n)),
        1 => who().prop_map(Do::Break),
        1 => who().prop_map(Do::Join),
        1 => Just(Do::Restart),
    ]
}

type Lines = BTreeMap<usize, u64>;

/// What the decisions ordered, state by state.
#[derive(Clone)]
struct State {
    tables: BTreeMap<u16, Lines>,
    binds: [BTreeMap<usize, u16>; 3],
}

struct Rig {
    front: Distributor,
    peers: Vec<Peer>,
    states: Vec<State>,
    /// Each proxy's orders: which state each came with.
    orders: [Vec<usize>; 3],
    in_force: [u64; 3],
}

impl Rig {
    fn new() -> Rig {
        let peers = [Transport::Whole, Transport::Parts, Transport::Parts].map(Peer::new).into();
        let state = State { tables: BTreeMap::new(), binds: Default::default() };
        let (orders, in_force) = (Default::default(), [0; 3]);
        let mut rig = Rig { front: front(), peers, states: vec![state], orders, in_force };
        rig.fill();
        (0..3).for_each(|p| rig.join(p));
        rig
    }

    fn state(&mut self) -> &mut State {
        let last = self.states.last().unwrap().clone();
        self.states.push(last);
        self.states.last_mut().unwrap()
    }

    /// Tables 1 to 3, as the decisions have them after a start.
    fn fill(&mut self) {
        for table in 1..4u16 {
            self.state().tables.insert(table, [(0, 1)].into());
            self.front.table(table, &TableEdit { whole: true, ..lines(&[(0, 1.0)]) });
        }
    }

    fn order(&mut self, p: usize, message: &Message) {
        let at = self.states.len() - 1;
        self.orders[p].push(at);
        self.front.ordered(p, self.orders[p].len() as u64, message);
    }

    fn bind(&mut self, p: usize, whole: bool, class: &[(usize, u16)]) {
        class.iter().for_each(|(c, t)| _ = self.state().binds[p].insert(*c, *t));
        let class: Vec<(&str, u16)> = class.iter().map(|(c, t)| (CLASSES[*c], *t)).collect();
        self.order(p, &binds(whole, &class));
    }

    fn join(&mut self, p: usize) {
        let peer = &mut self.peers[p];
        (peer.joined, peer.flying) = (true, VecDeque::new());
        peer.reader.broke();
        let holds = peer.reader.topics().filter_map(|t| peer.reader.holds(t).map(|(e, v)| (t, e, v)));
        let newcomer = newcomer(&format!("f{p}"), peer.way, holds.collect());
        self.front.joined(p, newcomer);
        self.orders[p].clear();
        self.in_force[p] = 0;
        self.bind(p, true, &[(0, 1), (1, 2)]);
    }

    fn tell(&mut self, p: usize, count: usize) {
        for _ in 0..count {
            let Some(out) = self.front.next(ZERO, p) else { return };
            self.peers[p].flying.push_back(out);
        }
        assert!(self.peers[p].flying.len() <= runloom_versioned_publisher::WINDOW);
    }

    fn take(&mut self, p: usize, count: usize) {
        for _ in 0..count {
            let Some(out) = self.peers[p].flying.pop_front() else { return };
            let (number, lacks) = self.peers[p].take(out);
            let newest = match lacks {
                None => self.front.confirmed(ZERO, p, number),
                Some(mut topic) => {
                    topic.table = if topic.kind == TopicKind::Binds { p as u16 } else { topic.table };
                    self.front.lacks(ZERO, p, number, topic).0
                }
            };
            if let Some(newest) = newest {
                assert!(newest > self.in_force[p], "orders come in force in their order");
                self.in_force[p] = newest;
            }
            self.look(p);
        }
    }

    /// What it goes by was ordered at or after the newest order that is said to be in force, and is never empty.
    fn look(&self, p: usize) {
        let Some(number) = self.in_force[p].checked_sub(1) else { return };
        let from = self.orders[p][number as usize];
        for (c, class) in CLASSES.iter().enumerate() {
            let view = self.peers[p].view(class);
            assert!(!view.is_empty(), "without a line");
            let tables: BTreeSet<u16> =
                self.states[from..].iter().filter_map(|s| s.binds[p].get(&c).copied()).collect();
            let fits = |s: &State| tables.iter().any(|t| shown(&s.tables[t]) == view);
            assert!(
                self.states[from..].iter().any(fits),
                "{p} {class}: {view:?} was never ordered since {number}"
            );
        }
    }

    fn act(&mut self, what: Do) {
        match what {
            Do::Table(table, anew, mut changes) => {
                changes.sort();
                changes.dedup_by_key(|c| c.0);
                let mut edit: Vec<(usize, f64)> = changes.iter().map(|(k, w)| (*k, *w as f64)).collect();
                let state = self.state().tables.entry(table).or_default();
                if anew {
                    *state = [(0, 1)].into();
                    edit.push((0, 1.0));
                    edit.retain(|(_, w)| *w > 0.0);
                }
                for (k, w) in changes {
                    if w > 0 {
                        state.insert(k, w);
                    } else {
                        state.remove(&k);
                    }
                }
                self.front.table(table, &TableEdit { whole: anew, ..lines(&edit) });
                let last = self.states.last().unwrap().clone();
                for p in 0..3 {
                    if self.peers[p].joined && last.binds[p].values().any(|t| *t == table) {
                        self.order(p, &Message::default());
                    }
                }
            }
            Do::Bind(p, c, t) if self.peers[p].joined => self.bind(p, false, &[(c, t)]),
            Do::Mark(p) if self.peers[p].joined => self.order(p, &Message::default()),
            Do::Bind(..) | Do::Mark(_) => {}
            Do::Tell(p, n) => self.tell(p, n),
            Do::Take(p, n) => self.take(p, n),
            Do::Break(p) => {
                self.front.left(p);
                (self.peers[p].joined, self.peers[p].flying) = (false, VecDeque::new());
            }
            Do::Join(p) => self.join(p),
            Do::Restart => {
                let epoch = self.front.publisher().epoch() + 1;
                self.front.restart(epoch, secs(2), secs(1));
                self.fill();
                for p in 0..3 {
                    self.orders[p].clear();
                    self.in_force[p] = 0;
                    if self.peers[p].joined {
                        self.bind(p, true, &[(0, 2), (1, 3)]);
                    }
                }
            }
        }
    }
}

fn shown(lines: &Lines) -> Vec<(String, u64)> {
    let mut all: Vec<(String, u64)> = lines.iter().map(|(k, w)| (format!("s{k}"), *w)).collect();
    all.sort();
    all
}

proptest! {
    /// Both fronts, whatever is ordered, told, taken, broken and started over: an order that is said to be in force is,
    /// nobody is without a line, and after quiet all go by the latest.
    #[test]
    fn what_is_said_to_be_in_force_is_and_in_the_end_all_go_by_the_latest(deeds in prop::collection::vec(deed(), 1..50)) {
        let mut rig = Rig::new();
        deeds.into_iter().for_each(|what| rig.act(what));
        for p in 0..3 {
            if !rig.peers[p].joined {
                rig.join(p);
            }
            for _ in 0..300 {
                rig.take(p, 9);
                rig.tell(p, 9);
            }
            prop_assert_eq!(rig.in_force[p], rig.orders[p].len() as u64, "all orders of {} are in force", p);
            let last = rig.states.last().unwrap();
            for (c, class) in CLASSES.iter().enumerate() {
                prop_assert_eq!(rig.peers[p].view(class), shown(&last.tables[&last.binds[p][&c]]), "{} {}", p, class);
            }
        }
    }
}

/// Proxies at one position share the text of a message; a proxy that is behind gets one message and not a history.
#[test]
fn messages_are_shared_and_what_is_behind_is_conflated() {
    let mut front = front();
    front.table(1, &TableEdit { whole: true, ..lines(&[(0, 1.0), (1, 1.0)]) });
    for p in 0..3 {
        front.joined(p, newcomer(&format!("f{p}"), Transport::Whole, vec![]));
        front.ordered(p, 1, &binds(true, &[("q", 1)]));
        let Some(Outgoing::Message { number, text, .. }) = front.next(ZERO, p) else { panic!("no message") };
        assert!(text.contains("operation=\"replace\"") && text.contains("<bind><class>q</class>"), "{text}");
        assert_eq!(front.confirmed(ZERO, p, number), Some(1));
    }
    let text = |front: &mut Distributor, p| match front.next(ZERO, p) {
        Some(Outgoing::Message { text, .. }) => text,
        other => panic!("{other:?}"),
    };
    for k in 0..5 {
        front.table(1, &lines(&[(0, f64::from(k) + 2.0), (1, if k < 4 { 2.0 } else { 0.0 })]));
        (0..3).for_each(|p| front.ordered(p, 2 + k as u64, &Message::default()));
    }
    let texts = [0, 1, 2].map(|p| text(&mut front, p));
    assert!(Rc::ptr_eq(&texts[0], &texts[1]) && Rc::ptr_eq(&texts[1], &texts[2]));
    assert!(
        texts[0].contains("remove\"><server>s1<") && texts[0].contains("<weight>6</weight>"),
        "{}",
        texts[0]
    );
    assert!(!texts[0].contains("bind") && front.next(ZERO, 0).is_none());
    assert_eq!(front.confirmed(ZERO, 0, 2), Some(6), "all five orders at once");
    // A mark alone is a message too.
    front.ordered(0, 7, &Message::default());
    assert!(text(&mut front, 0).contains("<tables"));
    assert_eq!(front.confirmed(ZERO, 0, 3), Some(7));
}

/// It confirms that a server is out and goes on trying it: told anew once, let go the second time. One that merely
/// ends what was out is left alone.
#[test]
fn a_proxy_that_confirms_and_does_not_apply_is_told_anew_and_then_let_go() {
    for way in [Transport::Whole, Transport::Parts] {
        let mut front = front();
        front.table(1, &TableEdit { whole: true, ..lines(&[(0, 1.0), (1, 1.0)]) });
        front.joined(0, newcomer("f0", way, vec![]));
        front.ordered(0, 1, &binds(true, &[("q", 1)]));
        let level = |front: &mut Distributor, now| {
            while let Some(out) = front.next(now, 0) {
                let (Outgoing::Message { number, .. } | Outgoing::Part { number, .. }) = out;
                front.confirmed(now, 0, number);
            }
        };
        level(&mut front, ZERO);
        front.table(1, &lines(&[(1, 0.0)]));
        front.ordered(0, 2, &Message::default());
        let report =
            |front: &mut Distributor, at, server| front.reported(at, 0, secs(1), [server].into_iter());
        assert_eq!(report(&mut front, secs(9), "s1"), Verdict::Fine, "not confirmed yet");
        level(&mut front, secs(10));
        // Outer limit 1 s, a second for clocks, and the report's own span.
        assert_eq!(report(&mut front, secs(12), "s1"), Verdict::Fine);
        assert_eq!(report(&mut front, secs(13), "s1"), Verdict::Fine, "once");
        assert_eq!(report(&mut front, secs(14), "s0"), Verdict::Fine);
        assert_eq!(report(&mut front, secs(15), "s1"), Verdict::Fine, "once again");
        assert_eq!(report(&mut front, secs(16), "s1"), Verdict::Anew);
        let Some(out) = front.next(secs(16), 0) else { panic!("nothing is told anew") };
        let (Outgoing::Message { number, .. } | Outgoing::Part { number, .. }) = out.clone();
        match out {
            Outgoing::Message { text, .. } => {
                assert!(text.contains("<tables xmlns=\"urn:runloom:proxy\" xmlns:nc="))
            }
            Outgoing::Part { part, .. } => assert_eq!(part.from, None),
        }
        front.confirmed(secs(16), 0, number);
        level(&mut front, secs(16));
        assert_eq!(report(&mut front, secs(20), "s1"), Verdict::Fine);
        assert_eq!(report(&mut front, secs(21), "s1"), Verdict::LetGo);
        assert_eq!(front.doubted, 1);
    }
}

/// A server that comes back into the table is no reason for doubt.
#[test]
fn a_server_that_is_in_the_table_again_may_be_tried() {
    let mut front = front();
    front.table(1, &TableEdit { whole: true, ..lines(&[(0, 1.0), (1, 1.0)]) });
    front.joined(0, newcomer("f0", Transport::Parts, vec![]));
    front.ordered(0, 1, &binds(true, &[("q", 1)]));
    for (number, weight) in [(2, 0.0), (3, 1.0)] {
        while let Some(Outgoing::Part { number, .. }) = front.next(ZERO, 0) {
            front.confirmed(ZERO, 0, number);
        }
        front.table(1, &lines(&[(1, weight)]));
        front.ordered(0, number, &Message::default());
    }
    while let Some(Outgoing::Part { number, .. }) = front.next(ZERO, 0) {
        front.confirmed(ZERO, 0, number);
    }
    for at in 10..20 {
        assert_eq!(front.reported(secs(at), 0, secs(1), ["s1"].into_iter()), Verdict::Fine);
    }
}

#[test]
fn one_that_can_use_no_message_is_let_go_and_subsets_leave_out_what_is_far_under_the_middle() {
    let mut front = front();
    front.table(1, &TableEdit { whole: true, ..lines(&[(0, 1.0), (1, 0.9), (2, 0.1), (3, 1.1)]) });
    let wanted = vec![
        TopicFilter { kind: Some(TopicKind::Binds), table: None },
        TopicFilter { kind: Some(TopicKind::Subset), table: None },
        TopicFilter { kind: Some(TopicKind::Withdrawn), table: None },
    ];
    let subsets = PendingProxy { wanted, ..newcomer("f0", Transport::Parts, vec![]) };
    assert!(subsets.can_be_ordered());
    front.joined(0, subsets);
    front.ordered(0, 1, &binds(true, &[("q", 1)]));
    let mut peer = Peer::new(Transport::Parts);
    while let Some(out) = front.next(ZERO, 0) {
        let (number, lacks) = peer.take(out);
        assert_eq!(lacks, None);
        front.confirmed(ZERO, 0, number);
    }
    assert_eq!(peer.view("q"), [("s0".into(), 1), ("s1".into(), 1), ("s3".into(), 1)]);
    // A weight that moves within the bound is no step of the subset: the mark alone goes out.
    front.table(1, &lines(&[(1, 0.8)]));
    front.ordered(0, 2, &Message::default());
    let Some(Outgoing::Part { part, number }) = front.next(ZERO, 0) else { panic!("no mark") };
    assert!(part.topic.kind == TopicKind::Binds && part.changes.is_empty());
    assert_eq!(front.confirmed(ZERO, 0, number), Some(2));

    front.table(1, &lines(&[(0, 0.0)]));
    front.ordered(0, 3, &Message::default());
    let subset = Topic { kind: TopicKind::Subset, table: 1 };
    let mut verdicts = vec![];
    while let Some(Outgoing::Part { number, .. }) = front.next(ZERO, 0).filter(|_| verdicts.len() < 20) {
        verdicts.push(front.lacks(ZERO, 0, number, subset).1);
    }
    assert_eq!(verdicts.iter().position(|v| *v == Verdict::LetGo), Some(LACKING_MOST as usize));
}

/// Both ways of trying again and paces come through either front as they were ordered, and so do withdrawals.
#[test]
fn levels_and_withdrawals_come_through_both_fronts() {
    let mut front = front();
    let levels = [("q", (Some(2.5), RetryPolicy::Never)), ("r", (None, RetryPolicy::Twice))];
    let levels = levels.map(|(class, level)| (class.to_string(), level)).into();
    front.table(1, &TableEdit { whole: true, levels, ..lines(&[(0, 1.0), (1, 1.0)]) });
    front.withdrawn(&[("s1".to_string(), true)].into());
    for (p, way) in [Transport::Whole, Transport::Parts].into_iter().enumerate() {
        front.joined(p, newcomer(&format!("f{p}"), way, vec![]));
        front.ordered(p, 1, &binds(true, &[("q", 1), ("r", 1)]));
        let mut peer = Peer::new(way);
        let level = |front: &mut Distributor, peer: &mut Peer| {
            while let Some(out) = front.next(ZERO, p) {
                let (number, _) = peer.take(out);
                front.confirmed(ZERO, p, number);
            }
        };
        level(&mut front, &mut peer);
        assert_eq!(peer.held.admission_limit("q"), Some((Some(2.5), RetryPolicy::Never)));
        assert_eq!(peer.held.admission_limit("r"), Some((None, RetryPolicy::Twice)));
        assert_eq!(peer.view("q"), [("s0".to_string(), 1)]);
    }
}
