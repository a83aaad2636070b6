//! NETCONF sessions by connection: passes received bytes to a session, and handles the events that result.

use super::core::PlannerCore;
use runloom_event_loop::{CloseReason, ConnectionId, EventLoop};
use runloom_netconf::session::{Session, SessionEvent};

/// A set of connections, some or all of which carry a NETCONF session.
pub(super) trait NetconfSessions {
    /// The session on a connection; `None` if there is none, or if it has ended.
    fn netconf_session(&mut self, connection: ConnectionId) -> Option<&mut Session>;

    /// Handles one event of a session.
    fn handle_netconf_event(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        event: SessionEvent,
    );

    /// Removes the session of a connection that has ended.
    fn handle_close(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        reason: CloseReason,
    );

    /// Handles received bytes. A session that violates the protocol is closed.
    fn handle_netconf_bytes(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(session) = self.netconf_session(connection) else { return };
        let mut received = session.receive(bytes);
        loop {
            let events = match received {
                Ok(events) => events,
                Err(error) => {
                    tracing::warn!(reason = %error, "session ends: the peer violated the protocol");
                    self.write_netconf_output(event_loop, connection);
                    event_loop.finish(connection);
                    return self.handle_close(core, event_loop, connection, CloseReason::Broken);
                }
            };
            let count = events.len();
            for event in events {
                if self.netconf_session(connection).is_none() {
                    return;
                }
                self.handle_netconf_event(core, event_loop, connection, event);
            }
            // One read may hold more messages than the session returns at once; the size of a read is bounded.
            let session = self.netconf_session(connection).filter(|session| session.may_have_more(count));
            let Some(session) = session else { return };
            received = session.receive_buffered();
        }
    }

    /// Writes what the session has to send.
    fn write_netconf_output(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        if let Some(session) = self.netconf_session(connection) {
            let bytes = session.take_output(usize::MAX);
            event_loop.write(connection, &bytes);
        }
    }
}
