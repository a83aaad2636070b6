//! Maps the settings, by their names on the wire, to the fields of the configuration.
//!
//! Paths are JSON pointers.

use runloom_controller::config::{
    AdmissionKind, ChannelConfig, EndpointListConfig, LoadMetric, LoadReportConfig, SelectionMethod,
    ServiceLimits, SlowStartConfig, TrafficClass,
};
use runloom_controller::{DeploymentConfig, IdMap};
use serde_json::Value;
use std::time::Duration;

/// A finite number; `None` if it is missing or of another type.
fn number(settings: &Value, path: &str) -> Option<f64> {
    settings.pointer(path).and_then(Value::as_f64).filter(|number| number.is_finite())
}

/// A Boolean; `false` if it is missing or of another type.
fn flag(settings: &Value, path: &str) -> bool {
    settings.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

/// A string; empty if it is missing or of another type.
fn text<'a>(settings: &'a Value, path: &str) -> &'a str {
    settings.pointer(path).and_then(Value::as_str).unwrap_or_default()
}

/// A duration given in seconds; `None` if it is missing, negative or too large.
fn seconds(settings: &Value, path: &str) -> Option<Duration> {
    number(settings, path).and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// An array; empty if it is missing or of another type.
fn list<'a>(settings: &'a Value, path: &str) -> &'a [Value] {
    settings.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Reads the controller's configuration; missing settings keep their defaults.
pub(crate) fn config(settings: &Value) -> DeploymentConfig {
    let defaults = DeploymentConfig::default();
    DeploymentConfig {
        planner_count: number(settings, "/balancers").unwrap_or(defaults.planner_count),
        proxy_count: number(settings, "/familyInfo/proxies"),
        zone_count: list(settings, "/zones").len() as f64,
        slice_count: number(settings, "/familyInfo/ranges").unwrap_or(defaults.slice_count),
        classes: list(settings, "/classes").iter().map(traffic_class).collect(),
        channel: channel(settings),
        slow_start: slow_start(settings),
        endpoint_list: EndpointListConfig {
            needs_watch: text(settings, "/registryMode") == "subscribe",
            only_draining_binds: flag(settings, "/rules/droppedStayOpen"),
        },
        health_checks_allowed: flag(settings, "/limits/probing"),
        load_report: LoadReportConfig {
            is_available: !matches!(text(settings, "/stats/how"), "" | "none"),
            metrics: load_fields(settings).iter().map(|field| load_metric(field)).collect(),
        },
        admission: admission_kind(text(settings, "/familyInfo/levelKind")),
        selection: selection_method(text(settings, "/familyInfo/choice")),
        proxies_prefer_local_planner: flag(settings, "/familyInfo/localFirst"),
        service_limits: ServiceLimits {
            drain_grace_seconds: number(settings, "/rules/drainGraceS"),
            max_unserved_seconds: number(settings, "/familyInfo/unservedMaxS"),
            report_period_seconds: number(settings, "/familyInfo/periodS"),
            reports_per_second: number(settings, "/familyInfo/hearsPerS"),
        },
    }
}

fn traffic_class(class: &Value) -> TrafficClass {
    let defaults = TrafficClass::default();
    TrafficClass {
        latency_objective_seconds: number(class, "/aimS").unwrap_or(defaults.latency_objective_seconds),
        deadline_seconds: number(class, "/hardLimitS"),
        priority_weight: number(class, "/credit").unwrap_or(defaults.priority_weight),
    }
}

fn channel(settings: &Value) -> ChannelConfig {
    let defaults = ChannelConfig::default();
    ChannelConfig {
        entries_per_second: number(settings, "/familyInfo/channelRate"),
        queue_limit: number(settings, "/familyInfo/backlog"),
        message_overhead: number(settings, "/familyInfo/overhead").unwrap_or(defaults.message_overhead),
        message_limit: number(settings, "/familyInfo/reloadsMax").unwrap_or(defaults.message_limit),
        message_window: seconds(settings, "/familyInfo/messagesOverS"),
        max_transit_seconds: number(settings, "/familyInfo/lateMostS"),
    }
}

fn slow_start(settings: &Value) -> SlowStartConfig {
    let defaults = SlowStartConfig::default();
    SlowStartConfig {
        initial_capacity: number(settings, "/rules/coldFrom").unwrap_or(defaults.initial_capacity),
        warm_up_seconds: number(settings, "/rules/warmAfterS").unwrap_or(defaults.warm_up_seconds),
        overload_multiple: number(settings, "/rules/fallMultiple"),
    }
}

fn load_metric(field: &str) -> LoadMetric {
    match field {
        "busy" => LoadMetric::Utilization,
        "lat_ms" => LoadMetric::ServiceTime,
        other => LoadMetric::Other(other.to_string()),
    }
}

fn admission_kind(kind: &str) -> AdmissionKind {
    match kind {
        "rps" => AdmissionKind::RequestRate,
        "ratio" => AdmissionKind::Share,
        _ => AdmissionKind::Unlimited,
    }
}

fn selection_method(choice: &str) -> SelectionMethod {
    match choice {
        "lottery" => SelectionMethod::Random,
        "wheel" => SelectionMethod::RoundRobin,
        _ => SelectionMethod::LeastRequestOfTwo,
    }
}

/// Names of the traffic classes, in order; a class without a name is called `#` with its position.
pub(crate) fn class_names(settings: &Value) -> IdMap<String> {
    let mut names = IdMap::default();
    for (position, class) in list(settings, "/classes").iter().enumerate() {
        let name = class["name"].as_str().map_or_else(|| format!("#{position}"), str::to_string);
        names.index(name);
    }
    names
}

/// Names of the zones, in order; the planner's own is appended if it is not listed.
pub(crate) fn zone_names(settings: &Value) -> IdMap<String> {
    let mut names = IdMap::default();
    let zones = list(settings, "/zones").iter().filter_map(Value::as_str);
    for zone in zones.chain(settings["myZone"].as_str()) {
        names.index(zone.to_string());
    }
    names
}

/// Wire names of the values in a load report; empty for one that is not a string.
pub(crate) fn load_fields(settings: &Value) -> Vec<String> {
    let fields = list(settings, "/stats/fields").iter();
    fields.map(|field| field.as_str().unwrap_or_default().to_string()).collect()
}
