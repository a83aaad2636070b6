//! The rules one by one, on small fleets.

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
    // Given a table whose last server but one is taken out.
    let mut guard = small_fleet();
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 0, 0.0)]);
    // When the last one is taken out too, then that is rejected, and the controller learns what stays.
    let validated = assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 1, 0.0)]);
    assert_eq!(validated.rejected[0].published_weight, Some(1.0));
    assert_eq!(validated.affected_proxies, [0].into());
    // When both are taken out in one batch, or the table is cleared, then that is rejected.
    let mut guard = small_fleet();
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 0, 0.0), set_entry(1, 1, 0.0)]);
    assert_all_rejected(&mut guard, NOW, vec![clear(1)]);
    // When it is cleared and filled in one batch, then that is accepted.
    assert_all_accepted(&mut guard, NOW, vec![clear(1), set_entry(1, 1, 2.0)]);
    // When its only server is ejected, then that is rejected.
    assert_all_rejected(&mut guard, NOW, vec![eject(1)]);
}

#[test]
fn a_drain_makes_a_table_unsafe_and_the_removal_of_a_draining_server_is_always_accepted() {
    // Given a table of which one server drains.
    let mut guard = small_fleet();
    list_draining(&mut guard, 0);
    // When the other one is taken out, then that is rejected.
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 1, 0.0)]);
    // When both drain, then rule 3 comes before rule 1: their entries are removed, the last one too.
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
    // A negligible share is none.
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
    // Given 30 requests a second over three servers of weight 1, ten each: a server that has just started may get
    // 4 x 0.2 x 10 = 8. Then a weight for more is rejected until it is warmer.
    let mut guard = small_fleet();
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 2, 1.0)]);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_accepted(&mut guard, NOW + Duration::from_secs(9), vec![set_entry(1, 2, 1.0)]);
    // When other servers lose what would then go to it, then that is rejected.
    let mut guard = small_fleet();
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 0, 0.0)]);
    assert_eq!(rejection_tags(&guard), ["shifts-to-cold"]);
    // When its weight in one table is lowered, then the old one counts until that is acknowledged: 6 there, and 6
    // more in another table.
    let mut guard = small_fleet();
    guard.connect_proxy(1, 30.0);
    let second_table = [set_entry(3, 0, 1.0), set_entry(3, 1, 1.0), assign(1, 3, 0)];
    guard.validate(NOW, [&second_table[..], &[set_entry(1, 2, 0.5)]].concat());
    guard.validate(NOW, vec![set_entry(1, 2, 0.0)]);
    assert_all_rejected(&mut guard, NOW, vec![set_entry(3, 2, 1.2)]);
    acknowledge(&mut guard, 0, 2);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(3, 2, 1.2)]);
}

/// Once no warm server is open, cold ones are compared with each other, since some server has to take the requests.
/// A batch that brings this about itself is not excused by it.
#[test]
fn a_batch_that_ejects_the_last_warm_servers_is_rejected() {
    let mut guard = small_fleet();
    guard.validate(NOW, vec![set_entry(1, 2, 0.5)]);
    assert_all_rejected(&mut guard, NOW, vec![eject(0), eject(1)]);
    assert_eq!(rejection_tags(&guard), ["shifts-to-cold", "shifts-to-cold"]);
}

/// The requests of an ejected server go to the others, cold ones too.
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
fn each_planner_counts_with_what_the_others_send() {
    let mut guard = SafetyGuard::new(GuardConfig { planner_count: 2.0, ..config() });
    list_warm(&mut guard, 0);
    list_warm(&mut guard, 1);
    list_cold(&mut guard, 2);
    guard.connect_proxy(0, 30.0);
    guard.validate(NOW, vec![set_entry(1, 0, 1.0), set_entry(1, 1, 1.0), assign(0, 1, 0)]);
    // 4 x 0.2 x 2 - 1 = 0.6 of what a warm server gets.
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 2, 0.6)]);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 0.4)]);
}

