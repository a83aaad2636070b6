//! The planner's side of a connection. The proxy is identified by its certificate before the first byte; the client
//! identifier that it sends must be empty or the name in the certificate.

mod connect;
mod publications;
mod subscriptions;

use crate::connection_end::ConnectionEnd;
use crate::proxy_info::ProxyInfo;
use crate::topics;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::event::{GenericEvent, TimerKind};
use mqtt_protocol_core::mqtt::connection::ConnectionOptions;
use mqtt_protocol_core::mqtt::packet::{v5_0, GenericPacket, GenericPacketTrait};
use mqtt_protocol_core::mqtt::result_code::DisconnectReasonCode;
use mqtt_protocol_core::mqtt::{role, Connection, Version};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter};
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest packet that a proxy may send: enough for a report on several hundred servers.
const MAX_PACKET_BYTES: u32 = 256 << 10;
/// Maximum number of unacknowledged reports. One is usual, and one more may arrive before the first is acknowledged.
const MAX_UNACKNOWLEDGED_REPORTS: u16 = 4;
/// Maximum time until a proxy sends its `CONNECT` packet.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// An event caused by a proxy's packets.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    /// The proxy connected.
    Connected(ProxyInfo),
    /// The proxy subscribed to its tables.
    Subscribed {
        /// The granted filters.
        filters: Vec<TopicFilter>,
        /// The topics that the proxy holds, with the version of each, to resume from.
        held: Vec<(Topic, HeldVersion)>,
    },
    /// The proxy ended subscriptions.
    Unsubscribed {
        /// The filters to remove, as in the subscription.
        filters: Vec<TopicFilter>,
    },
    /// A report, to be decoded by [`crate::report::decode`].
    Report(Vec<u8>),
    /// The proxy applied the message of this number, or holds it until the rest of its update arrives.
    Acknowledged(u64),
    /// The proxy could not apply the message of this number: its topic is to be sent again as a snapshot.
    Rejected(u64, Topic),
}

/// A published message that is not acknowledged yet.
#[derive(Debug, Clone, Copy)]
struct InFlightMessage {
    number: u64,
    topic: Topic,
}

/// A planner's connection to a proxy.
pub struct Session {
    connection: Connection<role::Server>,
    planner: String,
    proxy: String,
    is_connected: bool,
    output: Vec<u8>,
    /// Unacknowledged messages by packet identifier.
    in_flight: BTreeMap<u16, InFlightMessage>,
    times_out_at: Option<Duration>,
    end: Option<ConnectionEnd>,
}

impl Session {
    /// Creates the session of an accepted connection. `proxy` is the name in the proxy's certificate.
    pub fn new(now: Duration, planner: &str, proxy: &str) -> Session {
        let options = ConnectionOptions::new()
            .maximum_packet_size_recv(MAX_PACKET_BYTES)
            .receive_maximum(MAX_UNACKNOWLEDGED_REPORTS);
        let is_invalid = !topics::is_valid_name(proxy);
        Session {
            connection: Connection::with_options(Version::V5_0, options),
            planner: planner.to_string(),
            proxy: proxy.to_string(),
            is_connected: false,
            output: vec![],
            in_flight: BTreeMap::new(),
            times_out_at: Some(now + CONNECT_TIMEOUT),
            end: is_invalid.then(|| ConnectionEnd::rejected("the proxy's name fits no topic")),
        }
    }

