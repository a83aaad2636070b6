//! One connection at the planner. Who is at the other end is known by its certificate before the first byte; what
//! it says of itself must agree with that.

use crate::names::{self, TopicRejected};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::event::{GenericEvent, TimerKind};
use mqtt_protocol_core::mqtt::connection::ConnectionOptions;
use mqtt_protocol_core::mqtt::packet::{v5_0, GenericPacket, Property, Qos};
use mqtt_protocol_core::mqtt::packet::{
    GenericPacketTrait, ReceiveMaximum, ServerKeepAlive, SessionExpiryInterval,
};
use mqtt_protocol_core::mqtt::prelude::PropertyValueAccess;
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, DisconnectReasonCode, PubackReasonCode, SubackReasonCode, UnsubackReasonCode,
};
use mqtt_protocol_core::mqtt::{role, Connection, Version};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The largest message that a proxy may send: a report on some hundreds of servers.
const PACKET_MOST: u32 = 256 << 10;
/// Reports on their way at a time: one is usual, one more may come before the first is confirmed.
const REPORTS_MOST: u16 = 4;
/// A proxy that says nothing for one and a half times this is gone, whatever it asked for itself.
const ALIVE: u16 = 10;
/// A connection says who it is within this time.
const GREETING: Duration = Duration::from_secs(5);
/// Filters in one subscription: as many as a proxy has tables.
const FILTERS_MOST: usize = 33;

/// What a proxy says of itself when it connects, in user properties of these names.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Hello {
    pub zone: String,
    /// Queries a second.
    pub rate: f64,
    /// It holds nothing but what it started with.
    pub fresh: bool,
}

/// What a proxy said.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    /// It is connected, and says what it is.
    Connected(Hello),
    /// It wants these tables of its own, and holds what it says of some: epoch and version.
    Wants {
        wanted: Vec<TopicFilter>,
        holds: Vec<(Topic, HeldVersion)>,
    },
    WantsNoMore {
        wanted: Vec<TopicFilter>,
    },
    Report(Vec<u8>),
    /// It took the message of this number.
    Confirmed(u64),
    /// It could not use the message: its table is to be told anew.
    Lacks(u64, Topic),
}

/// Why a connection is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEnd {
    /// It said goodbye.
    Left,
    /// It broke the protocol, or wanted what it may not have.
    Refused(String),
    Silent,
}

pub struct Session {
    link: Connection<role::Server>,
    planner: String,
    proxy: String,
    connected: bool,
    out: Vec<u8>,
    /// Messages on their way by the protocol's own number.
    flying: BTreeMap<u16, (u64, Topic)>,
    silent_at: Option<Duration>,
    over: Option<SessionEnd>,
}

impl Session {
    /// `proxy`: by its certificate.
    pub fn new(now: Duration, planner: &str, proxy: &str) -> Session {
        let bounds =
            ConnectionOptions::new().maximum_packet_size_recv(PACKET_MOST).receive_maximum(REPORTS_MOST);
        Session {
            link: Connection::with_options(Version::V5_0, bounds),
            planner: planner.to_string(),
            proxy: proxy.to_string(),
            connected: false,
            out: vec![],
            flying: BTreeMap::new(),
            silent_at: Some(now + GREETING),
            over: (!names::fits(proxy)).then(|| SessionEnd::Refused("its name fits no topic".into())),
        }
    }

    /// Bytes to be written.
    pub fn output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// Why it is over, if it is: what is left to be written goes out, and the connection is cut.
    pub fn over(&self) -> Option<&SessionEnd> {
        self.over.as_ref()
    }

    /// When [`Session::wake`] wants to be called though nothing came.
    pub fn wakes_at(&self) -> Option<Duration> {
        self.silent_at
    }

    pub fn wake(&mut self, now: Duration) {
        if self.silent_at.is_some_and(|at| now >= at) && self.over.is_none() {
            self.silent_at = None;
            let events = self.link.notify_timer_fired(TimerKind::PingreqRecv);
            self.follow(now, events);
            self.over = Some(SessionEnd::Silent);
        }
    }

    pub fn take(&mut self, now: Duration, bytes: &[u8]) -> Vec<SessionEvent> {
        let mut heard = Vec::new();
        let mut cursor = Cursor::new(bytes);
        while self.over.is_none() && (cursor.position() as usize) < bytes.len() {
            let events = self.link.recv(&mut cursor);
            for packet in self.follow(now, events) {
                self.packet(now, packet, &mut heard);
            }
        }
        heard
    }

