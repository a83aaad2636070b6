//! A small fleet under a guard, and short forms of commands.

// Each test file uses some of these.
#![allow(dead_code)]

use runloom_controller::{Command, ListedState, ProxyId, ServerId, TableId};
use runloom_guard::{GuardConfig, SafetyGuard, ValidatedBatch};
use std::collections::BTreeMap;
use std::time::Duration;

pub type Entries = BTreeMap<ServerId, f64>;

pub const NOW: Duration = Duration::from_secs(1000);
pub const CLASSES: usize = 2;

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

pub fn acknowledge(guard: &mut SafetyGuard, proxy: ProxyId, number: u64) {
    guard.record_sent(proxy, number);
    guard.acknowledge(proxy, number);
}

/// Two warm servers (0 and 1), which are in table 1, a cold one (2), and a proxy with 30 requests a second that has
/// acknowledged its assignment to the table.
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

/// The tags of all rejections so far.
pub fn rejection_tags(guard: &SafetyGuard) -> Vec<&'static str> {
    guard.rejections().map(|rejection| rejection.reason.tag()).collect()
}
