//! The session between the proxies' transports and [`runloom_controller::Controller`], free of I/O.
//!
//! A [`ControlSession`] takes events under the names of servers and proxies, has the controller decide, has its
//! commands validated by the safety guard, and returns [`Action`]s for the runtime. It holds the tables as
//! published, sends each proxy at most one message a step, and counts what waits for acknowledgement. It decides
//! nothing about servers itself.

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
