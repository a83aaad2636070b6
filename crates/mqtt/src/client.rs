//! A proxy's side of a connection: it says what it is and what it holds, takes its tables, and sends its reports.

use crate::session::Hello;
use crate::{body, names};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::event::{GenericEvent, TimerKind};
use mqtt_protocol_core::mqtt::connection::ConnectionOptions;
use mqtt_protocol_core::mqtt::packet::{v5_0, GenericPacket, Property, Qos, SubEntry, SubOpts, UserProperty};
use mqtt_protocol_core::mqtt::packet::{GenericPacketTrait, MaximumPacketSize, ReceiveMaximum};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, PubackReasonCode};
use mqtt_protocol_core::mqtt::{role, Connection, Version};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicKind, UpdatePart, MAX_IN_FLIGHT};
use std::time::Duration;

/// The largest message that is taken: a part of 128 changes with names and addresses of the greatest length.
const PACKET_MOST: u32 = 256 << 10;
/// The other side answers a greeting, a subscription and a sign of life within this time, or it is gone.
const ANSWER: Duration = Duration::from_secs(5);
/// A report is confirmed within this time, or something is heard at least: a proxy that hears nothing must not take
/// itself for joined, for drains no longer reach it. As long as a planner waits for a proxy's word, and some.
const CONFIRMED: Duration = Duration::from_secs(2);

/// What the planner said.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    /// It lets this proxy have its tables.
    Joined,
    /// A part of a table, to be answered by [`Client::answer`] under the number.
    Part(u16, UpdatePart),
}

/// Why a connection is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEnd {
    Left,
    Refused(String),
    Silent,
}

/// What a proxy asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// Tables with weights.
    Weights,
    /// Subsets, of servers that are all alike to it.
    Subsets,
}

pub struct Client {
    link: Connection<role::Client>,
    planner: String,
    proxy: String,
    wish: Wish,
    holds: Vec<(Topic, HeldVersion)>,
    out: Vec<u8>,
    joined: bool,
    /// When an answer is overdue, and when a sign of life is due.
    answer_by: Option<Duration>,
    sign_at: Option<Duration>,
    over: Option<SessionEnd>,
}

impl Client {
    /// Greets. `planner`: by its certificate; `holds`: tables with epoch and version, to go on from.
    pub fn new(
        now: Duration,
        planner: &str,
        proxy: &str,
        hello: &Hello,
        wish: Wish,
        holds: Vec<(Topic, HeldVersion)>,
    ) -> Client {
        let bounds = ConnectionOptions::new().maximum_packet_size_recv(PACKET_MOST);
        let mut client = Client {
            link: Connection::with_options(Version::V5_0, bounds),
            planner: planner.to_string(),
            proxy: proxy.to_string(),
            wish,
            holds,
            out: vec![],
            joined: false,
            answer_by: Some(now + ANSWER),
            sign_at: None,
            over: None,
        };
        match client.greeting(hello) {
            Some(greeting) => client.send(now, greeting),
            None => client.over = Some(SessionEnd::Refused("its name or zone fits no message".into())),
        }
        client
    }

    fn greeting(&self, hello: &Hello) -> Option<v5_0::Connect> {
        let said = |name: &str, value: String| UserProperty::new(name, value).ok().map(Property::from);
        let mut properties: Vec<Property> = vec![
            ReceiveMaximum::new(MAX_IN_FLIGHT as u16).ok()?.into(),
            MaximumPacketSize::new(PACKET_MOST).ok()?.into(),
        ];
        properties.push(said("zone", hello.zone.clone())?);
        properties.push(said("rate", format!("{:.3}", hello.rate))?);
        properties.push(said("fresh", hello.fresh.to_string())?);
        let greeting = v5_0::Connect::builder().client_id(&self.proxy).ok()?.clean_start(true);
        greeting.keep_alive(10).props(properties).build().ok()
    }

    pub fn output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    pub fn over(&self) -> Option<&SessionEnd> {
        self.over.as_ref()
    }

    pub fn is_joined(&self) -> bool {
        self.joined && self.over.is_none()
    }

    pub fn wakes_at(&self) -> Option<Duration> {
        [self.answer_by, self.sign_at].into_iter().flatten().min()
    }

    pub fn wake(&mut self, now: Duration) {
        if self.answer_by.is_some_and(|at| now >= at) {
            self.answer_by = None;
            self.over.get_or_insert(SessionEnd::Silent);
        }
        if self.sign_at.is_some_and(|at| now >= at) && self.over.is_none() {
            self.sign_at = None;
            let events = self.link.notify_timer_fired(TimerKind::PingreqSend);
            self.follow(now, events);
            self.answer_by.get_or_insert(now + ANSWER);
        }
    }

    pub fn take(&mut self, now: Duration, bytes: &[u8]) -> Vec<Told> {
        let (mut cursor, mut told) = (Cursor::new(bytes), Vec::new());
        while self.over.is_none() && (cursor.position() as usize) < bytes.len() {
            let events = self.link.recv(&mut cursor);
            for packet in self.follow(now, events) {
                self.packet(now, packet, &mut told);
            }
        }
        told
    }

