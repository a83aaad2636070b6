//! Streams whose identity expires, or whose certificate authority is removed from the trust bundle.

mod help;

use help::identities::{
    issue, list_all_servers, operator_credentials, start_planner, trust_planner, ACCESS_RULES, ALL_SERVERS,
    HOUR, PLANNER_ID, PROXY_ID,
};
use help::requests::drain_server;
use help::PlannerWithOperator;
use runloom_daemon::client::Client;
use runloom_daemon::proxy_runtime::ProxyRuntime;
use runloom_event_loop::EventLoop;
use runloom_model::proxy_settings::{ProxySettings, TableDelivery};
use runloom_model::tls_files::TlsFiles;
use runloom_model::traffic_class::{ClassSettings, RetrySafety};
use runloom_testbed::issuer::Issuer;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// An identity's lifetime in seconds, long enough for a proxy on a slow machine to receive its tables.
const SHORT_LIFETIME: i64 = 14;
/// Far longer than any condition here takes.
const TIMEOUT: Duration = Duration::from_secs(40);
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn drain(planner: &PlannerWithOperator, server: &str) {
    planner.client().edit(drain_server(server), None).unwrap();
}

/// A proxy on an event loop of its own.
struct Proxy {
    event_loop: EventLoop,
    runtime: ProxyRuntime,
}

impl Proxy {
    fn start(planner: &PlannerWithOperator, delivery: TableDelivery, credentials: TlsFiles) -> Proxy {
        let planner_address = match delivery {
            TableDelivery::Edits => planner.addresses.call_home,
            _ => planner.addresses.pubsub,
        };
        let class = ClassSettings {
            name: "q".into(),
            priority_weight: 1.0,
            latency_objective: Duration::from_millis(500),
            deadline: Duration::from_millis(900),
            retry_safety: RetrySafety::Safe,
        };
        let settings = ProxySettings {
            name: "f1".into(),
            zone: "a".into(),
            listen_address: "127.0.0.1:0".parse().unwrap(),
            table_delivery: delivery,
            planner_addresses: vec![planner_address],
            tls: credentials,
            selection: "chance".into(),
            circuit_breaker_failures: 3,
            circuit_breaker_open: Duration::from_secs(4),
            report_period: Duration::from_millis(500),
            classes: vec![class],
            static_servers: vec![("own".into(), "127.0.0.1:9".parse().unwrap())],
        };
        let mut event_loop = EventLoop::new().unwrap();
        let (runtime, _) = ProxyRuntime::start(&mut event_loop, settings, 3).unwrap();
        Proxy { event_loop, runtime }
    }

    fn run_for(&mut self, duration: Duration) {
        let until = self.event_loop.now() + duration;
        while self.event_loop.now() < until {
            let wakeup = self.runtime.next_wakeup().map_or(until, |at| at.min(until));
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
                "timed out waiting for {condition}; table: {:?}, connected: {}",
                self.servers(),
                self.is_connected()
            );
            self.run_for(POLL_INTERVAL);
        }
    }

    fn wait_until_connected_with_all_servers(&mut self) {
        self.wait_until("its tables and a connection", |proxy| {
            proxy.has_servers(&ALL_SERVERS) && proxy.is_connected()
        });
    }

    fn is_connected(&self) -> bool {
        self.runtime.is_connected()
    }

    /// The servers of its table.
    fn servers(&self) -> Vec<String> {
        let entries = self.runtime.proxy().tables().entries("q");
        entries.into_iter().map(|entry| entry.server).collect()
    }

    fn has_servers(&self, servers: &[&str]) -> bool {
        self.servers() == servers
    }

    /// All its tables as text, to compare them.
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

/// Lifetimes of identities in seconds, of which one expires while a stream is open.
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

/// A stream ends when either side's identity expires; tables stay in use, and a new identity resumes the stream without
/// a restart.
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
    // Expiry is in whole seconds. Streams are renewed before it, so an earlier disconnect is not the end of the stream.
    let lifetime = case.planner_lifetime.min(case.proxy_lifetime) as u64;
    let expired = Instant::now() + Duration::from_secs(lifetime + 1);
    let mut proxy = Proxy::start(&planner, case.delivery, trust_planner(credentials, PLANNER_ID));
    proxy.wait_until_connected_with_all_servers();

    // When
    proxy.wait_until("the end of the stream", |proxy| !proxy.is_connected() && Instant::now() >= expired);
    proxy.run_for(Duration::from_millis(500));

    // Then
    assert!(proxy.has_servers(&ALL_SERVERS), "{}: tables are lost", case.name);
    assert!(!proxy.is_connected(), "{}: connected with an expired identity", case.name);

    // When new identities are issued to the same files.
    issue(&planner.issuer, "p", PLANNER_ID, HOUR);
    issue(&planner.issuer, "f1", PROXY_ID, HOUR);

    // Then
    proxy.wait_until("a new connection", Proxy::is_connected);
    wait_until_operator_connects(&planner);
    drain(&planner, "s2");
    proxy.wait_until("the removal of the drained server", |proxy| proxy.has_servers(&["s1", "s3"]));
}

fn wait_until_operator_connects(planner: &PlannerWithOperator) {
    let end = Instant::now() + TIMEOUT;
    let connect = || Client::open(planner.addresses.edits, &planner.policy, RECONNECT_TIMEOUT);
    while connect().is_err() && Instant::now() < end {}
}

/// Files of a change from an old certificate authority to a new one.
struct AuthorityChange {
    /// The planner's trust bundle, with both authorities at first.
    planner_trust: PathBuf,
    /// The trust bundle with the new authority only.
    new_trust: PathBuf,
    /// A proxy's credentials, issued by the old authority.
    old_proxy: TlsFiles,
}

/// Issues the planner's credentials by the new authority, and a proxy's credentials by an old one.
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

/// An identity of the old authority is valid while that authority is trusted, and one of the new authority replaces it.
/// The proxy trusts only the new authority throughout.
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
    proxy.wait_until("the end of the stream", |proxy| !proxy.is_connected());
    assert!(proxy.has_servers(&ALL_SERVERS));

    // When an identity of the new authority replaces the old one's files.
    let new_proxy = issue(&planner.issuer, "f1", PROXY_ID, HOUR);
    for (from, to) in [(&new_proxy.key, &old_proxy.key), (&new_proxy.certificate, &old_proxy.certificate)] {
        std::fs::rename(from, to).unwrap();
    }

    // Then
    proxy.wait_until("a new connection", |proxy| {
        proxy.is_connected() && proxy.runtime.session_count() > streams
    });
    drain(&planner, "s2");
    proxy.wait_until("the removal of the drained server", |proxy| proxy.has_servers(&["s1", "s3"]));
}
