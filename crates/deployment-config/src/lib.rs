//! The platform's start message, told to every planner alike: its settings as [`Facts`], which the adapter
//! and the running planner both read here, so that the same decisions go by the same facts.

use runloom_controller::ids::Ids;
use runloom_controller::interface::{Fact, Facts};
use serde_json::Value;
use std::collections::BTreeMap;

/// The wire's name of each fact, and ours.
const FACT_NAMES: &[(&str, &str)] = &[
    ("balancers", "planners"),
    ("selfIndex", "self"),
    ("tickS", "tick"),
    ("registryMode", "list.mode"),
    ("weightSource", "list.weights"),
    ("stats.how", "reports.load"),
    ("limits.probing", "probes.allowed"),
    ("limits.peers", "peers.allowed"),
    ("limits.connIdleS", "connection.idle"),
    ("limits.connectTimeoutS", "connection.patience"),
    ("limits.streamsPerConn", "connection.queries"),
    ("familyInfo.connsLeast", "connection.least"),
    ("familyInfo.backlog", "channel.backlog"),
    ("familyInfo.channelRate", "channel.pace"),
    ("familyInfo.overhead", "channel.overhead"),
    ("familyInfo.reloadsMax", "channel.messages"),
    ("familyInfo.messagesOverS", "channel.messages_over"),
    ("familyInfo.transitS", "channel.transit"),
    ("familyInfo.lateMostS", "channel.transit_most"),
    ("familyInfo.unservedMaxS", "bare_most"),
    ("familyInfo.levelKind", "levels.kind"),
    ("familyInfo.retryDefault", "tries.usual"),
    ("familyInfo.tryAims", "tries.patience"),
    ("familyInfo.ranges", "slices"),
    ("familyInfo.exclusive", "slices.single_owner"),
    ("familyInfo.leaseS", "slices.lease"),
    ("familyInfo.bufferForS", "slices.wait"),
    ("familyInfo.lingersS", "writes.linger"),
    ("familyInfo.hearsPerS", "reports.pace"),
    ("familyInfo.periodS", "reports.period"),
    ("familyInfo.choice", "pick"),
    ("familyInfo.failsToEject", "shun.after"),
    ("familyInfo.proxies", "proxies"),
    ("familyInfo.defaultSize", "standing.size"),
    ("familyInfo.localFirst", "home_first"),
    ("familyInfo.warmKeys", "keys.warm"),
    ("familyInfo.pushPrice", "price.orders"),
    ("familyInfo.movePrice", "price.moves"),
    ("prices.crossZone", "price.cross_zone"),
    ("prices.waste", "price.waste"),
    ("prices.lateFail", "price.late_failure"),
    ("prices.probe", "price.probe"),
    ("prices.connection", "price.connection"),
    ("prices.handshake", "price.handshake"),
    ("rules.drainGraceS", "drain.grace"),
    ("rules.droppedStayOpen", "drain.marked_only"),
    ("rules.askEveryS", "list.ask_every"),
    ("rules.coldFrom", "cold.from"),
    ("rules.warmAfterS", "cold.warm_after"),
    ("rules.fallMultiple", "cold.multiple"),
    ("rules.fallS", "cold.span"),
];

/// The same for the keys of each class.
const CLASS_NAMES: &[(&str, &str)] = &[
    ("aimS", "soft_limit"),
    ("hardLimitS", "outer_limit"),
    ("credit", "payoff"),
    ("lateWorth", "late_share"),
    ("repeat", "repeat"),
    ("group", "repeat_group"),
    ("windowS", "repeat_window"),
];

/// The same for what a load report may hold.
const LOAD_NAMES: &[(&str, &str)] = &[
    ("rif", "held"),
    ("q", "waiting"),
    ("busy", "busy"),
    ("lat_ms", "work_time"),
    ("rate", "handled_rate"),
    ("fail_rate", "failure_rate"),
];

/// What the settings say: the facts, and the names behind their indices.
#[derive(Debug, Clone, Default)]
pub struct Said {
    pub facts: Facts,
    pub classes: Ids<String>,
    pub zones: Ids<String>,
    /// The names of a load report's values, in the order in which they are handed on.
    pub fields: Vec<String>,
    /// How "all" is written as a level.
    pub open_level: f64,
}

