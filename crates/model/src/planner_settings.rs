//! A planner's settings file: `<planner>`.

use crate::fleet::Fleet;
use crate::leaf_reader::{required_child, LeafReader};
use crate::listed_server::ListedServer;
use crate::settings_error::InvalidSettings;
use crate::tls_files::TlsFiles;
use crate::FLEET_NAMESPACE;
use runloom_netconf::tree::Element;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Size limit of the event log in bytes, where the settings have none.
const DEFAULT_MAX_RECORD_BYTES: u64 = 2 << 30;
/// Bits of a mebibyte.
const MEBIBYTE_SHIFT: u32 = 20;

/// A planner's own settings.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    /// Its name.
    pub name: String,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where proxies call home (RFC 8071).
    pub call_home_address: SocketAddr,
    /// Where proxies subscribe to their tables, if they may.
    pub subscription_address: Option<SocketAddr>,
    /// Where metrics are read, if they are.
    pub metrics_address: Option<SocketAddr>,
    /// The folder with its state.
    pub state_folder: PathBuf,
    /// The folder of its event log, if it writes one.
    pub record_folder: Option<PathBuf>,
    /// Size limit of the event log in bytes.
    pub max_record_bytes: u64,
    /// Its certificates and access rules.
    pub tls: TlsFiles,
    /// `<fleet>` and `<roster>` at its first start.
    pub initial_data: Arc<Element>,
}

impl PlannerSettings {
    /// Reads `<planner>`, which is valid by the schema.
    pub fn read(planner: &Element) -> Result<PlannerSettings, InvalidSettings> {
        let initial_data = read_initial_data(planner)?;
        let reader = LeafReader { element: planner, path: "/planner" };
        let address =
            |name: &str| reader.text(name).parse().map_err(|_| reader.invalid(name, "is no address"));
        let optional_address = |name: &str| planner.child(name).map(|_| address(name)).transpose();
        Ok(PlannerSettings {
            name: reader.text("name").to_string(),
            operator_address: address("edits")?,
            call_home_address: address("home")?,
            subscription_address: optional_address("pubsub")?,
            metrics_address: optional_address("metrics")?,
            state_folder: PathBuf::from(reader.text("folder")),
            record_folder: record_leaf(planner, "folder").map(PathBuf::from),
            max_record_bytes: max_record_bytes(planner),
            tls: TlsFiles::read(planner)?,
            initial_data: Arc::new(initial_data),
        })
    }
}

fn record_leaf<'a>(planner: &'a Element, name: &'a str) -> Option<&'a str> {
    planner.child("record").and_then(|record| record.text_of(name))
}

fn max_record_bytes(planner: &Element) -> u64 {
    let mebibytes = record_leaf(planner, "megabytes").and_then(|text| text.parse::<u64>().ok());
    mebibytes.map_or(DEFAULT_MAX_RECORD_BYTES, |mebibytes| mebibytes << MEBIBYTE_SHIFT)
}

/// `<fleet>` and `<roster>`, which fit each other.
fn read_initial_data(planner: &Element) -> Result<Element, InvalidSettings> {
    let fleet_element = required_child(planner, "fleet")?;
    let fleet = Fleet::read(fleet_element)?;
    let empty = Element::new(FLEET_NAMESPACE, "roster");
    let roster = planner.child("roster").unwrap_or(&empty);
    let servers = roster.named("server").map(|server| ListedServer::read(server));
    let servers: BTreeMap<String, ListedServer> = servers.collect::<Result<_, _>>()?;
    for (name, server) in &servers {
        server.check_zone(name, &fleet)?;
    }
    Ok(Element::new("", "data").with(fleet_element.clone()).with(roster.clone()))
}
