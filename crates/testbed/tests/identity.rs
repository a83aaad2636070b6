//! What each SPIFFE identity may do, over sockets, and what becomes of streams whose identity expires.

mod help;

use help::requests::{drain_server, get_config, list_servers, server_names, set_weight};
use help::PlannerWithOperator;
use rcgen::CertificateParams;
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER, PROXY};
use runloom_event_loop::{BufferLimits, EventLoop, IoEvent, Security};
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_model::fleet::{Class, Repeats, TlsFiles};
use runloom_model::forwarder::{ProxySettings, TableDelivery};
use runloom_mqtt::client::{Client as Subscription, ClientEvent, TableFormat};
use runloom_mqtt::ProxyInfo;
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::planner_process::read_metrics;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// Lifetimes in seconds.
const HOUR: i64 = 3600;
/// Long enough for a slow machine to set up its tables.
const SHORT_LIFETIME: i64 = 14;
/// Far beyond what anything here takes.
const TIMEOUT: Duration = Duration::from_secs(40);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const ALL_SERVERS: [&str; 3] = ["s1", "s2", "s3"];
const PLANNER_ID: &str = "spiffe://valle.example/planner/p";
const PROXY_ID: &str = "spiffe://valle.example/proxy/f1";
const OPERATOR_ID: &str = "spiffe://valle.example/staff/lead";
const FEED_ID: &str = "spiffe://valle.example/feed";

const ACCESS_RULES: &str = "<may><whom>spiffe://valle.example/proxy/*</whom><join/></may>\
    <may><whom>spiffe://valle.example/staff/*</whom><read>*</read></may>\
    <may><whom>spiffe://valle.example/staff/lead</whom><kill/><write>fleet</write></may>\
    <may><whom>spiffe://valle.example/feed</whom><write>roster</write></may>";

/// Credentials of a holder that takes commands from one planner only.
fn trust_planner(credentials: TlsFiles, planner: &str) -> TlsFiles {
    let rules =
        vec![AccessRule { principal: Principal::parse(planner).unwrap(), permission: Permission::Command }];
    TlsFiles { rules, ..credentials }
}

fn issue(issuer: &Issuer, name: &str, id: &str, seconds: i64) -> TlsFiles {
    issuer.issue_identity(name, id, seconds, |_| {}).unwrap()
}

fn operator_credentials(issuer: &Issuer) -> TlsFiles {
    trust_planner(issue(issuer, "lead", OPERATOR_ID, HOUR), PLANNER_ID)
}

/// A planner whose identity expires after some seconds.
fn start_planner(name: &str, seconds: i64) -> PlannerWithOperator {
    let planner = |issuer: &Issuer| issue(issuer, "p", PLANNER_ID, seconds);
    PlannerWithOperator::with_credentials(name, planner, operator_credentials, ACCESS_RULES)
}

/// Puts three servers on the endpoint list, by the feed's identity.
fn list_all_servers(planner: &PlannerWithOperator) {
    let feed = issue(&planner.issuer, "feed", FEED_ID, HOUR);
    let policy = TlsPolicy::load(&trust_planner(feed, PLANNER_ID)).unwrap();
    let mut client = Client::open(planner.addresses.edits, &policy, TIMEOUT).unwrap();
    for server in ALL_SERVERS {
        client.edit(list_servers(&[server]), None).unwrap();
    }
}

fn drain(planner: &PlannerWithOperator, server: &str) {
    planner.client().edit(drain_server(server), None).unwrap();
}

/// Whether a subscriber with these credentials may connect under a name.
fn may_connect(planner: &PlannerWithOperator, credentials: &TlsFiles, name: &str) -> bool {
    let Ok(policy) = TlsPolicy::load(credentials) else { return false };
    let mut event_loop = EventLoop::new().unwrap();
    let security = Security::TlsClient(policy.client_config.clone(), server_name(PLANNER));
    let conn = event_loop.dial(planner.addresses.pubsub, &security, BufferLimits::default()).unwrap();
    let info = ProxyInfo { zone: "a".into(), request_rate: 1.0, has_no_table: true };
    let mut client = Subscription::new(event_loop.now(), "p", name, &info, TableFormat::Weights, vec![]);
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        for event in event_loop.wait(Some(event_loop.now() + POLL_INTERVAL)).unwrap() {
            match event {
                IoEvent::Bytes { bytes, .. }
                    if client.receive(event_loop.now(), &bytes).contains(&ClientEvent::Connected) =>
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
        event_loop.write(conn, &bytes);
    }
    panic!("neither connected nor rejected");
}

/// What a holder may do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Permissions {
    read: bool,
    edit_fleet: bool,
    edit_endpoint_list: bool,
    end_sessions: bool,
    connect_under_own_name: bool,
    connect_under_other_name: bool,
}

