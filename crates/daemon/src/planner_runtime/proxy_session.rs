//! One proxy's session, whichever protocol the proxy speaks.

use super::call_home::CallHomeSession;
use super::core::ProxyId;
use super::subscriber::{BodyCache, SubscriberSession};
use crate::tls_credentials::CertificateHolder;
use runloom_distribution::Outgoing;
use std::time::Duration;

/// A proxy's session, by the protocol that it speaks.
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

    /// The proxy was admitted.
    pub(super) fn set_proxy(&mut self, proxy: ProxyId) {
        match self {
            ProxySession::CallHome(session) => session.proxy = Some(proxy),
            ProxySession::Subscriber(session) => session.proxy = Some(proxy),
        }
    }

    /// Whether it takes a further message now. One that does not gets the next with its next acknowledgement.
    pub(super) fn can_send(&self) -> bool {
        match self {
            ProxySession::CallHome(_) => true,
            ProxySession::Subscriber(session) => session.session.send_quota() > 0,
        }
    }

    /// Sends a message of the distributor.
    pub(super) fn send(&mut self, now: Duration, outgoing: &Outgoing, bodies: &mut BodyCache) {
        match (self, outgoing) {
            (ProxySession::CallHome(session), Outgoing::Edit { number, text, .. }) => {
                session.send(now, *number, text);
            }
            (ProxySession::Subscriber(session), Outgoing::Part { number, part }) => {
                session.send(now, *number, part, bodies);
            }
            (ProxySession::CallHome(_), Outgoing::Part { .. })
            | (ProxySession::Subscriber(_), Outgoing::Edit { .. }) => {}
        }
    }
}
