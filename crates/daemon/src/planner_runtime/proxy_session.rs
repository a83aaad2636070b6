//! One proxy's session, over NETCONF or MQTT.

use super::call_home::CallHomeSession;
use super::core::ProxyId;
use super::subscriber::{BodyCache, SubscriberSession};
use crate::tls_credentials::CertificateHolder;
use runloom_distribution::OutgoingMessage;
use std::time::Duration;

/// A proxy's session: NETCONF if the proxy called home, MQTT if it subscribes.
pub(super) enum ProxySession {
    CallHome(Box<CallHomeSession>),
    Subscriber(Box<SubscriberSession>),
}

impl ProxySession {
    /// The holder of the proxy's certificate.
    pub(super) fn holder(&self) -> &CertificateHolder {
        match self {
            ProxySession::CallHome(session) => &session.holder,
            ProxySession::Subscriber(session) => &session.holder,
        }
    }

    /// The proxy's index, once it is admitted.
    pub(super) fn proxy(&self) -> Option<ProxyId> {
        match self {
            ProxySession::CallHome(session) => session.proxy,
            ProxySession::Subscriber(session) => session.proxy,
        }
    }

    /// Stores the index of a proxy that was admitted.
    pub(super) fn set_proxy(&mut self, proxy: ProxyId) {
        match self {
            ProxySession::CallHome(session) => session.proxy = Some(proxy),
            ProxySession::Subscriber(session) => session.proxy = Some(proxy),
        }
    }

    /// Whether a further message may be sent now. Otherwise it is sent after the proxy's next acknowledgement.
    pub(super) fn can_send(&self) -> bool {
        match self {
            ProxySession::CallHome(_) => true,
            ProxySession::Subscriber(session) => session.session.send_quota() > 0,
        }
    }

    /// Sends a message of the distributor; ignores one that is for the other protocol.
    pub(super) fn send(&mut self, now: Duration, outgoing: &OutgoingMessage, bodies: &mut BodyCache) {
        match (self, outgoing) {
            (ProxySession::CallHome(session), OutgoingMessage::Edit { number, text, .. }) => {
                session.send(now, *number, text);
            }
            (ProxySession::Subscriber(session), OutgoingMessage::Part { number, part }) => {
                session.send(now, *number, part, bodies);
            }
            (ProxySession::CallHome(_), OutgoingMessage::Part { .. })
            | (ProxySession::Subscriber(_), OutgoingMessage::Edit { .. }) => {}
        }
    }
}
