//! How a connection is secured.

use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, Connection as TlsConnection, ServerConfig, ServerConnection};
use std::io;
use std::sync::Arc;

/// Bytes that the TLS library may buffer: four records, enough to keep the socket busy. Everything else is buffered,
/// and limited, outside of the library.
const TLS_BUFFER_BYTES: usize = 64 << 10;

/// How a connection is secured, whichever side dialed: with Call Home (RFC 8071) the side that accepts the TCP
/// connection is the TLS client.
#[derive(Clone)]
pub enum Security {
    /// No TLS.
    Plain,
    /// This side is the TLS server.
    TlsServer(Arc<ServerConfig>),
    /// This side is the TLS client and expects the peer to have this name.
    TlsClient(Arc<ClientConfig>, ServerName<'static>),
}

impl Security {
    /// The TLS state of a new connection; `None` for a plain one.
    pub(crate) fn start(&self) -> io::Result<Option<TlsConnection>> {
        let mut connection: TlsConnection = match self {
            Security::Plain => return Ok(None),
            Security::TlsServer(config) => {
                ServerConnection::new(config.clone()).map_err(io::Error::other)?.into()
            }
            Security::TlsClient(config, name) => {
                ClientConnection::new(config.clone(), name.clone()).map_err(io::Error::other)?.into()
            }
        };
        connection.set_buffer_limit(Some(TLS_BUFFER_BYTES));
        Ok(Some(connection))
    }
}
