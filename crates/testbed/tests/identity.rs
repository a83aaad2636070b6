//! Who may do what by SPIFFE identities, over sockets, and what becomes of streams whose identity ends.

mod help;

use help::PlannerWithOperator;
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER, PROXY};
use runloom_event_loop::{BufferLimits, EventLoop, IoEvent, Security};
use runloom_identity::access::{Permission, Principal, Rule};
use runloom_model::fleet::{Class, Repeats, TlsFiles};
use runloom_model::forwarder::{ProxySettings, TableDelivery as Front};
use runloom_model::FLEET;
use runloom_mqtt::client::{Client as Subscription, Told, Wish};
use runloom_mqtt::session::Hello;
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::planner_process::read_metrics;
use std::time::{Duration, Instant};

const HOUR: i64 = 3600;
const TIMEOUT: Duration = Duration::from_secs(40);
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

fn planner(name: &str, seconds: i64) -> PlannerWithOperator {
    let papers = |issuer: &Issuer| issuer.issue_identity("p", OWN, seconds, |_| {}).unwrap();
    let staff = |issuer: &Issuer| {
        trusting(
            issuer.issue_identity("lead", "spiffe://valle.example/staff/lead", HOUR, |_| {}).unwrap(),
            OWN,
        )
    };
    PlannerWithOperator::with_credentials(name, papers, staff, RULES)
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
fn joins(planner: &PlannerWithOperator, papers: &TlsFiles, name: &str) -> bool {
    let Ok(policy) = TlsPolicy::load(papers) else { return false };
    let mut event_loop = EventLoop::new().unwrap();
    let security = Security::TlsClient(policy.starts.clone(), server_name(PLANNER));
    let conn = event_loop.dial(planner.addresses.pubsub, &security, BufferLimits::default()).unwrap();
    let hello = Hello { zone: "a".into(), rate: 1.0, fresh: true };
    let mut client = Subscription::new(event_loop.now(), "p", name, &hello, Wish::Weights, vec![]);
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        for event in event_loop.wait(Some(event_loop.now() + Duration::from_millis(50))).unwrap() {
            match event {
                IoEvent::Bytes { bytes, .. }
                    if client.take(event_loop.now(), &bytes).contains(&Told::Joined) =>
                {
                    return true;
                }
                IoEvent::Closed { .. } => return false,
                _ => {}
            }
        }
        if client.over().is_some() {
            return false;
        }
        let bytes = client.output();
        event_loop.write(conn, &bytes);
    }
    panic!("neither in nor out");
}

/// Thirteen certificates and six wishes: read, edit the fleet, edit the roster, end a session, join under one's own name
/// and under another's. What is refused changes nothing, and is counted.
#[test]
fn each_certificate_may_do_what_its_identity_may() {
    let planner = planner("matrix", HOUR);
    let issue = |name: &str, id: &str| planner.issuer.issue_identity(name, id, HOUR, |_| {}).unwrap();
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
        planner.issuer.issue_identity(name, &lead, seconds, |p| change(p)).unwrap()
    };
    let strangers = Issuer::new(&planner.folder.0.join("strangers")).unwrap();
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
        ("f1", planner.issuer.issue("c-dns", Some(PROXY)).unwrap(), "xxxxxx"),
        ("lead", strangers.issue_identity("c-stranger", &lead, HOUR, |_| {}).unwrap(), "xxxxxx"),
    ];
    let mut seen = 0;
    for (k, (name, papers, expected)) in cases.iter().enumerate() {
        let policy = TlsPolicy::load(&trusting(papers.clone(), OWN));
        // Papers that are none are refused by one's own side already: with the names of old they reach the planner's.
        let policy = policy.or_else(|_| TlsPolicy::load(papers)).unwrap();
        let ask = |operation: Element| {
            let client = Client::open(planner.addresses.edits, &policy, Duration::from_secs(10));
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
            joins(&planner, &trusting(papers.clone(), OWN), name),
            joins(&planner, &trusting(papers.clone(), OWN), "f2"),
        ];
        let told: String = wishes.iter().map(|well| if *well { 'o' } else { 'x' }).collect();
        assert_eq!(&told, expected, "{name}, case {k}");
        seen += wishes.len();
    }
    assert!(seen >= 60);
    // Nothing that was refused is there.
    let reply = {
        let source = Element::new(BASE, "source").with(Element::new(BASE, "running"));
        planner.client().ask(Element::new(BASE, "get-config").with(source), None).unwrap()
    };
    let names = |part: &str| -> Vec<String> {
        let data = reply.child("data").and_then(|d| d.child(part)).cloned().unwrap_or_default();
        data.named("server").filter_map(|s| s.text_of("name").map(str::to_string)).collect()
    };
    assert_eq!((names("fleet"), names("roster")), (vec!["w0".to_string()], vec!["l2".to_string()]));
    let metrics = read_metrics(planner.addresses.metrics).unwrap();
    assert!(metrics["runloom_not_allowed_total"] >= 10.0, "{metrics:?}");
}

