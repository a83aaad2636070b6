//! The proxy's runtime: forwards HTTP/1.1 requests from clients to endpoints, and receives route tables from a planner
//! that it dials.
//!
//! [`runloom_proxy::Proxy`] makes the decisions. The submodules connect it to sockets, by kind of peer: clients
//! (`client_connections`), endpoints (`upstream_connections`) and the planner (`planner_session`, `table_delivery`,
//! `reports`).

mod client_connections;
mod datastore;
mod error;
mod planner_link;
mod planner_session;
mod reports;
mod requests;
mod table_delivery;
mod upstream_connections;

pub use error::ProxyStartError;

use crate::tls_credentials::{server_name, TlsPolicy, PLANNER_DNS_NAME};
use crate::{earliest, wall_ms};
use client_connections::ClientConnection;
use planner_link::PlannerLink;
use reports::Reporter;
use requests::RequestsInFlight;
use runloom_event_loop::{CloseReason, ConnectionId, ConnectionLimits, EventLoop, IoEvent, Security};
use runloom_model::proxy_settings::{ProxySettings, TableDelivery};
use runloom_model::schema_derivation::derive_schema;
use runloom_model::{Schema, PROXY_XSD};
use runloom_netconf::service::{Service, ServiceLimits};
use runloom_proxy::balancer::SelectionMethod;
use runloom_proxy::circuit_breaker::CircuitBreakerConfig;
use runloom_proxy::{AttemptOutcome, Proxy, ProxyConfig, RequestAction};
use runloom_versioned_publisher::{Topic, Version};
use signal_hook::consts::SIGHUP;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use upstream_connections::UpstreamConnections;

/// Time between two checks of certificates and of the planner's identity.
const CERTIFICATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A client's connection is closed after this time without receiving a byte.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Unsent bytes of responses to buffer for a client that does not read.
const MAX_UNSENT_BYTES: usize = 4 << 20;
/// Makes the redial delays' random sequence differ from that of endpoint selection.
const REDIAL_SEED_MASK: u64 = 0x5151;

/// An update of the route tables that the proxy has applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// Number of entries that it changed.
    pub entries: usize,
    /// The published topic and its version after the update; `None` for an edit.
    pub version: Option<(Topic, Version)>,
}

/// A proxy with its sockets. Several may share one event loop, whose owner passes each the events of its connections.
pub struct ProxyRuntime {
    settings: ProxySettings,
    proxy: Proxy,
    tls: TlsPolicy,
    /// `None`: a check is due at once.
    certificates_checked_at: Option<Duration>,
    listener: ConnectionId,
    clients: BTreeMap<ConnectionId, ClientConnection>,
    upstreams: UpstreamConnections,
    requests: RequestsInFlight,
    planner_link: PlannerLink,
    reporter: Reporter,
    opened_connections: Vec<ConnectionId>,
    applied_updates: Vec<AppliedUpdate>,
    session_count: u64,
    is_stopping: bool,
}

impl ProxyRuntime {
    /// Opens the listener, and returns the proxy with the listener's address. `seed` determines all random choices.
    pub fn start(
        event_loop: &mut EventLoop,
        settings: ProxySettings,
        seed: u64,
    ) -> Result<(ProxyRuntime, SocketAddr), ProxyStartError> {
        let tls = TlsPolicy::load(&settings.tls)?;
        let limits = ConnectionLimits {
            idle_timeout: Some(CLIENT_IDLE_TIMEOUT),
            max_unsent_bytes: MAX_UNSENT_BYTES,
            ..ConnectionLimits::default()
        };
        let (listener, address) = event_loop.listen(settings.listen_address, Security::Plain, limits)?;
        let schema = Schema::root(derive_schema(PROXY_XSD, &["tables"]).map_err(ProxyStartError::Schema)?);
        let service = Service::new(schema, ServiceLimits::default());
        let now = event_loop.now();
        let security = planner_security(&settings, &tls);
        tracing::info!(forwarder = %settings.name, listen = %address, "forwarder started");
        let runtime = ProxyRuntime {
            proxy: new_proxy(&settings, seed),
            reporter: Reporter::new(settings.report_period, now),
            planner_link: PlannerLink::new(service, security, seed ^ REDIAL_SEED_MASK, now),
            settings,
            tls,
            certificates_checked_at: Some(now),
            listener,
            clients: BTreeMap::new(),
            upstreams: UpstreamConnections::default(),
            requests: RequestsInFlight::default(),
            opened_connections: vec![listener],
            applied_updates: vec![],
            session_count: 0,
            is_stopping: false,
        };
        Ok((runtime, address))
    }

    /// Runs until a signal asks the proxy to stop, and then until requests in flight are answered or past their
    /// deadlines.
    pub fn run(&mut self, event_loop: &mut EventLoop) -> io::Result<()> {
        let mut stop_at: Option<Duration> = None;
        loop {
            for event in event_loop.wait(earliest([self.next_wakeup(), stop_at]))? {
                self.handle_event(event_loop, event);
            }
            self.run_due_tasks(event_loop);
            if self.is_stopping && stop_at.is_none() {
                event_loop.close_listeners();
                stop_at = Some(event_loop.now() + self.longest_deadline());
            }
            if stop_at.is_some_and(|at| event_loop.now() >= at || self.requests.is_empty()) {
                return Ok(());
            }
        }
    }