    /// Removes and returns the bytes to send.
    pub fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.output)
    }

    /// Why the connection ended, if it did. Remaining output is still to be sent; then the connection is to be closed.
    pub fn end(&self) -> Option<&ConnectionEnd> {
        self.end.as_ref()
    }

    /// When to call [`Session::handle_timeout`] if no bytes are received before; `None` if no timer is running.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.times_out_at
    }

    /// Ends the connection if the proxy has sent nothing within the time limit.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.times_out_at.is_some_and(|at| now >= at) && self.end.is_none() {
            self.times_out_at = None;
            let events = self.connection.notify_timer_fired(TimerKind::PingreqRecv);
            self.handle_protocol_events(now, events);
            self.end = Some(ConnectionEnd::TimedOut);
        }
    }

    /// Handles received bytes and returns the resulting events. Bytes after the end of the connection are ignored.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Vec<SessionEvent> {
        let mut events = Vec::new();
        let mut cursor = Cursor::new(bytes);
        while self.end.is_none() && (cursor.position() as usize) < bytes.len() {
            let protocol_events = self.connection.recv(&mut cursor);
            for packet in self.handle_protocol_events(now, protocol_events) {
                events.extend(self.handle_packet(now, packet));
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
        let had_ended = self.end.is_some();
        for event in events {
            match event {
                GenericEvent::NotifyPacketReceived(packet) => packets.push(packet),
                GenericEvent::RequestSendPacket { packet, .. } => {
                    self.output.extend(packet.to_continuous_buffer());
                }
                GenericEvent::RequestTimerReset { duration_ms, .. } => {
                    self.times_out_at = Some(now + Duration::from_millis(duration_ms));
                }
                GenericEvent::RequestTimerCancel(_) => self.times_out_at = None,
                // The library requests the close before it reports the error, which is the reason.
                GenericEvent::NotifyError(error) if !had_ended => {
                    self.end = Some(ConnectionEnd::rejected_by(error));
                }
                GenericEvent::RequestClose => _ = self.end.get_or_insert(ConnectionEnd::Disconnected),
                GenericEvent::NotifyError(_) | GenericEvent::NotifyPacketIdReleased(_) => {}
            }
        }
        packets
    }

    fn send(&mut self, now: Duration, packet: impl Into<GenericPacket<u16>>) {
        let events = self.connection.send(packet.into());
        self.handle_protocol_events(now, events);
    }

    fn handle_packet(&mut self, now: Duration, packet: GenericPacket<u16>) -> Option<SessionEvent> {
        // The library does not reject other packets before `CONNECT`, nor a second `CONNECT`.
        if matches!(packet, GenericPacket::V5_0Connect(_)) == self.is_connected {
            self.end = Some(ConnectionEnd::rejected("CONNECT comes first, and once"));
            return None;
        }
        match packet {
            GenericPacket::V5_0Connect(packet) => self.handle_connect(now, &packet),
            GenericPacket::V5_0Subscribe(packet) => self.handle_subscribe(now, &packet),
            GenericPacket::V5_0Unsubscribe(packet) => self.handle_unsubscribe(now, &packet),
            GenericPacket::V5_0Publish(packet) => self.handle_publish(now, &packet),
            GenericPacket::V5_0Puback(packet) => self.handle_puback(&packet),
            GenericPacket::V5_0Pingreq(_) => {
                self.send(now, v5_0::Pingresp::new());
                None
            }
            GenericPacket::V5_0Disconnect(_) => {
                self.end = Some(ConnectionEnd::Disconnected);
                None
            }
            other => {
                let packet_type = format!("{:?}", other.packet_type());
                self.disconnect(now, DisconnectReasonCode::ProtocolError, &packet_type);
                None
            }
        }
    }

    /// Sends `DISCONNECT` with a reason code and ends the connection; `reason` is for [`Session::end`].
    fn disconnect(&mut self, now: Duration, code: DisconnectReasonCode, reason: &str) {
        if let Ok(packet) = v5_0::Disconnect::builder().reason_code(code).build() {
            self.send(now, packet);
        }
        self.end = Some(ConnectionEnd::rejected(reason));
    }

    /// Ends the connection because another connection of the same proxy took over (MQTT 5, 3.1.4).
    pub fn take_over(&mut self, now: Duration) {
        self.disconnect(now, DisconnectReasonCode::SessionTakenOver, "another connection took over");
    }
}
