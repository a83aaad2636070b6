//! Scenarios: sizes, traffic, and scheduled faults and edits, read from XML that is validated against a schema.

use runloom_model::schema::SchemaValidator;
use runloom_netconf::tree::Element;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Table entries per second that an update channel sends, if the scenario does not say.
const DEFAULT_ENTRIES_PER_SECOND: f64 = 20_000.0;

/// The effect of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Server processes exit, and start again after the duration.
    Crash,
    /// Servers accept requests and answer none.
    Hang,
    /// The servers' machines stop responding; new, cold processes start after the duration.
    Unreachable,
    /// Servers answer a share of their requests with an error immediately.
    Errors,
    /// Servers take a multiple of their usual service time.
    Slow,
    /// Some requests take a multiple of their usual service time, at all servers.
    ExpensiveRequests,
    /// The endpoint list marks servers as draining; they exit after the duration.
    Drain,
    /// As [`FaultKind::Drain`], with a replacement for each server that starts immediately.
    Replace,
    /// The endpoint list omits servers that still run.
    FalseRemoval,
    /// The feed sends no updates of the endpoint list.
    FeedOutage,
    /// A planner's process is killed, and started again after the duration.
    PlannerKill,
    /// Proxies' sessions with their planner are aborted.
    StreamBreak,
    /// Proxies do not read from their planner.
    StalledReader,
    /// The request rate is multiplied by a factor.
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
    /// The effect.
    pub kind: FaultKind,
    /// Number of servers or proxies that are affected.
    pub count: usize,
    /// Time until the fault ends.
    pub duration: Duration,
    /// By kind: the factor of the service time or of the request rate, or the share (0 to 1) of requests that fail.
    pub magnitude: f64,
    /// Names of the affected servers; empty to draw `count` healthy ones at random.
    pub servers: Vec<String>,
}

impl ScheduledFault {
    /// Creates a fault of magnitude 1 on servers drawn at random. `at` and `duration` are in seconds.
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
    /// The id under which the edit is sent, also when it is repeated.
    pub id: String,
    /// A zone and the new value of its traffic share; `None` leaves the zones as they are.
    pub zone_share: Option<(String, String)>,
    /// A server and whether it drains from now on; `None` leaves the servers as they are.
    pub drain: Option<(String, bool)>,
    /// Whether the session is dropped before the first reply, so that the edit has to be sent again.
    pub drops_connection: bool,
}

/// How proxies receive their tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum DeliveryMode {
    /// All proxies receive NETCONF edits.
    #[default]
    Netconf,
    /// All proxies subscribe to whole tables.
    Pubsub,
    /// Every other proxy subscribes to whole tables; the rest receive NETCONF edits.
    Mixed,
    /// All proxies subscribe to subsets of tables.
    Subsets,
}

/// A scenario that the testbed runs.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Time during which clients send requests.
    pub duration: Duration,
    /// Number of servers at the start.
    pub server_count: usize,
    /// Number of proxies.
    pub proxy_count: usize,
    /// Number of zones, at least one.
    pub zone_count: usize,
    /// Number of planners, at least one.
    pub planner_count: usize,
    /// Requests per second, summed over all proxies.
    pub request_rate: f64,
    /// Mean time for which a request occupies one core.
    pub service_time: Duration,
    /// Cores per server, at least one.
    pub cores: usize,
    /// Time from a server's cold start to its full capacity.
    pub warm_up: Duration,
    /// Time for which proxies may still send to a server after it was drained.
    pub drain_grace_period: Duration,
    /// Time for which a connected proxy may have no table entry for a traffic class.
    pub empty_table_grace_period: Duration,
    /// Time from a change of the servers until the feed sends it.
    pub feed_delay: Duration,
    /// Whether only a server that drains must get no more requests; if set, one that was removed from the endpoint
    /// list may still get some.
    pub only_draining_binds: bool,
    /// The algorithm by which proxies select an endpoint, by its name in the settings.
    pub selection: String,
    /// The kind of admission limit, by its name in the settings.
    pub admission: String,
    /// Table entries per second that a planner's update channel sends.
    pub entries_per_second: u64,
    /// The planners' `<fleet>`; `None` to derive it from the scenario.
    pub fleet_xml: Option<String>,
    /// How proxies receive their tables.
    pub delivery: DeliveryMode,
    /// Lifetime of the SPIFFE identities of planners and proxies, which are renewed at half of it; `None` for
    /// certificates by DNS names.
    pub identity_lifetime: Option<Duration>,
    /// Whether planners write an event log.
    pub is_recorded: bool,
    /// The scheduled faults, in any order.
    pub faults: Vec<ScheduledFault>,
    /// The operators' scheduled edits, in any order.
    pub edits: Vec<ScheduledEdit>,
}

/// The scenarios that are compiled into the testbed, as name and XML text.
pub const BUNDLED_SCENARIOS: [(&str, &str); 7] = [
    ("surge", include_str!("../days/surge.xml")),
    ("deploy", include_str!("../days/deploy.xml")),
    ("demo", include_str!("../days/demo.xml")),
    ("quiet", include_str!("../days/quiet.xml")),
    ("bad-day", include_str!("../days/bad-day.xml")),
    ("edits-under-failure", include_str!("../days/edits-under-failure.xml")),
    ("restart-storm", include_str!("../days/restart-storm.xml")),
];

/// Reads a scenario, given as the name of a bundled one or as a file.
///
/// # Errors
/// Returns the name with the cause, one line for each violation of the schema.
pub fn read(name: &str) -> Result<Scenario, String> {
    let text = load_text(name)?;
    let errors = SchemaValidator::new(include_str!("day.xsd"))?.validate(&text);
    if !errors.is_empty() {
        return Err(errors.iter().map(|error| format!("{name}:{error}")).collect::<Vec<_>>().join("\n"));
    }
    let root = Element::parse(&text).map_err(|e| format!("{name}:{}:{}: {}", e.line, e.column, e.reason))?;
    Ok(parse_scenario(&root))
}

fn load_text(name: &str) -> Result<String, String> {
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

/// Parses a `trouble` element; `None` if its kind is unknown.
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
