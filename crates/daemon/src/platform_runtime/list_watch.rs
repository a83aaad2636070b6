//! Connections of the endpoint list's watch: dialing, reading, and starting over.

use super::PlatformRuntime;
use runloom_event_loop::{ConnectionId, ConnectionLimits, IoEvent, Security};
use runloom_platform_protocol::endpoint_list;

impl PlatformRuntime {
    /// Whether an event belongs to a connection of the watch.
    pub(super) fn is_watch_event(&self, event: &IoEvent) -> bool {
        match event {
            IoEvent::Open { conn, .. } | IoEvent::Bytes { conn, .. } | IoEvent::Closed { conn, .. } => {
                self.watch.owns(*conn)
            }
            IoEvent::Signal(_) => false,
        }
    }

    /// Closes connections of the watch that have expired, and dials a new one if it is due. Starts over with the
    /// complete list if discovery has reset its revisions.
    pub(super) fn maintain_watch(&mut self) {
        let read_until = self.read_until();
        let address = self.watch.address();
        if self.platform.reset_outdated_revision(read_until) {
            tracing::info!(at = %address, "the list is counted anew");
            self.restart_watch();
        }
        for conn in self.watch.take_expired(read_until) {
            tracing::info!(at = %address, "the watch is silent");
            self.event_loop.abort(conn);
        }
        let now = self.now();
        if self.watch.should_dial(now) {
            let conn = self.event_loop.dial(address, &Security::Plain, ConnectionLimits::default()).ok();
            if let Some(conn) = conn {
                let revision = self.platform.watch_revision();
                let request = endpoint_list::watch_request(&address.to_string(), revision);
                self.event_loop.write(conn, &request);
            }
            self.watch.handle_dialed(conn, now);
        }
    }

    fn restart_watch(&mut self) {
        if let Some(conn) = self.watch.restart(self.now()) {
            self.event_loop.abort(conn);
        }
    }

    /// Handles an event of a connection of the watch.
    pub(super) fn handle_watch_event(&mut self, event: IoEvent) {
        match event {
            IoEvent::Bytes { conn, bytes } => self.handle_watch_bytes(conn, &bytes),
            IoEvent::Closed { conn, reason: why } => {
                tracing::info!(at = %self.watch.address(), ?why, "the watch has ended");
                self.watch.handle_closed(conn, self.now());
            }
            IoEvent::Open { .. } | IoEvent::Signal(_) => {}
        }
    }

    /// Handles a line of the watch. Returns whether the line, or an entry of it, has to be requested again.
    fn handle_list_line(&mut self, line: &[u8]) -> bool {
        let result = self.platform.handle_list_line(line, self.now());
        result.is_err() || self.platform.take_must_reread_list()
    }

    fn handle_watch_bytes(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let now = self.now();
        let at = self.watch.address();
        let output = self.watch.handle_bytes(conn, bytes, now);
        // The lines after one that is requested again are sent again too, so they are skipped.
        let must_request_again = output.lines.iter().any(|line| self.handle_list_line(line));
        if output.is_first {
            tracing::info!(%at, "watching");
        }
        if output.is_unreadable || must_request_again {
            tracing::info!(%at, "the watch can't be read: its data are requested again");
        }
        if output.should_close {
            self.event_loop.abort(conn);
        }
        if must_request_again {
            self.restart_watch();
        }
    }
}
