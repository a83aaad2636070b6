//! Who may do what by SPIFFE identities, over sockets, and what becomes of streams whose identity ends.

mod help;

use help::Desk;
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER, PROXY};
use runloom_event_loop::{BufferLimits, EventLoop, IoEvent, Security};
use runloom_identity::access::{Permission, Principal, Rule};
use runloom_model::proxy_settings::{ProxySettings, TableDelivery as Front};
use runloom_model::tls_files::TlsFiles;
use runloom_model::traffic_class::{ClassSettings, RetrySafety};
use runloom_model::FLEET;
use runloom_mqtt::client::{Client as Subscription, ClientEvent, TableFormat};
use runloom_mqtt::ProxyInfo;
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::world::read_metrics;
use std::time::{Duration, Instant};

const HOUR: i64 = 3600;
const PATIENCE: Duration = Duration::from_secs(40);
const OWN: &str = "spiffe://valle.example/planner/p";

const RULES: &str = "<may><whom>spiffe://valle.example/proxy/*</whom><join/></may>\
    <may><whom>spiffe://valle.example/staff/*</whom><read>*</read></may>\
    <may><whom>spiffe://valle.example/staff/lead</whom><kill/><write>fleet</write></may>\
    <may><whom>spiffe://valle.example/feed</whom><write>roster</write></may>";

/// Papers that take one planner for theirs.
fn trusting(papers: TlsFiles, planner: &str) -> TlsFiles {
    let rules = vec![Rule { whom: Principal::read(planner).unwrap(), may: Permission::Order }];
    TlsFiles { rules, ..papers }
}

fn desk(name: &str, seconds: i64) -> Desk {
    let papers = |issuer: &Issuer| issuer.identity("p", OWN, seconds, |_| {}).unwrap();
    let staff = |issuer: &Issuer| {
        trusting(issuer.identity("lead", "spiffe://valle.example/staff/lead", HOUR, |_| {}).unwrap(), OWN)
    };
    Desk::by(name, None, papers, staff, RULES)
}

fn word(name: &str) -> Element {
    let server = Element::new(FLEET, "server").with_leaf("name", name).with_leaf("weight", 0.5);
    Element::new(FLEET, "fleet").with(server)
}

fn listed(name: &str) -> Element {
    let server = Element::new(FLEET, "server").with_leaf("name", name).with_leaf("address", "127.0.0.1:9");
    Element::new(FLEET, "roster").with(server.with_leaf("zone", "a").with_leaf("mode", "ready"))
}

/// Whether a subscriber of these papers is let in under a name.
fn joins(desk: &Desk, papers: &TlsFiles, name: &str) -> bool {
    let Ok(terms) = TlsPolicy::load(papers) else { return false };
    let mut turn = EventLoop::new().unwrap();
    let security = Security::TlsClient(terms.client_config.clone(), server_name(PLANNER));
    let conn = turn.dial(desk.pubsub, &security, BufferLimits::default()).unwrap();
    let hello = ProxyInfo { zone: "a".into(), request_rate: 1.0, has_no_table: true };
    let mut client = Subscription::new(turn.now(), "p", name, &hello, TableFormat::Weights, vec![]);
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        for happened in turn.wait(Some(turn.now() + Duration::from_millis(50))).unwrap() {
            match happened {
                IoEvent::Bytes { bytes, .. }
                    if client.receive(turn.now(), &bytes).contains(&ClientEvent::Connected) =>
                {
                    return true;
                }
                IoEvent::Closed { .. } => return false,
                _ => {}
            }
        }
        if client.end().is_some() {
            return false;
        }
        let bytes = client.output();
        turn.write(conn, &bytes);
    }
    panic!("neither in nor out");
}