    fn longest_deadline(&self) -> Duration {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// The proxy's name in its settings.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The proxy's state machine, with its route tables.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Takes the connections opened since the last call. An owner of several proxies on one event loop needs them to
    /// pass on events.
    pub fn take_opened_connections(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.opened_connections)
    }

    /// Takes the updates applied since the last call.
    pub fn take_applied_updates(&mut self) -> Vec<AppliedUpdate> {
        std::mem::take(&mut self.applied_updates)
    }

    /// Number of sessions with planners since the start.
    pub fn session_count(&self) -> u64 {
        self.session_count
    }

    /// Counts a successful request that took `latency`, without sending one. Load tests of planners use it to produce
    /// the reports of many proxies.
    pub fn simulate_request(&mut self, now: Duration, class: usize, latency: Duration) {
        let id = self.requests.next_id();
        let arrival = now.saturating_sub(latency);
        if let RequestAction::Send { .. } = self.proxy.request_arrived(arrival, id, class) {
            self.proxy.attempt_ended(now, id, AttemptOutcome::Success { load: vec![1.0] });
        }
    }

    /// When to call [`ProxyRuntime::run_due_tasks`] next, if no event comes earlier.
    pub fn next_wakeup(&self) -> Option<Duration> {
        earliest([
            self.planner_link.next_wakeup(self.is_stopping),
            self.requests.next_deadline(),
            self.upstreams.next_connect_timeout(),
            Some(self.reporter.due_at()),
            Some(self.certificate_check_due_at()),
        ])
    }

    fn certificate_check_due_at(&self) -> Duration {
        let checked_at = self.certificates_checked_at;
        checked_at.map(|at| at + CERTIFICATE_CHECK_INTERVAL).unwrap_or_default()
    }

    /// Makes the certificate check due now.
    fn reload_certificates(&mut self) {
        let name = &self.settings.name;
        tracing::info!(forwarder = %name, "SIGHUP: certificates are read again; settings apply from the next start");
        self.certificates_checked_at = None;
    }

    /// Handles an event of one of the proxy's connections.
    pub fn handle_event(&mut self, event_loop: &mut EventLoop, event: IoEvent) {
        match event {
            IoEvent::Signal(SIGHUP) => self.reload_certificates(),
            IoEvent::Signal(_) => self.is_stopping = true,
            IoEvent::Open { conn, listener, certificate } => {
                if listener == Some(self.listener) {
                    self.clients.insert(conn, ClientConnection::new());
                    self.opened_connections.push(conn);
                } else if self.planner_link.is_dialing(conn) {
                    self.planner_connected(event_loop, conn, certificate.unwrap_or_default());
                } else {
                    self.upstream_established(event_loop, conn);
                }
            }
            IoEvent::Bytes { conn, bytes } => self.bytes_received(event_loop, conn, &bytes),
            IoEvent::Closed { conn, reason } => self.connection_closed(event_loop, conn, reason),
        }
    }

    fn bytes_received(&mut self, event_loop: &mut EventLoop, connection: ConnectionId, bytes: &[u8]) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.push(bytes);
            self.read_client(event_loop, connection);
        } else if self.upstreams.contains(connection) {
            self.read_upstream(event_loop, connection, bytes);
        } else if self.planner_link.has_session_on(connection) {
            self.planner_bytes_received(event_loop, bytes);
        }
    }

    fn connection_closed(
        &mut self,
        event_loop: &mut EventLoop,
        connection: ConnectionId,
        reason: CloseReason,
    ) {
        if let Some(client) = self.clients.remove(&connection) {
            if let Some(id) = client.request() {
                self.cancel_request(event_loop, id);
            }
        } else if self.upstreams.contains(connection) {
            self.upstream_closed(event_loop, connection);
        } else {
            self.planner_closed(event_loop.now(), connection, reason);
        }
    }

    /// Runs timeouts and periodic tasks that are due. Call it after the events of each iteration.
    pub fn run_due_tasks(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        self.expire_requests(event_loop, now);
        self.close_stalled_upstreams(event_loop, now);
        if now >= self.certificate_check_due_at() {
            self.certificates_checked_at = Some(now);
            self.check_certificates(event_loop);
        }
        self.send_due_report(event_loop, now);
        self.run_session_timers(event_loop, now);
        self.dial_planner(event_loop, now);
    }
}

fn new_proxy(settings: &ProxySettings, seed: u64) -> Proxy {
    let circuit_breaker = CircuitBreakerConfig {
        failure_limit: settings.circuit_breaker_failures,
        open_duration: settings.circuit_breaker_open,
    };
    let config =
        ProxyConfig { selection: SelectionMethod::from_settings(&settings.selection), circuit_breaker };
    Proxy::new(config, settings.classes.clone(), &settings.static_servers, seed)
}

/// The TLS role towards planners. A NETCONF server that calls home is the TLS server, although it dials (RFC 8071).
fn planner_security(settings: &ProxySettings, tls: &TlsPolicy) -> Security {
    match settings.table_delivery {
        TableDelivery::Edits => Security::TlsServer(tls.server_config.clone()),
        TableDelivery::Weights | TableDelivery::Subsets => {
            Security::TlsClient(tls.client_config.clone(), server_name(PLANNER_DNS_NAME))
        }
    }
}

/// Seconds since 1970.
fn wall_seconds() -> i64 {
    (wall_ms() / 1000) as i64
}
