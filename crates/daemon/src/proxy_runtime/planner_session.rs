//! Sessions with a planner: the proxy dials one of its planners, checks its certificate, and replaces a session before
//! a certificate ends. When a session ends, the tables stay in force.

use super::planner_link::{PlannerProtocol, PlannerSession, MAX_REDIAL_DELAY};
use super::{wall_seconds, ProxyRuntime};
use crate::tls_credentials::CertificateHolder;
use runloom_event_loop::{CloseReason, ConnectionId, ConnectionLimits, EventLoop};
use runloom_model::proxy_settings::TableDelivery;
use runloom_mqtt::client::{Client, TableFormat};
use runloom_mqtt::ProxyInfo;
use runloom_netconf::service::CAPABILITIES;
use runloom_netconf::session::{Role, Session, SessionLimits};
use std::net::SocketAddr;
use std::time::Duration;

/// A session is replaced after this many thirds of the time that is left to its certificates: the issuer has renewed
/// them by then.
const RENEW_AFTER_THIRDS: i64 = 2;
/// A session is kept for at least this many seconds, whatever its certificates say.
const MIN_SESSION_SECONDS: i64 = 1;

impl ProxyRuntime {
    /// Whether a planner's session is open.
    pub fn is_connected(&self) -> bool {
        self.planner_link.connected_session().is_some()
    }

    /// Address of the planner whose session is open.
    pub fn connected_planner(&self) -> Option<SocketAddr> {
        self.planner_link.connected_session().map(|session| session.planner)
    }

    /// Stops reading what the planner sends, or goes on: a fault for tests.
    pub fn set_unresponsive(&mut self, event_loop: &mut EventLoop, is_unresponsive: bool) {
        self.planner_link.is_unresponsive = is_unresponsive;
        if is_unresponsive {
            return;
        }
        if let Some(session) = &self.planner_link.session {
            event_loop.pause_reading(session.connection, false);
            let unread = std::mem::take(&mut self.planner_link.unread);
            self.read_planner(event_loop, &unread);
        }
    }

    /// Cuts the session with the planner.
    pub fn break_planner_session(&mut self, event_loop: &mut EventLoop) {
        if let Some(session) = self.planner_link.session.take() {
            event_loop.abort(session.connection);
            self.planner_link.session_lost(event_loop.now(), &session);
        }
    }

    /// Dials a planner, if one is due.
    pub(super) fn dial_planner(&mut self, event_loop: &mut EventLoop, now: Duration) {
        if self.is_stopping || !self.planner_link.needs_dial(now) {
            return;
        }
        let Some(planner) = self.planner_to_dial() else { return };
        match event_loop.dial(planner, &self.planner_link.security, ConnectionLimits::default()) {
            Ok(connection) => {
                self.opened_connections.push(connection);
                self.planner_link.dialing = Some(connection);
                self.planner_link.dial_at = now + MAX_REDIAL_DELAY;
            }
            Err(_) => self.planner_link.schedule_redial(now),
        }
    }

    fn planner_to_dial(&self) -> Option<SocketAddr> {
        let planners = &self.settings.planner_addresses;
        let position = self.planner_link.next_planner.checked_rem(planners.len())?;
        planners.get(position).copied()
    }

    /// A dialed planner answered: opens a session if its certificate is a planner's.
    pub(super) fn planner_connected(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        certificate: Vec<u8>,
    ) {
        self.planner_link.dialing = None;
        let holder = self.tls.identify(&certificate).ok().filter(|holder| holder.is_planner);
        if holder.is_none() {
            tracing::warn!(forwarder = %self.settings.name, "the peer's certificate is no planner's");
        }
        let session = holder.and_then(|holder| {
            Some(PlannerSession {
                protocol: self.open_protocol(event_loop.now(), &holder.name)?,
                connection,
                planner: self.planner_to_dial()?,
                renew_at: self.session_renewal_time(&holder),
                holder,
                certificate,
            })
        });
        let Some(session) = session else {
            event_loop.abort(connection);
            return self.planner_link.schedule_redial(event_loop.now());
        };
        self.start_session(event_loop, session);
    }

