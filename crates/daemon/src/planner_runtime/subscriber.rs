//! Session of a proxy that subscribes to its tables over MQTT.

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

/// Serialized update parts to keep; beyond this the cache is cleared.
const MAX_CACHED_BODIES: usize = 1024;

/// What distinguishes one serialized update part from another.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct BodyKey {
    epoch: u64,
    topic: Topic,
    base_version: Option<Version>,
    version: Version,
    part: usize,
}

/// Cache of serialized update parts: proxies that receive the same part share its bytes.
#[derive(Default)]
pub(super) struct BodyCache {
    bodies: BTreeMap<BodyKey, Arc<[u8]>>,
}

impl BodyCache {
    /// Clears the cache once it exceeds [`MAX_CACHED_BODIES`].
    pub(super) fn limit_size(&mut self) {
        if self.bodies.len() > MAX_CACHED_BODIES {
            self.bodies.clear();
        }
    }

    /// Returns the serialized form of an update part, from the cache if it is there.
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
    /// Times at which unacknowledged messages were sent, by their number at the distributor.
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

    /// Sends an update part, as message `number` of the distributor.
    pub(super) fn send(&mut self, now: Duration, number: u64, part: &UpdatePart, bodies: &mut BodyCache) {
        self.session.publish(now, number, part.topic, bodies.body(part));
        self.sent.insert(number, now);
    }

    /// Why the session has ended; `None` while it lasts. Logs a protocol violation.
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

    /// Handles an event of the MQTT session, and returns the resulting proxy event, if there is one.
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
                // A proxy that does not receive its tables must not count as one that follows commands.
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

    /// Introduces the proxy, once it has subscribed to all topics that it needs to apply tables.
    fn introduction(&self, connection: ConnectionId, held: Vec<(Topic, HeldVersion)>) -> Option<ProxyEvent> {
        let pending = PendingProxy {
            connection,
            name: self.holder.name.clone(),
            zone: self.info.zone.clone(),
            request_rate: self.info.request_rate,
            has_no_table: self.info.has_no_table,
            transport: Transport::Published,
            filters: self.filters.clone(),
            held_versions: held,
        };
        let is_complete = self.proxy.is_none() && pending.can_apply_tables();
        is_complete.then_some(ProxyEvent::Introduced(pending))
    }
}