/// Thirteen certificates and six wishes: read, edit the fleet, edit the roster, end a session, join under one's own name
/// and under another's. What is refused changes nothing, and is counted.
#[test]
fn each_certificate_may_do_what_its_identity_may() {
    let desk = desk("matrix", HOUR);
    let issue = |name: &str, id: &str| desk.issuer.identity(name, id, HOUR, |_| {}).unwrap();
    let of = |path: &str| format!("spiffe://valle.example/{path}");
    let two = |p: &mut rcgen::CertificateParams| {
        p.subject_alt_names
            .push(rcgen::SanType::URI("spiffe://valle.example/staff/lead".try_into().unwrap()));
    };
    let ca = |p: &mut rcgen::CertificateParams| {
        p.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    };
    let later = |p: &mut rcgen::CertificateParams| {
        p.not_before = (std::time::SystemTime::now() + Duration::from_secs(1800)).into();
    };
    let lead = of("staff/lead");
    let with = |name: &str, seconds: i64, change: &dyn Fn(&mut rcgen::CertificateParams)| {
        desk.issuer.identity(name, &lead, seconds, |p| change(p)).unwrap()
    };
    let strangers = Issuer::new(&desk.folder.0.join("strangers")).unwrap();
    let cases = [
        ("lead", issue("c-lead", &lead), "ooxoxx"),
        ("staff", issue("c-staff", &of("staff/new")), "oxxxxx"),
        ("feed", issue("c-feed", &of("feed")), "oxoxxx"),
        ("f1", issue("c-f1", &of("proxy/f1")), "xxxxox"),
        ("f1", issue("c-deep", &of("proxy/x/f1")), "xxxxxx"),
        ("p", issue("c-planner", OWN), "xxxxxx"),
        ("x", issue("c-other", &of("other/x")), "xxxxxx"),
        ("lead", issue("c-domain", "spiffe://other.example/staff/lead"), "xxxxxx"),
        ("lead", with("c-two", HOUR, &two), "xxxxxx"),
        ("lead", with("c-ended", -10, &|_| {}), "xxxxxx"),
        ("lead", with("c-later", HOUR, &later), "xxxxxx"),
        ("lead", with("c-authority", HOUR, &ca), "xxxxxx"),
        ("f1", desk.issuer.issue("c-dns", Some(PROXY)).unwrap(), "xxxxxx"),
        ("lead", strangers.identity("c-stranger", &lead, HOUR, |_| {}).unwrap(), "xxxxxx"),
    ];
    let mut seen = 0;
    for (k, (name, papers, expected)) in cases.iter().enumerate() {
        let terms = TlsPolicy::load(&trusting(papers.clone(), OWN));
        // Papers that are none are refused by one's own side already: with the names of old they reach the planner's.
        let terms = terms.or_else(|_| TlsPolicy::load(papers)).unwrap();
        let ask = |operation: Element| {
            let client = Client::open(desk.at, &terms, Duration::from_secs(10));
            client.and_then(|mut client| client.ask(operation, None)).map_err(|e| e.to_string())
        };
        let source = Element::new(BASE, "source").with(Element::new(BASE, "running"));
        let kill = Element::new(BASE, "kill-session").with(Element::leaf(BASE, "session-id", 999_999));
        let wishes = [
            ask(Element::new(BASE, "get-config").with(source)).is_ok(),
            ask(edit_config("running", word(&format!("w{k}")))).is_ok(),
            ask(edit_config("running", listed(&format!("l{k}")))).is_ok(),
            // There is no such session: who may end one learns that.
            ask(kill).is_err_and(|why| why.contains("invalid-value")),
            joins(&desk, &trusting(papers.clone(), OWN), name),
            joins(&desk, &trusting(papers.clone(), OWN), "f2"),
        ];
        let told: String = wishes.iter().map(|well| if *well { 'o' } else { 'x' }).collect();
        assert_eq!(&told, expected, "{name}, case {k}");
        seen += wishes.len();
    }
    assert!(seen >= 60);
    // Nothing that was refused is there.
    let reply = {
        let source = Element::new(BASE, "source").with(Element::new(BASE, "running"));
        desk.client().ask(Element::new(BASE, "get-config").with(source), None).unwrap()
    };
    let names = |part: &str| -> Vec<String> {
        let data = reply.child("data").and_then(|d| d.child(part)).cloned().unwrap_or_default();
        data.named("server").filter_map(|s| s.text_of("name").map(str::to_string)).collect()
    };
    assert_eq!((names("fleet"), names("roster")), (vec!["w0".to_string()], vec!["l2".to_string()]));
    let metrics = read_metrics(desk.metrics).unwrap();
    assert!(metrics["runloom_not_allowed_total"] >= 10.0, "{metrics:?}");
}

/// A forwarder on a loop of its own.
struct Proxy {
    turn: EventLoop,
    forwarder: ProxyRuntime,
}

impl Proxy {
    fn new(desk: &Desk, front: Front, papers: TlsFiles) -> Proxy {
        let class = ClassSettings {
            name: "q".into(),
            priority_weight: 1.0,
            latency_objective: Duration::from_millis(500),
            deadline: Duration::from_millis(900),
            retry_safety: RetrySafety::Safe,
        };
        let stand = ProxySettings {
            name: "f1".into(),
            zone: "a".into(),
            listen_address: "127.0.0.1:0".parse().unwrap(),
            table_delivery: front,
            planner_addresses: vec![if front == Front::Edits { desk.home } else { desk.pubsub }],
            tls: papers,
            selection: "chance".into(),
            circuit_breaker_failures: 3,
            circuit_breaker_open: Duration::from_secs(4),
            report_period: Duration::from_millis(500),
            classes: vec![class],
            static_servers: vec![("own".into(), "127.0.0.1:9".parse().unwrap())],
        };
        let mut turn = EventLoop::new().unwrap();
        let (forwarder, _) = ProxyRuntime::start(&mut turn, stand, 3).unwrap();
        Proxy { turn, forwarder }
    }