    fn follow(&mut self, now: Duration, events: Vec<GenericEvent<u16>>) -> Vec<GenericPacket<u16>> {
        let mut packets = Vec::new();
        for event in events {
            match event {
                GenericEvent::NotifyPacketReceived(packet) => packets.push(packet),
                GenericEvent::RequestSendPacket { packet, .. } => {
                    self.out.extend(packet.to_continuous_buffer());
                }
                GenericEvent::RequestTimerReset { kind: TimerKind::PingreqSend, duration_ms } => {
                    self.sign_at = Some(now + Duration::from_millis(duration_ms));
                }
                GenericEvent::RequestTimerCancel(TimerKind::PingreqSend) => self.sign_at = None,
                GenericEvent::NotifyError(error) => {
                    self.over.get_or_insert(SessionEnd::Refused(format!("{error:?}")));
                }
                GenericEvent::RequestClose => _ = self.over.get_or_insert(SessionEnd::Left),
                _ => {}
            }
        }
        packets
    }

    fn send(&mut self, now: Duration, packet: impl Into<GenericPacket<u16>>) {
        let events = self.link.send(packet.into());
        self.follow(now, events);
    }

    fn packet(&mut self, now: Duration, packet: GenericPacket<u16>, told: &mut Vec<Told>) {
        // Whatever comes is a sign of life.
        self.answer_by = if self.joined { None } else { self.answer_by };
        match packet {
            GenericPacket::V5_0Connack(p) if p.reason_code() == ConnectReasonCode::Success => {
                match self.subscription() {
                    Some(wish) => self.send(now, wish),
                    None => self.over = Some(SessionEnd::Refused("its tables fit no message".into())),
                }
            }
            GenericPacket::V5_0Connack(p) => {
                self.over = Some(SessionEnd::Refused(format!("{:?}", p.reason_code())));
            }
            GenericPacket::V5_0Suback(p) => {
                let refused = p.reason_codes().into_iter().find(|code| !code.is_success());
                match refused {
                    Some(code) => self.over = Some(SessionEnd::Refused(format!("{code:?}"))),
                    None => {
                        (self.joined, self.answer_by) = (true, None);
                        told.push(Told::Joined);
                    }
                }
            }
            GenericPacket::V5_0Publish(p) => self.published(now, &p, told),
            GenericPacket::V5_0Disconnect(p) => {
                self.over = Some(SessionEnd::Refused(format!("{:?}", p.reason_code())));
            }
            _ => {}
        }
    }

    fn subscription(&mut self) -> Option<v5_0::Subscribe> {
        let of = |kind| names::all_of(&self.planner, &self.proxy, kind);
        let filters = match self.wish {
            Wish::Weights => {
                vec![of(TopicKind::Weights), of(TopicKind::Ejections), of(TopicKind::Assignments)]
            }
            Wish::Subsets => {
                vec![of(TopicKind::Subset), of(TopicKind::Ejections), of(TopicKind::Assignments)]
            }
        };
        let options = SubOpts::new().set_qos(Qos::AtLeastOnce);
        let entries =
            filters.iter().map(|f| SubEntry::new(f.as_str(), options).ok()).collect::<Option<Vec<_>>>()?;
        let holds = self.holds.iter().map(|(topic, HeldVersion { epoch, version })| {
            let name = names::table(&self.planner, &self.proxy, *topic);
            UserProperty::new("holds", format!("{name} {epoch} {version}")).ok().map(Property::from)
        });
        let holds = holds.collect::<Option<Vec<_>>>()?;
        let id = self.link.acquire_packet_id().ok()?;
        v5_0::Subscribe::builder().entries(entries).props(holds).packet_id(id).build().ok()
    }

    fn published(&mut self, now: Duration, p: &v5_0::Publish, told: &mut Vec<Told>) {
        let topic = names::read_table(&self.planner, &self.proxy, p.topic_name());
        let part = topic.ok_or_else(|| "no table of its own".to_string());
        let part = part.and_then(|topic| body::read(topic, p.payload().as_slice()));
        match (part, p.packet_id()) {
            (Ok(part), Some(id)) => told.push(Told::Part(id, part)),
            // What cannot be read is said so at once, and asked for anew by that.
            (Err(_), Some(id)) => self.answer(now, id, false),
            (_, None) => {}
        }
    }

    /// The word on a part: taken, or of no use.
    pub fn answer(&mut self, now: Duration, id: u16, good: bool) {
        let code = if good { PubackReasonCode::Success } else { PubackReasonCode::PayloadFormatInvalid };
        if let Ok(word) = v5_0::Puback::builder().packet_id(id).reason_code(code).build() {
            self.send(now, word);
        }
    }

    /// Whether a report can be sent now; one that cannot stays with what comes next.
    pub fn can_report(&self) -> bool {
        let room = self.link.get_receive_maximum_vacancy_for_send();
        self.is_joined() && room.is_none_or(|room| room > 0)
    }

    pub fn report(&mut self, now: Duration, report: Vec<u8>) {
        let topic = names::report(&self.planner, &self.proxy);
        let Ok(id) = self.link.acquire_packet_id() else { return };
        let message = v5_0::Publish::builder()
            .topic_name(topic)
            .map(|b| b.qos(Qos::AtLeastOnce).packet_id(id).payload(report))
            .and_then(|b| b.build());
        if let Ok(message) = message {
            self.answer_by.get_or_insert(now + CONFIRMED);
            self.send(now, message);
        }
    }

    /// Says goodbye.
    pub fn leave(&mut self, now: Duration) {
        if let Ok(goodbye) = v5_0::Disconnect::builder().build() {
            self.send(now, goodbye);
        }
        self.over.get_or_insert(SessionEnd::Left);
    }
}
