//! Session of a proxy that called home: the planner is its NETCONF client and edits its tables (RFC 8071).

use super::core::ProxyId;
use super::proxy_event::ProxyEvent;
use crate::tls_credentials::CertificateHolder;
use runloom_distribution::{PendingProxy, Transport};
use runloom_event_loop::{CloseReason, ConnectionId};
use runloom_model::report::Report;
use runloom_model::PROXY_NAMESPACE;
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits};
use runloom_netconf::tree::Element;
use runloom_netconf::{BASE, NOTIFICATION};
use runloom_versioned_publisher::TopicFilter;
use std::collections::BTreeMap;
use std::time::Duration;

/// A message that the proxy has not acknowledged yet.
struct UnacknowledgedMessage {
    /// Its number at the distributor.
    number: u64,
    sent: Duration,
}

/// The session of one proxy that called home.
pub(super) struct CallHomeSession {
    pub holder: CertificateHolder,
    pub session: Session,
    /// The proxy's index, once it is admitted.
    pub proxy: Option<ProxyId>,
    /// Message id of the pending `<get>` that asks the proxy for its name, zone and request rate.
    description_request: Option<String>,
    /// Unacknowledged messages, by NETCONF message id.
    unacknowledged: BTreeMap<String, UnacknowledgedMessage>,
}

impl CallHomeSession {
    pub(super) fn new(holder: CertificateHolder) -> CallHomeSession {
        CallHomeSession {
            holder,
            session: Session::new(Role::Client, &[], SessionLimits::default()),
            proxy: None,
            description_request: None,
            unacknowledged: BTreeMap::new(),
        }
    }

    /// Sends message `number` of the distributor, an `<edit-config>` with this text.
    pub(super) fn send(&mut self, now: Duration, number: u64, text: &str) {
        let message_id = self.session.send_rpc_text(text);
        self.unacknowledged.insert(message_id, UnacknowledgedMessage { number, sent: now });
    }

    /// Handles an event of the NETCONF session, and returns the resulting proxy event, if there is one.
    pub(super) fn handle_event(
        &mut self,
        connection: ConnectionId,
        event: SessionEvent,
    ) -> Option<ProxyEvent> {
        match event {
            SessionEvent::Open { .. } => {
                self.request_description();
                Some(ProxyEvent::OutputReady)
            }
            SessionEvent::Reply { message_id, reply } => {
                if self.description_request.as_ref() == Some(&message_id) {
                    self.description_request = None;
                    Some(self.handle_description(connection, &reply))
                } else {
                    self.handle_reply(&message_id, &reply)
                }
            }
            SessionEvent::Notification(event) => {
                self.proxy?;
                Report::read(&event).map(ProxyEvent::Reported)
            }
            SessionEvent::Rpc(_) => None,
        }
    }

    fn request_description(&mut self) {
        self.session.send_rpc(Element::new(NOTIFICATION, "create-subscription"));
        let filter = Element::new(BASE, "filter").with(Element::new(PROXY_NAMESPACE, "proxy"));
        let message_id = self.session.send_rpc(Element::new(BASE, "get").with(filter));
        self.description_request = Some(message_id);
    }

    /// Handles the proxy's description of itself. Its name has to be that of its certificate.
    fn handle_description(&self, connection: ConnectionId, reply: &Element) -> ProxyEvent {
        let empty = Element::default();
        let description = reply.child("data").and_then(|data| data.child("proxy")).unwrap_or(&empty);
        let name = description.text_of("name").unwrap_or_default();
        if name != self.holder.name {
            tracing::warn!(
                holder = %self.holder.name,
                name,
                "connection rejected: the proxy's name is not that of its certificate"
            );
            return ProxyEvent::Disconnect(CloseReason::Untrusted);
        }
        let rate = description.text_of("rate").and_then(|rate| rate.parse().ok());
        ProxyEvent::Introduced(PendingProxy {
            connection,
            name: name.to_string(),
            zone: description.text_of("zone").unwrap_or_default().to_string(),
            request_rate: rate.unwrap_or(0.0),
            has_no_table: description.text_of("fresh") == Some("true"),
            transport: Transport::Edits,
            filters: vec![TopicFilter::ALL],
            held_versions: vec![],
        })
    }

    /// Handles the proxy's acknowledgement or rejection of a message. A proxy that rejected one lacks its changes: it
    /// is disconnected, and receives its complete tables when it connects again.
    fn handle_reply(&mut self, message_id: &str, reply: &Element) -> Option<ProxyEvent> {
        let message = self.unacknowledged.remove(message_id)?;
        self.proxy?;
        if let Some(error) = reply.child("rpc-error") {
            let why = error.text_of("error-message").unwrap_or_default();
            tracing::error!(proxy = %self.holder.name, why, "a proxy rejected an update");
            return Some(ProxyEvent::Disconnect(CloseReason::Broken));
        }
        Some(ProxyEvent::Acknowledged { number: message.number, sent: Some(message.sent) })
    }
}
