//! Request handling of the proxy, without I/O. Requests go only to endpoints in its route tables, which a planner
//! publishes; until it does, to those in a table of static endpoints.
//!
//! [`Proxy`] selects an endpoint for each request ([`balancer`]), skips endpoints with several consecutive failures
//! ([`circuit_breaker`]), admits requests at the published rate, and retries failed attempts within the published
//! policy and the request's deadline. Its caller owns the sockets and carries out each [`RequestAction`].

pub mod balancer;
pub mod circuit_breaker;
pub mod published_tables;
pub mod request;
pub mod route_tables;

mod admission;
mod endpoint_statistics;
mod proxy;
mod retry;

pub use proxy::{Proxy, ProxyConfig, ProxyCounts, MAX_REQUESTS_IN_FLIGHT};
pub use request::{AttemptOutcome, RejectionReason, RequestAction, RequestId};
pub use route_tables::RouteTables;

#[cfg(test)]
mod tests;
