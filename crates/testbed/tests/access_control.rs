//! What each SPIFFE identity may do, over sockets, and which credentials are rejected.

mod help;

use help::identities::{
    issue, start_planner, trust_planner, FEED_ID, HOUR, OPERATOR_ID, PLANNER_ID, PROXY_ID,
};
use help::requests::{get_config, list_servers, server_names, set_weight};
use help::PlannerWithOperator;
use rcgen::CertificateParams;
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::tls_credentials::{server_name, TlsPolicy, PLANNER_DNS_NAME, PROXY_DNS_NAME};
use runloom_event_loop::{ConnectionLimits, EventLoop, IoEvent, Security};
use runloom_model::tls_files::TlsFiles;
use runloom_mqtt::client::{Client as Subscriber, ClientEvent, TableFormat};
use runloom_mqtt::ProxyInfo;
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use runloom_testbed::planner_process::read_metrics;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// Far longer than a connection or its rejection takes.
const TIMEOUT: Duration = Duration::from_secs(40);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether a subscriber with these credentials may connect under a name.
fn may_connect(planner: &PlannerWithOperator, credentials: &TlsFiles, name: &str) -> bool {
    let Ok(policy) = TlsPolicy::load(credentials) else { return false };
    let mut event_loop = EventLoop::new().unwrap();
    let security = Security::TlsClient(policy.client_config.clone(), server_name(PLANNER_DNS_NAME));
    let conn = event_loop.dial(planner.addresses.pubsub, &security, ConnectionLimits::default()).unwrap();
    let info = ProxyInfo { zone: "a".into(), request_rate: 1.0, has_no_table: true };
    let mut client = Subscriber::new(event_loop.now(), "p", name, &info, TableFormat::Weights, vec![]);
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
        let bytes = client.take_output();
        event_loop.write(conn, &bytes);
    }
    panic!("the subscriber was neither connected nor rejected");
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

/// Number of requests that [`Permissions::attempt`] makes.
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
    /// Makes all requests with some credentials. Names of what it writes contain `case`, so that they differ by case.
    fn attempt(
        planner: &PlannerWithOperator,
        name: &str,
        credentials: &TlsFiles,
        case: usize,
    ) -> Permissions {
        let trusting = trust_planner(credentials.clone(), PLANNER_ID);
        // The client itself rejects credentials that have rules but no identity; without rules they reach the planner.
        let policy = TlsPolicy::load(&trusting).or_else(|_| TlsPolicy::load(credentials)).unwrap();
        let call = |operation: Element| {
            let client = Client::open(planner.addresses.edits, &policy, REQUEST_TIMEOUT);
            client.and_then(|mut client| client.call(operation, None)).map_err(|error| error.to_string())
        };
        let unknown_session = Element::leaf(BASE, "session-id", 999_999);
        let kill_session = Element::new(BASE, "kill-session").with(unknown_session);
        let fleet_edit = edit_config("running", set_weight(&format!("w{case}")));
        let list_edit = edit_config("running", list_servers(&[&format!("l{case}")]));
        Permissions {
            read: call(get_config()).is_ok(),
            edit_fleet: call(fleet_edit).is_ok(),
            edit_endpoint_list: call(list_edit).is_ok(),
            // Only a holder that may end sessions is told that this one does not exist.
            end_sessions: call(kill_session).is_err_and(|error| error.contains("invalid-value")),
            connect_under_own_name: may_connect(planner, &trusting, name),
            connect_under_other_name: may_connect(planner, &trusting, "f2"),
        }
    }
}

/// A holder's name, its credentials, and what it is expected to be allowed.
struct AccessCase {
    name: &'static str,
    credentials: TlsFiles,
    expected: Permissions,
}

/// Certificates with one SPIFFE ID, of which some are granted nothing by the access rules.
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

/// Certificates that are not valid identities; their holders may do nothing.
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
        case("f1", issuer.issue("c-dns", Some(PROXY_DNS_NAME)).unwrap()),
        case("lead", issue(&other_authority, "c-stranger", OPERATOR_ID, HOUR)),
    ]
}

/// Makes six requests with each of fourteen certificates. Rejected requests change nothing, and a metric counts them.
#[test]
fn each_certificate_may_do_what_its_identity_may() {
    // Given
    let planner = start_planner("matrix", HOUR);
    let mut cases = valid_cases(&planner.issuer);
    cases.extend(invalid_cases(&planner));
    assert!(cases.len() * ATTEMPTS_PER_CASE >= 60);

    for (number, case) in cases.iter().enumerate() {
        // When
        let actual = Permissions::attempt(&planner, case.name, &case.credentials, number);

        // Then
        assert_eq!(actual, case.expected, "{}, case {number}", case.name);
    }
    let mut client = planner.client();
    assert_eq!(server_names(&mut client, "fleet"), ["w0"]);
    assert_eq!(server_names(&mut client, "roster"), ["l2"]);
    let metrics = read_metrics(planner.addresses.metrics).unwrap();
    assert!(metrics["runloom_not_allowed_total"] >= 10.0, "{metrics:?}");
}

/// Truncated files, mismatched keys and keys that others may read are rejected, and do not replace valid ones in use.
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
    assert!(policy.reload().is_err(), "half of a certificate file was accepted");
    write(&credentials.certificate, &certificate);
    let other_key = std::fs::read(issue(&planner.issuer, "y", PLANNER_ID, HOUR).key).unwrap();
    write(&credentials.key, &other_key);
    assert!(policy.reload().is_err(), "another certificate's key was accepted");
    assert_eq!(policy.own_identity().unwrap(), certificate_in_use);
    write(&credentials.key, &key);
    assert!(policy.reload().unwrap());
    std::fs::set_permissions(&credentials.key, std::fs::Permissions::from_mode(0o644)).unwrap();
    assert!(TlsPolicy::load(&credentials).err().unwrap().to_string().contains("others may read"));
    let without_id = trust_planner(planner.issuer.issue("z", None).unwrap(), PLANNER_ID);
    assert!(TlsPolicy::load(&without_id).err().unwrap().to_string().contains("URIs"));
}
