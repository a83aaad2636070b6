//! The report to the operators on a channel whose queue is too small for a change to all proxies of a table.

/// The queue entries that a change needs, and those that are available.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueShortage {
    /// The number of proxies of the table with the most.
    pub proxies: f64,
    /// Queue entries that one change to all of them needs, message overhead included.
    pub required_entries: f64,
    /// Queue entries that changes may use.
    pub available_entries: f64,
}

impl QueueShortage {
    /// Formats the log line.
    pub fn log_line(&self) -> String {
        let QueueShortage { proxies, required_entries, available_entries } = self;
        format!(
            "the channel's queue is too small: a change for {proxies} proxies takes {required_entries} entries, there is \
             room for {available_entries}; proxies keep their first tables"
        )
    }
}
