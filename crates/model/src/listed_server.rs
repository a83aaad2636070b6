//! Servers as discovery lists them: `<server>` in `<roster>`.

use crate::fleet::Fleet;
use crate::leaf_reader::LeafReader;
use crate::settings_error::InvalidSettings;
use crate::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use std::net::SocketAddr;

/// A listed server.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine; may be empty.
    pub kind: String,
    /// Its cell, a group of machines that share something.
    pub cell: u64,
    /// It finishes the requests that it has and takes no more.
    pub is_draining: bool,
    /// Its weight.
    pub weight: f64,
    /// When its process started, in milliseconds since 1970.
    pub started_ms: Option<u64>,
}

impl ListedServer {
    /// Reads `<server>`: its name, and the server.
    pub fn read(element: &Element) -> Result<(String, ListedServer), InvalidSettings> {
        let name = element.text_of("name").unwrap_or_default().to_string();
        let path = path_of(&name);
        let reader = LeafReader { element, path: &path };
        let address = reader.text("address").parse();
        let listed = ListedServer {
            address: address.map_err(|_| reader.invalid("address", "is no address"))?,
            zone: reader.text("zone").to_string(),
            kind: reader.text("kind").to_string(),
            cell: reader.optional_number("cell")?.unwrap_or(0.0) as u64,
            is_draining: reader.text("mode") == "draining",
            weight: reader.optional_number("weight")?.unwrap_or(1.0),
            started_ms: element.text_of("started").and_then(|text| text.parse().ok()),
        };
        Ok((name, listed))
    }

    /// The `<server>` element.
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

    /// Checks that the server's zone is one of the fleet's.
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
