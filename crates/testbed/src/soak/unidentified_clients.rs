//! Clients that are no proxies: silent, half, endless, malformed, or of another protocol. Each is owed a close or `NACK`.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An unidentified client is owed an end within this time of connecting, one that goes on sending within the longer one.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
const ENDLESS_CLOSE_LIMIT: Duration = Duration::from_secs(6);
/// The time after which a client gives up waiting.
const GIVE_UP_AFTER: Duration = Duration::from_secs(12);
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// What an unidentified client does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnidentifiedClient {
    /// Nothing.
    Silent,
    /// Half of a message.
    Half,
    /// A message that goes on.
    Endless,
    /// A length that cannot be.
    InvalidLength,
    /// Bytes that are no JSON.
    InvalidBody,
    /// A request of HTTP.
    Http,
    /// A report that no joining came before.
    Report,
    /// A proxy that the settings do not allow.
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

    /// The kind of the client with this number.
    pub fn of(number: usize) -> UnidentifiedClient {
        UnidentifiedClient::ALL[number % UnidentifiedClient::ALL.len()]
    }

    fn opening(self) -> Vec<u8> {
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

/// How an unidentified client fared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// It was closed or answered in time.
    Answered,
    /// It was not connected: the process was not there.
    NotConnected,
    /// It waited longer than it is owed.
    Late {
        /// What it did.
        kind: UnidentifiedClient,
        /// How long it waited.
        waited: Duration,
    },
}

/// Connects and waits for the end.
pub fn visit(planner: SocketAddr, kind: UnidentifiedClient) -> ClientOutcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&planner, CLOSE_LIMIT) else {
        return ClientOutcome::NotConnected;
    };
    let connected_at = Instant::now();
    let _ = stream.set_read_timeout(Some(SEND_INTERVAL));
    let _ = stream.write_all(&kind.opening());
    let mut buffer = [0; 256];
    while connected_at.elapsed() < GIVE_UP_AFTER {
        match stream.read(&mut buffer) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // Any bytes are a NACK: such a client has asked for nothing else.
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
