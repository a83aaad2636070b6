//! Listening on an address that the preceding process may still hold.

use super::error::RuntimeError;
use runloom_event_loop::{ConnectionId, ConnectionLimits, EventLoop, IoEvent, Security};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// The preceding process may still hold the address: listening is tried again this often, for so long. The platform
/// gives a planner thirty seconds to become ready.
const LISTEN_INTERVAL: Duration = Duration::from_millis(50);
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that may wait for a client that does not read: some hundred updates.
const MAX_UNSENT_BYTES: usize = 128 << 10;

/// A bound listener.
pub(super) struct BoundListener {
    pub(super) id: ConnectionId,
    pub(super) address: SocketAddr,
}

/// Listens for clients, again for a while as long as the address is in use; `None` if a signal ended that.
pub(super) fn listen(
    event_loop: &mut EventLoop,
    address: SocketAddr,
) -> Result<Option<BoundListener>, RuntimeError> {
    let limits = ConnectionLimits {
        max_unsent_bytes: MAX_UNSENT_BYTES,
        max_connections: usize::MAX,
        ..ConnectionLimits::default()
    };
    let mut has_warned = false;
    loop {
        match event_loop.listen(address, Security::Plain, limits) {
            Ok((id, address)) => return Ok(Some(BoundListener { id, address })),
            Err(error) if error.kind() == ErrorKind::AddrInUse && event_loop.now() < LISTEN_TIMEOUT => {
                if !has_warned {
                    tracing::warn!("{address}: in use, tried again");
                    has_warned = true;
                }
            }
            Err(source) => return Err(RuntimeError::Listen { address, source }),
        }
        let next_attempt = event_loop.now() + LISTEN_INTERVAL;
        if event_loop.wait(Some(next_attempt))?.iter().any(is_stop_signal) {
            return Ok(None);
        }
    }
}

fn is_stop_signal(event: &IoEvent) -> bool {
    matches!(event, IoEvent::Signal(SIGTERM | SIGINT))
}
