//! Clients that never identify themselves as an allowed proxy: silent ones, and ones that send partial, endless or
//! malformed messages or another protocol. The planner must close each or answer it with `NACK`.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An unidentified client must be closed or answered within this time of connecting.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
/// As [`CLOSE_LIMIT`], for a client that does not stop sending.
const ENDLESS_CLOSE_LIMIT: Duration = Duration::from_secs(6);
/// Time after which a client stops waiting.
const GIVE_UP_AFTER: Duration = Duration::from_secs(12);
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// What an unidentified client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnidentifiedClient {
    /// Nothing at all.
    Silent,
    /// A part of a message.
    Half,
    /// A long message whose body comes in small pieces, without end.
    Endless,
    /// A message length far above the limit.
    InvalidLength,
    /// A message that is not JSON.
    InvalidBody,
    /// An HTTP request.
    Http,
    /// A proxy's report without `SUBSCRIBE` before it.
    Report,
    /// `SUBSCRIBE` with an id that the settings do not allow.
    UnknownProxy,
}

impl UnidentifiedClient {
    const ALL: [UnidentifiedClient; 8] = [
        UnidentifiedClient::Silent,
        UnidentifiedClient::Half,
        UnidentifiedClient::Endless,
        UnidentifiedClient::InvalidLength,
        UnidentifiedClient::InvalidBody,
        UnidentifiedClient::Http,
        UnidentifiedClient::Report,
        UnidentifiedClient::UnknownProxy,
    ];

    /// The kind of the client with this number; kinds take turns.
    pub fn for_number(number: usize) -> UnidentifiedClient {
        UnidentifiedClient::ALL[number % UnidentifiedClient::ALL.len()]
    }

    fn first_bytes(self) -> Vec<u8> {
        let framed = |body: &[u8]| [&(body.len() as u32).to_le_bytes()[..], body].concat();
        match self {
            UnidentifiedClient::Silent => vec![],
            UnidentifiedClient::Half => framed(br#"{"t":"SUBSCRIBE","id":1}"#)[..15].to_vec(),
            UnidentifiedClient::Endless => [&(1u32 << 20).to_le_bytes()[..], b"{\"t\":\""].concat(),
            UnidentifiedClient::InvalidLength => u32::MAX.to_le_bytes().to_vec(),
            UnidentifiedClient::InvalidBody => framed(b"not a message"),
            UnidentifiedClient::Http => b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
            UnidentifiedClient::Report => {
                framed(br#"{"t":"RATE","id":1,"lane":"lookup","count":1,"fail":0,"over":9.0}"#)
            }
            UnidentifiedClient::UnknownProxy => {
                framed(br#"{"t":"SUBSCRIBE","id":900000,"site":"a","rps":1.0,"new":true}"#)
            }
        }
    }

    fn close_limit(self) -> Duration {
        if self == UnidentifiedClient::Endless {
            ENDLESS_CLOSE_LIMIT
        } else {
            CLOSE_LIMIT
        }
    }
}

/// How an unidentified client's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// It was closed or answered within its limit.
    Answered,
    /// It could not connect, since no process listened.
    NotConnected,
    /// It was not closed or answered within its limit.
    Late {
        /// What it sent.
        kind: UnidentifiedClient,
        /// Time from connecting until it was closed or answered, or gave up.
        waited: Duration,
    },
}

/// Connects, and waits until the planner closes the connection or answers.
pub fn connect_and_wait(planner: SocketAddr, kind: UnidentifiedClient) -> ClientOutcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&planner, CLOSE_LIMIT) else {
        return ClientOutcome::NotConnected;
    };
    let connected_at = Instant::now();
    let _ = stream.set_read_timeout(Some(SEND_INTERVAL));
    let _ = stream.write_all(&kind.first_bytes());
    let mut buffer = [0; 256];
    while connected_at.elapsed() < GIVE_UP_AFTER {
        match stream.read(&mut buffer) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // The connection has ended, or bytes have arrived: a NACK, since no other answer is due to this client.
            _ => break,
        }
        if kind == UnidentifiedClient::Endless && stream.write_all(b"aaaaaaaaaaaaaaaa").is_err() {
            break;
        }
    }
    let waited = connected_at.elapsed();
    if waited <= kind.close_limit() {
        ClientOutcome::Answered
    } else {
        ClientOutcome::Late { kind, waited }
    }
}
