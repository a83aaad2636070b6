//! Settings of a deployment. The controller reads them once, at its start.

use crate::event::ClassId;
use std::time::Duration;

/// Settings of a deployment. [`DeploymentConfig::default`] has the values that apply where nothing is configured.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentConfig {
    /// Number of planners that share the endpoints. Default: 1.
    pub planner_count: f64,
    /// Number of proxies of all planners together; `None` if it is not known.
    pub proxy_count: Option<f64>,
    /// Number of zones of the deployment. Default: 1.
    pub zone_count: f64,
    /// Number of slices that the keys are divided into; 0, the default, if traffic is not sliced.
    pub slice_count: f64,
    /// Traffic classes, by [`ClassId`].
    pub classes: Vec<TrafficClass>,
    /// The channel from the planner to its proxies.
    pub channel: ChannelConfig,
    /// How endpoints warm up after a start.
    pub slow_start: SlowStartConfig,
    /// How the endpoint list reaches the planner, and what it obliges the planner to do.
    pub endpoint_list: EndpointListConfig,
    /// Whether the planner may send health checks. Default: no.
    pub health_checks_allowed: bool,
    /// What endpoints report about their load.
    pub load_report: LoadReportConfig,
    /// How proxies interpret an admission limit.
    pub admission: AdmissionKind,
    /// How proxies pick an endpoint from a table.
    pub selection: SelectionMethod,
    /// Whether proxies connect to a planner of their own zone first. Default: no.
    pub proxies_prefer_local_planner: bool,
    /// Limits that the operators guarantee; the decisions do not read them.
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
    /// The classes from the highest priority weight to the lowest; among equal weights, the shortest latency objective
    /// comes first.
    pub fn classes_by_priority(&self) -> Vec<ClassId> {
        let mut classes: Vec<ClassId> = (0..self.classes.len()).collect();
        let objective = |class: ClassId| self.classes[class].latency_objective_seconds;
        let priority = |class: ClassId| self.classes[class].priority_weight;
        classes.sort_by(|a, b| objective(*a).total_cmp(&objective(*b)));
        classes.sort_by(|a, b| priority(*b).total_cmp(&priority(*a)));
        classes
    }

    /// Whether proxies accept a limit in requests per second.
    pub fn limits_request_rate(&self) -> bool {
        self.admission == AdmissionKind::RequestRate
    }

    /// Whether there is no other planner.
    pub fn is_only_planner(&self) -> bool {
        self.planner_count <= 1.0
    }
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficClass {
    /// Requests should be answered within this time. Default: 1 s.
    pub latency_objective_seconds: f64,
    /// A later answer is worthless; `None` for no deadline. The decisions do not read it.
    pub deadline_seconds: Option<f64>,
    /// The value of one answered request relative to other classes. Default: 1.
    pub priority_weight: f64,
}

impl Default for TrafficClass {
    fn default() -> Self {
        TrafficClass { latency_objective_seconds: 1.0, deadline_seconds: None, priority_weight: 1.0 }
    }
}

/// The channel that carries updates to proxies. Its load is counted in table entries.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelConfig {
    /// Throughput of the channel in entries per second; `None` for unlimited.
    pub entries_per_second: Option<f64>,
    /// Entries that may wait in the channel; `None` if it is not configured.
    pub queue_limit: Option<f64>,
    /// Overhead of each message, in entries, on top of the entries that it carries. Default: 10.
    pub message_overhead: f64,
    /// Messages that one proxy may get within [`ChannelConfig::message_window`]; 0, the default, for no limit.
    pub message_limit: f64,
    /// The window of the message limit; `None` if it is not configured.
    pub message_window: Option<Duration>,
    /// The longest time that a message takes from the channel to a proxy; `None` if it is not known.
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
    /// Whether the number of messages to one proxy is limited.
    pub fn limits_messages(&self) -> bool {
        self.message_limit > 0.0
    }
}

/// How an endpoint's capacity grows after its start.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartConfig {
    /// The share of its full capacity that an endpoint has at its start, 0 to 1. Default: 0.1.
    pub initial_capacity: f64,
    /// The longest time that an endpoint takes to reach its full capacity. Default: 20 s.
    pub warm_up_seconds: f64,
    /// A warming endpoint fails when its load exceeds its present capacity by this factor; `None` if it is not known.
    pub overload_multiple: Option<f64>,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        SlowStartConfig { initial_capacity: 0.1, warm_up_seconds: 20.0, overload_multiple: None }
    }
}

/// How the endpoint list reaches the planner, and what it obliges the planner to do.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EndpointListConfig {
    /// Changes of the list are received only after [`crate::Command::WatchEndpoints`].
    pub needs_watch: bool,
    /// Only an endpoint that is listed as draining must be taken out of use; one that is missing from the list may
    /// stay in use.
    pub only_draining_binds: bool,
}

/// What endpoints report about their load.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoadReportConfig {
    /// Whether endpoints report their load.
    pub is_available: bool,
    /// The values of a load report, in the order in which it has them.
    pub metrics: Vec<LoadMetric>,
}

/// One value of a load report.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadMetric {
    /// Share of the processor that is busy, 0 to 1.
    Utilization,
    /// Time that a request takes, without queueing, in milliseconds.
    ServiceTime,
    /// Any other metric, by name; the decisions do not read it.
    Other(String),
}

/// How proxies interpret an admission limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AdmissionKind {
    /// Proxies admit everything.
    #[default]
    Unlimited,
    /// A share of the requests, 0 to 1.
    Share,
    /// Requests per second at each proxy.
    RequestRate,
}

/// How proxies pick an endpoint from a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SelectionMethod {
    /// Of two endpoints drawn at random by weight, the one with fewer requests in flight.
    #[default]
    LeastRequestOfTwo,
    /// At random, by weight.
    Random,
    /// Weighted round robin.
    RoundRobin,
}

/// Limits that the operators guarantee. The decisions do not read them, but a change of one makes the controller start
/// anew.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceLimits {
    /// Proxies stop sending to a draining endpoint within this time; `None` if it is not configured.
    pub drain_grace_seconds: Option<f64>,
    /// The longest time that a connected proxy may be without an endpoint; `None` if it is not configured.
    pub max_unserved_seconds: Option<f64>,
    /// Time between two reports of a proxy; `None` if it is not configured.
    pub report_period_seconds: Option<f64>,
    /// Report entries that a planner can process per second; `None` if it is not configured.
    pub reports_per_second: Option<f64>,
}
