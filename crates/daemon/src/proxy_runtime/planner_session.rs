//! Sessions with a planner: the proxy dials one of its planners, checks its certificate, and replaces the session
//! before a certificate expires. When a session ends, the tables stay in force.

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

/// A session is replaced after two thirds of the time until the proxy's or the planner's certificate expires, whichever
/// is first. The issuer renews a certificate earlier than that.
const RENEW_AFTER_THIRDS: i64 = 2;
/// Shortest time, in seconds, until a session is replaced, however soon a certificate expires.
const MIN_SESSION_SECONDS: i64 = 1;

impl ProxyRuntime {
    /// Whether a session with a planner is open.
    pub fn is_connected(&self) -> bool {
        self.planner_link.connected_session().is_some()
    }

    /// Address of the planner with which a session is open.
    pub fn connected_planner(&self) -> Option<SocketAddr> {
        self.planner_link.connected_session().map(|session| session.planner)
    }

    /// Stops or resumes handling what the planner sends, as a fault for tests. What arrived meanwhile is handled on
    /// resuming.
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

    /// Aborts the session with the planner; the next planner is dialed after a delay.
    pub fn abort_planner_session(&mut self, event_loop: &mut EventLoop) {
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

    /// Opens a session on a dialed connection that was established, if the peer's certificate is that of a planner.
    pub(super) fn planner_connected(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        certificate: Vec<u8>,
    ) {
        self.planner_link.dialing = None;
        let holder = self.tls.identify(&certificate).ok().filter(|holder| holder.is_planner);
        if holder.is_none() {
            tracing::warn!(
                forwarder = %self.settings.name,
                "connection rejected: the peer's certificate is not a planner's"
            );
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

    /// Starts a session, and ends the previous one if there is one.
    fn start_session(&mut self, event_loop: &mut EventLoop, session: PlannerSession) {
        self.planner_link.unread.clear();
        if let Some(previous) = self.planner_link.session.replace(session) {
            event_loop.abort(previous.connection);
            self.planner_link.close_service_session(&previous);
        }
        self.session_count += 1;
        self.reporter.discard_counts(&mut self.proxy, event_loop.now());
        self.write_planner(event_loop);
    }

    /// When to replace a session, in seconds since 1970; `None` if the proxy's certificate holds no identity.
    fn session_renewal_time(&self, planner: &CertificateHolder) -> Option<i64> {
        let own_expiry = self.tls.own_identity()?.not_after;
        let expiry =
            planner.identity.as_ref().map_or(own_expiry, |identity| own_expiry.min(identity.expires_at));
        let now = wall_seconds();
        Some(now + ((expiry - now) * RENEW_AFTER_THIRDS / 3).max(MIN_SESSION_SECONDS))
    }

    /// Creates the protocol state of a session; `planner` is the name in the planner's certificate. `None` if the
    /// NETCONF service accepts no further session.
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

    /// Writes the output of the current session, if there is one.
    pub(super) fn write_planner(&mut self, event_loop: &mut EventLoop) {
        let Some(session) = &mut self.planner_link.session else { return };
        let bytes = match &mut session.protocol {
            PlannerProtocol::Netconf { session, .. } => session.take_output(usize::MAX),
            PlannerProtocol::Mqtt(client) => client.take_output(),
        };
        event_loop.write(session.connection, &bytes);
    }

    /// Reloads certificates that changed, and ends a session whose planner is no longer trusted.
    pub(super) fn check_certificates(&mut self, event_loop: &mut EventLoop) {
        let were_reloaded = self.tls.reload().unwrap_or_else(|error| {
            tracing::error!(
                forwarder = %self.settings.name,
                why = %error,
                "new certificates cannot be used: the previous ones stay in force"
            );
            false
        });
        self.end_untrusted_session(event_loop, were_reloaded);
    }

    /// Ends the session if its planner's identity has expired or, after a reload, its certificate is no longer trusted:
    /// nothing that arrives from then on is applied. Returns whether it ended the session.
    pub(super) fn end_untrusted_session(&mut self, event_loop: &mut EventLoop, were_reloaded: bool) -> bool {
        let Some(session) = &self.planner_link.session else { return false };
        let has_expired = session.holder.has_expired(wall_seconds());
        let is_untrusted = has_expired || (were_reloaded && !self.tls.still_trusts(&session.certificate));
        if is_untrusted {
            let name = &self.settings.name;
            tracing::warn!(forwarder = %name, "the planner's identity has ended, or is no longer trusted");
            self.abort_planner_session(event_loop);
        }
        is_untrusted
    }

    /// Handles the close of a connection, if it was one to a planner.
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
