//! Subscribers that misbehave, against a planner's process: each is one proxy on a loop of its own, by the program's
//! own side of the protocol.

mod help;

use help::Desk;
use runloom_daemon::client::edit_config;
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER, PROXY};
use runloom_event_loop::{BufferLimits, CloseReason, ConnectionId, EventLoop, IoEvent, Security};
use runloom_model::report::{ClassArrivals, Report, ServerOutcomes};
use runloom_model::{FLEET, STATE};
use runloom_mqtt::client::{Client, ClientEvent, TableFormat};
use runloom_mqtt::{report, ConnectionEnd, ProxyInfo};
use runloom_netconf::tree::Element;
use runloom_versioned_publisher::{Key, Topic, TopicKind, UpdatePart};
use runloom_versioned_publisher::{ReadOutcome, UpdateReader};
use std::time::{Duration, Instant};

/// Far beyond what anything here takes.
const PATIENCE: Duration = Duration::from_secs(40);

struct Subscriber {
    turn: EventLoop,
    conn: ConnectionId,
    client: Client,
    reader: UpdateReader,
    parts: Vec<UpdatePart>,
    /// Whether it confirms what it takes.
    confirms: bool,
    closed: Option<CloseReason>,
}

impl Subscriber {
    /// Dials, greets, and subscribes; `planner` and `proxy` as it says them.
    fn new(desk: &Desk, terms: &TlsPolicy, planner: &str, proxy: &str, reader: UpdateReader) -> Subscriber {
        let mut turn = EventLoop::new().unwrap();
        let security = Security::TlsClient(terms.client_config.clone(), server_name(PLANNER));
        let conn = turn.dial(desk.pubsub, &security, BufferLimits::default()).unwrap();
        let hello =
            ProxyInfo { zone: "a".into(), request_rate: 5.0, has_no_table: reader.topics().next().is_none() };
        let holds = reader.held_versions();
        let client = Client::new(turn.now(), planner, proxy, &hello, TableFormat::Weights, holds);
        Subscriber { turn, conn, client, reader, parts: vec![], confirms: true, closed: None }
    }

    /// Turns until something holds of it.
    fn until(&mut self, what: &str, holds: impl Fn(&Subscriber) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(
                Instant::now() < end,
                "waited for: {what}; over: {:?}, closed: {:?}",
                self.client.end(),
                self.closed
            );
            self.turn(Duration::from_millis(100));
        }
    }

    fn turn(&mut self, span: Duration) {
        let until = self.turn.now() + span;
        for happened in self.turn.wait(Some(until)).unwrap() {
            match happened {
                IoEvent::Bytes { bytes, .. } => {
                    let now = self.turn.now();
                    for told in self.client.receive(now, &bytes) {
                        let ClientEvent::Part { packet_id, part } = told else { continue };
                        let good =
                            matches!(self.reader.read(&part), ReadOutcome::Applied(_) | ReadOutcome::Pending);
                        self.parts.push(part);
                        match (self.confirms, good) {
                            (true, true) => self.client.acknowledge(now, packet_id),
                            (true, false) => self.client.reject(now, packet_id),
                            (false, _) => {}
                        }
                    }
                }
                IoEvent::Closed { reason, .. } => self.closed = Some(reason),
                _ => {}
            }
        }
        let bytes = self.client.output();
        self.turn.write(self.conn, &bytes);
    }

    /// Servers of the table that it is bound to.
    fn servers(&self) -> Vec<String> {
        let binds = self.reader.held(Topic { kind: TopicKind::Assignments, table: 0 });
        let table = binds.and_then(|b| b.state.values().next()?.parse().ok()).unwrap_or_default();
        let held = self.reader.held(Topic { kind: TopicKind::Weights, table });
        let line = |k: &Key| if let Key::Entry(server) = k { Some(server.clone()) } else { None };
        held.into_iter().flat_map(|h| h.state.keys()).filter_map(line).collect()
    }

    fn lists(&self, servers: &[&str]) -> bool {
        self.servers() == servers
    }

    /// Reports a try at a server.
    fn reports(&mut self, server: &str) {
        let met = ServerOutcomes { server: server.into(), attempts: 3, ..ServerOutcomes::default() };
        let came = ClassArrivals { class: "q".into(), requests: 3, unanswered: 0 };
        let report = Report { window: Duration::from_millis(200), outcomes: vec![met], arrivals: vec![came] };
        self.client.send_report(self.turn.now(), report::encode(&report));
    }
}

