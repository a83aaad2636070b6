//! A poll loop over sockets, TLS, signals and timeouts.
//!
//! [`EventLoop::wait`] waits, reads a bounded share of what is ready and returns the events; its caller handles them,
//! writes, and waits again. Plain and TLS connections look the same to the caller. A peer that does not read fills its
//! own bounded buffer and then loses its connection; it never holds up the loop.

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
