//! A planner's settings, typed: the fleet that operators edit and the roster that the feed edits.

use crate::FLEET;
use runloom_controller::config::{
    AdmissionKind, ChannelConfig, EndpointListConfig, LoadMetric, LoadReportConfig, SelectionMethod,
    ServiceLimits, SlowStartConfig, TrafficClass,
};
use runloom_controller::DeploymentConfig;
use runloom_identity::access::{AccessRule, Permission, Principal};
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What the schema does not say: a name that stands for nothing, a limit below another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    pub path: String,
    pub reason: String,
}

/// Whether a class may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeats {
    Safe,
    Keyed,
    Never,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    pub name: String,
    pub payoff: f64,
    pub soft_limit: Duration,
    pub outer_limit: Duration,
    pub repeats: Repeats,
}

/// An operator's word on a server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerOverride {
    pub weight: Option<f64>,
    pub drain: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub struct GracePeriods {
    /// Within it proxies stop sending to a server that drains.
    pub drain: Duration,
    /// No proxy is without a line for longer.
    pub bare: Duration,
    /// A proxy that has not confirmed a message for so long is let go.
    pub reply: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Channel {
    pub pace: f64,
    pub backlog: f64,
    pub overhead: f64,
    pub messages: f64,
    pub messages_over: Duration,
}

/// The fleet as operators have it.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    pub zones: Vec<(String, f64)>,
    pub classes: Vec<Class>,
    pub words: BTreeMap<String, ServerOverride>,
    pub grace: GracePeriods,
    pub channel: Channel,
    pub cold_from: f64,
    pub warm_after: Duration,
    /// Sent more than so many times what it can do, a cold server falls over.
    pub cold_multiple: f64,
    /// A bound that operators raised for a while: the multiple, and until when, milliseconds since 1970.
    pub raised: Option<(f64, u64)>,
    pub proxies: f64,
    pub planners: f64,
    pub pick: String,
    pub levels: String,
    pub home_first: bool,
    pub probes: bool,
    pub report: Duration,
    pub report_lines: f64,
    pub only_drains_bind: bool,
    pub load: Vec<String>,
}

/// A server as the feed tells of it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub draining: bool,
    pub weight: f64,
    /// Milliseconds since 1970.
    pub started: Option<u64>,
}

/// Reads leaves and notes what does not fit.
struct Reader<'a> {
    at: &'a Element,
    path: &'a str,
}

impl Reader<'_> {
    fn text(&self, name: &str) -> &str {
        self.at.text_of(name).unwrap_or_default()
    }

    fn number(&self, name: &str) -> Result<f64, InvalidSettings> {
        self.maybe(name)?.ok_or_else(|| self.misfit(name, "is missing"))
    }

    fn maybe(&self, name: &str) -> Result<Option<f64>, InvalidSettings> {
        let Some(text) = self.at.text_of(name) else { return Ok(None) };
        let value: f64 = text.parse().map_err(|_| self.misfit(name, "is no number"))?;
        if value.is_finite() {
            Ok(Some(value))
        } else {
            Err(self.misfit(name, "is no number"))
        }
    }

    fn span(&self, name: &str) -> Result<Duration, InvalidSettings> {
        Ok(Duration::from_millis(self.number(name)?.max(0.0) as u64))
    }

    fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), "true" | "1")
    }

    fn misfit(&self, name: &str, reason: &str) -> InvalidSettings {
        InvalidSettings { path: format!("{}/{name}", self.path), reason: reason.to_string() }
    }
}

fn under<'a>(root: &'a Element, name: &'a str) -> Result<&'a Element, InvalidSettings> {
    root.child(name).ok_or_else(|| InvalidSettings {
        path: format!("/{}/{name}", root.name),
        reason: "is missing".into(),
    })
}

