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

/// Why a planner or a proxy could not start, or ended without a signal.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] InvalidFile),
    /// The file holds settings of another component.
    #[error("{path}: the root element is not <{expected}>", path = path.display())]
    WrongSettings {
        /// The file.
        path: PathBuf,
        /// The name of the expected root element.
        expected: &'static str,
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

/// An event loop that reports SIGHUP, on which certificates are read again, and SIGTERM and SIGINT, on which the
/// process shuts down. Without a handler SIGHUP would end the process at once.
fn event_loop() -> io::Result<EventLoop> {
    let mut event_loop = EventLoop::new()?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        event_loop.register_signal(signal)?;
    }
    // With a handler, a write beyond the file size limit fails instead of ending the process. The flag is not read.
    signal_hook::flag::register(SIGXFSZ, Arc::default())?;
    Ok(event_loop)
}

/// Runs a planner, and prints its addresses, one per line. The seed defaults to the start time.
pub fn planner(settings: &Path, seed: Option<u64>, hooks: TestHooks) -> Result<(), RunError> {
    let mut event_loop = event_loop()?;
    let Settings::Planner(planner_settings) = settings::read(settings)? else {
        return Err(RunError::WrongSettings { path: settings.to_path_buf(), expected: "planner" });
    };
    let seed = seed.unwrap_or_else(wall_ms);
    let (mut planner, addresses) = PlannerRuntime::start(&mut event_loop, &planner_settings, seed)?;
    planner.apply_test_hooks(hooks);
    println!("edits {}", addresses.operators);
    println!("home {}", addresses.call_home);
    if let Some(subscribers) = addresses.subscribers {
        println!("pubsub {subscribers}");
    }
    if let Some(metrics) = addresses.metrics {
        println!("metrics {metrics}");
    }
    Ok(planner.run(&mut event_loop)?)
}

/// Runs a proxy, and prints its address. The seed defaults to the start time.
pub fn proxy(settings: &Path, seed: Option<u64>) -> Result<(), RunError> {
    let mut event_loop = event_loop()?;
    let Settings::Proxy(proxy_settings) = settings::read(settings)? else {
        return Err(RunError::WrongSettings { path: settings.to_path_buf(), expected: "forwarder" });
    };
    let seed = seed.unwrap_or_else(wall_ms);
    let (mut proxy, address) = ProxyRuntime::start(&mut event_loop, *proxy_settings, seed)?;
    println!("listen {address}");
    Ok(proxy.run(&mut event_loop)?)
}
