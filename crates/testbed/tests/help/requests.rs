//! Edits and queries that tests send to a planner.

use runloom_daemon::client::Client;
use runloom_model::{FLEET_NAMESPACE, STATE_NAMESPACE};
use runloom_netconf::tree::Element;
use runloom_netconf::BASE;

/// An operation with an empty element for each parameter.
pub fn operation(name: &str, parameters: &[&str]) -> Element {
    let empty = |parameter: &&str| Element::new(BASE, parameter);
    parameters.iter().map(empty).fold(Element::new(BASE, name), Element::with)
}

/// The operation that reads the running configuration.
pub fn get_config() -> Element {
    Element::new(BASE, "get-config").with(operation("source", &["running"]))
}

fn fleet_with(server: Element) -> Element {
    Element::new(FLEET_NAMESPACE, "fleet").with(server)
}

fn new_server(name: &str) -> Element {
    let server = Element::new(FLEET_NAMESPACE, "server").with_attribute(BASE, "operation", "create");
    server.with_leaf("name", name)
}

/// An edit that creates a fleet entry that drains a server. It is rejected if the entry exists.
pub fn create_drained_server(name: &str) -> Element {
    fleet_with(new_server(name).with_leaf("drain", true))
}

/// An edit that creates a fleet entry with a server's weight. It is rejected if the entry exists.
pub fn create_weighted_server(name: &str) -> Element {
    fleet_with(new_server(name).with_leaf("weight", 0.5))
}

/// An edit that sets a server's weight.
pub fn set_weight(name: &str) -> Element {
    fleet_with(Element::new(FLEET_NAMESPACE, "server").with_leaf("name", name).with_leaf("weight", 0.5))
}

/// An edit that drains a server.
pub fn drain_server(name: &str) -> Element {
    fleet_with(Element::new(FLEET_NAMESPACE, "server").with_leaf("name", name).with_leaf("drain", true))
}

/// The feed's edit that adds servers to the endpoint list.
pub fn list_servers(names: &[&str]) -> Element {
    let server = |name: &&str| {
        Element::new(FLEET_NAMESPACE, "server")
            .with_leaf("name", name)
            .with_leaf("address", "127.0.0.1:9")
            .with_leaf("zone", "a")
            .with_leaf("mode", "ready")
    };
    names.iter().map(server).fold(Element::new(FLEET_NAMESPACE, "roster"), Element::with)
}

/// Reads a part of the running configuration: `fleet` or `roster`.
pub fn read_config(client: &mut Client, part: &str) -> Element {
    let reply = client.call(get_config(), None).unwrap();
    reply.child("data").unwrap().child(part).cloned().unwrap()
}

/// Reads the names of the servers in a part of the running configuration.
pub fn server_names(client: &mut Client, part: &str) -> Vec<String> {
    let part = read_config(client, part);
    part.named("server").filter_map(|server| server.text_of("name").map(str::to_string)).collect()
}

fn read_edits(client: &mut Client) -> Element {
    let reply = client
        .get(Element::new(STATE_NAMESPACE, "state").with(Element::new(STATE_NAMESPACE, "edit")))
        .unwrap();
    reply.child("data").and_then(|data| data.child("state")).cloned().unwrap_or_default()
}

/// Reads the ids in the planner's edit history.
pub fn edit_ids(client: &mut Client) -> Vec<String> {
    let state = read_edits(client);
    state.named("edit").filter_map(|edit| edit.text_of("id").map(str::to_string)).collect()
}

/// Reads the state of an edit in the planner's history; empty for an unknown edit.
pub fn edit_state(client: &mut Client, id: &str) -> String {
    let state = read_edits(client);
    let edit = state.named("edit").find(|edit| edit.text_of("id") == Some(id));
    edit.and_then(|edit| edit.text_of("state").map(str::to_string)).unwrap_or_default()
}
