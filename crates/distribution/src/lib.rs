//! Distribution of route tables to proxies, free of I/O and the same for both transports.
//!
//! A [`Distributor`] knows which proxies are connected, which tables each is assigned to, what each has still to
//! receive, and which commands are in force where. A proxy whose datastore is edited receives all that it lacks in one
//! message; a proxy that subscribes receives it in parts by topic. Both go through one
//! [`runloom_versioned_publisher::Publisher`], so that the backlog is conflated and acknowledged in the same way.

pub mod subset;
pub mod suspicion;

mod distributor;
mod edit_message;
mod member;
mod pending_proxy;

pub use distributor::{Distributor, OutgoingMessage, ProxyId, RejectionOutcome};
pub use pending_proxy::{PendingProxy, Transport};

#[cfg(test)]
mod tests;
