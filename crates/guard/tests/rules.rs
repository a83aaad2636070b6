//! Each rule by itself, on small fleets.

mod support;

use runloom_controller::{Command, ListedState, RetryPolicy};
use runloom_guard::edit_validation::{validate_edit, EmptiedPool, PoolServer};
use runloom_guard::{GuardConfig, SafetyGuard};
use std::time::Duration;
use support::{
    acknowledge, assert_all_accepted, assert_all_rejected, assign, clear, config, eject, list_cold,
    list_draining, list_warm, rejection_tags, set_entry, small_fleet, NOW,
};

#[test]
fn commands_that_empty_a_table_are_rejected_one_by_one_and_in_a_batch() {
    // Given a table of two servers, of which one is removed.
    let mut guard = small_fleet();
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 0, 0.0)]);
    // When the other one is removed too, then that is rejected, and the controller learns the weight that stays.
    let validated = assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 1, 0.0)]);
    assert_eq!(validated.rejected[0].published_weight, Some(1.0));
    assert_eq!(validated.affected_proxies, [0].into());
    // When both are removed in one batch, or the table is cleared, then that is rejected.
    let mut guard = small_fleet();
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 0, 0.0), set_entry(1, 1, 0.0)]);
    assert_all_rejected(&mut guard, NOW, vec![clear(1)]);
    // When it is cleared and filled in one batch, then that is accepted.
    assert_all_accepted(&mut guard, NOW, vec![clear(1), set_entry(1, 1, 2.0)]);
    // When its only server is ejected, then that is rejected.
    assert_all_rejected(&mut guard, NOW, vec![eject(1)]);
}

#[test]
fn the_last_open_server_has_to_stay_but_a_draining_one_may_always_be_removed() {
    // Given a table of two servers, of which one is draining.
    let mut guard = small_fleet();
    list_draining(&mut guard, 0);
    // When the other one is removed, then that is rejected.
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 1, 0.0)]);
    // When both are draining, then rule 3 takes precedence over rule 1: both entries may be removed.
    list_draining(&mut guard, 1);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 0, 0.0), set_entry(1, 1, 0.0)]);
}

#[test]
fn an_entry_of_a_draining_or_unlisted_server_may_only_be_lowered() {
    let mut guard = small_fleet();
    list_draining(&mut guard, 0);
    let raised = vec![set_entry(1, 0, 2.0), set_entry(2, 0, 1.0), set_entry(1, 77, 1.0)];
    assert_all_rejected(&mut guard, NOW, raised);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 0, 0.5)]);
}

#[test]
fn the_commands_of_a_batch_are_validated_together() {
    let mut guard = small_fleet();
    list_draining(&mut guard, 0);
    let batch = vec![set_entry(1, 0, 0.0), set_entry(1, 1, 0.0), set_entry(1, 0, 2.0)];
    let validated = guard.validate(NOW, batch);
    assert_eq!(validated.rejected.len(), 2);
    assert_eq!(rejection_tags(&guard), ["empties-table", "sends-to-draining"]);
}

#[test]
fn negligible_and_malformed_weights_and_rates_are_not_usable() {
    // A weight that is the largest of its table is usable, however small.
    let mut guard = small_fleet();
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 0, 1e-9), set_entry(1, 1, 0.0)]);
    // To raise a draining server's weight, so that the open server's share becomes negligible, is rejected.
    let mut guard = small_fleet();
    list_draining(&mut guard, 1);
    let validated = guard.validate(NOW, vec![set_entry(1, 0, 1e-3), set_entry(1, 1, 1e6)]);
    assert_eq!(validated.accepted.len(), 1);
    for weight in [f64::NAN, f64::INFINITY, -1.0, 1e12] {
        let accepted = guard.validate(NOW, vec![set_entry(1, 0, weight)]).accepted;
        assert_eq!(accepted.len(), 0, "{weight}");
    }
    for admission_rate in [0.0, 1e-9, f64::NAN, -3.0] {
        let command = Command::SetAdmission {
            table: 1,
            class: 0,
            admission_rate: Some(admission_rate),
            retry_policy: RetryPolicy::Never,
        };
        let accepted = guard.validate(NOW, vec![command]).accepted;
        assert_eq!(accepted.len(), 0, "{admission_rate}");
    }
}

