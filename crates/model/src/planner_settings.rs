//! A planner's settings file (`<planner>`).

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

/// Default size limit of the event log in bytes.
const DEFAULT_MAX_RECORD_BYTES: u64 = 2 << 30;
/// Shifting a number of mebibytes to the left by this many bits converts it to bytes.
const MEBIBYTE_SHIFT: u32 = 20;

/// A planner's own settings.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    /// Name of the planner.
    pub name: String,
    /// Address on which it accepts NETCONF sessions of operators.
    pub operator_address: SocketAddr,
    /// Address on which it accepts call-home connections of proxies (RFC 8071).
    pub call_home_address: SocketAddr,
    /// Address on which proxies subscribe to their tables; `None` disables subscriptions.
    pub subscription_address: Option<SocketAddr>,
    /// Address on which it serves metrics; `None` disables them.
    pub metrics_address: Option<SocketAddr>,
    /// Its state folder.
    pub state_folder: PathBuf,
    /// Folder of its event log; `None` if it writes none.
    pub record_folder: Option<PathBuf>,
    /// Size limit of the event log in bytes.
    pub max_record_bytes: u64,
    /// Its certificates and access rules.
    pub tls: TlsFiles,
    /// `<fleet>` and `<roster>` as they are at its first start.
    pub initial_data: Arc<Element>,
}

impl PlannerSettings {
    /// Reads `<planner>`, which must be valid by the schema.
    pub fn read(planner: &Element) -> Result<PlannerSettings, InvalidSettings> {
        let initial_data = read_initial_data(planner)?;
        let reader = LeafReader { element: planner, path: "/planner" };
        let address = |name: &str| {
            reader.text(name).parse().map_err(|_| reader.invalid_leaf(name, "is not a valid address"))
        };
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

/// Reads `<fleet>` and `<roster>`, and checks that each listed server is in a zone of the fleet.
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
