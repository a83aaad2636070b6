//! A forwarder's settings, typed.

use crate::fleet::{classes_of, Class, Misfit, Papers};
use runloom_netconf::tree::Element;
use std::net::SocketAddr;
use std::time::Duration;

/// How a proxy is told its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Told {
    /// The planner edits them.
    #[default]
    Edits,
    /// It subscribes to them.
    Weights,
    /// It subscribes to subsets of servers, and picks among them evenly.
    Subsets,
}

impl Told {
    fn named(word: Option<&str>) -> Told {
        match word {
            Some("pubsub") => Told::Weights,
            Some("pubsub-subsets") => Told::Subsets,
            _ => Told::Edits,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Stand {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    /// How it is told its tables.
    pub front: Told,
    /// Planners to dial, in this order: where they take those who are told in this way.
    pub planners: Vec<SocketAddr>,
    pub papers: Papers,
    pub pick: String,
    pub shun_after: u32,
    pub shun_for: Duration,
    pub report: Duration,
    pub classes: Vec<Class>,
    pub standing: Vec<(String, SocketAddr)>,
}

impl Stand {
    /// Reads `<forwarder>`, which the schema has found valid.
    pub fn read(e: &Element) -> Result<Stand, Misfit> {
        let text = |name: &str| e.text_of(name).unwrap_or_default().to_string();
        let misfit =
            |name: &str| Misfit { path: format!("/forwarder/{name}"), reason: "has no usable value".into() };
        let address = |text: &str, name: &str| text.parse::<SocketAddr>().map_err(|_| misfit(name));
        let span = |name: &str| text(name).parse().map(Duration::from_millis).map_err(|_| misfit(name));
        let planners = e.named("planner").map(|p| address(&p.text, "planner")).collect::<Result<_, _>>()?;
        let standing = e.named("standing").map(|s| {
            let at = address(s.text_of("address").unwrap_or_default(), "standing/address")?;
            Ok((s.text_of("name").unwrap_or_default().to_string(), at))
        });
        Ok(Stand {
            name: text("name"),
            zone: text("zone"),
            listen: address(&text("listen"), "listen")?,
            front: Told::named(e.text_of("front")),
            planners,
            papers: Papers::read(e)?,
            pick: text("pick"),
            shun_after: text("shun-after").parse().map_err(|_| misfit("shun-after"))?,
            shun_for: span("shun-ms")?,
            report: span("report-ms")?,
            classes: classes_of(e)?,
            standing: standing.collect::<Result<_, Misfit>>()?,
        })
    }
}