    fn run(&mut self, span: Duration) {
        let until = self.turn.now() + span;
        while self.turn.now() < until {
            let wake = self.forwarder.wakes_at().map_or(until, |at| at.min(until));
            for happened in self.turn.wait(Some(wake)).unwrap() {
                self.forwarder.handle_event(&mut self.turn, happened);
            }
            self.forwarder.run_due_tasks(&mut self.turn);
        }
    }

    fn until(&mut self, what: &str, holds: impl Fn(&Proxy) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            let held = self.servers();
            assert!(
                Instant::now() < end,
                "waited for: {what}; {held:?}, joined {}",
                self.forwarder.is_connected()
            );
            self.run(Duration::from_millis(50));
        }
    }

    fn servers(&self) -> Vec<String> {
        self.forwarder.proxy().tables().entries("q").into_iter().map(|l| l.server).collect()
    }

    fn lists(&self, servers: &[&str]) -> bool {
        self.servers() == servers
    }
}

fn fleet(desk: &Desk) {
    let feed = desk.issuer.identity("feed", "spiffe://valle.example/feed", HOUR, |_| {}).unwrap();
    let terms = TlsPolicy::load(&trusting(feed, OWN)).unwrap();
    let mut client = Client::open(desk.at, &terms, PATIENCE).unwrap();
    ["s1", "s2", "s3"].iter().for_each(|name| _ = client.edit(listed(name), None).unwrap());
}

fn drain(desk: &Desk, server: &str) {
    let word = Element::new(FLEET, "server").with_leaf("name", server).with_leaf("drain", true);
    desk.client().edit(Element::new(FLEET, "fleet").with(word), None).unwrap();
}

/// A planner with a good certificate that is not this forwarder's: none of its orders changes the tables.
#[test]
fn a_planner_that_is_not_its_own_orders_nothing() {
    let desk = desk("wrong", HOUR);
    fleet(&desk);
    for front in [Front::Edits, Front::Weights] {
        let papers = desk.issuer.identity("f1", "spiffe://valle.example/proxy/f1", HOUR, |_| {}).unwrap();
        for other in [
            "spiffe://valle.example/planner/q",
            "spiffe://other.example/planner/p",
            "spiffe://valle.example/planner",
        ] {
            let mut proxy = Proxy::new(&desk, front, trusting(papers.clone(), other));
            let before = format!("{:?}", proxy.forwarder.proxy().tables());
            proxy.run(Duration::from_millis(700));
            assert_eq!(format!("{:?}", proxy.forwarder.proxy().tables()), before, "{front:?} {other}");
            assert!(!proxy.forwarder.is_connected());
        }
        let mut proxy = Proxy::new(&desk, front, trusting(papers, OWN));
        proxy.until("its own planner's tables", |p| p.lists(&["s1", "s2", "s3"]));
    }
}

/// Either side's identity ends in the middle of a stream: the stream ends, tables stay, and both go on once there is a
/// new one, without a restart.
#[test]
fn a_stream_ends_with_either_identity_and_comes_back_with_the_next() {
    // Long enough for a slow machine to come to the tables.
    const SOON: i64 = 14;
    std::thread::scope(|scope| {
        for (name, front, planner_lives, proxy_lives) in [
            ("ends-p", Front::Edits, SOON, HOUR),
            ("ends-f", Front::Weights, HOUR, SOON),
            ("ends-e", Front::Edits, HOUR, SOON),
        ] {
            scope.spawn(move || ends(name, front, planner_lives, proxy_lives));
        }
    });
}

fn ends(name: &str, front: Front, planner_lives: i64, proxy_lives: i64) {
    let desk = desk(name, planner_lives);
    let identity = "spiffe://valle.example/proxy/f1";
    fleet(&desk);
    let papers = desk.issuer.identity("f1", identity, proxy_lives, |_| {}).unwrap();
    // Ends are whole seconds. Before that a stream is made anew: not joined for a moment is no end.
    let lives = planner_lives.min(proxy_lives) as u64;
    let over = Instant::now() + Duration::from_secs(lives + 1);
    let mut proxy = Proxy::new(&desk, front, trusting(papers, OWN));
    proxy.until("its tables", |p| p.lists(&["s1", "s2", "s3"]) && p.forwarder.is_connected());
    proxy.until("the end", |p| !p.forwarder.is_connected() && Instant::now() >= over);
    proxy.run(Duration::from_millis(500));
    assert!(proxy.lists(&["s1", "s2", "s3"]), "{name}: tables stay");
    assert!(!proxy.forwarder.is_connected(), "{name}: joined with an identity that is over");
    // Under the same names, as an issuer's agent puts them there.
    desk.issuer.identity("p", OWN, HOUR, |_| {}).unwrap();
    desk.issuer.identity("f1", identity, HOUR, |_| {}).unwrap();
    proxy.until("joined again", |p| p.forwarder.is_connected());
    let end = Instant::now() + PATIENCE;
    while Client::open(desk.at, &desk.terms, Duration::from_secs(5)).is_err() && Instant::now() < end {}
    drain(&desk, "s2");
    proxy.until("the drain", |p| p.lists(&["s1", "s3"]));
}

