//! The report to the operators on a channel whose queue is too small for a change to all proxies of a table.

use crate::command::Command;
use crate::controller::Controller;
use crate::update_draft::UpdateDraft;

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

impl Controller {
    /// Reports to the operators, once per shortage, that a change to all proxies of a table needs more than the queue
    /// ever has room for.
    pub(crate) fn log_queue_shortage(&mut self, draft: &UpdateDraft, commands: &mut Vec<Command>) {
        let proxies = self.subsets.iter().map(|subset| subset.proxy_count).fold(0.0, f64::max);
        let required_entries = proxies * (self.config.channel.message_overhead + 2.0);
        let available_entries = draft.max_cost();
        let is_short = required_entries > available_entries;
        if is_short && !self.channel.has_logged_shortage {
            let shortage = QueueShortage { proxies, required_entries, available_entries };
            commands.push(Command::LogQueueShortage(shortage));
        }
        self.channel.has_logged_shortage = is_short;
    }
}
