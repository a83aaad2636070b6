//! The bootstrap file: read at start and on SIGHUP.

use super::error::RuntimeError;
use super::PlatformRuntime;
use runloom_platform_protocol::bootstrap::{BootstrapConfig, EnvironmentDefaults};
use std::path::Path;
use std::time::Duration;

/// A bootstrap file that cannot be read after SIGHUP may be half written: it is read again this often, for so long.
const RELOAD_INTERVAL: Duration = Duration::from_millis(250);
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// A reload of the bootstrap file that is to be tried again.
pub(super) struct PendingReload {
    pub(super) next_attempt: Duration,
    deadline: Duration,
}

/// A variable of the environment that is set and not empty.
pub(super) fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads the bootstrap file; what it leaves out comes from the environment.
pub(super) fn read_bootstrap(path: &Path) -> Result<BootstrapConfig, RuntimeError> {
    let defaults = EnvironmentDefaults {
        name: environment("EDGE_NAME"),
        listen: environment("EDGE_LISTEN"),
        discovery: environment("EDGE_DISCOVERY"),
    };
    let text = std::fs::read_to_string(path)
        .map_err(|source| RuntimeError::ReadBootstrap { path: path.into(), source })?;
    BootstrapConfig::parse(&text, defaults)
        .map_err(|source| RuntimeError::InvalidBootstrap { path: path.into(), source })
}

impl PlatformRuntime {
    /// Reads the bootstrap file again after one that could not be read.
    pub(super) fn retry_reload(&mut self) {
        let now = self.now();
        let Some(reload) = self.pending_reload.take_if(|reload| now >= reload.next_attempt) else { return };
        match read_bootstrap(&self.bootstrap_path) {
            Ok(bootstrap) => self.apply(&bootstrap),
            Err(_) if now < reload.deadline => {
                self.pending_reload = Some(PendingReload { next_attempt: now + RELOAD_INTERVAL, ..reload });
            }
            Err(why) => tracing::warn!("not looked at any more: {why}"),
        }
    }

    /// Reads the bootstrap file again on SIGHUP. One that cannot be read is logged and changes nothing.
    pub(super) fn reload(&mut self) {
        let now = self.now();
        self.pending_reload = None;
        match read_bootstrap(&self.bootstrap_path) {
            Ok(bootstrap) => self.apply(&bootstrap),
            Err(why) => {
                tracing::warn!("kept as it is: {why}");
                self.pending_reload = Some(PendingReload {
                    next_attempt: now + RELOAD_INTERVAL,
                    deadline: now + RELOAD_TIMEOUT,
                });
            }
        }
    }

    /// Applies what of a changed file takes effect while the planner runs: the address of discovery.
    fn apply(&mut self, bootstrap: &BootstrapConfig) {
        if bootstrap.discovery == self.watch.address() {
            tracing::info!("read again, nothing new");
            return;
        }
        tracing::info!(at = %bootstrap.discovery, "discovery has moved");
        if let Some(conn) = self.watch.change_address(bootstrap.discovery, self.now()) {
            self.event_loop.abort(conn);
        }
    }
}
