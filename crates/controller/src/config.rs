//! What a deployment is like, as the controller reads it once at start.

use crate::event::ClassId;
use std::time::Duration;

/// A deployment's settings. [`DeploymentConfig::default`] is what holds where the settings are silent.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentConfig {
    /// Planners that share the endpoints. Default: 1.
    pub planner_count: f64,
    /// Proxies of all planners together.
    pub proxy_count: Option<f64>,
    /// Zones of the deployment. Default: 1.
    pub zone_count: f64,
    /// Slices into which keys fall; 0, the default, where traffic is not sliced.
    pub slice_count: f64,
    /// Traffic classes, by [`ClassId`].
    pub classes: Vec<TrafficClass>,
    /// The channel from the planner to its proxies.
    pub channel: ChannelConfig,
    /// How endpoints warm up after a start.
    pub slow_start: SlowStartConfig,
    /// How the endpoint list reaches the planner, and what it binds.
    pub endpoint_list: EndpointListConfig,
    /// Whether the planner may send health checks. Default: no.
    pub health_checks_allowed: bool,
    /// What endpoints report of their load.
    pub load_report: LoadReportConfig,
    /// What an admission limit means to proxies.
    pub admission: AdmissionKind,
    /// How proxies pick an endpoint from a table.
    pub selection: SelectionMethod,
    /// Whether proxies connect to a planner of their own zone first. Default: no.
    pub proxies_prefer_local_planner: bool,
    /// Promises of the operators that the decisions do not read.
    pub service_limits: ServiceLimits,
}

impl Default for DeploymentConfig {
    fn default() -> Self {
        DeploymentConfig {
            planner_count: 1.0,
            proxy_count: None,
            zone_count: 1.0,
            slice_count: 0.0,
            classes: Vec::new(),
            channel: ChannelConfig::default(),
            slow_start: SlowStartConfig::default(),
            endpoint_list: EndpointListConfig::default(),
            health_checks_allowed: false,
            load_report: LoadReportConfig::default(),
            admission: AdmissionKind::default(),
            selection: SelectionMethod::default(),
            proxies_prefer_local_planner: false,
            service_limits: ServiceLimits::default(),
        }
    }
}

impl DeploymentConfig {
    /// The classes from the highest priority weight to the lowest; among equals the one with the shortest latency
    /// objective first.
    pub fn classes_by_priority(&self) -> Vec<ClassId> {
        let mut classes: Vec<ClassId> = (0..self.classes.len()).collect();
        let objective = |class: ClassId| self.classes[class].latency_objective_seconds;
        let priority = |class: ClassId| self.classes[class].priority_weight;
        classes.sort_by(|a, b| objective(*a).total_cmp(&objective(*b)));
        classes.sort_by(|a, b| priority(*b).total_cmp(&priority(*a)));
        classes
    }

    /// Whether proxies can be told how many requests a second to admit.
    pub fn limits_request_rate(&self) -> bool {
        self.admission == AdmissionKind::RequestRate
    }

    /// Whether this planner alone decides for all proxies.
    pub fn is_only_planner(&self) -> bool {
        self.planner_count <= 1.0
    }
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficClass {
    /// Answers are wanted within this time. Default: 1 s.
    pub latency_objective_seconds: f64,
    /// Later answers count for nothing. The decisions do not read it.
    pub deadline_seconds: Option<f64>,
    /// What one answered request is worth, relative to other classes. Default: 1.
    pub priority_weight: f64,
}

impl Default for TrafficClass {
    fn default() -> Self {
        TrafficClass { latency_objective_seconds: 1.0, deadline_seconds: None, priority_weight: 1.0 }
    }
}

/// The channel that carries updates to proxies. All counts are in table entries.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelConfig {
    /// Entries that leave the channel in a second; unlimited where not given.
    pub entries_per_second: Option<f64>,
    /// Entries that may wait in the channel.
    pub queue_limit: Option<f64>,
    /// Entries that each message costs beyond its own. Default: 10.
    pub message_overhead: f64,
    /// Messages to one proxy within [`ChannelConfig::message_window`]; 0, the default, for no limit.
    pub message_limit: f64,
    /// The window of the message limit.
    pub message_window: Option<Duration>,
    /// The longest time a message takes from the channel to a proxy.
    pub max_transit_seconds: Option<f64>,
}

impl Default for ChannelConfig {
    fn default() -> Self {
        ChannelConfig {
            entries_per_second: None,
            queue_limit: None,
            message_overhead: 10.0,
            message_limit: 0.0,
            message_window: None,
            max_transit_seconds: None,
        }
    }
}

impl ChannelConfig {
    /// Whether messages to one proxy are limited in number.
    pub fn limits_messages(&self) -> bool {
        self.message_limit > 0.0
    }
}

/// How an endpoint's capacity grows after its start.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartConfig {
    /// The share of its capacity that an endpoint has at its start, 0 to 1. Default: 0.1.
    pub initial_capacity: f64,
    /// An endpoint has its full capacity after this time at the latest. Default: 20 s.
    pub warm_up_seconds: f64,
    /// An endpoint that warms up fails when sent more than this many times its present capacity.
    pub overload_multiple: Option<f64>,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        SlowStartConfig { initial_capacity: 0.1, warm_up_seconds: 20.0, overload_multiple: None }
    }
}

/// How the endpoint list reaches the planner, and what it binds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EndpointListConfig {
    /// Changes of the list come only after [`crate::Command::WatchEndpoints`].
    pub needs_watch: bool,
    /// Only an endpoint marked as draining has to be left; one that is missing from the list may stay in use.
    pub only_draining_binds: bool,
}

/// What endpoints report of their load.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoadReportConfig {
    /// Endpoints report their load at all.
    pub is_available: bool,
    /// The values of a load report, in its order.
    pub metrics: Vec<LoadMetric>,
}

/// One value of a load report.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadMetric {
    /// Share of the processor that is busy, 0 to 1.
    Utilization,
    /// Time a request takes without waiting, in milliseconds.
    ServiceTime,
    /// Any other, which the decisions do not read.
    Other(String),
}

/// What an admission limit means to proxies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AdmissionKind {
    /// Proxies admit everything.
    #[default]
    Unlimited,
    /// A share of the requests, 0 to 1.
    Share,
    /// Requests a second at each proxy.
    RequestRate,
}

/// How proxies pick an endpoint from a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SelectionMethod {
    /// Of two drawn by weight, the one with fewer requests in flight.
    #[default]
    LeastRequestOfTwo,
    /// At random, by weight.
    Random,
    /// In turns, by weight.
    RoundRobin,
}

/// Promises of the operators. The decisions do not read them, but a change of one makes the controller start over.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceLimits {
    /// Proxies stop sending to a draining endpoint within this time.
    pub drain_grace_seconds: Option<f64>,
    /// The longest time a connected proxy may be without an endpoint.
    pub max_unserved_seconds: Option<f64>,
    /// Time between two reports of a proxy.
    pub report_period_seconds: Option<f64>,
    /// Report entries that a planner takes in a second.
    pub reports_per_second: Option<f64>,
}