/// Requests that [`Permissions::attempt`] makes.
const ATTEMPTS_PER_CASE: usize = 6;
const NO_PERMISSIONS: Permissions = Permissions {
    read: false,
    edit_fleet: false,
    edit_endpoint_list: false,
    end_sessions: false,
    connect_under_own_name: false,
    connect_under_other_name: false,
};

impl Permissions {
    /// Tries everything with some credentials. `case` sets the names of what it writes apart from other cases'.
    fn attempt(
        planner: &PlannerWithOperator,
        name: &str,
        credentials: &TlsFiles,
        case: usize,
    ) -> Permissions {
        let trusting = trust_planner(credentials.clone(), PLANNER_ID);
        // Credentials without an identity are rejected by the client's own side; without rules they reach the planner.
        let policy = TlsPolicy::load(&trusting).or_else(|_| TlsPolicy::load(credentials)).unwrap();
        let ask = |operation: Element| {
            let client = Client::open(planner.addresses.edits, &policy, REQUEST_TIMEOUT);
            client.and_then(|mut client| client.ask(operation, None)).map_err(|error| error.to_string())
        };
        let unknown_session = Element::leaf(BASE, "session-id", 999_999);
        let kill_session = Element::new(BASE, "kill-session").with(unknown_session);
        let fleet_edit = edit_config("running", set_weight(&format!("w{case}")));
        let list_edit = edit_config("running", list_servers(&[&format!("l{case}")]));
        Permissions {
            read: ask(get_config()).is_ok(),
            edit_fleet: ask(fleet_edit).is_ok(),
            edit_endpoint_list: ask(list_edit).is_ok(),
            // Only a holder that may end sessions learns that this one does not exist.
            end_sessions: ask(kill_session).is_err_and(|error| error.contains("invalid-value")),
            connect_under_own_name: may_connect(planner, &trusting, name),
            connect_under_other_name: may_connect(planner, &trusting, "f2"),
        }
    }
}

/// A holder's name, its credentials, and what it may do.
struct AccessCase {
    name: &'static str,
    credentials: TlsFiles,
    expected: Permissions,
}

fn valid_cases(issuer: &Issuer) -> Vec<AccessCase> {
    let case = |name, file: &str, id: &str, expected| AccessCase {
        name,
        credentials: issue(issuer, file, id, HOUR),
        expected,
    };
    let operator = Permissions { read: true, edit_fleet: true, end_sessions: true, ..NO_PERMISSIONS };
    let reader = Permissions { read: true, ..NO_PERMISSIONS };
    let feed = Permissions { read: true, edit_endpoint_list: true, ..NO_PERMISSIONS };
    let proxy = Permissions { connect_under_own_name: true, ..NO_PERMISSIONS };
    vec![
        case("lead", "c-lead", OPERATOR_ID, operator),
        case("staff", "c-staff", "spiffe://valle.example/staff/new", reader),
        case("feed", "c-feed", FEED_ID, feed),
        case("f1", "c-f1", PROXY_ID, proxy),
        case("f1", "c-deep", "spiffe://valle.example/proxy/x/f1", NO_PERMISSIONS),
        case("p", "c-planner", PLANNER_ID, NO_PERMISSIONS),
        case("x", "c-other", "spiffe://valle.example/other/x", NO_PERMISSIONS),
        case("lead", "c-domain", "spiffe://other.example/staff/lead", NO_PERMISSIONS),
    ]
}

/// Certificates that are no valid identity; their holders may do nothing.
fn invalid_cases(planner: &PlannerWithOperator) -> Vec<AccessCase> {
    let issuer = &planner.issuer;
    let second_id = |params: &mut CertificateParams| {
        params.subject_alt_names.push(rcgen::SanType::URI(OPERATOR_ID.try_into().unwrap()));
    };
    let authority = |params: &mut CertificateParams| {
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    };
    let not_yet_valid = |params: &mut CertificateParams| {
        params.not_before = (SystemTime::now() + Duration::from_secs(1800)).into();
    };
    let changed = |file: &str, seconds: i64, change: &dyn Fn(&mut CertificateParams)| {
        issuer.issue_identity(file, OPERATOR_ID, seconds, |params| change(params)).unwrap()
    };
    let other_authority = Issuer::new(&planner.folder.0.join("strangers")).unwrap();
    let case = |name, credentials| AccessCase { name, credentials, expected: NO_PERMISSIONS };
    vec![
        case("lead", changed("c-two", HOUR, &second_id)),
        case("lead", changed("c-ended", -10, &|_| {})),
        case("lead", changed("c-later", HOUR, &not_yet_valid)),
        case("lead", changed("c-authority", HOUR, &authority)),
        case("f1", issuer.issue("c-dns", Some(PROXY)).unwrap()),
        case("lead", issue(&other_authority, "c-stranger", OPERATOR_ID, HOUR)),
    ]
}

