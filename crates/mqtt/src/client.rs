//! The proxy's side of a connection: it subscribes to its tables, acknowledges their updates and publishes reports.

use crate::connection_end::ConnectionEnd;
use crate::proxy_info::ProxyInfo;
use crate::{body, topics};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::event::{GenericEvent, TimerKind};
use mqtt_protocol_core::mqtt::connection::ConnectionOptions;
use mqtt_protocol_core::mqtt::packet::{v5_0, GenericPacket, Property, Qos, SubEntry, SubOpts, UserProperty};
use mqtt_protocol_core::mqtt::packet::{GenericPacketTrait, MaximumPacketSize, ReceiveMaximum};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, PubackReasonCode};
use mqtt_protocol_core::mqtt::{role, Connection, Version};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicKind, UpdatePart, MAX_IN_FLIGHT};
use std::time::Duration;

/// The largest packet that is accepted: a part of 128 changes with names and addresses of maximum length.
const MAX_PACKET_BYTES: u32 = 256 << 10;
/// A ping is sent after this many seconds without another packet.
const KEEP_ALIVE_SECONDS: u16 = 10;
/// Maximum time from the start of the connection to `SUBACK`, and from a ping to the planner's next packet.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time until the planner acknowledges a report or sends another packet. A proxy that receives nothing must not
/// consider itself connected, since it no longer learns of drains.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// An event caused by the planner's packets.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientEvent {
    /// The planner granted the subscription.
    Connected,
    /// A part of a table update, to be answered with [`Client::acknowledge`] or [`Client::reject`].
    Part {
        /// The packet identifier of the message.
        packet_id: u16,
        /// The decoded part.
        part: UpdatePart,
    },
}

/// The kind of route tables that a proxy subscribes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableFormat {
    /// Tables with a weight for each server.
    Weights,
    /// Subsets of servers, from which the proxy selects evenly.
    Subsets,
}

impl TableFormat {
    fn topic_kinds(self) -> [TopicKind; 3] {
        let table_kind = match self {
            TableFormat::Weights => TopicKind::Weights,
            TableFormat::Subsets => TopicKind::Subset,
        };
        [table_kind, TopicKind::Ejections, TopicKind::Assignments]
    }
}

/// A proxy's connection to a planner.
pub struct Client {
    connection: Connection<role::Client>,
    planner: String,
    proxy: String,
    format: TableFormat,
    held: Vec<(Topic, HeldVersion)>,
    output: Vec<u8>,
    is_subscribed: bool,
    /// When an awaited response is overdue; `None` if none is awaited.
    response_due_at: Option<Duration>,
    /// When to send a ping; `None` if no ping is scheduled.
    ping_at: Option<Duration>,
    end: Option<ConnectionEnd>,
}

impl Client {
    /// Starts a connection: puts `CONNECT` into the output. `planner` is the name in the planner's certificate; `held`
    /// are the topics and versions to resume from.
    pub fn new(
        now: Duration,
        planner: &str,
        proxy: &str,
        info: &ProxyInfo,
        format: TableFormat,
        held: Vec<(Topic, HeldVersion)>,
    ) -> Client {
        let options = ConnectionOptions::new().maximum_packet_size_recv(MAX_PACKET_BYTES);
        let mut client = Client {
            connection: Connection::with_options(Version::V5_0, options),
            planner: planner.to_string(),
            proxy: proxy.to_string(),
            format,
            held,
            output: vec![],
            is_subscribed: false,
            response_due_at: Some(now + RESPONSE_TIMEOUT),
            ping_at: None,
            end: None,
        };
        match client.connect_packet(info) {
            Some(packet) => client.send(now, packet),
            None => {
                client.end =
                    Some(ConnectionEnd::rejected("CONNECT cannot be encoded with the proxy's name and zone"))
            }
        }
        client
    }

    fn connect_packet(&self, info: &ProxyInfo) -> Option<v5_0::Connect> {
        let mut properties: Vec<Property> = vec![
            ReceiveMaximum::new(MAX_IN_FLIGHT as u16).ok()?.into(),
            MaximumPacketSize::new(MAX_PACKET_BYTES).ok()?.into(),
        ];
        properties.extend(info.properties()?);
        let packet = v5_0::Connect::builder().client_id(&self.proxy).ok()?.clean_start(true);
        packet.keep_alive(KEEP_ALIVE_SECONDS).props(properties).build().ok()
    }

