//! The data models: XSD for reading settings and edits, YANG for tools, and typed views.
//!
//! The XSD is the only source: the [`Schema`] of `<edit-config>` is derived from it, and a test compares the YANG
//! modules with it.

mod deployment_config;
pub mod fleet;
mod leaf_reader;
pub mod listed_server;
pub mod planner_settings;
pub mod proxy_settings;
pub mod published_value;
pub mod report;
pub mod schema;
pub mod schema_derivation;
mod settings_error;
pub mod table_update;
pub mod tls_files;
pub mod traffic_class;

pub use runloom_netconf::schema::Schema;
pub use settings_error::InvalidSettings;

/// Namespace of the fleet and the endpoint list.
pub const FLEET_NAMESPACE: &str = "urn:runloom:fleet";
/// Namespace of a proxy's tables and reports.
pub const PROXY_NAMESPACE: &str = "urn:runloom:proxy";
/// Namespace of a planner's state.
pub const STATE_NAMESPACE: &str = "urn:runloom:state";

/// XSD of [`FLEET_NAMESPACE`], with the settings files.
pub const FLEET_XSD: &str = include_str!("../schema/runloom-fleet.xsd");
/// XSD of [`PROXY_NAMESPACE`].
pub const PROXY_XSD: &str = include_str!("../schema/runloom-proxy.xsd");

/// The YANG modules: identifier, revision, text.
pub const YANG_MODULES: [(&str, &str, &str); 3] = [
    ("runloom-fleet", "2026-12-01", include_str!("../schema/runloom-fleet.yang")),
    ("runloom-proxy", "2026-12-01", include_str!("../schema/runloom-proxy.yang")),
    ("runloom-state", "2026-12-01", include_str!("../schema/runloom-state.yang")),
];

#[cfg(test)]
mod tests;
