//! Both sides of an MQTT 5 connection between a planner and a proxy, free of I/O: bytes in, events out.
//!
//! The planner owns all topics. A proxy subscribes to its own tables and publishes its own reports; everything else is
//! rejected with the protocol's reason code.

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