fn papers(desk: &Desk, proxy: &str) -> TlsPolicy {
    TlsPolicy::load(&desk.issuer.issue(proxy, Some(PROXY)).unwrap()).unwrap()
}

fn listed(desk: &Desk, servers: &[&str]) {
    let one = |name: &&str| {
        let server =
            Element::new(FLEET, "server").with_leaf("name", name).with_leaf("address", "127.0.0.1:9");
        server.with_leaf("zone", "a").with_leaf("mode", "ready")
    };
    let roster = servers.iter().map(one).fold(Element::new(FLEET, "roster"), Element::with);
    desk.client().edit(roster, None).unwrap();
}

fn drain(desk: &Desk, server: &str, id: &str) {
    let word = Element::new(FLEET, "server").with_leaf("name", server).with_leaf("drain", true);
    let edit = edit_config("running", Element::new(FLEET, "fleet").with(word));
    desk.client().ask(edit, Some(id)).unwrap();
}

/// What the planner's state says of an edit.
fn edit_state(desk: &Desk, id: &str) -> String {
    let reply = desk.client().get(Element::new(STATE, "state").with(Element::new(STATE, "edit"))).unwrap();
    let state = reply.child("data").and_then(|d| d.child("state")).cloned().unwrap_or_default();
    let edit = state.named("edit").find(|e| e.text_of("id") == Some(id)).cloned();
    edit.and_then(|e| e.text_of("state").map(str::to_string)).unwrap_or_default()
}

fn is_in_force(desk: &Desk, id: &str, meanwhile: &mut Subscriber) {
    meanwhile.until("the edit is in force", |_| edit_state(desk, id) == "in-force");
}

fn subscribed(name: &str) -> (Desk, TlsPolicy, Subscriber) {
    let desk = Desk::new(name, None);
    listed(&desk, &["s1", "s2", "s3"]);
    let terms = papers(&desk, "f1");
    let mut subscriber = Subscriber::new(&desk, &terms, "p", "f1", UpdateReader::default());
    subscriber.until("its tables", |s| s.lists(&["s1", "s2", "s3"]));
    (desk, terms, subscriber)
}

#[test]
fn who_breaks_off_goes_on_from_what_it_holds_and_a_drain_meanwhile_is_the_first_it_hears() {
    let (desk, terms, first) = subscribed("resume");
    let Subscriber { mut reader, turn, .. } = first;
    drop(turn);
    reader.end_session();
    drain(&desk, "s2", "d");
    let mut again = Subscriber::new(&desk, &terms, "p", "f1", reader);
    again.until("the drain", |s| s.lists(&["s1", "s3"]));
    let tables: Vec<&UpdatePart> =
        again.parts.iter().filter(|p| p.topic.kind == TopicKind::Weights).collect();
    assert!(tables[0].base_version.is_some() && tables[0].changes[0].takes_server_out(), "{tables:?}");
    is_in_force(&desk, "d", &mut again);
}

#[test]
fn a_second_connection_of_one_identity_takes_over_and_the_first_is_told_so() {
    let (desk, terms, mut first) = subscribed("takeover");
    let mut second = Subscriber::new(&desk, &terms, "p", "f1", UpdateReader::default());
    second.until("its tables", |s| s.lists(&["s1", "s2", "s3"]));
    first.until(
        "the word",
        |s| matches!(s.client.end(), Some(ConnectionEnd::Rejected(why)) if why.contains("SessionTakenOver")),
    );
    // The first one's end is not the second one's.
    first.until("the end", |s| s.closed.is_some());
    drain(&desk, "s1", "d");
    second.until("the drain", |s| s.lists(&["s2", "s3"]));
    is_in_force(&desk, "d", &mut second);
}

