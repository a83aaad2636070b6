//! The data models: XSDs that validate settings and edits, YANG modules for NETCONF tools, and typed views of the data.
//!
//! The XSDs are authoritative: the [`Schema`] for `<edit-config>` is derived from them, and a test checks that the YANG
//! modules contain all nodes of the XSDs.

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

/// XML namespace of the settings files, the fleet and the endpoint list.
pub const FLEET_NAMESPACE: &str = "urn:runloom:fleet";
/// XML namespace of a proxy's tables and reports.
pub const PROXY_NAMESPACE: &str = "urn:runloom:proxy";
/// XML namespace of a planner's operational state.
pub const STATE_NAMESPACE: &str = "urn:runloom:state";

/// XSD of [`FLEET_NAMESPACE`]: the fleet, the endpoint list and the settings files.
pub const FLEET_XSD: &str = include_str!("../schema/runloom-fleet.xsd");
/// XSD of [`PROXY_NAMESPACE`]: tables and reports.
pub const PROXY_XSD: &str = include_str!("../schema/runloom-proxy.xsd");

/// The YANG modules that `<get-schema>` offers: name, revision and text of each.
pub const YANG_MODULES: [(&str, &str, &str); 3] = [
    ("runloom-fleet", "2026-12-01", include_str!("../schema/runloom-fleet.yang")),
    ("runloom-proxy", "2026-12-01", include_str!("../schema/runloom-proxy.yang")),
    ("runloom-state", "2026-12-01", include_str!("../schema/runloom-state.yang")),
];

#[cfg(test)]
mod tests;
