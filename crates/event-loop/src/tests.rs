use super::*;
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, KeyPair};
use rustls::pki_types::{PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::io::Write;
use std::net::TcpStream;

const ANY: &str = "127.0.0.1:0";

fn any() -> SocketAddr {
    ANY.parse().unwrap()
}

/// Turns until something is told that `wanted` picks; a minute is far beyond what any of this takes.
fn until<T>(turn: &mut EventLoop, mut wanted: impl FnMut(&mut EventLoop, &IoEvent) -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        for h in turn.wait(None).unwrap() {
            if let Some(found) = wanted(turn, &h) {
                return found;
            }
        }
    }
    panic!("nothing came");
}

fn issue() -> (Security, Security, Security) {
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
    let private = || PrivateKeyDer::try_from(key.serialize_der()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        rustls::server::WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
    let answers = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_client_cert_verifier(verifier.build().unwrap())
        .with_single_cert(vec![leaf.der().clone()], private())
        .unwrap();
    let start = |roots: Arc<RootCertStore>| {
        ClientConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
    };
    let name = ServerName::try_from("peer.test").unwrap();
    let trusted = start(roots.clone()).with_client_auth_cert(vec![leaf.der().clone()], private()).unwrap();
    let nameless = start(roots).with_no_client_auth();
    let starts = |terms| Security::Starts(Arc::new(terms), name.clone());
    (Security::Answers(Arc::new(answers)), starts(trusted), starts(nameless))
}

#[test]
fn bytes_pass_both_ways_under_tls_with_certificates_on_both_sides() {
    let (answers, starts, _) = issue();
    let mut turn = EventLoop::new().unwrap();
    let (_, at) = turn.listen(any(), answers, BufferLimits::default()).unwrap();
    let near = turn.dial(at, &starts, BufferLimits::default()).unwrap();
    // Written before the handshake is over, and larger than any buffer on the way.
    let long: Vec<u8> = (0..3_000_000u32).map(|k| k as u8).collect();
    turn.write(near, &long);
    let mut got = Vec::new();
    until(&mut turn, |turn, h| match h {
        IoEvent::Open { certificate, .. } => certificate.is_none().then(|| panic!("no certificate")),
        IoEvent::Bytes { conn, bytes } if *conn != near => {
            got.extend_from_slice(bytes);
            if got.len() == long.len() {
                turn.write(*conn, b"thanks");
            }
            None
        }
        IoEvent::Bytes { bytes, .. } => (bytes == b"thanks").then_some(()),
        _ => None,
    });
    assert!(got == long);
}

#[test]
fn who_has_no_certificate_or_speaks_no_tls_is_untrusted() {
    let (answers, _, nameless) = issue();
    let mut turn = EventLoop::new().unwrap();
    let (_, at) = turn.listen(any(), answers, BufferLimits::default()).unwrap();
    let near = turn.dial(at, &nameless, BufferLimits::default()).unwrap();
    let why = until(&mut turn, |_, h| match h {
        IoEvent::Closed { conn, why } if *conn != near => Some(*why),
        _ => None,
    });
    assert_eq!(why, CloseReason::Untrusted);
    let mut plain = TcpStream::connect(at).unwrap();
    plain.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let closed = |_: &mut EventLoop, h: &IoEvent| match h {
        IoEvent::Closed { why: CloseReason::Untrusted, conn } if *conn != near => Some(()),
        _ => None,
    };
    until(&mut turn, closed);
}

#[test]
fn a_peer_that_says_nothing_or_reads_nothing_loses_its_connection() {
    let mut turn = EventLoop::new().unwrap();
    let bounds =
        BufferLimits { idle: Some(Duration::from_millis(50)), unread: 1 << 20, ..BufferLimits::default() };
    let (_, at) = turn.listen(any(), Security::Plain, bounds).unwrap();
    let _silent = TcpStream::connect(at).unwrap();
    let closed = |_: &mut EventLoop, h: &IoEvent| match h {
        IoEvent::Closed { why, .. } => Some(*why),
        _ => None,
    };
    assert_eq!(until(&mut turn, closed), CloseReason::Idle);

    let bounds = BufferLimits { idle: None, ..bounds };
    let (_, at) = turn.listen(any(), Security::Plain, bounds).unwrap();
    let _deaf = TcpStream::connect(at).unwrap();
    let conn = until(&mut turn, |_, h| if let IoEvent::Open { conn, .. } = h { Some(*conn) } else { None });
    while turn.is_open(conn) {
        turn.write(conn, &[7; 100_000]);
        assert!(turn.waiting(conn) <= 1 << 20);
    }
    assert_eq!(until(&mut turn, closed), CloseReason::Unread);
}

#[test]
fn a_handshake_that_stalls_ends_and_a_refused_connection_is_told() {
    let (answers, starts, _) = issue();
    let mut turn = EventLoop::new().unwrap();
    let bounds = BufferLimits { handshake: Duration::from_millis(50), ..BufferLimits::default() };
    let (_, at) = turn.listen(any(), answers, bounds).unwrap();
    let _stalled = TcpStream::connect(at).unwrap();
    let closed =
        |_: &mut EventLoop, h: &IoEvent| if let IoEvent::Closed { why, .. } = h { Some(*why) } else { None };
    assert_eq!(until(&mut turn, closed), CloseReason::Slow);
    // Bound and not listening: it refuses, and nobody else is given it meanwhile.
    let deaf = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    deaf.bind(&any().into()).unwrap();
    let deaf_at = deaf.local_addr().unwrap().as_socket().unwrap();
    turn.dial(deaf_at, &starts, BufferLimits::default()).unwrap();
    assert_eq!(until(&mut turn, closed), CloseReason::Refused);
}

#[test]
fn a_finished_connection_delivers_what_was_written() {
    let mut turn = EventLoop::new().unwrap();
    let (_, at) = turn.listen(any(), Security::Plain, BufferLimits::default()).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    peer.write_all(b"unread by the other side").unwrap();
    let conn = until(&mut turn, |_, h| if let IoEvent::Open { conn, .. } = h { Some(*conn) } else { None });
    turn.write(conn, &[1; 200_000]);
    turn.finish(conn);
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        peer.read_to_end(&mut all).map(|_| all.len())
    });
    until(&mut turn, |_, h| matches!(h, IoEvent::Closed { why: CloseReason::Finished, .. }).then_some(()));
    assert_eq!(reader.join().unwrap().unwrap(), 200_000);
}

