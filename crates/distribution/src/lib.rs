//! Distribution of route tables to proxies, free of I/O and the same for both transports.
//!
//! A [`Distributor`] tracks which proxies are connected, the tables that each is assigned to, the updates that each has
//! yet to receive, and the commands that are in force at each. A proxy whose datastore is edited receives all missing
//! updates in one message; a proxy that subscribes receives them in parts, topic by topic. Both go through one
//! [`runloom_versioned_publisher::Publisher`], so backlogs are conflated and acknowledged in the same way.

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
