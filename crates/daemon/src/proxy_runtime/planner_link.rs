//! State of the proxy's link to its planners: the current session, the next dial, and the delivered tables.

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

/// Shortest delay before a planner is dialed again. The delay is random, so that a fleet's proxies do not dial at once.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a planner is dialed again.
pub(super) const MAX_REDIAL_DELAY: Duration = Duration::from_secs(2);

/// The protocol by which a planner delivers tables, with its state.
pub(super) enum PlannerProtocol {
    /// The planner edits the proxy's datastore over NETCONF.
    Netconf {
        session: Box<Session>,
        /// The session's id at the NETCONF service.
        id: u32,
    },
    /// The planner publishes tables over MQTT.
    Mqtt(Box<Client>),
}

/// A session with one planner.
pub(super) struct PlannerSession {
    pub(super) connection: ConnectionId,
    pub(super) planner: SocketAddr,
    pub(super) protocol: PlannerProtocol,
    pub(super) holder: CertificateHolder,
    pub(super) certificate: Vec<u8>,
    /// When to replace the session, in seconds since 1970, before a certificate of either side expires; `None`: never.
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

/// The link to the planners: the current session, the next dial, and the delivered tables.
pub(super) struct PlannerLink {
    pub(super) service: Service,
    pub(super) datastore: Datastore,
    pub(super) security: Security,
    rng: WyRand,
    pub(super) session: Option<PlannerSession>,
    /// A connection to a planner that is being established.
    pub(super) dialing: Option<ConnectionId>,
    pub(super) dial_at: Duration,
    /// Position of the planner to dial in the list of planners, modulo its length; incremented when a dial fails or a
    /// session is lost.
    pub(super) next_planner: usize,
    /// The tables that were published to the proxy.
    pub(super) published: UpdateReader,
    /// Name of the planner that published them.
    published_by: String,
    /// Whether received bytes are kept in `unread` instead of being handled, as a fault for tests.
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

    /// When the next dial or the session's next timer is due; `None` if there is neither.
    pub(super) fn next_wakeup(&self, is_stopping: bool) -> Option<Duration> {
        let is_idle = self.session.is_none() && self.dialing.is_none() && !is_stopping;
        let dial = is_idle.then_some(self.dial_at);
        let client = self.mqtt_client().and_then(Client::next_wakeup);
        crate::earliest([dial, client])
    }

    /// Whether to dial a planner now: there is no session, or it is time to replace it.
    pub(super) fn needs_dial(&self, now: Duration) -> bool {
        let renew_at = self.session.as_ref().map(|session| session.renew_at);
        let needs_session =
            renew_at.is_none_or(|renew_at| renew_at.is_some_and(|renew_at| wall_seconds() >= renew_at));
        needs_session && self.dialing.is_none() && now >= self.dial_at
    }

    /// Schedules a dial of the next planner in the list, after a random delay.
    pub(super) fn schedule_redial(&mut self, now: Duration) {
        let min_ms = MIN_REDIAL_DELAY.as_millis() as u64;
        let max_ms = MAX_REDIAL_DELAY.as_millis() as u64;
        self.next_planner += 1;
        self.dial_at = now + Duration::from_millis(self.rng.generate_range(min_ms..=max_ms));
    }

    /// Closes a session at the NETCONF service.
    pub(super) fn close_service_session(&mut self, session: &PlannerSession) {
        if let PlannerProtocol::Netconf { id, .. } = session.protocol {
            self.service.close_session(id, &mut self.datastore);
        }
    }

    /// Ends the state of a session whose connection is gone, and schedules a dial of the next planner.
    pub(super) fn session_lost(&mut self, now: Duration, session: &PlannerSession) {
        self.close_service_session(session);
        self.published.end_session();
        self.schedule_redial(now);
    }

    /// Prepares a session with this planner: drops incomplete updates, and returns the epoch and version of each topic
    /// held from it, from which it resumes. Epochs and versions of another planner mean nothing to it, so they are left
    /// out.
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