#[test]
fn a_cold_server_gets_what_it_can_serve_at_its_age_over_all_versions_in_force() {
    // Given 30 requests per second over three servers of weight 1, ten each: a server that has just started may
    // get 4 x 0.2 x 10 = 8. Then a weight for more is rejected until the server is warmer.
    let mut guard = small_fleet();
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 2, 1.0)]);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_accepted(&mut guard, NOW + Duration::from_secs(9), vec![set_entry(1, 2, 1.0)]);
    // When another server is removed and its requests would go to the cold one, then that is rejected.
    let mut guard = small_fleet();
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 0, 0.0)]);
    assert_eq!(rejection_tags(&guard), ["shifts-to-cold"]);
    // When its weight in one table is lowered, then the previous weight counts until the proxy acknowledges the
    // change. A second proxy doubles the limit to 16: 6 requests per second by the first table and 11.25 by
    // another one exceed it.
    let mut guard = small_fleet();
    guard.connect_proxy(1, 30.0);
    let second_table = [set_entry(3, 0, 1.0), set_entry(3, 1, 1.0), assign(1, 3, 0)];
    guard.validate(NOW, [&second_table[..], &[set_entry(1, 2, 0.5)]].concat());
    guard.validate(NOW, vec![set_entry(1, 2, 0.0)]);
    assert_all_rejected(&mut guard, NOW, vec![set_entry(3, 2, 1.2)]);
    acknowledge(&mut guard, 0, 2);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(3, 2, 1.2)]);
}

/// If no warm server is open, cold servers are compared with each other and not with their capacity, since some
/// server has to take the requests. That does not hold for the batch that ejects the last warm servers.
#[test]
fn a_batch_that_ejects_the_last_warm_servers_is_rejected() {
    let mut guard = small_fleet();
    guard.validate(NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_rejected(&mut guard, NOW, vec![eject(0), eject(1)]);
    assert_eq!(rejection_tags(&guard), ["shifts-to-cold", "shifts-to-cold"]);
}

/// The requests of an ejected server go to the table's other servers, also to cold ones.
#[test]
fn an_ejection_that_overloads_a_cold_server_is_rejected() {
    let mut guard = small_fleet();
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_rejected(&mut guard, NOW, vec![eject(0)]);
    let warm = NOW + Duration::from_secs(10);
    assert_all_accepted(&mut guard, warm, vec![eject(0)]);
    assert_all_accepted(&mut guard, warm, vec![eject(1)]);
    assert_all_rejected(&mut guard, warm, vec![eject(2)]);
}

#[test]
fn the_limit_of_a_cold_server_allows_for_the_load_from_other_planners() {
    let mut guard = SafetyGuard::new(GuardConfig { planner_count: 2.0, ..config() });
    list_warm(&mut guard, 0);
    list_warm(&mut guard, 1);
    list_cold(&mut guard, 2);
    guard.connect_proxy(0, 30.0);
    guard.validate(NOW, vec![set_entry(1, 0, 1.0), set_entry(1, 1, 1.0), assign(0, 1, 0)]);
    // The limit is 4 x 0.2 x 2 planners - 1 other planner = 0.6 times the load of a warm server.
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 2, 0.6)]);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.4)]);
}

#[test]
fn first_assignments_after_a_restart_are_accepted_but_not_to_a_table_without_a_server() {
    // Given 12 servers that are ready, 88 that were removed, and 150 proxies whose tables the guard does not know.
    let mut guard = SafetyGuard::new(config());
    for server in 0..100 {
        let state = if server < 12 { ListedState::Ready } else { ListedState::Removed };
        guard.update_endpoint(server, state, 1.0, None);
    }
    for proxy in 0..150 {
        guard.connect_proxy(proxy, 5.0);
    }
    // When the proxies are assigned, one of them to an empty table, then only that assignment is rejected.
    let mut commands: Vec<Command> = (0..12).map(|server| set_entry(1, server, 1.0)).collect();
    commands.extend((0..150).map(|proxy| assign(proxy, if proxy < 149 { 1 } else { 9 }, 0)));
    let validated = guard.validate(NOW, commands);
    assert_eq!(validated.accepted.len(), 12 + 149);
    assert_eq!(validated.rejected.len(), 1);
    // When no server is open at all, then it is accepted, since no other table would be better.
    let mut guard = SafetyGuard::new(config());
    guard.connect_proxy(0, 5.0);
    assert_all_accepted(&mut guard, NOW, vec![assign(0, 9, 0)]);
}