#[test]
fn a_listener_takes_no_more_than_it_may_and_a_held_connection_is_not_read() {
    let mut turn = EventLoop::new().unwrap();
    let bounds = BufferLimits { connections: 1, ..BufferLimits::default() };
    let (_, at) = turn.listen(any(), Security::Plain, bounds).unwrap();
    let mut first = TcpStream::connect(at).unwrap();
    let conn = until(&mut turn, |_, h| if let IoEvent::Open { conn, .. } = h { Some(*conn) } else { None });
    let mut second = TcpStream::connect(at).unwrap();
    while turn.turned_away == 0 {
        turn.wait(None).unwrap();
    }
    assert!(matches!(second.read(&mut [0; 8]), Ok(0) | Err(_)));
    turn.hold(conn, true);
    first.write_all(b"x").unwrap();
    let bytes = |h: &IoEvent| matches!(h, IoEvent::Bytes { .. });
    for _ in 0..3 {
        assert!(!turn.wait(Some(turn.now() + Duration::from_millis(5))).unwrap().iter().any(bytes));
    }
    turn.hold(conn, false);
    until(&mut turn, |_, h| bytes(h).then_some(()));
}

/// Hundreds that dial at once must not make one turn as long as all their handshakes: a turn goes on with some, and
/// all get there.
#[test]
fn a_storm_of_handshakes_is_spread_over_turns() {
    let (mut turn, (answers, starts, _)) = (EventLoop::new().unwrap(), issue());
    let (_, at) = turn.listen(any(), answers, BufferLimits::default()).unwrap();
    let count = 5 * HANDSHAKES_MOST;
    let dialled: Vec<ConnectionId> =
        (0..count).map(|_| turn.dial(at, &starts, BufferLimits::default()).unwrap()).collect();
    let (mut open, end) = (0, Instant::now() + Duration::from_secs(60));
    while open < 2 * dialled.len() && Instant::now() < end {
        let opened = turn.wait(None).unwrap();
        let opened = opened.iter().filter(|h| matches!(h, IoEvent::Open { .. })).count();
        assert!(opened <= HANDSHAKES_MOST, "{opened} handshakes in one turn");
        open += opened;
    }
    assert_eq!(open, 2 * count, "both sides of each");
}