/// A forwarder on a loop of its own.
struct Proxy {
    event_loop: EventLoop,
    forwarder: ProxyRuntime,
}

impl Proxy {
    fn new(planner: &PlannerWithOperator, front: Front, papers: TlsFiles) -> Proxy {
        let class = Class {
            name: "q".into(),
            payoff: 1.0,
            soft_limit: Duration::from_millis(500),
            outer_limit: Duration::from_millis(900),
            repeats: Repeats::Safe,
        };
        let stand = ProxySettings {
            name: "f1".into(),
            zone: "a".into(),
            listen: "127.0.0.1:0".parse().unwrap(),
            front,
            planners: vec![if front == Front::Edits {
                planner.addresses.home
            } else {
                planner.addresses.pubsub
            }],
            papers,
            pick: "chance".into(),
            shun_after: 3,
            shun_for: Duration::from_secs(4),
            report: Duration::from_millis(500),
            classes: vec![class],
            standing: vec![("own".into(), "127.0.0.1:9".parse().unwrap())],
        };
        let mut event_loop = EventLoop::new().unwrap();
        let (forwarder, _) = ProxyRuntime::start(&mut event_loop, stand, 3).unwrap();
        Proxy { event_loop, forwarder }
    }

    fn run(&mut self, span: Duration) {
        let until = self.event_loop.now() + span;
        while self.event_loop.now() < until {
            let wake = self.forwarder.wakes_at().map_or(until, |at| at.min(until));
            for event in self.event_loop.wait(Some(wake)).unwrap() {
                self.forwarder.happened(&mut self.event_loop, event);
            }
            self.forwarder.turned(&mut self.event_loop);
        }
    }

