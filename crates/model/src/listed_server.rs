//! Servers in the endpoint list from discovery: `<server>` in `<roster>`.

use crate::fleet::Fleet;
use crate::leaf_reader::LeafReader;
use crate::settings_error::InvalidSettings;
use crate::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use std::net::SocketAddr;

/// A server as the endpoint list describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Its kind of machine; empty if not listed.
    pub kind: String,
    /// Number of its cell, a group of machines that share some resource; 0 if not listed.
    pub cell: u64,
    /// Whether it finishes its current requests and accepts no new ones.
    pub is_draining: bool,
    /// Its weight relative to other servers; 1 if not listed.
    pub weight: f64,
    /// When its process started, in milliseconds since 1970; `None` if not listed.
    pub started_ms: Option<u64>,
}

impl ListedServer {
    /// Reads `<server>` into the server's name and its description.
    pub fn read(element: &Element) -> Result<(String, ListedServer), InvalidSettings> {
        let name = element.text_of("name").unwrap_or_default().to_string();
        let path = path_of(&name);
        let reader = LeafReader { element, path: &path };
        let address = reader.text("address").parse();
        let listed = ListedServer {
            address: address.map_err(|_| reader.invalid_leaf("address", "is no address"))?,
            zone: reader.text("zone").to_string(),
            kind: reader.text("kind").to_string(),
            cell: reader.optional_number("cell")?.unwrap_or(0.0) as u64,
            is_draining: reader.text("mode") == "draining",
            weight: reader.optional_number("weight")?.unwrap_or(1.0),
            started_ms: element.text_of("started").and_then(|text| text.parse().ok()),
        };
        Ok((name, listed))
    }

    /// Writes the `<server>` element of a server with this name; the counterpart of [`ListedServer::read`].
    pub fn to_element(&self, name: &str) -> Element {
        let mut element = Element::new(FLEET_NAMESPACE, "server")
            .with_leaf("name", name)
            .with_leaf("address", self.address)
            .with_leaf("zone", &self.zone);
        if !self.kind.is_empty() {
            element = element.with_leaf("kind", &self.kind);
        }
        element = element
            .with_leaf("cell", self.cell)
            .with_leaf("mode", if self.is_draining { "draining" } else { "ready" })
            .with_leaf("weight", self.weight);
        match self.started_ms {
            Some(started_ms) => element.with_leaf("started", started_ms),
            None => element,
        }
    }

    /// Returns an error if the fleet has no zone of the server's zone name.
    pub fn check_zone(&self, name: &str, fleet: &Fleet) -> Result<(), InvalidSettings> {
        if fleet.zones.iter().any(|zone| zone.name == self.zone) {
            return Ok(());
        }
        Err(InvalidSettings {
            path: format!("{}/zone", path_of(name)),
            reason: format!("there is no zone {}", self.zone),
        })
    }
}

fn path_of(name: &str) -> String {
    format!("/roster/server[name='{name}']")
}