#[test]
fn first_assignments_after_a_restart_are_accepted_but_not_to_a_table_without_a_server() {
    // Given 12 servers that are ready, 88 that were removed, and 150 proxies that hold unknown tables.
    let mut guard = SafetyGuard::new(config());
    for server in 0..100 {
        let state = if server < 12 { ListedState::Ready } else { ListedState::Removed };
        guard.update_endpoint(server, state, 1.0, None);
    }
    for proxy in 0..150 {
        guard.connect_proxy(proxy, 5.0);
    }
    // When they are assigned, one of them to an empty table, then only that one is rejected.
    let mut commands: Vec<Command> = (0..12).map(|server| set_entry(1, server, 1.0)).collect();
    commands.extend((0..150).map(|proxy| assign(proxy, if proxy < 149 { 1 } else { 9 }, 0)));
    let validated = guard.validate(NOW, commands);
    assert_eq!(validated.accepted.len(), 12 + 149);
    assert_eq!(validated.rejected.len(), 1);
    // When no server is open at all, then there is no better table.
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
    // An even share is ten requests a second; a fresh server may get eight. The first assignment is accepted all
    // the same: rule 3 comes first, for what the proxy holds until then.
    let mut all: Vec<Command> = (0..10).map(|server| set_entry(1, server, 0.3)).collect();
    all.push(assign(0, 1, 0));
    assert_all_accepted(&mut ten_cold_servers(), NOW, all.clone());
    // An entry far above the others is rejected until its server is warm.
    let mut guard = ten_cold_servers();
    guard.validate(NOW, all);
    assert_all_rejected(&mut guard, NOW, vec![set_entry(1, 0, 9.0)]);
    assert_all_accepted(&mut guard, NOW + Duration::from_secs(10), vec![set_entry(1, 0, 9.0)]);
}

#[test]
fn a_raised_overload_multiple_ends_by_itself_and_does_not_let_a_table_be_emptied() {
    let mut guard = small_fleet();
    let end = NOW + Duration::from_secs(5);
    guard.raise_overload_multiple(40.0, end);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 2, 1.0)]);
    assert_all_rejected(&mut guard, NOW, vec![clear(1)]);
    assert_all_rejected(&mut guard, end, vec![set_entry(1, 2, 50.0)]);
}

#[test]
fn a_removed_server_stays_open_where_only_draining_closes() {
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
fn an_edit_that_leaves_no_open_server_is_rejected_with_the_servers_it_takes_out() {
    // Given one open warm server, one that drains, and a cold one.
    let draining = pool_server("b", true, true, 1.0);
    let cold = pool_server("c", false, false, 1.0);
    let before = [pool_server("a", false, true, 1.0), draining.clone(), cold.clone()];
    // When the open warm one drains too, then the edit is rejected.
    let drained = [pool_server("a", true, true, 1.0), draining, cold];
    let emptied = EmptiedPool { removed_servers: vec!["a".into()] };
    assert_eq!(validate_edit(&before, &drained), Err(emptied));
    // When its weight becomes negligible, then the edit is rejected.
    let negligible = [pool_server("a", false, true, 1e-9), pool_server("c", false, false, 100.0)];
    assert!(validate_edit(&before, &negligible).is_err());
    // When another warm one takes its place, then the edit is accepted.
    let swapped = [pool_server("a", true, true, 1.0), pool_server("b", false, true, 1.0)];
    assert_eq!(validate_edit(&before, &swapped), Ok(()));
}

/// Versions are merged, and the largest share of each server is kept.
#[test]
fn many_versions_that_a_proxy_does_not_acknowledge_still_count() {
    let mut guard = small_fleet();
    guard.connect_proxy(1, 30.0);
    let second_table = [set_entry(3, 0, 1.0), set_entry(3, 1, 1.0), assign(1, 3, 0)];
    guard.validate(NOW, [&second_table[..], &[set_entry(1, 2, 0.5)]].concat());
    for k in 0..500 {
        guard.validate(NOW, vec![set_entry(1, 2, 0.01 + 1e-5 * f64::from(k))]);
    }
    // Six of the eight requests a second may still come by the oldest version of table 1.
    assert_all_rejected(&mut guard, NOW, vec![set_entry(3, 2, 1.2)]);
}
