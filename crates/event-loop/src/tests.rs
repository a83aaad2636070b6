//! Tests of the event loop over real sockets on the loopback interface.

use crate::event_loop::DEFAULT_MAX_HANDSHAKES;
use crate::*;
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, KeyPair};
use rustls::pki_types::{PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ANY_PORT: &str = "127.0.0.1:0";

fn any_port() -> SocketAddr {
    ANY_PORT.parse().unwrap()
}

/// Runs iterations until `select` returns a value for an event. Panics after a minute, far longer than any test takes.
fn wait_for<T>(
    event_loop: &mut EventLoop,
    mut select: impl FnMut(&mut EventLoop, &IoEvent) -> Option<T>,
) -> T {
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        for event in event_loop.wait(None).unwrap() {
            if let Some(found) = select(event_loop, &event) {
                return found;
            }
        }
    }
    panic!("no matching event within a minute");
}

/// Selects a connection that was established.
fn opened_connection(_: &mut EventLoop, event: &IoEvent) -> Option<ConnectionId> {
    match event {
        IoEvent::Open { conn, .. } => Some(*conn),
        _ => None,
    }
}

/// Selects the reason why a connection ended.
fn close_reason(_: &mut EventLoop, event: &IoEvent) -> Option<CloseReason> {
    match event {
        IoEvent::Closed { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Security of a TLS server and of two clients that trust the same authority.
struct TlsPeers {
    server: Security,
    client: Security,
    client_without_certificate: Security,
}

fn tls_peers() -> TlsPeers {
    let ca_key = KeyPair::generate().unwrap();
    let mut ca = CertificateParams::new(vec![]).unwrap();
    ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca = ca.self_signed(&ca_key).unwrap();
    let key = KeyPair::generate().unwrap();
    let mut leaf = CertificateParams::new(vec!["peer.test".to_string()]).unwrap();
    leaf.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let leaf = leaf.signed_by(&key, &ca, &ca_key).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(ca.der().clone()).unwrap();
    let roots = Arc::new(roots);
    let private_key = || PrivateKeyDer::try_from(key.serialize_der()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        rustls::server::WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_client_cert_verifier(verifier.build().unwrap())
        .with_single_cert(vec![leaf.der().clone()], private_key())
        .unwrap();
    let client_builder = |roots: Arc<RootCertStore>| {
        ClientConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
    };
    let name = ServerName::try_from("peer.test").unwrap();
    let trusted =
        client_builder(roots.clone()).with_client_auth_cert(vec![leaf.der().clone()], private_key()).unwrap();
    let anonymous = client_builder(roots).with_no_client_auth();
    let client = |config| Security::TlsClient(Arc::new(config), name.clone());
    TlsPeers {
        server: Security::TlsServer(Arc::new(server)),
        client: client(trusted),
        client_without_certificate: client(anonymous),
    }
}

#[test]
fn bytes_pass_both_ways_over_tls_with_client_certificates() {
    let TlsPeers { server, client, .. } = tls_peers();
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) = event_loop.listen(any_port(), server, ConnectionLimits::default()).unwrap();
    let dialed_conn = event_loop.dial(address, &client, ConnectionLimits::default()).unwrap();
    // Written before the handshake is complete, and larger than the buffers between the two sides.
    let long: Vec<u8> = (0..3_000_000u32).map(|k| k as u8).collect();
    event_loop.write(dialed_conn, &long);
    let mut received = Vec::new();
    wait_for(&mut event_loop, |event_loop, event| match event {
        IoEvent::Open { certificate, .. } => {
            certificate.is_none().then(|| panic!("the connection has no certificate"))
        }
        IoEvent::Bytes { conn, bytes } if *conn != dialed_conn => {
            received.extend_from_slice(bytes);
            if received.len() == long.len() {
                event_loop.write(*conn, b"thanks");
            }
            None
        }
        IoEvent::Bytes { bytes, .. } => (bytes == b"thanks").then_some(()),
        _ => None,
    });

    assert!(received == long);
}

#[test]
fn a_peer_without_certificate_or_tls_is_untrusted() {
    let TlsPeers { server, client_without_certificate, .. } = tls_peers();
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) = event_loop.listen(any_port(), server, ConnectionLimits::default()).unwrap();
    let dialed_conn =
        event_loop.dial(address, &client_without_certificate, ConnectionLimits::default()).unwrap();
    let reason = wait_for(&mut event_loop, |_, event| match event {
        IoEvent::Closed { conn, reason } if *conn != dialed_conn => Some(*reason),
        _ => None,
    });

    assert_eq!(reason, CloseReason::Untrusted);

    let mut plain = TcpStream::connect(address).unwrap();
    plain.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let closed = |_: &mut EventLoop, event: &IoEvent| match event {
        IoEvent::Closed { reason: CloseReason::Untrusted, conn } if *conn != dialed_conn => Some(()),
        _ => None,
    };
    wait_for(&mut event_loop, closed);
}

#[test]
fn a_peer_that_sends_nothing_or_reads_nothing_is_disconnected() {
    let mut event_loop = EventLoop::new().unwrap();
    let limits = ConnectionLimits {
        idle_timeout: Some(Duration::from_millis(50)),
        max_unsent_bytes: 1 << 20,
        ..ConnectionLimits::default()
    };
    let (_, address) = event_loop.listen(any_port(), Security::Plain, limits).unwrap();
    let _silent = TcpStream::connect(address).unwrap();

    assert_eq!(wait_for(&mut event_loop, close_reason), CloseReason::Idle);

    let limits = ConnectionLimits { idle_timeout: None, ..limits };
    let (_, address) = event_loop.listen(any_port(), Security::Plain, limits).unwrap();
    let _unresponsive = TcpStream::connect(address).unwrap();
    let conn = wait_for(&mut event_loop, opened_connection);
    while event_loop.is_open(conn) {
        event_loop.write(conn, &[7; 100_000]);
        assert!(event_loop.unsent_bytes(conn) <= 1 << 20);
    }

    assert_eq!(wait_for(&mut event_loop, close_reason), CloseReason::Unread);
}

#[test]
fn a_stalled_handshake_and_a_refused_connection_are_closed() {
    let TlsPeers { server, client, .. } = tls_peers();
    let mut event_loop = EventLoop::new().unwrap();
    let limits =
        ConnectionLimits { handshake_timeout: Duration::from_millis(50), ..ConnectionLimits::default() };
    let (_, address) = event_loop.listen(any_port(), server, limits).unwrap();
    let _stalled = TcpStream::connect(address).unwrap();

    assert_eq!(wait_for(&mut event_loop, close_reason), CloseReason::Slow);

    // Bound and not listening: connections are refused, and no other process can get the port.
    let refusing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    refusing.bind(&any_port().into()).unwrap();
    let refusing_address = refusing.local_addr().unwrap().as_socket().unwrap();
    event_loop.dial(refusing_address, &client, ConnectionLimits::default()).unwrap();

    assert_eq!(wait_for(&mut event_loop, close_reason), CloseReason::Refused);
}

#[test]
fn a_finished_connection_delivers_what_was_written() {
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) = event_loop.listen(any_port(), Security::Plain, ConnectionLimits::default()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"unread by the other side").unwrap();
    let conn = wait_for(&mut event_loop, opened_connection);
    event_loop.write(conn, &[1; 200_000]);
    event_loop.finish(conn);
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.read_to_end(&mut all).map(|_| all.len())
    });
    wait_for(&mut event_loop, |_, event| {
        matches!(event, IoEvent::Closed { reason: CloseReason::Finished, .. }).then_some(())
    });

    assert_eq!(reader.join().unwrap().unwrap(), 200_000);
}

