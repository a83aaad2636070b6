//! `PUBLISH` and `PUBACK`: table updates sent to the proxy, and reports received from it.

use super::{InFlightMessage, Session, SessionEvent};
use crate::topics;
use mqtt_protocol_core::mqtt::packet::{v5_0, Qos};
use mqtt_protocol_core::mqtt::result_code::{DisconnectReasonCode, PubackReasonCode};
use runloom_versioned_publisher::Topic;
use std::sync::Arc;
use std::time::Duration;

impl Session {
    /// Accepts the proxy's own reports only. A message on another topic is rejected in its `PUBACK`; with quality of
    /// service 0, which has no `PUBACK`, it ends the connection. So do retained messages and quality of service 2.
    pub(super) fn handle_publish(&mut self, now: Duration, packet: &v5_0::Publish) -> Option<SessionEvent> {
        let is_own_report = packet.topic_name() == topics::report_topic(&self.planner, &self.proxy);
        if packet.retain() {
            self.disconnect(now, DisconnectReasonCode::RetainNotSupported, "a retained message");
            return None;
        }
        match packet.qos() {
            Qos::AtMostOnce if !is_own_report => {
                self.disconnect(now, DisconnectReasonCode::NotAuthorized, "a topic that is not its own");
            }
            Qos::AtMostOnce => {}
            Qos::AtLeastOnce => self.send_puback(now, packet, is_own_report),
            Qos::ExactlyOnce => {
                self.disconnect(now, DisconnectReasonCode::QosNotSupported, "quality of service 2");
                return None;
            }
        }
        is_own_report.then(|| SessionEvent::Report(packet.payload().as_slice().to_vec()))
    }

    fn send_puback(&mut self, now: Duration, packet: &v5_0::Publish, is_own_report: bool) {
        let code = match is_own_report {
            true => PubackReasonCode::Success,
            false => PubackReasonCode::NotAuthorized,
        };
        let Some(packet_id) = packet.packet_id() else { return };
        if let Ok(puback) = v5_0::Puback::builder().packet_id(packet_id).reason_code(code).build() {
            self.send(now, puback);
        }
    }

    pub(super) fn handle_puback(&mut self, packet: &v5_0::Puback) -> Option<SessionEvent> {
        let message = self.in_flight.remove(&packet.packet_id())?;
        let is_success = packet.reason_code().is_none_or(|code| code.is_success());
        Some(match is_success {
            true => SessionEvent::Acknowledged(message.number),
            false => SessionEvent::Rejected(message.number, message.topic),
        })
    }

    /// How many more messages can be published now: the send quota of MQTT 5, 4.9. 0 if the proxy is not connected.
    pub fn send_quota(&self) -> usize {
        if !self.is_connected || self.end.is_some() {
            return 0;
        }
        self.connection.get_receive_maximum_vacancy_for_send().map_or(usize::MAX, usize::from)
    }

    /// Publishes a part of an update, encoded by [`crate::body::encode`]. `number` identifies it in
    /// [`SessionEvent::Acknowledged`] and [`SessionEvent::Rejected`]. Returns false if it cannot be published now.
    pub fn publish(&mut self, now: Duration, number: u64, topic: Topic, body: Arc<[u8]>) -> bool {
        if self.send_quota() == 0 {
            return false;
        }
        let Ok(packet_id) = self.connection.acquire_packet_id() else { return false };
        let packet = v5_0::Publish::builder()
            .topic_name(topics::table_topic(&self.planner, &self.proxy, topic))
            .map(|builder| builder.qos(Qos::AtLeastOnce).packet_id(packet_id).payload(body))
            .and_then(|builder| builder.build());
        let Ok(packet) = packet else { return false };
        self.in_flight.insert(packet_id, InFlightMessage { number, topic });
        self.send(now, packet);
        true
    }

    /// Number of published messages that are not acknowledged yet.
    pub fn messages_in_flight(&self) -> usize {
        self.in_flight.len()
    }
}
