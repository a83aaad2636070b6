//! Starting a planner or a forwarder from its settings file, until a signal ends it.

use crate::planner_runtime::{PlannerRuntime, TestHooks};
use crate::proxy_runtime::ProxyRuntime;
use crate::settings::{read, Settings};
use crate::wall_ms;
use runloom_event_loop::EventLoop;
use std::path::Path;

fn looped() -> Result<EventLoop, String> {
    let mut turn = EventLoop::new().map_err(|e| e.to_string())?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        turn.signal(signal).map_err(|e| e.to_string())?;
    }
    Ok(turn)
}

/// Runs a planner; its addresses are told on standard output, a line each.
pub fn planner(settings: &Path, seed: Option<u64>, trial: TestHooks) -> Result<(), String> {
    let Settings::Planner(place) = read(settings).map_err(|f| f.join("\n"))? else {
        return Err(format!("{}: <planner> is wanted here", settings.display()));
    };
    let mut turn = looped()?;
    let seed = seed.unwrap_or_else(wall_ms);
    let (mut planner, at) = PlannerRuntime::start(&mut turn, &place, seed).map_err(|e| e.to_string())?;
    planner.apply_test_hooks(trial);
    println!("edits {}", at.edits);
    println!("home {}", at.home);
    if let Some(pubsub) = at.pubsub {
        println!("pubsub {pubsub}");
    }
    if let Some(metrics) = at.metrics {
        println!("metrics {metrics}");
    }
    planner.run(&mut turn).map_err(|e| e.to_string())
}

/// Runs a forwarder; its address is told on standard output.
pub fn forwarder(settings: &Path, seed: Option<u64>) -> Result<(), String> {
    let Settings::Forwarder(stand) = read(settings).map_err(|f| f.join("\n"))? else {
        return Err(format!("{}: <forwarder> is wanted here", settings.display()));
    };
    let mut turn = looped()?;
    let seed = seed.unwrap_or_else(wall_ms);
    let (mut forwarder, at) = ProxyRuntime::start(&mut turn, *stand, seed).map_err(|e| e.to_string())?;
    println!("listen {at}");
    forwarder.run(&mut turn).map_err(|e| e.to_string())
}
