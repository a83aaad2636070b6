//! The layer between the proxies' transports and [`runloom_controller::Controller`], free of I/O.
//!
//! A [`ControlSession`] maps the names of servers and proxies to the controller's indices, passes it the events, has
//! the safety guard validate its commands, and returns [`Action`]s for the runtime. It holds the tables as published,
//! sends each proxy at most one message per step, and tracks the messages that are not acknowledged. All decisions
//! about servers are the controller's.

mod action;
mod clock;
mod endpoint_directory;
mod execution;
mod member;
mod published_tables;
pub mod recording;
mod report_aggregator;
mod reports;
mod session;
mod table_message;

pub use action::{Action, IssuedUpdate};
pub use clock::CLOCK_LEAD;
pub use member::Member;
pub use published_tables::PublishedTable;
pub use session::{CommandTamper, ControlSession, LearnedServerState, ServerHint};

#[cfg(test)]
mod tests;
