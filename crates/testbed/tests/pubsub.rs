//! Subscribers that misbehave, against a planner's process: each is one proxy on a loop of its own, by the program's
//! own side of the protocol.

mod help;

use help::PlannerWithOperator;
use runloom_daemon::client::edit_config;
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER, PROXY};
use runloom_event_loop::{BufferLimits, CloseReason, ConnectionId, EventLoop, IoEvent, Security};
use runloom_model::order::{ClassArrivals, Report, ServerOutcomes};
use runloom_model::{FLEET, STATE};
use runloom_mqtt::client::{Client, SessionEnd, Told, Wish};
use runloom_mqtt::report;
use runloom_mqtt::session::Hello;
use runloom_netconf::tree::Element;
use runloom_versioned_publisher::reader::{ReadOutcome, UpdateReader};
use runloom_versioned_publisher::{Key, Topic, TopicKind, UpdatePart};
use std::time::{Duration, Instant};

/// Far beyond what anything here takes.
const TIMEOUT: Duration = Duration::from_secs(40);

struct Subscriber {
    event_loop: EventLoop,
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
    fn new(
        planner: &PlannerWithOperator,
        policy: &TlsPolicy,
        planner_name: &str,
        proxy: &str,
        reader: UpdateReader,
    ) -> Subscriber {
        let mut event_loop = EventLoop::new().unwrap();
        let security = Security::TlsClient(policy.starts.clone(), server_name(PLANNER));
        let conn = event_loop.dial(planner.addresses.pubsub, &security, BufferLimits::default()).unwrap();
        let hello = Hello { zone: "a".into(), rate: 5.0, fresh: reader.topics().next().is_none() };
        let holds = reader.topics().filter_map(|t| reader.holds(t).map(|(e, v)| (t, e, v))).collect();
        let client = Client::new(event_loop.now(), planner_name, proxy, &hello, Wish::Weights, holds);
        Subscriber { event_loop, conn, client, reader, parts: vec![], confirms: true, closed: None }
    }

    /// Turns until something holds of it.
    fn until(&mut self, what: &str, holds: impl Fn(&Subscriber) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < end,
                "waited for: {what}; over: {:?}, closed: {:?}",
                self.client.over(),
                self.closed
            );
            self.event_loop(Duration::from_millis(100));
        }
    }

    fn event_loop(&mut self, span: Duration) {
        let until = self.event_loop.now() + span;
        for event in self.event_loop.wait(Some(until)).unwrap() {
            match event {
                IoEvent::Bytes { bytes, .. } => {
                    let now = self.event_loop.now();
                    for told in self.client.take(now, &bytes) {
                        let Told::Part(id, part) = told else { continue };
                        let good =
                            matches!(self.reader.take(&part), ReadOutcome::Now(_) | ReadOutcome::Waits);
                        self.parts.push(part);
                        if self.confirms {
                            self.client.answer(now, id, good);
                        }
                    }
                }
                IoEvent::Closed { reason, .. } => self.closed = Some(reason),
                _ => {}
            }
        }
        let bytes = self.client.output();
        self.event_loop.write(self.conn, &bytes);
    }

    /// Servers of the table that it is bound to.
    fn servers(&self) -> Vec<String> {
        let binds = self.reader.held(Topic { kind: TopicKind::Binds, table: 0 });
        let table = binds.and_then(|b| b.state.values().next()?.parse().ok()).unwrap_or_default();
        let held = self.reader.held(Topic { kind: TopicKind::Weights, table });
        let line = |k: &Key| if let Key::Line(server) = k { Some(server.clone()) } else { None };
        held.into_iter().flat_map(|h| h.state.keys()).filter_map(line).collect()
    }

    fn lists(&self, servers: &[&str]) -> bool {
        self.servers() == servers
    }

    /// Reports a try at a server.
    fn reports(&mut self, server: &str) {
        let met = ServerOutcomes { server: server.into(), tries: 3, ..ServerOutcomes::default() };
        let came = ClassArrivals { class: "q".into(), queries: 3, unanswered: 0 };
        let report = Report { span: Duration::from_millis(200), met: vec![met], came: vec![came] };
        self.client.report(self.event_loop.now(), report::write(&report));
    }
}

