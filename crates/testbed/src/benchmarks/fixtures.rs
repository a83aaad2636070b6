//! Scenarios and settings that several benchmarks share.

use crate::scenario::{DeliveryMode, Scenario, ScheduledEdit};
use runloom_model::FLEET_NAMESPACE;
use std::time::Duration;

/// Time before the first edit, and between edits.
const EDIT_INTERVAL_MS: u64 = 1500;
const ZONE_COUNT: usize = 3;

/// The sizes of a scenario.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScenarioSize {
    pub proxies: usize,
    pub servers: usize,
    /// Requests per second over all proxies.
    pub request_rate: f64,
    /// Time for which clients send requests.
    pub seconds: u64,
}

/// A scenario without faults, with an edit of a zone's share every 1.5 seconds.
pub(crate) fn quiet_scenario(size: ScenarioSize) -> Scenario {
    let milliseconds = Duration::from_millis;
    Scenario {
        fleet_xml: None,
        delivery: DeliveryMode::default(),
        identity_lifetime: None,
        is_recorded: true,
        duration: Duration::from_secs(size.seconds),
        server_count: size.servers,
        proxy_count: size.proxies,
        zone_count: ZONE_COUNT,
        planner_count: 1,
        request_rate: size.request_rate,
        service_time: milliseconds(50),
        cores: 2,
        warm_up: milliseconds(6000),
        drain_grace_period: milliseconds(2500),
        empty_table_grace_period: milliseconds(3000),
        feed_delay: milliseconds(500),
        only_draining_binds: false,
        selection: "less-busy".into(),
        admission: "none".into(),
        entries_per_second: 20_000,
        faults: vec![],
        edits: (0..size.seconds * 2 / 3 - 2).map(zone_share_edit).collect(),
    }
}

fn zone_share_edit(number: u64) -> ScheduledEdit {
    let share = if number % 2 == 0 { "0.6" } else { "1.2" };
    let zone = format!("z{}", number % ZONE_COUNT as u64);
    ScheduledEdit {
        at: Duration::from_millis(EDIT_INTERVAL_MS * (number + 1)),
        id: format!("m{number}"),
        zone_share: Some((zone, share.into())),
        drain: None,
        drops_connection: false,
    }
}

/// A `fleet` element with one zone and one class.
pub(crate) fn small_fleet_xml(zone: &str) -> String {
    format!(
        "<fleet xmlns='{FLEET_NAMESPACE}'><zone><name>{zone}</name></zone><class><name>q</name><payoff>1</payoff>\
         <soft-limit-ms>500</soft-limit-ms><outer-limit-ms>900</outer-limit-ms><repeats>safe</repeats></class>\
         <grace><drain-ms>2000</drain-ms><bare-ms>2000</bare-ms><reply-ms>2000</reply-ms></grace>\
         <channel><lines-per-second>9000</lines-per-second><backlog>9000</backlog><overhead>4</overhead></channel>\
         <cold><from>0.2</from><warm-after-ms>9000</warm-after-ms></cold><proxies><count>2</count>\
         <planners>1</planners><pick>chance</pick><levels>none</levels><probes>true</probes>\
         <report-ms>1000</report-ms><report-lines-per-second>500</report-lines-per-second></proxies>\
         <list><only-drains-bind>false</only-drains-bind></list></fleet>"
    )
}
