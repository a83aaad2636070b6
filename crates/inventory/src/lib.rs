//! The servers of a fleet, merged from the discovery feed and the operators' overrides, and the history of
//! operators' edits.

pub mod edit_history;
mod inventory;

pub use inventory::{merge_overrides, Change, Inventory, Server};

#[cfg(test)]
mod tests;
