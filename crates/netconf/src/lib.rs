//! NETCONF client and server as state machines without I/O: they take received bytes and the current time, and return
//! events and bytes to send.
//!
//! [`framing`] splits the stream into messages (RFC 6242), [`tree`] parses and writes them, [`session`] is one side of
//! a session, [`edit`] and [`filter`] implement `<edit-config>` and subtree filters (RFC 6241, sections 7.2 and 6),
//! and [`service`] is a server whose datastores are owned by a [`service::Host`].

pub mod edit;
pub mod error;
pub mod filter;
pub mod framing;
pub mod schema;
pub mod service;
pub mod session;
pub mod tree;

mod xpath;

/// The namespace of the base protocol: its messages, and the `operation` attribute of edits (RFC 6241).
pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The namespace of `<create-subscription>` and `<notification>` (RFC 5277).
pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The namespace of `<get-schema>` (RFC 6022).
pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// The namespace of the `edit-id` attribute of `<rpc>`, by which the edit history recognizes a repeated edit. RFC 6241,
/// section 4.1, lets a client add attributes to `<rpc>`; the server returns them in its reply.
pub const EDIT_HISTORY: &str = "urn:runloom:ledger";

/// The capability of protocol version 1.0, which uses end-of-message framing.
pub const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
/// The capability of protocol version 1.1, which uses chunked framing.
pub const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
