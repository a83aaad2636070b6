//! Both sides of an MQTT 5 connection between a planner and a proxy as state machines without I/O: they take received
//! bytes, and return events and bytes to send.
//!
//! The planner acts as the broker. A proxy may subscribe to its own tables and publish its own reports; everything else
//! is rejected with a reason code of the protocol.

pub mod body;
pub mod client;
pub mod report;
pub mod session;
pub mod topics;

mod connection_end;
mod decode_error;
mod proxy_info;

pub use connection_end::ConnectionEnd;
pub use decode_error::DecodeError;
pub use proxy_info::ProxyInfo;

#[cfg(test)]
mod tests;
