//! What passes between a planner and a proxy: orders as one `<edit-config>`, reports as notifications.

use crate::PROXY;
use runloom_controller::RetryPolicy;
use runloom_netconf::tree::{escape, Element};
use runloom_netconf::BASE;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// A level as it is ordered: queries a second (`None`: all), and further tries.
pub type AdmissionLimit = (Option<f64>, RetryPolicy);

/// Changes of one table at one proxy.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TableEdit {
    /// All that the table holds, in place of what it held.
    pub whole: bool,
    /// Server and address, and the weight; 0 removes the line.
    pub lines: BTreeMap<String, (String, f64)>,
    pub levels: BTreeMap<String, AdmissionLimit>,
    /// The table is not used any more.
    pub gone: bool,
}

/// One message to one proxy.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Message {
    /// In place of all that the proxy holds, whoever wrote it.
    pub whole: bool,
    pub tables: BTreeMap<u16, TableEdit>,
    /// Class and table.
    pub binds: BTreeMap<String, u16>,
    /// Server, and whether it is out.
    pub withdrawn: BTreeMap<String, bool>,
}

fn word(tries: RetryPolicy) -> &'static str {
    match tries {
        RetryPolicy::Never => "none",
        RetryPolicy::IfNotExecuted => "unrun",
        RetryPolicy::Once => "one",
        RetryPolicy::Twice => "two",
    }
}

/// The way of trying again that a word stands for.
pub fn tries(word: &str) -> RetryPolicy {
    match word {
        "unrun" => RetryPolicy::IfNotExecuted,
        "one" => RetryPolicy::Once,
        "two" => RetryPolicy::Twice,
        _ => RetryPolicy::Never,
    }
}

/// A line as one text, for fronts that publish tables by key: address, weight.
pub fn line_text(address: &str, weight: f64) -> String {
    format!("{address} {weight}")
}

/// Reads [`line_text`]: a weight is finite and above 0.
pub fn read_line(text: &str) -> Option<(&str, f64)> {
    let (address, weight) = text.split_once(' ')?;
    let weight = weight.parse().ok().filter(|w: &f64| w.is_finite() && *w > 0.0)?;
    Some((address, weight))
}

/// A level as one text: queries a second, or `-` for all, and the further tries.
pub fn level_text((pace, tries): &AdmissionLimit) -> String {
    pace.map_or_else(|| format!("- {}", word(*tries)), |pace| format!("{pace} {}", word(*tries)))
}

/// Reads [`level_text`].
pub fn read_level(text: &str) -> Option<AdmissionLimit> {
    let (pace, ways) = text.split_once(' ')?;
    let pace = match pace {
        "-" => None,
        pace => Some(pace.parse().ok().filter(|p: &f64| p.is_finite() && *p >= 0.0)?),
    };
    matches!(ways, "none" | "unrun" | "one" | "two").then(|| (pace, tries(ways)))
}

fn leaf(out: &mut String, name: &str, text: &str) {
    out.push('<');
    out.push_str(name);
    out.push('>');
    escape(text, out);
    out.push_str("</");
    out.push_str(name);
    out.push('>');
}

impl Message {
    pub fn is_empty(&self) -> bool {
        !self.whole && self.tables.is_empty() && self.binds.is_empty() && self.withdrawn.is_empty()
    }

    /// Lines, as the channel counts them: each line, level, bind and withdrawal.
    pub fn lines(&self) -> usize {
        let table = |t: &TableEdit| t.lines.len() + t.levels.len();
        self.tables.values().map(table).sum::<usize>() + self.binds.len() + self.withdrawn.len()
    }

    /// The `<edit-config>` that carries it.
    pub fn to_text(&self) -> String {
        let mut out = String::with_capacity(256 + 120 * self.lines());
        out.push_str("<edit-config><target><running/></target><config>");
        // Writing to a string cannot fail.
        let _ = write!(out, "<tables xmlns=\"{PROXY}\" xmlns:nc=\"{BASE}\"");
        out.push_str(if self.whole { " nc:operation=\"replace\">" } else { ">" });
        for (id, table) in &self.tables {
            out.push_str(match table {
                TableEdit { gone: true, .. } => "<table nc:operation=\"remove\">",
                TableEdit { whole: true, .. } if !self.whole => "<table nc:operation=\"replace\">",
                _ => "<table>",
            });
            leaf(&mut out, "id", &id.to_string());
            table.lines.iter().for_each(|(server, line)| write_line(&mut out, server, line));
            table.levels.iter().for_each(|(class, level)| write_level(&mut out, class, level));
            out.push_str("</table>");
        }
        for (class, table) in &self.binds {
            out.push_str("<bind>");
            leaf(&mut out, "class", class);
            leaf(&mut out, "table", &table.to_string());
            out.push_str("</bind>");
        }
        for (server, is_out) in &self.withdrawn {
            out.push_str(if *is_out { "<withdrawn>" } else { "<withdrawn nc:operation=\"remove\">" });
            leaf(&mut out, "server", server);
            out.push_str("</withdrawn>");
        }
        out.push_str("</tables></config></edit-config>");
        out
    }
}

