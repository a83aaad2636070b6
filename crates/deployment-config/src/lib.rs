//! The platform's settings as a typed configuration.
//!
//! The adapter and the planner on the platform both read their settings here, so that the same decisions go by the
//! same configuration. The module `wire` holds the settings' own names.

#![warn(missing_docs)]

mod wire;

use runloom_controller::{DeploymentConfig, IdMap};
use serde_json::Value;

/// The admission rate that admits everything, where rates are requests a second.
const UNLIMITED_REQUEST_RATE: f64 = 1e9;
/// The same where rates are shares.
const UNLIMITED_SHARE: f64 = 1.0;

/// What the settings say.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The configuration of the decisions.
    pub config: DeploymentConfig,
    /// The names of the traffic classes.
    pub classes: IdMap<String>,
    /// The names of the zones.
    pub zones: IdMap<String>,
    /// The wire's names of a load report's values, in the order in which they are handed on.
    pub load_fields: Vec<String>,
    /// The wire's admission rate that admits everything.
    pub unlimited_rate: f64,
}

/// Reads the settings of a start message. What is missing or mistyped keeps its default.
pub fn read(settings: &Value) -> Settings {
    let config = wire::config(settings);
    let limits_rate = config.limits_request_rate();
    Settings {
        unlimited_rate: if limits_rate { UNLIMITED_REQUEST_RATE } else { UNLIMITED_SHARE },
        classes: wire::class_names(settings),
        zones: wire::zone_names(settings),
        load_fields: wire::load_fields(settings),
        config,
    }
}
