//! Reads the platform's settings, which are JSON, into a typed configuration.
//!
//! The adapter, which connects planners to the simulator, and the planner on the platform both read their settings with
//! this crate, so that the same settings give the same configuration. The module `wire` has the names of the settings
//! on the wire.

#![warn(missing_docs)]

mod wire;

use runloom_controller::{DeploymentConfig, IdMap};
use serde_json::Value;

/// Admission rate that admits all requests, if rates are in requests per second.
const UNLIMITED_REQUEST_RATE: f64 = 1e9;
/// Admission rate that admits all requests, if rates are shares of the requests (0 to 1).
const UNLIMITED_SHARE: f64 = 1.0;

/// The settings of a start message, as [`read`] returns them.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Configuration of the controller; settings that are not given have their defaults.
    pub config: DeploymentConfig,
    /// Names of the traffic classes, by index; a class without a name is called `#` with its position.
    pub classes: IdMap<String>,
    /// Names of the zones, by index, including the planner's own.
    pub zones: IdMap<String>,
    /// Wire names of the values in a load report, in the order in which the controller gets the values.
    pub load_fields: Vec<String>,
    /// The admission rate that stands for no limit on the wire: 1e9 if rates are in requests per second, else 1.
    pub unlimited_rate: f64,
}

/// Reads the settings of a start message. A setting that is missing or of the wrong type keeps its default.
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
