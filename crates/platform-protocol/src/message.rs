//! Parsing and validation of messages from proxies and collectors.
//!
//! Every field is validated here: a message with a field that is missing, mistyped or out of range, or that contains an
//! unknown name, never reaches the controller. Only this module knows the field names of these messages.

use crate::NameRegistry;
use runloom_controller::IdMap;
use runloom_controller::{Event, ProxyId, ZoneId};
use serde_json::{Map, Value};
use std::fmt;
use std::time::Duration;

/// The longest duration that a message may report, milliseconds: one hour.
const MAX_DURATION_MS: f64 = 3.6e6;
/// Exclusive upper bound of the attempts or requests that one report may count.
const MAX_REPORTED_COUNT: u64 = 1_000_000;
/// The largest valid value of a load report, and the highest valid request rate per second.
const MAX_METRIC_VALUE: f64 = 1e9;
/// Exclusive upper bound of acknowledgement tokens, which have 16 bits.
const ACK_TOKEN_LIMIT: u64 = 1 << 16;

/// A valid message from a proxy or a collector.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for a `PONG`, from which the peer sees that the planner is alive.
    Ping,
    /// Identifies the connection as a collector, which sends the reports of a zone.
    RegisterCollector {
        /// The zone that it reports on.
        zone: ZoneId,
    },
    /// A proxy's connection, a report or an acknowledgement, as an event for the controller.
    Event(Event),
}

/// Why a message cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedMessage {
    /// No message of this type is sent to a planner.
    UnknownType,
    /// This field is missing, mistyped or out of range, or contains an unknown name.
    InvalidField(&'static str),
}

impl fmt::Display for MalformedMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedMessage::UnknownType => formatter.write_str("unknown message type"),
            MalformedMessage::InvalidField(field) => write!(formatter, "invalid field {field:?}"),
        }
    }
}

impl std::error::Error for MalformedMessage {}

/// Names of load metrics in the settings and the names that servers may use instead: (settings, server).
const LOAD_METRIC_ALIASES: &[(&str, &str)] = &[
    ("rif", "inflight"),
    ("q", "queue"),
    ("busy", "util"),
    ("lat_ms", "latency_ms"),
    ("rate", "qps"),
    ("fail_rate", "eps"),
];

/// The values of a load report in the order of `metrics`; a missing one is NaN. `None` if a value is not a number
/// within the valid range.
pub fn parse_load_report(report: &Map<String, Value>, metrics: &[String]) -> Option<Vec<f64>> {
    let value_of = |metric: &String| {
        let alias =
            LOAD_METRIC_ALIASES.iter().find(|(name, _)| name == metric).map_or("", |(_, alias)| alias);
        match report.get(metric).or_else(|| report.get(alias)) {
            None | Some(Value::Null) => Some(f64::NAN),
            Some(value) => value.as_f64().filter(|value| (0.0..=MAX_METRIC_VALUE).contains(value)),
        }
    };
    metrics.iter().map(value_of).collect()
}

/// Parses and validates a message that a proxy or collector sent.
pub fn parse(message: &Value, names: &NameRegistry) -> Result<Message, MalformedMessage> {
    let fields = Fields { message, names };
    match message["t"].as_str() {
        Some("PING") => Ok(Message::Ping),
        Some("SOURCE") => Ok(Message::RegisterCollector { zone: fields.zone()? }),
        Some("SUBSCRIBE") => fields.proxy_connected().map(Message::Event),
        Some("LOAD") => fields.outcome_report().map(Message::Event),
        Some("RATE") => fields.arrival_report().map(Message::Event),
        Some("ACK") => fields.update_acknowledged().map(Message::Event),
        _ => Err(MalformedMessage::UnknownType),
    }
}

/// Typed access to a message's fields by their names on the wire.
struct Fields<'a> {
    message: &'a Value,
    names: &'a NameRegistry,
}

impl Fields<'_> {
    fn proxy_connected(&self) -> Result<Event, MalformedMessage> {
        Ok(Event::ProxyConnected {
            has_no_table: self.boolean("new")?,
            request_rate: self.number("rps", MAX_METRIC_VALUE)?,
            proxy: self.proxy()?,
            zone: self.zone()?,
        })
    }

    fn outcome_report(&self) -> Result<Event, MalformedMessage> {
        let attempts = self.integer("count", MAX_REPORTED_COUNT)?;
        Ok(Event::OutcomeReport {
            attempts,
            // More failures than attempts are malformed: either number may be the corrupt one.
            failures: self.integer("fail", attempts + 1)?,
            mean_latency: self.duration("mean")?,
            window: self.window()?,
            load: self.load_report()?,
            server: self.index("target", &self.names.servers)?,
            zone: self.zone()?,
        })
    }

    fn arrival_report(&self) -> Result<Event, MalformedMessage> {
        Ok(Event::ArrivalReport {
            class: self.index("lane", &self.names.classes)?,
            requests: self.integer("count", MAX_REPORTED_COUNT)?,
            unanswered: self.integer("fail", MAX_REPORTED_COUNT)?,
            proxy: self.proxy()?,
            window: self.window()?,
        })
    }

    fn update_acknowledged(&self) -> Result<Event, MalformedMessage> {
        Ok(Event::UpdateAcknowledged {
            ack_token: self.integer("seq", ACK_TOKEN_LIMIT)? as u16,
            elapsed: self.duration("ms")?,
            proxy: self.proxy()?,
        })
    }

    fn proxy(&self) -> Result<ProxyId, MalformedMessage> {
        self.integer("id", self.names.proxy_limit as u64).map(|id| id as ProxyId)
    }

    fn zone(&self) -> Result<ZoneId, MalformedMessage> {
        self.index("site", &self.names.zones)
    }

    /// The time that a report covers, which must not be zero: nothing can be counted in an empty window.
    fn window(&self) -> Result<Duration, MalformedMessage> {
        let window = self.duration("over")?;
        if window.is_zero() {
            return Err(MalformedMessage::InvalidField("over"));
        }
        Ok(window)
    }

    fn load_report(&self) -> Result<Vec<f64>, MalformedMessage> {
        let invalid = MalformedMessage::InvalidField("util");
        match &self.message["util"] {
            Value::Null => Ok(vec![]),
            Value::Object(report) => parse_load_report(report, &self.names.load_metrics).ok_or(invalid),
            _ => Err(invalid),
        }
    }

    fn boolean(&self, field: &'static str) -> Result<bool, MalformedMessage> {
        self.message[field].as_bool().ok_or(MalformedMessage::InvalidField(field))
    }

    fn number(&self, field: &'static str, max: f64) -> Result<f64, MalformedMessage> {
        let value = self.message[field].as_f64().filter(|value| (0.0..=max).contains(value));
        value.ok_or(MalformedMessage::InvalidField(field))
    }

    fn integer(&self, field: &'static str, limit: u64) -> Result<u64, MalformedMessage> {
        let value = self.message[field].as_u64().filter(|value| *value < limit);
        value.ok_or(MalformedMessage::InvalidField(field))
    }

    /// A duration; the field contains it in milliseconds.
    fn duration(&self, field: &'static str) -> Result<Duration, MalformedMessage> {
        self.number(field, MAX_DURATION_MS).map(|ms| Duration::from_secs_f64(ms / 1000.0))
    }

    fn index(&self, field: &'static str, ids: &IdMap<String>) -> Result<usize, MalformedMessage> {
        let name = self.message[field].as_str();
        name.and_then(|name| ids.get(name)).ok_or(MalformedMessage::InvalidField(field))
    }
}
