//! The commands of the command line, one module each.

pub mod check;
pub mod connection;
pub mod edit;
mod error;
pub mod guard;
pub mod record;
pub mod replay;
pub mod show;
pub mod state;

pub use error::CommandError;
