//! Proxies that are connected and wait for admission.

use runloom_versioned_publisher::{HeldVersion, Topic, TopicFilter, TopicKind};

/// How a proxy receives its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// By edits of its datastore: one message carries all missing updates and is applied as a whole.
    Edits,
    /// By subscription: updates arrive topic by topic, in parts.
    Published,
}

/// A proxy that waits for admission, with what it reported about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingProxy {
    /// The caller's number for the connection.
    pub connection: usize,
    /// Name of the proxy; a newer connection under the same name replaces this one.
    pub name: String,
    /// Zone that the proxy runs in.
    pub zone: String,
    /// Rate that the proxy expects, in requests per second.
    pub request_rate: f64,
    /// Whether the proxy holds no table of any planner.
    pub has_no_table: bool,
    /// How the proxy receives its tables.
    pub transport: Transport,
    /// Filters of the topics that the proxy subscribes to.
    pub filters: Vec<TopicFilter>,
    /// Version that the proxy holds of each topic; empty if it does not report versions.
    pub held_versions: Vec<(Topic, HeldVersion)>,
}

impl PendingProxy {
    /// The oldest version that the proxy holds; `None` if it holds nothing. A proxy that has tables but reports no
    /// versions is taken to hold the oldest version possible.
    pub(crate) fn oldest_held(&self) -> Option<HeldVersion> {
        let oldest = self.held_versions.iter().map(|(_, held)| *held).min();
        oldest.or((!self.has_no_table).then_some(HeldVersion { epoch: 0, version: 0 }))
    }

    fn subscribes_to(&self, kind: TopicKind) -> bool {
        let matches =
            |filter: &TopicFilter| filter.matches(Topic { kind, table: filter.table.unwrap_or_default() });
        self.filters.iter().any(matches)
    }

    /// Whether the proxy subscribes to all topics that it needs to apply tables: assignments, and weights or subsets.
    pub fn can_apply_tables(&self) -> bool {
        let has_entries = self.subscribes_to(TopicKind::Weights) || self.subscribes_to(TopicKind::Subset);
        self.subscribes_to(TopicKind::Assignments) && has_entries
    }
}