fn classes(parent: &Element) -> Result<Vec<Class>, InvalidSettings> {
    let class = |e: &Arc<Element>| {
        let r = Reader {
            at: e,
            path: &format!("/{}/class[name='{}']", parent.name, e.text_of("name").unwrap_or("")),
        };
        let class = Class {
            name: r.text("name").to_string(),
            payoff: r.number("payoff")?,
            soft_limit: r.span("soft-limit-ms")?,
            outer_limit: r.span("outer-limit-ms")?,
            repeats: match r.text("repeats") {
                "safe" => Repeats::Safe,
                "keyed" => Repeats::Keyed,
                _ => Repeats::Never,
            },
        };
        if class.soft_limit.is_zero() || class.outer_limit < class.soft_limit {
            return Err(r.misfit("outer-limit-ms", "is under the soft limit, or there is no soft limit"));
        }
        Ok(class)
    };
    parent.named("class").map(class).collect()
}

fn traffic_class(class: &Class) -> TrafficClass {
    TrafficClass {
        latency_objective_seconds: class.soft_limit.as_secs_f64(),
        deadline_seconds: Some(class.outer_limit.as_secs_f64()),
        priority_weight: class.payoff,
    }
}

fn load_metric(name: &str) -> LoadMetric {
    match name {
        "busy" => LoadMetric::Utilization,
        "work_time" => LoadMetric::ServiceTime,
        other => LoadMetric::Other(other.to_string()),
    }
}

impl Fleet {
    /// Reads `<fleet>`, which the schema has found valid.
    pub fn read(fleet: &Element) -> Result<Fleet, InvalidSettings> {
        let zone = |e: &Arc<Element>| {
            let r = Reader { at: e, path: "/fleet/zone" };
            Ok((r.text("name").to_string(), r.maybe("share")?.unwrap_or(1.0)))
        };
        let word = |e: &Arc<Element>| {
            let r = Reader { at: e, path: "/fleet/server" };
            Ok((
                r.text("name").to_string(),
                ServerOverride { weight: r.maybe("weight")?, drain: r.flag("drain") },
            ))
        };
        let part = |name| under(fleet, name);
        let grace = Reader { at: part("grace")?, path: "/fleet/grace" };
        let channel = Reader { at: part("channel")?, path: "/fleet/channel" };
        let cold = Reader { at: part("cold")?, path: "/fleet/cold" };
        let proxies = Reader { at: part("proxies")?, path: "/fleet/proxies" };
        let list = Reader { at: part("list")?, path: "/fleet/list" };
        Ok(Fleet {
            zones: fleet.named("zone").map(zone).collect::<Result<_, InvalidSettings>>()?,
            classes: classes(fleet)?,
            words: fleet.named("server").map(word).collect::<Result<_, InvalidSettings>>()?,
            grace: GracePeriods {
                drain: grace.span("drain-ms")?,
                bare: grace.span("bare-ms")?,
                reply: grace.span("reply-ms")?,
            },
            channel: Channel {
                pace: channel.number("lines-per-second")?,
                backlog: channel.number("backlog")?,
                overhead: channel.number("overhead")?,
                messages: channel.maybe("messages")?.unwrap_or(0.0),
                messages_over: channel.span("messages-over-ms").unwrap_or(Duration::from_secs(10)),
            },
            cold_from: cold.number("from")?,
            warm_after: cold.span("warm-after-ms")?,
            cold_multiple: cold.maybe("multiple")?.unwrap_or(4.0),
            raised: match fleet.child("guard") {
                None => None,
                Some(e) => {
                    let guard = Reader { at: e, path: "/fleet/guard" };
                    Some((guard.number("cold-multiple")?, guard.text("until").parse().unwrap_or(0)))
                }
            },
            proxies: proxies.number("count")?,
            planners: proxies.number("planners")?.max(1.0),
            pick: proxies.text("pick").to_string(),
            levels: proxies.text("levels").to_string(),
            home_first: proxies.flag("home-first"),
            probes: proxies.flag("probes"),
            report: proxies.span("report-ms")?,
            report_lines: proxies.number("report-lines-per-second")?,
            only_drains_bind: list.flag("only-drains-bind"),
            load: list.at.named("load").map(|e| e.text.clone()).collect(),
        })
    }

