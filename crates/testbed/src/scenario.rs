//! A scenario: sizes, traffic, and faults and edits at their times, read from XML with a schema.

use runloom_model::schema::SchemaValidator;
use runloom_netconf::tree::Element;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Table entries a second of a channel whose rate the scenario does not give.
const DEFAULT_ENTRIES_PER_SECOND: f64 = 20_000.0;

/// What a fault does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Server processes end, and start again after the duration.
    Crash,
    /// Servers take requests and answer none.
    Hang,
    /// The servers' machines accept and answer nothing.
    Unreachable,
    /// Servers fail a share of their requests at once.
    Errors,
    /// Servers take a multiple of their usual time.
    Slow,
    /// Some requests take a multiple of their usual time, at all servers.
    ExpensiveRequests,
    /// The endpoint list drains servers, which end after the duration.
    Drain,
    /// As [`FaultKind::Drain`], with a new server for each at once.
    Replace,
    /// The endpoint list leaves out servers that run.
    FalseRemoval,
    /// The feed sends no updates.
    FeedOutage,
    /// A planner's process is killed, and started again after the duration.
    PlannerKill,
    /// Proxies' streams break.
    StreamBreak,
    /// Proxies do not read their streams.
    StalledReader,
    /// The request rate grows by a factor.
    Surge,
}

impl FaultKind {
    /// All kinds with their names in the scenario's XML.
    const NAMES: [(FaultKind, &'static str); 14] = [
        (FaultKind::Crash, "crash"),
        (FaultKind::Hang, "hang"),
        (FaultKind::Unreachable, "silent"),
        (FaultKind::Errors, "errors"),
        (FaultKind::Slow, "slow"),
        (FaultKind::ExpensiveRequests, "costly"),
        (FaultKind::Drain, "drain"),
        (FaultKind::Replace, "replace"),
        (FaultKind::FalseRemoval, "lie-gone"),
        (FaultKind::FeedOutage, "feed-cut"),
        (FaultKind::PlannerKill, "planner-kill"),
        (FaultKind::StreamBreak, "stream-break"),
        (FaultKind::StalledReader, "deaf"),
        (FaultKind::Surge, "surge"),
    ];

    fn from_name(name: &str) -> Option<FaultKind> {
        FaultKind::NAMES.iter().find(|(_, known)| *known == name).map(|(kind, _)| *kind)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = FaultKind::NAMES.iter().find(|(kind, _)| kind == self).map_or("", |(_, name)| name);
        f.write_str(name)
    }
}

/// A fault that is injected at a set time.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// Time since the start of the scenario.
    pub at: Duration,
    /// What it does.
    pub kind: FaultKind,
    /// How many servers or proxies it affects.
    pub count: usize,
    /// How long it lasts.
    pub duration: Duration,
    /// By kind: the factor of the slowdown or of the request rate, or the share of requests that fail.
    pub magnitude: f64,
    /// The affected servers; empty to draw `count` healthy ones at random.
    pub servers: Vec<String>,
}

impl ScheduledFault {
    /// A fault of magnitude 1 on servers drawn at random; times in seconds.
    pub fn new(at: u64, kind: FaultKind, count: usize, duration: u64) -> ScheduledFault {
        ScheduledFault {
            at: Duration::from_secs(at),
            kind,
            count,
            duration: Duration::from_secs(duration),
            magnitude: 1.0,
            servers: vec![],
        }
    }
}

/// An operator's edit that is sent to each planner at a set time.
#[derive(Debug, Clone)]
pub struct ScheduledEdit {
    /// Time since the start of the scenario.
    pub at: Duration,
    /// The edit's id.
    pub id: String,
    /// A zone and its share of the traffic.
    pub zone_share: Option<(String, String)>,
    /// A server and whether it drains.
    pub drain: Option<(String, bool)>,
    /// The session is dropped before the first reply, and the edit sent again.
    pub drops_connection: bool,
}

/// How proxies receive their tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum DeliveryMode {
    /// By edits.
    #[default]
    Netconf,
    /// They subscribe.
    Pubsub,
    /// Every other one subscribes.
    Mixed,
    /// They subscribe to subsets.
    Subsets,
}

/// What the testbed plays.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How long clients send requests.
    pub duration: Duration,
    /// Servers at the start.
    pub server_count: usize,
    /// Proxies.
    pub proxy_count: usize,
    /// Zones, at least one.
    pub zone_count: usize,
    /// Planners, at least one.
    pub planner_count: usize,
    /// Requests a second over all proxies.
    pub request_rate: f64,
    /// Mean time that a request takes of one core.
    pub service_time: Duration,
    /// Cores of a server, at least one.
    pub cores: usize,
    /// Time from a server's cold start to its full capacity.
    pub warm_up: Duration,
    /// Proxies may send to a draining server for this time.
    pub drain_grace_period: Duration,
    /// Proxies may be without a table entry for this time.
    pub empty_table_grace_period: Duration,
    /// The feed learns of changes this much later.
    pub feed_delay: Duration,
    /// Only a drain obliges planners; a removal from the endpoint list does not.
    pub only_draining_binds: bool,
    /// How proxies pick an endpoint, by its name in the settings.
    pub selection: String,
    /// The kind of admission limit, by its name in the settings.
    pub admission: String,
    /// Table entries that a planner's channel sends in a second.
    pub entries_per_second: u64,
    /// The planners' `<fleet>`, if another than the scenario's own.
    pub fleet_xml: Option<String>,
    /// How proxies receive their tables.
    pub delivery: DeliveryMode,
    /// Planners and proxies have SPIFFE identities that live so long, and get new ones at half of it.
    pub identity_lifetime: Option<Duration>,
    /// Whether planners write an event log.
    pub is_recorded: bool,
    /// Faults, in any order.
    pub faults: Vec<ScheduledFault>,
    /// Operators' edits, in any order.
    pub edits: Vec<ScheduledEdit>,
}

