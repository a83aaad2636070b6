//! Passes changes of the configuration and of the endpoint list to the controller.

use super::core::PlannerCore;
use super::durability::Durability;
use super::event_recording::note_event;
use super::restore::write_epoch;
use crate::state_file::StateFiles;
use runloom_controller::EndpointUpdate;
use runloom_event_log::RecordedEvent;
use runloom_inventory::{Change, Inventory};
use runloom_model::fleet::Fleet;
use std::collections::BTreeSet;
use std::time::Duration;

/// The servers as last passed to the controller, the seed of its random choices, and the files in which the
/// distributor's epoch is stored when the controller starts over.
pub(super) struct Reconfiguration {
    inventory: Inventory,
    files: StateFiles,
    /// Seed of the controller's random choices; incremented with each change.
    seed: u64,
}

impl Reconfiguration {
    pub(super) fn new(inventory: Inventory, files: StateFiles, seed: u64) -> Reconfiguration {
        Reconfiguration { inventory, files, seed }
    }

    /// The servers that were passed to the controller.
    pub(super) fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Passes what has changed and is on disk to the controller.
    pub(super) fn apply(&mut self, core: &mut PlannerCore, durability: &mut Durability, now: Duration) {
        if !std::mem::take(&mut core.config.has_unapplied_changes) {
            // An edit that changes nothing counts as decided at once.
            core.config.edit_history.record_decided(now, &BTreeSet::new());
            return;
        }
        let changes = self.inventory.update(core.config.persisted_fleet(), core.config.listed());
        let changed_servers: BTreeSet<String> = changes.iter().map(|(name, _)| name.clone()).collect();
        durability.is_list_unsaved |= !changes.is_empty();
        self.seed = self.seed.wrapping_add(1);
        self.record(core, now);
        let fleet = core.config.persisted_fleet().clone();
        if core.control.reconfigure(fleet, self.seed) {
            self.handle_controller_restart(core);
        } else if !changes.is_empty() {
            core.control.update_endpoints(EndpointUpdate::Delta, changes);
        }
        core.config.edit_history.record_decided(now, &changed_servers);
    }

    fn record(&self, core: &mut PlannerCore, now: Duration) {
        if core.control.fleet() != core.config.persisted_fleet() {
            let event =
                RecordedEvent::Reconfigured { fleet: core.config.persisted_fleet_text(), seed: self.seed };
            note_event(&mut core.control, now, event);
        }
    }

    /// Passes all servers and proxies again to a controller that started over with another configuration.
    fn handle_controller_restart(&self, core: &mut PlannerCore) {
        tracing::warn!("the configuration changed: the decisions start over, proxies keep their tables until new ones are assigned");
        let servers = self.inventory.servers().iter();
        let servers = servers.map(|(name, server)| (name.clone(), Change::Updated(server.clone()))).collect();
        core.control.update_endpoints(EndpointUpdate::Cached, servers);
        let fleet = core.config.persisted_fleet();
        let epoch = core.distributor.publisher().epoch() + 1;
        core.distributor.restart(epoch, fleet.grace.drain, max_deadline(fleet));
        if let Err(error) = write_epoch(&self.files, core.distributor.publisher().epoch()) {
            tracing::warn!(%error, "the epoch could not be written");
        }
        let has_no_table = false;
        for (proxy, connected) in &core.connected {
            let (name, zone) = (&connected.name, &connected.zone);
            core.control.connect_proxy(name, zone, connected.request_rate, has_no_table);
            core.config.edit_history.disconnect_proxy(*proxy);
        }
    }
}

/// The longest deadline of any traffic class.
pub(super) fn max_deadline(fleet: &Fleet) -> Duration {
    fleet.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}
