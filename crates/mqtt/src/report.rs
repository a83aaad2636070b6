//! A proxy's report as JSON, for proxies in any language.

use runloom_model::order::{ClassArrivals, ClassOutcomes, Report, ServerOutcomes};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Serialize, Deserialize)]
struct Body {
    span_ms: u64,
    met: Vec<MetBody>,
    came: Vec<CameBody>,
}

#[derive(Serialize, Deserialize)]
struct MetBody {
    server: String,
    tries: u64,
    failed: u64,
    took_us: u64,
    #[serde(default)]
    in_time: u64,
    /// The newest load report; null where a value is missing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    load: Vec<Option<f64>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    of: Vec<OfBody>,
}

#[derive(Serialize, Deserialize)]
struct OfBody {
    class: String,
    tries: u64,
    in_time: u64,
    /// Halved buckets and their counts.
    took: Vec<(u8, u64)>,
}

#[derive(Serialize, Deserialize)]
struct CameBody {
    class: String,
    queries: u64,
    unanswered: u64,
}

/// Values of a load report, classes a server, and servers: as many as a fleet may have of each.
const LOADS_MOST: usize = 16;
const CLASSES_MOST: usize = 32;
const MET_MOST: usize = 4096;

pub fn write(report: &Report) -> Vec<u8> {
    let of = |c: &ClassOutcomes| OfBody {
        class: c.class.clone(),
        tries: c.tries,
        in_time: c.in_time,
        took: c.took.iter().map(|(k, n)| (*k, *n)).collect(),
    };
    let met = |m: &ServerOutcomes| MetBody {
        server: m.server.clone(),
        tries: m.tries,
        failed: m.failed,
        took_us: m.took.as_micros() as u64,
        in_time: m.in_time,
        load: m.load.iter().map(|v| v.is_finite().then_some(*v)).collect(),
        of: m.classes.iter().map(of).collect(),
    };
    let came =
        |c: &ClassArrivals| CameBody { class: c.class.clone(), queries: c.queries, unanswered: c.unanswered };
    let body = Body {
        span_ms: report.span.as_millis() as u64,
        met: report.met.iter().map(met).collect(),
        came: report.came.iter().map(came).collect(),
    };
    // Numbers, texts and lists of them are JSON whatever they hold.
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Reads what [`write`] wrote; an error in words for what is none.
pub fn read(bytes: &[u8]) -> Result<Report, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    if body.met.len() > MET_MOST || body.came.len() > CLASSES_MOST {
        return Err("it names more than there can be".into());
    }
    let of = |c: OfBody| ClassOutcomes {
        class: c.class,
        tries: c.tries,
        in_time: c.in_time,
        took: c.took.into_iter().map(|(k, n)| (k.min(27), n)).collect(),
    };
    let met = |m: MetBody| ServerOutcomes {
        server: m.server,
        tries: m.tries,
        failed: m.failed,
        took: Duration::from_micros(m.took_us),
        in_time: m.in_time,
        load: m.load.into_iter().take(LOADS_MOST).map(|v| v.unwrap_or(f64::NAN)).collect(),
        classes: m.of.into_iter().take(CLASSES_MOST).map(of).collect(),
    };
    let came = |c: CameBody| ClassArrivals { class: c.class, queries: c.queries, unanswered: c.unanswered };
    Ok(Report {
        span: Duration::from_millis(body.span_ms.clamp(1, 600_000)),
        met: body.met.into_iter().map(met).collect(),
        came: body.came.into_iter().map(came).collect(),
    })
}
