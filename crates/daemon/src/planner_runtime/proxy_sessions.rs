//! Sessions of proxies, whether they called home or subscribe: admission, delivery of updates, acknowledgements and
//! timeouts. The distributor chooses the update that a proxy gets.

use super::call_home::CallHomeSession;
use super::core::{record_micros, ConnectedProxy, PlannerCore, ProxyId};
use super::identities::wall_seconds;
use super::netconf_sessions::NetconfSessions;
use super::proxy_event::ProxyEvent;
use super::proxy_session::ProxySession;
use super::subscriber::{BodyCache, SubscriberSession};
use crate::tls_credentials::CertificateHolder;
use runloom_distribution::suspicion::Verdict;
use runloom_distribution::{PendingProxy, Transport};
use runloom_event_loop::{CloseReason, ConnectionId, EventLoop};
use runloom_model::report::Report;
use runloom_netconf::session::{Session, SessionEvent};
use runloom_versioned_publisher::Topic;
use std::collections::BTreeMap;
use std::time::Duration;

/// All proxies' sessions, and the update parts serialized for them.
#[derive(Default)]
pub(super) struct ProxySessions {
    sessions: BTreeMap<ConnectionId, ProxySession>,
    bodies: BodyCache,
}

impl ProxySessions {
    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.sessions.keys().copied()
    }

    /// Opens a NETCONF session with a proxy that called home.
    pub(super) fn open_call_home(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        holder: CertificateHolder,
    ) {
        let session = ProxySession::CallHome(Box::new(CallHomeSession::new(holder)));
        self.sessions.insert(connection, session);
        self.write_netconf_output(event_loop, connection);
    }

    /// Opens an MQTT session with a proxy that connected to subscribe.
    pub(super) fn open_subscriber(
        &mut self,
        event_loop: &EventLoop,
        planner: &str,
        connection: ConnectionId,
        holder: CertificateHolder,
    ) {
        let session = SubscriberSession::new(event_loop.now(), planner, holder);
        self.sessions.insert(connection, ProxySession::Subscriber(Box::new(session)));
    }

    /// Handles bytes that a proxy sent, and writes the session's output.
    pub(super) fn handle_bytes(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        bytes: &[u8],
    ) {
        let events = match self.sessions.get_mut(&connection) {
            Some(ProxySession::Subscriber(subscriber)) => subscriber.session.receive(event_loop.now(), bytes),
            _ => return self.handle_netconf_bytes(core, event_loop, connection, bytes),
        };
        for event in events {
            let Some(ProxySession::Subscriber(subscriber)) = self.sessions.get_mut(&connection) else {
                return;
            };
            if let Some(event) = subscriber.handle_event(connection, event) {
                self.handle_event(core, event_loop, connection, event);
            }
        }
        self.write_output(core, event_loop, connection);
    }

    fn handle_event(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        event: ProxyEvent,
    ) {
        match event {
            ProxyEvent::OutputReady => self.write_netconf_output(event_loop, connection),
            ProxyEvent::Introduced(pending) => self.enqueue(core, event_loop, pending),
            ProxyEvent::Disconnect(reason) => self.disconnect(core, event_loop, connection, reason),
            ProxyEvent::Finish(reason) => self.finish(core, event_loop, connection, reason),
            ProxyEvent::Acknowledged { number, sent } => {
                self.handle_acknowledgement(core, event_loop.now(), connection, number, sent);
            }
            ProxyEvent::NotApplicable { number, topic } => {
                self.handle_not_applicable(core, event_loop, connection, number, topic);
            }
            ProxyEvent::Reported(report) => self.handle_report(core, event_loop, connection, &report),
            ProxyEvent::MalformedReport(why) => self.handle_malformed_report(core, connection, &why),
        }
    }

    fn proxy(&self, connection: ConnectionId) -> Option<ProxyId> {
        self.sessions.get(&connection).and_then(ProxySession::proxy)
    }

    // Admission.

    /// Queues a proxy that introduced itself for admission. It replaces a queued connection of the same proxy.
    fn enqueue(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop, pending: PendingProxy) {
        let connection = pending.connection;
        if let Some(other) =
            core.distributor.waiting_connection(&pending.name).filter(|other| *other != connection)
        {
            self.take_over(event_loop, other);
        }
        if !core.distributor.enqueue(event_loop.now(), pending) {
            tracing::warn!("proxy rejected: too many proxies wait for admission");
            self.disconnect(core, event_loop, connection, CloseReason::Refused);
        }
    }

    /// Admits the proxies that the distributor releases from its queue.
    pub(super) fn admit(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop, now: Duration) {
        while let Some(pending) = core.distributor.admit_next(now) {
            self.admit_one(core, event_loop, pending);
        }
    }

    fn admit_one(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop, pending: PendingProxy) {
        let connection = pending.connection;
        let Some(session) = self.sessions.get_mut(&connection) else { return };
        let connected = ConnectedProxy {
            connection,
            name: pending.name.clone(),
            zone: pending.zone.clone(),
            request_rate: pending.request_rate,
            transport: pending.transport,
        };
        let has_no_table = pending.has_no_table;
        let proxy = core.control.connect_proxy(
            &connected.name,
            &connected.zone,
            connected.request_rate,
            has_no_table,
        );
        session.set_proxy(proxy);
        core.distributor.connect(proxy, pending);
        // Messages of the proxy's earlier session are no longer acknowledged, so edits must not wait for them.
        core.config.edit_history.disconnect_proxy(proxy);
        tracing::info!(
            proxy = %connected.name,
            zone = %connected.zone,
            rate = connected.request_rate,
            fresh = has_no_table,
            published = connected.transport == Transport::Published,
            "connected"
        );
        let previous = core.connected.insert(proxy, connected);
        if let Some(previous) = previous.filter(|previous| previous.connection != connection) {
            // The previous connection is half open, or another process uses the same certificate.
            self.take_over(event_loop, previous.connection);
        }
    }

    /// Ends a connection whose proxy has opened another one. A subscriber is sent the reason first.
    fn take_over(&mut self, event_loop: &mut EventLoop, connection: ConnectionId) {
        if let Some(ProxySession::Subscriber(mut subscriber)) = self.sessions.remove(&connection) {
            tracing::warn!(proxy = %subscriber.holder.name, "another connection of this proxy took over");
            subscriber.session.take_over(event_loop.now());
            event_loop.write(connection, &subscriber.session.take_output());
            event_loop.finish(connection);
        } else {
            event_loop.abort(connection);
        }
    }

    // Acknowledgements and reports.

    fn handle_acknowledgement(
        &mut self,
        core: &mut PlannerCore,
        now: Duration,
        connection: ConnectionId,
        number: u64,
        sent: Option<Duration>,
    ) {
        let Some(proxy) = self.proxy(connection) else { return };
        if let Some(sent) = sent {
            record_micros(&mut core.statistics.acknowledgement_time, now.saturating_sub(sent));
        }
        let update = core.distributor.acknowledge(now, proxy, number);
        core.update_applied(now, proxy, update);
    }

    fn handle_not_applicable(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        number: u64,
        topic: Topic,
    ) {
        let now = event_loop.now();
        let Some(proxy) = self.proxy(connection) else { return };
        let rejection = core.distributor.reject(now, proxy, number, topic);
        core.update_applied(now, proxy, rejection.newest_in_force);
        if rejection.verdict == Verdict::Disconnect {
            tracing::error!(
                proxy = core.control.proxy_name(proxy),
                "disconnected: the proxy cannot apply any update"
            );
            self.finish(core, event_loop, connection, CloseReason::Refused);
        }
    }

    fn handle_report(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        report: &Report,
    ) {
        let now = event_loop.now();
        let Some(proxy) = self.proxy(connection) else { return };
        core.control.handle_report(now, proxy, report);
        let tried = report.outcomes.iter().filter(|outcome| outcome.attempts > 0);
        let tried = tried.map(|outcome| outcome.server.as_str());
        match core.distributor.check_report(now, proxy, report.window, tried) {
            Verdict::Trusted => {}
            Verdict::Resync => {
                let proxy = core.control.proxy_name(proxy);
                tracing::warn!(
                    proxy,
                    "the proxy tries servers that it acknowledged as ejected: its tables are sent again"
                );
            }
            Verdict::Disconnect => {
                let proxy = core.control.proxy_name(proxy);
                tracing::error!(
                    proxy,
                    "disconnected: the proxy does not follow the tables that it acknowledged"
                );
                self.disconnect(core, event_loop, connection, CloseReason::Refused);
            }
        }
    }

    fn handle_malformed_report(&self, core: &mut PlannerCore, connection: ConnectionId, why: &str) {
        core.statistics.malformed_reports += 1;
        if let Some(session) = self.sessions.get(&connection) {
            tracing::debug!(proxy = %session.holder().name, why, "a report is malformed");
        }
    }

    // Delivery.

    /// Sends connected proxies the updates that they lack.
    pub(super) fn deliver_updates(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        for (proxy, update) in core.distributor.take_completed() {
            core.update_applied(now, proxy, Some(update));
        }
        self.bodies.limit_size();
        let wall = wall_seconds();
        for proxy in core.distributor.take_ready() {
            let Some(connection) = core.connection_of(proxy) else { continue };
            // Nothing is sent to a proxy whose identity expired since the last periodic check.
            if core.identities.has_expired(connection, wall) {
                self.disconnect(core, event_loop, connection, CloseReason::Untrusted);
                continue;
            }
            self.send_updates(core, now, proxy, connection);
            self.write_output(core, event_loop, connection);
        }
    }

    fn send_updates(
        &mut self,
        core: &mut PlannerCore,
        now: Duration,
        proxy: ProxyId,
        connection: ConnectionId,
    ) {
        let Some(session) = self.sessions.get_mut(&connection) else { return };
        while session.can_send() {
            let Some(outgoing) = core.distributor.next_message(now, proxy) else { return };
            session.send(now, &outgoing, &mut self.bodies);
        }
    }

    /// Writes a session's output, and closes the connection of a subscriber's session that has ended.
    fn write_output(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop, connection: ConnectionId) {
        let Some(ProxySession::Subscriber(subscriber)) = self.sessions.get_mut(&connection) else {
            return self.write_netconf_output(event_loop, connection);
        };
        event_loop.write(connection, &subscriber.session.take_output());
        if let Some(reason) = subscriber.close_reason() {
            self.finish(core, event_loop, connection, reason);
        }
    }

    // Timeouts and closing.

    /// Closes subscribers' sessions whose MQTT keep-alive has timed out.
    pub(super) fn close_silent(&mut self, core: &mut PlannerCore, event_loop: &mut EventLoop, now: Duration) {
        let mut ended = vec![];
        for (connection, session) in &mut self.sessions {
            let ProxySession::Subscriber(subscriber) = session else { continue };
            subscriber.session.handle_timeout(now);
            if subscriber.session.end().is_some() {
                ended.push(*connection);
            }
        }
        for connection in ended {
            self.write_output(core, event_loop, connection);
        }
    }

    /// Disconnects proxies that have not acknowledged an update in time, since they delay others. They may connect
    /// again.
    pub(super) fn close_unacknowledged_updates(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        now: Duration,
    ) {
        let timeout = core.acknowledgement_timeout();
        let is_late = |age: Duration| age >= timeout;
        let members = core.control.members().iter();
        let late = members.filter(|(_, member)| member.oldest_in_flight(now).is_some_and(is_late));
        let late: Vec<ProxyId> = late.map(|(proxy, _)| *proxy).collect();
        for proxy in late {
            let name = core.control.proxy_name(proxy);
            tracing::warn!(proxy = name, "disconnected: the proxy does not acknowledge its updates");
            if let Some(connection) = core.connection_of(proxy) {
                self.disconnect(core, event_loop, connection, CloseReason::Unread);
            }
        }
    }

    /// Disconnects subscribers that have not acknowledged a published message in time.
    pub(super) fn close_unacknowledged_messages(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        now: Duration,
    ) {
        let timeout = core.acknowledgement_timeout();
        for (name, _) in core.distributor.publisher().overdue(now, timeout) {
            let connection = core.control.proxy_id(&name).and_then(|proxy| core.connection_of(proxy));
            if let Some(connection) = connection {
                tracing::warn!(proxy = %name, "disconnected: the proxy does not acknowledge what was published");
                self.disconnect(core, event_loop, connection, CloseReason::Unread);
            }
        }
    }

    /// Aborts a connection; output that is not written yet is dropped.
    pub(super) fn disconnect(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        reason: CloseReason,
    ) {
        event_loop.abort(connection);
        self.handle_close(core, event_loop, connection, reason);
    }

    /// Ends a connection once its output is written.
    fn finish(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        reason: CloseReason,
    ) {
        event_loop.finish(connection);
        self.handle_close(core, event_loop, connection, reason);
    }
}

