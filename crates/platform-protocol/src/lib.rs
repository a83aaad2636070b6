//! The platform's protocol as a sans-I/O core.
//!
//! The inputs are received bytes, closed connections, health check outcomes and the time; the outputs are bytes to
//! write, connections to close, health checks to run and the next timeout. The core opens no socket and reads no clock.
//! [`runloom_controller::Controller`] makes all decisions about endpoints; this crate implements the protocol only:
//! framing, admission and eviction of connections, and detection of unresponsive peers.

#![warn(missing_docs)]

mod action;
pub mod bootstrap;
mod counters;
pub mod endpoint_list;
pub mod endpoint_watch;
pub mod framing;
pub mod health_check;
mod index_release;
mod list_revisions;
pub mod message;
mod message_handler;
mod name_registry;
mod pending_checks;
mod platform;
pub mod session;
pub mod table_sync;
mod timers;
pub mod update_message;
pub mod watch_reader;

pub use action::Action;
pub use counters::Counters;
pub use name_registry::NameRegistry;
pub use platform::PlatformPlanner;

#[cfg(test)]
mod tests;