#[test]
fn another_planners_tables_and_anothers_name_are_refused() {
    let (desk, terms, _) = subscribed("strangers");
    let mut other = Subscriber::new(&desk, &terms, "q", "f1", UpdateReader::default());
    other.until(
        "no",
        |s| matches!(s.client.end(), Some(ConnectionEnd::Rejected(why)) if why.contains("NotAuthorized")),
    );
    let mut liar = Subscriber::new(&desk, &terms, "p", "f2", UpdateReader::default());
    liar.until(
        "no",
        |s| matches!(s.client.end(), Some(ConnectionEnd::Rejected(why)) if why.contains("ClientIdentifier")),
    );
    let staff = Subscriber::new(&desk, &desk.terms.clone(), "p", "staff", UpdateReader::default());
    let mut staff = staff;
    staff.until("no", |s| s.closed.is_some());
    assert!(staff.parts.is_empty() && other.parts.is_empty() && liar.parts.is_empty());
}

/// It takes the drain, and the planner dies before its word: the planner that comes next publishes under another epoch,
/// without the server, and knows the edit.
#[test]
fn a_planner_that_dies_between_a_drain_and_its_confirmation_tells_it_again() {
    let (mut desk, terms, mut subscriber) = subscribed("restart");
    subscriber.confirms = false;
    drain(&desk, "s2", "d");
    subscriber.until("the drain", |s| s.lists(&["s1", "s3"]));
    let epoch = subscriber.parts.last().unwrap().epoch;
    desk.restart();
    subscriber.until("the end", |s| s.closed.is_some());
    let mut reader = subscriber.reader;
    reader.end_session();
    let mut again = Subscriber::new(&desk, &terms, "p", "f1", reader);
    again.until("the tables of the next start", |s| {
        s.parts.iter().any(|p| p.topic.kind == TopicKind::Assignments)
    });
    assert!(again.parts.iter().all(|p| p.epoch > epoch && p.base_version.is_none()), "{:?}", again.parts);
    assert!(again.lists(&["s1", "s3"]), "{:?}", again.servers());
    assert_ne!(edit_state(&desk, "d"), "");
}

#[test]
fn one_that_confirms_nothing_is_let_go_and_does_not_hold_up_a_drain() {
    let (desk, _, mut mute) = subscribed("mute");
    mute.confirms = false;
    let terms = papers(&desk, "f2");
    let mut other = Subscriber::new(&desk, &terms, "p", "f2", UpdateReader::default());
    other.until("its tables", |s| s.lists(&["s1", "s2", "s3"]));
    drain(&desk, "s3", "d");
    other.until("the drain", |s| s.lists(&["s1", "s2"]));
    mute.until("the end", |s| s.closed.is_some());
    is_in_force(&desk, "d", &mut other);
}

/// It confirms that a server is out and goes on trying it, as its reports say: told its tables anew, then let go.
#[test]
fn one_that_confirms_and_does_not_apply_is_found_by_its_reports() {
    let (desk, _, mut liar) = subscribed("liar");
    drain(&desk, "s3", "d");
    liar.until("the drain", |s| s.lists(&["s1", "s2"]));
    is_in_force(&desk, "d", &mut liar);
    let told = liar.parts.len();
    let end = Instant::now() + PATIENCE;
    let anew = |s: &Subscriber| {
        s.parts[told..].iter().any(|p| p.topic.kind == TopicKind::Weights && p.base_version.is_none())
    };
    while liar.closed.is_none() && Instant::now() < end {
        liar.reports("s3");
        liar.turn(Duration::from_millis(200));
        assert!(liar.closed.is_none() || anew(&liar), "it is told anew before it is let go");
    }
    assert!(liar.closed.is_some() && anew(&liar));
}

/// An edit of a fact starts the decisions over: the same stream goes on under another epoch, and an edit after it comes
/// in force.
#[test]
fn new_facts_start_tables_over_on_the_same_stream() {
    let (desk, _, mut subscriber) = subscribed("facts");
    let epoch = subscriber.parts.last().unwrap().epoch;
    let grace = Element::new(FLEET, "grace").with_leaf("drain-ms", 2500);
    desk.client().edit(Element::new(FLEET, "fleet").with(grace), None).unwrap();
    subscriber.until("another epoch", |s| {
        s.parts.last().is_some_and(|p| p.epoch > epoch && p.topic.kind == TopicKind::Assignments)
    });
    assert!(subscriber.closed.is_none() && subscriber.lists(&["s1", "s2", "s3"]));
    drain(&desk, "s2", "d");
    subscriber.until("the drain", |s| s.lists(&["s1", "s3"]));
    is_in_force(&desk, "d", &mut subscriber);
}