#[test]
fn who_closes_its_own_half_gets_what_is_written_in_the_turn_of_its_end() {
    let mut turn = EventLoop::new().unwrap();
    let (_, at) = turn.listen(any(), Security::Plain, BufferLimits::default()).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    peer.write_all(b"well?").unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    // The whole turn is taken in before anything is written, as by a shell whose core answers then.
    let mut asked = Vec::new();
    let ended = until(&mut turn, |_, h| match h {
        IoEvent::Bytes { bytes, .. } => {
            asked.extend_from_slice(bytes);
            None
        }
        IoEvent::Closed { conn, why } => Some((*conn, *why)),
        _ => None,
    });
    assert_eq!((asked.as_slice(), ended.1), (&b"well?"[..], CloseReason::Ended));
    turn.write(ended.0, b"well.");
    let answer = std::thread::spawn(move || {
        let mut answer = Vec::new();
        peer.read_to_end(&mut answer).map(|_| answer)
    });
    // It is told once, and nothing of it is left.
    while turn.is_open(ended.0) {
        assert_eq!(turn.wait(Some(turn.now())).unwrap(), vec![]);
    }
    assert_eq!(answer.join().unwrap().unwrap(), b"well.");
}

#[test]
fn what_a_peer_sent_before_it_broke_is_told_before_its_end() {
    let mut turn = EventLoop::new().unwrap();
    let (_, at) = turn.listen(any(), Security::Plain, BufferLimits::default()).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let conn = until(&mut turn, |_, h| match h {
        IoEvent::Open { conn, .. } => Some(*conn),
        _ => None,
    });
    peer.write_all(b"last words").unwrap();
    drop(peer);
    // What is written now is answered by a reset, and the next write finds that out before anything is read.
    while turn.is_open(conn) {
        turn.write(conn, b"orders");
    }
    let mut told = Vec::new();
    until(&mut turn, |_, h| {
        told.push(h.clone());
        matches!(h, IoEvent::Closed { .. }).then_some(())
    });
    let bytes = IoEvent::Bytes { conn, bytes: b"last words".to_vec() };
    assert_eq!(told, vec![bytes, IoEvent::Closed { conn, why: CloseReason::Broken }]);
}

/// In a process of its own, where few descriptors are left; plays nothing when it is called by itself.
#[test]
fn a_listener_without_descriptors_rests() {
    let Ok(at) = std::env::var("RUNLOOM_TURN_SHORT") else {
        return in_a_process_of_few_descriptors();
    };
    let mut turn = EventLoop::new().unwrap();
    let (_, at) = turn.listen(at.parse().unwrap(), Security::Plain, BufferLimits::default()).unwrap();
    println!("listens at {at}");
    let (mut taken, mut all, mut idle) = (Vec::new(), 0, 0);
    // Some rests long nobody goes, and more wait than can be taken.
    let full = Duration::from_millis(500);
    while all < 64 {
        let happened = turn.wait(None).unwrap();
        idle += usize::from(happened.is_empty());
        taken.extend(happened.iter().filter_map(|h| match h {
            IoEvent::Open { conn, .. } => Some(*conn),
            _ => None,
        }));
        if turn.now() > full {
            all += taken.len();
            taken.drain(..).for_each(|conn| turn.cut(conn));
        }
    }
    // A rest lasts fifty milliseconds: a loop that never rests is idle thousands of times meanwhile.
    let most = turn.now().as_millis() / 20 + 20;
    assert!((idle as u128) < most, "{idle} idle turns in {:?}", turn.now());
    println!("took {all}");
}

fn in_a_process_of_few_descriptors() {
    use std::io::{BufRead, BufReader};
    use std::process::{Command, Stdio};
    let itself = std::env::current_exe().unwrap();
    let script = "ulimit -n 32; exec \"$0\" --exact tests::a_listener_without_descriptors_rests --nocapture";
    let mut child = Command::new("/bin/sh")
        .args(["-c", script])
        .arg(itself)
        .env("RUNLOOM_TURN_SHORT", ANY)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map(Result::unwrap);
    let at = lines.find_map(|l| Some(l.split("listens at ").nth(1)?.to_string())).expect("it listens");
    let peers: Vec<TcpStream> = (0..64).map(|_| TcpStream::connect(&at).unwrap()).collect();
    let said: Vec<String> = lines.collect();
    assert!(child.wait().unwrap().success(), "{said:?}");
    assert!(said.iter().any(|l| l.contains("took 64")), "{said:?}");
    drop(peers);
}