    /// Does what the protocol's own state asks for; packets that came are handed on.
    fn follow(&mut self, now: Duration, events: Vec<GenericEvent<u16>>) -> Vec<GenericPacket<u16>> {
        let mut packets = Vec::new();
        let before = self.over.is_some();
        for event in events {
            match event {
                GenericEvent::NotifyPacketReceived(packet) => packets.push(packet),
                GenericEvent::RequestSendPacket { packet, .. } => {
                    self.out.extend(packet.to_continuous_buffer());
                }
                GenericEvent::RequestTimerReset { duration_ms, .. } => {
                    self.silent_at = Some(now + Duration::from_millis(duration_ms));
                }
                GenericEvent::RequestTimerCancel(_) => self.silent_at = None,
                // The wish to close stands before its reason.
                GenericEvent::NotifyError(error) if !before => {
                    self.over = Some(SessionEnd::Refused(format!("{error:?}")));
                }
                GenericEvent::RequestClose => _ = self.over.get_or_insert(SessionEnd::Left),
                GenericEvent::NotifyError(_) | GenericEvent::NotifyPacketIdReleased(_) => {}
            }
        }
        packets
    }

    fn send(&mut self, now: Duration, packet: impl Into<GenericPacket<u16>>) {
        let events = self.link.send(packet.into());
        self.follow(now, events);
    }

    fn packet(&mut self, now: Duration, packet: GenericPacket<u16>, heard: &mut Vec<SessionEvent>) {
        // The library lets other packets through before the greeting, and a second greeting.
        if matches!(packet, GenericPacket::V5_0Connect(_)) == self.connected {
            self.over = Some(SessionEnd::Refused("a greeting comes first, and once".into()));
            return;
        }
        match packet {
            GenericPacket::V5_0Connect(p) => self.greeted(now, &p, heard),
            GenericPacket::V5_0Subscribe(p) => self.subscribed(now, &p, heard),
            GenericPacket::V5_0Unsubscribe(p) => self.unsubscribed(now, &p, heard),
            GenericPacket::V5_0Publish(p) => self.published(now, &p, heard),
            GenericPacket::V5_0Puback(p) => {
                if let Some((number, topic)) = self.flying.remove(&p.packet_id()) {
                    let good = p.reason_code().is_none_or(|code| code.is_success());
                    heard.push(if good {
                        SessionEvent::Confirmed(number)
                    } else {
                        SessionEvent::Lacks(number, topic)
                    });
                }
            }
            GenericPacket::V5_0Pingreq(_) => self.send(now, pong()),
            GenericPacket::V5_0Disconnect(_) => self.over = Some(SessionEnd::Left),
            other => {
                self.end(now, DisconnectReasonCode::ProtocolError, &format!("{:?}", other.packet_type()))
            }
        }
    }

    /// Ends the connection with the protocol's reason.
    fn end(&mut self, now: Duration, code: DisconnectReasonCode, why: &str) {
        if let Ok(goodbye) = v5_0::Disconnect::builder().reason_code(code).build() {
            self.send(now, goodbye);
        }
        self.over = Some(SessionEnd::Refused(why.to_string()));
    }

    /// Another stream of the same name took over.
    pub fn taken_over(&mut self, now: Duration) {
        self.end(now, DisconnectReasonCode::SessionTakenOver, "another connection took over");
    }

    fn greeted(&mut self, now: Duration, p: &v5_0::Connect, heard: &mut Vec<SessionEvent>) {
        let code = match () {
            // An empty name stands for the certificate's.
            () if !p.client_id().is_empty() && p.client_id() != self.proxy => {
                ConnectReasonCode::ClientIdentifierNotValid
            }
            // A proxy that is gone is seen to be gone; nobody may leave a message to be sent in its name.
            () if p.will_flag() => ConnectReasonCode::NotAuthorized,
            () => ConnectReasonCode::Success,
        };
        let mut properties: Vec<Property> = vec![];
        if code == ConnectReasonCode::Success {
            // What a proxy holds is in epochs and versions: the protocol's own session ends with the connection.
            properties.extend(SessionExpiryInterval::new(0).map(Property::from));
            properties.extend(ServerKeepAlive::new(ALIVE).map(Property::from));
            properties.extend(ReceiveMaximum::new(REPORTS_MOST).map(Property::from));
        }
        let answer =
            v5_0::Connack::builder().session_present(false).reason_code(code).props(properties).build();
        if let Ok(answer) = answer {
            self.send(now, answer);
        }
        if code != ConnectReasonCode::Success {
            self.over = Some(SessionEnd::Refused(format!("{code:?}")));
            return;
        }
        let said = |name: &str| {
            let of = |p: &Property| p.as_key_value().filter(|(k, _)| *k == name).map(|(_, v)| v.to_string());
            p.props().iter().find_map(of)
        };
        let hello = Hello {
            zone: said("zone").unwrap_or_default(),
            rate: said("rate").and_then(|r| r.parse().ok()).filter(|r: &f64| r.is_finite()).unwrap_or(0.0),
            fresh: said("fresh").as_deref() == Some("true"),
        };
        self.connected = true;
        self.silent_at = Some(now + Duration::from_secs(u64::from(ALIVE)) * 3 / 2);
        heard.push(SessionEvent::Connected(hello));
    }

