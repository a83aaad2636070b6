use super::support::*;
use crate::config::ChannelConfig;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;
use crate::flow_control::UpdateChannel;
use crate::proxy::Proxy;
use crate::{Command, DeploymentConfig};

#[test]
fn isolation_takes_neither_cold_nor_all_endpoints() {
    let mut controller = controller(vec![
        cold_endpoint(1),
        healthy_endpoint(0),
        healthy_endpoint(0),
        healthy_endpoint(0),
        healthy_endpoint(0),
    ]);
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (1, 1.0);
    controller.isolate_classes();
    let isolated: Vec<bool> = controller.endpoints.iter().map(|endpoint| endpoint.is_isolated).collect();
    assert_eq!(isolated, [false, false, true, true, true]);
}

#[test]
fn isolated_table_stays_until_the_last_proxy_left_it() {
    let mut controller =
        controller((0..5).map(|s| Endpoint { is_isolated: s == 1, ..healthy_endpoint(0) }).collect());
    controller.proxies = vec![proxy(Some(1))];
    controller.isolate_classes();
    assert!(controller.endpoints[1].is_isolated);
    controller.proxies[0].assigned = Some(0);
    controller.isolate_classes();
    assert!(!controller.endpoints[1].is_isolated);
}

#[test]
fn small_subset_isolates_no_class() {
    let mut controller = controller(vec![healthy_endpoint(0), healthy_endpoint(0), healthy_endpoint(0)]);
    (controller.admission.isolated_classes, controller.admission.isolated_share) = (1, 0.5);
    controller.isolate_classes();
    assert!(
        controller.subsets[0].isolated_classes == 0
            && !controller.endpoints.iter().any(|endpoint| endpoint.is_isolated)
    );
}

#[test]
fn large_fleet_is_divided_into_subsets_by_zone() {
    let mut controller = large_fleet();
    controller.assign_subsets(true);
    assert_eq!(controller.subsets.len(), 6);
    let is_in_own_zone = |p: &Proxy| controller.subsets[p.subset.unwrap()].zone == Some(p.zone);
    assert!(controller.proxies.iter().all(is_in_own_zone));
}

#[test]
fn endpoints_are_distributed_by_load() {
    let mut controller = large_fleet();
    controller.proxies.iter_mut().filter(|p| p.zone == 0).for_each(|p| p.arrival_rates = vec![60.0]);
    controller.assign_subsets(true);
    let weights_per_load: Vec<f64> =
        controller.subsets.iter().map(|subset| subset.weight / subset.load).collect();
    assert!(
        weights_per_load.iter().all(|one| weights_per_load.iter().all(|other| *one < 1.35 * other)),
        "{weights_per_load:?}"
    );
}

#[test]
fn subset_that_lost_its_endpoints_gets_others_at_once() {
    let mut controller = large_fleet();
    controller.assign_subsets(true);
    controller
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.zone == 1)
        .for_each(|endpoint| endpoint.health = Ejected);
    controller.assign_subsets(false);
    assert!(controller.subsets.iter().all(|subset| subset.weight > 0.0));
}

#[test]
fn subset_without_proxies_gives_away_its_endpoints() {
    let mut controller = large_fleet();
    controller.assign_subsets(true);
    controller
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.zone == 1)
        .for_each(|endpoint| endpoint.health = Ejected);
    controller.proxies.iter_mut().filter(|p| p.zone == 0).for_each(|p| p.is_connected = false);
    controller.assign_subsets(true);
    assert!(controller.subsets.iter().all(|subset| (subset.proxy_count > 0.0) == (subset.weight > 1e-9)));
}

#[test]
fn subset_that_can_spare_no_endpoint_does_not_stop_rebalancing() {
    let mut controller = large_fleet();
    controller.assign_subsets(true);
    // Subset 0 has one endpoint, more than it needs, and cannot spare it; subset 4 has none.
    controller.proxies.iter_mut().filter(|p| p.subset == Some(0)).for_each(|p| p.arrival_rates = vec![1e-3]);
    controller
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.subset == Some(0))
        .skip(1)
        .for_each(|endpoint| endpoint.subset = Some(1));
    controller
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.subset == Some(4))
        .for_each(|endpoint| endpoint.subset = Some(1));
    controller.assign_subsets(false);
    assert!(controller.subsets[4].weight > 0.0);
}

#[test]
fn orphaned_proxies_move_to_subsets_with_endpoints() {
    let mut controller = large_fleet();
    publish_all(&mut controller);
    controller.endpoints.iter_mut().skip(2).for_each(|endpoint| endpoint.health = Draining);
    controller.channel = UpdateChannel::default();
    let commands = publish_all(&mut controller);
    let is_served = |p: &Proxy| controller.subsets[p.subset.unwrap()].weight > 0.5 && p.assigned == Some(0);
    assert!(controller.proxies.iter().all(is_served));
    let assignments =
        commands.iter().filter(|command| matches!(command, Command::AssignTable { .. })).count();
    assert!((20..30).contains(&assignments), "{assignments}");
}

#[test]
fn last_endpoint_does_not_alternate_between_subsets() {
    let mut controller = large_fleet();
    controller.assign_subsets(true);
    controller.endpoints.iter_mut().skip(1).for_each(|endpoint| endpoint.health = Draining);
    controller.assign_subsets(false);
    let subset = controller.endpoints[0].subset;
    controller.assign_subsets(true);
    assert_eq!(controller.endpoints[0].subset, subset);
}

#[test]
fn sliced_traffic_gets_no_tables() {
    let mut controller = controller(vec![healthy_endpoint(0)]);
    controller.config.slice_count = 8.0;
    (controller.subsets, controller.endpoints[0].subset) = (vec![], None);
    controller.proxies = vec![Proxy { subset: None, ..proxy(None) }];
    assert_eq!(publish_all(&mut controller), vec![]);
}

#[test]
fn subsets_have_a_zone_unless_a_planner_may_serve_one_zone_alone() {
    let zones = |planners: f64| {
        let mut controller =
            controller((0..40).map(|k| Endpoint { subset: None, ..healthy_endpoint(k % 4) }).collect());
        controller.subsets.clear();
        controller.config = DeploymentConfig {
            planner_count: planners,
            proxy_count: Some(300.0),
            zone_count: 4.0,
            channel: ChannelConfig { entries_per_second: Some(2000.0), ..ChannelConfig::default() },
            proxies_prefer_local_planner: true,
            ..DeploymentConfig::default()
        };
        controller.create_subsets();
        controller.subsets.iter().map(|subset| subset.zone).collect::<Vec<_>>()
    };
    assert_eq!(zones(2.0), [Some(0), Some(1), Some(2), Some(3)]);
    assert_eq!(zones(4.0), [None; 4]);
}
