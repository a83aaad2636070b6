//! The proxy's process: HTTP/1.1 requests in and out, route tables from a planner that it dials.
//!
//! The rules are those of [`runloom_proxy::Proxy`]. Here are its sockets, one module for each kind of peer: clients,
//! endpoints (`upstream_connections`) and the planner (`planner_session`, `table_delivery`, `reports`).

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

use crate::tls_credentials::{server_name, TlsPolicy, PLANNER};
use crate::{earliest, wall_ms};
use client_connections::ClientConnection;
use planner_link::PlannerLink;
use reports::Reporter;
use requests::RequestsInFlight;
use runloom_event_loop::{CloseReason, ConnectionId, ConnectionLimits, EventLoop, IoEvent, Security};
use runloom_model::proxy_settings::{ProxySettings, TableDelivery};
use runloom_model::schema_derivation::derive_schema;
use runloom_model::{Schema, PROXY_XSD};
use runloom_netconf::service::{Limits, Service};
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

/// How often certificates, and the planner's identity, are checked.
const CERTIFICATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A client's connection is closed after this time without a byte.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes of responses that a client may leave unread.
const MAX_UNSENT_BYTES: usize = 4 << 20;
/// Makes the redial delays' random sequence differ from that of endpoint selection.
const REDIAL_SEED_MASK: u64 = 0x5151;

/// An update of the route tables that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// Entries that it changed.
    pub entries: usize,
    /// The version that a published topic has with it; `None` for an edit.
    pub version: Option<(Topic, Version)>,
}

/// A proxy with its sockets. Several may share one event loop, whose owner hands each its own connections' events.
pub struct ProxyRuntime {
    settings: ProxySettings,
    proxy: Proxy,
    tls: TlsPolicy,
    /// `None`: a check is due.
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
    /// Opens the listener and returns its address with the proxy. `seed` is that of all random choices.
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
        let service = Service::new(schema, Limits::default());
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

    /// Runs until a signal ends it, and then until requests in flight are answered or past their deadlines.
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

    /// The proxy's name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The proxy's rules and state.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Connections opened since the last call, for an owner of several proxies on one event loop.
    pub fn take_opened_connections(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.opened_connections)
    }

    /// Updates applied since the last call.
    pub fn take_applied_updates(&mut self) -> Vec<AppliedUpdate> {
        std::mem::take(&mut self.applied_updates)
    }

    /// Sessions with planners since the start.
    pub fn session_count(&self) -> u64 {
        self.session_count
    }

    /// Counts a request that succeeded after `latency` without a socket, to load planners with many proxies' reports.
    pub fn simulate_request(&mut self, now: Duration, class: usize, latency: Duration) {
        let id = self.requests.next_id();
        let arrival = now.saturating_sub(latency);
        if let RequestAction::Send { .. } = self.proxy.request_arrived(arrival, id, class) {
            self.proxy.attempt_ended(now, id, AttemptOutcome::Success { load: vec![1.0] });
        }
    }

    /// When [`ProxyRuntime::run_due_tasks`] is to be called next, if no event comes before.
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

    /// Certificates that changed are read now instead of at the next check.
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
            self.planner_bytes(event_loop, bytes);
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

    /// Does what is due by time; to be called after the events of each poll.
    pub fn run_due_tasks(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        self.expire_requests(event_loop, now);
        self.expire_connects(event_loop, now);
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

/// The TLS role towards planners. A NETCONF server that calls home (RFC 8071) dials, and is the TLS server all the
/// same.
fn planner_security(settings: &ProxySettings, tls: &TlsPolicy) -> Security {
    match settings.table_delivery {
        TableDelivery::Edits => Security::TlsServer(tls.server_config.clone()),
        TableDelivery::Weights | TableDelivery::Subsets => {
            Security::TlsClient(tls.client_config.clone(), server_name(PLANNER))
        }
    }
}

/// Seconds since 1970.
fn wall_seconds() -> i64 {
    (wall_ms() / 1000) as i64
}
