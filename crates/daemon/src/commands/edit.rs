//! `runloom edit`: edits a planner's fleet.

use super::connection::ConnectionOptions;
use super::error::{file_error, CommandError};
use crate::client::{edit_config, Client, ClientError};
use crate::wall_ms;
use runloom_model::{FLEET_NAMESPACE, STATE_NAMESPACE};
use runloom_netconf::tree::Element;
use runloom_netconf::NOTIFICATION;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What an edit changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// The content of `<config>`, from a file.
    File(PathBuf),
    /// Drains a server.
    Drain(String),
    /// Ends the drain of a server.
    Undrain(String),
    /// Sets the share of a zone, as `zone=0.5`.
    Share(String),
}

impl FleetChange {
    /// The change that the command's options give; exactly one of them must be present.
    pub fn from_options(
        file: Option<PathBuf>,
        drain: Option<String>,
        undrain: Option<String>,
        share: Option<String>,
    ) -> Result<FleetChange, CommandError> {
        match (file, drain, undrain, share) {
            (Some(file), None, None, None) => Ok(FleetChange::File(file)),
            (None, Some(server), None, None) => Ok(FleetChange::Drain(server)),
            (None, None, Some(server), None) => Ok(FleetChange::Undrain(server)),
            (None, None, None, Some(share)) => Ok(FleetChange::Share(share)),
            _ => Err(CommandError::AmbiguousEdit),
        }
    }

    /// The content of `<config>`.
    fn config(&self) -> Result<Element, CommandError> {
        match self {
            FleetChange::File(file) => read_config(file),
            FleetChange::Drain(server) => Ok(drain_config(server, true)),
            FleetChange::Undrain(server) => Ok(drain_config(server, false)),
            FleetChange::Share(share) => share_config(share),
        }
    }
}

fn read_config(file: &Path) -> Result<Element, CommandError> {
    let text = std::fs::read_to_string(file).map_err(file_error(file))?;
    Element::parse(&text).map_err(|malformed| CommandError::MalformedXml {
        path: file.to_path_buf(),
        line: malformed.line,
        column: malformed.column,
        reason: malformed.reason,
    })
}

fn drain_config(server: &str, is_draining: bool) -> Element {
    let server =
        Element::new(FLEET_NAMESPACE, "server").with_leaf("name", server).with_leaf("drain", is_draining);
    Element::new(FLEET_NAMESPACE, "fleet").with(server)
}

fn share_config(share: &str) -> Result<Element, CommandError> {
    let (zone, share) = share.split_once('=').ok_or(CommandError::MalformedShare)?;
    let zone = Element::new(FLEET_NAMESPACE, "zone").with_leaf("name", zone).with_leaf("share", share);
    Ok(Element::new(FLEET_NAMESPACE, "fleet").with(zone))
}

/// Sends an edit, and waits until it is in force if `wait` is set. An edit to wait for needs an id; without one it gets
/// a generated id.
pub fn edit(
    connection: &ConnectionOptions,
    id: Option<String>,
    change: &FleetChange,
    wait: bool,
) -> Result<(), CommandError> {
    let config = change.config()?;
    let mut client = connection.open()?;
    if wait {
        client.call(Element::new(NOTIFICATION, "create-subscription"), None)?;
    }
    let id = id.or_else(|| wait.then(|| format!("{}-{}", std::process::id(), wall_ms())));
    let id = id.as_deref();
    client.call(edit_config("running", config), id).map_err(|error| edit_error(error, id))?;
    println!("accepted{}", id.map(|id| format!(" {id}")).unwrap_or_default());
    if wait {
        let event = wait_until_in_force(&mut client, id)?;
        let field = |name| event.text_of(name).unwrap_or("?").to_string();
        println!("in force at {} of {} proxies", field("at"), field("of"));
    }
    Ok(client.close()?)
}

/// The outcome of an edit is unknown unless the planner rejected it.
fn edit_error(error: ClientError, id: Option<&str>) -> CommandError {
    match (error, id) {
        (error @ ClientError::Rejected(_), _) | (error, None) => CommandError::Client(error),
        (source, Some(id)) => CommandError::UnknownOutcome { id: id.to_string(), source },
    }
}

fn wait_until_in_force(client: &mut Client, id: Option<&str>) -> Result<Element, ClientError> {
    let is_edit = |event: &Element| event.name == "edit-in-force" && event.text_of("id") == id;
    client.wait_for_notification(is_edit).or_else(|error| find_in_force(client, id).ok_or(error))
}

/// Returns the edit from the planner's state, if it is in force there. No notification follows for a repeated edit that
/// was already in force.
fn find_in_force(client: &mut Client, id: Option<&str>) -> Option<Element> {
    let reply = client.get(Element::new(STATE_NAMESPACE, "state")).ok()?;
    let state = reply.child("data")?.child("state")?;
    let is_in_force =
        |edit: &&Arc<Element>| edit.text_of("id") == id && edit.text_of("state") == Some("in-force");
    let edit = state.named("edit").find(is_in_force)?;
    Some((**edit).clone())
}
