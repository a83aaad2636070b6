//! Fixtures: endpoints, proxies and controllers in the initial states of the tests.

use crate::admission_control::AdmissionController;
use crate::config::{AdmissionKind, ChannelConfig, SlowStartConfig, TrafficClass};
use crate::controller::Controller;
use crate::endpoint::HealthState::{self, *};
use crate::endpoint::{Endpoint, TableEntry};
use crate::proxy::Proxy;
use crate::subsetting::Subset;
use crate::ServerId;
use crate::{Command, DeploymentConfig, Event};
use nanorand::WyRand;
use std::time::Duration;

pub(super) const NOW: Duration = seconds(100);

pub(super) const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Traffic classes by latency objective (seconds) and priority weight.
pub(super) fn classes(all: &[(f64, f64)]) -> Vec<TrafficClass> {
    let class = |(latency_objective_seconds, priority_weight): &(f64, f64)| TrafficClass {
        latency_objective_seconds: *latency_objective_seconds,
        priority_weight: *priority_weight,
        ..TrafficClass::default()
    };
    all.iter().map(class).collect()
}

/// A configuration with this initial capacity (0 to 1) and warm-up time.
pub(super) fn warm_up_config(initial_capacity: f64, warm_up_seconds: f64) -> DeploymentConfig {
    let slow_start = SlowStartConfig { initial_capacity, warm_up_seconds, overload_multiple: None };
    DeploymentConfig { slow_start, ..DeploymentConfig::default() }
}

/// A healthy endpoint of the first subset, with full weight and a success at [`NOW`].
pub(super) fn healthy_endpoint(zone: usize) -> Endpoint {
    let (configured_weight, speed_factor, health, subset) = (1.0, 1.0, Healthy, Some(0));
    Endpoint {
        zone,
        configured_weight,
        speed_factor,
        health,
        subset,
        last_report: NOW,
        last_success: NOW,
        attempts: 20.0,
        ..Endpoint::default()
    }
}

/// A started controller with these endpoints in one subset.
pub(super) fn controller(endpoints: Vec<Endpoint>) -> Controller {
    let channel =
        ChannelConfig { queue_limit: Some(4000.0), message_overhead: 4.0, ..ChannelConfig::default() };
    let config = DeploymentConfig { channel, ..DeploymentConfig::default() };
    let (subsets, random) = (vec![Subset::default()], Some(WyRand::new_seed(1)));
    let admission = AdmissionController { ticks_with_reports: 9, ..AdmissionController::default() };
    // Endpoints that exist were listed.
    let has_listed_endpoints = !endpoints.is_empty();
    Controller {
        now: NOW,
        config,
        endpoints,
        has_listed_endpoints,
        subsets,
        random,
        admission,
        ..Controller::default()
    }
}

/// A connected proxy of the first subset; `assigned` are the isolated classes of its tables.
pub(super) fn proxy(assigned: Option<u64>) -> Proxy {
    Proxy { is_connected: true, assigned, subset: Some(0), ..Proxy::default() }
}

pub(super) fn outcome_report(server: ServerId, attempts: u64, failures: u64, window: Duration) -> Event {
    let mean_latency = Duration::from_millis(200);
    Event::OutcomeReport { zone: 0, server, attempts, failures, mean_latency, window, load: vec![] }
}

/// Assigns subsets and publishes as at a tick, and returns the commands.
pub(super) fn publish_all(controller: &mut Controller) -> Vec<Command> {
    let mut commands = Vec::new();
    controller.assign_subsets(true);
    controller.publish(true, &mut commands);
    commands
}

pub(super) fn update_pressure(controller: &mut Controller) {
    let overload_latency = controller.overload_latency_seconds();
    controller.admission.update_pressure(overload_latency, true);
}

pub(super) fn health_states(controller: &Controller) -> Vec<HealthState> {
    controller.endpoints.iter().map(|endpoint| endpoint.health).collect()
}

/// A healthy endpoint that started `age` seconds ago and was published with little weight.
pub(super) fn cold_endpoint(age: u64) -> Endpoint {
    Endpoint {
        started_at: Some(NOW - seconds(age)),
        published: Some(TableEntry { table: 1, weight: 0.1 }),
        ..healthy_endpoint(0)
    }
}

/// A controller whose proxies can limit request rates, with two classes.
pub(super) fn rate_limiting_controller(endpoints: Vec<Endpoint>) -> Controller {
    let mut controller = controller(endpoints);
    let classes = classes(&[(1.0, 2.0), (1.0, 5.0)]);
    let admission = AdmissionKind::RequestRate;
    controller.config = DeploymentConfig { classes, admission, ..DeploymentConfig::default() };
    controller.proxies = vec![Proxy { arrival_rates: vec![30.0, 20.0], ..proxy(Some(0)) }];
    controller
}

/// Sixty endpoints and thirty proxies in three zones, too many for one table.
pub(super) fn large_fleet() -> Controller {
    let mut controller =
        controller((0..60).map(|s| Endpoint { subset: None, ..healthy_endpoint(s % 3) }).collect());
    controller.subsets.clear();
    let channel = ChannelConfig {
        entries_per_second: Some(5000.0),
        queue_limit: Some(4000.0),
        ..ChannelConfig::default()
    };
    let (zone_count, proxy_count) = (3.0, Some(100.0));
    controller.config = DeploymentConfig { zone_count, proxy_count, channel, ..DeploymentConfig::default() };
    let proxy =
        |p: usize| Proxy { zone: p % 3, subset: None, arrival_rates: vec![1.0 + p as f64], ..proxy(None) };
    controller.proxies = (0..30).map(proxy).collect();
    controller
}

pub(super) fn endpoint_with_latency(kind: usize, seconds: f64) -> Endpoint {
    let mut endpoint = Endpoint { kind, ..healthy_endpoint(0) };
    endpoint.latencies.add(seconds, 20.0);
    endpoint
}

/// A controller with a list that may lack endpoints, with the given endpoint and two healthy ones.
pub(super) fn controller_with_unreliable_list(endpoint: Endpoint) -> Controller {
    let mut controller = controller(vec![endpoint, healthy_endpoint(0), healthy_endpoint(0)]);
    controller.config.endpoint_list.only_draining_binds = true;
    controller
}
