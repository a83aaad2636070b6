use super::distributor::REJECTION_LIMIT;
use super::suspicion::Verdict;
use super::*;
use proptest::prelude::*;
use runloom_controller::RetryPolicy;
use runloom_model::schema_derivation::derive_schema;
use runloom_model::table_update::{AdmissionLimit, EntryEdit, TableEdit, UpdateMessage};
use runloom_model::{Schema, PROXY_XSD};
use runloom_netconf::edit::{apply, ErrorOption, Operation as EditOperation};
use runloom_netconf::tree::Element;
use runloom_proxy::published_tables::tables_after_update;
use runloom_proxy::RouteTables;
use runloom_versioned_publisher::{
    HeldVersion, ReadOutcome, Topic, TopicFilter, TopicKind, UpdateReader, MAX_IN_FLIGHT,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
const CLASSES: [&str; 2] = ["q", "r"];

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn pending_proxy(name: &str, transport: Transport, held_versions: Vec<(Topic, HeldVersion)>) -> PendingProxy {
    PendingProxy {
        connection: 1,
        name: name.into(),
        zone: "a".into(),
        request_rate: 1.0,
        has_no_table: true,
        transport,
        filters: vec![TopicFilter::ALL],
        held_versions,
    }
}

fn distributor() -> Distributor {
    Distributor::new(1, secs(2), secs(1))
}

/// An edit that sets the weights of servers by number; 0 removes the entry.
fn weights(weights: &[(usize, f64)]) -> TableEdit {
    let entry = |(k, w): &(usize, f64)| {
        (format!("s{k}"), EntryEdit { address: format!("127.0.0.1:{}", k + 1), weight: *w })
    };
    TableEdit { entries: weights.iter().map(entry).collect(), ..TableEdit::default() }
}

/// A message that assigns classes to tables.
fn assignments(replaces_all: bool, assignments: &[(&str, u16)]) -> UpdateMessage {
    let assignments = assignments.iter().map(|(class, table)| (class.to_string(), *table)).collect();
    UpdateMessage { replaces_all, assignments, ..UpdateMessage::default() }
}

/// Delivers all outstanding messages to a proxy, and acknowledges each immediately.
fn acknowledge_all(distributor: &mut Distributor, proxy: usize, now: Duration) {
    while let Some(outgoing) = distributor.next_message(now, proxy) {
        let (OutgoingMessage::Edit { number, .. } | OutgoingMessage::Part { number, .. }) = outgoing;
        distributor.acknowledge(now, proxy, number);
    }
}

/// The receiving proxy, which applies messages with the product's own code for each transport.
struct Peer {
    transport: Transport,
    schema: Schema,
    data: Arc<Element>,
    reader: UpdateReader,
    tables: RouteTables,
    is_connected: bool,
    in_flight: VecDeque<OutgoingMessage>,
}

impl Peer {
    fn new(transport: Transport) -> Peer {
        let schema = Schema::root(derive_schema(PROXY_XSD, &["tables"]).unwrap());
        let data = Arc::new(Element::new("", "data"));
        Peer {
            transport,
            schema,
            data,
            reader: UpdateReader::default(),
            tables: RouteTables::default(),
            is_connected: false,
            in_flight: VecDeque::new(),
        }
    }

    /// Applies a message. Returns its number, and its topic if the message could not be applied.
    fn apply(&mut self, outgoing: OutgoingMessage) -> (u64, Option<Topic>) {
        match outgoing {
            OutgoingMessage::Edit { number, text, .. } => {
                let rpc = Element::parse(&text).unwrap();
                let config = rpc.child("config").unwrap();
                let applied =
                    apply(&self.schema, &self.data, config, EditOperation::Merge, ErrorOption::StopOnError);
                assert!(applied.errors.is_empty(), "{:?} in {text}", applied.errors);
                self.data = applied.tree;
                let tables = self.data.child("tables").map(|tables| RouteTables::read(tables).unwrap());
                self.tables = tables.unwrap_or_default();
                (number, None)
            }
            OutgoingMessage::Part { number, mut part } => {
                if part.topic.kind == TopicKind::Assignments {
                    part.topic.table = 0;
                }
                match self.reader.read(&part) {
                    ReadOutcome::Applied(_) => {
                        if let Some(tables) = tables_after_update(&mut self.reader, part.topic).unwrap() {
                            self.tables = tables;
                        }
                        (number, None)
                    }
                    ReadOutcome::Pending | ReadOutcome::Stale => (number, None),
                    ReadOutcome::NeedsSnapshot => (number, Some(part.topic)),
                }
            }
        }
    }

    /// Servers and weights by which the proxy distributes the requests of a class.
    fn entries(&self, class: &str) -> Vec<(String, u64)> {
        let entries = self.tables.entries(class).into_iter();
        let mut entries: Vec<_> = entries.map(|entry| (entry.server, entry.weight as u64)).collect();
        entries.sort();
        entries
    }
}

#[derive(Debug, Clone)]
enum Operation {
    /// Sets weights of servers in a table (0 removes the entry), or replaces the table. Server 0 always stays.
    UpdateTable {
        table: u16,
        replace: bool,
        weights: Vec<(usize, u64)>,
    },
    /// Assigns a proxy's class to a table.
    Assign {
        proxy: usize,
        class: usize,
        table: u16,
    },
    /// Issues a command without changes, only to be acknowledged.
    RequestAck(usize),
    /// Sends a proxy (first field) up to this many messages (second field).
    Send(usize, usize),
    /// Has a proxy (first field) receive up to this many messages (second field).
    Receive(usize, usize),
    Disconnect(usize),
    Connect(usize),
    /// Restarts the distributor with a new epoch.
    Restart,
}

fn operation() -> impl Strategy<Value = Operation> {
    let entry = || (1usize..300, 0u64..4);
    let entries =
        prop_oneof![4 => prop::collection::vec(entry(), 1..6), 1 => prop::collection::vec(entry(), 150..300)];
    let proxy = || 0usize..3;
    prop_oneof![
        6 => (1u16..4, prop::bool::weighted(0.1), entries).prop_map(|(table, replace, weights)| Operation::UpdateTable { table, replace, weights }),
        3 => (proxy(), 0usize..2, 1u16..4).prop_map(|(proxy, class, table)| Operation::Assign { proxy, class, table }),
        1 => proxy().prop_map(Operation::RequestAck),
        6 => (proxy(), 1usize..9).prop_map(|(p, n)| Operation::Send(p, n)),
        6 => (proxy(), 1usize..9).prop_map(|(p, n)| Operation::Receive(p, n)),
        1 => proxy().prop_map(Operation::Disconnect),
        1 => proxy().prop_map(Operation::Connect),
        1 => Just(Operation::Restart),
    ]
}

/// Weight of each server of a table, by the server's number.
type Weights = BTreeMap<usize, u64>;

/// Tables and assignments as published at one time.
#[derive(Clone)]
struct State {
    tables: BTreeMap<u16, Weights>,
    /// Table of each class, for each proxy.
    assignments: [BTreeMap<usize, u16>; 3],
}

/// A distributor with three proxies, and all states that it published since the start.
struct Model {
    distributor: Distributor,
    peers: Vec<Peer>,
    states: Vec<State>,
    /// Index in `states` at which each command was issued, for each proxy. Tokens start at 1.
    commands: [Vec<usize>; 3],
    /// Token of the newest command in force at each proxy; 0 if there is none.
    in_force: [u64; 3],
}

impl Model {
    fn new() -> Model {
        let peers = [Transport::Edits, Transport::Published, Transport::Published].map(Peer::new).into();
        let state = State { tables: BTreeMap::new(), assignments: Default::default() };
        let mut model = Model {
            distributor: distributor(),
            peers,
            states: vec![state],
            commands: Default::default(),
            in_force: [0; 3],
        };
        model.publish_tables();
        (0..3).for_each(|p| model.connect(p));
        model
    }

    /// Appends a copy of the newest state and returns it to be changed.
    fn new_state(&mut self) -> &mut State {
        let last = self.states.last().unwrap().clone();
        self.states.push(last);
        self.states.last_mut().unwrap()
    }

    /// Publishes tables 1 to 3.
    fn publish_tables(&mut self) {
        for table in 1..4u16 {
            self.new_state().tables.insert(table, [(0, 1)].into());
            self.distributor.update_table(table, &TableEdit { replaces_table: true, ..weights(&[(0, 1.0)]) });
        }
    }

    fn issue_command(&mut self, p: usize, message: &UpdateMessage) {
        let at = self.states.len() - 1;
        self.commands[p].push(at);
        self.distributor.issue_command(p, self.commands[p].len() as u64, message);
    }

    fn assign(&mut self, p: usize, replaces_all: bool, class: &[(usize, u16)]) {
        class.iter().for_each(|(c, t)| _ = self.new_state().assignments[p].insert(*c, *t));
        let class: Vec<(&str, u16)> = class.iter().map(|(c, t)| (CLASSES[*c], *t)).collect();
        self.issue_command(p, &assignments(replaces_all, &class));
    }

    fn connect(&mut self, p: usize) {
        let peer = &mut self.peers[p];
        (peer.is_connected, peer.in_flight) = (true, VecDeque::new());
        peer.reader.end_session();
        let pending = pending_proxy(&format!("f{p}"), peer.transport, peer.reader.held_versions());
        self.distributor.connect(p, pending);
        self.commands[p].clear();
        self.in_force[p] = 0;
        self.assign(p, true, &[(0, 1), (1, 2)]);
    }

    fn send(&mut self, p: usize, count: usize) {
        for _ in 0..count {
            let Some(outgoing) = self.distributor.next_message(ZERO, p) else { return };
            self.peers[p].in_flight.push_back(outgoing);
        }
        assert!(self.peers[p].in_flight.len() <= MAX_IN_FLIGHT);
    }

    fn receive(&mut self, p: usize, count: usize) {
        for _ in 0..count {
            let Some(outgoing) = self.peers[p].in_flight.pop_front() else { return };
            let (number, rejected) = self.peers[p].apply(outgoing);
            let newest = match rejected {
                None => self.distributor.acknowledge(ZERO, p, number),
                Some(mut topic) => {
                    topic.table = if topic.kind == TopicKind::Assignments { p as u16 } else { topic.table };
                    self.distributor.reject(ZERO, p, number, topic).newest_in_force
                }
            };
            if let Some(newest) = newest {
                assert!(
                    newest > self.in_force[p],
                    "commands come into force in the order in which they were issued"
                );
                self.in_force[p] = newest;
            }
            self.check_tables(p);
        }
    }

    /// Checks that what the proxy holds was published with or after the newest command in force, and is not empty.
    fn check_tables(&self, p: usize) {
        let Some(number) = self.in_force[p].checked_sub(1) else { return };
        let from = self.commands[p][number as usize];
        for (c, class) in CLASSES.iter().enumerate() {
            let entries = self.peers[p].entries(class);
            assert!(!entries.is_empty(), "proxy {p} has no entry for class {class}");
            let tables: BTreeSet<u16> =
                self.states[from..].iter().filter_map(|s| s.assignments[p].get(&c).copied()).collect();
            let fits = |s: &State| tables.iter().any(|t| entries_of(&s.tables[t]) == entries);
            assert!(
                self.states[from..].iter().any(fits),
                "proxy {p}, class {class}: {entries:?} was not published since the command at index {number}"
            );
        }
    }

    fn run(&mut self, operation: Operation) {
        match operation {
            Operation::UpdateTable { table, replace, weights: mut changes } => {
                changes.sort();
                changes.dedup_by_key(|c| c.0);
                let mut edit: Vec<(usize, f64)> = changes.iter().map(|(k, w)| (*k, *w as f64)).collect();
                let state = self.new_state().tables.entry(table).or_default();
                if replace {
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
                self.distributor
                    .update_table(table, &TableEdit { replaces_table: replace, ..weights(&edit) });
                let last = self.states.last().unwrap().clone();
                for p in 0..3 {
                    if self.peers[p].is_connected && last.assignments[p].values().any(|t| *t == table) {
                        self.issue_command(p, &UpdateMessage::default());
                    }
                }
            }
            Operation::Assign { proxy, class, table } if self.peers[proxy].is_connected => {
                self.assign(proxy, false, &[(class, table)])
            }
            Operation::RequestAck(p) if self.peers[p].is_connected => {
                self.issue_command(p, &UpdateMessage::default())
            }
            Operation::Assign { .. } | Operation::RequestAck(_) => {}
            Operation::Send(p, n) => self.send(p, n),
            Operation::Receive(p, n) => self.receive(p, n),
            Operation::Disconnect(p) => {
                self.distributor.disconnect(p);
                (self.peers[p].is_connected, self.peers[p].in_flight) = (false, VecDeque::new());
            }
            Operation::Connect(p) => self.connect(p),
            Operation::Restart => {
                let epoch = self.distributor.publisher().epoch() + 1;
                self.distributor.restart(epoch, secs(2), secs(1));
                self.publish_tables();
                for p in 0..3 {
                    self.commands[p].clear();
                    self.in_force[p] = 0;
                    if self.peers[p].is_connected {
                        self.assign(p, true, &[(0, 2), (1, 3)]);
                    }
                }
            }
        }
    }
}

/// Entries as [`Peer::entries`] returns them.
fn entries_of(weights: &Weights) -> Vec<(String, u64)> {
    let mut all: Vec<(String, u64)> = weights.iter().map(|(k, w)| (format!("s{k}"), *w)).collect();
    all.sort();
    all
}

proptest! {
    /// For any sequence of operations, with either transport: commands reported as in force are applied, no proxy is
    /// left without an entry, and once changes stop all proxies hold the latest tables.
    #[test]
    fn commands_in_force_are_applied_and_proxies_converge_on_the_latest_tables(operations in prop::collection::vec(operation(), 1..50)) {
        let mut model = Model::new();
        for operation in operations {
            model.run(operation);
        }
        for p in 0..3 {
            if !model.peers[p].is_connected {
                model.connect(p);
            }
            for _ in 0..300 {
                model.receive(p, 9);
                model.send(p, 9);
            }
            prop_assert_eq!(model.in_force[p], model.commands[p].len() as u64, "all commands to proxy {} are in force", p);
            let last = model.states.last().unwrap();
            for (c, class) in CLASSES.iter().enumerate() {
                prop_assert_eq!(model.peers[p].entries(class), entries_of(&last.tables[&last.assignments[p][&c]]), "proxy {}, class {}", p, class);
            }
        }
    }
}

/// Proxies that need the same updates share the text of an edit. A proxy that is behind receives one edit instead of
/// all missed ones.
#[test]
fn edits_are_shared_and_the_backlog_is_conflated() {
    let mut distributor = distributor();
    distributor.update_table(1, &TableEdit { replaces_table: true, ..weights(&[(0, 1.0), (1, 1.0)]) });
    for p in 0..3 {
        distributor.connect(p, pending_proxy(&format!("f{p}"), Transport::Edits, vec![]));
        distributor.issue_command(p, 1, &assignments(true, &[("q", 1)]));
        let Some(OutgoingMessage::Edit { number, text, .. }) = distributor.next_message(ZERO, p) else {
            panic!("no message")
        };
        assert!(text.contains("operation=\"replace\"") && text.contains("<bind><class>q</class>"), "{text}");
        assert_eq!(distributor.acknowledge(ZERO, p, number), Some(1));
    }
    let text = |distributor: &mut Distributor, p| match distributor.next_message(ZERO, p) {
        Some(OutgoingMessage::Edit { text, .. }) => text,
        other => panic!("{other:?}"),
    };
    for k in 0..5 {
        distributor.update_table(1, &weights(&[(0, f64::from(k) + 2.0), (1, if k < 4 { 2.0 } else { 0.0 })]));
        (0..3).for_each(|p| distributor.issue_command(p, 2 + k as u64, &UpdateMessage::default()));
    }
    let texts = [0, 1, 2].map(|p| text(&mut distributor, p));
    assert!(Rc::ptr_eq(&texts[0], &texts[1]) && Rc::ptr_eq(&texts[1], &texts[2]));
    assert!(
        texts[0].contains("remove\"><server>s1<") && texts[0].contains("<weight>6</weight>"),
        "{}",
        texts[0]
    );
    assert!(!texts[0].contains("bind") && distributor.next_message(ZERO, 0).is_none());
    assert_eq!(distributor.acknowledge(ZERO, 0, 2), Some(6), "one message completes all five commands");
    // A command without changes is sent as a message too.
    distributor.issue_command(0, 7, &UpdateMessage::default());
    assert!(text(&mut distributor, 0).contains("<tables"));
    assert_eq!(distributor.acknowledge(ZERO, 0, 3), Some(7));
}

/// A proxy that acknowledges a server's removal but still sends requests to the server is resynced, and disconnected if
/// that does not help. Requests in flight at the removal and single reports do not count.
#[test]
fn a_proxy_that_does_not_apply_what_it_acknowledges_is_resynced_and_then_disconnected() {
    for transport in [Transport::Edits, Transport::Published] {
        let mut distributor = distributor();
        distributor.update_table(1, &TableEdit { replaces_table: true, ..weights(&[(0, 1.0), (1, 1.0)]) });
        distributor.connect(0, pending_proxy("f0", transport, vec![]));
        distributor.issue_command(0, 1, &assignments(true, &[("q", 1)]));
        acknowledge_all(&mut distributor, 0, ZERO);
        distributor.update_table(1, &weights(&[(1, 0.0)]));
        distributor.issue_command(0, 2, &UpdateMessage::default());
        let report = |distributor: &mut Distributor, at, server| {
            distributor.check_report(at, 0, secs(1), [server].into_iter())
        };
        assert_eq!(report(&mut distributor, secs(9), "s1"), Verdict::Trusted, "not acknowledged yet");
        acknowledge_all(&mut distributor, 0, secs(10));
        // Reports count from 3 s after the acknowledgement: 1 s each for the deadline, the tolerance for clocks and
        // late reports, and the report's window.
        assert_eq!(report(&mut distributor, secs(12), "s1"), Verdict::Trusted);
        assert_eq!(report(&mut distributor, secs(13), "s1"), Verdict::Trusted, "first suspicious report");
        assert_eq!(report(&mut distributor, secs(14), "s0"), Verdict::Trusted);
        assert_eq!(
            report(&mut distributor, secs(15), "s1"),
            Verdict::Trusted,
            "first one after an unsuspicious report"
        );
        assert_eq!(report(&mut distributor, secs(16), "s1"), Verdict::Resync);
        let Some(outgoing) = distributor.next_message(secs(16), 0) else { panic!("no resync") };
        let (OutgoingMessage::Edit { number, .. } | OutgoingMessage::Part { number, .. }) = outgoing.clone();
        match outgoing {
            OutgoingMessage::Edit { text, .. } => {
                assert!(text.contains("<tables xmlns=\"urn:runloom:proxy\" xmlns:nc="))
            }
            OutgoingMessage::Part { part, .. } => assert_eq!(part.base_version, None),
        }
        distributor.acknowledge(secs(16), 0, number);
        acknowledge_all(&mut distributor, 0, secs(16));
        assert_eq!(report(&mut distributor, secs(20), "s1"), Verdict::Trusted);
        assert_eq!(report(&mut distributor, secs(21), "s1"), Verdict::Disconnect);
        assert_eq!(distributor.resync_count(), 1);
    }
}

#[test]
fn requests_to_a_server_that_is_back_in_the_table_are_not_suspicious() {
    let mut distributor = distributor();
    distributor.update_table(1, &TableEdit { replaces_table: true, ..weights(&[(0, 1.0), (1, 1.0)]) });
    distributor.connect(0, pending_proxy("f0", Transport::Published, vec![]));
    distributor.issue_command(0, 1, &assignments(true, &[("q", 1)]));

    for (number, weight) in [(2, 0.0), (3, 1.0)] {
        acknowledge_all(&mut distributor, 0, ZERO);
        distributor.update_table(1, &weights(&[(1, weight)]));
        distributor.issue_command(0, number, &UpdateMessage::default());
    }
    acknowledge_all(&mut distributor, 0, ZERO);

    for at in 10..20 {
        assert_eq!(distributor.check_report(secs(at), 0, secs(1), ["s1"].into_iter()), Verdict::Trusted);
    }
}

/// A distributor with one table of four servers. Proxy 0 subscribes to subsets and is assigned to that table.
fn distributor_with_subset_proxy() -> Distributor {
    let mut distributor = distributor();
    let edit = weights(&[(0, 1.0), (1, 0.9), (2, 0.1), (3, 1.1)]);
    distributor.update_table(1, &TableEdit { replaces_table: true, ..edit });
    let filters = vec![
        TopicFilter { kind: Some(TopicKind::Assignments), table: None },
        TopicFilter { kind: Some(TopicKind::Subset), table: None },
        TopicFilter { kind: Some(TopicKind::Ejections), table: None },
    ];
    let subsets = PendingProxy { filters, ..pending_proxy("f0", Transport::Published, vec![]) };
    assert!(subsets.can_apply_tables());
    distributor.connect(0, subsets);
    distributor.issue_command(0, 1, &assignments(true, &[("q", 1)]));
    distributor
}

#[test]
fn subsets_leave_out_low_weights() {
    let mut distributor = distributor_with_subset_proxy();
    let mut peer = Peer::new(Transport::Published);

    while let Some(outgoing) = distributor.next_message(ZERO, 0) {
        let (number, rejected) = peer.apply(outgoing);
        assert_eq!(rejected, None);
        distributor.acknowledge(ZERO, 0, number);
    }

    assert_eq!(peer.entries("q"), [("s0".into(), 1), ("s1".into(), 1), ("s3".into(), 1)]);
}

#[test]
fn a_weight_change_that_leaves_the_subset_unchanged_needs_only_an_acknowledgement() {
    let mut distributor = distributor_with_subset_proxy();
    acknowledge_all(&mut distributor, 0, ZERO);

    distributor.update_table(1, &weights(&[(1, 0.8)]));
    distributor.issue_command(0, 2, &UpdateMessage::default());

    let Some(OutgoingMessage::Part { part, number }) = distributor.next_message(ZERO, 0) else {
        panic!("no message")
    };
    assert!(part.topic.kind == TopicKind::Assignments && part.changes.is_empty());
    assert_eq!(distributor.acknowledge(ZERO, 0, number), Some(2));
}

#[test]
fn a_proxy_that_rejects_every_message_is_disconnected() {
    let mut distributor = distributor_with_subset_proxy();
    acknowledge_all(&mut distributor, 0, ZERO);
    distributor.update_table(1, &weights(&[(0, 0.0)]));
    distributor.issue_command(0, 2, &UpdateMessage::default());
    let subset = Topic { kind: TopicKind::Subset, table: 1 };

    let mut verdicts = vec![];
    while let Some(OutgoingMessage::Part { number, .. }) =
        distributor.next_message(ZERO, 0).filter(|_| verdicts.len() < 20)
    {
        verdicts.push(distributor.reject(ZERO, 0, number, subset).verdict);
    }

    assert_eq!(verdicts.iter().position(|v| *v == Verdict::Disconnect), Some(REJECTION_LIMIT as usize));
}

#[test]
fn admission_limits_and_ejections_arrive_over_both_transports() {
    let mut distributor = distributor();
    let limit = |rate, retry_policy| AdmissionLimit { rate, retry_policy };
    let limits = [("q", limit(Some(2.5), RetryPolicy::Never)), ("r", limit(None, RetryPolicy::Twice))];
    let admission_limits = limits.map(|(class, limit)| (class.to_string(), limit)).into();
    distributor.update_table(
        1,
        &TableEdit { replaces_table: true, admission_limits, ..weights(&[(0, 1.0), (1, 1.0)]) },
    );
    distributor.update_ejections(&[("s1".to_string(), true)].into());
    for (p, transport) in [Transport::Edits, Transport::Published].into_iter().enumerate() {
        distributor.connect(p, pending_proxy(&format!("f{p}"), transport, vec![]));
        distributor.issue_command(p, 1, &assignments(true, &[("q", 1), ("r", 1)]));
        let mut peer = Peer::new(transport);

        while let Some(outgoing) = distributor.next_message(ZERO, p) {
            let (number, _) = peer.apply(outgoing);
            distributor.acknowledge(ZERO, p, number);
        }

        assert_eq!(peer.tables.admission_limit("q"), Some(limit(Some(2.5), RetryPolicy::Never)));
        assert_eq!(peer.tables.admission_limit("r"), Some(limit(None, RetryPolicy::Twice)));
        assert_eq!(peer.entries("q"), [("s0".to_string(), 1)]);
    }
}