    /// Puts a session in place of the former one, if there is one.
    fn start_session(&mut self, event_loop: &mut EventLoop, session: PlannerSession) {
        self.planner_link.unread.clear();
        if let Some(former) = self.planner_link.session.replace(session) {
            event_loop.abort(former.connection);
            self.planner_link.leave_service(&former);
        }
        self.session_count += 1;
        self.reporter.discard(&mut self.proxy, event_loop.now());
        self.write_planner(event_loop);
    }

    /// When a session is to be replaced, in seconds since 1970; `None` without identities that end.
    fn session_renewal_time(&self, planner: &CertificateHolder) -> Option<i64> {
        let own_end = self.tls.own_identity()?.not_after;
        let end = planner.identity.as_ref().map_or(own_end, |identity| own_end.min(identity.expires_at));
        let now = wall_seconds();
        Some(now + ((end - now) * RENEW_AFTER_THIRDS / 3).max(MIN_SESSION_SECONDS))
    }

    /// Opens the protocol's side of a session; `planner` is the name of its certificate.
    fn open_protocol(&mut self, now: Duration, planner: &str) -> Option<PlannerProtocol> {
        let format = match self.settings.table_delivery {
            TableDelivery::Edits => {
                let id = self.planner_link.service.open_session(planner, now)?;
                let session = Session::new(Role::Server { id }, &CAPABILITIES, SessionLimits::default());
                return Some(PlannerProtocol::Netconf { session: Box::new(session), id });
            }
            TableDelivery::Weights => TableFormat::Weights,
            TableDelivery::Subsets => TableFormat::Subsets,
        };
        let positions = self.planner_link.resume_positions(planner);
        let info = ProxyInfo {
            zone: self.settings.zone.clone(),
            request_rate: self.reporter.arrival_rate(),
            has_no_table: !self.proxy.tables().is_from_planner(),
        };
        let client = Client::new(now, planner, &self.settings.name, &info, format, positions);
        Some(PlannerProtocol::Mqtt(Box::new(client)))
    }

    pub(super) fn write_planner(&mut self, event_loop: &mut EventLoop) {
        let Some(session) = &mut self.planner_link.session else { return };
        let bytes = match &mut session.protocol {
            PlannerProtocol::Netconf { session, .. } => session.output(usize::MAX),
            PlannerProtocol::Mqtt(client) => client.output(),
        };
        event_loop.write(session.connection, &bytes);
    }

    /// Loads certificates that changed, and ends a session that is no longer trusted.
    pub(super) fn check_certificates(&mut self, event_loop: &mut EventLoop) {
        let were_renewed = self.tls.reload().unwrap_or_else(|error| {
            tracing::error!(forwarder = %self.settings.name, why = %error, "new certificates cannot be used");
            false
        });
        self.end_untrusted_session(event_loop, were_renewed);
    }

    /// Ends the session if its planner's identity has ended, or, after a renewal, if its certificate is no longer
    /// trusted: nothing that comes from then on is applied.
    pub(super) fn end_untrusted_session(&mut self, event_loop: &mut EventLoop, were_renewed: bool) -> bool {
        let Some(session) = &self.planner_link.session else { return false };
        let has_ended = session.holder.has_expired(wall_seconds());
        let is_untrusted = has_ended || (were_renewed && !self.tls.still_trusts(&session.certificate));
        if is_untrusted {
            let name = &self.settings.name;
            tracing::warn!(forwarder = %name, "the planner's identity has ended, or is no longer trusted");
            self.break_planner_session(event_loop);
        }
        is_untrusted
    }

    /// A connection to a planner closed, if this was one.
    pub(super) fn planner_closed(&mut self, now: Duration, connection: ConnectionId, reason: CloseReason) {
        let name = &self.settings.name;
        let link = &mut self.planner_link;
        if link.is_dialing(connection) {
            link.dialing = None;
            tracing::debug!(forwarder = %name, why = ?reason, "the planner cannot be reached");
            link.schedule_redial(now);
        } else if let Some(session) = link.session.take_if(|session| session.connection == connection) {
            tracing::info!(forwarder = %name, why = ?reason, "stream lost; tables stay in force");
            link.session_lost(now, &session);
        }
    }
}
