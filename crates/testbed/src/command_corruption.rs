//! Corruptions of the controller's commands that test the safety guard. Commands are changed before the guard validates
//! them, from a few seconds after the planner's start on, when servers are in service.

use runloom_control_session::CommandTamper;
use runloom_controller::{Command, RetryPolicy};
use std::collections::BTreeSet;
use std::time::Duration;

/// The names of all corruptions, as the `--spoil` option takes them.
pub const NAMES: [&str; 13] = [
    "drop-all",
    "one-by-one",
    "not-a-number",
    "negative",
    "tiny",
    "level-zero",
    "at-once",
    "clear",
    "withdraw-all",
    "halves",
    "bind-nowhere",
    "to-all-ever",
    "flood",
];

/// Time from the planner's start until corruption begins; servers are in service by then.
const CORRUPTION_START: Duration = Duration::from_secs(5);
/// A weight at which a server gets practically no traffic.
const TINY_WEIGHT: f64 = 1e-9;
/// A weight at which a server gets practically all traffic of its table.
const HUGE_WEIGHT: f64 = 1e9;
/// The weight of the newest server in "at-once".
const NEWEST_SERVER_WEIGHT: f64 = 1000.0;
const CLASS_COUNT: usize = 3;
/// A table that does not exist, and the number of proxies that are assigned to it.
const UNKNOWN_TABLE: u16 = 60_000;
const REASSIGNED_PROXIES: usize = 64;
/// The corruptions that "flood" combines, and how often it repeats them in each batch.
const FLOOD: [&str; 7] =
    ["drop-all", "not-a-number", "negative", "level-zero", "clear", "withdraw-all", "bind-nowhere"];
const FLOOD_REPETITIONS: usize = 5;

/// Returns the function that applies a corruption; `None` if the name is not one of [`NAMES`].
pub fn tamper_by_name(name: &str) -> Option<CommandTamper> {
    let name = NAMES.iter().find(|known| **known == name)?;
    let mut seen = SeenEntries::default();
    let mut batch_number = 0usize;
    Some(Box::new(move |now, commands| {
        seen.record(commands);
        // Only batches of the periodic evaluation, which sets the next timer: these are sent to proxies anyway, and the
        // others request no acknowledgement.
        let is_sent_to_proxies = commands.iter().any(|command| matches!(command, Command::SetTimer { .. }));
        if now < CORRUPTION_START || !is_sent_to_proxies {
            return;
        }
        batch_number += 1;
        corrupt(name, &seen, batch_number, commands);
    }))
}

/// The table entries, as table and server, that were set since the start, including those that were removed again.
#[derive(Default)]
struct SeenEntries(BTreeSet<(u16, usize)>);

impl SeenEntries {
    fn record(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::SetEntry { table, server, .. } = command {
                self.0.insert((*table, *server));
            }
        }
    }

    fn tables(&self) -> BTreeSet<u16> {
        self.0.iter().map(|(table, _)| *table).collect()
    }

    fn servers(&self) -> BTreeSet<usize> {
        self.0.iter().map(|(_, server)| *server).collect()
    }

    /// Sets all entries to one weight.
    fn set_all(&self, weight: f64) -> Vec<Command> {
        self.0.iter().map(|(table, server)| set_entry(*table, *server, weight)).collect()
    }

    /// Removes the first `count` entries.
    fn remove(&self, count: usize) -> Vec<Command> {
        self.0.iter().take(count).map(|(table, server)| set_entry(*table, *server, 0.0)).collect()
    }

    /// Shifts all traffic of each table to its server with the highest index, which may be cold, failed or draining.
    fn shift_to_last_server(&self) -> Vec<Command> {
        let last_entry = |table: u16| {
            let (_, server) = self.0.iter().rfind(|(entry_table, _)| *entry_table == table)?;
            Some(set_entry(table, *server, HUGE_WEIGHT))
        };
        let mut commands = self.set_all(TINY_WEIGHT);
        commands.extend(self.tables().into_iter().filter_map(last_entry));
        commands
    }

    /// Sets the admission rate of each class in each table to zero, without retries.
    fn reject_all_requests(&self) -> Vec<Command> {
        let reject_class = |table: u16, class: usize| Command::SetAdmission {
            table,
            class,
            admission_rate: Some(0.0),
            retry_policy: RetryPolicy::Never,
        };
        let reject_table = |table: u16| (0..CLASS_COUNT).map(move |class| reject_class(table, class));
        self.tables().into_iter().flat_map(reject_table).collect()
    }

    /// Gives the newest server a far larger weight than the others, whether it is cold or not.
    fn prefer_newest_server(&self) -> Vec<Command> {
        let newest = self.0.iter().map(|(_, server)| *server).max();
        let entries = self.0.iter().filter(|(_, server)| Some(*server) == newest);
        entries.map(|(table, server)| set_entry(*table, *server, NEWEST_SERVER_WEIGHT)).collect()
    }

    fn clear_tables(&self) -> Vec<Command> {
        self.tables().into_iter().map(|table| Command::ClearTable { table }).collect()
    }

    fn eject(&self, is_ejected: impl Fn(usize) -> bool) -> Vec<Command> {
        let servers = self.servers().into_iter().filter(|server| is_ejected(*server));
        servers.map(|server| Command::EjectServer { server, ejected: true }).collect()
    }
}

fn set_entry(table: u16, server: usize, weight: f64) -> Command {
    Command::SetEntry { table, server, weight }
}

fn assign_unknown_table() -> impl Iterator<Item = Command> {
    (0..REASSIGNED_PROXIES).map(|proxy| Command::AssignTable { proxy, table: UNKNOWN_TABLE, class_mask: 0 })
}

/// Adds the commands of a corruption to a batch; `batch_number` counts the corrupted batches from 1.
fn corrupt(name: &str, seen: &SeenEntries, batch_number: usize, commands: &mut Vec<Command>) {
    match name {
        "drop-all" => commands.extend(seen.remove(usize::MAX)),
        "one-by-one" => commands.extend(seen.remove(batch_number)),
        "not-a-number" => commands.extend(seen.set_all(f64::NAN)),
        "negative" => commands.extend(seen.set_all(-1.0)),
        "tiny" => commands.extend(seen.shift_to_last_server()),
        "level-zero" => commands.extend(seen.reject_all_requests()),
        "at-once" => commands.extend(seen.prefer_newest_server()),
        "clear" => commands.extend(seen.clear_tables()),
        "withdraw-all" => commands.extend(seen.eject(|_| true)),
        "bind-nowhere" => commands.extend(assign_unknown_table()),
        "flood" => {
            for corruption in FLOOD {
                (0..FLOOD_REPETITIONS).for_each(|_| corrupt(corruption, seen, batch_number, commands));
            }
        }
        // Ejects servers with odd and with even indices in turn: each batch leaves half of the servers, and two
        // successive ones would leave none.
        "halves" => commands.extend(seen.eject(|server| server % 2 == batch_number % 2)),
        // "to-all-ever": adds every server that ever had an entry, also draining and removed ones.
        _ => commands.extend(seen.set_all(1.0)),
    }
}
