//! Both sides of an MQTT 5 connection between a planner and a proxy, free of I/O: bytes in, what they mean out. The
//! planner owns all topics.
//! A proxy reads its own tables and writes its own reports; all else is refused with the protocol's reason code.

pub mod body;
pub mod client;
pub mod names;
pub mod report;
pub mod session;

#[cfg(test)]
mod tests;
