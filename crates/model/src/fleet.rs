//! The fleet's settings (`<fleet>`), which operators edit at run time.

use crate::leaf_reader::{required_child, LeafReader};
use crate::settings_error::InvalidSettings;
use crate::traffic_class::ClassSettings;
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::time::Duration;

/// Default of [`ChannelLimits::message_window`].
const DEFAULT_MESSAGE_WINDOW: Duration = Duration::from_secs(10);
/// Default of [`Fleet::overload_multiple`].
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 4.0;

/// A zone of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Name that listed servers refer to.
    pub name: String,
    /// Factor by which the weights of its servers are multiplied; default 1.
    pub share: f64,
}

/// An operator's override of a listed server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerOverride {
    /// Replaces the listed weight; `None` keeps it.
    pub weight: Option<f64>,
    /// Drains the server: it finishes its current requests and gets no new ones.
    pub is_draining: bool,
}

/// Time limits for the planner and its proxies.
#[derive(Debug, Clone, PartialEq)]
pub struct GracePeriods {
    /// Proxies must stop sending to a draining server within this time.
    pub drain: Duration,
    /// The longest time that a proxy may be without a server for a class.
    pub max_unserved: Duration,
    /// A proxy must acknowledge a message within this time, or it is disconnected.
    pub acknowledgement: Duration,
}

/// Limits of the update channel from a planner to its proxies.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelLimits {
    /// Table entries per second that the channel transmits.
    pub entries_per_second: f64,
    /// The maximum number of table entries queued in the channel.
    pub queue_limit: f64,
    /// Cost of a message in table entries, in addition to the entries that it contains.
    pub message_overhead: f64,
    /// The maximum number of messages to one proxy within `message_window`; 0 for no limit.
    pub message_limit: f64,
    /// Window of `message_limit`; default 10 s.
    pub message_window: Duration,
}

/// An operator's temporary override of [`Fleet::overload_multiple`] in the guard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RaisedMultiple {
    /// The multiple that applies instead.
    pub multiple: f64,
    /// When the override ends, in milliseconds since 1970.
    pub until_ms: u64,
}

/// The settings of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Zones in which its servers and proxies run.
    pub zones: Vec<Zone>,
    /// Traffic classes, in the order of the settings.
    pub classes: Vec<ClassSettings>,
    /// Overrides of listed servers, by server name.
    pub overrides: BTreeMap<String, ServerOverride>,
    /// Time limits for the planner and its proxies.
    pub grace: GracePeriods,
    /// Limits of the update channel to the proxies.
    pub channel: ChannelLimits,
    /// Share of its full capacity (0 to 1) that a server has just after its start.
    pub initial_capacity: f64,
    /// Time from a server's start to its full capacity.
    pub warm_up: Duration,
    /// A server that warms up is assumed to fail under more than this many times its current capacity; default 4.
    pub overload_multiple: f64,
    /// An operator's temporary override of `overload_multiple`.
    pub raised_multiple: Option<RaisedMultiple>,
    /// Number of proxies of all planners together.
    pub proxy_count: f64,
    /// Number of planners that share the servers, at least 1.
    pub planner_count: f64,
    /// How proxies select a server: `chance` for random, `turns` for round robin, any other for the less loaded of two.
    pub selection: String,
    /// How proxies limit admission: `pace` for a request rate, any other for no limit.
    pub admission: String,
    /// Whether proxies connect to a planner of their own zone first.
    pub prefers_local_planner: bool,
    /// Whether planners may send health checks to servers.
    pub health_checks_allowed: bool,
    /// Time between two reports of a proxy.
    pub report_period: Duration,
    /// Report entries per second that a planner's controller processes.
    pub reports_per_second: f64,
    /// Whether proxies must stop sending to a server only if it is listed as draining. If set, a server that disappears
    /// from the list may stay in use.
    pub only_draining_binds: bool,
    /// Names of the metrics in a server's load report, in their order.
    pub load_metrics: Vec<String>,
}

impl Fleet {
    /// Reads `<fleet>`, which must be valid by the schema.
    pub fn read(fleet: &Element) -> Result<Fleet, InvalidSettings> {
        let required = |name: &str| required_child(fleet, name);
        let cold = LeafReader { element: required("cold")?, path: "/fleet/cold" };
        let proxies = LeafReader { element: required("proxies")?, path: "/fleet/proxies" };
        let list = LeafReader { element: required("list")?, path: "/fleet/list" };
        Ok(Fleet {
            zones: fleet.named("zone").map(|zone| Zone::read(zone)).collect::<Result<_, _>>()?,
            classes: ClassSettings::read_all(fleet)?,
            overrides: fleet.named("server").map(|server| read_override(server)).collect::<Result<_, _>>()?,
            grace: GracePeriods::read(required("grace")?)?,
            channel: ChannelLimits::read(required("channel")?)?,
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

    /// The weight factor of a zone; 1 for an unknown zone.
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

/// Reads `<server>`: the server's name, and its override.
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
