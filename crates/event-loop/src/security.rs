//! Transport security of connections: none, or TLS in either role.

use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, Connection as TlsConnection, ServerConfig, ServerConnection};
use std::io;
use std::sync::Arc;

/// Output that rustls may buffer per connection: four TLS records, enough to keep the socket busy. All other output is
/// buffered, and limited, by the connection itself.
const TLS_BUFFER_BYTES: usize = 64 << 10;

/// Transport security of a connection. The TLS role does not depend on which side dialed: with call home (RFC 8071),
/// the side that accepts the TCP connection is the TLS client.
#[derive(Clone)]
pub enum Security {
    /// No TLS.
    Plain,
    /// This side is the TLS server.
    TlsServer(Arc<ServerConfig>),
    /// This side is the TLS client, and the peer's certificate must be valid for this name.
    TlsClient(Arc<ClientConfig>, ServerName<'static>),
}

impl Security {
    /// Creates the TLS state of a new connection; `None` for a plain one.
    pub(crate) fn new_tls_connection(&self) -> io::Result<Option<TlsConnection>> {
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