fn papers(planner: &PlannerWithOperator, proxy: &str) -> TlsPolicy {
    TlsPolicy::load(&planner.issuer.issue(proxy, Some(PROXY)).unwrap()).unwrap()
}

fn listed(planner: &PlannerWithOperator, servers: &[&str]) {
    let one = |name: &&str| {
        let server =
            Element::new(FLEET, "server").with_leaf("name", name).with_leaf("address", "127.0.0.1:9");
        server.with_leaf("zone", "a").with_leaf("mode", "ready")
    };
    let roster = servers.iter().map(one).fold(Element::new(FLEET, "roster"), Element::with);
    planner.client().edit(roster, None).unwrap();
}

fn drain(planner: &PlannerWithOperator, server: &str, id: &str) {
    let word = Element::new(FLEET, "server").with_leaf("name", server).with_leaf("drain", true);
    let edit = edit_config("running", Element::new(FLEET, "fleet").with(word));
    planner.client().ask(edit, Some(id)).unwrap();
}

/// What the planner's state says of an edit.
fn edit_state(planner: &PlannerWithOperator, id: &str) -> String {
    let reply = planner.client().get(Element::new(STATE, "state").with(Element::new(STATE, "edit"))).unwrap();
    let state = reply.child("data").and_then(|d| d.child("state")).cloned().unwrap_or_default();
    let edit = state.named("edit").find(|e| e.text_of("id") == Some(id)).cloned();
    edit.and_then(|e| e.text_of("state").map(str::to_string)).unwrap_or_default()
}

fn is_in_force(planner: &PlannerWithOperator, id: &str, meanwhile: &mut Subscriber) {
    meanwhile.until("the edit is in force", |_| edit_state(planner, id) == "in-force");
}

fn subscribed(name: &str) -> (PlannerWithOperator, TlsPolicy, Subscriber) {
    let planner = PlannerWithOperator::new(name);
    listed(&planner, &["s1", "s2", "s3"]);
    let policy = papers(&planner, "f1");
    let mut subscriber = Subscriber::new(&planner, &policy, "p", "f1", UpdateReader::default());
    subscriber.until("its tables", |s| s.lists(&["s1", "s2", "s3"]));
    (planner, policy, subscriber)
}

#[test]
fn who_breaks_off_goes_on_from_what_it_holds_and_a_drain_meanwhile_is_the_first_it_hears() {
    let (planner, policy, first) = subscribed("resume");
    let Subscriber { mut reader, event_loop, .. } = first;
    drop(event_loop);
    reader.broke();
    drain(&planner, "s2", "d");
    let mut again = Subscriber::new(&planner, &policy, "p", "f1", reader);
    again.until("the drain", |s| s.lists(&["s1", "s3"]));
    let tables: Vec<&UpdatePart> =
        again.parts.iter().filter(|p| p.topic.kind == TopicKind::Weights).collect();
    assert!(tables[0].from.is_some() && tables[0].changes[0].takes_out(), "{tables:?}");
    is_in_force(&planner, "d", &mut again);
}

#[test]
fn a_second_connection_of_one_identity_takes_over_and_the_first_is_told_so() {
    let (planner, policy, mut first) = subscribed("takeover");
    let mut second = Subscriber::new(&planner, &policy, "p", "f1", UpdateReader::default());
    second.until("its tables", |s| s.lists(&["s1", "s2", "s3"]));
    first.until(
        "the word",
        |s| matches!(s.client.over(), Some(SessionEnd::Refused(why)) if why.contains("SessionTakenOver")),
    );
    // The first one's end is not the second one's.
    first.until("the end", |s| s.closed.is_some());
    drain(&planner, "s1", "d");
    second.until("the drain", |s| s.lists(&["s2", "s3"]));
    is_in_force(&planner, "d", &mut second);
}