#[test]
fn a_listener_keeps_its_limit_and_a_paused_connection_is_not_read() {
    let mut event_loop = EventLoop::new().unwrap();
    let limits = ConnectionLimits { max_connections: 1, ..ConnectionLimits::default() };
    let (_, address) = event_loop.listen(any_port(), Security::Plain, limits).unwrap();
    let mut first = TcpStream::connect(address).unwrap();
    let conn = wait_for(&mut event_loop, opened_connection);
    let mut second = TcpStream::connect(address).unwrap();
    while event_loop.rejected_connections == 0 {
        event_loop.wait(None).unwrap();
    }

    assert!(matches!(second.read(&mut [0; 8]), Ok(0) | Err(_)));

    event_loop.pause_reading(conn, true);
    first.write_all(b"x").unwrap();
    let bytes = |event: &IoEvent| matches!(event, IoEvent::Bytes { .. });
    for _ in 0..3 {
        assert!(!event_loop
            .wait(Some(event_loop.now() + Duration::from_millis(5)))
            .unwrap()
            .iter()
            .any(bytes));
    }
    event_loop.pause_reading(conn, false);
    wait_for(&mut event_loop, |_, event| bytes(event).then_some(()));
}

/// When many peers connect at once, one iteration must not be as long as all of their handshakes.
#[test]
fn many_handshakes_are_spread_over_iterations() {
    let TlsPeers { server, client, .. } = tls_peers();
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) = event_loop.listen(any_port(), server, ConnectionLimits::default()).unwrap();
    let count = 5 * DEFAULT_MAX_HANDSHAKES;
    let dialed: Vec<ConnectionId> =
        (0..count).map(|_| event_loop.dial(address, &client, ConnectionLimits::default()).unwrap()).collect();
    let (mut open, end) = (0, Instant::now() + Duration::from_secs(60));
    while open < 2 * dialed.len() && Instant::now() < end {
        let opened = event_loop.wait(None).unwrap();
        let opened = opened.iter().filter(|event| matches!(event, IoEvent::Open { .. })).count();
        assert!(opened <= DEFAULT_MAX_HANDSHAKES, "{opened} handshakes in one iteration");
        open += opened;
    }

    assert_eq!(open, 2 * count, "both sides of each connection are open");
}