impl NetconfSessions for ProxySessions {
    fn netconf_session(&mut self, connection: ConnectionId) -> Option<&mut Session> {
        match self.sessions.get_mut(&connection)? {
            ProxySession::CallHome(session) => Some(&mut session.session),
            ProxySession::Subscriber(_) => None,
        }
    }

    fn handle_netconf_event(
        &mut self,
        core: &mut PlannerCore,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        event: SessionEvent,
    ) {
        let Some(ProxySession::CallHome(session)) = self.sessions.get_mut(&connection) else { return };
        if let Some(event) = session.handle_event(connection, event) {
            self.handle_event(core, event_loop, connection, event);
        }
    }

    fn handle_close(
        &mut self,
        core: &mut PlannerCore,
        _: &mut EventLoop,
        connection: ConnectionId,
        reason: CloseReason,
    ) {
        core.identities.forget(connection);
        let Some(session) = self.sessions.remove(&connection) else { return };
        let name = &session.holder().name;
        core.distributor.cancel_waiting(name, connection);
        let proxy = session.proxy().filter(|proxy| core.connection_of(*proxy) == Some(connection));
        if let Some(proxy) = proxy {
            tracing::info!(proxy = %name, why = ?reason, "disconnected");
            core.proxy_disconnected(proxy);
        }
    }
}
