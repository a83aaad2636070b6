//! Topics: the unit of publication and subscription. Each topic is one table.

/// Content of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TopicKind {
    /// Endpoints with weights, and admission limits.
    Weights,
    /// Endpoints of equal weight, and admission limits.
    Subset,
    /// Endpoints that serve a range of keys.
    Range,
    /// Ejected servers: they get no requests, whatever other tables contain. There is one such table.
    Ejections,
    /// The table that each traffic class of one proxy is assigned to. Its number is the proxy's.
    Assignments,
}

/// Identifies one published table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Topic {
    /// The content of the table.
    pub kind: TopicKind,
    /// The number of the table.
    pub table: u16,
}

/// A subscriber's selection among the tables that are meant for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicFilter {
    /// Selects tables of this kind; `None` selects all kinds.
    pub kind: Option<TopicKind>,
    /// Selects tables of this number; `None` selects all numbers.
    pub table: Option<u16>,
}

impl TopicFilter {
    /// The filter that matches every topic.
    pub const ALL: TopicFilter = TopicFilter { kind: None, table: None };

    /// Whether the filter matches a topic.
    pub fn matches(&self, topic: Topic) -> bool {
        self.kind.is_none_or(|kind| kind == topic.kind) && self.table.is_none_or(|table| table == topic.table)
    }
}
