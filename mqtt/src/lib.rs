//! The planner's side of an MQTT 5 connection, free of I/O: bytes in, what they mean out. The planner owns all topics.
//! A proxy reads its own tables and writes its own reports; all else is refused with the protocol's reason code.

pub mod body;
pub mod names;
pub mod session;

#[cfg(test)]
mod tests;