#[test]
fn another_planners_tables_and_anothers_name_are_refused() {
    let (planner, policy, _) = subscribed("strangers");
    let mut other = Subscriber::new(&planner, &policy, "q", "f1", UpdateReader::default());
    other.until(
        "no",
        |s| matches!(s.client.over(), Some(SessionEnd::Refused(why)) if why.contains("NotAuthorized")),
    );
    let mut liar = Subscriber::new(&planner, &policy, "p", "f2", UpdateReader::default());
    liar.until(
        "no",
        |s| matches!(s.client.over(), Some(SessionEnd::Refused(why)) if why.contains("ClientIdentifier")),
    );
    let staff = Subscriber::new(&planner, &planner.policy.clone(), "p", "staff", UpdateReader::default());
    let mut staff = staff;
    staff.until("no", |s| s.closed.is_some());
    assert!(staff.parts.is_empty() && other.parts.is_empty() && liar.parts.is_empty());
}

/// It takes the drain, and the planner dies before its word: the planner that comes next publishes under another epoch,
/// without the server, and knows the edit.
#[test]
fn a_planner_that_dies_between_a_drain_and_its_confirmation_tells_it_again() {
    let (mut planner, policy, mut subscriber) = subscribed("restart");
    subscriber.confirms = false;
    drain(&planner, "s2", "d");
    subscriber.until("the drain", |s| s.lists(&["s1", "s3"]));
    let epoch = subscriber.parts.last().unwrap().epoch;
    planner.restart();
    subscriber.until("the end", |s| s.closed.is_some());
    let mut reader = subscriber.reader;
    reader.broke();
    let mut again = Subscriber::new(&planner, &policy, "p", "f1", reader);
    again.until("the tables of the next start", |s| s.parts.iter().any(|p| p.topic.kind == TopicKind::Binds));
    assert!(again.parts.iter().all(|p| p.epoch > epoch && p.from.is_none()), "{:?}", again.parts);
    assert!(again.lists(&["s1", "s3"]), "{:?}", again.servers());
    assert_ne!(edit_state(&planner, "d"), "");
}

#[test]
fn one_that_confirms_nothing_is_let_go_and_does_not_hold_up_a_drain() {
    let (planner, _, mut mute) = subscribed("mute");
    mute.confirms = false;
    let policy = papers(&planner, "f2");
    let mut other = Subscriber::new(&planner, &policy, "p", "f2", UpdateReader::default());
    other.until("its tables", |s| s.lists(&["s1", "s2", "s3"]));
    drain(&planner, "s3", "d");
    other.until("the drain", |s| s.lists(&["s1", "s2"]));
    mute.until("the end", |s| s.closed.is_some());
    is_in_force(&planner, "d", &mut other);
}

/// It confirms that a server is out and goes on trying it, as its reports say: told its tables anew, then let go.
#[test]
fn one_that_confirms_and_does_not_apply_is_found_by_its_reports() {
    let (planner, _, mut liar) = subscribed("liar");
    drain(&planner, "s3", "d");
    liar.until("the drain", |s| s.lists(&["s1", "s2"]));
    is_in_force(&planner, "d", &mut liar);
    let told = liar.parts.len();
    let end = Instant::now() + TIMEOUT;
    let anew = |s: &Subscriber| {
        s.parts[told..].iter().any(|p| p.topic.kind == TopicKind::Weights && p.from.is_none())
    };
    while liar.closed.is_none() && Instant::now() < end {
        liar.reports("s3");
        liar.event_loop(Duration::from_millis(200));
        assert!(liar.closed.is_none() || anew(&liar), "it is told anew before it is let go");
    }
    assert!(liar.closed.is_some() && anew(&liar));
}

/// An edit of a fact starts the decisions over: the same stream goes on under another epoch, and an edit after it comes
/// in force.
#[test]
fn new_facts_start_tables_over_on_the_same_stream() {
    let (planner, _, mut subscriber) = subscribed("facts");
    let epoch = subscriber.parts.last().unwrap().epoch;
    let grace = Element::new(FLEET, "grace").with_leaf("drain-ms", 2500);
    planner.client().edit(Element::new(FLEET, "fleet").with(grace), None).unwrap();
    subscriber.until("another epoch", |s| {
        s.parts.last().is_some_and(|p| p.epoch > epoch && p.topic.kind == TopicKind::Binds)
    });
    assert!(subscriber.closed.is_none() && subscriber.lists(&["s1", "s2", "s3"]));
    drain(&planner, "s2", "d");
    subscriber.until("the drain", |s| s.lists(&["s1", "s3"]));
    is_in_force(&planner, "d", &mut subscriber);
}
