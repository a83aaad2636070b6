//! runloom: a control plane for a service's proxies.
//!
//! The library holds the decisions and knows no wire. [`Planner::decide`] takes what happened and
//! returns what is to be done; the words for both stand in [`interface`].

pub mod ids;
pub mod interface;
pub mod logic;
mod state;

pub use logic::Planner;