#[test]
fn servers_that_all_started_at_once_are_compared_with_each_other() {
    let ten_cold_servers = || {
        let mut guard = SafetyGuard::new(config());
        for server in 0..10 {
            list_cold(&mut guard, server);
        }
        guard.connect_proxy(0, 100.0);
        guard
    };
    // An even share is ten requests per second, and a server that has just started may get eight. The first
    // assignment is still accepted, since the proxy may hold a table with draining servers until then (rule 3).
    let mut all: Vec<Command> = (0..10).map(|server| set_entry(1, server, 0.3)).collect();
    all.push(assign(0, 1, 0));
    assert_all_accepted(&mut ten_cold_servers(), NOW, all.clone());
    // A weight far above the others is rejected until the server is warm.
    let mut guard = ten_cold_servers();
    guard.validate(NOW, all);
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 0, 9.0)]);
    assert_all_accepted(&mut guard, NOW + Duration::from_secs(10), vec![set_entry(1, 0, 9.0)]);
}

#[test]
fn a_raised_overload_multiple_expires_and_does_not_allow_emptying_a_table() {
    let mut guard = small_fleet();
    let expiry = NOW + Duration::from_secs(5);
    guard.raise_overload_multiple(40.0, expiry);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 1.0)]);
    assert_all_rejected(&mut guard, NOW, vec![clear(1)]);
    assert_all_rejected(&mut guard, expiry, vec![set_entry(1, 2, 50.0)]);
}

#[test]
fn a_removed_server_stays_open_if_only_draining_binds() {
    for (only_draining_binds, rejections) in [(true, 1), (false, 0)] {
        let mut guard = SafetyGuard::new(GuardConfig { only_draining_binds, ..config() });
        list_warm(&mut guard, 0);
        guard.connect_proxy(0, 3.0);
        guard.validate(NOW, vec![set_entry(1, 0, 1.0), assign(0, 1, 0)]);
        guard.update_endpoint(0, ListedState::Removed, 1.0, None);
        assert_eq!(guard.validate(NOW, vec![set_entry(1, 0, 0.0)]).rejected.len(), rejections);
    }
}

fn pool_server(name: &str, is_draining: bool, is_warm: bool, weight: f64) -> PoolServer {
    PoolServer { name: name.into(), is_draining, is_warm, weight }
}

#[test]
fn an_edit_that_leaves_no_open_server_is_rejected_with_the_servers_that_it_removes() {
    // Given one open warm server, one that is draining, and a cold one.
    let draining = pool_server("b", true, true, 1.0);
    let cold = pool_server("c", false, false, 1.0);
    let before = [pool_server("a", false, true, 1.0), draining.clone(), cold.clone()];
    // When the open warm server starts draining too, then the edit is rejected.
    let drained = [pool_server("a", true, true, 1.0), draining, cold];
    let emptied = EmptiedPool { removed_servers: vec!["a".into()] };
    assert_eq!(validate_edit(&before, &drained), Err(emptied));
    // When its weight becomes negligible, then the edit is rejected.
    let negligible = [pool_server("a", false, true, 1e-9), pool_server("c", false, false, 100.0)];
    assert!(validate_edit(&before, &negligible).is_err());
    // When another warm server replaces it, then the edit is accepted.
    let swapped = [pool_server("a", true, true, 1.0), pool_server("b", false, true, 1.0)];
    assert_eq!(validate_edit(&before, &swapped), Ok(()));
}

/// Beyond a limit, old versions are merged, with the largest share of each server.
#[test]
fn merged_unacknowledged_versions_still_count_toward_the_load() {
    let mut guard = small_fleet();
    guard.connect_proxy(1, 30.0);
    let second_table = [set_entry(3, 0, 1.0), set_entry(3, 1, 1.0), assign(1, 3, 0)];
    guard.validate(NOW, [&second_table[..], &[set_entry(1, 2, 0.5)]].concat());
    for round in 0..500 {
        guard.validate(NOW, vec![set_entry(1, 2, 0.01 + 1e-5 * f64::from(round))]);
    }
    // The limit is 16 requests per second: up to 6 may still come by the oldest version of table 1, and 11.25
    // would come by table 3.
    assert_all_rejected(&mut guard, NOW, vec![set_entry(3, 2, 1.2)]);
}
