//! `runloom show`: prints a planner's state or configuration.

use super::connection::ConnectionOptions;
use super::error::CommandError;
use runloom_model::{FLEET_NAMESPACE, STATE_NAMESPACE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;

/// Prints a planner's `state`, `fleet` or `roster`, or with an id only that edit of it.
pub fn show(
    connection: &ConnectionOptions,
    subject: &str,
    edit_id: Option<&str>,
) -> Result<(), CommandError> {
    let filter = match subject {
        "state" => Element::new(STATE_NAMESPACE, "state"),
        "fleet" | "roster" => Element::new(FLEET_NAMESPACE, subject),
        other => return Err(CommandError::UnknownSubject(other.to_string())),
    };
    let mut client = connection.open()?;
    let reply = client.get(filter)?;
    let data = reply.child("data").cloned().unwrap_or_else(|| Element::new(BASE, "data"));
    for part in &data.children {
        match edit_id {
            None => print!("{}", part.to_pretty()),
            Some(id) => print!("{}", find_edit(part, id)?.to_pretty()),
        }
    }
    Ok(client.close()?)
}

fn find_edit<'a>(part: &'a Element, id: &str) -> Result<&'a Element, CommandError> {
    let edit = part.named("edit").find(|edit| edit.text_of("id") == Some(id));
    edit.map(|edit| &**edit).ok_or_else(|| CommandError::UnknownEdit(id.to_string()))
}