/// The names and texts of the scenarios that come with the testbed.
pub const BUNDLED_SCENARIOS: [(&str, &str); 7] = [
    ("surge", include_str!("../days/surge.xml")),
    ("deploy", include_str!("../days/deploy.xml")),
    ("demo", include_str!("../days/demo.xml")),
    ("quiet", include_str!("../days/quiet.xml")),
    ("bad-day", include_str!("../days/bad-day.xml")),
    ("edits-under-failure", include_str!("../days/edits-under-failure.xml")),
    ("restart-storm", include_str!("../days/restart-storm.xml")),
];

/// Reads a scenario: one that comes with the testbed by its name, or a file.
///
/// # Errors
/// Returns the file's name with the cause, one line for each violation of the schema.
pub fn read(name: &str) -> Result<Scenario, String> {
    let text = load(name)?;
    let faults = SchemaValidator::new(include_str!("day.xsd"))?.validate(&text);
    if !faults.is_empty() {
        return Err(faults.iter().map(|f| format!("{name}:{f}")).collect::<Vec<_>>().join("\n"));
    }
    let root = Element::parse(&text).map_err(|e| format!("{name}:{}:{}: {}", e.line, e.column, e.reason))?;
    Ok(parse_scenario(&root))
}

fn load(name: &str) -> Result<String, String> {
    match BUNDLED_SCENARIOS.iter().find(|(known, _)| *known == name) {
        Some((_, text)) => Ok(text.to_string()),
        None => std::fs::read_to_string(Path::new(name)).map_err(|e| format!("{name}: {e}")),
    }
}

fn number_or(element: &Element, name: &str, default: f64) -> f64 {
    element.text_of(name).and_then(|t| t.parse().ok()).unwrap_or(default)
}

fn number(element: &Element, name: &str) -> f64 {
    number_or(element, name, 0.0)
}

fn seconds(element: &Element, name: &str) -> Duration {
    Duration::from_secs_f64(number(element, name).max(0.0))
}

fn milliseconds(element: &Element, name: &str) -> Duration {
    Duration::from_secs_f64(number(element, name).max(0.0) / 1000.0)
}

fn text(element: &Element, name: &str) -> String {
    element.text_of(name).unwrap_or_default().to_string()
}

fn flag(element: &Element, name: &str) -> bool {
    element.text_of(name) == Some("true")
}

/// The fault of a `trouble` element; `None` for a kind that the schema does not have.
fn parse_fault(element: &Element) -> Option<ScheduledFault> {
    Some(ScheduledFault {
        at: seconds(element, "at"),
        kind: FaultKind::from_name(element.text_of("kind")?)?,
        count: number_or(element, "count", 1.0) as usize,
        duration: seconds(element, "seconds"),
        magnitude: number_or(element, "size", 1.0),
        servers: element.named("server").map(|s| s.text.clone()).collect(),
    })
}

fn parse_edit(element: &Element) -> ScheduledEdit {
    ScheduledEdit {
        at: seconds(element, "at"),
        id: text(element, "id"),
        zone_share: element.text_of("zone").map(|zone| (zone.to_string(), text(element, "share"))),
        drain: element.text_of("server").map(|server| (server.to_string(), flag(element, "drain"))),
        drops_connection: flag(element, "dropped"),
    }
}

fn parse_scenario(root: &Element) -> Scenario {
    Scenario {
        duration: seconds(root, "seconds"),
        server_count: number(root, "servers") as usize,
        proxy_count: number(root, "forwarders") as usize,
        zone_count: (number(root, "zones") as usize).max(1),
        planner_count: (number(root, "planners") as usize).max(1),
        request_rate: number(root, "rate"),
        service_time: milliseconds(root, "work-ms"),
        cores: (number(root, "cores") as usize).max(1),
        warm_up: milliseconds(root, "warm-ms"),
        drain_grace_period: milliseconds(root, "drain-ms"),
        empty_table_grace_period: milliseconds(root, "bare-ms"),
        feed_delay: milliseconds(root, "feed-late-ms"),
        only_draining_binds: flag(root, "only-drains-bind"),
        selection: text(root, "pick"),
        admission: text(root, "levels"),
        entries_per_second: number_or(root, "lines-per-second", DEFAULT_ENTRIES_PER_SECOND) as u64,
        fleet_xml: None,
        delivery: DeliveryMode::default(),
        identity_lifetime: None,
        is_recorded: true,
        faults: root.named("trouble").filter_map(|element| parse_fault(element)).collect(),
        edits: root.named("edit").map(|element| parse_edit(element)).collect(),
    }
}
