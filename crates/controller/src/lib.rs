//! runloom: a control plane for a service's proxies.
//!
//! The library holds the decisions and knows no wire. [`Planner::decide`] takes what happened and
//! returns what is to be done; the words for both stand in [`interface`].
//!
//! ```
//! use runloom_controller::{interface::*, Planner};
//! let start = Event::Start { seed: 1, facts: Facts::default() };
//! let orders = Planner::default().decide(std::time::Duration::ZERO, &[start]);
//! assert!(matches!(orders[..], [Order::Wake { .. }]));
//! ```

pub mod ids;
pub mod interface;
pub mod logic;
mod state;
mod sums;

pub use logic::Planner;