    /// The configuration that the decisions read at start.
    pub fn deployment_config(&self) -> DeploymentConfig {
        DeploymentConfig {
            planner_count: self.planners,
            proxy_count: Some(self.proxies),
            zone_count: self.zones.len() as f64,
            slice_count: 0.0,
            classes: self.classes.iter().map(traffic_class).collect(),
            channel: ChannelConfig {
                entries_per_second: Some(self.channel.pace),
                queue_limit: Some(self.channel.backlog),
                message_overhead: self.channel.overhead,
                message_limit: self.channel.messages,
                message_window: Some(self.channel.messages_over),
                max_transit_seconds: None,
            },
            slow_start: SlowStartConfig {
                initial_capacity: self.cold_from,
                warm_up_seconds: self.warm_after.as_secs_f64(),
                overload_multiple: Some(self.cold_multiple),
            },
            endpoint_list: EndpointListConfig {
                needs_watch: false,
                only_draining_binds: self.only_drains_bind,
            },
            health_checks_allowed: self.probes,
            load_report: LoadReportConfig {
                is_available: false,
                metrics: self.load.iter().map(|name| load_metric(name)).collect(),
            },
            admission: match self.levels.as_str() {
                "pace" => AdmissionKind::RequestRate,
                _ => AdmissionKind::Unlimited,
            },
            selection: match self.pick.as_str() {
                "chance" => SelectionMethod::Random,
                "turns" => SelectionMethod::RoundRobin,
                _ => SelectionMethod::LeastRequestOfTwo,
            },
            proxies_prefer_local_planner: self.home_first,
            service_limits: ServiceLimits {
                drain_grace_seconds: Some(self.grace.drain.as_secs_f64()),
                max_unserved_seconds: Some(self.grace.bare.as_secs_f64()),
                report_period_seconds: Some(self.report.as_secs_f64()),
                reports_per_second: Some(self.report_lines),
            },
        }
    }

    pub fn share_of(&self, zone: &str) -> f64 {
        self.zones.iter().find(|(name, _)| name == zone).map_or(1.0, |(_, share)| *share)
    }
}

impl ListedServer {
    /// Reads one `<server>` of the roster.
    pub fn read(e: &Element) -> Result<(String, ListedServer), InvalidSettings> {
        let name = e.text_of("name").unwrap_or_default().to_string();
        let path = format!("/roster/server[name='{name}']");
        let r = Reader { at: e, path: &path };
        let listed = ListedServer {
            address: r.text("address").parse().map_err(|_| r.misfit("address", "is no address"))?,
            zone: r.text("zone").to_string(),
            kind: r.text("kind").to_string(),
            cell: r.maybe("cell")?.unwrap_or(0.0) as u64,
            draining: r.text("mode") == "draining",
            weight: r.maybe("weight")?.unwrap_or(1.0),
            started: e.text_of("started").and_then(|s| s.parse().ok()),
        };
        Ok((name, listed))
    }

    pub fn element(&self, name: &str) -> Element {
        let mut e = Element::new(FLEET, "server")
            .with_leaf("name", name)
            .with_leaf("address", self.address)
            .with_leaf("zone", &self.zone);
        if !self.kind.is_empty() {
            e = e.with_leaf("kind", &self.kind);
        }
        e = e
            .with_leaf("cell", self.cell)
            .with_leaf("mode", if self.draining { "draining" } else { "ready" });
        e = e.with_leaf("weight", self.weight);
        if let Some(started) = self.started {
            e = e.with_leaf("started", started);
        }
        e
    }
}

/// Names in one part that must stand in another; what a schema of this kind cannot say.
pub fn misfit(fleet: &Fleet, name: &str, listed: &ListedServer) -> Option<InvalidSettings> {
    let known = fleet.zones.iter().any(|(zone, _)| *zone == listed.zone);
    (!known).then(|| InvalidSettings {
        path: format!("/roster/server[name='{name}']/zone"),
        reason: format!("there is no zone {}", listed.zone),
    })
}

/// Files of certificates.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TlsFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub trust: PathBuf,
    /// Other trust domains, and where their bundles are.
    pub federated: Vec<(String, PathBuf)>,
    /// Who may do what, by SPIFFE identities; none: by DNS names.
    pub rules: Vec<AccessRule>,
}

