//! Errors of the runtime of a planner on the platform.

use runloom_platform_protocol::bootstrap::BootstrapError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a planner could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub(super) enum RuntimeError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("the environment variable EDGE_CONFIG is not set")]
    NoBootstrapFile,
    #[error("{}: {source}", .path.display())]
    ReadBootstrap { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", .path.display())]
    InvalidBootstrap { path: PathBuf, source: BootstrapError },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
}
