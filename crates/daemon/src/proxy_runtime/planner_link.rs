//! The proxy's link to its planners: the current session, the next dial, and what was delivered.

use super::datastore::Datastore;
use super::wall_seconds;
use crate::tls_credentials::CertificateHolder;
use nanorand::{Rng, WyRand};
use runloom_event_loop::{ConnectionId, Security};
use runloom_mqtt::client::Client;
use runloom_netconf::service::Service;
use runloom_netconf::session::Session;
use runloom_versioned_publisher::UpdateReader;
use runloom_versioned_publisher::{HeldVersion, Topic};
use std::net::SocketAddr;
use std::time::Duration;

/// Bounds of the wait before a planner is dialed again, drawn at random so that a fleet does not dial in step.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(100);
pub(super) const MAX_REDIAL_DELAY: Duration = Duration::from_secs(2);

/// How the planner delivers tables.
pub(super) enum PlannerProtocol {
    /// It edits the proxy's datastore by NETCONF.
    Netconf {
        session: Box<Session>,
        /// The session's number at the service.
        id: u32,
    },
    /// It publishes them by MQTT.
    Mqtt(Box<Client>),
}

/// A session with one planner.
pub(super) struct PlannerSession {
    pub(super) connection: ConnectionId,
    pub(super) planner: SocketAddr,
    pub(super) protocol: PlannerProtocol,
    pub(super) holder: CertificateHolder,
    pub(super) certificate: Vec<u8>,
    /// When a new session is to take its place, before a certificate of either side ends; seconds since 1970.
    pub(super) renew_at: Option<i64>,
}

impl PlannerSession {
    fn is_connected(&self) -> bool {
        match &self.protocol {
            PlannerProtocol::Netconf { session, .. } => session.is_open(),
            PlannerProtocol::Mqtt(client) => client.is_connected(),
        }
    }
}

/// The planner's side of the proxy: the session, the next dial, and what the planner delivered.
pub(super) struct PlannerLink {
    pub(super) service: Service,
    pub(super) datastore: Datastore,
    pub(super) security: Security,
    rng: WyRand,
    pub(super) session: Option<PlannerSession>,
    /// A connection that is being established.
    pub(super) dialing: Option<ConnectionId>,
    pub(super) dial_at: Duration,
    /// Position in the list of planners, counted on with every one that fails.
    pub(super) next_planner: usize,
    /// What was published to the proxy, and by the planner of which name.
    pub(super) published: UpdateReader,
    published_by: String,
    /// Whether nothing that the planner sends is read; what was read before that waits.
    pub(super) is_unresponsive: bool,
    pub(super) unread: Vec<u8>,
}

impl PlannerLink {
    pub(super) fn new(service: Service, security: Security, seed: u64, now: Duration) -> PlannerLink {
        PlannerLink {
            service,
            datastore: Datastore::new(),
            security,
            rng: WyRand::new_seed(seed),
            session: None,
            dialing: None,
            dial_at: now,
            next_planner: 0,
            published: UpdateReader::default(),
            published_by: String::new(),
            is_unresponsive: false,
            unread: vec![],
        }
    }

    pub(super) fn is_dialing(&self, connection: ConnectionId) -> bool {
        self.dialing == Some(connection)
    }

    pub(super) fn has_session_on(&self, connection: ConnectionId) -> bool {
        self.session.as_ref().is_some_and(|session| session.connection == connection)
    }

    pub(super) fn connected_session(&self) -> Option<&PlannerSession> {
        self.session.as_ref().filter(|session| session.is_connected())
    }

    pub(super) fn protocol_mut(&mut self) -> Option<&mut PlannerProtocol> {
        self.session.as_mut().map(|session| &mut session.protocol)
    }

    pub(super) fn mqtt_client(&self) -> Option<&Client> {
        match &self.session.as_ref()?.protocol {
            PlannerProtocol::Mqtt(client) => Some(client),
            PlannerProtocol::Netconf { .. } => None,
        }
    }

    pub(super) fn mqtt_client_mut(&mut self) -> Option<&mut Client> {
        match self.protocol_mut()? {
            PlannerProtocol::Mqtt(client) => Some(client),
            PlannerProtocol::Netconf { .. } => None,
        }
    }

    /// When the next dial or the session's next timer is due.
    pub(super) fn next_wakeup(&self, is_stopping: bool) -> Option<Duration> {
        let is_idle = self.session.is_none() && self.dialing.is_none() && !is_stopping;
        let dial = is_idle.then_some(self.dial_at);
        let client = self.mqtt_client().and_then(Client::next_wakeup);
        crate::earliest([dial, client])
    }

    /// Whether a planner is to be dialed: there is no session, or it is time to replace it.
    pub(super) fn needs_dial(&self, now: Duration) -> bool {
        let renew_at = self.session.as_ref().map(|session| session.renew_at);
        let needs_session =
            renew_at.is_none_or(|renew_at| renew_at.is_some_and(|renew_at| wall_seconds() >= renew_at));
        needs_session && self.dialing.is_none() && now >= self.dial_at
    }

    /// Goes on to the next planner of the list, after a random delay.
    pub(super) fn schedule_redial(&mut self, now: Duration) {
        let min_ms = MIN_REDIAL_DELAY.as_millis() as u64;
        let max_ms = MAX_REDIAL_DELAY.as_millis() as u64;
        self.next_planner += 1;
        self.dial_at = now + Duration::from_millis(self.rng.generate_range(min_ms..=max_ms));
    }

    /// Ends the service's side of a session.
    pub(super) fn leave_service(&mut self, session: &PlannerSession) {
        if let PlannerProtocol::Netconf { id, .. } = session.protocol {
            self.service.close_session(id, &mut self.datastore);
        }
    }

    pub(super) fn session_lost(&mut self, now: Duration, session: &PlannerSession) {
        self.leave_service(session);
        self.published.end_session();
        self.schedule_redial(now);
    }

    /// Topics held of this planner, with epoch and version, so that it can go on from there. Another planner's epochs
    /// and versions say nothing to it.
    pub(super) fn resume_positions(&mut self, planner: &str) -> Vec<(Topic, HeldVersion)> {
        self.published.end_session();
        let is_same_planner = self.published_by == planner;
        self.published_by = planner.to_string();
        if is_same_planner {
            self.published.held_versions()
        } else {
            vec![]
        }
    }
}