/// Fourteen certificates and six requests each. What is rejected changes nothing, and is counted.
#[test]
fn each_certificate_may_do_what_its_identity_may() {
    // Given
    let planner = start_planner("matrix", HOUR);
    let mut cases = valid_cases(&planner.issuer);
    cases.extend(invalid_cases(&planner));
    assert!(cases.len() * ATTEMPTS_PER_CASE >= 60);

    for (number, case) in cases.iter().enumerate() {
        // When
        let found = Permissions::attempt(&planner, case.name, &case.credentials, number);

        // Then
        assert_eq!(found, case.expected, "{}, case {number}", case.name);
    }
    let mut client = planner.client();
    assert_eq!(server_names(&mut client, "fleet"), ["w0"]);
    assert_eq!(server_names(&mut client, "roster"), ["l2"]);
    let metrics = read_metrics(planner.addresses.metrics).unwrap();
    assert!(metrics["runloom_not_allowed_total"] >= 10.0, "{metrics:?}");
}

/// A proxy on an event loop of its own.
struct Proxy {
    event_loop: EventLoop,
    runtime: ProxyRuntime,
}

impl Proxy {
    fn start(planner: &PlannerWithOperator, delivery: TableDelivery, credentials: TlsFiles) -> Proxy {
        let planner_address = match delivery {
            TableDelivery::Edits => planner.addresses.home,
            _ => planner.addresses.pubsub,
        };
        let class = Class {
            name: "q".into(),
            payoff: 1.0,
            soft_limit: Duration::from_millis(500),
            outer_limit: Duration::from_millis(900),
            repeats: Repeats::Safe,
        };
        let settings = ProxySettings {
            name: "f1".into(),
            zone: "a".into(),
            listen: "127.0.0.1:0".parse().unwrap(),
            front: delivery,
            planners: vec![planner_address],
            papers: credentials,
            pick: "chance".into(),
            shun_after: 3,
            shun_for: Duration::from_secs(4),
            report: Duration::from_millis(500),
            classes: vec![class],
            standing: vec![("own".into(), "127.0.0.1:9".parse().unwrap())],
        };
        let mut event_loop = EventLoop::new().unwrap();
        let (runtime, _) = ProxyRuntime::start(&mut event_loop, settings, 3).unwrap();
        Proxy { event_loop, runtime }
    }

    fn run_for(&mut self, duration: Duration) {
        let until = self.event_loop.now() + duration;
        while self.event_loop.now() < until {
            let wakeup = self.runtime.wakes_at().map_or(until, |at| at.min(until));
            for event in self.event_loop.wait(Some(wakeup)).unwrap() {
                self.runtime.handle_event(&mut self.event_loop, event);
            }
            self.runtime.run_due_tasks(&mut self.event_loop);
        }
    }

    fn wait_until(&mut self, condition: &str, holds: impl Fn(&Proxy) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < end,
                "waited for: {condition}; table: {:?}, connected: {}",
                self.servers(),
                self.is_connected()
            );
            self.run_for(POLL_INTERVAL);
        }
    }

    fn wait_until_connected_with_all_servers(&mut self) {
        self.wait_until("its tables", |proxy| proxy.has_servers(&ALL_SERVERS) && proxy.is_connected());
    }

    fn is_connected(&self) -> bool {
        self.runtime.is_connected()
    }

    /// Servers of its table.
    fn servers(&self) -> Vec<String> {
        let entries = self.runtime.proxy().tables().entries("q");
        entries.into_iter().map(|entry| entry.server).collect()
    }

    fn has_servers(&self, servers: &[&str]) -> bool {
        self.servers() == servers
    }

    /// All its tables, to compare them.
    fn tables(&self) -> String {
        format!("{:?}", self.runtime.proxy().tables())
    }
}