fn write_line(out: &mut String, server: &str, (address, weight): &(String, f64)) {
    if *weight <= 0.0 {
        out.push_str("<line nc:operation=\"remove\">");
        leaf(out, "server", server);
        out.push_str("</line>");
        return;
    }
    out.push_str("<line>");
    leaf(out, "server", server);
    leaf(out, "address", address);
    leaf(out, "weight", &weight.to_string());
    out.push_str("</line>");
}

fn write_level(out: &mut String, class: &str, (pace, tries): &AdmissionLimit) {
    // In place of the level before: one without a pace lets all in again.
    out.push_str("<level nc:operation=\"replace\">");
    leaf(out, "class", class);
    if let Some(pace) = pace {
        leaf(out, "pace", &pace.to_string());
    }
    leaf(out, "further-tries", word(*tries));
    out.push_str("</level>");
}

/// Tries by how long the good ones took: `k` holds those from 2^(k-1) up to 2^k microseconds.
pub type LatencyBuckets = BTreeMap<u8, u64>;

/// The bucket of a time; the last takes all that is longer than two minutes.
pub fn halved(took: Duration) -> u8 {
    // As many bits as the number has: 27 are two minutes, past every outer limit.
    (64 - (took.as_micros() as u64).leading_zeros()).min(27) as u8
}

/// What a proxy met at one server with the queries of one class.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassOutcomes {
    pub class: String,
    pub tries: u64,
    /// Good ones within the class's soft limit.
    pub in_time: u64,
    pub took: LatencyBuckets,
}

/// What a proxy met at one server over a span.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerOutcomes {
    pub server: String,
    pub tries: u64,
    pub failed: u64,
    /// Mean time of the good ones, and how many of them were within their class's soft limit.
    pub took: Duration,
    pub in_time: u64,
    /// The newest load report; NaN where a value is missing.
    pub load: Vec<f64>,
    /// The same by class, from proxies that tell it. Decisions do not see it: it is for the record.
    pub classes: Vec<ClassOutcomes>,
}

/// What came to a proxy over a span, of one class.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassArrivals {
    pub class: String,
    pub queries: u64,
    pub unanswered: u64,
}

/// Classes that a fleet may have.
const CLASSES_MOST: usize = 32;

fn number(e: &Element, name: &str) -> Option<u64> {
    e.text_of(name)?.parse().ok()
}

/// Reads `class tries in-time k:n k:n`; a class's name holds no blank.
fn by_class(text: &str) -> Option<ClassOutcomes> {
    let mut words = text.split(' ');
    let (class, tries, in_time) = (words.next()?, words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let pair = |word: &str| {
        let (k, n) = word.split_once(':')?;
        Some((k.parse::<u8>().ok()?.min(27), n.parse().ok()?))
    };
    Some(ClassOutcomes { class: class.to_string(), tries, in_time, took: words.filter_map(pair).collect() })
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    pub span: Duration,
    pub met: Vec<ServerOutcomes>,
    pub came: Vec<ClassArrivals>,
}

impl Report {
    pub fn element(&self) -> Element {
        let mut report = Element::new(PROXY, "report").with_leaf("span-ms", self.span.as_millis());
        for met in &self.met {
            let mut e = Element::new(PROXY, "met")
                .with_leaf("server", &met.server)
                .with_leaf("tries", met.tries)
                .with_leaf("failed", met.failed)
                .with_leaf("took-us", met.took.as_micros())
                .with_leaf("in-time", met.in_time);
            for value in &met.load {
                e = if value.is_finite() { e.with_leaf("load", value) } else { e.with_leaf("load", "-") };
            }
            for of in &met.classes {
                // One leaf and not four: every proxy sends some of these with every report.
                let mut text = format!("{} {} {}", of.class, of.tries, of.in_time);
                of.took.iter().for_each(|(k, n)| _ = write!(text, " {k}:{n}"));
                e = e.with_leaf("of", text);
            }
            report = report.with(e);
        }
        for came in &self.came {
            report = report.with(
                Element::new(PROXY, "came")
                    .with_leaf("class", &came.class)
                    .with_leaf("queries", came.queries)
                    .with_leaf("unanswered", came.unanswered),
            );
        }
        report
    }

    /// Reads a report; `None` if it is none. Entries that make no sense are left out.
    pub fn read(e: &Element) -> Option<Report> {
        if !e.is(PROXY, "report") {
            return None;
        }
        let met = e.named("met").filter_map(|m| {
            let load = m.named("load").map(|l| l.text.parse().unwrap_or(f64::NAN));
            Some(ServerOutcomes {
                server: m.text_of("server")?.to_string(),
                tries: number(m, "tries")?,
                failed: number(m, "failed")?,
                took: Duration::from_micros(number(m, "took-us")?),
                in_time: number(m, "in-time").unwrap_or(0),
                load: load.collect(),
                classes: m.named("of").filter_map(|of| by_class(&of.text)).take(CLASSES_MOST).collect(),
            })
        });
        let came = e.named("came").filter_map(|c| {
            let (queries, unanswered) = (number(c, "queries")?, number(c, "unanswered")?);
            Some(ClassArrivals { class: c.text_of("class")?.to_string(), queries, unanswered })
        });
        let span = Duration::from_millis(number(e, "span-ms")?.clamp(1, 600_000));
        Some(Report { span, met: met.collect(), came: came.collect() })
    }
}
