//! A proxy that subscribes to its tables over MQTT.

use super::core::ProxyId;
use super::proxy_event::ProxyEvent;
use crate::tls_credentials::CertificateHolder;
use runloom_distribution::{PendingProxy, Transport};
use runloom_event_loop::{CloseReason, ConnectionId};
use runloom_mqtt::session::{Session, SessionEvent};
use runloom_mqtt::{body, report, ConnectionEnd, ProxyInfo};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter, UpdatePart, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Serialized update parts kept at a time.
const MAX_CACHED_BODIES: usize = 1024;

/// Identifies a serialized update part.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct BodyKey {
    epoch: u64,
    topic: Topic,
    base_version: Option<Version>,
    version: Version,
    part: usize,
}

/// Serialized update parts, shared by the proxies that receive the same part.
#[derive(Default)]
pub(super) struct BodyCache {
    bodies: BTreeMap<BodyKey, Arc<[u8]>>,
}

impl BodyCache {
    /// Drops all bodies once there are too many.
    pub(super) fn limit_size(&mut self) {
        if self.bodies.len() > MAX_CACHED_BODIES {
            self.bodies.clear();
        }
    }

    /// The serialized form of an update part.
    fn body(&mut self, part: &UpdatePart) -> Arc<[u8]> {
        let key = BodyKey {
            epoch: part.epoch,
            topic: part.topic,
            base_version: part.base_version,
            version: part.version,
            part: part.part_index,
        };
        self.bodies.entry(key).or_insert_with(|| body::encode(part).into()).clone()
    }
}

/// The session of one subscribing proxy.
pub(super) struct SubscriberSession {
    pub holder: CertificateHolder,
    pub session: Session,
    /// The proxy's index, once it is admitted.
    pub proxy: Option<ProxyId>,
    info: ProxyInfo,
    filters: Vec<TopicFilter>,
    /// Times at which unacknowledged messages were sent, by the distributor's number.
    sent: BTreeMap<u64, Duration>,
}

impl SubscriberSession {
    pub(super) fn new(now: Duration, planner: &str, holder: CertificateHolder) -> SubscriberSession {
        let session = Session::new(now, planner, &holder.name);
        SubscriberSession {
            holder,
            session,
            proxy: None,
            info: ProxyInfo::default(),
            filters: vec![],
            sent: BTreeMap::new(),
        }
    }

    /// Sends one update part of the distributor.
    pub(super) fn send(&mut self, now: Duration, number: u64, part: &UpdatePart, bodies: &mut BodyCache) {
        self.session.publish(now, number, part.topic, bodies.body(part));
        self.sent.insert(number, now);
    }

    /// Why the session has ended, if it has.
    pub(super) fn close_reason(&self) -> Option<CloseReason> {
        match self.session.end()? {
            ConnectionEnd::Disconnected => Some(CloseReason::Ended),
            ConnectionEnd::TimedOut => Some(CloseReason::Idle),
            ConnectionEnd::Rejected(reason) => {
                tracing::warn!(proxy = %self.holder.name, reason, "stream ends");
                Some(CloseReason::Broken)
            }
        }
    }

    /// Handles an event of the MQTT session; returns what follows for the planner, if anything.
    pub(super) fn handle_event(
        &mut self,
        connection: ConnectionId,
        event: SessionEvent,
    ) -> Option<ProxyEvent> {
        match event {
            SessionEvent::Connected(info) => {
                self.info = info;
                None
            }
            SessionEvent::Subscribed { filters, held } => {
                self.filters.extend(filters);
                self.introduction(connection, held)
            }
            SessionEvent::Unsubscribed { filters } => {
                self.filters.retain(|filter| !filters.contains(filter));
                // A proxy without its tables cannot be commanded, and must not count as one that can.
                tracing::warn!(proxy = %self.holder.name, "disconnected: the proxy unsubscribed from its tables");
                Some(ProxyEvent::Finish(CloseReason::Ended))
            }
            SessionEvent::Report(bytes) => match report::decode(&bytes) {
                Ok(report) => self.proxy.map(|_| ProxyEvent::Reported(report)),
                Err(why) => self.proxy.map(|_| ProxyEvent::MalformedReport(why.to_string())),
            },
            SessionEvent::Acknowledged(number) => {
                let sent = self.sent.remove(&number);
                self.proxy.map(|_| ProxyEvent::Acknowledged { number, sent })
            }
            SessionEvent::Rejected(number, topic) => {
                self.sent.remove(&number);
                self.proxy.map(|_| ProxyEvent::NotApplicable { number, topic })
            }
        }
    }

    /// A proxy introduces itself once it subscribes to all that it has to follow.
    fn introduction(&self, connection: ConnectionId, held: Vec<(Topic, HeldVersion)>) -> Option<ProxyEvent> {
        let pending = PendingProxy {
            connection,
            name: self.holder.name.clone(),
            zone: self.info.zone.clone(),
            request_rate: self.info.request_rate,
            has_no_table: self.info.has_no_table,
            transport: Transport::Published,
            filters: self.filters.clone(),
            held,
        };
        let is_complete = self.proxy.is_none() && pending.can_apply_tables();
        is_complete.then_some(ProxyEvent::Introduced(pending))
    }
}