#[test]
fn a_proxy_takes_no_tables_from_a_planner_of_another_identity() {
    // Given
    let planner = start_planner("wrong", HOUR);
    list_all_servers(&planner);
    for delivery in [TableDelivery::Edits, TableDelivery::Weights] {
        let credentials = issue(&planner.issuer, "f1", PROXY_ID, HOUR);
        for other_planner in [
            "spiffe://valle.example/planner/q",
            "spiffe://other.example/planner/p",
            "spiffe://valle.example/planner",
        ] {
            let trusting_other = trust_planner(credentials.clone(), other_planner);
            let mut proxy = Proxy::start(&planner, delivery, trusting_other);
            let tables = proxy.tables();

            // When
            proxy.run_for(Duration::from_millis(700));

            // Then
            assert_eq!(proxy.tables(), tables, "{delivery:?} {other_planner}");
            assert!(!proxy.is_connected());
        }
        let mut proxy = Proxy::start(&planner, delivery, trust_planner(credentials, PLANNER_ID));
        proxy.wait_until("its own planner's tables", |proxy| proxy.has_servers(&ALL_SERVERS));
    }
}

/// Identities that expire while a stream is open.
struct ExpiryCase {
    name: &'static str,
    delivery: TableDelivery,
    planner_lifetime: i64,
    proxy_lifetime: i64,
}

const EXPIRY_CASES: [ExpiryCase; 3] = [
    ExpiryCase {
        name: "ends-p",
        delivery: TableDelivery::Edits,
        planner_lifetime: SHORT_LIFETIME,
        proxy_lifetime: HOUR,
    },
    ExpiryCase {
        name: "ends-f",
        delivery: TableDelivery::Weights,
        planner_lifetime: HOUR,
        proxy_lifetime: SHORT_LIFETIME,
    },
    ExpiryCase {
        name: "ends-e",
        delivery: TableDelivery::Edits,
        planner_lifetime: HOUR,
        proxy_lifetime: SHORT_LIFETIME,
    },
];

/// A stream ends when either side's identity expires, tables stay, and a new identity resumes it without a restart.
#[test]
fn a_stream_ends_with_either_identity_and_resumes_with_a_new_one() {
    std::thread::scope(|scope| {
        for case in &EXPIRY_CASES {
            scope.spawn(|| assert_stream_ends_and_resumes(case));
        }
    });
}

fn assert_stream_ends_and_resumes(case: &ExpiryCase) {
    // Given
    let planner = start_planner(case.name, case.planner_lifetime);
    list_all_servers(&planner);
    let credentials = issue(&planner.issuer, "f1", PROXY_ID, case.proxy_lifetime);
    // Expiry is in whole seconds. Streams are made again before it, so a disconnect before then is no end.
    let lifetime = case.planner_lifetime.min(case.proxy_lifetime) as u64;
    let expired = Instant::now() + Duration::from_secs(lifetime + 1);
    let mut proxy = Proxy::start(&planner, case.delivery, trust_planner(credentials, PLANNER_ID));
    proxy.wait_until_connected_with_all_servers();

    // When
    proxy.wait_until("the end", |proxy| !proxy.is_connected() && Instant::now() >= expired);
    proxy.run_for(Duration::from_millis(500));

    // Then
    assert!(proxy.has_servers(&ALL_SERVERS), "{}: tables stay", case.name);
    assert!(!proxy.is_connected(), "{}: connected with an expired identity", case.name);

    // When new identities are put under the same names.
    issue(&planner.issuer, "p", PLANNER_ID, HOUR);
    issue(&planner.issuer, "f1", PROXY_ID, HOUR);

    // Then
    proxy.wait_until("connected again", Proxy::is_connected);
    wait_until_operator_connects(&planner);
    drain(&planner, "s2");
    proxy.wait_until("the drain", |proxy| proxy.has_servers(&["s1", "s3"]));
}

fn wait_until_operator_connects(planner: &PlannerWithOperator) {
    let end = Instant::now() + TIMEOUT;
    let connect = || Client::open(planner.addresses.edits, &planner.policy, RECONNECT_TIMEOUT);
    while connect().is_err() && Instant::now() < end {}
}