impl TlsFiles {
    /// Reads `<tls>`, which the schema has found valid.
    pub fn read(parent: &Element) -> Result<TlsFiles, InvalidSettings> {
        let empty = Element::default();
        let tls = parent.child("tls").unwrap_or(&empty);
        let of = |name| PathBuf::from(tls.text_of(name).unwrap_or_default());
        let mut rules = Vec::new();
        for may in tls.named("may") {
            let whom = may.text_of("whom").unwrap_or_default();
            let misfit = |e: runloom_identity::id::InvalidId| InvalidSettings {
                path: format!("/tls/may[whom='{whom}']/whom"),
                reason: e.to_string(),
            };
            let whom = Principal::parse(whom).map_err(misfit)?;
            let parts = |name| may.named(name).map(|e| e.text.clone()).collect::<Vec<String>>();
            let all = [
                may.child("order").map(|_| Permission::Command),
                may.child("join").map(|_| Permission::Connect),
                may.child("kill").map(|_| Permission::KillSession),
                may.child("read").map(|_| Permission::Read(parts("read"))),
                may.child("write").map(|_| Permission::Write(parts("write"))),
            ];
            rules.extend(
                all.into_iter().flatten().map(|may| AccessRule { principal: whom.clone(), permission: may }),
            );
        }
        let bundle = |e: &std::sync::Arc<Element>| {
            let text = |name| e.text_of(name).unwrap_or_default();
            (text("domain").to_string(), PathBuf::from(text("bundle")))
        };
        let federated = tls.named("federated").map(bundle).collect();
        let (certificate, key, trust) = (of("certificate"), of("key"), of("trust"));
        Ok(TlsFiles { certificate, key, trust, federated, rules })
    }

    /// Certificates name their holders by SPIFFE identities, and by nothing else.
    pub fn by_identity(&self) -> bool {
        !self.rules.is_empty()
    }
}

/// A planner's own place, by its settings file.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    pub name: String,
    pub edits: SocketAddr,
    pub home: SocketAddr,
    /// Where proxies subscribe to their tables, if they may.
    pub pubsub: Option<SocketAddr>,
    pub metrics: Option<SocketAddr>,
    pub folder: PathBuf,
    /// Where what happens is recorded, if it is, and how many bytes of it are kept.
    pub record: Option<PathBuf>,
    pub record_bytes: u64,
    pub papers: TlsFiles,
    /// `<fleet>` and `<roster>` as they are at the first start.
    pub data: Arc<Element>,
}

impl PlannerSettings {
    /// Reads `<planner>`, which the schema has found valid.
    pub fn read(planner: &Element) -> Result<PlannerSettings, InvalidSettings> {
        let r = Reader { at: planner, path: "/planner" };
        let address = |name: &str| r.text(name).parse().map_err(|_| r.misfit(name, "is no address"));
        let fleet = under(planner, "fleet")?;
        let typed = Fleet::read(fleet)?;
        let empty = Element::new(FLEET, "roster");
        let roster = planner.child("roster").unwrap_or(&empty);
        let listed =
            roster.named("server").map(|e| ListedServer::read(e)).collect::<Result<BTreeMap<_, _>, _>>()?;
        if let Some(misfit) = listed.iter().find_map(|(name, l)| misfit(&typed, name, l)) {
            return Err(misfit);
        }
        Ok(PlannerSettings {
            name: r.text("name").to_string(),
            edits: address("edits")?,
            home: address("home")?,
            pubsub: planner.child("pubsub").map(|_| address("pubsub")).transpose()?,
            metrics: planner.child("metrics").map(|_| address("metrics")).transpose()?,
            folder: PathBuf::from(r.text("folder")),
            record: planner.child("record").and_then(|e| e.text_of("folder")).map(PathBuf::from),
            record_bytes: planner
                .child("record")
                .and_then(|e| e.text_of("megabytes")?.parse::<u64>().ok())
                .map_or(2 << 30, |mb| mb << 20),
            papers: TlsFiles::read(planner)?,
            data: Arc::new(Element::new("", "data").with(fleet.clone()).with(roster.clone())),
        })
    }
}

/// The classes of a forwarder's settings.
pub fn classes_of(forwarder: &Element) -> Result<Vec<Class>, InvalidSettings> {
    classes(forwarder)
}
