//! The information that a proxy sends when it connects, as user properties of the `CONNECT` packet.

use mqtt_protocol_core::mqtt::packet::{v5_0, Property, UserProperty};
use mqtt_protocol_core::mqtt::prelude::PropertyValueAccess;

// Names of the user properties.
const ZONE: &str = "zone";
const REQUEST_RATE: &str = "rate";
const HAS_NO_TABLE: &str = "fresh";

/// The information that a proxy sends about itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ProxyInfo {
    /// The proxy's zone; empty for none.
    pub zone: String,
    /// Requests per second that arrive at the proxy.
    pub request_rate: f64,
    /// Whether the proxy has no table from any planner.
    pub has_no_table: bool,
}

impl ProxyInfo {
    /// Reads the user properties of a `CONNECT` packet; missing and malformed ones get their default.
    pub(crate) fn read(packet: &v5_0::Connect) -> ProxyInfo {
        let request_rate = user_property(packet, REQUEST_RATE).and_then(|text| text.parse().ok());
        ProxyInfo {
            zone: user_property(packet, ZONE).unwrap_or_default(),
            request_rate: request_rate.filter(|rate: &f64| rate.is_finite()).unwrap_or(0.0),
            has_no_table: user_property(packet, HAS_NO_TABLE).as_deref() == Some("true"),
        }
    }

    /// The user properties; `None` if a value is too long for one.
    pub(crate) fn properties(&self) -> Option<[Property; 3]> {
        Some([
            UserProperty::new(ZONE, self.zone.clone()).ok()?.into(),
            UserProperty::new(REQUEST_RATE, format!("{:.3}", self.request_rate)).ok()?.into(),
            UserProperty::new(HAS_NO_TABLE, self.has_no_table.to_string()).ok()?.into(),
        ])
    }
}

fn user_property(packet: &v5_0::Connect, name: &str) -> Option<String> {
    let value = |property: &Property| {
        let (_, value) = property.as_key_value().filter(|(key, _)| *key == name)?;
        Some(value.to_string())
    };
    packet.props().iter().find_map(value)
}
