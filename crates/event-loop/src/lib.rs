//! An event loop over TCP sockets, TLS, signals and timeouts.
//!
//! [`EventLoop::wait`] polls, reads a limited number of bytes from each ready connection and returns the events. The
//! caller handles them, writes, and calls it again. Plain and TLS connections look the same to the caller. Output to a
//! peer that does not read is buffered up to a limit, and then the connection is closed; it never blocks the loop.

#![warn(missing_docs)]

mod connection;
mod event;
mod event_loop;
mod limits;
mod listener;
mod security;
mod timers;

pub use event::{CloseReason, ConnectionId, IoEvent};
pub use event_loop::{EventLoop, Waker};
pub use limits::ConnectionLimits;
pub use security::Security;

#[cfg(test)]
mod tests;
