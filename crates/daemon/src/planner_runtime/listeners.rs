//! The addresses at which a planner listens.

use crate::tls_credentials::{server_name, TlsPolicy, PROXY_DNS_NAME};
use runloom_event_loop::{ConnectionId, ConnectionLimits, EventLoop, Security};
use runloom_model::fleet::Fleet;
use runloom_model::planner_settings::PlannerSettings;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// An operator's session that sends nothing for this long is closed.
const OPERATOR_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// A proxy that called home is disconnected after this many report periods without a byte.
const SILENT_REPORT_PERIODS: u32 = 4;
/// Shortest idle timeout of a proxy that called home, however short its report period is.
const MIN_PROXY_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Unsent bytes that a subscriber's connection may buffer: enough for all update parts in flight to one subscriber.
const SUBSCRIBER_BUFFER_BYTES: usize = 4 << 20;
const METRICS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_METRICS_CONNECTIONS: usize = 16;

/// The addresses at which a planner listens. For port 0 in the settings they have the port that the system chose.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddresses {
    /// NETCONF sessions of operators.
    pub operators: SocketAddr,
    /// Proxies that call home.
    pub call_home: SocketAddr,
    /// Proxies that subscribe; `None` if the settings name no address.
    pub subscribers: Option<SocketAddr>,
    /// Metrics over HTTP; `None` if the settings name no address.
    pub metrics: Option<SocketAddr>,
}

/// The service of a listener and of the connections that it accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListenerKind {
    Operators,
    CallHome,
    Subscribers,
    Metrics,
}

/// The open listeners.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listeners {
    operators: ConnectionId,
    call_home: ConnectionId,
    subscribers: Option<ConnectionId>,
    metrics: Option<ConnectionId>,
    pub addresses: ListenAddresses,
}

impl Listeners {
    /// Opens the listeners of all addresses in the settings.
    pub(super) fn open(
        event_loop: &mut EventLoop,
        settings: &PlannerSettings,
        fleet: &Fleet,
        tls: &TlsPolicy,
    ) -> io::Result<Listeners> {
        let server_tls = Security::TlsServer(tls.server_config.clone());
        // RFC 8071: the side that calls home is the NETCONF server, and this side starts TLS.
        let client_tls = Security::TlsClient(tls.client_config.clone(), server_name(PROXY_DNS_NAME));
        let (operators, operators_address) =
            event_loop.listen(settings.operator_address, server_tls.clone(), operator_limits())?;
        let (call_home, call_home_address) =
            event_loop.listen(settings.call_home_address, client_tls, call_home_limits(fleet))?;
        let mut listen_if_set =
            |address: Option<SocketAddr>, security: Security, limits: ConnectionLimits| {
                address.map(|address| event_loop.listen(address, security, limits)).transpose()
            };
        let subscribers = listen_if_set(settings.subscription_address, server_tls, subscriber_limits())?;
        let metrics = listen_if_set(settings.metrics_address, Security::Plain, metrics_limits())?;
        let subscribers_address = subscribers.map(|(_, address)| address);
        let metrics_address = metrics.map(|(_, address)| address);
        Ok(Listeners {
            operators,
            call_home,
            subscribers: subscribers.map(|(listener, _)| listener),
            metrics: metrics.map(|(listener, _)| listener),
            addresses: ListenAddresses {
                operators: operators_address,
                call_home: call_home_address,
                subscribers: subscribers_address,
                metrics: metrics_address,
            },
        })
    }

    /// The service of a listener; `None` if it is none of these.
    pub(super) fn kind(&self, listener: ConnectionId) -> Option<ListenerKind> {
        if Some(listener) == self.metrics {
            Some(ListenerKind::Metrics)
        } else if listener == self.operators {
            Some(ListenerKind::Operators)
        } else if listener == self.call_home {
            Some(ListenerKind::CallHome)
        } else if Some(listener) == self.subscribers {
            Some(ListenerKind::Subscribers)
        } else {
            None
        }
    }
}

fn operator_limits() -> ConnectionLimits {
    ConnectionLimits {
        idle_timeout: Some(OPERATOR_IDLE_TIMEOUT),
        max_connections: MAX_OPERATOR_CONNECTIONS,
        ..ConnectionLimits::default()
    }
}

/// A proxy that called home sends a report in each period, so its silence shows that it is gone.
fn call_home_limits(fleet: &Fleet) -> ConnectionLimits {
    let idle_timeout = (fleet.report_period * SILENT_REPORT_PERIODS).max(MIN_PROXY_IDLE_TIMEOUT);
    ConnectionLimits { idle_timeout: Some(idle_timeout), ..ConnectionLimits::default() }
}

/// No idle timeout: MQTT has its own keep-alive.
fn subscriber_limits() -> ConnectionLimits {
    ConnectionLimits { max_unsent_bytes: SUBSCRIBER_BUFFER_BYTES, ..ConnectionLimits::default() }
}

fn metrics_limits() -> ConnectionLimits {
    ConnectionLimits {
        idle_timeout: Some(METRICS_IDLE_TIMEOUT),
        max_connections: MAX_METRICS_CONNECTIONS,
        ..ConnectionLimits::default()
    }
}
