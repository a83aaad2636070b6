//! Reports from a proxy to a planner, as NETCONF notifications (RFC 5277).

use crate::PROXY_NAMESPACE;
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// The highest latency bucket, two minutes and more: beyond every deadline.
pub const MAX_LATENCY_BUCKET: u8 = 27;
/// Classes that a fleet may have.
pub const MAX_CLASSES: usize = 32;
/// Bounds of a report's window, in milliseconds.
pub const MIN_WINDOW_MS: u64 = 1;
/// See [`MIN_WINDOW_MS`].
pub const MAX_WINDOW_MS: u64 = 600_000;
/// The text in place of a missing value of a load report.
const MISSING_VALUE: &str = "-";

/// Successful attempts by latency: bucket `k` holds those from 2^(k-1) up to 2^k microseconds.
pub type LatencyBuckets = BTreeMap<u8, u64>;

/// The bucket of a latency: the number of bits of its microseconds, at most [`MAX_LATENCY_BUCKET`].
pub fn latency_bucket(latency: Duration) -> u8 {
    let bits = u64::BITS - (latency.as_micros() as u64).leading_zeros();
    bits.min(u32::from(MAX_LATENCY_BUCKET)) as u8
}

/// Outcomes of a proxy's attempts at one server with requests of one class.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassOutcomes {
    /// The class.
    pub class: String,
    /// Attempts that ended.
    pub attempts: u64,
    /// Successful ones within the class's latency objective.
    pub within_objective: u64,
    /// Successful ones by latency.
    pub latencies: LatencyBuckets,
}

/// Outcomes of a proxy's attempts at one server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerOutcomes {
    /// The server.
    pub server: String,
    /// Attempts that ended.
    pub attempts: u64,
    /// Those of them that failed.
    pub failures: u64,
    /// Mean latency of the successful ones.
    pub mean_latency: Duration,
    /// Successful ones within the latency objective of their class.
    pub within_objective: u64,
    /// The server's newest load report; NaN where a value is missing.
    pub load: Vec<f64>,
    /// The same by class, from proxies that report it. It is for the event log; the controller does not use it.
    pub classes: Vec<ClassOutcomes>,
}

/// Requests of one class that arrived at a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassArrivals {
    /// The class.
    pub class: String,
    /// Requests that arrived.
    pub requests: u64,
    /// Those of them that got no answer.
    pub unanswered: u64,
}

/// What happened at a proxy within a window.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// The time that it covers.
    pub window: Duration,
    /// Outcomes by server.
    pub outcomes: Vec<ServerOutcomes>,
    /// Arrivals by class.
    pub arrivals: Vec<ClassArrivals>,
}

impl Report {
    /// The `<report>` element.
    pub fn to_element(&self) -> Element {
        let mut report =
            Element::new(PROXY_NAMESPACE, "report").with_leaf("span-ms", self.window.as_millis());
        for outcomes in &self.outcomes {
            report = report.with(outcomes.to_element());
        }
        for arrivals in &self.arrivals {
            report = report.with(arrivals.to_element());
        }
        report
    }

    /// Reads a `<report>`; `None` for another element. Malformed outcomes and arrivals are left out.
    pub fn read(element: &Element) -> Option<Report> {
        if !element.is(PROXY_NAMESPACE, "report") {
            return None;
        }
        let window_ms = number(element, "span-ms")?.clamp(MIN_WINDOW_MS, MAX_WINDOW_MS);
        Some(Report {
            window: Duration::from_millis(window_ms),
            outcomes: element.named("met").filter_map(|met| ServerOutcomes::read(met)).collect(),
            arrivals: element.named("came").filter_map(|came| ClassArrivals::read(came)).collect(),
        })
    }
}

impl ServerOutcomes {
    fn to_element(&self) -> Element {
        let mut met = Element::new(PROXY_NAMESPACE, "met")
            .with_leaf("server", &self.server)
            .with_leaf("tries", self.attempts)
            .with_leaf("failed", self.failures)
            .with_leaf("took-us", self.mean_latency.as_micros())
            .with_leaf("in-time", self.within_objective);
        for value in &self.load {
            met = if value.is_finite() {
                met.with_leaf("load", value)
            } else {
                met.with_leaf("load", MISSING_VALUE)
            };
        }
        for outcomes in &self.classes {
            met = met.with_leaf("of", outcomes.to_text());
        }
        met
    }

    fn read(met: &Element) -> Option<ServerOutcomes> {
        let load = met.named("load").map(|value| value.text.parse().unwrap_or(f64::NAN));
        let classes = met.named("of").filter_map(|of| ClassOutcomes::parse(&of.text));
        Some(ServerOutcomes {
            server: met.text_of("server")?.to_string(),
            attempts: number(met, "tries")?,
            failures: number(met, "failed")?,
            mean_latency: Duration::from_micros(number(met, "took-us")?),
            within_objective: number(met, "in-time").unwrap_or(0),
            load: load.collect(),
            classes: classes.take(MAX_CLASSES).collect(),
        })
    }
}

impl ClassOutcomes {
    /// Class, attempts and those within the objective, and each bucket as `k:n`: one leaf instead of four, since
    /// each report has many.
    fn to_text(&self) -> String {
        let mut text = format!("{} {} {}", self.class, self.attempts, self.within_objective);
        for (bucket, count) in &self.latencies {
            // Writing to a string cannot fail.
            let _ = write!(text, " {bucket}:{count}");
        }
        text
    }

    /// Reads what [`ClassOutcomes::to_text`] wrote; the name of a class has no blank.
    fn parse(text: &str) -> Option<ClassOutcomes> {
        let mut words = text.split(' ');
        Some(ClassOutcomes {
            class: words.next()?.to_string(),
            attempts: words.next()?.parse().ok()?,
            within_objective: words.next()?.parse().ok()?,
            latencies: words.filter_map(parse_bucket).collect(),
        })
    }
}

/// Reads `bucket:count`.
fn parse_bucket(word: &str) -> Option<(u8, u64)> {
    let (bucket, count) = word.split_once(':')?;
    Some((bucket.parse::<u8>().ok()?.min(MAX_LATENCY_BUCKET), count.parse().ok()?))
}

impl ClassArrivals {
    fn to_element(&self) -> Element {
        Element::new(PROXY_NAMESPACE, "came")
            .with_leaf("class", &self.class)
            .with_leaf("queries", self.requests)
            .with_leaf("unanswered", self.unanswered)
    }

    fn read(came: &Element) -> Option<ClassArrivals> {
        Some(ClassArrivals {
            class: came.text_of("class")?.to_string(),
            requests: number(came, "queries")?,
            unanswered: number(came, "unanswered")?,
        })
    }
}

fn number(element: &Element, name: &str) -> Option<u64> {
    element.text_of(name)?.parse().ok()
}
