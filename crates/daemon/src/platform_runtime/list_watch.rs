//! The watch of the endpoint list on its connections.

use super::PlatformRuntime;
use runloom_event_loop::{ConnectionId, ConnectionLimits, IoEvent, Security};
use runloom_platform_protocol::endpoint_list;

impl PlatformRuntime {
    /// Whether an event belongs to a connection of the watch.
    pub(super) fn is_of_watch(&self, event: &IoEvent) -> bool {
        match event {
            IoEvent::Open { conn, .. } | IoEvent::Bytes { conn, .. } | IoEvent::Closed { conn, .. } => {
                self.watch.owns(*conn)
            }
            IoEvent::Signal(_) => false,
        }
    }

    /// Closes watches that have expired, and dials where there is none.
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

    /// Handles a line; whether it, or an entry of it, is to be asked for again.
    fn must_ask_again(&mut self, line: &[u8]) -> bool {
        let result = self.platform.handle_list_line(line, self.now());
        result.is_err() || self.platform.take_must_reread_list()
    }

    fn handle_watch_bytes(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let now = self.now();
        let at = self.watch.address();
        let output = self.watch.handle_bytes(conn, bytes, now);
        // The lines behind one that is asked for again come again too.
        let has_unreadable_line = output.lines.iter().any(|line| self.must_ask_again(line));
        if output.is_first {
            tracing::info!(%at, "watching");
        }
        if output.is_unreadable || has_unreadable_line {
            tracing::info!(%at, "the watch can't be read");
        }
        if output.should_close {
            self.event_loop.abort(conn);
        }
        if has_unreadable_line {
            self.restart_watch();
        }
    }
}
