//! Versioned publication of tables to subscribers, free of I/O.
//!
//! A [`Publisher`] holds tables; each has a version, a state, and a bounded history of which keys the last versions
//! changed. A subscriber has a position in each of its tables and a few messages in flight. What it has still to
//! receive is computed from its position and never queued, so a slow subscriber costs no more than a fast one, and
//! receives the latest state instead of a history. An [`UpdateReader`] is the subscriber's side.

mod published_table;
mod publisher;
mod reconnect_queue;
mod subscriber;
mod topic;
mod update;
mod update_reader;

pub use publisher::Publisher;
pub use reconnect_queue::{ReconnectQueue, MAX_WAITING_SUBSCRIBERS};
pub use subscriber::{MAX_IN_FLIGHT, MAX_TOPICS};
pub use topic::{Topic, TopicFilter, TopicKind};
pub use update::{Change, HeldVersion, Key, TableUpdate, Update, UpdatePart, Version, MAX_CHANGES_PER_PART};
pub use update_reader::{HeldTable, ReadOutcome, UpdateReader};

#[cfg(test)]
mod tests;
