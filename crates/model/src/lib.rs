//! The data models: XSD for load and edit, YANG for tools, and typed views. The XSD is the one truth: the
//! edit's [`Schema`] is derived from it, and a test holds the YANG modules against it.

pub mod fleet;
pub mod forwarder;
pub mod published_value;
pub mod report;
pub mod schema;
pub mod table_update;

pub use runloom_netconf::schema::Schema;

pub const FLEET: &str = "urn:runloom:fleet";
pub const PROXY: &str = "urn:runloom:proxy";
pub const STATE: &str = "urn:runloom:state";

pub const FLEET_XSD: &str = include_str!("../schema/runloom-fleet.xsd");
pub const PROXY_XSD: &str = include_str!("../schema/runloom-proxy.xsd");

/// The YANG modules: identifier, revision, text.
pub const YANG: [(&str, &str, &str); 3] = [
    ("runloom-fleet", "2026-12-01", include_str!("../schema/runloom-fleet.yang")),
    ("runloom-proxy", "2026-12-01", include_str!("../schema/runloom-proxy.yang")),
    ("runloom-state", "2026-12-01", include_str!("../schema/runloom-state.yang")),
];

#[cfg(test)]
mod tests;
