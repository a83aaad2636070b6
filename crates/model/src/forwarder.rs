//! A forwarder's settings, typed.

use crate::fleet::{classes_of, Class, InvalidSettings, TlsFiles};
use runloom_netconf::tree::Element;
use std::net::SocketAddr;
use std::time::Duration;

/// How a proxy is told its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TableDelivery {
    /// The planner edits them.
    #[default]
    Edits,
    /// It subscribes to them.
    Weights,
    /// It subscribes to subsets of servers, and picks among them evenly.
    Subsets,
}

impl TableDelivery {
    fn named(word: Option<&str>) -> TableDelivery {
        match word {
            Some("pubsub") => TableDelivery::Weights,
            Some("pubsub-subsets") => TableDelivery::Subsets,
            _ => TableDelivery::Edits,
        }
    }
}

#[derive(Debug, Clone)]
pub struct ProxySettings {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    /// How it is told its tables.
    pub front: TableDelivery,
    /// Planners to dial, in this order: where they take those who are told in this way.
    pub planners: Vec<SocketAddr>,
    pub papers: TlsFiles,
    pub pick: String,
    pub shun_after: u32,
    pub shun_for: Duration,
    pub report: Duration,
    pub classes: Vec<Class>,
    pub standing: Vec<(String, SocketAddr)>,
}

impl ProxySettings {
    /// Reads `<forwarder>`, which the schema has found valid.
    pub fn read(e: &Element) -> Result<ProxySettings, InvalidSettings> {
        let text = |name: &str| e.text_of(name).unwrap_or_default().to_string();
        let misfit = |name: &str| InvalidSettings {
            path: format!("/forwarder/{name}"),
            reason: "has no usable value".into(),
        };
        let address = |text: &str, name: &str| text.parse::<SocketAddr>().map_err(|_| misfit(name));
        let span = |name: &str| text(name).parse().map(Duration::from_millis).map_err(|_| misfit(name));
        let planners = e.named("planner").map(|p| address(&p.text, "planner")).collect::<Result<_, _>>()?;
        let standing = e.named("standing").map(|s| {
            let at = address(s.text_of("address").unwrap_or_default(), "standing/address")?;
            Ok((s.text_of("name").unwrap_or_default().to_string(), at))
        });
        Ok(ProxySettings {
            name: text("name"),
            zone: text("zone"),
            listen: address(&text("listen"), "listen")?,
            front: TableDelivery::named(e.text_of("front")),
            planners,
            papers: TlsFiles::read(e)?,
            pick: text("pick"),
            shun_after: text("shun-after").parse().map_err(|_| misfit("shun-after"))?,
            shun_for: span("shun-ms")?,
            report: span("report-ms")?,
            classes: classes_of(e)?,
            standing: standing.collect::<Result<_, InvalidSettings>>()?,
        })
    }
}
