//! Why an order was refused: for people in a sentence, and as data.

use crate::case::Case;
use runloom_controller::{Command, ProxyId, ServerId, TableId};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Rule 1: a table that proxies are on would have no server to pick.
    Empties,
    /// Rule 1: a level that lets in next to nothing.
    Closes,
    /// Rule 3: a line to a server that drains, is gone or was never listed.
    Drains,
    /// Rule 4: a raised line would push a cold server over.
    Pushes,
    /// Rule 4: what others lose would fall on a cold server and push it over.
    Shifts,
    /// No weight or pace at all.
    Malformed,
    /// Rule 1, of an edit: no open server would be left.
    EditEmpties,
}

impl Reason {
    /// The tag in log, state, counters and `error-app-tag`.
    pub fn word(self) -> &'static str {
        match self {
            Reason::Empties => "empties-table",
            Reason::Closes => "closes-class",
            Reason::Drains => "sends-to-draining",
            Reason::Pushes => "pushes-cold",
            Reason::Shifts => "shifts-to-cold",
            Reason::Malformed => "malformed",
            Reason::EditEmpties => "empties-pool",
        }
    }

    pub fn rule(self) -> u8 {
        match self {
            Reason::Empties | Reason::Closes | Reason::EditEmpties => 1,
            Reason::Drains => 3,
            Reason::Pushes | Reason::Shifts => 4,
            Reason::Malformed => 0,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub at: Duration,
    pub reason: Reason,
    pub order: Command,
    pub table: TableId,
    /// How many proxies it concerns, and the first few.
    pub proxies: usize,
    pub first: Vec<ProxyId>,
    pub servers: Vec<ServerId>,
    /// Queries a second that a cold server would have been sent, and may be.
    pub load: Option<(f64, f64)>,
    /// What the verdict went by, to be judged again.
    pub case: Option<Case>,
}

/// Proxies and servers named in a refusal: enough to find them, little in a log.
const NAMED_MOST: usize = 5;

impl Refusal {
    pub fn new(
        reason: Reason,
        order: &Command,
        table: TableId,
        proxies: &[ProxyId],
        servers: impl Iterator<Item = ServerId>,
    ) -> Refusal {
        Refusal {
            at: Duration::ZERO,
            reason,
            order: order.clone(),
            table,
            proxies: proxies.len(),
            first: proxies.iter().take(NAMED_MOST).copied().collect(),
            servers: servers.take(NAMED_MOST).collect(),
            load: None,
            case: None,
        }
    }

    pub fn reckoned(mut self, load: f64, bound: f64) -> Refusal {
        self.load = Some((load, bound));
        self
    }

    /// One sentence; `server` and `proxy` give names.
    pub fn sentence(&self, server: &dyn Fn(ServerId) -> String, proxy: &dyn Fn(ProxyId) -> String) -> String {
        let servers = self.servers.iter().map(|s| server(*s)).collect::<Vec<_>>().join(", ");
        let proxies = match self.first.first() {
            None => String::new(),
            Some(first) => format!(" ({} proxies, {} first)", self.proxies, proxy(*first)),
        };
        let table = self.table;
        let load =
            self.load.map(|(load, bound)| format!("{load:.1} queries/s of {bound:.1} that it can bear"));
        let load = load.unwrap_or_default();
        match self.reason {
            Reason::Empties => {
                format!("table {table}{proxies} would have no server to pick without {servers}")
            }
            Reason::Closes => format!("a level in table {table} would let in next to nothing"),
            Reason::Drains => {
                format!(
                    "{servers} drains, is gone or was never listed, and may not be in table {table}{proxies}"
                )
            }
            Reason::Pushes => {
                format!("{servers} has just started and would be sent {load}, by table {table}{proxies}")
            }
            Reason::Shifts => {
                format!("what others lose in table {table}{proxies} would fall on {servers}: {load}")
            }
            Reason::Malformed => format!("a weight or pace in table {table} is no usable number"),
            Reason::EditEmpties => format!("no open server would be left without {servers}"),
        }
    }

    /// The change that would have been safe.
    pub fn safe(&self, server: &dyn Fn(ServerId) -> String) -> String {
        let first = self.servers.first().map(|s| server(*s)).unwrap_or_default();
        match (self.reason, self.load) {
            (Reason::Empties, _) => {
                format!("keep {first} in table {} until another open server is in it", self.table)
            }
            (Reason::EditEmpties, _) => format!("keep {first}, or list another server first"),
            (Reason::Drains, _) => format!("leave {first} out"),
            (Reason::Closes, _) => "a pace of at least one query in ten minutes, or no level".into(),
            (Reason::Pushes, Some((load, bound))) => {
                format!(
                    "{first} at {:.2} of the ordered part now, more as it warms",
                    (bound / load).clamp(0.0, 1.0)
                )
            }
            (Reason::Shifts, _) => format!("keep the others until {first} is warm"),
            _ => "a weight from 0 to a milliard".into(),
        }
    }
}
