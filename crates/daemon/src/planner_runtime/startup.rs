//! Start of a planner: opens the state folder, certificates and listeners, and creates the state machines from the
//! restored state.

use super::core::{EditBatches, PlannerCore, PlannerStatistics};
use super::durability::Durability;
use super::event_recording::EventRecording;
use super::identities::IdentityTracker;
use super::listeners::Listeners;
use super::reconfiguration::{max_deadline, Reconfiguration};
use super::restore;
use crate::config_service::ConfigService;
use crate::error::StartError;
use crate::persistence::{PersistenceWorker, RestoredState};
use crate::state_file::StateFiles;
use crate::tls_credentials::TlsPolicy;
use crate::wall_ms;
use runloom_control_session::ControlSession;
use runloom_controller::EndpointUpdate;
use runloom_distribution::Distributor;
use runloom_event_loop::EventLoop;
use runloom_inventory::Inventory;
use runloom_model::planner_settings::PlannerSettings;
use std::collections::BTreeMap;

/// The parts of a planner that depend on its settings and on its state folder.
pub(super) struct StartedParts {
    pub core: PlannerCore,
    pub listeners: Listeners,
    pub durability: Durability,
    pub recording: EventRecording,
    pub reconfiguration: Reconfiguration,
}

/// The opened state folder, and what was restored from it.
struct OpenedStateFolder {
    files: StateFiles,
    worker: PersistenceWorker,
    restored: RestoredState,
    config: ConfigService,
}

/// Starts from the configuration that the state folder holds, or else from that of the settings.
pub(super) fn start(
    event_loop: &mut EventLoop,
    settings: &PlannerSettings,
    seed: u64,
) -> Result<StartedParts, StartError> {
    let files = StateFiles::open(&settings.state_folder)?;
    let tls = TlsPolicy::load(&settings.tls)?;
    let OpenedStateFolder { files, worker, restored, config } = open_state(event_loop, files, settings)?;
    let listeners = Listeners::open(event_loop, settings, config.fleet(), &tls)?;

    let started_at_ms = wall_ms().saturating_sub(event_loop.now().as_millis() as u64);
    let epoch = restore::next_epoch(&files)?;
    let distributor = Distributor::new(epoch, config.fleet().grace.drain, max_deadline(config.fleet()));
    let mut control = ControlSession::new(config.fleet().clone(), seed, started_at_ms);
    let mut inventory = Inventory::default();
    let endpoints = inventory.update(config.fleet(), config.listed());
    let recording = EventRecording::open(settings, &mut control, &config, seed, started_at_ms)?;
    control.update_endpoints(EndpointUpdate::Cached, endpoints);
    restore_learned(&mut control, &restored, &inventory);

    let core = PlannerCore {
        name: settings.name.clone(),
        control,
        distributor,
        config,
        identities: IdentityTracker::new(tls),
        connected: BTreeMap::new(),
        edit_batches: EditBatches::default(),
        statistics: PlannerStatistics::new()?,
    };
    Ok(StartedParts {
        core,
        listeners,
        durability: Durability::new(worker, restored.learned.unwrap_or_default()),
        recording,
        reconfiguration: Reconfiguration::new(inventory, files, seed),
    })
}

/// Opens the state folder and restores the configuration from it.
fn open_state(
    event_loop: &EventLoop,
    files: StateFiles,
    settings: &PlannerSettings,
) -> Result<OpenedStateFolder, StartError> {
    let (opened, mut restored) = PersistenceWorker::open(&settings.state_folder)?;
    let mut config = restore::restore_config(&files, settings, &mut restored)?;
    let worker = opened.start(config.accepted_state(), event_loop.waker())?;
    config.set_rules(settings.tls.rules.clone());
    restore::set_legacy_files_aside(&files)?;
    Ok(OpenedStateFolder { files, worker, restored, config })
}

/// Passes what an earlier start learned of servers to the controller, as warm-start hints.
fn restore_learned(control: &mut ControlSession, restored: &RestoredState, inventory: &Inventory) {
    let hints = restore::warm_start_hints(restored, inventory);
    if !hints.is_empty() {
        tracing::info!(servers = hints.len(), "what an earlier start learned serves as hints");
        control.warm_start(&hints);
    }
}
