//! `SUBSCRIBE` and `UNSUBSCRIBE`: the tables that are sent to a proxy.

use super::{Session, SessionEvent};
use crate::topics::{self, FilterError};
use mqtt_protocol_core::mqtt::packet::{v5_0, Property};
use mqtt_protocol_core::mqtt::prelude::PropertyValueAccess;
use mqtt_protocol_core::mqtt::result_code::{SubackReasonCode, UnsubackReasonCode};
use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter};
use std::time::Duration;

/// Maximum number of filters in one subscription: as many as a proxy has tables.
const MAX_FILTERS: usize = 33;
/// Name of the user property for a held topic. Its value is the topic, the epoch and the version, separated by spaces.
const HELD_PROPERTY: &str = "holds";

impl Session {
    pub(super) fn handle_subscribe(
        &mut self,
        now: Duration,
        packet: &v5_0::Subscribe,
    ) -> Option<SessionEvent> {
        let mut codes = vec![];
        let mut filters = vec![];
        for entry in packet.entries().iter() {
            let filter = self.parse_filter(entry.topic_filter());
            if codes.len() >= MAX_FILTERS {
                codes.push(SubackReasonCode::QuotaExceeded);
                continue;
            }
            codes.push(suback_reason(&filter));
            filters.extend(filter);
        }
        let suback = v5_0::Suback::builder().packet_id(packet.packet_id()).reason_codes(codes);
        if let Ok(suback) = suback.build() {
            self.send(now, suback);
        }
        if filters.is_empty() {
            return None;
        }
        let properties = packet.props().iter().take(MAX_FILTERS);
        let held = properties.filter_map(|property| self.parse_held(property)).collect();
        Some(SessionEvent::Subscribed { filters, held })
    }

    fn parse_filter(&self, filter: &str) -> Result<TopicFilter, FilterError> {
        topics::parse_filter(&self.planner, &self.proxy, filter)
    }

    fn parse_held(&self, property: &Property) -> Option<(Topic, HeldVersion)> {
        let (_, value) = property.as_key_value().filter(|(key, _)| *key == HELD_PROPERTY)?;
        let mut words = value.split(' ');
        let topic = topics::parse_table_topic(&self.planner, &self.proxy, words.next()?)?;
        let epoch = words.next()?.parse().ok()?;
        let version = words.next()?.parse().ok()?;
        Some((topic, HeldVersion { epoch, version }))
    }

    pub(super) fn handle_unsubscribe(
        &mut self,
        now: Duration,
        packet: &v5_0::Unsubscribe,
    ) -> Option<SessionEvent> {
        let entries = packet.entries();
        let filters: Vec<_> = entries.iter().map(|entry| self.parse_filter(entry.as_str())).collect();
        let codes: Vec<_> = filters.iter().map(unsuback_reason).collect();
        let unsuback = v5_0::Unsuback::builder().packet_id(packet.packet_id()).reason_codes(codes);
        if let Ok(unsuback) = unsuback.build() {
            self.send(now, unsuback);
        }
        let filters: Vec<TopicFilter> = filters.into_iter().flatten().collect();
        (!filters.is_empty()).then_some(SessionEvent::Unsubscribed { filters })
    }
}

/// The reason code for one filter in `SUBACK`. Quality of service 1 (at least once) is granted whatever was requested,
/// because a proxy needs every update of its tables.
fn suback_reason(filter: &Result<TopicFilter, FilterError>) -> SubackReasonCode {
    match filter {
        Ok(_) => SubackReasonCode::GrantedQos1,
        Err(FilterError::Invalid) => SubackReasonCode::TopicFilterInvalid,
        Err(FilterError::NotOwn) => SubackReasonCode::NotAuthorized,
        Err(FilterError::Shared) => SubackReasonCode::SharedSubscriptionsNotSupported,
    }
}

fn unsuback_reason(filter: &Result<TopicFilter, FilterError>) -> UnsubackReasonCode {
    match filter {
        Ok(_) => UnsubackReasonCode::Success,
        Err(_) => UnsubackReasonCode::NotAuthorized,
    }
}
