//! Topics: what is published, one table each.

/// What a table says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TopicKind {
    /// Endpoints with weights, and admission limits.
    Weights,
    /// Endpoints to select from evenly, and admission limits.
    Subset,
    /// Endpoints of a range of keys.
    Range,
    /// Servers that get no requests, whatever other tables say; there is one such table.
    Ejections,
    /// The table that each class of one proxy is assigned to; its number is the proxy's.
    Assignments,
}

/// One table, as it is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Topic {
    /// What it says.
    pub kind: TopicKind,
    /// Its number.
    pub table: u16,
}

/// Which tables a subscriber asks for, of those that it is to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicFilter {
    /// Tables of this kind; `None` for all kinds.
    pub kind: Option<TopicKind>,
    /// The table of this number; `None` for all numbers.
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
