//! NETCONF for both sides, free of I/O: bytes and a time go in, bytes and what was asked come out.
//!
//! [`frame`] cuts the stream into messages (RFC 6242), [`tree`] reads and writes them, [`session`] is one
//! side of one session, [`edit`] and [`filter`] are the semantics of `<edit-config>` and of subtree filters
//! (RFC 6241, sections 7.2 and 6), [`service`] is a server over datastores that its host keeps.

pub mod edit;
pub mod error;
pub mod filter;
pub mod framing;
pub mod service;
pub mod session;
pub mod tree;

/// The namespace of messages and of the `operation` attribute.
pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The namespace of `<create-subscription>` and `<notification>` (RFC 5277).
pub const NOTIFY: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The namespace of `<get-schema>` (RFC 6022).
pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// The namespace of the `edit-id` attribute of `<rpc>`: RFC 6241, section 4.1, lets a client add attributes
/// to `<rpc>`, and has the server return them.
pub const LEDGER: &str = "urn:runloom:ledger";

pub const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
pub const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
