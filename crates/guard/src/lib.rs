//! The safety guard: validates the controller's commands before they are published, and operators' edits before
//! they are accepted.
//!
//! It considers every version of a table that may be in force at some proxy, not only the newest. It rejects
//! commands that would leave a class without a server or overload a server that has just started. It never
//! computes a weight of its own: whatever a rejected command would have changed stays as published.
//! `docs/guard.md` has the rules and their order.

mod batch;
mod capacity;
mod case_capture;
pub mod command_text;
mod config;
pub mod edit_validation;
mod fleet_state;
mod guard;
mod rejection;
mod rejection_case;
mod replay;
mod rules;
mod staging;
mod tracked_proxy;
mod tracked_table;

pub use config::GuardConfig;
pub use guard::{RejectedCommand, SafetyGuard, ValidatedBatch};
pub use rejection::{Overload, Rejection, RejectionReason};
pub use rejection_case::{RejectionCase, RejectionCaseEntry};
pub use replay::replay_case;
