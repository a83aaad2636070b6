//! NETCONF for both sides, free of I/O: bytes and times in, events and bytes out.
//!
//! [`framing`] splits the stream into messages (RFC 6242), [`tree`] reads and writes them, [`session`] is one side of
//! one session, [`edit`] and [`filter`] implement `<edit-config>` and subtree filters (RFC 6241, sections 7.2 and 6),
//! and [`service`] is a server over datastores that its host keeps.

pub mod edit;
pub mod error;
pub mod filter;
pub mod framing;
pub mod schema;
pub mod service;
pub mod session;
pub mod tree;

mod xpath;

/// The namespace of messages and of the `operation` attribute.
pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The namespace of `<create-subscription>` and `<notification>` (RFC 5277).
pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The namespace of `<get-schema>` (RFC 6022).
pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// The namespace of the `edit-id` attribute of `<rpc>`. RFC 6241, section 4.1: a client may add attributes to `<rpc>`,
/// which the server returns.
pub const EDIT_HISTORY: &str = "urn:runloom:ledger";

/// The capability of the base protocol with end-of-message framing.
pub const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
/// The capability of the base protocol with chunked framing.
pub const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