/// Truncated, mismatched and exposed files: they are rejected at the start, and do not replace valid ones later.
#[test]
fn invalid_credentials_are_rejected_and_do_not_replace_those_in_use() {
    // Given
    let planner = start_planner("papers", HOUR);
    let id = "spiffe://valle.example/staff/x";
    let credentials = trust_planner(issue(&planner.issuer, "x", id, HOUR), PLANNER_ID);
    let mut policy = TlsPolicy::load(&credentials).unwrap();
    let certificate_in_use = policy.own_identity().unwrap();
    assert!(!policy.reload().unwrap());
    let certificate = std::fs::read(&credentials.certificate).unwrap();
    let key = std::fs::read(&credentials.key).unwrap();
    let write = |path: &Path, contents: &[u8]| std::fs::write(path, contents).unwrap();

    // When, then
    write(&credentials.certificate, &certificate[..certificate.len() / 2]);
    assert!(policy.reload().is_err(), "half of a file");
    write(&credentials.certificate, &certificate);
    let other_key = std::fs::read(issue(&planner.issuer, "y", PLANNER_ID, HOUR).key).unwrap();
    write(&credentials.key, &other_key);
    assert!(policy.reload().is_err(), "another certificate's key");
    assert_eq!(policy.own_identity().unwrap(), certificate_in_use);
    write(&credentials.key, &key);
    assert!(policy.reload().unwrap());
    std::fs::set_permissions(&credentials.key, std::fs::Permissions::from_mode(0o644)).unwrap();
    assert!(TlsPolicy::load(&credentials).err().unwrap().to_string().contains("others may read"));
    let without_id = trust_planner(planner.issuer.issue("z", None).unwrap(), PLANNER_ID);
    assert!(TlsPolicy::load(&without_id).err().unwrap().to_string().contains("URIs"));
}

/// Files of a change from an old authority to a new one.
struct AuthorityChange {
    /// What the planner trusts: both authorities at first.
    planner_trust: PathBuf,
    /// The new authority alone.
    new_trust: PathBuf,
    /// A proxy's credentials of the old authority.
    old_proxy: TlsFiles,
}

/// Issues the planner's credentials by the new authority, and a proxy's by an old one.
fn prepare_authority_change(new: &Issuer) -> (TlsFiles, AuthorityChange) {
    let planner = issue(new, "p", PLANNER_ID, HOUR);
    let old = Issuer::new(&planner.certificate.parent().unwrap().join("old")).unwrap();
    let old_proxy = issue(&old, "f1", PROXY_ID, HOUR);
    let planner_trust = planner.trust.with_file_name("both.pem");
    let authorities = [&planner.trust, &old_proxy.trust].map(|file| std::fs::read(file).unwrap());
    std::fs::write(&planner_trust, authorities.concat()).unwrap();
    let new_trust = planner.trust.clone();
    let planner = TlsFiles { trust: planner_trust.clone(), ..planner };
    (planner, AuthorityChange { planner_trust, new_trust, old_proxy })
}

/// An identity of the old authority is valid while that is trusted, and one of the new authority takes its place. The
/// proxy trusts only the new authority throughout.
#[test]
fn removing_an_authority_ends_its_streams_and_a_new_identity_resumes_them() {
    // Given
    let mut change = None;
    let planner_credentials = |new: &Issuer| {
        let (planner, prepared) = prepare_authority_change(new);
        change = Some(prepared);
        planner
    };
    let planner = PlannerWithOperator::with_credentials(
        "struck",
        planner_credentials,
        operator_credentials,
        ACCESS_RULES,
    );
    let AuthorityChange { planner_trust, new_trust, old_proxy } = change.unwrap();
    list_all_servers(&planner);
    let trusting = trust_planner(old_proxy.clone(), PLANNER_ID);
    let credentials = TlsFiles { trust: new_trust.clone(), ..trusting };
    let mut proxy = Proxy::start(&planner, TableDelivery::Weights, credentials);
    proxy.wait_until_connected_with_all_servers();
    proxy.run_for(Duration::from_millis(1200));
    assert!(proxy.is_connected());
    let streams = proxy.runtime.session_count();

    // When
    std::fs::copy(&new_trust, &planner_trust).unwrap();

    // Then
    proxy.wait_until("the end", |proxy| !proxy.is_connected());
    assert!(proxy.has_servers(&ALL_SERVERS));

    // When an identity of the new authority is put where the old one was.
    let new_proxy = issue(&planner.issuer, "f1", PROXY_ID, HOUR);
    for (from, to) in [(&new_proxy.key, &old_proxy.key), (&new_proxy.certificate, &old_proxy.certificate)] {
        std::fs::rename(from, to).unwrap();
    }

    // Then
    proxy.wait_until("connected again", |proxy| {
        proxy.is_connected() && proxy.runtime.session_count() > streams
    });
    drain(&planner, "s2");
    proxy.wait_until("the drain", |proxy| proxy.has_servers(&["s1", "s3"]));
}
