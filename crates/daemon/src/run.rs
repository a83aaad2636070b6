//! Runs a planner or a proxy from its settings file until a signal ends it.

use crate::error::StartError;
use crate::planner_runtime::{PlannerRuntime, TestHooks};
use crate::proxy_runtime::{self, ProxyRuntime};
use crate::settings::{self, InvalidFile, Settings};
use crate::wall_ms;
use runloom_event_loop::EventLoop;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Why a planner or a proxy could not be started, or ended otherwise than by a signal.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] InvalidFile),
    /// The settings are for something else.
    #[error("{path}: <{wanted}> is wanted here", path = path.display())]
    WrongSettings {
        /// The file.
        path: PathBuf,
        /// The element that it should hold.
        wanted: &'static str,
    },
    /// The event loop failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The planner could not start.
    #[error(transparent)]
    PlannerStart(#[from] StartError),
    /// The proxy could not start.
    #[error(transparent)]
    ProxyStart(#[from] proxy_runtime::ProxyStartError),
}

/// An event loop that SIGTERM and SIGINT end, and on SIGHUP reads certificates again. Without a handler SIGHUP would end
/// the process.
fn event_loop() -> io::Result<EventLoop> {
    let mut event_loop = EventLoop::new()?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        event_loop.register_signal(signal)?;
    }
    // A write beyond a limit on file size becomes an error of that write. The flag is not read.
    signal_hook::flag::register(SIGXFSZ, Arc::default())?;
    Ok(event_loop)
}

/// Runs a planner, and prints its addresses, a line each. Without a seed, the time of the start is one.
pub fn planner(settings: &Path, seed: Option<u64>, hooks: TestHooks) -> Result<(), RunError> {
    let mut event_loop = event_loop()?;
    let Settings::Planner(planner_settings) = settings::read(settings)? else {
        return Err(RunError::WrongSettings { path: settings.to_path_buf(), wanted: "planner" });
    };
    let seed = seed.unwrap_or_else(wall_ms);
    let (mut planner, addresses) = PlannerRuntime::start(&mut event_loop, &planner_settings, seed)?;
    planner.apply_test_hooks(hooks);
    println!("edits {}", addresses.edits);
    println!("home {}", addresses.home);
    if let Some(pubsub) = addresses.pubsub {
        println!("pubsub {pubsub}");
    }
    if let Some(metrics) = addresses.metrics {
        println!("metrics {metrics}");
    }
    Ok(planner.run(&mut event_loop)?)
}

/// Runs a proxy, and prints its address. Without a seed, the time of the start is one.
pub fn proxy(settings: &Path, seed: Option<u64>) -> Result<(), RunError> {
    let mut event_loop = event_loop()?;
    let Settings::Proxy(proxy_settings) = settings::read(settings)? else {
        return Err(RunError::WrongSettings { path: settings.to_path_buf(), wanted: "forwarder" });
    };
    let seed = seed.unwrap_or_else(wall_ms);
    let (mut proxy, address) = ProxyRuntime::start(&mut event_loop, *proxy_settings, seed)?;
    println!("listen {address}");
    Ok(proxy.run(&mut event_loop)?)
}
