//! Versioned publication of tables to subscribers, without I/O.
//!
//! A [`Publisher`] holds tables; each has a version, a state, and a bounded history of the keys that its latest
//! versions changed. A subscriber has a position in each of its tables and a limited number of messages in flight. What
//! it still lacks is computed from its position and never queued: a slow subscriber costs no more than a fast one, and
//! receives the latest state instead of each version. [`UpdateReader`] is the subscriber's side.

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
