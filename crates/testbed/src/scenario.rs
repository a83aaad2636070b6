//! A scripted day: sizes, traffic, troubles and edits at their times, as XML with a schema.

use runloom_model::schema::SchemaValidator;
use runloom_netconf::tree::Element;
use std::path::Path;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct ScheduledFault {
    pub at: Duration,
    pub kind: String,
    pub count: usize,
    pub lasts: Duration,
    pub size: f64,
    /// Servers by name; none: drawn by chance.
    pub servers: Vec<String>,
}

#[derive(Debug, Clone)]
pub struct Edit {
    pub at: Duration,
    pub id: String,
    pub share: Option<(String, String)>,
    pub drain: Option<(String, bool)>,
    pub dropped: bool,
}

/// How forwarders are told their tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum Fronts {
    /// By edits.
    #[default]
    Netconf,
    /// They subscribe.
    Pubsub,
    /// Every other one subscribes.
    Mixed,
    /// They subscribe to subsets.
    Subsets,
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub lasts: Duration,
    pub servers: usize,
    pub forwarders: usize,
    pub zones: usize,
    pub planners: usize,
    pub rate: f64,
    pub work: Duration,
    pub cores: usize,
    pub warm: Duration,
    pub drain: Duration,
    pub bare: Duration,
    pub feed_late: Duration,
    pub only_drains_bind: bool,
    pub pick: String,
    pub levels: String,
    pub lines_per_second: u64,
    /// The planners' `<fleet>`, if another than the day's own.
    pub fleet: Option<String>,
    pub fronts: Fronts,
    /// Planners and proxies have SPIFFE identities that live so long, and get new ones at half of it.
    pub lives: Option<Duration>,
    /// Whether planners record.
    pub recorded: bool,
    pub troubles: Vec<ScheduledFault>,
    pub edits: Vec<Edit>,
}

/// The days that come with the rig.
pub const SHIPPED: [(&str, &str); 7] = [
    ("surge", include_str!("../days/surge.xml")),
    ("deploy", include_str!("../days/deploy.xml")),
    ("demo", include_str!("../days/demo.xml")),
    ("quiet", include_str!("../days/quiet.xml")),
    ("bad-day", include_str!("../days/bad-day.xml")),
    ("edits-under-failure", include_str!("../days/edits-under-failure.xml")),
    ("restart-storm", include_str!("../days/restart-storm.xml")),
];

/// Reads a day: a file, or one of the shipped by its name.
pub fn read(name: &str) -> Result<Scenario, String> {
    let shipped = SHIPPED.iter().find(|(n, _)| *n == name).map(|(_, text)| text.to_string());
    let text = match shipped {
        Some(text) => text,
        None => std::fs::read_to_string(Path::new(name)).map_err(|e| format!("{name}: {e}"))?,
    };
    let faults = SchemaValidator::new(include_str!("day.xsd"))?.validate(&text);
    if !faults.is_empty() {
        return Err(faults.iter().map(|f| format!("{name}:{f}")).collect::<Vec<_>>().join("\n"));
    }
    let e = Element::parse(&text).map_err(|e| format!("{name}:{}:{}: {}", e.line, e.column, e.reason))?;
    Ok(typed(&e))
}

fn number(e: &Element, name: &str, usual: f64) -> f64 {
    e.text_of(name).and_then(|t| t.parse().ok()).unwrap_or(usual)
}

fn typed(e: &Element) -> Scenario {
    let n = |name| number(e, name, 0.0);
    let seconds = |e: &Element, name| Duration::from_secs_f64(number(e, name, 0.0).max(0.0));
    let ms = |name| Duration::from_secs_f64(n(name).max(0.0) / 1000.0);
    let text = |e: &Element, name| e.text_of(name).unwrap_or_default().to_string();
    let trouble = |t: &Element| ScheduledFault {
        at: seconds(t, "at"),
        kind: text(t, "kind"),
        count: number(t, "count", 1.0) as usize,
        lasts: seconds(t, "seconds"),
        size: number(t, "size", 1.0),
        servers: t.named("server").map(|s| s.text.clone()).collect(),
    };
    let edit = |t: &Element| Edit {
        at: seconds(t, "at"),
        id: text(t, "id"),
        share: t.text_of("zone").map(|z| (z.to_string(), text(t, "share"))),
        drain: t.text_of("server").map(|s| (s.to_string(), text(t, "drain") == "true")),
        dropped: text(t, "dropped") == "true",
    };
    Scenario {
        lasts: seconds(e, "seconds"),
        servers: n("servers") as usize,
        forwarders: n("forwarders") as usize,
        zones: (n("zones") as usize).max(1),
        planners: (n("planners") as usize).max(1),
        rate: n("rate"),
        work: ms("work-ms"),
        cores: (n("cores") as usize).max(1),
        warm: ms("warm-ms"),
        drain: ms("drain-ms"),
        bare: ms("bare-ms"),
        feed_late: ms("feed-late-ms"),
        only_drains_bind: text(e, "only-drains-bind") == "true",
        pick: text(e, "pick"),
        levels: text(e, "levels"),
        lines_per_second: number(e, "lines-per-second", 20_000.0) as u64,
        fleet: None,
        fronts: Fronts::default(),
        lives: None,
        recorded: true,
        troubles: e.named("trouble").map(|t| trouble(t)).collect(),
        edits: e.named("edit").map(|t| edit(t)).collect(),
    }
}
