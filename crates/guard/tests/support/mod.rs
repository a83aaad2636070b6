//! Shared test support: a small fleet under a guard, and constructors of commands.

// Each test file uses only some of these items.
#![allow(dead_code)]

use runloom_controller::{Command, ListedState, ProxyId, ServerId, TableId};
use runloom_guard::{GuardConfig, SafetyGuard, ValidatedBatch};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of each server in a table.
pub type Entries = BTreeMap<ServerId, f64>;

/// Time of the tests on the guard's clock; cold servers start then.
pub const NOW: Duration = Duration::from_secs(1000);
/// Number of traffic classes of [`config`].
pub const CLASSES: usize = 2;

/// Two classes and one planner. A server starts at 0.2 of its capacity, and may get 4 times its current capacity
/// while it warms up.
pub fn config() -> GuardConfig {
    GuardConfig {
        class_count: CLASSES,
        planner_count: 1.0,
        initial_capacity: 0.2,
        warm_up: Duration::from_secs(10),
        overload_multiple: 4.0,
        only_draining_binds: false,
    }
}

pub fn set_entry(table: TableId, server: ServerId, weight: f64) -> Command {
    Command::SetEntry { table, server, weight }
}

/// Assigns a proxy's classes to a table; class mask 0 stands for all classes.
pub fn assign(proxy: ProxyId, table: TableId, class_mask: u64) -> Command {
    Command::AssignTable { proxy, table, class_mask }
}

pub fn clear(table: TableId) -> Command {
    Command::ClearTable { table }
}

pub fn eject(server: ServerId) -> Command {
    Command::EjectServer { server, ejected: true }
}

/// Lists a server that is ready, of weight 1, and started long ago.
pub fn list_warm(guard: &mut SafetyGuard, server: ServerId) {
    guard.update_endpoint(server, ListedState::Ready, 1.0, None);
}

/// Lists a server that is ready, of weight 1, and has just started.
pub fn list_cold(guard: &mut SafetyGuard, server: ServerId) {
    guard.update_endpoint(server, ListedState::Ready, 1.0, Some(NOW));
}

pub fn list_draining(guard: &mut SafetyGuard, server: ServerId) {
    guard.update_endpoint(server, ListedState::Draining, 1.0, None);
}

/// Records that a message was sent to a proxy and acknowledged.
pub fn acknowledge(guard: &mut SafetyGuard, proxy: ProxyId, number: u64) {
    guard.record_sent(proxy, number);
    guard.acknowledge(proxy, number);
}

/// Table 1 with two warm servers (0 and 1), a cold server (2) in no table, and a proxy with 30 requests per second
/// that has acknowledged its assignment to table 1.
pub fn small_fleet() -> SafetyGuard {
    let mut guard = SafetyGuard::new(config());
    list_warm(&mut guard, 0);
    list_warm(&mut guard, 1);
    list_cold(&mut guard, 2);
    guard.connect_proxy(0, 30.0);
    assert_all_accepted(&mut guard, NOW, vec![set_entry(1, 0, 1.0), set_entry(1, 1, 1.0), assign(0, 1, 0)]);
    acknowledge(&mut guard, 0, 1);
    guard
}

#[track_caller]
pub fn assert_all_accepted(guard: &mut SafetyGuard, now: Duration, commands: Vec<Command>) -> ValidatedBatch {
    let validated = guard.validate(now, commands);
    assert_eq!(validated.rejected, vec![]);
    validated
}

#[track_caller]
pub fn assert_all_rejected(guard: &mut SafetyGuard, now: Duration, commands: Vec<Command>) -> ValidatedBatch {
    let validated = guard.validate(now, commands);
    assert_eq!(validated.accepted, vec![]);
    validated
}

/// The tags of the guard's rejections, oldest first.
pub fn rejection_tags(guard: &SafetyGuard) -> Vec<&'static str> {
    guard.rejections().map(|rejection| rejection.reason.tag()).collect()
}
