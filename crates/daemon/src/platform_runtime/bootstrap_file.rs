//! Reads the bootstrap file at start, and again on SIGHUP.

use super::error::RuntimeError;
use super::PlatformRuntime;
use runloom_platform_protocol::bootstrap::{BootstrapConfig, EnvironmentDefaults};
use std::path::Path;
use std::time::Duration;

/// Time between two attempts to read a bootstrap file that could not be read after SIGHUP: it may be half written.
const RELOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Time after SIGHUP for which these attempts are made.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A reload of the bootstrap file that failed and is to be retried.
pub(super) struct PendingReload {
    pub(super) next_attempt: Duration,
    deadline: Duration,
}

/// The value of an environment variable; `None` if it is not set or empty.
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
    /// Retries a failed reload, if one is due. After the last attempt the file is left until the next SIGHUP.
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

    /// Reads the bootstrap file again on SIGHUP. A failure is logged, changes nothing and is retried.
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

    /// Applies the one value that takes effect while the planner runs: the address of discovery.
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
