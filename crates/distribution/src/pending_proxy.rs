//! Proxies that connected and wait to be admitted.

use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter, TopicKind};

/// How a proxy receives its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// By edits of its datastore: all that it lacks as one message, applied as a whole.
    Edits,
    /// By subscription: topic by topic, in parts.
    Published,
}

/// A proxy that connected, and what it reported of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingProxy {
    /// The caller's number of its connection.
    pub connection: usize,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Requests a second.
    pub request_rate: f64,
    /// It holds no table of any planner.
    pub has_no_table: bool,
    /// How it receives its tables.
    pub transport: Transport,
    /// What it subscribes to.
    pub filters: Vec<TopicFilter>,
    /// Versions of topics that it holds.
    pub held_versions: Vec<(Topic, HeldVersion)>,
}

impl PendingProxy {
    /// The oldest version that it holds; `None`: nothing. One that does not report its versions holds something old,
    /// unless it has no table.
    pub(crate) fn oldest_held(&self) -> Option<HeldVersion> {
        let oldest = self.held_versions.iter().map(|(_, held)| *held).min();
        oldest.or((!self.has_no_table).then_some(HeldVersion { epoch: 0, version: 0 }))
    }

    fn subscribes_to(&self, kind: TopicKind) -> bool {
        let matches =
            |filter: &TopicFilter| filter.matches(Topic { kind, table: filter.table.unwrap_or_default() });
        self.filters.iter().any(matches)
    }

    /// Whether it subscribes to all that it takes to apply tables: assignments, and weights or subsets.
    pub fn can_apply_tables(&self) -> bool {
        let has_entries = self.subscribes_to(TopicKind::Weights) || self.subscribes_to(TopicKind::Subset);
        self.subscribes_to(TopicKind::Assignments) && has_entries
    }
}
