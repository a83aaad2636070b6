//! Reports from a proxy to a planner, sent as NETCONF notifications (RFC 5277).

use crate::PROXY_NAMESPACE;
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// The highest latency bucket, for 2^26 microseconds (67 s) and more: beyond every deadline.
pub const MAX_LATENCY_BUCKET: u8 = 27;
/// The maximum number of traffic classes of a fleet. Further classes in the outcomes of a server are ignored.
pub const MAX_CLASSES: usize = 32;
/// The shortest window of a report, in milliseconds; a shorter one is raised to it.
pub const MIN_WINDOW_MS: u64 = 1;
/// The longest window of a report, in milliseconds; a longer one is cut to it.
pub const MAX_WINDOW_MS: u64 = 600_000;
/// Stands for a missing value in a load report.
const MISSING_VALUE: &str = "-";

/// Number of successful attempts by latency: bucket `k` counts those of at least 2^(k-1) and below 2^k microseconds,
/// and bucket 0 those below 1 microsecond. The highest bucket has no upper bound.
pub type LatencyBuckets = BTreeMap<u8, u64>;

/// The bucket of a latency: the bit length of its microseconds, at most [`MAX_LATENCY_BUCKET`].
pub fn latency_bucket(latency: Duration) -> u8 {
    let bits = u64::BITS - (latency.as_micros() as u64).leading_zeros();
    bits.min(u32::from(MAX_LATENCY_BUCKET)) as u8
}

/// Outcomes of a proxy's attempts at one server, for requests of one class.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassOutcomes {
    /// Name of the class.
    pub class: String,
    /// Attempts that ended, successful or not.
    pub attempts: u64,
    /// Successful attempts within the class's latency objective.
    pub within_objective: u64,
    /// Successful attempts by latency.
    pub latencies: LatencyBuckets,
}

/// Outcomes of a proxy's attempts at one server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerOutcomes {
    /// Name of the server.
    pub server: String,
    /// Attempts that ended, successful or not.
    pub attempts: u64,
    /// Failed attempts among them.
    pub failures: u64,
    /// Mean latency of the successful attempts.
    pub mean_latency: Duration,
    /// Successful attempts within the latency objective of their class.
    pub within_objective: u64,
    /// The server's newest load report, in the order of the fleet's load metrics; NaN where a value is missing.
    pub load: Vec<f64>,
    /// The same outcomes by class; empty if the proxy does not report them. They are for the event log; the controller
    /// does not use them.
    pub classes: Vec<ClassOutcomes>,
}

/// Requests of one class that arrived at a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassArrivals {
    /// Name of the class.
    pub class: String,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests among them that got no response.
    pub unanswered: u64,
}

/// What happened at a proxy within one window.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// Length of the time that the report covers.
    pub window: Duration,
    /// Outcomes by server.
    pub outcomes: Vec<ServerOutcomes>,
    /// Arrivals by class.
    pub arrivals: Vec<ClassArrivals>,
}

impl Report {
    /// Writes the report as a `<report>` element.
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

    /// Reads a `<report>`; `None` for another element, or without a valid `<span-ms>`. Malformed outcomes and
    /// arrivals are skipped.
    pub fn read(element: &Element) -> Option<Report> {
        if !element.is(PROXY_NAMESPACE, "report") {
            return None;
        }
        let window_ms = number(element, "span-ms")?.clamp(MIN_WINDOW_MS, MAX_WINDOW_MS);
        Some(Report {
            window: Duration::from_millis(window_ms),
            outcomes: element.named("met").filter_map(|child| ServerOutcomes::read(child)).collect(),
            arrivals: element.named("came").filter_map(|child| ClassArrivals::read(child)).collect(),
        })
    }
}

impl ServerOutcomes {
    fn to_element(&self) -> Element {
        let mut element = Element::new(PROXY_NAMESPACE, "met")
            .with_leaf("server", &self.server)
            .with_leaf("tries", self.attempts)
            .with_leaf("failed", self.failures)
            .with_leaf("took-us", self.mean_latency.as_micros())
            .with_leaf("in-time", self.within_objective);
        for value in &self.load {
            element = if value.is_finite() {
                element.with_leaf("load", value)
            } else {
                element.with_leaf("load", MISSING_VALUE)
            };
        }
        for outcomes in &self.classes {
            element = element.with_leaf("of", outcomes.to_text());
        }
        element
    }

    fn read(element: &Element) -> Option<ServerOutcomes> {
        let load = element.named("load").map(|value| value.text.parse().unwrap_or(f64::NAN));
        let classes = element.named("of").filter_map(|child| ClassOutcomes::parse(&child.text));
        Some(ServerOutcomes {
            server: element.text_of("server")?.to_string(),
            attempts: number(element, "tries")?,
            failures: number(element, "failed")?,
            mean_latency: Duration::from_micros(number(element, "took-us")?),
            within_objective: number(element, "in-time").unwrap_or(0),
            load: load.collect(),
            classes: classes.take(MAX_CLASSES).collect(),
        })
    }
}

impl ClassOutcomes {
    /// Writes class, attempts, attempts within the objective, and each latency bucket as `bucket:count`. One leaf
    /// instead of four keeps reports small, since each report has many.
    fn to_text(&self) -> String {
        let mut text = format!("{} {} {}", self.class, self.attempts, self.within_objective);
        for (bucket, count) in &self.latencies {
            // Writing to a `String` cannot fail.
            let _ = write!(text, " {bucket}:{count}");
        }
        text
    }

    /// Parses what [`ClassOutcomes::to_text`] wrote; relies on class names having no space.
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

/// Parses `bucket:count`. A bucket above [`MAX_LATENCY_BUCKET`] becomes that one.
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

    fn read(element: &Element) -> Option<ClassArrivals> {
        Some(ClassArrivals {
            class: element.text_of("class")?.to_string(),
            requests: number(element, "queries")?,
            unanswered: number(element, "unanswered")?,
        })
    }
}

fn number(element: &Element, name: &str) -> Option<u64> {
    element.text_of(name)?.parse().ok()
}
