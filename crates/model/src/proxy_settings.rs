//! A proxy's settings file: `<forwarder>`.

use crate::settings_error::InvalidSettings;
use crate::tls_files::TlsFiles;
use crate::traffic_class::ClassSettings;
use runloom_netconf::tree::Element;
use std::net::SocketAddr;
use std::time::Duration;

/// How a proxy gets its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TableDelivery {
    /// The planner edits them.
    #[default]
    Edits,
    /// It subscribes to them.
    Weights,
    /// It subscribes to subsets of servers, and selects among them evenly.
    Subsets,
}

impl TableDelivery {
    fn read(word: Option<&str>) -> TableDelivery {
        match word {
            Some("pubsub") => TableDelivery::Weights,
            Some("pubsub-subsets") => TableDelivery::Subsets,
            _ => TableDelivery::Edits,
        }
    }
}

/// A proxy's own settings.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// How it gets its tables.
    pub table_delivery: TableDelivery,
    /// Planners in the order in which it connects to them, at the addresses for its delivery.
    pub planner_addresses: Vec<SocketAddr>,
    /// Its certificates.
    pub tls: TlsFiles,
    /// How it selects a server: `chance`, `turns`, or the less loaded of two.
    pub selection: String,
    /// Failures in a row after which it sends a server no requests for a time.
    pub circuit_breaker_failures: u32,
    /// That time.
    pub circuit_breaker_open: Duration,
    /// Time between its reports.
    pub report_period: Duration,
    /// Traffic classes.
    pub classes: Vec<ClassSettings>,
    /// Servers that it uses until a planner publishes tables.
    pub static_servers: Vec<(String, SocketAddr)>,
}

impl ProxySettings {
    /// Reads `<forwarder>`, which is valid by the schema.
    pub fn read(forwarder: &Element) -> Result<ProxySettings, InvalidSettings> {
        let text = |name: &str| forwarder.text_of(name).unwrap_or_default().to_string();
        let duration = |name: &str| text(name).parse().map(Duration::from_millis).map_err(|_| invalid(name));
        let planners = forwarder.named("planner").map(|planner| parse_address(&planner.text, "planner"));
        let planner_addresses = planners.collect::<Result<_, _>>()?;
        let failures = text("shun-after").parse();
        Ok(ProxySettings {
            name: text("name"),
            zone: text("zone"),
            listen_address: parse_address(&text("listen"), "listen")?,
            table_delivery: TableDelivery::read(forwarder.text_of("front")),
            planner_addresses,
            tls: TlsFiles::read(forwarder)?,
            selection: text("pick"),
            circuit_breaker_failures: failures.map_err(|_| invalid("shun-after"))?,
            circuit_breaker_open: duration("shun-ms")?,
            report_period: duration("report-ms")?,
            classes: ClassSettings::read_all(forwarder)?,
            static_servers: read_static_servers(forwarder)?,
        })
    }
}

fn read_static_servers(forwarder: &Element) -> Result<Vec<(String, SocketAddr)>, InvalidSettings> {
    let mut servers = Vec::new();
    for standing in forwarder.named("standing") {
        let address = standing.text_of("address").unwrap_or_default();
        let address = parse_address(address, "standing/address")?;
        servers.push((standing.text_of("name").unwrap_or_default().to_string(), address));
    }
    Ok(servers)
}

fn parse_address(text: &str, name: &str) -> Result<SocketAddr, InvalidSettings> {
    text.parse().map_err(|_| invalid(name))
}

fn invalid(name: &str) -> InvalidSettings {
    InvalidSettings { path: format!("/forwarder/{name}"), reason: "has no usable value".into() }
}
