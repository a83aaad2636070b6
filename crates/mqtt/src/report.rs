//! A proxy's report as JSON, which proxies in any language can write.

use crate::decode_error::DecodeError;
use runloom_model::report::{
    ClassArrivals, ClassOutcomes, Report, ServerOutcomes, MAX_CLASSES, MAX_LATENCY_BUCKET, MAX_WINDOW_MS,
    MIN_WINDOW_MS,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of values of a server's load report; further ones are ignored.
const MAX_LOAD_VALUES: usize = 16;
/// Maximum number of servers in a report: as many as a fleet may have.
const MAX_SERVERS: usize = 4096;

/// The JSON object of a report.
#[derive(Serialize, Deserialize)]
struct ReportBody {
    #[serde(rename = "span_ms")]
    window_ms: u64,
    #[serde(rename = "met")]
    outcomes: Vec<OutcomesBody>,
    #[serde(rename = "came")]
    arrivals: Vec<ArrivalsBody>,
}

/// Attempts at one server within the reported window.
#[derive(Serialize, Deserialize)]
struct OutcomesBody {
    server: String,
    #[serde(rename = "tries")]
    attempts: u64,
    #[serde(rename = "failed")]
    failures: u64,
    #[serde(rename = "took_us")]
    mean_latency_us: u64,
    #[serde(rename = "in_time", default)]
    within_objective: u64,
    /// The server's most recent load report; null for missing values.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    load: Vec<Option<f64>>,
    #[serde(rename = "of", default, skip_serializing_if = "Vec::is_empty")]
    classes: Vec<ClassBody>,
}

/// Attempts of one class at one server.
#[derive(Serialize, Deserialize)]
struct ClassBody {
    class: String,
    #[serde(rename = "tries")]
    attempts: u64,
    #[serde(rename = "in_time")]
    within_objective: u64,
    /// Latency buckets and the number of attempts in each.
    #[serde(rename = "took")]
    latencies: Vec<(u8, u64)>,
}

/// Requests of one class that arrived within the reported window.
#[derive(Serialize, Deserialize)]
struct ArrivalsBody {
    class: String,
    #[serde(rename = "queries")]
    requests: u64,
    unanswered: u64,
}

impl From<&ServerOutcomes> for OutcomesBody {
    fn from(outcomes: &ServerOutcomes) -> OutcomesBody {
        OutcomesBody {
            server: outcomes.server.clone(),
            attempts: outcomes.attempts,
            failures: outcomes.failures,
            mean_latency_us: outcomes.mean_latency.as_micros() as u64,
            within_objective: outcomes.within_objective,
            load: outcomes.load.iter().map(|value| value.is_finite().then_some(*value)).collect(),
            classes: outcomes.classes.iter().map(ClassBody::from).collect(),
        }
    }
}

impl From<OutcomesBody> for ServerOutcomes {
    fn from(body: OutcomesBody) -> ServerOutcomes {
        let load = body.load.into_iter().take(MAX_LOAD_VALUES);
        let classes = body.classes.into_iter().take(MAX_CLASSES);
        ServerOutcomes {
            server: body.server,
            attempts: body.attempts,
            failures: body.failures,
            mean_latency: Duration::from_micros(body.mean_latency_us),
            within_objective: body.within_objective,
            load: load.map(|value| value.unwrap_or(f64::NAN)).collect(),
            classes: classes.map(ClassOutcomes::from).collect(),
        }
    }
}

impl From<&ClassOutcomes> for ClassBody {
    fn from(outcomes: &ClassOutcomes) -> ClassBody {
        ClassBody {
            class: outcomes.class.clone(),
            attempts: outcomes.attempts,
            within_objective: outcomes.within_objective,
            latencies: outcomes.latencies.iter().map(|(bucket, count)| (*bucket, *count)).collect(),
        }
    }
}

impl From<ClassBody> for ClassOutcomes {
    fn from(body: ClassBody) -> ClassOutcomes {
        let latencies = body.latencies.into_iter();
        ClassOutcomes {
            class: body.class,
            attempts: body.attempts,
            within_objective: body.within_objective,
            latencies: latencies.map(|(bucket, count)| (bucket.min(MAX_LATENCY_BUCKET), count)).collect(),
        }
    }
}

impl From<&ClassArrivals> for ArrivalsBody {
    fn from(arrivals: &ClassArrivals) -> ArrivalsBody {
        ArrivalsBody {
            class: arrivals.class.clone(),
            requests: arrivals.requests,
            unanswered: arrivals.unanswered,
        }
    }
}

impl From<ArrivalsBody> for ClassArrivals {
    fn from(body: ArrivalsBody) -> ClassArrivals {
        ClassArrivals { class: body.class, requests: body.requests, unanswered: body.unanswered }
    }
}

/// Encodes a report as the payload of an MQTT message.
pub fn encode(report: &Report) -> Vec<u8> {
    let body = ReportBody {
        window_ms: report.window.as_millis() as u64,
        outcomes: report.outcomes.iter().map(OutcomesBody::from).collect(),
        arrivals: report.arrivals.iter().map(ArrivalsBody::from).collect(),
    };
    // Numbers, strings and lists of them can always be serialized to JSON.
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Decodes a payload of [`encode`]. The window and latency buckets are clamped to valid values; surplus load values and
/// classes of a server are ignored.
pub fn decode(bytes: &[u8]) -> Result<Report, DecodeError> {
    let body: ReportBody = serde_json::from_slice(bytes)?;
    if body.outcomes.len() > MAX_SERVERS || body.arrivals.len() > MAX_CLASSES {
        return Err(DecodeError::TooManyEntries);
    }
    Ok(Report {
        window: Duration::from_millis(body.window_ms.clamp(MIN_WINDOW_MS, MAX_WINDOW_MS)),
        outcomes: body.outcomes.into_iter().map(ServerOutcomes::from).collect(),
        arrivals: body.arrivals.into_iter().map(ClassArrivals::from).collect(),
    })
}
