//! What the platform says on a connection, typed. Every field is judged here: a message of which one is
//! missing, mistyped or out of range, or names what does not exist, never reaches the decisions.

use runloom_controller::IdMap;
use runloom_controller::{Event, ProxyId, ZoneId};
use serde_json::{Map, Value};
use std::time::Duration;

/// A span of an hour is past anything that is reported here; what says more is spoilt.
const SPAN_MOST_MS: f64 = 3.6e6;
/// A million tries or queries in one message are past what any proxy or zone does between two reports.
const COUNT_MOST: u64 = 1_000_000;
/// The same for a load report's values and for paces.
const VALUE_MOST: f64 = 1e9;
/// Marks are numbers below this.
const MARKS: u64 = 1 << 16;

/// The names behind the indices.
#[derive(Debug, Clone, Default)]
pub struct Names {
    pub zones: IdMap<String>,
    pub kinds: IdMap<String>,
    pub classes: IdMap<String>,
    pub servers: IdMap<String>,
    /// The values of a load report, in the order in which they are handed on.
    pub fields: Vec<String>,
    /// Proxies are numbered from 0 to one less than this.
    pub proxies: usize,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for a sign of life.
    Ping,
    /// A zone's reports come here.
    Collector { zone: ZoneId },
    /// A joining, a report or the answer to a mark, as the decisions are told of it.
    Told(Event),
}

/// What is wrong with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedMessage {
    /// No kind that is sent to a planner.
    Kind,
    /// This field is missing, mistyped or out of range, or names what does not exist.
    Field(&'static str),
}

/// The other name of each value of a load report: servers call them otherwise than the settings do.
const LOAD_NAMES: &[(&str, &str)] = &[
    ("rif", "inflight"),
    ("q", "queue"),
    ("busy", "util"),
    ("lat_ms", "latency_ms"),
    ("rate", "qps"),
    ("fail_rate", "eps"),
];

/// A load report's values in the settings' order; one that is not there reads as NaN, one that is no figure
/// makes the whole report unusable.
pub fn load(report: &Map<String, Value>, fields: &[String]) -> Option<Vec<f64>> {
    let value = |name: &String| {
        let other = LOAD_NAMES.iter().find(|(ours, _)| ours == name).map_or("", |(_, other)| other);
        match report.get(name).or_else(|| report.get(other)) {
            None | Some(Value::Null) => Some(f64::NAN),
            Some(value) => value.as_f64().filter(|v| (0.0..=VALUE_MOST).contains(v)),
        }
    };
    fields.iter().map(value).collect()
}

struct Fields<'a>(&'a Value);

impl Fields<'_> {
    fn number(&self, name: &'static str, most: f64) -> Result<f64, MalformedMessage> {
        let value = self.0[name].as_f64().filter(|v| (0.0..=most).contains(v));
        value.ok_or(MalformedMessage::Field(name))
    }

    fn whole(&self, name: &'static str, below: u64) -> Result<u64, MalformedMessage> {
        self.0[name].as_u64().filter(|v| *v < below).ok_or(MalformedMessage::Field(name))
    }

    fn span(&self, name: &'static str) -> Result<Duration, MalformedMessage> {
        self.number(name, SPAN_MOST_MS).map(|ms| Duration::from_secs_f64(ms / 1000.0))
    }

    /// A span that something was counted over; in none nothing can come.
    fn over(&self) -> Result<Duration, MalformedMessage> {
        self.span("over").and_then(|s| if s.is_zero() { Err(MalformedMessage::Field("over")) } else { Ok(s) })
    }

    fn named(&self, name: &'static str, ids: &IdMap<String>) -> Result<usize, MalformedMessage> {
        self.0[name].as_str().and_then(|id| ids.get(id)).ok_or(MalformedMessage::Field(name))
    }

    fn load(&self, fields: &[String]) -> Result<Vec<f64>, MalformedMessage> {
        match &self.0["util"] {
            Value::Null => Ok(vec![]),
            Value::Object(report) => load(report, fields).ok_or(MalformedMessage::Field("util")),
            _ => Err(MalformedMessage::Field("util")),
        }
    }
}

/// Judges a message, field by field.
pub fn read(message: &Value, names: &Names) -> Result<Message, MalformedMessage> {
    let fields = Fields(message);
    let proxy = || fields.whole("id", names.proxies as u64).map(|id| id as ProxyId);
    let zone = || fields.named("site", &names.zones);
    match message["t"].as_str() {
        Some("PING") => Ok(Message::Ping),
        Some("SOURCE") => Ok(Message::Collector { zone: zone()? }),
        Some("SUBSCRIBE") => {
            let fresh = message["new"].as_bool().ok_or(MalformedMessage::Field("new"))?;
            let rate = fields.number("rps", VALUE_MOST)?;
            Ok(Message::Told(Event::ProxyConnected {
                proxy: proxy()?,
                zone: zone()?,
                request_rate: rate,
                has_no_table: fresh,
            }))
        }
        Some("LOAD") => {
            let tries = fields.whole("count", COUNT_MOST)?;
            // More failed than were made: one of the two is spoilt, and nobody can tell which.
            let failed = fields.whole("fail", tries + 1)?;
            let (took, span, load) = (fields.span("mean")?, fields.over()?, fields.load(&names.fields)?);
            let server = fields.named("target", &names.servers)?;
            Ok(Message::Told(Event::OutcomeReport {
                zone: zone()?,
                server,
                attempts: tries,
                failures: failed,
                mean_latency: took,
                window: span,
                load,
            }))
        }
        Some("RATE") => {
            let class = fields.named("lane", &names.classes)?;
            let (queries, unanswered) =
                (fields.whole("count", COUNT_MOST)?, fields.whole("fail", COUNT_MOST)?);
            Ok(Message::Told(Event::ArrivalReport {
                proxy: proxy()?,
                class,
                requests: queries,
                unanswered,
                window: fields.over()?,
            }))
        }
        Some("ACK") => {
            let (mark, after) = (fields.whole("seq", MARKS)? as u16, fields.span("ms")?);
            Ok(Message::Told(Event::UpdateAcknowledged { proxy: proxy()?, ack_token: mark, elapsed: after }))
        }
        _ => Err(MalformedMessage::Kind),
    }
}
