//! NETCONF sessions of operators, tools and the inventory feed, which read and edit the configuration.

use super::core::PlannerCore;
use super::netconf_sessions::NetconfSessions;
use super::state_report::state_report;
use crate::tls_credentials::CertificateHolder;
use crate::wall_rfc3339;
use runloom_event_loop::{CloseReason, ConnectionId, EventLoop};
use runloom_model::{Schema, YANG_MODULES};
use runloom_netconf::service::{Service, ServiceLimits, CAPABILITIES};
use runloom_netconf::session::{Role, Rpc, Session, SessionEvent, SessionLimits};
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::time::Duration;

/// One operator's session.
struct OperatorSession {
    /// The NETCONF session id.
    id: u32,
    session: Session,
    /// Whether the connection closes once its pending replies are written.
    is_closing: bool,
    /// The batch of edits that has to be on disk before pending replies may be sent.
    required_batch: u64,
}

impl OperatorSession {
    fn has_output(&self) -> bool {
        self.session.unsent_bytes() > 0 || self.is_closing
    }
}

/// All operators' sessions, and the NETCONF service that handles their operations.
pub(super) struct OperatorSessions {
    service: Service,
    sessions: BTreeMap<ConnectionId, OperatorSession>,
}

/// Capabilities that the server announces, including its YANG modules (RFC 6020, section 5.6.4).
fn capabilities() -> Vec<String> {
    let module = |(name, revision, _): &(&str, &str, &str)| {
        format!("urn:{}?module={name}&revision={revision}", name.replace('-', ":"))
    };
    CAPABILITIES.into_iter().map(String::from).chain(YANG_MODULES.iter().map(module)).collect()
}

impl OperatorSessions {
    pub(super) fn new(schema: Schema) -> OperatorSessions {
        OperatorSessions {
            service: Service::new(schema, ServiceLimits::default()),
            sessions: BTreeMap::new(),
        }
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.sessions.keys().copied()
    }

    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.sessions.contains_key(&connection)
    }

    pub(super) fn next_wakeup(&self) -> Option<Duration> {
        self.service.next_wakeup()
    }

    /// Handles timeouts of the NETCONF service, such as that of a confirmed commit.
    pub(super) fn handle_timeouts(&mut self, core: &mut PlannerCore, now: Duration) {
        self.service.handle_timeout(now, &mut core.config);
    }

    /// Opens a session for the authenticated holder of a certificate; aborts the connection if there are too many.
    pub(super) fn open(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        holder: &CertificateHolder,
    ) {
        let Some(id) = self.service.open_session(&holder.name, event_loop.now()) else {
            tracing::warn!(who = %holder.name, "session rejected: too many sessions");
            event_loop.abort(connection);
            return;
        };
        core.config.register_client(holder);
        tracing::info!(who = %holder.name, session = id, "session opened");
        let capabilities = capabilities();
        let capabilities: Vec<&str> = capabilities.iter().map(String::as_str).collect();
        let session = Session::new(Role::Server { id }, &capabilities, SessionLimits::default());
        let session = OperatorSession { id, session, is_closing: false, required_batch: 0 };
        self.sessions.insert(connection, session);
        self.write_netconf_output(event_loop, connection);
    }

    fn handle_rpc(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        rpc: &Rpc,
    ) {
        let now = event_loop.now();
        core.set_time(now);
        if rpc.operation().name == "get" {
            core.config.state_reply = vec![state_report(core, now)];
        }
        let Some(operator) = self.sessions.get_mut(&connection) else { return };
        let answer = self.service.handle(now, operator.id, rpc, &mut core.config);
        log_rpc_error(operator.id, rpc, &answer.content);
        operator.session.reply(rpc, answer.content);
        // The reply may depend on edits that are not on disk yet.
        if core.config.has_unsaved_changes() {
            operator.required_batch = core.edit_batches.submitted + 1;
        } else if core.config.has_write_in_flight() {
            operator.required_batch = core.edit_batches.submitted;
        }
        operator.is_closing |= answer.closes_session;
        for killed in answer.killed_sessions {
            self.kill(core, event_loop, killed);
        }
    }

    /// Ends the session that a `<kill-session>` names (RFC 6241, section 7.9).
    fn kill(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop, id: u32) {
        let killed = self.sessions.iter().find(|(_, operator)| operator.id == id);
        if let Some(connection) = killed.map(|(connection, _)| *connection) {
            event_loop.abort(connection);
            self.handle_close(core, event_loop, connection, CloseReason::Finished);
        }
    }

    /// Queues a notification for the sessions that subscribed to it.
    pub(super) fn notify(&mut self, event: &Element) {
        let subscribers = self.service.subscribers(event);
        for operator in self.sessions.values_mut().filter(|operator| subscribers.contains(&operator.id)) {
            operator.session.notify(&wall_rfc3339(), event.clone());
        }
    }

    /// Writes the output of sessions whose required batch of edits is on disk.
    pub(super) fn write_replies(&mut self, core: &PlannerCore, event_loop: &mut EventLoop) {
        let durable = core.edit_batches.durable;
        let may_write =
            |operator: &OperatorSession| operator.has_output() && operator.required_batch <= durable;
        let ready = self.sessions.iter().filter(|(_, operator)| may_write(operator));
        let ready: Vec<(ConnectionId, bool)> =
            ready.map(|(connection, operator)| (*connection, operator.is_closing)).collect();
        for (connection, is_closing) in ready {
            self.write_netconf_output(event_loop, connection);
            if is_closing {
                event_loop.finish(connection);
            }
        }
    }

    /// Aborts the sessions whose pending replies depend on edits that could not be written. Their clients do not learn
    /// whether these edits were accepted, and can send them again under the same edit id.
    pub(super) fn abort_unsaved(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop) {
        let durable = core.edit_batches.durable;
        let is_unsaved = |operator: &OperatorSession| {
            operator.session.unsent_bytes() > 0 && operator.required_batch > durable
        };
        let unsaved = self.sessions.iter().filter(|(_, operator)| is_unsaved(operator));
        let unsaved: Vec<ConnectionId> = unsaved.map(|(connection, _)| *connection).collect();
        core.edit_batches.durable = core.edit_batches.submitted;
        for connection in unsaved {
            event_loop.abort(connection);
            self.handle_close(core, event_loop, connection, CloseReason::Broken);
        }
    }
}

fn log_rpc_error(session: u32, rpc: &Rpc, reply: &[Element]) {
    if let Some(error) = reply.first().filter(|content| content.name == "rpc-error") {
        let (tag, why) = (error.text_of("error-tag"), error.text_of("error-message"));
        tracing::info!(session, operation = %rpc.operation().name, tag, why, "operation rejected");
    }
}

impl NetconfSessions for OperatorSessions {
    fn netconf_session(&mut self, connection: ConnectionId) -> Option<&mut Session> {
        self.sessions.get_mut(&connection).map(|operator| &mut operator.session)
    }

    fn handle_netconf_event(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        event: SessionEvent,
    ) {
        if let SessionEvent::Rpc(rpc) = event {
            self.handle_rpc(core, event_loop, connection, &rpc);
        }
    }

    fn handle_close(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        reason: CloseReason,
    ) {
        let Some(operator) = self.sessions.remove(&connection) else { return };
        core.identities.forget(connection);
        tracing::info!(session = operator.id, why = ?reason, "session closed");
        core.set_time(event_loop.now());
        self.service.close_session(operator.id, &mut core.config);
    }
}
