//! Restores what a planner starts from: the state that an earlier start stored, or else the settings.

use crate::config_service::ConfigService;
use crate::error::StartError;
use crate::persistence::RestoredState;
use crate::state_file::StateFiles;
use crate::wall_ms;
use runloom_control_session::ServerHint;
use runloom_inventory::edit_history::{EditHistory, StoredEdit};
use runloom_inventory::{Inventory, Server};
use runloom_model::planner_settings::PlannerSettings;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use runloom_store::{AcceptedEdit, AcceptedState};
use std::io;
use std::sync::Arc;

/// File with the last epoch that was used.
const EPOCH_FILE: &str = "epoch.xml";
/// Files of the first layout of the state folder.
const LEGACY_ACCEPTED_FILE: &str = "accepted.xml";
const LEGACY_ROSTER_FILE: &str = "roster.xml";

/// Returns the epoch of this start, and stores it. It is higher than any earlier one, even if the clock was set back,
/// so that versions published by different starts can be told apart.
pub(super) fn next_epoch(files: &StateFiles) -> io::Result<u64> {
    let last = files.read(EPOCH_FILE)?.and_then(|epoch| epoch.text.parse::<u64>().ok()).unwrap_or(0);
    let epoch = wall_ms().max(last + 1);
    write_epoch(files, epoch)?;
    Ok(epoch)
}

/// Stores the epoch, which the next start has to exceed.
pub(super) fn write_epoch(files: &StateFiles, epoch: u64) -> io::Result<()> {
    files.write(EPOCH_FILE, &Element::leaf("", "epoch", epoch))
}

/// Renames files of the first layout, once their content is stored in the present one.
pub(super) fn set_legacy_files_aside(files: &StateFiles) -> io::Result<()> {
    files.set_aside(LEGACY_ACCEPTED_FILE)?;
    files.set_aside(LEGACY_ROSTER_FILE)
}

/// Restores the accepted configuration and its edit history; without a stored one, takes that of the settings. State
/// folders of the first layout are read as well.
pub(super) fn restore_config(
    files: &StateFiles,
    settings: &PlannerSettings,
    restored: &mut RestoredState,
) -> Result<ConfigService, StartError> {
    let mut data = (*settings.initial_data).clone();
    let mut edit_history = EditHistory::default();
    if let Some(accepted) = restored.accepted.take() {
        replace_child(&mut data, "fleet", stored_fleet(&accepted)?);
        let edits = accepted.edits.into_iter();
        edit_history = EditHistory::restore(edits.map(restored_edit));
    } else if let Some(accepted) = files.read(LEGACY_ACCEPTED_FILE)? {
        if let Some(fleet) = accepted.child("before").unwrap_or(&accepted).child("fleet") {
            replace_child(&mut data, "fleet", fleet.clone());
        }
        edit_history = legacy_edit_history(&accepted);
    }
    let endpoint_list = match &restored.endpoint_list {
        Some(text) => Element::parse(text).ok(),
        None => files.read(LEGACY_ROSTER_FILE)?,
    };
    if let Some(endpoint_list) = endpoint_list {
        replace_child(&mut data, "roster", endpoint_list);
    }
    Ok(ConfigService::new(Arc::new(data), edit_history)?)
}

/// Replaces the top-level element with this name, or adds it.
fn replace_child(data: &mut Element, name: &str, element: Element) {
    data.children.retain(|child| child.name != name);
    data.children.push(Arc::new(element));
}

/// Parses the stored `<fleet>`. A confirmed commit that a restart interrupted is rolled back (RFC 6241, section 8.4.1).
fn stored_fleet(accepted: &AcceptedState) -> Result<Element, StartError> {
    if accepted.rollback_entries.is_some() {
        tracing::warn!("a confirmed commit was never confirmed: it is rolled back");
    }
    let entries = accepted.rollback_entries.as_ref().unwrap_or(&accepted.entries);
    let text = format!("<fleet xmlns=\"{FLEET_NAMESPACE}\">{}</fleet>", entries.concat());
    Element::parse(&text).map_err(|error| StartError::StoredFleet(error.reason))
}

fn restored_edit(edit: AcceptedEdit) -> StoredEdit {
    StoredEdit { id: edit.id, author: edit.author, digest: edit.digest, accepted_ms: edit.accepted_ms }
}

fn legacy_edit_history(accepted: &Element) -> EditHistory {
    let text = |edit: &Element, name: &str| edit.text_of(name).unwrap_or_default().to_string();
    let read_edit = |edit: &Arc<Element>| StoredEdit {
        id: text(edit, "id"),
        author: text(edit, "who"),
        digest: text(edit, "digest"),
        accepted_ms: text(edit, "accepted").parse().unwrap_or(0),
    };
    let edits =
        accepted.child("ledger").map(|ledger| ledger.named("edit").map(read_edit).collect::<Vec<_>>());
    EditHistory::restore(edits.unwrap_or_default().into_iter())
}

/// Hints for servers that are listed unchanged, from what an earlier start learned of them; they decay with its age.
pub(super) fn warm_start_hints(restored: &RestoredState, inventory: &Inventory) -> Vec<ServerHint> {
    let Some(learned) = &restored.learned else { return vec![] };
    let hint = |(name, server): (&String, &Server)| {
        let hint = learned.hint(wall_ms(), name, &server.address.to_string(), server.started_ms)?;
        Some(ServerHint { name: name.clone(), speed_factor: hint.speed_factor, suspicion: hint.suspicion })
    };
    inventory.servers().iter().filter_map(hint).collect()
}
