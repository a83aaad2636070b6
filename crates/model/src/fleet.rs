//! The fleet that operators edit: `<fleet>`.

use crate::leaf_reader::{required_child, LeafReader};
use crate::settings_error::InvalidSettings;
use crate::traffic_class::ClassSettings;
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::time::Duration;

/// Window of the limit on messages, where the settings have none.
const DEFAULT_MESSAGE_WINDOW: Duration = Duration::from_secs(10);
/// A warming server is taken to fail at this many times its capacity, where the settings have no number.
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 4.0;

/// A zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Factor of the weights of its servers.
    pub share: f64,
}

/// An operator's override of a listed server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerOverride {
    /// Replaces the listed weight.
    pub weight: Option<f64>,
    /// The server is to finish its requests and take no more.
    pub is_draining: bool,
}

/// Times within which something has to happen.
#[derive(Debug, Clone, PartialEq)]
pub struct GracePeriods {
    /// Proxies have stopped sending to a draining server.
    pub drain: Duration,
    /// A proxy without a server for a class has one.
    pub max_unserved: Duration,
    /// A proxy has acknowledged a message; one that has not is disconnected.
    pub acknowledgement: Duration,
}

/// Limits of the channel from a planner to its proxies.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelLimits {
    /// Table entries that it transmits a second.
    pub entries_per_second: f64,
    /// Table entries that may be on their way.
    pub queue_limit: f64,
    /// Table entries that a message counts for, besides those in it.
    pub message_overhead: f64,
    /// Messages to one proxy within the window; 0 for no limit.
    pub message_limit: f64,
    /// The window of that limit.
    pub message_window: Duration,
}

/// An operator's override of the guard's overload multiple.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RaisedMultiple {
    /// The multiple.
    pub multiple: f64,
    /// Until when, in milliseconds since 1970.
    pub until_ms: u64,
}

/// The fleet as operators have it.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Its zones.
    pub zones: Vec<Zone>,
    /// Its traffic classes.
    pub classes: Vec<ClassSettings>,
    /// Overrides by server.
    pub overrides: BTreeMap<String, ServerOverride>,
    /// Times within which something has to happen.
    pub grace: GracePeriods,
    /// Limits of the channel to the proxies.
    pub channel: ChannelLimits,
    /// Share of its capacity (0 to 1) that a server has at its start.
    pub initial_capacity: f64,
    /// Time from a server's start to its full capacity.
    pub warm_up: Duration,
    /// A warming server fails under more than this many times the load that it can serve.
    pub overload_multiple: f64,
    /// The multiple that an operator put in its place for a time.
    pub raised_multiple: Option<RaisedMultiple>,
    /// Proxies.
    pub proxy_count: f64,
    /// Planners.
    pub planner_count: f64,
    /// How proxies select a server: `chance`, `turns`, or the less loaded of two.
    pub selection: String,
    /// How proxies limit admission: `pace` or `none`.
    pub admission: String,
    /// Proxies connect to a planner of their own zone first.
    pub prefers_local_planner: bool,
    /// Whether planners may check the health of servers.
    pub health_checks_allowed: bool,
    /// Time between a proxy's reports.
    pub report_period: Duration,
    /// Report entries that a planner's controller takes a second.
    pub reports_per_second: f64,
    /// Only draining servers are closed; a server that was removed from the list stays open.
    pub only_draining_binds: bool,
    /// Metrics of a load report, in order.
    pub load_metrics: Vec<String>,
}

impl Fleet {
    /// Reads `<fleet>`, which is valid by the schema.
    pub fn read(fleet: &Element) -> Result<Fleet, InvalidSettings> {
        let part = |name: &str| required_child(fleet, name);
        let cold = LeafReader { element: part("cold")?, path: "/fleet/cold" };
        let proxies = LeafReader { element: part("proxies")?, path: "/fleet/proxies" };
        let list = LeafReader { element: part("list")?, path: "/fleet/list" };
        Ok(Fleet {
            zones: fleet.named("zone").map(|zone| Zone::read(zone)).collect::<Result<_, _>>()?,
            classes: ClassSettings::read_all(fleet)?,
            overrides: fleet.named("server").map(|server| read_override(server)).collect::<Result<_, _>>()?,
            grace: GracePeriods::read(part("grace")?)?,
            channel: ChannelLimits::read(part("channel")?)?,
            initial_capacity: cold.number("from")?,
            warm_up: cold.duration("warm-after-ms")?,
            overload_multiple: cold.optional_number("multiple")?.unwrap_or(DEFAULT_OVERLOAD_MULTIPLE),
            raised_multiple: fleet.child("guard").map(RaisedMultiple::read).transpose()?,
            proxy_count: proxies.number("count")?,
            planner_count: proxies.number("planners")?.max(1.0),
            selection: proxies.text("pick").to_string(),
            admission: proxies.text("levels").to_string(),
            prefers_local_planner: proxies.flag("home-first"),
            health_checks_allowed: proxies.flag("probes"),
            report_period: proxies.duration("report-ms")?,
            reports_per_second: proxies.number("report-lines-per-second")?,
            only_draining_binds: list.flag("only-drains-bind"),
            load_metrics: list.element.named("load").map(|metric| metric.text.clone()).collect(),
        })
    }

    /// A zone's factor; 1 for an unknown zone.
    pub fn zone_share(&self, zone: &str) -> f64 {
        self.zones.iter().find(|known| known.name == zone).map_or(1.0, |known| known.share)
    }
}

impl Zone {
    fn read(element: &Element) -> Result<Zone, InvalidSettings> {
        let reader = LeafReader { element, path: "/fleet/zone" };
        Ok(Zone {
            name: reader.text("name").to_string(),
            share: reader.optional_number("share")?.unwrap_or(1.0),
        })
    }
}

/// Reads `<server>`: its name, and the override.
fn read_override(element: &Element) -> Result<(String, ServerOverride), InvalidSettings> {
    let reader = LeafReader { element, path: "/fleet/server" };
    let server =
        ServerOverride { weight: reader.optional_number("weight")?, is_draining: reader.flag("drain") };
    Ok((reader.text("name").to_string(), server))
}

impl GracePeriods {
    fn read(element: &Element) -> Result<GracePeriods, InvalidSettings> {
        let reader = LeafReader { element, path: "/fleet/grace" };
        Ok(GracePeriods {
            drain: reader.duration("drain-ms")?,
            max_unserved: reader.duration("bare-ms")?,
            acknowledgement: reader.duration("reply-ms")?,
        })
    }
}

impl ChannelLimits {
    fn read(element: &Element) -> Result<ChannelLimits, InvalidSettings> {
        let reader = LeafReader { element, path: "/fleet/channel" };
        Ok(ChannelLimits {
            entries_per_second: reader.number("lines-per-second")?,
            queue_limit: reader.number("backlog")?,
            message_overhead: reader.number("overhead")?,
            message_limit: reader.optional_number("messages")?.unwrap_or(0.0),
            message_window: reader.duration("messages-over-ms").unwrap_or(DEFAULT_MESSAGE_WINDOW),
        })
    }
}

impl RaisedMultiple {
    fn read(element: &Element) -> Result<RaisedMultiple, InvalidSettings> {
        let reader = LeafReader { element, path: "/fleet/guard" };
        Ok(RaisedMultiple {
            multiple: reader.number("cold-multiple")?,
            until_ms: reader.text("until").parse().unwrap_or(0),
        })
    }
}
