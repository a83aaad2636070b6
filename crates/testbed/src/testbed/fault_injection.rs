//! Runs a scenario's faults and edits when they are due, and ends faults after their duration.

use super::restart_observation::FaultyServers;
use super::Testbed;
use crate::fake_servers::{FakeServer, ServerBehavior};
use crate::management_clients;
use crate::scenario::{FaultKind, ScheduledEdit, ScheduledFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// An action that the testbed performs at a set time. Servers, proxies and planners are given by index.
pub(super) enum TestbedAction {
    /// Begins a fault.
    InjectFault(ScheduledFault),
    /// Sends an operator's edit.
    SendEdit(ScheduledEdit),
    /// Starts crashed servers again.
    StartServers(Vec<usize>),
    /// Restores the normal behavior of servers.
    ClearServerFaults(Vec<usize>),
    /// Stops drained servers and removes them from the endpoint list.
    RemoveServers(Vec<usize>),
    /// Lists servers again that were falsely removed, given by name.
    RestoreListing(BTreeSet<String>),
    /// Lets the feed send updates again.
    RestoreFeed,
    /// Starts a killed planner again.
    RestartPlanner(usize),
    /// Lets proxies read their streams again.
    ResumeReading(Vec<usize>),
    /// Restores the normal request rate.
    EndSurge,
}

impl Testbed {
    /// Runs the actions that are due at a time of the scenario.
    pub(super) fn run_due_actions(&mut self, now: Duration) -> Result<(), String> {
        while let Some(position) = self.scheduled_actions.iter().position(|(at, _)| *at <= now) {
            let (_, action) = self.scheduled_actions.swap_remove(position);
            self.run_action(action)?;
        }
        Ok(())
    }

    fn run_action(&mut self, action: TestbedAction) -> Result<(), String> {
        match action {
            TestbedAction::InjectFault(fault) => self.inject_fault(&fault)?,
            TestbedAction::SendEdit(edit) => self.send_edit(edit),
            TestbedAction::StartServers(servers) => self.start_servers(&servers)?,
            TestbedAction::ClearServerFaults(servers) => self.clear_server_faults(&servers)?,
            TestbedAction::RemoveServers(servers) => self.remove_servers(&servers),
            TestbedAction::RestoreListing(names) => self.restore_listing(&names),
            TestbedAction::RestoreFeed => self.management.is_feed_suspended.store(false, Ordering::Relaxed),
            TestbedAction::RestartPlanner(planner) => self.restart_planner(planner)?,
            TestbedAction::ResumeReading(proxies) => self.set_stalled(&proxies, false),
            TestbedAction::EndSurge => self.clients.surge_factor = 1.0,
        }
        Ok(())
    }

    /// Schedules an action after a delay from now.
    fn run_after(&mut self, delay: Duration, action: TestbedAction) {
        self.scheduled_actions.push((self.now() + delay, action));
    }

    fn inject_fault(&mut self, fault: &ScheduledFault) -> Result<(), String> {
        tracing::info!(at = self.now().as_secs_f64(), kind = %fault.kind, "injecting a fault");
        match fault.kind {
            FaultKind::Crash => self.crash_servers(fault),
            FaultKind::Hang => self.change_behavior(fault, ServerBehavior::Hanging),
            FaultKind::Unreachable => self.change_behavior(fault, ServerBehavior::Unreachable),
            FaultKind::Errors => self.change_behavior(fault, ServerBehavior::Failing(fault.magnitude)),
            FaultKind::Slow => self.slow_down_servers(fault),
            FaultKind::ExpensiveRequests => self.make_requests_expensive(fault),
            FaultKind::Drain => self.drain_servers(fault),
            FaultKind::Replace => self.replace_servers(fault)?,
            FaultKind::FalseRemoval => self.remove_from_listing(fault),
            FaultKind::FeedOutage => self.suspend_feed(fault),
            FaultKind::PlannerKill => self.kill_planner(fault),
            FaultKind::StreamBreak => self.break_streams(fault),
            FaultKind::StalledReader => self.stall_readers(fault),
            FaultKind::Surge => self.begin_surge(fault),
        }
        Ok(())
    }

    /// The indices of the servers that a fault affects: the healthy ones among those that it names, or `count` healthy
    /// ones drawn at random.
    ///
    /// The fault has a generator of its own, so that the choice does not depend on the number of earlier draws.
    fn draw_servers(&self, fault: &ScheduledFault) -> Vec<usize> {
        let mut rng = StdRng::seed_from_u64(self.scenario_seed ^ (fault.at.as_millis() as u64) << 8);
        let mut healthy: Vec<usize> =
            (0..self.servers.all.len()).filter(|server| self.is_healthy(*server)).collect();
        if !fault.servers.is_empty() {
            healthy.retain(|server| fault.servers.contains(&self.servers.all[*server].name));
            return healthy;
        }
        let mut drawn = Vec::new();
        while drawn.len() < fault.count && !healthy.is_empty() {
            drawn.push(healthy.swap_remove(rng.random_range(0..healthy.len())));
        }
        drawn
    }

    fn is_healthy(&self, id: usize) -> bool {
        let server = &self.servers.all[id];
        self.servers.is_up(id)
            && server.behavior == ServerBehavior::Normal
            && server.slowdown <= 1.0
            && !self.listing.is_leaving(&server.name)
    }

    fn server_name(&self, id: usize) -> String {
        self.servers.all[id].name.clone()
    }

    /// The indices of the proxies that a fault affects, which are the first `count` ones.
    fn affected_proxies(&self, fault: &ScheduledFault) -> Vec<usize> {
        (0..fault.count.min(self.proxies.len())).collect()
    }

    fn crash_servers(&mut self, fault: &ScheduledFault) {
        let servers = self.draw_servers(fault);
        for id in &servers {
            self.servers.stop(&mut self.event_loop, *id);
            self.listing.crashed.insert(self.server_name(*id));
        }
        self.publish_endpoint_list();
        self.run_after(fault.duration, TestbedAction::StartServers(servers));
    }

    fn start_servers(&mut self, servers: &[usize]) -> Result<(), String> {
        for id in servers {
            self.servers.start(&mut self.event_loop, *id).map_err(|e| e.to_string())?;
            let name = self.server_name(*id);
            self.listing.crashed.remove(&name);
        }
        self.publish_endpoint_list();
        Ok(())
    }

    fn change_behavior(&mut self, fault: &ScheduledFault, behavior: ServerBehavior) {
        let servers = self.draw_servers(fault);
        for id in &servers {
            self.servers.all[*id].behavior = behavior;
        }
        self.run_after(fault.duration, TestbedAction::ClearServerFaults(servers));
    }

    fn slow_down_servers(&mut self, fault: &ScheduledFault) {
        let servers = self.draw_servers(fault);
        for id in &servers {
            self.servers.all[*id].slowdown = fault.magnitude;
        }
        self.run_after(fault.duration, TestbedAction::ClearServerFaults(servers));
    }

    fn make_requests_expensive(&mut self, fault: &ScheduledFault) {
        for server in &mut self.servers.all {
            server.expensive_request_factor = fault.magnitude;
        }
        let servers = (0..self.servers.all.len()).collect();
        self.run_after(fault.duration, TestbedAction::ClearServerFaults(servers));
    }

    fn clear_server_faults(&mut self, servers: &[usize]) -> Result<(), String> {
        for id in servers {
            let server = &mut self.servers.all[*id];
            let was_unreachable = server.behavior == ServerBehavior::Unreachable;
            server.clear_faults();
            if was_unreachable {
                // The machine is reachable again, with a new, cold process.
                self.servers.stop(&mut self.event_loop, *id);
                self.servers.start(&mut self.event_loop, *id).map_err(|e| e.to_string())?;
            }
        }
        self.publish_endpoint_list();
        Ok(())
    }

    fn drain_servers(&mut self, fault: &ScheduledFault) {
        let servers = self.draw_servers(fault);
        self.list_as_draining(fault, servers);
    }

    fn replace_servers(&mut self, fault: &ScheduledFault) -> Result<(), String> {
        let servers = self.draw_servers(fault);
        for id in &servers {
            let zone = self.servers.all[*id].zone.clone();
            self.servers.add(&mut self.event_loop, &zone, true).map_err(|e| e.to_string())?;
        }
        self.list_as_draining(fault, servers);
        Ok(())
    }

    fn list_as_draining(&mut self, fault: &ScheduledFault, servers: Vec<usize>) {
        for id in &servers {
            self.listing.draining.insert(self.server_name(*id));
        }
        self.publish_endpoint_list();
        self.run_after(fault.duration, TestbedAction::RemoveServers(servers));
    }

    fn remove_servers(&mut self, servers: &[usize]) {
        for id in servers {
            self.listing.removed.insert(self.server_name(*id));
            self.servers.stop(&mut self.event_loop, *id);
        }
        self.publish_endpoint_list();
    }

    fn remove_from_listing(&mut self, fault: &ScheduledFault) {
        let names: BTreeSet<String> =
            self.draw_servers(fault).into_iter().map(|id| self.server_name(id)).collect();
        self.listing.falsely_removed.extend(names.iter().cloned());
        self.publish_endpoint_list();
        self.run_after(fault.duration, TestbedAction::RestoreListing(names));
    }

    fn restore_listing(&mut self, names: &BTreeSet<String>) {
        self.listing.falsely_removed.retain(|name| !names.contains(name));
        self.publish_endpoint_list();
    }

    fn suspend_feed(&mut self, fault: &ScheduledFault) {
        self.management.is_feed_suspended.store(true, Ordering::Relaxed);
        self.run_after(fault.duration, TestbedAction::RestoreFeed);
    }

    fn kill_planner(&mut self, fault: &ScheduledFault) {
        let planner = self.rng.random_range(0..self.planners.len());
        self.planners[planner].kill();
        self.run_after(fault.duration, TestbedAction::RestartPlanner(planner));
    }

    fn restart_planner(&mut self, planner: usize) -> Result<(), String> {
        self.planner_seed += 1;
        if let Some(change) = self.restart.before_restart {
            change(&self.planner_state_folder(planner));
        }
        let faulty = FaultyServers {
            failing: self.names_of(|server| server.behavior != ServerBehavior::Normal),
            slow: self.names_of(|server| server.slowdown > 1.0),
        };
        let begin = Instant::now();
        self.planners[planner] = self.start_planner(planner)?;
        self.restart.record_restart(self.now(), begin.elapsed(), faulty);
        Ok(())
    }

    fn names_of(&self, is_included: impl Fn(&FakeServer) -> bool) -> BTreeSet<String> {
        let servers = self.servers.all.iter().filter(|server| is_included(server));
        servers.map(|server| server.name.clone()).collect()
    }

    fn break_streams(&mut self, fault: &ScheduledFault) {
        for proxy in self.affected_proxies(fault) {
            self.proxies[proxy].runtime.abort_planner_session(&mut self.event_loop);
        }
    }

    fn stall_readers(&mut self, fault: &ScheduledFault) {
        let proxies = self.affected_proxies(fault);
        self.set_stalled(&proxies, true);
        self.run_after(fault.duration, TestbedAction::ResumeReading(proxies));
    }

    fn set_stalled(&mut self, proxies: &[usize], is_stalled: bool) {
        for proxy in proxies {
            self.proxies[*proxy].runtime.set_unresponsive(&mut self.event_loop, is_stalled);
        }
    }

    fn begin_surge(&mut self, fault: &ScheduledFault) {
        self.clients.surge_factor = fault.magnitude;
        self.run_after(fault.duration, TestbedAction::EndSurge);
    }

    fn send_edit(&mut self, edit: ScheduledEdit) {
        self.management_threads.push(management_clients::spawn_edit(
            self.planners.iter().map(|planner| planner.addresses.edits).collect(),
            self.operator_credentials.clone(),
            edit,
            self.management.clone(),
            self.epoch,
        ));
    }
}