    /// Removes and returns the bytes to send.
    pub fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.output)
    }

    /// Why the connection ended, if it did. Remaining output is still to be sent.
    pub fn end(&self) -> Option<&ConnectionEnd> {
        self.end.as_ref()
    }

    /// Whether the subscription was granted and the connection has not ended.
    pub fn is_connected(&self) -> bool {
        self.is_subscribed && self.end.is_none()
    }

    /// When to call [`Client::handle_timeout`]; `None` if no timer is running.
    pub fn next_wakeup(&self) -> Option<Duration> {
        [self.response_due_at, self.ping_at].into_iter().flatten().min()
    }

    /// Ends the connection if a response is overdue, and sends a ping if one is due.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.response_due_at.is_some_and(|at| now >= at) {
            self.response_due_at = None;
            self.end.get_or_insert(ConnectionEnd::TimedOut);
        }
        if self.ping_at.is_some_and(|at| now >= at) && self.end.is_none() {
            self.ping_at = None;
            let events = self.connection.notify_timer_fired(TimerKind::PingreqSend);
            self.handle_protocol_events(now, events);
            self.response_due_at.get_or_insert(now + RESPONSE_TIMEOUT);
        }
    }

    /// Handles received bytes and returns the resulting events. Bytes after the end of the connection are ignored.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Vec<ClientEvent> {
        let mut cursor = Cursor::new(bytes);
        let mut events = Vec::new();
        while self.end.is_none() && (cursor.position() as usize) < bytes.len() {
            let protocol_events = self.connection.recv(&mut cursor);
            for packet in self.handle_protocol_events(now, protocol_events) {
                self.handle_packet(now, packet, &mut events);
            }
        }
        events
    }

    /// Performs the actions that the protocol library requests, and returns the packets that it received.
    fn handle_protocol_events(
        &mut self,
        now: Duration,
        events: Vec<GenericEvent<u16>>,
    ) -> Vec<GenericPacket<u16>> {
        let mut packets = Vec::new();
        for event in events {
            match event {
                GenericEvent::NotifyPacketReceived(packet) => packets.push(packet),
                GenericEvent::RequestSendPacket { packet, .. } => {
                    self.output.extend(packet.to_continuous_buffer());
                }
                GenericEvent::RequestTimerReset { kind: TimerKind::PingreqSend, duration_ms } => {
                    self.ping_at = Some(now + Duration::from_millis(duration_ms));
                }
                GenericEvent::RequestTimerCancel(TimerKind::PingreqSend) => self.ping_at = None,
                GenericEvent::NotifyError(error) => {
                    self.end.get_or_insert(ConnectionEnd::rejected_by(error));
                }
                GenericEvent::RequestClose => _ = self.end.get_or_insert(ConnectionEnd::Disconnected),
                _ => {}
            }
        }
        packets
    }

    fn send(&mut self, now: Duration, packet: impl Into<GenericPacket<u16>>) {
        let events = self.connection.send(packet.into());
        self.handle_protocol_events(now, events);
    }

    fn handle_packet(&mut self, now: Duration, packet: GenericPacket<u16>, events: &mut Vec<ClientEvent>) {
        if self.is_subscribed {
            // Any packet shows that the planner responds.
            self.response_due_at = None;
        }
        match packet {
            GenericPacket::V5_0Connack(packet) => self.handle_connack(now, &packet),
            GenericPacket::V5_0Suback(packet) => events.extend(self.handle_suback(&packet)),
            GenericPacket::V5_0Publish(packet) => events.extend(self.handle_publish(now, &packet)),
            GenericPacket::V5_0Disconnect(packet) => {
                self.end = Some(ConnectionEnd::rejected_by(packet.reason_code()));
            }
            _ => {}
        }
    }

    fn handle_connack(&mut self, now: Duration, packet: &v5_0::Connack) {
        if packet.reason_code() != ConnectReasonCode::Success {
            self.end = Some(ConnectionEnd::rejected_by(packet.reason_code()));
            return;
        }
        match self.subscribe_packet() {
            Some(packet) => self.send(now, packet),
            None => {
                self.end = Some(ConnectionEnd::rejected("SUBSCRIBE cannot be encoded with the held topics"))
            }
        }
    }

    fn subscribe_packet(&mut self) -> Option<v5_0::Subscribe> {
        let options = SubOpts::new().set_qos(Qos::AtLeastOnce);
        let entry = |kind| {
            let filter = topics::kind_filter(&self.planner, &self.proxy, kind);
            SubEntry::new(filter.as_str(), options).ok()
        };
        let entries = self.format.topic_kinds().into_iter().map(entry).collect::<Option<Vec<_>>>()?;
        let held = |(topic, held): &(Topic, HeldVersion)| {
            let name = topics::table_topic(&self.planner, &self.proxy, *topic);
            let value = format!("{name} {} {}", held.epoch, held.version);
            UserProperty::new("holds", value).ok().map(Property::from)
        };
        let properties = self.held.iter().map(held).collect::<Option<Vec<_>>>()?;
        let packet_id = self.connection.acquire_packet_id().ok()?;
        v5_0::Subscribe::builder().entries(entries).props(properties).packet_id(packet_id).build().ok()
    }

    fn handle_suback(&mut self, packet: &v5_0::Suback) -> Option<ClientEvent> {
        if let Some(code) = packet.reason_codes().into_iter().find(|code| !code.is_success()) {
            self.end = Some(ConnectionEnd::rejected_by(code));
            return None;
        }
        self.is_subscribed = true;
        self.response_due_at = None;
        Some(ClientEvent::Connected)
    }

    /// Decodes a part. One that cannot be decoded is rejected immediately, upon which the planner sends a snapshot.
    fn handle_publish(&mut self, now: Duration, packet: &v5_0::Publish) -> Option<ClientEvent> {
        let packet_id = packet.packet_id()?;
        let topic = topics::parse_table_topic(&self.planner, &self.proxy, packet.topic_name());
        match topic.and_then(|topic| body::decode(topic, packet.payload().as_slice()).ok()) {
            Some(part) => Some(ClientEvent::Part { packet_id, part }),
            None => {
                self.reject(now, packet_id);
                None
            }
        }
    }

    /// Acknowledges a part that was applied, or that is held until the rest of its update arrives.
    pub fn acknowledge(&mut self, now: Duration, packet_id: u16) {
        self.send_puback(now, packet_id, PubackReasonCode::Success);
    }

    /// Rejects a part that cannot be applied, so that the planner sends a snapshot.
    pub fn reject(&mut self, now: Duration, packet_id: u16) {
        self.send_puback(now, packet_id, PubackReasonCode::PayloadFormatInvalid);
    }

    fn send_puback(&mut self, now: Duration, packet_id: u16, code: PubackReasonCode) {
        if let Ok(packet) = v5_0::Puback::builder().packet_id(packet_id).reason_code(code).build() {
            self.send(now, packet);
        }
    }

    /// Whether a report can be sent now: the client is connected, and the planner's limit on unacknowledged reports is
    /// not reached.
    pub fn can_report(&self) -> bool {
        let available = self.connection.get_receive_maximum_vacancy_for_send();
        self.is_connected() && available.is_none_or(|available| available > 0)
    }

    /// Sends a report encoded by [`crate::report::encode`].
    pub fn send_report(&mut self, now: Duration, report: Vec<u8>) {
        let topic = topics::report_topic(&self.planner, &self.proxy);
        let Ok(packet_id) = self.connection.acquire_packet_id() else { return };
        let packet = v5_0::Publish::builder()
            .topic_name(topic)
            .map(|builder| builder.qos(Qos::AtLeastOnce).packet_id(packet_id).payload(report))
            .and_then(|builder| builder.build());
        if let Ok(packet) = packet {
            self.response_due_at.get_or_insert(now + REPORT_TIMEOUT);
            self.send(now, packet);
        }
    }

    /// Sends `DISCONNECT` and ends the connection.
    pub fn disconnect(&mut self, now: Duration) {
        if let Ok(packet) = v5_0::Disconnect::builder().build() {
            self.send(now, packet);
        }
        self.end.get_or_insert(ConnectionEnd::Disconnected);
    }
}
