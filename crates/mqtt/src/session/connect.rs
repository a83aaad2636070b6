//! `CONNECT`: the proxy's name and the information about itself.

use super::{Session, SessionEvent, MAX_UNACKNOWLEDGED_REPORTS};
use crate::connection_end::ConnectionEnd;
use crate::proxy_info::ProxyInfo;
use mqtt_protocol_core::mqtt::packet::{
    v5_0, Property, ReceiveMaximum, ServerKeepAlive, SessionExpiryInterval,
};
use mqtt_protocol_core::mqtt::result_code::ConnectReasonCode;
use std::time::Duration;

/// Keep-alive that the planner imposes, whatever the proxy requests. A proxy that sends nothing for one and a half
/// times as long is disconnected.
const KEEP_ALIVE_SECONDS: u16 = 10;

impl Session {
    pub(super) fn handle_connect(&mut self, now: Duration, packet: &v5_0::Connect) -> Option<SessionEvent> {
        let code = self.connect_reason(packet);
        self.send_connack(now, code);
        if code != ConnectReasonCode::Success {
            self.end = Some(ConnectionEnd::rejected_by(code));
            return None;
        }
        self.is_connected = true;
        self.times_out_at = Some(now + Duration::from_secs(u64::from(KEEP_ALIVE_SECONDS)) * 3 / 2);
        Some(SessionEvent::Connected(ProxyInfo::read(packet)))
    }

    /// The reason code for the `CONNACK` packet.
    fn connect_reason(&self, packet: &v5_0::Connect) -> ConnectReasonCode {
        // An empty client identifier stands for the name in the certificate.
        if !packet.client_id().is_empty() && packet.client_id() != self.proxy {
            return ConnectReasonCode::ClientIdentifierNotValid;
        }
        // A will message would be published in the proxy's name, which is not allowed.
        if packet.will_flag() {
            return ConnectReasonCode::NotAuthorized;
        }
        ConnectReasonCode::Success
    }

    fn send_connack(&mut self, now: Duration, code: ConnectReasonCode) {
        let mut properties: Vec<Property> = vec![];
        if code == ConnectReasonCode::Success {
            // A proxy resumes by epoch and version, so the MQTT session state expires with the connection.
            properties.extend(SessionExpiryInterval::new(0).map(Property::from));
            properties.extend(ServerKeepAlive::new(KEEP_ALIVE_SECONDS).map(Property::from));
            properties.extend(ReceiveMaximum::new(MAX_UNACKNOWLEDGED_REPORTS).map(Property::from));
        }
        let packet = v5_0::Connack::builder().session_present(false).reason_code(code).props(properties);
        if let Ok(packet) = packet.build() {
            self.send(now, packet);
        }
    }
}
