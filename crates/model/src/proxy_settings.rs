//! A proxy's settings file (`<forwarder>`).

use crate::settings_error::InvalidSettings;
use crate::tls_files::TlsFiles;
use crate::traffic_class::ClassSettings;
use runloom_netconf::tree::Element;
use std::net::SocketAddr;
use std::time::Duration;

/// How a proxy receives its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TableDelivery {
    /// The planner edits the proxy's datastore by NETCONF.
    #[default]
    Edits,
    /// The proxy subscribes to tables with weights.
    Weights,
    /// The proxy subscribes to subsets of servers, and selects among them with equal weights.
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
    /// Name under which it connects to planners.
    pub name: String,
    /// Name of its zone.
    pub zone: String,
    /// Address on which it accepts clients.
    pub listen_address: SocketAddr,
    /// How it receives its tables.
    pub table_delivery: TableDelivery,
    /// Planners in the order in which it tries them. Each address must be the planner's address for `table_delivery`.
    pub planner_addresses: Vec<SocketAddr>,
    /// Its certificates and access rules.
    pub tls: TlsFiles,
    /// How it selects a server: `chance` for random, `turns` for round robin, any other for the less loaded of two.
    pub selection: String,
    /// Consecutive failures of a server after which its circuit breaker opens and it gets no requests.
    pub circuit_breaker_failures: u32,
    /// How long the circuit breaker stays open.
    pub circuit_breaker_open: Duration,
    /// Time between two of its reports.
    pub report_period: Duration,
    /// Traffic classes that it serves.
    pub classes: Vec<ClassSettings>,
    /// Names and addresses of servers that it uses until a planner publishes tables.
    pub static_servers: Vec<(String, SocketAddr)>,
}

impl ProxySettings {
    /// Reads `<forwarder>`, which must be valid by the schema.
    pub fn read(forwarder: &Element) -> Result<ProxySettings, InvalidSettings> {
        let text = |name: &str| forwarder.text_of(name).unwrap_or_default().to_string();
        let duration =
            |name: &str| text(name).parse().map(Duration::from_millis).map_err(|_| invalid_value(name));
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
            circuit_breaker_failures: failures.map_err(|_| invalid_value("shun-after"))?,
            circuit_breaker_open: duration("shun-ms")?,
            report_period: duration("report-ms")?,
            classes: ClassSettings::read_all(forwarder)?,
            static_servers: read_static_servers(forwarder)?,
        })
    }
}

fn read_static_servers(forwarder: &Element) -> Result<Vec<(String, SocketAddr)>, InvalidSettings> {
    let mut servers = Vec::new();
    for element in forwarder.named("standing") {
        let address = element.text_of("address").unwrap_or_default();
        let address = parse_address(address, "standing/address")?;
        servers.push((element.text_of("name").unwrap_or_default().to_string(), address));
    }
    Ok(servers)
}

fn parse_address(text: &str, name: &str) -> Result<SocketAddr, InvalidSettings> {
    text.parse().map_err(|_| invalid_value(name))
}

fn invalid_value(name: &str) -> InvalidSettings {
    InvalidSettings { path: format!("/forwarder/{name}"), reason: "is not a valid value".into() }
}