    fn subscribed(&mut self, now: Duration, p: &v5_0::Subscribe, heard: &mut Vec<SessionEvent>) {
        let (mut codes, mut all) = (vec![], vec![]);
        for entry in p.entries().iter() {
            let wish = names::wanted(&self.planner, &self.proxy, entry.topic_filter());
            codes.push(match wish {
                _ if codes.len() >= FILTERS_MOST => SubackReasonCode::QuotaExceeded,
                Ok(wanted) => {
                    all.push(wanted);
                    // Whatever it asks for: a table that might be lost on the way would be none.
                    SubackReasonCode::GrantedQos1
                }
                Err(TopicRejected::Invalid) => SubackReasonCode::TopicFilterInvalid,
                Err(TopicRejected::NotIts) => SubackReasonCode::NotAuthorized,
                Err(TopicRejected::Shared) => SubackReasonCode::SharedSubscriptionsNotSupported,
            });
        }
        if let Ok(answer) = v5_0::Suback::builder().packet_id(p.packet_id()).reason_codes(codes).build() {
            self.send(now, answer);
        }
        if !all.is_empty() {
            // `holds`: a topic, the epoch and the version, with a blank between.
            let held = |property: &Property| {
                let (_, value) = property.as_key_value().filter(|(key, _)| *key == "holds")?;
                let mut words = value.split(' ');
                let topic = names::read_table(&self.planner, &self.proxy, words.next()?)?;
                let (epoch, version) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
                Some((topic, HeldVersion { epoch, version }))
            };
            let holds = p.props().iter().take(FILTERS_MOST).filter_map(held).collect();
            heard.push(SessionEvent::Wants { wanted: all, holds });
        }
    }

    fn unsubscribed(&mut self, now: Duration, p: &v5_0::Unsubscribe, heard: &mut Vec<SessionEvent>) {
        let wishes: Vec<_> =
            p.entries().iter().map(|e| names::wanted(&self.planner, &self.proxy, e.as_str())).collect();
        let code = |w: &Result<TopicFilter, TopicRejected>| match w {
            Ok(_) => UnsubackReasonCode::Success,
            Err(_) => UnsubackReasonCode::NotAuthorized,
        };
        let codes: Vec<_> = wishes.iter().map(code).collect();
        if let Ok(answer) = v5_0::Unsuback::builder().packet_id(p.packet_id()).reason_codes(codes).build() {
            self.send(now, answer);
        }
        let wanted: Vec<TopicFilter> = wishes.into_iter().flatten().collect();
        heard.extend((!wanted.is_empty()).then_some(SessionEvent::WantsNoMore { wanted }));
    }

    /// A proxy publishes its own reports and nothing else; nothing is retained.
    fn published(&mut self, now: Duration, p: &v5_0::Publish, heard: &mut Vec<SessionEvent>) {
        let its = p.topic_name() == names::report(&self.planner, &self.proxy);
        if p.retain() {
            return self.end(now, DisconnectReasonCode::RetainNotSupported, "a message to be retained");
        }
        match (p.qos(), its) {
            (Qos::AtMostOnce, false) => {
                return self.end(now, DisconnectReasonCode::NotAuthorized, "a topic that is not its own");
            }
            (Qos::ExactlyOnce, _) => {
                return self.end(now, DisconnectReasonCode::QosNotSupported, "a message exactly once");
            }
            (Qos::AtLeastOnce, _) => {
                let code = if its { PubackReasonCode::Success } else { PubackReasonCode::NotAuthorized };
                let answer =
                    p.packet_id().map(|id| v5_0::Puback::builder().packet_id(id).reason_code(code).build());
                if let Some(Ok(answer)) = answer {
                    self.send(now, answer);
                }
            }
            (Qos::AtMostOnce, true) => {}
        }
        if its {
            heard.push(SessionEvent::Report(p.payload().as_slice().to_vec()));
        }
    }

    /// How many more messages the proxy takes now.
    pub fn room(&self) -> usize {
        if !self.connected || self.over.is_some() {
            return 0;
        }
        self.link.get_receive_maximum_vacancy_for_send().map_or(usize::MAX, usize::from)
    }

    /// Sends a part of an update, as [`crate::body`] writes it, under a number. False: there is no [`Session::room`].
    pub fn tell(&mut self, now: Duration, number: u64, topic: Topic, body: Arc<[u8]>) -> bool {
        if self.room() == 0 {
            return false;
        }
        let Ok(id) = self.link.acquire_packet_id() else { return false };
        let message = v5_0::Publish::builder()
            .topic_name(names::table(&self.planner, &self.proxy, topic))
            .map(|b| b.qos(Qos::AtLeastOnce).packet_id(id).payload(body))
            .and_then(|b| b.build());
        let Ok(message) = message else { return false };
        self.flying.insert(id, (number, topic));
        self.send(now, message);
        true
    }

    /// Messages on their way.
    pub fn flying(&self) -> usize {
        self.flying.len()
    }
}

fn pong() -> v5_0::Pingresp {
    v5_0::Pingresp::new()
}