    fn until(&mut self, what: &str, holds: impl Fn(&Proxy) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            let held = self.servers();
            assert!(
                Instant::now() < end,
                "waited for: {what}; {held:?}, joined {}",
                self.forwarder.is_joined()
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

fn fleet(planner: &PlannerWithOperator) {
    let feed = planner.issuer.issue_identity("feed", "spiffe://valle.example/feed", HOUR, |_| {}).unwrap();
    let policy = TlsPolicy::load(&trusting(feed, OWN)).unwrap();
    let mut client = Client::open(planner.addresses.edits, &policy, TIMEOUT).unwrap();
    ["s1", "s2", "s3"].iter().for_each(|name| _ = client.edit(listed(name), None).unwrap());
}

fn drain(planner: &PlannerWithOperator, server: &str) {
    let word = Element::new(FLEET, "server").with_leaf("name", server).with_leaf("drain", true);
    planner.client().edit(Element::new(FLEET, "fleet").with(word), None).unwrap();
}

/// A planner with a good certificate that is not this forwarder's: none of its orders changes the tables.
#[test]
fn a_planner_that_is_not_its_own_orders_nothing() {
    let planner = planner("wrong", HOUR);
    fleet(&planner);
    for front in [Front::Edits, Front::Weights] {
        let papers =
            planner.issuer.issue_identity("f1", "spiffe://valle.example/proxy/f1", HOUR, |_| {}).unwrap();
        for other in [
            "spiffe://valle.example/planner/q",
            "spiffe://other.example/planner/p",
            "spiffe://valle.example/planner",
        ] {
            let mut proxy = Proxy::new(&planner, front, trusting(papers.clone(), other));
            let before = format!("{:?}", proxy.forwarder.proxy().tables());
            proxy.run(Duration::from_millis(700));
            assert_eq!(format!("{:?}", proxy.forwarder.proxy().tables()), before, "{front:?} {other}");
            assert!(!proxy.forwarder.is_joined());
        }
        let mut proxy = Proxy::new(&planner, front, trusting(papers, OWN));
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
    let planner = planner(name, planner_lives);
    let identity = "spiffe://valle.example/proxy/f1";
    fleet(&planner);
    let papers = planner.issuer.issue_identity("f1", identity, proxy_lives, |_| {}).unwrap();
    // Ends are whole seconds. Before that a stream is made anew: not joined for a moment is no end.
    let lives = planner_lives.min(proxy_lives) as u64;
    let over = Instant::now() + Duration::from_secs(lives + 1);
    let mut proxy = Proxy::new(&planner, front, trusting(papers, OWN));
    proxy.until("its tables", |p| p.lists(&["s1", "s2", "s3"]) && p.forwarder.is_joined());
    proxy.until("the end", |p| !p.forwarder.is_joined() && Instant::now() >= over);
    proxy.run(Duration::from_millis(500));
    assert!(proxy.lists(&["s1", "s2", "s3"]), "{name}: tables stay");
    assert!(!proxy.forwarder.is_joined(), "{name}: joined with an identity that is over");
    // Under the same names, as an issuer's agent puts them there.
    planner.issuer.issue_identity("p", OWN, HOUR, |_| {}).unwrap();
    planner.issuer.issue_identity("f1", identity, HOUR, |_| {}).unwrap();
    proxy.until("joined again", |p| p.forwarder.is_joined());
    let end = Instant::now() + TIMEOUT;
    while Client::open(planner.addresses.edits, &planner.policy, Duration::from_secs(5)).is_err()
        && Instant::now() < end
    {}
    drain(&planner, "s2");
    proxy.until("the drain", |p| p.lists(&["s1", "s3"]));
}

/// A key that others may read, a certificate that is no identity, files that do not go together: not started with, and
/// not taken while running.
#[test]
fn papers_that_cannot_be_used_are_refused_and_do_not_replace_those_in_force() {
    let planner = planner("papers", HOUR);
    let papers = trusting(
        planner.issuer.issue_identity("x", "spiffe://valle.example/staff/x", HOUR, |_| {}).unwrap(),
        OWN,
    );
    let mut policy = TlsPolicy::load(&papers).unwrap();
    let own = policy.own().unwrap();
    assert!(!policy.renew().unwrap());
    let write = |path: &std::path::Path, text: &[u8]| std::fs::write(path, text).unwrap();
    let (certificate, key) =
        (std::fs::read(&papers.certificate).unwrap(), std::fs::read(&papers.key).unwrap());
    write(&papers.certificate, &certificate[..certificate.len() / 2]);
    assert!(policy.renew().is_err(), "half of a file");
    write(&papers.certificate, &certificate);
    let others = std::fs::read(planner.issuer.issue_identity("y", OWN, HOUR, |_| {}).unwrap().key).unwrap();
    write(&papers.key, &others);
    assert!(policy.renew().is_err(), "another's key");
    assert_eq!(policy.own().unwrap(), own);
    write(&papers.key, &key);
    assert!(policy.renew().unwrap());
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&papers.key, std::fs::Permissions::from_mode(0o644)).unwrap();
    assert!(TlsPolicy::load(&papers).err().unwrap().to_string().contains("others may read"));
    let names = trusting(planner.issuer.issue("z", None).unwrap(), OWN);
    assert!(TlsPolicy::load(&names).err().unwrap().to_string().contains("URIs"));
}

/// Authorities change one after the other: an identity of the old one holds while that is trusted, ends with it, and one
/// of the new one takes its place; the forwarder's other side trusts only the new one all along.
#[test]
fn an_authority_that_is_struck_ends_its_streams_and_the_next_one_carries_on() {
    let mut trust = None;
    let papers = |new: &Issuer| {
        let papers = new.issue_identity("p", OWN, HOUR, |_| {}).unwrap();
        let old = Issuer::new(&papers.certificate.parent().unwrap().join("old")).unwrap();
        let both = papers.trust.with_file_name("both.pem");
        let old_f1 = old.issue_identity("f1", "spiffe://valle.example/proxy/f1", HOUR, |_| {}).unwrap();
        let text = [std::fs::read(&papers.trust).unwrap(), std::fs::read(&old_f1.trust).unwrap()].concat();
        std::fs::write(&both, text).unwrap();
        trust = Some((both.clone(), papers.trust.clone(), old_f1));
        TlsFiles { trust: both, ..papers }
    };
    let staff = |new: &Issuer| {
        trusting(new.issue_identity("lead", "spiffe://valle.example/staff/lead", HOUR, |_| {}).unwrap(), OWN)
    };
    let planner = PlannerWithOperator::with_credentials("struck", papers, staff, RULES);
    let (both, new_alone, old_f1) = trust.unwrap();
    fleet(&planner);
    let mine = TlsFiles { trust: new_alone.clone(), ..trusting(old_f1.clone(), OWN) };
    let mut proxy = Proxy::new(&planner, Front::Weights, mine);
    proxy.until("its tables", |p| p.lists(&["s1", "s2", "s3"]) && p.forwarder.is_joined());
    // Half of the fleet has the new bundle and half the old one: neither side minds.
    proxy.run(Duration::from_millis(1200));
    assert!(proxy.forwarder.is_joined());
    let streams = proxy.forwarder.streams;
    std::fs::copy(&new_alone, &both).unwrap();
    proxy.until("the end", |p| !p.forwarder.is_joined());
    assert!(proxy.lists(&["s1", "s2", "s3"]));
    // The issuer's agent puts an identity of the new authority where the old one was.
    let next = planner.issuer.issue_identity("f1", "spiffe://valle.example/proxy/f1", HOUR, |_| {}).unwrap();
    for (from, to) in [(&next.key, &old_f1.key), (&next.certificate, &old_f1.certificate)] {
        std::fs::rename(from, to).unwrap();
    }
    proxy.until("joined again", |p| p.forwarder.is_joined() && p.forwarder.streams > streams);
    drain(&planner, "s2");
    proxy.until("the drain", |p| p.lists(&["s1", "s3"]));
}
