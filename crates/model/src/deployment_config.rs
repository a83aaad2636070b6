//! Converts a fleet's settings into the controller's configuration.

use crate::fleet::Fleet;
use crate::traffic_class::ClassSettings;
use runloom_controller::config::{
    AdmissionKind, ChannelConfig, EndpointListConfig, LoadMetric, LoadReportConfig, SelectionMethod,
    ServiceLimits, SlowStartConfig, TrafficClass,
};
use runloom_controller::DeploymentConfig;

impl Fleet {
    /// The configuration that the controller is started with.
    pub fn deployment_config(&self) -> DeploymentConfig {
        DeploymentConfig {
            planner_count: self.planner_count,
            proxy_count: Some(self.proxy_count),
            zone_count: self.zones.len() as f64,
            slice_count: 0.0,
            classes: self.classes.iter().map(traffic_class).collect(),
            channel: self.channel_config(),
            slow_start: SlowStartConfig {
                initial_capacity: self.initial_capacity,
                warm_up_seconds: self.warm_up.as_secs_f64(),
                overload_multiple: Some(self.overload_multiple),
            },
            endpoint_list: EndpointListConfig {
                needs_watch: false,
                only_draining_binds: self.only_draining_binds,
            },
            health_checks_allowed: self.health_checks_allowed,
            load_report: LoadReportConfig {
                is_available: false,
                metrics: self.load_metrics.iter().map(|name| load_metric(name)).collect(),
            },
            admission: admission_kind(&self.admission),
            selection: selection_method(&self.selection),
            proxies_prefer_local_planner: self.prefers_local_planner,
            service_limits: self.service_limits(),
        }
    }

    fn channel_config(&self) -> ChannelConfig {
        ChannelConfig {
            entries_per_second: Some(self.channel.entries_per_second),
            queue_limit: Some(self.channel.queue_limit),
            message_overhead: self.channel.message_overhead,
            message_limit: self.channel.message_limit,
            message_window: Some(self.channel.message_window),
            max_transit_seconds: None,
        }
    }

    fn service_limits(&self) -> ServiceLimits {
        ServiceLimits {
            drain_grace_seconds: Some(self.grace.drain.as_secs_f64()),
            max_unserved_seconds: Some(self.grace.max_unserved.as_secs_f64()),
            report_period_seconds: Some(self.report_period.as_secs_f64()),
            reports_per_second: Some(self.reports_per_second),
        }
    }
}

fn traffic_class(class: &ClassSettings) -> TrafficClass {
    TrafficClass {
        latency_objective_seconds: class.latency_objective.as_secs_f64(),
        deadline_seconds: Some(class.deadline.as_secs_f64()),
        priority_weight: class.priority_weight,
    }
}

fn load_metric(name: &str) -> LoadMetric {
    match name {
        "busy" => LoadMetric::Utilization,
        "work_time" => LoadMetric::ServiceTime,
        other => LoadMetric::Other(other.to_string()),
    }
}

fn admission_kind(word: &str) -> AdmissionKind {
    match word {
        "pace" => AdmissionKind::RequestRate,
        _ => AdmissionKind::Unlimited,
    }
}

fn selection_method(word: &str) -> SelectionMethod {
    match word {
        "chance" => SelectionMethod::Random,
        "turns" => SelectionMethod::RoundRobin,
        _ => SelectionMethod::LeastRequestOfTwo,
    }
}
