//! Operators' edits at a planner's process: repeated, interrupted, locked out, unauthorized and rejected ones.

mod help;

use help::requests::{create_drained_server, drain_server, edit_ids, list_servers, operation, server_names};
use help::{PlannerWithOperator, REQUEST_TIMEOUT};
use runloom_daemon::client::{edit_config, Client};
use runloom_daemon::tls_credentials::TlsPolicy;
use runloom_model::{FLEET_NAMESPACE, STATE_NAMESPACE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;
use runloom_testbed::issuer::Issuer;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Far longer than a planner takes to notice the end of a session.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Reads the number of servers with an entry in the fleet.
fn fleet_size(client: &mut Client) -> usize {
    server_names(client, "fleet").len()
}

/// The planner exits before the edit is stored, between storing it and the reply, or after the reply. The client
/// repeats the edit with the same id, and it takes effect once.
#[test]
fn an_edit_repeated_after_a_kill_at_any_point_takes_effect_once() {
    for crash_point in ["before-kept", "kept", "replied"] {
        // Given
        let mut planner = PlannerWithOperator::with_crash_point(crash_point, Some(crash_point));
        let mut client = planner.client();
        let edit = edit_config("running", create_drained_server("s1"));
        let first = client.call(edit.clone(), Some("once"));
        if crash_point != "replied" {
            assert!(first.is_err(), "{crash_point}");
        }
        planner.process.wait();
        planner.restart();
        let mut client = planner.client();
        let is_stored = crash_point != "before-kept";
        assert_eq!(edit_ids(&mut client).len(), usize::from(is_stored), "{crash_point}");

        // When
        client.call(edit, Some("once")).unwrap();

        // Then
        let actual = (fleet_size(&mut client), edit_ids(&mut client));
        assert_eq!(actual, (1, vec!["once".to_string()]), "{crash_point}");
        let other_edit = edit_config("running", create_drained_server("s2"));
        let rejection = client.call(other_edit, Some("once")).unwrap_err();
        assert!(rejection.to_string().contains("edit-id-reused"), "{rejection}");
    }
}

#[test]
fn an_edit_repeated_after_a_dropped_session_takes_effect_once() {
    // Given
    let planner = PlannerWithOperator::new("dropped");
    let edit = edit_config("running", create_drained_server("s1"));
    let mut client = planner.client();
    client.send(edit.clone(), Some("d1"));
    drop(client);

    // When
    let mut client = planner.client();
    client.call(edit, Some("d1")).unwrap();

    // Then
    assert_eq!((fleet_size(&mut client), edit_ids(&mut client).len()), (1, 1));
}

/// RFC 6241, section 8.4: a confirmed commit without `persist` is rolled back when its session ends, and any confirmed
/// commit is rolled back when the planner restarts.
#[test]
fn a_confirmed_commit_is_rolled_back_when_its_client_or_the_planner_disappears() {
    // Given
    let mut planner = PlannerWithOperator::new("confirmed");
    let edit = edit_config("candidate", create_drained_server("s1"));
    let mut client = planner.client();
    client.call(edit.clone(), None).unwrap();
    client.call(operation("commit", &["confirmed"]), None).unwrap();
    assert_eq!(fleet_size(&mut client), 1);

    // When
    drop(client);

    // Then
    let mut client = planner.client();
    let end = Instant::now() + TIMEOUT;
    while fleet_size(&mut client) > 0 && Instant::now() < end {}
    assert_eq!(fleet_size(&mut client), 0);

    // Given
    client.call(edit, None).unwrap();
    let persistent = operation("commit", &["confirmed"]).with(Element::leaf(BASE, "persist", "x"));
    client.call(persistent, None).unwrap();
    assert_eq!(fleet_size(&mut client), 1);

    // When
    planner.restart();

    // Then
    assert_eq!(fleet_size(&mut planner.client()), 0);
}

#[test]
fn a_lock_excludes_other_sessions_and_ends_with_its_own() {
    // Given
    let planner = PlannerWithOperator::new("locks");
    let (mut holder, mut other) = (planner.client(), planner.client());
    let lock = || Element::new(BASE, "lock").with(operation("target", &["running"]));

    // When
    holder.call(lock(), None).unwrap();

    // Then
    assert!(other.call(lock(), None).unwrap_err().to_string().contains("lock-denied"));
    let rejection = other.edit(create_drained_server("s1"), None).unwrap_err();
    assert!(rejection.to_string().contains("in-use"));
    holder.edit(create_drained_server("s2"), None).unwrap();

    // When
    drop(holder);

    // Then
    let end = Instant::now() + TIMEOUT;
    while other.edit(create_drained_server("s1"), None).is_err() && Instant::now() < end {}
    assert_eq!(fleet_size(&mut other), 2);
}

#[test]
fn peers_that_send_garbage_or_half_a_message_do_not_disturb_others() {
    // Given
    let planner = PlannerWithOperator::new("garbage");
    let mut not_tls = TcpStream::connect(planner.addresses.edits).unwrap();
    not_tls.write_all(&[0x55; 4096]).unwrap();
    let mut not_tls_subscriber = TcpStream::connect(planner.addresses.pubsub).unwrap();
    not_tls_subscriber.write_all(&[0x10; 4096]).unwrap();
    let mut half_handshake = TcpStream::connect(planner.addresses.edits).unwrap();
    half_handshake.write_all(&[0x16, 0x03, 0x01]).unwrap();
    let mut half_message = planner.client();
    half_message.send_raw(b"\n#400000\n<rpc message-id='1'");
    let mut endless_message = planner.client();
    for _ in 0..40 {
        endless_message.send_raw(&[b"\n#65536\n".as_slice(), &[b'x'; 65536]].concat());
    }

    // When
    let mut client = planner.client();
    client.edit(create_drained_server("s1"), Some("fine")).unwrap();

    // Then
    assert_eq!(fleet_size(&mut client), 1);
    assert!(
        endless_message.call(operation("get", &[]), None).is_err(),
        "a message over the size limit did not end its session"
    );
}

#[test]
fn a_proxys_certificate_may_not_edit_and_one_of_another_authority_may_not_connect() {
    // Given
    let planner = PlannerWithOperator::new("papers");
    let proxy = planner.issuer.issue("f1", Some("proxy.runloom")).unwrap();
    let proxy = TlsPolicy::load(&proxy).unwrap();
    let other_authority = Issuer::new(&planner.folder.0.join("others")).unwrap();
    let other_authority_policy = TlsPolicy::load(&other_authority.issue("staff", None).unwrap()).unwrap();

    // When
    let mut client = Client::open(planner.addresses.edits, &proxy, REQUEST_TIMEOUT).unwrap();
    let rejection = client.edit(create_drained_server("s1"), None).unwrap_err();

    // Then
    assert!(rejection.to_string().contains("access-denied"));
    assert!(Client::open(planner.addresses.edits, &other_authority_policy, REQUEST_TIMEOUT).is_err());
    assert_eq!(fleet_size(&mut planner.client()), 0);
}

#[test]
fn an_edit_that_cannot_be_stored_is_rejected_and_reads_go_on() {
    // Given
    let planner = PlannerWithOperator::new("disk");
    let mut client = planner.client();
    client.edit(create_drained_server("s1"), None).unwrap();

    // When the folder is replaced by a file, so that nothing can be written there.
    let state = planner.folder.0.join("state");
    std::fs::remove_dir_all(&state).unwrap();
    std::fs::write(&state, b"in the way").unwrap();

    // Then
    assert!(client.edit(create_drained_server("s2"), Some("lost")).is_err());
    let mut client = planner.client();
    assert_eq!(fleet_size(&mut client), 1);
    let rejection = client.edit(create_drained_server("s2"), Some("lost")).unwrap_err();
    assert!(rejection.to_string().contains("not-durable"));

    // When
    std::fs::remove_file(&state).unwrap();
    std::fs::create_dir_all(&state).unwrap();

    // Then
    let end = Instant::now() + TIMEOUT;
    while client.edit(create_drained_server("s2"), Some("lost")).is_err() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(fleet_size(&mut client), 2);
}

#[test]
fn a_drain_of_the_last_open_server_is_rejected_with_its_path() {
    // Given
    let planner = PlannerWithOperator::new("pool");
    let mut client = planner.client();
    client.edit(list_servers(&["s1"]), None).unwrap();

    // When
    let rejection = client.edit(drain_server("s1"), Some("last")).unwrap_err().to_string();

    // Then
    assert!(
        rejection.contains("empties-pool") && rejection.contains("/fleet/server[name='s1']"),
        "{rejection}"
    );

    // When
    client.edit(list_servers(&["s2"]), None).unwrap();

    // Then
    client.edit(drain_server("s1"), Some("last")).unwrap();
    assert!(client.edit(drain_server("s2"), None).is_err());
    assert_a_raised_limit_is_temporary_and_shown(&mut client);
}

fn assert_a_raised_limit_is_temporary_and_shown(client: &mut Client) {
    const TEN_MINUTES_MS: u64 = 600_000;
    const TWO_HOURS_MS: u64 = 7_200_000;
    let raise_until = |until: u64| {
        let guard =
            Element::new(FLEET_NAMESPACE, "guard").with_leaf("cold-multiple", 20).with_leaf("until", until);
        Element::new(FLEET_NAMESPACE, "fleet").with(guard)
    };
    let now = runloom_daemon::wall_ms();
    let rejection = client.edit(raise_until(now + TWO_HOURS_MS), None).unwrap_err();
    assert!(rejection.to_string().contains("guard-until"));
    client.edit(raise_until(now + TEN_MINUTES_MS), Some("raised")).unwrap();
    let state = client
        .get(Element::new(STATE_NAMESPACE, "state").with(Element::new(STATE_NAMESPACE, "guard")))
        .unwrap();
    assert!(state.to_text().contains("<raised-until>"), "{}", state.to_text());
}