#[test]
fn a_half_closed_peer_receives_output_written_in_the_iteration_of_its_close() {
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) = event_loop.listen(any_port(), Security::Plain, ConnectionLimits::default()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"well?").unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    // As in the runtimes, all events of an iteration are handled before anything is written.
    let mut request = Vec::new();
    let ended = wait_for(&mut event_loop, |_, event| match event {
        IoEvent::Bytes { bytes, .. } => {
            request.extend_from_slice(bytes);
            None
        }
        IoEvent::Closed { conn, reason } => Some((*conn, *reason)),
        _ => None,
    });

    assert_eq!((request.as_slice(), ended.1), (&b"well?"[..], CloseReason::Ended));

    event_loop.write(ended.0, b"well.");
    let response = std::thread::spawn(move || {
        let mut response = Vec::new();
        peer.read_to_end(&mut response).map(|_| response)
    });
    // The close was returned once, and no event follows it.
    while event_loop.is_open(ended.0) {
        assert_eq!(event_loop.wait(Some(event_loop.now())).unwrap(), vec![]);
    }

    assert_eq!(response.join().unwrap().unwrap(), b"well.");
}

#[test]
fn bytes_sent_before_a_connection_broke_are_returned_before_its_end() {
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) = event_loop.listen(any_port(), Security::Plain, ConnectionLimits::default()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    let conn = wait_for(&mut event_loop, opened_connection);
    peer.write_all(b"last words").unwrap();
    drop(peer);
    // The peer answers the first write with a reset, and a later write fails on it before anything is read.
    while event_loop.is_open(conn) {
        event_loop.write(conn, b"update");
    }
    let mut events = Vec::new();
    wait_for(&mut event_loop, |_, event| {
        events.push(event.clone());
        matches!(event, IoEvent::Closed { .. }).then_some(())
    });
    let bytes = IoEvent::Bytes { conn, bytes: b"last words".to_vec() };

    assert_eq!(events, vec![bytes, IoEvent::Closed { conn, reason: CloseReason::Broken }]);
}

/// A listener that finds no free file descriptor must not retry in a busy loop. The test runs itself in a child process
/// that is limited to 32 file descriptors.
#[test]
fn a_listener_without_descriptors_backs_off() {
    let Ok(address) = std::env::var("RUNLOOM_FEW_DESCRIPTORS") else {
        return run_with_few_descriptors();
    };
    let mut event_loop = EventLoop::new().unwrap();
    let (_, address) =
        event_loop.listen(address.parse().unwrap(), Security::Plain, ConnectionLimits::default()).unwrap();
    println!("listening on {address}");
    let (mut accepted, mut total, mut idle_iterations) = (Vec::new(), 0, 0);
    // For the length of several backoffs nothing is closed, while more connections are pending than can be accepted.
    let descriptors_held_until = Duration::from_millis(500);
    while total < 64 {
        let events = event_loop.wait(None).unwrap();
        idle_iterations += usize::from(events.is_empty());
        accepted.extend(events.iter().filter_map(|event| match event {
            IoEvent::Open { conn, .. } => Some(*conn),
            _ => None,
        }));
        if event_loop.now() > descriptors_held_until {
            total += accepted.len();
            accepted.drain(..).for_each(|conn| event_loop.abort(conn));
        }
    }
    // A backoff lasts 50 ms: a loop without one would iterate thousands of times.
    let max_idle_iterations = event_loop.now().as_millis() / 20 + 20;

    assert!(
        (idle_iterations as u128) < max_idle_iterations,
        "{idle_iterations} idle iterations in {:?}",
        event_loop.now()
    );

    println!("accepted {total}");
}

fn run_with_few_descriptors() {
    use std::io::{BufRead, BufReader};
    use std::process::{Command, Stdio};
    let test_binary = std::env::current_exe().unwrap();
    let script =
        "ulimit -n 32; exec \"$0\" --exact tests::a_listener_without_descriptors_backs_off --nocapture";
    let mut child = Command::new("/bin/sh")
        .args(["-c", script])
        .arg(test_binary)
        .env("RUNLOOM_FEW_DESCRIPTORS", ANY_PORT)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map(Result::unwrap);
    let address = lines
        .find_map(|line| Some(line.split("listening on ").nth(1)?.to_string()))
        .expect("the child process prints its address");
    let peers: Vec<TcpStream> = (0..64).map(|_| TcpStream::connect(&address).unwrap()).collect();
    let output: Vec<String> = lines.collect();
    assert!(child.wait().unwrap().success(), "{output:?}");
    assert!(output.iter().any(|line| line.contains("accepted 64")), "{output:?}");
    drop(peers);
}
