//! A channel whose queue is too small for a change that concerns all proxies of a table, for the operators.

/// How much a change takes, and what the queue has room for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueShortage {
    /// The most proxies that hold one table.
    pub proxies: f64,
    /// Entries that one change for all of them takes, the messages' overhead included.
    pub required_entries: f64,
    /// Entries of the queue that changes may use.
    pub available_entries: f64,
}

impl QueueShortage {
    /// The log line.
    pub fn log_line(&self) -> String {
        let QueueShortage { proxies, required_entries, available_entries } = self;
        format!(
            "the channel's queue is too small: a change for {proxies} proxies takes {required_entries} entries, there is \
             room for {available_entries}; proxies keep their first tables"
        )
    }
}
