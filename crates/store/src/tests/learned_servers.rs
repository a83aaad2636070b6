//! Tests of warm-start hints, their decay, and their merging.

use crate::{LearnedServer, LearnedServers, WarmStartHint};

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;
const NOW: u64 = 500_000 * HOUR;
const ADDRESS: &str = "10.0.0.1:80";
const STARTED: Option<u64> = Some(7);

fn server(
    name: &str,
    speed_factor: f64,
    last_ejected_ms: Option<u64>,
    is_long_ejected: bool,
) -> LearnedServer {
    LearnedServer {
        name: name.into(),
        address: ADDRESS.into(),
        started_ms: STARTED,
        speed_factor,
        last_ejected_ms,
        is_long_ejected,
    }
}

/// A slow server, a server that was just ejected, and one with a long ejection, read back from the stored form.
fn learned() -> LearnedServers {
    let servers = vec![
        server("slow", 0.5, None, false),
        server("ejected", 1.0, Some(NOW), false),
        server("long-ejected", 1.0, Some(NOW), true),
    ];
    let learned = LearnedServers { written_ms: NOW, servers };
    LearnedServers::decode(&learned.encode()).unwrap()
}

fn hint(learned: &LearnedServers, now_ms: u64, name: &str) -> Option<WarmStartHint> {
    learned.hint(now_ms, name, ADDRESS, STARTED)
}

#[test]
fn hints_decay_and_another_address_or_start_time_is_a_new_server() {
    let learned = learned();
    // Without delay, the hints have their full value.
    let slow = WarmStartHint { speed_factor: 0.5, suspicion: 0.0 };
    let ejected = WarmStartHint { speed_factor: 1.0, suspicion: 1.0 };
    assert_eq!(hint(&learned, NOW, "slow"), Some(slow));
    assert_eq!(hint(&learned, NOW, "ejected"), Some(ejected));
    // Later they decay, more slowly after a long ejection.
    let later = NOW + 2 * MINUTE;
    assert!((hint(&learned, later, "ejected").unwrap().suspicion - 0.5).abs() < 1e-9);
    assert!(hint(&learned, later, "long-ejected").unwrap().suspicion > 0.7);
    let speed_factor = hint(&learned, NOW + 10 * MINUTE, "slow").unwrap().speed_factor;
    assert!((speed_factor - 0.5f64.sqrt()).abs() < 1e-9);
    for name in ["slow", "ejected", "long-ejected"] {
        assert_eq!(hint(&learned, NOW + 6 * HOUR, name), None, "six hours later");
        assert_eq!(hint(&learned, NOW - HOUR, name), None, "the clock was set back");
        assert_eq!(learned.hint(NOW, name, "10.0.0.2:80", STARTED), None, "another machine");
        assert_eq!(learned.hint(NOW, name, ADDRESS, Some(8)), None, "another start");
    }
    assert!(hint(&learned, NOW, "new").is_none());
    assert!(LearnedServers::decode(b"\xff\xff").is_err());
}

#[test]
fn a_restart_keeps_recent_ejections() {
    let earlier = learned();
    let soon = NOW + 4_000;
    // A planner that has no results yet keeps the earlier ejections, but no speed factor.
    let merged = LearnedServers { written_ms: soon, servers: vec![] }.merge_earlier(&earlier);
    assert!(hint(&merged, soon, "ejected").unwrap().suspicion > 0.9);
    assert_eq!(merged.servers.len(), 2, "the speed factor is left for the newer process to learn");
    // A later ejection that it has seen itself takes precedence.
    let seen = vec![server("ejected", 0.8, Some(NOW + 3_000), true)];
    let merged = LearnedServers { written_ms: soon, servers: seen.clone() }.merge_earlier(&earlier);
    assert_eq!(merged.servers[0], seen[0]);
    // An hour later no ejection is kept.
    let merged = LearnedServers { written_ms: NOW + HOUR, servers: vec![] }.merge_earlier(&earlier);
    assert_eq!(merged.servers, []);
}