/// A key that others may read, a certificate that is no identity, files that do not go together: not started with, and
/// not taken while running.
#[test]
fn papers_that_cannot_be_used_are_refused_and_do_not_replace_those_in_force() {
    let desk = desk("papers", HOUR);
    let papers =
        trusting(desk.issuer.identity("x", "spiffe://valle.example/staff/x", HOUR, |_| {}).unwrap(), OWN);
    let mut terms = TlsPolicy::load(&papers).unwrap();
    let own = terms.own_identity().unwrap();
    assert!(!terms.reload().unwrap());
    let write = |path: &std::path::Path, text: &[u8]| std::fs::write(path, text).unwrap();
    let (certificate, key) =
        (std::fs::read(&papers.certificate).unwrap(), std::fs::read(&papers.key).unwrap());
    write(&papers.certificate, &certificate[..certificate.len() / 2]);
    assert!(terms.reload().is_err(), "half of a file");
    write(&papers.certificate, &certificate);
    let others = std::fs::read(desk.issuer.identity("y", OWN, HOUR, |_| {}).unwrap().key).unwrap();
    write(&papers.key, &others);
    assert!(terms.reload().is_err(), "another's key");
    assert_eq!(terms.own_identity().unwrap(), own);
    write(&papers.key, &key);
    assert!(terms.reload().unwrap());
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&papers.key, std::fs::Permissions::from_mode(0o644)).unwrap();
    assert!(TlsPolicy::load(&papers).err().unwrap().to_string().contains("others may read"));
    let names = trusting(desk.issuer.issue("z", None).unwrap(), OWN);
    assert!(TlsPolicy::load(&names).err().unwrap().to_string().contains("URIs"));
}

/// Authorities change one after the other: an identity of the old one holds while that is trusted, ends with it, and one
/// of the new one takes its place; the forwarder's other side trusts only the new one all along.
#[test]
fn an_authority_that_is_struck_ends_its_streams_and_the_next_one_carries_on() {
    let mut trust = None;
    let papers = |new: &Issuer| {
        let papers = new.identity("p", OWN, HOUR, |_| {}).unwrap();
        let old = Issuer::new(&papers.certificate.parent().unwrap().join("old")).unwrap();
        let both = papers.trust.with_file_name("both.pem");
        let old_f1 = old.identity("f1", "spiffe://valle.example/proxy/f1", HOUR, |_| {}).unwrap();
        let text = [std::fs::read(&papers.trust).unwrap(), std::fs::read(&old_f1.trust).unwrap()].concat();
        std::fs::write(&both, text).unwrap();
        trust = Some((both.clone(), papers.trust.clone(), old_f1));
        TlsFiles { trust: both, ..papers }
    };
    let staff = |new: &Issuer| {
        trusting(new.identity("lead", "spiffe://valle.example/staff/lead", HOUR, |_| {}).unwrap(), OWN)
    };
    let desk = Desk::by("struck", None, papers, staff, RULES);
    let (both, new_alone, old_f1) = trust.unwrap();
    fleet(&desk);
    let mine = TlsFiles { trust: new_alone.clone(), ..trusting(old_f1.clone(), OWN) };
    let mut proxy = Proxy::new(&desk, Front::Weights, mine);
    proxy.until("its tables", |p| p.lists(&["s1", "s2", "s3"]) && p.forwarder.is_connected());
    // Half of the fleet has the new bundle and half the old one: neither side minds.
    proxy.run(Duration::from_millis(1200));
    assert!(proxy.forwarder.is_connected());
    let streams = proxy.forwarder.session_count();
    std::fs::copy(&new_alone, &both).unwrap();
    proxy.until("the end", |p| !p.forwarder.is_connected());
    assert!(proxy.lists(&["s1", "s2", "s3"]));
    // The issuer's agent puts an identity of the new authority where the old one was.
    let next = desk.issuer.identity("f1", "spiffe://valle.example/proxy/f1", HOUR, |_| {}).unwrap();
    for (from, to) in [(&next.key, &old_f1.key), (&next.certificate, &old_f1.certificate)] {
        std::fs::rename(from, to).unwrap();
    }
    proxy.until("joined again", |p| p.forwarder.is_connected() && p.forwarder.session_count() > streams);
    drain(&desk, "s2");
    proxy.until("the drain", |p| p.lists(&["s1", "s3"]));
}
