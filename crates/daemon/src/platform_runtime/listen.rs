//! Listens on an address that the previous process may still hold.

use super::error::RuntimeError;
use runloom_event_loop::{ConnectionId, ConnectionLimits, EventLoop, IoEvent, Security};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two attempts to listen on an address that the previous process still holds.
const LISTEN_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the start for which these attempts are made. The platform gives a planner thirty seconds to become ready.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Unsent bytes to buffer for a client that does not read: some hundred updates.
const MAX_UNSENT_BYTES: usize = 128 << 10;

/// A bound listener.
pub(super) struct BoundListener {
    pub(super) id: ConnectionId,
    pub(super) address: SocketAddr,
}

/// Listens for clients, and retries for [`LISTEN_TIMEOUT`] while the address is in use; `None` if a stop signal came
/// first.
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