fn fact(value: &Value) -> Option<Fact> {
    match value {
        Value::Number(n) => n.as_f64().map(Fact::Number),
        Value::Bool(b) => Some(Fact::Flag(*b)),
        Value::String(s) => Some(Fact::Text(s.clone())),
        _ => None,
    }
}

fn named<'a>(names: &[(&str, &'a str)], wire: &str) -> Option<&'a str> {
    names.iter().find(|(w, _)| *w == wire).map(|(_, ours)| *ours)
}

/// The start message's settings as the plain map that the planner reads, with the names that it numbers.
pub fn read(settings: &Value) -> Said {
    let (mut classes, mut zones) = (Ids::default(), Ids::default());
    let facts = facts(settings, &mut classes, &mut zones);
    let fields = settings.pointer("/stats/fields").and_then(Value::as_array).into_iter().flatten();
    let fields = fields.map(|f| f.as_str().unwrap_or_default().to_string()).collect();
    // In the settings' words "all" is 1 for a share and has no upper end for a pace.
    let open_level = if facts.text("levels.kind") == "pace" { 1e9 } else { 1.0 };
    Said { facts, classes, zones, fields, open_level }
}

fn facts(settings: &Value, classes: &mut Ids<String>, zones: &mut Ids<String>) -> Facts {
    let mut map = BTreeMap::new();
    let list = |path: &str| settings.pointer(path).and_then(Value::as_array).cloned().unwrap_or_default();
    for (wire, ours) in FACT_NAMES {
        let path = format!("/{}", wire.replace('.', "/"));
        if let Some(value) = settings.pointer(&path).and_then(fact) {
            map.insert(ours.to_string(), value);
        }
    }
    for (k, class) in list("/classes").iter().enumerate() {
        classes.index(class["name"].as_str().map_or_else(|| format!("#{k}"), str::to_string));
        for (wire, ours) in CLASS_NAMES {
            if let Some(value) = fact(&class[*wire]) {
                map.insert(format!("class.{k}.{ours}"), value);
            }
        }
        for (wire, ours) in [("homeOnly", "home_only"), ("classWrites", "writes")] {
            if let Some(value) = fact(&settings["familyInfo"][wire][k]) {
                map.insert(format!("class.{k}.{ours}"), value);
            }
        }
    }
    map.insert("classes".into(), Fact::Number(list("/classes").len() as f64));
    for zone in list("/zones").iter().filter_map(Value::as_str) {
        zones.index(zone.to_string());
    }
    map.insert("zones".into(), Fact::Number(list("/zones").len() as f64));
    if let Some(home) = settings["myZone"].as_str() {
        map.insert("home".into(), Fact::Number(zones.index(home.to_string()) as f64));
    }
    for (k, field) in list("/stats/fields").iter().enumerate() {
        let text = field.as_str().unwrap_or_default();
        map.insert(format!("load.{k}"), Fact::Text(named(LOAD_NAMES, text).unwrap_or(text).into()));
    }
    let words = [("ratio", "share"), ("rps", "pace"), ("lottery", "chance"), ("wheel", "turns")];
    let translated = |name: &str| matches!(name, "levels.kind" | "pick");
    for (_, fact) in map.iter_mut().filter(|(name, _)| translated(name)) {
        if let Some((_, ours)) = words.iter().find(|(wire, _)| *fact == Fact::Text(wire.to_string())) {
            *fact = Fact::Text(ours.to_string());
        }
    }
    Facts(map)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_facts_come_under_our_names() {
        let settings = serde_json::json!({
            "classes": [{"name": "a", "aimS": 0.5}], "familyInfo": {"levelKind": "rps", "homeOnly": [true]},
            "stats": {"fields": ["rif"]}, "zones": ["x", "y"], "myZone": "y"});
        let Said { facts, classes, open_level, fields, .. } = read(&settings);
        assert_eq!(facts.number("class.0.soft_limit"), Some(0.5));
        assert_eq!((facts.text("levels.kind"), facts.text("load.0")), ("pace", "held"));
        assert_eq!((facts.number("home"), facts.flag("class.0.home_only")), (Some(1.0), true));
        assert_eq!((classes.known("a"), open_level, fields), (Some(0), 1e9, vec!["rif".to_string()]));
    }
}
